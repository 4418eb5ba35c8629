//! Records in a file: a head that says the form, then each record with its length and a check over it and all
//! records before it.

/// What every file begins with: whose it is, and its form.
const HEADER: &[u8; 20] = b"wrenthread state 01\n";
/// The part of it that other forms share.
const HEADER_PREFIX: &[u8] = b"wrenthread state ";
const CHECKSUM_BYTES: usize = 16;

/// Where a file stops being what it should be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("it is of form `{0}`, and this version reads form `01`")]
    UnsupportedFormat(String),
    #[error("it is no file of this kind")]
    NotAStateFile,
    #[error("it ends within a record at byte {0}; {1} bytes are left out")]
    Truncated(usize, usize),
    #[error("a record at byte {0} is not what was written; {1} bytes are left out")]
    ChecksumMismatch(usize, usize),
}

pub fn header() -> Vec<u8> {
    HEADER.to_vec()
}

/// The check of what was written so far.
#[derive(Debug, Clone, Default)]
pub struct RecordChain {
    before: [u8; CHECKSUM_BYTES],
}

impl RecordChain {
    pub fn new() -> Self {
        RecordChain::default()
    }

    fn check(&self, record: &[u8]) -> [u8; CHECKSUM_BYTES] {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.before);
        hasher.update(&(record.len() as u64).to_le_bytes());
        hasher.update(record);
        let mut check = [0; CHECKSUM_BYTES];
        check.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
        check
    }

    /// A record as it is added to a file.
    pub fn record(&mut self, record: &[u8]) -> Vec<u8> {
        self.before = self.check(record);
        let mut framed = Vec::with_capacity(4 + CHECKSUM_BYTES + record.len());
        framed.extend((record.len() as u32).to_le_bytes());
        framed.extend(self.before);
        framed.extend(record);
        framed
    }
}

/// The whole records of a file, and where it stops being one, if it does before its end.
///
/// Errors: nothing of it can be read.
pub fn read(bytes: &[u8]) -> Result<(Vec<Vec<u8>>, Option<FrameError>), FrameError> {
    let Some(mut rest) = bytes.strip_prefix(HEADER) else {
        return Err(
            match bytes.strip_prefix(HEADER_PREFIX).and_then(|rest| rest.split(|byte| *byte == b'\n').next())
            {
                Some(form) if form.len() == 2 && form != b"01" => {
                    FrameError::UnsupportedFormat(String::from_utf8_lossy(form).into_owned())
                }
                _ => FrameError::NotAStateFile,
            },
        );
    };
    let (mut records, mut frames) = (Vec::new(), RecordChain::new());
    while !rest.is_empty() {
        let at = bytes.len() - rest.len();
        let torn = FrameError::Truncated(at, rest.len());
        let Some((length, after)) = rest.split_first_chunk::<4>() else { return Ok((records, Some(torn))) };
        let Some((check, after)) = after.split_first_chunk::<CHECKSUM_BYTES>() else {
            return Ok((records, Some(torn)));
        };
        let Some((record, after)) = after.split_at_checked(u32::from_le_bytes(*length) as usize) else {
            return Ok((records, Some(torn)));
        };
        if frames.check(record) != *check {
            return Ok((records, Some(FrameError::ChecksumMismatch(at, rest.len()))));
        }
        frames.before = *check;
        records.push(record.to_vec());
        rest = after;
    }
    Ok((records, None))
}
