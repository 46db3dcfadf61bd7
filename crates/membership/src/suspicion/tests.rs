use super::*;

#[test]
fn a_suspect_has_less_time_the_more_confirm_and_never_less_than_the_least() {
    let mut all = Suspicions::default();
    let mut dues = Vec::new();
    for suspected_by in 1..=6 {
        all.suspect(100, MemberKey(7), MemberKey(suspected_by), (1000, 6000));
        dues.push(all.next(0).unwrap());
    }
    assert_eq!((dues[0], dues[3], dues[5]), (6100, 1100, 1100));
    assert!(dues.windows(2).all(|two| two[1] <= two[0]), "{dues:?}");
    assert!(
        !all.suspect(200, MemberKey(7), MemberKey(2), (1000, 6000)),
        "the same accuser confirms nothing"
    );
}

#[test]
fn nobody_is_buried_without_a_last_call_and_its_time() {
    let mut all = Suspicions::default();
    all.suspect(100, MemberKey(7), MemberKey(1), (1000, 1000));
    assert_eq!(
        (all.next(300), all.due(799, 300)),
        (Some(800), DueSuspicions::default())
    );
    let call = || DueSuspicions {
        last_calls: vec![MemberKey(7)],
        expired: vec![],
    };
    assert_eq!(
        (all.due(850, 300), all.due(949, 300)),
        (call(), DueSuspicions::default())
    );
    assert_eq!((all.due(950, 300), all.due(1050, 300)), (call(), call()));
    assert_eq!(
        (all.next(300), all.due(1149, 300)),
        (Some(1150), DueSuspicions::default())
    );
    all.postpone(500); // heard nothing meanwhile: called again
    assert_eq!(
        (all.due(1300, 300), all.due(1400, 300), all.due(1500, 300)),
        (call(), call(), call())
    );
    assert_eq!(
        all.due(1600, 300),
        DueSuspicions {
            last_calls: vec![],
            expired: vec![MemberKey(7)]
        }
    );
    assert_eq!(all.len(), 0);
}
