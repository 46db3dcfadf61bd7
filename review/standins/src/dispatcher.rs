//! A stand-in for a dispatcher: FastCGI connections to one node, up to 32 requests open on each. A
//! request that crosses the end of a connection within 50 ms is sent once more on a new one.

use crate::util::unix_ms;
use crate::world::{Request, World};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const MAX_OPEN: usize = 32;

fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let ([i1, i0], [l1, l0]) = (id.to_be_bytes(), (content.len() as u16).to_be_bytes());
    let padding = (content.len().wrapping_neg() % 8) as u8;
    let mut out = vec![1, kind, i1, i0, l1, l0, padding, 0];
    out.extend_from_slice(content);
    out.extend(vec![0; usize::from(padding)]);
    out
}

fn pairs(pairs: &[(&str, &str)]) -> Vec<u8> {
    let mut out = Vec::new();
    for (name, value) in pairs {
        for length in [name.len(), value.len()] {
            if length < 128 {
                out.push(length as u8);
            } else {
                out.extend_from_slice(&(length as u32 | 1 << 31).to_be_bytes());
            }
        }
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(value.as_bytes());
    }
    out
}

/// The records that begin a request: BEGIN_REQUEST and all of PARAMS.
pub fn head(id: u16, rid: &str, request: &Request, peer: u32) -> Vec<u8> {
    let (path, arrived) = (
        format!("/call/{}", request.class),
        format!("{:.0}", unix_ms().floor()),
    );
    let (peer, rank) = (peer.to_string(), "0.6250".to_owned());
    let length = request.body.len().to_string();
    let mut fields = vec![
        ("REQUEST_METHOD", "POST"),
        ("SCRIPT_NAME", path.as_str()),
        ("CONTENT_LENGTH", length.as_str()),
        ("HTTP_X_CORRELATION_ID", rid),
        ("HTTP_X_ARRIVED_MS", &arrived),
        ("HTTP_X_UPSTREAM_PEER", &peer),
        ("HTTP_X_ORG", &request.tenant),
        ("HTTP_X_ESTIMATE_MS", "40.00"),
        ("HTTP_X_NEED_KB", "24.5"),
        ("HTTP_X_CRITICALITY", &rank),
    ];
    if let Some(key) = &request.key {
        fields.push(("HTTP_X_OPERATION_KEY", key));
    }
    [
        record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0]),
        record(4, id, &pairs(&fields)),
        record(4, id, &[]),
    ]
    .concat()
}

/// A record of a request's body; an empty one ends the request.
pub fn body(id: u16, bytes: &[u8]) -> Vec<u8> {
    record(5, id, bytes)
}

fn ping(id: u16) -> Vec<u8> {
    let fields = [("REQUEST_METHOD", "GET"), ("SCRIPT_NAME", "/ping")];
    [
        record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0]),
        record(4, id, &pairs(&fields)),
        record(4, id, &[]),
        record(5, id, &[]),
    ]
    .concat()
}

#[derive(Default)]
struct ConnectionState {
    /// Ids of requests by FastCGI id, and whether the request is written completely.
    open: HashMap<u16, (String, bool)>,
    next_id: u16,
    has_ended: bool,
}

pub struct Connection {
    stream: TcpStream,
    /// Held while bytes are written, so that records of two threads do not mix.
    writing: Mutex<()>,
    state: Mutex<ConnectionState>,
}

/// The dispatcher of one number. Clones share it.
#[derive(Clone)]
pub struct Dispatcher {
    pub node: SocketAddr,
    pub peer: u32,
    world: Arc<World>,
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
    resent: Arc<Mutex<HashMap<String, ()>>>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new correlation id.
pub fn next_rid() -> String {
    let mixed = NEXT
        .fetch_add(1, SeqCst)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{mixed:016x}")
}

/// A new operation key.
pub fn next_key() -> String {
    format!(
        "{:032x}",
        u128::from(NEXT.fetch_add(1, SeqCst)) * 0x9e37_79b9_7f4a_7c15_1234_5677
    )
}

impl Dispatcher {
    pub fn new(world: &Arc<World>, node: SocketAddr, peer: u32) -> Dispatcher {
        Dispatcher {
            node,
            peer,
            world: Arc::clone(world),
            connections: Arc::default(),
            resent: Arc::default(),
        }
    }

    /// Whether a health check is answered with 200.
    pub fn ping(node: SocketAddr) -> bool {
        let Ok(mut stream) = TcpStream::connect(node) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut bytes = Vec::new();
        let mut buffer = [0; 4096];
        if stream.write_all(&ping(1)).is_err() {
            return false;
        }
        while let Ok(n) = stream.read(&mut buffer) {
            if n == 0 {
                break;
            }
            bytes.extend_from_slice(&buffer[..n]);
            if bytes.windows(11).any(|w| w == b"Status: 200") {
                return true;
            }
        }
        false
    }

    /// Opens a new connection.
    pub fn connect(&self) -> Option<Arc<Connection>> {
        let stream = TcpStream::connect(self.node).ok()?;
        let _ = stream.set_nodelay(true);
        let connection = Arc::new(Connection {
            stream,
            writing: Mutex::default(),
            state: Mutex::default(),
        });
        self.connections
            .lock()
            .unwrap()
            .push(Arc::clone(&connection));
        let (dispatcher, reading) = (self.clone(), Arc::clone(&connection));
        thread::spawn(move || dispatcher.read(&reading));
        Some(connection)
    }

    /// An open connection with room for another request, or a new one.
    pub fn connection(&self) -> Option<Arc<Connection>> {
        let found = {
            let connections = self.connections.lock().unwrap();
            connections
                .iter()
                .find(|connection| {
                    let state = connection.state.lock().unwrap();
                    !state.has_ended && state.open.len() < MAX_OPEN
                })
                .cloned()
        };
        found.or_else(|| self.connect())
    }

    /// Sends a request at once, on a connection with room.
    pub fn send(&self, rid: &str, request: &Request) {
        let Some(connection) = self.connection() else {
            self.world
                .record
                .line(&format!("refused  {rid}: no connection"));
            return;
        };
        self.send_on(&connection, rid, request);
    }

    pub fn send_on(&self, connection: &Arc<Connection>, rid: &str, request: &Request) {
        let Some(id) = self.open(connection, rid) else {
            return;
        };
        let mut bytes = head(id, rid, request, self.peer);
        for part in request.body.chunks(1024) {
            bytes.extend(body(id, part));
        }
        bytes.extend(body(id, &[]));
        self.write_last(connection, id, rid, request, &bytes);
    }

    /// Takes a free FastCGI id for a request.
    pub fn open(&self, connection: &Arc<Connection>, rid: &str) -> Option<u16> {
        let mut state = connection.state.lock().unwrap();
        if state.has_ended {
            return None;
        }
        loop {
            state.next_id = state.next_id % 60_000 + 1;
            let id = state.next_id;
            if let Entry::Vacant(entry) = state.open.entry(id) {
                entry.insert((rid.to_owned(), false));
                return Some(id);
            }
        }
    }

    /// Writes a part of a request that does not complete it.
    pub fn write_part(&self, connection: &Arc<Connection>, bytes: &[u8]) -> bool {
        let _guard = connection.writing.lock().unwrap();
        (&connection.stream).write_all(bytes).is_ok()
    }

    /// Writes the bytes that complete a request.
    pub fn write_last(
        &self,
        connection: &Arc<Connection>,
        id: u16,
        rid: &str,
        request: &Request,
        bytes: &[u8],
    ) {
        {
            let mut state = connection.state.lock().unwrap();
            let has_ended = state.has_ended;
            match state.open.get_mut(&id) {
                Some(open) if !has_ended => open.1 = true,
                _ => {
                    self.world
                        .record
                        .line(&format!("unsent   {rid}: the connection has ended"));
                    return;
                }
            }
        }
        let sent = Request {
            written: unix_ms(),
            ..request.clone()
        };
        let was_sent = self.world.requests().contains_key(rid);
        if !was_sent {
            self.world.sent(rid, sent);
        }
        self.write_part(connection, bytes);
    }

    fn read(&self, connection: &Arc<Connection>) {
        let (mut bytes, mut buffer) = (Vec::new(), [0; 16384]);
        let mut stdout: HashMap<u16, Vec<u8>> = HashMap::new();
        while let Ok(n) = (&connection.stream).read(&mut buffer) {
            if n == 0 {
                break;
            }
            bytes.extend_from_slice(&buffer[..n]);
            while bytes.len() >= 8 {
                let (kind, id) = (bytes[1], u16::from_be_bytes([bytes[2], bytes[3]]));
                let length = usize::from(u16::from_be_bytes([bytes[4], bytes[5]]));
                let whole = 8 + length + usize::from(bytes[6]);
                if bytes.len() < whole {
                    break;
                }
                let content: Vec<u8> = bytes.drain(..whole).skip(8).take(length).collect();
                match kind {
                    6 => stdout.entry(id).or_default().extend(content),
                    3 => self.ended(
                        connection,
                        id,
                        stdout.remove(&id).unwrap_or_default(),
                        &content,
                    ),
                    _ => {}
                }
            }
        }
        self.connection_ended(connection);
    }

    fn ended(&self, connection: &Connection, id: u16, stdout: Vec<u8>, end: &[u8]) {
        let open = connection.state.lock().unwrap().open.remove(&id);
        let Some((rid, _)) = open else {
            return self
                .world
                .violation(format!("duplicate: a second answer under FastCGI id {id}"));
        };
        let split = stdout.windows(4).position(|w| w == b"\r\n\r\n");
        let (status, body) = match split {
            Some(at) => {
                let head = String::from_utf8_lossy(&stdout[..at]).into_owned();
                let status = head.lines().find_map(|line| line.strip_prefix("Status: "));
                (status.unwrap_or("?").to_owned(), stdout[at + 4..].to_vec())
            }
            None if end.get(4) == Some(&2) => ("OVERLOADED".to_owned(), Vec::new()),
            None => ("none".to_owned(), Vec::new()),
        };
        self.world.answered(&rid, &status, &body);
    }

    fn connection_ended(&self, connection: &Connection) {
        let now = unix_ms();
        let open = {
            let mut state = connection.state.lock().unwrap();
            state.has_ended = true;
            std::mem::take(&mut state.open)
        };
        let _ = connection.stream.shutdown(Shutdown::Both);
        self.world.record.line(&format!(
            "end of a connection of dispatcher {}, {} open",
            self.peer,
            open.len()
        ));
        for (rid, is_whole) in open.into_values() {
            let request = self.world.requests().get(&rid).cloned();
            let Some(request) = request.filter(|_| is_whole) else {
                self.world
                    .record
                    .line(&format!("partial  {rid}: never written completely"));
                continue;
            };
            let age = now - request.written;
            let is_first = self
                .resent
                .lock()
                .unwrap()
                .insert(rid.clone(), ())
                .is_none();
            if age <= 50.0 && is_first {
                self.world.record.line(&format!(
                    "resent   {rid}, written {age:.0} ms before the end"
                ));
                match self.connect() {
                    Some(connection) => self.send_on(&connection, &rid, &request),
                    None => self
                        .world
                        .record
                        .line(&format!("refused  {rid}: no connection")),
                }
            } else {
                self.world.record.line(&format!(
                    "cut      {rid}, written {age:.0} ms before the end"
                ));
                if let Some(request) = self.world.requests().get_mut(&rid) {
                    request.cut = Some(now);
                }
            }
        }
    }
}
