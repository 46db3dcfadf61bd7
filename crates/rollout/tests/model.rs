//! The rules by which a fleet agrees on a rollout and ends it, checked through every order of
//! messages that arrive, are late or lost (a split is no more than that), of nodes that crash and
//! return, of two that conduct at once, and of halts heard anywhere: there are no two agreements of
//! a number, so that of two halves at most one goes on; nobody runs what it did not check or what
//! it knows to be halted; and a last good version is always there. The votes, rounds and words are
//! the package's.

use madderpoint_rollout::identifiers::{Kind, RolloutId, Version};
use madderpoint_rollout::paxos::{
    Ballot, PaxosReply, PaxosRequest, PaxosRound, Proposal, RoundStep, Vote, VoterAction,
    last_agreement,
};
use madderpoint_rollout::rollout::{Assignment, Outcome, Reason, Rollout};
use madderpoint_rollout::rollout_table::RolloutTable;
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
        request: PaxosRequest,
    },
    PaxosReply {
        from: usize,
        to: usize,
        reply: PaxosReply,
    },
}

#[derive(Clone, Debug)]
struct Node {
    rollouts: RolloutTable,
    vote: Vote,
    /// What is on its disk of the last agreement that it knows.
    head: Option<Rollout>,
    /// Its round, and the voter that it does not progress.
    round: Option<(PaxosRound, usize)>,
    running: u64,
    promoted: u64,
    checked: BTreeSet<u64>,
    /// It began something that it knew to be halted.
    late: bool,
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Node>,
    in_progress: BTreeSet<Sent>,
    /// What was agreed on, by number; two of a number are kept apart.
    agreed: BTreeSet<(u64, RolloutId, Progress)>,
    rounds: usize,
    halts: usize,
    crashes: usize,
    carried: bool,
}

fn words(rollouts: &RolloutTable) -> Vec<(RolloutId, Progress, Outcome)> {
    rollouts
        .iter()
        .map(|rollout| (rollout.id, rollout.progress.clone(), rollout.outcome))
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
                    .map(|head| (head.id, head.progress.clone(), head.outcome));
                (
                    words(&n.rollouts),
                    &n.vote,
                    head,
                    &n.round,
                    (n.running, n.promoted, &n.checked, n.late),
                )
            })
            .collect();
        (
            nodes,
            &self.in_progress,
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
    /// It begins a round for a rollout; one voter it does not progress.
    Begins(usize, RolloutId, usize),
    Arrives(Sent),
    Tells(usize, usize),
    Halts(usize),
    CrashAndReturn(usize),
    Runs(usize),
    GoesBack(usize),
}

/// A small fleet: so many nodes, of which the first three are voters, and what may happen to it
/// how often.
struct Small {
    nodes: usize,
    rollouts: u64,
    rounds: usize,
    halts: usize,
    crashes: usize,
    /// Who may conduct.
    coordinator: Vec<usize>,
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
        let coordinator = vec![0, 1];
        Small {
            nodes: 3,
            rollouts: 1,
            rounds: 2,
            halts: 0,
            crashes: 0,
            coordinator,
            run: true,
            at_once: 4,
            unfit: None,
        }
    }
}

impl Small {
    fn rollout(&self, id: u64) -> Rollout {
        let stage = Stage {
            share_permille: 0,
            ..Plan::default().stages[0]
        };
        let stages = vec![
            stage,
            Stage {
                share_permille: 1000,
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
            progress: Progress::default(),
            outcome: Outcome::InProgress,
            reason: Reason::default(),
        }
    }

    /// What a node may do by what it knows.
    fn assignment(&self, node: &Node, n: usize) -> Option<(Outcome, u64, bool)> {
        let rollout = node.rollouts.in_progress(K).or_else(|| {
            let over = node
                .rollouts
                .iter()
                .filter(|rollout| rollout.progress.agreement > 0);
            over.max_by_key(|rollout| rollout.progress.agreement)
        })?;
        let is_new = match rollout.assignment(n as u64 + 1, 0) {
            Assignment::NewVersion => true,
            Assignment::BaseVersion => false,
            Assignment::Unchanged => return None,
        };
        Some((rollout.outcome, rollout.version.number, is_new))
    }

    fn write(node: &mut Node) {
        node.head = node.rollouts.head(K).cloned();
    }
}

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut rollouts = RolloutTable::default();
        (1..=self.rollouts).for_each(|id| _ = rollouts.merge(&self.rollout(id)));
        let node = |n: usize| Node {
            rollouts: rollouts.clone(),
            vote: Vote::default(),
            head: None,
            round: None,
            running: OLD,
            promoted: OLD,
            checked: match self.unfit == Some(n) {
                true => BTreeSet::from([OLD]),
                false => (OLD..=OLD + self.rollouts).collect(),
            },
            late: false,
        };
        vec![State {
            nodes: (0..self.nodes).map(node).collect(),
            in_progress: BTreeSet::new(),
            agreed: BTreeSet::new(),
            rounds: 0,
            halts: 0,
            crashes: 0,
            carried: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.rounds < self.rounds {
            for n in &self.coordinator {
                let node = &state.nodes[*n];
                let in_progress = node.rollouts.in_progress(K).map(|rollout| rollout.id);
                // Whoever conducts has its own order here: any is as good.
                let open = node
                    .rollouts
                    .iter()
                    .filter(|c| c.outcome == Outcome::InProgress && c.progress.agreement == 0);
                let all: Vec<RolloutId> = match in_progress {
                    Some(id) => vec![id],
                    None => open.map(|rollout| rollout.id).collect(),
                };
                for id in all {
                    actions.extend((0..ARBITERS).map(|not| Action::Begins(*n, id, not)));
                }
            }
        }
        actions.extend(state.in_progress.iter().cloned().map(Action::Arrives));
        for (n, node) in state.nodes.iter().enumerate() {
            for (m, other) in state.nodes.iter().enumerate() {
                if words(&node.rollouts) != words(&other.rollouts) {
                    actions.push(Action::Tells(n, m));
                }
            }
            if state.halts < self.halts && node.rollouts.in_progress(K).is_some() {
                actions.push(Action::Halts(n));
            }
            if state.crashes < self.crashes {
                actions.push(Action::CrashAndReturn(n));
            }
            match self.assignment(node, n).filter(|_| self.run) {
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
                let rollout = node.rollouts.get(id)?.clone();
                let (agreement, stage) = (
                    last_agreement(&node.rollouts, K) + 1,
                    rollout.progress.stage + 1,
                );
                // What is wished for differs by who wishes it: they see other fleets.
                let thresholds = BTreeMap::from([(0, u64::MAX / 8 * (n as u64 + 4))]);
                let all = rollout
                    .plan
                    .stage(stage)
                    .is_none_or(|stage| stage.share_permille == 1000);
                let progress = Progress {
                    agreement,
                    stage,
                    thresholds,
                    whole_cluster: all,
                    ..Progress::default()
                };
                let ballot = Ballot {
                    round: state.rounds as u64,
                    by: n as u64,
                };
                let (round, request) = PaxosRound::begin(
                    0,
                    ballot,
                    Proposal {
                        rollout: id,
                        progress,
                    },
                    ARBITERS,
                );
                node.round = Some((round, not));
                let record_progress = (0..ARBITERS).filter(|to| *to != not);
                record_progress.for_each(|to| {
                    _ = state.in_progress.insert(Sent::PaxosRequest {
                        from: n,
                        to,
                        request: request.clone(),
                    })
                });
            }
            Action::Arrives(sent) => {
                state.in_progress.remove(&sent);
                match sent {
                    Sent::PaxosRequest { from, to, request } => {
                        let node = &mut state.nodes[to];
                        let reply = match node.vote.handle_request(&node.rollouts, K, &request) {
                            VoterAction::Reply(reply) => reply,
                            VoterAction::Persist(vote, reply) => {
                                node.vote = vote;
                                Small::write(node);
                                reply
                            }
                            VoterAction::Behind | VoterAction::Ahead => return Some(state),
                        };
                        state.in_progress.insert(Sent::PaxosReply {
                            from: to,
                            to: from,
                            reply,
                        });
                    }
                    Sent::PaxosReply { from, to, reply } => {
                        let node = &mut state.nodes[to];
                        let (round, not) = node.round.as_mut()?;
                        let not = *not;
                        match round.handle_reply(from as u64, &reply) {
                            RoundStep::Wait => {}
                            RoundStep::Request(request) => {
                                state.carried |=
                                    matches!(&request, PaxosRequest::Accept { again: true, .. });
                                let record_progress = (0..ARBITERS).filter(|at| *at != not);
                                let asks = record_progress.map(|at| Sent::PaxosRequest {
                                    from: to,
                                    to: at,
                                    request: request.clone(),
                                });
                                state.in_progress.extend(asks);
                            }
                            RoundStep::Agreed(Proposal { rollout, progress }) => {
                                node.round = None;
                                node.rollouts.advance(rollout, &progress);
                                state.agreed.insert((progress.agreement, rollout, progress));
                            }
                            RoundStep::GiveUp(_) => node.round = None,
                        }
                    }
                }
            }
            Action::Tells(n, m) => {
                let received: Vec<Rollout> = state.nodes[n].rollouts.iter().cloned().collect();
                received
                    .iter()
                    .for_each(|rollout| _ = state.nodes[m].rollouts.merge(rollout));
            }
            Action::Halts(n) => {
                state.halts += 1;
                let id = state.nodes[n].rollouts.in_progress(K)?.id;
                let outcome = if state.halts == 1 {
                    Outcome::Halted
                } else {
                    Outcome::RolledBack
                };
                state.nodes[n]
                    .rollouts
                    .end(id, outcome, Reason::new(n as u64, n as u64, ""));
            }
            Action::CrashAndReturn(n) => {
                state.crashes += 1;
                let node = &mut state.nodes[n];
                (node.round, node.running) = (None, node.promoted);
                // What was offered and had not begun is offered again by the others; what was
                // agreed on is on the disk.
                let mut rollouts = RolloutTable::default();
                (1..=self.rollouts).for_each(|id| _ = rollouts.merge(&self.rollout(id)));
                node.head.iter().for_each(|head| _ = rollouts.merge(head));
                node.rollouts = rollouts;
            }
            Action::Runs(n) => {
                let (outcome, version, _) = self.assignment(&state.nodes[n], n)?;
                let node = &mut state.nodes[n];
                if !node.checked.contains(&version) {
                    return None;
                }
                node.late |= outcome > Outcome::Completed;
                Small::write(node);
                node.running = version;
                if outcome == Outcome::Completed {
                    node.promoted = version;
                }
            }
            Action::GoesBack(n) => {
                let node = &mut state.nodes[n];
                node.promoted = if node.promoted == node.running {
                    OLD
                } else {
                    node.promoted
                };
                node.running = node.promoted;
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
                        .flat_map(|node| node.rollouts.iter())
                        .filter(|c| c.progress.agreement > 0);
                    let known = known.map(|rollout| {
                        (
                            rollout.progress.agreement,
                            rollout.id,
                            rollout.progress.clone(),
                        )
                    });
                    let all: BTreeSet<_> = s.agreed.iter().cloned().chain(known).collect();
                    let numbers: BTreeSet<u64> =
                        all.iter().map(|(agreement, ..)| *agreement).collect();
                    all.len() == numbers.len()
                },
            ),
            Property::always(
                "nobody runs what no agreement gives it",
                |_: &Small, s: &State| {
                    s.nodes.iter().enumerate().all(|(n, node)| {
                        let mine = |(_, id, progress): &&(u64, RolloutId, Progress)| {
                            OLD + id.0 == node.running && progress.includes(*id, n as u64 + 1, 0)
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
                        .all(|node| node.promoted >= OLD && node.checked.contains(&node.promoted))
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
        state.in_progress.len() <= self.at_once
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

/// Two rollouts, each begun by another node.
#[test]
fn two_changes_begin_at_once() {
    check(Small {
        rollouts: 2,
        halts: 1,
        crashes: 1,
        coordinator: vec![0, 2],
        ..Small::default()
    });
}
