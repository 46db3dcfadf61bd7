//! How soon processes are ready that were restarted in bad company: nine in ten within 10 s, none
//! later than 30 s. Ready is who answers a health check well.

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

/// Processes that are started at once.
const AT_ONCE: usize = 20;
/// How late a kernel is.
const LATE: Duration = Duration::from_secs(2);

/// A kernel that takes each link, is up only after a time, and then answers questions.
fn kernel(late: Duration) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let up = Instant::now() + late;
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

/// Clients that say nothing or half a request, and come back as soon as they are ended.
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

/// One that hangs: it takes connections and reads and says nothing.
fn hangs() -> (SocketAddr, TcpListener) {
    let listener = listen();
    (listener.local_addr().unwrap(), listener)
}

/// Starts so many at once, each killed and started again first, and gives how long each took to be
/// ready after its kernel was up.
fn ready_after(
    late: Duration,
    members: SocketAddr,
    backend: SocketAddr,
    flooded: bool,
) -> Vec<Duration> {
    let stop = Arc::new(AtomicBool::new(false));
    let started: Vec<_> = (0..AT_ONCE)
        .map(|_| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let config = |kernel| node_config(kernel, backend, members, 64);
                let mut node =
                    Node::start_with_config(PROGRAM, &config(kernel(Duration::ZERO)), &[]);
                node.child.kill().unwrap();
                node.child.wait().unwrap();
                let begun = Instant::now();
                let node = Node::start_with_config(PROGRAM, &config(kernel(late)), &[]);
                if flooded {
                    flood(node.listen, 40, &stop);
                }
                // A dispatcher looks again as often as it may.
                let mut dispatcher = node.connect();
                while dispatcher.ping() != "200" {
                    thread::yield_now();
                }
                begun.elapsed().saturating_sub(late)
            })
        })
        .collect();
    let mut took: Vec<_> = started
        .into_iter()
        .map(|node| node.join().unwrap())
        .collect();
    stop.store(true, SeqCst);
    took.sort();
    took
}

#[test]
fn nine_in_ten_restarted_processes_are_ready_within_ten_seconds() {
    let (hanging, _members) = hangs();
    let (hanging_below, _below) = hangs();
    let ways = [
        (
            "all well, but twenty at once",
            Duration::ZERO,
            unused_address(),
            unused_address(),
            false,
        ),
        (
            "the kernel late",
            LATE,
            unused_address(),
            unused_address(),
            false,
        ),
        (
            "membership service and back end hang",
            Duration::ZERO,
            hanging,
            hanging_below,
            false,
        ),
        (
            "a flood on each listener, and all of it",
            LATE,
            hanging,
            unused_address(),
            true,
        ),
    ];
    for (way, late, members, backend, flooded) in ways {
        let took = ready_after(late, members, backend, flooded);
        let of = |share: usize| took[(took.len() * share / 100).min(took.len() - 1)];
        println!(
            "{way}: ready after {:?} (half), {:?} (nine in ten), {:?} (all)",
            of(50),
            of(90),
            took[took.len() - 1]
        );
        assert!(of(90) < Duration::from_secs(10), "{way}: {took:?}");
        assert!(
            took[took.len() - 1] < Duration::from_secs(30),
            "{way}: {took:?}"
        );
    }
}
