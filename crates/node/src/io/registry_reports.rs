//! Reports to the membership service, on a thread of their own.

use super::{Addresses, spawn};
use crate::log::part;
use crate::service_registry::{self, Phase};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Between two reports to the membership service, after one that failed, and what each step of one
/// may take.
const PERIOD: Duration = Duration::from_millis(800);
const RETRY: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(400);

/// What the reports go by: whether the node leaves; and whether another process takes its place,
/// which then reports.
pub struct Told {
    pub leaving: Arc<AtomicBool>,
    pub handed: Arc<AtomicBool>,
}

/// Reports from here on that the node is up, or that it is leaving.
pub fn start(addresses: Addresses, node: String, told: Told) -> io::Result<()> {
    spawn("reports", move || report(&addresses, &node, &told))
}

fn report(addresses: &Addresses, node: &str, told: &Told) {
    let (leaving, mut failing) = (&told.leaving, false);
    loop {
        let address = addresses.load().service_registry;
        let out = leaving.load(SeqCst);
        if told.handed.load(SeqCst) {
            return;
        }
        let phase = if out { Phase::Out } else { Phase::Up };
        let done = report_once(
            address,
            &service_registry::report(&address.to_string(), node, phase),
        );
        if let Err(e) = &done
            && !failing
        {
            warn!(target: part::SERVICE_REGISTRY, error = %e, "report failed");
        }
        if done.is_ok() && failing {
            info!(target: part::SERVICE_REGISTRY, "reports succeed again");
        }
        failing = done.is_err();
        let rest = if failing { RETRY } else { PERIOD };
        let until = Instant::now() + rest;
        while Instant::now() < until
            && leaving.load(SeqCst) == out
            && addresses.load().service_registry == address
        {
            thread::sleep(Duration::from_millis(50).min(rest));
        }
    }
}

fn report_once(address: SocketAddr, bytes: &[u8]) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, STEP)?;
    stream.set_read_timeout(Some(STEP))?;
    stream.set_write_timeout(Some(STEP))?;
    stream.write_all(bytes)?;
    let until = Instant::now() + STEP;
    let (mut answer, mut buffer) = (service_registry::Answer::default(), [0; 512]);
    while Instant::now() < until {
        let n = match stream.read(&mut buffer) {
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            // It has arrived and counts without an answer: to send it again at once would only add
            // to the load.
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Ok(());
            }
            read => read?,
        };
        if n == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match answer.feed(&buffer[..n]) {
            Ok(None) => {}
            Ok(Some(204)) => return Ok(()),
            Ok(Some(status)) => return Err(io::Error::other(format!("status {status}"))),
            Err(e) => return Err(io::Error::other(e)),
        }
    }
    Ok(())
}
