//! Time until processes are ready that were restarted while their peers misbehave: nine in ten
//! within 10 s, all within 30 s. A process is ready when it answers a health check with status 200.

use madderpoint_test_harness::peers::{LineConnection, listen, ping, unused_address};
use madderpoint_test_harness::program::{Node, Program, node_config};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: Program = Program {
    exe: env!("CARGO_BIN_EXE_madderpoint"),
    dir: env!("CARGO_TARGET_TMPDIR"),
};

/// Number of processes that are started at the same time.
const PROCESSES: usize = 20;
/// Boot delay of a slow executor.
const BOOT_DELAY: Duration = Duration::from_secs(2);

/// Starts a stand-in for an executor that accepts each link, boots only after a delay, and then
/// answers commands; returns its address.
fn executor(boot_delay: Duration) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let up = Instant::now() + boot_delay;
        loop {
            let mut link = LineConnection::accept(&listener);
            thread::spawn(move || {
                link.line();
                thread::sleep(up.saturating_duration_since(Instant::now()));
                link.send_text("{\"t\":\"BOOTED\",\"status\":\"COLD\",\"time_ms\":0}\n");
                while link.command_until_closed().is_some() {}
            });
        }
    });
    address
}

/// Starts clients that send nothing, or half a request, and reconnect as soon as they are closed.
fn flood(node: SocketAddr, clients: usize, stop: &Arc<AtomicBool>) {
    for client in 0..clients {
        let stop = Arc::clone(stop);
        thread::spawn(move || {
            while !stop.load(SeqCst) {
                let Ok(mut stream) = TcpStream::connect(node) else {
                    continue;
                };
                if client % 2 == 0 {
                    let _ = stream.write_all(&ping(1)[..30]);
                }
                let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
                let waits = |e: &std::io::Error| e.kind() == ErrorKind::WouldBlock;
                while stream.read(&mut [0]).is_err_and(|e| waits(&e)) && !stop.load(SeqCst) {}
            }
        });
    }
}

/// Opens a listener that accepts connections in its backlog, but never reads or writes.
fn hanging_peer() -> (SocketAddr, TcpListener) {
    let listener = listen();
    (listener.local_addr().unwrap(), listener)
}

/// Starts [`PROCESSES`] processes at the same time, kills and restarts each, and returns the sorted
/// times from the end of the executor's boot delay until each process was ready.
fn times_until_ready(
    boot_delay: Duration,
    registry: SocketAddr,
    backend: SocketAddr,
    flooded: bool,
) -> Vec<Duration> {
    let stop = Arc::new(AtomicBool::new(false));
    let started: Vec<_> = (0..PROCESSES)
        .map(|_| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let config = |executor| node_config(executor, backend, registry, 64);
                let mut node =
                    Node::start_with_config(PROGRAM, &config(executor(Duration::ZERO)), &[]);
                node.child.kill().unwrap();
                node.child.wait().unwrap();
                let begun = Instant::now();
                let node = Node::start_with_config(PROGRAM, &config(executor(boot_delay)), &[]);
                if flooded {
                    flood(node.listen, 40, &stop);
                }
                // The load balancer sends health checks without a pause.
                let mut balancer = node.connect();
                while balancer.ping() != "200" {
                    thread::yield_now();
                }
                begun.elapsed().saturating_sub(boot_delay)
            })
        })
        .collect();
    let mut times: Vec<_> = started
        .into_iter()
        .map(|node| node.join().unwrap())
        .collect();
    stop.store(true, SeqCst);
    times.sort();
    times
}

#[test]
fn nine_in_ten_restarted_processes_are_ready_within_ten_seconds() {
    let (hanging_registry, _registry) = hanging_peer();
    let (hanging_backend, _backend) = hanging_peer();
    let cases = [
        (
            "no faults, twenty processes at once",
            Duration::ZERO,
            unused_address(),
            unused_address(),
            false,
        ),
        (
            "slow executor",
            BOOT_DELAY,
            unused_address(),
            unused_address(),
            false,
        ),
        (
            "hanging service registry and backend",
            Duration::ZERO,
            hanging_registry,
            hanging_backend,
            false,
        ),
        (
            "flood on each listener, slow executor, hanging service registry",
            BOOT_DELAY,
            hanging_registry,
            unused_address(),
            true,
        ),
    ];
    for (case, boot_delay, registry, backend, flooded) in cases {
        let times = times_until_ready(boot_delay, registry, backend, flooded);
        let quantile = |percent: usize| times[(times.len() * percent / 100).min(times.len() - 1)];
        println!(
            "{case}: ready after {:?} (half), {:?} (nine in ten), {:?} (all)",
            quantile(50),
            quantile(90),
            times[times.len() - 1]
        );
        assert!(quantile(90) < Duration::from_secs(10), "{case}: {times:?}");
        assert!(
            times[times.len() - 1] < Duration::from_secs(30),
            "{case}: {times:?}"
        );
    }
}
