//! Splits the text of an expression into tokens.

use crate::error::ExpressionError;
use std::fmt;
use std::ops::Range;

/// A token of an expression.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Token {
    Int(u64),
    Float(f64),
    Text(String),
    Bytes(Vec<u8>),
    Name(String),
    Sign(&'static str),
    End,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Token::Int(_) | Token::Float(_) => f.write_str("a number"),
            Token::Text(_) => f.write_str("a string"),
            Token::Bytes(_) => f.write_str("bytes"),
            Token::Name(name) => write!(f, "'{name}'"),
            Token::Sign(sign) => write!(f, "'{sign}'"),
            Token::End => f.write_str("the end"),
        }
    }
}

/// Operators and brackets. Longer signs come before their prefixes.
pub(super) const SIGNS: [&str; 23] = [
    "==", "!=", "<=", ">=", "&&", "||", "<", ">", "+", "-", "*", "/", "%", "!", "?", ":", ".", ",",
    "(", ")", "[", "]", "=",
];

/// An escape sequence in a string.
enum Escape {
    /// The character that a one-letter escape denotes.
    Character(char),
    /// The code of a character or byte.
    Code {
        code: u32,
        /// Number of digits.
        digits: usize,
        /// Whether the code is octal; its first digit then follows the backslash directly.
        is_octal: bool,
    },
    /// Not an escape sequence of the language.
    Unknown,
    /// A code with missing digits.
    MissingDigits,
}

/// Returns the escape sequence whose backslash is at offset `at` and is followed by `escape`.
fn escape_at(text: &str, at: usize, escape: char) -> Escape {
    let (digits, radix, from) = match escape {
        'n' => return Escape::Character('\n'),
        't' => return Escape::Character('\t'),
        'r' => return Escape::Character('\r'),
        'a' => return Escape::Character('\x07'),
        'b' => return Escape::Character('\x08'),
        'f' => return Escape::Character('\x0c'),
        'v' => return Escape::Character('\x0b'),
        '\\' | '"' | '\'' | '`' | '?' => return Escape::Character(escape),
        'x' | 'X' => (2, 16, at + 2),
        'u' => (4, 16, at + 2),
        'U' => (8, 16, at + 2),
        '0'..='3' => (3, 8, at + 1),
        _ => return Escape::Unknown,
    };
    let code = text
        .get(from..from + digits)
        .filter(|code| code.chars().all(|c| c.is_digit(radix)))
        .and_then(|code| u32::from_str_radix(code, radix).ok());
    match code {
        Some(code) => Escape::Code {
            code,
            digits,
            is_octal: radix == 8,
        },
        None => Escape::MissingDigits,
    }
}

/// Splits a text into tokens, one at a time.
pub(super) struct Lexer<'a> {
    text: &'a str,
    /// Byte offset at which the search for the next token starts.
    next: usize,
}

impl<'a> Lexer<'a> {
    /// Creates a lexer at the start of a text.
    pub fn new(text: &'a str) -> Lexer<'a> {
        Lexer { text, next: 0 }
    }

    fn rest(&self) -> &'a str {
        &self.text[self.next..]
    }

    /// Reads the next token after white space and comments, and returns it with its byte range.
    pub fn advance(&mut self) -> Result<(Token, Range<usize>), ExpressionError> {
        loop {
            let rest = self.rest();
            let trimmed = rest.trim_start();
            self.next += rest.len() - trimmed.len();
            match trimmed.strip_prefix("//") {
                Some(comment) => self.next += 2 + comment.find('\n').unwrap_or(comment.len()),
                None => break,
            }
        }
        let start = self.next;
        let token = self.token()?;
        Ok((token, start..self.next))
    }

    fn token(&mut self) -> Result<Token, ExpressionError> {
        let rest = self.rest();
        let Some(first) = rest.chars().next() else {
            return Ok(Token::End);
        };
        let quote = |text: &str| text.starts_with(['"', '\'']);
        for (prefix, raw, bytes) in [
            ("", false, false),
            ("r", true, false),
            ("b", false, true),
            ("br", true, true),
        ] {
            let found = rest
                .get(..prefix.len())
                .is_some_and(|p| p.eq_ignore_ascii_case(prefix));
            if found && quote(&rest[prefix.len()..]) {
                self.next += prefix.len();
                return self.quoted(raw, bytes);
            }
        }
        if first.is_ascii_alphabetic() || first == '_' {
            let end = rest
                .find(|c: char| !c.is_ascii_alphanumeric() && c != '_')
                .unwrap_or(rest.len());
            let word = rest[..end].to_owned();
            self.next += end;
            return Ok(if word == "in" {
                Token::Sign("in")
            } else {
                Token::Name(word)
            });
        }
        if first.is_ascii_digit()
            || first == '.' && rest[1..].starts_with(|c: char| c.is_ascii_digit())
        {
            return self.number();
        }
        if let Some(sign) = SIGNS.iter().find(|sign| rest.starts_with(**sign)) {
            self.next += sign.len();
            return Ok(Token::Sign(sign));
        }
        let at = self.next..self.next + first.len_utf8();
        Err(ExpressionError::new(
            at,
            format!("unexpected character {first:?}"),
            "an expression",
        ))
    }

    fn number(&mut self) -> Result<Token, ExpressionError> {
        let rest = self.rest();
        let start = self.next;
        if let Some(hex) = rest.strip_prefix("0x").or_else(|| rest.strip_prefix("0X")) {
            return self.hexadecimal(hex);
        }
        let bytes = rest.as_bytes();
        let digits = |from: usize| {
            bytes[from..]
                .iter()
                .take_while(|b| b.is_ascii_digit())
                .count()
        };
        let mut end = digits(0);
        let mut is_float = false;
        if bytes.get(end) == Some(&b'.') && digits(end + 1) > 0 {
            is_float = true;
            end += 1 + digits(end + 1);
        }
        if bytes
            .get(end)
            .is_some_and(|b| b.eq_ignore_ascii_case(&b'e'))
        {
            let sign = usize::from(matches!(bytes.get(end + 1), Some(b'+' | b'-')));
            if digits((end + 1 + sign).min(bytes.len())) > 0 {
                is_float = true;
                end += 1 + sign + digits(end + 1 + sign);
            }
        }
        let word = &rest[..end];
        let tail = bytes
            .get(end)
            .is_some_and(|b| b.is_ascii_alphanumeric() || *b == b'_');
        let (at, whole) = (start..start + end, start..start + end + usize::from(tail));
        let token = match is_float {
            true => word
                .parse()
                .ok()
                .filter(|v: &f64| v.is_finite())
                .map(Token::Float),
            false => word.parse().ok().map(Token::Int),
        };
        self.next += end;
        if tail {
            return Err(ExpressionError::new(
                whole,
                "a number with letters",
                "an int or double (uint is not supported)",
            ));
        }
        token.ok_or_else(|| {
            ExpressionError::new(at, "the number is too large", "a number of 64 bits")
        })
    }

    /// Reads a hexadecimal number. `hex` is the text after the prefix `0x`.
    fn hexadecimal(&mut self, hex: &str) -> Result<Token, ExpressionError> {
        let start = self.next;
        let end = hex
            .find(|c: char| !c.is_ascii_alphanumeric())
            .unwrap_or(hex.len());
        let value = u64::from_str_radix(&hex[..end], 16);
        self.next += 2 + end;
        let at = start..self.next;
        value.map(Token::Int).map_err(|_| {
            ExpressionError::new(at, "not a hexadecimal number of at most 64 bits", "an int")
        })
    }

    /// Reads a string or bytes literal from the opening quote on. A raw literal has no escapes.
    fn quoted(&mut self, raw: bool, is_bytes: bool) -> Result<Token, ExpressionError> {
        let start = self.next;
        let rest = &self.text[start..];
        let mut chars = rest.char_indices();
        let (_, quote) = chars.next().unwrap_or((0, '"'));
        let (mut text, mut bytes) = (String::new(), Vec::new());
        let error = |at: usize, what: &str| {
            ExpressionError::new(start + at..start + at + 1, what, "a string")
        };
        loop {
            let Some((at, c)) = chars.next() else {
                let at = start..self.text.len();
                let expected = format!("{quote}");
                return Err(ExpressionError::new(
                    at,
                    "the string does not end",
                    expected,
                ));
            };
            if c == quote {
                self.next = start + at + 1;
                return Ok(match is_bytes {
                    true => Token::Bytes(bytes),
                    false => Token::Text(text),
                });
            }
            if c == '\n' {
                return Err(error(at, "the string does not end on its line"));
            }
            let mut push = |c: char| {
                text.push(c);
                bytes.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
            };
            if c != '\\' || raw {
                push(c);
                continue;
            }
            let (_, escape) = chars
                .next()
                .ok_or_else(|| error(at, "the string does not end"))?;
            let (code, digits, is_octal) = match escape_at(rest, at, escape) {
                Escape::Character(c) => {
                    push(c);
                    continue;
                }
                Escape::Code {
                    code,
                    digits,
                    is_octal,
                } => (code, digits, is_octal),
                Escape::Unknown => return Err(error(at, "unknown escape")),
                Escape::MissingDigits => {
                    return Err(error(at, "digits are missing in the escape"));
                }
            };
            if is_bytes && digits <= 3 {
                bytes.push(code as u8);
            } else {
                push(char::from_u32(code).ok_or_else(|| error(at, "no character has that code"))?);
            }
            for _ in 0..digits - usize::from(is_octal) {
                chars.next();
            }
        }
    }
}
