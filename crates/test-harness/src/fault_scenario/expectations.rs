//! Expectations of a scenario's steps: each is checked against what nodes report until it holds or
//! its time is over.

use super::observe::{Observations, REPLAY_WINDOW_NS, status_pages};
use super::{AUTH_KEY, CLUSTER_NAME, FaultScenario, QUERY_INTERVAL, QUERY_TIMEOUT, lock};
use crate::scenario::Action;
use madderpoint_membership::Liveness;
use madderpoint_membership::datagram_auth::AuthKeys;
use madderpoint_membership::observer::{NodeSnapshot, Observer};
use madderpoint_shared_state::status::StatusSnapshot;
use prost::Message as _;
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// The topic of the shared state's status snapshot.
const SHARED_STATE_TOPIC: u32 = 1;
/// The pause between two looks at the backend service's record.
const USAGE_INTERVAL: Duration = Duration::from_millis(50);

/// Why an expectation did not hold in its time.
#[derive(Debug, Error)]
enum ExpectationError {
    /// What was observed last instead.
    #[error("{0}")]
    Unmet(String),
    /// The status query's socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The cluster's key was not accepted.
    #[error("{0}")]
    AuthKeys(String),
    /// The status snapshot could not be decoded.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
}

impl FaultScenario {
    /// Waits for an expectation of step `index`; notes how long it took, or that it did not hold.
    pub(super) fn expect(&mut self, index: usize, expectation: &Action) {
        let begun = Instant::now();
        match expectation {
            Action::Holds { node, what, within } => {
                match self.wait_for_shared_state(self.node(node), what, begun + *within) {
                    Ok(()) => self.took(format!("{node} holds {what}, step {index}"), begun),
                    Err(found) => self.fail(format!(
                        "step {index}: {node} did not hold {what} within {within:?}: {found}"
                    )),
                }
            }
            Action::Used {
                over,
                least,
                within,
            } => self.expect_usage(index, *over, *least, *within),
            Action::Runs { to, number, within } => {
                match self.wait(begun + *within, |all, seen| {
                    all.not_running(seen, to, *number)
                }) {
                    Ok(()) => self.took(format!("all run {number}, step {index}"), begun),
                    Err(e) => self.fail(format!("step {index}: not so within {within:?}: {e}")),
                }
            }
            Action::Change {
                to,
                number,
                fate,
                stage,
                within,
            } => self.change_is(index, to, (*number, fate, *stage), *within),
            Action::Settled { within, sides } => {
                match self.wait(begun + *within, |all, seen| all.not_settled(seen, *sides)) {
                    Ok(()) => self.took(format!("settled, step {index}"), begun),
                    Err(e) => {
                        self.fail(format!("step {index}: not settled within {within:?}: {e}"));
                    }
                }
            }
            Action::Sees {
                node,
                other,
                liveness: held,
                within,
            } => {
                let n = self.node(node);
                match self.wait(begun + *within, |all, seen| {
                    all.not_seen_as(seen, n, other, held)
                }) {
                    Ok(()) => self.took(
                        format!("{node} holds {other} for {held}, step {index}"),
                        begun,
                    ),
                    Err(e) => self.fail(format!("step {index}: not so within {within:?}: {e}")),
                }
            }
            other => unreachable!("step {index} is no expectation: {other:?}"),
        }
    }

    /// Waits until a share of the limit on calls a second was used over a time.
    fn expect_usage(&mut self, index: usize, over: Duration, least: f64, within: Duration) {
        let begun = Instant::now();
        let limit = f64::from(self.script.calls_a_second.max(1)) * over.as_secs_f64();
        let mut used = 0.0;
        while begun.elapsed() < within && used < least {
            thread::sleep(USAGE_INTERVAL);
            used = self.backend.recent_calls(over) as f64 / limit;
        }
        if used >= least {
            self.took(format!("{least} of the limit is used, step {index}"), begun);
        } else {
            self.fail(format!(
                "step {index}: {used:.2} of the limit is used after {within:?}, {least} wanted"
            ));
        }
    }

    /// Queries a node's shared state until it shows this.
    fn wait_for_shared_state(
        &self,
        n: usize,
        what: &str,
        until: Instant,
    ) -> Result<(), ExpectationError> {
        let node = &self.nodes[n];
        let socket = UdpSocket::bind((node.bind.ip(), 0))?;
        socket.set_read_timeout(Some(QUERY_TIMEOUT))?;
        let port = u64::from(socket.local_addr().map_or(1, |address| address.port()));
        let incarnation = u64::from(std::process::id()) << 24 | port | 1 << 50;
        let keys = AuthKeys::new(&[AUTH_KEY.to_vec()])
            .map_err(|e| ExpectationError::AuthKeys(e.to_string()))?;
        let mut observer = Observer::new(CLUSTER_NAME, keys, incarnation, REPLAY_WINDOW_NS)
            .for_topic(SHARED_STATE_TOPIC);
        let (begun, mut last) = (Instant::now(), "nothing".to_owned());
        while Instant::now() < until {
            if let Some(bytes) = status_pages(&socket, node.bind, &mut observer, begun) {
                let snapshot = StatusSnapshot::decode(bytes.as_slice())?;
                if shows(&snapshot, what) {
                    return Ok(());
                }
                last = snapshot.explain().join("; ");
            }
            thread::sleep(QUERY_INTERVAL);
        }
        Err(ExpectationError::Unmet(last))
    }

    /// Waits until `unmet` finds nothing that keeps an expectation from holding.
    fn wait(
        &self,
        until: Instant,
        unmet: impl Fn(&FaultScenario, &Observations) -> Option<String>,
    ) -> Result<(), ExpectationError> {
        let mut seen = lock(&self.seen.0);
        loop {
            let Some(what) = unmet(self, &seen) else {
                return Ok(());
            };
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ExpectationError::Unmet(what));
            }
            let waited = self
                .seen
                .1
                .wait_timeout(seen, left.min(Duration::from_millis(200)));
            seen = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Nodes that are up, in groups that reach each other, directly or through others.
    fn groups(&self) -> Vec<Vec<usize>> {
        let mut left: Vec<usize> = (0..self.nodes.len()).filter(|&n| self.is_up(n)).collect();
        let mut groups = Vec::new();
        while let Some(first) = left.pop() {
            let (mut group, mut index) = (vec![first], 0);
            while index < group.len() {
                let here = &self.nodes[group[index]].place;
                let is_reached = |n: &usize| {
                    let there = &self.nodes[*n].place;
                    !self.faults.is_cut(here, there) && !self.faults.is_cut(there, here)
                };
                let (found, rest): (Vec<usize>, Vec<usize>) =
                    left.into_iter().partition(is_reached);
                group.extend(found);
                left = rest;
                index += 1;
            }
            groups.push(group);
        }
        groups
    }

    /// What keeps the cluster from being settled in this many groups.
    fn not_settled(&self, seen: &Observations, sides: usize) -> Option<String> {
        let groups = self.groups();
        if groups.len() != sides {
            return Some(format!(
                "{} groups that hear each other, {sides} wanted",
                groups.len()
            ));
        }
        groups
            .into_iter()
            .find_map(|group| self.not_agreed(seen, group))
    }

    /// What keeps a group from having one digest and just each other as present members.
    fn not_agreed(&self, seen: &Observations, group: Vec<usize>) -> Option<String> {
        let names: BTreeSet<&str> = group.iter().map(|&n| self.nodes[n].name.as_str()).collect();
        let mut digest = None;
        for n in group {
            let name = &self.nodes[n].place.name;
            let Some((_, snapshot)) = &seen[n] else {
                return Some(format!("{name} was not seen yet"));
            };
            let present = snapshot
                .members
                .values()
                .filter(|member| member.liveness.is_present());
            let present: BTreeSet<&str> = present.map(|member| member.name.as_str()).collect();
            if present != names {
                return Some(format!(
                    "{name} holds {present:?} for present, expected {names:?}"
                ));
            }
            if *digest.get_or_insert(snapshot.digest) != snapshot.digest {
                return Some(format!("{name} holds another digest than its group"));
            }
        }
        None
    }

    /// What keeps a node from seeing another, or itself, as `expected`.
    fn not_seen_as(
        &self,
        seen: &Observations,
        n: usize,
        other: &str,
        expected: &str,
    ) -> Option<String> {
        let name = &self.nodes[n].place.name;
        let Some((_, snapshot)) = &seen[n] else {
            return Some(format!("{name} was not seen yet"));
        };
        let found = seen_as(snapshot, other, expected);
        (found != expected).then(|| format!("{name} holds {other} for {found}, not {expected}"))
    }
}

/// How a node sees another, or itself, in the terms of the scenario word that is expected.
fn seen_as(snapshot: &NodeSnapshot, other: &str, expected: &str) -> String {
    let report = &snapshot.report;
    match expected {
        "mute" | "heard" => if report.has_name_conflict {
            "mute"
        } else {
            "heard"
        }
        .to_owned(),
        "unsure" | "sure" => if report.unsure_ms > 0 {
            "unsure"
        } else {
            "sure"
        }
        .to_owned(),
        _ => match snapshot.members.values().find(|m| m.name == other) {
            None => "unknown".to_owned(),
            Some(m) if expected == "draining" && m.liveness == Liveness::Alive => {
                m.phase.as_str().to_owned()
            }
            Some(m) if expected.contains('.') => m.program.clone(),
            Some(m) => m.liveness.as_str().to_owned(),
        },
    }
}

/// Whether a node's shared state shows what this scenario word names.
fn shows(snapshot: &StatusSnapshot, what: &str) -> bool {
    let mode = snapshot
        .service
        .as_ref()
        .map_or("", |service| service.state.as_str());
    match what {
        "floor" => snapshot
            .budgets
            .iter()
            .all(|budget| budget.units <= budget.floor),
        "lent" => snapshot
            .budgets
            .iter()
            .any(|budget| budget.units > budget.floor),
        "lends" => snapshot.is_leader,
        "keys-deaf" => snapshot.is_quota_cut_off,
        "keys-heard" => !snapshot.is_quota_cut_off && snapshot.quota_grant_ms_ago.is_some(),
        what => match what.strip_prefix("counts-") {
            Some(processes) => processes.parse() == Ok(snapshot.processes),
            None => what == mode,
        },
    }
}
