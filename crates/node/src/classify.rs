//! What rules give to a request before the decisions see it, and what came of them. The rules are compiled
//! elsewhere and swapped in one step; what is in hand keeps what it was given.

use madderpoint::{Nanos, OpId};
use madderpoint_limits::{Bucket, Limits, Over, Ticket, Why};
use madderpoint_rules::{Facts, Path, RuleSet, Scratch, Verdict};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

/// Rules of which one line of the log tells that they erred, or of which classes and buckets are told.
const TOLD: usize = 8;
/// Between two lines that tell of the same rule's errors.
const TELL_AGAIN: Nanos = 10_000_000_000;

/// Rules and buckets as they were read and checked.
#[derive(Debug, Default)]
pub struct Sheet {
    /// The rules.
    pub rules: RuleSet,
    /// Their buckets.
    pub buckets: Vec<Bucket>,
}

/// What a rule gave to a request.
#[derive(Clone, Debug, Default)]
pub struct Ruled {
    /// The operation.
    pub operation: Option<OpId>,
    /// The key as a number.
    pub key: Option<u64>,
    /// The class.
    pub class: Option<Rc<str>>,
    /// An answer at once.
    pub verdict: Option<Verdict>,
    /// Buckets, each with its key.
    pub buckets: Vec<(u16, u64)>,
    /// A line for the log.
    pub told: Option<String>,
}

/// What came of the invocations of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassTally {
    /// Read.
    pub arrived: u64,
    /// Answered, by how: succeeded, throttled, errored.
    pub answered: [u64; 3],
}

#[derive(Default)]
struct RuleTally {
    faults: u64,
    told: Option<Nanos>,
}

/// The rules in force, their buckets and tallies.
pub struct Classifier {
    set: RuleSet,
    classes: Vec<Rc<str>>,
    scratch: Scratch,
    limits: Limits,
    rules: Vec<RuleTally>,
    by_class: BTreeMap<Rc<str>, ClassTally>,
    /// Lines for the log that came up while a request was looked at.
    lines: Vec<String>,
    matched: u64,
    exhausted: u64,
    told: u64,
}

impl Classifier {
    /// Rules to be in force from now on; the limits take about so many bytes.
    pub fn new(now: Nanos, sheet: Sheet, limit_bytes: usize, seed: u64) -> Classifier {
        let mut classifier = Classifier {
            set: sheet.rules,
            classes: Vec::new(),
            scratch: Scratch::new(seed),
            limits: Limits::new(limit_bytes, seed),
            rules: Vec::new(),
            by_class: BTreeMap::new(),
            lines: Vec::new(),
            matched: 0,
            exhausted: 0,
            told: 0,
        };
        classifier.named(now, &sheet.buckets);
        classifier
    }

    /// Takes other rules in place of those in force. Buckets whose definition stayed keep what they count.
    pub fn replace(&mut self, now: Nanos, sheet: Sheet) {
        self.set = sheet.rules;
        self.named(now, &sheet.buckets);
    }

    fn named(&mut self, now: Nanos, buckets: &[Bucket]) {
        self.limits.define(now, buckets);
        self.classes = self.set.classes().iter().map(|name| Rc::from(name.as_str())).collect();
        let classes = &self.classes;
        self.by_class.retain(|class, _| classes.contains(class)); // names come and go with reloads without end
        self.rules.clear();
        self.rules.resize_with(self.set.rules().len(), RuleTally::default);
    }

    /// The rules in force.
    pub fn rules(&self) -> &RuleSet {
        &self.set
    }

    /// What the first rule that matches gives.
    pub fn rule(&mut self, now: Nanos, facts: &Facts<'_>) -> Option<Ruled> {
        let decision = self.set.decide(facts, &mut self.scratch, Path::Index);
        self.exhausted += u64::from(decision.exhausted);
        for (place, fault) in decision.faults {
            let tally = &mut self.rules[place];
            tally.faults += 1;
            if tally.told.is_none_or(|told| now >= told + TELL_AGAIN) && self.lines.len() < TOLD {
                tally.told = Some(now);
                let name = &self.set.rules()[place].name;
                self.lines.push(format!(
                    "rules: '{name}' erred and so did not match: {fault} ({} times)",
                    tally.faults
                ));
            }
        }
        let given = decision.given?;
        self.matched += 1;
        let mut told = None;
        if !given.facts.is_empty() {
            let mut line = format!("rules: '{}'", given.rule.name);
            for (name, value) in &given.facts {
                let _ = write!(line, " {name}={value:?}");
            }
            if let Some(rank) = given.rank {
                let _ = write!(line, " rank={rank}");
            }
            told = Some(line);
        }
        Some(Ruled {
            operation: given.rule.operation.map(OpId),
            key: given.key,
            class: given.rule.class.map(|class| Rc::clone(&self.classes[usize::from(class)])),
            verdict: given.rule.verdict.clone(),
            buckets: given.buckets.to_vec(),
            told,
        })
    }

    /// Puts a request into its buckets, if all have room.
    pub fn ask(&mut self, now: Nanos, buckets: &[(u16, u64)]) -> Result<Ticket, Over> {
        self.limits.ask(now, buckets)
    }

    /// What held places in buckets is over.
    pub fn done(&mut self, now: Nanos, ticket: Ticket) {
        self.limits.done(now, ticket);
    }

    /// An invocation of a class was read.
    pub fn arrived(&mut self, class: &Rc<str>) {
        self.by_class.entry(Rc::clone(class)).or_default().arrived += 1;
    }

    /// One was answered so.
    pub fn answered(&mut self, class: &Rc<str>, status: u16) {
        let how = match status {
            200 => 0,
            429 | 503 => 1,
            _ => 2,
        };
        self.by_class.entry(Rc::clone(class)).or_default().answered[how] += 1;
    }

    /// Lines for the log that came up.
    pub fn lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.lines)
    }

    /// What the rules did since the start, if that is more than when it was told last.
    pub fn tallies(&mut self) -> Option<String> {
        let faults: u64 = self.rules.iter().map(|rule| rule.faults).sum();
        let over: u64 = self.limits.tallies().map(|(_, t)| t.over.iter().sum::<u64>()).sum();
        let total = self.matched + self.exhausted + faults + over;
        if std::mem::replace(&mut self.told, total) == total {
            return None;
        }
        let mut line = format!("rules: matched {}", self.matched);
        if faults > 0 {
            let _ = write!(line, ", erred {faults}");
        }
        if self.exhausted > 0 {
            let _ = write!(line, ", stopped at the cost limit of a request {}", self.exhausted);
        }
        for (class, tally) in self.by_class.iter().take(TOLD) {
            let [succeeded, throttled, errored] = tally.answered;
            let arrived = tally.arrived;
            let _ = write!(
                line,
                "; class {class}: {arrived} read, {succeeded} succeeded, {throttled} throttled, {errored} errored"
            );
        }
        for (name, tally) in self.limits.tallies().take(TOLD) {
            let _ = write!(line, "; bucket {name}: {} passed", tally.passed);
            let why =
                [(Why::Rate, "rate"), (Why::InHand, "in hand"), (Why::Share, "share"), (Why::Room, "room")];
            for (why, word) in why.iter().filter(|(why, _)| tally.over[*why as usize] > 0) {
                let _ = write!(line, ", over {word} {}", tally.over[*why as usize]);
            }
        }
        Some(line)
    }

    #[cfg(test)]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    #[cfg(test)]
    pub fn class(&self, name: &str) -> ClassTally {
        self.by_class.get(name).copied().unwrap_or_default()
    }
}
