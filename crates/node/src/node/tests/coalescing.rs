//! Coalescing of reads: equal reads share a result while it is fresh.

use super::support::*;

#[test]
fn equal_reads_share_a_result_while_it_is_fresh() {
    let mut node =
        TestNode::with_settings(&wire::SETTINGS.replace("\"Fresh\": 0.0", "\"Fresh\": 1.0"));
    let read = |node: &mut TestNode, id, correlation_id| {
        let arrived = (node.now / MS).to_string();
        let mut params = wire::call_params("/call/read", correlation_id, &arrived);
        params.push(("HTTP_X_SUBJECT", "7f3a9c21e0b4d655"));
        node.send(id, &params, b"body");
    };
    read(&mut node, 1, A);
    read(&mut node, 2, B);
    assert_eq!(node.executor_commands(), [start_command(A, "read")]);
    node.end_execution(A, End::Ok, b"shared");
    read(&mut node, 3, "00000000000000cc");
    let answers = node.answers();
    assert_eq!(
        answers
            .iter()
            .map(|a| (a.id, &a.body[..]))
            .collect::<Vec<_>>(),
        [(1, &b"shared"[..]), (2, b"shared"), (3, b"shared")]
    );
    node.wait(1001);
    read(&mut node, 4, A);
    read(&mut node, 5, B);
    assert_eq!(node.executor_commands(), [start_command(A, "read")]);
    node.end_execution(A, End::Error, b"");
    assert_eq!(node.statuses(), [(4, "500".into()), (5, "500".into())]);
}

#[test]
fn reads_of_one_subject_share_a_result_only_with_equal_body_and_tenant() {
    let settings = wire::SETTINGS.replace("\"Fresh\": 0.0", "\"Fresh\": 1.0");
    let mut node = TestNode::with_settings(
        &settings.replace("}]}", r#"}, {"Name": "other", "QuotaRps": 50.0}]}"#),
    );
    let read = |node: &mut TestNode, id, correlation_id, tenant, body: &[u8]| {
        let params = wire::call_params("/call/read", correlation_id, "1000");
        let params: Vec<_> = params
            .into_iter()
            .filter(|(name, _)| *name != "HTTP_X_ORG")
            .collect();
        let more = vec![
            ("HTTP_X_SUBJECT", "7f3a9c21e0b4d655"),
            ("HTTP_X_ORG", tenant),
        ];
        node.send(id, &[params, more].concat(), body);
    };
    read(&mut node, 1, A, "acme", b"body");
    node.end_execution(A, End::Ok, b"mine");
    node.executor_commands();
    node.answers();
    read(&mut node, 2, B, "other", b"body");
    assert_eq!(
        node.executor_commands(),
        [start_command(B, "read")],
        "a result of another tenant is not shared"
    );
    node.end_execution(B, End::Ok, b"theirs");
    read(&mut node, 3, "00000000000000cc", "acme", b"else");
    assert_eq!(
        node.executor_commands().len(),
        1,
        "a read with another body is executed"
    );
    read(&mut node, 4, "00000000000000dd", "acme", b"body");
    assert_eq!(node.answers().pop().unwrap().body, b"mine");
}
