//! Small fleets, checked through every order of losses, doublings, suspicions, deaths, crashes and
//! restarts to a depth. The table and the refutation are those of the package; what is left out is
//! time: anybody may suspect and bury anybody else at any moment, which is worse than what any
//! timing does.

use madderpoint_membership::member::{
    Epoch, Liveness, LivenessState, MemberDetails, MemberKey, Phase, refutes,
};
use madderpoint_membership::member_table::MemberTable;
use madderpoint_membership::messages::MemberUpdate;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::LazyLock;

type Held = (u64, u32, Liveness);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    up: Vec<bool>,
    /// What each says of itself: birth and bump.
    own: Vec<(u64, u32)>,
    /// What each holds of each.
    views: Vec<Vec<Option<Held>>>,
    /// What is under way: to whom, of whom, what. It may arrive any number of times, or never.
    under_way: BTreeSet<(usize, usize, Held)>,
    crashes: usize,
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Suspect(usize, usize),
    Bury(usize, usize),
    Tell(usize, usize, usize),
    Deliver(usize, usize, Held),
    Lose(usize, usize, Held),
    Crash(usize),
    Restart(usize),
}

struct Small {
    members: usize,
    bumps: u32,
    under_way: usize,
    crashes: usize,
}

static TOLD: LazyLock<Vec<u8>> = LazyLock::new(|| {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    MemberDetails::new(address, "a", Phase::Serving, "1", (1, 1), (0, 0), vec![])
        .unwrap()
        .encoded()
        .to_vec()
});

fn updates(n: usize, (started_unix_ms, refutation, liveness): Held) -> MemberUpdate {
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
        details: TOLD.clone(),
        suspected_by: 0,
    }
}

/// The package's table, with what a node holds.
fn table(held: &[Option<Held>]) -> MemberTable {
    let mut member_table = MemberTable::new(1 << 20, None);
    for (n, held) in held.iter().enumerate() {
        if let Some((started_unix_ms, refutation, liveness)) = *held {
            let _ = member_table.merge(
                0,
                &updates(n, (started_unix_ms, refutation, Liveness::Alive)),
            );
            member_table.mark(0, MemberKey::of(&format!("n{n}")), liveness);
        }
    }
    member_table
}

fn held(member_table: &MemberTable, n: usize) -> Option<Held> {
    let entry = member_table.get(MemberKey::of(&format!("n{n}")))?;
    Some((
        entry.epoch.started_unix_ms,
        entry.liveness_state.refutation,
        entry.liveness_state.liveness,
    ))
}

fn version(held: Option<Held>) -> Option<(Epoch, LivenessState)> {
    held.map(|(started_unix_ms, refutation, liveness)| {
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
    /// A node hears what is said of one.
    fn hear(&mut self, to: usize, of: usize, said: Held) {
        if !self.up[to] {
            return;
        }
        if to == of {
            let (started_unix_ms, refutation) = self.own[of];
            let own = LivenessState {
                refutation,
                liveness: Liveness::Alive,
            };
            let apply_update = LivenessState {
                refutation: said.1,
                liveness: said.2,
            };
            if said.0 > started_unix_ms {
                self.own[of] = (said.0 + 1, 0); // its past, with a clock that was ahead
            } else if said.0 == started_unix_ms
                && let Some(refutation) = refutes(own, apply_update)
            {
                self.own[of] = (started_unix_ms, refutation);
            }
            let (started_unix_ms, refutation) = self.own[of];
            self.set(to, of, (started_unix_ms, refutation, Liveness::Alive));
        } else {
            self.set(to, of, said);
        }
    }

    fn set(&mut self, at: usize, of: usize, said: Held) {
        let mut member_table = table(&self.views[at]);
        let _ = member_table.merge(0, &updates(of, said));
        let now = held(&member_table, of);
        self.went_back |= version(now) < version(self.views[at][of]);
        self.views[at][of] = now;
    }

    /// Everybody tells everybody all, until nothing changes: what comes of it if no more fails.
    fn quiet(&self) -> Option<State> {
        let mut state = self.clone();
        for _ in 0..12 {
            let before = state.clone();
            for to in 0..state.up.len() {
                for from in (0..state.up.len()).filter(|&from| from != to && before.up[from]) {
                    for of in 0..state.up.len() {
                        if let Some(said) = before.views[from][of] {
                            state.hear(to, of, said);
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

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let n = self.members;
        let alive = Some((2, 0, Liveness::Alive));
        vec![State {
            up: vec![true; n],
            own: vec![(2, 0); n],
            views: vec![vec![alive; n]; n],
            under_way: BTreeSet::new(),
            crashes: 0,
            went_back: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let up = |n: &usize| state.up[*n];
        for i in (0..self.members).filter(up) {
            for j in (0..self.members).filter(|&j| j != i) {
                match state.views[i][j] {
                    Some((_, _, Liveness::Alive)) => actions.push(Action::Suspect(i, j)),
                    Some((_, _, Liveness::Suspect)) => actions.push(Action::Bury(i, j)),
                    _ => {}
                }
                actions.extend((0..self.members).map(|of| Action::Tell(i, j, of)));
            }
            actions.push(Action::Crash(i));
        }
        actions.extend((0..self.members).filter(|n| !up(n)).map(Action::Restart));
        for (to, of, said) in &state.under_way {
            actions.push(Action::Deliver(*to, *of, *said));
            actions.push(Action::Lose(*to, *of, *said));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Suspect(i, j) | Action::Bury(i, j) => {
                let liveness = if matches!(action, Action::Bury(..)) {
                    Liveness::Dead
                } else {
                    Liveness::Suspect
                };
                let mut member_table = table(&state.views[i]);
                member_table.mark(0, MemberKey::of(&format!("n{j}")), liveness);
                state.views[i][j] = held(&member_table, j);
            }
            Action::Tell(i, j, of) => {
                state.under_way.insert((j, of, state.views[i][of]?));
            }
            Action::Deliver(to, of, said) => state.hear(to, of, said),
            Action::Lose(to, of, said) => {
                state.under_way.remove(&(to, of, said));
            }
            Action::Crash(i) => {
                state.crashes += 1;
                state.up[i] = false;
            }
            Action::Restart(i) => {
                // Cold, and with a clock that stepped back: its birth lies before that of its first
                // life.
                state.up[i] = true;
                state.own[i] = (1, 0);
                state.views[i] = vec![None; self.members];
                state.views[i][i] = Some((1, 0, Liveness::Alive));
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Small>> {
        vec![
            Property::always(
                "no version goes back in any view",
                |_: &Small, state: &State| !state.went_back,
            ),
            Property::always(
                "nobody holds more of a member than it said itself",
                |_: &Small, state: &State| {
                    let fresh = |n: usize| state.crashes == 0 && state.up[n];
                    let all = 0..state.up.len();
                    all.clone().all(|i| {
                        all.clone().all(|j| {
                            !fresh(j)
                                || state.views[i][j]
                                    .is_none_or(|(_, refutation, _)| refutation <= state.own[j].1)
                        })
                    })
                },
            ),
            Property::always(
                "in the quiet, all who are up hold all who are up for alive, and agree",
                |_: &Small, state: &State| {
                    let Some(quiet) = state.quiet() else {
                        return false;
                    };
                    let up: Vec<usize> = (0..quiet.up.len()).filter(|&n| quiet.up[n]).collect();
                    up.iter().all(|&i| {
                        let alive =
                            |j: &usize| matches!(quiet.views[i][*j], Some((_, _, Liveness::Alive)));
                        up.iter().all(alive) && quiet.views[i] == quiet.views[up[0]]
                    })
                },
            ),
            Property::sometimes(
                "somebody is buried while it is there",
                |_: &Small, state: &State| {
                    state.views.iter().any(|v| {
                        v.iter()
                            .zip(&state.up)
                            .any(|(h, up)| *up && matches!(h, Some((_, _, Liveness::Dead))))
                    })
                },
            ),
            Property::sometimes("somebody refutes", |_: &Small, state: &State| {
                state.own.iter().any(|(_, refutation)| *refutation > 0)
            }),
            Property::sometimes("somebody outlives its past", |_: &Small, state: &State| {
                state
                    .own
                    .iter()
                    .any(|(started_unix_ms, _)| *started_unix_ms > 2)
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.under_way.len() <= self.under_way
            && state.crashes <= self.crashes
            && state.own.iter().all(|(started_unix_ms, refutation)| {
                *refutation <= self.bumps && *started_unix_ms <= 3
            })
    }
}

fn check(model: Small, depth: usize) {
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
fn three_members_through_every_order_of_faults() {
    check(
        Small {
            members: 3,
            bumps: 2,
            under_way: 2,
            crashes: 1,
        },
        7,
    );
}

#[test]
fn four_members_through_every_order_of_faults() {
    check(
        Small {
            members: 4,
            bumps: 1,
            under_way: 1,
            crashes: 1,
        },
        6,
    );
}
