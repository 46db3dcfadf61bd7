use super::*;

#[test]
fn a_burst_is_summarized_in_one_line_and_the_history_is_bounded() {
    let mut history = History::default();
    let change = |n: usize, kind| ChangeEvent {
        unix_ms: 0,
        kind,
        name: format!("n{n}").into(),
        more: String::new(),
    };
    let lines: Vec<String> = (0..300)
        .filter_map(|n| history.push(SECOND, change(n, ChangeKind::Dead)))
        .collect();
    assert_eq!((lines.len(), &lines[0][..]), (LINES_PER_SECOND, "n0 dead"));
    assert_eq!(history.suppressed_line(SECOND), None);
    assert_eq!(
        history.suppressed_line(2 * SECOND).unwrap(),
        "292 more dead (first n8)"
    );
    assert_eq!(history.suppressed_line(3 * SECOND), None);
    assert_eq!(
        (
            history.latest().count(),
            &history.latest().next().unwrap().name[..]
        ),
        (CAPACITY, "n299")
    );
    assert!(
        history
            .push(4 * SECOND, change(1, ChangeKind::Back))
            .is_some()
    );
}
