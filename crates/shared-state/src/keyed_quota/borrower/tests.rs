use super::super::KeyGrant;
use super::*;
use crate::SECOND;
use crate::keyed_quota::{QuotaGrant, QuotaRequest};
use crate::shorter;

fn rate(count: u32, burst: u32, floor: u32) -> KeyedQuota {
    let kind = QuotaKind::Rate {
        count,
        period: SECOND,
        burst,
    };
    KeyedQuota {
        name: "r".into(),
        kind,
        floor,
        nodes_most: 4,
    }
}

fn wallet(budget: &KeyedQuota) -> QuotaBorrower {
    QuotaBorrower::new(
        0,
        std::slice::from_ref(budget),
        QuotaTiming::of(4),
        1 << 20,
        1,
    )
}

fn take(wallet: &mut QuotaBorrower, now: Nanos, budget: &KeyedQuota, key: u64) -> bool {
    let fits = wallet.fits(now, budget.id(), key).is_ok();
    if fits {
        wallet.take(now, budget.id(), key);
    }
    fits
}

fn answer(wallet: &mut QuotaBorrower, now: Nanos, asked: &QuotaRequest, adds: u32, wait: Nanos) {
    let keys = asked
        .keys
        .iter()
        .map(|k| KeyGrant {
            budget: k.budget,
            key: k.key,
            adds,
            wait,
        })
        .collect();
    let life = QuotaTiming::of(4).life;
    wallet.lent(
        now,
        &QuotaGrant {
            no: asked.no,
            stamp: asked.stamp,
            life,
            keys,
        },
    );
}

const T: Nanos = 1000 * SECOND;

#[test]
fn without_a_floor_the_first_one_hears_when_to_come_back_and_the_second_passes() {
    let budget = rate(10, 20, 0);
    let mut wallet = wallet(&budget);
    let refused = wallet.fits(T, budget.id(), 7).unwrap_err();
    assert!(
        refused.why == RefusalReason::Asked && refused.pause <= 100 * MILLISECOND,
        "{refused:?}"
    );
    let due = wallet.next(T).unwrap();
    assert_eq!((due, wallet.ask(T)), (T + TOGETHER, None));
    let asked = wallet.ask(due).unwrap();
    assert_eq!((asked.keys.len(), asked.keys[0].wants > 0), (1, true));
    answer(&mut wallet, due + MILLISECOND, &asked, 2, 0);
    let later = T + refused.pause;
    assert!(take(&mut wallet, later, &budget, 7) && take(&mut wallet, later, &budget, 7));
    assert!(!take(&mut wallet, later, &budget, 7), "two were lent");
    assert!(!take(&mut wallet, later, &budget, 8), "another key");
}

#[test]
fn what_was_lent_ends_with_its_time_counted_from_the_question() {
    let budget = rate(10, 20, 0);
    let mut wallet = wallet(&budget);
    let _ = wallet.fits(T, budget.id(), 7);
    let asked = wallet.ask(T + TOGETHER).unwrap();
    answer(&mut wallet, T + SECOND, &asked, 5, 0);
    let until = T + TOGETHER + shorter(QuotaTiming::of(4).life);
    assert_eq!(
        (
            wallet.units(until - 1, budget.id(), 7),
            wallet.units(until, budget.id(), 7)
        ),
        (5, 0)
    );
}

/// The one who lends goes by the latest question; an answer to an earlier one must not count
/// beside it.
#[test]
fn an_answer_that_was_overtaken_by_a_question_counts_for_nothing() {
    let budget = rate(10, 20, 0);
    let mut wallet = wallet(&budget);
    let _ = wallet.fits(T, budget.id(), 7);
    let first = wallet.ask(T + TOGETHER).unwrap();
    let _ = wallet.fits(T + SECOND, budget.id(), 7);
    let second = wallet.ask(T + SECOND + TOGETHER).unwrap();
    answer(&mut wallet, T + SECOND + 2 * TOGETHER, &first, 5, 0);
    assert_eq!(wallet.units(T + 2 * SECOND, budget.id(), 7), 0);
    answer(&mut wallet, T + SECOND + 2 * TOGETHER, &second, 3, 0);
    answer(&mut wallet, T + SECOND + 2 * TOGETHER, &second, 3, 0); // twice
    assert_eq!(wallet.units(T + 2 * SECOND, budget.id(), 7), 3);
}

#[test]
fn a_deaf_node_has_its_floor_and_says_so() {
    let budget = rate(32, 20, 2);
    let mut wallet = wallet(&budget);
    // 32 a second, a sixteenth as floors of four nodes: one every two seconds, and two saved.
    let passed = (0..200)
        .filter(|n| take(&mut wallet, T + n * 100 * MILLISECOND, &budget, 7))
        .count();
    assert!((10..=12).contains(&passed), "{passed} in 20 s");
    for n in 0..200 {
        let _ = wallet.ask(T + n * 100 * MILLISECOND);
    }
    let now = T + 20 * SECOND;
    let _ = (wallet.fits(now, budget.id(), 7), wallet.ask(now + SECOND));
    let refused = wallet.fits(now + SECOND, budget.id(), 7);
    assert!(
        refused.is_ok()
            || refused
                .is_err_and(|r| r.why == RefusalReason::Deaf && r.pause <= 2200 * MILLISECOND)
    );
}

/// Floors are empty at the start, or restarts would make units.
#[test]
fn one_that_returns_cold_has_no_floor_saved() {
    let budget = rate(32, 20, 2);
    let mut wallet = QuotaBorrower::new(
        T,
        std::slice::from_ref(&budget),
        QuotaTiming::of(4),
        1 << 20,
        1,
    );
    assert!(!take(&mut wallet, T, &budget, 7) && !take(&mut wallet, T + SECOND, &budget, 9));
    assert!(take(&mut wallet, T + 3 * SECOND, &budget, 11));
}

#[test]
fn short_says_when_and_asks_no_more_until_then() {
    let budget = rate(10, 20, 0);
    let mut wallet = wallet(&budget);
    let _ = wallet.fits(T, budget.id(), 7);
    let asked = wallet.ask(T + TOGETHER).unwrap();
    answer(
        &mut wallet,
        T + 20 * MILLISECOND,
        &asked,
        0,
        500 * MILLISECOND,
    );
    let refused = wallet
        .fits(T + 120 * MILLISECOND, budget.id(), 7)
        .unwrap_err();
    assert_eq!(
        refused,
        QuotaExceeded {
            why: RefusalReason::Short,
            pause: 400 * MILLISECOND
        }
    );
    assert_eq!(wallet.ask(T + 300 * MILLISECOND), None);
    let _ = wallet.fits(T + 520 * MILLISECOND, budget.id(), 7);
    assert!(wallet.ask(T + 540 * MILLISECOND).is_some());
}

#[test]
fn what_is_not_needed_goes_back_and_keys_that_are_idle_are_forgotten() {
    let budget = rate(1000, 2000, 0);
    let mut wallet = wallet(&budget);
    let _ = wallet.fits(T, budget.id(), 7);
    let asked = wallet.ask(T + TOGETHER).unwrap();
    answer(&mut wallet, T + 20 * MILLISECOND, &asked, 100, 0);
    assert!(take(&mut wallet, T + 30 * MILLISECOND, &budget, 7));
    let (mut now, mut back, mut left) = (T, 0, u32::MAX);
    for _ in 0..200 {
        now += 200 * MILLISECOND;
        if let Some(asked) = wallet.ask(now) {
            back += asked.keys[0].back;
            left = asked.keys[0].left;
            answer(&mut wallet, now, &asked, 0, 0);
        }
    }
    assert_eq!((back, left, wallet.keys()), (99, 0, 0), "one was used");
}

#[test]
fn places_in_hand_are_held_until_done_whatever_becomes_of_the_part() {
    let kind = QuotaKind::InHand {
        limit: 10,
        longest: SECOND,
    };
    let budget = KeyedQuota {
        kind,
        ..rate(1, 1, 1)
    };
    let mut wallet = wallet(&budget);
    assert!(take(&mut wallet, T, &budget, 7) && !take(&mut wallet, T, &budget, 7));
    let asked = wallet.ask(T + TOGETHER).unwrap();
    answer(&mut wallet, T + TOGETHER, &asked, 2, 0);
    assert!(
        take(&mut wallet, T + TOGETHER, &budget, 7) && take(&mut wallet, T + TOGETHER, &budget, 7)
    );
    assert!(!take(&mut wallet, T + TOGETHER, &budget, 7));
    // Its time is over: three are in hand, two of them not by the floor, and that is said.
    let late = T + 20 * SECOND;
    assert!(!take(&mut wallet, late, &budget, 7));
    let asked = (0..20).find_map(|n| wallet.ask(late + n * SECOND)).unwrap();
    assert_eq!(asked.keys[0].left, 2);
    (0..3).for_each(|_| wallet.done(budget.id(), 7));
    assert_eq!(wallet.in_hand(budget.id(), 7), 0);
    assert!(wallet.let_go());
}

#[test]
fn pockets_are_bounded_and_nothing_is_forgiven_by_being_pushed_out() {
    let budget = rate(32, 20, 1);
    let mut wallet = QuotaBorrower::new(
        0,
        std::slice::from_ref(&budget),
        QuotaTiming::of(4),
        64 * POCKET_BYTES,
        1,
    );
    assert!(take(&mut wallet, T, &budget, 7));
    let passed = (100..400)
        .filter(|key| take(&mut wallet, T, &budget, *key))
        .count();
    assert!(
        wallet.keys() <= 56 && passed > 100,
        "{} {passed}",
        wallet.keys()
    );
    assert!(!take(&mut wallet, T, &budget, 7), "its floor was used");
}
