use super::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn demand(zone: u32, units: u32, value: f64) -> Demand {
    Demand { zone, units, value }
}

#[test]
fn sufficient_units_meet_all_demands_and_the_rest_is_spread_evenly() {
    let demands = [
        demand(0, 10, 1.0),
        demand(0, 0, 1.0),
        demand(1, 50, 1.0),
        demand(1, 0, 1.0),
    ];
    assert_eq!(allocate(100, &demands), [20, 10, 60, 10]);
}

#[test]
fn short_units_are_divided_evenly_by_zone_and_by_value_within_a_zone() {
    let demands = [
        demand(0, 100, 2.0),
        demand(0, 100, 1.0),
        demand(1, 100, 1.0),
        demand(1, 5, 1.0),
    ];
    let shares = allocate(60, &demands);
    assert_eq!(shares.iter().sum::<u32>(), 60);
    assert!((28..=32).contains(&(shares[0] + shares[1])), "{shares:?}");
    assert!(
        shares[0] > shares[1] && shares[1] > 5 && shares[3] == 5,
        "{shares:?}"
    );
}

#[test]
fn with_fewer_units_than_nodes_some_nodes_get_one_unit_each() {
    let demands: Vec<Demand> = (0..10).map(|n| demand(n % 2, 5, 1.0)).collect();
    let shares = allocate(3, &demands);
    assert_eq!(
        (shares.iter().sum::<u32>(), shares.iter().max()),
        (3, Some(&1))
    );
}

#[test]
fn the_whole_pool_is_allocated_and_never_more() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..2000 {
        let pool = rng.random_range(0..500);
        let demands: Vec<Demand> = (0..rng.random_range(0..30))
            .map(|_| {
                demand(
                    rng.random_range(0..4),
                    rng.random_range(0..100),
                    rng.random_range(0.0..3.0),
                )
            })
            .collect();
        let shares = allocate(pool, &demands);
        let sum: u32 = shares.iter().sum();
        assert_eq!(sum, if demands.is_empty() { 0 } else { pool });
        let wanted: u32 = demands.iter().map(|d| d.units).sum();
        let lacks = demands.iter().zip(&shares).any(|(d, g)| *g < d.units);
        assert!(!lacks || wanted > pool, "{pool} {demands:?} {shares:?}");
    }
}
