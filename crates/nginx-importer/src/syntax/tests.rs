//! Tests of `syntax`.

use super::*;
use proptest::prelude::*;

fn read(text: &str) -> Result<Vec<Directive>, SyntaxError> {
    parse(text.as_bytes(), 0, MAX_DIRECTIVES)
}

fn words(directive: &Directive) -> Vec<String> {
    std::iter::once(&directive.name).chain(&directive.words).map(|word| word.text().into_owned()).collect()
}

#[test]
fn parses_words_quotes_escapes_comments_and_variables() {
    let text = "a  b\t'c d' \"e\\\"f\" g\\.h; # no; {\r\nset $x \"${y}z\"; w ${v}x#y {i 1;}j '';";
    let directives = read(text).unwrap();
    let parsed_words: Vec<_> = directives.iter().map(words).collect();
    assert_eq!(parsed_words[0], ["a", "b", "c d", "e\"f", "g\\.h"]);
    assert_eq!(parsed_words[1], ["set", "$x", "${y}z"]);
    assert_eq!(parsed_words[2], ["w", "${v}x#y"]);
    assert_eq!(words(&directives[2].block()[0]), ["i", "1"]);
    assert_eq!(parsed_words[3], ["j", ""]);
    assert_eq!(directives[1].name.at, Position { file: 0, line: 2, column: 1 });
    assert_eq!(directives[0].words[1].at, Position { file: 0, line: 1, column: 6 });
    assert_eq!(read("\u{feff}a;").unwrap().len(), 1);
    assert_eq!(parse(b"a \xff\xfe;", 0, MAX_DIRECTIVES).unwrap()[0].words[0].bytes, b"\xff\xfe");
}

#[test]
fn syntax_errors_have_their_position() {
    let error_text = |text: &str| read(text).unwrap_err().to_string();
    assert_eq!(error_text("a;\n b {\n c;"), "2:2: the file ends within the block of `b`; a `}` is missing");
    assert_eq!(error_text("a b"), "1:1: the file ends within `a`; a `;` is missing");
    assert_eq!(error_text("a {\n b }"), "2:4: `}` does not belong here");
    assert_eq!(error_text("a; }"), "1:4: `}` does not belong here");
    assert_eq!(error_text(" ;"), "1:2: `;` does not belong here");
    assert_eq!(error_text("a { { } }"), "1:5: `{` does not belong here");
    assert_eq!(error_text("a 'b"), "1:3: the file ends within a quoted word");
    assert_eq!(error_text("a 'b\\"), "1:3: the file ends within a quoted word");
    assert!(error_text("a 'b'c;").starts_with("1:6: a quoted word must be followed"));
    assert!(error_text(&format!("a {};", "x".repeat(MAX_WORD_BYTES + 1))).contains("a word of more"));
    assert!(error_text(&"a {".repeat(MAX_DEPTH + 1)).contains("blocks within"));
    assert_eq!(parse(b"a; b; c;", 0, 2).unwrap_err().kind, SyntaxErrorKind::TooManyDirectives);
}

fn any_word() -> impl Strategy<Value = Word> {
    prop::collection::vec(any::<u8>(), 0..8).prop_map(|bytes| Word { bytes, at: Position::default() })
}

fn any_directive() -> impl Strategy<Value = Directive> {
    let simple = (any_word(), prop::collection::vec(any_word(), 0..4));
    let simple = simple.prop_map(|(name, words)| Directive { name, words, body: Body::None });
    simple.prop_recursive(4, 32, 4, |inner| {
        (any_word(), prop::collection::vec(any_word(), 0..3), prop::collection::vec(inner, 0..4))
            .prop_map(|(name, words, block)| Directive { name, words, body: Body::Block(block) })
    })
}

fn clear_positions(directives: &mut [Directive]) {
    for directive in directives {
        directive.name.at = Position::default();
        directive.words.iter_mut().for_each(|word| word.at = Position::default());
        if let Body::Block(block) = &mut directive.body {
            clear_positions(block);
        }
    }
}

proptest! {
    #[test]
    fn written_directives_parse_to_the_same_directives(directives in prop::collection::vec(any_directive(), 0..5)) {
        let mut read = parse(&write(&directives), 0, MAX_DIRECTIVES).unwrap();
        clear_positions(&mut read);
        prop_assert_eq!(read, directives);
    }

    #[test]
    fn no_text_causes_a_panic(text in prop::collection::vec(
        prop_oneof![Just(b'{'), Just(b'}'), Just(b';'), Just(b'"'), Just(b'\\'), Just(b'$'), Just(b'#'),
            Just(b' '), Just(b'\n'), any::<u8>()], 0..200,
    )) {
        if let Ok(read) = parse(&text, 0, MAX_DIRECTIVES) {
            prop_assert!(parse(&write(&read), 0, MAX_DIRECTIVES).is_ok());
        }
    }
}
