//! A back end that answers every call at once, and keeps the record of a limit: calls in every second, over all nodes.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// When calls came, over all nodes that share a service.
#[derive(Clone, Default)]
pub struct Calls(Arc<Mutex<Vec<Instant>>>);

impl Calls {
    fn came(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
    }

    /// The most calls in any second, and all of them.
    pub fn most_in_a_second(&self) -> (usize, usize) {
        let mut calls = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        calls.sort_unstable();
        let (mut first, mut most) = (0, 0);
        for (at, call) in calls.iter().enumerate() {
            while calls[first] + Duration::from_secs(1) <= *call {
                first += 1;
            }
            most = most.max(at + 1 - first);
        }
        (most, calls.len())
    }
}

/// It ends with the process.
pub struct Backend {
    pub address: SocketAddr,
}

impl Backend {
    /// Listens on a free port.
    pub fn start(calls: &Calls) -> io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let calls = calls.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = thread::Builder::new().stack_size(128 << 10).spawn({
                    let calls = calls.clone();
                    move || serve(stream, &calls)
                });
            }
        });
        Ok(Backend { address })
    }
}

fn serve(stream: TcpStream, calls: &Calls) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        if let ["invoke", id, _, len] = words.as_slice() {
            let len: usize = len.parse().ok()?;
            let mut body = vec![0; len + 2];
            reader.read_exact(&mut body).ok()?;
            calls.came();
            stream.write_all(format!("{id} ok 2\r\nok\r\n").as_bytes()).ok()?;
        }
    }
}
