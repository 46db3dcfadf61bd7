use super::*;
use madderpoint_test_harness::wire::{self, begin, damaged, record, same_at_every_split};

fn read(parts: &[&[u8]]) -> (Vec<Event>, Result<(), ParseError>) {
    let (mut parser, mut events) = (Parser::new(976, 65536), Vec::new());
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
    let mut parser = Parser::new(1, 65536);
    parser.feed(&sequence, &mut |_| ()).unwrap();
    assert!(
        parser.unfinished[0].request.oversize
            && parser.unfinished[0].request.params.len() == PARAMS_MAX
    );
}

#[test]
fn unfinished_requests_of_a_connection_share_a_size_limit() {
    let mut parser = Parser::new(1, 70_000);
    for id in 1..=MAX_OPEN as u16 {
        let part = [
            begin(id, 1, true),
            record(wire::PARAMS, id, &[1; PARAMS_MAX], 0),
        ]
        .concat();
        parser.feed(&part, &mut |_| ()).unwrap();
    }
    let kept: usize = parser
        .unfinished
        .iter()
        .map(|o| o.request.params.len())
        .sum();
    assert_eq!(kept, 70_000);
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
        let mut parser = Parser::new(1, 65536);
        let mut fed = 0;
        while parser.feed(&part, &mut |_| ()).is_ok() {
            fed += part.len();
            assert!(fed < 4 * SKIPPED_MAX, "{part:?}");
        }
    }
    let mut parser = Parser::new(1, 65536); // complete requests are not limited
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
