//! The rules by which a fleet agrees on a change and ends it, checked through every order of
//! messages that arrive, are late or lost (a split is no more than that), of nodes that crash and
//! return, of two that conduct at once, and of halts heard anywhere: there are no two agreements of
//! a number, so that of two halves at most one goes on; nobody runs what it did not check or what
//! it knows to be halted; and a last good version is always there. The votes, rounds and words are
//! the package's.

use madderpoint_rollout::paxos::{
    Ballot, PaxosReply, PaxosRequest, PaxosRound, Proposal, RoundStep, Vote, VoterAction, known,
};
use madderpoint_rollout::rollout::{
    Kind, Outcome, Reason, Rollout, RolloutId, RolloutTable, Version,
};
use madderpoint_rollout::stages::{Plan, Progress, Stage};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

const K: Kind = Kind::Settings;
const OLD: u64 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Sent {
    PaxosRequest {
        from: usize,
        to: usize,
        ask: PaxosRequest,
    },
    PaxosReply {
        from: usize,
        to: usize,
        say: PaxosReply,
    },
}

#[derive(Clone, Debug)]
struct Node {
    changes: RolloutTable,
    vote: Vote,
    /// What is on its disk of the last agreement that it knows.
    head: Option<Rollout>,
    /// Its round, and the arbiter that it does not reach.
    round: Option<(PaxosRound, usize)>,
    running: u64,
    good: u64,
    checked: BTreeSet<u64>,
    /// It began something that it knew to be halted.
    late: bool,
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Node>,
    under_way: BTreeSet<Sent>,
    /// What was agreed on, by number; two of a number are kept apart.
    agreed: BTreeSet<(u64, RolloutId, Progress)>,
    rounds: usize,
    halts: usize,
    crashes: usize,
    carried: bool,
}

fn words(changes: &RolloutTable) -> Vec<(RolloutId, Progress, Outcome)> {
    changes
        .iter()
        .map(|change| (change.id, change.reach.clone(), change.fate))
        .collect()
}

impl State {
    fn essence(&self) -> impl PartialEq + Hash + '_ {
        let nodes: Vec<_> = self
            .nodes
            .iter()
            .map(|n| {
                let head = n
                    .head
                    .as_ref()
                    .map(|head| (head.id, head.reach.clone(), head.fate));
                (
                    words(&n.changes),
                    &n.vote,
                    head,
                    &n.round,
                    (n.running, n.good, &n.checked, n.late),
                )
            })
            .collect();
        (
            nodes,
            &self.under_way,
            &self.agreed,
            (self.rounds, self.halts, self.crashes, self.carried),
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
    /// It begins a round for a change; one arbiter it does not reach.
    Begins(usize, RolloutId, usize),
    Arrives(Sent),
    Tells(usize, usize),
    Halts(usize),
    CrashAndReturn(usize),
    Runs(usize),
    GoesBack(usize),
}

/// A small fleet: so many nodes, of which the first three are arbiters, and what may happen to it
/// how often.
struct Small {
    nodes: usize,
    changes: u64,
    rounds: usize,
    halts: usize,
    crashes: usize,
    /// Who may conduct.
    conduct: Vec<usize>,
    /// Whether nodes run what is agreed on, or it is looked at agreements alone.
    run: bool,
    /// Messages that are under way at once.
    at_once: usize,
    /// The node that does not check what it is given.
    unfit: Option<usize>,
}

const ARBITERS: usize = 3;

impl Default for Small {
    fn default() -> Small {
        let conduct = vec![0, 1];
        Small {
            nodes: 3,
            changes: 1,
            rounds: 2,
            halts: 0,
            crashes: 0,
            conduct,
            run: true,
            at_once: 4,
            unfit: None,
        }
    }
}

impl Small {
    fn change(&self, id: u64) -> Rollout {
        let stage = Stage {
            share: 0,
            ..Plan::default().stages[0]
        };
        let stages = vec![
            stage,
            Stage {
                share: 1000,
                ..stage
            },
        ];
        Rollout {
            id: RolloutId(id),
            kind: K,
            version: Version {
                number: OLD + id,
                hash: id,
            },
            base: Version {
                number: OLD,
                hash: 0,
            },
            digest: [0; 32],
            bytes: 0,
            by: 0,
            at_ms: id,
            plan: Plan {
                stages,
                ..Plan::default()
            },
            reach: Progress::default(),
            fate: Outcome::InProgress,
            reason: Reason::default(),
        }
    }

    /// What a node may do by what it knows.
    fn wants(&self, node: &Node, n: usize) -> Option<(Outcome, u64, bool)> {
        let change = node.changes.under_way(K).or_else(|| {
            let over = node.changes.iter().filter(|change| change.reach.seq > 0);
            over.max_by_key(|change| change.reach.seq)
        })?;
        Some((
            change.fate,
            change.version.number,
            change.wants(n as u64 + 1, 0)?,
        ))
    }

    fn write(node: &mut Node) {
        node.head = node.changes.head(K).cloned();
    }
}

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut changes = RolloutTable::default();
        (1..=self.changes).for_each(|id| _ = changes.hear(&self.change(id)));
        let node = |n: usize| Node {
            changes: changes.clone(),
            vote: Vote::default(),
            head: None,
            round: None,
            running: OLD,
            good: OLD,
            checked: match self.unfit == Some(n) {
                true => BTreeSet::from([OLD]),
                false => (OLD..=OLD + self.changes).collect(),
            },
            late: false,
        };
        vec![State {
            nodes: (0..self.nodes).map(node).collect(),
            under_way: BTreeSet::new(),
            agreed: BTreeSet::new(),
            rounds: 0,
            halts: 0,
            crashes: 0,
            carried: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.rounds < self.rounds {
            for n in &self.conduct {
                let node = &state.nodes[*n];
                let under_way = node.changes.under_way(K).map(|change| change.id);
                // Whoever conducts has its own order here: any is as good.
                let open = node
                    .changes
                    .iter()
                    .filter(|c| c.fate == Outcome::InProgress && c.reach.seq == 0);
                let all: Vec<RolloutId> = match under_way {
                    Some(id) => vec![id],
                    None => open.map(|change| change.id).collect(),
                };
                for id in all {
                    actions.extend((0..ARBITERS).map(|not| Action::Begins(*n, id, not)));
                }
            }
        }
        actions.extend(state.under_way.iter().cloned().map(Action::Arrives));
        for (n, node) in state.nodes.iter().enumerate() {
            for (m, other) in state.nodes.iter().enumerate() {
                if words(&node.changes) != words(&other.changes) {
                    actions.push(Action::Tells(n, m));
                }
            }
            if state.halts < self.halts && node.changes.under_way(K).is_some() {
                actions.push(Action::Halts(n));
            }
            if state.crashes < self.crashes {
                actions.push(Action::CrashAndReturn(n));
            }
            match self.wants(node, n).filter(|_| self.run) {
                Some((_, version, true)) if node.running != version => {
                    actions.push(Action::Runs(n))
                }
                Some((Outcome::RolledBack, version, false)) if node.running == version => {
                    actions.push(Action::GoesBack(n))
                }
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Begins(n, id, not) => {
                state.rounds += 1;
                let node = &mut state.nodes[n];
                let change = node.changes.get(id)?.clone();
                let (seq, stage) = (known(&node.changes, K) + 1, change.reach.stage + 1);
                // What is wished for differs by who wishes it: they see other fleets.
                let until = BTreeMap::from([(0, u64::MAX / 8 * (n as u64 + 4))]);
                let all = change
                    .plan
                    .stage(stage)
                    .is_none_or(|stage| stage.share == 1000);
                let reach = Progress {
                    seq,
                    stage,
                    until,
                    all,
                    ..Progress::default()
                };
                let ballot = Ballot {
                    round: state.rounds as u64,
                    by: n as u64,
                };
                let (round, ask) =
                    PaxosRound::begin(0, ballot, Proposal { change: id, reach }, ARBITERS);
                node.round = Some((round, not));
                let reached = (0..ARBITERS).filter(|to| *to != not);
                reached.for_each(|to| {
                    _ = state.under_way.insert(Sent::PaxosRequest {
                        from: n,
                        to,
                        ask: ask.clone(),
                    })
                });
            }
            Action::Arrives(sent) => {
                state.under_way.remove(&sent);
                match sent {
                    Sent::PaxosRequest { from, to, ask } => {
                        let node = &mut state.nodes[to];
                        let say = match node.vote.asked(&node.changes, K, &ask) {
                            VoterAction::PaxosReply(say) => say,
                            VoterAction::Write(vote, say) => {
                                node.vote = vote;
                                Small::write(node);
                                say
                            }
                            VoterAction::Behind | VoterAction::Ahead => return Some(state),
                        };
                        state.under_way.insert(Sent::PaxosReply {
                            from: to,
                            to: from,
                            say,
                        });
                    }
                    Sent::PaxosReply { from, to, say } => {
                        let node = &mut state.nodes[to];
                        let (round, not) = node.round.as_mut()?;
                        let not = *not;
                        match round.said(from as u64, &say) {
                            RoundStep::Wait => {}
                            RoundStep::PaxosRequest(ask) => {
                                state.carried |=
                                    matches!(&ask, PaxosRequest::Accept { again: true, .. });
                                let reached = (0..ARBITERS).filter(|at| *at != not);
                                let asks = reached.map(|at| Sent::PaxosRequest {
                                    from: to,
                                    to: at,
                                    ask: ask.clone(),
                                });
                                state.under_way.extend(asks);
                            }
                            RoundStep::Agreed(Proposal { change, reach }) => {
                                node.round = None;
                                node.changes.advance(change, &reach);
                                state.agreed.insert((reach.seq, change, reach));
                            }
                            RoundStep::GiveUp(_) => node.round = None,
                        }
                    }
                }
            }
            Action::Tells(n, m) => {
                let said: Vec<Rollout> = state.nodes[n].changes.iter().cloned().collect();
                said.iter()
                    .for_each(|change| _ = state.nodes[m].changes.hear(change));
            }
            Action::Halts(n) => {
                state.halts += 1;
                let id = state.nodes[n].changes.under_way(K)?.id;
                let fate = if state.halts == 1 {
                    Outcome::Halted
                } else {
                    Outcome::RolledBack
                };
                state.nodes[n]
                    .changes
                    .end(id, fate, Reason::new(n as u64, n as u64, ""));
            }
            Action::CrashAndReturn(n) => {
                state.crashes += 1;
                let node = &mut state.nodes[n];
                (node.round, node.running) = (None, node.good);
                // What was offered and had not begun is offered again by the others; what was
                // agreed on is on the disk.
                let mut changes = RolloutTable::default();
                (1..=self.changes).for_each(|id| _ = changes.hear(&self.change(id)));
                node.head.iter().for_each(|head| _ = changes.hear(head));
                node.changes = changes;
            }
            Action::Runs(n) => {
                let (fate, version, _) = self.wants(&state.nodes[n], n)?;
                let node = &mut state.nodes[n];
                if !node.checked.contains(&version) {
                    return None;
                }
                node.late |= fate > Outcome::Completed;
                Small::write(node);
                node.running = version;
                if fate == Outcome::Completed {
                    node.good = version;
                }
            }
            Action::GoesBack(n) => {
                let node = &mut state.nodes[n];
                node.good = if node.good == node.running {
                    OLD
                } else {
                    node.good
                };
                node.running = node.good;
                Small::write(node);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Small>> {
        vec![
            Property::always(
                "there are no two agreements of a number",
                |_: &Small, s: &State| {
                    let known = s
                        .nodes
                        .iter()
                        .flat_map(|node| node.changes.iter())
                        .filter(|c| c.reach.seq > 0);
                    let known =
                        known.map(|change| (change.reach.seq, change.id, change.reach.clone()));
                    let all: BTreeSet<_> = s.agreed.iter().cloned().chain(known).collect();
                    let numbers: BTreeSet<u64> = all.iter().map(|(seq, ..)| *seq).collect();
                    all.len() == numbers.len()
                },
            ),
            Property::always(
                "nobody runs what no agreement gives it",
                |_: &Small, s: &State| {
                    s.nodes.iter().enumerate().all(|(n, node)| {
                        let mine = |(_, id, reach): &&(u64, RolloutId, Progress)| {
                            OLD + id.0 == node.running && reach.has(*id, n as u64 + 1, 0)
                        };
                        node.running == OLD || s.agreed.iter().any(|of| mine(&of))
                    })
                },
            ),
            Property::always(
                "nobody runs what it did not check",
                |_: &Small, s: &State| {
                    s.nodes
                        .iter()
                        .all(|node| node.checked.contains(&node.running))
                },
            ),
            Property::always(
                "nobody begins what it knows to be halted",
                |_: &Small, s: &State| s.nodes.iter().all(|node| !node.late),
            ),
            Property::always(
                "a last good version is there, and was checked",
                |_: &Small, s: &State| {
                    s.nodes
                        .iter()
                        .all(|node| node.good >= OLD && node.checked.contains(&node.good))
                },
            ),
            Property::sometimes("two stages are agreed on", |_: &Small, s: &State| {
                s.agreed.len() > 1
            }),
            Property::sometimes(
                "one carries through what another began",
                |_: &Small, s: &State| s.carried && !s.agreed.is_empty(),
            ),
            Property::sometimes("a node runs the new one", |model: &Small, s: &State| {
                !model.run || s.nodes.iter().any(|node| node.running > OLD)
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        // What never arrives is lost; so many at once are enough for all of one round to meet all
        // of another.
        state.under_way.len() <= self.at_once
    }
}

fn check(model: Small) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

/// Two who conduct at once, in three rounds.
#[test]
fn two_conduct_at_once() {
    let small = Small {
        rounds: 3,
        at_once: 3,
        run: false,
        ..Small::default()
    };
    check(small);
}

/// One of them crashes, at any step, and returns.
#[test]
fn one_of_two_that_conduct_crashes() {
    check(Small {
        crashes: 1,
        ..Small::default()
    });
}

/// A halt and a step back heard at any of four nodes, one of which can't run the new version.
#[test]
fn halts_are_heard_anywhere() {
    check(Small {
        nodes: 4,
        halts: 2,
        unfit: Some(3),
        ..Small::default()
    });
}

/// Two changes, each begun by another node.
#[test]
fn two_changes_begin_at_once() {
    check(Small {
        changes: 2,
        halts: 1,
        crashes: 1,
        conduct: vec![0, 2],
        ..Small::default()
    });
}
