//! Holds the joined record of all nodes against what the rules of a rollout allow.

use std::collections::{BTreeMap, BTreeSet};

/// What a node said of its versions so far.
#[derive(Debug, Default)]
struct Node {
    running: Option<u64>,
    trial: Option<u64>,
    staged: BTreeSet<u64>,
    good: BTreeSet<u64>,
    stages: BTreeMap<String, u64>,
    ended: BTreeMap<String, String>,
}

/// Holds the joined record against what the rules of a rollout allow.
#[derive(Debug, Default)]
pub struct Checked {
    nodes: BTreeMap<String, Node>,
    /// Nodes that were told to leave, and did not start since.
    pub(super) stopped: BTreeSet<String>,
    /// Nodes that left by notice before this start.
    left: BTreeSet<String>,
    /// The most nodes with each number on trial at once.
    pub most: BTreeMap<u64, usize>,
    pub wrong: Vec<String>,
}

/// The number that follows a word in a line.
fn number_after(line: &str, word: &str) -> Option<u64> {
    let (_, rest) = line.split_once(word)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

impl Checked {
    /// A node starts anew.
    pub(super) fn starts(&mut self, who: &str) {
        let before = self
            .nodes
            .insert(who.to_owned(), Node::default())
            .unwrap_or_default();
        // What it has on its disk is as before.
        let node = Node {
            staged: before.staged,
            ..Node::default()
        };
        self.nodes.insert(who.to_owned(), node);
        if self.stopped.remove(who) {
            self.left.insert(who.to_owned());
        } else {
            self.left.remove(who);
        }
    }

    /// A line of a node about rollouts of settings.
    pub fn line(&mut self, who: &str, line: &str) {
        let Some(line) = line.strip_prefix("settings: ") else {
            return;
        };
        let node = self.nodes.entry(who.to_owned()).or_default();
        let mut wrong = |what: &str| self.wrong.push(format!("{who}: {what}: {line}"));
        let rollout = line
            .strip_prefix("change ")
            .and_then(|rest| rest.split_once(": "));
        if let Some((id, rest)) = rollout {
            if let Some(stage) = number_after(rest, "stage ").filter(|_| rest.ends_with("begins")) {
                if node.ended.contains_key(id) {
                    wrong("a stage begins after the change was heard to have ended");
                }
                if node.stages.get(id).is_some_and(|before| stage <= *before) {
                    wrong("a stage begins that is not after the one before");
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
        if line.contains("died on trial here") && self.left.contains(who) {
            wrong("a version is held for dead on trial, and the node left by notice");
        }
        if line.contains("is on trial") {
            if !node.staged.contains(&number) {
                wrong("a version is on trial that was not checked and written here");
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
        let most = self.most.entry(number).or_default();
        *most = (*most).max(on_trial);
    }
}
