//! Epochs: each run of a governor has a number that is reserved on disk before it is used.

use crate::disk::{Disk, DiskError};
use crate::frame::{self, RecordChain};
use crate::store::TEMPORARY_SUFFIX;

/// The file with the latest reserved epoch.
const EPOCH_FILE: &str = "epoch";
/// The file with the epoch that was reserved before the latest.
const PREVIOUS_EPOCH_FILE: &str = "epoch.before";
/// Maximum size of an epoch file, in bytes.
const MAX_EPOCH_FILE_BYTES: usize = 1 << 16;
/// Mask of the low bits of an epoch, which are random.
const RANDOM_BITS: u64 = 0xffff;

/// The epoch of a run.
#[derive(Debug)]
pub struct ReservedEpoch {
    /// Higher than all epochs reserved in this folder before.
    pub epoch: u64,
    /// The disk error if the reservation could not be made durable.
    pub failure: Option<DiskError>,
}

/// Reserves an epoch that no other run has. It is above all epochs reserved in this folder before, and, apart from the
/// random bits, not below `clock_micros`, the wall-clock time. The random bits make two runs differ even if neither
/// could write its reservation.
pub fn reserve_epoch(disk: &mut impl Disk, clock_micros: u64, random: u16) -> ReservedEpoch {
    // Stays above the last epoch even if the wall clock was set back.
    let next = last_reserved(disk).saturating_add(RANDOM_BITS + 1);
    let base = clock_micros.max(next) & !RANDOM_BITS;
    let epoch = base | u64::from(random);
    let failure = write_epoch_file(disk, epoch).err();
    ReservedEpoch { epoch, failure }
}

/// Returns the highest epoch that can be read from the epoch files, or 0 if there is none.
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

fn write_epoch_file(disk: &mut impl Disk, epoch: u64) -> Result<(), DiskError> {
    let temporary_file = format!("{EPOCH_FILE}{TEMPORARY_SUFFIX}");
    let mut bytes = frame::header();
    bytes.extend(RecordChain::new().frame(&epoch.to_le_bytes()));
    disk.create(&temporary_file)?;
    disk.append(&temporary_file, &bytes)?;
    disk.sync(&temporary_file)?;
    // Keep the previous epoch, so that damage to the latest file does not lead to the reuse of old epochs.
    if disk.list()?.iter().any(|name| name == EPOCH_FILE) {
        disk.rename(EPOCH_FILE, PREVIOUS_EPOCH_FILE)?;
    }
    disk.rename(&temporary_file, EPOCH_FILE)?;
    disk.sync_folder()
}
