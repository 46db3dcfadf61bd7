use super::*;

#[test]
fn patterns_match_anywhere_and_oversized_patterns_are_refused() {
    let pattern = Pattern::new("^[a-z]+-[0-9]{2,4}$").unwrap();
    assert!(
        pattern.matches("ankara-12")
            && !pattern.matches("ankara-1")
            && !pattern.matches("x ankara-12")
    );
    assert!(Pattern::new("yaz").unwrap().matches("gun-yaz/1"));
    assert!(Pattern::new("ş").unwrap().matches("maaş"));
    let what = Pattern::new("(a|b").map(|_| ()).unwrap_err().found;
    assert!(
        what.starts_with("not a valid pattern: unclosed group"),
        "{what}"
    );
    for large in ["[a-z]{1000}{1000}", "[ab]*a[ab]{14}c"] {
        let what = Pattern::new(large).map(|_| ()).unwrap_err().found;
        assert!(what.contains("large"), "{large}: {what}");
    }
    // A pattern that makes backtracking engines take exponential time takes one lookup per byte.
    let evil = Pattern::new("(a*)*b").unwrap();
    assert!(!evil.matches(&"a".repeat(4096)));
}
