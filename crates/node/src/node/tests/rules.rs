//! Rules and limits at the core: what they give reaches the decisions, and the four rules hold.

use super::*;
use crate::classify::Sheet;
use madderpoint_settings::Known;

const C: &str = "00000000000000cc";
const D: &str = "00000000000000dd";

/// Dispatchers here heed pauses of up to half a second.
pub fn settings() -> String {
    support::SETTINGS.replace(
        r#""RetryAfter": false, "MaxRetryAfter": 0.0"#,
        r#""RetryAfter": true, "MaxRetryAfter": 0.5"#,
    )
}

fn sheet(rules: &str) -> Box<Sheet> {
    read_sheet(rules, "")
}

/// Rules with limits of the whole fleet.
pub fn fleet_sheet(rules: &str) -> Box<Sheet> {
    read_sheet(
        rules,
        "<fleet name=\"f\" keys=\"k\"><arbiter name=\"n0\"/></fleet>",
    )
}

fn read_sheet(rules: &str, fleet: &str) -> Box<Sheet> {
    let start = madderpoint_deployment_config::decode(settings().as_bytes()).unwrap();
    let effects = start.deployment.operations.iter().map(|o| o.effect);
    let operations = Some(start.operations.iter().cloned().zip(effects).collect());
    let known = Known {
        operations,
        tenants: Some(start.tenants.clone()),
        ..Known::anything()
    };
    let text = format!("<translator version=\"1\"><rules>{rules}</rules>{fleet}</translator>");
    let read =
        madderpoint_settings::read("rules.xml", &text, &known).unwrap_or_else(|e| panic!("{e}"));
    let book = read.rules.unwrap();
    Box::new(Sheet {
        rules: book.rules,
        buckets: book.buckets,
        fleet: book.fleet,
    })
}

impl Node {
    fn ruled(rules: &str) -> Node {
        let mut node = Node::with(&settings());
        node.event(Event::Ruled(sheet(rules)));
        node
    }

    fn ask_with(&mut self, id: u16, path: &str, rid: &str, more: &[(&str, &str)], body: &[u8]) {
        let arrived = (self.now / MS).to_string();
        let params = [support::call(path, rid, &arrived), more.to_vec()].concat();
        self.send(id, &params, body);
    }

    fn one_answer(&mut self) -> Answer {
        let mut answers = self.answers();
        assert_eq!(answers.len(), 1, "{answers:?}");
        answers.remove(0)
    }

    fn tally(&self, class: &str) -> crate::classify::ClassTally {
        self.core.desk.borrow().rules.as_ref().unwrap().class(class)
    }
}

const KEYED: &str = r#"<rule name="book"><when>script.startsWith("/old/book/")</when>
    <give operation="book"><key>params.HTTP_X_KEY</key></give></rule>"#;

#[test]
fn a_rule_gives_the_operation_and_the_class() {
    let mut node = Node::ruled(
        r#"<rule name="old"><when>script.startsWith("/old/")</when><give operation="read" class="old"/></rule>"#,
    );
    node.ask(1, "/old/7", A);
    assert_eq!(node.kernel_lines(), [sched(A, "read")]);
    node.reap(A, End::Ok, b"r");
    assert_eq!(node.one_answer().status, "200");
    node.ask(2, "/other/7", B);
    assert_eq!(
        node.one_answer().status,
        "404",
        "what no rule matches is as without rules"
    );
    node.ask(3, "/call/pay", C);
    assert_eq!(node.kernel_lines(), [sched(C, "pay")]);
    let tally = node.tally("old");
    assert_eq!((tally.arrived, tally.answered), (1, [1, 0, 0]));
}

#[test]
fn what_must_run_once_is_known_again_by_the_key_that_a_rule_gave() {
    let mut node = Node::ruled(KEYED);
    let key = [("HTTP_X_KEY", "k1")];
    node.ask_with(1, "/old/book/1", A, &key, b"body");
    assert_eq!(node.kernel_lines(), [sched(A, "book")]);
    // A repeat while it runs waits for its result.
    node.ask_with(2, "/old/book/1", B, &key, b"body");
    assert_eq!(node.kernel_lines(), [""; 0]);
    node.reap(A, End::Ok, b"done");
    let answers = node.answers();
    assert!(
        answers.len() == 2
            && answers
                .iter()
                .all(|a| a.status == "200" && a.body == b"done"),
        "{answers:?}"
    );
    // One that comes later is answered from what is kept, until the window of 5 s is over.
    node.wait(4000);
    node.ask_with(3, "/old/book/1", C, &key, b"body");
    assert_eq!(
        (node.one_answer().body, node.kernel_lines().len()),
        (b"done".to_vec(), 0)
    );
    // Another body under the same key is a mistake, which is told and never run.
    node.ask_with(4, "/old/book/1", D, &key, b"other");
    let answer = node.one_answer();
    assert_eq!(
        (&answer.status[..], &answer.body[..]),
        ("409", &b"key in use with another body"[..])
    );
    assert_eq!(node.kernel_lines().len(), 0);
    // Another key is another invocation.
    node.ask_with(
        5,
        "/old/book/1",
        "00000000000000e1",
        &[("HTTP_X_KEY", "k2")],
        b"body",
    );
    assert_eq!(node.kernel_lines().len(), 1);
    node.reap("00000000000000e1", End::Ok, b"two");
    node.answers();
    node.wait(1100);
    node.ask_with(6, "/old/book/1", "00000000000000e2", &key, b"body");
    assert_eq!(node.kernel_lines().len(), 1, "the window is over");
}

#[test]
fn what_may_have_run_is_not_run_again_though_it_left_no_result() {
    for end in [End::Error, End::Stopped] {
        let mut node = Node::ruled(KEYED);
        let key = [("HTTP_X_KEY", "k1")];
        node.ask_with(1, "/old/book/1", A, &key, b"body");
        node.reap(A, end, b"");
        node.wait(100);
        assert_eq!(node.one_answer().status, "500");
        node.kernel_lines();
        node.ask_with(2, "/old/book/1", B, &key, b"body");
        assert_eq!(
            (node.one_answer().status, node.kernel_lines().len()),
            ("500".into(), 0),
            "{end:?}"
        );
    }
    // Its caller left while it ran, and it ended after its client timeout.
    let mut node = Node::ruled(KEYED);
    let key = [("HTTP_X_KEY", "k1")];
    node.ask_with(1, "/old/book/1", A, &key, b"body");
    node.event(Event::Front(node.conn, fastcgi::Event::Abort(1)));
    node.wait(3500);
    node.reap(A, End::Error, b"");
    node.answers();
    node.kernel_lines();
    node.ask_with(2, "/old/book/1", B, &key, b"body");
    assert_eq!(
        (node.one_answer().status, node.kernel_lines().len()),
        ("500".into(), 0)
    );
}

#[test]
fn what_never_ran_may_come_again_under_its_key() {
    let mut node = Node::ruled(KEYED);
    let key = [("HTTP_X_KEY", "k1")];
    // It comes too late to be run.
    let params = [support::call("/old/book/1", A, "500"), key.to_vec()].concat();
    node.wait(3000);
    node.send(1, &params, b"body");
    assert_eq!(node.one_answer().status, "429");
    node.ask_with(2, "/old/book/1", B, &key, b"body");
    assert_eq!(node.kernel_lines().len(), 1);
    // Nor does one whose run was never asked for, as there was no link.
    let mut node = Node::ruled(KEYED);
    node.break_link();
    node.ask_with(1, "/old/book/1", A, &key, b"body");
    node.event(Event::Front(node.conn, fastcgi::Event::Abort(1)));
    node.wait(3500);
    node.answers();
    node.relink(0);
    node.info();
    node.kernel_lines();
    node.ask_with(2, "/old/book/1", B, &key, b"body");
    assert_eq!(
        node.kernel_lines().len(),
        1,
        "nothing had run under this key"
    );
}

#[test]
fn keys_that_find_no_room_are_throttled_and_not_run_unprotected() {
    let mut node = Node::ruled(KEYED);
    let mut ran = 0;
    for i in 0..8300u32 {
        let (rid, key) = (format!("{i:016x}"), format!("k{i}"));
        node.ask_with(1, "/old/book/1", &rid, &[("HTTP_X_KEY", &key)], b"body");
        if !node.kernel_lines().is_empty() {
            ran += 1;
            node.reap(&rid, End::Ok, b"r");
        }
    }
    let answers = node.answers();
    let throttled = answers.iter().filter(|a| a.status == "429").count();
    assert_eq!((answers.len(), ran + throttled), (8300, 8300));
    assert!(ran <= 8192 && throttled >= 108, "{ran} ran");
}

#[test]
fn verdicts_are_answered_at_once_with_a_pause_no_longer_than_the_settings_have() {
    let mut node = Node::ruled(
        r#"<rule name="later"><when>params.HTTP_X_SITE == "7"</when><throttle pause="10m" reason="closed for now"/></rule>
        <rule name="never"><when>caller.address in net("10.0.0.0/8")</when><error status="403" reason="not from there"/></rule>"#,
    );
    node.ask_with(1, "/call/read", A, &[("HTTP_X_SITE", "7")], b"");
    let answer = node.one_answer();
    assert_eq!(
        (&answer.status[..], &answer.body[..]),
        ("429", &b"closed for now"[..])
    );
    assert_eq!(answer.fields["X-Pushback-Ms"], "500");
    node.conn = ConnectionId(50);
    node.event(Event::Connected(
        ConnectionId(50),
        Some("10.1.2.3".parse().unwrap()),
    ));
    node.ask(1, "/call/read", B);
    assert_eq!(node.one_answer().status, "403");
    assert_eq!(node.kernel_lines(), [""; 0]);
    // A check is no invocation: rules are not asked.
    node.send(2, &[("SCRIPT_NAME", "/ping")], b"");
    assert_eq!(node.one_answer().status, "200");
    assert_eq!(
        (
            node.counted("throttled by a rule"),
            node.counted("errored by a rule")
        ),
        (1, 1)
    );
}

#[test]
fn a_bucket_has_room_again_when_what_it_holds_is_over() {
    let mut node = Node::ruled(
        r#"<bucket name="site" in-hand="1"/><rule name="r"><when>operation == "read"</when>
        <give class="reads"><limit bucket="site">params.HTTP_X_SITE</limit></give></rule>"#,
    );
    let seven = [("HTTP_X_SITE", "7")];
    node.ask_with(1, "/call/read", A, &seven, b"body");
    node.ask_with(2, "/call/read", B, &seven, b"body");
    let answer = node.one_answer();
    assert_eq!(
        (answer.id, &answer.status[..], &answer.body[..]),
        (2, "429", &b"over a limit"[..])
    );
    assert!(answer.fields.contains_key("X-Pushback-Ms"));
    node.ask_with(3, "/call/read", C, &[("HTTP_X_SITE", "8")], b"body");
    assert_eq!(node.statuses(), [], "another key has room");
    node.reap(A, End::Ok, b"");
    assert_eq!(node.statuses(), [(1, "200".into())]);
    node.ask_with(4, "/call/read", B, &seven, b"body");
    assert_eq!(node.statuses(), [], "the first one's place is free");
    // The caller leaves before it runs: that gives the place back too.
    node.event(Event::Front(node.conn, fastcgi::Event::Abort(4)));
    node.answers();
    node.ask_with(5, "/call/read", D, &seven, b"body");
    assert_eq!(node.statuses(), []);
    node.reap(C, End::Ok, b"");
    node.reap(D, End::Ok, b"");
    assert_eq!(node.statuses(), [(3, "200".into()), (5, "200".into())]);
    let tally = node.tally("reads");
    assert_eq!((tally.arrived, tally.answered[1]), (5, 1));
    assert_eq!(node.counted("throttled by a limit"), 1);
}

#[test]
fn what_is_in_hand_keeps_what_it_was_given_when_rules_change() {
    let limited = |when: &str| {
        sheet(&format!(
            r#"<bucket name="all" in-hand="1"/><rule name="r"><when>{when}</when>
            <give operation="read" class="c"><limit bucket="all">"all"</limit></give></rule>"#
        ))
    };
    let mut node = Node::with(&settings());
    node.event(Event::Ruled(limited("script == \"/a\"")));
    node.ask(1, "/a", A);
    node.event(Event::Ruled(limited("script == \"/b\"")));
    // The bucket's definition stayed, and with it what it holds.
    node.ask(2, "/b", B);
    assert_eq!(node.one_answer().status, "429");
    node.ask(3, "/a", C);
    assert_eq!(node.one_answer().status, "404", "the rule before is gone");
    node.reap(A, End::Ok, b"r");
    assert_eq!(node.one_answer().status, "200");
    node.ask(4, "/b", D);
    assert_eq!(node.kernel_lines().len(), 2);
    // Without any rules, what is still held is given back to nobody, and nothing is limited.
    node.event(Event::Ruled(sheet("")));
    node.reap(D, End::Ok, b"r");
    node.ask(5, "/call/read", B);
    assert_eq!(node.kernel_lines().len(), 1);
}

#[test]
fn a_rule_that_errs_does_not_match_and_is_counted() {
    let mut node = Node::ruled(
        r#"<rule name="bad"><when>10 / int(params.N) == 1</when><error status="403" reason="ten"/></rule>
        <rule name="good"><when>true</when><give class="rest"/></rule>"#,
    );
    for (id, n, status) in [(1, "0", "200"), (2, "x", "200"), (3, "10", "403")] {
        let rid = format!("{id:016x}");
        node.ask_with(id, "/call/read", &rid, &[("N", n)], b"");
        node.reap(&rid, End::Ok, b"");
        assert_eq!(node.one_answer().status, status, "N = {n}");
    }
    node.ask(4, "/call/read", A); // N is absent
    let line = node
        .core
        .desk
        .borrow_mut()
        .rules
        .as_mut()
        .unwrap()
        .tallies()
        .unwrap();
    assert!(
        line.contains("matched 4") && line.contains("erred 3"),
        "{line}"
    );
    assert_eq!(
        node.core
            .desk
            .borrow_mut()
            .rules
            .as_mut()
            .unwrap()
            .tallies(),
        None,
        "told once"
    );
}

#[test]
fn a_drain_with_full_buckets_answers_all_and_runs_nothing_late() {
    let mut node = Node::ruled(
        r#"<bucket name="all" in-hand="2"/><rule name="r"><when>true</when>
        <give><limit bucket="all">"all"</limit></give></rule>"#,
    );
    node.ask(1, "/call/read", A);
    node.ask(2, "/call/read", B);
    node.ask(3, "/call/read", C);
    node.event(Event::Drain);
    node.ask(4, "/call/read", D);
    assert_eq!(node.statuses(), [(3, "429".into()), (4, "429".into())]);
    node.reap(A, End::Ok, b"");
    node.wait(2900);
    let statuses = node.statuses();
    assert_eq!(statuses.len(), 2, "{statuses:?}");
    assert_eq!(
        node.kernel_lines()
            .iter()
            .filter(|l| l.contains("SCHED"))
            .count(),
        2
    );
    let conn = node.conn;
    node.event(Event::Disconnected(conn));
    assert!(
        !node.core.has_left(),
        "a connection may wait in the listen backlog"
    );
    node.event(Event::NotListening);
    assert!(node.core.has_left());
}

#[test]
fn a_new_key_for_each_invocation_takes_no_more_memory_than_there_is() {
    let mut node = Node::ruled(
        r#"<bucket name="each" rate="1/h" burst="1"/><rule name="r"><when>operation == "read"</when>
        <give class="c"><limit bucket="each">params.HTTP_X_CORRELATION_ID</limit></give></rule>"#,
    );
    for i in 0..20_000u32 {
        let rid = format!("{i:016x}");
        node.ask(1, "/call/read", &rid);
        if !node.kernel_lines().is_empty() {
            node.reap(&rid, End::Ok, b"");
        }
    }
    assert_eq!(node.answers().len(), 20_000);
    let (keys, bytes) = {
        let desk = node.core.desk.borrow();
        let limits = desk.rules.as_ref().unwrap().limits();
        (limits.tracked_keys(), limits.bytes())
    };
    assert!(
        (1000..12_000).contains(&keys) && bytes < 3 << 19,
        "{keys} keys, {bytes} bytes"
    );
}
