//! Expectations of a scenario's steps. An expectation is checked against the status replies of the
//! nodes until it holds or its time limit has passed.

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

/// Topic of the status snapshot of the shared state.
const SHARED_STATE_TOPIC: u32 = 1;
/// Pause between two checks of the backend service's record.
const USAGE_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why an expectation of the shared state did not hold, shown after the step and the
/// expectation.
#[derive(Debug, Error)]
enum ExpectationError {
    /// The expectation did not hold by the deadline; the text is the last observation.
    #[error("{0}")]
    Unmet(String),
    /// The socket of the status query failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The authentication key of the cluster is not valid.
    #[error("authentication key of the cluster is not valid: {0}")]
    AuthKeys(String),
    /// The status snapshot could not be decoded.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
}

impl FaultScenario {
    /// Waits for the expectation of step `index`. Records the time until the expectation held, or a
    /// failure.
    pub(super) fn expect(&mut self, index: usize, expectation: &Action) {
        let begun = Instant::now();
        match expectation {
            Action::Holds { node, what, within } => {
                match self.wait_for_shared_state(self.node(node), what, begun + *within) {
                    Ok(()) => {
                        self.record_duration(format!("{node} shows {what}, step {index}"), begun)
                    }
                    Err(found) => self.fail(format!(
                        "step {index}: {node} did not show {what} within {within:?}: {found}"
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
                    Ok(()) => self
                        .record_duration(format!("all run settings {number}, step {index}"), begun),
                    Err(e) => self.fail(format!(
                        "step {index}: not all run settings {number} within {within:?}: {e}"
                    )),
                }
            }
            Action::Change {
                to,
                number,
                fate,
                stage,
                within,
            } => self.expect_rollout(index, to, (*number, fate, *stage), *within),
            Action::Settled { within, sides } => {
                match self.wait(begun + *within, |all, seen| all.not_settled(seen, *sides)) {
                    Ok(()) => self.record_duration(format!("settled, step {index}"), begun),
                    Err(e) => {
                        self.fail(format!("step {index}: not settled within {within:?}: {e}"));
                    }
                }
            }
            Action::Sees {
                node,
                other,
                liveness: expected,
                within,
            } => {
                let n = self.node(node);
                match self.wait(begun + *within, |all, seen| {
                    all.not_seen_as(seen, n, other, expected)
                }) {
                    Ok(()) => self.record_duration(
                        format!("{node} holds {other} for {expected}, step {index}"),
                        begun,
                    ),
                    Err(e) => self.fail(format!(
                        "step {index}: {other} not {expected} for {node} within {within:?}: {e}"
                    )),
                }
            }
            other => unreachable!("the action of step {index} is not an expectation: {other:?}"),
        }
    }

    /// Waits until the backend calls of the last `over` are at least the share `least` of the limit
    /// on calls per second.
    fn expect_usage(&mut self, index: usize, over: Duration, least: f64, within: Duration) {
        let begun = Instant::now();
        let limit = f64::from(self.script.calls_a_second.max(1)) * over.as_secs_f64();
        let mut used = 0.0;
        while begun.elapsed() < within && used < least {
            thread::sleep(USAGE_INTERVAL);
            used = self.backend.recent_calls(over) as f64 / limit;
        }
        if used >= least {
            self.record_duration(format!("{least} of the limit is used, step {index}"), begun);
        } else {
            self.fail(format!(
                "step {index}: {used:.2} of the limit is used after {within:?}, {least} expected"
            ));
        }
    }

    /// Queries a node's shared state until the reply shows `what`, a term of the scenario file.
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
        let (begun, mut last) = (Instant::now(), "no reply".to_owned());
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

    /// Waits until `unmet` returns `None`. Before that, `unmet` returns why an expectation does not
    /// hold yet.
    fn wait(
        &self,
        until: Instant,
        unmet: impl Fn(&FaultScenario, &Observations) -> Option<String>,
    ) -> Result<(), ExpectationError> {
        let mut seen = lock(&self.seen.0);
        loop {
            let Some(reason) = unmet(self, &seen) else {
                return Ok(());
            };
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ExpectationError::Unmet(reason));
            }
            let waited = self
                .seen
                .1
                .wait_timeout(seen, left.min(Duration::from_millis(200)));
            seen = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Returns the nodes that are up, in groups whose nodes reach each other directly or through
    /// other nodes of the group.
    fn groups(&self) -> Vec<Vec<usize>> {
        let mut left: Vec<usize> = (0..self.nodes.len()).filter(|&n| self.is_up(n)).collect();
        let mut groups = Vec::new();
        while let Some(first) = left.pop() {
            let (mut group, mut index) = (vec![first], 0);
            while index < group.len() {
                let from = &self.nodes[group[index]].place;
                let is_reached = |n: &usize| {
                    let to = &self.nodes[*n].place;
                    !self.faults.is_cut(from, to) && !self.faults.is_cut(to, from)
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

    /// Returns why the cluster is not settled in `sides` groups; `None` if it is.
    fn not_settled(&self, seen: &Observations, sides: usize) -> Option<String> {
        let groups = self.groups();
        if groups.len() != sides {
            return Some(format!(
                "{} groups that hear each other, {sides} expected",
                groups.len()
            ));
        }
        groups
            .into_iter()
            .find_map(|group| self.not_agreed(seen, group))
    }

    /// Returns why the nodes of a group do not agree; `None` if they do. Nodes agree if all have
    /// the same digest, and see exactly the nodes of the group as present members.
    fn not_agreed(&self, seen: &Observations, group: Vec<usize>) -> Option<String> {
        let names: BTreeSet<&str> = group.iter().map(|&n| self.nodes[n].name.as_str()).collect();
        let mut digest = None;
        for n in group {
            let name = &self.nodes[n].place.name;
            let Some((_, snapshot)) = &seen[n] else {
                return Some(format!("{name} has not answered a status query"));
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
                return Some(format!(
                    "the digest of {name} differs from that of its group"
                ));
            }
        }
        None
    }

    /// Returns why a node does not see another node, or itself, as `expected`; `None` if the node
    /// does.
    fn not_seen_as(
        &self,
        seen: &Observations,
        n: usize,
        other: &str,
        expected: &str,
    ) -> Option<String> {
        let name = &self.nodes[n].place.name;
        let Some((_, snapshot)) = &seen[n] else {
            return Some(format!("{name} has not answered a status query"));
        };
        let found = seen_as(snapshot, other, expected);
        (found != expected).then(|| format!("{name} holds {other} for {found}, not {expected}"))
    }
}

/// Returns how a node sees another node, or itself. The scenario term `expected` selects the
/// property that is compared: name conflict, local health, phase, program version or liveness.
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

/// Returns whether a node's shared state has the property that the scenario term `what` names.
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
