//! Evaluation: recursion over the compiled tree, whose depth was bounded when it was parsed. What
//! it
//! builds is in an arena that is reused; every step is charged to a meter, which stops it at its
//! limit whatever worst case was computed before.

mod functions;
mod macros;

pub use functions::stable_hash;

use crate::compile::{Function, MACROS_MAX, Node, price};
use crate::cost;
use crate::facts::Facts;
use crate::syntax::Binary;
use crate::value::{EvaluationError, Value};
use bumpalo::Bump;
use bumpalo::collections::Vec as ArenaVec;
use std::cmp::Ordering;
use std::collections::HashSet;

/// One evaluation or several, on one meter.
pub struct Evaluator<'a, 'x: 'a> {
    facts: &'a Facts<'x>,
    arena: &'a Bump,
    left: u64,
    locals: [Value<'a>; MACROS_MAX],
    /// Macros that are being walked.
    walking: usize,
}

type EvaluationResult<'a> = Result<Value<'a>, EvaluationError>;

/// Reached only if a rule was compiled that has no type.
fn unexpected_type<'a>() -> EvaluationResult<'a> {
    debug_assert!(false, "what is compiled has a type");
    Err(EvaluationError::NoValue)
}

fn truth(value: Value<'_>) -> Result<bool, EvaluationError> {
    match value {
        Value::Bool(v) => Ok(v),
        _ => unexpected_type().map(|_| false),
    }
}

impl<'a, 'x: 'a> Evaluator<'a, 'x> {
    /// Evaluations over these facts that may take up to `limit` units together.
    pub fn new(facts: &'a Facts<'x>, arena: &'a Bump, limit: u64) -> Evaluator<'a, 'x> {
        Evaluator {
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
    pub fn within(&mut self, node: &'a Node, limit: u64) -> EvaluationResult<'a> {
        let all = self.left;
        self.left = all.min(limit);
        let given = self.left;
        let result = self.eval(node);
        self.left = all - (given - self.left);
        result
    }

    /// Evaluates a condition within a limit of its own.
    pub fn holds(&mut self, node: &'a Node, limit: u64) -> Result<bool, EvaluationError> {
        self.within(node, limit).and_then(truth)
    }

    #[inline]
    fn charge(&mut self, units: u64) -> Result<(), EvaluationError> {
        match self.left.checked_sub(units) {
            Some(left) => self.left = left,
            None => {
                self.left = 0;
                return Err(EvaluationError::Cost);
            }
        }
        Ok(())
    }

    /// Text, most of which is a parameter, a fact or written out, and then costs no further walk.
    fn text(&mut self, node: &'a Node) -> Result<&'a str, EvaluationError> {
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
                self.facts.get(*name).ok_or(EvaluationError::Absent)?
            }
            other => self.eval(other)?,
        };
        match value {
            Value::Text(text) => Ok(text),
            _ => unexpected_type().map(|_| ""),
        }
    }

    /// Whether two texts are the same.
    fn same_text(&mut self, sides: &'a (Node, Node)) -> Result<bool, EvaluationError> {
        let (a, b) = (self.text(&sides.0)?, self.text(&sides.1)?);
        self.charge(cost::compare(a.len().min(b.len()) as u64))?;
        Ok(a == b)
    }

    fn eval(&mut self, node: &'a Node) -> EvaluationResult<'a> {
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
            Node::Fact(name) => return self.facts.get(*name).ok_or(EvaluationError::Absent),
            Node::Slot(slot) => Value::Text(self.facts.params.slot(*slot)?),
            Node::Param(name) => return self.param(name),
            Node::Local(place) => self.locals[usize::from(*place)],
            Node::HasFact(name) => Value::Bool(self.facts.get(*name).is_some()),
            Node::HasSlot(slot) => Value::Bool(self.facts.params.has_slot(*slot)),
            Node::HasParam(name) => return self.has_param(name),
            Node::Not(of) => Value::Bool(!truth(self.eval(of)?)?),
            Node::Minus(of) => return self.minus(of),
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
            Node::List(nodes) => return self.list(nodes),
            Node::Item(parts) => return self.item(parts),
            Node::InTexts(of, set) => {
                let text = self.text(of)?;
                self.charge(cost::LOOK + cost::compare(text.len() as u64))?;
                Value::Bool(set.contains(text))
            }
            Node::InInts(of, set) => return self.is_in_ints(of, set),
            Node::Matches(of, pattern) => {
                let text = self.text(of)?;
                self.charge(cost::pattern(text.len() as u64))?;
                Value::Bool(pattern.matches(text))
            }
            Node::Binary(Binary::Equal, sides) if matches!(sides.1, Node::Text(_)) => {
                Value::Bool(self.same_text(sides)?)
            }
            Node::Call(func @ (Function::StartsWith | Function::EndsWith), nodes) => {
                return self.starts_or_ends(*func, nodes);
            }
            Node::Binary(op, sides) => {
                let (a, b) = (self.eval(&sides.0)?, self.eval(&sides.1)?);
                return self.binary(*op, a, b);
            }
            Node::Call(func, nodes) => return self.call(*func, nodes),
            Node::Loop(which, parts) => return self.walk(*which, &parts.0, &parts.1),
        })
    }

    /// The name of a parameter, and the cost of finding it.
    fn param_name(&mut self, name: &'a Node) -> Result<&'a str, EvaluationError> {
        let name = self.text(name)?;
        self.charge(cost::find(
            self.facts.params.len() as u64,
            name.len() as u64,
        ))?;
        Ok(name)
    }

    fn param(&mut self, name: &'a Node) -> EvaluationResult<'a> {
        let name = self.param_name(name)?;
        Ok(Value::Text(self.facts.params.find(name)?))
    }

    fn has_param(&mut self, name: &'a Node) -> EvaluationResult<'a> {
        let name = self.param_name(name)?;
        Ok(Value::Bool(self.facts.params.has(name)?))
    }

    fn minus(&mut self, of: &'a Node) -> EvaluationResult<'a> {
        let overflow = EvaluationError::Overflow;
        Ok(match self.eval(of)? {
            Value::Int(v) => Value::Int(v.checked_neg().ok_or(overflow)?),
            Value::Span(v) => Value::Span(v.checked_neg().ok_or(overflow)?),
            Value::Float(v) => Value::Float(-v),
            _ => return unexpected_type(),
        })
    }

    fn list(&mut self, nodes: &'a [Node]) -> EvaluationResult<'a> {
        self.charge(cost::build(24 * nodes.len() as u64))?;
        let mut items = ArenaVec::with_capacity_in(nodes.len(), self.arena);
        for node in nodes {
            items.push(self.eval(node)?);
        }
        Ok(Value::List(items.into_bump_slice()))
    }

    fn item(&mut self, parts: &'a (Node, Node)) -> EvaluationResult<'a> {
        let (list, index) = (self.eval(&parts.0)?, self.eval(&parts.1)?);
        let (Value::List(items), Value::Int(index)) = (list, index) else {
            return unexpected_type();
        };
        let index = usize::try_from(index).map_err(|_| EvaluationError::Range)?;
        Ok(*items.get(index).ok_or(EvaluationError::Range)?)
    }

    fn is_in_ints(&mut self, of: &'a Node, set: &HashSet<i64>) -> EvaluationResult<'a> {
        let Value::Int(value) = self.eval(of)? else {
            return unexpected_type();
        };
        self.charge(cost::LOOK)?;
        Ok(Value::Bool(set.contains(&value)))
    }

    /// `startsWith` and `endsWith`, without the walk of other calls.
    #[inline]
    fn starts_or_ends(&mut self, func: Function, nodes: &'a [Node]) -> EvaluationResult<'a> {
        let [of, part] = nodes else {
            return unexpected_type();
        };
        let (of, part) = (self.text(of)?, self.text(part)?);
        self.charge(price(func, &[of.len() as u64, part.len() as u64]))?;
        Ok(Value::Bool(if func == Function::StartsWith {
            of.starts_with(part)
        } else {
            of.ends_with(part)
        }))
    }

    /// `&&` and `||` as CEL has them: a side that decides does so whichever side it is on, also
    /// where another errs.
    fn joined(&mut self, all: &'a [Node], decides: bool) -> EvaluationResult<'a> {
        let mut fault = None;
        for one in all {
            match self.eval(one).and_then(truth) {
                Ok(v) if v == decides => return Ok(Value::Bool(decides)),
                Ok(_) => {}
                Err(EvaluationError::Cost) => return Err(EvaluationError::Cost),
                Err(e) => fault = fault.or(Some(e)),
            }
        }
        fault.map_or(Ok(Value::Bool(!decides)), Err)
    }

    fn binary(&mut self, op: Binary, a: Value<'a>, b: Value<'a>) -> EvaluationResult<'a> {
        use Value::*;
        let overflow = |v: Option<i64>| v.ok_or(EvaluationError::Overflow);
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
            (Binary::Div | Binary::Rem, Int(_), Int(0)) => return Err(EvaluationError::Zero),
            (Binary::Div, Int(a), Int(b)) => Int(overflow(a.checked_div(b))?),
            (Binary::Rem, Int(a), Int(b)) => Int(overflow(a.checked_rem(b))?),
            (Binary::Add, Float(a), Float(b)) => Float(a + b),
            (Binary::Sub, Float(a), Float(b)) => Float(a - b),
            (Binary::Mul, Float(a), Float(b)) => Float(a * b),
            (Binary::Div, Float(a), Float(b)) => Float(a / b),
            (Binary::Add, Text(_), Text(_))
            | (Binary::Add, Bytes(_), Bytes(_))
            | (Binary::Add, List(_), List(_)) => return self.concatenate(a, b),
            (Binary::Add, Span(a), Span(b)) => Span(overflow(a.checked_add(b))?),
            (Binary::Sub, Span(a), Span(b)) => Span(overflow(a.checked_sub(b))?),
            (Binary::Add, Time(a), Span(b)) | (Binary::Add, Span(a), Time(b)) => {
                Time(overflow(a.checked_add(b))?)
            }
            (Binary::Sub, Time(a), Span(b)) => Time(overflow(a.checked_sub(b))?),
            (Binary::Sub, Time(a), Time(b)) => Span(overflow(a.checked_sub(b))?),
            _ => return unexpected_type(),
        })
    }

    fn concatenate(&mut self, a: Value<'a>, b: Value<'a>) -> EvaluationResult<'a> {
        use Value::*;
        Ok(match (a, b) {
            (Text(a), Text(b)) => {
                self.charge(cost::build((a.len() + b.len()) as u64))?;
                let mut text =
                    bumpalo::collections::String::with_capacity_in(a.len() + b.len(), self.arena);
                text.push_str(a);
                text.push_str(b);
                Text(text.into_bump_str())
            }
            (Bytes(a), Bytes(b)) => {
                self.charge(cost::build((a.len() + b.len()) as u64))?;
                let mut bytes = ArenaVec::with_capacity_in(a.len() + b.len(), self.arena);
                bytes.extend_from_slice(a);
                bytes.extend_from_slice(b);
                Bytes(bytes.into_bump_slice())
            }
            (List(a), List(b)) => {
                self.charge(cost::build(24 * (a.len() + b.len()) as u64))?;
                let mut items = ArenaVec::with_capacity_in(a.len() + b.len(), self.arena);
                items.extend_from_slice(a);
                items.extend_from_slice(b);
                List(items.into_bump_slice())
            }
            _ => return unexpected_type(),
        })
    }
}
