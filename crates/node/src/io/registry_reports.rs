//! Reports to the service registry, on a thread of their own.

use super::stream::Addresses;
use super::threads::spawn;
use crate::log::part;
use crate::service_registry::{self, Phase};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Between two reports.
const PERIOD: Duration = Duration::from_millis(800);
/// Between a report that failed and the next one.
const RETRY: Duration = Duration::from_millis(200);
/// What each step of a report may take: connecting, writing, and waiting for the answer.
const STEP: Duration = Duration::from_millis(400);
/// How often it is looked whether the next report is due or the node's state has changed.
const POLL: Duration = Duration::from_millis(50);

/// What the reports depend on.
#[derive(Clone, Default)]
pub struct NodePhase {
    /// Whether the node drains.
    pub is_draining: Arc<AtomicBool>,
    /// Whether another process of this node takes over; then that one reports.
    pub is_handed_over: Arc<AtomicBool>,
}

/// Reports from here on that the node is up, or that it drains.
pub fn start(addresses: Addresses, node: String, phase: NodePhase) -> io::Result<()> {
    spawn("reports", move || report(&addresses, &node, &phase))
}

fn report(addresses: &Addresses, node: &str, phase: &NodePhase) {
    let mut is_failing = false;
    loop {
        let address = addresses.load().service_registry;
        let is_draining = phase.is_draining.load(SeqCst);
        if phase.is_handed_over.load(SeqCst) {
            return;
        }
        let reported = if is_draining { Phase::Out } else { Phase::Up };
        let result = report_once(
            address,
            &service_registry::report(&address.to_string(), node, reported),
        );
        if let Err(e) = &result
            && !is_failing
        {
            warn!(target: part::SERVICE_REGISTRY, error = %e, "report failed");
        }
        if result.is_ok() && is_failing {
            info!(target: part::SERVICE_REGISTRY, "reports succeed again");
        }
        is_failing = result.is_err();
        let pause = if is_failing { RETRY } else { PERIOD };
        let until = Instant::now() + pause;
        while Instant::now() < until
            && phase.is_draining.load(SeqCst) == is_draining
            && addresses.load().service_registry == address
        {
            thread::sleep(POLL.min(pause));
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
        let length = match stream.read(&mut buffer) {
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            // It was sent and counts without an answer: to send it again at once would only add to
            // the load.
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Ok(());
            }
            read => read?,
        };
        if length == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match answer.feed(&buffer[..length]) {
            Ok(None) => {}
            Ok(Some(204)) => return Ok(()),
            Ok(Some(status)) => return Err(io::Error::other(format!("status {status}"))),
            Err(e) => return Err(io::Error::other(e)),
        }
    }
    Ok(())
}
