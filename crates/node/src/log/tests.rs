use super::*;
use serde_json::json;
use std::sync::{Arc, Mutex};
use tracing_subscriber::fmt::MakeWriter;

#[test]
fn lines_beyond_the_rate_limit_are_counted_and_reported_in_the_next_second() {
    let rate = RateLimit::default();
    assert!((0..LINES_PER_SECOND).all(|_| rate.permit(1) == Some(0)));
    assert!((0..5).all(|_| rate.permit(1).is_none()));
    assert_eq!(rate.permit(2), Some(5));
    assert_eq!(rate.permit(2), Some(0));
}

/// A writer that collects the written bytes.
#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl io::Write for Written {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for Written {
    type Writer = Written;

    fn make_writer(&self) -> Written {
        self.clone()
    }
}

fn lines(form: Form, rate: RateLimit, events: impl FnOnce()) -> Vec<String> {
    lines_at(LevelFilter::INFO, form, rate, events)
}

fn lines_at(level: LevelFilter, form: Form, rate: RateLimit, events: impl FnOnce()) -> Vec<String> {
    let written = Written::default();
    let format = LineFormat {
        node: "n3".into(),
        form,
        rate,
    };
    let subscriber = tracing_subscriber::fmt()
        .event_format(format)
        .with_max_level(level)
        .with_writer(written.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, events);
    let bytes = written.0.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap();
    text.lines().map(str::to_owned).collect()
}

fn two_events() {
    tracing::warn!(target: part::EXECUTOR, error = %"no route", requests = 3, "connect failed");
    tracing::info!(target: part::CLUSTER, event = "dead", "n1 {}", "dead");
    tracing::trace!(target: part::REQUEST, "not asked for");
}

#[test]
fn a_plain_line_has_the_part_the_message_and_the_fields() {
    assert_eq!(
        lines(Form::Plain, RateLimit::default(), two_events),
        [
            "madderpoint: executor: connect failed error=no route requests=3",
            "madderpoint: cluster: n1 dead"
        ]
    );
}

#[test]
fn a_json_line_has_the_plain_text_the_event_and_each_field() {
    let all = lines(Form::Json, RateLimit::default(), two_events);
    let mut read: Vec<Value> = all
        .iter()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    for line in &mut read {
        let time = line.as_object_mut().unwrap().remove("timestamp").unwrap();
        assert!(time.as_str().unwrap().parse::<u128>().is_ok(), "{time}");
    }
    assert_eq!(
        read,
        [
            json!({"level": "WARN", "message": "connect failed error=no route requests=3", "node": "n3",
                "part": "executor", "event": "connect failed", "error": "no route", "requests": 3}),
            json!({"level": "INFO", "message": "n1 dead", "node": "n3", "part": "cluster", "event": "dead"}),
        ]
    );
}

#[test]
fn lines_left_out_are_reported_before_the_next_one() {
    let rate = || RateLimit {
        left_out: AtomicU64::new(7),
        ..RateLimit::default()
    };
    let plain = lines(Form::Plain, rate(), two_events);
    assert_eq!(plain[0], "madderpoint: log: lines left out count=7");
    assert_eq!(plain.len(), 3);
    let json = lines(Form::Json, rate(), two_events);
    let first: Value = serde_json::from_str(&json[0]).unwrap();
    assert_eq!(
        (&first["part"], &first["event"], &first["count"]),
        (&json!("log"), &json!("lines left out"), &json!(7))
    );
}

#[test]
fn steps_of_requests_are_not_rate_limited() {
    let steps = 3 * LINES_PER_SECOND as usize;
    let events = || {
        for number in 0..steps {
            let rid = "00aa";
            tracing::trace!(target: part::REQUEST, event = "step", rid, "read, {number}");
        }
    };
    let plain = lines_at(
        LevelFilter::TRACE,
        Form::Plain,
        RateLimit::default(),
        events,
    );
    assert_eq!(plain.len(), steps);
    assert_eq!(plain[0], "madderpoint: request: read, 0 rid=\"00aa\"");
    let events = || {
        for _ in 0..2 * steps {
            tracing::info!(target: part::NODE, "too much");
        }
    };
    let limited = lines_at(
        LevelFilter::TRACE,
        Form::Plain,
        RateLimit::default(),
        events,
    );
    // The events may be spread over two seconds of the clock, each with its own limit.
    assert!(
        limited.len() <= 2 * LINES_PER_SECOND as usize + 1,
        "{}",
        limited.len()
    );
}
