//! A node's peers, which a test drives line by line: executor, backend, service registry and load
//! balancer. All waits end when data arrives, and panic after [`WAIT_TIMEOUT`].

use crate::wire::{self, Answer};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest wait for any data. The limit only keeps a failed test from hanging.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Opens a listener on a free port.
///
/// # Panics
///
/// Panics if no port can be opened.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Returns an address at which no process listens. The address is fixed, because another test could
/// take a port that was found free before.
pub fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 1, 2, 3], 1))
}

/// Returns the present Unix time in milliseconds, as decimal text.
///
/// # Panics
///
/// Panics if the clock is before 1970.
pub fn unix_ms() -> String {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
        .to_string()
}

/// A peer's end of a connection with a line-based protocol.
///
/// The methods panic if the connection fails or if no data arrives in time.
pub struct LineConnection {
    /// The connection, buffered for reading lines.
    pub reader: BufReader<TcpStream>,
    /// Bytes that were received of a line whose end has not arrived yet.
    pub part: Vec<u8>,
}

impl LineConnection {
    /// Accepts the next connection.
    pub fn accept(listener: &TcpListener) -> LineConnection {
        let (stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        LineConnection {
            reader: BufReader::new(stream),
            part: Vec::new(),
        }
    }

    /// Waits for the next line and returns it without the line end.
    pub fn line(&mut self) -> String {
        self.line_within(WAIT_TIMEOUT)
            .expect("a line arrives in time")
    }

    /// Returns the next line, or `None` if it does not arrive within `time`.
    pub fn line_within(&mut self, time: Duration) -> Option<String> {
        self.reader.get_ref().set_read_timeout(Some(time)).unwrap();
        match self.reader.read_until(b'\n', &mut self.part) {
            Ok(_) => Some(
                String::from_utf8(std::mem::take(&mut self.part))
                    .unwrap()
                    .trim_end()
                    .to_owned(),
            ),
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(e) => panic!("{e}"),
        }
    }

    /// Waits for the next `len` bytes and returns them.
    pub fn exactly(&mut self, len: usize) -> Vec<u8> {
        let mut bytes = vec![0; len];
        self.reader.read_exact(&mut bytes).unwrap();
        bytes
    }

    /// Sends text unchanged, without adding a line end.
    pub fn send_text(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// As an executor: waits for the next command other than SYSINFO, and returns it. SYSINFO
    /// commands are answered.
    pub fn command(&mut self) -> Value {
        self.command_within(WAIT_TIMEOUT)
            .expect("a command arrives in time")
    }

    /// As an executor: returns the next command other than SYSINFO, or `None` if no line arrives
    /// within `time`.
    pub fn command_within(&mut self, time: Duration) -> Option<Value> {
        loop {
            let command: Value = serde_json::from_str(&self.line_within(time)?).unwrap();
            if command["t"] != "SYSINFO" {
                return Some(command);
            }
            self.answer_gauges(&command);
        }
    }

    /// Answers a SYSINFO command.
    fn answer_gauges(&mut self, command: &Value) {
        self.send_text(&format!(
            "{{\"t\":\"INFO\",\"mark\":{},\"v\":[0.1,0.1]}}\n",
            command["mark"]
        ));
    }

    /// As an executor: returns the next command other than SYSINFO, or `None` if the link ends
    /// first.
    pub fn command_until_closed(&mut self) -> Option<Value> {
        loop {
            self.part.clear();
            let read = self.reader.read_until(b'\n', &mut self.part);
            let command: Value = serde_json::from_slice(&self.part)
                .ok()
                .filter(|_| read.is_ok())?;
            if command["t"] != "SYSINFO" {
                return Some(command);
            }
            self.answer_gauges(&command);
        }
    }

    /// As an executor: accepts a new link of a node that has read notices up to `last`, and sends
    /// the notices that the node `missed`.
    pub fn accept_executor_link(listener: &TcpListener, last: u64, missed: &str) -> LineConnection {
        let mut link = LineConnection::accept(listener);
        assert_eq!(link.line(), format!("{{\"t\":\"OPEN\",\"no\":{last}}}"));
        link.send_text(&format!(
            "{{\"t\":\"BOOTED\",\"status\":\"WARM\",\"time_ms\":9000}}\n{missed}"
        ));
        link
    }
}

/// Returns notice `no`: the execution of this request ended with this status.
pub fn execution_ended_notice(no: u64, request_id: &str, status: &str) -> String {
    format!(
        "{{\"t\":\"REAP\",\"no\":{no},\"rid\":\"{request_id}\",\"status\":\"{status}\",\"time_ms\":3,\"b64\":\"AP8=\"}}\n"
    )
}

/// Returns notice `no`: the execution of this request asks for a backend call.
pub fn call_notice(no: u64, request_id: &str) -> String {
    format!("{{\"t\":\"IOREQ\",\"no\":{no},\"rid\":\"{request_id}\",\"b64\":\"AP8=\"}}\n")
}

/// A load balancer with one connection. The node may close the connection while no request is open;
/// a request that was in transit at that time is sent again on a new connection.
///
/// The methods panic if the connection fails or if no data arrives in time.
pub struct LoadBalancer {
    /// Address on which the node listens.
    pub node: SocketAddr,
    /// The current connection to the node; replaced when the node has closed it.
    pub stream: TcpStream,
    /// Received bytes of an incomplete record.
    pub bytes: Vec<u8>,
    /// Received bytes of incomplete answers, by FastCGI request id.
    pub open: BTreeMap<u16, Vec<u8>>,
    /// Complete answers that no method has returned yet.
    pub done: Vec<Answer>,
}

impl LoadBalancer {
    /// Connects to a node.
    pub fn connect(node: SocketAddr) -> LoadBalancer {
        let stream = TcpStream::connect(node).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        LoadBalancer {
            node,
            stream,
            bytes: Vec::new(),
            open: BTreeMap::new(),
            done: Vec::new(),
        }
    }

    /// Sends a request, waits until the executor behind `link` receives the command to run it, and
    /// returns that command.
    pub fn run(&mut self, link: &mut LineConnection, id: u16, request_id: &str) -> Value {
        loop {
            let request = wire::request(
                id,
                &wire::call_params("/call/read", request_id, &unix_ms()),
                b"\0body",
            );
            if self.stream.write_all(&request).is_ok() {
                while !self.has_ended() {
                    if let Some(command) = link.command_within(Duration::from_millis(50)) {
                        assert_eq!(
                            (&command["t"], &command["rid"]),
                            (&"SCHED".into(), &request_id.into()),
                            "{command}"
                        );
                        return command;
                    }
                }
            }
            *self = LoadBalancer::connect(self.node);
        }
    }

    /// Returns whether the node has closed the connection.
    pub fn has_ended(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        peeked.map_or_else(|e| e.kind() == ErrorKind::ConnectionReset, |n| n == 0)
    }

    /// Waits for the next answer and returns it.
    pub fn answer(&mut self) -> Answer {
        while self.done.is_empty() {
            assert!(self.read() > 0, "the connection ended without an answer");
        }
        self.done.remove(0)
    }

    /// Sends a request, waits for the answer and returns it.
    pub fn ask(&mut self, request: &[u8]) -> Answer {
        loop {
            if self.stream.write_all(request).is_ok() {
                while self.done.is_empty() && self.read() > 0 {}
            }
            if !self.done.is_empty() {
                return self.done.remove(0);
            }
            *self = LoadBalancer::connect(self.node);
        }
    }

    /// Waits for more bytes and returns their number; 0 if the connection has ended.
    pub fn read(&mut self) -> usize {
        let mut buffer = [0; 4096];
        let n = match self.stream.read(&mut buffer) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return self.read(),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => 0,
            read => read.unwrap(),
        };
        self.bytes.extend_from_slice(&buffer[..n]);
        self.done
            .extend(wire::answers(&mut self.bytes, &mut self.open));
        n
    }

    /// Sends a ping and returns the status of the answer.
    pub fn ping(&mut self) -> String {
        self.ask(&ping(1)).status
    }
}

/// Returns a ping request with this FastCGI request id.
pub fn ping(id: u16) -> Vec<u8> {
    wire::request(id, &[("SCRIPT_NAME", "/ping")], b"")
}
