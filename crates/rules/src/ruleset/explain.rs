//! Explains why rules match or not, for `rules explain`.

use super::{Rule, RuleSet, Scratch};
use crate::compile::Node;
use crate::eval::Evaluator;
use crate::facts::Facts;
use crate::syntax;
use crate::value::EvaluationError;

/// Why a rule matches or not.
#[derive(Clone, Debug)]
pub struct RuleExplanation {
    /// The rule's index.
    pub place: usize,
    /// Whether it is evaluated for this request, by the index.
    pub evaluated: bool,
    /// The kind of what the index files it under.
    pub index_kind: &'static str,
    /// The result of its condition.
    pub result: Result<bool, EvaluationError>,
    /// Units of cost that this took.
    pub cost: u64,
    /// The first part that does not hold, and its result.
    pub failed: Option<(String, String)>,
}

impl RuleSet {
    /// Explains each rule up to the one that matches, in the order of the file.
    pub fn explain(&self, facts: &Facts<'_>, scratch: &mut Scratch) -> Vec<RuleExplanation> {
        let candidates: Vec<u32> = self.index.candidates(facts).collect();
        let mut why = Vec::new();
        for (place, rule) in self.rules.iter().enumerate() {
            scratch.arena.reset();
            let mut eval = Evaluator::new(facts, &scratch.arena, self.cost);
            let index_kind = self.index.kind(place);
            let evaluated = candidates.binary_search(&(place as u32)).is_ok();
            let result = eval.holds(&rule.when, self.cost);
            let cost = self.cost - eval.left();
            let failed = match result {
                Ok(true) => None,
                _ => Some(Self::first_failed(rule, facts, scratch, self.cost)),
            };
            why.push(RuleExplanation {
                place,
                evaluated,
                index_kind,
                result,
                cost,
                failed,
            });
            if result == Ok(true) {
                break;
            }
        }
        why
    }

    /// The first part of a condition that does not hold, and what became of it.
    fn first_failed(
        rule: &Rule,
        facts: &Facts<'_>,
        scratch: &mut Scratch,
        limit: u64,
    ) -> (String, String) {
        let parts = match &rule.when {
            Node::And(parts) => &**parts,
            whole => std::slice::from_ref(whole),
        };
        let texts: Vec<String> = match syntax::parse(&rule.text).map(|expr| expr.kind) {
            Ok(syntax::ExpressionKind::And(all)) => all.iter().map(ToString::to_string).collect(),
            _ => vec![rule.text.to_string()],
        };
        for (part, text) in parts.iter().zip(texts) {
            scratch.arena.reset();
            match Evaluator::new(facts, &scratch.arena, limit).holds(part, limit) {
                Ok(true) => {}
                Ok(false) => return (text, "is false".into()),
                Err(fault) => return (text, format!("errs: {fault}")),
            }
        }
        (rule.text.to_string(), "does not hold".into())
    }
}
