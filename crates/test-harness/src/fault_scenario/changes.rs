//! The fault scenario runner's part in rollouts of settings: it offers them, looks what has become of
//! them, and checks the joined record of all nodes against the rules of a rollout.

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
pub use record_check::Checked;
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// The topic of rollouts of settings.
const TOPIC: u32 = 2;
/// How long a command may take until its final reply.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of a rollout that is too large for nodes with little memory.
const LARGE_BYTES: usize = 400 << 10;

impl FaultScenario {
    /// Settings of the fleet: all nodes have the same, but for what the environment tells them.
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
        let mut shared = self.shared();
        let rollout = match &self.script.rollout {
            None => String::new(),
            Some(rollout) => {
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
            self.setting.extra_settings
        )
    }

    /// Where versions are kept.
    pub(super) fn versions_dir(&self) -> PathBuf {
        let name = format!(
            "rig-{}-{}-versions",
            std::process::id(),
            self.nodes[0].bind.ip()
        );
        self.setting.dir.join(name)
    }

    /// Settings with a rollout in them.
    fn changed(&self, number: u64, rollout: &str) -> String {
        let rule = |when: &str, then: &str| {
            format!("<rules><rule name=\"v{number}\"><when>{when}</when>{then}</rule></rules>")
        };
        let base = self.rules();
        let good = if base.is_empty() {
            rule("operation == \"read\"", "<give class=\"c\"/>")
        } else {
            base
        };
        match rollout {
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

    /// Orders something of a node, until it is taken or turned down.
    fn order(&self, n: usize, command: &OperatorCommand) -> Result<CommandReply, String> {
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
                let Ok(Some(answer)) = observer.command_reply(now, unix(), &buffer[..n]) else {
                    continue;
                };
                let answer = CommandReply::decode(answer.as_slice()).map_err(|e| e.to_string())?;
                if answer.state != 1 {
                    return Ok(answer);
                }
                thread::sleep(QUERY_INTERVAL);
                break;
            }
        }
        Err("no answer that is final".into())
    }

    pub(super) fn offer(
        &mut self,
        at: usize,
        node: &str,
        number: u64,
        rollout: &str,
        rejected: bool,
    ) {
        let (n, begun) = (self.node(node), Instant::now());
        let content = self.changed(number, rollout).into_bytes();
        let digest = chunks::digest(&content).to_vec();
        let mut answer = Err("nothing to offer".to_owned());
        for no in 0..chunks::count(content.len()) {
            let bytes = chunks::chunk(&content, no).unwrap_or_default().to_vec();
            let (size, digest) = (content.len() as u32, digest.clone());
            answer = self.order(
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
            if !matches!(&answer, Ok(answer) if answer.state == 0) {
                break;
            }
        }
        if matches!(&answer, Ok(answer) if answer.state == 0) {
            answer = self.order(
                n,
                &OperatorCommand {
                    kind: command_kind::OFFER,
                    digest,
                    ..OperatorCommand::default()
                },
            );
        }
        match answer {
            Ok(answer) if (answer.state == 2) == rejected => {
                let word = if rejected {
                    format!("turned down: {}", answer.why)
                } else {
                    "taken".into()
                };
                self.record.note(
                    node,
                    "rig",
                    format!("settings {number} ({rollout}): {word}"),
                );
                self.took(format!("settings {number} offered, step {at}"), begun);
            }
            Ok(answer) => self.fail(format!(
                "step {at}: {node} says of settings {number}: {answer:?}"
            )),
            Err(what) => self.fail(format!("step {at}: {node}, settings {number}: {what}")),
        }
    }

    /// Has a node's writes of what it keeps fail: something stands where it writes the new file
    /// before it is put in its place.
    pub(super) fn fill(&mut self, at: usize, node: &str, full: bool) {
        let place = self
            .versions_dir()
            .join(&self.nodes[self.node(node)].name)
            .join("settings.new");
        let done = if full {
            std::fs::create_dir_all(&place)
        } else {
            std::fs::remove_dir(&place)
        };
        if let Err(e) = done {
            self.fail(format!("step {at}: {}: {e}", place.display()));
        }
    }

    pub(super) fn end_change(&mut self, at: usize, node: &str, back: bool) {
        let kind = if back {
            command_kind::ROLL_BACK
        } else {
            command_kind::HALT
        };
        let command = OperatorCommand {
            kind,
            why: "the timetable says so".into(),
            ..OperatorCommand::default()
        };
        match self.order(self.node(node), &command) {
            Ok(answer) if answer.state == 0 => {}
            other => self.fail(format!(
                "step {at}: {node} did not take the order: {other:?}"
            )),
        }
    }

    /// The settings that each node that is up runs, as it says itself.
    pub(super) fn settings_run(&self) -> BTreeMap<String, u64> {
        let seen = super::lock(&self.seen.0);
        let own = |n: usize| {
            let (_, holding) = seen[n].as_ref()?;
            let name = &self.nodes[n].name;
            let own = holding
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

    /// What keeps nodes from running settings of this number.
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
            let Some((_, holding)) = &seen[n] else {
                return Some(format!("{name} was not seen yet"));
            };
            let own = holding
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

    /// Waits until nodes know a rollout as this.
    pub(super) fn change_is(
        &mut self,
        at: usize,
        to: &NodeSelector,
        is: (u64, &str, u32),
        within: Duration,
    ) {
        let (begun, (number, outcome, stage)) = (Instant::now(), is);
        let mut left: Vec<usize> = (0..self.nodes.len())
            .filter(|&n| {
                to.has(&self.nodes[n].place.name, &self.nodes[n].place.zone) && self.is_up(n)
            })
            .collect();
        let mut last = String::new();
        while begun.elapsed() < within && !left.is_empty() {
            left.retain(|&n| match self.knows(n, number) {
                Some((known_fate, known_stage, line)) => {
                    last = format!("{}: {line}", self.nodes[n].place.name);
                    (!outcome.is_empty() && known_fate != outcome) || known_stage < stage
                }
                None => {
                    last = format!("{}: knows no change to {number}", self.nodes[n].place.name);
                    true
                }
            });
            thread::sleep(4 * QUERY_INTERVAL);
        }
        if left.is_empty() {
            self.record.note("rig", "change", last.clone());
            self.took(
                format!("settings {number}: {outcome} stage {stage}, step {at}"),
                begun,
            );
        } else {
            // Who conducts tells what it waits for.
            let all = (0..self.nodes.len()).filter(|&n| self.is_up(n));
            let lines = all.filter_map(|n| {
                Some(format!(
                    "{}: {}",
                    self.nodes[n].place.name,
                    self.knows(n, number)?.2
                ))
            });
            let lines: Vec<String> = lines.collect();
            let what = format!(
                "settings {number} not {outcome} stage {stage} in {within:?}; {last}; {lines:#?}"
            );
            self.fail(format!("step {at}: {what}"));
        }
    }

    /// What a node knows of the rollout to settings of this number: what became of it, its stage,
    /// and all in words.
    fn knows(&self, n: usize, number: u64) -> Option<(String, u32, String)> {
        let node = &self.nodes[n];
        let socket = UdpSocket::bind((node.bind.ip(), 0)).ok()?;
        socket.set_read_timeout(Some(QUERY_TIMEOUT)).ok()?;
        let (mut observer, begun) = (self.observer(&socket).ok()?, Instant::now());
        let bytes = (0..4).find_map(|_| status_pages(&socket, node.bind, &mut observer, begun))?;
        let shown = StatusSnapshot::decode(bytes.as_slice()).ok()?;
        let is_it = |rollout: &&madderpoint_rollout::status::RolloutStatus| {
            rollout
                .version
                .is_some_and(|version| version.number == number)
        };
        let rollout = shown.rollouts.iter().find(is_it)?;
        let line = format!(
            "{} stage {} {}; {} {}",
            rollout.outcome, rollout.stage, rollout.why, shown.waits, shown.verdict
        );
        Some((rollout.outcome.clone(), rollout.stage, line))
    }

    /// Looks over what all nodes said they did about rollouts.
    pub(super) fn changes_are_allowed(&mut self, lines: &[EventLine]) {
        let mut checked = Checked::default();
        for line in lines {
            if line.part == "rig" && line.what.starts_with("started as ") {
                checked.starts(&line.who);
            }
            if let Some(stopped) = line
                .what
                .strip_prefix("Stop(\"")
                .filter(|_| line.part == "step")
            {
                checked
                    .stopped
                    .insert(stopped.trim_end_matches("\")").to_owned());
            }
            if line.part == "rollout" {
                checked.line(&line.who, &line.what);
            }
        }
        self.outcome.on_trial = checked.most;
        self.outcome.failures.extend(checked.wrong);
    }
}

#[cfg(test)]
mod tests;
