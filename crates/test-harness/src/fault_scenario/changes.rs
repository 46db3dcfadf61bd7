//! Rollouts of settings in fault scenarios: offers versions, halts and rolls back rollouts, waits
//! for their outcome, and checks the joined event record against the rules of a rollout.

mod record_check;

use super::observe::{Observations, status_pages};
use super::{AUTH_KEY, CLUSTER_NAME, FaultScenario, QUERY_INTERVAL, QUERY_TIMEOUT};
use crate::event_record::EventLine;
use crate::scenario::NodeSelector;
use madderpoint_membership::datagram_auth::AuthKeys;
use madderpoint_membership::observer::Observer;
use madderpoint_rollout::chunks;
use madderpoint_rollout::messages::{CommandReply, OperatorCommand, command_kind};
use madderpoint_rollout::status::StatusSnapshot;
use prost::Message as _;
pub use record_check::RolloutChecker;
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Topic of the messages about rollouts of settings.
const TOPIC: u32 = 2;
/// Longest time from an operator command to its final reply.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of settings that are too large for nodes with little memory, in bytes.
const LARGE_BYTES: usize = 400 << 10;

impl FaultScenario {
    /// Returns the settings of the cluster. All nodes have the same settings; the values of a
    /// single node come from its environment.
    pub(super) fn settings(
        &self,
        number: u64,
        rules: &str,
        more: &str,
        program: Option<&str>,
    ) -> String {
        let seeds: String = self
            .nodes
            .iter()
            .take(3)
            .map(|node| format!("<seed address=\"{}\"/>", node.reached))
            .collect();
        let periods: String = self
            .script
            .periods
            .iter()
            .map(|(name, value)| format!(" {name}=\"{value}\""))
            .collect();
        let program = program.map_or_else(String::new, |program| format!(" program=\"{program}\""));
        let mut shared = self.shared_settings();
        let rollout = match &self.script.rollout {
            None => String::new(),
            Some(rollout) => {
                // A rollout needs voters, so the settings must name some.
                if !shared.contains("<arbiter") {
                    shared = format!(
                        "<arbiter name=\"n0\"/><arbiter name=\"n1\"/><arbiter name=\"n2\"/>{shared}"
                    );
                }
                let dir = format!("<rollout dir=\"{}\"", self.versions_dir().display());
                rollout.replacen("<rollout", &dir, 1)
            }
        };
        format!(
            "<translator version=\"1\" number=\"{number}\">{rules}<fleet name=\"{CLUSTER_NAME}\" keys=\"{}\"{program}>{seeds}{shared}\
             <periods{periods}/></fleet>{rollout}{}{more}</translator>",
            self.key_file.display(),
            self.setup.extra_settings
        )
    }

    /// Returns the directory of the nodes' version stores.
    pub(super) fn versions_dir(&self) -> PathBuf {
        let name = format!(
            "rig-{}-{}-versions",
            std::process::id(),
            self.nodes[0].bind.ip()
        );
        self.setup.dir.join(name)
    }

    /// Returns the settings of version `number` with the change that a scenario names.
    fn offered_settings(&self, number: u64, change: &str) -> String {
        let rule = |condition: &str, output: &str| {
            format!(
                "<rules><rule name=\"v{number}\"><when>{condition}</when>{output}</rule></rules>"
            )
        };
        let base = self.rules();
        let good = if base.is_empty() {
            rule("operation == \"read\"", "<give class=\"c\"/>")
        } else {
            base
        };
        match change {
            "throttles" => self.settings(
                number,
                &rule("true", "<throttle pause=\"50ms\" reason=\"new\"/>"),
                "",
                None,
            ),
            "errs-read" => {
                let rules = rule(
                    "operation == \"read\"",
                    "<error status=\"500\" reason=\"new\"/>",
                );
                self.settings(number, &rules, "", None)
            }
            "periods" => self
                .settings(number, &good, "", None)
                .replace("gossip=\"50ms\"", "gossip=\"60ms\""),
            "broken" => self.settings(number, &good, "<nonsense/>", None),
            "large" => self.settings(
                number,
                &good,
                &format!("<!--{}-->", "x".repeat(LARGE_BYTES)),
                None,
            ),
            "keys" => {
                let other = self.key_file.with_extension("other");
                let _ = std::fs::write(&other, "77".repeat(32));
                let own = self.key_file.display().to_string();
                self.settings(number, &good, "", None)
                    .replace(&own, &other.display().to_string())
            }
            _ => self.settings(number, &good, "", None),
        }
    }

    fn observer(&self, socket: &UdpSocket) -> Result<Observer, String> {
        let port = u64::from(socket.local_addr().map_or(1, |address| address.port()));
        let seed = u64::from(std::process::id()) << 24 | port | 1 << 51;
        Ok(Observer::new(
            CLUSTER_NAME,
            AuthKeys::new(&[AUTH_KEY.to_vec()]).map_err(|error| error.to_string())?,
            seed,
            600_000_000_000,
        )
        .for_topic(TOPIC))
    }

    /// Sends an operator command to a node, repeatedly until the reply accepts or rejects the
    /// command.
    fn send_command(&self, n: usize, command: &OperatorCommand) -> Result<CommandReply, String> {
        let node = &self.nodes[n];
        let socket = UdpSocket::bind((node.bind.ip(), 0)).map_err(|e| e.to_string())?;
        socket
            .set_read_timeout(Some(4 * QUERY_TIMEOUT))
            .map_err(|e| e.to_string())?;
        let (mut observer, begun, mut buffer) =
            (self.observer(&socket)?, Instant::now(), [0; 2048]);
        while begun.elapsed() < COMMAND_TIMEOUT {
            let unix = || crate::peers::unix_ms().parse::<u64>().unwrap_or(0);
            let frame = observer.command(unix(), TOPIC, &command.encode_to_vec());
            socket
                .send_to(&frame, node.bind)
                .map_err(|e| e.to_string())?;
            while let Ok((n, _)) = socket.recv_from(&mut buffer) {
                let now = begun.elapsed().as_nanos() as u64;
                let Ok(Some(reply)) = observer.command_reply(now, unix(), &buffer[..n]) else {
                    continue;
                };
                let reply = CommandReply::decode(reply.as_slice()).map_err(|e| e.to_string())?;
                if reply.state != 1 {
                    return Ok(reply);
                }
                thread::sleep(QUERY_INTERVAL);
                break;
            }
        }
        Err("no final reply within 20 s".into())
    }

    /// Offers settings to a node, chunk by chunk; records a failure unless the node accepts the
    /// settings, or rejects them if `rejected` is set.
    pub(super) fn offer(
        &mut self,
        index: usize,
        node: &str,
        number: u64,
        change: &str,
        rejected: bool,
    ) {
        let (n, begun) = (self.node(node), Instant::now());
        let content = self.offered_settings(number, change).into_bytes();
        let digest = chunks::digest(&content).to_vec();
        let mut reply = Err("the settings are empty".to_owned());
        for no in 0..chunks::count(content.len()) {
            let bytes = chunks::chunk(&content, no).unwrap_or_default().to_vec();
            let (size, digest) = (content.len() as u32, digest.clone());
            reply = self.send_command(
                n,
                &OperatorCommand {
                    kind: command_kind::CHUNK,
                    chunk: no,
                    bytes,
                    size,
                    digest,
                    ..OperatorCommand::default()
                },
            );
            if !matches!(&reply, Ok(reply) if reply.state == 0) {
                break;
            }
        }
        if matches!(&reply, Ok(reply) if reply.state == 0) {
            reply = self.send_command(
                n,
                &OperatorCommand {
                    kind: command_kind::OFFER,
                    digest,
                    ..OperatorCommand::default()
                },
            );
        }
        match reply {
            Ok(reply) if (reply.state == 2) == rejected => {
                let result = if rejected {
                    format!("turned down: {}", reply.why)
                } else {
                    "taken".into()
                };
                self.record.note(
                    node,
                    "rig",
                    format!("settings {number} ({change}): {result}"),
                );
                self.record_duration(format!("settings {number} offered, step {index}"), begun);
            }
            Ok(reply) => self.fail(format!(
                "step {index}: unexpected reply of {node} to the offer of settings {number}: {reply:?}"
            )),
            Err(error) => self.fail(format!(
                "step {index}: {node} was not offered settings {number}: {error}"
            )),
        }
    }

    /// Makes a node's writes of its persisted state fail, or lets them succeed again: a directory
    /// takes the name of the temporary file that the node writes before it renames the file.
    pub(super) fn set_disk_full(&mut self, index: usize, node: &str, full: bool) {
        let path = self
            .versions_dir()
            .join(&self.nodes[self.node(node)].name)
            .join("settings.new");
        let done = if full {
            std::fs::create_dir_all(&path)
        } else {
            std::fs::remove_dir(&path)
        };
        if let Err(e) = done {
            self.fail(format!("step {index}: {}: {e}", path.display()));
        }
    }

    /// Has a node halt the rollout in progress, or roll it back.
    pub(super) fn end_rollout(&mut self, index: usize, node: &str, back: bool) {
        let kind = if back {
            command_kind::ROLL_BACK
        } else {
            command_kind::HALT
        };
        let command = OperatorCommand {
            kind,
            why: "step of the scenario".into(),
            ..OperatorCommand::default()
        };
        match self.send_command(self.node(node), &command) {
            Ok(reply) if reply.state == 0 => {}
            other => self.fail(format!(
                "step {index}: {node} did not accept the command: {other:?}"
            )),
        }
    }

    /// Returns the number of the settings that each running node reports for itself, by node name.
    pub(super) fn running_settings(&self) -> BTreeMap<String, u64> {
        let seen = super::lock(&self.seen.0);
        let own = |n: usize| {
            let (_, snapshot) = seen[n].as_ref()?;
            let name = &self.nodes[n].name;
            let own = snapshot
                .members
                .values()
                .find(|member| member.name == *name)?;
            Some((name.clone(), own.settings.0))
        };
        (0..self.nodes.len())
            .filter(|&n| self.is_up(n))
            .filter_map(own)
            .collect()
    }

    /// Returns why not all selected nodes that are up run settings `number`; `None` if all do.
    pub(super) fn not_running(
        &self,
        seen: &Observations,
        to: &NodeSelector,
        number: u64,
    ) -> Option<String> {
        for (n, node) in self.nodes.iter().enumerate() {
            if !to.has(&node.place.name, &node.place.zone) || !self.is_up(n) {
                continue;
            }
            let name = &node.place.name;
            let Some((_, snapshot)) = &seen[n] else {
                return Some(format!("{name} has not answered a status query"));
            };
            let own = snapshot
                .members
                .values()
                .find(|member| member.name == node.name);
            let runs = own.map_or(0, |own| own.settings.0);
            if runs != number {
                return Some(format!("{name} runs settings {runs}, not {number}"));
            }
        }
        None
    }

    /// Waits until all selected nodes that are up report the expected outcome and stage of the
    /// rollout of a settings number. An empty outcome accepts any.
    pub(super) fn expect_rollout(
        &mut self,
        index: usize,
        to: &NodeSelector,
        expected: (u64, &str, u32),
        within: Duration,
    ) {
        let (begun, (number, outcome, stage)) = (Instant::now(), expected);
        let mut left: Vec<usize> = (0..self.nodes.len())
            .filter(|&n| {
                to.has(&self.nodes[n].place.name, &self.nodes[n].place.zone) && self.is_up(n)
            })
            .collect();
        let mut last = String::new();
        while begun.elapsed() < within && !left.is_empty() {
            left.retain(|&n| match self.reported_rollout(n, number) {
                Some((reported_outcome, reported_stage, line)) => {
                    last = format!("{}: {line}", self.nodes[n].place.name);
                    (!outcome.is_empty() && reported_outcome != outcome) || reported_stage < stage
                }
                None => {
                    last = format!(
                        "{}: reports no rollout of settings {number}",
                        self.nodes[n].place.name
                    );
                    true
                }
            });
            thread::sleep(4 * QUERY_INTERVAL);
        }
        if left.is_empty() {
            self.record.note("rig", "change", last.clone());
            self.record_duration(
                format!("settings {number}: {outcome} stage {stage}, step {index}"),
                begun,
            );
        } else {
            // The coordinator's line of text says what the rollout waits for.
            let all = (0..self.nodes.len()).filter(|&n| self.is_up(n));
            let lines = all.filter_map(|n| {
                Some(format!(
                    "{}: {}",
                    self.nodes[n].place.name,
                    self.reported_rollout(n, number)?.2
                ))
            });
            let lines: Vec<String> = lines.collect();
            let reason = format!(
                "settings {number} not {outcome} stage {stage} in {within:?}; {last}; {lines:#?}"
            );
            self.fail(format!("step {index}: {reason}"));
        }
    }

    /// Returns what a node reports about the rollout of settings `number`: the outcome, the stage
    /// and a line of text. `None` if the node does not answer or reports no such rollout.
    fn reported_rollout(&self, n: usize, number: u64) -> Option<(String, u32, String)> {
        let node = &self.nodes[n];
        let socket = UdpSocket::bind((node.bind.ip(), 0)).ok()?;
        socket.set_read_timeout(Some(QUERY_TIMEOUT)).ok()?;
        let (mut observer, begun) = (self.observer(&socket).ok()?, Instant::now());
        let bytes = (0..4).find_map(|_| status_pages(&socket, node.bind, &mut observer, begun))?;
        let snapshot = StatusSnapshot::decode(bytes.as_slice()).ok()?;
        let has_number = |rollout: &&madderpoint_rollout::status::RolloutStatus| {
            rollout
                .version
                .is_some_and(|version| version.number == number)
        };
        let rollout = snapshot.rollouts.iter().find(has_number)?;
        let line = format!(
            "{} stage {} {}; {} {}",
            rollout.outcome, rollout.stage, rollout.why, snapshot.waits, snapshot.verdict
        );
        Some((rollout.outcome.clone(), rollout.stage, line))
    }

    /// Checks the log lines of all nodes about rollouts.
    pub(super) fn check_rollouts(&mut self, lines: &[EventLine]) {
        let mut checker = RolloutChecker::default();
        for line in lines {
            if line.part == "rig" && line.message.starts_with("started as ") {
                checker.node_started(&line.source);
            }
            if let Some(stopped) = line
                .message
                .strip_prefix("Stop(\"")
                .filter(|_| line.part == "step")
            {
                checker
                    .stopped
                    .insert(stopped.trim_end_matches("\")").to_owned());
            }
            if line.part == "rollout" {
                checker.line(&line.source, &line.message);
            }
        }
        self.outcome.on_trial = checker.most_on_trial;
        self.outcome.failures.extend(checker.violations);
    }
}

#[cfg(test)]
mod tests;
