//! Reads a configuration and resolves its `include` directives, which may have patterns.

use std::fmt;
use std::path::{Path, PathBuf};

use crate::syntax::{self, Body, Directive, MAX_DEPTH, MAX_DIRECTIVES, Position};

/// Maximum number of files of one configuration.
pub const MAX_FILES: usize = 10_000;
/// Maximum total size of the files of one configuration.
pub const MAX_TOTAL_BYTES: u64 = 64 << 20;

/// Source of configuration files.
pub trait FileSource {
    /// Errors: the file cannot be read, or is larger than `max_bytes`.
    fn read(&self, path: &Path, max_bytes: u64) -> Result<Vec<u8>, String>;
    /// Files that match a pattern, sorted by name.
    ///
    /// Errors: an invalid pattern.
    fn matching(&self, pattern: &str) -> Result<Vec<PathBuf>, String>;
}

/// Reads files from the local file system.
pub struct LocalFiles;

impl FileSource for LocalFiles {
    fn read(&self, path: &Path, max_bytes: u64) -> Result<Vec<u8>, String> {
        use std::io::Read;
        let mut text = Vec::new();
        let file = std::fs::File::open(path).map_err(|error| error.to_string())?;
        // Limits the read itself, as a pipe or a device has no length and may be endless.
        file.take(max_bytes + 1).read_to_end(&mut text).map_err(|error| error.to_string())?;
        if text.len() as u64 > max_bytes {
            return Err(format!("all files together have more than {MAX_TOTAL_BYTES} bytes"));
        }
        Ok(text)
    }

    fn matching(&self, pattern: &str) -> Result<Vec<PathBuf>, String> {
        let paths = glob::glob(pattern).map_err(|error| error.to_string())?;
        // A path that cannot be inspected is returned; reading it fails later.
        Ok(paths.map(|path| path.unwrap_or_else(|error| error.path().to_path_buf())).collect())
    }
}

/// A configuration with all included files.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// The files, indexed by the file number in positions.
    pub files: Vec<PathBuf>,
    /// The directives of the main file, with included ones in place.
    pub directives: Vec<Directive>,
}

impl Configuration {
    /// Formats a position as `file:line`.
    pub fn origin(&self, at: Position) -> String {
        let file =
            self.files.get(at.file as usize).map_or_else(String::new, |file| file.display().to_string());
        format!("{file}:{}", at.line)
    }
}

/// Why a configuration cannot be read, with the position.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct ReadError {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1 on; 0 if the error concerns the whole file.
    pub line: u32,
    /// The column, from 1 on.
    pub column: u32,
    /// Why.
    pub reason: String,
}

impl fmt::Display for ReadError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(to, "{}: {}", self.file.display(), self.reason),
            line => write!(to, "{}:{line}:{}: {}", self.file.display(), self.column, self.reason),
        }
    }
}

struct ConfigurationReader<'a> {
    source: &'a dyn FileSource,
    /// The folder of the main file, to which relative paths refer.
    base_folder: PathBuf,
    files: Vec<PathBuf>,
    /// The files being read, from the main file to the innermost include.
    open_files: Vec<PathBuf>,
    bytes: u64,
    directives: usize,
}

/// Reads a configuration from its main file.
///
/// Errors: a file that cannot be read or parsed, with its position.
pub fn read(source: &dyn FileSource, main: &Path) -> Result<Configuration, ReadError> {
    let base_folder = main.parent().map(Path::to_path_buf).unwrap_or_default();
    let mut reader = ConfigurationReader {
        source,
        base_folder,
        files: Vec::new(),
        open_files: Vec::new(),
        bytes: 0,
        directives: 0,
    };
    let directives = reader.read_file(main, None, 0)?;
    Ok(Configuration { files: reader.files, directives })
}

impl ConfigurationReader<'_> {
    /// Reads a file and its includes. `included_at`: the position of the `include`; `depth`: the number of
    /// enclosing blocks and files.
    fn read_file(
        &mut self,
        path: &Path,
        included_at: Option<Position>,
        depth: usize,
    ) -> Result<Vec<Directive>, ReadError> {
        let at = |reader: &Self, message: String| match included_at {
            Some(included_at) => reader.error(included_at, message),
            None => ReadError { file: path.to_path_buf(), line: 0, column: 0, reason: message },
        };
        if self.open_files.iter().any(|file| file == path) {
            return Err(at(self, format!("{} includes itself", path.display())));
        }
        if self.files.len() >= MAX_FILES {
            return Err(at(self, format!("more than {MAX_FILES} files")));
        }
        let text = self.source.read(path, MAX_TOTAL_BYTES - self.bytes);
        let text = text.map_err(|message| at(self, format!("{}: {message}", path.display())))?;
        self.bytes += text.len() as u64;
        let number = self.files.len() as u32;
        self.files.push(path.to_path_buf());
        let read = syntax::parse(&text, number, MAX_DIRECTIVES - self.directives);
        let mut read = read.map_err(|error| self.error(error.position, error.kind.to_string()))?;
        self.open_files.push(path.to_path_buf());
        self.resolve_includes(&mut read, depth)?;
        self.open_files.pop();
        Ok(read)
    }

    fn error(&self, at: Position, message: String) -> ReadError {
        let file = self.files.get(at.file as usize).cloned().unwrap_or_default();
        ReadError { file, line: at.line, column: at.column, reason: message }
    }

    fn resolve_includes(&mut self, directives: &mut [Directive], depth: usize) -> Result<(), ReadError> {
        for directive in directives {
            self.directives += 1;
            let at = directive.name.at;
            if depth > MAX_DEPTH || self.directives > MAX_DIRECTIVES {
                return Err(self.error(
                    at,
                    "too many directives or too deeply nested blocks, including included files".to_string(),
                ));
            }
            if let Body::Block(block) = &mut directive.body {
                self.resolve_includes(block, depth + 1)?;
                continue;
            }
            if !directive.is("include") {
                continue;
            }
            let [word] = directive.words.as_slice() else {
                return Err(self.error(at, "`include` takes one name or pattern".to_string()));
            };
            let path = self.base_folder.join(&*word.text());
            let pattern = path.to_string_lossy().into_owned();
            let paths = match pattern.contains(['*', '?', '[']) {
                true => self.source.matching(&pattern).map_err(|message| self.error(at, message))?,
                false => vec![path],
            };
            let mut included = Vec::new();
            for path in paths {
                included.extend(self.read_file(&path, Some(at), depth + 1)?);
            }
            directive.body = Body::Included(included);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
