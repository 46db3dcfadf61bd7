//! A closed-loop load for tests: requests over several connections, in batches. Each connection
//! sends a batch when the previous one is answered.

use crate::checker::Checker;
use crate::peers::{WAIT_TIMEOUT, unix_ms};
use crate::wire::{self, Answer};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread;
use thiserror::Error;

/// One request of a load.
pub struct LoadRequest {
    /// The path, such as `/call/read`.
    pub path: String,
    /// FastCGI parameters in addition to the parameters that each request has.
    pub params: Vec<(String, String)>,
    /// The body that is sent with the request.
    pub body: Vec<u8>,
    /// Idempotency key of the request; `None` if the request may be executed more than once.
    pub key: Option<String>,
}

impl LoadRequest {
    /// Returns a request for this path with the body `body`, without additional parameters and
    /// idempotency key.
    pub fn of(path: &str) -> LoadRequest {
        LoadRequest {
            path: path.to_owned(),
            params: Vec::new(),
            body: b"body".to_vec(),
            key: None,
        }
    }
}

/// A connection ended before all answers of a batch had arrived.
#[derive(Debug, Error)]
#[error("the connection ended after {answers} answers")]
struct ConnectionEnded {
    answers: usize,
}

/// Number of connections and requests of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    /// Number of connections that the load opens at the same time.
    pub connections: usize,
    /// Number of requests in a batch, which are open on each connection at the same time.
    pub open: usize,
    /// Total number of requests on each connection.
    pub requests_per_connection: usize,
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1 << 32);

/// Returns a correlation id that is unique in this process.
pub fn next_request_id() -> String {
    format!("{:016x}", NEXT_REQUEST.fetch_add(1, SeqCst))
}

/// Sends the requests that `make` returns for a connection index and a request number, and records
/// requests and answers in the checker. A connection that the node closes while no request is open
/// is replaced. Setting `stop` ends the load early, after the present batch.
///
/// # Panics
///
/// Panics if a connection fails, or ends before all answers of a batch have arrived.
pub fn run(
    node: SocketAddr,
    shape: LoadShape,
    checker: &Mutex<Checker>,
    stop: &AtomicBool,
    make: impl Fn(usize, usize) -> LoadRequest + Sync,
) {
    thread::scope(|scope| {
        for connection in 0..shape.connections {
            let make = &make;
            scope.spawn(move || {
                let mut client = Client { node, stream: None };
                let mut number = 0;
                while number < shape.requests_per_connection && !stop.load(SeqCst) {
                    let batch = shape.open.min(shape.requests_per_connection - number);
                    let requests: Vec<_> =
                        (0..batch).map(|i| make(connection, number + i)).collect();
                    client.send(&requests, checker);
                    number += batch;
                }
            });
        }
    });
}

/// One connection of a load to a node, which is replaced when the node closes it.
struct Client {
    node: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    fn stream(&mut self) -> &mut TcpStream {
        let node = self.node;
        self.stream.get_or_insert_with(|| {
            let stream = TcpStream::connect(node).unwrap();
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            stream.set_nodelay(true).unwrap();
            stream
        })
    }

    /// Sends a batch and waits for all answers. If the node closed the idle connection while the
    /// batch was in transit, the batch is sent once more, as load balancers do.
    fn send(&mut self, requests: &[LoadRequest], checker: &Mutex<Checker>) {
        let request_ids: Vec<String> = requests.iter().map(|_| next_request_id()).collect();
        for is_retry in [false, true] {
            let mut bytes = Vec::new();
            for (i, (request, request_id)) in requests.iter().zip(&request_ids).enumerate() {
                let arrived = unix_ms();
                let mut params = wire::call_params(&request.path, request_id, &arrived);
                params.extend(request.params.iter().map(|(n, v)| (n.as_str(), v.as_str())));
                bytes.extend(wire::request(i as u16 + 1, &params, &request.body));
            }
            if !is_retry {
                let mut checker = checker.lock().unwrap();
                requests
                    .iter()
                    .zip(&request_ids)
                    .for_each(|(request, request_id)| {
                        checker.sent(request_id, request.key.as_deref())
                    });
            }
            match self.exchange(&bytes, requests.len()) {
                Ok(answers) => {
                    let mut checker = checker.lock().unwrap();
                    for answer in &answers {
                        let index = usize::from(answer.id) - 1;
                        let is_keyed = requests[index].key.is_some();
                        checker.answered(&request_ids[index], answer, is_keyed);
                    }
                    return;
                }
                // No answer arrived: the node closed the connection before it read the batch.
                Err(ConnectionEnded { answers: 0 }) if !is_retry => self.stream = None,
                Err(ended) => panic!("{ended} of {}", requests.len()),
            }
        }
    }

    /// Sends bytes and waits for `expected` answers.
    fn exchange(&mut self, bytes: &[u8], expected: usize) -> Result<Vec<Answer>, ConnectionEnded> {
        let stream = self.stream();
        if stream.write_all(bytes).is_err() {
            return Err(ConnectionEnded { answers: 0 });
        }
        let (mut received, mut open, mut answers) = (Vec::new(), BTreeMap::new(), Vec::new());
        let mut buffer = [0; 16384];
        while answers.len() < expected {
            match stream.read(&mut buffer) {
                Ok(0) => {
                    let answers = answers.len();
                    return Err(ConnectionEnded { answers });
                }
                Ok(n) => received.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionReset => {
                    let answers = answers.len();
                    return Err(ConnectionEnded { answers });
                }
                Err(e) => panic!("{e}"),
            }
            answers.extend(wire::answers(&mut received, &mut open));
        }
        Ok(answers)
    }
}
