//! Repeats of keyed operations, which have the idempotency key that the platform sends: what ran
//! within the window never runs again, whatever races with it.

use super::support::*;

const C: &str = "00000000000000cc";
const KEY: &str = "35703cb5dbe0981838ed43bf61d23a03";

impl TestNode {
    /// A try of the keyed operation, which reached the machine so long ago.
    fn try_of(&mut self, id: u16, correlation_id: &str, key: &str, age_ms: u64) {
        self.try_as(
            id,
            correlation_id,
            &[("HTTP_X_OPERATION_KEY", key)],
            age_ms,
            b"body",
        );
    }

    fn try_as(
        &mut self,
        id: u16,
        correlation_id: &str,
        more: &[(&str, &str)],
        age_ms: u64,
        body: &[u8],
    ) {
        let arrived = (self.now / MS - age_ms).to_string();
        let named = |(name, _): &(&str, &str)| more.iter().all(|(n, _)| n != name);
        let call = wire::call_params("/call/book", correlation_id, &arrived);
        let params: Vec<_> = call
            .into_iter()
            .filter(named)
            .chain(more.iter().copied())
            .collect();
        self.send(id, &params, body);
    }

    /// Runs the first try to its end.
    fn ran(&mut self) {
        self.try_of(1, A, KEY, 0);
        assert_eq!(self.executor_commands(), [start_command(A, "book")]);
        self.end_execution(A, End::Ok, b"done");
        assert_eq!(self.statuses(), [(1, "200".into())]);
    }

    fn bodies(&mut self) -> Vec<(String, Vec<u8>)> {
        self.answers()
            .into_iter()
            .map(|a| (a.status, a.body))
            .collect()
    }
}

fn done() -> (String, Vec<u8>) {
    ("200".into(), b"done".to_vec())
}

#[test]
fn a_repeat_with_the_same_idempotency_key_never_runs() {
    let mut node = TestNode::new();
    node.try_of(1, A, KEY, 0);
    node.try_of(2, B, KEY, 0);
    assert_eq!(
        node.executor_commands(),
        [start_command(A, "book")],
        "the repeat waits for what it repeats"
    );
    node.end_execution(A, End::Ok, b"done");
    assert_eq!(node.bodies(), [done(), done()]);
    node.wait(4900);
    node.try_of(3, C, KEY, 0);
    assert_eq!(
        (node.bodies(), node.executor_commands().len()),
        (vec![done()], 0),
        "from what is kept"
    );
}

#[test]
fn keys_of_tenants_and_operations_are_separate_and_other_bodies_conflict() {
    let settings = wire::SETTINGS
        .replace("}]}", r#"}, {"Name": "other", "QuotaRps": 50.0}]}"#)
        .to_owned();
    let mut node = TestNode::with_settings(&settings);
    node.ran();
    // The same key of another tenant is another request: nobody gets another customer's result.
    node.try_as(
        2,
        B,
        &[("HTTP_X_OPERATION_KEY", KEY), ("HTTP_X_ORG", "other")],
        0,
        b"body",
    );
    assert_eq!(node.executor_commands(), [start_command(B, "book")]);
    // With another body it is a mistake of the clients, which is answered as one.
    node.try_as(3, C, &[("HTTP_X_OPERATION_KEY", KEY)], 0, b"else");
    assert_eq!(
        (&node.statuses()[..], node.executor_commands().len()),
        (&[(3, "409".into())][..], 0)
    );
    node.end_execution(B, End::Ok, b"theirs");
    // An operation that may run again has no use for it.
    node.send(
        4,
        &[
            wire::call_params("/call/read", C, "1000"),
            vec![("HTTP_X_OPERATION_KEY", KEY)],
        ]
        .concat(),
        b"body",
    );
    assert_eq!(node.executor_commands(), [start_command(C, "read")]);
}

#[test]
fn an_invalid_key_is_rejected_and_not_run_unprotected() {
    let mut node = TestNode::new();
    let long = "k".repeat(256);
    for key in ["", &long, "a\u{7f}b", "sch\u{f6}n"] {
        node.try_of(1, A, key, 0);
        assert_eq!(node.statuses(), [(1, "400".into())], "{key:?}");
    }
    assert_eq!(node.executor_commands().len(), 0);
}

#[test]
fn the_window_counts_by_arrival_at_the_machine_however_late_a_repeat_is_read() {
    // Read 900 ms after the window of 5 s, but it reached the machine within it.
    let mut node = TestNode::new();
    node.ran();
    node.wait(5900);
    node.try_of(2, B, KEY, 950);
    assert_eq!(
        (node.bodies(), node.executor_commands().len()),
        (vec![done()], 0)
    );
    // The very end, by what the protocol allows clocks to differ.
    let mut node = TestNode::new();
    node.ran();
    node.wait(5049);
    node.try_of(2, B, KEY, 0);
    assert_eq!(
        (node.bodies(), node.executor_commands().len()),
        (vec![done()], 0)
    );
    // What arrives later is a new request, and is known by the same key from then on.
    let mut node = TestNode::new();
    node.ran();
    node.wait(5100);
    node.try_of(2, B, KEY, 0);
    assert_eq!(node.executor_commands(), [start_command(B, "book")]);
    node.end_execution(B, End::Ok, b"two");
    node.answers();
    node.wait(4000);
    node.try_of(3, C, KEY, 0);
    assert_eq!(node.bodies(), [("200".into(), b"two".to_vec())]);
}

#[test]
fn a_repeat_gets_the_result_after_the_first_connection_is_gone() {
    for aborted in [true, false] {
        let mut node = TestNode::new();
        node.try_of(1, A, KEY, 0);
        node.executor_commands();
        match aborted {
            true => node.event(Event::LoadBalancer(
                node.connection_id,
                fastcgi::Event::Abort(1),
            )),
            false => node.event(Event::Disconnected(node.connection_id)),
        }
        assert_eq!(
            node.executor_commands().len(),
            0,
            "what must not run twice is not stopped: its repeat could only err"
        );
        node.answers();
        node.connection_id = ConnectionId(7);
        node.event(Event::Connected(node.connection_id, None));
        node.try_of(2, B, KEY, 0);
        node.end_execution(A, End::Ok, b"done");
        assert_eq!(
            (node.bodies(), node.executor_commands().len()),
            (vec![done()], 0),
            "aborted {aborted}"
        );
    }
}

#[test]
fn a_request_cancelled_before_it_ran_may_come_again() {
    let mut node = TestNode::new();
    // One core: what comes is queued.
    for n in 0..2u16 {
        node.call(n + 10, "/call/read", &format!("{n:016x}"));
    }
    node.executor_commands();
    node.try_of(1, A, KEY, 0);
    assert_eq!(node.executor_commands().len(), 0, "it is held");
    node.event(Event::LoadBalancer(
        node.connection_id,
        fastcgi::Event::Abort(1),
    ));
    node.try_of(2, B, KEY, 0);
    node.answers();
    for n in 0..2u16 {
        node.end_execution(&format!("{n:016x}"), End::Ok, b"");
    }
    assert!(
        node.executor_commands().contains(&start_command(B, "book")),
        "nothing had run under its key"
    );
}

#[test]
fn a_request_that_the_executor_did_not_start_leaves_no_key_behind() {
    // An unidentified peer has seen a key; the executor knows no such request, so that nothing ran.
    let mut node = TestNode::new();
    node.try_of(1, A, KEY, 0);
    node.executor_commands();
    node.event(Event::Executor(Notice::CommandRefused {
        command: "SCHED".into(),
        rid: A.into(),
    }));
    assert_eq!(node.statuses(), [(1, "500".into())]);
    node.try_of(2, B, KEY, 0);
    assert_eq!(node.executor_commands(), [start_command(B, "book")]);
    // MOOT to the one command that was ever given: nothing was started.
    let mut node = TestNode::new();
    node.try_of(1, A, KEY, 0);
    node.event(Event::LoadBalancer(
        node.connection_id,
        fastcgi::Event::Abort(1),
    ));
    node.end_execution(A, End::NeverStarted, b"");
    node.executor_commands();
    node.answers();
    node.try_of(2, B, KEY, 0);
    assert_eq!(node.executor_commands(), [start_command(B, "book")]);
}

#[test]
fn moot_after_a_second_start_proves_nothing() {
    // The end of an execution was lost with its link; the executor only knows that none goes
    // on.
    let mut node = TestNode::new();
    node.try_of(1, A, KEY, 0);
    node.executor_commands();
    node.break_link();
    node.reconnect(0);
    node.answer_gauges();
    node.wait(1100);
    assert_eq!(node.statuses(), [(1, "500".into())], "in doubt");
    node.end_execution(A, End::NeverStarted, b"");
    node.executor_commands();
    node.try_of(2, B, KEY, 0);
    assert_eq!(
        (node.statuses(), node.executor_commands().len()),
        (vec![(2, "500".into())], 0)
    );
}

#[test]
fn the_clients_timeout_counts_where_it_is_sent() {
    let told = wire::SETTINGS.replace(r#""Cores": 1"#, r#""Cores": 1, "PassesDeadline": true"#);
    let patience = |settings: &str, more: &[(&str, &str)]| {
        let mut node = TestNode::with_settings(settings);
        let call = [wire::call_params("/call/read", A, "900"), more.to_vec()].concat();
        node.send(1, &call, b"body");
        let from = node.now;
        loop {
            if let Some(answer) = node.answers().pop() {
                return (answer.status, (node.now - from) / MS);
            }
            node.wait(1);
        }
    };
    // It reached the machine 100 ms ago, and its client waits for 700 ms from then.
    let (status, after) = patience(&told, &[("HTTP_X_DEADLINE_MS", "700")]);
    assert!(
        status == "500" && (500..600).contains(&after),
        "{status} after {after} ms"
    );
    // Never longer than its operation's client timeout, and that where nothing is sent.
    for more in [&[("HTTP_X_DEADLINE_MS", "9000")][..], &[]] {
        let (status, after) = patience(&told, more);
        assert!(
            status == "500" && (2800..2900).contains(&after),
            "{status} after {after} ms"
        );
    }
    for wrong in ["", "-1", "nan", "x"] {
        assert_eq!(
            patience(&told, &[("HTTP_X_DEADLINE_MS", wrong)]),
            ("400".into(), 0),
            "{wrong:?}"
        );
    }
    // Where the settings say that it is not passed on, it means nothing.
    let (_, after) = patience(wire::SETTINGS, &[("HTTP_X_DEADLINE_MS", "700")]);
    assert!((2800..2900).contains(&after), "after {after} ms");
}

// ---- The executor's link ----

#[test]
fn a_repeat_of_an_uncertain_request_does_not_run() {
    let mut node = TestNode::new();
    node.try_of(1, A, KEY, 0);
    assert_eq!(node.executor_commands(), [start_command(A, "book")]);
    node.break_link();
    node.try_of(2, B, KEY, 0);
    node.reconnect(0);
    node.answer_gauges();
    assert_eq!(
        node.executor_commands().len(),
        0,
        "the first may run at this clock"
    );
    node.wait(1000);
    assert_eq!(node.statuses(), [(1, "500".into())]);
    assert_eq!(
        node.executor_commands(),
        [start_command(A, "book")],
        "its request is over: this only asks whether there is a run"
    );
    // There was one, and its end comes: the repeat that waited gets the result, and so does one
    // that comes later.
    node.end_execution(A, End::Ok, b"done");
    node.try_of(3, C, KEY, 0);
    assert_eq!(
        (node.bodies(), node.executor_commands().len()),
        (vec![done(), done()], 0)
    );
}

#[test]
fn a_repeat_while_there_is_no_link_waits_with_the_first_one() {
    let mut node = TestNode::new();
    node.break_link();
    node.try_of(1, A, KEY, 0);
    node.try_of(2, B, KEY, 0);
    node.reconnect(0);
    node.answer_gauges();
    assert_eq!(node.executor_commands(), [start_command(A, "book")]);
    // The link breaks again as the result is on its way; the executor tells it once more.
    node.break_link();
    node.reconnect(0);
    node.end_execution(A, End::Ok, b"done");
    node.answer_gauges();
    assert_eq!(
        (node.bodies(), node.executor_commands().len()),
        (vec![done(), done()], 0)
    );
}

#[test]
fn a_repeat_that_is_read_as_the_execution_ends_gets_the_result() {
    // Before the end, after it, and when the first connection went between.
    for order in 0..3 {
        let mut node = TestNode::new();
        node.try_of(1, A, KEY, 0);
        node.executor_commands();
        if order == 2 {
            node.event(Event::Disconnected(node.connection_id));
            node.connection_id = ConnectionId(9);
            node.event(Event::Connected(node.connection_id, None));
        }
        if order != 1 {
            node.try_of(2, B, KEY, 0);
        }
        node.end_execution(A, End::Ok, b"done");
        if order == 1 {
            node.try_of(2, B, KEY, 0);
        }
        let answers = node.bodies();
        assert!(
            answers.len() == if order == 2 { 1 } else { 2 } && answers.iter().all(|a| *a == done()),
            "{order}"
        );
        assert_eq!(node.executor_commands().len(), 0);
    }
}

#[test]
fn a_cancellation_that_was_lost_with_its_link_is_sent_again() {
    let mut node = TestNode::new();
    node.call(1, "/call/read", A);
    node.executor_commands();
    node.event(Event::LoadBalancer(
        node.connection_id,
        fastcgi::Event::Abort(1),
    ));
    let stop = format!(r#"{{"t":"PREEMPT","rid":"{A}"}}"#);
    assert_eq!(node.executor_commands(), std::slice::from_ref(&stop));
    node.break_link();
    node.reconnect(0);
    node.answer_gauges();
    assert!(node.executor_commands().contains(&stop));
    // An execution that ended over the old link is not cancelled over the new one.
    node.end_execution(A, End::Stopped, b"");
    node.break_link();
    node.reconnect(1);
    node.answer_gauges();
    assert_eq!(node.executor_commands().len(), 0);
}

// ---- In a drain ----

#[test]
fn waiting_repeats_are_answered_in_a_drain_however_the_first_ends() {
    for end in [Some(End::Ok), Some(End::Error), None] {
        let mut node = TestNode::new();
        node.try_of(1, A, KEY, 0);
        node.try_of(2, B, KEY, 0);
        node.event(Event::Drain);
        node.event(Event::Drain);
        node.wait(600); // past the grace
        node.try_of(3, C, KEY, 0);
        assert_eq!(node.executor_commands(), [start_command(A, "book")]);
        if let Some(end) = end {
            node.end_execution(A, end, b"done");
        }
        node.wait(2400);
        let mut statuses = node.statuses();
        statuses.sort();
        let one = if end == Some(End::Ok) { "200" } else { "500" };
        assert_eq!(statuses.len(), 3, "{end:?}: {statuses:?}");
        assert!(
            statuses[..2].iter().all(|(_, status)| status == one),
            "{end:?}: {statuses:?}"
        );
        assert_ne!(statuses[2].1, "429", "what may have run is not throttled");
    }
}
