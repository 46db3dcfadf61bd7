//! The back end: reads calls and passes them to a handler that writes the replies.

use crate::record::Record;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// A call as read.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub wait_ms: u64,
    pub body: Vec<u8>,
}

/// The writing half of a connection, shared by the calls on it.
#[derive(Clone)]
pub struct Replies(Arc<Mutex<TcpStream>>);

impl Replies {
    /// Writes bytes at once.
    pub fn write(&self, bytes: &[u8]) {
        if let Ok(mut stream) = self.0.lock() {
            let _ = stream.write_all(bytes);
        }
    }
}

/// Encodes a good reply.
pub fn ok(id: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{id} ok {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Starts a back end on a free loopback port. Each call is handled in a thread of its own.
pub fn start(
    record: Record,
    handle: impl Fn(Call, Replies) + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let (record, handle) = (record.clone(), Arc::clone(&handle));
            thread::spawn(move || read_calls(number, stream, &record, handle));
        }
    });
    Ok(address)
}

fn read_calls<H: Fn(Call, Replies) + Send + Sync + 'static>(
    number: usize,
    stream: TcpStream,
    record: &Record,
    handle: Arc<H>,
) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else {
        return;
    };
    let replies = Replies(Arc::new(Mutex::new(writer)));
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
        record.note(format!(
            "back end: connection {number}: {}",
            line.trim_end()
        ));
        let words: Vec<&str> = line.split_whitespace().collect();
        if let ["invoke", id, wait, length] = words[..] {
            let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            body.truncate(body.len() - 2);
            let call = Call {
                id: id.to_owned(),
                wait_ms: wait.parse().unwrap_or(0),
                body,
            };
            let (handle, replies) = (Arc::clone(&handle), replies.clone());
            thread::spawn(move || handle(call, replies));
        }
        line.clear();
    }
    record.note(format!("back end: connection {number} ended"));
}
