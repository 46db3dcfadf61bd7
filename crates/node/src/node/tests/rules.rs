//! Request rules and limits at the node: their results reach the admission controller, and the four
//! rules of request handling still hold.

use super::support::*;
use crate::request_rules::CompiledRuleSet;
use madderpoint_settings::ValidationContext;

const C: &str = "00000000000000cc";
const D: &str = "00000000000000dd";

/// Settings under which load balancers heed a Retry-After of up to 500 ms.
pub fn settings() -> String {
    wire::SETTINGS.replace(
        r#""RetryAfter": false, "MaxRetryAfter": 0.0"#,
        r#""RetryAfter": true, "MaxRetryAfter": 0.5"#,
    )
}

fn rules_without_cluster(rules: &str) -> Box<CompiledRuleSet> {
    compile(rules, "")
}

/// Compiles rules whose limits may apply to the whole cluster.
pub fn cluster_rules(rules: &str) -> Box<CompiledRuleSet> {
    compile(
        rules,
        "<fleet name=\"f\" keys=\"k\"><arbiter name=\"n0\"/></fleet>",
    )
}

fn compile(rules: &str, fleet: &str) -> Box<CompiledRuleSet> {
    let config = madderpoint_deployment_config::decode(settings().as_bytes()).unwrap();
    let idempotencies = config.deployment.operations.iter().map(|o| o.idempotency);
    let operations = Some(
        config
            .operation_names
            .iter()
            .cloned()
            .zip(idempotencies)
            .collect(),
    );
    let context = ValidationContext {
        operations,
        tenants: Some(config.tenant_names.clone()),
        ..ValidationContext::permissive()
    };
    let text = format!("<translator version=\"1\"><rules>{rules}</rules>{fleet}</translator>");
    let settings =
        madderpoint_settings::read("rules.xml", &text, &context).unwrap_or_else(|e| panic!("{e}"));
    let compiled = settings.rules.unwrap();
    Box::new(CompiledRuleSet {
        rules: compiled.rules,
        buckets: compiled.buckets,
        quotas: compiled.cluster_quotas,
    })
}

impl TestNode {
    fn with_rules(rules: &str) -> TestNode {
        let mut node = TestNode::with_settings(&settings());
        node.event(Event::RulesChanged(rules_without_cluster(rules)));
        node
    }

    fn call_with(
        &mut self,
        id: u16,
        path: &str,
        correlation_id: &str,
        more: &[(&str, &str)],
        body: &[u8],
    ) {
        let arrived = (self.now / MS).to_string();
        let params = [
            wire::call_params(path, correlation_id, &arrived),
            more.to_vec(),
        ]
        .concat();
        self.send(id, &params, body);
    }

    fn one_answer(&mut self) -> Answer {
        let mut answers = self.answers();
        assert_eq!(answers.len(), 1, "{answers:?}");
        answers.remove(0)
    }

    fn class_counts(&self, class: &str) -> crate::request_rules::ClassCounts {
        self.node
            .state
            .borrow()
            .rules
            .as_ref()
            .unwrap()
            .class_counts(class)
    }
}

const KEYED: &str = r#"<rule name="book"><when>script.startsWith("/old/book/")</when>
    <give operation="book"><key>params.HTTP_X_KEY</key></give></rule>"#;

#[test]
fn a_rule_assigns_the_operation_and_the_class() {
    let mut node = TestNode::with_rules(
        r#"<rule name="old"><when>script.startsWith("/old/")</when><give operation="read" class="old"/></rule>"#,
    );
    node.call(1, "/old/7", A);
    assert_eq!(node.executor_commands(), [start_command(A, "read")]);
    node.end_execution(A, End::Ok, b"r");
    assert_eq!(node.one_answer().status, "200");
    node.call(2, "/other/7", B);
    assert_eq!(
        node.one_answer().status,
        "404",
        "a request that no rule matches is handled as without rules"
    );
    node.call(3, "/call/pay", C);
    assert_eq!(node.executor_commands(), [start_command(C, "pay")]);
    let counts = node.class_counts("old");
    assert_eq!((counts.arrived, counts.answered), (1, [1, 0, 0]));
}

#[test]
fn a_key_assigned_by_a_rule_identifies_repeats() {
    let mut node = TestNode::with_rules(KEYED);
    let key = [("HTTP_X_KEY", "k1")];
    node.call_with(1, "/old/book/1", A, &key, b"body");
    assert_eq!(node.executor_commands(), [start_command(A, "book")]);
    // A repeat that arrives while the request runs waits for its result.
    node.call_with(2, "/old/book/1", B, &key, b"body");
    assert_eq!(node.executor_commands(), [""; 0]);
    node.end_execution(A, End::Ok, b"done");
    let answers = node.answers();
    assert!(
        answers.len() == 2
            && answers
                .iter()
                .all(|a| a.status == "200" && a.body == b"done"),
        "{answers:?}"
    );
    // A later repeat is answered from the cache until the 5 s window is over.
    node.wait(4000);
    node.call_with(3, "/old/book/1", C, &key, b"body");
    assert_eq!(
        (node.one_answer().body, node.executor_commands().len()),
        (b"done".to_vec(), 0)
    );
    // Reuse of the key with another body is a client error: it is answered as a conflict, not run.
    node.call_with(4, "/old/book/1", D, &key, b"other");
    let answer = node.one_answer();
    assert_eq!(
        (&answer.status[..], &answer.body[..]),
        ("409", &b"key in use with another body"[..])
    );
    assert_eq!(node.executor_commands().len(), 0);
    // A request with another key is a separate request.
    node.call_with(
        5,
        "/old/book/1",
        "00000000000000e1",
        &[("HTTP_X_KEY", "k2")],
        b"body",
    );
    assert_eq!(node.executor_commands().len(), 1);
    node.end_execution("00000000000000e1", End::Ok, b"two");
    node.answers();
    node.wait(1100);
    node.call_with(6, "/old/book/1", "00000000000000e2", &key, b"body");
    assert_eq!(node.executor_commands().len(), 1, "the window is over");
}

#[test]
fn a_keyed_request_that_may_have_run_is_not_run_again_without_a_result() {
    for end in [End::Error, End::Stopped] {
        let mut node = TestNode::with_rules(KEYED);
        let key = [("HTTP_X_KEY", "k1")];
        node.call_with(1, "/old/book/1", A, &key, b"body");
        node.end_execution(A, end, b"");
        node.wait(100);
        assert_eq!(node.one_answer().status, "500");
        node.executor_commands();
        node.call_with(2, "/old/book/1", B, &key, b"body");
        assert_eq!(
            (node.one_answer().status, node.executor_commands().len()),
            ("500".into(), 0),
            "{end:?}"
        );
    }
    // The client cancelled the request while it ran, and the execution ended after the client
    // timeout.
    let mut node = TestNode::with_rules(KEYED);
    let key = [("HTTP_X_KEY", "k1")];
    node.call_with(1, "/old/book/1", A, &key, b"body");
    node.event(Event::LoadBalancer(
        node.connection_id,
        fastcgi::Event::Abort(1),
    ));
    node.wait(3500);
    node.end_execution(A, End::Error, b"");
    node.answers();
    node.executor_commands();
    node.call_with(2, "/old/book/1", B, &key, b"body");
    assert_eq!(
        (node.one_answer().status, node.executor_commands().len()),
        ("500".into(), 0)
    );
}

#[test]
fn a_repeat_of_a_keyed_request_that_never_ran_is_executed() {
    let mut node = TestNode::with_rules(KEYED);
    let key = [("HTTP_X_KEY", "k1")];
    // The first request arrives too late to run.
    let params = [wire::call_params("/old/book/1", A, "500"), key.to_vec()].concat();
    node.wait(3000);
    node.send(1, &params, b"body");
    assert_eq!(node.one_answer().status, "429");
    node.call_with(2, "/old/book/1", B, &key, b"body");
    assert_eq!(node.executor_commands().len(), 1);
    // The start of the first request was never sent, because there was no link to the executor.
    let mut node = TestNode::with_rules(KEYED);
    node.break_link();
    node.call_with(1, "/old/book/1", A, &key, b"body");
    node.event(Event::LoadBalancer(
        node.connection_id,
        fastcgi::Event::Abort(1),
    ));
    node.wait(3500);
    node.answers();
    node.reconnect(0);
    node.answer_gauges();
    node.executor_commands();
    node.call_with(2, "/old/book/1", B, &key, b"body");
    assert_eq!(
        node.executor_commands().len(),
        1,
        "no request with this key had run"
    );
}

#[test]
fn keyed_requests_beyond_the_cache_capacity_are_rejected_and_not_run_unprotected() {
    let mut node = TestNode::with_rules(KEYED);
    let mut ran = 0;
    for i in 0..8300u32 {
        let (correlation_id, key) = (format!("{i:016x}"), format!("k{i}"));
        node.call_with(
            1,
            "/old/book/1",
            &correlation_id,
            &[("HTTP_X_KEY", &key)],
            b"body",
        );
        if !node.executor_commands().is_empty() {
            ran += 1;
            node.end_execution(&correlation_id, End::Ok, b"r");
        }
    }
    let answers = node.answers();
    let throttled = answers.iter().filter(|a| a.status == "429").count();
    assert_eq!((answers.len(), ran + throttled), (8300, 8300));
    assert!(ran <= 8192 && throttled >= 108, "{ran} ran");
}

#[test]
fn verdicts_are_answered_at_once_with_a_bounded_retry_after() {
    let mut node = TestNode::with_rules(
        r#"<rule name="later"><when>params.HTTP_X_SITE == "7"</when><throttle pause="10m" reason="closed for now"/></rule>
        <rule name="never"><when>caller.address in net("10.0.0.0/8")</when><error status="403" reason="not from there"/></rule>"#,
    );
    node.call_with(1, "/call/read", A, &[("HTTP_X_SITE", "7")], b"");
    let answer = node.one_answer();
    assert_eq!(
        (&answer.status[..], &answer.body[..]),
        ("429", &b"closed for now"[..])
    );
    assert_eq!(answer.fields["X-Pushback-Ms"], "500");
    node.connection_id = ConnectionId(50);
    node.event(Event::Connected(
        ConnectionId(50),
        Some("10.1.2.3".parse().unwrap()),
    ));
    node.call(1, "/call/read", B);
    assert_eq!(node.one_answer().status, "403");
    assert_eq!(node.executor_commands(), [""; 0]);
    // Rules are not evaluated for health checks.
    node.send(2, &[("SCRIPT_NAME", "/ping")], b"");
    assert_eq!(node.one_answer().status, "200");
    assert_eq!(
        (
            node.counted("rejected by a rule"),
            node.counted("failed by a rule")
        ),
        (1, 1)
    );
}

#[test]
fn a_bucket_admits_again_when_a_permit_is_released() {
    let mut node = TestNode::with_rules(
        r#"<bucket name="site" in-hand="1"/><rule name="r"><when>operation == "read"</when>
        <give class="reads"><limit bucket="site">params.HTTP_X_SITE</limit></give></rule>"#,
    );
    let site_7 = [("HTTP_X_SITE", "7")];
    node.call_with(1, "/call/read", A, &site_7, b"body");
    node.call_with(2, "/call/read", B, &site_7, b"body");
    let answer = node.one_answer();
    assert_eq!(
        (answer.id, &answer.status[..], &answer.body[..]),
        (2, "429", &b"over a limit"[..])
    );
    assert!(answer.fields.contains_key("X-Pushback-Ms"));
    node.call_with(3, "/call/read", C, &[("HTTP_X_SITE", "8")], b"body");
    assert_eq!(node.statuses(), [], "another key has a separate bucket");
    node.end_execution(A, End::Ok, b"");
    assert_eq!(node.statuses(), [(1, "200".into())]);
    node.call_with(4, "/call/read", B, &site_7, b"body");
    assert_eq!(
        node.statuses(),
        [],
        "the permit of the first request is free"
    );
    // A request that its client cancels before it runs releases its permit too.
    node.event(Event::LoadBalancer(
        node.connection_id,
        fastcgi::Event::Abort(4),
    ));
    node.answers();
    node.call_with(5, "/call/read", D, &site_7, b"body");
    assert_eq!(node.statuses(), []);
    node.end_execution(C, End::Ok, b"");
    node.end_execution(D, End::Ok, b"");
    assert_eq!(node.statuses(), [(3, "200".into()), (5, "200".into())]);
    let counts = node.class_counts("reads");
    assert_eq!((counts.arrived, counts.answered[1]), (5, 1));
    assert_eq!(node.counted("rejected by a limit"), 1);
}

#[test]
fn requests_in_flight_keep_their_operation_and_permits_when_rules_change() {
    let limited = |when: &str| {
        rules_without_cluster(&format!(
            r#"<bucket name="all" in-hand="1"/><rule name="r"><when>{when}</when>
            <give operation="read" class="c"><limit bucket="all">"all"</limit></give></rule>"#
        ))
    };
    let mut node = TestNode::with_settings(&settings());
    node.event(Event::RulesChanged(limited("script == \"/a\"")));
    node.call(1, "/a", A);
    node.event(Event::RulesChanged(limited("script == \"/b\"")));
    // The bucket's definition did not change, so its permits are still held.
    node.call(2, "/b", B);
    assert_eq!(node.one_answer().status, "429");
    node.call(3, "/a", C);
    assert_eq!(
        node.one_answer().status,
        "404",
        "the previous rule is no longer in force"
    );
    node.end_execution(A, End::Ok, b"r");
    assert_eq!(node.one_answer().status, "200");
    node.call(4, "/b", D);
    assert_eq!(node.executor_commands().len(), 2);
    // With an empty rule set, permits still held are released without effect, and nothing is
    // limited.
    node.event(Event::RulesChanged(rules_without_cluster("")));
    node.end_execution(D, End::Ok, b"r");
    node.call(5, "/call/read", B);
    assert_eq!(node.executor_commands().len(), 1);
}

#[test]
fn a_failing_rule_does_not_match_and_is_counted() {
    let mut node = TestNode::with_rules(
        r#"<rule name="bad"><when>10 / int(params.N) == 1</when><error status="403" reason="ten"/></rule>
        <rule name="good"><when>true</when><give class="rest"/></rule>"#,
    );
    for (id, n, status) in [(1, "0", "200"), (2, "x", "200"), (3, "10", "403")] {
        let correlation_id = format!("{id:016x}");
        node.call_with(id, "/call/read", &correlation_id, &[("N", n)], b"");
        node.end_execution(&correlation_id, End::Ok, b"");
        assert_eq!(node.one_answer().status, status, "N = {n}");
    }
    node.call(4, "/call/read", A); // N is absent
    let line = node
        .node
        .state
        .borrow_mut()
        .rules
        .as_mut()
        .unwrap()
        .changed_counts()
        .unwrap();
    assert!(
        line.contains("matched 4") && line.contains("erred 3"),
        "{line}"
    );
    assert_eq!(
        node.node
            .state
            .borrow_mut()
            .rules
            .as_mut()
            .unwrap()
            .changed_counts(),
        None,
        "unchanged counts are not reported again"
    );
}

#[test]
fn a_drain_with_exhausted_buckets_answers_all_requests_and_starts_no_rejected_one() {
    let mut node = TestNode::with_rules(
        r#"<bucket name="all" in-hand="2"/><rule name="r"><when>true</when>
        <give><limit bucket="all">"all"</limit></give></rule>"#,
    );
    node.call(1, "/call/read", A);
    node.call(2, "/call/read", B);
    node.call(3, "/call/read", C);
    node.event(Event::Drain);
    node.call(4, "/call/read", D);
    assert_eq!(node.statuses(), [(3, "429".into()), (4, "429".into())]);
    node.end_execution(A, End::Ok, b"");
    node.wait(2900);
    let statuses = node.statuses();
    assert_eq!(statuses.len(), 2, "{statuses:?}");
    assert_eq!(
        node.executor_commands()
            .iter()
            .filter(|l| l.contains("SCHED"))
            .count(),
        2
    );
    let conn = node.connection_id;
    node.event(Event::Disconnected(conn));
    assert!(
        !node.node.has_drained(),
        "a connection may wait in the listen backlog"
    );
    node.event(Event::ListenerClosed);
    assert!(node.node.has_drained());
}

#[test]
fn a_new_key_for_each_request_stays_within_the_memory_bound() {
    let mut node = TestNode::with_rules(
        r#"<bucket name="each" rate="1/h" burst="1"/><rule name="r"><when>operation == "read"</when>
        <give class="c"><limit bucket="each">params.HTTP_X_CORRELATION_ID</limit></give></rule>"#,
    );
    for i in 0..20_000u32 {
        let correlation_id = format!("{i:016x}");
        node.call(1, "/call/read", &correlation_id);
        if !node.executor_commands().is_empty() {
            node.end_execution(&correlation_id, End::Ok, b"");
        }
    }
    assert_eq!(node.answers().len(), 20_000);
    let (keys, bytes) = {
        let state = node.node.state.borrow();
        let limits = state.rules.as_ref().unwrap().limiter();
        (limits.tracked_keys(), limits.bytes())
    };
    assert!(
        (1000..12_000).contains(&keys) && bytes < 3 << 19,
        "{keys} keys, {bytes} bytes"
    );
}
