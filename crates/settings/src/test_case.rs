//! Test cases of rules: a sample request with the output that the rules must give for it.

use crate::RuleConfig;
use crate::sample_request::SampleRequest;
use madderpoint_rules::{RuleLookup, Scratch, Verdict};

/// A sample request with the expected output of the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TestCase {
    /// Name from the settings file, which identifies the test case in diagnostics and results.
    pub name: String,
    /// Request on which the rules are evaluated.
    pub request: SampleRequest,
    /// Name of the rule that must match; `None` if no rule may match.
    pub rule: Option<String>,
    /// Operation that the rule must give. In this and the following fields, `None` allows any
    /// output.
    pub operation: Option<String>,
    /// Class that the rule must give.
    pub class: Option<String>,
    /// Text of the key that the rule must give.
    pub key: Option<String>,
    /// Rank that the rule must give, in its printed form.
    pub rank: Option<String>,
    /// Verdict that the rule must give: `throttle`, `error` or `none`.
    pub verdict: Option<String>,
}

/// The differences between the expected and the actual output of a test case, on one line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct TestCaseFailure(String);

impl TestCase {
    /// Evaluates the rules on the request and compares the output with the expected one.
    ///
    /// # Errors
    ///
    /// The output of the rules differs from the expected one.
    pub fn run(&self, config: &RuleConfig) -> Result<(), TestCaseFailure> {
        let mut scratch = Scratch::new(0);
        scratch.shows_keys = true;
        let facts = self.request.facts(&config.rules);
        let decision = config.rules.decide(&facts, &mut scratch, RuleLookup::Index);
        let given = decision.output.as_ref();
        let verdict = given.map(|g| match g.rule.verdict {
            Some(Verdict::Throttle { .. }) => "throttle",
            Some(Verdict::Error { .. }) => "error",
            None => "none",
        });
        let operation = given
            .and_then(|g| g.rule.operation)
            .and_then(|place| config.operations.get(place).cloned());
        let class = given
            .and_then(|g| g.rule.class)
            .map(|c| config.rules.classes()[usize::from(c)].clone());
        let found = [
            (
                "rule",
                Some(given.map_or("none".into(), |g| g.rule.name.to_string())),
            ),
            ("operation", operation),
            ("class", class),
            ("key", given.and_then(|g| g.key_text.clone())),
            ("rank", given.and_then(|g| g.rank).map(|r| r.to_string())),
            ("verdict", verdict.map(str::to_owned)),
        ];
        let rule = Some(self.rule.clone().unwrap_or("none".into()));
        let expected = [
            &rule,
            &self.operation,
            &self.class,
            &self.key,
            &self.rank,
            &self.verdict,
        ];
        let differ = found
            .iter()
            .zip(expected)
            .filter(|((_, found), expected)| expected.is_some() && found != *expected);
        let shown = |text: &Option<String>| text.as_deref().unwrap_or("nothing").to_owned();
        let differ: Vec<_> = differ
            .map(|((name, found), expected)| {
                format!("{name} is {}, not {}", shown(found), shown(expected))
            })
            .collect();
        if differ.is_empty() {
            Ok(())
        } else {
            Err(TestCaseFailure(differ.join("; ")))
        }
    }
}
