//! Types and values of the language, and evaluation errors.

use crate::address::AddressSet;
use std::cmp::Ordering;
use std::fmt;
use std::net::IpAddr;

/// The type of an expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Type {
    /// True or false.
    Bool,
    /// A signed integer of 64 bits.
    Int,
    /// An IEEE 754 number of 64 bits.
    Float,
    /// A UTF-8 string.
    Text,
    /// A sequence of arbitrary bytes.
    Bytes,
    /// A duration in whole nanoseconds.
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

/// A value during evaluation. Strings, bytes and lists are borrowed from the request, the rules or
/// the arena.
#[derive(Clone, Copy, Debug)]
pub enum Value<'a> {
    /// A value of [`Type::Bool`].
    Bool(bool),
    /// A value of [`Type::Int`].
    Int(i64),
    /// A value of [`Type::Float`].
    Float(f64),
    /// A value of [`Type::Text`].
    Text(&'a str),
    /// A value of [`Type::Bytes`].
    Bytes(&'a [u8]),
    /// A value of [`Type::Span`], in nanoseconds.
    Span(i64),
    /// A value of [`Type::Time`], in nanoseconds since the Unix epoch.
    Time(i64),
    /// A value of [`Type::Address`].
    Address(IpAddr),
    /// A value of [`Type::Addresses`].
    Addresses(&'a AddressSet),
    /// The value of [`Type::Params`]: the parameters of the request.
    Params,
    /// A value of [`Type::List`].
    List(&'a [Value<'a>]),
}

impl Value<'_> {
    /// Returns whether two values of one type are equal. NaN is not equal to any value.
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

    /// Returns the order of two values of one type. Returns `None` for NaN and for types without an
    /// order.
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

    /// Returns the size that determines the cost of a comparison, in bytes: the length of a string
    /// or bytes, or for a list the sum over its items of their size plus 8.
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

/// The reason why an evaluation failed. A rule whose evaluation fails does not match.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EvaluationError {
    /// An int, duration or time is outside its range of 64 bits.
    #[error("a number is outside its range")]
    Overflow,
    /// Division or remainder by zero.
    #[error("division by zero")]
    Zero,
    /// The request does not have the parameter or fact.
    #[error("a parameter or fact is absent in this request")]
    Absent,
    /// A parameter, its name or a bytes value is not UTF-8.
    #[error("a parameter is no text")]
    NoText,
    /// A parameter is longer than its bound, or there are more parameters than can be iterated
    /// over.
    #[error("a parameter is longer than declared, or there are too many parameters")]
    TooLong,
    /// An index is outside a string or list, a separator or mark was not found, or a rank is
    /// outside 0 to 1.
    #[error("an index or rank is out of range, or a substring was not found")]
    Range,
    /// A string cannot be converted to a number, duration, time or address.
    #[error("a string cannot be converted to the requested type")]
    NoValue,
    /// The evaluation reached its cost limit.
    #[error("stopped at the cost limit")]
    Cost,
}

impl EvaluationError {
    /// All errors, in the order of their counters.
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
