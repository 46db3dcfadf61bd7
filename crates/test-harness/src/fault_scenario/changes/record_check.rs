//! Checks the joined event record of all nodes against the rules of a rollout.

use std::collections::{BTreeMap, BTreeSet};

/// State of one node's versions, as derived from the node's log lines.
#[derive(Debug, Default)]
struct Node {
    running: Option<u64>,
    trial: Option<u64>,
    staged: BTreeSet<u64>,
    good: BTreeSet<u64>,
    /// Last stage that began, by rollout id.
    stages: BTreeMap<String, u64>,
    /// Final outcome, by rollout id.
    ended: BTreeMap<String, String>,
}

/// Follows the log lines of all nodes about rollouts, and collects violations of the rules.
#[derive(Debug, Default)]
pub struct RolloutChecker {
    nodes: BTreeMap<String, Node>,
    /// Nodes that were stopped by SIGTERM and have not started since.
    pub(super) stopped: BTreeSet<String>,
    /// Nodes whose last process was stopped by SIGTERM.
    left: BTreeSet<String>,
    /// Maximum number of nodes that had a version on trial at the same time, by version number.
    pub most_on_trial: BTreeMap<u64, usize>,
    /// One text for each violation found so far.
    pub violations: Vec<String>,
}

/// Returns the decimal number that follows `prefix` in a line.
fn number_after(line: &str, prefix: &str) -> Option<u64> {
    let (_, rest) = line.split_once(prefix)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

impl RolloutChecker {
    /// Records the start of a node's process.
    pub(super) fn node_started(&mut self, name: &str) {
        let before = self
            .nodes
            .insert(name.to_owned(), Node::default())
            .unwrap_or_default();
        // Staged versions are on disk and survive a restart.
        let node = Node {
            staged: before.staged,
            ..Node::default()
        };
        self.nodes.insert(name.to_owned(), node);
        if self.stopped.remove(name) {
            self.left.insert(name.to_owned());
        } else {
            self.left.remove(name);
        }
    }

    /// Follows a log line of a node. Lines that are not about rollouts of settings are ignored.
    pub fn line(&mut self, name: &str, line: &str) {
        let Some(line) = line.strip_prefix("settings: ") else {
            return;
        };
        let node = self.nodes.entry(name.to_owned()).or_default();
        let mut violation = |rule: &str| self.violations.push(format!("{name}: {rule}: {line}"));
        let rollout = line
            .strip_prefix("change ")
            .and_then(|rest| rest.split_once(": "));
        if let Some((id, rest)) = rollout {
            if let Some(stage) = number_after(rest, "stage ").filter(|_| rest.ends_with("begins")) {
                if node.ended.contains_key(id) {
                    violation("a stage begins after the node logged the rollout's outcome");
                }
                if node.stages.get(id).is_some_and(|before| stage <= *before) {
                    violation("a stage begins that is not higher than the previous one");
                }
                node.stages.insert(id.to_owned(), stage);
            }
            for outcome in ["refused", "halted", "back", "done"] {
                if rest.starts_with(&format!("{outcome},")) {
                    node.ended.insert(id.to_owned(), outcome.to_owned());
                }
            }
            if let Some(number) =
                number_after(rest, "version ").filter(|_| rest.ends_with("is staged"))
            {
                node.staged.insert(number);
            }
            return;
        }
        let Some(number) = number_after(line, "version ") else {
            return;
        };
        if line.contains("died on trial here") && self.left.contains(name) {
            violation("a version counts as crashed on trial, but the node was stopped by SIGTERM");
        }
        if line.contains("is on trial") {
            if !node.staged.contains(&number) {
                violation("a version is on trial that the node has not staged");
            }
            (node.running, node.trial) = (Some(number), Some(number));
        } else if line.contains("is in force") {
            (node.running, node.trial) = (Some(number), None);
        } else if line.contains("is good") {
            node.good.insert(number);
            node.trial = None;
        }
        let on_trial = self
            .nodes
            .values()
            .filter(|node| node.trial == Some(number))
            .count();
        let most = self.most_on_trial.entry(number).or_default();
        *most = (*most).max(on_trial);
    }
}
