use super::*;

#[test]
fn stages_after_the_outcome_and_trials_of_unstaged_versions_are_violations() {
    let mut checker = RolloutChecker::default();
    for (name, line) in [
        ("n0", "change 0a: version 2 (aa) is staged"),
        ("n0", "change 0a: stage 1 begins"),
        ("n0", "version 2 (aa) is on trial, in place of 1 (bb)"),
        ("n1", "change 0a: back, errs"),
        ("n0", "change 0a: back, errs"),
        ("n0", "version 1 (bb) is in force, in place of 2 (aa)"),
    ] {
        checker.line(name, &format!("settings: {line}"));
    }
    assert_eq!(
        (checker.violations.len(), checker.most_on_trial[&2]),
        (0, 1),
        "{:?}",
        checker.violations
    );
    checker.line("n1", "settings: change 0a: stage 2 begins");
    checker.line(
        "n1",
        "settings: version 2 (aa) is on trial, in place of 1 (bb)",
    );
    assert_eq!(checker.violations.len(), 2, "{:?}", checker.violations);
}
