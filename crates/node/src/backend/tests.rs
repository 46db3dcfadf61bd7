use super::*;
use madderpoint_test_harness::wire::{damaged, same_at_every_split};

fn read(parts: &[&[u8]]) -> (Vec<Reply>, Result<(), ReadError>) {
    let (mut parser, mut replies) = (Parser::default(), Vec::new());
    let result = parts
        .iter()
        .try_for_each(|part| parser.feed(part, &mut |reply| replies.push(reply)));
    (replies, result)
}

const REPLIES: &[u8] =
    b"9b1f03aa5c7e2d41 ok 7\r\na\r\nok b\r\n00 overload\r\n01 internal\r\n02 deadline\r\n\
    03 stale\r\n04 ok 0\r\n\r\n";

#[test]
fn replies_are_the_same_at_every_split() {
    let reply = |id: &str, outcome, body: &[u8]| Reply {
        id: id.into(),
        outcome,
        body: body.to_vec(),
    };
    let expected = vec![
        reply("9b1f03aa5c7e2d41", Outcome::Ok, b"a\r\nok b"),
        reply("00", Outcome::Overload, b""),
        reply("01", Outcome::Internal, b""),
        reply("02", Outcome::Deadline, b""),
        reply("03", Outcome::Stale, b""),
        reply("04", Outcome::Ok, b""),
    ];
    assert_eq!(read(&[REPLIES]), (expected, Ok(())));
    same_at_every_split(REPLIES, read);
}

#[test]
fn malformed_replies_are_rejected() {
    let long = [b'x'; LINE_MAX + 1];
    for bytes in [
        &b"00 ok 2\r\nabc\r\n"[..],
        b"00 ok\r\n",
        b"00 ok -1\r\n",
        b"00 ok 99999999\r\n",
        b"00 maybe\r\n",
        b"00 stale 3\r\n",
        b"00 stale\n",
        b"\r\n",
        &long,
    ] {
        assert!(
            read(&[bytes]).1.is_err(),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
}

#[test]
fn damaged_input_yields_replies_or_an_error() {
    let errors = damaged(REPLIES)
        .filter(|bytes| read(&[&bytes[..]]).1.is_err())
        .count();
    assert!(errors > 100, "{errors}");
}

#[test]
fn invoke_lines_state_the_body_length() {
    assert_eq!(
        invoke("00aa", 250, b"a\r\nb"),
        b"invoke 00aa 250 4\r\na\r\nb\r\n"
    );
    assert_eq!(cancel("00aa"), b"cancel 00aa\r\n");
}
