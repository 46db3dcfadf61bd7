use super::*;
use crate::member::{Liveness, MemberDetails, MemberKey, Phase};
use crate::messages::MemberUpdate;
use std::net::SocketAddr;

fn table_of(members: usize) -> MemberTable {
    let mut member_table = MemberTable::new(16 << 20, None);
    for n in 0..members {
        let name = format!("n{n}");
        let address = SocketAddr::from(([127, 0, 0, 1], 1000));
        let zone = ["a", "b", "c"][n % 3];
        let details =
            MemberDetails::new(address, zone, Phase::Serving, "1", (1, 1), (0, 0), vec![]).unwrap();
        let update = MemberUpdate {
            key: MemberKey::of(&name).0,
            started_unix_ms: 1,
            incarnation: 1,
            name,
            details: details.encoded().into(),
            ..MemberUpdate::default()
        };
        let _ = member_table.merge(0, &update);
    }
    member_table
}

fn mark_members(
    member_table: &mut MemberTable,
    now: Nanos,
    names: std::ops::Range<usize>,
    liveness: Liveness,
) {
    for n in names {
        member_table.mark(now, MemberKey::of(&format!("n{n}")), liveness);
    }
}

/// A failed link hides all other members at once: the size estimate must not jump, and the node
/// must report that it is unsure.
#[test]
fn losing_all_members_lowers_the_size_slowly_and_makes_the_node_unsure() {
    let (mut member_table, mut size_estimator, zone) = (
        table_of(300),
        ClusterSizeEstimator::default(),
        Arc::from("a"),
    );
    let mut observe = |member_table: &MemberTable, now| {
        size_estimator.observe(now, member_table, &zone, 0, false)
    };
    assert_eq!(
        observe(&member_table, SECOND).cluster,
        SizeEstimate {
            size: 300,
            low: 300,
            high: 300
        }
    );
    mark_members(&mut member_table, 2 * SECOND, 1..300, Liveness::Suspect);
    let cluster_view = observe(&member_table, 2 * SECOND);
    assert_eq!(
        (
            cluster_view.cluster.size,
            cluster_view.cluster.low,
            cluster_view.cluster.high
        ),
        (300, 1, 300)
    );
    assert_eq!(cluster_view.unsure_since, Some(2 * SECOND));
    mark_members(&mut member_table, 3 * SECOND, 1..300, Liveness::Dead);
    let (mut before, mut lowest) = (300, 300);
    for tenth in 30..400 {
        let cluster_view = observe(&member_table, tenth * SECOND / 10);
        assert!(
            cluster_view.cluster.size <= before
                && before - cluster_view.cluster.size <= before.div_ceil(8)
        );
        assert!(
            cluster_view.unsure_since.is_none() || cluster_view.cluster.high >= 150,
            "{cluster_view:?}"
        );
        (before, lowest) = (
            cluster_view.cluster.size,
            lowest.min(cluster_view.cluster.size),
        );
    }
    assert!((1..=150).contains(&lowest), "{lowest}");
    // Finally the lost members no longer count.
    let cluster_view = observe(&member_table, 120 * SECOND);
    assert_eq!(
        (cluster_view.cluster, cluster_view.unsure_since),
        (
            SizeEstimate {
                size: 1,
                low: 1,
                high: 1
            },
            None
        )
    );
}

/// While a node is unsure, its estimate must not fall below half: otherwise each isolated node
/// would take the capacity of the whole cluster for itself.
#[test]
fn an_unsure_node_keeps_at_least_half_of_its_estimate() {
    let (mut member_table, mut size_estimator, zone) = (
        table_of(100),
        ClusterSizeEstimator::default(),
        Arc::from("a"),
    );
    size_estimator.observe(0, &member_table, &zone, 0, false);
    mark_members(&mut member_table, SECOND, 1..100, Liveness::Dead);
    for second in 1..30 {
        let cluster_view = size_estimator.observe(second * SECOND, &member_table, &zone, 0, false);
        assert!(
            cluster_view.cluster.size >= 50 && cluster_view.unsure_since.is_some(),
            "{second}: {cluster_view:?}"
        );
    }
}

#[test]
fn few_losses_and_announced_leaves_do_not_make_a_node_unsure() {
    let (mut member_table, mut size_estimator, zone) = (
        table_of(12),
        ClusterSizeEstimator::default(),
        Arc::from("a"),
    );
    size_estimator.observe(0, &member_table, &zone, 0, false);
    mark_members(&mut member_table, SECOND, 0..2, Liveness::Dead);
    mark_members(&mut member_table, SECOND, 2..8, Liveness::Left);
    let cluster_view = size_estimator.observe(SECOND, &member_table, &zone, 0, false);
    assert_eq!(
        (cluster_view.unsure_since, cluster_view.cluster.low),
        (None, 4)
    );
    assert!(
        cluster_view.cluster.high >= 6 && cluster_view.cluster.size >= 10,
        "{cluster_view:?}"
    );
    let cluster_view = size_estimator.observe(40 * SECOND, &member_table, &zone, 0, false);
    assert_eq!(
        cluster_view.cluster,
        SizeEstimate {
            size: 4,
            low: 4,
            high: 4
        }
    );
    assert_eq!(cluster_view.zone.size, 1);
}

#[test]
fn a_node_with_a_high_health_score_stays_unsure() {
    let (member_table, mut size_estimator, zone) = (
        table_of(12),
        ClusterSizeEstimator::default(),
        Arc::from("a"),
    );
    for second in 0..400 {
        let cluster_view = size_estimator.observe(second * SECOND, &member_table, &zone, 5, false);
        assert!(cluster_view.unsure_since.is_some(), "{second}");
    }
    assert!(
        size_estimator
            .observe(406 * SECOND, &member_table, &zone, 0, false)
            .unsure_since
            .is_none()
    );
}

#[test]
fn growth_is_followed_at_once() {
    let (mut size_estimator, zone) = (ClusterSizeEstimator::default(), Arc::from("a"));
    for members in [3, 30, 300] {
        assert_eq!(
            size_estimator
                .observe(members as Nanos, &table_of(members), &zone, 0, false)
                .cluster
                .size,
            members
        );
    }
}
