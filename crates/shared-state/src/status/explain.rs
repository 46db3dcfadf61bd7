//! The status snapshot in words. Scripts and people read these texts: their wording is fixed.

use super::{BudgetStatus, LeaseStatus, LenderStatus, QuotaStatus, ServiceStatus, StatusSnapshot};
use std::fmt::Write;

impl StatusSnapshot {
    /// Why the node may use what it may use, a line for each part.
    pub fn explain(&self) -> Vec<String> {
        let mut lines = vec![self.explain_leader()];
        lines.extend(self.budgets.iter().map(|budget| budget.explain()));
        if !self.quotas.is_empty() {
            lines.push(match (self.is_quota_cut_off, self.quota_grant_ms_ago) {
                (true, Some(ago)) => {
                    format!(
                        "keys: nobody who lends was heard for {ago} ms: floors are all there is"
                    )
                }
                (true, None) => {
                    "keys: nobody who lends was ever heard: floors are all there is".into()
                }
                (false, Some(ago)) => format!("keys: heard from the one who lends {ago} ms ago"),
                (false, None) => "keys: nothing was asked for yet".into(),
            });
        }
        lines.extend(self.quotas.iter().map(QuotaStatus::explain));
        lines.extend(self.service.iter().map(ServiceStatus::explain));
        if self.gate_admitted + self.gate_rejected > 0 {
            lines.push(format!(
                "room below: {} let in that need a call, {} turned away before they ran, {} calls wait for room",
                self.gate_admitted, self.gate_rejected, self.calls_waiting
            ));
        }
        lines
    }

    /// Who leads and, at the leader, what it has granted.
    fn explain_leader(&self) -> String {
        let mut line = match (self.is_leader, self.leader) {
            (true, _) => "this node lends: a majority of the arbiters gave it their word".to_owned(),
            (false, 0) => {
                "nobody is known to lend: fewer than most arbiters are heard, or they have not agreed \
                           yet; floors are all there is"
                    .to_owned()
            }
            (false, key) if self.leader_name.is_empty() => format!("a node with key {key:016x} lends"),
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
                "; of '{name}' {outstanding} of {pool} are out to {borrowers}"
            );
        }
        if let [keys, leases, refused, opens_ms] = self.quota_lender[..] {
            let _ = write!(line, "; of keys {leases} pockets of {keys} keys are out");
            if refused > 0 {
                let _ = write!(line, ", {refused} found no room");
            }
            if opens_ms > 0 {
                let _ = write!(
                    line,
                    ", none before {opens_ms} ms from now: what another one lent ends first"
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
            "calls in hand"
        };
        let of = if self.retries_only {
            " that repeat one which failed"
        } else {
            ""
        };
        let mut line = format!(
            "budget '{name}', {limit} {kind}{of} for the fleet: may use {units}, its floor of {floor}"
        );
        match &self.lease {
            None => line += " alone, for nothing was lent yet",
            Some(lease) => self.explain_lease(lease, &mut line),
        }
        let _ = write!(
            line,
            "; wants {demand} beside its floor; {} allowed, {} refused",
            self.allowed, self.refused
        );
        if !self.is_rate {
            let _ = write!(line, ", {} in hand", self.in_flight);
        }
        line
    }

    /// What is left of the lease, and what all borrowers requested when it was granted.
    fn explain_lease(&self, lease: &LeaseStatus, line: &mut String) {
        let left = self.units.saturating_sub(self.floor);
        let _ = write!(
            line,
            " and {left} of a part of {}, asked for {} ms ago",
            lease.units, lease.requested_ms_ago
        );
        let (age_ms, duration_ms) = (lease.requested_ms_ago, lease.duration_ms.max(1));
        if left < lease.units {
            let _ = match age_ms * 4 / duration_ms {
                0..=2 => write!(line, ": its first half is over, and nothing came since"),
                3 => write!(line, ": it is nearly over, and nothing came since"),
                _ => write!(line, ": its time of {duration_ms} ms is over"),
            };
        }
        let LeaseStatus {
            total_demand,
            borrowers,
            pool,
            ..
        } = lease;
        let short = if total_demand > pool {
            ", which is short"
        } else {
            ""
        };
        let _ = write!(
            line,
            "; {borrowers} asked for {total_demand} of {pool} then{short}"
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
            0 => format!("{count} in hand"),
            period => format!("{count} in {period} ms, {} saved", self.burst),
        };
        let mut line = format!(
            "keys '{name}', each {limit} for the fleet: {by_lease} let through by units lent, {by_floor} by floors of {floor}; \
             {} units of {} keys lie here",
            self.units, self.keys
        );
        for (times, reason) in self.refused.iter().zip([
            "before units were here",
            "for the key is short",
            "for nobody who lends is heard",
            "without room for the key",
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
            "careful" => "others say that it is ill",
            "rising" => "it was down and load comes back in steps",
            _ => "nothing speaks against it",
        };
        let probes = match (state.as_str(), self.is_alone, self.is_prober) {
            ("closed", true, _) => "; alone, this node tries it each 5 s",
            ("closed", _, true) => "; this node is one of those who try it",
            ("closed", ..) => "; others try it now",
            _ => "",
        };
        format!(
            "service '{name}': {state} for {} ms, {:.0} % goes there, for {because}{probes}; {failed} of {calls} calls failed \
             lately, {failing} of {reporters} others in {failing_zones} of {zones} zones say that it is ill; {} calls went, {} were kept back",
            self.since_ms,
            self.admitted_share * 100.0,
            self.admitted,
            self.withheld
        )
    }
}
