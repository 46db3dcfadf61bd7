//! Model check of the units of a key with the state machines of this package. Explores every order
//! of delayed, duplicated and lost requests and grants, units that are used, a borrower that
//! crashes and restarts, and a change of the leader. A rate and a limit on units in flight are
//! never exceeded, and lost units become available again. Leadership is checked in `model.rs`.

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
/// Time per unit at the configured rate, in nanoseconds.
const UNIT_INTERVAL: Nanos = 98;
/// Duration of a lease, in nanoseconds.
const LEASE_DURATION: Nanos = 100;
const MAX_UNITS: u32 = 2;
/// Maximum time for which a unit is in flight, in nanoseconds.
const MAX_HOLD: Nanos = 60;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
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
    /// Time of the end of each unit in flight.
    in_use_until: Vec<Nanos>,
}

#[derive(Clone, Debug)]
struct State {
    now: Nanos,
    quota: u32,
    lender: QuotaLender,
    borrowers: Vec<Borrower>,
    in_flight: BTreeSet<Message>,
    crashes: usize,
    leader_changes: usize,
    /// Time at which the next unit is due at an even rate, to check the limit.
    due: Nanos,
    /// Whether the limit was ever exceeded.
    limit_exceeded: bool,
    /// Number of units used so far.
    used: u32,
}

impl State {
    /// Returns the part of the state that determines which states can follow.
    fn deciding_state(&self) -> impl PartialEq + Hash + '_ {
        let (opens, entry, numbers) = self.lender.state(self.quota, 7);
        let numbers: Vec<(ProcessId, u32)> = numbers.collect();
        let record = (
            self.due.max(self.now),
            self.limit_exceeded,
            self.used.min(MAX_UNITS + 1),
        );
        (
            (self.now, opens, entry, numbers),
            &self.borrowers,
            &self.in_flight,
            (self.crashes, self.leader_changes),
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
    Request(usize, u32),
    Use(usize),
    Deliver(Message, bool),
    Lose(Message),
    CrashAndRestart(usize),
    ChangeLeader,
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

    fn deliver(&self, state: &mut State, message: Message) {
        let (now, quota) = (state.now, self.quota());
        match message {
            Message::Request {
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
                    state.in_flight.insert(Message::Grant {
                        process,
                        number,
                        sent_at,
                        added: key.added,
                    });
                }
            }
            Message::Grant {
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
        // Initially the first borrower holds all units.
        let (starts_at, number, keep) = (self.starts_at(), 1, 0);
        let mut state = State {
            now: starts_at,
            quota: self.quota().id(),
            lender: self.lender(0),
            borrowers: (0..BORROWERS).map(borrower).collect(),
            in_flight: BTreeSet::new(),
            crashes: 0,
            leader_changes: 0,
            due: 0,
            limit_exceeded: false,
            used: 0,
        };
        let first = &mut state.borrowers[0];
        first.number = number;
        let _ = first.lease.request(starts_at, number, keep);
        let request = Message::Request {
            process: first.process,
            number,
            sent_at: starts_at,
            kept: 0,
            released: 0,
            wanted: MAX_UNITS,
        };
        self.deliver(&mut state, request);
        let grant = state.in_flight.pop_first();
        grant
            .into_iter()
            .for_each(|grant| self.deliver(&mut state, grant));
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend([Action::Tick(50), Action::Tick(102)]);
        for (n, borrower) in state.borrowers.iter().enumerate() {
            let in_use = borrower.in_use_until.len() as u32;
            if borrower.lease.units(state.now) > in_use {
                actions.extend([Action::Use(n), Action::Request(n, 0)]);
            }
            actions.push(Action::Request(n, MAX_UNITS));
        }
        for message in &state.in_flight {
            actions.push(Action::Deliver(*message, false));
            actions.push(Action::Deliver(*message, true)); // a copy remains and may arrive again
            actions.push(Action::Lose(*message));
        }
        if state.crashes == 0 {
            actions.push(Action::CrashAndRestart(0));
        }
        if state.leader_changes == 0 {
            actions.push(Action::ChangeLeader);
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
            Action::Request(n, need) => {
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
                state.in_flight.insert(Message::Request {
                    process,
                    number,
                    sent_at: now,
                    kept,
                    released,
                    wanted,
                });
            }
            Action::Use(n) => {
                let now = state.now;
                if is_rate {
                    state.borrowers[n].lease.spend();
                    state.due = state.due.max(now) + UNIT_INTERVAL;
                    state.limit_exceeded |=
                        state.due > now + UNIT_INTERVAL * Nanos::from(MAX_UNITS);
                } else {
                    state.borrowers[n].in_use_until.push(now + MAX_HOLD);
                    state.limit_exceeded |= state
                        .borrowers
                        .iter()
                        .map(|b| b.in_use_until.len())
                        .sum::<usize>()
                        > MAX_UNITS as usize;
                }
                state.used += 1;
            }
            Action::Deliver(message, is_duplicated) => {
                if !is_duplicated {
                    state.in_flight.remove(&message);
                }
                self.deliver(&mut state, message);
            }
            Action::Lose(message) => {
                state.in_flight.remove(&message);
            }
            Action::CrashAndRestart(n) => {
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
            Action::ChangeLeader => {
                state.leader_changes += 1;
                state.lender = self.lender(state.now);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<QuotaModel>> {
        vec![
            Property::always("no key exceeds its limit", |_: &QuotaModel, s: &State| {
                !s.limit_exceeded
            }),
            Property::sometimes(
                "more units are used than may be saved",
                |_: &QuotaModel, s: &State| s.used > MAX_UNITS,
            ),
            // No unit is lost permanently: after a crash or a change of the leader, all units are
            // available again.
            Property::sometimes(
                "all units are available again after a crash",
                |_: &QuotaModel, s: &State| {
                    s.crashes > 0 && s.used > 0 && s.borrowers[1].lease.units(s.now) == MAX_UNITS
                },
            ),
            Property::sometimes(
                "a later leader grants units",
                |model: &QuotaModel, s: &State| {
                    s.leader_changes > 0 && s.now > model.starts_at() && s.used > 1
                },
            ),
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
fn a_rate_holds_in_every_order_of_faults() {
    check(QuotaKind::Rate {
        count: 1,
        period: UNIT_INTERVAL,
        burst: MAX_UNITS,
    });
}

#[test]
fn a_limit_in_flight_holds_in_every_order_of_faults() {
    check(QuotaKind::InFlight {
        limit: MAX_UNITS,
        max_hold: MAX_HOLD,
    });
}
