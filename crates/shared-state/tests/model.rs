//! Model check of leadership and leases with the state machines of this package. Explores every
//! order of delayed, duplicated and lost messages, ticks, a crash with a restart, and suspended
//! nodes (nodes without an action for some ticks). The units that all nodes may use together never
//! exceed the limit. Clock drift is not modelled here; `budgets.rs` simulates it.

use madderpoint_shared_state::budget::lender::BudgetLender;
use madderpoint_shared_state::leader_lease::{Candidate, Voter};
use madderpoint_shared_state::{
    Budget, BudgetBorrower, BudgetKind, Demand, Lease, LeaseId, ProcessId,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const NODES: usize = 3;
const UNITS: u32 = 2;
/// Duration of a vote, in ticks.
const LEADER_LEASE: u64 = 7;
/// Duration of a lease, in ticks.
const LEASE_DURATION: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    VoteRequest {
        from: ProcessId,
        to: usize,
        round: u64,
    },
    Vote {
        to: ProcessId,
        by: usize,
        round: u64,
    },
    VoteRelease {
        from: ProcessId,
        to: usize,
        round: u64,
    },
    LeaseRequest {
        from: ProcessId,
        to: usize,
        at: u64,
        held: LeaseId,
    },
    LeaseGrant {
        to: ProcessId,
        at: u64,
        id: LeaseId,
        units: u32,
    },
}

#[derive(Clone, Debug)]
struct Node {
    process: ProcessId,
    voter: Voter,
    candidate: Candidate,
    lender: Option<BudgetLender>,
    borrower: BudgetBorrower,
}

#[derive(Clone, Debug)]
struct State {
    now: u64,
    nodes: Vec<Node>,
    in_flight: BTreeSet<Message>,
    crashes: usize,
    grants: usize,
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
    BeginRound(usize),
    ReleaseVotes(usize),
    RequestLease(usize, usize),
    Deliver(Message, bool),
    CrashAndRestart(usize),
}

struct LeaseModel {
    crashes: usize,
    in_flight: usize,
    ticks: u64,
}

fn budget() -> Budget {
    Budget {
        name: "b".into(),
        limit: UNITS,
        floor: 0,
        max_nodes: 1,
        kind: BudgetKind::InFlight { max_call_time: 0 },
        retries_only: false,
    }
}

fn lender(now: u64, id: u64) -> BudgetLender {
    BudgetLender::new(now, id, UNITS, LEASE_DURATION, 0, 8)
}

fn borrower(now: u64) -> BudgetBorrower {
    BudgetBorrower::new(now, budget())
}

impl LeaseModel {
    /// Returns the initial state: node 0 is the leader, all voters have just voted for it, and its
    /// lender may grant leases.
    fn initial() -> State {
        let now = 100;
        let nodes = (0..NODES)
            .map(|n| {
                let process = ProcessId {
                    key: n as u64,
                    incarnation: n as u64 + 1,
                };
                let mut voter = Voter::new(0, LEADER_LEASE);
                let leader = ProcessId {
                    key: 0,
                    incarnation: 1,
                };
                voter.request(now, leader, 1).unwrap();
                let mut candidate = Candidate::new(NODES, LEADER_LEASE);
                if n == 0 {
                    let round = candidate.begin_round(now);
                    for a in 0..NODES {
                        let _ = candidate.receive_vote(round, a);
                    }
                }
                Node {
                    process,
                    voter,
                    candidate,
                    lender: (n == 0).then(|| lender(0, 1)),
                    borrower: borrower(now),
                }
            })
            .collect();
        State {
            now,
            nodes,
            in_flight: BTreeSet::new(),
            crashes: 0,
            grants: 0,
        }
    }
}

impl State {
    fn send(&mut self, message: Message) {
        self.in_flight.insert(message);
    }

    fn is_leader(&self, n: usize) -> bool {
        self.nodes[n].lender.is_some() && self.now < self.nodes[n].candidate.leader_until()
    }

    fn receive_vote(&mut self, n: usize, by: usize, round: u64) {
        let now = self.now;
        let node = &mut self.nodes[n];
        if node.candidate.receive_vote(round, by)
            && (node.lender.is_none() || now >= node.candidate.leader_until())
        {
            node.lender = Some(lender(now, now * 10 + n as u64));
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::VoteRequest { from, to, round } => {
                if self.nodes[to].voter.request(now, from, round).is_ok() {
                    self.send(Message::Vote {
                        to: from,
                        by: to,
                        round,
                    });
                }
            }
            Message::Vote { to, by, round } => {
                if let Some(n) = self.nodes.iter().position(|node| node.process == to) {
                    self.receive_vote(n, by, round);
                }
            }
            Message::VoteRelease { from, to, round } => self.nodes[to].voter.release(from, round),
            Message::LeaseRequest { from, to, at, held } => {
                if !self.is_leader(to) {
                    return;
                }
                let until = self.nodes[to].candidate.leader_until();
                let demand = Demand {
                    zone: 0,
                    units: UNITS,
                    value: 1.0,
                };
                let Some(lender) = &mut self.nodes[to].lender else {
                    return;
                };
                if let Some(Lease { id, units, .. }) =
                    lender.request(now, from, held, demand, until)
                {
                    self.send(Message::LeaseGrant {
                        to: from,
                        at,
                        id,
                        units,
                    });
                }
            }
            Message::LeaseGrant { to, at, id, units } => {
                if let Some(node) = self.nodes.iter_mut().find(|node| node.process == to) {
                    node.borrower.receive_lease(
                        now,
                        at,
                        Lease {
                            id,
                            units,
                            duration: LEASE_DURATION,
                            ..Lease::default()
                        },
                    );
                    self.grants += usize::from(units > 0);
                }
            }
        }
    }

    fn usable_units(&self) -> u32 {
        self.nodes
            .iter()
            .map(|node| node.borrower.units(self.now))
            .sum()
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![LeaseModel::initial()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend([Action::Tick(1), Action::Tick(4)]);
        for n in 0..NODES {
            // Nodes 0 and 1 are candidates; all three nodes are borrowers.
            if n < 2 && !state.is_leader(n) {
                actions.push(Action::BeginRound(n));
                if state.nodes[n].candidate.round > 0 {
                    actions.push(Action::ReleaseVotes(n));
                }
            }
            actions.extend(
                (0..2)
                    .filter(|to| state.is_leader(*to))
                    .map(|to| Action::RequestLease(n, to)),
            );
            if n < 2 {
                actions.push(Action::CrashAndRestart(n));
            }
        }
        for message in &state.in_flight {
            actions.push(Action::Deliver(*message, false));
            actions.push(Action::Deliver(*message, true)); // a copy remains and may arrive again
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        match action {
            Action::Tick(ticks) => state.now += ticks,
            Action::BeginRound(n) => {
                let (round, from) = (
                    state.nodes[n].candidate.begin_round(now),
                    state.nodes[n].process,
                );
                if state.nodes[n].voter.request(now, from, round).is_ok() {
                    state.receive_vote(n, n, round);
                }
                let other = 2; // node 2 has the deciding vote
                state.send(Message::VoteRequest {
                    from,
                    to: other,
                    round,
                });
            }
            Action::ReleaseVotes(n) => {
                let (round, from) = (state.nodes[n].candidate.round, state.nodes[n].process);
                state.nodes[n].candidate.resign();
                state.nodes[n].voter.release(from, round);
                state.send(Message::VoteRelease { from, to: 2, round });
            }
            Action::RequestLease(n, to) => {
                let (held, from) = (state.nodes[n].borrower.held_lease(), state.nodes[n].process);
                let request = Message::LeaseRequest {
                    from,
                    to,
                    at: now,
                    held,
                };
                if n == to {
                    state.deliver(request)
                } else {
                    state.send(request)
                }
            }
            Action::Deliver(message, is_duplicated) => {
                if !is_duplicated {
                    state.in_flight.remove(&message);
                }
                state.deliver(message);
            }
            Action::CrashAndRestart(n) => {
                state.crashes += 1;
                let process = ProcessId {
                    key: n as u64,
                    incarnation: 100 + now * 10 + n as u64,
                };
                let (voter, candidate) = (
                    Voter::new(now, LEADER_LEASE),
                    Candidate::new(NODES, LEADER_LEASE),
                );
                state.nodes[n] = Node {
                    process,
                    voter,
                    candidate,
                    lender: None,
                    borrower: borrower(now),
                };
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<LeaseModel>> {
        vec![
            Property::always(
                "the usable units of all nodes never exceed the limit",
                |_: &LeaseModel, s: &State| s.usable_units() <= UNITS,
            ),
            Property::always(
                "there is at most one leader",
                |_: &LeaseModel, s: &State| (0..NODES).filter(|&n| s.is_leader(n)).count() <= 1,
            ),
            Property::sometimes(
                "another node becomes the leader",
                |_: &LeaseModel, s: &State| s.is_leader(1),
            ),
            Property::sometimes("all units are leased", |_: &LeaseModel, s: &State| {
                s.usable_units() == UNITS && s.grants > 1
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.in_flight.len() <= self.in_flight
            && state.crashes <= self.crashes
            && state.now <= 100 + self.ticks
    }
}

#[test]
fn the_limit_holds_in_every_order_of_faults() {
    let model = LeaseModel {
        crashes: 1,
        in_flight: 2,
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
