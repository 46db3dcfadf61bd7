use super::*;

/// Calls [`Progress::next`] with separate arguments instead of a [`NextAgreement`].
trait NextFor {
    fn next_for(
        &self,
        rollout: RolloutId,
        plan: &Plan,
        nodes: &[(u64, u32)],
        agreement: u64,
        cluster_size: u32,
    ) -> Option<Progress>;
}

impl NextFor for Progress {
    fn next_for(
        &self,
        rollout: RolloutId,
        plan: &Plan,
        nodes: &[(u64, u32)],
        agreement: u64,
        cluster_size: u32,
    ) -> Option<Progress> {
        self.next(&NextAgreement {
            rollout,
            plan,
            nodes,
            agreement,
            cluster_size,
        })
    }
}

const ROLLOUT: RolloutId = RolloutId(77);

fn cluster(nodes: u64, zones: u64) -> Vec<(u64, u32)> {
    (0..nodes)
        .map(|n| (splitmix64(n), (n % zones) as u32))
        .collect()
}

fn included_nodes(progress: &Progress, nodes: &[(u64, u32)], zone: u32) -> usize {
    nodes
        .iter()
        .filter(|(node, node_zone)| *node_zone == zone && progress.includes(ROLLOUT, *node, zone))
        .count()
}

fn plan(shares: &[u32], max_zone_permille: u32) -> Plan {
    let stage = Plan::default().stages[0];
    let stages = shares
        .iter()
        .map(|share| Stage {
            share_permille: *share,
            ..stage
        })
        .collect();
    Plan {
        stages,
        max_zone_permille,
        ..Plan::default()
    }
}

#[test]
fn stages_spread_over_zones_and_included_nodes_stay_included() {
    for rollout in 0..50 {
        let rollout = RolloutId(rollout);
        let (nodes, plan) = (cluster(100, 4), plan(&[0, 50, 200, 500, 1000], 500));
        let mut progress = Progress::default();
        let mut before: Vec<u64> = Vec::new();
        // The maximum share of 500 thousandths limits each of four zones of 25 nodes to 12.
        for (at, wanted) in [1, 5, 20, 48, 100].into_iter().enumerate() {
            progress = progress
                .next_for(rollout, &plan, &nodes, at as u64 + 1, 100)
                .unwrap();
            let now: Vec<u64> = nodes
                .iter()
                .filter(|(n, z)| progress.includes(rollout, *n, *z))
                .map(|(n, _)| *n)
                .collect();
            assert_eq!(
                (progress.stage, now.len()),
                (at as u32 + 1, wanted),
                "{rollout:?}"
            );
            assert!(
                before.iter().all(|node| now.contains(node)),
                "included nodes stay included"
            );
            if wanted < 100 {
                let by_zone = (0..4).map(|zone| {
                    nodes
                        .iter()
                        .filter(|(n, z)| *z == zone && progress.includes(rollout, *n, *z))
                        .count()
                });
                let by_zone: Vec<usize> = by_zone.collect();
                let (least, most) = (by_zone.iter().min().unwrap(), by_zone.iter().max().unwrap());
                assert!(most - least <= 1, "{by_zone:?}");
            }
            before = now;
        }
        let completed = progress.next_for(rollout, &plan, &nodes, 6, 100).unwrap();
        assert!(
            plan.is_beyond(completed.stage)
                && completed.next_for(rollout, &plan, &nodes, 7, 100).is_none()
        );
    }
}

#[test]
fn zones_stay_within_their_maximum_share_and_small_zones_give_one_node() {
    // Zones of 12, 3 and 2 nodes.
    let nodes: Vec<(u64, u32)> = (0..17)
        .map(|n| {
            (
                splitmix64(n),
                if n < 12 {
                    0
                } else if n < 15 {
                    1
                } else {
                    2
                },
            )
        })
        .collect();
    let progress = Progress::default()
        .next_for(ROLLOUT, &plan(&[900, 1000], 250), &nodes, 1, 17)
        .unwrap();
    let counts = [0, 1, 2].map(|zone| included_nodes(&progress, &nodes, zone));
    assert_eq!(counts, [3, 1, 1]);
    let last = progress
        .next_for(ROLLOUT, &plan(&[900, 1000], 250), &nodes, 1, 17)
        .unwrap();
    assert_eq!(
        [0, 1, 2].map(|zone| included_nodes(&last, &nodes, zone)),
        [12, 3, 2]
    );
    assert!(
        last.includes(ROLLOUT, 999, 7),
        "the last stage includes nodes that join, in any zone"
    );
}

#[test]
fn joining_nodes_are_included_by_position_and_starts_are_spread() {
    let nodes = cluster(300, 3);
    let plan = plan(&[200, 1000], 500);
    let progress = Progress::default()
        .next_for(ROLLOUT, &plan, &nodes, 1, 300)
        .unwrap();
    let joined = (1000..4000u64)
        .filter(|n| progress.includes(ROLLOUT, splitmix64(*n), 1))
        .count();
    assert!(
        (450..750).contains(&joined),
        "about a fifth of 3,000: {joined}"
    );
    let mut slots: Vec<Nanos> = nodes
        .iter()
        .filter(|(node, zone)| progress.includes(ROLLOUT, *node, *zone))
        .map(|(node, zone)| progress.slot(ROLLOUT, *node, *zone, 10 * SECOND))
        .collect();
    slots.sort_unstable();
    assert!(slots[0] < 2 * SECOND && slots[slots.len() - 1] <= 10 * SECOND);
    assert!(
        slots.windows(2).all(|two| two[1] - two[0] < 3 * SECOND),
        "{slots:?}"
    );
    let last = progress.next_for(ROLLOUT, &plan, &nodes, 1, 300).unwrap();
    let (node, zone) = *nodes
        .iter()
        .find(|(node, zone)| progress.includes(ROLLOUT, *node, *zone))
        .unwrap();
    assert_eq!(
        last.slot(ROLLOUT, node, zone, 10 * SECOND),
        0,
        "a node of the previous stage starts at once"
    );
}

#[test]
fn other_nodes_replace_nodes_that_left() {
    let (nodes, plan) = (cluster(30, 3), plan(&[0, 100, 1000], 500));
    let first = Progress::default()
        .next_for(ROLLOUT, &plan, &nodes, 1, 30)
        .unwrap();
    let is_in = |progress: &Progress| -> Vec<(u64, u32)> {
        nodes
            .iter()
            .filter(|(node, zone)| progress.includes(ROLLOUT, *node, *zone))
            .copied()
            .collect()
    };
    let departed = is_in(&first)[0];
    let remaining: Vec<(u64, u32)> = nodes
        .iter()
        .filter(|node| **node != departed)
        .copied()
        .collect();
    let again = first
        .again(&NextAgreement {
            rollout: ROLLOUT,
            plan: &plan,
            nodes: &remaining,
            agreement: 2,
            cluster_size: 30,
        })
        .unwrap();
    let now = is_in(&again);
    assert_eq!(
        (again.stage, now.len()),
        (1, 2),
        "the node that left and its replacement"
    );
    assert!(now.contains(&departed));
}

#[test]
fn invalid_plans_are_rejected() {
    assert_eq!(Plan::default().check(), Ok(()));
    for (shares, message) in [
        (&[][..], "0 stages"),
        (&[100, 100, 1000], "larger than the one before"),
        (&[0, 500], "the whole fleet"),
    ] {
        assert!(
            plan(shares, 500)
                .check()
                .unwrap_err()
                .to_string()
                .contains(message),
            "{shares:?}"
        );
    }
    assert!(
        plan(&[1000], 0).check().is_err()
            && Plan {
                margin_permille: 0,
                ..Plan::default()
            }
            .check()
            .is_err()
    );
    let stage = Stage {
        min_duration: 2 * SECOND,
        max_duration: SECOND,
        ..Plan::default().stages[4]
    };
    assert!(
        Plan {
            stages: vec![stage],
            ..Plan::default()
        }
        .check()
        .unwrap_err()
        .to_string()
        .contains("2 s at least")
    );
}
