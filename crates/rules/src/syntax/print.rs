//! Prints a syntax tree as text that parses to the same tree.

use super::{AND, Expression, ExpressionKind, MEMBER, OR, UNARY};
use std::fmt;

impl Expression {
    /// Returns the binding power of the outermost operator.
    fn power(&self) -> u8 {
        match &self.kind {
            ExpressionKind::If(..) => 0,
            ExpressionKind::Or(_) => OR,
            ExpressionKind::And(_) => AND,
            ExpressionKind::Binary(op, ..) => op.power(),
            ExpressionKind::Not(_) | ExpressionKind::Minus(_) => UNARY,
            ExpressionKind::Int(n) if *n < 0 => UNARY,
            ExpressionKind::Float(x) if x.is_sign_negative() => UNARY,
            _ => MEMBER,
        }
    }

    /// Prints the operand of a minus sign. A number is put in parentheses, because a sign before a
    /// number is parsed as part of the number.
    fn negated_operand(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            ExpressionKind::Int(_) | ExpressionKind::Float(_) => write!(f, "({self})"),
            _ => self.operand(f, UNARY),
        }
    }

    /// Prints the expression, in parentheses if it binds more weakly than `least`.
    fn operand(&self, f: &mut fmt::Formatter<'_>, least: u8) -> fmt::Result {
        if self.power() < least {
            write!(f, "({self})")
        } else {
            write!(f, "{self}")
        }
    }
}

/// Prints expressions separated by commas, in brackets.
fn enclosed(
    f: &mut fmt::Formatter<'_>,
    open: &str,
    all: &[Expression],
    close: &str,
) -> fmt::Result {
    f.write_str(open)?;
    for (i, one) in all.iter().enumerate() {
        write!(f, "{}{one}", if i > 0 { ", " } else { "" })?;
    }
    f.write_str(close)
}

/// Prints the operands of `&&` or `||`.
fn operands(f: &mut fmt::Formatter<'_>, all: &[Expression], sign: &str, power: u8) -> fmt::Result {
    for (i, one) in all.iter().enumerate() {
        f.write_str(if i > 0 { sign } else { "" })?;
        one.operand(f, power + 1)?;
    }
    Ok(())
}

/// Writes a string literal that parses to `text`.
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

impl fmt::Display for Expression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ExpressionKind::Bool(v) => write!(f, "{v}"),
            ExpressionKind::Int(v) => write!(f, "{v}"),
            ExpressionKind::Float(v) => write!(f, "{v:?}"),
            ExpressionKind::Text(v) => quote(f, v),
            ExpressionKind::Bytes(v) => {
                f.write_str("b\"")?;
                v.iter().try_for_each(|b| write!(f, "\\x{b:02x}"))?;
                f.write_str("\"")
            }
            ExpressionKind::Name(name) => f.write_str(name),
            ExpressionKind::Select(of, name) => {
                of.operand(f, MEMBER)?;
                write!(f, ".{name}")
            }
            ExpressionKind::Index(of, at) => {
                of.operand(f, MEMBER)?;
                write!(f, "[{at}]")
            }
            ExpressionKind::Call(name, arguments) => {
                f.write_str(name)?;
                enclosed(f, "(", arguments, ")")
            }
            ExpressionKind::Method(of, name, arguments) => {
                of.operand(f, MEMBER)?;
                write!(f, ".{name}")?;
                enclosed(f, "(", arguments, ")")
            }
            ExpressionKind::List(items) => enclosed(f, "[", items, "]"),
            ExpressionKind::Not(of) => {
                f.write_str("!")?;
                of.operand(f, UNARY)
            }
            ExpressionKind::Minus(of) => {
                f.write_str("-")?;
                of.negated_operand(f)
            }
            ExpressionKind::Binary(op, a, b) => {
                a.operand(f, op.power())?;
                write!(f, " {} ", op.sign())?;
                b.operand(f, op.power() + 1)
            }
            ExpressionKind::And(all) => operands(f, all, " && ", AND),
            ExpressionKind::Or(all) => operands(f, all, " || ", OR),
            ExpressionKind::If(a, b, c) => {
                a.operand(f, OR)?;
                f.write_str(" ? ")?;
                b.operand(f, OR)?;
                write!(f, " : {c}")
            }
        }
    }
}
