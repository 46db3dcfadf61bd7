//! Evaluation of macros.

use super::{ArenaVec, EvaluationResult, Evaluator, unexpected_type};
use crate::compile::{MACROS_MAX, Macro, Node};
use crate::cost;
use crate::value::{EvaluationError, Value};

impl<'a, 'x: 'a> Evaluator<'a, 'x> {
    /// Evaluates a macro over a list, or over the names of the parameters.
    pub(super) fn evaluate_macro(
        &mut self,
        which: Macro,
        range: &'a Node,
        body: &'a Node,
    ) -> EvaluationResult<'a> {
        let items = match self.eval(range)? {
            Value::List(items) => items,
            Value::Params => {
                let names = self.facts.params.names()?;
                self.charge(cost::build(24 * names.len() as u64))?;
                let mut items = ArenaVec::with_capacity_in(names.len(), self.arena);
                items.extend(names.map(Value::Text));
                items.into_bump_slice()
            }
            _ => return unexpected_type(),
        };
        let place = self.macro_depth;
        if place >= MACROS_MAX {
            return unexpected_type();
        }
        self.macro_depth += 1;
        let result = self.iterate(which, items, body, place);
        self.macro_depth = place;
        result
    }

    /// Evaluates the body for each item and combines the results. `place` is the index of the
    /// macro's variable in `locals`.
    pub(super) fn iterate(
        &mut self,
        which: Macro,
        items: &'a [Value<'a>],
        body: &'a Node,
        place: usize,
    ) -> EvaluationResult<'a> {
        let mut error = None;
        let mut built = ArenaVec::new_in(self.arena);
        if matches!(which, Macro::Map | Macro::Filter) {
            self.charge(cost::build(24 * items.len() as u64))?;
            built.reserve_exact(items.len());
        }
        for item in items {
            self.charge(cost::ROUND)?;
            self.locals[place] = *item;
            let value = self.eval(body);
            match (which, value) {
                (_, Err(EvaluationError::Cost)) => return Err(EvaluationError::Cost),
                // As with && and ||, one item can determine the result although another fails.
                (Macro::All | Macro::Exists, Err(e)) => error = error.or(Some(e)),
                (Macro::Map | Macro::Filter, Err(e)) => return Err(e),
                (Macro::Map, Ok(value)) => built.push(value),
                (Macro::All, Ok(Value::Bool(false))) => return Ok(Value::Bool(false)),
                (Macro::Exists, Ok(Value::Bool(true))) => return Ok(Value::Bool(true)),
                (Macro::Filter, Ok(Value::Bool(true))) => built.push(*item),
                (_, Ok(Value::Bool(_))) => {}
                _ => return unexpected_type(),
            }
        }
        match (which, error) {
            (_, Some(error)) => Err(error),
            (Macro::All, _) => Ok(Value::Bool(true)),
            (Macro::Exists, _) => Ok(Value::Bool(false)),
            _ => Ok(Value::List(built.into_bump_slice())),
        }
    }
}
