use super::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

#[test]
fn all_are_asked_in_each_round_and_the_gone_are_not() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut round = ProbeOrder::default();
    (1..=50).for_each(|n| round.insert(&mut rng, MemberKey(n)));
    round.insert(&mut rng, MemberKey(7)); // came again
    let mut orders = Vec::new();
    while round.next_index < round.order.len() {
        round.next(&mut rng, |_| true);
    }
    for _ in 0..3 {
        let order: Vec<MemberKey> = (0..50)
            .filter_map(|_| round.next(&mut rng, |_| true))
            .collect();
        assert_eq!(order.iter().collect::<BTreeSet<_>>().len(), 50);
        orders.push(order);
    }
    assert_ne!(orders[0], orders[1]);
    let few: BTreeSet<MemberKey> = (0..9)
        .filter_map(|_| round.next(&mut rng, |key| key.0 <= 3))
        .collect();
    assert_eq!(few.len(), 3);
    assert_eq!(round.next(&mut rng, |_| false), None);
    assert_eq!(round.order.len(), 0);
}

#[test]
fn some_by_chance_are_different_ones_for_whom_it_holds() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut round = ProbeOrder::default();
    (1..=100).for_each(|n| round.insert(&mut rng, MemberKey(n)));
    let mut all = BTreeSet::new();
    for _ in 0..500 {
        let some = round.sample(&mut rng, 3, |key| key.0 > 50);
        assert!(some.iter().all(|key| key.0 > 50) && some.len() <= 3);
        assert_eq!(some.iter().collect::<BTreeSet<_>>().len(), some.len());
        all.extend(some);
    }
    assert_eq!(all.len(), 50);
}
