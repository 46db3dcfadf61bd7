//! A node's peers, played line by line: its kernel, its back end, its membership service and a
//! dispatcher. All waiting is for something to come.

use crate::wire::{self, Answer};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Nothing here takes near as long; it only keeps a failed test from hanging.
pub const PATIENCE: Duration = Duration::from_secs(30);

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// An address at which nobody listens; one that was free a moment ago could be another test's by
/// now.
pub fn nobody() -> SocketAddr {
    SocketAddr::from(([127, 1, 2, 3], 1))
}

pub fn unix_ms() -> String {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
        .to_string()
}

/// A peer's end of a connection, read by lines.
pub struct Talk {
    pub reader: BufReader<TcpStream>,
    pub part: Vec<u8>,
}

impl Talk {
    pub fn accept(listener: &TcpListener) -> Talk {
        let (stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Talk {
            reader: BufReader::new(stream),
            part: Vec::new(),
        }
    }

    pub fn line(&mut self) -> String {
        self.line_within(PATIENCE).expect("a line")
    }

    /// The next line, if it comes within this time.
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

    pub fn exactly(&mut self, len: usize) -> Vec<u8> {
        let mut bytes = vec![0; len];
        self.reader.read_exact(&mut bytes).unwrap();
        bytes
    }

    pub fn say(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// As a kernel: the next command but for gauges, which are told.
    pub fn command(&mut self) -> Value {
        self.command_within(PATIENCE).expect("a command")
    }

    pub fn command_within(&mut self, time: Duration) -> Option<Value> {
        loop {
            let command: Value = serde_json::from_str(&self.line_within(time)?).unwrap();
            if command["t"] != "SYSINFO" {
                return Some(command);
            }
            self.say(&format!(
                "{{\"t\":\"INFO\",\"mark\":{},\"v\":[0.1,0.1]}}\n",
                command["mark"]
            ));
        }
    }

    /// As a kernel: the next command, unless the link ends first.
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
            self.say(&format!(
                "{{\"t\":\"INFO\",\"mark\":{},\"v\":[0.1,0.1]}}\n",
                command["mark"]
            ));
        }
    }

    /// As a kernel: takes a new link, after the node has read notice `last`.
    pub fn boot(listener: &TcpListener, last: u64, missed: &str) -> Talk {
        let mut link = Talk::accept(listener);
        assert_eq!(link.line(), format!("{{\"t\":\"OPEN\",\"no\":{last}}}"));
        link.say(&format!(
            "{{\"t\":\"BOOTED\",\"status\":\"WARM\",\"time_ms\":9000}}\n{missed}"
        ));
        link
    }
}

pub fn reap(no: u64, rid: &str, status: &str) -> String {
    format!(
        "{{\"t\":\"REAP\",\"no\":{no},\"rid\":\"{rid}\",\"status\":\"{status}\",\"time_ms\":3,\"b64\":\"AP8=\"}}\n"
    )
}

pub fn wants_call(no: u64, rid: &str) -> String {
    format!("{{\"t\":\"IOREQ\",\"no\":{no},\"rid\":\"{rid}\",\"b64\":\"AP8=\"}}\n")
}

/// A dispatcher with one connection. The node may close that while nothing is open on it; what
/// crosses such a close is sent again on a new one.
pub struct Dispatcher {
    pub node: SocketAddr,
    pub stream: TcpStream,
    pub bytes: Vec<u8>,
    pub open: BTreeMap<u16, Vec<u8>>,
    pub done: Vec<Answer>,
}

impl Dispatcher {
    pub fn connect(node: SocketAddr) -> Dispatcher {
        let stream = TcpStream::connect(node).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Dispatcher {
            node,
            stream,
            bytes: Vec::new(),
            open: BTreeMap::new(),
            done: Vec::new(),
        }
    }

    /// Has an invocation run; gives the kernel's command for it.
    pub fn run(&mut self, link: &mut Talk, id: u16, rid: &str) -> Value {
        loop {
            let request = wire::request(id, &wire::call("/call/read", rid, &unix_ms()), b"\0body");
            if self.stream.write_all(&request).is_ok() {
                while !self.has_ended() {
                    if let Some(command) = link.command_within(Duration::from_millis(50)) {
                        assert_eq!(
                            (&command["t"], &command["rid"]),
                            (&"SCHED".into(), &rid.into()),
                            "{command}"
                        );
                        return command;
                    }
                }
            }
            *self = Dispatcher::connect(self.node);
        }
    }

    pub fn has_ended(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        peeked.map_or_else(|e| e.kind() == ErrorKind::ConnectionReset, |n| n == 0)
    }

    pub fn answer(&mut self) -> Answer {
        while self.done.is_empty() {
            assert!(self.read() > 0, "the connection ended without an answer");
        }
        self.done.remove(0)
    }

    /// Sends a request and waits for its answer.
    pub fn ask(&mut self, request: &[u8]) -> Answer {
        loop {
            if self.stream.write_all(request).is_ok() {
                while self.done.is_empty() && self.read() > 0 {}
            }
            if !self.done.is_empty() {
                return self.done.remove(0);
            }
            *self = Dispatcher::connect(self.node);
        }
    }

    /// Waits for more; 0 when the connection has ended.
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

    pub fn ping(&mut self) -> String {
        self.ask(&ping(1)).status
    }
}

pub fn ping(id: u16) -> Vec<u8> {
    wire::request(id, &[("SCRIPT_NAME", "/ping")], b"")
}
