//! Evaluation: recursion over the compiled tree, whose depth is bounded by the parser. Values that
//! an evaluation builds are allocated in a reusable arena. Every step is charged to a meter, which
//! stops the evaluation at its limit, regardless of the worst case that was computed before.

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

/// Evaluates expressions over the facts of one request, with one cost meter for all of them.
pub struct Evaluator<'a, 'x: 'a> {
    facts: &'a Facts<'x>,
    arena: &'a Bump,
    /// Units of cost that may still be used.
    left: u64,
    /// Current items of the macros that are being evaluated, outermost first.
    locals: [Value<'a>; MACROS_MAX],
    /// Number of macros that are being evaluated, which is their nesting depth.
    macro_depth: usize,
}

type EvaluationResult<'a> = Result<Value<'a>, EvaluationError>;

/// Returns the error for a value whose type the compiler should have refused.
fn unexpected_type<'a>() -> EvaluationResult<'a> {
    debug_assert!(false, "the compiler checked the types of all values");
    Err(EvaluationError::NoValue)
}

fn truth(value: Value<'_>) -> Result<bool, EvaluationError> {
    match value {
        Value::Bool(v) => Ok(v),
        _ => unexpected_type().map(|_| false),
    }
}

impl<'a, 'x: 'a> Evaluator<'a, 'x> {
    /// Creates an evaluator over the facts. All its evaluations together may use up to `limit`
    /// units.
    pub fn new(facts: &'a Facts<'x>, arena: &'a Bump, limit: u64) -> Evaluator<'a, 'x> {
        Evaluator {
            facts,
            arena,
            left: limit,
            locals: [Value::Bool(false); MACROS_MAX],
            macro_depth: 0,
        }
    }

    /// Returns the number of units that may still be used.
    pub fn left(&self) -> u64 {
        self.left
    }

    /// Evaluates an expression that may use at most `limit` units of those left.
    pub fn within(&mut self, node: &'a Node, limit: u64) -> EvaluationResult<'a> {
        let all = self.left;
        self.left = all.min(limit);
        let given = self.left;
        let result = self.eval(node);
        self.left = all - (given - self.left);
        result
    }

    /// Evaluates a condition that may use at most `limit` units of those left.
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

    /// Evaluates an expression of type string. Parameters, facts and constants, which are the most
    /// frequent, are read without the recursion.
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

    /// Evaluates both sides as strings and returns whether they are equal.
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
            Node::And(all) => return self.logical(all, false),
            Node::Or(all) => return self.logical(all, true),
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
            Node::Loop(which, parts) => return self.evaluate_macro(*which, &parts.0, &parts.1),
        })
    }

    /// Evaluates the name of a parameter and charges the cost of finding the parameter.
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

    /// Evaluates `startsWith` and `endsWith` without the generic handling of calls.
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

    /// Evaluates `&&` and `||` as in CEL: an operand with the value `decides` determines the result
    /// wherever it stands, even if another operand fails.
    fn logical(&mut self, all: &'a [Node], decides: bool) -> EvaluationResult<'a> {
        let mut error = None;
        for one in all {
            match self.eval(one).and_then(truth) {
                Ok(v) if v == decides => return Ok(Value::Bool(decides)),
                Ok(_) => {}
                Err(EvaluationError::Cost) => return Err(EvaluationError::Cost),
                Err(e) => error = error.or(Some(e)),
            }
        }
        error.map_or(Ok(Value::Bool(!decides)), Err)
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
                // NaN has no order: every comparison with it is false.
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
