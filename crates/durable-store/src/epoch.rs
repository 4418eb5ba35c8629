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

/// The difference between an epoch and the lowest one that may follow it.
const STEP: u64 = RANDOM_BITS + 1;

/// What the epoch files contain.
struct EpochFiles {
    /// The highest epoch that can be read, or 0 if there is none.
    last: u64,
    latest: LatestFile,
}

/// The state of [`EPOCH_FILE`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum LatestFile {
    Missing,
    Intact,
    Damaged,
}

/// Reserves an epoch that no other run has. It is above all epochs reserved in this folder before, and, apart from the
/// random bits, not below `clock_micros`, the wall-clock time. The random bits make two runs differ even if neither
/// could write its reservation.
pub fn reserve_epoch(disk: &mut impl Disk, clock_micros: u64, random: u16) -> ReservedEpoch {
    let files = read_files(disk);
    // Stays above the last epoch even if the wall clock was set back.
    let next = clock_micros.max(files.last.saturating_add(STEP)) & !RANDOM_BITS;
    if files.latest == LatestFile::Damaged {
        return reserve_after_damage(disk, next, random);
    }
    let epoch = next | u64::from(random);
    let failure = write_epoch_file(disk, epoch, files.latest).err();
    ReservedEpoch { epoch, failure }
}

/// Reserves two epochs above that of the damaged file, which may be one step above the previous file's. The previous
/// file then holds the first of them, so that damage to the latest file can be recovered from again.
fn reserve_after_damage(disk: &mut impl Disk, next: u64, random: u16) -> ReservedEpoch {
    let first = next.saturating_add(STEP) | u64::from(random);
    let epoch = first.saturating_add(STEP);
    let written = write_epoch_file(disk, first, LatestFile::Damaged)
        .and_then(|()| write_epoch_file(disk, epoch, LatestFile::Intact));
    ReservedEpoch { epoch, failure: written.err() }
}

fn read_files(disk: &mut impl Disk) -> EpochFiles {
    let exists = disk.list().is_ok_and(|names| names.iter().any(|name| name == EPOCH_FILE));
    let latest_epoch = read_epoch(disk, EPOCH_FILE);
    let latest = match latest_epoch {
        Some(_) => LatestFile::Intact,
        None if exists => LatestFile::Damaged,
        None => LatestFile::Missing,
    };
    let last = latest_epoch.max(read_epoch(disk, PREVIOUS_EPOCH_FILE)).unwrap_or(0);
    EpochFiles { last, latest }
}

/// Returns the epoch in a file; `None` if there is no intact one.
fn read_epoch(disk: &mut impl Disk, file: &str) -> Option<u64> {
    let bytes = disk.read(file, MAX_EPOCH_FILE_BYTES).ok()?;
    let records = frame::read(&bytes).ok()?;
    records.intact.iter().filter_map(|record| decode(record)).max()
}

fn decode(record: &[u8]) -> Option<u64> {
    Some(u64::from_le_bytes(record.try_into().ok()?))
}

fn write_epoch_file(disk: &mut impl Disk, epoch: u64, latest: LatestFile) -> Result<(), DiskError> {
    let temporary_file = format!("{EPOCH_FILE}{TEMPORARY_SUFFIX}");
    let mut bytes = frame::header();
    bytes.extend(RecordChain::new().frame(&epoch.to_le_bytes()));
    disk.create(&temporary_file)?;
    disk.append(&temporary_file, &bytes)?;
    disk.sync(&temporary_file)?;
    // Keep the previous epoch, so that damage to the latest file does not lead to the reuse of old epochs.
    if latest == LatestFile::Intact {
        disk.rename(EPOCH_FILE, PREVIOUS_EPOCH_FILE)?;
    }
    disk.rename(&temporary_file, EPOCH_FILE)?;
    disk.sync_folder()
}
