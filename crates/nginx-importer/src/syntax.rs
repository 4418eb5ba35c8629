//! nginx's configuration syntax, as its documentation states it: directives of words, ended by `;` or by a
//! block in braces; quotes, backslashes, comments, variables. What the words mean is nobody's concern here.
//!
//! Words are bytes: a configuration need not be UTF-8. Depth, length of words and their number are bounded,
//! so that no text takes a stack or all memory.

use std::borrow::Cow;
use std::fmt;

/// Blocks within blocks, at the most.
pub const DEEPEST: usize = 64;
/// Bytes of a word: nginx itself allows less.
pub const LONGEST: usize = 64 << 10;
/// Directives in all files of a configuration together.
pub const MOST: usize = 2_000_000;

/// Where something stands: the file by its number, line and column (in bytes) from 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The file's number in its configuration.
    pub file: u32,
    /// The line, from 1 on.
    pub line: u32,
    /// The column, from 1 on.
    pub column: u32,
}

/// One word of a directive, without its quotes and with its escapes resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Word {
    /// What it says, without quotes and escapes.
    pub bytes: Vec<u8>,
    /// Where it stands.
    pub at: Position,
}

impl Word {
    /// As text; bytes that are none are replaced.
    pub fn text(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.bytes)
    }

    /// Whether it says this.
    pub fn is(&self, text: &str) -> bool {
        self.bytes == text.as_bytes()
    }
}

/// What stands behind a directive's words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Ended by `;`.
    None,
    /// A block of directives.
    Block(Vec<Directive>),
    /// An `include`, and what came of it: it stands as if written there.
    Included(Vec<Directive>),
}

/// One directive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directive {
    /// Its name.
    pub name: Word,
    /// Its parameters.
    pub words: Vec<Word>,
    /// What stands behind them.
    pub body: Body,
}

impl Directive {
    /// Whether it has this name.
    pub fn is(&self, name: &str) -> bool {
        self.name.is(name)
    }

    /// Its block, if it has one.
    pub fn block(&self) -> &[Directive] {
        match &self.body {
            Body::Block(within) | Body::Included(within) => within,
            Body::None => &[],
        }
    }

    /// The word at a place behind the name, as text.
    pub fn word(&self, at: usize) -> Option<Cow<'_, str>> {
        self.words.get(at).map(Word::text)
    }
}

/// What is wrong with a text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SyntaxErrorKind {
    /// It ends within a quoted word.
    #[error("the file ends within a quoted word")]
    OpenQuote,
    /// It ends within the block of this directive.
    #[error("the file ends within the block of `{0}`; a `}}` is missing")]
    OpenBlock(String),
    /// It ends within this directive.
    #[error("the file ends within `{0}`; a `;` is missing")]
    Unended(String),
    /// A character stands where none such may.
    #[error("`{0}` does not belong here")]
    Unexpected(char),
    /// Something stands right behind a quoted word.
    #[error("a quoted word must be followed by white space, `;` or `{{`")]
    AfterQuote,
    /// Blocks within too many blocks.
    #[error("blocks within more than {DEEPEST} others")]
    Deep,
    /// A word that is too long.
    #[error("a word of more than {LONGEST} bytes")]
    Long,
    /// Too many directives.
    #[error("more than {MOST} directives")]
    Many,
}

/// What is wrong with a file's syntax, and where in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyntaxError {
    /// Where.
    pub position: Position,
    /// What is wrong.
    pub kind: SyntaxErrorKind,
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{}:{}: {}", self.position.line, self.position.column, self.kind)
    }
}

enum Token {
    Word(Word),
    /// `;`, `{` or `}`.
    Mark(u8, Position),
}

struct Tokens<'a> {
    text: &'a [u8],
    next: usize,
    at: Position,
}

fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

impl<'a> Tokens<'a> {
    fn new(text: &'a [u8], file: u32) -> Self {
        // A mark of byte order that some editors leave at the beginning.
        let next = if text.starts_with(b"\xef\xbb\xbf") { 3 } else { 0 };
        Tokens { text, next, at: Position { file, line: 1, column: 1 } }
    }

    fn peek(&self) -> Option<u8> {
        self.text.get(self.next).copied()
    }

    fn take(&mut self) -> Option<u8> {
        let byte = self.peek()?;
        self.next += 1;
        match byte {
            b'\n' => (self.at.line, self.at.column) = (self.at.line.saturating_add(1), 1),
            _ => self.at.column = self.at.column.saturating_add(1),
        }
        Some(byte)
    }

    /// The byte that a backslash and the next one stand for; both where they stand for themselves.
    fn escaped(&mut self, word: &mut Vec<u8>) -> bool {
        let Some(byte) = self.take() else { return false };
        match byte {
            b'"' | b'\'' | b'\\' => word.push(byte),
            b't' => word.push(b'\t'),
            b'r' => word.push(b'\r'),
            b'n' => word.push(b'\n'),
            other => word.extend([b'\\', other]),
        }
        true
    }

    fn token(&mut self) -> Result<Option<Token>, SyntaxError> {
        loop {
            match self.peek() {
                None => return Ok(None),
                Some(byte) if is_space(byte) => drop(self.take()),
                Some(b'#') => {
                    while self.peek().is_some_and(|byte| byte != b'\n') {
                        self.take();
                    }
                }
                Some(_) => break,
            }
        }
        let (at, mut bytes) = (self.at, Vec::new());
        let fault = |why| Err(SyntaxError { position: at, kind: why });
        let first = self.peek().unwrap_or_default();
        if matches!(first, b';' | b'{' | b'}') {
            self.take();
            return Ok(Some(Token::Mark(first, at)));
        }
        if matches!(first, b'"' | b'\'') {
            self.take();
            loop {
                match self.take() {
                    None => return fault(SyntaxErrorKind::OpenQuote),
                    Some(byte) if byte == first => break,
                    Some(b'\\') if !self.escaped(&mut bytes) => return fault(SyntaxErrorKind::OpenQuote),
                    Some(b'\\') => {}
                    Some(byte) => bytes.push(byte),
                }
                if bytes.len() > LONGEST {
                    return fault(SyntaxErrorKind::Long);
                }
            }
            if self.peek().is_some_and(|byte| !is_space(byte) && !matches!(byte, b';' | b'{' | b')')) {
                return Err(SyntaxError { position: self.at, kind: SyntaxErrorKind::AfterQuote });
            }
            return Ok(Some(Token::Word(Word { bytes, at })));
        }
        while let Some(byte) = self.peek() {
            if is_space(byte) || matches!(byte, b';' | b'{') {
                break;
            }
            self.take();
            match byte {
                b'\\' if !self.escaped(&mut bytes) => bytes.push(b'\\'),
                b'\\' => {}
                // The brace of a variable opens no block.
                b'$' if self.peek() == Some(b'{') => {
                    self.take();
                    bytes.extend(b"${");
                }
                byte => bytes.push(byte),
            }
            if bytes.len() > LONGEST {
                return fault(SyntaxErrorKind::Long);
            }
        }
        Ok(Some(Token::Word(Word { bytes, at })))
    }
}

/// Reads a file's text. `file`: its number, for places; `most`: how many directives it may have.
///
/// Errors: what is wrong with its syntax, and where.
pub fn parse(text: &[u8], file: u32, most: usize) -> Result<Vec<Directive>, SyntaxError> {
    let mut tokens = Tokens::new(text, file);
    // What is open: the words of each block's directive, and what stands in it so far.
    let mut open: Vec<(Vec<Word>, Vec<Directive>)> = Vec::new();
    let (mut here, mut words, mut count): (Vec<Directive>, Vec<Word>, usize) = Default::default();
    fn made(mut words: Vec<Word>, body: Body) -> Option<Directive> {
        (!words.is_empty()).then(|| Directive { name: words.remove(0), words, body })
    }
    while let Some(token) = tokens.token()? {
        let (mark, at) = match token {
            Token::Word(word) => {
                words.push(word);
                continue;
            }
            Token::Mark(mark, at) => (mark, at),
        };
        let unexpected = SyntaxError { position: at, kind: SyntaxErrorKind::Unexpected(char::from(mark)) };
        if mark != b'}' {
            count += 1;
            if count > most.min(MOST) {
                return Err(SyntaxError { position: at, kind: SyntaxErrorKind::Many });
            }
        }
        match mark {
            b';' => here.push(made(std::mem::take(&mut words), Body::None).ok_or(unexpected)?),
            b'{' => {
                if words.is_empty() {
                    return Err(unexpected);
                }
                if open.len() == DEEPEST {
                    return Err(SyntaxError { position: at, kind: SyntaxErrorKind::Deep });
                }
                open.push((std::mem::take(&mut words), std::mem::take(&mut here)));
            }
            _ => {
                if !words.is_empty() {
                    return Err(unexpected);
                }
                let (words, outer) = open.pop().ok_or_else(|| unexpected.clone())?;
                let within = std::mem::replace(&mut here, outer);
                here.push(made(words, Body::Block(within)).ok_or(unexpected)?);
            }
        }
    }
    let named = |words: &[Word]| words.first().map_or_else(String::new, |word| word.text().into_owned());
    if let Some(word) = words.first() {
        return Err(SyntaxError { position: word.at, kind: SyntaxErrorKind::Unended(named(&words)) });
    }
    match open.pop() {
        Some((words, _)) => {
            let at = words.first().map_or(tokens.at, |word| word.at);
            Err(SyntaxError { position: at, kind: SyntaxErrorKind::OpenBlock(named(&words)) })
        }
        None => Ok(here),
    }
}

/// A word as it can be written: in quotes where it would be read as something else.
fn write_word(word: &[u8], to: &mut Vec<u8>) {
    let plain = |byte: &u8| byte.is_ascii_graphic() && !b"\"'\\;{}#$".contains(byte);
    if !word.is_empty() && word.iter().all(plain) {
        return to.extend(word);
    }
    to.push(b'"');
    for byte in word {
        match byte {
            b'"' | b'\\' => to.extend([b'\\', *byte]),
            byte => to.push(*byte),
        }
    }
    to.push(b'"');
}

/// Directives as text that reads as the same directives. Includes are written as what they included.
pub fn write(directives: &[Directive]) -> Vec<u8> {
    fn within(directives: &[Directive], depth: usize, to: &mut Vec<u8>) {
        for directive in directives {
            if let Body::Included(included) = &directive.body {
                within(included, depth, to);
                continue;
            }
            to.extend(std::iter::repeat_n(b' ', 4 * depth));
            write_word(&directive.name.bytes, to);
            for word in &directive.words {
                to.push(b' ');
                write_word(&word.bytes, to);
            }
            match &directive.body {
                Body::Block(block) => {
                    to.extend(b" {\n");
                    within(block, depth + 1, to);
                    to.extend(std::iter::repeat_n(b' ', 4 * depth));
                    to.extend(b"}\n");
                }
                _ => to.extend(b";\n"),
            }
        }
    }
    let mut text = Vec::new();
    within(directives, 0, &mut text);
    text
}

#[cfg(test)]
mod tests;
