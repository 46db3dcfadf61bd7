use super::*;
use crate::SECOND;
use rand::seq::SliceRandom;

fn who(key: u64) -> ProcessId {
    ProcessId { key, life: key }
}

fn rate(count: u32, burst: u32) -> KeyedQuota {
    let kind = QuotaKind::Rate {
        count,
        period: SECOND,
        burst,
    };
    KeyedQuota {
        name: "r".into(),
        kind,
        floor: 0,
        nodes_most: 10,
    }
}

fn in_hand(limit: u32) -> KeyedQuota {
    KeyedQuota {
        kind: QuotaKind::InHand {
            limit,
            longest: SECOND,
        },
        ..rate(1, 1)
    }
}

fn books(budget: &KeyedQuota) -> QuotaLender {
    QuotaLender::new(
        0,
        std::slice::from_ref(budget),
        QuotaTiming::of(10),
        1 << 20,
        1,
    )
}

fn ask(budget: &KeyedQuota, no: u32, left: u32, back: u32, wants: u32) -> QuotaRequest {
    let budget = budget.id();
    QuotaRequest {
        no,
        stamp: 0,
        keys: vec![KeyRequest {
            budget,
            key: 7,
            left,
            back,
            wants,
        }],
    }
}

fn adds(lent: Option<QuotaGrant>) -> Option<u32> {
    lent.and_then(|lent| lent.keys.first().map(|key| key.adds))
}

#[test]
fn nothing_is_lent_before_what_was_out_is_gone_and_then_all_is_made_anew() {
    let budget = rate(10, 20);
    let mut books = books(&budget);
    assert_eq!(
        books.ask(books.opens() - 1, who(1), &ask(&budget, 1, 0, 0, 5)),
        None
    );
    assert_eq!(
        adds(books.ask(books.opens(), who(1), &ask(&budget, 2, 0, 0, 5))),
        Some(0)
    );
    // A second later some nine were made, a tenth of a second apart; they are lent once.
    let later = books.opens() + SECOND;
    assert_eq!(
        adds(books.ask(later, who(1), &ask(&budget, 3, 0, 0, 50))),
        Some(9)
    );
    assert_eq!(
        adds(books.ask(later, who(2), &ask(&budget, 1, 0, 0, 50))),
        Some(0)
    );
}

/// What lies in pockets counts as saved: however long nobody asks, no more exists than may.
#[test]
fn no_more_exists_than_may_be_saved() {
    let budget = rate(10, 20);
    let mut books = books(&budget);
    let now = books.opens() + 100 * SECOND;
    assert_eq!(
        adds(books.ask(now, who(1), &ask(&budget, 1, 0, 0, 20))),
        Some(20)
    );
    let later = now + SECOND;
    assert_eq!(
        adds(books.ask(later, who(2), &ask(&budget, 1, 0, 0, 20))),
        Some(0)
    );
    // The first one says that it spent 15 and gives 3 back; the others are made again one by
    // one.
    assert_eq!(
        adds(books.ask(later, who(1), &ask(&budget, 2, 2, 3, 0))),
        Some(0)
    );
    assert_eq!(
        adds(books.ask(later, who(2), &ask(&budget, 2, 0, 0, 3))),
        Some(3)
    );
    let much_later = later + SECOND / 2;
    assert_eq!(
        adds(books.ask(much_later, who(2), &ask(&budget, 3, 0, 0, 4))),
        Some(4)
    );
    assert_eq!(books.key(budget.id(), 7), Some((0, 6, 6, 2)));
}

/// A pocket that is heard of no more ends after its time and not before, and its units are made
/// anew, not found again.
#[test]
fn a_lost_pocket_comes_back_after_its_time_and_not_before() {
    let budget = rate(1000, 20);
    let mut books = books(&budget);
    let now = books.opens() + 100 * SECOND;
    assert_eq!(
        adds(books.ask(now, who(1), &ask(&budget, 1, 0, 0, 20))),
        Some(20)
    );
    let gone = now + longer(QuotaTiming::of(10).life);
    assert_eq!(
        adds(books.ask(gone - 1, who(2), &ask(&budget, 1, 0, 0, 20))),
        Some(0)
    );
    assert_eq!(
        adds(books.ask(gone, who(2), &ask(&budget, 2, 0, 0, 20))),
        Some(0)
    );
    assert_eq!(
        adds(books.ask(gone + SECOND / 100, who(2), &ask(&budget, 3, 0, 0, 20))),
        Some(9)
    );
    // The same if nobody looked meanwhile: it could have been spent at the last moment of its
    // time.
    let mut books = self::books(&budget);
    assert_eq!(
        adds(books.ask(now, who(1), &ask(&budget, 1, 0, 0, 20))),
        Some(20)
    );
    assert_eq!(
        adds(books.ask(gone + SECOND / 100, who(2), &ask(&budget, 1, 0, 0, 20))),
        Some(9)
    );
}

#[test]
fn a_question_that_was_overtaken_changes_nothing() {
    let budget = rate(10, 20);
    let mut books = books(&budget);
    let now = books.opens() + 100 * SECOND;
    assert_eq!(
        adds(books.ask(now, who(1), &ask(&budget, 4, 0, 0, 10))),
        Some(10)
    );
    assert_eq!(
        books
            .ask(now, who(1), &ask(&budget, 3, 0, 0, 10))
            .unwrap()
            .keys,
        []
    );
    assert_eq!(
        books
            .ask(now, who(1), &ask(&budget, 4, 0, 0, 10))
            .unwrap()
            .keys,
        []
    );
    assert_eq!(books.key(budget.id(), 7), Some((10, 10, 10, 1)));
}

#[test]
fn places_in_hand_are_kept_until_they_are_let_go_of_or_long_over() {
    let budget = in_hand(10);
    let mut books = books(&budget);
    let now = books.opens();
    assert_eq!(
        adds(books.ask(now, who(1), &ask(&budget, 1, 0, 0, 8))),
        Some(8)
    );
    assert_eq!(
        adds(books.ask(now, who(2), &ask(&budget, 1, 0, 0, 2))),
        Some(2)
    );
    assert_eq!(
        adds(books.ask(now, who(1), &ask(&budget, 2, 5, 3, 0))),
        Some(0)
    );
    assert_eq!(
        adds(books.ask(now, who(2), &ask(&budget, 2, 2, 0, 8))),
        Some(3)
    );
    // The first one is gone: its places come back after its time and the longest use.
    let gone = now + longer(QuotaTiming::of(10).life) + SECOND;
    let renewed =
        |books: &mut QuotaLender, no, at| adds(books.ask(at, who(2), &ask(&budget, no, 5, 0, 5)));
    assert_eq!(renewed(&mut books, 3, gone - 1), Some(0));
    assert_eq!(renewed(&mut books, 4, gone), Some(5));
}

/// Where there is too little, each gets by what it needs, and no question takes all.
#[test]
fn what_is_short_is_shared_by_need() {
    let budget = rate(100, 100);
    let mut books = books(&budget);
    let mut now = books.opens() + 100 * SECOND;
    let (mut got, mut rng) = ([0, 0, 0], Pcg64Mcg::seed_from_u64(1));
    for no in 1..400 {
        now += SECOND / 4;
        let mut turn = [(0, 60), (1, 30), (2, 30)];
        turn.shuffle(&mut rng);
        for (n, needs) in turn {
            let lent = books.ask(now, who(n as u64), &ask(&budget, no, 0, 0, needs));
            got[n] += adds(lent).unwrap_or(0);
        }
    }
    let all: u32 = got.iter().sum();
    assert!(
        (9200..=10_100).contains(&all),
        "{got:?}: a hundred a second for 100 s"
    );
    assert!(
        (0.4..=0.6).contains(&(f64::from(got[0]) / f64::from(all))),
        "{got:?}"
    );
    assert!(
        (0.8..=1.25).contains(&(f64::from(got[1]) / f64::from(got[2]))),
        "{got:?}"
    );
}

#[test]
fn memory_is_bounded_and_keys_that_nobody_has_are_forgotten() {
    let budget = rate(10, 20);
    let mut books = QuotaLender::new(
        0,
        std::slice::from_ref(&budget),
        QuotaTiming::of(10),
        2 * 100 * KEY_BYTES,
        1,
    );
    let now = books.opens() + 100 * SECOND;
    let one = |key, no| QuotaRequest {
        no,
        stamp: 0,
        keys: vec![KeyRequest {
            budget: budget.id(),
            key,
            left: 0,
            back: 0,
            wants: 1,
        }],
    };
    for key in 0..300 {
        let _ = books.ask(now, who(1), &one(key, key as u32 + 1));
    }
    assert_eq!(books.figures(), (100, 100, 200));
    for n in 0..100 {
        let _ = books.ask(
            now + 60 * SECOND,
            who(1),
            &one(1000 + n % 3, 1000 + n as u32),
        );
    }
    let (keys, pockets, _) = books.figures();
    assert!(keys <= 4 && pockets <= 4, "{:?}", books.figures());
}

#[test]
fn one_that_leaves_gives_its_places_back() {
    let budget = in_hand(4);
    let mut books = books(&budget);
    let now = books.opens();
    assert_eq!(
        adds(books.ask(now, who(1), &ask(&budget, 1, 0, 0, 4))),
        Some(4)
    );
    books.give_back(now, who(1));
    assert_eq!(
        adds(books.ask(now, who(2), &ask(&budget, 1, 0, 0, 4))),
        Some(4)
    );
}
