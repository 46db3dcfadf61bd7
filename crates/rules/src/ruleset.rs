//! Rule sets: rules in the order of a file, each with a condition and an output for the requests
//! that it matches. A set is loaded once ([`RuleSet::load`]) and evaluated for each request
//! ([`RuleSet::decide`]).

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

/// Largest number of rules in a set.
pub const RULES_MAX: usize = 20_000;
/// Largest number of log facts of a rule.
const FACTS_MAX: usize = 8;
/// Largest number of buckets of a rule.
const BUCKETS_MAX: usize = 4;
/// Number of characters to which a fact for the log is truncated.
const FACT_CHARS_MAX: usize = 128;
/// Initial size of the arena, in bytes. The arena grows up to what the cost limit allows and keeps
/// its size.
const ARENA_BYTES: usize = 8 << 10;

/// The source of a rule, as written in the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleSource {
    /// Name of the rule.
    pub name: String,
    /// Condition: an expression of type bool.
    pub when: String,
    /// Operation assigned to matching requests.
    pub operation: Option<String>,
    /// Key of matching requests: an expression of type string.
    pub key: Option<String>,
    /// Rank of matching requests: an expression of type double, from 0 to 1.
    pub rank: Option<String>,
    /// Name of the class of matching requests.
    pub class: Option<String>,
    /// Facts for the log, each a name and an expression of type string.
    pub facts: Vec<(String, String)>,
    /// Buckets that limit matching requests, each a name and an expression of type string for the
    /// key.
    pub buckets: Vec<(String, String)>,
    /// Immediate answer to matching requests, which then are not admitted.
    pub verdict: Option<Verdict>,
}

/// An immediate answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is rejected without running; the client is asked to retry later.
    Throttle {
        /// Retry-After, in nanoseconds; 0 if the answer has none.
        pause: u64,
        /// Reason, used in metrics and in the answer.
        reason: String,
    },
    /// The request fails.
    Error {
        /// Status code of the answer.
        status: u16,
        /// Reason, used in metrics and in the answer.
        reason: String,
    },
}

/// The part of a rule that an error refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// The name. Also used for errors that refer to the rule as a whole.
    Name,
    /// The condition, from [`RuleSource::when`].
    When,
    /// The operation, from [`RuleSource::operation`].
    Operation,
    /// The key, from [`RuleSource::key`].
    Key,
    /// The rank, from [`RuleSource::rank`].
    Rank,
    /// The class, from [`RuleSource::class`].
    Class,
    /// A fact for the log, by its index.
    Fact(usize),
    /// A bucket, by its index.
    Bucket(usize),
}

/// An error in a rule or in the whole set.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid rule or rule set: {error}")]
pub struct RuleError {
    /// Index of the faulty rule in the set; `None` if the error refers to the whole set.
    pub rule: Option<usize>,
    /// Part of the rule that the error refers to.
    pub field: Field,
    /// Error, with its position in the text of the field.
    pub error: ExpressionError,
}

/// Bounds on a rule set.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Limit on the worst-case cost of one expression, in units.
    pub cost: u64,
    /// Limit on the memory of all rules together, in bytes.
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
    /// Name of the rule.
    pub name: Box<str>,
    /// Operation assigned to matching requests, by its index in the vocabulary.
    pub operation: Option<usize>,
    /// Class of matching requests, by its index in [`RuleSet::classes`].
    pub class: Option<u16>,
    /// Immediate answer to matching requests.
    pub verdict: Option<Verdict>,
    when: Node,
    max_cost: u64,
    key: Option<Node>,
    rank: Option<Node>,
    facts: Box<[(Box<str>, Node)]>,
    buckets: Box<[(u16, Node)]>,
    /// Source text of the condition.
    text: Box<str>,
}

impl Rule {
    /// Returns the worst-case cost, in units, of evaluating the condition and the output.
    pub fn max_cost(&self) -> u64 {
        self.max_cost
    }

    /// Returns the source text of the condition.
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

/// The output of a rule for a request that it matches.
#[derive(Debug)]
pub struct RuleOutput<'r> {
    /// Index of the rule in the set.
    pub place: usize,
    /// The rule that matched.
    pub rule: &'r Rule,
    /// Hash of the key that the rule gives the request; equal keys have equal hashes. `None` if the
    /// rule gives no key.
    pub key: Option<u64>,
    /// Rank that the rule gives the request, from 0 to 1; `None` if the rule gives none.
    pub rank: Option<f64>,
    /// Buckets, by their indices in [`RuleSet::buckets`], each with the hash of its key.
    pub buckets: SmallVec<[(u16, u64); BUCKETS_MAX]>,
    /// Facts for the log, by name.
    pub facts: Vec<(&'r str, String)>,
    /// Text of the key, if [`Scratch::shows_keys`] is set.
    pub key_text: Option<String>,
    /// Texts of the buckets' keys, if [`Scratch::shows_keys`] is set.
    pub bucket_texts: Vec<String>,
}

/// The outcome of evaluating a rule set for a request.
#[derive(Debug, Default)]
pub struct Decision<'r> {
    /// Output of the first rule that matches.
    pub output: Option<RuleOutput<'r>>,
    /// Rules whose evaluation failed before a match, by index, with the errors.
    pub errors: SmallVec<[(usize, EvaluationError); 4]>,
    /// True if evaluation stopped because the request's cost limit was reached; the remaining rules
    /// were not evaluated.
    pub exhausted: bool,
    /// Units of cost charged for all evaluations of the request.
    pub cost: u64,
    /// Number of conditions evaluated.
    pub evaluated_count: usize,
}

/// Memory that evaluations reuse, and the secret for hashing keys.
#[derive(Debug)]
pub struct Scratch {
    arena: Bump,
    secret: u64,
    /// True if outputs also contain the texts of keys, for test cases and explanations.
    pub shows_keys: bool,
}

impl Scratch {
    /// Creates memory for evaluations. The secret goes into the hashes of keys, so that a client
    /// cannot construct two keys with the same hash.
    pub fn new(secret: u64) -> Scratch {
        Scratch {
            arena: Bump::with_capacity(ARENA_BYTES),
            secret,
            shows_keys: false,
        }
    }

    /// Returns the memory that is kept between evaluations, in bytes.
    pub fn bytes(&self) -> usize {
        self.arena.allocated_bytes()
    }
}

/// The way in which candidate rules are found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleLookup {
    /// Evaluates only the rules that the index returns.
    Index,
    /// Evaluates all rules in order.
    Scan,
}

/// A compiled rule set.
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
    /// For each bucket, whether its keys are hashed with `common_secret`.
    uses_common_secret: Vec<bool>,
    /// Secret that all nodes have in common.
    common_secret: u64,
}

/// Hashes a key with SipHash-2-4. The result is the same in all versions and on all nodes that have
/// the secret in common.
pub fn common_number(secret: u64, text: &str) -> u64 {
    let mut hasher = siphasher::sip::SipHasher24::new_with_keys(secret, 0x6b65_7973);
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// Hashes a key for use within this process. `bucket` separates the hashes of different uses: it is
/// 0 for the key of a rule, and 1 plus the index of the bucket for the key of a bucket.
fn key_hash(secret: u64, bucket: u64, text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write_u64(secret);
    hasher.write_u64(bucket);
    hasher.write(text.as_bytes());
    hasher.finish()
}

impl RuleSet {
    /// Makes the keys of the given buckets hash to the same numbers on all nodes that have the
    /// secret `common`. The buckets are given by their indices.
    pub fn use_common_secret(&mut self, buckets: impl Iterator<Item = usize>, common: u64) {
        self.uses_common_secret = vec![false; self.buckets.len()];
        self.common_secret = common;
        for bucket in buckets {
            if let Some(shared) = self.uses_common_secret.get_mut(bucket) {
                *shared = true;
            }
        }
    }

    /// Returns the rules, in the order of the file.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Returns the names of the classes that rules assign.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Returns the names of the buckets, in the order passed to [`RuleSet::load`].
    pub fn buckets(&self) -> &[String] {
        &self.buckets
    }

    /// Returns the approximate memory of the rule set, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the sum of the worst-case costs, in units, of the rules that may be evaluated for
    /// one request.
    pub fn max_cost(&self) -> u64 {
        self.max_cost
    }

    /// Returns the limit on the cost of all evaluations for one request, in units. Evaluation stops
    /// when the limit is reached.
    pub fn request_limit(&self) -> u64 {
        self.cost * cost::REQUEST_FACTOR
    }

    /// Selects the parameters of a request that rules may use.
    pub fn pick<'a>(&self, pairs: impl Iterator<Item = (&'a [u8], &'a [u8])>) -> Params<'a> {
        self.names.pick(pairs)
    }

    /// Evaluates the rules in order and returns the output of the first one that matches.
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
        let mut evaluate = |place: usize| -> bool {
            decision.evaluated_count += 1;
            let rule = &self.rules[place];
            let result = match eval.holds(&rule.when, self.cost) {
                Ok(false) => return false,
                Ok(true) => self.output(place, &mut eval, scratch.secret, scratch.shows_keys),
                Err(error) => Err(error),
            };
            match result {
                Ok(given) => decision.output = Some(given),
                Err(error) => {
                    decision.errors.push((place, error));
                    decision.exhausted |= error == EvaluationError::Cost && eval.left() == 0;
                }
            }
            decision.output.is_some() || decision.exhausted
        };
        match path {
            RuleLookup::Index => {
                self.index
                    .candidates(facts)
                    .any(|place| evaluate(place as usize));
            }
            RuleLookup::Scan => {
                (0..self.rules.len()).any(evaluate);
            }
        }
        decision.cost = limit - eval.left();
        decision
    }

    /// Evaluates the output of a rule whose condition holds.
    fn output<'r: 's, 's>(
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
            let shown: String = text(node)?.chars().take(FACT_CHARS_MAX).collect();
            facts.push((&**name, shown));
        }
        let (mut buckets, mut bucket_texts) = (SmallVec::new(), Vec::new());
        for (bucket, node) in &rule.buckets {
            let text = text(node)?;
            let key = match self.uses_common_secret.get(usize::from(*bucket)) {
                Some(true) => common_number(self.common_secret, text),
                _ => key_hash(secret, 1 + u64::from(*bucket), text),
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
            key: key.map(|text| key_hash(secret, 0, text)),
            rank,
            buckets,
            facts,
            key_text: key.filter(|_| shows).map(str::to_owned),
            bucket_texts,
        })
    }
}
