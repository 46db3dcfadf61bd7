use super::*;
use crate::capacity::{CapacityLimits, OptionalSubsystems};
use crate::config::Limits;
use crate::request_memory::{RESERVED_BYTES, SharedRequestMemory};
use madderpoint_test_harness::wire::{self, begin, damaged, record, same_at_every_split};
use proptest::prelude::*;
use std::sync::Arc;

/// A parser whose connection shares `shared_bytes` with no other.
fn parser(shared_bytes: usize) -> Parser {
    Parser::new(
        976,
        ConnectionMemory::new(&SharedRequestMemory::new(shared_bytes)),
    )
}

/// The memory that connections share at the smallest limits of a process.
fn smallest_shared_memory() -> Arc<SharedRequestMemory> {
    let limits = Limits {
        cores: 0.1,
        memory_mb: 32.0,
        sockets: 384,
    };
    let capacity = CapacityLimits::of(&limits, 8, OptionalSubsystems::default());
    SharedRequestMemory::new(capacity.shared_request_bytes)
}

fn read(parts: &[&[u8]]) -> (Vec<Event>, Result<(), ParseError>) {
    let (mut parser, mut events) = (parser(1 << 20), Vec::new());
    let result = parts
        .iter()
        .try_for_each(|part| parser.feed(part, &mut |event| events.push(event)));
    (events, result)
}

fn read_whole(bytes: &[u8]) -> (Vec<Event>, Result<(), ParseError>) {
    read(&[bytes])
}

fn bytes(reply: &Reply) -> Vec<u8> {
    reply
        .slices()
        .iter()
        .flat_map(|s| s.iter().copied())
        .collect()
}

#[test]
fn requests_are_the_same_at_every_split() {
    let long = "v".repeat(200);
    let params = wire::pairs(&[("SCRIPT_NAME", "/call/read"), ("HTTP_X_LONG", &long)]);
    // Two requests with interleaved records, parameters in two records, then an abort, a GET_VALUES
    // and a record of an unknown type.
    let sequence = [
        begin(1, 1, true),
        record(wire::PARAMS, 1, &params[..9], 7),
        begin(258, 1, false),
        record(wire::PARAMS, 1, &params[9..], 0),
        record(wire::PARAMS, 258, &[], 0),
        record(wire::PARAMS, 1, &[], 0),
        record(wire::STDIN, 1, b"ab\0\r\n", 1),
        record(wire::STDIN, 258, &[], 0),
        record(wire::STDIN, 1, b"c", 0),
        record(wire::STDIN, 1, &[], 0),
        record(wire::ABORT, 1, &[], 0),
        record(
            wire::GET_VALUES,
            0,
            &wire::pairs(&[("FCGI_MPXS_CONNS", ""), ("X", "")]),
            0,
        ),
        record(77, 0, b"?", 0),
    ]
    .concat();
    let (events, result) = read_whole(&sequence);
    assert_eq!(result, Ok(()));
    let [
        Event::Request(second),
        Event::Request(first),
        Event::Abort(1),
        Event::Reply(values),
        Event::Reply(unknown_type),
    ] = &events[..]
    else {
        panic!("{events:?}")
    };
    assert_eq!(
        (second.id, second.keep_conn, second.body.len()),
        (258, false, 0)
    );
    assert_eq!(
        (first.id, first.keep_conn, &first.body[..]),
        (1, true, &b"ab\0\r\nc"[..])
    );
    let read_pairs: Vec<_> = pairs(&first.params).map(|p| p.unwrap()).collect();
    assert_eq!(
        read_pairs,
        [
            (&b"SCRIPT_NAME"[..], &b"/call/read"[..]),
            (b"HTTP_X_LONG", long.as_bytes())
        ]
    );
    assert_eq!(&bytes(values)[8..], b"\x0f\x01FCGI_MPXS_CONNS1");
    assert_eq!(
        bytes(unknown_type)[1..9],
        [UNKNOWN_TYPE, 0, 0, 0, 8, 0, 0, 77]
    );
    same_at_every_split(&sequence, read);
}

#[test]
fn an_answer_is_decoded_byte_for_byte() {
    for len in [0, 1, 7, 8, 4096] {
        let body: Vec<u8> = (0..len).map(|i| i as u8).collect();
        let mut written = bytes(&Reply::answer(
            7,
            200,
            "X-Backend-Says: 0.5\r\n",
            body.clone(),
        ));
        assert_eq!(
            written.len(),
            Reply::answer(7, 200, "X-Backend-Says: 0.5\r\n", body.clone()).size()
        );
        let answers = wire::answers(&mut written, &mut Default::default());
        assert_eq!(answers.len(), 1);
        assert_eq!(
            (answers[0].id, &answers[0].status[..], &answers[0].body),
            (7, "200", &body)
        );
        assert_eq!(answers[0].fields["X-Backend-Says"], "0.5");
        assert_eq!((written.len(), answers[0].protocol_status), (0, 0));
    }
}

#[test]
fn oversize_requests_are_cut_off_and_marked() {
    let sequence = wire::request(1, &[("A", "b")], &[1; BODY_MAX + 1]);
    let (events, _) = read_whole(&sequence);
    assert!(matches!(&events[..], [Event::Request(r)] if r.oversize && r.body.len() == BODY_MAX));
    let sequence = [begin(1, 1, true), record(wire::PARAMS, 1, &[1; 60_000], 0)].concat();
    let mut parser = parser(1 << 20);
    parser.feed(&sequence, &mut |_| ()).unwrap();
    assert!(
        parser.unfinished[0].request.oversize
            && parser.unfinished[0].request.params.len() == PARAMS_MAX
    );
}

/// Requests for which there is no memory are marked as such, and hold none. They are not the peer's
/// fault and do not end the connection.
#[test]
fn unfinished_requests_of_a_connection_share_a_size_limit() {
    const SHARED: usize = 140_000;
    let memory = SharedRequestMemory::new(SHARED);
    let mut parser = Parser::new(1, ConnectionMemory::new(&memory));
    let mut events = Vec::new();
    for id in 1..=MAX_OPEN as u16 {
        let part = [
            begin(id, 1, true),
            record(wire::PARAMS, id, &[1; PARAMS_MAX], 0),
        ]
        .concat();
        parser.feed(&part, &mut |event| events.push(event)).unwrap();
        let kept: usize = parser
            .unfinished
            .iter()
            .map(|o| o.request.params.capacity() + o.request.body.capacity())
            .sum();
        assert_eq!(
            kept,
            parser.unfinished.iter().map(|o| o.memory).sum::<usize>()
        );
        assert_eq!(memory.used(), kept.saturating_sub(RESERVED_BYTES));
        assert!(kept <= SHARED / 2 + RESERVED_BYTES);
    }
    let fitting = (SHARED / 2 + RESERVED_BYTES) / PARAMS_MAX;
    for id in 1..=MAX_OPEN as u16 {
        let part = [
            record(wire::PARAMS, id, &[], 0),
            record(wire::STDIN, id, &[], 0),
        ]
        .concat();
        parser.feed(&part, &mut |event| events.push(event)).unwrap();
    }
    let is_whole = |event: &Event| match event {
        Event::Request(r) => {
            assert_eq!(r.params.len(), if r.no_memory { 0 } else { PARAMS_MAX });
            assert!(!r.oversize);
            !r.no_memory
        }
        _ => panic!("{event:?}"),
    };
    assert_eq!(events.len(), MAX_OPEN);
    assert_eq!(
        events.iter().filter(|event| is_whole(event)).count(),
        fitting
    );
    assert_eq!(memory.used(), 0);
}

/// The body of a request for which there was no memory is read to its end, also in many records, and
/// the connection goes on.
#[test]
fn the_rest_of_a_request_without_memory_is_not_counted_as_skipped() {
    let mut parser = parser(0);
    let mut events = Vec::new();
    let head = |id| {
        [
            begin(id, 1, true),
            record(wire::PARAMS, id, &[1; PARAMS_MAX], 0),
            record(wire::PARAMS, id, &[], 0),
        ]
        .concat()
    };
    let mut bytes = [head(1), head(2)].concat();
    for id in [1, 2] {
        for _ in 0..BODY_MAX {
            bytes.extend(record(wire::STDIN, id, &[7], 255));
        }
    }
    bytes.extend(
        [
            record(wire::STDIN, 1, &[], 0),
            record(wire::STDIN, 2, &[], 0),
        ]
        .concat(),
    );
    parser
        .feed(&bytes, &mut |event| events.push(event))
        .unwrap();
    let marks = |event: &Event| match event {
        Event::Request(r) => (r.id, r.no_memory, r.oversize, r.body.len()),
        _ => panic!("{event:?}"),
    };
    assert_eq!(
        events.iter().map(marks).collect::<Vec<_>>(),
        [(1, false, false, BODY_MAX), (2, true, false, 0)]
    );
}

/// Guards against a bound on the bytes between two requests that slow clients of one load balancer
/// reach together: then its connection is closed with requests on it.
#[test]
fn requests_that_clients_give_up_while_writing_do_not_end_the_connection() {
    let mut parser = parser(1 << 20);
    for round in 0..2000 {
        let part = [
            begin(1, 1, true),
            record(wire::PARAMS, 1, &[1; 300], 255),
            record(wire::PARAMS, 1, &[], 255),
            record(wire::STDIN, 1, &[2; 100], 255),
            record(wire::ABORT, 1, &[], 255),
        ]
        .concat();
        assert_eq!(parser.feed(&part, &mut |_| ()), Ok(()), "{round}");
    }
}

/// A request that is written piece by piece, between the pieces of others.
#[derive(Clone, Debug)]
struct WrittenRequest {
    params: usize,
    body: usize,
    /// Largest content of a record.
    piece: usize,
    padding: u8,
}

impl WrittenRequest {
    fn strategy() -> impl Strategy<Value = WrittenRequest> {
        let body = prop_oneof![0..=BODY_MAX, Just(BODY_MAX)];
        let piece = prop_oneof![1..8usize, 8..3000usize];
        let padding = prop_oneof![Just(0u8), any::<u8>()];
        (0..=PARAMS_MAX, body, piece, padding).prop_map(|(params, body, piece, padding)| {
            WrittenRequest {
                params,
                body,
                piece,
                padding,
            }
        })
    }

    /// The records of the request, in order.
    fn records(&self, id: u16) -> Vec<Vec<u8>> {
        let content = |len: usize, salt: u8| (0..len).map(|i| i as u8 ^ salt).collect::<Vec<_>>();
        let pieces = |kind, len, salt| {
            let mut records: Vec<_> = content(len, salt)
                .chunks(self.piece)
                .map(|piece| record(kind, id, piece, self.padding))
                .collect();
            records.push(record(kind, id, &[], self.padding));
            records
        };
        let mut records = vec![begin(id, 1, true)];
        records.extend(pieces(wire::PARAMS, self.params, id as u8));
        records.extend(pieces(wire::STDIN, self.body, !(id as u8)));
        records
    }

    /// Whether a request was read with the parameters and the body that were written.
    fn is_read_whole(&self, request: &Request) -> bool {
        let matches = |bytes: &[u8], len: usize, salt: u8| {
            bytes.len() == len && bytes.iter().enumerate().all(|(i, &b)| b == i as u8 ^ salt)
        };
        let id = request.id as u8;
        !request.oversize
            && !request.no_memory
            && matches(&request.params, self.params, id)
            && matches(&request.body, self.body, !id)
    }
}

/// Writes the records of requests in an order that is drawn, and checks that all are read whole.
fn check_interleaved(requests: &[WrittenRequest], order: &[u8], split: usize) {
    let mut records: Vec<_> = requests
        .iter()
        .zip(1..)
        .map(|(request, id)| request.records(id).into_iter())
        .collect();
    let mut bytes = Vec::new();
    let mut turns = order.iter().cycle();
    let mut last = 0;
    while records.iter().any(|left| left.len() > 0) {
        last = (last + usize::from(*turns.next().unwrap())) % records.len();
        let writer = (last..last + records.len()).find(|w| records[w % records.len()].len() > 0);
        bytes.extend(records[writer.unwrap() % requests.len()].next().unwrap());
    }
    let memory = smallest_shared_memory();
    let mut parser = Parser::new(352, ConnectionMemory::new(&memory));
    let mut events = Vec::new();
    for part in bytes.chunks(split) {
        assert_eq!(parser.feed(part, &mut |event| events.push(event)), Ok(()));
    }
    assert_eq!(events.len(), requests.len());
    for event in &events {
        let Event::Request(read) = event else {
            panic!("{event:?}")
        };
        let written = &requests[usize::from(read.id) - 1];
        assert!(written.is_read_whole(read), "{}: {written:?}", read.id);
    }
    assert_eq!(memory.used(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        max_shrink_iters: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(48),
        ..ProptestConfig::default()
    })]

    /// Guards against bounds that hold for one request at a time but not for as many as a connection
    /// may have open: well-formed requests were cut off, and the connection was closed.
    #[test]
    fn up_to_32_interleaved_requests_are_read_whole_at_the_smallest_limits(
        requests in prop::collection::vec(WrittenRequest::strategy(), 1..=MAX_OPEN),
        order in prop::collection::vec(any::<u8>(), 1..50),
        split in 1..5000usize,
    ) {
        check_interleaved(&requests, &order, split);
    }
}

/// Each byte in a record of its own, with the longest padding: the most bytes that 32 requests of
/// the largest size can take.
#[test]
fn requests_of_one_byte_a_record_are_read_whole() {
    let largest = WrittenRequest {
        params: PARAMS_MAX,
        body: BODY_MAX,
        piece: 1,
        padding: 255,
    };
    check_interleaved(&vec![largest; MAX_OPEN], &[1], READ_SIZE);
}

/// Bytes that are read at once, as from a socket.
const READ_SIZE: usize = 4096;

/// Load balancers with several connections each, on which all clients write slowly.
#[test]
fn many_connections_with_32_unfinished_requests_fit_in_the_smallest_limits() {
    let memory = smallest_shared_memory();
    let mut parsers: Vec<_> = (0..40)
        .map(|_| Parser::new(352, ConnectionMemory::new(&memory)))
        .collect();
    let written = WrittenRequest {
        params: 350,
        body: BODY_MAX,
        piece: 500,
        padding: 0,
    };
    let records: Vec<_> = (1..=MAX_OPEN as u16)
        .map(|id| written.records(id))
        .collect();
    let mut read = 0;
    for turn in 0..records[0].len() {
        for parser in &mut parsers {
            for records in &records {
                let count = |event| {
                    let Event::Request(request) = event else {
                        panic!("{event:?}")
                    };
                    assert!(written.is_read_whole(&request));
                    read += 1;
                };
                parser.feed(&records[turn], &mut { count }).unwrap();
            }
        }
    }
    assert_eq!(read, parsers.len() * MAX_OPEN);
}

/// Guards against a peer that sends bodies of 60 MB or endless records: without a bound they are
/// read to their end, which slows down all other connections.
#[test]
fn too_many_bytes_without_a_request_end_the_connection() {
    let record = |kind, id, len| record(kind, id, &vec![7; len], 9);
    let half = [
        begin(1, 1, true),
        record(wire::PARAMS, 1, 100),
        record(wire::PARAMS, 1, 0),
    ]
    .concat();
    let parts = [
        [half, record(wire::STDIN, 1, 60_000)].concat(), // a long body
        record(wire::PARAMS, 7, 0), // empty records of a request that is not open
        record(77, 0, 100),         // records of an unknown type
        wire::record(wire::STDIN, 1, &[], 255), // padding
    ];
    for part in parts {
        let mut parser = parser(1 << 20);
        let mut fed = 0;
        while parser.feed(&part, &mut |_| ()).is_ok() {
            fed += part.len();
            assert!(fed < 4 * SKIPPED_MAX, "{part:?}");
        }
    }
    let mut parser = parser(1 << 20); // complete requests are not limited
    let whole = wire::request(1, &[("A", "b")], &[1; 1000]);
    (0..1000).for_each(|_| parser.feed(&whole, &mut |_| ()).unwrap());
}

#[test]
fn unsupported_records_are_answered_as_the_protocol_requires() {
    let too_many: Vec<u8> = (1..=MAX_OPEN as u16 + 1)
        .flat_map(|id| begin(id, 1, true))
        .collect();
    for (sequence, id, status) in [
        (begin(3, 2, true), 3, ProtocolStatus::UnknownRole),
        (too_many, 33, ProtocolStatus::Overloaded),
    ] {
        let (events, result) = read_whole(&sequence);
        assert_eq!(
            (events, result),
            (vec![Event::Reply(Reply::end(id, status))], Ok(()))
        );
    }
    // A request that is aborted before it is complete, and a record of an id that is not open.
    let sequence = [
        begin(1, 1, true),
        record(wire::ABORT, 1, &[], 0),
        record(wire::STDIN, 9, b"x", 0),
    ]
    .concat();
    let (events, result) = read_whole(&sequence);
    assert_eq!(
        (events, result),
        (
            vec![Event::Reply(Reply::end(1, ProtocolStatus::Complete))],
            Ok(())
        )
    );
}

#[test]
fn malformed_records_are_rejected() {
    let twice = [begin(1, 1, true), begin(1, 1, true)].concat();
    for sequence in [
        vec![2, 1, 0, 1, 0, 8, 0, 0],
        twice,
        record(wire::BEGIN, 1, &[0, 1], 0),
    ] {
        assert!(read_whole(&sequence).1.is_err());
    }
}

#[test]
fn damaged_input_yields_events_or_an_error() {
    let whole = wire::request(
        1,
        &wire::call_params("/call/read", "00000000000000aa", "5"),
        b"body",
    );
    let mut errors = 0;
    for sequence in damaged(&[whole.clone(), whole].concat()) {
        let (events, result) = read_whole(&sequence);
        errors += usize::from(result.is_err());
        let bounded = |e: &Event| !matches!(e, Event::Request(r) if r.params.len() > PARAMS_MAX);
        assert!(events.len() <= 8 && events.iter().all(bounded));
    }
    assert!(errors > 0, "no damaged input gave an error");
}
