//! Model checks of small clusters: every order of losses, duplications, suspicions, deaths, crashes
//! and restarts up to a depth. The member table and the refutation rule are those of the crate. The
//! model has no time: any member may suspect another and declare it dead at any moment, which
//! includes every order that real timeouts allow.

use madderpoint_membership::member::{
    Epoch, Liveness, LivenessState, MemberDetails, MemberKey, Phase, refutes,
};
use madderpoint_membership::member_table::MemberTable;
use madderpoint_membership::messages::MemberUpdate;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::LazyLock;

/// Start time, refutation number and liveness of a member in a member table.
type EntryState = (u64, u32, Liveness);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    up: Vec<bool>,
    /// Start time and refutation number that each member has for itself.
    own: Vec<(u64, u32)>,
    /// Entry for each member in the table of each member.
    tables: Vec<Vec<Option<EntryState>>>,
    /// Updates in flight: recipient, member concerned, state. Each may arrive any number of times,
    /// or never.
    in_flight: BTreeSet<(usize, usize, EntryState)>,
    crashes: usize,
    decreased: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Suspect(usize, usize),
    DeclareDead(usize, usize),
    Send(usize, usize, usize),
    Deliver(usize, usize, EntryState),
    Drop(usize, usize, EntryState),
    Crash(usize),
    Restart(usize),
}

struct SmallCluster {
    members: usize,
    refutations_max: u32,
    in_flight: usize,
    crashes: usize,
}

static DETAILS: LazyLock<Vec<u8>> = LazyLock::new(|| {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    MemberDetails::new(address, "a", Phase::Serving, "1", (1, 1), (0, 0), vec![])
        .unwrap()
        .encoded()
        .to_vec()
});

fn update(n: usize, (started_unix_ms, refutation, liveness): EntryState) -> MemberUpdate {
    let name = format!("n{n}");
    let key = MemberKey::of(&name).0;
    MemberUpdate {
        key,
        started_unix_ms,
        incarnation: started_unix_ms,
        refutation,
        liveness: liveness as u32,
        revision: 0,
        name,
        details: DETAILS.clone(),
        suspected_by: 0,
    }
}

/// Returns a member table of the crate with the given entries.
fn table_with(entries: &[Option<EntryState>]) -> MemberTable {
    let mut member_table = MemberTable::new(1 << 20, None);
    for (n, entry) in entries.iter().enumerate() {
        if let Some((started_unix_ms, refutation, liveness)) = *entry {
            let _ = member_table.merge(
                0,
                &update(n, (started_unix_ms, refutation, Liveness::Alive)),
            );
            member_table.mark(0, MemberKey::of(&format!("n{n}")), liveness);
        }
    }
    member_table
}

fn entry_state(member_table: &MemberTable, n: usize) -> Option<EntryState> {
    let entry = member_table.get(MemberKey::of(&format!("n{n}")))?;
    Some((
        entry.epoch.started_unix_ms,
        entry.liveness_state.refutation,
        entry.liveness_state.liveness,
    ))
}

fn order(entry_state: Option<EntryState>) -> Option<(Epoch, LivenessState)> {
    entry_state.map(|(started_unix_ms, refutation, liveness)| {
        (
            Epoch {
                started_unix_ms,
                ..Epoch::default()
            },
            LivenessState {
                refutation,
                liveness,
            },
        )
    })
}

impl State {
    /// Handles an update about member `of` at node `to`.
    fn receive(&mut self, to: usize, of: usize, received: EntryState) {
        if !self.up[to] {
            return;
        }
        if to == of {
            let (started_unix_ms, refutation) = self.own[of];
            let own = LivenessState {
                refutation,
                liveness: Liveness::Alive,
            };
            let reported = LivenessState {
                refutation: received.1,
                liveness: received.2,
            };
            if received.0 > started_unix_ms {
                self.own[of] = (received.0 + 1, 0); // an earlier incarnation whose clock was ahead
            } else if received.0 == started_unix_ms
                && let Some(refutation) = refutes(own, reported)
            {
                self.own[of] = (started_unix_ms, refutation);
            }
            let (started_unix_ms, refutation) = self.own[of];
            self.merge(to, of, (started_unix_ms, refutation, Liveness::Alive));
        } else {
            self.merge(to, of, received);
        }
    }

    fn merge(&mut self, at: usize, of: usize, received: EntryState) {
        let mut member_table = table_with(&self.tables[at]);
        let _ = member_table.merge(0, &update(of, received));
        let now = entry_state(&member_table, of);
        self.decreased |= order(now) < order(self.tables[at][of]);
        self.tables[at][of] = now;
    }

    /// Returns the state that is reached without further faults: all members that are up exchange
    /// all entries until nothing changes. `None` if the exchange does not end.
    fn settled(&self) -> Option<State> {
        let mut state = self.clone();
        for _ in 0..12 {
            let before = state.clone();
            for to in 0..state.up.len() {
                for from in (0..state.up.len()).filter(|&from| from != to && before.up[from]) {
                    for of in 0..state.up.len() {
                        if let Some(received) = before.tables[from][of] {
                            state.receive(to, of, received);
                        }
                    }
                }
            }
            if state == before {
                return Some(state);
            }
        }
        None
    }
}

impl Model for SmallCluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let n = self.members;
        let alive = Some((2, 0, Liveness::Alive));
        vec![State {
            up: vec![true; n],
            own: vec![(2, 0); n],
            tables: vec![vec![alive; n]; n],
            in_flight: BTreeSet::new(),
            crashes: 0,
            decreased: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let up = |n: &usize| state.up[*n];
        for i in (0..self.members).filter(up) {
            for j in (0..self.members).filter(|&j| j != i) {
                match state.tables[i][j] {
                    Some((_, _, Liveness::Alive)) => actions.push(Action::Suspect(i, j)),
                    Some((_, _, Liveness::Suspect)) => actions.push(Action::DeclareDead(i, j)),
                    _ => {}
                }
                actions.extend((0..self.members).map(|of| Action::Send(i, j, of)));
            }
            actions.push(Action::Crash(i));
        }
        actions.extend((0..self.members).filter(|n| !up(n)).map(Action::Restart));
        for (to, of, received) in &state.in_flight {
            actions.push(Action::Deliver(*to, *of, *received));
            actions.push(Action::Drop(*to, *of, *received));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Suspect(i, j) | Action::DeclareDead(i, j) => {
                let liveness = if matches!(action, Action::DeclareDead(..)) {
                    Liveness::Dead
                } else {
                    Liveness::Suspect
                };
                let mut member_table = table_with(&state.tables[i]);
                member_table.mark(0, MemberKey::of(&format!("n{j}")), liveness);
                state.tables[i][j] = entry_state(&member_table, j);
            }
            Action::Send(i, j, of) => {
                state.in_flight.insert((j, of, state.tables[i][of]?));
            }
            Action::Deliver(to, of, received) => state.receive(to, of, received),
            Action::Drop(to, of, received) => {
                state.in_flight.remove(&(to, of, received));
            }
            Action::Crash(i) => {
                state.crashes += 1;
                state.up[i] = false;
            }
            Action::Restart(i) => {
                // The member knows only itself, and its clock was set back: its start time is
                // before that of its first incarnation.
                state.up[i] = true;
                state.own[i] = (1, 0);
                state.tables[i] = vec![None; self.members];
                state.tables[i][i] = Some((1, 0, Liveness::Alive));
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<SmallCluster>> {
        vec![
            Property::always(
                "no entry decreases in any member table",
                |_: &SmallCluster, state: &State| !state.decreased,
            ),
            Property::always(
                "no entry has a higher refutation number than the member itself",
                |_: &SmallCluster, state: &State| {
                    let is_first_incarnation = |n: usize| state.crashes == 0 && state.up[n];
                    let all = 0..state.up.len();
                    all.clone().all(|i| {
                        all.clone().all(|j| {
                            !is_first_incarnation(j)
                                || state.tables[i][j]
                                    .is_none_or(|(_, refutation, _)| refutation <= state.own[j].1)
                        })
                    })
                },
            ),
            Property::always(
                "without further faults, all members that are up agree and see each other alive",
                |_: &SmallCluster, state: &State| {
                    let Some(end) = state.settled() else {
                        return false;
                    };
                    let up: Vec<usize> = (0..end.up.len()).filter(|&n| end.up[n]).collect();
                    up.iter().all(|&i| {
                        let alive =
                            |j: &usize| matches!(end.tables[i][*j], Some((_, _, Liveness::Alive)));
                        up.iter().all(alive) && end.tables[i] == end.tables[up[0]]
                    })
                },
            ),
            Property::sometimes(
                "a member is declared dead while it is up",
                |_: &SmallCluster, state: &State| {
                    state.tables.iter().any(|v| {
                        v.iter()
                            .zip(&state.up)
                            .any(|(h, up)| *up && matches!(h, Some((_, _, Liveness::Dead))))
                    })
                },
            ),
            Property::sometimes(
                "a member refutes a report",
                |_: &SmallCluster, state: &State| {
                    state.own.iter().any(|(_, refutation)| *refutation > 0)
                },
            ),
            Property::sometimes(
                "a member starts later than an earlier incarnation",
                |_: &SmallCluster, state: &State| {
                    state
                        .own
                        .iter()
                        .any(|(started_unix_ms, _)| *started_unix_ms > 2)
                },
            ),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.in_flight.len() <= self.in_flight
            && state.crashes <= self.crashes
            && state.own.iter().all(|(started_unix_ms, refutation)| {
                *refutation <= self.refutations_max && *started_unix_ms <= 3
            })
    }
}

fn check(model: SmallCluster, depth: usize) {
    let checker = model
        .checker()
        .threads(4)
        .target_max_depth(depth)
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
fn three_members_agree_after_every_order_of_faults() {
    check(
        SmallCluster {
            members: 3,
            refutations_max: 2,
            in_flight: 2,
            crashes: 1,
        },
        7,
    );
}

#[test]
fn four_members_agree_after_every_order_of_faults() {
    check(
        SmallCluster {
            members: 4,
            refutations_max: 1,
            in_flight: 1,
            crashes: 1,
        },
        6,
    );
}
