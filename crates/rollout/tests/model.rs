//! Model check of the rules by which a cluster agrees on a rollout and ends it. The model covers
//! every order of messages that arrive, are late or are lost (a split is a loss of messages),
//! crashes and restarts of nodes, two concurrent coordinators, and halts at any node. Checked
//! properties: no two agreements have the same number, so that at most one side of a split
//! advances; no node runs a version that it has not checked, or starts a version whose rollout it
//! knows to be halted; every node always has a promoted version. Votes, rounds and rollout tables
//! are those of the package.

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

const KIND: Kind = Kind::Settings;
const BASE: u64 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Envelope {
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
    /// Last known agreement as persisted on disk.
    head: Option<Rollout>,
    /// Round of this coordinator, and the voter that its requests do not reach.
    round: Option<(PaxosRound, usize)>,
    running: u64,
    promoted: u64,
    checked: BTreeSet<u64>,
    /// True once the node started a version whose rollout it knew to be halted.
    started_halted: bool,
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Node>,
    in_flight: BTreeSet<Envelope>,
    /// Agreements by number; two different agreements with the same number are both kept.
    agreed: BTreeSet<(u64, RolloutId, Progress)>,
    rounds: usize,
    operator_ends: usize,
    crashes: usize,
    completed_other: bool,
}

fn rollout_states(rollouts: &RolloutTable) -> Vec<(RolloutId, Progress, Outcome)> {
    rollouts
        .iter()
        .map(|rollout| (rollout.id, rollout.progress.clone(), rollout.outcome))
        .collect()
}

impl State {
    fn comparable(&self) -> impl PartialEq + Hash + '_ {
        let nodes: Vec<_> = self
            .nodes
            .iter()
            .map(|n| {
                let head = n
                    .head
                    .as_ref()
                    .map(|head| (head.id, head.progress.clone(), head.outcome));
                (
                    rollout_states(&n.rollouts),
                    &n.vote,
                    head,
                    &n.round,
                    (n.running, n.promoted, &n.checked, n.started_halted),
                )
            })
            .collect();
        (
            nodes,
            &self.in_flight,
            &self.agreed,
            (
                self.rounds,
                self.operator_ends,
                self.crashes,
                self.completed_other,
            ),
        )
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.comparable() == other.comparable()
    }
}
impl Eq for State {}
impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.comparable().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    /// A node begins a round for a rollout; its requests do not reach the last voter.
    BeginRound(usize, RolloutId, usize),
    Deliver(Envelope),
    ShareRollouts(usize, usize),
    End(usize),
    CrashAndRestart(usize),
    Run(usize),
    RollBack(usize),
}

/// A small cluster, whose first three nodes are voters, and bounds on the events in it.
struct ClusterModel {
    nodes: usize,
    rollouts: u64,
    rounds: usize,
    operator_ends: usize,
    crashes: usize,
    /// Nodes that may act as coordinator.
    coordinators: Vec<usize>,
    /// True if nodes run agreed versions; false if only agreements are modelled.
    run_versions: bool,
    /// Maximum number of messages in flight.
    max_in_flight: usize,
    /// Node whose check rejects all new versions.
    rejecting_node: Option<usize>,
}

const VOTERS: usize = 3;

impl Default for ClusterModel {
    fn default() -> ClusterModel {
        let coordinators = vec![0, 1];
        ClusterModel {
            nodes: 3,
            rollouts: 1,
            rounds: 2,
            operator_ends: 0,
            crashes: 0,
            coordinators,
            run_versions: true,
            max_in_flight: 4,
            rejecting_node: None,
        }
    }
}

impl ClusterModel {
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
            kind: KIND,
            version: Version {
                number: BASE + id,
                hash: id,
            },
            base: Version {
                number: BASE,
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

    /// Returns the outcome and version of the rollout that determines what a node runs, and whether
    /// the node is to run that version.
    fn assignment(&self, node: &Node, n: usize) -> Option<(Outcome, u64, bool)> {
        let rollout = node.rollouts.in_progress(KIND).or_else(|| {
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

    fn persist_head(node: &mut Node) {
        node.head = node.rollouts.head(KIND).cloned();
    }
}

impl Model for ClusterModel {
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
            running: BASE,
            promoted: BASE,
            checked: match self.rejecting_node == Some(n) {
                true => BTreeSet::from([BASE]),
                false => (BASE..=BASE + self.rollouts).collect(),
            },
            started_halted: false,
        };
        vec![State {
            nodes: (0..self.nodes).map(node).collect(),
            in_flight: BTreeSet::new(),
            agreed: BTreeSet::new(),
            rounds: 0,
            operator_ends: 0,
            crashes: 0,
            completed_other: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.rounds < self.rounds {
            for n in &self.coordinators {
                let node = &state.nodes[*n];
                let in_progress = node.rollouts.in_progress(KIND).map(|rollout| rollout.id);
                // The order in which a coordinator takes rollouts does not matter here, so all are
                // tried.
                let open = node
                    .rollouts
                    .iter()
                    .filter(|c| c.outcome == Outcome::InProgress && c.progress.agreement == 0);
                let all: Vec<RolloutId> = match in_progress {
                    Some(id) => vec![id],
                    None => open.map(|rollout| rollout.id).collect(),
                };
                for id in all {
                    actions.extend(
                        (0..VOTERS).map(|unreachable| Action::BeginRound(*n, id, unreachable)),
                    );
                }
            }
        }
        actions.extend(state.in_flight.iter().cloned().map(Action::Deliver));
        for (n, node) in state.nodes.iter().enumerate() {
            for (m, other) in state.nodes.iter().enumerate() {
                if rollout_states(&node.rollouts) != rollout_states(&other.rollouts) {
                    actions.push(Action::ShareRollouts(n, m));
                }
            }
            if state.operator_ends < self.operator_ends && node.rollouts.in_progress(KIND).is_some()
            {
                actions.push(Action::End(n));
            }
            if state.crashes < self.crashes {
                actions.push(Action::CrashAndRestart(n));
            }
            match self.assignment(node, n).filter(|_| self.run_versions) {
                Some((_, version, true)) if node.running != version => actions.push(Action::Run(n)),
                Some((Outcome::RolledBack, version, false)) if node.running == version => {
                    actions.push(Action::RollBack(n))
                }
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::BeginRound(n, id, unreachable) => {
                state.rounds += 1;
                let node = &mut state.nodes[n];
                let rollout = node.rollouts.get(id)?.clone();
                let (agreement, stage) = (
                    last_agreement(&node.rollouts, KIND) + 1,
                    rollout.progress.stage + 1,
                );
                // Proposals of different coordinators differ, since each sees a different set of
                // nodes.
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
                    VOTERS,
                );
                node.round = Some((round, unreachable));
                let reachable = (0..VOTERS).filter(|to| *to != unreachable);
                reachable.for_each(|to| {
                    _ = state.in_flight.insert(Envelope::PaxosRequest {
                        from: n,
                        to,
                        request: request.clone(),
                    })
                });
            }
            Action::Deliver(envelope) => {
                state.in_flight.remove(&envelope);
                match envelope {
                    Envelope::PaxosRequest { from, to, request } => {
                        let node = &mut state.nodes[to];
                        let reply = match node.vote.handle_request(&node.rollouts, KIND, &request) {
                            VoterAction::Reply(reply) => reply,
                            VoterAction::Persist(vote, reply) => {
                                node.vote = vote;
                                ClusterModel::persist_head(node);
                                reply
                            }
                            VoterAction::Behind | VoterAction::Ahead => return Some(state),
                        };
                        state.in_flight.insert(Envelope::PaxosReply {
                            from: to,
                            to: from,
                            reply,
                        });
                    }
                    Envelope::PaxosReply { from, to, reply } => {
                        let node = &mut state.nodes[to];
                        let (round, unreachable) = node.round.as_mut()?;
                        let unreachable = *unreachable;
                        match round.handle_reply(from as u64, &reply) {
                            RoundStep::Wait => {}
                            RoundStep::Request(request) => {
                                state.completed_other |=
                                    matches!(&request, PaxosRequest::Accept { again: true, .. });
                                let reachable = (0..VOTERS).filter(|at| *at != unreachable);
                                let requests = reachable.map(|at| Envelope::PaxosRequest {
                                    from: to,
                                    to: at,
                                    request: request.clone(),
                                });
                                state.in_flight.extend(requests);
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
            Action::ShareRollouts(n, m) => {
                let received: Vec<Rollout> = state.nodes[n].rollouts.iter().cloned().collect();
                received
                    .iter()
                    .for_each(|rollout| _ = state.nodes[m].rollouts.merge(rollout));
            }
            Action::End(n) => {
                state.operator_ends += 1;
                let id = state.nodes[n].rollouts.in_progress(KIND)?.id;
                let outcome = if state.operator_ends == 1 {
                    Outcome::Halted
                } else {
                    Outcome::RolledBack
                };
                state.nodes[n]
                    .rollouts
                    .end(id, outcome, Reason::new(n as u64, n as u64, ""));
            }
            Action::CrashAndRestart(n) => {
                state.crashes += 1;
                let node = &mut state.nodes[n];
                (node.round, node.running) = (None, node.promoted);
                // Rollouts that were offered but had not begun are offered again by other nodes;
                // agreements are on disk.
                let mut rollouts = RolloutTable::default();
                (1..=self.rollouts).for_each(|id| _ = rollouts.merge(&self.rollout(id)));
                node.head.iter().for_each(|head| _ = rollouts.merge(head));
                node.rollouts = rollouts;
            }
            Action::Run(n) => {
                let (outcome, version, _) = self.assignment(&state.nodes[n], n)?;
                let node = &mut state.nodes[n];
                if !node.checked.contains(&version) {
                    return None;
                }
                node.started_halted |= outcome > Outcome::Completed;
                ClusterModel::persist_head(node);
                node.running = version;
                if outcome == Outcome::Completed {
                    node.promoted = version;
                }
            }
            Action::RollBack(n) => {
                let node = &mut state.nodes[n];
                node.promoted = if node.promoted == node.running {
                    BASE
                } else {
                    node.promoted
                };
                node.running = node.promoted;
                ClusterModel::persist_head(node);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<ClusterModel>> {
        vec![
            Property::always(
                "no two agreements have the same number",
                |_: &ClusterModel, s: &State| {
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
                "a node only runs versions whose agreed stages include it",
                |_: &ClusterModel, s: &State| {
                    s.nodes.iter().enumerate().all(|(n, node)| {
                        let mine = |(_, id, progress): &&(u64, RolloutId, Progress)| {
                            BASE + id.0 == node.running && progress.includes(*id, n as u64 + 1, 0)
                        };
                        node.running == BASE || s.agreed.iter().any(|of| mine(&of))
                    })
                },
            ),
            Property::always(
                "a node only runs versions that it has checked",
                |_: &ClusterModel, s: &State| {
                    s.nodes
                        .iter()
                        .all(|node| node.checked.contains(&node.running))
                },
            ),
            Property::always(
                "a node never starts a version that it knows to be halted",
                |_: &ClusterModel, s: &State| s.nodes.iter().all(|node| !node.started_halted),
            ),
            Property::always(
                "every node has a promoted version that it has checked",
                |_: &ClusterModel, s: &State| {
                    s.nodes
                        .iter()
                        .all(|node| node.promoted >= BASE && node.checked.contains(&node.promoted))
                },
            ),
            Property::sometimes("two stages are agreed on", |_: &ClusterModel, s: &State| {
                s.agreed.len() > 1
            }),
            Property::sometimes(
                "a coordinator completes the proposal of another",
                |_: &ClusterModel, s: &State| s.completed_other && !s.agreed.is_empty(),
            ),
            Property::sometimes(
                "a node runs the new version",
                |model: &ClusterModel, s: &State| {
                    !model.run_versions || s.nodes.iter().any(|node| node.running > BASE)
                },
            ),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        // Messages that are never delivered are lost. This bound is large enough for all messages
        // of one round to interleave with those of another.
        state.in_flight.len() <= self.max_in_flight
    }
}

fn check(model: ClusterModel) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

/// Two concurrent coordinators, in three rounds.
#[test]
fn two_concurrent_coordinators() {
    let model = ClusterModel {
        rounds: 3,
        max_in_flight: 3,
        run_versions: false,
        ..ClusterModel::default()
    };
    check(model);
}

/// A crash and restart of any node at any step, with two coordinators.
#[test]
fn a_node_crashes_with_two_coordinators() {
    check(ClusterModel {
        crashes: 1,
        ..ClusterModel::default()
    });
}

/// A halt and a rollback issued at any of four nodes, one of which rejects the new version.
#[test]
fn halts_are_issued_anywhere() {
    check(ClusterModel {
        nodes: 4,
        operator_ends: 2,
        rejecting_node: Some(3),
        ..ClusterModel::default()
    });
}

/// Two concurrent rollouts with two coordinators.
#[test]
fn two_concurrent_rollouts() {
    check(ClusterModel {
        rollouts: 2,
        operator_ends: 1,
        crashes: 1,
        coordinators: vec![0, 2],
        ..ClusterModel::default()
    });
}
