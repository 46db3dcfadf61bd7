//! A network between two peers: forwards the bytes of each connection after a delay.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a proxy to an address on a free loopback port.
pub fn start(to: SocketAddr, delay: Duration) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else {
                let _ = near.shutdown(Shutdown::Both);
                continue;
            };
            for (from, into) in [(&near, &far), (&far, &near)] {
                let _ = into.set_nodelay(true);
                if let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) {
                    forward(from, into, delay);
                }
            }
        }
    });
    Ok(address)
}

fn forward(mut from: TcpStream, mut into: TcpStream, delay: Duration) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 16384];
        while let Ok(length) = from.read(&mut buffer) {
            let bytes = buffer[..length].to_vec();
            if sender.send((Instant::now() + delay, bytes)).is_err() || length == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        while let Ok((due, bytes)) = receiver.recv() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || into.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = into.shutdown(Shutdown::Write);
    });
}
