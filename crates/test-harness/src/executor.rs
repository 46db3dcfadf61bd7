//! A stand-in for a node's executor. The stand-in accepts links, reports gauges, and ends each
//! execution as the test has set: at once, after a backend call, when released, or with an error.
//!
//! The stand-in is used by the fault scenario runner, and by tests that exchange more than single
//! protocol lines.

use crate::keys::KeyRecord;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Number of sent notices that are kept for a reconnecting link, as the protocol requires.
const NOTICES_MAX: usize = 4000;

/// An execution that the node commanded, with the fields of the command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedExecution {
    /// The request's id.
    pub request_id: String,
    /// The operation's name.
    pub route: String,
    /// The request's body.
    pub body: Vec<u8>,
}

#[derive(Default)]
struct State {
    started: Vec<StartedExecution>,
    /// Request ids of executions that wait to be released.
    held: Vec<String>,
    /// True if executions that begin from now on wait to be released.
    holds_new: bool,
    /// True if executions that begin from now on make a backend call before they end.
    makes_calls: bool,
    /// Routes of executions that wait for the reply to their backend call, by request id.
    calling: HashMap<String, String>,
    /// Number of executions that are still to end as ERROR, by route.
    errors: HashMap<String, usize>,
    /// Record of executions by key; `None` if executions are not recorded. If set, request bodies
    /// hold the keys.
    record: Option<KeyRecord>,
    /// Keys of running executions, by request id.
    running: HashMap<String, String>,
    notice_count: u64,
    /// The last sent notices with their numbers, for a link that missed notices.
    sent_notices: VecDeque<(u64, String)>,
    link: Option<TcpStream>,
}

/// A handle to an executor stand-in. Clones share the stand-in, which runs until the process ends.
#[derive(Clone)]
pub struct Executor {
    /// The address to which nodes connect.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// One stand-in for each link that was opened, if several links may be open at once.
    links: Arc<Mutex<Vec<Executor>>>,
}

/// Returns the result of a request's execution. The result names the request, so that a checker can
/// tell whose result an answer carries.
pub fn result(request_id: &str) -> Vec<u8> {
    format!("result of {request_id}").into_bytes()
}

impl Executor {
    /// Starts an executor for one link at a time, on a free port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be opened.
    pub fn start() -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let executor = Executor::at(listener.local_addr().unwrap());
        let serving = executor.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serving.serve(stream);
            }
        });
        executor
    }

    fn at(address: SocketAddr) -> Executor {
        Executor {
            address,
            state: Arc::default(),
            links: Arc::default(),
        }
    }

    /// Starts an executor for several links at once, as in a process handover. Notices of an
    /// execution go to the link that started it.
    ///
    /// # Panics
    ///
    /// Panics if no port can be opened.
    pub fn start_for_many() -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let executor = Executor::at(listener.local_addr().unwrap());
        let all = executor.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let one = Executor::at(all.address);
                all.links.lock().unwrap().push(one.clone());
                thread::spawn(move || one.serve(stream));
            }
        });
        executor
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        self.state.0.lock().unwrap().link = Some(stream);
        for line in BufReader::new(reader).lines() {
            let Ok(line) = line else { return };
            let Ok(command) = serde_json::from_str::<Value>(&line) else {
                return;
            };
            self.command(&command);
        }
    }

    fn command(&self, command: &Value) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        match command["t"].as_str() {
            Some("OPEN") => state.boot(command["no"].as_u64().unwrap_or(0)),
            Some("SYSINFO") => {
                let line = format!(r#"{{"t":"INFO","mark":{},"v":[0.1,0.1]}}"#, command["mark"]);
                state.send(&line);
            }
            Some("POST") => {
                let line = format!(
                    r#"{{"t":"POSTED","mark":{},"status":"OK"}}"#,
                    command["mark"]
                );
                state.send(&line);
            }
            Some("SCHED") => state.start(command),
            Some("IODONE" | "NOIO") => {
                let request_id = command["rid"].as_str().unwrap_or_default();
                if let Some(route) = state.calling.remove(request_id) {
                    state.end(request_id, &route);
                }
            }
            Some("PREEMPT") => {
                let request_id = command["rid"].as_str().unwrap_or_default().to_owned();
                if let Some(at) = state.held.iter().position(|held| *held == request_id) {
                    state.held.remove(at);
                    state.reap(&request_id, "STOPPED");
                } else if state.calling.remove(&request_id).is_some() {
                    state.reap(&request_id, "STOPPED");
                }
            }
            _ => {}
        }
        changed.notify_all();
    }

    /// Sets whether executions that begin from now on wait to be released; `false` also ends the
    /// executions that wait.
    pub fn hold(&self, holds_new: bool) {
        let mut state = self.state.0.lock().unwrap();
        state.holds_new = holds_new;
        if !holds_new {
            for request_id in std::mem::take(&mut state.held) {
                let route = state
                    .started
                    .iter()
                    .find(|s| s.request_id == request_id)
                    .map(|s| s.route.clone());
                state.end(&request_id, &route.unwrap_or_default());
            }
        }
    }

    /// Records that a request has ended for its client: the execution ends as STOPPED if it waits
    /// for a backend call.
    pub fn request_over(&self, request_id: &str) {
        let mut state = self.state.0.lock().unwrap();
        if state.calling.remove(request_id).is_some() {
            state.reap(request_id, "STOPPED");
        }
    }

    /// Prepares for a start of the node: notices are numbered from 1 again, and earlier executions
    /// are treated as ended.
    pub fn node_starts(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.notice_count = 0;
        state.sent_notices.clear();
        state.held.clear();
        state.calling.clear();
        let running: Vec<String> = state.running.keys().cloned().collect();
        running
            .iter()
            .for_each(|request_id| state.execution_ended(request_id));
    }

    /// Records executions by key from now on; the body of a request is its key.
    pub fn record_keys(&self, record: KeyRecord) {
        self.state.0.lock().unwrap().record = Some(record);
    }

    /// Sets whether each execution that begins from now on makes one backend call.
    pub fn calls(&self, makes_calls: bool) {
        self.state.0.lock().unwrap().makes_calls = makes_calls;
    }

    /// Lets the next `count` executions of a route end as ERROR.
    pub fn fail(&self, route: &str, count: usize) {
        self.state
            .0
            .lock()
            .unwrap()
            .errors
            .insert(route.to_owned(), count);
    }

    /// Returns all executions that have begun since the start or the last [`Executor::forget`].
    pub fn started(&self) -> Vec<StartedExecution> {
        let mut all = self.state.0.lock().unwrap().started.clone();
        self.links
            .lock()
            .unwrap()
            .iter()
            .for_each(|link| all.extend(link.started()));
        all
    }

    /// Waits until `count` executions have begun, and returns them.
    ///
    /// # Panics
    ///
    /// Panics if fewer executions have begun after 30 s.
    pub fn wait_started(&self, count: usize) -> Vec<StartedExecution> {
        let (lock, changed) = &*self.state;
        let state = lock.lock().unwrap();
        let is_waiting = |state: &mut State| state.started.len() < count;
        let (state, timeout) = changed
            .wait_timeout_while(state, Duration::from_secs(30), is_waiting)
            .unwrap();
        assert!(
            !timeout.timed_out(),
            "{} of {count} executions began within 30 s",
            state.started.len()
        );
        state.started.clone()
    }

    /// Forgets all executions that have begun. Long loads need this, as each new execution is
    /// compared with all earlier ones.
    pub fn forget(&self) {
        self.state.0.lock().unwrap().started.clear();
        self.links.lock().unwrap().iter().for_each(Executor::forget);
    }
}

impl State {
    /// Opens a new link, and repeats the notices after the last one that the node has read.
    fn boot(&mut self, last_read: u64) {
        self.send(r#"{"t":"BOOTED","status":"WARM","time_ms":9000}"#);
        let missed: Vec<String> = self
            .sent_notices
            .iter()
            .filter(|(no, _)| *no > last_read)
            .map(|(_, line)| line.clone())
            .collect();
        missed.iter().for_each(|line| self.send(line));
    }

    /// Begins an execution, unless an execution of the same request has begun before.
    fn start(&mut self, command: &Value) {
        let text = |name: &str| command[name].as_str().unwrap_or_default().to_owned();
        let body = STANDARD.decode(text("b64")).unwrap_or_default();
        let started = StartedExecution {
            request_id: text("rid"),
            route: text("route"),
            body,
        };
        if self
            .started
            .iter()
            .any(|s| s.request_id == started.request_id)
        {
            return;
        }
        self.execution_began(&started);
        if self.holds_new {
            self.held.push(started.request_id.clone());
        } else if self.makes_calls {
            self.call(&started.request_id, &started.route);
        } else {
            self.end(&started.request_id, &started.route);
        }
        self.started.push(started);
    }

    fn send(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }

    /// Asks the node to make a backend call for an execution.
    fn call(&mut self, request_id: &str, route: &str) {
        self.calling.insert(request_id.to_owned(), route.to_owned());
        let body = STANDARD.encode(b"call");
        self.notice(|no| {
            format!(r#"{{"t":"IOREQ","no":{no},"rid":"{request_id}","b64":"{body}"}}"#)
        });
    }

    /// Sends a numbered notice, and keeps the notice for a link that missed it.
    fn notice(&mut self, line: impl FnOnce(u64) -> String) {
        self.notice_count += 1;
        let line = line(self.notice_count);
        self.send(&line);
        self.sent_notices.push_back((self.notice_count, line));
        if self.sent_notices.len() > NOTICES_MAX {
            self.sent_notices.pop_front();
        }
    }

    /// Ends an execution as OK, or as ERROR if errors were set for its route.
    fn end(&mut self, request_id: &str, route: &str) {
        let fails = self.errors.get_mut(route).is_some_and(|left| {
            let fails = *left > 0;
            *left = left.saturating_sub(1);
            fails
        });
        self.reap(request_id, if fails { "ERROR" } else { "OK" });
    }

    fn execution_began(&mut self, started: &StartedExecution) {
        if let Some(record) = &self.record {
            let key = String::from_utf8_lossy(&started.body).into_owned();
            record.started(&key);
            self.running.insert(started.request_id.clone(), key);
        }
    }

    fn execution_ended(&mut self, request_id: &str) {
        if let (Some(record), Some(key)) = (&self.record, self.running.remove(request_id)) {
            record.ended(&key);
        }
    }

    /// Ends an execution and sends the REAP notice with this status.
    fn reap(&mut self, request_id: &str, status: &str) {
        self.execution_ended(request_id);
        let body = STANDARD.encode(result(request_id));
        self.notice(|no| {
            format!(
                r#"{{"t":"REAP","no":{no},"rid":"{request_id}","status":"{status}","time_ms":1,"b64":"{body}"}}"#
            )
        });
    }
}
