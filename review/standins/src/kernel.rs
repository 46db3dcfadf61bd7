//! A stand-in for the kernel, by the protocol page: one link at a time, numbered notices, runs that
//! continue without a link, MOOT for requests that are over, EINVAL for requests that it does not know.

use crate::util::{Random, Timers, base64, field, unbase64};
use crate::world::World;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// How the kernel runs requests.
#[derive(Clone, Copy)]
pub struct Work {
    /// Calls below of a run, by its class.
    pub calls: fn(&str) -> u32,
    /// Least work before the first call, between two calls, and after the last, in milliseconds.
    pub part_ms: u64,
    /// Most work in addition to that, in milliseconds.
    pub spread_ms: u64,
}

struct Run {
    calls: u32,
    calls_made: u32,
    /// Number of the notice of the call that the run waits for.
    waits_for: Option<u64>,
}

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    link_number: u64,
    notices: Vec<(u64, String)>,
    runs: HashMap<String, Run>,
}

#[derive(Clone)]
pub struct Kernel {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    world: Arc<World>,
    work: Work,
    timers: Timers,
    random: Arc<Mutex<Random>>,
}

/// The body of a run's call below, which its reply repeats.
pub fn call_body(rid: &str, number: u32) -> Vec<u8> {
    format!("call {number} of {rid}").into_bytes()
}

pub fn reply_body(call: &[u8]) -> Vec<u8> {
    [b"reply to ", call].concat()
}

pub fn result(rid: &str) -> Vec<u8> {
    format!("result of {rid}").into_bytes()
}

impl Kernel {
    pub fn start(world: &Arc<World>, work: Work) -> Kernel {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let kernel = Kernel {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            world: Arc::clone(world),
            work,
            timers: Timers::start(),
            random: Arc::new(Mutex::new(Random(7))),
        };
        let serving = kernel.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        kernel
    }

    /// Breaks the link. Commands that are still on their way are lost with it.
    pub fn break_link(&self) {
        let mut state = self.state.lock().unwrap();
        state.link_number += 1;
        if let Some(link) = state.link.take() {
            let _ = link.shutdown(std::net::Shutdown::Both);
        }
        self.world.record.line("break    the link to the kernel");
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let number = {
            let mut state = self.state.lock().unwrap();
            if let Some(old) = state.link.take() {
                let _ = old.shutdown(std::net::Shutdown::Both);
            }
            state.link_number += 1;
            state.link_number
        };
        let mut writer = Some(writer);
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { return };
            let mut state = self.state.lock().unwrap();
            if state.link_number != number {
                return;
            }
            if field(&line, "t") == Some("OPEN") {
                let last: u64 = field(&line, "no")
                    .and_then(|no| no.parse().ok())
                    .unwrap_or(0);
                state.link = writer.take();
                state.send(r#"{"t":"BOOTED","status":"WARM","time_ms":9000}"#);
                let missed: Vec<String> = (state.notices.iter())
                    .filter(|(no, _)| *no > last)
                    .map(|(_, line)| line.clone())
                    .collect();
                missed.iter().for_each(|line| state.send(line));
            } else {
                self.command(&mut state, &line);
            }
        }
    }

    fn command(&self, state: &mut State, line: &str) {
        let rid = field(line, "rid").unwrap_or_default().to_owned();
        match field(line, "t").unwrap_or_default() {
            "SCHED" => self.sched(state, line, &rid),
            "IODONE" => {
                let reply = field(line, "b64").and_then(unbase64).unwrap_or_default();
                self.io_done(state, &rid, Some(reply), None);
            }
            "NOIO" => {
                let no = field(line, "no").and_then(|no| no.parse().ok());
                self.io_done(state, &rid, None, no);
            }
            "PREEMPT" => {
                if state.runs.remove(&rid).is_some() {
                    self.reap(state, &rid, "STOPPED");
                }
            }
            "SYSINFO" => {
                let mark = field(line, "mark").unwrap_or_default().to_owned();
                let on_cores = state
                    .runs
                    .values()
                    .filter(|r| r.waits_for.is_none())
                    .count();
                state.send(&format!(
                    r#"{{"t":"INFO","mark":"{mark}","v":[0.3,{on_cores},0.1,8]}}"#
                ));
            }
            "POST" => {
                let mark = field(line, "mark").unwrap_or_default().to_owned();
                state.send(&format!(
                    r#"{{"t":"POSTED","mark":"{mark}","status":"OK"}}"#
                ));
            }
            other => self
                .world
                .violation(format!("the kernel got an unknown command {other:?}")),
        }
    }

    fn sched(&self, state: &mut State, line: &str, rid: &str) {
        if state.runs.contains_key(rid) {
            return;
        }
        let body = field(line, "b64").and_then(unbase64).unwrap_or_default();
        let (is_over, class) = {
            let mut requests = self.world.requests();
            let Some(request) = requests.get_mut(rid) else {
                drop(requests);
                self.world
                    .record
                    .line(&format!("refused  {rid} SCHED of an unknown request"));
                let refusal = format!(r#"{{"t":"EINVAL","status":"SCHED","rid":"{rid}"}}"#);
                return state.send(&refusal);
            };
            if request.body != body || field(line, "route") != Some(&request.class) {
                let text = format!("lost: body or class of {rid} arrived at the kernel changed");
                drop(requests);
                return self.world.violation(text);
            }
            let is_over = request.is_over();
            request.runs += u32::from(!is_over);
            (is_over, request.class.clone())
        };
        if is_over {
            return self.reap(state, rid, "MOOT");
        }
        self.world.record.line(&format!("run      {rid}"));
        let calls = (self.work.calls)(&class);
        let run = Run {
            calls,
            calls_made: 0,
            waits_for: None,
        };
        state.runs.insert(rid.to_owned(), run);
        self.later(rid, 0);
    }

    /// Continues a run after a part of its work.
    fn later(&self, rid: &str, calls_made: u32) {
        let (kernel, rid) = (self.clone(), rid.to_owned());
        let spread_ms = self.random.lock().unwrap().below(self.work.spread_ms + 1);
        self.timers.after(self.work.part_ms + spread_ms, move || {
            let mut state = kernel.state.lock().unwrap();
            let is_same = state
                .runs
                .get(&rid)
                .is_some_and(|run| run.calls_made == calls_made && run.waits_for.is_none());
            if is_same {
                kernel.work_done(&mut state, &rid);
            }
        });
    }

    fn work_done(&self, state: &mut State, rid: &str) {
        let Run {
            calls, calls_made, ..
        } = state.runs[rid];
        if calls_made == calls {
            state.runs.remove(rid);
            return self.reap(state, rid, "OK");
        }
        if self
            .world
            .requests()
            .get(rid)
            .is_some_and(|request| request.is_over())
        {
            state.runs.remove(rid);
            return self.reap(state, rid, "STOPPED");
        }
        let body = base64(&call_body(rid, calls_made + 1));
        self.world
            .trace(rid, &format!("needs    {rid} call {}", calls_made + 1));
        let no =
            state.notice(|no| format!(r#"{{"t":"IOREQ","no":{no},"rid":"{rid}","b64":"{body}"}}"#));
        if let Some(run) = state.runs.get_mut(rid) {
            run.waits_for = Some(no);
        }
    }

    /// The reply to the call that the run waits for, or none.
    fn io_done(&self, state: &mut State, rid: &str, reply: Option<Vec<u8>>, no: Option<u64>) {
        let Some(run) = state.runs.get_mut(rid) else {
            return;
        };
        let Some(waits_for) = run.waits_for else {
            return;
        };
        if no.is_some_and(|no| no != waits_for) {
            return;
        }
        run.waits_for = None;
        run.calls_made += 1;
        let number = run.calls_made;
        match reply {
            Some(reply) => {
                self.world.trace(
                    rid,
                    &format!(
                        "reply    {rid} call {number}: {}",
                        String::from_utf8_lossy(&reply)
                    ),
                );
                if reply != reply_body(&call_body(rid, number)) {
                    self.world.show_trace(rid);
                    self.world.violation(format!(
                        "lost: the reply to call {number} of {rid} arrived at the kernel changed: {}",
                        String::from_utf8_lossy(&reply)
                    ));
                }
            }
            None => self
                .world
                .trace(rid, &format!("skipped  {rid} call {number}")),
        }
        self.later(rid, number);
    }

    fn reap(&self, state: &mut State, rid: &str, status: &str) {
        self.world.record.line(&format!("ended    {rid} {status}"));
        let body = base64(&result(rid));
        state.notice(|no| {
            format!(
                r#"{{"t":"REAP","no":{no},"rid":"{rid}","status":"{status}","time_ms":30,"b64":"{body}"}}"#
            )
        });
    }
}

impl State {
    fn send(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }

    fn notice(&mut self, line: impl FnOnce(u64) -> String) -> u64 {
        let no = self.notices.last().map_or(0, |(no, _)| *no) + 1;
        let line = line(no);
        self.send(&line);
        self.notices.push((no, line));
        no
    }
}
