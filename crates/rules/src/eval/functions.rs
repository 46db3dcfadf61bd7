//! Evaluation of functions and methods.

use super::{ArenaVec, EvaluationResult, Evaluator, unexpected_type};
use crate::compile::{Function, Node, VALUE_MAX, price};
use crate::time;
use crate::value::{EvaluationError, Value};
use std::fmt::Write;

impl<'a, 'x: 'a> Evaluator<'a, 'x> {
    pub(super) fn call(&mut self, func: Function, nodes: &'a [Node]) -> EvaluationResult<'a> {
        let mut given = [Value::Bool(false); 3];
        let mut sizes = [0; 3];
        for (place, node) in nodes.iter().enumerate().take(3) {
            given[place] = self.eval(node)?;
            sizes[place] = match given[place] {
                Value::List(_) | Value::Params => 0,
                value => value.extent() as u64,
            };
        }
        self.charge(price(func, &sizes))?;
        let [first, ..] = given;
        let parses = matches!(
            func,
            Function::ToInt
                | Function::ToFloat
                | Function::ToSpan
                | Function::ToTime
                | Function::ToAddress
        );
        if parses && sizes[0] > VALUE_MAX as u64 {
            return Err(EvaluationError::NoValue);
        }
        if parses || matches!(func, Function::ToText | Function::ToBytes) {
            return self.convert(func, first);
        }
        match func {
            Function::TimePart(_) | Function::SpanSeconds | Function::SpanMillis => {
                part_of_time(func, first)
            }
            _ => self.text_function(func, given, nodes.len()),
        }
    }

    /// Evaluates functions of strings, bytes, lists and parameters. The first `count` entries of
    /// `given` are arguments of the call.
    fn text_function(
        &mut self,
        func: Function,
        given: [Value<'a>; 3],
        count: usize,
    ) -> EvaluationResult<'a> {
        use Value::*;
        let [first, second, third] = given;
        Ok(match (func, first, second) {
            (Function::Size, Text(text), _) => Int(text.chars().count() as i64),
            (Function::Size, Bytes(bytes), _) => Int(bytes.len() as i64),
            (Function::Size, List(items), _) => Int(items.len() as i64),
            (Function::Size, Params, _) => Int(self.facts.params.names()?.len() as i64),
            (Function::Contains, Text(a), Text(b)) => {
                Bool(memchr::memmem::find(a.as_bytes(), b.as_bytes()).is_some())
            }
            (Function::IndexOf, Text(a), Text(b)) => {
                let found = memchr::memmem::find(a.as_bytes(), b.as_bytes());
                Int(found.map_or(-1, |at| a[..at].chars().count() as i64))
            }
            (Function::Substring, Text(text), Int(from)) => {
                let to = if let (3, Int(to)) = (count, third) {
                    Some(to)
                } else {
                    None
                };
                Text(substring(text, from, to).ok_or(EvaluationError::Range)?)
            }
            (Function::Part, Text(text), Text(by)) => {
                let (Int(place), false) = (third, by.is_empty()) else {
                    return Err(EvaluationError::Range);
                };
                let place = usize::try_from(place).map_err(|_| EvaluationError::Range)?;
                Text(pieces(text, by).nth(place).ok_or(EvaluationError::Range)?)
            }
            (Function::Before, Text(text), Text(mark)) => Text(&text[..find(text, mark)?]),
            (Function::After, Text(text), Text(mark)) => {
                Text(&text[find(text, mark)? + mark.len()..])
            }
            (Function::Lower, Text(text), _) => {
                let text = self.arena.alloc_str(text);
                text.make_ascii_lowercase();
                Text(text)
            }
            (Function::Upper, Text(text), _) => {
                let text = self.arena.alloc_str(text);
                text.make_ascii_uppercase();
                Text(text)
            }
            (Function::Trim, Text(text), _) => Text(text.trim()),
            (Function::Split, Text(text), Text(by)) => self.split(text, by),
            (Function::Hash, Text(text), Int(buckets)) => {
                Int((stable_hash(text) % buckets.max(1) as u64) as i64)
            }
            _ => return unexpected_type(),
        })
    }

    /// Returns the list of pieces between separators, or of characters if the separator is empty.
    fn split(&mut self, text: &'a str, by: &'a str) -> Value<'a> {
        let mut items = ArenaVec::new_in(self.arena);
        if by.is_empty() {
            let characters = text.char_indices();
            items.extend(characters.map(|(at, c)| Value::Text(&text[at..at + c.len_utf8()])));
        } else {
            items.extend(pieces(text, by).map(Value::Text));
        }
        Value::List(items.into_bump_slice())
    }

    /// Evaluates a conversion between types.
    fn convert(&mut self, func: Function, value: Value<'a>) -> EvaluationResult<'a> {
        use Value::*;
        Ok(match (func, value) {
            (Function::ToInt, Text(text)) => {
                Int(text.parse().map_err(|_| EvaluationError::NoValue)?)
            }
            // Outside this range a double has no int value. NaN is not in the range.
            (Function::ToInt, Float(v))
                if (-9_223_372_036_854_775_808.0..9_223_372_036_854_775_808.0).contains(&v) =>
            {
                Int(v as i64)
            }
            (Function::ToInt, Float(_)) => return Err(EvaluationError::Overflow),
            (Function::ToInt, Time(v)) => Int(v.div_euclid(1_000_000_000)),
            (Function::ToFloat, Text(text)) => {
                Float(text.parse().map_err(|_| EvaluationError::NoValue)?)
            }
            (Function::ToFloat, Int(v)) => Float(v as f64),
            (Function::ToText, value) => self.print_value(value)?,
            (Function::ToBytes, Text(text)) => Bytes(text.as_bytes()),
            (Function::ToSpan, Text(text)) => {
                Span(time::span(text).ok_or(EvaluationError::NoValue)?)
            }
            (Function::ToTime, Text(text)) => {
                Time(time::time(text).ok_or(EvaluationError::NoValue)?)
            }
            (Function::ToAddress, Text(text)) => Address(crate::address::plain(
                text.parse().map_err(|_| EvaluationError::NoValue)?,
            )),
            _ => return unexpected_type(),
        })
    }

    /// Converts a value to a string.
    pub(super) fn print_value(&mut self, value: Value<'a>) -> EvaluationResult<'a> {
        if let Value::Bytes(bytes) = value {
            return str::from_utf8(bytes)
                .map(Value::Text)
                .map_err(|_| EvaluationError::NoText);
        }
        let mut text = bumpalo::collections::String::with_capacity_in(40, self.arena);
        write!(text, "{value}").map_err(|_| EvaluationError::NoValue)?;
        Ok(Value::Text(text.into_bump_str()))
    }
}

/// Returns a part of a time or a duration.
fn part_of_time<'a>(func: Function, value: Value<'a>) -> EvaluationResult<'a> {
    use Value::*;
    Ok(match (func, value) {
        (Function::TimePart(part), Time(at)) => Int(time::part(at, part)),
        (Function::SpanSeconds, Span(v)) => Int(v / 1_000_000_000),
        (Function::SpanMillis, Span(v)) => Int(v / 1_000_000),
        _ => return unexpected_type(),
    })
}

/// Returns the byte offset of the first occurrence of `mark` in `text`.
fn find(text: &str, mark: &str) -> Result<usize, EvaluationError> {
    memchr::memmem::find(text.as_bytes(), mark.as_bytes()).ok_or(EvaluationError::Range)
}

/// Hashes a string to the same number on every machine and in every version: FNV-1a over its bytes,
/// followed by a mixing step so that strings that differ only in the last character fall into
/// unrelated buckets.
pub fn stable_hash(text: &str) -> u64 {
    let fnv = text.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    let mixed = (fnv ^ (fnv >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// Returns the substring between two indices, counted in code points; `None` if an index is out of
/// range.
fn substring(text: &str, from: i64, to: Option<i64>) -> Option<&str> {
    let from = usize::try_from(from).ok()?;
    let mut places = text.char_indices().map(|(at, _)| at).chain([text.len()]);
    let start = places.nth(from)?;
    let Some(to) = to else {
        return Some(&text[start..]);
    };
    let letters = usize::try_from(to).ok()?.checked_sub(from)?;
    let end = if letters == 0 {
        start
    } else {
        places.nth(letters - 1)?
    };
    Some(&text[start..end])
}

/// Returns the pieces of `text` between occurrences of the separator `by`, which is not empty.
fn pieces<'t>(text: &'t str, by: &'t str) -> impl Iterator<Item = &'t str> {
    let finder = memchr::memmem::Finder::new(by.as_bytes());
    let mut rest = Some(text);
    let by = by.len();
    std::iter::from_fn(move || {
        let whole = rest?;
        match finder.find(whole.as_bytes()) {
            Some(at) => {
                rest = Some(&whole[at + by..]);
                Some(&whole[..at])
            }
            None => rest.take(),
        }
    })
}
