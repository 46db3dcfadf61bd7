use super::*;

#[test]
fn beyond_the_rate_lines_are_counted_and_told_in_the_next_second() {
    assert!((0..MOST).all(|_| permit_in(1) == Some(0)));
    assert!((0..5).all(|_| permit_in(1).is_none()));
    assert_eq!(permit_in(2), Some(5));
    assert_eq!(permit_in(2), Some(0));
}
