//! Units of a key, checked through every order of requests and grants that are late, doubled or
//! lost, of units that are spent, of borrowers that crash and restart, and of another leader: a
//! rate is never exceeded, there are never more in flight than the limit, and what was lost comes
//! back. The state machines are the package's; who leads is checked in `model.rs`.

use madderpoint_shared_state::keyed_quota::borrower::UnitLease;
use madderpoint_shared_state::keyed_quota::lender::QuotaLender;
use madderpoint_shared_state::keyed_quota::{
    KeyRequest, KeyedQuota, QuotaKind, QuotaRequest, QuotaTiming,
};
use madderpoint_shared_state::{Nanos, ProcessId};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const BORROWERS: usize = 2;
/// The time of a unit at the promised rate, and the duration of a lease.
const UNIT_INTERVAL: Nanos = 98;
const LEASE_DURATION: Nanos = 100;
const MAX_UNITS: u32 = 2;
/// The longest that a unit is in flight.
const MAX_HOLD: Nanos = 60;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Sent {
    Request {
        process: ProcessId,
        number: u32,
        sent_at: Nanos,
        kept: u32,
        released: u32,
        wanted: u32,
    },
    Grant {
        process: ProcessId,
        number: u32,
        sent_at: Nanos,
        added: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Hash)]
struct Borrower {
    process: ProcessId,
    lease: UnitLease,
    number: u32,
    /// When each unit in flight ends.
    in_use_until: Vec<Nanos>,
}

#[derive(Clone, Debug)]
struct State {
    now: Nanos,
    quota: u32,
    lender: QuotaLender,
    borrowers: Vec<Borrower>,
    in_flight: BTreeSet<Sent>,
    crashes: usize,
    later_leaders: usize,
    /// The record: when the next unit is due at an even rate, and whether the limit was ever
    /// exceeded.
    due: Nanos,
    over: bool,
    spent: u32,
}

impl State {
    /// All that decides what can happen next.
    fn deciding_state(&self) -> impl PartialEq + Hash + '_ {
        let (opens, entry, numbers) = self.lender.state(self.quota, 7);
        let numbers: Vec<(ProcessId, u32)> = numbers.collect();
        let record = (
            self.due.max(self.now),
            self.over,
            self.spent.min(MAX_UNITS + 1),
        );
        (
            (self.now, opens, entry, numbers),
            &self.borrowers,
            &self.in_flight,
            (self.crashes, self.later_leaders),
            record,
        )
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.deciding_state() == other.deciding_state()
    }
}
impl Eq for State {}
impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.deciding_state().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick(Nanos),
    Requests(usize, u32),
    Spends(usize),
    Arrives(Sent, bool),
    Lost(Sent),
    CrashAndReturn(usize),
    AnotherLeads,
}

struct QuotaModel {
    kind: QuotaKind,
    ticks: Nanos,
    in_flight: usize,
}

impl QuotaModel {
    fn quota(&self) -> KeyedQuota {
        KeyedQuota {
            name: "k".into(),
            kind: self.kind,
            floor: 0,
            max_nodes: BORROWERS as u32,
        }
    }

    fn lender(&self, now: Nanos) -> QuotaLender {
        let timing = QuotaTiming {
            request_interval: 1,
            renewal_interval: 10,
            lease_duration: LEASE_DURATION,
            idle_timeout: 10_000,
        };
        QuotaLender::new(now, &[self.quota()], timing, 1 << 12, 1)
    }

    fn starts_at(&self) -> Nanos {
        1000 + self.lender(0).grants_from()
    }

    fn arrives(&self, state: &mut State, sent: Sent) {
        let (now, quota) = (state.now, self.quota());
        match sent {
            Sent::Request {
                process,
                number,
                sent_at,
                kept,
                released,
                wanted,
            } => {
                let keys = vec![KeyRequest {
                    quota: quota.id(),
                    key: 7,
                    kept,
                    released,
                    wanted,
                }];
                let grant = state.lender.request(
                    now,
                    process,
                    &QuotaRequest {
                        number,
                        sent_at,
                        keys,
                    },
                );
                if let Some(key) = grant.and_then(|grant| grant.keys.first().copied()) {
                    state.in_flight.insert(Sent::Grant {
                        process,
                        number,
                        sent_at,
                        added: key.added,
                    });
                }
            }
            Sent::Grant {
                process,
                number,
                sent_at,
                added,
            } => {
                if let Some(borrower) = state.borrowers.iter_mut().find(|b| b.process == process) {
                    borrower.lease.receive_grant(
                        now,
                        number,
                        added,
                        sent_at + LEASE_DURATION - LEASE_DURATION / 50,
                    );
                }
            }
        }
    }
}

impl Model for QuotaModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let borrower = |n: usize| Borrower {
            process: ProcessId {
                key: n as u64 + 1,
                incarnation: 1,
            },
            lease: UnitLease::default(),
            number: 0,
            in_use_until: Vec::new(),
        };
        // The first borrower has all units.
        let (starts_at, number, keep) = (self.starts_at(), 1, 0);
        let mut state = State {
            now: starts_at,
            quota: self.quota().id(),
            lender: self.lender(0),
            borrowers: (0..BORROWERS).map(borrower).collect(),
            in_flight: BTreeSet::new(),
            crashes: 0,
            later_leaders: 0,
            due: 0,
            over: false,
            spent: 0,
        };
        let first = &mut state.borrowers[0];
        first.number = number;
        let _ = first.lease.request(starts_at, number, keep);
        let ask = Sent::Request {
            process: first.process,
            number,
            sent_at: starts_at,
            kept: 0,
            released: 0,
            wanted: MAX_UNITS,
        };
        self.arrives(&mut state, ask);
        let grant = state.in_flight.pop_first();
        grant
            .into_iter()
            .for_each(|grant| self.arrives(&mut state, grant));
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend([Action::Tick(50), Action::Tick(102)]);
        for (n, borrower) in state.borrowers.iter().enumerate() {
            let in_use = borrower.in_use_until.len() as u32;
            if borrower.lease.units(state.now) > in_use {
                actions.extend([Action::Spends(n), Action::Requests(n, 0)]);
            }
            actions.push(Action::Requests(n, MAX_UNITS));
        }
        for sent in &state.in_flight {
            actions.push(Action::Arrives(*sent, false));
            actions.push(Action::Arrives(*sent, true)); // and stays, to arrive again
            actions.push(Action::Lost(*sent));
        }
        if state.crashes == 0 {
            actions.push(Action::CrashAndReturn(0));
        }
        if state.later_leaders == 0 {
            actions.push(Action::AnotherLeads);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let is_rate = matches!(self.kind, QuotaKind::Rate { .. });
        match action {
            Action::Tick(ticks) => {
                state.now += ticks;
                let now = state.now;
                state
                    .borrowers
                    .iter_mut()
                    .for_each(|b| b.in_use_until.retain(|end| *end > now));
            }
            Action::Requests(n, need) => {
                let (now, borrower) = (state.now, &mut state.borrowers[n]);
                borrower.number += 1;
                let in_use = borrower.in_use_until.len() as u32;
                let (kept, released) =
                    borrower
                        .lease
                        .request(now, borrower.number, need.max(in_use));
                let kept = kept.max(in_use);
                let wanted = need.saturating_sub(kept);
                let (process, number) = (borrower.process, borrower.number);
                state.in_flight.insert(Sent::Request {
                    process,
                    number,
                    sent_at: now,
                    kept,
                    released,
                    wanted,
                });
            }
            Action::Spends(n) => {
                let now = state.now;
                if is_rate {
                    state.borrowers[n].lease.spend();
                    state.due = state.due.max(now) + UNIT_INTERVAL;
                    state.over |= state.due > now + UNIT_INTERVAL * Nanos::from(MAX_UNITS);
                } else {
                    state.borrowers[n].in_use_until.push(now + MAX_HOLD);
                    state.over |= state
                        .borrowers
                        .iter()
                        .map(|b| b.in_use_until.len())
                        .sum::<usize>()
                        > MAX_UNITS as usize;
                }
                state.spent += 1;
            }
            Action::Arrives(sent, stays) => {
                if !stays {
                    state.in_flight.remove(&sent);
                }
                self.arrives(&mut state, sent);
            }
            Action::Lost(sent) => {
                state.in_flight.remove(&sent);
            }
            Action::CrashAndReturn(n) => {
                state.crashes += 1;
                let process = ProcessId {
                    key: n as u64 + 1,
                    incarnation: 100,
                };
                state.borrowers[n] = Borrower {
                    process,
                    lease: UnitLease::default(),
                    number: 0,
                    in_use_until: Vec::new(),
                };
            }
            Action::AnotherLeads => {
                state.later_leaders += 1;
                state.lender = self.lender(state.now);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<QuotaModel>> {
        vec![
            Property::always("no key is over its limit", |_: &QuotaModel, s: &State| {
                !s.over
            }),
            Property::sometimes(
                "more is spent than may be saved",
                |_: &QuotaModel, s: &State| s.spent > MAX_UNITS,
            ),
            // Nothing is lost for good: after a crash, or with another leader, all units can be had
            // again.
            Property::sometimes(
                "all of it comes back after a crash",
                |_: &QuotaModel, s: &State| {
                    s.crashes > 0 && s.spent > 0 && s.borrowers[1].lease.units(s.now) == MAX_UNITS
                },
            ),
            Property::sometimes("another one lends", |model: &QuotaModel, s: &State| {
                s.later_leaders > 0 && s.now > model.starts_at() && s.spent > 1
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.in_flight.len() <= self.in_flight && state.now <= self.starts_at() + self.ticks
    }
}

fn check(kind: QuotaKind) {
    let model = QuotaModel {
        kind,
        ticks: 410,
        in_flight: 2,
    };
    let checker = model
        .checker()
        .threads(4)
        .target_max_depth(10)
        .spawn_bfs()
        .join();
    println!(
        "{} states, depth {}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

#[test]
fn a_rate_holds_through_every_order_of_faults() {
    check(QuotaKind::Rate {
        count: 1,
        period: UNIT_INTERVAL,
        burst: MAX_UNITS,
    });
}

#[test]
fn a_number_in_flight_holds_through_every_order_of_faults() {
    check(QuotaKind::InFlight {
        limit: MAX_UNITS,
        max_hold: MAX_HOLD,
    });
}
