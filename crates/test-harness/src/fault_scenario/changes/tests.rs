use super::*;

#[test]
fn what_is_not_allowed_is_found_in_the_record() {
    let mut checked = Checked::default();
    for (who, line) in [
        ("n0", "change 0a: version 2 (aa) is staged"),
        ("n0", "change 0a: stage 1 begins"),
        ("n0", "version 2 (aa) is on trial, in place of 1 (bb)"),
        ("n1", "change 0a: back, errs"),
        ("n0", "change 0a: back, errs"),
        ("n0", "version 1 (bb) is in force, in place of 2 (aa)"),
    ] {
        checked.line(who, &format!("settings: {line}"));
    }
    assert_eq!(
        (checked.wrong.len(), checked.most[&2]),
        (0, 1),
        "{:?}",
        checked.wrong
    );
    checked.line("n1", "settings: change 0a: stage 2 begins");
    checked.line(
        "n1",
        "settings: version 2 (aa) is on trial, in place of 1 (bb)",
    );
    assert_eq!(checked.wrong.len(), 2, "{:?}", checked.wrong);
}
