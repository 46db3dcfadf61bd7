use super::*;
use crate::identifiers::{Kind, RolloutId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// A host that records the supervisor's calls.
#[derive(Default)]
struct FakeHost {
    started: Vec<(Child, StartInstructions)>,
    running: BTreeMap<Child, Version>,
    told_to_leave: BTreeSet<Child>,
    in_charge: Vec<Child>,
    answers: Vec<(Child, u64, Result<(), HostError>)>,
    not_installed: BTreeSet<u64>,
    disk: Option<PersistedState>,
    disk_is_full: bool,
    log_lines: Vec<String>,
}

impl ProcessHost for FakeHost {
    fn start(&mut self, child: Child, instructions: &StartInstructions) -> Result<(), HostError> {
        self.started.push((child, instructions.clone()));
        self.running.insert(child, instructions.version);
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
        if self.disk_is_full {
            return Err("disk full".into());
        }
        self.disk = Some(persisted.clone());
        Ok(())
    }
    fn has(&mut self, version: Version) -> Result<(), HostError> {
        if self.not_installed.contains(&version.number) {
            Err("not installed".into())
        } else {
            Ok(())
        }
    }
    fn answer(&mut self, child: Child, request: u64, result: Result<(), HostError>) {
        self.answers.push((child, request, result));
    }
    fn log(&mut self, line: &str) {
        self.log_lines.push(line.to_owned());
    }
}

fn version(number: u64) -> Version {
    Version {
        number,
        hash: number * 11,
    }
}

const STOP_TIMEOUT: Nanos = 5 * SECOND;

fn supervisor_serving(number: u64) -> Supervisor<FakeHost> {
    let mut persisted = PersistedState::new(Kind::Program);
    persisted.promote(version(number));
    let mut supervisor = Supervisor::new(
        0,
        persisted,
        false,
        version(number),
        STOP_TIMEOUT,
        FakeHost::default(),
    );
    let child = supervisor.host.started[0].0;
    supervisor.ready(1, child);
    supervisor
}

fn on_trial(persisted: &PersistedState, number: u64) -> PersistedState {
    PersistedState {
        trial: Some(Trial {
            rollout: RolloutId(1),
            version: version(number),
            tries: 1,
        }),
        ..persisted.clone()
    }
}

#[test]
fn new_process_serves_before_the_old_one_is_told_to_leave() {
    let mut supervisor = supervisor_serving(1);
    let old = Child(1);
    let persisted = on_trial(supervisor.persisted(), 2);
    supervisor.persist(old, 7, persisted);
    supervisor.apply(SECOND, old, 8, version(2));
    let (new, instructions) = supervisor.host.started[1].clone();
    assert!(
        instructions.another_process_serves
            && instructions.persisted.trial.is_some()
            && supervisor.host.told_to_leave.is_empty()
    );
    supervisor.ready(2 * SECOND, new);
    assert_eq!(supervisor.host.in_charge, [old, new]);
    assert!(
        supervisor.host.told_to_leave.contains(&old)
            && supervisor.in_charge() == Some((new, version(2)))
    );
    // The old process may no longer write state, and its request to be replaced gets no answer.
    supervisor.persist(old, 9, PersistedState::new(Kind::Program));
    assert!(
        supervisor
            .host
            .answers
            .iter()
            .any(|(child, request, result)| (*child, *request) == (old, 9) && result.is_err())
    );
    assert!(
        !supervisor
            .host
            .answers
            .iter()
            .any(|(_, request, _)| *request == 8)
    );
    supervisor.ended(3 * SECOND, old, "exit code 0");
    assert!(
        supervisor.in_charge() == Some((new, version(2))) && supervisor.host.started.len() == 2
    );
}

#[test]
fn renewed_process_is_replaced_by_one_of_the_same_version() {
    let mut supervisor = supervisor_serving(1);
    supervisor.renew(SECOND);
    supervisor.renew(SECOND);
    assert_eq!(supervisor.host.started.len(), 2, "one start at a time");
    supervisor.ended(SECOND, Child(2), "exit code 1");
    assert_eq!(supervisor.in_charge(), Some((Child(1), version(1))));
    supervisor.renew(5 * SECOND);
    supervisor.ready(6 * SECOND, Child(3));
    assert!(
        supervisor.in_charge() == Some((Child(3), version(1)))
            && supervisor.host.told_to_leave.contains(&Child(1))
    );
}

#[test]
fn failed_start_leaves_the_old_process_in_charge() {
    let mut supervisor = supervisor_serving(1);
    supervisor.apply(SECOND, Child(1), 8, version(2));
    supervisor.ended(SECOND, Child(2), "killed");
    supervisor.apply(2 * SECOND, Child(1), 9, version(2));
    supervisor.wake(2 * SECOND + READY_TIMEOUT + 1);
    supervisor.host.not_installed.insert(3);
    supervisor.apply(40 * SECOND, Child(1), 10, version(3));
    let failed: Vec<u64> = supervisor
        .host
        .answers
        .iter()
        .filter(|(_, _, r)| r.is_err())
        .map(|(_, request, _)| *request)
        .collect();
    assert_eq!(failed, [8, 9, 10]);
    assert_eq!(supervisor.in_charge(), Some((Child(1), version(1))));
    assert!(!supervisor.host.told_to_leave.contains(&Child(1)));
}

#[test]
fn crash_on_trial_is_followed_by_the_last_promoted_version() {
    let mut supervisor = supervisor_serving(1);
    let persisted = on_trial(supervisor.persisted(), 2);
    supervisor.persist(Child(1), 7, persisted);
    supervisor.apply(SECOND, Child(1), 8, version(2));
    supervisor.ready(2 * SECOND, Child(2));
    supervisor.ended(3 * SECOND, Child(1), "exit code 0");
    supervisor.ended(4 * SECOND, Child(2), "signal 11");
    let (_, instructions) = supervisor.host.started.last().unwrap();
    assert_eq!(
        (
            instructions.version,
            instructions.crashed.unwrap().version,
            instructions.persisted.crashes(version(2))
        ),
        (version(1), version(2), 1)
    );
    assert_eq!(
        supervisor.host.disk.as_ref().unwrap().crashes(version(2)),
        1
    );
}

#[test]
fn promoted_version_that_fails_to_start_is_followed_by_the_previous_one() {
    let mut persisted = PersistedState::new(Kind::Program);
    [1, 2]
        .into_iter()
        .for_each(|number| persisted.promote(version(number)));
    let mut supervisor = Supervisor::new(
        0,
        persisted,
        false,
        version(1),
        STOP_TIMEOUT,
        FakeHost::default(),
    );
    assert_eq!(supervisor.host.started[0].1.version, version(2));
    supervisor.ended(SECOND, Child(1), "exit code 1");
    supervisor.wake(10 * SECOND);
    assert_eq!(supervisor.host.started[1].1.version, version(1));
    supervisor.ready(11 * SECOND, Child(2));
    assert_eq!(supervisor.in_charge(), Some((Child(2), version(1))));
}

#[test]
fn promoted_version_with_three_quick_crashes_is_followed_by_the_previous_one() {
    let mut persisted = PersistedState::new(Kind::Program);
    [1, 2]
        .into_iter()
        .for_each(|number| persisted.promote(version(number)));
    let mut supervisor = Supervisor::new(
        0,
        persisted,
        false,
        version(1),
        STOP_TIMEOUT,
        FakeHost::default(),
    );
    let mut now = 0;
    while supervisor.host.started.len() < 4 {
        now += SECOND;
        let child = supervisor.host.started.last().unwrap().0;
        supervisor.ready(now, child);
        supervisor.ended(now, child, "exit code 1");
        supervisor.wake(now);
    }
    let ran: Vec<u64> = supervisor
        .host
        .started
        .iter()
        .map(|(_, instructions)| instructions.version.number)
        .collect();
    assert_eq!(ran, [2, 2, 2, 1]);
}

#[test]
fn quick_crashes_are_restarted_with_growing_delay() {
    let mut supervisor = supervisor_serving(1);
    let mut now = SECOND;
    supervisor.ended(now, Child(1), "exit code 1");
    for _ in 0..200 {
        now += SECOND;
        if let Some((child, _)) = supervisor.host.started.last().cloned() {
            supervisor.ready(now, child);
            supervisor.ended(now, child, "exit code 1");
        }
        supervisor.wake(now);
    }
    assert!(
        (8..16).contains(&supervisor.host.started.len()),
        "{}",
        supervisor.host.started.len()
    );
}

/// Random events in any order. Once a process has served, one of three conditions always holds: a
/// process serves and was not told to leave, a process is being started, or the pause before the
/// next start is not over.
#[test]
fn some_process_always_serves_or_starts_under_random_events() {
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut supervisor = supervisor_serving(1);
        let (mut now, mut number) = (SECOND, 1);
        for step in 0..60 {
            now += rng.random_range(0..8) * SECOND;
            let all: Vec<Child> = supervisor.host.running.keys().copied().collect();
            let any = |rng: &mut Pcg64Mcg| all.get(rng.random_range(0..all.len().max(1))).copied();
            match rng.random_range(0..8) {
                0 | 1 => {
                    if let Some((child, _)) = supervisor.in_charge() {
                        number += 1;
                        let persisted = on_trial(supervisor.persisted(), number);
                        supervisor.persist(child, step, persisted);
                        supervisor.apply(now, child, step + 1000, version(number));
                    }
                }
                2 | 3 => {
                    if let Some(child) = any(&mut rng) {
                        supervisor.ready(now, child);
                    }
                }
                4 => {
                    if let Some(child) = any(&mut rng) {
                        supervisor.host.running.remove(&child);
                        supervisor.ended(now, child, "exit code 1");
                    }
                }
                5 => {
                    if let Some((child, version)) = supervisor.in_charge() {
                        let mut persisted = supervisor.persisted().clone();
                        persisted.promote(version);
                        supervisor.persist(child, step, persisted);
                    }
                }
                6 => supervisor.host.disk_is_full = rng.random_bool(0.3),
                _ => supervisor.wake(now),
            }
            supervisor.wake(now);
            let serves = supervisor.in_charge().is_some_and(|(child, _)| {
                supervisor.host.running.contains_key(&child)
                    && !supervisor.host.told_to_leave.contains(&child)
            });
            assert!(
                serves || supervisor.starting.is_some() || supervisor.not_before > now,
                "seed {seed}, step {step}"
            );
            assert!(
                supervisor
                    .leaving
                    .iter()
                    .all(|process| supervisor.host.told_to_leave.contains(&process.child))
            );
        }
        // A starting process may have timed out; the next one starts after the restart delay.
        supervisor.wake(now + MAX_RESTART_DELAY + 1);
        if supervisor.starting.is_none() {
            supervisor.wake(now + 2 * MAX_RESTART_DELAY + 2);
        }
        now += 2 * MAX_RESTART_DELAY;
        assert!(
            supervisor.in_charge().is_some() || supervisor.starting.is_some(),
            "seed {seed}"
        );
        supervisor.leave(now + 2 * MAX_RESTART_DELAY);
        let remaining: Vec<Child> = supervisor.host.running.keys().copied().collect();
        remaining
            .into_iter()
            .for_each(|child| supervisor.ended(now + 2 * MAX_RESTART_DELAY, child, "exit code 0"));
        assert!(
            supervisor.is_over(),
            "seed {seed}: {:?} {:?}",
            supervisor.starting,
            supervisor.leaving
        );
    }
}
