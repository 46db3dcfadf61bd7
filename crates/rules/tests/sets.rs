//! Rule sets: their output, the errors when they are loaded, and the index compared with a scan of
//! all rules.

mod support;

use madderpoint_rules::{
    AddressSet, Bounds, EvaluationError, Facts, Field, RuleLookup, RuleSet, RuleSource, Scratch,
    Verdict, address::network,
};
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use support::{ExpressionKind, NETWORKS, Request, expression, vocabulary};

fn rule(name: &str, when: &str) -> RuleSource {
    RuleSource {
        name: name.into(),
        when: when.into(),
        ..RuleSource::default()
    }
}

const LARGE_BOUNDS: Bounds = Bounds {
    cost: 1 << 40,
    bytes: 64 << 20,
};

/// Returns a random condition that can be indexed in most cases.
fn condition(rng: &mut Pcg64Mcg) -> String {
    let anchor = match rng.random_range(0..10) {
        0 => format!(
            "tenant == {:?}",
            ["yildiz", "kuzey", "ege"].choose(rng).unwrap()
        ),
        1 => "operation in [\"gun-yaz\"]".into(),
        2 => format!("params.A == {:?}", ["ankara", "a", ""].choose(rng).unwrap()),
        3 => format!("{:?} == params.C", ["12", "a/b/c"].choose(rng).unwrap()),
        4 => {
            format!(
                "script.startsWith({:?})",
                ["/", "/old/", "/old/yaz/", "/call", ""]
                    .choose(rng)
                    .unwrap()
            )
        }
        5 => format!(
            "caller.address in net({:?}, {:?})",
            NETWORKS.choose(rng).unwrap(),
            NETWORKS.choose(rng).unwrap()
        ),
        6 => "caller.address in offices".into(),
        7 => "params.A in [\"ankara\", \"izmir-12\", \"ANKARA\"]".into(),
        8 => format!(
            "params.B.startsWith({:?})",
            ["a", "an", "ankara", "i"].choose(rng).unwrap()
        ),
        _ => expression(rng, ExpressionKind::Bool, 2, &[]),
    };
    match rng.random_range(0..4) {
        0 => anchor,
        1 => format!(
            "{anchor} && {}",
            expression(rng, ExpressionKind::Bool, 2, &[])
        ),
        2 => format!(
            "{} && {anchor} && {}",
            expression(rng, ExpressionKind::Bool, 1, &[]),
            expression(rng, ExpressionKind::Bool, 1, &[])
        ),
        _ => format!("!({anchor})"),
    }
}

#[test]
fn index_and_scan_return_the_same_output() {
    let mut rng = Pcg64Mcg::seed_from_u64(42);
    let (mut matched, mut left_out, mut evaluated_count) = (0, 0, 0);
    for round in 0..150 {
        let rules: Vec<_> = (0..rng.random_range(1..60))
            .map(|i| {
                let mut rule = rule(&format!("r{i}"), &condition(&mut rng));
                if rng.random_range(0..4) == 0 {
                    rule.key = Some(expression(&mut rng, ExpressionKind::Text, 1, &[]));
                }
                rule
            })
            .collect();
        let rules = RuleSet::load(&rules, &vocabulary(), &[], LARGE_BOUNDS).unwrap();
        for _ in 0..100 {
            let request = Request::random(&mut rng);
            let facts = request.facts(&rules);
            let mut scratch = Scratch::new(1);
            let by_scan = rules.decide(&facts, &mut scratch, RuleLookup::Scan);
            let scan = by_scan.output.as_ref().map(|g| (g.place, g.key));
            let by_index = rules.decide(&facts, &mut Scratch::new(1), RuleLookup::Index);
            let index = by_index.output.as_ref().map(|g| (g.place, g.key));
            assert_eq!(index, scan, "round {round}");
            // A rule that fails with the index fails with the same error in the scan.
            assert!(by_index.errors.iter().all(|f| by_scan.errors.contains(f)));
            assert!(by_index.cost <= by_scan.cost && by_index.cost <= rules.max_cost());
            matched += usize::from(index.is_some());
            left_out += by_scan.evaluated_count - by_index.evaluated_count;
            evaluated_count += by_index.evaluated_count;
            let explanations = rules.explain(&facts, &mut scratch);
            assert!(
                explanations
                    .iter()
                    .all(|w| w.evaluated || w.result != Ok(true)),
                "a rule that the index leaves out does not match"
            );
            let (last, before) = explanations.split_last().unwrap();
            assert!(
                before
                    .iter()
                    .all(|w| w.failed.is_some() && w.result != Ok(true))
            );
            assert_eq!(last.failed.is_none(), last.result == Ok(true));
            // A rule whose condition holds can still fail in its output; then a later rule matches.
            assert!(scan.is_none_or(|(place, _)| last.place <= place));
        }
    }
    assert!(
        matched > 3_000 && left_out > evaluated_count,
        "{matched} matched, {evaluated_count} evaluated, {left_out} left out"
    );
}

#[test]
fn matching_rule_returns_its_output_and_failing_output_falls_through() {
    let mut one = rule("yaz", "script.startsWith(\"/old/yaz/\")");
    one.operation = Some("gun-yaz".into());
    one.key = Some("tenant + \"/\" + script.part(\"/\", 3)".into());
    one.rank = Some("peer > 5 ? 0.9 : 0.1".into());
    one.class = Some("urgent".into());
    one.facts = vec![("site".into(), "script.part(\"/\", 3)".into())];
    one.buckets = vec![("by-tenant".into(), "tenant".into())];
    let mut two = rule("stop", "true");
    two.verdict = Some(Verdict::Throttle {
        pause: 5,
        reason: "later".into(),
    });
    let buckets = ["other".to_owned(), "by-tenant".to_owned()];
    let rules = RuleSet::load(&[one, two], &vocabulary(), &buckets, Bounds::default()).unwrap();
    let mut facts = Facts {
        script: "/old/yaz/ankara-1",
        tenant: Some("ege"),
        peer: Some(9),
        ..Facts::default()
    };
    let mut scratch = Scratch::new(3);
    scratch.shows_keys = true;
    let decision = rules.decide(&facts, &mut scratch, RuleLookup::Index);
    let given = decision.output.unwrap();
    assert_eq!(
        (given.place, given.rule.operation, given.rank),
        (0, Some(0), Some(0.9))
    );
    assert_eq!(given.key_text.as_deref(), Some("ege/ankara-1"));
    assert_eq!(
        (given.facts, given.bucket_texts),
        (
            vec![("site", "ankara-1".to_owned())],
            vec!["ege".to_owned()]
        )
    );
    assert_eq!((given.buckets.len(), given.buckets[0].0), (1, 1));
    assert_eq!(
        rules.classes()[usize::from(given.rule.class.unwrap())],
        "urgent"
    );
    let key = given.key;
    // Equal keys have equal hashes with one secret, and different hashes with another secret.
    let same = rules
        .decide(&facts, &mut Scratch::new(3), RuleLookup::Index)
        .output
        .unwrap()
        .key;
    let elsewhere = rules
        .decide(&facts, &mut Scratch::new(4), RuleLookup::Index)
        .output
        .unwrap()
        .key;
    assert!(key == same && key != elsewhere);
    // A rule whose output fails does not match, and the next rule is evaluated.
    facts.script = "/old/yaz/";
    facts.peer = None;
    let decision = rules.decide(&facts, &mut Scratch::new(3), RuleLookup::Index);
    assert_eq!(
        (decision.output.unwrap().place, decision.errors[0]),
        (1, (0, EvaluationError::Absent))
    );
}

#[test]
fn all_errors_of_a_set_are_reported_at_once_with_their_rules_and_fields() {
    let mut bad = rule("a", "tenant == 5");
    bad.operation = Some("gun-sil".into());
    bad.key = Some("peer".into());
    bad.rank = Some("2".into());
    bad.facts = vec![
        ("ok".into(), "tenant".into()),
        ("bad".into(), "estimate".into()),
    ];
    bad.buckets = vec![("none".into(), "tenant".into())];
    let problems = RuleSet::load(
        &[rule("ok", "true"), bad, rule("c", "1 +")],
        &vocabulary(),
        &[],
        Bounds::default(),
    );
    let problems = problems.map(|_| ()).unwrap_err();
    let places: Vec<_> = problems
        .iter()
        .map(|p| (p.rule.unwrap(), p.field))
        .collect();
    let expected = [
        (1, Field::Operation),
        (1, Field::When),
        (1, Field::Key),
        (1, Field::Rank),
        (1, Field::Fact(1)),
        (1, Field::Bucket(0)),
        (2, Field::When),
    ];
    assert_eq!(places, expected, "{problems:?}");
}

#[test]
fn set_that_exceeds_the_memory_bound_is_refused_with_the_reason() {
    let many: Vec<_> = (0..10_000)
        .map(|i| {
            rule(
                "r",
                &format!("params.A == \"{i}\" && caller.address in offices"),
            )
        })
        .collect();
    let small = Bounds {
        bytes: 1 << 20,
        ..Bounds::default()
    };
    let problems = RuleSet::load(&many, &vocabulary(), &[], small)
        .map(|_| ())
        .unwrap_err();
    assert!(
        problems[0].error.what.starts_with("the rules take about"),
        "{problems:?}"
    );
    assert!(
        problems[0].error.expected.contains("1024 KiB"),
        "{problems:?}"
    );
    let rules = RuleSet::load(&many, &vocabulary(), &[], Bounds::default()).unwrap();
    assert!(rules.bytes() < 8 << 20, "{}", rules.bytes());
    let too_many = vec![rule("r", "true"); 20_001];
    assert!(RuleSet::load(&too_many, &vocabulary(), &[], Bounds::default()).is_err());
}

#[test]
fn set_of_a_hundred_thousand_addresses_fits_in_memory_and_is_searched() {
    let mut vocabulary = vocabulary();
    let nets = (0..100_000u32).map(|i| {
        network(&format!(
            "{}.{}.{}.1",
            11 + i / 50_000,
            i / 256 % 256,
            i % 256
        ))
        .unwrap()
    });
    let set = AddressSet::new(nets);
    assert!(
        set.len() > 90_000 && set.bytes() < 2 << 20,
        "{} networks, {} bytes",
        set.len(),
        set.bytes()
    );
    vocabulary.sets.insert("many".into(), Arc::new(set));
    let rules = RuleSet::load(
        &[rule("a", "caller.address in many")],
        &vocabulary,
        &[],
        Bounds::default(),
    )
    .unwrap();
    for (address, is_in) in [("11.0.7.1", true), ("11.0.7.2", false), ("10.1.2.3", false)] {
        let facts = Facts {
            address: Some(address.parse().unwrap()),
            ..Facts::default()
        };
        let decision = rules.decide(&facts, &mut Scratch::new(1), RuleLookup::Index);
        assert_eq!(
            (decision.output.is_some(), decision.evaluated_count),
            (is_in, usize::from(is_in)),
            "{address}"
        );
    }
}

#[test]
fn evaluation_stops_at_the_cost_limit_of_a_request() {
    let expensive = "params.X.matches(\"(ab|cd)+e\") && params.X.contains(\"nowhere\")";
    let expensive = format!("!({expensive}) && false || {expensive}");
    let rules = vec![rule("expensive", &expensive); 50];
    let rules = RuleSet::load(
        &rules,
        &vocabulary(),
        &[],
        Bounds {
            cost: 50_000,
            ..Bounds::default()
        },
    )
    .unwrap();
    assert!(rules.max_cost() > rules.request_limit());
    let long = "abcd".repeat(1000);
    let pairs = [(b"X".as_slice(), long.as_bytes())];
    let facts = Facts {
        params: rules.pick(pairs.into_iter()),
        ..Facts::default()
    };
    let decision = rules.decide(&facts, &mut Scratch::new(1), RuleLookup::Index);
    assert!(
        decision.exhausted && decision.output.is_none() && decision.evaluated_count < 50,
        "{decision:?}"
    );
    assert_eq!(decision.errors.last().unwrap().1, EvaluationError::Cost);
    assert!(decision.cost <= rules.request_limit());
}

#[test]
fn arena_is_reused_and_its_growth_is_bounded_by_the_cost_limit() {
    let text = "params.A.matches(\"^x\") || script.startsWith(\"/no\") || (tenant + \"/\" + params.B).split(\"/\").size() > 90";
    let rules = RuleSet::load(&[rule("a", text)], &vocabulary(), &[], Bounds::default()).unwrap();
    let mut scratch = Scratch::new(1);
    let before = scratch.bytes();
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    for _ in 0..2000 {
        let request = Request::random(&mut rng);
        rules.decide(&request.facts(&rules), &mut scratch, RuleLookup::Index);
        assert_eq!(
            scratch.bytes(),
            before,
            "a typical rule fits in the initial arena"
        );
    }
    // A rule that builds as much as its cost limit allows: the arena grows once and not with each
    // request.
    let big = "(params.W + params.W).split(\"\").map(x, x + x).size() > 900000";
    let costly = Bounds {
        cost: 100_000,
        ..Bounds::default()
    };
    let mut vocabulary = vocabulary();
    vocabulary.params.insert("W".into(), 150);
    let rules = RuleSet::load(&[rule("a", big)], &vocabulary, &[], costly).unwrap();
    let long = "w".repeat(150);
    let pairs = [(b"W".as_slice(), long.as_bytes())];
    let facts = Facts {
        params: rules.pick(pairs.into_iter()),
        ..Facts::default()
    };
    for _ in 0..100 {
        rules.decide(&facts, &mut scratch, RuleLookup::Index);
    }
    assert!(scratch.bytes() < 256 << 10, "{}", scratch.bytes());
}
