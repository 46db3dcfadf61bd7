//! ProcessId lends and what is lent, checked through every order of messages that are late, doubled or
//! lost, of ticks, of a crash with a cold return, and of nodes that stand still (which is no action
//! for some ticks): what all may spend together is never over the limit. The machines are the
//! package's; what is left out is the drift of clocks, which `budgets.rs` plays.

use madderpoint_shared_state::budget::lender::BudgetLender;
use madderpoint_shared_state::leader_lease::{Candidate, Voter};
use madderpoint_shared_state::{Budget, BudgetBorrower, Demand, Kind, Lease, ProcessId};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const NODES: usize = 3;
const UNITS: u32 = 2;
/// Ticks that a word and a part hold.
const TERM: u64 = 7;
const PART: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Sent {
    BudgetRequest {
        from: ProcessId,
        to: usize,
        no: u64,
    },
    CounterReport {
        to: ProcessId,
        by: usize,
        no: u64,
    },
    GiveBack {
        from: ProcessId,
        to: usize,
        no: u64,
    },
    Ask {
        from: ProcessId,
        to: usize,
        at: u64,
        book: u64,
        holds: u64,
    },
    Lend {
        to: ProcessId,
        at: u64,
        book: u64,
        no: u64,
        units: u32,
    },
}

#[derive(Clone, Debug)]
struct Node {
    who: ProcessId,
    arbiter: Voter,
    candidate: Candidate,
    books: Option<BudgetLender>,
    purse: BudgetBorrower,
}

#[derive(Clone, Debug)]
struct State {
    now: u64,
    nodes: Vec<Node>,
    under_way: BTreeSet<Sent>,
    crashes: usize,
    lent: usize,
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}
impl Eq for State {}
impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        format!("{self:?}").hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick(u64),
    Begin(usize),
    GivesBack(usize),
    Asks(usize, usize),
    Arrives(Sent, bool),
    CrashAndReturn(usize),
}

struct Small {
    crashes: usize,
    under_way: usize,
    ticks: u64,
}

fn budget() -> Budget {
    Budget {
        name: "b".into(),
        limit: UNITS,
        floor: 0,
        nodes_most: 1,
        kind: Kind::InHand { longest: 0 },
        repeats_only: false,
    }
}

fn books(now: u64, id: u64) -> BudgetLender {
    BudgetLender::new(now, id, UNITS, PART, 0, 8)
}

fn purse(now: u64) -> BudgetBorrower {
    BudgetBorrower::new(now, budget())
}

impl Small {
    /// Node 0 lends already: all gave it their word just now, and its books are open.
    fn begun() -> State {
        let now = 100;
        let nodes = (0..NODES)
            .map(|n| {
                let who = ProcessId {
                    key: n as u64,
                    life: n as u64 + 1,
                };
                let mut arbiter = Voter::new(0, TERM);
                let lender = ProcessId { key: 0, life: 1 };
                arbiter.ask(now, lender, 1).unwrap();
                let mut candidate = Candidate::new(NODES, TERM);
                if n == 0 {
                    let no = candidate.begin(now);
                    for a in 0..NODES {
                        let _ = candidate.given(no, a);
                    }
                }
                Node {
                    who,
                    arbiter,
                    candidate,
                    books: (n == 0).then(|| books(0, 1)),
                    purse: purse(now),
                }
            })
            .collect();
        State {
            now,
            nodes,
            under_way: BTreeSet::new(),
            crashes: 0,
            lent: 0,
        }
    }
}

impl State {
    fn send(&mut self, sent: Sent) {
        self.under_way.insert(sent);
    }

    fn lends(&self, n: usize) -> bool {
        self.nodes[n].books.is_some() && self.now < self.nodes[n].candidate.until()
    }

    fn word(&mut self, n: usize, by: usize, no: u64) {
        let now = self.now;
        let node = &mut self.nodes[n];
        if node.candidate.given(no, by) && (node.books.is_none() || now >= node.candidate.until()) {
            node.books = Some(books(now, now * 10 + n as u64));
        }
    }

    fn arrives(&mut self, sent: Sent) {
        let now = self.now;
        match sent {
            Sent::BudgetRequest { from, to, no } => {
                if self.nodes[to].arbiter.ask(now, from, no).is_ok() {
                    self.send(Sent::CounterReport {
                        to: from,
                        by: to,
                        no,
                    });
                }
            }
            Sent::CounterReport { to, by, no } => {
                if let Some(n) = self.nodes.iter().position(|node| node.who == to) {
                    self.word(n, by, no);
                }
            }
            Sent::GiveBack { from, to, no } => self.nodes[to].arbiter.give_back(from, no),
            Sent::Ask {
                from,
                to,
                at,
                book,
                holds,
            } => {
                if !self.lends(to) {
                    return;
                }
                let until = self.nodes[to].candidate.until();
                let demand = Demand {
                    zone: 0,
                    wants: UNITS,
                    value: 1.0,
                };
                let Some(books) = &mut self.nodes[to].books else {
                    return;
                };
                if let Some(Lease {
                    book, no, units, ..
                }) = books.ask(now, from, (book, holds), demand, until)
                {
                    self.send(Sent::Lend {
                        to: from,
                        at,
                        book,
                        no,
                        units,
                    });
                }
            }
            Sent::Lend {
                to,
                at,
                book,
                no,
                units,
            } => {
                if let Some(node) = self.nodes.iter_mut().find(|node| node.who == to) {
                    node.purse.lend(
                        now,
                        at,
                        Lease {
                            book,
                            no,
                            units,
                            term: PART,
                            ..Lease::default()
                        },
                    );
                    self.lent += usize::from(units > 0);
                }
            }
        }
    }

    fn spendable(&self) -> u32 {
        self.nodes
            .iter()
            .map(|node| node.purse.units(self.now))
            .sum()
    }
}

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![Small::begun()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend([Action::Tick(1), Action::Tick(4)]);
        for n in 0..NODES {
            // Two of three want to lend; all borrow.
            if n < 2 && !state.lends(n) {
                actions.push(Action::Begin(n));
                if state.nodes[n].candidate.no > 0 {
                    actions.push(Action::GivesBack(n));
                }
            }
            actions.extend(
                (0..2)
                    .filter(|to| state.lends(*to))
                    .map(|to| Action::Asks(n, to)),
            );
            if n < 2 {
                actions.push(Action::CrashAndReturn(n));
            }
        }
        for sent in &state.under_way {
            actions.push(Action::Arrives(*sent, false));
            actions.push(Action::Arrives(*sent, true)); // and stays, to arrive again
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        match action {
            Action::Tick(ticks) => state.now += ticks,
            Action::Begin(n) => {
                let (no, from) = (state.nodes[n].candidate.begin(now), state.nodes[n].who);
                if state.nodes[n].arbiter.ask(now, from, no).is_ok() {
                    state.word(n, n, no);
                }
                let other = 2; // the third one has the word that decides
                state.send(Sent::BudgetRequest {
                    from,
                    to: other,
                    no,
                });
            }
            Action::GivesBack(n) => {
                let (no, from) = (state.nodes[n].candidate.no, state.nodes[n].who);
                state.nodes[n].candidate.resign();
                state.nodes[n].arbiter.give_back(from, no);
                state.send(Sent::GiveBack { from, to: 2, no });
            }
            Action::Asks(n, to) => {
                let ((book, holds), from) = (state.nodes[n].purse.holds(), state.nodes[n].who);
                let ask = Sent::Ask {
                    from,
                    to,
                    at: now,
                    book,
                    holds,
                };
                if n == to {
                    state.arrives(ask)
                } else {
                    state.send(ask)
                }
            }
            Action::Arrives(sent, stays) => {
                if !stays {
                    state.under_way.remove(&sent);
                }
                state.arrives(sent);
            }
            Action::CrashAndReturn(n) => {
                state.crashes += 1;
                let who = ProcessId {
                    key: n as u64,
                    life: 100 + now * 10 + n as u64,
                };
                let (arbiter, candidate) = (Voter::new(now, TERM), Candidate::new(NODES, TERM));
                state.nodes[n] = Node {
                    who,
                    arbiter,
                    candidate,
                    books: None,
                    purse: purse(now),
                };
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Small>> {
        vec![
            Property::always(
                "what all may spend is never over the limit",
                |_: &Small, s: &State| s.spendable() <= UNITS,
            ),
            Property::always("no two lend at once", |_: &Small, s: &State| {
                (0..NODES).filter(|&n| s.lends(n)).count() <= 1
            }),
            Property::sometimes("somebody else lends", |_: &Small, s: &State| s.lends(1)),
            Property::sometimes("all of it is lent", |_: &Small, s: &State| {
                s.spendable() == UNITS && s.lent > 1
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.under_way.len() <= self.under_way
            && state.crashes <= self.crashes
            && state.now <= 100 + self.ticks
    }
}

#[test]
fn the_limit_holds_through_every_order_of_faults() {
    let model = Small {
        crashes: 1,
        under_way: 2,
        ticks: 16,
    };
    let checker = model
        .checker()
        .threads(4)
        .target_max_depth(9)
        .spawn_bfs()
        .join();
    println!(
        "{} states, depth {}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}
