use super::*;

fn rate(count: u32, burst: u32, floor: u32, max_nodes: u32) -> KeyedQuota {
    let kind = QuotaKind::Rate {
        count,
        period: SECOND,
        burst,
    };
    KeyedQuota {
        name: "by-site".into(),
        kind,
        floor,
        max_nodes,
    }
}

#[test]
fn floors_that_leave_no_units_for_leases_are_rejected() {
    assert_eq!(
        (rate(10, 60, 1, 40).check(), rate(10, 60, 1, 40).pool()),
        (Ok(()), 20)
    );
    let error = rate(10, 40, 1, 40).check().unwrap_err().to_string();
    assert!(
        error.contains("floors of 40 nodes are 40") && error.contains("burst of 40"),
        "{error}"
    );
    assert!(rate(0, 40, 0, 40).check().is_err() && rate(1, 0, 0, 40).check().is_err());
    let limit = KeyedQuota {
        kind: QuotaKind::InFlight {
            limit: 9,
            max_hold: SECOND,
        },
        ..rate(1, 1, 3, 3)
    };
    assert!(
        limit
            .check()
            .unwrap_err()
            .to_string()
            .contains("limit of 9")
    );
    assert!(
        limit.id() != rate(1, 1, 3, 3).id(),
        "a different kind gives a different id"
    );
}

/// Guards against exceeding the rate when clocks run fast by the drift bound: the leasable units
/// and all floors together must not be created faster than the rate.
#[test]
fn units_are_created_no_faster_than_the_rate() {
    for (count, floor, nodes) in [(1, 0, 5), (10, 1, 40), (999, 3, 300), (100_000, 1, 3000)] {
        let quota = rate(count, floor * nodes + 5, floor, nodes);
        let fast = 1.0 + 1.0 / (crate::CLOCK_DRIFT_PARTS as f64 - 1.0);
        let leased = fast * SECOND as f64 / quota.unit_interval().unwrap() as f64;
        let floors = match floor {
            0 => 0.0,
            _ => f64::from(nodes) * fast * SECOND as f64 / quota.floor_interval() as f64,
        };
        assert!(
            leased + floors <= f64::from(count),
            "{count}: {leased} and {floors}"
        );
        assert!(leased > 0.89 * f64::from(count), "{count}: {leased}");
    }
}

#[test]
fn the_lender_gets_a_bounded_number_of_requests_per_second() {
    for nodes in [1, 10, 300, 3000, 20_000] {
        let timing = QuotaTiming::for_nodes(nodes);
        assert!(
            u64::from(nodes) * SECOND / timing.request_interval <= 2 * LENDER_REQUESTS_PER_SECOND
                && timing.lease_duration > 2 * timing.renewal_interval
        );
    }
    assert_eq!(QuotaTiming::for_nodes(300).lease_duration, 3 * SECOND);
}
