//! Units of a key, checked through every order of questions and answers that are late, doubled or
//! lost, of units that are spent, of borrowers that crash and return, and of another one who begins
//! to lend: a rate is never over what it may be, and never more in hand than may be; and what was
//! lost comes back. The machines are the package's; who lends is `model.rs`'s.

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
/// Time for a unit at the rate that is promised, and the life of what lies in a pocket.
const EVEN: Nanos = 98;
const LIFE: Nanos = 100;
const MOST: u32 = 2;
/// How long one is in hand at most.
const LONGEST: Nanos = 60;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Sent {
    Ask {
        who: ProcessId,
        no: u32,
        stamp: Nanos,
        left: u32,
        back: u32,
        wants: u32,
    },
    Lend {
        who: ProcessId,
        no: u32,
        stamp: Nanos,
        adds: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Hash)]
struct Borrower {
    who: ProcessId,
    slip: UnitLease,
    no: u32,
    /// When what it has in hand is over.
    hands: Vec<Nanos>,
}

#[derive(Clone, Debug)]
struct State {
    now: Nanos,
    budget: u32,
    books: QuotaLender,
    borrowers: Vec<Borrower>,
    under_way: BTreeSet<Sent>,
    crashes: usize,
    lenders: usize,
    /// The record: when a next unit would come evenly, and whether it was ever over.
    due: Nanos,
    over: bool,
    spent: u32,
}

impl State {
    /// All that decides what can happen next.
    fn essence(&self) -> impl PartialEq + Hash + '_ {
        let (opens, entry, numbers) = self.books.state(self.budget, 7);
        let numbers: Vec<(ProcessId, u32)> = numbers.collect();
        let record = (self.due.max(self.now), self.over, self.spent.min(MOST + 1));
        (
            (self.now, opens, entry, numbers),
            &self.borrowers,
            &self.under_way,
            (self.crashes, self.lenders),
            record,
        )
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.essence() == other.essence()
    }
}
impl Eq for State {}
impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.essence().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick(Nanos),
    Asks(usize, u32),
    Spends(usize),
    Arrives(Sent, bool),
    Lost(Sent),
    CrashAndReturn(usize),
    AnotherLends,
}

struct Small {
    kind: QuotaKind,
    ticks: Nanos,
    under_way: usize,
}

impl Small {
    fn budget(&self) -> KeyedQuota {
        KeyedQuota {
            name: "k".into(),
            kind: self.kind,
            floor: 0,
            nodes_most: BORROWERS as u32,
        }
    }

    fn books(&self, now: Nanos) -> QuotaLender {
        let rhythm = QuotaTiming {
            urgent: 1,
            renew: 10,
            life: LIFE,
            keep: 10_000,
        };
        QuotaLender::new(now, &[self.budget()], rhythm, 1 << 12, 1)
    }

    fn begins(&self) -> Nanos {
        1000 + self.books(0).opens()
    }

    fn arrives(&self, state: &mut State, sent: Sent) {
        let (now, budget) = (state.now, self.budget());
        match sent {
            Sent::Ask {
                who,
                no,
                stamp,
                left,
                back,
                wants,
            } => {
                let keys = vec![KeyRequest {
                    budget: budget.id(),
                    key: 7,
                    left,
                    back,
                    wants,
                }];
                let lent = state.books.ask(now, who, &QuotaRequest { no, stamp, keys });
                if let Some(key) = lent.and_then(|lent| lent.keys.first().copied()) {
                    state.under_way.insert(Sent::Lend {
                        who,
                        no,
                        stamp,
                        adds: key.adds,
                    });
                }
            }
            Sent::Lend {
                who,
                no,
                stamp,
                adds,
            } => {
                if let Some(borrower) = state.borrowers.iter_mut().find(|b| b.who == who) {
                    borrower
                        .slip
                        .answer(now, no, adds, stamp + LIFE - LIFE / 50);
                }
            }
        }
    }
}

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let borrower = |n: usize| Borrower {
            who: ProcessId {
                key: n as u64 + 1,
                life: 1,
            },
            slip: UnitLease::default(),
            no: 0,
            hands: Vec::new(),
        };
        // The first one has all of it.
        let (begins, no, keep) = (self.begins(), 1, 0);
        let mut state = State {
            now: begins,
            budget: self.budget().id(),
            books: self.books(0),
            borrowers: (0..BORROWERS).map(borrower).collect(),
            under_way: BTreeSet::new(),
            crashes: 0,
            lenders: 0,
            due: 0,
            over: false,
            spent: 0,
        };
        let first = &mut state.borrowers[0];
        first.no = no;
        let _ = first.slip.ask(begins, no, keep);
        let ask = Sent::Ask {
            who: first.who,
            no,
            stamp: begins,
            left: 0,
            back: 0,
            wants: MOST,
        };
        self.arrives(&mut state, ask);
        let lent = state.under_way.pop_first();
        lent.into_iter()
            .for_each(|lent| self.arrives(&mut state, lent));
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend([Action::Tick(50), Action::Tick(102)]);
        for (n, borrower) in state.borrowers.iter().enumerate() {
            let hands = borrower.hands.len() as u32;
            if borrower.slip.units(state.now) > hands {
                actions.extend([Action::Spends(n), Action::Asks(n, 0)]);
            }
            actions.push(Action::Asks(n, MOST));
        }
        for sent in &state.under_way {
            actions.push(Action::Arrives(*sent, false));
            actions.push(Action::Arrives(*sent, true)); // and stays, to arrive again
            actions.push(Action::Lost(*sent));
        }
        if state.crashes == 0 {
            actions.push(Action::CrashAndReturn(0));
        }
        if state.lenders == 0 {
            actions.push(Action::AnotherLends);
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
                    .for_each(|b| b.hands.retain(|end| *end > now));
            }
            Action::Asks(n, need) => {
                let (now, borrower) = (state.now, &mut state.borrowers[n]);
                borrower.no += 1;
                let in_use = borrower.hands.len() as u32;
                let (kept, back) = borrower.slip.ask(now, borrower.no, need.max(in_use));
                let left = kept.max(in_use);
                let wants = need.saturating_sub(left);
                let (who, no) = (borrower.who, borrower.no);
                state.under_way.insert(Sent::Ask {
                    who,
                    no,
                    stamp: now,
                    left,
                    back,
                    wants,
                });
            }
            Action::Spends(n) => {
                let now = state.now;
                if is_rate {
                    state.borrowers[n].slip.spend();
                    state.due = state.due.max(now) + EVEN;
                    state.over |= state.due > now + EVEN * Nanos::from(MOST);
                } else {
                    state.borrowers[n].hands.push(now + LONGEST);
                    state.over |= state.borrowers.iter().map(|b| b.hands.len()).sum::<usize>()
                        > MOST as usize;
                }
                state.spent += 1;
            }
            Action::Arrives(sent, stays) => {
                if !stays {
                    state.under_way.remove(&sent);
                }
                self.arrives(&mut state, sent);
            }
            Action::Lost(sent) => {
                state.under_way.remove(&sent);
            }
            Action::CrashAndReturn(n) => {
                state.crashes += 1;
                let who = ProcessId {
                    key: n as u64 + 1,
                    life: 100,
                };
                state.borrowers[n] = Borrower {
                    who,
                    slip: UnitLease::default(),
                    no: 0,
                    hands: Vec::new(),
                };
            }
            Action::AnotherLends => {
                state.lenders += 1;
                state.books = self.books(state.now);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Small>> {
        vec![
            Property::always("no key is over its limit", |_: &Small, s: &State| !s.over),
            Property::sometimes("more is spent than may be saved", |_: &Small, s: &State| {
                s.spent > MOST
            }),
            // Nothing is lost for good: after a crash, or with another one who lends, all of it is
            // to be had again.
            Property::sometimes(
                "all of it comes back after a crash",
                |_: &Small, s: &State| {
                    s.crashes > 0 && s.spent > 0 && s.borrowers[1].slip.units(s.now) == MOST
                },
            ),
            Property::sometimes("another one lends", |model: &Small, s: &State| {
                s.lenders > 0 && s.now > model.begins() && s.spent > 1
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.under_way.len() <= self.under_way && state.now <= self.begins() + self.ticks
    }
}

fn check(kind: QuotaKind) {
    let model = Small {
        kind,
        ticks: 410,
        under_way: 2,
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
        period: EVEN,
        burst: MOST,
    });
}

#[test]
fn a_number_in_hand_holds_through_every_order_of_faults() {
    check(QuotaKind::InHand {
        limit: MOST,
        longest: LONGEST,
    });
}
