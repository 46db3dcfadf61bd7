//! The rules and limits in force, as requests meet them before the admission controller does. A
//! rule set is compiled elsewhere and swapped in one step; requests in flight keep what they were given.

#![warn(missing_docs)]

use madderpoint::{Nanos, OperationId};
use madderpoint_rate_limits::{Bucket, ExceededLimit, LimitExceeded, Permit, RateLimiter};
use madderpoint_rules::{Facts, RuleLookup, RuleSet, Scratch, Verdict};
use madderpoint_shared_state::keyed_quota::borrower::{QuotaBorrower, QuotaExceeded};
use madderpoint_shared_state::keyed_quota::{KeyedQuota, QuotaGrant, QuotaRequest, QuotaTiming};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

/// The most rules with errors that wait for a log line, and the most classes and buckets in one.
const LOGGED_MAX: usize = 8;
/// Time between two log lines on errors of the same rule.
const FAULT_LOG_PERIOD: Nanos = 10_000_000_000;

/// Rules and buckets as they were read and checked.
#[derive(Debug, Default)]
pub struct CompiledRuleSet {
    /// The rules.
    pub rules: RuleSet,
    /// Their buckets.
    pub buckets: Vec<Bucket>,
    /// Those that are limits of the whole cluster, with their indices.
    pub quotas: Vec<(usize, KeyedQuota)>,
}

/// What a request holds of buckets until it ends.
#[derive(Debug, Default)]
pub struct HeldPermits {
    permit: Permit,
    /// Of limits of the whole cluster: quota and key.
    quotas: Vec<(u32, u64)>,
}

impl HeldPermits {
    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.permit.is_empty() && self.quotas.is_empty()
    }
}

/// A limit that has no unit for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReached {
    /// A limit of this node.
    Node(LimitExceeded),
    /// One of the whole cluster, with the key.
    Cluster(QuotaExceeded, u64),
}

/// What a rule gave to a request.
#[derive(Clone, Debug, Default)]
pub struct RuleOutcome {
    /// The operation.
    pub operation: Option<OperationId>,
    /// The idempotency key as a number.
    pub key: Option<u64>,
    /// The class.
    pub class: Option<Rc<str>>,
    /// An answer at once.
    pub verdict: Option<Verdict>,
    /// Buckets, each with its key.
    pub buckets: Vec<(u16, u64)>,
    /// A line for the log.
    pub log_line: Option<String>,
}

/// How many requests of a class came, and how they were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Read.
    pub arrived: u64,
    /// Answered, by how: succeeded, rejected, failed.
    pub answered: [u64; 3],
}

#[derive(Default)]
struct RuleErrors {
    count: u64,
    logged_at: Option<Nanos>,
}

/// The rules in force, their buckets and counts.
pub struct RequestRules {
    rule_set: RuleSet,
    classes: Vec<Rc<str>>,
    scratch: Scratch,
    limiter: RateLimiter,
    /// Quotas of the cluster, by the index of their bucket.
    quotas_of_buckets: Vec<Vec<u32>>,
    /// This node's end of them, where there are any.
    quota_borrower: Option<QuotaBorrower>,
    errors: Vec<RuleErrors>,
    by_class: BTreeMap<Rc<str>, ClassCounts>,
    /// Log lines on rules that erred.
    fault_lines: Vec<String>,
    matched: u64,
    /// Requests whose evaluation stopped at its cost limit.
    exhausted: u64,
    /// The sum of all counts when they were logged last.
    logged_sum: u64,
}

impl RequestRules {
    /// Rules that are in force from now on; limits take about this many bytes.
    pub fn new(now: Nanos, compiled: CompiledRuleSet, limit_bytes: usize, seed: u64) -> Self {
        let mut rules = RequestRules {
            rule_set: compiled.rules,
            classes: Vec::new(),
            scratch: Scratch::new(seed),
            limiter: RateLimiter::new(limit_bytes, seed),
            quotas_of_buckets: Vec::new(),
            quota_borrower: None,
            errors: Vec::new(),
            by_class: BTreeMap::new(),
            fault_lines: Vec::new(),
            matched: 0,
            exhausted: 0,
            logged_sum: 0,
        };
        rules.define(now, &compiled.buckets, &compiled.quotas);
        rules
    }

    /// Takes other rules in place of those in force. Buckets whose definition stayed keep what they
    /// count.
    pub fn replace(&mut self, now: Nanos, compiled: CompiledRuleSet) {
        self.rule_set = compiled.rules;
        self.define(now, &compiled.buckets, &compiled.quotas);
    }

    /// From now on units of these quotas are requested from the cluster.
    pub fn join_cluster(
        &mut self,
        now: Nanos,
        quotas: &[KeyedQuota],
        timing: QuotaTiming,
        bytes: usize,
        seed: u64,
    ) {
        match &mut self.quota_borrower {
            Some(borrower) => borrower.update_quotas(quotas),
            None if quotas.is_empty() => {}
            None => {
                self.quota_borrower = Some(QuotaBorrower::new(now, quotas, timing, bytes, seed))
            }
        }
    }

    fn define(&mut self, now: Nanos, buckets: &[Bucket], quotas: &[(usize, KeyedQuota)]) {
        self.limiter.configure(now, buckets);
        self.quotas_of_buckets = vec![Vec::new(); buckets.len()];
        for (bucket, quota) in quotas {
            if let Some(quotas) = self.quotas_of_buckets.get_mut(*bucket) {
                quotas.push(quota.id());
            }
        }
        self.classes = self
            .rule_set
            .classes()
            .iter()
            .map(|name| Rc::from(name.as_str()))
            .collect();
        let classes = &self.classes;
        self.by_class.retain(|class, _| classes.contains(class)); // else it grows with each reload
        self.errors.clear();
        self.errors
            .resize_with(self.rule_set.rules().len(), RuleErrors::default);
    }

    /// The rules in force.
    pub fn rule_set(&self) -> &RuleSet {
        &self.rule_set
    }

    /// What the first rule that matches gives.
    pub fn evaluate(&mut self, now: Nanos, facts: &Facts<'_>) -> Option<RuleOutcome> {
        let decision = self
            .rule_set
            .decide(facts, &mut self.scratch, RuleLookup::Index);
        self.exhausted += u64::from(decision.exhausted);
        for (index, fault) in decision.errors {
            let faults = &mut self.errors[index];
            faults.count += 1;
            let is_due = faults
                .logged_at
                .is_none_or(|logged| now >= logged + FAULT_LOG_PERIOD);
            if is_due && self.fault_lines.len() < LOGGED_MAX {
                faults.logged_at = Some(now);
                let name = &self.rule_set.rules()[index].name;
                self.fault_lines.push(format!(
                    "'{name}' erred and so did not match: {fault} ({} times)",
                    faults.count
                ));
            }
        }
        let given = decision.output?;
        self.matched += 1;
        let mut log_line = None;
        if !given.facts.is_empty() {
            let mut line = format!("'{}'", given.rule.name);
            for (name, value) in &given.facts {
                let _ = write!(line, " {name}={value:?}");
            }
            if let Some(rank) = given.rank {
                let _ = write!(line, " rank={rank}");
            }
            log_line = Some(line);
        }
        let class = given.rule.class.map(usize::from);
        Some(RuleOutcome {
            operation: given.rule.operation.map(OperationId),
            key: given.key,
            class: class.map(|index| Rc::clone(&self.classes[index])),
            verdict: given.rule.verdict.clone(),
            buckets: given.buckets.to_vec(),
            log_line,
        })
    }

    /// Takes permits of buckets, if all have a unit.
    pub fn acquire(
        &mut self,
        now: Nanos,
        buckets: &[(u16, u64)],
    ) -> Result<HeldPermits, LimitReached> {
        let Some(borrower) = &mut self.quota_borrower else {
            let permit = self
                .limiter
                .acquire(now, buckets)
                .map_err(LimitReached::Node)?;
            return Ok(HeldPermits {
                permit,
                quotas: Vec::new(),
            });
        };
        let mut quotas: Vec<(u32, u64)> = Vec::new();
        let mut longest_wait: Option<(QuotaExceeded, u64)> = None;
        for (bucket, key) in buckets {
            let of_bucket = self.quotas_of_buckets.get(usize::from(*bucket));
            for id in of_bucket.into_iter().flatten() {
                if quotas.contains(&(*id, *key)) {
                    continue;
                }
                quotas.push((*id, *key));
                // All are looked at, so that all that lacks is requested together.
                if let Err(exceeded) = borrower.check(now, *id, *key)
                    && longest_wait
                        .is_none_or(|(longest, _)| longest.retry_after < exceeded.retry_after)
                {
                    longest_wait = Some((exceeded, *key));
                }
            }
        }
        if let Some((exceeded, key)) = longest_wait {
            return Err(LimitReached::Cluster(exceeded, key));
        }
        // The node's own limits come last, so that what they take is never for nothing.
        let permit = self
            .limiter
            .acquire(now, buckets)
            .map_err(LimitReached::Node)?;
        quotas.retain(|(id, key)| borrower.acquire(now, *id, *key));
        Ok(HeldPermits { permit, quotas })
    }

    /// A request that held permits has ended.
    pub fn release(&mut self, now: Nanos, held: HeldPermits) {
        self.limiter.release(now, held.permit);
        if let Some(borrower) = &mut self.quota_borrower {
            held.quotas
                .iter()
                .for_each(|(id, key)| borrower.release(*id, *key));
        }
    }

    /// This node's end of the cluster's quotas.
    pub fn quota_borrower(&self) -> Option<&QuotaBorrower> {
        self.quota_borrower.as_ref()
    }

    /// When the next quota request is due.
    pub fn next_quota_request(&self, now: Nanos) -> Option<Nanos> {
        self.quota_borrower.as_ref()?.next_request_at(now)
    }

    /// The quota request that is due.
    pub fn quota_request(&mut self, now: Nanos) -> Option<QuotaRequest> {
        self.quota_borrower.as_mut()?.next_request(now)
    }

    /// The cluster granted units of quotas.
    pub fn quota_granted(&mut self, now: Nanos, grant: &QuotaGrant) {
        if let Some(borrower) = &mut self.quota_borrower {
            borrower.receive_grant(now, grant);
        }
    }

    /// The node leaves: no lease is used any more. Whether none of their units is in use.
    pub fn release_leases(&mut self) -> bool {
        self.quota_borrower
            .as_mut()
            .is_none_or(QuotaBorrower::drop_leases)
    }

    /// A request of a class was read.
    pub fn count_arrival(&mut self, class: &Rc<str>) {
        self.by_class.entry(Rc::clone(class)).or_default().arrived += 1;
    }

    /// One was answered with this status.
    pub fn count_answer(&mut self, class: &Rc<str>, status: u16) {
        let how = match status {
            200 => 0,
            429 | 503 => 1,
            _ => 2,
        };
        self.by_class.entry(Rc::clone(class)).or_default().answered[how] += 1;
    }

    /// Takes the log lines on rules that erred.
    pub fn take_fault_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.fault_lines)
    }

    /// A log line with all counts since the start; none if no count has moved since the last one.
    pub fn changed_counts(&mut self) -> Option<String> {
        let faults: u64 = self.errors.iter().map(|rule| rule.count).sum();
        let over_limit: u64 = self
            .limiter
            .counters()
            .map(|(_, counts)| counts.exceeded.iter().sum::<u64>())
            .sum();
        let sum = self.matched + self.exhausted + faults + over_limit;
        if std::mem::replace(&mut self.logged_sum, sum) == sum {
            return None;
        }
        let mut line = format!("matched {}", self.matched);
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
        self.write_class_counts(&mut line);
        self.write_bucket_counts(&mut line);
        Some(line)
    }

    fn write_class_counts(&self, line: &mut String) {
        for (class, counts) in self.by_class.iter().take(LOGGED_MAX) {
            let [succeeded, rejected, failed] = counts.answered;
            let arrived = counts.arrived;
            let _ = write!(
                line,
                "; class {class}: {arrived} read, {succeeded} succeeded, {rejected} rejected, {failed} failed"
            );
        }
    }

    fn write_bucket_counts(&self, line: &mut String) {
        for (name, counts) in self.limiter.counters().take(LOGGED_MAX) {
            let _ = write!(line, "; bucket {name}: {} passed", counts.admitted);
            let limits = [
                (ExceededLimit::Rate, "rate"),
                (ExceededLimit::InFlight, "in flight"),
                (ExceededLimit::Share, "share"),
                (ExceededLimit::NoMemory, "room"),
            ];
            for (limit, name) in limits {
                let exceeded = counts.exceeded[limit as usize];
                if exceeded > 0 {
                    let _ = write!(line, ", over {name} {exceeded}");
                }
            }
        }
    }

    /// The limits.
    #[cfg(test)]
    pub fn limiter(&self) -> &RateLimiter {
        &self.limiter
    }

    /// The counts of a class.
    #[cfg(test)]
    pub fn class_counts(&self, name: &str) -> ClassCounts {
        self.by_class.get(name).copied().unwrap_or_default()
    }
}
