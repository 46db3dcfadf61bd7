//! Checks what must hold for every request: exactly one final answer, in time, and no effect twice.

use crate::wire::Answer;
use crate::worker::{Started, result};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

#[derive(Debug)]
struct Sent {
    at: Instant,
    /// What it is known again by, where it must run once.
    key: Option<String>,
    answers: Vec<(Instant, String)>,
    left: bool,
}

/// What was sent and what came back, over all connections.
#[derive(Debug, Default)]
pub struct Checker {
    sent: HashMap<String, Sent>,
    wrong: Vec<String>,
}

/// What the answers came to, by status.
pub type Statuses = BTreeMap<String, usize>;

impl Checker {
    /// A request's last byte was written.
    pub fn sent(&mut self, rid: &str, key: Option<&str>) {
        let sent = Sent {
            at: Instant::now(),
            key: key.map(str::to_owned),
            answers: Vec::new(),
            left: false,
        };
        if self.sent.insert(rid.to_owned(), sent).is_some() {
            self.wrong.push(format!("{rid} was sent twice"));
        }
    }

    /// An answer came whole; `joins` says whether it may be another run's result, of which this one
    /// is a repeat.
    pub fn answered(&mut self, rid: &str, answer: &Answer, joins: bool) {
        let Some(sent) = self.sent.get_mut(rid) else {
            return self
                .wrong
                .push(format!("{rid} was never sent and got {}", answer.status));
        };
        sent.answers.push((Instant::now(), answer.status.clone()));
        let own = answer.body == result(rid) || joins && answer.body.starts_with(b"result of ");
        if answer.status == "200" && !own {
            self.wrong.push(format!(
                "{rid} got what no run made for it: {:?}",
                answer.body
            ));
        }
    }

    /// The caller no longer waits.
    pub fn left(&mut self, rid: &str) {
        if let Some(sent) = self.sent.get_mut(rid) {
            sent.left = true;
        }
    }

    /// All that is wrong with what was seen, given what the kernel was told to run.
    pub fn verdict(
        mut self,
        started: &[Started],
        timeout: Duration,
    ) -> Result<Statuses, Vec<String>> {
        let mut statuses = Statuses::new();
        for (rid, sent) in &self.sent {
            match sent.answers.as_slice() {
                [] if sent.left => {}
                [(at, status)] => {
                    *statuses.entry(status.clone()).or_default() += 1;
                    if *at > sent.at + timeout {
                        self.wrong.push(format!(
                            "{rid} was answered {:?} after it was sent",
                            *at - sent.at
                        ));
                    }
                }
                answers => self
                    .wrong
                    .push(format!("{rid} got {} answers", answers.len())),
            }
        }
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for started in started {
            match self.sent.get(&started.rid) {
                None => self
                    .wrong
                    .push(format!("{} ran and was never sent", started.rid)),
                Some(sent) => {
                    let turned_away = sent.answers.iter().any(|(_, s)| s == "429" || s == "503");
                    if turned_away {
                        self.wrong
                            .push(format!("{} ran and was told that it did not", started.rid));
                    }
                    if let Some(key) = &sent.key {
                        *runs.entry(key).or_default() += 1;
                    }
                }
            }
        }
        let twice = runs.into_iter().filter(|(_, n)| *n > 1);
        self.wrong
            .extend(twice.map(|(key, n)| format!("what is known by {key} ran {n} times")));
        if self.wrong.is_empty() {
            Ok(statuses)
        } else {
            Err(self.wrong)
        }
    }
}
