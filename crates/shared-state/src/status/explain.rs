//! The status snapshot as text for operators. Tests match parts of the texts.

use super::{BudgetStatus, LeaseStatus, LenderStatus, QuotaStatus, ServiceStatus, StatusSnapshot};
use std::fmt::Write;

impl StatusSnapshot {
    /// Explains the limits that currently apply to the node, one line per part: the leader, each
    /// budget, each keyed quota, the backend service and the backend gate.
    pub fn explain(&self) -> Vec<String> {
        let mut lines = vec![self.explain_leader()];
        lines.extend(self.budgets.iter().map(|budget| budget.explain()));
        if !self.quotas.is_empty() {
            lines.push(match (self.is_quota_cut_off, self.quota_grant_ms_ago) {
                (true, Some(ago)) => {
                    format!(
                        "keys: no lender has answered for {ago} ms: only guaranteed floors may be used"
                    )
                }
                (true, None) => {
                    "keys: no lender has ever answered: only guaranteed floors may be used".into()
                }
                (false, Some(ago)) => format!("keys: the lender answered {ago} ms ago"),
                (false, None) => "keys: no units were requested yet".into(),
            });
        }
        lines.extend(self.quotas.iter().map(QuotaStatus::explain));
        lines.extend(self.service.iter().map(ServiceStatus::explain));
        if self.gate_admitted + self.gate_rejected > 0 {
            lines.push(format!(
                "backend gate: {} requests that need a call were admitted, {} were rejected before they ran, {} calls wait for units",
                self.gate_admitted, self.gate_rejected, self.calls_waiting
            ));
        }
        lines
    }

    /// Explains which node is the leader and, at the leader, what it has granted.
    fn explain_leader(&self) -> String {
        let mut line = match (self.is_leader, self.leader) {
            (true, _) => "this node lends: a majority of the arbiters voted for it".to_owned(),
            (false, 0) => {
                "no lender is known: no majority of the arbiters answers, or they have not agreed yet; \
                 only guaranteed floors may be used"
                    .to_owned()
            }
            (false, key) if self.leader_name.is_empty() => format!("the node with key {key:016x} lends"),
            (false, _) => format!("{} lends", self.leader_name),
        };
        for lender in &self.lenders {
            let LenderStatus {
                name,
                outstanding,
                pool,
                borrowers,
            } = lender;
            let _ = write!(
                line,
                "; budget '{name}': {outstanding} of {pool} units are leased to {borrowers} nodes"
            );
        }
        if let [keys, leases, refused, opens_ms] = self.quota_lender[..] {
            let _ = write!(line, "; keys: {leases} leases of {keys} keys");
            if refused > 0 {
                let _ = write!(line, ", {refused} requests refused for lack of memory");
            }
            if opens_ms > 0 {
                let _ = write!(
                    line,
                    ", no grants for another {opens_ms} ms, until the leases of the previous lender have ended"
                );
            }
        }
        line
    }
}

impl BudgetStatus {
    fn explain(&self) -> String {
        let BudgetStatus {
            name,
            limit,
            floor,
            units,
            demand,
            ..
        } = self;
        let kind = if self.is_rate {
            "calls a second"
        } else {
            "calls in flight"
        };
        let restriction = if self.retries_only {
            " that retry a failed call"
        } else {
            ""
        };
        let mut line = format!(
            "budget '{name}', {limit} {kind}{restriction} for the fleet: may use {units}, its floor of {floor}"
        );
        match &self.lease {
            None => line += " only, because no lease was granted yet",
            Some(lease) => self.explain_lease(lease, &mut line),
        }
        let _ = write!(
            line,
            "; requests {demand} beyond its floor; {} calls allowed, {} refused",
            self.allowed, self.refused
        );
        if !self.is_rate {
            let _ = write!(line, ", {} in flight", self.in_flight);
        }
        line
    }

    /// Explains the remaining units of the lease, and the demand of all borrowers when the lease
    /// was granted.
    fn explain_lease(&self, lease: &LeaseStatus, line: &mut String) {
        let left = self.units.saturating_sub(self.floor);
        let _ = write!(
            line,
            " and {left} units of a lease of {}, requested {} ms ago",
            lease.units, lease.requested_ms_ago
        );
        let (age_ms, duration_ms) = (lease.requested_ms_ago, lease.duration_ms.max(1));
        if left < lease.units {
            let _ = match age_ms * 4 / duration_ms {
                0..=2 => write!(
                    line,
                    ": its first half is over, and no lease was granted since"
                ),
                3 => write!(
                    line,
                    ": it has nearly ended, and no lease was granted since"
                ),
                _ => write!(line, ": its duration of {duration_ms} ms is over"),
            };
        }
        let LeaseStatus {
            total_demand,
            borrowers,
            pool,
            ..
        } = lease;
        let shortage = if total_demand > pool {
            ", which is too small"
        } else {
            ""
        };
        let _ = write!(
            line,
            "; {borrowers} nodes requested {total_demand} units of a pool of {pool} then{shortage}"
        );
    }
}

impl QuotaStatus {
    fn explain(&self) -> String {
        let QuotaStatus {
            name,
            count,
            floor,
            by_lease,
            by_floor,
            ..
        } = self;
        let limit = match self.period_ms {
            0 => format!("{count} in flight"),
            period => format!("{count} in {period} ms, {} saved", self.burst),
        };
        let mut line = format!(
            "keys '{name}', each {limit} for the fleet: {by_lease} admitted by leased units, {by_floor} by floors of {floor}; \
             {} units of {} keys are leased to this node",
            self.units, self.keys
        );
        for (times, reason) in self.refused.iter().zip([
            "before units were granted",
            "because the key has no units left",
            "because no lender answers",
            "for lack of memory for the key",
        ]) {
            if *times > 0 {
                let _ = write!(line, "; {times} refused {reason}");
            }
        }
        line
    }
}

impl ServiceStatus {
    fn explain(&self) -> String {
        let ServiceStatus {
            name,
            state,
            calls,
            failed,
            failing,
            reporters,
            failing_zones,
            zones,
            ..
        } = self;
        let because = match state.as_str() {
            "closed" => "it failed this node",
            "careful" => "other nodes report that it fails",
            "rising" => "it was unavailable and load is restored in steps",
            _ => "no failure is known",
        };
        let probes = match (state.as_str(), self.is_alone, self.is_prober) {
            ("closed", true, _) => "; this node knows of no other member and probes it every 5 s",
            ("closed", _, true) => "; this node is one of its probers",
            ("closed", ..) => "; other nodes probe it now",
            _ => "",
        };
        format!(
            "service '{name}': {state} for {} ms, {:.0} % of calls are admitted because {because}{probes}; {failed} of {calls} recent calls failed, \
             {failing} of {reporters} others in {failing_zones} of {zones} zones report that it fails; {} calls were admitted, {} were withheld",
            self.since_ms,
            self.admitted_share * 100.0,
            self.admitted,
            self.withheld
        )
    }
}
