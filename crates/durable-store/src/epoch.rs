//! Epochs: a number for each run of a governor, reserved on the disk before it is used.

use crate::disk::{Disk, DiskError};
use crate::frame::{self, RecordChain};
use crate::store::UNFINISHED;

/// The file with the newest reserved epoch.
const EPOCH_FILE: &str = "epoch";
/// The file with the one before.
const PREVIOUS_EPOCH_FILE: &str = "epoch.before";
/// Size limit of these files, in bytes.
const MAX_EPOCH_FILE_BYTES: usize = 1 << 16;
/// The low bits of an epoch are random.
const RANDOM_BITS: u64 = 0xffff;

/// The epoch of a run.
#[derive(Debug)]
pub struct ReservedEpoch {
    /// Higher than all that were reserved in this folder.
    pub epoch: u64,
    /// Why the reservation is not durable, if it is not.
    pub failure: Option<DiskError>,
}

/// Reserves an epoch that no other run has: above all that were reserved here, and not below `clock_micros`, the time of
/// the calendar. `random`: tells two runs apart of which neither could reserve.
pub fn reserve_epoch(disk: &mut impl Disk, clock_micros: u64, random: u16) -> ReservedEpoch {
    // Above the last one also where the calendar was set back.
    let next = last_reserved(disk).saturating_add(RANDOM_BITS + 1);
    let base = clock_micros.max(next) & !RANDOM_BITS;
    let epoch = base | u64::from(random);
    let failure = write(disk, epoch).err();
    ReservedEpoch { epoch, failure }
}

/// The highest epoch that can be read; 0 if there is none.
fn last_reserved(disk: &mut impl Disk) -> u64 {
    let mut last = 0;
    for file in [EPOCH_FILE, PREVIOUS_EPOCH_FILE] {
        let Ok(bytes) = disk.read(file, MAX_EPOCH_FILE_BYTES) else { continue };
        let Ok(records) = frame::read(&bytes) else { continue };
        let epochs = records.intact.iter().filter_map(|record| decode(record));
        last = epochs.fold(last, u64::max);
    }
    last
}

fn decode(record: &[u8]) -> Option<u64> {
    Some(u64::from_le_bytes(record.try_into().ok()?))
}

fn write(disk: &mut impl Disk, epoch: u64) -> Result<(), DiskError> {
    let unfinished = format!("{EPOCH_FILE}{UNFINISHED}");
    let mut bytes = frame::header();
    bytes.extend(RecordChain::new().frame(&epoch.to_le_bytes()));
    disk.create(&unfinished)?;
    disk.append(&unfinished, &bytes)?;
    disk.sync(&unfinished)?;
    // The one before stays: damage to the newest must not bring back old epochs.
    if disk.list()?.iter().any(|name| name == EPOCH_FILE) {
        disk.rename(EPOCH_FILE, PREVIOUS_EPOCH_FILE)?;
    }
    disk.rename(&unfinished, EPOCH_FILE)?;
    disk.sync_folder()
}
