//! From text to a tree, and back. Depth and length are bounded here, so that whatever walks the
//! tree later may recurse.

use crate::error::Error;
use std::fmt;
use std::ops::Range;

/// The longest text of an expression, in bytes.
pub const SOURCE_MAX: usize = 8192;
/// The deepest that a tree may be. Each level costs the parser about three frames, on stacks of 512
/// KiB.
pub const DEPTH_MAX: u16 = 32;

/// An expression, and where it stands in its text. Two are equal if they say the same, wherever
/// they stand.
#[derive(Clone, Debug)]
pub struct Expr {
    /// What it says.
    pub kind: Kind,
    /// Bytes of the text.
    pub at: Range<usize>,
    /// Levels of it.
    pub depth: u16,
}

impl PartialEq for Expr {
    fn eq(&self, other: &Expr) -> bool {
        self.kind == other.kind
    }
}

/// What an expression says.
#[derive(Clone, Debug)]
pub enum Kind {
    /// `true`.
    Bool(bool),
    /// `12`.
    Int(i64),
    /// `1.5`.
    Float(f64),
    /// `"text"`.
    Text(String),
    /// `b"bytes"`.
    Bytes(Vec<u8>),
    /// `name`.
    Name(String),
    /// `of.field`.
    Select(Box<Expr>, String),
    /// `of[at]`.
    Index(Box<Expr>, Box<Expr>),
    /// `function(...)`.
    Call(String, Vec<Expr>),
    /// `of.method(...)`.
    Method(Box<Expr>, String, Vec<Expr>),
    /// `[a, b]`.
    List(Vec<Expr>),
    /// `!a`.
    Not(Box<Expr>),
    /// `-a`.
    Minus(Box<Expr>),
    /// `a + b` and the like.
    Binary(Binary, Box<Expr>, Box<Expr>),
    /// `a && b && c`.
    And(Vec<Expr>),
    /// `a || b || c`.
    Or(Vec<Expr>),
    /// `a ? b : c`.
    If(Box<Expr>, Box<Expr>, Box<Expr>),
}

impl PartialEq for Kind {
    fn eq(&self, other: &Kind) -> bool {
        use Kind::*;
        match (self, other) {
            (Bool(a), Bool(b)) => a == b,
            (Int(a), Int(b)) => a == b,
            (Float(a), Float(b)) => a.to_bits() == b.to_bits(),
            (Text(a), Text(b)) | (Name(a), Name(b)) => a == b,
            (Bytes(a), Bytes(b)) => a == b,
            (Select(a, n), Select(b, m)) => a == b && n == m,
            (Index(a, i), Index(b, j)) => a == b && i == j,
            (Call(f, a), Call(g, b)) => f == g && a == b,
            (Method(x, f, a), Method(y, g, b)) => x == y && f == g && a == b,
            (List(a), List(b)) | (And(a), And(b)) | (Or(a), Or(b)) => a == b,
            (Not(a), Not(b)) | (Minus(a), Minus(b)) => a == b,
            (Binary(o, a, b), Binary(p, c, d)) => o == p && a == c && b == d,
            (If(a, b, c), If(d, e, f)) => a == d && b == e && c == f,
            _ => false,
        }
    }
}

/// Operators between two operands, but for `&&` and `||`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Binary {
    Equal,
    Differs,
    Less,
    AtMost,
    More,
    AtLeast,
    In,
    Add,
    Sub,
    Mul,
    Div,
    Rem,
}

impl Binary {
    /// All, with their signs and how strongly they bind.
    pub const ALL: [(Binary, &'static str, u8); 12] = [
        (Binary::Equal, "==", 3),
        (Binary::Differs, "!=", 3),
        (Binary::AtMost, "<=", 3),
        (Binary::AtLeast, ">=", 3),
        (Binary::Less, "<", 3),
        (Binary::More, ">", 3),
        (Binary::In, "in", 3),
        (Binary::Add, "+", 4),
        (Binary::Sub, "-", 4),
        (Binary::Mul, "*", 5),
        (Binary::Div, "/", 5),
        (Binary::Rem, "%", 5),
    ];

    /// Its sign.
    pub fn sign(self) -> &'static str {
        Binary::ALL
            .iter()
            .find(|(op, ..)| *op == self)
            .map_or("?", |(_, sign, _)| sign)
    }

    fn power(self) -> u8 {
        Binary::ALL
            .iter()
            .find(|(op, ..)| *op == self)
            .map_or(0, |(.., power)| *power)
    }
}

const OR: u8 = 1;
const AND: u8 = 2;
const UNARY: u8 = 6;
const MEMBER: u8 = 7;

/// Words that CEL keeps for itself.
const RESERVED: [&str; 17] = [
    "as",
    "break",
    "const",
    "continue",
    "else",
    "for",
    "function",
    "if",
    "import",
    "let",
    "loop",
    "package",
    "namespace",
    "return",
    "var",
    "void",
    "while",
];

#[derive(Clone, Debug, PartialEq)]
enum Token {
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

const SIGNS: [&str; 23] = [
    "==", "!=", "<=", ">=", "&&", "||", "<", ">", "+", "-", "*", "/", "%", "!", "?", ":", ".", ",",
    "(", ")", "[", "]", "=",
];

struct Parser<'a> {
    text: &'a str,
    /// Where the next token is looked for.
    next: usize,
    token: Token,
    at: Range<usize>,
    level: u16,
}

/// Reads an expression.
pub fn parse(text: &str) -> Result<Expr, Error> {
    if text.len() > SOURCE_MAX {
        let what = format!("the expression has {} bytes", text.len());
        return Err(Error::new(0..0, what, format!("at most {SOURCE_MAX}")));
    }
    let mut parser = Parser {
        text,
        next: 0,
        token: Token::End,
        at: 0..0,
        level: 0,
    };
    parser.advance()?;
    let expr = parser.expr()?;
    match parser.token {
        Token::End => Ok(expr),
        _ => Err(parser.unexpected("an operator or the end")),
    }
}

impl<'a> Parser<'a> {
    fn unexpected(&self, expected: &str) -> Error {
        Error::new(
            self.at.clone(),
            format!("unexpected {}", self.token),
            expected,
        )
    }

    fn rest(&self) -> &'a str {
        &self.text[self.next..]
    }

    /// Moves to the next token.
    fn advance(&mut self) -> Result<(), Error> {
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
        self.token = self.lex()?;
        self.at = start..self.next;
        Ok(())
    }

    fn lex(&mut self) -> Result<Token, Error> {
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
        Err(Error::new(
            at,
            format!("unexpected character {first:?}"),
            "an expression",
        ))
    }

    fn number(&mut self) -> Result<Token, Error> {
        let rest = self.rest();
        let start = self.next;
        if let Some(hex) = rest.strip_prefix("0x").or_else(|| rest.strip_prefix("0X")) {
            let end = hex
                .find(|c: char| !c.is_ascii_alphanumeric())
                .unwrap_or(hex.len());
            let value = u64::from_str_radix(&hex[..end], 16);
            self.next += 2 + end;
            let at = start..self.next;
            return value
                .map(Token::Int)
                .map_err(|_| Error::new(at, "no hexadecimal number", "an int"));
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
            return Err(Error::new(
                whole,
                "a number with letters",
                "an int or double (uint is not in this subset)",
            ));
        }
        token.ok_or_else(|| Error::new(at, "the number is too large", "a number of 64 bits"))
    }

    fn quoted(&mut self, raw: bool, is_bytes: bool) -> Result<Token, Error> {
        let start = self.next;
        let rest = self.rest().to_owned();
        let mut chars = rest.char_indices();
        let (_, quote) = chars.next().unwrap_or((0, '"'));
        let (mut text, mut bytes) = (String::new(), Vec::new());
        let bad = |at: usize, what: &str| Error::new(start + at..start + at + 1, what, "a string");
        loop {
            let Some((at, c)) = chars.next() else {
                return Err(Error::new(
                    start..self.text.len(),
                    "the string does not end",
                    format!("{quote}"),
                ));
            };
            let mut push = |c: char| {
                text.push(c);
                bytes.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
            };
            if c == quote {
                self.next = start + at + 1;
                return Ok(if is_bytes {
                    Token::Bytes(bytes)
                } else {
                    Token::Text(text)
                });
            }
            if c == '\n' {
                return Err(bad(at, "the string does not end in its line"));
            }
            if c != '\\' || raw {
                push(c);
                continue;
            }
            let (_, escape) = chars
                .next()
                .ok_or_else(|| bad(at, "the string does not end"))?;
            let digits = |n: usize, radix: u32, from: usize| -> Option<u32> {
                let digits = rest.get(from..from + n)?;
                digits
                    .chars()
                    .all(|c| c.is_digit(radix))
                    .then(|| u32::from_str_radix(digits, radix).ok())?
            };
            let simple = match escape {
                'n' => Some('\n'),
                't' => Some('\t'),
                'r' => Some('\r'),
                'a' => Some('\x07'),
                'b' => Some('\x08'),
                'f' => Some('\x0c'),
                'v' => Some('\x0b'),
                '\\' | '"' | '\'' | '`' | '?' => Some(escape),
                _ => None,
            };
            if let Some(c) = simple {
                push(c);
                continue;
            }
            let (n, radix, from) = match escape {
                'x' | 'X' => (2, 16, at + 2),
                'u' => (4, 16, at + 2),
                'U' => (8, 16, at + 2),
                '0'..='3' => (3, 8, at + 1),
                _ => return Err(bad(at, "unknown escape")),
            };
            let code = digits(n, radix, from)
                .ok_or_else(|| bad(at, "digits are missing in the escape"))?;
            if is_bytes && n <= 3 {
                bytes.push(code as u8);
            } else {
                push(char::from_u32(code).ok_or_else(|| bad(at, "no character has that code"))?);
            }
            for _ in 0..n - usize::from(radix == 8) {
                chars.next();
            }
        }
    }

    fn takes(&mut self, sign: &str) -> Result<bool, Error> {
        let found = self.token == Token::Sign(Parser::known(sign));
        if found {
            self.advance()?;
        }
        Ok(found)
    }

    fn known(sign: &str) -> &'static str {
        SIGNS.iter().find(|s| **s == sign).unwrap_or(&"in")
    }

    fn expect(&mut self, sign: &str) -> Result<(), Error> {
        if self.takes(sign)? {
            Ok(())
        } else {
            Err(self.unexpected(&format!("'{sign}'")))
        }
    }

    /// Goes one level down; the levels of the text are bounded as those of the tree are.
    fn deeper<T>(&mut self, read: impl FnOnce(&mut Self) -> Result<T, Error>) -> Result<T, Error> {
        if self.level >= DEPTH_MAX {
            return Err(Parser::too_deep(self.at.clone()));
        }
        self.level += 1;
        let result = read(self);
        self.level -= 1;
        result
    }

    fn too_deep(at: Range<usize>) -> Error {
        Error::new(at, "nested too deep", format!("at most {DEPTH_MAX} levels"))
    }

    fn node(&self, kind: Kind, start: usize, end: usize) -> Result<Expr, Error> {
        let deepest = match &kind {
            Kind::Select(a, _) | Kind::Not(a) | Kind::Minus(a) => a.depth,
            Kind::Index(a, b) | Kind::Binary(_, a, b) => a.depth.max(b.depth),
            Kind::If(a, b, c) => a.depth.max(b.depth).max(c.depth),
            Kind::Call(_, all) | Kind::List(all) | Kind::And(all) | Kind::Or(all) => {
                all.iter().map(|e| e.depth).max().unwrap_or(0)
            }
            Kind::Method(of, _, all) => {
                all.iter().map(|e| e.depth).max().unwrap_or(0).max(of.depth)
            }
            _ => 0,
        };
        if deepest >= DEPTH_MAX {
            return Err(Parser::too_deep(start..end));
        }
        Ok(Expr {
            kind,
            at: start..end,
            depth: deepest + 1,
        })
    }

    fn expr(&mut self) -> Result<Expr, Error> {
        self.deeper(|parser| {
            let condition = parser.binary(OR)?;
            if !parser.takes("?")? {
                return Ok(condition);
            }
            let yes = parser.binary(OR)?;
            parser.expect(":")?;
            let no = parser.expr()?;
            let (start, end) = (condition.at.start, no.at.end);
            parser.node(
                Kind::If(Box::new(condition), Box::new(yes), Box::new(no)),
                start,
                end,
            )
        })
    }

    fn operator(&self) -> Option<(Binary, u8)> {
        let Token::Sign(sign) = self.token else {
            return None;
        };
        Binary::ALL
            .iter()
            .find(|(_, s, _)| *s == sign)
            .map(|(op, _, power)| (*op, *power))
    }

    fn binary(&mut self, least: u8) -> Result<Expr, Error> {
        if least == OR || least == AND {
            let sign = if least == OR { "||" } else { "&&" };
            let mut all = vec![self.binary(least + 1)?];
            while self.takes(sign)? {
                all.push(self.binary(least + 1)?);
            }
            let (start, end) = (all[0].at.start, all[all.len() - 1].at.end);
            return match (all.len(), least) {
                (1, _) => all.pop().ok_or_else(|| self.unexpected("an expression")),
                (_, OR) => self.node(Kind::Or(all), start, end),
                _ => self.node(Kind::And(all), start, end),
            };
        }
        let mut left = self.unary()?;
        while let Some((op, power)) = self.operator().filter(|(_, power)| *power >= least) {
            self.advance()?;
            let right = self.binary(power + 1)?;
            let (start, end) = (left.at.start, right.at.end);
            left = self.node(
                Kind::Binary(op, Box::new(left), Box::new(right)),
                start,
                end,
            )?;
        }
        Ok(left)
    }

    fn unary(&mut self) -> Result<Expr, Error> {
        let start = self.at.start;
        if self.takes("!")? {
            let of = self.deeper(Self::unary)?;
            let end = of.at.end;
            return self.node(Kind::Not(Box::new(of)), start, end);
        }
        if self.takes("-")? {
            // The least int has no positive counterpart, so the sign belongs to the number.
            let number = match self.token {
                Token::Int(n) if n <= 1 << 63 => Some(Kind::Int((n as i64).wrapping_neg())),
                Token::Float(x) => Some(Kind::Float(-x)),
                _ => None,
            };
            if let Some(kind) = number {
                let end = self.at.end;
                self.advance()?;
                let of = self.node(kind, start, end)?;
                return self.members(of);
            }
            let of = self.deeper(Self::unary)?;
            let end = of.at.end;
            return self.node(Kind::Minus(Box::new(of)), start, end);
        }
        let of = self.primary()?;
        self.members(of)
    }

    fn members(&mut self, mut of: Expr) -> Result<Expr, Error> {
        loop {
            let start = of.at.start;
            if self.takes(".")? {
                let Token::Name(name) = self.token.clone() else {
                    return Err(self.unexpected("a name"));
                };
                let mut end = self.at.end;
                self.advance()?;
                let kind = if self.takes("(")? {
                    let arguments;
                    (arguments, end) = self.list(")")?;
                    Kind::Method(Box::new(of), name, arguments)
                } else {
                    Kind::Select(Box::new(of), name)
                };
                of = self.node(kind, start, end)?;
            } else if self.takes("[")? {
                let at = self.expr()?;
                let end = self.at.end;
                self.expect("]")?;
                of = self.node(Kind::Index(Box::new(of), Box::new(at)), start, end)?;
            } else {
                return Ok(of);
            }
        }
    }

    /// Items up to the closing sign, and where that ends.
    fn list(&mut self, close: &str) -> Result<(Vec<Expr>, usize), Error> {
        let mut items = Vec::new();
        loop {
            let end = self.at.end;
            if self.takes(close)? {
                return Ok((items, end));
            }
            if !items.is_empty() {
                self.expect(",")?;
                // CEL lets a list end with a comma.
                if close == "]" && self.token == Token::Sign("]") {
                    continue;
                }
            }
            items.push(self.expr()?);
        }
    }

    fn primary(&mut self) -> Result<Expr, Error> {
        let Range { start, end } = self.at.clone();
        let kind = match self.token.clone() {
            Token::Sign("(") => {
                self.advance()?;
                let mut inner = self.expr()?;
                let end = self.at.end;
                self.expect(")")?;
                inner.at = start..end;
                return Ok(inner);
            }
            Token::Sign("[") => {
                self.advance()?;
                let (items, end) = self.list("]")?;
                return self.node(Kind::List(items), start, end);
            }
            Token::Int(n) => match i64::try_from(n) {
                Ok(n) => Kind::Int(n),
                Err(_) => {
                    return Err(Error::new(
                        start..end,
                        "the number is too large",
                        "a number of 64 bits",
                    ));
                }
            },
            Token::Float(x) => Kind::Float(x),
            Token::Text(text) => Kind::Text(text),
            Token::Bytes(bytes) => Kind::Bytes(bytes),
            Token::Name(name) if name == "true" || name == "false" => Kind::Bool(name == "true"),
            Token::Name(name) if name == "null" => {
                return Err(Error::new(
                    start..end,
                    "null is not in this subset",
                    "has(...) to ask for what may be absent",
                ));
            }
            Token::Name(name) if RESERVED.contains(&name.as_str()) => {
                return Err(Error::new(
                    start..end,
                    format!("'{name}' is a reserved word"),
                    "a name",
                ));
            }
            Token::Name(name) => {
                self.advance()?;
                if !self.takes("(")? {
                    return self.node(Kind::Name(name), start, end);
                }
                let (arguments, end) = self.list(")")?;
                return self.node(Kind::Call(name, arguments), start, end);
            }
            Token::Sign(_) | Token::End => return Err(self.unexpected("an expression")),
        };
        self.advance()?;
        self.node(kind, start, end)
    }
}

// ---- Printing ----

impl Expr {
    fn power(&self) -> u8 {
        match &self.kind {
            Kind::If(..) => 0,
            Kind::Or(_) => OR,
            Kind::And(_) => AND,
            Kind::Binary(op, ..) => op.power(),
            Kind::Not(_) | Kind::Minus(_) => UNARY,
            Kind::Int(n) if *n < 0 => UNARY,
            Kind::Float(x) if x.is_sign_negative() => UNARY,
            _ => MEMBER,
        }
    }

    fn within(&self, f: &mut fmt::Formatter<'_>, least: u8) -> fmt::Result {
        if self.power() < least {
            write!(f, "({self})")
        } else {
            write!(f, "{self}")
        }
    }
}

fn comma(f: &mut fmt::Formatter<'_>, all: &[Expr]) -> fmt::Result {
    for (i, one) in all.iter().enumerate() {
        write!(f, "{}{one}", if i > 0 { ", " } else { "" })?;
    }
    Ok(())
}

fn joined(f: &mut fmt::Formatter<'_>, all: &[Expr], sign: &str, power: u8) -> fmt::Result {
    for (i, one) in all.iter().enumerate() {
        f.write_str(if i > 0 { sign } else { "" })?;
        one.within(f, power + 1)?;
    }
    Ok(())
}

/// A string as it can be read again.
pub fn quote(f: &mut impl fmt::Write, text: &str) -> fmt::Result {
    f.write_char('"')?;
    for c in text.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if c.is_control() => write!(f, "\\U{:08x}", u32::from(c))?,
            c => f.write_char(c)?,
        }
    }
    f.write_char('"')
}

impl fmt::Display for Expr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::Bool(v) => write!(f, "{v}"),
            Kind::Int(v) => write!(f, "{v}"),
            Kind::Float(v) => write!(f, "{v:?}"),
            Kind::Text(v) => quote(f, v),
            Kind::Bytes(v) => {
                f.write_str("b\"")?;
                v.iter().try_for_each(|b| write!(f, "\\x{b:02x}"))?;
                f.write_str("\"")
            }
            Kind::Name(name) => f.write_str(name),
            Kind::Select(of, name) => {
                of.within(f, MEMBER)?;
                write!(f, ".{name}")
            }
            Kind::Index(of, at) => {
                of.within(f, MEMBER)?;
                write!(f, "[{at}]")
            }
            Kind::Call(name, arguments) => {
                write!(f, "{name}(")?;
                comma(f, arguments)?;
                f.write_str(")")
            }
            Kind::Method(of, name, arguments) => {
                of.within(f, MEMBER)?;
                write!(f, ".{name}(")?;
                comma(f, arguments)?;
                f.write_str(")")
            }
            Kind::List(items) => {
                f.write_str("[")?;
                comma(f, items)?;
                f.write_str("]")
            }
            Kind::Not(of) => {
                f.write_str("!")?;
                of.within(f, UNARY)
            }
            Kind::Minus(of) => {
                // A number under a sign would be read as one number.
                f.write_str("-")?;
                let number = matches!(of.kind, Kind::Int(_) | Kind::Float(_));
                if number {
                    write!(f, "({of})")
                } else {
                    of.within(f, UNARY)
                }
            }
            Kind::Binary(op, a, b) => {
                a.within(f, op.power())?;
                write!(f, " {} ", op.sign())?;
                b.within(f, op.power() + 1)
            }
            Kind::And(all) => joined(f, all, " && ", AND),
            Kind::Or(all) => joined(f, all, " || ", OR),
            Kind::If(a, b, c) => {
                a.within(f, OR)?;
                f.write_str(" ? ")?;
                b.within(f, OR)?;
                write!(f, " : {c}")
            }
        }
    }
}
