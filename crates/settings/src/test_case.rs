//! Test cases beside the rules: a request, and what the rules are expected to give to it.

use crate::RuleConfig;
use crate::sample_request::SampleRequest;
use madderpoint_rules::{RuleLookup, Scratch, Verdict};

/// A test case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TestCase {
    /// Its name.
    pub name: String,
    /// The request.
    pub request: SampleRequest,
    /// The rule that is to match; `None` if none is to.
    pub rule: Option<String>,
    /// The operation that the rule is to give; `None` here and below if any may be given.
    pub operation: Option<String>,
    /// The class.
    pub class: Option<String>,
    /// The key's text.
    pub key: Option<String>,
    /// The rank, as it is printed.
    pub rank: Option<String>,
    /// `throttle`, `error` or `none`.
    pub verdict: Option<String>,
}

/// A test case whose request was not given what it expects: all differences, in one line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct TestCaseFailure(String);

impl TestCase {
    /// Evaluates the rules for the request.
    ///
    /// # Errors
    ///
    /// What the rules gave differs from what is expected.
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
