//! Parses the tokens of an expression to a syntax tree. The parser bounds depth and length, so
//! later passes over the tree may recurse.

use super::lexer::{Lexer, SIGNS, Token};
use super::{AND, Binary, DEPTH_MAX, Expression, ExpressionKind, OR, SOURCE_MAX};
use crate::error::ExpressionError;
use std::ops::Range;

/// Reserved words of CEL.
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

/// A recursive-descent parser with one token of lookahead.
struct Parser<'a> {
    lexer: Lexer<'a>,
    /// Current token.
    token: Token,
    /// Byte range of the current token.
    at: Range<usize>,
    /// Current nesting level in the text.
    level: u16,
}

/// Parses an expression.
///
/// # Errors
///
/// Fails if the text is longer than [`SOURCE_MAX`] bytes, is nested deeper than [`DEPTH_MAX`]
/// levels or is not a valid expression.
pub fn parse(text: &str) -> Result<Expression, ExpressionError> {
    if text.len() > SOURCE_MAX {
        let what = format!("the expression has {} bytes", text.len());
        return Err(ExpressionError::new(
            0..0,
            what,
            format!("at most {SOURCE_MAX}"),
        ));
    }
    let mut parser = Parser {
        lexer: Lexer::new(text),
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

impl Parser<'_> {
    fn unexpected(&self, expected: &str) -> ExpressionError {
        ExpressionError::new(
            self.at.clone(),
            format!("unexpected {}", self.token),
            expected,
        )
    }

    /// Moves to the next token.
    fn advance(&mut self) -> Result<(), ExpressionError> {
        (self.token, self.at) = self.lexer.advance()?;
        Ok(())
    }

    /// Moves to the next token if the current one is this sign, and returns whether it is.
    fn accept(&mut self, sign: &str) -> Result<bool, ExpressionError> {
        let found = self.token == Token::Sign(Parser::static_sign(sign));
        if found {
            self.advance()?;
        }
        Ok(found)
    }

    fn static_sign(sign: &str) -> &'static str {
        SIGNS.iter().find(|s| **s == sign).unwrap_or(&"in")
    }

    fn expect(&mut self, sign: &str) -> Result<(), ExpressionError> {
        if self.accept(sign)? {
            Ok(())
        } else {
            Err(self.unexpected(&format!("'{sign}'")))
        }
    }

    /// Runs `read` one nesting level deeper. The levels of the text have the same bound as those of
    /// the tree.
    fn nested<T>(
        &mut self,
        read: impl FnOnce(&mut Self) -> Result<T, ExpressionError>,
    ) -> Result<T, ExpressionError> {
        if self.level >= DEPTH_MAX {
            return Err(Parser::too_deep(self.at.clone()));
        }
        self.level += 1;
        let result = read(self);
        self.level -= 1;
        result
    }

    fn too_deep(at: Range<usize>) -> ExpressionError {
        ExpressionError::new(at, "nested too deep", format!("at most {DEPTH_MAX} levels"))
    }

    fn node(
        &self,
        kind: ExpressionKind,
        start: usize,
        end: usize,
    ) -> Result<Expression, ExpressionError> {
        let deepest = match &kind {
            ExpressionKind::Select(a, _) | ExpressionKind::Not(a) | ExpressionKind::Minus(a) => {
                a.depth
            }
            ExpressionKind::Index(a, b) | ExpressionKind::Binary(_, a, b) => a.depth.max(b.depth),
            ExpressionKind::If(a, b, c) => a.depth.max(b.depth).max(c.depth),
            ExpressionKind::Call(_, all)
            | ExpressionKind::List(all)
            | ExpressionKind::And(all)
            | ExpressionKind::Or(all) => all.iter().map(|e| e.depth).max().unwrap_or(0),
            ExpressionKind::Method(of, _, all) => {
                all.iter().map(|e| e.depth).max().unwrap_or(0).max(of.depth)
            }
            _ => 0,
        };
        if deepest >= DEPTH_MAX {
            return Err(Parser::too_deep(start..end));
        }
        Ok(Expression {
            kind,
            at: start..end,
            depth: deepest + 1,
        })
    }

    fn expr(&mut self) -> Result<Expression, ExpressionError> {
        self.nested(|parser| {
            let condition = parser.binary(OR)?;
            if !parser.accept("?")? {
                return Ok(condition);
            }
            let yes = parser.binary(OR)?;
            parser.expect(":")?;
            let no = parser.expr()?;
            let (start, end) = (condition.at.start, no.at.end);
            parser.node(
                ExpressionKind::If(Box::new(condition), Box::new(yes), Box::new(no)),
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

    fn binary(&mut self, least: u8) -> Result<Expression, ExpressionError> {
        if least == OR || least == AND {
            let sign = if least == OR { "||" } else { "&&" };
            let mut all = vec![self.binary(least + 1)?];
            while self.accept(sign)? {
                all.push(self.binary(least + 1)?);
            }
            let (start, end) = (all[0].at.start, all[all.len() - 1].at.end);
            return match (all.len(), least) {
                (1, _) => all.pop().ok_or_else(|| self.unexpected("an expression")),
                (_, OR) => self.node(ExpressionKind::Or(all), start, end),
                _ => self.node(ExpressionKind::And(all), start, end),
            };
        }
        let mut left = self.unary()?;
        while let Some((op, power)) = self.operator().filter(|(_, power)| *power >= least) {
            self.advance()?;
            let right = self.binary(power + 1)?;
            let (start, end) = (left.at.start, right.at.end);
            left = self.node(
                ExpressionKind::Binary(op, Box::new(left), Box::new(right)),
                start,
                end,
            )?;
        }
        Ok(left)
    }

    fn unary(&mut self) -> Result<Expression, ExpressionError> {
        let start = self.at.start;
        if self.accept("!")? {
            let of = self.nested(Self::unary)?;
            let end = of.at.end;
            return self.node(ExpressionKind::Not(Box::new(of)), start, end);
        }
        if self.accept("-")? {
            // The smallest int has no positive counterpart, so the sign is read as part of the
            // number.
            let number = match self.token {
                Token::Int(n) if n <= 1 << 63 => {
                    Some(ExpressionKind::Int((n as i64).wrapping_neg()))
                }
                Token::Float(x) => Some(ExpressionKind::Float(-x)),
                _ => None,
            };
            if let Some(kind) = number {
                let end = self.at.end;
                self.advance()?;
                let of = self.node(kind, start, end)?;
                return self.members(of);
            }
            let of = self.nested(Self::unary)?;
            let end = of.at.end;
            return self.node(ExpressionKind::Minus(Box::new(of)), start, end);
        }
        let of = self.primary()?;
        self.members(of)
    }

    fn members(&mut self, mut of: Expression) -> Result<Expression, ExpressionError> {
        loop {
            let start = of.at.start;
            if self.accept(".")? {
                let Token::Name(name) = self.token.clone() else {
                    return Err(self.unexpected("a name"));
                };
                let mut end = self.at.end;
                self.advance()?;
                let kind = if self.accept("(")? {
                    let arguments;
                    (arguments, end) = self.list(")")?;
                    ExpressionKind::Method(Box::new(of), name, arguments)
                } else {
                    ExpressionKind::Select(Box::new(of), name)
                };
                of = self.node(kind, start, end)?;
            } else if self.accept("[")? {
                let at = self.expr()?;
                let end = self.at.end;
                self.expect("]")?;
                of = self.node(
                    ExpressionKind::Index(Box::new(of), Box::new(at)),
                    start,
                    end,
                )?;
            } else {
                return Ok(of);
            }
        }
    }

    /// Reads items up to the closing sign, and returns them with the end offset of this sign.
    fn list(&mut self, close: &str) -> Result<(Vec<Expression>, usize), ExpressionError> {
        let mut items = Vec::new();
        loop {
            let end = self.at.end;
            if self.accept(close)? {
                return Ok((items, end));
            }
            if !items.is_empty() {
                self.expect(",")?;
                // CEL allows a trailing comma in a list.
                if close == "]" && self.token == Token::Sign("]") {
                    continue;
                }
            }
            items.push(self.expr()?);
        }
    }

    fn primary(&mut self) -> Result<Expression, ExpressionError> {
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
                return self.node(ExpressionKind::List(items), start, end);
            }
            Token::Int(n) => match i64::try_from(n) {
                Ok(n) => ExpressionKind::Int(n),
                Err(_) => {
                    return Err(ExpressionError::new(
                        start..end,
                        "the number is too large",
                        "a number of 64 bits",
                    ));
                }
            },
            Token::Float(x) => ExpressionKind::Float(x),
            Token::Text(text) => ExpressionKind::Text(text),
            Token::Bytes(bytes) => ExpressionKind::Bytes(bytes),
            Token::Name(name) if name == "true" || name == "false" => {
                ExpressionKind::Bool(name == "true")
            }
            Token::Name(name) => return self.name_or_call(name, start, end),
            Token::Sign(_) | Token::End => return Err(self.unexpected("an expression")),
        };
        self.advance()?;
        self.node(kind, start, end)
    }

    /// Parses a name or a function call. The current token is the name.
    fn name_or_call(
        &mut self,
        name: String,
        start: usize,
        end: usize,
    ) -> Result<Expression, ExpressionError> {
        if name == "null" {
            return Err(ExpressionError::new(
                start..end,
                "null is not supported",
                "has(...) to test whether a fact or parameter is present",
            ));
        }
        if RESERVED.contains(&name.as_str()) {
            return Err(ExpressionError::new(
                start..end,
                format!("'{name}' is a reserved word"),
                "a name",
            ));
        }
        self.advance()?;
        if !self.accept("(")? {
            return self.node(ExpressionKind::Name(name), start, end);
        }
        let (arguments, end) = self.list(")")?;
        self.node(ExpressionKind::Call(name, arguments), start, end)
    }
}
