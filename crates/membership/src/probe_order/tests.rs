use super::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

#[test]
fn each_round_returns_every_member_once_and_no_excluded_one() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut probe_order = ProbeOrder::default();
    (1..=50).for_each(|n| probe_order.insert(&mut rng, MemberKey(n)));
    probe_order.insert(&mut rng, MemberKey(7)); // left and returned
    let mut orders = Vec::new();
    while probe_order.next_index < probe_order.order.len() {
        probe_order.next(&mut rng, |_| true);
    }
    for _ in 0..3 {
        let order: Vec<MemberKey> = (0..50)
            .filter_map(|_| probe_order.next(&mut rng, |_| true))
            .collect();
        assert_eq!(order.iter().collect::<BTreeSet<_>>().len(), 50);
        orders.push(order);
    }
    assert_ne!(orders[0], orders[1]);
    let remaining: BTreeSet<MemberKey> = (0..9)
        .filter_map(|_| probe_order.next(&mut rng, |key| key.0 <= 3))
        .collect();
    assert_eq!(remaining.len(), 3);
    assert_eq!(probe_order.next(&mut rng, |_| false), None);
    assert_eq!(probe_order.order.len(), 0);
}

#[test]
fn samples_are_distinct_members_for_which_the_predicate_holds() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut probe_order = ProbeOrder::default();
    (1..=100).for_each(|n| probe_order.insert(&mut rng, MemberKey(n)));
    let mut all = BTreeSet::new();
    for _ in 0..500 {
        let sample = probe_order.sample(&mut rng, 3, |key| key.0 > 50);
        assert!(sample.iter().all(|key| key.0 > 50) && sample.len() <= 3);
        assert_eq!(sample.iter().collect::<BTreeSet<_>>().len(), sample.len());
        all.extend(sample);
    }
    assert_eq!(all.len(), 50);
}
