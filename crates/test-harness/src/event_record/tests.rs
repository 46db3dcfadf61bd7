use super::*;

#[test]
fn lines_of_several_processes_are_ordered_by_time() {
    let record = EventRecord::default();
    record.line(
        "n1",
        r#"{"timestamp":"3000000","level":"INFO","message":"later","part":"fleet","event":"dead"}"#,
    );
    record.line(
        "n0",
        r#"{"timestamp":"1000000","level":"INFO","message":"first","part":"fleet","event":"joined"}"#,
    );
    record.line("n0", "thread 'core' panicked");
    let joined = record.joined();
    assert_eq!(
        (&joined[0].message[..], &joined[1].event[..]),
        ("first", "dead")
    );
    assert_eq!(joined[2].message, "thread 'core' panicked");
    assert_eq!(
        joined[0].to_string(),
        "     0.001 n0      fleet       first"
    );
}
