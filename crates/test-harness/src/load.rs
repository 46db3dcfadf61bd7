//! Many requests over some connections, each with its answer awaited: a closed loop of bounded
//! length.

use crate::checker::Checker;
use crate::peers::{PATIENCE, unix_ms};
use crate::wire::{self, Answer};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread;

/// One request of a load.
pub struct Ask {
    pub path: String,
    pub params: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// What it is known again by, where it must run once.
    pub key: Option<String>,
}

impl Ask {
    /// One for an operation, with nothing else to it.
    pub fn of(path: &str) -> Ask {
        Ask {
            path: path.to_owned(),
            params: Vec::new(),
            body: b"body".to_vec(),
            key: None,
        }
    }
}

static NEXT: AtomicU64 = AtomicU64::new(1 << 32);

/// A correlation id that no other request of this process has.
pub fn rid() -> String {
    format!("{:016x}", NEXT.fetch_add(1, SeqCst))
}

/// Sends `each` requests over each of some connections, `open` at a time, as `make` gives them by
/// connection and number; what is sent and answered is told to the checker. Connections that the
/// node closes while nothing is open are made again. Stops sooner once `stop` is set.
pub fn run(
    node: SocketAddr,
    (connections, open, each): (usize, usize, usize),
    checker: &Mutex<Checker>,
    stop: &AtomicBool,
    make: impl Fn(usize, usize) -> Ask + Sync,
) {
    thread::scope(|scope| {
        for conn in 0..connections {
            let make = &make;
            scope.spawn(move || {
                let mut caller = Caller::connect(node);
                let mut number = 0;
                while number < each && !stop.load(SeqCst) {
                    let batch = open.min(each - number);
                    let asks: Vec<_> = (0..batch).map(|i| make(conn, number + i)).collect();
                    caller.ask(&asks, checker);
                    number += batch;
                }
            });
        }
    });
}

struct Caller {
    node: SocketAddr,
    stream: Option<TcpStream>,
}

impl Caller {
    fn connect(node: SocketAddr) -> Caller {
        Caller { node, stream: None }
    }

    fn stream(&mut self) -> &mut TcpStream {
        let node = self.node;
        self.stream.get_or_insert_with(|| {
            let stream = TcpStream::connect(node).unwrap();
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            stream.set_nodelay(true).unwrap();
            stream
        })
    }

    /// Sends some at once and waits for all answers. What crossed a close is sent again, as
    /// dispatchers do, once.
    fn ask(&mut self, asks: &[Ask], checker: &Mutex<Checker>) {
        let rids: Vec<String> = asks.iter().map(|_| rid()).collect();
        for again in [false, true] {
            let mut bytes = Vec::new();
            for (i, (ask, rid)) in asks.iter().zip(&rids).enumerate() {
                let arrived = unix_ms();
                let mut params = wire::call(&ask.path, rid, &arrived);
                params.extend(ask.params.iter().map(|(n, v)| (n.as_str(), v.as_str())));
                bytes.extend(wire::request(i as u16 + 1, &params, &ask.body));
            }
            if !again {
                let mut checker = checker.lock().unwrap();
                asks.iter()
                    .zip(&rids)
                    .for_each(|(ask, rid)| checker.sent(rid, ask.key.as_deref()));
            }
            match self.exchange(&bytes, asks.len()) {
                Ok(answers) => {
                    let mut checker = checker.lock().unwrap();
                    for answer in &answers {
                        let at = usize::from(answer.id) - 1;
                        checker.answered(&rids[at], answer, asks[at].key.is_some());
                    }
                    return;
                }
                // Nothing came back, so that the whole batch crossed a close.
                Err(0) if !again => self.stream = None,
                Err(got) => panic!("a connection ended with {got} of {} answers", asks.len()),
            }
        }
    }

    fn exchange(&mut self, bytes: &[u8], wanted: usize) -> Result<Vec<Answer>, usize> {
        let stream = self.stream();
        if stream.write_all(bytes).is_err() {
            return Err(0);
        }
        let (mut come, mut open, mut answers) = (Vec::new(), BTreeMap::new(), Vec::new());
        let mut buffer = [0; 16384];
        while answers.len() < wanted {
            match stream.read(&mut buffer) {
                Ok(0) => return Err(answers.len()),
                Ok(n) => come.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return Err(answers.len()),
                Err(e) => panic!("{e}"),
            }
            answers.extend(wire::answers(&mut come, &mut open));
        }
        Ok(answers)
    }
}
