//! Checks and compiles the rules of a set when it is loaded.

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
    errors: Vec<RuleError>,
    classes: Vec<String>,
    buckets: &'v [String],
}

impl Loader<'_> {
    fn report(&mut self, rule: usize, field: Field, error: ExpressionError) {
        self.errors.push(RuleError {
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
            Ok(typed) => Some((typed.node, typed.max_cost)),
            Err(errors) => {
                errors
                    .into_iter()
                    .for_each(|error| self.report(rule, field, error));
                None
            }
        }
    }

    fn error_in(
        text: &str,
        what: impl Into<String>,
        expected: impl Into<String>,
    ) -> ExpressionError {
        ExpressionError::new(0..text.len(), what, expected)
    }

    /// Returns the index of the operation that a rule assigns, and reports an unknown operation.
    fn operation(&mut self, place: usize, source: &RuleSource) -> Option<usize> {
        let name = source.operation.as_ref()?;
        let found = self.vocabulary.operations.iter().position(|o| o == name);
        if found.is_none() {
            let known = format!("one of {}", self.vocabulary.operations.join(", "));
            let what = format!("the settings have no operation '{name}'");
            self.report(place, Field::Operation, Self::error_in(name, what, known));
        }
        found
    }

    /// Returns the index of a class. A new class is added.
    fn class(&mut self, name: &str) -> u16 {
        let found = self.classes.iter().position(|class| class == name);
        let index = found.unwrap_or_else(|| {
            self.classes.push(name.to_owned());
            self.classes.len() - 1
        });
        index as u16
    }

    /// Compiles a part of a rule and adds its worst-case cost to that of the rule.
    fn part(
        &mut self,
        place: usize,
        field: Field,
        text: &str,
        kind: Type,
        max_cost: &mut u64,
    ) -> Option<Node> {
        let (node, cost) = self.compile(place, field, text, kind)?;
        *max_cost += cost;
        Some(node)
    }

    /// Compiles the buckets of a rule: their indices, with the expressions of their keys.
    fn buckets(
        &mut self,
        place: usize,
        source: &RuleSource,
        max_cost: &mut u64,
    ) -> Vec<(u16, Node)> {
        let mut buckets = Vec::new();
        for (i, (name, text)) in source.buckets.iter().enumerate() {
            let node = self.part(place, Field::Bucket(i), text, Type::Text, max_cost);
            match self.buckets.iter().position(|bucket| bucket == name) {
                Some(bucket) => buckets.extend(node.map(|node| (bucket as u16, node))),
                None => {
                    let known = format!("one of {}", self.buckets.join(", "));
                    let what = format!("there is no bucket '{name}'");
                    let error = ExpressionError::new(0..0, what, known);
                    self.report(place, Field::Bucket(i), error);
                }
            }
        }
        buckets
    }

    /// Reports a rule that has too many facts or buckets.
    fn check_counts(&mut self, place: usize, source: &RuleSource) {
        let facts = (source.facts.len(), FACTS_MAX, Field::Fact(FACTS_MAX));
        let buckets = (
            source.buckets.len(),
            BUCKETS_MAX,
            Field::Bucket(BUCKETS_MAX),
        );
        for (count, most, field) in [facts, buckets] {
            if count > most {
                let expected = format!("at most {most}");
                let error = ExpressionError::new(0..0, "too many in one rule", expected);
                self.report(place, field, error);
            }
        }
    }

    fn rule(&mut self, place: usize, source: &RuleSource) -> Option<Rule> {
        let before = self.errors.len();
        let operation = self.operation(place, source);
        let class = source.class.as_ref().map(|name| self.class(name));
        let mut max_cost = 0;
        let when = self.part(place, Field::When, &source.when, Type::Bool, &mut max_cost);
        let key = source
            .key
            .as_ref()
            .and_then(|text| self.part(place, Field::Key, text, Type::Text, &mut max_cost));
        let rank = source
            .rank
            .as_ref()
            .and_then(|text| self.part(place, Field::Rank, text, Type::Float, &mut max_cost));
        let mut facts = Vec::new();
        for (i, (name, text)) in source.facts.iter().enumerate() {
            let node = self.part(place, Field::Fact(i), text, Type::Text, &mut max_cost);
            facts.extend(node.map(|node| (name.as_str().into(), node)));
        }
        let buckets = self.buckets(place, source, &mut max_cost);
        self.check_counts(place, source);
        if self.errors.len() > before {
            return None;
        }
        Some(Rule {
            name: source.name.as_str().into(),
            operation,
            class,
            verdict: source.verdict.clone(),
            when: when?,
            max_cost,
            key,
            rank,
            facts: facts.into(),
            buckets: buckets.into(),
            text: source.when.trim().into(),
        })
    }

    /// Compiles all rules and returns them with their memory in bytes. Stops early once the memory
    /// exceeds the bound.
    fn rules(&mut self, sources: &[RuleSource]) -> (Vec<Rule>, usize) {
        let (mut rules, mut bytes) = (Vec::new(), 0);
        for (place, source) in sources.iter().enumerate() {
            if let Some(rule) = self.rule(place, source) {
                bytes += rule.bytes();
                rules.push(rule);
            }
            if bytes > self.bounds.bytes {
                break;
            }
        }
        (rules, bytes)
    }
}

/// Returns an error that refers to the whole set.
fn whole_set(what: String, expected: String) -> Vec<RuleError> {
    vec![RuleError {
        rule: None,
        field: Field::Name,
        error: ExpressionError::new(0..0, what, expected),
    }]
}

impl RuleSet {
    /// Checks and compiles rules. `buckets` are the names of all buckets that rules may use.
    ///
    /// # Errors
    ///
    /// Returns all errors in the rules, or the bound that the set exceeds.
    pub fn load(
        sources: &[RuleSource],
        vocabulary: &Vocabulary,
        buckets: &[String],
        bounds: Bounds,
    ) -> Result<RuleSet, Vec<RuleError>> {
        let compiler = Compiler::new(vocabulary);
        let mut loader = Loader {
            compiler,
            vocabulary,
            bounds,
            errors: Vec::new(),
            classes: Vec::new(),
            buckets,
        };
        if sources.len() > RULES_MAX {
            return Err(whole_set(
                format!("{} rules", sources.len()),
                format!("at most {RULES_MAX}"),
            ));
        }
        let (rules, mut bytes) = loader.rules(sources);
        if !loader.errors.is_empty() {
            return Err(loader.errors);
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
            return Err(whole_set(what, room));
        }
        let max_cost = index.max_cost(|rule| rules[rule as usize].max_cost);
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
            max_cost,
            uses_common_secret: Vec::new(),
            common_secret: 0,
        })
    }
}
