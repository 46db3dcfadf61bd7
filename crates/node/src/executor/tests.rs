use super::*;
use madderpoint_test_harness::wire::{damaged, same_at_every_split};

fn read(parts: &[&[u8]]) -> (Vec<Notice>, Result<(), ReadError>) {
    let (mut reader, mut notices) = (Reader::default(), Vec::new());
    assert_eq!(reader.open(), 0);
    let result = parts
        .iter()
        .try_for_each(|part| reader.feed(part, &mut |notice| notices.push(notice)));
    (notices, result)
}

fn feed(reader: &mut Reader, text: &str) -> (Vec<Notice>, Result<(), ReadError>) {
    let mut notices = Vec::new();
    let result = reader.feed(text.as_bytes(), &mut |notice| notices.push(notice));
    (notices, result)
}

const NOTICES: &str = concat!(
    "{\"t\":\"BOOTED\",\"status\":\"COLD\",\"time_ms\":12.5}\n",
    "{\"t\":\"IOREQ\",\"no\":1,\"rid\":\"9b1f03aa5c7e2d41\",\"b64\":\"AAH/\"}\n",
    "{\"t\":\"DMESG\",\"no\":2,\"status\":\"a \\u0022remark\\u0022\"}\n",
    "{\"t\":\"INFO\",\"mark\":\"7\",\"v\":[0.5,2,0.25,9]}\n",
    "{\"t\":\"REAP\",\"no\":3,\"rid\":\"9b1f03aa5c7e2d41\",\"status\":\"OK\",\"time_ms\":31,\"b64\":\"b2s=\"}\n",
    "{\"t\":\"EINVAL\",\"status\":\"SCHED\",\"rid\":\"00\"}\n",
    "{\"t\":\"POSTED\",\"mark\":\"8\",\"status\":\"ERROR\"}\n",
);

#[test]
fn notices_are_the_same_at_every_split() {
    let rid = || "9b1f03aa5c7e2d41".to_owned();
    let expected = vec![
        Notice::Booted {
            cold: true,
            up_ms: 12.5,
        },
        Notice::BackendCallNeeded {
            no: 1,
            rid: rid(),
            body: vec![0, 1, 255],
        },
        Notice::Info {
            mark: 7,
            values: vec![0.5, 2.0, 0.25, 9.0],
        },
        Notice::ExecutionEnded {
            rid: rid(),
            end: End::Ok,
            time_ms: 31.0,
            body: b"ok".to_vec(),
        },
        Notice::CommandRefused {
            command: "SCHED".into(),
            rid: "00".into(),
        },
        Notice::HealthCheckDone { mark: 8, ok: false },
    ];
    assert_eq!(read(&[NOTICES.as_bytes()]), (expected, Ok(())));
    same_at_every_split(NOTICES.as_bytes(), read);
}

fn never_started_line(no: u64) -> String {
    format!("{{\"t\":\"REAP\",\"no\":{no},\"rid\":\"aa\",\"status\":\"MOOT\",\"time_ms\":0}}\n")
}

#[test]
fn notices_repeated_on_a_new_connection_are_passed_on_once() {
    let mut reader = Reader::default();
    reader.open();
    // The first connection ends in the middle of a line.
    let (first, _) = feed(
        &mut reader,
        &(never_started_line(1) + &never_started_line(2) + &never_started_line(3)[..20]),
    );
    assert_eq!((first.len(), reader.open()), (2, 2));
    let (second, _) = feed(
        &mut reader,
        &(never_started_line(2) + &never_started_line(3)),
    );
    assert_eq!(second.len(), 2);
    assert_eq!(second[0], Notice::Odd(Anomaly::RepeatedNotice, 1));
    // The second connection ends in the middle of the repeated notices.
    assert_eq!(reader.open(), 3);
    assert_eq!(feed(&mut reader, &never_started_line(4)).0.len(), 1);
}

#[test]
fn a_missing_notice_ends_the_connection_unless_the_executor_no_longer_has_it() {
    let mut reader = Reader::default();
    reader.open();
    feed(&mut reader, &never_started_line(1)).1.unwrap();
    assert!(feed(&mut reader, &never_started_line(3)).1.is_err());
    assert_eq!(reader.open(), 1);
    let (notices, result) = feed(&mut reader, &never_started_line(3));
    assert_eq!(
        (&notices[0], notices.len(), result),
        (&Notice::Odd(Anomaly::LostNotice, 1), 2, Ok(()))
    );
}

#[test]
fn unreadable_lines_are_reported_and_skipped() {
    for line in [
        "{\"t\":\"IOREQ\",\"no\":1,\"b64\":\"\"}\n",
        "{\"t\":\"SONG\"}\n",
        "{broken\n",
        "[1,2]\n",
        "\u{fffd}\n",
    ] {
        let (notices, result) = read(&[line.as_bytes()]);
        assert_eq!(
            (notices, result),
            (vec![Notice::Odd(Anomaly::UnreadableLine, 1)], Ok(())),
            "{line}"
        );
    }
}

#[test]
fn a_line_over_the_maximum_length_ends_the_connection() {
    for line in [
        vec![b'x'; LINE_MAX + 1],
        [vec![b'x'; LINE_MAX + 1], b"\n".to_vec()].concat(),
    ] {
        assert_eq!(read(&[&line[..]]).1, Err(ReadError::LineTooLong));
    }
}

#[test]
fn damaged_input_yields_notices_or_an_error() {
    let count = |notices: &[Notice]| {
        notices
            .iter()
            .filter(|n| matches!(n, Notice::Odd(..)))
            .count()
    };
    let odd: usize = damaged(NOTICES.as_bytes())
        .map(|bytes| count(&read(&[&bytes[..]]).0))
        .sum();
    assert!(odd > 100, "{odd}");
}

#[test]
fn commands_are_encoded_as_lines_of_json() {
    let rid = "9b1f03aa5c7e2d41";
    for (command, line) in [
        (Command::Open(3), r#"{"t":"OPEN","no":3}"#),
        (
            Command::StartExecution {
                rid,
                route: "a\"b",
                body: &[0, 1, 255],
            },
            r#"{"t":"SCHED","rid":"9b1f03aa5c7e2d41","route":"a\"b","b64":"AAH/"}"#,
        ),
        (
            Command::Preempt(rid),
            r#"{"t":"PREEMPT","rid":"9b1f03aa5c7e2d41"}"#,
        ),
        (
            Command::ResumeWithReply { rid, body: b"ok" },
            r#"{"t":"IODONE","rid":"9b1f03aa5c7e2d41","b64":"b2s="}"#,
        ),
        (
            Command::ResumeWithoutReply { rid, no: 4 },
            r#"{"t":"NOIO","rid":"9b1f03aa5c7e2d41","no":4}"#,
        ),
        (Command::SysInfo(5), r#"{"t":"SYSINFO","mark":"5"}"#),
        (Command::HealthCheck(6), r#"{"t":"POST","mark":"6"}"#),
    ] {
        assert_eq!(command.line(), format!("{line}\n"));
    }
}

#[test]
fn an_execution_without_a_readable_result_counts_as_failed() {
    for rest in [
        "\"OK\",\"b64\":\"%%%\"",
        "\"OK\"",
        "\"LATER\",\"b64\":\"b2s=\"",
    ] {
        let line = format!("{{\"t\":\"REAP\",\"no\":1,\"rid\":\"aa\",\"status\":{rest}}}\n");
        let expected = Notice::ExecutionEnded {
            rid: "aa".into(),
            end: End::Error,
            time_ms: 0.0,
            body: vec![],
        };
        assert_eq!(read(&[line.as_bytes()]), (vec![expected], Ok(())), "{line}");
    }
}
