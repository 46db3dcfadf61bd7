use super::*;

fn rate(count: u32, burst: u32, floor: u32, nodes_most: u32) -> KeyedQuota {
    let kind = QuotaKind::Rate {
        count,
        period: SECOND,
        burst,
    };
    KeyedQuota {
        name: "by-site".into(),
        kind,
        floor,
        nodes_most,
    }
}

#[test]
fn floors_leave_something_to_lend_or_are_refused() {
    assert_eq!(
        (rate(10, 60, 1, 40).check(), rate(10, 60, 1, 40).pool()),
        (Ok(()), 20)
    );
    let told = rate(10, 40, 1, 40).check().unwrap_err();
    assert!(
        told.contains("floors of 40 nodes are 40") && told.contains("burst of 40"),
        "{told}"
    );
    assert!(rate(0, 40, 0, 40).check().is_err() && rate(1, 0, 0, 40).check().is_err());
    let limit = KeyedQuota {
        kind: QuotaKind::InHand {
            limit: 9,
            longest: SECOND,
        },
        ..rate(1, 1, 3, 3)
    };
    assert!(limit.check().unwrap_err().contains("limit of 9"));
    assert!(
        limit.id() != rate(1, 1, 3, 3).id(),
        "another kind is another budget"
    );
}

/// What is lent and all floors together are made no faster than the rate, by clocks that run
/// fast by the drift.
#[test]
fn what_is_made_is_no_more_than_the_rate() {
    for (count, floor, nodes) in [(1, 0, 5), (10, 1, 40), (999, 3, 300), (100_000, 1, 3000)] {
        let budget = rate(count, floor * nodes + 5, floor, nodes);
        let fast = 1.0 + 1.0 / (crate::DRIFT as f64 - 1.0);
        let lent = fast * SECOND as f64 / budget.interval().unwrap() as f64;
        let floors = match floor {
            0 => 0.0,
            _ => f64::from(nodes) * fast * SECOND as f64 / budget.floor_interval() as f64,
        };
        assert!(
            lent + floors <= f64::from(count),
            "{count}: {lent} and {floors}"
        );
        assert!(lent > 0.89 * f64::from(count), "{count}: {lent}");
    }
}

#[test]
fn the_one_who_lends_is_asked_at_most_so_often() {
    for nodes in [1, 10, 300, 3000, 20_000] {
        let rhythm = QuotaTiming::of(nodes);
        assert!(
            u64::from(nodes) * SECOND / rhythm.urgent <= 2 * QUESTIONS
                && rhythm.life > 2 * rhythm.renew
        );
    }
    assert_eq!(QuotaTiming::of(300).life, 3 * SECOND);
}
