//! The file format: a header followed by records. Each record has its length and a checksum that covers the record and
//! all records before it.

/// The header of every file: the name of the program and the version of the format.
const HEADER: &[u8; 20] = b"wrenthread state 01\n";
/// The part of the header that all versions of the format share.
const HEADER_PREFIX: &[u8] = b"wrenthread state ";
/// The version of the format in [`HEADER`].
const VERSION: &[u8] = b"01";
/// Size of the length field of a record, in bytes.
const LENGTH_BYTES: usize = 4;
/// Size of the checksum field of a record, in bytes.
const CHECKSUM_BYTES: usize = 16;

type Checksum = [u8; CHECKSUM_BYTES];

/// Why a file, or the rest of one, is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The header has another version of the format.
    #[error("unsupported format version `{version}`; this release reads version `01`")]
    UnsupportedVersion {
        /// The version in the header.
        version: String,
    },
    /// The file has no valid header.
    #[error("not a wrenthread state file: invalid header")]
    NotAStateFile,
    /// The file ends within a record.
    #[error("it ends within a record at byte {offset}; the last {lost_bytes} bytes are ignored")]
    Truncated {
        /// Where that record begins.
        offset: usize,
        /// Bytes from there to the end.
        lost_bytes: usize,
    },
    /// The checksum of a record does not match, because the record or one before it changed after it was written.
    #[error(
        "the record at byte {offset} is not what was written (wrong checksum); the last {lost_bytes} bytes are ignored"
    )]
    ChecksumMismatch {
        /// Where that record begins.
        offset: usize,
        /// Bytes from there to the end.
        lost_bytes: usize,
    },
}

/// Returns the header that every file begins with.
pub fn header() -> Vec<u8> {
    HEADER.to_vec()
}

/// Frames the records of one file in their order. Each checksum depends on the one before it.
#[derive(Debug, Clone, Default)]
pub struct RecordChain {
    last_checksum: Checksum,
}

impl RecordChain {
    /// Starts the chain of a new file.
    pub fn new() -> Self {
        RecordChain::default()
    }

    /// Computes the checksum of the next record in this chain.
    fn checksum(&self, record: &[u8]) -> Checksum {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.last_checksum);
        hasher.update(&(record.len() as u64).to_le_bytes());
        hasher.update(record);
        let mut checksum = [0; CHECKSUM_BYTES];
        checksum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
        checksum
    }

    /// Returns the bytes to append to the file for the next record.
    pub fn frame(&mut self, record: &[u8]) -> Vec<u8> {
        self.last_checksum = self.checksum(record);
        let mut framed = Vec::with_capacity(LENGTH_BYTES + CHECKSUM_BYTES + record.len());
        framed.extend((record.len() as u32).to_le_bytes());
        framed.extend(self.last_checksum);
        framed.extend(record);
        framed
    }
}

/// The records of a file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Records {
    /// All records before the first damage.
    pub intact: Vec<Vec<u8>>,
    /// The first damage, if there is any.
    pub damage: Option<FrameError>,
}

/// Reads the records of a file up to its end or the first damage.
///
/// # Errors
/// The file has no header of this version.
pub fn read(bytes: &[u8]) -> Result<Records, FrameError> {
    let mut rest = bytes.strip_prefix(HEADER).ok_or_else(|| header_error(bytes))?;
    let mut records = Records::default();
    let mut chain = RecordChain::new();
    while !rest.is_empty() {
        let (offset, lost_bytes) = (bytes.len() - rest.len(), rest.len());
        let Some(framed) = split_record(rest) else {
            records.damage = Some(FrameError::Truncated { offset, lost_bytes });
            break;
        };
        if chain.checksum(framed.record) != framed.checksum {
            records.damage = Some(FrameError::ChecksumMismatch { offset, lost_bytes });
            break;
        }
        chain.last_checksum = framed.checksum;
        records.intact.push(framed.record.to_vec());
        rest = framed.rest;
    }
    Ok(records)
}

struct FramedRecord<'a> {
    checksum: Checksum,
    record: &'a [u8],
    rest: &'a [u8],
}

/// Splits off the first record; `None` if the bytes end within it.
fn split_record(bytes: &[u8]) -> Option<FramedRecord<'_>> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    let (checksum, rest) = rest.split_first_chunk::<CHECKSUM_BYTES>()?;
    let (record, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
    Some(FramedRecord { checksum: *checksum, record, rest })
}

fn header_error(bytes: &[u8]) -> FrameError {
    let after_prefix = bytes.strip_prefix(HEADER_PREFIX);
    let version = after_prefix.and_then(|rest| rest.split(|byte| *byte == b'\n').next());
    match version {
        Some(version) if version.len() == VERSION.len() && version != VERSION => {
            FrameError::UnsupportedVersion { version: String::from_utf8_lossy(version).into_owned() }
        }
        _ => FrameError::NotAStateFile,
    }
}
