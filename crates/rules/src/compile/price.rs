//! Cost of functions.

use super::VALUE_MAX;
use super::node::Function;
use crate::cost;

/// Returns the cost of a function in units, in addition to its step, given the sizes of its
/// arguments in bytes.
pub fn price(func: Function, sizes: &[u64]) -> u64 {
    let of = |place: usize| sizes.get(place).copied().unwrap_or(0);
    match func {
        Function::Size | Function::Substring | Function::Trim => cost::walk(of(0)),
        Function::StartsWith | Function::EndsWith => cost::compare(of(0).min(of(1))),
        Function::Contains => cost::search(of(0), of(1)),
        Function::IndexOf => cost::search(of(0), of(1)) + cost::walk(of(0)),
        Function::Part | Function::Before | Function::After => cost::search(of(0), of(1)),
        // An empty separator yields at most one item for each byte.
        Function::Split => cost::search(of(0), of(1)) + cost::build(24 * (of(0) + 1)),
        Function::Lower | Function::Upper => cost::build(of(0)) + of(0),
        Function::Hash => cost::walk(of(0)),
        Function::ToInt
        | Function::ToFloat
        | Function::ToSpan
        | Function::ToTime
        | Function::ToAddress => cost::walk(of(0).min(VALUE_MAX as u64)) + 2 * cost::LOOK,
        Function::ToText => cost::build(of(0)) + 5 * cost::LOOK,
        Function::ToBytes => 0,
        Function::TimePart(_) => 20,
        Function::SpanSeconds | Function::SpanMillis => 2,
    }
}
