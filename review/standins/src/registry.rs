//! A stand-in for the membership service: every report gets the answer 204.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

pub fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let Ok(reader) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(reader);
                loop {
                    let mut length = 0;
                    loop {
                        let mut line = String::new();
                        match reader.read_line(&mut line) {
                            Ok(n) if n > 0 => {}
                            _ => return,
                        }
                        let line = line.trim_end().to_ascii_lowercase();
                        if line.is_empty() {
                            break;
                        }
                        if let Some(value) = line.strip_prefix("content-length:") {
                            length = value.trim().parse().unwrap_or(0);
                        }
                    }
                    let mut body = vec![0; length];
                    if reader.read_exact(&mut body).is_err()
                        || stream
                            .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
                            .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    address
}
