//! Like reads that share a result.

use super::support::*;

#[test]
fn like_reads_share_a_result_while_it_is_fresh() {
    let mut node =
        TestNode::with_settings(&wire::SETTINGS.replace("\"Fresh\": 0.0", "\"Fresh\": 1.0"));
    let ask = |node: &mut TestNode, id, correlation_id| {
        let arrived = (node.now / MS).to_string();
        let mut params = wire::call_params("/call/read", correlation_id, &arrived);
        params.push(("HTTP_X_SUBJECT", "7f3a9c21e0b4d655"));
        node.send(id, &params, b"body");
    };
    ask(&mut node, 1, A);
    ask(&mut node, 2, B);
    assert_eq!(node.executor_commands(), [start_command(A, "read")]);
    node.end_execution(A, End::Ok, b"shared");
    ask(&mut node, 3, "00000000000000cc");
    let answers = node.answers();
    assert_eq!(
        answers
            .iter()
            .map(|a| (a.id, &a.body[..]))
            .collect::<Vec<_>>(),
        [(1, &b"shared"[..]), (2, b"shared"), (3, b"shared")]
    );
    node.wait(1001);
    ask(&mut node, 4, A);
    ask(&mut node, 5, B);
    assert_eq!(node.executor_commands(), [start_command(A, "read")]);
    node.end_execution(A, End::Error, b"");
    assert_eq!(node.statuses(), [(4, "500".into()), (5, "500".into())]);
}

#[test]
fn reads_about_one_subject_share_a_result_only_with_one_body_and_tenant() {
    let settings = wire::SETTINGS.replace("\"Fresh\": 0.0", "\"Fresh\": 1.0");
    let mut node = TestNode::with_settings(
        &settings.replace("}]}", r#"}, {"Name": "other", "QuotaRps": 50.0}]}"#),
    );
    let ask = |node: &mut TestNode, id, correlation_id, tenant, body: &[u8]| {
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
    ask(&mut node, 1, A, "acme", b"body");
    node.end_execution(A, End::Ok, b"mine");
    node.executor_commands();
    node.answers();
    ask(&mut node, 2, B, "other", b"body");
    assert_eq!(
        node.executor_commands(),
        [start_command(B, "read")],
        "another customer's answer is not theirs"
    );
    node.end_execution(B, End::Ok, b"theirs");
    ask(&mut node, 3, "00000000000000cc", "acme", b"else");
    assert_eq!(node.executor_commands().len(), 1, "another question");
    ask(&mut node, 4, "00000000000000dd", "acme", b"body");
    assert_eq!(node.answers().pop().unwrap().body, b"mine");
}
