//! Rule sets: conditions in the order of a file, and what each gives to requests that it matches.
//! A set is loaded once ([`RuleSet::load`]) and evaluated for each request ([`RuleSet::decide`]).

mod explain;
mod load;

pub use explain::RuleExplanation;

use crate::compile::Node;
use crate::cost;
use crate::error::ExpressionError;
use crate::eval::Evaluator;
use crate::facts::{Facts, ParamNames, Params};
use crate::index::Index;
use crate::value::{EvaluationError, Value};
use bumpalo::Bump;
use smallvec::SmallVec;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;

/// The most rules of a set.
pub const RULES_MAX: usize = 20_000;
/// The most facts that a rule may give.
const FACTS_MAX: usize = 8;
/// The most buckets that a rule may give.
const BUCKETS_MAX: usize = 4;
/// The most characters of a fact that go to the log.
const FACT_SHOWN_MAX: usize = 128;
/// The bytes of the arena at the start; it grows to what the cost allows and keeps that.
const ARENA_BYTES: usize = 8 << 10;

/// A rule as it was written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleSource {
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
    /// It never ran; the client is asked to stay away for a time.
    Throttle {
        /// Retry-After, in nanoseconds; 0 if none is given.
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
pub enum Field {
    /// The name; it also stands for the rule as a whole.
    Name,
    /// The condition.
    When,
    /// The operation.
    Operation,
    /// The key.
    Key,
    /// The rank.
    Rank,
    /// The class.
    Class,
    /// A fact, by its index.
    Fact(usize),
    /// A bucket, by its index.
    Bucket(usize),
}

/// An error in a rule, or in all of them together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{error}")]
pub struct RuleError {
    /// The rule's index; `None` if it is the whole set.
    pub rule: Option<usize>,
    /// Where in it.
    pub field: Field,
    /// What is wrong, and where in that field's text.
    pub error: ExpressionError,
}

/// Bounds on a rule set.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The most units of cost for one expression.
    pub cost: u64,
    /// The most bytes that all rules may take.
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
    max_cost: u64,
    key: Option<Node>,
    rank: Option<Node>,
    facts: Box<[(Box<str>, Node)]>,
    buckets: Box<[(u16, Node)]>,
    text: Box<str>,
}

impl Rule {
    /// The most units that matching it and giving what it gives may take.
    pub fn max_cost(&self) -> u64 {
        self.max_cost
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

/// What a rule gives to a request.
#[derive(Debug)]
pub struct RuleOutput<'r> {
    /// The rule's index in the file.
    pub place: usize,
    /// The rule.
    pub rule: &'r Rule,
    /// The key as a number, which equal keys share.
    pub key: Option<u64>,
    /// The rank.
    pub rank: Option<f64>,
    /// Indices among [`RuleSet::buckets`], each with its key as a number.
    pub buckets: SmallVec<[(u16, u64); BUCKETS_MAX]>,
    /// Facts for the log.
    pub facts: Vec<(&'r str, String)>,
    /// The key as text, if [`Scratch::shows_keys`] is set.
    pub key_text: Option<String>,
    /// The buckets' keys as text, if [`Scratch::shows_keys`] is set.
    pub bucket_texts: Vec<String>,
}

/// The outcome of evaluating a rule set for a request.
#[derive(Debug, Default)]
pub struct Decision<'r> {
    /// What the first rule that matches gives.
    pub output: Option<RuleOutput<'r>>,
    /// Indices of the rules that erred before that, with the errors.
    pub errors: SmallVec<[(usize, EvaluationError); 4]>,
    /// Whether evaluation stopped because the request's cost limit was reached.
    pub exhausted: bool,
    /// Units of cost used.
    pub cost: u64,
    /// Conditions evaluated.
    pub evaluated_count: usize,
}

/// Memory that evaluations reuse, and the secret of key numbers.
#[derive(Debug)]
pub struct Scratch {
    arena: Bump,
    secret: u64,
    /// Whether keys are also given as text.
    pub shows_keys: bool,
}

impl Scratch {
    /// Memory for evaluations. The secret goes into the numbers of keys, so that nobody outside can
    /// construct two keys with the same number.
    pub fn new(secret: u64) -> Scratch {
        Scratch {
            arena: Bump::with_capacity(ARENA_BYTES),
            secret,
            shows_keys: false,
        }
    }

    /// The bytes that it keeps.
    pub fn bytes(&self) -> usize {
        self.arena.allocated_bytes()
    }
}

/// How rules are found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleLookup {
    /// By the index.
    Index,
    /// All, one after the other.
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
    max_cost: u64,
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

impl RuleSet {
    /// The keys of these buckets, by their places, are numbered as on all nodes that have this
    /// secret in common.
    pub fn use_common_secret(&mut self, buckets: impl Iterator<Item = usize>, common: u64) {
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

    /// About how many bytes it takes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The most units that the conditions which one request may have evaluated come to by their
    /// worst cases.
    pub fn max_cost(&self) -> u64 {
        self.max_cost
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
        path: RuleLookup,
    ) -> Decision<'r> {
        scratch.arena.reset();
        let mut decision = Decision::default();
        let limit = self.request_limit();
        let mut eval = Evaluator::new(facts, &scratch.arena, limit);
        let mut ask = |place: usize| -> bool {
            decision.evaluated_count += 1;
            let rule = &self.rules[place];
            let result = match eval.holds(&rule.when, self.cost) {
                Ok(false) => return false,
                Ok(true) => self.give(place, &mut eval, scratch.secret, scratch.shows_keys),
                Err(fault) => Err(fault),
            };
            match result {
                Ok(given) => decision.output = Some(given),
                Err(fault) => {
                    decision.errors.push((place, fault));
                    decision.exhausted |= fault == EvaluationError::Cost && eval.left() == 0;
                }
            }
            decision.output.is_some() || decision.exhausted
        };
        match path {
            RuleLookup::Index => {
                self.index
                    .candidates(facts)
                    .any(|place| ask(place as usize));
            }
            RuleLookup::Scan => {
                (0..self.rules.len()).any(ask);
            }
        }
        decision.cost = limit - eval.left();
        decision
    }

    fn give<'r: 's, 's>(
        &'r self,
        place: usize,
        eval: &mut Evaluator<'s, '_>,
        secret: u64,
        shows: bool,
    ) -> Result<RuleOutput<'r>, EvaluationError> {
        let rule = &self.rules[place];
        let mut text = |node: &'s Node| match eval.within(node, self.cost)? {
            Value::Text(text) => Ok(text),
            _ => Err(EvaluationError::NoValue),
        };
        let key = rule.key.as_ref().map(&mut text).transpose()?;
        let mut facts = Vec::new();
        for (name, node) in &rule.facts {
            let shown: String = text(node)?.chars().take(FACT_SHOWN_MAX).collect();
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
                _ => return Err(EvaluationError::Range),
            },
            None => None,
        };
        Ok(RuleOutput {
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
}
