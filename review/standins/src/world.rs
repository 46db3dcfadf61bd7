//! What the clients, the kernel and the back end know of each request. The platform's kernel knows
//! which requests came to the node and which are over; the stand-ins share this table for it.

use crate::util::{Record, unix_ms};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub class: String,
    pub tenant: String,
    pub body: Vec<u8>,
    pub key: Option<String>,
    /// Unix time at which the last byte was written to an accepted connection.
    pub written: f64,
    pub deadline_ms: f64,
    /// Time, status and body of each final answer.
    pub answers: Vec<(f64, String, Vec<u8>)>,
    /// The client no longer waits.
    pub gone: bool,
    /// The connection ended with no whole answer, at this time.
    pub cut: Option<f64>,
    /// Numbers of started runs and of calls below that took effect.
    pub runs: u32,
    pub effects: u32,
}

impl Request {
    pub fn is_over(&self) -> bool {
        self.gone || !self.answers.is_empty()
    }
}

pub struct World {
    requests: Mutex<HashMap<String, Request>>,
    violations: Mutex<Vec<String>>,
    /// What was sent for the calls of each request; written to the record when a rule is broken.
    traces: Mutex<HashMap<String, Vec<(f64, String)>>>,
    pub record: Record,
}

impl World {
    pub fn new(record: Record) -> World {
        World {
            requests: Mutex::default(),
            violations: Mutex::default(),
            traces: Mutex::default(),
            record,
        }
    }

    pub fn requests(&self) -> MutexGuard<'_, HashMap<String, Request>> {
        self.requests.lock().unwrap()
    }

    pub fn sent(&self, rid: &str, request: Request) {
        self.record.line(&format!(
            "sent     {rid} {}{} body={}",
            request.class,
            request
                .key
                .as_ref()
                .map_or(String::new(), |key| format!(" key={key}")),
            request.body.len()
        ));
        self.requests().insert(rid.to_owned(), request);
    }

    pub fn answered(&self, rid: &str, status: &str, body: &[u8]) {
        let now = unix_ms();
        self.record.line(&format!(
            "answered {rid} {status} {}",
            String::from_utf8_lossy(&body[..body.len().min(60)])
        ));
        if let Some(request) = self.requests().get_mut(rid) {
            request
                .answers
                .push((now, status.to_owned(), body.to_vec()));
        }
    }

    pub fn trace(&self, rid: &str, text: &str) {
        let mut traces = self.traces.lock().unwrap();
        traces
            .entry(rid.to_owned())
            .or_default()
            .push((unix_ms(), text.to_owned()));
    }

    /// Writes the trace of a request to the record, with the times before now.
    pub fn show_trace(&self, rid: &str) {
        let now = unix_ms();
        let traces = self.traces.lock().unwrap();
        for (at, text) in traces.get(rid).into_iter().flatten() {
            self.record
                .line(&format!("  {:.1} ms ago: {text}", now - at));
        }
    }

    pub fn violation(&self, text: String) {
        self.record.line(&format!("VIOLATION {text}"));
        self.violations.lock().unwrap().push(text);
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().unwrap().clone()
    }
}
