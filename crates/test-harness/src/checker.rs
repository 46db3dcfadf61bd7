//! Checks the invariants of every request: exactly one final answer, within the client timeout,
//! with the result of the request's own execution; and no idempotency key executed twice.

use crate::executor::{StartedExecution, result};
use crate::wire::Answer;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use thiserror::Error;

#[derive(Debug)]
struct SentRequest {
    at: Instant,
    /// Idempotency key of the request; `None` if the request may be executed more than once.
    key: Option<String>,
    /// Completion time and status of each answer.
    answers: Vec<(Instant, String)>,
    /// True once the client no longer waits, so that a missing answer is allowed.
    has_left: bool,
}

/// A violated invariant of a request.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Violation {
    /// Two requests were sent with the same request id.
    #[error("request {request} was sent twice")]
    SentTwice {
        /// The id that both requests have.
        request: String,
    },
    /// An answer arrived for a request id that was never sent.
    #[error("request {request} was never sent but got an answer with status {status}")]
    AnsweredUnsent {
        /// The request id in the answer.
        request: String,
        /// The status of the answer.
        status: String,
    },
    /// A successful answer does not carry the result of the request's execution.
    #[error("request {request} got a body that its execution did not produce: {body:?}")]
    ForeignResult {
        /// The id of the request whose answer has the wrong body.
        request: String,
        /// The answer's body.
        body: Vec<u8>,
    },
    /// The answer arrived after the client timeout.
    #[error("request {request} was answered {elapsed:?} after it was sent")]
    Late {
        /// The id of the request that was answered late.
        request: String,
        /// Time from the request's last byte to its complete answer.
        elapsed: Duration,
    },
    /// A request whose client still waits got no answer, or a request got more than one answer.
    #[error("request {request} got {count} answers instead of 1")]
    AnswerCount {
        /// The id of the request with the wrong number of answers.
        request: String,
        /// Number of answers to the request, other than 1.
        count: usize,
    },
    /// The executor was commanded to run a request that no client sent.
    #[error("request {request} was executed but never sent")]
    RanUnsent {
        /// The id in the executor command.
        request: String,
    },
    /// A request was executed although its answer, 429 or 503, promises that it was not.
    #[error("request {request} was executed although its answer was a rejection")]
    RanAfterRejection {
        /// The id of the request that was rejected and executed.
        request: String,
    },
    /// Requests with the same idempotency key were executed more than once.
    #[error("idempotency key {key} was executed {count} times")]
    RanAgain {
        /// The idempotency key that the requests share.
        key: String,
        /// Number of executions that began for the key.
        count: usize,
    },
}

/// Records the requests and answers of all connections, and checks them at the end.
#[derive(Debug, Default)]
pub struct Checker {
    sent: HashMap<String, SentRequest>,
    violations: Vec<Violation>,
}

/// Number of answers by status.
pub type Statuses = BTreeMap<String, usize>;

impl Checker {
    /// Records that a request's last byte was written; `key` is the request's idempotency key.
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

    /// Records a complete answer. `is_coalesced` tells whether the answer may carry the result of
    /// another request with the same idempotency key.
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

    /// Records that the client of a request no longer waits, or that a missing answer to the
    /// request is excused.
    pub fn left(&mut self, request_id: &str) {
        if let Some(sent) = self.sent.get_mut(request_id) {
            sent.has_left = true;
        }
    }

    /// Checks all requests against the executions that began and the client timeout, and returns
    /// the number of answers by status.
    ///
    /// # Errors
    ///
    /// Returns all violations if there is at least one.
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

    /// Checks that each request has exactly one answer, and that the answer arrived within
    /// `timeout`.
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

    /// Checks that all executed requests were sent and not rejected, and that each idempotency key
    /// was executed at most once.
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
