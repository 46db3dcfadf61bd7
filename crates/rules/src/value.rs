//! Types and values of the language, and errors of evaluation.

use crate::address::AddressSet;
use std::cmp::Ordering;
use std::fmt;
use std::net::IpAddr;

/// The type of an expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Type {
    /// True or false.
    Bool,
    /// 64 bits, signed.
    Int,
    /// IEEE 754, 64 bits.
    Float,
    /// UTF-8.
    Text,
    /// Any bytes.
    Bytes,
    /// A span of time in whole nanoseconds.
    Span,
    /// A point in time in whole nanoseconds since the Unix epoch.
    Time,
    /// An IP address.
    Address,
    /// A set of IP addresses.
    Addresses,
    /// The parameters of a request, by name.
    Params,
    /// A list whose items have one type.
    List(Box<Type>),
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Type::Bool => "bool",
            Type::Int => "int",
            Type::Float => "double",
            Type::Text => "string",
            Type::Bytes => "bytes",
            Type::Span => "duration",
            Type::Time => "timestamp",
            Type::Address => "ip",
            Type::Addresses => "addresses",
            Type::Params => "params",
            Type::List(item) => return write!(f, "list({item})"),
        })
    }
}

/// A value while an expression is evaluated; texts and lists are in the request, the rules or the
/// arena.
#[derive(Clone, Copy, Debug)]
pub enum Value<'a> {
    /// Of [`Type::Bool`].
    Bool(bool),
    /// Of [`Type::Int`].
    Int(i64),
    /// Of [`Type::Float`].
    Float(f64),
    /// Of [`Type::Text`].
    Text(&'a str),
    /// Of [`Type::Bytes`].
    Bytes(&'a [u8]),
    /// Of [`Type::Span`].
    Span(i64),
    /// Of [`Type::Time`].
    Time(i64),
    /// Of [`Type::Address`].
    Address(IpAddr),
    /// Of [`Type::Addresses`].
    Addresses(&'a AddressSet),
    /// Of [`Type::Params`]: those of the request.
    Params,
    /// Of [`Type::List`].
    List(&'a [Value<'a>]),
}

impl Value<'_> {
    /// Whether two values of one type are equal; NaN equals nothing.
    pub fn same(&self, other: &Value<'_>) -> bool {
        match (self, other) {
            (Value::Bool(a), Value::Bool(b)) => a == b,
            (Value::Int(a), Value::Int(b)) => a == b,
            (Value::Float(a), Value::Float(b)) => a == b,
            (Value::Text(a), Value::Text(b)) => a == b,
            (Value::Bytes(a), Value::Bytes(b)) => a == b,
            (Value::Span(a), Value::Span(b)) | (Value::Time(a), Value::Time(b)) => a == b,
            (Value::Address(a), Value::Address(b)) => a == b,
            (Value::List(a), Value::List(b)) => {
                a.len() == b.len() && a.iter().zip(*b).all(|(a, b)| a.same(b))
            }
            _ => false,
        }
    }

    /// The order of two values of one type that has one; none for NaN.
    pub fn order(&self, other: &Value<'_>) -> Option<Ordering> {
        match (self, other) {
            (Value::Bool(a), Value::Bool(b)) => Some(a.cmp(b)),
            (Value::Int(a), Value::Int(b)) => Some(a.cmp(b)),
            (Value::Float(a), Value::Float(b)) => a.partial_cmp(b),
            (Value::Text(a), Value::Text(b)) => Some(a.cmp(b)),
            (Value::Bytes(a), Value::Bytes(b)) => Some(a.cmp(b)),
            (Value::Span(a), Value::Span(b)) | (Value::Time(a), Value::Time(b)) => Some(a.cmp(b)),
            _ => None,
        }
    }

    /// The size on which the cost of a comparison depends: bytes of a text, or those of all items
    /// of a
    /// list with 8 for each.
    pub fn extent(&self) -> usize {
        match self {
            Value::Text(text) => text.len(),
            Value::Bytes(bytes) => bytes.len(),
            Value::List(items) => items.iter().map(|item| 8 + item.extent()).sum(),
            _ => 0,
        }
    }
}

impl fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Bool(v) => write!(f, "{v}"),
            Value::Int(v) => write!(f, "{v}"),
            Value::Float(v) => write!(f, "{v:?}"),
            Value::Text(v) => write!(f, "{v:?}"),
            Value::Bytes(v) => write!(f, "b\"{}\"", v.escape_ascii()),
            Value::Span(v) => f.write_str(&crate::time::print_span(*v)),
            Value::Time(v) => f.write_str(&crate::time::print_time(*v)),
            Value::Address(v) => write!(f, "{v}"),
            Value::Addresses(set) => write!(f, "{} networks", set.len()),
            Value::Params => f.write_str("params"),
            Value::List(items) => {
                f.write_str("[")?;
                for (i, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if i > 0 { ", " } else { "" })?;
                }
                f.write_str("]")
            }
        }
    }
}

/// Why an evaluation has no value. A rule that errs does not match.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EvaluationError {
    /// A whole number, span or time left its range.
    #[error("a number left its range")]
    Overflow,
    /// Division or remainder by zero.
    #[error("division by zero")]
    Zero,
    /// A parameter or fact that this request does not have.
    #[error("absent in this request")]
    Absent,
    /// A parameter that is no UTF-8.
    #[error("a parameter is no text")]
    NoText,
    /// A parameter longer than declared, or more parameters than can be iterated over.
    #[error("a parameter is longer than declared, or there are too many")]
    TooLong,
    /// An index beyond a text or list.
    #[error("a place beyond the end")]
    Range,
    /// A text that is no number, time or address.
    #[error("a text that is no such value")]
    NoValue,
    /// The limit of cost was reached.
    #[error("stopped at the cost limit")]
    Cost,
}

impl EvaluationError {
    /// All, in the order of their counters.
    pub const ALL: [EvaluationError; 8] = [
        EvaluationError::Overflow,
        EvaluationError::Zero,
        EvaluationError::Absent,
        EvaluationError::NoText,
        EvaluationError::TooLong,
        EvaluationError::Range,
        EvaluationError::NoValue,
        EvaluationError::Cost,
    ];
}
