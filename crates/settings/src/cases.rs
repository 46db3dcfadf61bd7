//! Cases that are written beside the rules: a request, and what is to become of it.

use crate::Rulebook;
use crate::asked::Asked;
use madderpoint_rules::{Path, Scratch, Verdict};

/// A case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Case {
    /// Its name.
    pub name: String,
    /// The request.
    pub asked: Asked,
    /// The rule that is to match; none if none is to.
    pub rule: Option<String>,
    /// What that is to give, each where it is told.
    pub operation: Option<String>,
    /// See there.
    pub class: Option<String>,
    /// See there.
    pub key: Option<String>,
    /// See there.
    pub rank: Option<String>,
    /// `throttle`, `error` or `none`.
    pub verdict: Option<String>,
}

impl Case {
    /// Tries it; gives what is not as it is to be.
    pub fn run(&self, book: &Rulebook) -> Result<(), String> {
        let mut scratch = Scratch::new(0);
        scratch.shows_keys = true;
        let facts = self.asked.facts(&book.rules);
        let decision = book.rules.decide(&facts, &mut scratch, Path::Index);
        let given = decision.given.as_ref();
        let verdict = given.map(|g| match g.rule.verdict {
            Some(Verdict::Throttle { .. }) => "throttle",
            Some(Verdict::Error { .. }) => "error",
            None => "none",
        });
        let operation = given
            .and_then(|g| g.rule.operation)
            .and_then(|place| book.operations.get(place).cloned());
        let class = given
            .and_then(|g| g.rule.class)
            .map(|c| book.rules.classes()[usize::from(c)].clone());
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
        let wanted = [
            &rule,
            &self.operation,
            &self.class,
            &self.key,
            &self.rank,
            &self.verdict,
        ];
        let differ = found
            .iter()
            .zip(wanted)
            .filter(|((_, found), wanted)| wanted.is_some() && found != *wanted);
        let shown = |text: &Option<String>| text.as_deref().unwrap_or("nothing").to_owned();
        let differ: Vec<_> = differ
            .map(|((name, found), wanted)| {
                format!("{name} is {}, not {}", shown(found), shown(wanted))
            })
            .collect();
        if differ.is_empty() {
            Ok(())
        } else {
            Err(differ.join("; "))
        }
    }
}
