//! The rules and limits in force, which apply to a request before the admission controller. A rule
//! set is compiled elsewhere and replaced as a whole; requests in flight keep the outcome of the
//! earlier rules.

#![warn(missing_docs)]

use madderpoint::{Nanos, OperationId};
use madderpoint_rate_limits::{Bucket, ExceededLimit, LimitExceeded, Permit, RateLimiter};
use madderpoint_rules::{Facts, RuleLookup, RuleSet, Scratch, Verdict};
use madderpoint_shared_state::keyed_quota::borrower::{QuotaBorrower, QuotaExceeded};
use madderpoint_shared_state::keyed_quota::{KeyedQuota, QuotaGrant, QuotaRequest, QuotaTiming};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

/// Maximum number of pending log lines on evaluation errors, and of classes and buckets in one log
/// line.
const LOGGED_MAX: usize = 8;
/// Minimum time between two log lines on errors of the same rule, in nanoseconds.
const ERROR_LOG_INTERVAL: Nanos = 10_000_000_000;

/// Rules, buckets and quotas that were read and checked.
#[derive(Debug, Default)]
pub struct CompiledRuleSet {
    /// The rules, in order of precedence.
    pub rules: RuleSet,
    /// The buckets that the rules refer to by index.
    pub buckets: Vec<Bucket>,
    /// Quotas of the whole cluster, each with the index of its bucket.
    pub quotas: Vec<(usize, KeyedQuota)>,
}

/// Permits of buckets and units of quotas that a request holds until it ends.
#[derive(Debug, Default)]
pub struct HeldPermits {
    permit: Permit,
    /// Quotas of the whole cluster of which a unit is held, by id and key.
    quotas: Vec<(u32, u64)>,
}

impl HeldPermits {
    /// Returns whether the request holds neither permits nor units.
    pub fn is_empty(&self) -> bool {
        self.permit.is_empty() && self.quotas.is_empty()
    }
}

/// The limit that a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReached {
    /// A limit that this node applies to its own requests only.
    Node(LimitExceeded),
    /// A limit of the whole cluster, with the hash of the request's key in the quota.
    Cluster(QuotaExceeded, u64),
}

/// The outcome of the rule that matched a request.
#[derive(Clone, Debug, Default)]
pub struct RuleOutcome {
    /// Operation in place of the one in the path, if the rule gives one.
    pub operation: Option<OperationId>,
    /// Idempotency key as a number that equal keys share, if the rule gives one.
    pub key: Option<u64>,
    /// Class, under which the request is counted.
    pub class: Option<Rc<str>>,
    /// Answer without the admission controller.
    pub verdict: Option<Verdict>,
    /// Buckets that the request must pass, each with its key.
    pub buckets: Vec<(u16, u64)>,
    /// Line for the log.
    pub log_line: Option<String>,
}

/// Number of requests of a class, and of their answers by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests that were read.
    pub arrived: u64,
    /// Requests that succeeded (status 200), were rejected (429 or 503) and failed (all others).
    pub answered: [u64; 3],
}

#[derive(Default)]
struct RuleErrors {
    count: u64,
    logged_at: Option<Nanos>,
}

/// The rules in force, with their buckets and counts.
pub struct RequestRules {
    rule_set: RuleSet,
    classes: Vec<Rc<str>>,
    scratch: Scratch,
    limiter: RateLimiter,
    /// Ids of the cluster's quotas, by the index of their bucket.
    quotas_of_buckets: Vec<Vec<u32>>,
    /// Borrower of this node, if the cluster has quotas.
    quota_borrower: Option<QuotaBorrower>,
    errors: Vec<RuleErrors>,
    by_class: BTreeMap<Rc<str>, ClassCounts>,
    /// Pending log lines on evaluation errors.
    error_lines: Vec<String>,
    matched: u64,
    /// Number of requests whose evaluation stopped at the cost limit.
    exhausted: u64,
    /// Sum of all counts when they were last logged.
    logged_sum: u64,
}

impl RequestRules {
    /// Creates the rules in force. The limits take about `limit_bytes` bytes of memory.
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
            error_lines: Vec::new(),
            matched: 0,
            exhausted: 0,
            logged_sum: 0,
        };
        rules.define(now, &compiled.buckets, &compiled.quotas);
        rules
    }

    /// Replaces the rules in force. Buckets whose definition is unchanged keep their state.
    pub fn replace(&mut self, now: Nanos, compiled: CompiledRuleSet) {
        self.rule_set = compiled.rules;
        self.define(now, &compiled.buckets, &compiled.quotas);
    }

    /// Requests units of these quotas from the cluster from now on, in place of the quotas of an
    /// earlier call. The borrower takes about `bytes` bytes of memory.
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
        // Without this the map would grow with each reload.
        self.by_class.retain(|class, _| classes.contains(class));
        self.errors.clear();
        self.errors
            .resize_with(self.rule_set.rules().len(), RuleErrors::default);
    }

    /// Returns the rules in force.
    pub fn rule_set(&self) -> &RuleSet {
        &self.rule_set
    }

    /// Returns the outcome of the first rule that matches, or none if no rule matches.
    pub fn evaluate(&mut self, now: Nanos, facts: &Facts<'_>) -> Option<RuleOutcome> {
        let decision = self
            .rule_set
            .decide(facts, &mut self.scratch, RuleLookup::Index);
        self.exhausted += u64::from(decision.exhausted);
        for (index, error) in decision.errors {
            let rule_errors = &mut self.errors[index];
            rule_errors.count += 1;
            let is_due = rule_errors
                .logged_at
                .is_none_or(|logged| now >= logged + ERROR_LOG_INTERVAL);
            if is_due && self.error_lines.len() < LOGGED_MAX {
                rule_errors.logged_at = Some(now);
                let name = &self.rule_set.rules()[index].name;
                self.error_lines.push(format!(
                    "'{name}' did not match because of an error: {error} ({} times)",
                    rule_errors.count
                ));
            }
        }
        let output = decision.output?;
        self.matched += 1;
        let mut log_line = None;
        if !output.facts.is_empty() {
            let mut line = format!("'{}'", output.rule.name);
            for (name, value) in &output.facts {
                let _ = write!(line, " {name}={value:?}");
            }
            if let Some(rank) = output.rank {
                let _ = write!(line, " rank={rank}");
            }
            log_line = Some(line);
        }
        let class = output.rule.class.map(usize::from);
        Some(RuleOutcome {
            operation: output.rule.operation.map(OperationId),
            key: output.key,
            class: class.map(|index| Rc::clone(&self.classes[index])),
            verdict: output.rule.verdict.clone(),
            buckets: output.buckets.to_vec(),
            log_line,
        })
    }

    /// Acquires permits of all buckets and units of all their quotas. If one limit is reached,
    /// acquires nothing.
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
            let quota_ids = self.quotas_of_buckets.get(usize::from(*bucket));
            for id in quota_ids.into_iter().flatten() {
                if quotas.contains(&(*id, *key)) {
                    continue;
                }
                quotas.push((*id, *key));
                // All quotas are checked, so that all missing units are requested together.
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
        // The node's own limits come last, so that no permit is taken from them for a request that
        // a quota rejects.
        let permit = self
            .limiter
            .acquire(now, buckets)
            .map_err(LimitReached::Node)?;
        quotas.retain(|(id, key)| borrower.acquire(now, *id, *key));
        Ok(HeldPermits { permit, quotas })
    }

    /// Releases the permits of a request that has ended.
    pub fn release(&mut self, now: Nanos, held: HeldPermits) {
        self.limiter.release(now, held.permit);
        if let Some(borrower) = &mut self.quota_borrower {
            held.quotas
                .iter()
                .for_each(|(id, key)| borrower.release(*id, *key));
        }
    }

    /// Returns the borrower of this node, if the cluster has quotas.
    pub fn quota_borrower(&self) -> Option<&QuotaBorrower> {
        self.quota_borrower.as_ref()
    }

    /// Returns the time at which the next quota request is due.
    pub fn next_quota_request(&self, now: Nanos) -> Option<Nanos> {
        self.quota_borrower.as_ref()?.next_request_at(now)
    }

    /// Returns the quota request that is due, if there is one.
    pub fn quota_request(&mut self, now: Nanos) -> Option<QuotaRequest> {
        self.quota_borrower.as_mut()?.next_request(now)
    }

    /// Records units of quotas that the cluster granted.
    pub fn quota_granted(&mut self, now: Nanos, grant: &QuotaGrant) {
        if let Some(borrower) = &mut self.quota_borrower {
            borrower.receive_grant(now, grant);
        }
    }

    /// Drops all leases, as the node leaves the cluster. Returns whether none of their units is in
    /// use.
    pub fn release_leases(&mut self) -> bool {
        self.quota_borrower
            .as_mut()
            .is_none_or(QuotaBorrower::drop_leases)
    }

    /// Counts a request of a class that was read.
    pub fn count_arrival(&mut self, class: &Rc<str>) {
        self.by_class.entry(Rc::clone(class)).or_default().arrived += 1;
    }

    /// Counts an answer with this HTTP status to a request of a class.
    pub fn count_answer(&mut self, class: &Rc<str>, status: u16) {
        let result = match status {
            200 => 0,
            429 | 503 => 1,
            _ => 2,
        };
        self.by_class.entry(Rc::clone(class)).or_default().answered[result] += 1;
    }

    /// Takes the pending log lines on evaluation errors.
    pub fn take_fault_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.error_lines)
    }

    /// Returns a log line with all counts since the start, or none if no count has changed since
    /// the last log line.
    pub fn changed_counts(&mut self) -> Option<String> {
        let rule_errors: u64 = self.errors.iter().map(|rule| rule.count).sum();
        let over_limit: u64 = self
            .limiter
            .counters()
            .map(|(_, counts)| counts.exceeded.iter().sum::<u64>())
            .sum();
        let sum = self.matched + self.exhausted + rule_errors + over_limit;
        if std::mem::replace(&mut self.logged_sum, sum) == sum {
            return None;
        }
        let mut line = format!("matched {}", self.matched);
        if rule_errors > 0 {
            let _ = write!(line, ", erred {rule_errors}");
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

    /// Returns the limiter of the buckets.
    #[cfg(test)]
    pub fn limiter(&self) -> &RateLimiter {
        &self.limiter
    }

    /// Returns the counts of a class; all 0 if the class has none.
    #[cfg(test)]
    pub fn class_counts(&self, name: &str) -> ClassCounts {
        self.by_class.get(name).copied().unwrap_or_default()
    }
}
