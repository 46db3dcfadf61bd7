//! What rules give to a request before the decisions see it, and what came of them. The rules are
//! compiled elsewhere and swapped in one step; what is in hand keeps what it was given.

use madderpoint::{Nanos, OperationId};
use madderpoint_rate_limits::{Bucket, ExceededLimit, LimitExceeded, Permit, RateLimiter};
use madderpoint_rules::{Facts, Path, RuleSet, Scratch, Verdict};
use madderpoint_shared_state::keyed_quota::borrower::{QuotaBorrower, QuotaExceeded};
use madderpoint_shared_state::keyed_quota::{KeyedQuota, QuotaGrant, QuotaRequest, QuotaTiming};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

/// Rules of which one line of the log tells that they erred, or of which classes and buckets are
/// told.
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
    /// Those that are limits of the whole fleet, with their places.
    pub fleet: Vec<(usize, KeyedQuota)>,
}

/// What an invocation holds in buckets until it is over.
#[derive(Debug, Default)]
pub struct Held {
    ticket: Permit,
    /// Of limits of the whole fleet: budget and key.
    keys: Vec<(u32, u64)>,
}

impl Held {
    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.ticket.is_empty() && self.keys.is_empty()
    }
}

/// ExceededLimit buckets refuse a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// A limit of this node.
    Node(LimitExceeded),
    /// One of the whole fleet, with the key.
    Fleet(QuotaExceeded, u64),
}

/// What a rule gave to a request.
#[derive(Clone, Debug, Default)]
pub struct Ruled {
    /// The operation.
    pub operation: Option<OperationId>,
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
    limits: RateLimiter,
    /// Budgets of the whole fleet by the place of their bucket; and this node's end of them, where
    /// there are any.
    fleet: Vec<Vec<u32>>,
    wallet: Option<QuotaBorrower>,
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
            limits: RateLimiter::new(limit_bytes, seed),
            fleet: Vec::new(),
            wallet: None,
            rules: Vec::new(),
            by_class: BTreeMap::new(),
            lines: Vec::new(),
            matched: 0,
            exhausted: 0,
            told: 0,
        };
        classifier.named(now, &sheet.buckets, &sheet.fleet);
        classifier
    }

    /// Takes other rules in place of those in force. Buckets whose definition stayed keep what they
    /// count.
    pub fn replace(&mut self, now: Nanos, sheet: Sheet) {
        self.set = sheet.rules;
        self.named(now, &sheet.buckets, &sheet.fleet);
    }

    /// RateLimiter of the whole fleet are asked for from now on.
    pub fn join_fleet(
        &mut self,
        now: Nanos,
        keys: &[KeyedQuota],
        rhythm: QuotaTiming,
        bytes: usize,
        seed: u64,
    ) {
        match &mut self.wallet {
            Some(wallet) => wallet.update_quotas(keys),
            None if keys.is_empty() => {}
            None => self.wallet = Some(QuotaBorrower::new(now, keys, rhythm, bytes, seed)),
        }
    }

    fn named(&mut self, now: Nanos, buckets: &[Bucket], fleet: &[(usize, KeyedQuota)]) {
        self.limits.configure(now, buckets);
        self.fleet = vec![Vec::new(); buckets.len()];
        for (place, budget) in fleet {
            if let Some(of) = self.fleet.get_mut(*place) {
                of.push(budget.id());
            }
        }
        self.classes = self
            .set
            .classes()
            .iter()
            .map(|name| Rc::from(name.as_str()))
            .collect();
        let classes = &self.classes;
        self.by_class.retain(|class, _| classes.contains(class)); // names come and go with reloads without end
        self.rules.clear();
        self.rules
            .resize_with(self.set.rules().len(), RuleTally::default);
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
            operation: given.rule.operation.map(OperationId),
            key: given.key,
            class: given
                .rule
                .class
                .map(|class| Rc::clone(&self.classes[usize::from(class)])),
            verdict: given.rule.verdict.clone(),
            buckets: given.buckets.to_vec(),
            told,
        })
    }

    /// Puts a request into its buckets, if all have room.
    pub fn ask(&mut self, now: Nanos, buckets: &[(u16, u64)]) -> Result<Held, Full> {
        let Some(wallet) = &mut self.wallet else {
            let ticket = self.limits.acquire(now, buckets).map_err(Full::Node)?;
            return Ok(Held {
                ticket,
                keys: Vec::new(),
            });
        };
        let mut keys: Vec<(u32, u64)> = Vec::new();
        let mut full: Option<(QuotaExceeded, u64)> = None;
        for (place, key) in buckets {
            for id in self.fleet.get(usize::from(*place)).into_iter().flatten() {
                if keys.contains(&(*id, *key)) {
                    continue;
                }
                keys.push((*id, *key));
                // All are looked at, so that all that lacks is asked for together.
                if let Err(refused) = wallet.check(now, *id, *key)
                    && full.is_none_or(|(before, _)| before.retry_after < refused.retry_after)
                {
                    full = Some((refused, *key));
                }
            }
        }
        if let Some((refused, key)) = full {
            return Err(Full::Fleet(refused, key));
        }
        // The node's own limits come last, so that what they take is never for nothing.
        let ticket = self.limits.acquire(now, buckets).map_err(Full::Node)?;
        keys.retain(|(id, key)| wallet.acquire(now, *id, *key));
        Ok(Held { ticket, keys })
    }

    /// What held places in buckets is over.
    pub fn done(&mut self, now: Nanos, held: Held) {
        self.limits.release(now, held.ticket);
        if let Some(wallet) = &mut self.wallet {
            held.keys
                .iter()
                .for_each(|(id, key)| wallet.release(*id, *key));
        }
    }

    /// This node's end of the limits of the whole fleet.
    pub fn wallet(&self) -> Option<&QuotaBorrower> {
        self.wallet.as_ref()
    }

    /// When it has a question for the fleet.
    pub fn next_question(&self, now: Nanos) -> Option<Nanos> {
        self.wallet.as_ref()?.next_request_at(now)
    }

    /// The question for the fleet that is due.
    pub fn question(&mut self, now: Nanos) -> Option<QuotaRequest> {
        self.wallet.as_mut()?.next_request(now)
    }

    /// The fleet answered.
    pub fn lent(&mut self, now: Nanos, lent: &QuotaGrant) {
        if let Some(wallet) = &mut self.wallet {
            wallet.receive_grant(now, lent);
        }
    }

    /// The node leaves: nothing that was lent is used any more. Whether nothing of it is in hand.
    pub fn let_go(&mut self) -> bool {
        self.wallet.as_mut().is_none_or(QuotaBorrower::drop_leases)
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
        let over: u64 = self
            .limits
            .counters()
            .map(|(_, t)| t.exceeded.iter().sum::<u64>())
            .sum();
        let total = self.matched + self.exhausted + faults + over;
        if std::mem::replace(&mut self.told, total) == total {
            return None;
        }
        let mut line = format!("rules: matched {}", self.matched);
        if faults > 0 {
            let _ = write!(line, ", erred {faults}");
        }
        if self.exhausted > 0 {
            let _ = write!(
                line,
                ", stopped at the cost limit of a request {}",
                self.exhausted
            );
        }
        for (class, tally) in self.by_class.iter().take(TOLD) {
            let [succeeded, throttled, errored] = tally.answered;
            let arrived = tally.arrived;
            let _ = write!(
                line,
                "; class {class}: {arrived} read, {succeeded} succeeded, {throttled} throttled, {errored} errored"
            );
        }
        for (name, tally) in self.limits.counters().take(TOLD) {
            let _ = write!(line, "; bucket {name}: {} passed", tally.admitted);
            let why = [
                (ExceededLimit::Rate, "rate"),
                (ExceededLimit::InFlight, "in hand"),
                (ExceededLimit::Share, "share"),
                (ExceededLimit::NoMemory, "room"),
            ];
            for (why, word) in why
                .iter()
                .filter(|(why, _)| tally.exceeded[*why as usize] > 0)
            {
                let _ = write!(line, ", over {word} {}", tally.exceeded[*why as usize]);
            }
        }
        Some(line)
    }

    #[cfg(test)]
    pub fn limits(&self) -> &RateLimiter {
        &self.limits
    }

    #[cfg(test)]
    pub fn class(&self, name: &str) -> ClassTally {
        self.by_class.get(name).copied().unwrap_or_default()
    }
}
