use super::*;

#[test]
fn each_confirmation_shortens_the_timeout_down_to_the_minimum() {
    let mut suspicions = Suspicions::default();
    let mut dues = Vec::new();
    for suspected_by in 1..=6 {
        suspicions.suspect(100, MemberKey(7), MemberKey(suspected_by), (1000, 6000));
        dues.push(suspicions.next(0).unwrap());
    }
    assert_eq!((dues[0], dues[3], dues[5]), (6100, 1100, 1100));
    assert!(dues.windows(2).all(|two| two[1] <= two[0]), "{dues:?}");
    assert!(
        !suspicions.suspect(200, MemberKey(7), MemberKey(2), (1000, 6000)),
        "a second suspicion by the same member confirms nothing"
    );
}

#[test]
fn no_suspect_is_declared_dead_before_the_time_of_a_last_call() {
    let mut suspicions = Suspicions::default();
    suspicions.suspect(100, MemberKey(7), MemberKey(1), (1000, 1000));
    assert_eq!(
        (suspicions.next(300), suspicions.due(799, 300)),
        (Some(800), DueSuspicions::default())
    );
    let call = || DueSuspicions {
        last_calls: vec![MemberKey(7)],
        expired: vec![],
    };
    assert_eq!(
        (suspicions.due(850, 300), suspicions.due(949, 300)),
        (call(), DueSuspicions::default())
    );
    assert_eq!(
        (suspicions.due(950, 300), suspicions.due(1050, 300)),
        (call(), call())
    );
    assert_eq!(
        (suspicions.next(300), suspicions.due(1149, 300)),
        (Some(1150), DueSuspicions::default())
    );
    suspicions.postpone(500); // after a pause the last calls are sent again
    assert_eq!(
        (
            suspicions.due(1300, 300),
            suspicions.due(1400, 300),
            suspicions.due(1500, 300)
        ),
        (call(), call(), call())
    );
    assert_eq!(
        suspicions.due(1600, 300),
        DueSuspicions {
            last_calls: vec![],
            expired: vec![MemberKey(7)]
        }
    );
    assert_eq!(suspicions.len(), 0);
}
