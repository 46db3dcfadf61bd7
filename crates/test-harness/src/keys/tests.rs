use super::*;

#[test]
fn more_than_a_rate_and_what_may_be_saved_shows() {
    let record = KeyRecord::default();
    (0..5).for_each(|_| record.began("a"));
    record.began("b");
    record.ended("a");
    record.began("a");
    let (in_hand, over) = record.worst(1.0, 4.0);
    assert!(
        in_hand == 5 && (1.5..=2.0).contains(&over),
        "{in_hand} {over}"
    );
    assert_eq!((record.worst(1.0, 7.0).1, record.ran()), (0.0, 7));
}
