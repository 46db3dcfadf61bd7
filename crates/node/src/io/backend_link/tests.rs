//! A link to a backend that is played here: what it does not read in time, and replies that are
//! cut.

use super::*;
use crate::config::PeerAddresses;
use crossbeam_utils::atomic::AtomicCell;
use madderpoint_test_harness::peers::{WAIT_TIMEOUT, listen, unused_address};
use std::net::TcpListener;
use std::time::Instant;

const ID: RequestId = RequestId(7);
/// No socket's buffers take as much.
const HUGE: usize = 32 << 20;

/// A backend, a link to it, and what it reports to the core.
struct Bench {
    backend: TcpListener,
    queue: Sender<BackendLinkCommand>,
    events: Receiver<Message>,
}

impl Bench {
    fn new() -> Bench {
        let backend = listen();
        let peers = PeerAddresses {
            executor: unused_address(),
            service_registry: unused_address(),
            backend: Some(backend.local_addr().unwrap()),
        };
        let (events, inbox) = bounded(100);
        let queue = start(Arc::new(AtomicCell::new(peers)), 0, 100, events).unwrap();
        Bench {
            backend,
            queue,
            events: inbox,
        }
    }

    /// Hands a call over; gives what keeps it wanted.
    fn call(&self, no: u64, bytes: &[u8]) -> CallInterest {
        let interest = CallInterest::default();
        self.queue
            .send(BackendLinkCommand::Call(
                CallId(no),
                ID,
                bytes.to_vec(),
                interest.token(),
            ))
            .unwrap();
        interest
    }

    fn accept(&self) -> TcpStream {
        let (stream, _) = self.backend.accept().unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
    }

    fn event(&self) -> Event {
        match self.events.recv_timeout(WAIT_TIMEOUT).unwrap() {
            Message::Event(event) => event,
            _ => panic!("no event"),
        }
    }

    /// What became of calls, until this one is dealt with.
    fn until(&self, last: u64) -> Vec<(u64, bool)> {
        let mut calls = Vec::new();
        while calls.last().is_none_or(|&(no, _)| no != last) {
            match self.event() {
                Event::BackendCallWritten { call, .. } => calls.push((call.0, true)),
                Event::BackendCallNotSent(no, _) => calls.push((no.0, false)),
                _ => {}
            }
        }
        calls
    }
}

/// All that comes on a connection until it ends.
fn all(mut stream: TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    bytes
}

#[test]
fn a_call_that_is_no_longer_wanted_is_not_written() {
    let bench = Bench::new();
    let wanted = CallInterest::default().token();
    bench
        .queue
        .send(BackendLinkCommand::Call(
            CallId(1),
            ID,
            b"invoke one 1 0\r\n\r\n".to_vec(),
            wanted,
        ))
        .unwrap();
    let _two = bench.call(2, b"invoke two 1 0\r\n\r\n");
    assert_eq!(bench.until(2), [(1, false), (2, true)]);
    let mut line = [0; 18];
    bench.accept().read_exact(&mut line).unwrap();
    assert_eq!(&line, b"invoke two 1 0\r\n\r\n");
}

/// The backend reads nothing. Calls that wait behind one that it does not take pass their limits:
/// when it reads again, none of them reaches it, and a call that is wanted does.
#[test]
fn calls_that_wait_for_a_backend_that_does_not_read_are_not_written_after_their_time() {
    let bench = Bench::new();
    let first = bench.call(1, &vec![b'x'; HUGE]);
    let stream = bench.accept();
    stream.peek(&mut [0]).unwrap(); // a part of the first one is on its way
    drop(bench.call(2, b"invoke second 1 0\r\n\r\n"));
    let third = bench.call(3, b"invoke third 1 0\r\n\r\n");
    drop(first);
    assert_eq!(bench.until(3), [(1, false), (2, false), (3, true)]);
    let bytes = all(stream);
    assert!(
        bytes.len() < HUGE && bytes.iter().all(|&b| b == b'x'),
        "{} bytes",
        bytes.len()
    );
    let mut new = bench.accept();
    let mut line = [0; 20];
    new.read_exact(&mut line).unwrap();
    assert_eq!(&line, b"invoke third 1 0\r\n\r\n");
    drop(third);
}

/// Nobody gives the call up, and the backend does not read for good: the connection ends, and all
/// on it is known to be lost.
#[test]
fn a_backend_that_does_not_read_for_a_second_loses_its_connection() {
    let bench = Bench::new();
    let begun = Instant::now();
    let _first = bench.call(1, &vec![b'x'; HUGE]);
    let held = bench.accept();
    assert_eq!(bench.until(1), [(1, false)]);
    assert!(
        begun.elapsed() >= WRITE_TIMEOUT * WRITE_TIMEOUTS_MAX,
        "{:?}",
        begun.elapsed()
    );
    let lost = loop {
        if let Event::BackendDisconnected(link, _) = bench.event() {
            break link;
        }
    };
    assert_eq!((lost.place, lost.generation), (0, 1));
    drop(held);
}

#[test]
fn a_reply_that_is_cut_ends_its_connection_and_one_in_pieces_does_not() {
    let bench = Bench::new();
    let _call = bench.call(1, b"invoke one 1 0\r\n\r\n");
    let mut stream = bench.accept();
    for piece in ["one o", "k 4\r", "\nrep", "l\r", "\n"] {
        stream.write_all(piece.as_bytes()).unwrap();
    }
    assert_eq!(bench.until(1), [(1, true)]);
    assert!(matches!(bench.event(), Event::BackendReply(0, reply) if reply.body == b"repl"));
    stream.write_all(b"two ok 100\r\nonly this").unwrap();
    let begun = Instant::now();
    while !matches!(bench.event(), Event::BackendDisconnected(_, cause) if cause == Some(backend::ReadError::CutShort))
    {
    }
    assert!(
        begun.elapsed() >= REPLY_TIMEOUT * (REPLY_TIMEOUTS_MAX - 1),
        "{:?}",
        begun.elapsed()
    );
}

#[test]
fn a_call_that_meets_the_end_of_an_idle_connection_is_written_on_a_new_one() {
    let bench = Bench::new();
    let _one = bench.call(1, b"invoke one 1 0\r\n\r\n");
    let first = bench.accept();
    bench.queue.send(BackendLinkCommand::Close).unwrap();
    let _two = bench.call(2, b"invoke two 1 0\r\n\r\n");
    let mut second = bench.accept();
    assert_eq!(all(first), b"invoke one 1 0\r\n\r\n");
    let mut line = [0; 18];
    second.read_exact(&mut line).unwrap();
    assert_eq!(&line, b"invoke two 1 0\r\n\r\n");
    assert_eq!(bench.until(2), [(1, true), (2, true)]);
}
