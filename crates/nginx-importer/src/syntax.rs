//! Parser and writer for nginx's configuration syntax as documented: directives of words, ended by `;` or a
//! block in braces, with quotes, backslashes, comments and variables. The meaning of the words is not handled
//! here.
//!
//! Words are bytes, as a configuration need not be UTF-8. Nesting depth, word length and the number of
//! directives are limited, so that no text can exhaust the stack or the memory.

use std::borrow::Cow;
use std::fmt;

/// Maximum nesting depth of blocks.
pub const MAX_DEPTH: usize = 64;
/// Maximum length of a word; more than nginx itself allows.
pub const MAX_WORD_BYTES: usize = 64 << 10;
/// Maximum number of directives in all files of a configuration.
pub const MAX_DIRECTIVES: usize = 2_000_000;

/// A position: the index of the file, and line and column (in bytes) from 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The file's number in its configuration.
    pub file: u32,
    /// The line, from 1 on.
    pub line: u32,
    /// The column, from 1 on.
    pub column: u32,
}

/// A word of a directive, with quotes removed and escapes resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Word {
    /// The content, without quotes and escapes.
    pub bytes: Vec<u8>,
    /// Its position.
    pub at: Position,
}

impl Word {
    /// The word as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.bytes)
    }

    /// Whether the word equals a text.
    pub fn is(&self, text: &str) -> bool {
        self.bytes == text.as_bytes()
    }
}

/// What follows the words of a directive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Nothing; the directive ends with `;`.
    None,
    /// A block of directives.
    Block(Vec<Directive>),
    /// An `include` with the directives that it included.
    Included(Vec<Directive>),
}

/// One directive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directive {
    /// Its name.
    pub name: Word,
    /// Its parameters.
    pub words: Vec<Word>,
    /// Its block or included directives, if any.
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

    /// The parameter at an index, as text.
    pub fn word(&self, at: usize) -> Option<Cow<'_, str>> {
        self.words.get(at).map(Word::text)
    }
}

/// A kind of syntax error.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SyntaxErrorKind {
    /// It ends within a quoted word.
    #[error("the file ends within a quoted word")]
    UnclosedQuote,
    /// It ends within the block of this directive.
    #[error("the file ends within the block of `{0}`; a `}}` is missing")]
    UnclosedBlock(String),
    /// It ends within this directive.
    #[error("the file ends within `{0}`; a `;` is missing")]
    MissingSemicolon(String),
    /// An unexpected character.
    #[error("`{0}` does not belong here")]
    Unexpected(char),
    /// A quoted word is followed directly by other text.
    #[error("a quoted word must be followed by white space, `;` or `{{`")]
    TextAfterQuote,
    /// Blocks are nested too deeply.
    #[error("blocks within more than {MAX_DEPTH} other blocks")]
    TooDeep,
    /// A word that is too long.
    #[error("a word of more than {MAX_WORD_BYTES} bytes")]
    WordTooLong,
    /// Too many directives.
    #[error("more than {MAX_DIRECTIVES} directives")]
    TooManyDirectives,
}

/// A syntax error with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyntaxError {
    /// Its position.
    pub position: Position,
    /// The kind of error.
    pub kind: SyntaxErrorKind,
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, output: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(output, "{}:{}: {}", self.position.line, self.position.column, self.kind)
    }
}

enum Token {
    Word(Word),
    /// `;`, `{` or `}`.
    Delimiter(u8, Position),
}

struct Tokenizer<'a> {
    text: &'a [u8],
    offset: usize,
    at: Position,
}

fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

impl<'a> Tokenizer<'a> {
    fn new(text: &'a [u8], file: u32) -> Self {
        // Skips a byte order mark, which some editors write.
        let offset = if text.starts_with(b"\xef\xbb\xbf") { 3 } else { 0 };
        Tokenizer { text, offset, at: Position { file, line: 1, column: 1 } }
    }

    fn peek(&self) -> Option<u8> {
        self.text.get(self.offset).copied()
    }

    fn advance(&mut self) -> Option<u8> {
        let byte = self.peek()?;
        self.offset += 1;
        match byte {
            b'\n' => (self.at.line, self.at.column) = (self.at.line.saturating_add(1), 1),
            _ => self.at.column = self.at.column.saturating_add(1),
        }
        Some(byte)
    }

    /// Reads the character after a backslash and adds what the escape stands for; unknown escapes are kept as
    /// they are. Returns false at the end of the text.
    fn read_escape(&mut self, word: &mut Vec<u8>) -> bool {
        let Some(byte) = self.advance() else { return false };
        match byte {
            b'"' | b'\'' | b'\\' => word.push(byte),
            b't' => word.push(b'\t'),
            b'r' => word.push(b'\r'),
            b'n' => word.push(b'\n'),
            byte => word.extend([b'\\', byte]),
        }
        true
    }

    fn token(&mut self) -> Result<Option<Token>, SyntaxError> {
        loop {
            match self.peek() {
                None => return Ok(None),
                Some(byte) if is_space(byte) => drop(self.advance()),
                Some(b'#') => {
                    while self.peek().is_some_and(|byte| byte != b'\n') {
                        self.advance();
                    }
                }
                Some(_) => break,
            }
        }
        let (at, mut bytes) = (self.at, Vec::new());
        let error = |error_kind| Err(SyntaxError { position: at, kind: error_kind });
        let first = self.peek().unwrap_or_default();
        if matches!(first, b';' | b'{' | b'}') {
            self.advance();
            return Ok(Some(Token::Delimiter(first, at)));
        }
        if matches!(first, b'"' | b'\'') {
            self.advance();
            loop {
                match self.advance() {
                    None => return error(SyntaxErrorKind::UnclosedQuote),
                    Some(byte) if byte == first => break,
                    Some(b'\\') if !self.read_escape(&mut bytes) => {
                        return error(SyntaxErrorKind::UnclosedQuote);
                    }
                    Some(b'\\') => {}
                    Some(byte) => bytes.push(byte),
                }
                if bytes.len() > MAX_WORD_BYTES {
                    return error(SyntaxErrorKind::WordTooLong);
                }
            }
            if self.peek().is_some_and(|byte| !is_space(byte) && !matches!(byte, b';' | b'{' | b')')) {
                return Err(SyntaxError { position: self.at, kind: SyntaxErrorKind::TextAfterQuote });
            }
            return Ok(Some(Token::Word(Word { bytes, at })));
        }
        while let Some(byte) = self.peek() {
            if is_space(byte) || matches!(byte, b';' | b'{') {
                break;
            }
            self.advance();
            match byte {
                b'\\' if !self.read_escape(&mut bytes) => bytes.push(b'\\'),
                b'\\' => {}
                // The brace in `${` does not open a block.
                b'$' if self.peek() == Some(b'{') => {
                    self.advance();
                    bytes.extend(b"${");
                }
                byte => bytes.push(byte),
            }
            if bytes.len() > MAX_WORD_BYTES {
                return error(SyntaxErrorKind::WordTooLong);
            }
        }
        Ok(Some(Token::Word(Word { bytes, at })))
    }
}

/// Parses the text of a file. `file`: its index, for positions.
///
/// Errors: a syntax error with its position, also if there are more than `max_directives` directives.
pub fn parse(text: &[u8], file: u32, max_directives: usize) -> Result<Vec<Directive>, SyntaxError> {
    let mut tokenizer = Tokenizer::new(text, file);
    // For each open block: the words of its directive, and the directives of the enclosing block so far.
    let mut open_blocks: Vec<(Vec<Word>, Vec<Directive>)> = Vec::new();
    let (mut block, mut words, mut count): (Vec<Directive>, Vec<Word>, usize) = Default::default();
    fn make_directive(mut words: Vec<Word>, body: Body) -> Option<Directive> {
        (!words.is_empty()).then(|| Directive { name: words.remove(0), words, body })
    }
    while let Some(token) = tokenizer.token()? {
        let (delimiter, at) = match token {
            Token::Word(word) => {
                words.push(word);
                continue;
            }
            Token::Delimiter(delimiter, at) => (delimiter, at),
        };
        let unexpected =
            SyntaxError { position: at, kind: SyntaxErrorKind::Unexpected(char::from(delimiter)) };
        if delimiter != b'}' {
            count += 1;
            if count > max_directives.min(MAX_DIRECTIVES) {
                return Err(SyntaxError { position: at, kind: SyntaxErrorKind::TooManyDirectives });
            }
        }
        match delimiter {
            b';' => block.push(make_directive(std::mem::take(&mut words), Body::None).ok_or(unexpected)?),
            b'{' => {
                if words.is_empty() {
                    return Err(unexpected);
                }
                if open_blocks.len() == MAX_DEPTH {
                    return Err(SyntaxError { position: at, kind: SyntaxErrorKind::TooDeep });
                }
                open_blocks.push((std::mem::take(&mut words), std::mem::take(&mut block)));
            }
            _ => {
                if !words.is_empty() {
                    return Err(unexpected);
                }
                let (words, outer) = open_blocks.pop().ok_or_else(|| unexpected.clone())?;
                let children = std::mem::replace(&mut block, outer);
                block.push(make_directive(words, Body::Block(children)).ok_or(unexpected)?);
            }
        }
    }
    let directive_name =
        |words: &[Word]| words.first().map_or_else(String::new, |word| word.text().into_owned());
    if let Some(word) = words.first() {
        return Err(SyntaxError {
            position: word.at,
            kind: SyntaxErrorKind::MissingSemicolon(directive_name(&words)),
        });
    }
    match open_blocks.pop() {
        Some((words, _)) => {
            let at = words.first().map_or(tokenizer.at, |word| word.at);
            Err(SyntaxError { position: at, kind: SyntaxErrorKind::UnclosedBlock(directive_name(&words)) })
        }
        None => Ok(block),
    }
}

/// Writes a word, with quotes if it needs them.
fn write_word(word: &[u8], output: &mut Vec<u8>) {
    let is_plain = |byte: &u8| byte.is_ascii_graphic() && !b"\"'\\;{}#$".contains(byte);
    if !word.is_empty() && word.iter().all(is_plain) {
        return output.extend(word);
    }
    output.push(b'"');
    for byte in word {
        match byte {
            b'"' | b'\\' => output.extend([b'\\', *byte]),
            byte => output.push(*byte),
        }
    }
    output.push(b'"');
}

/// Writes directives as text that parses to the same directives. Included directives replace their `include`.
pub fn write(directives: &[Directive]) -> Vec<u8> {
    fn write_block(directives: &[Directive], depth: usize, output: &mut Vec<u8>) {
        for directive in directives {
            if let Body::Included(included) = &directive.body {
                write_block(included, depth, output);
                continue;
            }
            output.extend(std::iter::repeat_n(b' ', 4 * depth));
            write_word(&directive.name.bytes, output);
            for word in &directive.words {
                output.push(b' ');
                write_word(&word.bytes, output);
            }
            match &directive.body {
                Body::Block(block) => {
                    output.extend(b" {\n");
                    write_block(block, depth + 1, output);
                    output.extend(std::iter::repeat_n(b' ', 4 * depth));
                    output.extend(b"}\n");
                }
                _ => output.extend(b";\n"),
            }
        }
    }
    let mut text = Vec::new();
    write_block(directives, 0, &mut text);
    text
}

#[cfg(test)]
mod tests;
