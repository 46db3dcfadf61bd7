//! A kernel that works by itself: takes links one after the other, tells gauges, and ends each run
//! by a script.

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

/// Notices that are kept, as the protocol has it.
const NOTICES_KEPT: usize = 4000;

/// A command to run, as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Started {
    pub rid: String,
    pub route: String,
    pub body: Vec<u8>,
}

#[derive(Default)]
struct State {
    started: Vec<Started>,
    /// Runs that wait to be let go on, and whether new ones do.
    held: Vec<String>,
    holds: bool,
    /// Whether runs call below before they end; and those that wait for a reply, by id with their
    /// route.
    calls: bool,
    calling: HashMap<String, String>,
    /// How many runs end as ERROR, by route.
    errors: HashMap<String, usize>,
    /// What runs, by key, where that is recorded: bodies are keys then.
    record: Option<KeyRecord>,
    running: HashMap<String, String>,
    notices: u64,
    /// What was said of runs, by number, for a link that missed it.
    told: VecDeque<(u64, String)>,
    link: Option<TcpStream>,
}

/// A kernel stand-in; it ends with the process.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// What each link has by itself, where there may be several at once.
    links: Arc<Mutex<Vec<Worker>>>,
}

/// The result that a run of this request gives: it names the run, so that an answer can be told to
/// be its own.
pub fn result(rid: &str) -> Vec<u8> {
    format!("result of {rid}").into_bytes()
}

impl Worker {
    /// Listens on a free port.
    pub fn start() -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Worker::at(listener.local_addr().unwrap());
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serving.serve(stream);
            }
        });
        worker
    }

    fn at(address: SocketAddr) -> Worker {
        Worker {
            address,
            state: Arc::default(),
            links: Arc::default(),
        }
    }

    /// One that has several links at once, as where one program takes the place of another: each
    /// tells of its own runs.
    pub fn start_for_many() -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Worker::at(listener.local_addr().unwrap());
        let all = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let one = Worker::at(all.address);
                all.links.lock().unwrap().push(one.clone());
                thread::spawn(move || one.serve(stream));
            }
        });
        worker
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
            Some("OPEN") => {
                state.say(r#"{"t":"BOOTED","status":"WARM","time_ms":9000}"#);
                let last = command["no"].as_u64().unwrap_or(0);
                let missed: Vec<String> = state
                    .told
                    .iter()
                    .filter(|(no, _)| *no > last)
                    .map(|(_, line)| line.clone())
                    .collect();
                missed.iter().for_each(|line| state.say(line));
            }
            Some("SYSINFO") => {
                let line = format!(r#"{{"t":"INFO","mark":{},"v":[0.1,0.1]}}"#, command["mark"]);
                state.say(&line);
            }
            Some("POST") => {
                let line = format!(
                    r#"{{"t":"POSTED","mark":{},"status":"OK"}}"#,
                    command["mark"]
                );
                state.say(&line);
            }
            Some("SCHED") => {
                let text = |name: &str| command[name].as_str().unwrap_or_default().to_owned();
                let body = STANDARD.decode(text("b64")).unwrap_or_default();
                let started = Started {
                    rid: text("rid"),
                    route: text("route"),
                    body,
                };
                if state.started.iter().all(|s| s.rid != started.rid) {
                    state.began(&started);
                    if state.holds {
                        state.held.push(started.rid.clone());
                    } else if state.calls {
                        state.call(&started.rid, &started.route);
                    } else {
                        state.end(&started.rid, &started.route);
                    }
                    state.started.push(started);
                }
            }
            Some("IODONE" | "NOIO") => {
                let rid = command["rid"].as_str().unwrap_or_default();
                if let Some(route) = state.calling.remove(rid) {
                    state.end(rid, &route);
                }
            }
            Some("PREEMPT") => {
                let rid = command["rid"].as_str().unwrap_or_default().to_owned();
                if let Some(at) = state.held.iter().position(|held| *held == rid) {
                    state.held.remove(at);
                    state.reap(&rid, "STOPPED");
                } else if state.calling.remove(&rid).is_some() {
                    state.reap(&rid, "STOPPED");
                }
            }
            _ => {}
        }
        changed.notify_all();
    }

    /// From here on runs wait, or end at once; those that waited are let go on.
    pub fn hold(&self, holds: bool) {
        let mut state = self.state.0.lock().unwrap();
        state.holds = holds;
        if !holds {
            for rid in std::mem::take(&mut state.held) {
                let route = state
                    .started
                    .iter()
                    .find(|s| s.rid == rid)
                    .map(|s| s.route.clone());
                state.end(&rid, &route.unwrap_or_default());
            }
        }
    }

    /// A request is over, however it ended: a run of it that waits for its call is ended there, as
    /// the protocol has it.
    pub fn request_over(&self, rid: &str) {
        let mut state = self.state.0.lock().unwrap();
        if state.calling.remove(rid).is_some() {
            state.reap(rid, "STOPPED");
        }
    }

    /// The node starts anew: notices count from 1 again, and what ran for the one before is over.
    pub fn node_starts(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.notices = 0;
        state.told.clear();
        state.held.clear();
        state.calling.clear();
        let running: Vec<String> = state.running.keys().cloned().collect();
        running.iter().for_each(|rid| state.over(rid));
    }

    /// From here on what runs is recorded by key; the bodies of requests are their keys.
    pub fn record_keys(&self, record: KeyRecord) {
        self.state.0.lock().unwrap().record = Some(record);
    }

    /// From here on runs call below, once each, or not.
    pub fn calls(&self, calls: bool) {
        self.state.0.lock().unwrap().calls = calls;
    }

    /// The next runs of a route end as ERROR, so many of them.
    pub fn fail(&self, route: &str, times: usize) {
        self.state
            .0
            .lock()
            .unwrap()
            .errors
            .insert(route.to_owned(), times);
    }

    /// All that was started so far.
    pub fn started(&self) -> Vec<Started> {
        let mut all = self.state.0.lock().unwrap().started.clone();
        self.links
            .lock()
            .unwrap()
            .iter()
            .for_each(|link| all.extend(link.started()));
        all
    }

    /// Waits until so many runs were started, and gives them.
    pub fn wait_started(&self, count: usize) -> Vec<Started> {
        let (lock, changed) = &*self.state;
        let state = lock.lock().unwrap();
        let enough = |state: &mut State| state.started.len() < count;
        let (state, timeout) = changed
            .wait_timeout_while(state, Duration::from_secs(30), enough)
            .unwrap();
        assert!(
            !timeout.timed_out(),
            "{} of {count} runs were started",
            state.started.len()
        );
        state.started.clone()
    }

    /// Forgets what was started, for loads that go on for long.
    pub fn forget(&self) {
        self.state.0.lock().unwrap().started.clear();
        self.links.lock().unwrap().iter().for_each(Worker::forget);
    }
}

impl State {
    fn say(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }

    fn call(&mut self, rid: &str, route: &str) {
        self.calling.insert(rid.to_owned(), route.to_owned());
        let body = STANDARD.encode(b"call");
        self.notice(|no| format!(r#"{{"t":"IOREQ","no":{no},"rid":"{rid}","b64":"{body}"}}"#));
    }

    /// Says something of a run, and keeps it for a link that misses it.
    fn notice(&mut self, line: impl FnOnce(u64) -> String) {
        self.notices += 1;
        let line = line(self.notices);
        self.say(&line);
        self.told.push_back((self.notices, line));
        if self.told.len() > NOTICES_KEPT {
            self.told.pop_front();
        }
    }

    fn end(&mut self, rid: &str, route: &str) {
        let fails = self.errors.get_mut(route).is_some_and(|left| {
            let fails = *left > 0;
            *left = left.saturating_sub(1);
            fails
        });
        self.reap(rid, if fails { "ERROR" } else { "OK" });
    }

    fn began(&mut self, started: &Started) {
        if let Some(record) = &self.record {
            let key = String::from_utf8_lossy(&started.body).into_owned();
            record.began(&key);
            self.running.insert(started.rid.clone(), key);
        }
    }

    fn over(&mut self, rid: &str) {
        if let (Some(record), Some(key)) = (&self.record, self.running.remove(rid)) {
            record.ended(&key);
        }
    }

    fn reap(&mut self, rid: &str, status: &str) {
        self.over(rid);
        let body = STANDARD.encode(result(rid));
        self.notice(|no| {
            format!(
                r#"{{"t":"REAP","no":{no},"rid":"{rid}","status":"{status}","time_ms":1,"b64":"{body}"}}"#
            )
        });
    }
}
