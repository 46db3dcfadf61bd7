//! What a node holds of all that is shared, as it is shown to people, and why it holds that.
//! Protocol Buffers, fields by number.

use crate::budget_borrower::{BudgetBorrower, Kind, NodeBudgets};
use crate::counts::{self, OWN, column, own};
use crate::keyed_quota::borrower::QuotaBorrower;
use crate::keyed_quota::{QuotaKind, number};
use crate::latency_histogram::LatencyHistogram;
use crate::messages::ClusterTotals;
use crate::service_health::ServiceHealth;
use crate::shared_state::{Host, SharedState};
use crate::{BackendGate, MILLISECOND, Nanos};
use std::fmt::Write;

/// A budget on calls below.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BudgetStatus {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether it is a rate; else a number in hand.
    #[prost(bool, tag = "2")]
    pub rate: bool,
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    #[prost(uint32, tag = "4")]
    pub floor: u32,
    #[prost(uint32, tag = "5")]
    pub nodes_most: u32,
    #[prost(bool, tag = "6")]
    pub repeats_only: bool,
    /// What it may spend now, wants beside its floor, and has in hand.
    #[prost(uint32, tag = "7")]
    pub units: u32,
    #[prost(uint32, tag = "8")]
    pub wants: u32,
    #[prost(uint32, tag = "9")]
    pub in_hand: u32,
    #[prost(uint64, tag = "10")]
    pub allowed: u64,
    #[prost(uint64, tag = "11")]
    pub refused: u64,
    /// The part that it was lent last, if any: units, how long ago it was asked for and came, how
    /// long it is good.
    #[prost(message, optional, tag = "12")]
    pub part: Option<LeaseStatus>,
}

/// A part.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseStatus {
    #[prost(uint32, tag = "1")]
    pub units: u32,
    #[prost(uint64, tag = "2")]
    pub asked_ms: u64,
    #[prost(uint64, tag = "3")]
    pub came_ms: u64,
    #[prost(uint64, tag = "4")]
    pub term_ms: u64,
    /// What all asked for then, how many they were, and what there was to lend.
    #[prost(uint32, tag = "5")]
    pub wanted: u32,
    #[prost(uint32, tag = "6")]
    pub borrowers: u32,
    #[prost(uint32, tag = "7")]
    pub pool: u32,
}

/// A limit by key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaStatus {
    #[prost(string, tag = "1")]
    pub name: String,
    /// So many in a period, of which so many may be saved; or, with no period, so many in hand.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    #[prost(uint64, tag = "3")]
    pub period_ms: u64,
    #[prost(uint32, tag = "4")]
    pub burst: u32,
    #[prost(uint32, tag = "5")]
    pub floor: u32,
    #[prost(uint32, tag = "6")]
    pub nodes_most: u32,
    /// Let through by units that were lent, and by the floor; refused for being asked for, short,
    /// deaf, without room.
    #[prost(uint64, tag = "7")]
    pub lent: u64,
    #[prost(uint64, tag = "8")]
    pub by_floor: u64,
    #[prost(uint64, repeated, tag = "9")]
    pub refused: Vec<u64>,
    /// Units in pockets, and keys with any.
    #[prost(uint64, tag = "10")]
    pub units: u64,
    #[prost(uint64, tag = "11")]
    pub keys: u64,
}

/// The service below.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceStatus {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub mode: String,
    #[prost(uint64, tag = "3")]
    pub since_ms: u64,
    #[prost(double, tag = "4")]
    pub level: f64,
    #[prost(uint32, tag = "5")]
    pub tries: u32,
    #[prost(uint32, tag = "6")]
    pub failed: u32,
    #[prost(uint32, tag = "7")]
    pub witnesses: u32,
    #[prost(uint32, tag = "8")]
    pub ill: u32,
    #[prost(uint32, tag = "9")]
    pub zones: u32,
    #[prost(uint32, tag = "10")]
    pub ill_zones: u32,
    #[prost(bool, tag = "11")]
    pub prober: bool,
    #[prost(bool, tag = "12")]
    pub alone: bool,
    #[prost(uint64, tag = "13")]
    pub passed: u64,
    #[prost(uint64, tag = "14")]
    pub kept_back: u64,
}

/// What a node that lends has out.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LenderStatus {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint32, tag = "2")]
    pub out: u32,
    #[prost(uint32, tag = "3")]
    pub pool: u32,
    #[prost(uint32, tag = "4")]
    pub borrowers: u32,
}

/// A row of counts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CounterRowStatus {
    /// The operation's name; empty for the processes themselves.
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, repeated, tag = "2")]
    pub total: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    pub minute: Vec<u64>,
    /// TwoHalfWindow, and 99 of a hundred, of the last minute's took at most so long.
    #[prost(uint64, tag = "4")]
    pub p50_us: u64,
    #[prost(uint64, tag = "5")]
    pub p99_us: u64,
}

/// How often something happened, or came.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CounterStatus {
    #[prost(string, tag = "1")]
    pub what: String,
    #[prost(uint64, tag = "2")]
    pub times: u64,
}

/// All of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusSnapshot {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(message, repeated, tag = "2")]
    pub budgets: Vec<BudgetStatus>,
    #[prost(message, repeated, tag = "3")]
    pub keys: Vec<QuotaStatus>,
    /// How long ago the one who lends answered about keys, if it ever did; and whether it is waited
    /// for in vain.
    #[prost(uint64, optional, tag = "4")]
    pub keys_heard_ms: Option<u64>,
    #[prost(bool, tag = "5")]
    pub keys_deaf: bool,
    #[prost(message, optional, tag = "6")]
    pub service: Option<ServiceStatus>,
    #[prost(uint64, tag = "7")]
    pub let_in: u64,
    #[prost(uint64, tag = "8")]
    pub turned_away: u64,
    #[prost(uint32, tag = "9")]
    pub calls_waiting: u32,
    /// ProcessId lends, as far as is known, by its key; and whether that is this node, with its books.
    #[prost(fixed64, tag = "10")]
    pub lender: u64,
    #[prost(bool, tag = "11")]
    pub lends: bool,
    #[prost(message, repeated, tag = "12")]
    pub books: Vec<LenderStatus>,
    #[prost(uint64, repeated, tag = "13")]
    pub key_books: Vec<u64>,
    /// ClusterCounters of the whole fleet: how old they are, of how many processes, and of how many that are
    /// gone.
    #[prost(uint64, tag = "14")]
    pub counts_age_ms: u64,
    #[prost(uint32, tag = "15")]
    pub processes: u32,
    #[prost(uint32, tag = "16")]
    pub gone: u32,
    #[prost(message, repeated, tag = "17")]
    pub rows: Vec<CounterRowStatus>,
    #[prost(message, repeated, tag = "18")]
    pub heavy: Vec<CounterStatus>,
    #[prost(message, repeated, tag = "19")]
    pub counted: Vec<CounterStatus>,
    /// The name of the one who lends, where the view has it.
    #[prost(string, tag = "20")]
    pub lender_name: String,
}

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
                    counts::heavy_hitters::OVER_LIMIT => {
                        format!("{} {key:016x}", word.unwrap_or(&"key"))
                    }
                    _ => format!("{} {key}", word.unwrap_or(&"key")),
                };
                self.heavy.push(CounterStatus { what, times });
            }
        }
    }

    /// RefusalReason the node holds what it holds, in words.
    pub fn why(&self) -> Vec<String> {
        let mut lines = vec![self.who_lends()];
        lines.extend(self.budgets.iter().map(|budget| budget.why()));
        if !self.keys.is_empty() {
            lines.push(match (self.keys_deaf, self.keys_heard_ms) {
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
        lines.extend(self.keys.iter().map(QuotaStatus::why));
        lines.extend(self.service.iter().map(ServiceStatus::why));
        if self.let_in + self.turned_away > 0 {
            lines.push(format!(
                "room below: {} let in that need a call, {} turned away before they ran, {} calls wait for room",
                self.let_in, self.turned_away, self.calls_waiting
            ));
        }
        lines
    }

    fn who_lends(&self) -> String {
        let mut line = match (self.lends, self.lender) {
            (true, _) => "this node lends: a majority of the arbiters gave it their word".to_owned(),
            (false, 0) => {
                "nobody is known to lend: fewer than most arbiters are heard, or they have not agreed \
                           yet; floors are all there is"
                    .to_owned()
            }
            (false, key) if self.lender_name.is_empty() => format!("a node with key {key:016x} lends"),
            (false, _) => format!("{} lends", self.lender_name),
        };
        for book in &self.books {
            let LenderStatus {
                name,
                out,
                pool,
                borrowers,
            } = book;
            let _ = write!(line, "; of '{name}' {out} of {pool} are out to {borrowers}");
        }
        if let [keys, pockets, refused, opens] = self.key_books[..] {
            let _ = write!(line, "; of keys {pockets} pockets of {keys} keys are out");
            if refused > 0 {
                let _ = write!(line, ", {refused} found no room");
            }
            if opens > 0 {
                let _ = write!(
                    line,
                    ", none before {opens} ms from now: what another one lent ends first"
                );
            }
        }
        line
    }
}

impl BudgetStatus {
    fn why(&self) -> String {
        let BudgetStatus {
            name,
            limit,
            floor,
            units,
            wants,
            ..
        } = self;
        let kind = if self.rate {
            "calls a second"
        } else {
            "calls in hand"
        };
        let of = if self.repeats_only {
            " that repeat one which failed"
        } else {
            ""
        };
        let mut line = format!(
            "budget '{name}', {limit} {kind}{of} for the fleet: may use {units}, its floor of {floor}"
        );
        match &self.part {
            None => line += " alone, for nothing was lent yet",
            Some(part) => {
                let left = units.saturating_sub(*floor);
                let _ = write!(
                    line,
                    " and {left} of a part of {}, asked for {} ms ago",
                    part.units, part.asked_ms
                );
                let (age, term) = (part.asked_ms, part.term_ms.max(1));
                if left < part.units {
                    let _ = match age * 4 / term {
                        0..=2 => write!(line, ": its first half is over, and nothing came since"),
                        3 => write!(line, ": it is nearly over, and nothing came since"),
                        _ => write!(line, ": its time of {term} ms is over"),
                    };
                }
                let LeaseStatus {
                    wanted,
                    borrowers,
                    pool,
                    ..
                } = part;
                let short = if wanted > pool {
                    ", which is short"
                } else {
                    ""
                };
                let _ = write!(
                    line,
                    "; {borrowers} asked for {wanted} of {pool} then{short}"
                );
            }
        }
        let _ = write!(
            line,
            "; wants {wants} beside its floor; {} allowed, {} refused",
            self.allowed, self.refused
        );
        if !self.rate {
            let _ = write!(line, ", {} in hand", self.in_hand);
        }
        line
    }
}

impl QuotaStatus {
    fn why(&self) -> String {
        let QuotaStatus {
            name,
            count,
            floor,
            lent,
            by_floor,
            ..
        } = self;
        let limit = match self.period_ms {
            0 => format!("{count} in hand"),
            period => format!("{count} in {period} ms, {} saved", self.burst),
        };
        let mut line = format!(
            "keys '{name}', each {limit} for the fleet: {lent} let through by units lent, {by_floor} by floors of {floor}; \
             {} units of {} keys lie here",
            self.units, self.keys
        );
        for (times, why) in self.refused.iter().zip([
            "before units were here",
            "for the key is short",
            "for nobody who lends is heard",
            "without room for the key",
        ]) {
            if *times > 0 {
                let _ = write!(line, "; {times} refused {why}");
            }
        }
        line
    }
}

impl ServiceStatus {
    fn why(&self) -> String {
        let ServiceStatus {
            name,
            mode,
            tries,
            failed,
            ill,
            witnesses,
            ill_zones,
            zones,
            ..
        } = self;
        let because = match mode.as_str() {
            "closed" => "it failed this node",
            "careful" => "others say that it is ill",
            "rising" => "it was down and load comes back in steps",
            _ => "nothing speaks against it",
        };
        let tries_it = match (mode.as_str(), self.alone, self.prober) {
            ("closed", true, _) => "; alone, this node tries it each 5 s",
            ("closed", _, true) => "; this node is one of those who try it",
            ("closed", ..) => "; others try it now",
            _ => "",
        };
        format!(
            "service '{name}': {mode} for {} ms, {:.0} % goes there, for {because}{tries_it}; {failed} of {tries} calls failed \
             lately, {ill} of {witnesses} others in {ill_zones} of {zones} zones say that it is ill; {} calls went, {} were kept back",
            self.since_ms,
            self.level * 100.0,
            self.passed,
            self.kept_back
        )
    }
}

/// The columns of rows, as tables head them.
pub fn columns(is_own: bool) -> [&'static str; counts::COLUMNS] {
    let mut names = [""; counts::COLUMNS];
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
