//! The reader by itself, on loopback sockets and with no thread of its own: each test does, one
//! after the other, what would cross by chance.

use super::close::{LINGER, LINGER_BYTES};
use super::*;
use crate::actions::Close;
use crate::capacity::OptionalSubsystems;
use crate::config::Limits;
use crate::io::client_connections::Connection;
use crate::io::stream::READ;
use crate::node::Event;
use madderpoint_test_harness::peers::{WAIT_TIMEOUT, ping};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// A reader for so few connections, and what it sends to the core.
struct Bench {
    reader: Reader,
    events: Receiver<Message>,
    address: SocketAddr,
    /// The core's ends of connections.
    taken: Vec<Connection>,
}

impl Bench {
    fn new(is_shared: bool) -> Bench {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let limits = Limits {
            cores: 1.0,
            memory_mb: 32.0,
            sockets: 34,
        };
        let (events, inbox) = bounded(1000);
        let reader = Reader::new(
            listener,
            is_shared,
            CapacityLimits::of(&limits, 8, OptionalSubsystems::default()),
            events,
        )
        .unwrap();
        assert_eq!(reader.slots.capacity.connections, 2);
        Bench {
            reader,
            events: inbox,
            address,
            taken: Vec::new(),
        }
    }

    /// A client, and its number here once it is accepted.
    fn client(&mut self) -> (TcpStream, u64) {
        let client = connect(self.address);
        let before = self.reader.accepted;
        while self.reader.accepted == before {
            self.reader.accept();
        }
        (client, self.reader.accepted)
    }

    /// Reads until so much has come.
    fn take(&mut self, number: u64, bytes: usize) {
        let mut taken = 0;
        let socket = Arc::clone(&self.reader.connections[&number].socket);
        while taken < bytes {
            let waiting = socket.stream.peek(&mut [0; READ]).unwrap_or(0);
            if waiting > 0 && self.reader.read_once(number) == ReadOutcome::Data {
                taken += waiting;
            }
        }
    }

    /// Waits until so much has come, and leaves it unread.
    fn holds(&self, number: u64, bytes: usize) {
        let stream = &self.reader.connections[&number].socket.stream;
        while stream.peek(&mut [0; 2 * READ]).unwrap_or(0) < bytes {}
    }

    /// What was sent to the core since, by connection.
    fn handed(&mut self) -> Vec<(u64, &'static str)> {
        let mut handed = Vec::new();
        for message in self.events.try_iter() {
            handed.push(match message {
                Message::Event(Event::LoadBalancer(conn, fastcgi::Event::Request(_))) => {
                    (conn.0, "request")
                }
                Message::Event(Event::HalfClosed(conn)) => (conn.0, "half-closed"),
                Message::Event(Event::ProtocolError(conn, _)) => (conn.0, "garbled"),
                Message::Event(Event::Disconnected(conn)) => (conn.0, "gone"),
                Message::Event(Event::RequestTruncated) => (0, "cut short"),
                Message::Event(Event::ConnectionLimitReached) => (0, "crowded"),
                Message::Event(Event::ListenerClosed) => (0, "not listening"),
                Message::Accepted(conn, _, connection) => {
                    self.taken.push(connection);
                    (conn.0, "accepted")
                }
                _ => (0, "else"),
            });
        }
        handed
    }

    fn close(&mut self, number: u64, heard: u64, patience_ms: u64) {
        self.reader.close(
            number,
            Close {
                events_handled: heard,
                partial_request_wait: patience_ms * 1_000_000,
            },
        );
    }

    fn state(&self, number: u64) -> Option<State> {
        self.reader
            .connections
            .get(&number)
            .map(|connection| connection.state)
    }

    /// Lets time pass until a connection has come so far.
    fn pass(&mut self, number: u64, far: impl Fn(Option<State>) -> bool) {
        while !far(self.state(number)) {
            let Reverse((due, later)) = self.reader.timers.pop().expect("something is due");
            while Instant::now() < due {
                std::thread::yield_now();
            }
            self.reader.on_timer(later);
        }
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    client
}

fn reads_end(mut client: &TcpStream) -> io::Result<usize> {
    client.read(&mut [0; READ])
}

#[test]
fn a_request_in_the_buffer_as_its_connection_is_closed_is_read_and_the_close_is_void() {
    let mut bench = Bench::new(false);
    let (mut client, number) = bench.client();
    client.write_all(&ping(1)).unwrap();
    bench.holds(number, ping(1).len());
    bench.close(number, 0, 0);
    assert_eq!(bench.handed(), [(number, "accepted"), (number, "request")]);
    assert_eq!(
        bench.state(number),
        Some(State::Reading),
        "what was read is owed an answer"
    );
    // The next order knows of it.
    bench.close(number, 1, 0);
    assert!(matches!(bench.state(number), Some(State::Lingering { .. })));
    assert_eq!(reads_end(&client).unwrap(), 0);
}

#[test]
fn an_event_that_the_core_has_not_heard_of_makes_a_close_void() {
    let mut bench = Bench::new(false);
    let (mut client, number) = bench.client();
    client.write_all(&ping(1)).unwrap();
    bench.take(number, ping(1).len());
    bench.close(number, 0, 0);
    assert_eq!(bench.state(number), Some(State::Reading));
}

#[test]
fn the_rest_of_a_request_is_waited_for_and_no_longer_than_it_may() {
    let whole = ping(1);
    let (half, rest) = whole.split_at(20);
    let mut bench = Bench::new(false);
    let (mut client, number) = bench.client();
    client.write_all(half).unwrap();
    bench.take(number, half.len());
    bench.close(number, 0, 60_000);
    assert_eq!(bench.state(number), Some(State::Reading));
    client.write_all(rest).unwrap();
    bench.take(number, rest.len());
    bench.reader.finish_close(number);
    assert_eq!(bench.handed(), [(number, "accepted"), (number, "request")]);
    assert_eq!(
        (
            bench.state(number),
            bench.reader.connections[&number].closing
        ),
        (Some(State::Reading), None)
    );
    // Half a record at the moment of the close, and the rest never.
    client.write_all(&half[..5]).unwrap();
    bench.take(number, 5);
    bench.close(number, 1, 20);
    assert_eq!(bench.state(number), Some(State::Reading));
    bench.pass(number, |state| {
        matches!(state, Some(State::Lingering { .. }))
    });
    assert_eq!(reads_end(&client).unwrap(), 0);
    assert_eq!(bench.handed(), [(0, "cut short")]);
    // One that ends its side in the middle of a request is told apart from one that has asked.
    let (mut client, number) = bench.client();
    client.write_all(&half[..5]).unwrap();
    bench.take(number, 5);
    client.shutdown(Shutdown::Write).unwrap();
    while bench.state(number) == Some(State::Reading) {
        bench.reader.read_once(number);
    }
    assert_eq!(
        bench.handed()[1..],
        [(number, "half-closed"), (0, "cut short")]
    );
}

#[test]
fn bytes_after_the_end_of_writing_are_dropped_and_destroy_no_answer() {
    let mut bench = Bench::new(false);
    let (mut client, number) = bench.client();
    bench.handed();
    let socket = Arc::clone(&bench.reader.connections[&number].socket);
    (&socket.stream).write_all(b"the last answer").unwrap();
    bench.close(number, 0, 0);
    // A request that crosses the close, seen by nobody, and read by the lingering socket.
    client.write_all(&ping(1)).unwrap();
    bench.holds(number, ping(1).len());
    bench.reader.read(number);
    assert_eq!(
        bench.handed(),
        [],
        "it is not run, for its answer could not be written"
    );
    let mut answer = Vec::new();
    client.read_to_end(&mut answer).unwrap();
    assert_eq!(answer, b"the last answer");
    drop(client);
    while bench.state(number).is_some() {
        bench.reader.read(number);
    }
    assert_eq!(bench.handed(), [(number, "gone")]);
}

#[test]
fn lingering_is_bounded_in_bytes_and_time() {
    let mut bench = Bench::new(false);
    let (mut client, number) = bench.client();
    bench.close(number, 0, 0);
    let writer = std::thread::spawn(move || while client.write_all(&[7; 4096]).is_ok() {});
    let mut readings = 0;
    while bench.state(number).is_some() {
        bench.reader.read(number);
        readings += 1;
    }
    bench.handed();
    bench.taken.clear(); // the core lets go of it too
    writer.join().unwrap();
    assert!(readings >= LINGER_BYTES / READ, "{readings}");
    let (_client, number) = bench.client();
    let begun = Instant::now();
    bench.close(number, 0, 0);
    bench.pass(number, |state| state.is_none());
    assert!(begun.elapsed() >= LINGER && begun.elapsed() < 5 * LINGER);
}

#[test]
fn without_a_free_slot_nothing_lingers_and_the_next_connection_is_accepted() {
    let mut bench = Bench::new(false);
    let (_one, first) = bench.client();
    let (_two, second) = bench.client();
    bench.close(first, 0, 0);
    assert_eq!(
        bench.state(first),
        None,
        "all places are taken: it is let go of at once"
    );
    bench.handed();
    bench.taken.remove(0);
    let (_three, third) = bench.client();
    assert_eq!(bench.handed(), [(third, "accepted")]);
    // One that lingered gives its place to who comes.
    bench.reader.remove(third);
    bench.handed();
    bench.taken.pop();
    bench.close(second, 0, 0);
    assert!(matches!(bench.state(second), Some(State::Lingering { .. })));
    let (_four, fourth) = bench.client();
    let _five = connect(bench.address);
    bench.reader.accept();
    assert_eq!(bench.handed(), [(fourth, "accepted"), (second, "gone")]);
    bench.taken.remove(0);
    bench.reader.run_commands(); // the place that came free rang
    while bench.handed() != [(fourth + 1, "accepted")] {
        bench.reader.accept();
    }
}

#[test]
fn a_half_closed_connection_is_reported_and_dropped_after_its_answers() {
    let mut bench = Bench::new(false);
    let (mut client, number) = bench.client();
    client.write_all(&ping(1)).unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    while bench.state(number) != Some(State::Stopped { peer_ended: true }) {
        bench.reader.read_once(number);
    }
    assert_eq!(
        bench.handed(),
        [
            (number, "accepted"),
            (number, "request"),
            (number, "half-closed")
        ]
    );
    bench.close(number, 1, 0);
    assert_eq!(
        bench.state(number),
        Some(State::Stopped { peer_ended: true }),
        "it was not heard of yet"
    );
    bench.close(number, 2, 0);
    assert_eq!(bench.handed(), [(number, "gone")]);
    assert_eq!(reads_end(&client).unwrap(), 0);
}

#[test]
fn lost_framing_is_reported_after_the_requests_before_it() {
    let mut bench = Bench::new(false);
    let (mut client, number) = bench.client();
    client
        .write_all(&[ping(1), vec![0xff; 100]].concat())
        .unwrap();
    while bench.state(number) == Some(State::Reading) {
        bench.reader.read_once(number);
    }
    assert_eq!(
        bench.handed(),
        [
            (number, "accepted"),
            (number, "request"),
            (number, "garbled")
        ]
    );
    assert_eq!(
        bench.state(number),
        Some(State::Stopped { peer_ended: false })
    );
}

#[test]
fn the_backlog_is_accepted_before_the_listener_closes() {
    let mut bench = Bench::new(false);
    let mut clients: Vec<_> = (0..2).map(|_| connect(bench.address)).collect();
    clients
        .iter_mut()
        .for_each(|client| client.write_all(&ping(1)).unwrap());
    bench.reader.handle.send(ReaderCommand::StopListening);
    bench.reader.run_commands();
    assert_eq!(bench.handed(), [(1, "accepted"), (2, "accepted")]);
    // All places are taken: the listener is given up once there is one for the next, and it finds
    // nobody.
    bench.reader.accept();
    assert_eq!(bench.handed(), [(0, "crowded")]);
    bench.taken.pop();
    bench.reader.remove(2);
    assert_eq!(bench.handed(), [(2, "gone")]);
    bench.reader.run_commands();
    assert_eq!(bench.handed(), [(0, "not listening")]);
    assert!(TcpStream::connect(bench.address).is_err());
    // Orders to close that the core gives at once do not beat the requests that had come.
    bench.holds(1, ping(1).len());
    bench.close(1, 0, 0);
    assert_eq!(bench.handed(), [(1, "request")]);
}

#[test]
fn the_backlog_of_a_shared_socket_is_left_to_the_other_process() {
    let mut bench = Bench::new(true);
    let other = bench.reader.listener.as_ref().unwrap().try_clone().unwrap();
    let mut client = connect(bench.address);
    client.write_all(&ping(1)).unwrap();
    bench.reader.handle.send(ReaderCommand::StopListening);
    bench.reader.run_commands();
    assert_eq!(bench.handed(), [(0, "not listening")]);
    other.set_nonblocking(false).unwrap();
    let (mut taken, _) = other.accept().unwrap();
    let mut bytes = vec![0; ping(1).len()];
    taken.read_exact(&mut bytes).unwrap();
    assert_eq!(bytes, ping(1));
}

#[test]
fn a_connection_whose_reading_ends_is_read_once_more_unless_it_is_paced() {
    for paced in [false, true] {
        let mut bench = Bench::new(false);
        let (mut client, number) = bench.client();
        client.write_all(&ping(1)).unwrap();
        bench.holds(number, ping(1).len());
        bench.reader.connections[&number]
            .pause
            .store(u64::from(paced) * 1_000_000, SeqCst);
        bench
            .reader
            .handle
            .send(ReaderCommand::StopReading(ConnectionId(number)));
        bench.reader.run_commands();
        let handed = bench.handed();
        assert_eq!(handed[1..] == [(number, "request")], !paced, "{handed:?}");
        assert_eq!(
            bench.state(number),
            Some(State::Stopped { peer_ended: false })
        );
    }
}
