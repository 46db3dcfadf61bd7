use super::*;
use crate::identifiers::{Kind, RolloutId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Processes as the world has them.
#[derive(Default)]
struct World {
    started: Vec<(Child, StartInstructions)>,
    there: BTreeMap<Child, Version>,
    told_to_leave: BTreeSet<Child>,
    in_charge: Vec<Child>,
    answers: Vec<(Child, u64, Result<(), HostError>)>,
    lacks: BTreeSet<u64>,
    disk: Option<PersistedState>,
    full: bool,
    lines: Vec<String>,
}

impl ProcessHost for World {
    fn start(&mut self, child: Child, begin: &StartInstructions) -> Result<(), HostError> {
        self.started.push((child, begin.clone()));
        self.there.insert(child, begin.version);
        Ok(())
    }
    fn in_charge(&mut self, child: Child) {
        self.in_charge.push(child);
    }
    fn hand_over(&mut self, child: Child) {
        self.told_to_leave.insert(child);
    }
    fn leave(&mut self, child: Child) {
        self.told_to_leave.insert(child);
    }
    fn kill(&mut self, child: Child) {
        self.told_to_leave.insert(child);
    }
    fn persist(&mut self, persisted: &PersistedState) -> Result<(), HostError> {
        if self.full {
            return Err("no room".into());
        }
        self.disk = Some(persisted.clone());
        Ok(())
    }
    fn has(&mut self, version: Version) -> Result<(), HostError> {
        if self.lacks.contains(&version.number) {
            Err("it is not here".into())
        } else {
            Ok(())
        }
    }
    fn answer(&mut self, child: Child, no: u64, result: Result<(), HostError>) {
        self.answers.push((child, no, result));
    }
    fn log(&mut self, line: &str) {
        self.lines.push(line.to_owned());
    }
}

fn v(number: u64) -> Version {
    Version {
        number,
        hash: number * 11,
    }
}

const STOP: Nanos = 5 * SECOND;

fn serving(number: u64) -> Supervisor<World> {
    let mut persisted = PersistedState::new(Kind::Program);
    persisted.promote(v(number));
    let mut parent = Supervisor::new(0, persisted, false, v(number), STOP, World::default());
    let child = parent.host.started[0].0;
    parent.ready(1, child);
    parent
}

fn on_trial(persisted: &PersistedState, number: u64) -> PersistedState {
    PersistedState {
        trial: Some(Trial {
            rollout: RolloutId(1),
            version: v(number),
            tries: 1,
        }),
        ..persisted.clone()
    }
}

#[test]
fn a_new_one_serves_before_the_old_one_is_told_to_leave() {
    let mut parent = serving(1);
    let old = Child(1);
    let persisted = on_trial(parent.persisted(), 2);
    parent.persist(old, 7, persisted);
    parent.apply(SECOND, old, 8, v(2));
    let (new, begin) = parent.host.started[1].clone();
    assert!(
        begin.another_process_serves
            && begin.persisted.trial.is_some()
            && parent.host.told_to_leave.is_empty()
    );
    parent.ready(2 * SECOND, new);
    assert_eq!(parent.host.in_charge, [old, new]);
    assert!(parent.host.told_to_leave.contains(&old) && parent.in_charge() == Some((new, v(2))));
    // The old one has nothing to write any more, and gets no answer but the notice.
    parent.persist(old, 9, PersistedState::new(Kind::Program));
    assert!(
        parent
            .host
            .answers
            .iter()
            .any(|(child, no, result)| (*child, *no) == (old, 9) && result.is_err())
    );
    assert!(!parent.host.answers.iter().any(|(_, no, _)| *no == 8));
    parent.ended(3 * SECOND, old, "well");
    assert!(parent.in_charge() == Some((new, v(2))) && parent.host.started.len() == 2);
}

#[test]
fn a_node_is_renewed_by_one_of_the_same_version() {
    let mut parent = serving(1);
    parent.renew(SECOND);
    parent.renew(SECOND);
    assert_eq!(parent.host.started.len(), 2, "one at a time");
    parent.ended(SECOND, Child(2), "dead");
    assert_eq!(parent.in_charge(), Some((Child(1), v(1))));
    parent.renew(5 * SECOND);
    parent.ready(6 * SECOND, Child(3));
    assert!(
        parent.in_charge() == Some((Child(3), v(1)))
            && parent.host.told_to_leave.contains(&Child(1))
    );
}

#[test]
fn one_that_dies_or_is_not_ready_leaves_the_old_one_in_charge() {
    let mut parent = serving(1);
    parent.apply(SECOND, Child(1), 8, v(2));
    parent.ended(SECOND, Child(2), "killed");
    parent.apply(2 * SECOND, Child(1), 9, v(2));
    parent.wake(2 * SECOND + READY_TIMEOUT + 1);
    parent.host.lacks.insert(3);
    parent.apply(40 * SECOND, Child(1), 10, v(3));
    let failed: Vec<u64> = parent
        .host
        .answers
        .iter()
        .filter(|(_, _, r)| r.is_err())
        .map(|(_, no, _)| *no)
        .collect();
    assert_eq!(failed, [8, 9, 10]);
    assert_eq!(parent.in_charge(), Some((Child(1), v(1))));
    assert!(!parent.host.told_to_leave.contains(&Child(1)));
}

#[test]
fn one_that_dies_on_trial_is_followed_by_the_last_good_one() {
    let mut parent = serving(1);
    let persisted = on_trial(parent.persisted(), 2);
    parent.persist(Child(1), 7, persisted);
    parent.apply(SECOND, Child(1), 8, v(2));
    parent.ready(2 * SECOND, Child(2));
    parent.ended(3 * SECOND, Child(1), "well");
    parent.ended(4 * SECOND, Child(2), "signal 11");
    let (_, begin) = parent.host.started.last().unwrap();
    assert_eq!(
        (
            begin.version,
            begin.crashed.unwrap().version,
            begin.persisted.crashes(v(2))
        ),
        (v(1), v(2), 1)
    );
    assert_eq!(parent.host.disk.as_ref().unwrap().crashes(v(2)), 1);
}

#[test]
fn a_good_version_that_does_not_come_to_serve_is_followed_by_the_one_before() {
    let mut persisted = PersistedState::new(Kind::Program);
    [1, 2]
        .into_iter()
        .for_each(|number| persisted.promote(v(number)));
    let mut parent = Supervisor::new(0, persisted, false, v(1), STOP, World::default());
    assert_eq!(parent.host.started[0].1.version, v(2));
    parent.ended(SECOND, Child(1), "dead");
    parent.wake(10 * SECOND);
    assert_eq!(parent.host.started[1].1.version, v(1));
    parent.ready(11 * SECOND, Child(2));
    assert_eq!(parent.in_charge(), Some((Child(2), v(1))));
}

#[test]
fn a_good_version_that_dies_at_once_thrice_is_followed_by_the_one_before() {
    let mut persisted = PersistedState::new(Kind::Program);
    [1, 2]
        .into_iter()
        .for_each(|number| persisted.promote(v(number)));
    let mut parent = Supervisor::new(0, persisted, false, v(1), STOP, World::default());
    let mut now = 0;
    while parent.host.started.len() < 4 {
        now += SECOND;
        let child = parent.host.started.last().unwrap().0;
        parent.ready(now, child);
        parent.ended(now, child, "dead");
        parent.wake(now);
    }
    let ran: Vec<u64> = parent
        .host
        .started
        .iter()
        .map(|(_, begin)| begin.version.number)
        .collect();
    assert_eq!(ran, [2, 2, 2, 1]);
}

#[test]
fn what_dies_at_once_is_started_again_more_and_more_seldom() {
    let mut parent = serving(1);
    let mut now = SECOND;
    parent.ended(now, Child(1), "dead");
    for _ in 0..200 {
        now += SECOND;
        if let Some((child, _)) = parent.host.started.last().cloned() {
            parent.ready(now, child);
            parent.ended(now, child, "dead");
        }
        parent.wake(now);
    }
    assert!(
        (8..16).contains(&parent.host.started.len()),
        "{}",
        parent.host.started.len()
    );
}

/// Whatever happens, in any order: once one serves, there is always one that was not told to
/// leave or one that is being started, and what is in charge is what the disk says may run.
#[test]
fn there_is_always_one_that_serves_or_starts() {
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut parent = serving(1);
        let (mut now, mut number) = (SECOND, 1);
        for no in 0..60 {
            now += rng.random_range(0..8) * SECOND;
            let all: Vec<Child> = parent.host.there.keys().copied().collect();
            let any = |rng: &mut Pcg64Mcg| all.get(rng.random_range(0..all.len().max(1))).copied();
            match rng.random_range(0..8) {
                0 | 1 => {
                    if let Some((child, _)) = parent.in_charge() {
                        number += 1;
                        let persisted = on_trial(parent.persisted(), number);
                        parent.persist(child, no, persisted);
                        parent.apply(now, child, no + 1000, v(number));
                    }
                }
                2 | 3 => {
                    if let Some(child) = any(&mut rng) {
                        parent.ready(now, child);
                    }
                }
                4 => {
                    if let Some(child) = any(&mut rng) {
                        parent.host.there.remove(&child);
                        parent.ended(now, child, "dead");
                    }
                }
                5 => {
                    if let Some((child, version)) = parent.in_charge() {
                        let mut persisted = parent.persisted().clone();
                        persisted.promote(version);
                        parent.persist(child, no, persisted);
                    }
                }
                6 => parent.host.full = rng.random_bool(0.3),
                _ => parent.wake(now),
            }
            parent.wake(now);
            let serves = parent.in_charge().is_some_and(|(child, _)| {
                parent.host.there.contains_key(&child)
                    && !parent.host.told_to_leave.contains(&child)
            });
            assert!(
                serves || parent.starting.is_some() || parent.not_before > now,
                "seed {seed}, step {no}"
            );
            assert!(
                parent
                    .leaving
                    .iter()
                    .all(|process| parent.host.told_to_leave.contains(&process.child))
            );
        }
        // One that was being started may have taken too long; the next one comes after its
        // pause.
        parent.wake(now + MAX_RESTART_DELAY + 1);
        if parent.starting.is_none() {
            parent.wake(now + 2 * MAX_RESTART_DELAY + 2);
        }
        now += 2 * MAX_RESTART_DELAY;
        assert!(
            parent.in_charge().is_some() || parent.starting.is_some(),
            "seed {seed}"
        );
        parent.leave(now + 2 * MAX_RESTART_DELAY);
        let left: Vec<Child> = parent.host.there.keys().copied().collect();
        left.into_iter()
            .for_each(|child| parent.ended(now + 2 * MAX_RESTART_DELAY, child, "well"));
        assert!(
            parent.is_over(),
            "seed {seed}: {:?} {:?}",
            parent.starting,
            parent.leaving
        );
    }
}
