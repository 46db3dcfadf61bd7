//! Explains why rules match or do not match, for `rules explain`.

use super::{Rule, RuleSet, Scratch};
use crate::compile::Node;
use crate::eval::Evaluator;
use crate::facts::Facts;
use crate::syntax;
use crate::value::EvaluationError;

/// The explanation of why a rule matches or does not match a request.
#[derive(Clone, Debug)]
pub struct RuleExplanation {
    /// Index of the rule in the set.
    pub place: usize,
    /// Whether the index selects the rule for evaluation with this request.
    pub evaluated: bool,
    /// Kind of the test under which the rule is indexed.
    pub index_kind: &'static str,
    /// Whether the condition holds, or the error with which its evaluation failed.
    pub result: Result<bool, EvaluationError>,
    /// Cost of evaluating the condition, in units.
    pub cost: u64,
    /// First operand of the condition that is not true, and its result.
    pub failed: Option<(String, String)>,
}

impl RuleSet {
    /// Explains each rule in the order of the file, up to the one that matches.
    pub fn explain(&self, facts: &Facts<'_>, scratch: &mut Scratch) -> Vec<RuleExplanation> {
        let candidates: Vec<u32> = self.index.candidates(facts).collect();
        let mut explanations = Vec::new();
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
            explanations.push(RuleExplanation {
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
        explanations
    }

    /// Returns the text of the first operand of a condition that is not true, and its result.
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
                Err(error) => return (text, format!("errs: {error}")),
            }
        }
        (rule.text.to_string(), "does not hold".into())
    }
}
