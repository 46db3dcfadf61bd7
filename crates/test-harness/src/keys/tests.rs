use super::*;

#[test]
fn worst_reports_executions_in_flight_and_the_excess_over_rate_and_burst() {
    let record = KeyRecord::default();
    (0..5).for_each(|_| record.started("a"));
    record.started("b");
    record.ended("a");
    record.started("a");
    let (in_flight, excess) = record.worst(1.0, 4.0);
    assert!(
        in_flight == 5 && (1.5..=2.0).contains(&excess),
        "{in_flight} {excess}"
    );
    assert_eq!(
        (record.worst(1.0, 7.0).1, record.execution_count()),
        (0.0, 7)
    );
}
