//! Evaluation: a walk over the compiled tree, whose depth was bounded when it was read. What it
//! builds lies in an arena that is used again; every step is booked on a meter, which stops it at
//! its limit whatever was computed before.

use crate::compile::{Func, MACROS_MAX, Macro, Node, VALUE_MAX, price};
use crate::cost;
use crate::facts::Facts;
use crate::syntax::Binary;
use crate::time;
use crate::value::{Fault, Value};
use bumpalo::Bump;
use bumpalo::collections::Vec as Built;
use std::cmp::Ordering;
use std::fmt::Write;

/// One evaluation or several, on one meter.
pub struct Eval<'a, 'x: 'a> {
    facts: &'a Facts<'x>,
    arena: &'a Bump,
    left: u64,
    locals: [Value<'a>; MACROS_MAX],
    /// Macros that are being walked.
    walking: usize,
}

type Outcome<'a> = Result<Value<'a>, Fault>;

/// Reached only if a rule was compiled that has no type.
fn mistyped<'a>() -> Outcome<'a> {
    debug_assert!(false, "what is compiled has a type");
    Err(Fault::NoValue)
}

fn truth(value: Value<'_>) -> Result<bool, Fault> {
    match value {
        Value::Bool(v) => Ok(v),
        _ => mistyped().map(|_| false),
    }
}

impl<'a, 'x: 'a> Eval<'a, 'x> {
    /// Evaluations over these facts that may take so many units together.
    pub fn new(facts: &'a Facts<'x>, arena: &'a Bump, limit: u64) -> Eval<'a, 'x> {
        Eval {
            facts,
            arena,
            left: limit,
            locals: [Value::Bool(false); MACROS_MAX],
            walking: 0,
        }
    }

    /// Units that are left.
    pub fn left(&self) -> u64 {
        self.left
    }

    /// Evaluates within a limit of its own, which is taken from what is left.
    pub fn within(&mut self, node: &'a Node, limit: u64) -> Outcome<'a> {
        let all = self.left;
        self.left = all.min(limit);
        let given = self.left;
        let result = self.eval(node);
        self.left = all - (given - self.left);
        result
    }

    /// Evaluates a condition within a limit of its own.
    pub fn holds(&mut self, node: &'a Node, limit: u64) -> Result<bool, Fault> {
        self.within(node, limit).and_then(truth)
    }

    #[inline]
    fn charge(&mut self, units: u64) -> Result<(), Fault> {
        match self.left.checked_sub(units) {
            Some(left) => self.left = left,
            None => {
                self.left = 0;
                return Err(Fault::Cost);
            }
        }
        Ok(())
    }

    /// Text, most of which is a parameter, a fact or written out, and then costs no further walk.
    fn text(&mut self, node: &'a Node) -> Result<&'a str, Fault> {
        let value = match node {
            Node::Slot(slot) => {
                self.charge(cost::STEP)?;
                return self.facts.params.slot(*slot);
            }
            Node::Text(text) => {
                self.charge(cost::STEP)?;
                return Ok(text);
            }
            Node::Fact(name) => {
                self.charge(cost::STEP)?;
                self.facts.get(*name).ok_or(Fault::Absent)?
            }
            other => self.eval(other)?,
        };
        match value {
            Value::Text(text) => Ok(text),
            _ => mistyped().map(|_| ""),
        }
    }

    /// Whether two texts are the same.
    fn same_text(&mut self, sides: &'a (Node, Node)) -> Result<bool, Fault> {
        let (a, b) = (self.text(&sides.0)?, self.text(&sides.1)?);
        self.charge(cost::compare(a.len().min(b.len()) as u64))?;
        Ok(a == b)
    }

    fn eval(&mut self, node: &'a Node) -> Outcome<'a> {
        self.charge(cost::STEP)?;
        Ok(match node {
            Node::Bool(v) => Value::Bool(*v),
            Node::Int(v) => Value::Int(*v),
            Node::Float(v) => Value::Float(*v),
            Node::Text(v) => Value::Text(v),
            Node::Bytes(v) => Value::Bytes(v),
            Node::Span(v) => Value::Span(*v),
            Node::Time(v) => Value::Time(*v),
            Node::Address(v) => Value::Address(*v),
            Node::Set(set) => Value::Addresses(set),
            Node::Params => Value::Params,
            Node::Fact(name) => return self.facts.get(*name).ok_or(Fault::Absent),
            Node::Slot(slot) => Value::Text(self.facts.params.slot(*slot)?),
            Node::Param(name) => {
                let name = self.text(name)?;
                self.charge(cost::find(
                    self.facts.params.len() as u64,
                    name.len() as u64,
                ))?;
                Value::Text(self.facts.params.find(name)?)
            }
            Node::Local(place) => self.locals[usize::from(*place)],
            Node::HasFact(name) => Value::Bool(self.facts.get(*name).is_some()),
            Node::HasSlot(slot) => Value::Bool(self.facts.params.has_slot(*slot)),
            Node::HasParam(name) => {
                let name = self.text(name)?;
                self.charge(cost::find(
                    self.facts.params.len() as u64,
                    name.len() as u64,
                ))?;
                Value::Bool(self.facts.params.has(name)?)
            }
            Node::Not(of) => Value::Bool(!truth(self.eval(of)?)?),
            Node::Minus(of) => match self.eval(of)? {
                Value::Int(v) => Value::Int(v.checked_neg().ok_or(Fault::Overflow)?),
                Value::Span(v) => Value::Span(v.checked_neg().ok_or(Fault::Overflow)?),
                Value::Float(v) => Value::Float(-v),
                _ => return mistyped(),
            },
            Node::And(all) => return self.joined(all, false),
            Node::Or(all) => return self.joined(all, true),
            Node::If(parts) => {
                let (condition, yes, no) = &**parts;
                return if truth(self.eval(condition)?)? {
                    self.eval(yes)
                } else {
                    self.eval(no)
                };
            }
            Node::List(nodes) => {
                self.charge(cost::build(24 * nodes.len() as u64))?;
                let mut items = Built::with_capacity_in(nodes.len(), self.arena);
                for node in nodes {
                    items.push(self.eval(node)?);
                }
                Value::List(items.into_bump_slice())
            }
            Node::Item(parts) => {
                let (list, place) = (self.eval(&parts.0)?, self.eval(&parts.1)?);
                let (Value::List(items), Value::Int(place)) = (list, place) else {
                    return mistyped();
                };
                let place = usize::try_from(place).map_err(|_| Fault::Range)?;
                *items.get(place).ok_or(Fault::Range)?
            }
            Node::InTexts(of, set) => {
                let text = self.text(of)?;
                self.charge(cost::LOOK + cost::compare(text.len() as u64))?;
                Value::Bool(set.contains(text))
            }
            Node::InInts(of, set) => {
                let Value::Int(value) = self.eval(of)? else {
                    return mistyped();
                };
                self.charge(cost::LOOK)?;
                Value::Bool(set.contains(&value))
            }
            Node::Matches(of, pattern) => {
                let text = self.text(of)?;
                self.charge(cost::pattern(text.len() as u64))?;
                Value::Bool(pattern.matches(text))
            }
            Node::Binary(Binary::Equal, sides) if matches!(sides.1, Node::Text(_)) => {
                Value::Bool(self.same_text(sides)?)
            }
            Node::Call(func @ (Func::StartsWith | Func::EndsWith), nodes) => {
                let [of, part] = &**nodes else {
                    return mistyped();
                };
                let (of, part) = (self.text(of)?, self.text(part)?);
                self.charge(price(*func, &[of.len() as u64, part.len() as u64]))?;
                Value::Bool(if *func == Func::StartsWith {
                    of.starts_with(part)
                } else {
                    of.ends_with(part)
                })
            }
            Node::Binary(op, sides) => {
                let (a, b) = (self.eval(&sides.0)?, self.eval(&sides.1)?);
                return self.binary(*op, a, b);
            }
            Node::Call(func, nodes) => return self.call(*func, nodes),
            Node::Loop(which, parts) => return self.walk(*which, &parts.0, &parts.1),
        })
    }

    /// `&&` and `||` as CEL has them: a side that decides does so whichever side it is on, also
    /// where another errs.
    fn joined(&mut self, all: &'a [Node], decides: bool) -> Outcome<'a> {
        let mut fault = None;
        for one in all {
            match self.eval(one).and_then(truth) {
                Ok(v) if v == decides => return Ok(Value::Bool(decides)),
                Ok(_) => {}
                Err(Fault::Cost) => return Err(Fault::Cost),
                Err(e) => fault = fault.or(Some(e)),
            }
        }
        fault.map_or(Ok(Value::Bool(!decides)), Err)
    }

    fn binary(&mut self, op: Binary, a: Value<'a>, b: Value<'a>) -> Outcome<'a> {
        use Value::*;
        let overflow = |v: Option<i64>| v.ok_or(Fault::Overflow);
        Ok(match (op, a, b) {
            (Binary::In, Address(address), Addresses(set)) => {
                self.charge(cost::LOOK)?;
                Bool(set.contains(address))
            }
            (Binary::In, item, List(items)) => {
                for one in items {
                    self.charge(cost::compare(item.extent().min(one.extent()) as u64))?;
                    if item.same(one) {
                        return Ok(Bool(true));
                    }
                }
                Bool(false)
            }
            (Binary::Equal | Binary::Differs, a, b) => {
                self.charge(cost::compare(a.extent().min(b.extent()) as u64))?;
                Bool(a.same(&b) == (op == Binary::Equal))
            }
            (Binary::Less | Binary::AtMost | Binary::More | Binary::AtLeast, a, b) => {
                self.charge(cost::compare(a.extent().min(b.extent()) as u64))?;
                // Without an order, as with NaN, nothing is less, more or the same.
                Bool(a.order(&b).is_some_and(|order| match op {
                    Binary::Less => order == Ordering::Less,
                    Binary::AtMost => order != Ordering::Greater,
                    Binary::More => order == Ordering::Greater,
                    _ => order != Ordering::Less,
                }))
            }
            (Binary::Add, Int(a), Int(b)) => Int(overflow(a.checked_add(b))?),
            (Binary::Sub, Int(a), Int(b)) => Int(overflow(a.checked_sub(b))?),
            (Binary::Mul, Int(a), Int(b)) => Int(overflow(a.checked_mul(b))?),
            (Binary::Div | Binary::Rem, Int(_), Int(0)) => return Err(Fault::Zero),
            (Binary::Div, Int(a), Int(b)) => Int(overflow(a.checked_div(b))?),
            (Binary::Rem, Int(a), Int(b)) => Int(overflow(a.checked_rem(b))?),
            (Binary::Add, Float(a), Float(b)) => Float(a + b),
            (Binary::Sub, Float(a), Float(b)) => Float(a - b),
            (Binary::Mul, Float(a), Float(b)) => Float(a * b),
            (Binary::Div, Float(a), Float(b)) => Float(a / b),
            (Binary::Add, Text(a), Text(b)) => {
                self.charge(cost::build((a.len() + b.len()) as u64))?;
                let mut text =
                    bumpalo::collections::String::with_capacity_in(a.len() + b.len(), self.arena);
                text.push_str(a);
                text.push_str(b);
                Text(text.into_bump_str())
            }
            (Binary::Add, Bytes(a), Bytes(b)) => {
                self.charge(cost::build((a.len() + b.len()) as u64))?;
                let mut bytes = Built::with_capacity_in(a.len() + b.len(), self.arena);
                bytes.extend_from_slice(a);
                bytes.extend_from_slice(b);
                Bytes(bytes.into_bump_slice())
            }
            (Binary::Add, List(a), List(b)) => {
                self.charge(cost::build(24 * (a.len() + b.len()) as u64))?;
                let mut items = Built::with_capacity_in(a.len() + b.len(), self.arena);
                items.extend_from_slice(a);
                items.extend_from_slice(b);
                List(items.into_bump_slice())
            }
            (Binary::Add, Span(a), Span(b)) => Span(overflow(a.checked_add(b))?),
            (Binary::Sub, Span(a), Span(b)) => Span(overflow(a.checked_sub(b))?),
            (Binary::Add, Time(a), Span(b)) | (Binary::Add, Span(a), Time(b)) => {
                Time(overflow(a.checked_add(b))?)
            }
            (Binary::Sub, Time(a), Span(b)) => Time(overflow(a.checked_sub(b))?),
            (Binary::Sub, Time(a), Time(b)) => Span(overflow(a.checked_sub(b))?),
            _ => return mistyped(),
        })
    }

    fn call(&mut self, func: Func, nodes: &'a [Node]) -> Outcome<'a> {
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
        let [first, second, third] = given;
        use Value::*;
        let parses = matches!(
            func,
            Func::ToInt | Func::ToFloat | Func::ToSpan | Func::ToTime | Func::ToAddress
        );
        if parses && sizes[0] > VALUE_MAX as u64 {
            return Err(Fault::NoValue);
        }
        Ok(match (func, first, second) {
            (Func::Size, Text(text), _) => Int(text.chars().count() as i64),
            (Func::Size, Bytes(bytes), _) => Int(bytes.len() as i64),
            (Func::Size, List(items), _) => Int(items.len() as i64),
            (Func::Size, Params, _) => Int(self.facts.params.names()?.len() as i64),
            (Func::Contains, Text(a), Text(b)) => {
                Bool(memchr::memmem::find(a.as_bytes(), b.as_bytes()).is_some())
            }
            (Func::IndexOf, Text(a), Text(b)) => {
                let found = memchr::memmem::find(a.as_bytes(), b.as_bytes());
                Int(found.map_or(-1, |at| a[..at].chars().count() as i64))
            }
            (Func::Substring, Text(text), Int(from)) => {
                let to = if let (3, Int(to)) = (nodes.len(), third) {
                    Some(to)
                } else {
                    None
                };
                Text(substring(text, from, to).ok_or(Fault::Range)?)
            }
            (Func::Part, Text(text), Text(by)) => {
                let (Int(place), false) = (third, by.is_empty()) else {
                    return Err(Fault::Range);
                };
                let place = usize::try_from(place).map_err(|_| Fault::Range)?;
                Text(pieces(text, by).nth(place).ok_or(Fault::Range)?)
            }
            (Func::Before, Text(text), Text(mark)) => {
                let at =
                    memchr::memmem::find(text.as_bytes(), mark.as_bytes()).ok_or(Fault::Range)?;
                Text(&text[..at])
            }
            (Func::After, Text(text), Text(mark)) => {
                let at =
                    memchr::memmem::find(text.as_bytes(), mark.as_bytes()).ok_or(Fault::Range)?;
                Text(&text[at + mark.len()..])
            }
            (Func::Lower, Text(text), _) => {
                let text = self.arena.alloc_str(text);
                text.make_ascii_lowercase();
                Text(text)
            }
            (Func::Upper, Text(text), _) => {
                let text = self.arena.alloc_str(text);
                text.make_ascii_uppercase();
                Text(text)
            }
            (Func::Trim, Text(text), _) => Text(text.trim()),
            (Func::Split, Text(text), Text(by)) => {
                let mut items = Built::new_in(self.arena);
                if by.is_empty() {
                    items.extend(
                        text.char_indices()
                            .map(|(at, c)| Text(&text[at..at + c.len_utf8()])),
                    );
                } else {
                    items.extend(pieces(text, by).map(Text));
                }
                List(items.into_bump_slice())
            }
            (Func::Hash, Text(text), Int(buckets)) => {
                Int((stable_hash(text) % buckets.max(1) as u64) as i64)
            }
            (Func::ToInt, Text(text), _) => Int(text.parse().map_err(|_| Fault::NoValue)?),
            // Beyond these a double has no neighbour that is an int; NaN is within nothing.
            (Func::ToInt, Float(v), _)
                if (-9_223_372_036_854_775_808.0..9_223_372_036_854_775_808.0).contains(&v) =>
            {
                Int(v as i64)
            }
            (Func::ToInt, Float(_), _) => return Err(Fault::Overflow),
            (Func::ToInt, Time(v), _) => Int(v.div_euclid(1_000_000_000)),
            (Func::ToFloat, Text(text), _) => Float(text.parse().map_err(|_| Fault::NoValue)?),
            (Func::ToFloat, Int(v), _) => Float(v as f64),
            (Func::ToText, value, _) => self.printed(value)?,
            (Func::ToBytes, Text(text), _) => Bytes(text.as_bytes()),
            (Func::ToSpan, Text(text), _) => Span(time::span(text).ok_or(Fault::NoValue)?),
            (Func::ToTime, Text(text), _) => Time(time::time(text).ok_or(Fault::NoValue)?),
            (Func::ToAddress, Text(text), _) => Address(crate::address::plain(
                text.parse().map_err(|_| Fault::NoValue)?,
            )),
            (Func::TimePart(part), Time(at), _) => Int(time::part(at, part)),
            (Func::SpanSeconds, Span(v), _) => Int(v / 1_000_000_000),
            (Func::SpanMillis, Span(v), _) => Int(v / 1_000_000),
            _ => return mistyped(),
        })
    }

    fn printed(&mut self, value: Value<'a>) -> Outcome<'a> {
        if let Value::Bytes(bytes) = value {
            return str::from_utf8(bytes)
                .map(Value::Text)
                .map_err(|_| Fault::NoText);
        }
        let mut text = bumpalo::collections::String::with_capacity_in(40, self.arena);
        write!(text, "{value}").map_err(|_| Fault::NoValue)?;
        Ok(Value::Text(text.into_bump_str()))
    }

    fn walk(&mut self, which: Macro, range: &'a Node, body: &'a Node) -> Outcome<'a> {
        let items = match self.eval(range)? {
            Value::List(items) => items,
            Value::Params => {
                let names = self.facts.params.names()?;
                self.charge(cost::build(24 * names.len() as u64))?;
                let mut items = Built::with_capacity_in(names.len(), self.arena);
                items.extend(names.map(Value::Text));
                items.into_bump_slice()
            }
            _ => return mistyped(),
        };
        let place = self.walking;
        if place >= MACROS_MAX {
            return mistyped();
        }
        self.walking += 1;
        let result = self.rounds(which, items, body, place);
        self.walking = place;
        result
    }

    fn rounds(
        &mut self,
        which: Macro,
        items: &'a [Value<'a>],
        body: &'a Node,
        place: usize,
    ) -> Outcome<'a> {
        let mut fault = None;
        let mut built = Built::new_in(self.arena);
        if matches!(which, Macro::Map | Macro::Filter) {
            self.charge(cost::build(24 * items.len() as u64))?;
            built.reserve_exact(items.len());
        }
        for item in items {
            self.charge(cost::ROUND)?;
            self.locals[place] = *item;
            let value = self.eval(body);
            match (which, value) {
                (_, Err(Fault::Cost)) => return Err(Fault::Cost),
                // As with && and ||, one item that decides does so though another errs.
                (Macro::All | Macro::Exists, Err(e)) => fault = fault.or(Some(e)),
                (Macro::Map | Macro::Filter, Err(e)) => return Err(e),
                (Macro::Map, Ok(value)) => built.push(value),
                (Macro::All, Ok(Value::Bool(false))) => return Ok(Value::Bool(false)),
                (Macro::Exists, Ok(Value::Bool(true))) => return Ok(Value::Bool(true)),
                (Macro::Filter, Ok(Value::Bool(true))) => built.push(*item),
                (_, Ok(Value::Bool(_))) => {}
                _ => return mistyped(),
            }
        }
        match (which, fault) {
            (_, Some(fault)) => Err(fault),
            (Macro::All, _) => Ok(Value::Bool(true)),
            (Macro::Exists, _) => Ok(Value::Bool(false)),
            _ => Ok(Value::List(built.into_bump_slice())),
        }
    }
}

/// The same number for the same text on every machine and in every version: FNV-1a over its bytes,
/// mixed so that texts that differ in their last letter fall into buckets that lie apart.
pub fn stable_hash(text: &str) -> u64 {
    let fnv = text.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    let mixed = (fnv ^ (fnv >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// The letters from one place up to another, counted in code points.
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

/// The pieces between separators.
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
