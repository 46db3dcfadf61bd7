//! The status snapshot: the shared state as one node sees it, with explanations for operators. The
//! `with_` methods fill the snapshot part by part; `madderpoint shared explain` and `fleet show`
//! read it. The texts are in `explain`, the fields in `snapshot`.

mod explain;
mod snapshot;

pub use snapshot::{
    BudgetStatus, CounterRowStatus, CounterStatus, LeaseStatus, LenderStatus, QuotaStatus,
    ServiceStatus, StatusSnapshot,
};

use crate::budget::{BudgetBorrower, BudgetKind, NodeBudgets};
use crate::counters::heavy_hitters::HeavyHitters;
use crate::counters::latency_histogram::LatencyHistogram;
use crate::counters::{
    COLUMNS, CounterRow, PROCESS_ROW, heavy_kind, operation_column, process_column,
};
use crate::keyed_quota::borrower::QuotaBorrower;
use crate::keyed_quota::{QuotaKind, name_hash};
use crate::messages::ClusterTotals;
use crate::service_health::ServiceHealth;
use crate::shared_state::{Host, SharedState};
use crate::{BackendGate, MILLISECOND, Nanos};

fn milliseconds(nanos: Nanos) -> u64 {
    nanos / MILLISECOND
}

fn budget_status(now: Nanos, borrower: &mut BudgetBorrower) -> BudgetStatus {
    let counts = borrower.counts();
    let lease = borrower.latest_lease(now).map(|age| LeaseStatus {
        units: age.lease.units,
        requested_ms_ago: milliseconds(age.since_request),
        granted_ms_ago: milliseconds(age.since_grant),
        duration_ms: milliseconds(age.lease.duration),
        total_demand: age.lease.total_demand,
        borrowers: age.lease.borrowers,
        pool: age.lease.pool,
    });
    let (demand, units) = (borrower.demand(now), borrower.units(now));
    let in_flight = borrower.in_flight();
    let budget = borrower.budget();
    BudgetStatus {
        name: budget.name.clone(),
        is_rate: matches!(budget.kind, BudgetKind::Rate { .. }),
        limit: budget.limit,
        floor: budget.floor,
        max_nodes: budget.max_nodes,
        retries_only: budget.retries_only,
        units,
        demand,
        in_flight,
        allowed: counts.allowed,
        refused: counts.refused,
        lease,
    }
}

impl StatusSnapshot {
    /// Adds the state of the budgets at this node.
    pub fn with_budgets(&mut self, now: Nanos, budgets: &mut NodeBudgets) {
        self.budgets = budgets
            .borrowers()
            .iter_mut()
            .map(|borrower| budget_status(now, borrower))
            .collect();
    }

    /// Adds the state of the keyed quotas at this node.
    pub fn with_quotas(&mut self, now: Nanos, borrower: &QuotaBorrower) {
        self.quota_grant_ms_ago = borrower.since_last_grant(now).map(milliseconds);
        self.is_quota_cut_off = borrower.is_cut_off(now);
        for (quota, counters) in borrower.counters() {
            let (count, period_ms, burst) = match quota.kind {
                QuotaKind::Rate {
                    count,
                    period,
                    burst,
                } => (count, milliseconds(period), burst),
                QuotaKind::InFlight { limit, .. } => (limit, 0, 0),
            };
            let leased = borrower.leased(now, quota.id());
            self.quotas.push(QuotaStatus {
                name: quota.name.clone(),
                count,
                period_ms,
                burst,
                floor: quota.floor,
                max_nodes: quota.max_nodes,
                by_lease: counters.by_lease,
                by_floor: counters.by_floor,
                refused: counters.refused.to_vec(),
                units: leased.units,
                keys: leased.keys as u64,
            });
        }
    }

    /// Adds the health of the backend service.
    pub fn with_service(&mut self, now: Nanos, name: &str, health: &mut ServiceHealth) {
        let own = health.report(now);
        let others = health.aggregated_health(now).unwrap_or_default();
        let counts = health.counts();
        self.service = Some(ServiceStatus {
            name: name.to_owned(),
            state: health.state().label().to_owned(),
            since_ms: milliseconds(now.saturating_sub(health.state_since())),
            admitted_share: health.admitted_share(),
            calls: own.calls,
            failed: own.failed,
            reporters: others.reporters,
            failing: others.failing,
            zones: others.zones,
            failing_zones: others.failing_zones,
            is_prober: others.is_prober,
            is_alone: others.is_alone,
            admitted: counts.admitted,
            withheld: counts.withheld,
        });
    }

    /// Adds the numbers of requests that the backend gate admitted and rejected, and the number of
    /// calls that wait for units.
    pub fn with_gate(&mut self, gate: &BackendGate, calls_waiting: usize) {
        let counts = gate.counts();
        (self.gate_admitted, self.gate_rejected) = (counts.admitted, counts.rejected);
        self.calls_waiting = calls_waiting as u32;
    }

    /// Adds the leader, the grants of this node if it is the leader, the event counts of this node,
    /// and the counters of the whole cluster. `operations` are the names of the node's operations.
    pub fn with_shared_state<H: Host>(
        &mut self,
        now: Nanos,
        shared: &SharedState<H>,
        operations: &[String],
    ) {
        self.leader = shared.leader().map_or(0, |leader| leader.key);
        self.is_leader = shared.is_leader(now);
        self.lenders = shared
            .budget_lenders()
            .map(|(budget, lender)| LenderStatus {
                name: budget.name.clone(),
                outstanding: lender.outstanding(now),
                pool: budget.pool(),
                borrowers: lender.borrowers() as u32,
            })
            .collect();
        self.quota_lender = shared.quota_lender().map_or(Vec::new(), |lender| {
            let size = lender.size();
            vec![
                size.keys as u64,
                size.leases as u64,
                size.refused,
                milliseconds(lender.grants_from().saturating_sub(now)),
            ]
        });
        let counts = shared.event_counts().iter();
        self.event_counts = counts
            .map(|(event, times)| CounterStatus {
                name: (*event).to_owned(),
                times: *times,
            })
            .collect();
        if let Some((totals, age)) = shared.totals(now) {
            self.with_totals(totals, age, operations);
        }
    }

    fn with_totals(&mut self, totals: &ClusterTotals, age: Nanos, operations: &[String]) {
        self.totals_age_ms = milliseconds(age);
        (self.processes, self.retired) = (totals.processes, totals.retired);
        for (row, numbers) in &totals.total {
            self.rows
                .push(row_status(*row, numbers, totals, operations));
        }
        for (kind, heavy) in &totals.last_minute.heavy {
            self.heavy.extend(heavy_status(*kind, heavy));
        }
    }
}

fn row_status(
    row: u32,
    numbers: &CounterRow,
    totals: &ClusterTotals,
    operations: &[String],
) -> CounterRowStatus {
    let name = match operations.iter().find(|name| name_hash(name) == row) {
        _ if row == PROCESS_ROW => String::new(),
        Some(name) => name.clone(),
        None => format!("{row:08x}"), // an operation that is unknown to this node
    };
    let minute = &totals.last_minute;
    let mut latency = LatencyHistogram::default();
    latency.merge(minute.latency.get(&row).map_or(&[], Vec::as_slice));
    let quantile_us = |fraction| {
        if latency.count() > 0 {
            latency.quantile(fraction) / 1000
        } else {
            0
        }
    };
    CounterRowStatus {
        name,
        total: numbers.to_vec(),
        minute: minute
            .rows
            .get(&row)
            .map_or(Vec::new(), |numbers| numbers.to_vec()),
        p50_us: quantile_us(0.5),
        p99_us: quantile_us(0.99),
    }
}

fn heavy_status(kind: u8, heavy: &HeavyHitters) -> impl Iterator<Item = CounterStatus> {
    let label = match kind {
        heavy_kind::CLIENTS => "caller",
        heavy_kind::REPEATERS => "caller that repeats",
        heavy_kind::OVER_QUOTA => "key over a limit",
        _ => "key",
    };
    heavy.top().into_iter().map(move |(key, times)| {
        let name = match kind {
            heavy_kind::OVER_QUOTA => format!("{label} {key:016x}"),
            _ => format!("{label} {key}"),
        };
        CounterStatus { name, times }
    })
}

/// Returns the column heads for the row of the process itself, or for the row of an operation.
pub fn column_heads(is_process: bool) -> [&'static str; COLUMNS] {
    let mut heads = [""; COLUMNS];
    if is_process {
        heads[process_column::CALLS] = "calls";
        heads[process_column::CALLS_FAILED] = "calls failed";
        heads[process_column::CALLS_RETRIED] = "calls repeated";
        heads[process_column::CALLS_OVER_BUDGET] = "calls without room";
        heads[process_column::OVER_QUOTA] = "over a limit";
        heads[process_column::NO_BACKEND_CAPACITY] = "no room below";
        heads[process_column::INVARIANT_VIOLATIONS] = "invariants";
        heads[process_column::STARTS] = "starts";
    } else {
        heads[operation_column::ARRIVED] = "arrived";
        heads[operation_column::SUCCEEDED] = "succeeded";
        heads[operation_column::REJECTED] = "throttled";
        heads[operation_column::FAILED] = "errored";
        heads[operation_column::LATE] = "late";
        heads[operation_column::EARNED_WEIGHT] = "earned/1000";
        heads[operation_column::OFFERED_WEIGHT] = "asked/1000";
        heads[operation_column::REPEATS] = "repeats";
    }
    heads
}

#[cfg(test)]
mod tests;
