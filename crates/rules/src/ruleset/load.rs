//! Checks and compiles the rules of a set.

use super::{
    BUCKETS_MAX, Bounds, FACTS_MAX, Field, RULES_MAX, Rule, RuleError, RuleSet, RuleSource,
};
use crate::compile::{Compiler, Node, Vocabulary};
use crate::error::ExpressionError;
use crate::index::Index;
use crate::syntax;
use crate::value::Type;

struct Loader<'v> {
    compiler: Compiler<'v>,
    vocabulary: &'v Vocabulary,
    bounds: Bounds,
    problems: Vec<RuleError>,
    classes: Vec<String>,
    buckets: &'v [String],
}

impl Loader<'_> {
    fn problem(&mut self, rule: usize, field: Field, error: ExpressionError) {
        self.problems.push(RuleError {
            rule: Some(rule),
            field,
            error,
        });
    }

    fn compile(
        &mut self,
        rule: usize,
        field: Field,
        text: &str,
        kind: Type,
    ) -> Option<(Node, u64)> {
        let parsed = syntax::parse(text).map_err(|e| vec![e]);
        match parsed.and_then(|expr| self.compiler.compile(&expr, &kind, self.bounds.cost)) {
            Ok(typed) => Some((typed.node, typed.worst)),
            Err(errors) => {
                errors
                    .into_iter()
                    .for_each(|error| self.problem(rule, field, error));
                None
            }
        }
    }

    fn whole(text: &str, what: impl Into<String>, expected: impl Into<String>) -> ExpressionError {
        ExpressionError::new(0..text.len(), what, expected)
    }

    fn rule(&mut self, place: usize, written: &RuleSource) -> Option<Rule> {
        let before = self.problems.len();
        let operation = written.operation.as_ref().and_then(|name| {
            let found = self.vocabulary.operations.iter().position(|o| o == name);
            if found.is_none() {
                let known = format!("one of {}", self.vocabulary.operations.join(", "));
                let what = format!("the settings have no operation '{name}'");
                self.problem(place, Field::Operation, Self::whole(name, what, known));
            }
            found
        });
        let class = written.class.as_ref().map(|name| {
            let found = self
                .classes
                .iter()
                .position(|c| c == name)
                .unwrap_or_else(|| {
                    self.classes.push(name.clone());
                    self.classes.len() - 1
                });
            found as u16
        });
        let mut worst = 0;
        let mut part = |loader: &mut Self, field, text: &str, kind| -> Option<Node> {
            let (node, cost) = loader.compile(place, field, text, kind)?;
            worst += cost;
            Some(node)
        };
        let when = part(self, Field::When, &written.when, Type::Bool);
        let key = written
            .key
            .as_ref()
            .and_then(|text| part(self, Field::Key, text, Type::Text));
        let rank = written
            .rank
            .as_ref()
            .and_then(|text| part(self, Field::Rank, text, Type::Float));
        let mut facts = Vec::new();
        for (i, (name, text)) in written.facts.iter().enumerate() {
            let node = part(self, Field::Fact(i), text, Type::Text);
            facts.extend(node.map(|node| (name.as_str().into(), node)));
        }
        let mut buckets = Vec::new();
        for (i, (name, text)) in written.buckets.iter().enumerate() {
            let node = part(self, Field::Bucket(i), text, Type::Text);
            match self.buckets.iter().position(|b| b == name) {
                Some(bucket) => buckets.extend(node.map(|node| (bucket as u16, node))),
                None => {
                    let known = format!("one of {}", self.buckets.join(", "));
                    let error =
                        ExpressionError::new(0..0, format!("there is no bucket '{name}'"), known);
                    self.problem(place, Field::Bucket(i), error);
                }
            }
        }
        for (count, most, field) in [
            (written.facts.len(), FACTS_MAX, Field::Fact(FACTS_MAX)),
            (
                written.buckets.len(),
                BUCKETS_MAX,
                Field::Bucket(BUCKETS_MAX),
            ),
        ] {
            if count > most {
                self.problem(
                    place,
                    field,
                    ExpressionError::new(0..0, "too many in one rule", format!("at most {most}")),
                );
            }
        }
        if self.problems.len() > before {
            return None;
        }
        Some(Rule {
            name: written.name.as_str().into(),
            operation,
            class,
            verdict: written.verdict.clone(),
            when: when?,
            worst,
            key,
            rank,
            facts: facts.into(),
            buckets: buckets.into(),
            text: written.when.trim().into(),
        })
    }
}

impl RuleSet {
    /// Checks and compiles rules; gives all that is wrong with them.
    pub fn load(
        written: &[RuleSource],
        vocabulary: &Vocabulary,
        buckets: &[String],
        bounds: Bounds,
    ) -> Result<RuleSet, Vec<RuleError>> {
        let compiler = Compiler::new(vocabulary);
        let mut loader = Loader {
            compiler,
            vocabulary,
            bounds,
            problems: Vec::new(),
            classes: Vec::new(),
            buckets,
        };
        let whole = |what: String, expected: String| {
            vec![RuleError {
                rule: None,
                field: Field::Name,
                error: ExpressionError::new(0..0, what, expected),
            }]
        };
        if written.len() > RULES_MAX {
            return Err(whole(
                format!("{} rules", written.len()),
                format!("at most {RULES_MAX}"),
            ));
        }
        let mut rules = Vec::new();
        let mut bytes = 0;
        for (place, one) in written.iter().enumerate() {
            if let Some(rule) = loader.rule(place, one) {
                bytes += rule.bytes();
                rules.push(rule);
            }
            // What is too large is not built to its end.
            if bytes > bounds.bytes {
                break;
            }
        }
        if !loader.problems.is_empty() {
            return Err(loader.problems);
        }
        let index = Index::new(rules.iter().map(|rule| &rule.when));
        let sets: usize = vocabulary.sets.values().map(|set| set.bytes()).sum();
        bytes += index.bytes() + sets + loader.compiler.shared_bytes();
        if bytes > bounds.bytes {
            let what = format!("the rules take about {} KiB", bytes >> 10);
            let room = format!(
                "at most {} KiB, which follows from the memory limit",
                bounds.bytes >> 10
            );
            return Err(whole(what, room));
        }
        let worst = index.worst(|rule| rules[rule as usize].worst);
        let Loader {
            compiler, classes, ..
        } = loader;
        let names = compiler.names;
        Ok(RuleSet {
            rules,
            index,
            names,
            classes,
            buckets: buckets.to_vec(),
            cost: bounds.cost,
            bytes,
            worst,
            shared: Vec::new(),
            common: 0,
        })
    }
}
