use super::*;

#[test]
fn patterns_match_anywhere_and_too_large_ones_are_refused() {
    let pattern = Pattern::new("^[a-z]+-[0-9]{2,4}$").unwrap();
    assert!(
        pattern.matches("ankara-12")
            && !pattern.matches("ankara-1")
            && !pattern.matches("x ankara-12")
    );
    assert!(Pattern::new("yaz").unwrap().matches("gun-yaz/1"));
    assert!(Pattern::new("ş").unwrap().matches("maaş"));
    let what = Pattern::new("(a|b").map(|_| ()).unwrap_err().found;
    assert!(what.starts_with("no pattern: unclosed group"), "{what}");
    for large in ["[a-z]{1000}{1000}", "[ab]*a[ab]{14}c"] {
        let what = Pattern::new(large).map(|_| ()).unwrap_err().found;
        assert!(what.contains("large"), "{large}: {what}");
    }
    // What makes others go back over the text again and again takes one look a byte here.
    let evil = Pattern::new("(a*)*b").unwrap();
    assert!(!evil.matches(&"a".repeat(4096)));
}
