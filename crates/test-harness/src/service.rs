//! The service below that all nodes share: it works on each call for a while, keeps the record of
//! what came and what was in hand over all nodes, and dies past what it survives. While it is down
//! its connections end at once; back again it is cold and survives less until it is warm.

use std::collections::{BinaryHeap, HashMap};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What it is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Nature {
    /// How long it works on a call.
    pub work: Duration,
    /// Calls in hand that it survives; any number if it is 0.
    pub survives: usize,
    /// How long it is down when it has died, and how long it then takes to be warm.
    pub down: Duration,
    pub warm: Duration,
}

impl Default for Nature {
    fn default() -> Nature {
        let (down, warm) = (Duration::from_secs(2), Duration::from_secs(3));
        Nature {
            work: Duration::ZERO,
            survives: 0,
            down,
            warm,
        }
    }
}

/// A trouble of the service: for whom, until when, what.
#[derive(Clone, Debug)]
struct Trouble {
    /// The zone whose calls have it; all if there is none.
    zone: Option<String>,
    until: Instant,
    more_work: Duration,
    /// The share of calls that fail.
    fails: f64,
}

struct Waiting {
    due: Instant,
    no: u64,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Waiting) -> bool {
        (self.due, self.no) == (other.due, other.no)
    }
}
impl Eq for Waiting {}
impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Waiting) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Waiting {
    fn cmp(&self, other: &Waiting) -> std::cmp::Ordering {
        (other.due, other.no).cmp(&(self.due, self.no)) // the first one due is the greatest
    }
}

/// A call that it works on.
struct Call {
    id: String,
    connection: u64,
    fails: bool,
}

#[derive(Default)]
struct State {
    nature: Nature,
    /// When calls came; the most that was in hand.
    came: Vec<Instant>,
    most_in_hand: usize,
    in_hand: HashMap<u64, Call>,
    waiting: BinaryHeap<Waiting>,
    connections: HashMap<u64, TcpStream>,
    next: u64,
    down_until: Option<Instant>,
    back: Option<Instant>,
    /// When it was back, each time.
    starts: Vec<Instant>,
    /// Times that it died by itself, and connections that were tried while it was down.
    falls: usize,
    came_while_down: usize,
    troubles: Vec<Trouble>,
    /// Chance for calls that fail: a counter is enough, and the same each time.
    asked: u64,
}

/// The service.
#[derive(Clone, Default)]
pub struct Service(Arc<(Mutex<State>, Condvar)>);

/// What was recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recorded {
    /// All calls, the most in any second, and the most in hand at any moment.
    pub calls: usize,
    pub most_in_a_second: usize,
    pub most_in_hand: usize,
    pub falls: usize,
    pub came_while_down: usize,
}

impl Service {
    /// It begins to work.
    pub fn start(nature: Nature) -> Service {
        let service = Service::default();
        service.lock().nature = nature;
        let working = service.clone();
        thread::spawn(move || working.work());
        service
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An address for one node's calls.
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

    /// From now on it is down for so long.
    pub fn dies(&self, time: Duration) {
        self.lock().die(time);
        self.0.1.notify_all();
    }

    /// From now on calls take longer, or fail in part; all, or those of a zone.
    pub fn trouble(&self, zone: Option<String>, time: Duration, more_work: Duration, fails: f64) {
        self.lock().troubles.push(Trouble {
            zone,
            until: Instant::now() + time,
            more_work,
            fails,
        });
    }

    /// Calls that came in the last so long.
    pub fn lately(&self, time: Duration) -> usize {
        let (state, from) = (self.lock(), Instant::now() - time);
        state
            .came
            .iter()
            .rev()
            .take_while(|came| **came >= from)
            .count()
    }

    /// What was recorded so far.
    pub fn recorded(&self) -> Recorded {
        let state = self.lock();
        let (mut first, mut most) = (0, 0);
        for (at, call) in state.came.iter().enumerate() {
            while state.came[first] + Duration::from_secs(1) <= *call {
                first += 1;
            }
            most = most.max(at + 1 - first);
        }
        Recorded {
            calls: state.came.len(),
            most_in_a_second: most,
            most_in_hand: state.most_in_hand,
            falls: state.falls,
            came_while_down: state.came_while_down,
        }
    }

    /// By how many calls the worst second after a start was over what it takes then of so many a
    /// second, with chance on top: a sixteenth at first, and twice as much after each 5 s. Nothing
    /// if it never started anew.
    pub fn over_a_start(&self, a_second: f64) -> Option<f64> {
        const SECOND: Duration = Duration::from_secs(1);
        let state = self.lock();
        let takes = |since: Duration| {
            a_second * (since.as_secs_f64() / 5.0).floor().exp2().min(16.0) / 16.0
        };
        let over = state.starts.iter().flat_map(|start| {
            let after = state.came.iter().filter(move |came| **came >= *start);
            after.clone().enumerate().map(move |(at, last)| {
                let from = (*last - SECOND).max(*start);
                let here = after
                    .clone()
                    .take(at + 1)
                    .filter(|came| **came > from)
                    .count() as f64;
                let takes = takes(*last - *start);
                here - (takes + 2.0 * takes.sqrt() + 2.0)
            })
        });
        over.reduce(f64::max)
    }

    fn serve(&self, stream: TcpStream, zone: &str) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let connection = {
            let mut state = self.lock();
            if state.is_down() {
                state.came_while_down += 1;
                let _ = stream.shutdown(Shutdown::Both);
                return None;
            }
            state.next += 1;
            let no = state.next;
            state.connections.insert(no, stream);
            no
        };
        let ended = self.read(&mut reader, connection, zone);
        let mut state = self.lock();
        state.connections.remove(&connection);
        state
            .in_hand
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
                    self.lock().invoked(connection, id, zone);
                    self.0.1.notify_all();
                }
                ["cancel", id] => self.lock().in_hand.retain(|_, call| call.id != *id),
                _ => {}
            }
        }
    }

    /// Answers calls when their time has come.
    fn work(&self) {
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            while let Some(first) = state
                .waiting
                .peek()
                .filter(|waiting| waiting.due <= now)
                .map(|w| w.no)
            {
                state.waiting.pop();
                state.answer(first);
            }
            let wait = state
                .waiting
                .peek()
                .map_or(Duration::from_millis(200), |waiting| waiting.due - now);
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
    fn is_down(&mut self) -> bool {
        match self.down_until {
            Some(until) if Instant::now() >= until => {
                (self.down_until, self.back) = (None, Some(until));
                self.starts.push(until);
                false
            }
            down => down.is_some(),
        }
    }

    fn die(&mut self, time: Duration) {
        self.down_until = Some(Instant::now() + time);
        self.in_hand.clear();
        self.waiting.clear();
        for (_, stream) in self.connections.drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Calls in hand that it survives now.
    fn survives(&self) -> usize {
        let Nature { survives, warm, .. } = self.nature;
        let passed = self.back.map_or(1.0, |back| {
            back.elapsed().as_secs_f64() / warm.as_secs_f64().max(1e-3)
        });
        ((0.2 + 0.8 * passed.min(1.0)) * survives as f64).ceil() as usize
    }

    fn invoked(&mut self, connection: u64, id: &str, zone: &str) {
        if self.is_down() {
            return;
        }
        let now = Instant::now();
        self.came.push(now);
        self.troubles.retain(|trouble| trouble.until > now);
        let of = |trouble: &&Trouble| trouble.zone.as_deref().is_none_or(|of| of == zone);
        let more: Duration = self
            .troubles
            .iter()
            .filter(of)
            .map(|trouble| trouble.more_work)
            .sum();
        let fails = self
            .troubles
            .iter()
            .filter(of)
            .map(|trouble| trouble.fails)
            .fold(0.0, f64::max);
        self.asked += 1;
        let fails = (self.asked as f64 * fails).floor() > ((self.asked - 1) as f64 * fails).floor();
        self.next += 1;
        self.in_hand.insert(
            self.next,
            Call {
                id: id.to_owned(),
                connection,
                fails,
            },
        );
        self.waiting.push(Waiting {
            due: now + self.nature.work + more,
            no: self.next,
        });
        self.most_in_hand = self.most_in_hand.max(self.in_hand.len());
        if self.nature.survives > 0 && self.in_hand.len() > self.survives() {
            self.falls += 1;
            self.die(self.nature.down);
        }
    }

    fn answer(&mut self, no: u64) {
        let Some(call) = self.in_hand.remove(&no) else {
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
