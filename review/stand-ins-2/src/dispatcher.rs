//! A dispatcher: sends requests over FastCGI and reads the answers.

use crate::record::Record;
use crate::settings::TIMEOUT_MS;
use crate::unix_ms;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// What came back for a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// An answer with its status and body.
    Answer { status: u16, body: Vec<u8> },
    /// END_REQUEST with the protocol status OVERLOADED.
    Overloaded,
    /// The connection ended with no whole answer.
    Lost,
}

/// A request as a dispatcher sends it.
#[derive(Clone)]
pub struct Request {
    pub rid: String,
    pub class: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request with the fields that the protocol asks for.
    pub fn new(rid: &str, class: &str, body: &[u8]) -> Request {
        let fields = [
            ("HTTP_X_CORRELATION_ID", rid.to_owned()),
            ("HTTP_X_UPSTREAM_PEER", "4".to_owned()),
            ("HTTP_X_DEADLINE_MS", TIMEOUT_MS.to_string()),
            ("HTTP_X_ESTIMATE_MS", "12.50".to_owned()),
            ("HTTP_X_NEED_KB", "24.5".to_owned()),
            ("HTTP_X_CRITICALITY", "0.6250".to_owned()),
        ];
        Request {
            rid: rid.to_owned(),
            class: class.to_owned(),
            fields: fields
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value))
                .collect(),
            body: body.to_vec(),
        }
    }

    /// Adds a field.
    pub fn with(mut self, name: &str, value: &str) -> Request {
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Encodes the request as records with this FastCGI id.
    pub fn records(&self, id: u16) -> Vec<u8> {
        let mut params = Vec::new();
        let mut add = |name: &str, value: &str| {
            params.extend_from_slice(&[name.len() as u8, value.len() as u8]);
            params.extend_from_slice(name.as_bytes());
            params.extend_from_slice(value.as_bytes());
        };
        add("REQUEST_METHOD", "POST");
        add("SCRIPT_NAME", &format!("/call/{}", self.class));
        add("HTTP_X_ARRIVED_MS", &unix_ms().to_string());
        for (name, value) in &self.fields {
            add(name, value);
        }
        let mut bytes = Vec::new();
        record(&mut bytes, 1, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
        record(&mut bytes, 4, id, &params);
        record(&mut bytes, 4, id, &[]);
        if !self.body.is_empty() {
            record(&mut bytes, 5, id, &self.body);
        }
        record(&mut bytes, 5, id, &[]);
        bytes
    }
}

/// Appends a FastCGI record.
pub fn record(bytes: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    bytes.extend_from_slice(&[1, kind]);
    bytes.extend_from_slice(&id.to_be_bytes());
    bytes.extend_from_slice(&(content.len() as u16).to_be_bytes());
    bytes.extend_from_slice(&[0, 0]);
    bytes.extend_from_slice(content);
}

/// A dispatcher's connection.
pub struct Connection {
    stream: TcpStream,
    answers: Receiver<(u16, Outcome)>,
    ended: Arc<Mutex<Option<Instant>>>,
    open: HashMap<u16, String>,
    next: u16,
    record: Record,
}

impl Connection {
    /// Connects to a node.
    pub fn open(address: SocketAddr, record: &Record) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let (sender, answers) = channel();
        let reader = stream.try_clone()?;
        let ended = Arc::new(Mutex::new(None));
        let end = Arc::clone(&ended);
        thread::spawn(move || {
            read_answers(reader, &sender);
            if let Ok(mut end) = end.lock() {
                *end = Some(Instant::now());
            }
        });
        Ok(Connection {
            stream,
            answers,
            ended,
            open: HashMap::new(),
            next: 1,
            record: record.clone(),
        })
    }

    /// Sends a request.
    pub fn send(&mut self, request: &Request) -> std::io::Result<u16> {
        let id = self.next;
        self.next = self.next % 30000 + 1;
        self.open.insert(id, request.rid.clone());
        self.record.note(format!(
            "dispatcher: request {} {}",
            request.rid, request.class
        ));
        self.stream.write_all(&request.records(id))?;
        Ok(id)
    }

    /// Returns when the node ended the connection, if it did.
    pub fn ended(&self) -> Option<Instant> {
        self.ended.lock().ok().and_then(|ended| *ended)
    }

    /// Waits for the next answer: the request's correlation id and what came back.
    pub fn answer(&mut self, wait: std::time::Duration) -> Option<(String, Outcome)> {
        let (id, outcome) = self.answers.recv_timeout(wait).ok()?;
        let rid = self.open.remove(&id).unwrap_or_default();
        let text = match &outcome {
            Outcome::Answer { status, body } => {
                format!("{status} {:?}", String::from_utf8_lossy(body))
            }
            other => format!("{other:?}"),
        };
        self.record
            .note(format!("dispatcher: answer to {rid}: {text}"));
        Some((rid, outcome))
    }

    /// Ends the connection.
    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn read_answers(mut stream: TcpStream, answers: &Sender<(u16, Outcome)>) {
    let mut contents: HashMap<u16, Vec<u8>> = HashMap::new();
    let mut header = [0; 8];
    while stream.read_exact(&mut header).is_ok() {
        let id = u16::from_be_bytes([header[2], header[3]]);
        let length = usize::from(u16::from_be_bytes([header[4], header[5]]));
        let mut content = vec![0; length + usize::from(header[6])];
        if stream.read_exact(&mut content).is_err() {
            return;
        }
        content.truncate(length);
        match header[1] {
            6 => contents.entry(id).or_default().extend_from_slice(&content),
            3 => {
                let text = contents.remove(&id).unwrap_or_default();
                let outcome = if content.get(4) == Some(&2) {
                    Outcome::Overloaded
                } else {
                    parse(&text)
                };
                if answers.send((id, outcome)).is_err() {
                    return;
                }
            }
            _ => {}
        }
    }
}

fn parse(text: &[u8]) -> Outcome {
    let Some(end) = text.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Outcome::Lost;
    };
    let head = String::from_utf8_lossy(&text[..end]);
    let status = head
        .lines()
        .find_map(|line| line.strip_prefix("Status: "))
        .and_then(|status| status.get(..3))
        .and_then(|status| status.parse().ok())
        .unwrap_or(200);
    Outcome::Answer {
        status,
        body: text[end + 4..].to_vec(),
    }
}
