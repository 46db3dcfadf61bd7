//! A membership service that answers each report with 204.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Starts the service on a free loopback port.
pub fn start(record: Record) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        let mut last = String::new();
        for stream in listener.incoming().flatten() {
            let mut stream: TcpStream = stream;
            let mut bytes = Vec::new();
            let mut buffer = [0; 1024];
            while !bytes.ends_with(b"}") {
                match stream.read(&mut buffer) {
                    Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
                    _ => break,
                }
            }
            let body = String::from_utf8_lossy(&bytes);
            let body = body.lines().last().unwrap_or_default().to_owned();
            if body != last {
                record.note(format!("membership service: report {body}"));
                last = body;
            }
            let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
        }
    });
    Ok(address)
}
