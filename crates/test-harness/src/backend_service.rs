//! A stand-in for the backend service that all nodes of a scenario share. It answers each call
//! after a set time, records arrivals and the calls in flight over all nodes, and crashes when more
//! calls are in flight than its limit. While it is down it closes connections at once; after a
//! restart its limit is lower until it is warm.

use std::collections::{BinaryHeap, HashMap};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Behaviour of a [`BackendService`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendConfig {
    /// Time from the arrival of a call to its reply.
    pub work: Duration,
    /// Maximum number of calls in flight that do not crash the service when it is warm; 0 means no
    /// limit.
    pub survives: usize,
    /// Time for which the service is down after a crash.
    pub down: Duration,
    /// Time from a restart until the service is warm and has its full limit again.
    pub warm: Duration,
}

impl Default for BackendConfig {
    fn default() -> BackendConfig {
        let (down, warm) = (Duration::from_secs(2), Duration::from_secs(3));
        BackendConfig {
            work: Duration::ZERO,
            survives: 0,
            down,
            warm,
        }
    }
}

/// An impairment of the service for a limited time: calls of a zone, or all calls, take longer or
/// fail.
#[derive(Clone, Debug)]
struct Impairment {
    /// Zone whose calls are affected; `None` affects all zones.
    zone: Option<String>,
    until: Instant,
    extra_work: Duration,
    /// Share of calls that fail, 0 to 1.
    failure_share: f64,
}

/// The time at which a call is answered. The ordering puts the earliest one on top of the heap.
struct PendingReply {
    due: Instant,
    call: u64,
}

impl PartialEq for PendingReply {
    fn eq(&self, other: &PendingReply) -> bool {
        (self.due, self.call) == (other.due, other.call)
    }
}
impl Eq for PendingReply {}
impl PartialOrd for PendingReply {
    fn partial_cmp(&self, other: &PendingReply) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for PendingReply {
    fn cmp(&self, other: &PendingReply) -> std::cmp::Ordering {
        (other.due, other.call).cmp(&(self.due, self.call)) // the earliest is the greatest
    }
}

/// A call that has arrived and is not answered yet.
struct Call {
    id: String,
    connection: u64,
    fails: bool,
}

#[derive(Default)]
struct State {
    config: BackendConfig,
    /// Arrival times of all calls, oldest first.
    arrivals: Vec<Instant>,
    most_in_flight: usize,
    in_flight: HashMap<u64, Call>,
    pending_replies: BinaryHeap<PendingReply>,
    connections: HashMap<u64, TcpStream>,
    /// The number that was last assigned to a connection or call.
    last_number: u64,
    down_until: Option<Instant>,
    last_restart: Option<Instant>,
    restarts: Vec<Instant>,
    crashes: usize,
    connections_while_down: usize,
    impairments: Vec<Impairment>,
    /// Number of calls that arrived; spreads failures evenly, and identically in every run.
    call_count: u64,
}

/// A handle to a running backend service. Clones share the service, which runs until the process
/// ends.
#[derive(Clone, Default)]
pub struct BackendService(Arc<(Mutex<State>, Condvar)>);

/// Calls and crashes that a [`BackendService`] recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendRecord {
    /// Number of calls that arrived.
    pub calls: usize,
    /// Maximum number of calls that arrived within any period of one second.
    pub most_in_a_second: usize,
    /// Maximum number of calls in flight at any moment.
    pub most_in_flight: usize,
    /// Number of crashes caused by too many calls in flight.
    pub crashes: usize,
    /// Number of connections that were attempted while the service was down.
    pub connections_while_down: usize,
}

impl BackendService {
    /// Starts a service with the behaviour `config`.
    pub fn start(config: BackendConfig) -> BackendService {
        let service = BackendService::default();
        service.lock().config = config;
        let answering = service.clone();
        thread::spawn(move || answering.answer_due_calls());
        service
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an address for the calls of one node in the given zone.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub fn listen(&self, zone: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (service, zone) = (self.clone(), zone.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (service, zone) = (service.clone(), zone.clone());
                let _ = thread::Builder::new()
                    .stack_size(128 << 10)
                    .spawn(move || service.serve(stream, &zone));
            }
        });
        Ok(address)
    }

    /// Takes the service down for the given time and closes its connections.
    pub fn go_down(&self, time: Duration) {
        self.lock().go_down(time);
        self.0.1.notify_all();
    }

    /// Impairs the calls of a zone, or all calls, for the given time. Impaired calls take
    /// `extra_work` longer, and the share `failure_share` of them fails.
    pub fn impair(
        &self,
        zone: Option<String>,
        time: Duration,
        extra_work: Duration,
        failure_share: f64,
    ) {
        self.lock().impairments.push(Impairment {
            zone,
            until: Instant::now() + time,
            extra_work,
            failure_share,
        });
    }

    /// Returns the number of calls that arrived within the last `time`.
    pub fn recent_calls(&self, time: Duration) -> usize {
        let (state, from) = (self.lock(), Instant::now() - time);
        state
            .arrivals
            .iter()
            .rev()
            .take_while(|arrival| **arrival >= from)
            .count()
    }

    /// Returns the calls and crashes that the service has recorded so far.
    pub fn recorded(&self) -> BackendRecord {
        let state = self.lock();
        let (mut first, mut most) = (0, 0);
        for (at, call) in state.arrivals.iter().enumerate() {
            while state.arrivals[first] + Duration::from_secs(1) <= *call {
                first += 1;
            }
            most = most.max(at + 1 - first);
        }
        BackendRecord {
            calls: state.arrivals.len(),
            most_in_a_second: most,
            most_in_flight: state.most_in_flight,
            crashes: state.crashes,
            connections_while_down: state.connections_while_down,
        }
    }

    /// Returns by how many calls the worst second after a restart exceeded the slow-start
    /// allowance. The allowance starts at a sixteenth of `calls_per_second` and doubles every 5 s;
    /// an allowance of N calls is raised by 2 sqrt(N) + 2 for random variation. Returns `None` if
    /// the service never restarted or received no call since.
    pub fn excess_after_restart(&self, calls_per_second: f64) -> Option<f64> {
        const SECOND: Duration = Duration::from_secs(1);
        let state = self.lock();
        let allowed_rate = |since: Duration| {
            calls_per_second * (since.as_secs_f64() / 5.0).floor().exp2().min(16.0) / 16.0
        };
        let excess = state.restarts.iter().flat_map(|start| {
            let after = state
                .arrivals
                .iter()
                .filter(move |arrival| **arrival >= *start);
            after.clone().enumerate().map(move |(at, last)| {
                let from = (*last - SECOND).max(*start);
                let in_second = after
                    .clone()
                    .take(at + 1)
                    .filter(|arrival| **arrival > from)
                    .count() as f64;
                let allowed = allowed_rate(*last - *start);
                in_second - (allowed + 2.0 * allowed.sqrt() + 2.0)
            })
        });
        excess.reduce(f64::max)
    }

    fn serve(&self, stream: TcpStream, zone: &str) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let connection = {
            let mut state = self.lock();
            if state.is_down() {
                state.connections_while_down += 1;
                let _ = stream.shutdown(Shutdown::Both);
                return None;
            }
            state.last_number += 1;
            let number = state.last_number;
            state.connections.insert(number, stream);
            number
        };
        let ended = self.read(&mut reader, connection, zone);
        let mut state = self.lock();
        state.connections.remove(&connection);
        state
            .in_flight
            .retain(|_, call| call.connection != connection);
        ended
    }

    fn read(&self, reader: &mut BufReader<TcpStream>, connection: u64, zone: &str) -> Option<()> {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            match line.split_whitespace().collect::<Vec<_>>().as_slice() {
                ["invoke", id, _, len] => {
                    let len: usize = len.parse().ok()?;
                    let mut body = vec![0; len + 2];
                    reader.read_exact(&mut body).ok()?;
                    let arrived = Instant::now();
                    self.lock().call_arrived(arrived, connection, id, zone);
                    self.0.1.notify_all();
                }
                ["cancel", id] => self.lock().in_flight.retain(|_, call| call.id != *id),
                _ => {}
            }
        }
    }

    /// Answers calls when their replies are due; never returns.
    fn answer_due_calls(&self) {
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            state.answer_due_calls(now);
            let wait = state
                .pending_replies
                .peek()
                .map_or(Duration::from_millis(200), |reply| reply.due - now);
            state = self
                .0
                .1
                .wait_timeout(state, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

impl State {
    /// Returns whether the service is down; records the restart once the down time is over.
    fn is_down(&mut self) -> bool {
        match self.down_until {
            Some(until) if Instant::now() >= until => {
                (self.down_until, self.last_restart) = (None, Some(until));
                self.restarts.push(until);
                false
            }
            down => down.is_some(),
        }
    }

    fn go_down(&mut self, time: Duration) {
        self.down_until = Some(Instant::now() + time);
        self.in_flight.clear();
        self.pending_replies.clear();
        for (_, stream) in self.connections.drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the calls in flight that the service survives now: a fifth of the configured limit
    /// right after a restart, rising linearly to the full limit when warm.
    fn survives(&self) -> usize {
        let BackendConfig { survives, warm, .. } = self.config;
        let passed = self.last_restart.map_or(1.0, |restart| {
            restart.elapsed().as_secs_f64() / warm.as_secs_f64().max(1e-3)
        });
        ((0.2 + 0.8 * passed.min(1.0)) * survives as f64).ceil() as usize
    }

    /// Records a call that arrived at `now` and schedules its reply; crashes the service if too many
    /// calls are in flight. The work of a call begins when it arrives, and the call does not count
    /// once its work is over, even if the threads of the service wait for a busy test machine.
    fn call_arrived(&mut self, now: Instant, connection: u64, id: &str, zone: &str) {
        if self.is_down() {
            return;
        }
        self.answer_due_calls(now);
        let later = self.arrivals.partition_point(|arrival| *arrival <= now);
        self.arrivals.insert(later, now); // threads may get the lock in another order
        self.impairments.retain(|impairment| impairment.until > now);
        let affects = |impairment: &&Impairment| {
            impairment
                .zone
                .as_deref()
                .is_none_or(|affected| affected == zone)
        };
        let extra_work: Duration = self
            .impairments
            .iter()
            .filter(affects)
            .map(|impairment| impairment.extra_work)
            .sum();
        let failure_share = self
            .impairments
            .iter()
            .filter(affects)
            .map(|impairment| impairment.failure_share)
            .fold(0.0, f64::max);
        self.call_count += 1;
        let fails = (self.call_count as f64 * failure_share).floor()
            > ((self.call_count - 1) as f64 * failure_share).floor();
        self.last_number += 1;
        self.in_flight.insert(
            self.last_number,
            Call {
                id: id.to_owned(),
                connection,
                fails,
            },
        );
        self.pending_replies.push(PendingReply {
            due: now + self.config.work + extra_work,
            call: self.last_number,
        });
        self.most_in_flight = self.most_in_flight.max(self.in_flight.len());
        if self.config.survives > 0 && self.in_flight.len() > self.survives() {
            self.crashes += 1;
            self.go_down(self.config.down);
        }
    }

    /// Answers all calls whose replies are due at `now`.
    fn answer_due_calls(&mut self, now: Instant) {
        while self
            .pending_replies
            .peek()
            .is_some_and(|reply| reply.due <= now)
        {
            if let Some(reply) = self.pending_replies.pop() {
                self.answer(reply.call);
            }
        }
    }

    fn answer(&mut self, call: u64) {
        let Some(call) = self.in_flight.remove(&call) else {
            return;
        };
        let Some(stream) = self.connections.get_mut(&call.connection) else {
            return;
        };
        let reply = if call.fails {
            format!("{} internal\r\n", call.id)
        } else {
            format!("{} ok 2\r\nok\r\n", call.id)
        };
        let _ = stream.write_all(reply.as_bytes());
    }
}

#[cfg(test)]
mod tests;
