//! Checks what must hold for every request: exactly one final answer, in time, with the result of
//! its own execution, and nothing with an idempotency key executed twice.

use crate::executor::{StartedExecution, result};
use crate::wire::Answer;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use thiserror::Error;

#[derive(Debug)]
struct SentRequest {
    at: Instant,
    /// The idempotency key, where it must run once.
    key: Option<String>,
    /// When each answer was complete, and its status.
    answers: Vec<(Instant, String)>,
    has_left: bool,
}

/// Something that must not happen to a request.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Violation {
    /// Two requests were sent with one id.
    #[error("{request} was sent twice")]
    SentTwice {
        /// The request's id.
        request: String,
    },
    /// An answer came that belongs to no request.
    #[error("{request} was never sent and got {status}")]
    AnsweredUnsent {
        /// The id in the answer.
        request: String,
        /// The answer's status.
        status: String,
    },
    /// A successful answer does not carry the result of the request's execution.
    #[error("{request} got what no execution of it made: {body:?}")]
    ForeignResult {
        /// The request's id.
        request: String,
        /// The answer's body.
        body: Vec<u8>,
    },
    /// The answer came after the client timeout.
    #[error("{request} was answered {elapsed:?} after it was sent")]
    Late {
        /// The request's id.
        request: String,
        /// Time from the request's last byte to the answer.
        elapsed: Duration,
    },
    /// A request whose client still waits got no answer, or any request more than one.
    #[error("{request} got {count} answers")]
    AnswerCount {
        /// The request's id.
        request: String,
        /// How many answers came.
        count: usize,
    },
    /// The executor received a command to run what no client sent.
    #[error("{request} ran and was never sent")]
    RanUnsent {
        /// The id that was executed.
        request: String,
    },
    /// A request ran whose answer promises that it did not.
    #[error("{request} ran and was told that it did not")]
    RanAfterRejection {
        /// The request's id.
        request: String,
    },
    /// Requests with one idempotency key ran more than once.
    #[error("idempotency key {key} ran {count} times")]
    RanAgain {
        /// The idempotency key.
        key: String,
        /// How many executions of it began.
        count: usize,
    },
}

/// Records what was sent and what came back, over all connections.
#[derive(Debug, Default)]
pub struct Checker {
    sent: HashMap<String, SentRequest>,
    violations: Vec<Violation>,
}

/// How many answers came, by status.
pub type Statuses = BTreeMap<String, usize>;

impl Checker {
    /// A request's last byte was written; `key` is its idempotency key.
    pub fn sent(&mut self, request_id: &str, key: Option<&str>) {
        let sent = SentRequest {
            at: Instant::now(),
            key: key.map(str::to_owned),
            answers: Vec::new(),
            has_left: false,
        };
        if self.sent.insert(request_id.to_owned(), sent).is_some() {
            self.violations.push(Violation::SentTwice {
                request: request_id.to_owned(),
            });
        }
    }

    /// An answer is complete; `is_coalesced` says whether it may carry the result of another request
    /// that this one repeats.
    pub fn answered(&mut self, request_id: &str, answer: &Answer, is_coalesced: bool) {
        let Some(sent) = self.sent.get_mut(request_id) else {
            return self.violations.push(Violation::AnsweredUnsent {
                request: request_id.to_owned(),
                status: answer.status.clone(),
            });
        };
        sent.answers.push((Instant::now(), answer.status.clone()));
        let is_own = answer.body == result(request_id)
            || is_coalesced && answer.body.starts_with(b"result of ");
        if answer.status == "200" && !is_own {
            self.violations.push(Violation::ForeignResult {
                request: request_id.to_owned(),
                body: answer.body.clone(),
            });
        }
    }

    /// The client no longer waits, or its missing answer is excused.
    pub fn left(&mut self, request_id: &str) {
        if let Some(sent) = self.sent.get_mut(request_id) {
            sent.has_left = true;
        }
    }

    /// The number of answers by status, given the executions that began.
    ///
    /// # Errors
    ///
    /// All violations, if there is any.
    pub fn verdict(
        mut self,
        started: &[StartedExecution],
        timeout: Duration,
    ) -> Result<Statuses, Vec<Violation>> {
        let statuses = self.check_answers(timeout);
        self.check_executions(started);
        if self.violations.is_empty() {
            Ok(statuses)
        } else {
            Err(self.violations)
        }
    }

    /// Checks that each request has exactly one answer, in time.
    fn check_answers(&mut self, timeout: Duration) -> Statuses {
        let mut statuses = Statuses::new();
        for (request_id, sent) in &self.sent {
            let request = request_id.clone();
            match sent.answers.as_slice() {
                [] if sent.has_left => {}
                [(at, status)] => {
                    *statuses.entry(status.clone()).or_default() += 1;
                    if *at > sent.at + timeout {
                        let elapsed = *at - sent.at;
                        self.violations.push(Violation::Late { request, elapsed });
                    }
                }
                answers => self.violations.push(Violation::AnswerCount {
                    request,
                    count: answers.len(),
                }),
            }
        }
        statuses
    }

    /// Checks that what ran was sent, was not rejected, and ran once for each idempotency key.
    fn check_executions(&mut self, started: &[StartedExecution]) {
        let mut executions: HashMap<&str, usize> = HashMap::new();
        for started in started {
            let request = started.request_id.clone();
            let Some(sent) = self.sent.get(&started.request_id) else {
                self.violations.push(Violation::RanUnsent { request });
                continue;
            };
            if sent.answers.iter().any(|(_, s)| s == "429" || s == "503") {
                self.violations
                    .push(Violation::RanAfterRejection { request });
            }
            if let Some(key) = &sent.key {
                *executions.entry(key).or_default() += 1;
            }
        }
        for (key, count) in executions.into_iter().filter(|(_, count)| *count > 1) {
            let key = key.to_owned();
            self.violations.push(Violation::RanAgain { key, count });
        }
    }
}
