//! Tests of phases and load hints.

use super::*;

#[test]
fn a_node_enters_each_phase_once_and_never_an_earlier_one() {
    let mut cluster = ClusterParticipation::default();
    assert_eq!(
        cluster.executor_booted(true),
        Some(ClusterUpdate::Phase(Phase::Cold))
    );
    assert_eq!(cluster.executor_booted(true), None);
    let updates: Vec<ClusterUpdate> = (0..200)
        .filter_map(|_| cluster.execution_succeeded())
        .collect();
    assert_eq!(updates, [ClusterUpdate::Phase(Phase::Serving)]);
    assert_eq!(
        (cluster.drain_started(), cluster.drain_started()),
        (Some(ClusterUpdate::Phase(Phase::Draining)), None)
    );
    assert_eq!(
        (
            cluster.executor_booted(false),
            cluster.execution_succeeded()
        ),
        (None, None)
    );
}

#[test]
fn capacity_is_derived_from_the_kind_of_load_report() {
    let mut cluster = ClusterParticipation::default();
    let mut updates =
        |kind, load_report, in_flight| match cluster.load_hint(kind, load_report, in_flight) {
            Some(ClusterUpdate::LoadHint { capacity, load }) => Some((capacity, load)),
            _ => None,
        };
    assert_eq!(updates(LoadReport::Weight, Some(1.0), 3), Some((255, 3)));
    assert_eq!(updates(LoadReport::Weight, Some(1.0), 3), None);
    assert_eq!(
        updates(LoadReport::SheddingLevel, Some(1.0), 999),
        Some((0, 255))
    );
    assert_eq!(updates(LoadReport::Credit, Some(7.9), 0), Some((7, 0)));
    assert_eq!(updates(LoadReport::Disabled, None, 0), Some((255, 0)));
}
