use super::*;
use crate::change::tests::change;

fn piece(content: &[u8], no: u32) -> Order {
    let bytes = pieces::piece(content, no).unwrap().to_vec();
    let (size, digest) = (content.len() as u32, pieces::digest(content).to_vec());
    Order {
        kind: order::PIECE,
        no,
        bytes,
        size,
        digest,
        ..Order::default()
    }
}

fn offer(content: &[u8]) -> Order {
    Order {
        kind: order::OFFER,
        digest: pieces::digest(content).to_vec(),
        ..Order::default()
    }
}

fn state(act: &Act) -> Option<u32> {
    match act {
        Act::Answer(answered) => Some(answered.state),
        _ => None,
    }
}

fn ordered(orders: &mut Orders, now: Nanos, said: &Order) -> Act {
    orders.order(now, Kind::Settings, &Changes::default(), said)
}

fn looked(orders: &mut Orders, no: u64, found: Result<Version, String>) -> Option<Change> {
    let good = Version { number: 4, hash: 1 };
    let of = (Kind::Settings, 7, 1000);
    let offered = orders.looked_into(no, found, of, &Changes::default(), good, &Plan::default());
    offered.map(|(change, content)| {
        assert_eq!(content.map(|c| c.len() as u32), Some(change.bytes));
        change
    })
}

#[test]
fn a_content_in_pieces_is_offered_once_however_often_that_is_ordered() {
    let (content, mut orders) = (vec![9; 3000], Orders::default());
    assert_eq!(
        state(&ordered(&mut orders, 0, &offer(&content))),
        Some(state::REFUSED)
    );
    for no in [2, 0, 0, 1] {
        assert_eq!(
            state(&ordered(&mut orders, 0, &piece(&content, no))),
            Some(state::TAKEN)
        );
    }
    let Act::LookInto {
        no,
        content: Some(whole),
        ..
    } = ordered(&mut orders, 0, &offer(&content))
    else {
        panic!("it is looked into")
    };
    assert_eq!(whole, content);
    assert_eq!(
        state(&ordered(&mut orders, 1, &offer(&content))),
        Some(state::LATER)
    );
    let version = Version {
        number: 5,
        hash: 55,
    };
    let change = looked(&mut orders, no, Ok(version)).unwrap();
    assert_eq!(
        (change.version, change.base.number, change.by),
        (version, 4, 7)
    );
    assert!(
        looked(&mut orders, no, Ok(version)).is_none(),
        "answered once"
    );
    let again = ordered(&mut orders, 2, &offer(&content));
    assert_eq!(again, Act::Answer(answer(state::TAKEN, "", change.id.0)));
}

#[test]
fn what_is_bad_old_or_spoilt_is_refused_with_the_reason() {
    let (content, mut orders) = (vec![9; 100], Orders::default());
    let mut spoilt = piece(&content, 0);
    spoilt.bytes[5] ^= 1;
    ordered(&mut orders, 0, &spoilt);
    assert_eq!(
        state(&ordered(&mut orders, 0, &offer(&content))),
        Some(state::REFUSED)
    );
    ordered(&mut orders, 0, &piece(&content, 0));
    let Act::LookInto { no, .. } = ordered(&mut orders, 0, &offer(&content)) else {
        panic!()
    };
    assert!(looked(&mut orders, no, Ok(Version { number: 4, hash: 9 })).is_none());
    let Act::Answer(answered) = ordered(&mut orders, 0, &offer(&content)) else {
        panic!()
    };
    assert!(
        answered.why.contains("not higher than 4"),
        "{}",
        answered.why
    );
    let other = vec![8; 2000];
    ordered(&mut orders, 0, &piece(&other, 0));
    assert_eq!(
        state(&ordered(&mut orders, 0, &piece(&content, 0))),
        Some(state::LATER),
        "one at a time"
    );
    assert_eq!(
        state(&ordered(&mut orders, GIVEN_UP, &piece(&content, 0))),
        Some(state::TAKEN)
    );
    let large = Order {
        size: CONTENT_MAX as u32 + 1,
        ..piece(&content, 0)
    };
    assert_eq!(
        state(&ordered(&mut orders, 0, &large)),
        Some(state::REFUSED)
    );
    assert_eq!(
        state(&ordered(
            &mut orders,
            0,
            &Order {
                no: 9,
                ..piece(&content, 0)
            }
        )),
        Some(state::REFUSED)
    );
}

#[test]
fn a_halt_or_a_way_back_is_for_the_current_change_and_is_taken_again() {
    let (mut changes, mut orders) = (Changes::default(), Orders::default());
    let halt = Order {
        kind: order::HALT,
        ..Order::default()
    };
    let back = Order {
        kind: order::BACK,
        why: "it smells".into(),
        ..Order::default()
    };
    let mut act = |changes: &Changes, said: &Order| orders.order(0, Kind::Settings, changes, said);
    assert_eq!(state(&act(&changes, &halt)), Some(state::REFUSED));
    changes.hear(&change(3, 9));
    assert!(matches!(
        act(&changes, &halt),
        Act::End {
            id: ChangeId(3),
            fate: Fate::Halted,
            ..
        }
    ));
    changes.end(ChangeId(3), Fate::Halted, Reason::new(1, 1, "x"));
    assert_eq!(state(&act(&changes, &halt)), Some(state::TAKEN));
    let Act::End {
        fate: Fate::Back,
        why,
        ..
    } = act(&changes, &back)
    else {
        panic!()
    };
    assert_eq!(why, "it smells");
    assert_eq!(
        state(&act(&changes, &Order { change: 99, ..back })),
        Some(state::REFUSED)
    );
    let program = Order {
        kind: order::OFFER,
        number: 7,
        hash: 8,
        ..Order::default()
    };
    let act = orders.order(0, Kind::Program, &changes, &program);
    let version = Some(Version { number: 7, hash: 8 });
    assert!(matches!(act, Act::LookInto { version: v, content: None, .. } if v == version));
}
