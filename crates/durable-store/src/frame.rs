//! Records in a file: a head that says the form, then each record with its length and a check over it and all
//! records before it.

/// What every file begins with: whose it is, and its form.
const HEAD: &[u8; 20] = b"wrenthread state 01\n";
/// The part of it that other forms share.
const MARK: &[u8] = b"wrenthread state ";
const CHECK: usize = 16;

/// Where a file stops being what it should be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Cut {
    #[error("it is of form `{0}`, and this version reads form `01`")]
    Form(String),
    #[error("it is no file of this kind")]
    Head,
    #[error("it ends within a record at byte {0}; {1} bytes are left out")]
    Torn(usize, usize),
    #[error("a record at byte {0} is not what was written; {1} bytes are left out")]
    Check(usize, usize),
}

pub fn head() -> Vec<u8> {
    HEAD.to_vec()
}

/// The check of what was written so far.
#[derive(Debug, Clone, Default)]
pub struct Frames {
    before: [u8; CHECK],
}

impl Frames {
    pub fn new() -> Self {
        Frames::default()
    }

    fn check(&self, record: &[u8]) -> [u8; CHECK] {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.before);
        hasher.update(&(record.len() as u64).to_le_bytes());
        hasher.update(record);
        let mut check = [0; CHECK];
        check.copy_from_slice(&hasher.finalize().as_bytes()[..CHECK]);
        check
    }

    /// A record as it is added to a file.
    pub fn record(&mut self, record: &[u8]) -> Vec<u8> {
        self.before = self.check(record);
        let mut framed = Vec::with_capacity(4 + CHECK + record.len());
        framed.extend((record.len() as u32).to_le_bytes());
        framed.extend(self.before);
        framed.extend(record);
        framed
    }
}

/// The whole records of a file, and where it stops being one, if it does before its end.
///
/// Errors: nothing of it can be read.
pub fn read(bytes: &[u8]) -> Result<(Vec<Vec<u8>>, Option<Cut>), Cut> {
    let Some(mut rest) = bytes.strip_prefix(HEAD) else {
        return Err(
            match bytes.strip_prefix(MARK).and_then(|rest| rest.split(|byte| *byte == b'\n').next()) {
                Some(form) if form.len() == 2 && form != b"01" => {
                    Cut::Form(String::from_utf8_lossy(form).into_owned())
                }
                _ => Cut::Head,
            },
        );
    };
    let (mut records, mut frames) = (Vec::new(), Frames::new());
    while !rest.is_empty() {
        let at = bytes.len() - rest.len();
        let torn = Cut::Torn(at, rest.len());
        let Some((length, after)) = rest.split_first_chunk::<4>() else { return Ok((records, Some(torn))) };
        let Some((check, after)) = after.split_first_chunk::<CHECK>() else {
            return Ok((records, Some(torn)));
        };
        let Some((record, after)) = after.split_at_checked(u32::from_le_bytes(*length) as usize) else {
            return Ok((records, Some(torn)));
        };
        if frames.check(record) != *check {
            return Ok((records, Some(Cut::Check(at, rest.len()))));
        }
        frames.before = *check;
        records.push(record.to_vec());
        rest = after;
    }
    Ok((records, None))
}
