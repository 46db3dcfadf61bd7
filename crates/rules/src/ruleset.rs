//! Rules: conditions in the order of a file, and what each gives to what it matches.

use crate::compile::{Compiler, Node, Vocabulary};
use crate::cost;
use crate::error::Error;
use crate::eval::Eval;
use crate::facts::{Facts, ParamNames, Params};
use crate::index::Index;
use crate::syntax;
use crate::value::{Fault, Type, Value};
use bumpalo::Bump;
use smallvec::SmallVec;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;

/// The most rules of a set, and the most that a rule may give of each kind.
pub const RULES_MAX: usize = 20_000;
const FACTS_MAX: usize = 8;
const BUCKETS_MAX: usize = 4;
/// Bytes of a fact that go to the log.
const FACT_SHOWN: usize = 128;
/// Bytes of the arena that evaluations share; it grows to what the cost allows and keeps that.
const ARENA: usize = 8 << 10;

/// A rule as it was written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Written {
    /// Its name.
    pub name: String,
    /// The condition.
    pub when: String,
    /// The operation that it gives.
    pub operation: Option<String>,
    /// The key: an expression to a string.
    pub key: Option<String>,
    /// The rank: an expression to a double.
    pub rank: Option<String>,
    /// The name of the class.
    pub class: Option<String>,
    /// Facts for the log: a name and an expression to a string.
    pub facts: Vec<(String, String)>,
    /// Buckets into which it puts what it matches: a name and an expression to a string.
    pub buckets: Vec<(String, String)>,
    /// Answers at once.
    pub verdict: Option<Verdict>,
}

/// An answer at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It never ran; the caller is asked to stay away for so many nanoseconds.
    Throttle {
        /// The pause; 0 = none is named.
        pause: u64,
        /// Why, for the counts and the answer.
        reason: String,
    },
    /// It failed.
    Error {
        /// The status of the answer.
        status: u16,
        /// Why, for the counts and the answer.
        reason: String,
    },
}

/// Where in a rule something is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Field {
    Name,
    When,
    Operation,
    Key,
    Rank,
    Class,
    Fact(usize),
    Bucket(usize),
}

/// Something wrong with a rule, or with all of them together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The rule, counted from 0; none if it is the whole set.
    pub rule: Option<usize>,
    /// Where in it.
    pub field: Field,
    /// What and where in that field's text.
    pub error: Error,
}

/// What rules may take.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Units for one expression.
    pub cost: u64,
    /// Bytes for all rules.
    pub bytes: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            cost: cost::LIMIT,
            bytes: 16 << 20,
        }
    }
}

/// A compiled rule.
#[derive(Debug)]
pub struct Rule {
    /// Its name.
    pub name: Box<str>,
    /// The operation that it gives, by its place in the vocabulary.
    pub operation: Option<usize>,
    /// The class, by its place among [`RuleSet::classes`].
    pub class: Option<u16>,
    /// Answers at once.
    pub verdict: Option<Verdict>,
    when: Node,
    worst: u64,
    key: Option<Node>,
    rank: Option<Node>,
    facts: Box<[(Box<str>, Node)]>,
    buckets: Box<[(u16, Node)]>,
    text: Box<str>,
}

impl Rule {
    /// The most units that matching it and giving what it gives may take.
    pub fn worst(&self) -> u64 {
        self.worst
    }

    /// Its condition as it was written.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn bytes(&self) -> usize {
        let nodes = [Some(&self.when), self.key.as_ref(), self.rank.as_ref()];
        let given = self
            .facts
            .iter()
            .map(|(n, x)| n.len() + x.bytes() + size_of::<Node>() + 32)
            .sum::<usize>();
        let buckets = self
            .buckets
            .iter()
            .map(|(_, x)| x.bytes() + size_of::<Node>() + 8)
            .sum::<usize>();
        let reason = match &self.verdict {
            Some(Verdict::Throttle { reason, .. } | Verdict::Error { reason, .. }) => {
                reason.len() + 16
            }
            None => 0,
        };
        let nodes: usize = nodes.into_iter().flatten().map(Node::bytes).sum();
        size_of::<Rule>()
            + self.name.len()
            + self.text.len()
            + 32
            + nodes
            + given
            + buckets
            + reason
    }
}

/// What a rule gives to an invocation.
#[derive(Debug)]
pub struct Given<'r> {
    /// The rule, by its place in the file.
    pub place: usize,
    /// The rule.
    pub rule: &'r Rule,
    /// The key, as a number that only like keys share.
    pub key: Option<u64>,
    /// The rank.
    pub rank: Option<f64>,
    /// Buckets by their place among [`RuleSet::buckets`], each with its key as a number.
    pub buckets: SmallVec<[(u16, u64); BUCKETS_MAX]>,
    /// Facts for the log.
    pub facts: Vec<(&'r str, String)>,
    /// The key as it reads, where that was asked for.
    pub key_text: Option<String>,
    /// The buckets' keys as they read, where that was asked for.
    pub bucket_texts: Vec<String>,
}

/// What became of a request.
#[derive(Debug, Default)]
pub struct Decision<'r> {
    /// What the first rule that matches gives.
    pub given: Option<Given<'r>>,
    /// Rules that erred before that, and why.
    pub faults: SmallVec<[(usize, Fault); 4]>,
    /// Whether rules were left unasked because all that a request may use was used up.
    pub exhausted: bool,
    /// Units used.
    pub cost: u64,
    /// Conditions evaluated.
    pub asked: usize,
}

/// What evaluations use again.
#[derive(Debug)]
pub struct Scratch {
    arena: Bump,
    secret: u64,
    /// Whether keys are also given as they read.
    pub shows_keys: bool,
}

impl Scratch {
    /// Room for evaluations. The secret goes into the numbers that stand for keys, so that nobody
    /// outside can make two keys that share one.
    pub fn new(secret: u64) -> Scratch {
        Scratch {
            arena: Bump::with_capacity(ARENA),
            secret,
            shows_keys: false,
        }
    }

    /// Bytes that are kept.
    pub fn bytes(&self) -> usize {
        self.arena.allocated_bytes()
    }
}

/// How rules are looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// By the index.
    Index,
    /// One after the other.
    Scan,
}

/// Rules that were checked and compiled.
#[derive(Debug, Default)]
pub struct RuleSet {
    rules: Vec<Rule>,
    index: Index,
    names: ParamNames,
    classes: Vec<String>,
    buckets: Vec<String>,
    cost: u64,
    bytes: usize,
    worst: u64,
    /// Buckets whose keys all nodes number alike, and the secret that they have in common.
    shared: Vec<bool>,
    common: u64,
}

/// A number for a key that is the same on all nodes and in all versions that have a secret in
/// common: SipHash-2-4.
pub fn common_number(secret: u64, text: &str) -> u64 {
    let mut hasher = siphasher::sip::SipHasher24::new_with_keys(secret, 0x6b65_7973);
    hasher.write(text.as_bytes());
    hasher.finish()
}

fn number(secret: u64, what: u64, text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write_u64(secret);
    hasher.write_u64(what);
    hasher.write(text.as_bytes());
    hasher.finish()
}

struct Loader<'v> {
    compiler: Compiler<'v>,
    vocabulary: &'v Vocabulary,
    bounds: Bounds,
    problems: Vec<Problem>,
    classes: Vec<String>,
    buckets: &'v [String],
}

impl Loader<'_> {
    fn problem(&mut self, rule: usize, field: Field, error: Error) {
        self.problems.push(Problem {
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

    fn whole(text: &str, what: impl Into<String>, expected: impl Into<String>) -> Error {
        Error::new(0..text.len(), what, expected)
    }

    fn rule(&mut self, place: usize, written: &Written) -> Option<Rule> {
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
                    let error = Error::new(0..0, format!("there is no bucket '{name}'"), known);
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
                    Error::new(0..0, "too many in one rule", format!("at most {most}")),
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
        written: &[Written],
        vocabulary: &Vocabulary,
        buckets: &[String],
        bounds: Bounds,
    ) -> Result<RuleSet, Vec<Problem>> {
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
            vec![Problem {
                rule: None,
                field: Field::Name,
                error: Error::new(0..0, what, expected),
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

    /// The keys of these buckets, by their places, are numbered as on all nodes that have this
    /// secret in common.
    pub fn share(&mut self, buckets: impl Iterator<Item = usize>, common: u64) {
        self.shared = vec![false; self.buckets.len()];
        self.common = common;
        for bucket in buckets {
            if let Some(shared) = self.shared.get_mut(bucket) {
                *shared = true;
            }
        }
    }

    /// The rules, in the order of the file.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Names of the classes that rules give.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Names of the buckets, in the order that they were handed in.
    pub fn buckets(&self) -> &[String] {
        &self.buckets
    }

    /// Bytes that it takes, about.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The most units that the conditions which one request may have evaluated come to by their
    /// worst cases.
    pub fn worst(&self) -> u64 {
        self.worst
    }

    /// The most units that the conditions evaluated for one request may use; the meter stops them
    /// there.
    pub fn request_limit(&self) -> u64 {
        self.cost * cost::REQUEST_FACTOR
    }

    /// Picks the parameters that rules may ask for.
    pub fn pick<'a>(&self, pairs: impl Iterator<Item = (&'a [u8], &'a [u8])>) -> Params<'a> {
        self.names.pick(pairs)
    }

    /// The first rule that matches, and what it gives.
    pub fn decide<'r>(
        &'r self,
        facts: &Facts<'_>,
        scratch: &mut Scratch,
        path: Path,
    ) -> Decision<'r> {
        scratch.arena.reset();
        let mut decision = Decision::default();
        let limit = self.request_limit();
        let mut eval = Eval::new(facts, &scratch.arena, limit);
        let mut ask = |place: usize| -> bool {
            decision.asked += 1;
            let rule = &self.rules[place];
            let result = match eval.holds(&rule.when, self.cost) {
                Ok(false) => return false,
                Ok(true) => self.give(place, &mut eval, scratch.secret, scratch.shows_keys),
                Err(fault) => Err(fault),
            };
            match result {
                Ok(given) => decision.given = Some(given),
                Err(fault) => {
                    decision.faults.push((place, fault));
                    decision.exhausted |= fault == Fault::Cost && eval.left() == 0;
                }
            }
            decision.given.is_some() || decision.exhausted
        };
        match path {
            Path::Index => {
                self.index
                    .candidates(facts)
                    .any(|place| ask(place as usize));
            }
            Path::Scan => {
                (0..self.rules.len()).any(ask);
            }
        }
        decision.cost = limit - eval.left();
        decision
    }

    fn give<'r: 's, 's>(
        &'r self,
        place: usize,
        eval: &mut Eval<'s, '_>,
        secret: u64,
        shows: bool,
    ) -> Result<Given<'r>, Fault> {
        let rule = &self.rules[place];
        let mut text = |node: &'s Node| match eval.within(node, self.cost)? {
            Value::Text(text) => Ok(text),
            _ => Err(Fault::NoValue),
        };
        let key = rule.key.as_ref().map(&mut text).transpose()?;
        let mut facts = Vec::new();
        for (name, node) in &rule.facts {
            let shown: String = text(node)?.chars().take(FACT_SHOWN).collect();
            facts.push((&**name, shown));
        }
        let (mut buckets, mut bucket_texts) = (SmallVec::new(), Vec::new());
        for (bucket, node) in &rule.buckets {
            let text = text(node)?;
            let key = match self.shared.get(usize::from(*bucket)) {
                Some(true) => common_number(self.common, text),
                _ => number(secret, 1 + u64::from(*bucket), text),
            };
            buckets.push((*bucket, key));
            if shows {
                bucket_texts.push(text.to_owned());
            }
        }
        let rank = match &rule.rank {
            Some(node) => match eval.within(node, self.cost)? {
                Value::Float(rank) if (0.0..=1.0).contains(&rank) => Some(rank),
                _ => return Err(Fault::Range),
            },
            None => None,
        };
        Ok(Given {
            place,
            rule,
            key: key.map(|text| number(secret, 0, text)),
            rank,
            buckets,
            facts,
            key_text: key.filter(|_| shows).map(str::to_owned),
            bucket_texts,
        })
    }

    /// Why each rule up to the one that matches does so or not, in the order of the file.
    pub fn explain(&self, facts: &Facts<'_>, scratch: &mut Scratch) -> Vec<Why> {
        let candidates: Vec<u32> = self.index.candidates(facts).collect();
        let mut why = Vec::new();
        for (place, rule) in self.rules.iter().enumerate() {
            scratch.arena.reset();
            let mut eval = Eval::new(facts, &scratch.arena, self.cost);
            let filed = self.index.kind(place);
            let evaluated = candidates.binary_search(&(place as u32)).is_ok();
            let result = eval.holds(&rule.when, self.cost);
            let cost = self.cost - eval.left();
            let failed = match result {
                Ok(true) => None,
                _ => Some(Self::first_failed(rule, facts, scratch, self.cost)),
            };
            why.push(Why {
                place,
                evaluated,
                filed,
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
            Ok(syntax::Kind::And(all)) => all.iter().map(ToString::to_string).collect(),
            _ => vec![rule.text.to_string()],
        };
        for (part, text) in parts.iter().zip(texts) {
            scratch.arena.reset();
            match Eval::new(facts, &scratch.arena, limit).holds(part, limit) {
                Ok(true) => {}
                Ok(false) => return (text, "is false".into()),
                Err(fault) => return (text, format!("errs: {fault}")),
            }
        }
        (rule.text.to_string(), "does not hold".into())
    }
}

/// Why a rule matches or not.
#[derive(Clone, Debug)]
pub struct Why {
    /// The rule, by its place.
    pub place: usize,
    /// Whether the index has it evaluated for this request.
    pub evaluated: bool,
    /// What the index files it under.
    pub filed: &'static str,
    /// What its condition comes to.
    pub result: Result<bool, Fault>,
    /// Units that took.
    pub cost: u64,
    /// The first part that does not hold, and what became of it.
    pub failed: Option<(String, String)>,
}
