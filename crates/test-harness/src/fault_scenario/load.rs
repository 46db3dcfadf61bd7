//! The load of one node: sequential requests on each load connection, through the fault proxy.

mod schedule;

use super::checks::CLIENT_TIMEOUT;
use super::lock;
use super::process::NodeState;
use crate::checker::Checker;
use crate::executor::Executor;
use crate::load::next_request_id;
use crate::peers::unix_ms;
use crate::wire::{self, Answer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use schedule::SendSchedule;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Read timeout, after which the reader checks whether its time has passed.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time beyond the client timeout for which a connection waits for an answer.
const WAIT_AFTER_TIMEOUT: Duration = Duration::from_secs(1);
/// If a connection ends without an answer within this time of the request, the node may have closed
/// it as idle.
const IDLE_CLOSE_WINDOW: Duration = Duration::from_millis(50);

/// Paths of the requests; each request takes one of them at random.
const PATHS: [&str; 3] = ["/call/read", "/call/book", "/call/pay"];

/// Interval of the requests on each load connection, and the range of their keys.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadRate {
    /// Interval between two requests of one connection.
    pub(super) interval: Duration,
    /// Numbers of the first and the last key.
    pub(super) keys: (u64, u64),
}

/// One load connection of a node, run by its own thread.
pub(super) struct NodeLoad {
    /// Address at which the fault proxy forwards to the node.
    pub(super) address: SocketAddr,
    pub(super) rate: Arc<Mutex<LoadRate>>,
    /// Number of the connection, unique in the scenario; the phase of the requests, and their paths
    /// and keys, depend on it and the seed.
    pub(super) caller: u64,
    pub(super) seed: u64,
    pub(super) state: Arc<Mutex<NodeState>>,
    pub(super) checker: Arc<Mutex<Checker>>,
    pub(super) executor: Executor,
    pub(super) stop: Arc<AtomicBool>,
}

impl NodeLoad {
    /// Sends requests until the scenario stops.
    pub(super) fn run(&self) {
        let mut stream: Option<TcpStream> = None;
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ self.caller);
        let mut schedule = SendSchedule::new(self.seed ^ !self.caller, Instant::now());
        while !self.stop.load(SeqCst) {
            self.sleep_until_due(&mut schedule);
            let is_running = lock(&self.state).is_running;
            if !is_running {
                stream = None;
                continue;
            }
            let path = PATHS[rng.random_range(0..PATHS.len())];
            let usable = stream
                .take()
                .or_else(|| TcpStream::connect(self.address).ok());
            let Some(connected) = usable else { continue };
            let (first, last) = lock(&self.rate).keys;
            let key = format!("k{}", rng.random_range(first..=last.max(first)));
            let id = next_request_id();
            stream = self.exchange(connected, path, &id, &key);
            self.executor.request_over(&id);
        }
    }

    /// Sleeps until the next request is due. A sleep that ends too late is followed by another one.
    fn sleep_until_due(&self, schedule: &mut SendSchedule) {
        let interval = || lock(&self.rate).interval;
        let mut due = Some(schedule.next(interval(), Instant::now()));
        while let Some(at) = due
            && !self.stop.load(SeqCst)
        {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            due = schedule.postponed(interval(), Instant::now());
        }
    }

    /// Sends a request and waits for its answer; returns the connection if it can be used again.
    fn exchange(
        &self,
        mut stream: TcpStream,
        path: &str,
        id: &str,
        key: &str,
    ) -> Option<TcpStream> {
        let begun = Instant::now();
        let arrived = unix_ms();
        let mut params = wire::call_params(path, id, &arrived);
        params.push(("HTTP_X_KEY", key));
        let bytes = wire::request(1, &params, key.as_bytes());
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(READ_INTERVAL)).ok()?;
        // The node closed the connection while it was idle, so it has read nothing of the request.
        if stream.write_all(&bytes).is_err() {
            return None;
        }
        lock(&self.checker).sent(id, None);
        let (answer, is_empty) = read_answer(&mut stream, begun);
        if let Some(answer) = answer {
            let mut checker = lock(&self.checker);
            if self.is_excused(begun) && begun.elapsed() > CLIENT_TIMEOUT {
                checker.left(id);
            } else {
                checker.answered(id, &answer, false);
            }
            return Some(stream);
        }
        // A missing answer is excused if the node was killed, paused or cut off. It is also excused
        // if the node closed the connection as idle while the request was on its way; the request
        // was not executed then.
        let crossed_close = is_empty && begun.elapsed() < IDLE_CLOSE_WINDOW;
        if self.is_excused(begun) || crossed_close {
            lock(&self.checker).left(id);
        }
        None
    }

    /// Returns whether a missing answer to a request that was sent at `begun` is excused.
    fn is_excused(&self, begun: Instant) -> bool {
        let state = lock(&self.state);
        let covers = |until: &Option<Instant>| until.is_none_or(|until| until > begun);
        state.excused.iter().any(|(_, until)| covers(until))
    }
}

/// Reads until an answer is complete, the connection ends or the time has passed. The second value
/// tells whether no part of a record was left over.
fn read_answer(stream: &mut TcpStream, begun: Instant) -> (Option<Answer>, bool) {
    let (mut received, mut open, mut buffer) = (Vec::new(), BTreeMap::new(), [0; 8192]);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => received.extend_from_slice(&buffer[..n]),
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => break,
        }
        let answers: Vec<Answer> = wire::answers(&mut received, &mut open);
        if let Some(answer) = answers.into_iter().next() {
            return (Some(answer), received.is_empty());
        }
        if begun.elapsed() > CLIENT_TIMEOUT + WAIT_AFTER_TIMEOUT {
            break;
        }
    }
    (None, received.is_empty())
}
