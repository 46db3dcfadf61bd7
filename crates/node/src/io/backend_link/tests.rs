//! A backend link against a listener that plays the backend: calls that the backend does not read in
//! time, and replies that are cut short.

use super::*;
use crate::config::PeerAddresses;
use crossbeam_utils::atomic::AtomicCell;
use madderpoint_test_harness::peers::{WAIT_TIMEOUT, listen, unused_address};
use std::net::TcpListener;
use std::time::Instant;

const ID: RequestId = RequestId(7);
/// Size in bytes of a call that does not fit into the buffers of a socket.
const HUGE: usize = 32 << 20;

/// A backend, a link to it, and the events that the link sends to the core.
struct Fixture {
    backend: TcpListener,
    queue: Sender<BackendLinkCommand>,
    events: Receiver<Message>,
}

impl Fixture {
    fn new() -> Fixture {
        let backend = listen();
        let peers = PeerAddresses {
            executor: unused_address(),
            service_registry: unused_address(),
            backend: Some(backend.local_addr().unwrap()),
        };
        let (events, inbox) = bounded(100);
        let queue = start(Arc::new(AtomicCell::new(peers)), 0, 100, events).unwrap();
        Fixture {
            backend,
            queue,
            events: inbox,
        }
    }

    /// Queues a call. The call stays wanted until the returned value is dropped.
    fn call(&self, number: u64, bytes: &[u8]) -> CallInterest {
        let interest = CallInterest::default();
        self.queue
            .send(BackendLinkCommand::Call(
                CallId(number),
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
            _ => panic!("the message is not an event"),
        }
    }

    /// Returns each call's number and whether it was written, up to and including the last call.
    fn call_results_until(&self, last: u64) -> Vec<(u64, bool)> {
        let mut calls = Vec::new();
        while calls.last().is_none_or(|&(number, _)| number != last) {
            match self.event() {
                Event::BackendCallWritten { call, .. } => calls.push((call.0, true)),
                Event::BackendCallNotSent(call, _) => calls.push((call.0, false)),
                _ => {}
            }
        }
        calls
    }
}

/// Reads a connection to its end.
fn read_to_end(mut stream: TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    bytes
}

#[test]
fn a_call_that_is_no_longer_wanted_is_not_written() {
    let fixture = Fixture::new();
    let token = CallInterest::default().token();
    fixture
        .queue
        .send(BackendLinkCommand::Call(
            CallId(1),
            ID,
            b"invoke one 1 0\r\n\r\n".to_vec(),
            token,
        ))
        .unwrap();
    let _two = fixture.call(2, b"invoke two 1 0\r\n\r\n");
    assert_eq!(fixture.call_results_until(2), [(1, false), (2, true)]);
    let mut line = [0; 18];
    fixture.accept().read_exact(&mut line).unwrap();
    assert_eq!(&line, b"invoke two 1 0\r\n\r\n");
}

/// The backend reads nothing, so calls wait behind one that cannot be written, and are given up
/// meanwhile. When the backend reads again, it must get only the call that is still wanted.
#[test]
fn queued_calls_that_are_given_up_are_not_written_to_a_backend_that_reads_again() {
    let fixture = Fixture::new();
    let first = fixture.call(1, &vec![b'x'; HUGE]);
    let stream = fixture.accept();
    stream.peek(&mut [0]).unwrap(); // a part of the first call was sent
    drop(fixture.call(2, b"invoke second 1 0\r\n\r\n"));
    let third = fixture.call(3, b"invoke third 1 0\r\n\r\n");
    drop(first);
    assert_eq!(
        fixture.call_results_until(3),
        [(1, false), (2, false), (3, true)]
    );
    let bytes = read_to_end(stream);
    assert!(
        bytes.len() < HUGE && bytes.iter().all(|&b| b == b'x'),
        "{} bytes",
        bytes.len()
    );
    let mut new = fixture.accept();
    let mut line = [0; 20];
    new.read_exact(&mut line).unwrap();
    assert_eq!(&line, b"invoke third 1 0\r\n\r\n");
    drop(third);
}

/// The call stays wanted, and the backend never reads. The link must close the connection and report
/// it as lost.
#[test]
fn a_connection_is_closed_when_the_backend_does_not_read_for_a_second() {
    let fixture = Fixture::new();
    let begun = Instant::now();
    let _first = fixture.call(1, &vec![b'x'; HUGE]);
    let stream = fixture.accept();
    // The closed connection is reported by the reader thread and the failed call by the writer, so
    // the two events come in either order.
    let (mut results, mut lost) = (Vec::new(), None);
    while results.is_empty() || lost.is_none() {
        match fixture.event() {
            Event::BackendCallWritten { call, .. } => results.push((call.0, true)),
            Event::BackendCallNotSent(call, _) => results.push((call.0, false)),
            Event::BackendDisconnected(link, _) => {
                lost.get_or_insert((link.place, link.generation));
            }
            _ => {}
        }
        assert!(
            begun.elapsed() >= WRITE_TIMEOUT * WRITE_TIMEOUTS_MAX,
            "{:?}",
            begun.elapsed()
        );
    }
    assert_eq!((results, lost), (vec![(1, false)], Some((0, 1))));
    drop(stream);
}

#[test]
fn a_truncated_reply_closes_the_connection_and_a_fragmented_one_does_not() {
    let fixture = Fixture::new();
    let _call = fixture.call(1, b"invoke one 1 0\r\n\r\n");
    let mut stream = fixture.accept();
    for piece in ["one o", "k 4\r", "\nrep", "l\r", "\n"] {
        stream.write_all(piece.as_bytes()).unwrap();
    }
    assert_eq!(fixture.call_results_until(1), [(1, true)]);
    assert!(matches!(fixture.event(), Event::BackendReply(0, reply) if reply.body == b"repl"));
    stream.write_all(b"two ok 100\r\nonly this").unwrap();
    let begun = Instant::now();
    while !matches!(fixture.event(), Event::BackendDisconnected(_, cause) if cause == Some(backend::ReadError::CutShort))
    {
    }
    assert!(
        begun.elapsed() >= REPLY_TIMEOUT * (REPLY_TIMEOUTS_MAX - 1),
        "{:?}",
        begun.elapsed()
    );
}

#[test]
fn a_call_after_the_link_was_closed_is_written_on_a_new_connection() {
    let fixture = Fixture::new();
    let _one = fixture.call(1, b"invoke one 1 0\r\n\r\n");
    let first = fixture.accept();
    fixture.queue.send(BackendLinkCommand::Close).unwrap();
    let _two = fixture.call(2, b"invoke two 1 0\r\n\r\n");
    let mut second = fixture.accept();
    assert_eq!(read_to_end(first), b"invoke one 1 0\r\n\r\n");
    let mut line = [0; 18];
    second.read_exact(&mut line).unwrap();
    assert_eq!(&line, b"invoke two 1 0\r\n\r\n");
    assert_eq!(fixture.call_results_until(2), [(1, true), (2, true)]);
}
