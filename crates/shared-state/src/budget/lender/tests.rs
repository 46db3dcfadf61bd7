use super::*;

const TERM: Nanos = 1000;

fn who(key: u64) -> ProcessId {
    ProcessId { key, life: key }
}

fn wants(wants: u32) -> Demand {
    Demand {
        zone: 0,
        wants,
        value: 1.0,
    }
}

fn begun() -> BudgetLender {
    BudgetLender::new(0, 7, 100, TERM, 0, 64)
}

const LATER: Nanos = 5000;
const LONG: Nanos = 1 << 40;

#[test]
fn nothing_is_lent_until_what_was_out_before_is_gone() {
    let mut books = begun();
    assert_eq!(
        (
            books.ask(500, who(1), (0, 0), wants(9), LONG),
            books.out(500)
        ),
        (None, 100)
    );
    assert!(books.ask(1100, who(1), (0, 0), wants(9), LONG).is_some());
}

#[test]
fn a_unit_moves_only_when_its_holder_said_that_it_let_go_or_its_time_is_over() {
    let mut books = begun();
    let first = books.ask(LATER, who(1), (0, 0), wants(100), LONG).unwrap();
    assert_eq!(first.units, 100);
    // Another one comes and wants half: there is nothing yet.
    assert_eq!(
        books
            .ask(LATER, who(2), (0, 0), wants(100), LONG)
            .unwrap()
            .units,
        0
    );
    // The first one hears that it has half now, but has not said so.
    let second = books
        .ask(LATER + 100, who(1), (7, first.no), wants(100), LONG)
        .unwrap();
    assert_eq!(second.units, 50);
    assert_eq!(
        books
            .ask(LATER + 200, who(2), (0, 0), wants(100), LONG)
            .unwrap()
            .units,
        0
    );
    // It holds the second part and no other.
    let _ = books.ask(LATER + 300, who(1), (7, second.no), wants(100), LONG);
    assert_eq!(
        books
            .ask(LATER + 300, who(2), (0, 0), wants(100), LONG)
            .unwrap()
            .units,
        50
    );
    // It is heard of no more: its units come back after their time, and not before.
    let ends = LATER + 300 + longer(TERM);
    assert_eq!(
        books
            .ask(ends - 1, who(2), (0, 0), wants(100), LONG)
            .unwrap()
            .units,
        50
    );
    assert_eq!(
        books
            .ask(ends, who(2), (0, 0), wants(100), LONG)
            .unwrap()
            .units,
        50
    ); // the first one is still owed its half
    assert_eq!(
        books
            .ask(ends + 5 * TERM, who(2), (0, 0), wants(100), LONG)
            .unwrap()
            .units,
        100
    );
}

/// A number of another book is no word about this one: what is under way to the borrower stays
/// lent.
#[test]
fn what_is_held_of_another_book_frees_nothing() {
    let mut books = begun();
    assert_eq!(
        books
            .ask(LATER, who(1), (0, 0), wants(100), LONG)
            .unwrap()
            .units,
        100
    );
    let _ = books.ask(LATER + 1, who(2), (0, 0), wants(100), LONG);
    let _ = books.ask(LATER + 2, who(1), (3, 99), wants(100), LONG);
    assert_eq!(
        books
            .ask(LATER + 3, who(2), (3, 99), wants(100), LONG)
            .unwrap()
            .units,
        0
    );
}

/// Calls in hand at the end of a part go on for a while: their units are not lent again before.
#[test]
fn units_in_use_beyond_the_end_of_a_part_come_back_after_their_lag() {
    let mut books = BudgetLender::new(0, 7, 100, TERM, 500, 64);
    let _ = books.ask(LATER, who(1), (0, 0), wants(100), LONG);
    let ends = LATER + longer(TERM);
    assert_eq!(
        books
            .ask(ends + 499, who(2), (0, 0), wants(100), LONG)
            .unwrap()
            .units,
        0
    );
    assert!(
        books
            .ask(ends + 500, who(2), (0, 0), wants(100), LONG)
            .unwrap()
            .units
            >= 50
    );
}

#[test]
fn one_that_returns_under_its_name_is_another_borrower() {
    let mut books = begun();
    let old = books.ask(LATER, who(1), (0, 0), wants(100), LONG).unwrap();
    assert_eq!(old.units, 100);
    let new = ProcessId { key: 1, life: 77 };
    assert_eq!(
        books
            .ask(LATER + 10, new, (0, 0), wants(100), LONG)
            .unwrap()
            .units,
        0
    );
}

#[test]
fn a_smaller_limit_lends_nothing_until_enough_came_back_and_no_part_outlives_the_lender() {
    let mut books = begun();
    let part = books.ask(LATER, who(1), (0, 0), wants(100), LONG).unwrap();
    books.resize(30);
    assert_eq!(
        books
            .ask(LATER + 1, who(2), (0, 0), wants(30), LONG)
            .unwrap()
            .units,
        0
    );
    assert_eq!(
        books
            .ask(LATER + 2, who(1), (7, part.no), wants(100), LONG)
            .unwrap()
            .units,
        15
    );
    assert_eq!(
        books.ask(LATER + 3, who(1), (7, part.no), wants(100), LATER + 500),
        None
    );
}

#[test]
fn accounts_are_bounded_and_those_long_silent_forgotten() {
    let mut books = BudgetLender::new(0, 7, 100, TERM, 0, 3);
    let lent = (1..=5)
        .filter(|n| books.ask(LATER, who(*n), (0, 0), wants(1), LONG).is_some())
        .count();
    assert_eq!((lent, books.borrowers()), (3, 3));
    let _ = books.ask(LATER + 20 * TERM, who(1), (0, 0), wants(1), LONG);
    assert_eq!(books.borrowers(), 1);
}
