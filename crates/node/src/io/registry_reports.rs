//! Reports to the service registry, sent by a dedicated thread.

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

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(800);
/// Time between a failed report and the next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of each step of a report: connecting, writing, and waiting for the answer.
const STEP_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two checks whether a report is due or the node's phase or the registry's address has
/// changed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The phase of the node, which the reports depend on.
#[derive(Clone, Default)]
pub struct NodePhase {
    /// True once the node drains; reports then say so.
    pub is_draining: Arc<AtomicBool>,
    /// Whether another process of this node takes over. That process then reports, and this one stops
    /// reporting.
    pub is_handed_over: Arc<AtomicBool>,
}

/// Starts the thread that reports whether the node is up or drains.
pub fn start(addresses: Addresses, node: String, phase: NodePhase) -> io::Result<()> {
    spawn("reports", move || run(&addresses, &node, &phase))
}

fn run(addresses: &Addresses, node: &str, phase: &NodePhase) {
    let mut is_failing = false;
    loop {
        let address = addresses.load().service_registry;
        let is_draining = phase.is_draining.load(SeqCst);
        if phase.is_handed_over.load(SeqCst) {
            return;
        }
        let reported_phase = if is_draining { Phase::Out } else { Phase::Up };
        let result = report_once(
            address,
            &service_registry::report(&address.to_string(), node, reported_phase),
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
        let pause = if is_failing {
            RETRY_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        let until = Instant::now() + pause;
        while Instant::now() < until
            && phase.is_draining.load(SeqCst) == is_draining
            && addresses.load().service_registry == address
        {
            thread::sleep(POLL_INTERVAL.min(pause));
        }
    }
}

fn report_once(address: SocketAddr, bytes: &[u8]) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, STEP_TIMEOUT)?;
    stream.set_read_timeout(Some(STEP_TIMEOUT))?;
    stream.set_write_timeout(Some(STEP_TIMEOUT))?;
    stream.write_all(bytes)?;
    let until = Instant::now() + STEP_TIMEOUT;
    let (mut answer, mut buffer) = (service_registry::Answer::default(), [0; 512]);
    while Instant::now() < until {
        let length = match stream.read(&mut buffer) {
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            // A report without an answer counts as delivered: sending it again at once would only
            // add load.
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
