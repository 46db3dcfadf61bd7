//! What a node holds of all that is shared, as it is shown to people, and why it holds that.
//! Protocol Buffers, fields by number.

mod explain;
mod snapshot;

pub use snapshot::{
    BudgetStatus, CounterRowStatus, CounterStatus, LeaseStatus, LenderStatus, QuotaStatus,
    ServiceStatus, StatusSnapshot,
};

use crate::budget::{BudgetBorrower, Kind, NodeBudgets};
use crate::counters::latency_histogram::LatencyHistogram;
use crate::counters::{COLUMNS, OWN, column, heavy_kind, own};
use crate::keyed_quota::borrower::QuotaBorrower;
use crate::keyed_quota::{QuotaKind, number};
use crate::messages::ClusterTotals;
use crate::service_health::ServiceHealth;
use crate::shared_state::{Host, SharedState};
use crate::{BackendGate, MILLISECOND, Nanos};

fn ms(nanos: Nanos) -> u64 {
    nanos / MILLISECOND
}

fn budget(now: Nanos, purse: &mut BudgetBorrower) -> BudgetStatus {
    let (allowed, refused) = purse.tally();
    let part = purse.part(now).map(|(part, asked, came)| LeaseStatus {
        units: part.units,
        asked_ms: ms(asked),
        came_ms: ms(came),
        term_ms: ms(part.term),
        wanted: part.wanted,
        borrowers: part.borrowers,
        pool: part.pool,
    });
    let (wants, units, in_hand) = (purse.wants(now), purse.units(now), purse.in_hand());
    let of = purse.budget();
    BudgetStatus {
        name: of.name.clone(),
        rate: matches!(of.kind, Kind::Rate { .. }),
        limit: of.limit,
        floor: of.floor,
        nodes_most: of.nodes_most,
        repeats_only: of.repeats_only,
        units,
        wants,
        in_hand,
        allowed,
        refused,
        part,
    }
}

impl StatusSnapshot {
    /// What is held where calls are made: budgets.
    pub fn with_ends(&mut self, now: Nanos, ends: &mut NodeBudgets) {
        self.budgets = ends
            .purses()
            .iter_mut()
            .map(|purse| budget(now, purse))
            .collect();
    }

    /// What is held of keys.
    pub fn with_wallet(&mut self, now: Nanos, wallet: &QuotaBorrower) {
        self.keys_heard_ms = wallet.heard(now).map(ms);
        self.keys_deaf = wallet.hears_nobody(now);
        for (of, tally) in wallet.tallies() {
            let (count, period_ms, burst) = match of.kind {
                QuotaKind::Rate {
                    count,
                    period,
                    burst,
                } => (count, ms(period), burst),
                QuotaKind::InHand { limit, .. } => (limit, 0, 0),
            };
            let (units, keys) = wallet.holds(now, of.id());
            self.keys.push(QuotaStatus {
                name: of.name.clone(),
                count,
                period_ms,
                burst,
                floor: of.floor,
                nodes_most: of.nodes_most,
                lent: tally.lent,
                by_floor: tally.floor,
                refused: tally.refused.to_vec(),
                units,
                keys: keys as u64,
            });
        }
    }

    /// The judgement on the service below.
    pub fn with_judge(&mut self, now: Nanos, name: &str, judge: &mut ServiceHealth) {
        let (seen, others) = (judge.evidence(now), judge.others(now).unwrap_or_default());
        let (passed, kept_back) = judge.tally();
        self.service = Some(ServiceStatus {
            name: name.to_owned(),
            mode: judge.mode().word().to_owned(),
            since_ms: ms(now.saturating_sub(judge.since())),
            level: judge.level(),
            tries: seen.tries,
            failed: seen.failed,
            witnesses: others.witnesses,
            ill: others.ill,
            zones: others.zones,
            ill_zones: others.ill_zones,
            prober: others.prober,
            alone: others.alone,
            passed,
            kept_back,
        });
    }

    /// What was let in and turned away for the room below, and the calls that wait for some.
    pub fn with_gate(&mut self, gate: &BackendGate, calls_waiting: usize) {
        (self.let_in, self.turned_away) = gate.tally();
        self.calls_waiting = calls_waiting as u32;
    }

    /// ProcessId lends, with the books of this node; and the counts of the whole fleet.
    pub fn with_shared<H: Host>(
        &mut self,
        now: Nanos,
        shared: &SharedState<H>,
        operations: &[String],
    ) {
        self.lender = shared.lender().map_or(0, |lender| lender.key);
        self.lends = shared.lends(now);
        self.books = shared
            .books()
            .map(|(of, books)| LenderStatus {
                name: of.name.clone(),
                out: books.out(now),
                pool: of.pool(),
                borrowers: books.borrowers() as u32,
            })
            .collect();
        self.key_books = shared.key_books().map_or(Vec::new(), |books| {
            let (keys, pockets, refused) = books.figures();
            vec![
                keys as u64,
                pockets as u64,
                refused,
                ms(books.opens().saturating_sub(now)),
            ]
        });
        let counts = shared.counts().iter();
        self.counted = counts
            .map(|(what, times)| CounterStatus {
                what: (*what).to_owned(),
                times: *times,
            })
            .collect();
        if let Some((sums, age)) = shared.sums(now) {
            self.with_sums(sums, age, operations);
        }
    }

    fn with_sums(&mut self, sums: &ClusterTotals, age: Nanos, operations: &[String]) {
        (self.counts_age_ms, self.processes, self.gone) = (ms(age), sums.processes, sums.gone);
        for (row, numbers) in &sums.total {
            let name = match operations.iter().find(|name| number(name) == *row) {
                _ if *row == OWN => String::new(),
                Some(name) => name.clone(),
                None => format!("{row:08x}"), // an operation that this node does not know
            };
            let mut latency = LatencyHistogram::default();
            latency.merge(sums.minute.latency.get(row).map_or(&[], Vec::as_slice));
            let at = |part| {
                if latency.count() > 0 {
                    latency.quantile(part) / 1000
                } else {
                    0
                }
            };
            self.rows.push(CounterRowStatus {
                name,
                total: numbers.to_vec(),
                minute: sums
                    .minute
                    .rows
                    .get(row)
                    .map_or(Vec::new(), |numbers| numbers.to_vec()),
                p50_us: at(0.5),
                p99_us: at(0.99),
            });
        }
        for (kind, heavy) in &sums.minute.heavy {
            let word =
                ["caller", "caller that repeats", "key over a limit"].get(usize::from(*kind));
            for (key, times) in heavy.most() {
                let what = match *kind {
                    heavy_kind::OVER_LIMIT => {
                        format!("{} {key:016x}", word.unwrap_or(&"key"))
                    }
                    _ => format!("{} {key}", word.unwrap_or(&"key")),
                };
                self.heavy.push(CounterStatus { what, times });
            }
        }
    }
}

/// The columns of rows, as tables head them.
pub fn columns(is_own: bool) -> [&'static str; COLUMNS] {
    let mut names = [""; COLUMNS];
    if is_own {
        names[own::CALLS] = "calls";
        names[own::CALLS_FAILED] = "calls failed";
        names[own::CALLS_REPEATED] = "calls repeated";
        names[own::CALLS_REFUSED] = "calls without room";
        names[own::OVER_LIMIT] = "over a limit";
        names[own::NO_ROOM] = "no room below";
        names[own::INVARIANTS] = "invariants";
        names[own::STARTS] = "starts";
    } else {
        names[column::ARRIVED] = "arrived";
        names[column::SUCCEEDED] = "succeeded";
        names[column::THROTTLED] = "throttled";
        names[column::ERRORED] = "errored";
        names[column::LATE] = "late";
        names[column::EARNED] = "earned/1000";
        names[column::ASKED] = "asked/1000";
        names[column::REPEATS] = "repeats";
    }
    names
}

#[cfg(test)]
mod tests;
