//! The expression language: parsing and printing, types, costs, and evaluation compared with a
//! simple reference evaluator.

mod support;

use bumpalo::Bump;
use madderpoint_rules::compile::Compiler;
use madderpoint_rules::eval::Evaluator;
use madderpoint_rules::syntax::{DEPTH_MAX, parse};
use madderpoint_rules::{EvaluationError, ExpressionError, Facts, Type, cost};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::reference::{Reference, show};
use support::{ExpressionKind, KINDS, Request, expression, vocabulary};

/// A cost limit far above what any expression in these tests needs.
const NO_LIMIT: u64 = 1 << 40;

fn type_of(kind: ExpressionKind) -> Type {
    match kind {
        ExpressionKind::Bool => Type::Bool,
        ExpressionKind::Int => Type::Int,
        ExpressionKind::Float => Type::Float,
        ExpressionKind::Text => Type::Text,
        ExpressionKind::Bytes => Type::Bytes,
        ExpressionKind::Span => Type::Span,
        ExpressionKind::Time => Type::Time,
        ExpressionKind::Address => Type::Address,
        ExpressionKind::Texts => Type::List(Box::new(Type::Text)),
        ExpressionKind::Ints => Type::List(Box::new(Type::Int)),
    }
}

fn errors(text: &str, kind: &Type, limit: u64) -> Vec<ExpressionError> {
    let vocabulary = vocabulary();
    let mut compiler = Compiler::new(&vocabulary);
    match parse(text) {
        Ok(expr) => compiler
            .compile(&expr, kind, limit)
            .map(|_| ())
            .err()
            .unwrap_or_default(),
        Err(error) => vec![error],
    }
}

/// Returns the printed result of an expression, its cost, and its worst-case cost.
fn value(
    text: &str,
    kind: &Type,
    request: &Request,
    limit: u64,
) -> (Result<String, EvaluationError>, u64, u64) {
    let vocabulary = vocabulary();
    let mut compiler = Compiler::new(&vocabulary);
    let expr = parse(text).unwrap_or_else(|e| panic!("{text}: {e:?}"));
    let typed = compiler
        .compile(&expr, kind, NO_LIMIT)
        .unwrap_or_else(|e| panic!("{text}: {e:?}"));
    let pairs = request
        .pairs
        .iter()
        .map(|(n, v)| (n.as_slice(), v.as_slice()));
    let facts = Facts {
        params: compiler.names.pick(pairs),
        ..request.bare()
    };
    let arena = Bump::new();
    let mut eval = Evaluator::new(&facts, &arena, limit);
    let result = eval.within(&typed.node, limit).map(|v| v.to_string());
    (result, limit - eval.left(), typed.max_cost)
}

#[test]
fn random_expressions_type_check_round_trip_through_print_and_match_the_reference_evaluator() {
    let seed = 20_261_201;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut good, mut bad) = (0, 0);
    for i in 0..12_000 {
        let kind = KINDS[i % KINDS.len()];
        let text = expression(&mut rng, kind, 1 + i % 5, &[]);
        let expr = parse(&text).unwrap_or_else(|e| panic!("seed {seed}, {text}: {e:?}"));
        let again = parse(&expr.to_string()).unwrap_or_else(|e| panic!("{expr}: {e:?}"));
        assert_eq!(again, expr, "{text} printed as {expr}");
        let request = Request::random(&mut rng);
        let (result, used, worst) = value(&text, &type_of(kind), &request, NO_LIMIT);
        let expected = Reference {
            request: &request,
            locals: Vec::new(),
        }
        .eval(&expr)
        .map(|v| show(&v));
        assert_eq!(result, expected, "seed {seed}: {text}");
        assert!(
            used <= worst,
            "{text} used {used} units, more than its worst case of {worst}"
        );
        if result.is_ok() {
            good += 1
        } else {
            bad += 1
        }
        // With any smaller limit the meter stops the evaluation within the limit.
        let limit = rng.random_range(0..=used);
        let (stopped, spent, _) = value(&text, &type_of(kind), &request, limit);
        assert!(
            spent <= limit && (limit >= used || stopped == Err(EvaluationError::Cost)),
            "{text}: {limit} of {used}"
        );
    }
    assert!(
        good > 4_000 && bad > 1_200,
        "too few of one kind: {good} evaluations with a value, {bad} with an error"
    );
}

#[test]
fn syntax_errors_are_reported_with_their_positions() {
    let cases: [(&str, std::ops::Range<usize>, &str); 22] = [
        ("", 0..0, "unexpected the end"),
        ("1 +", 3..3, "unexpected the end"),
        ("(1", 2..2, "unexpected the end"),
        ("1 2", 2..3, "unexpected a number"),
        ("a = 1", 2..3, "unexpected '='"),
        ("\"abc", 0..4, "the string does not end"),
        ("\"\\q\"", 1..2, "unknown escape"),
        ("\"\\ud800\"", 1..2, "no character has that code"),
        ("99999999999999999999", 0..20, "the number is too large"),
        ("9223372036854775808", 0..19, "the number is too large"),
        ("1u", 0..2, "a number with letters"),
        ("1.5.5", 3..5, "unexpected a number"),
        ("null", 0..4, "null is not supported"),
        ("for", 0..3, "'for' is a reserved word"),
        ("#", 0..1, "unexpected character '#'"),
        ("a.1", 1..3, "unexpected a number"),
        ("f(,)", 2..3, "unexpected ','"),
        ("[1,,2]", 3..4, "unexpected ','"),
        ("a ? b", 5..5, "unexpected the end"),
        ("a in", 4..4, "unexpected the end"),
        ("1e999", 0..5, "the number is too large"),
        ("é", 0..2, "unexpected character 'é'"),
    ];
    for (text, at, what) in cases {
        let error = parse(text).unwrap_err();
        assert_eq!(
            (error.at.clone(), error.what.as_str()),
            (at, what),
            "{text}"
        );
    }
}

#[test]
fn type_errors_state_what_was_expected_and_are_all_reported_at_once() {
    let cases = [
        ("1", "this has type int", "type bool"),
        ("tenant", "this has type string", "type bool"),
        (
            "operation == \"gun-sil\"",
            "the settings have no operation 'gun-sil'",
            "one of gun-yaz, gun-sorgu",
        ),
        (
            "\"nobody\" != tenant",
            "the settings have no tenant 'nobody'",
            "one of yildiz, kuzey, ege",
        ),
        (
            "tenant in [\"yildiz\", \"ank\"]",
            "the settings have no tenant 'ank'",
            "one of yildiz, kuzey, ege",
        ),
        (
            "operatoin == \"gun-yaz\"",
            "unknown name 'operatoin'",
            "perhaps 'operation'",
        ),
        (
            "caller.name == \"x\"",
            "unknown name 'caller.name'",
            "caller.address",
        ),
        (
            "script.startswith(\"/\")",
            "unknown method 'startswith'",
            "perhaps 'startsWith'",
        ),
        (
            "sizee(script) == 1",
            "unknown function 'sizee'",
            "perhaps 'size'",
        ),
        (
            "peer == 1.0",
            "'==' has no meaning between int and double",
            "a double on both sides",
        ),
        (
            "rank < 1",
            "'<' has no meaning between double and int",
            "a double on both sides",
        ),
        ("peer && true", "this has type int", "bool"),
        (
            "(true ? 1 : \"a\") == 1",
            "this has type string",
            "type int, as after '?'",
        ),
        (
            "[1, \"a\"] == [1]",
            "this has type string",
            "type int, as the first item",
        ),
        ("[] == []", "an empty list has no type", "at least one item"),
        (
            "tenant.substring(\"a\") == \"\"",
            "'substring' is given (string, string)",
            "string.substring(int)",
        ),
        (
            "script.matches(\"(\")",
            "not a valid pattern: unclosed group",
            "RE2",
        ),
        (
            "script.matches(\"[a-z]{900}{900}\")",
            "the pattern is too large",
            "KiB",
        ),
        (
            "script.matches(tenant)",
            "matches() takes one pattern as a string literal",
            "such as",
        ),
        (
            "caller.address in net(\"10.0.0.0/99\")",
            "not a valid network",
            "networks such as",
        ),
        (
            "caller.address in net()",
            "net() without networks",
            "networks such as",
        ),
        (
            "caller.address == ip(\"10.1\")",
            "this text is not a valid value",
            "an address",
        ),
        (
            "estimate > duration(\"5\")",
            "this text is not a valid value",
            "a duration",
        ),
        (
            "arrived > timestamp(\"today\")",
            "this text is not a valid value",
            "a time",
        ),
        (
            "hash(script, 0) == 1",
            "the number of buckets",
            "such as 100",
        ),
        (
            "hash(script, peer) == 1",
            "the number of buckets",
            "such as 100",
        ),
        (
            "tenant.foo == 1",
            "a string has no field 'foo'",
            "params.NAME",
        ),
        (
            "script[1] == 1",
            "a string cannot be indexed",
            "params or a list",
        ),
        ("has(1)", "has() cannot test this", "one fact or parameter"),
        (
            "tenant in 5",
            "this has type int",
            "a list, addresses or params",
        ),
        (
            "5 in [\"a\"]",
            "this has type int",
            "type string, as the items of the list",
        ),
        ("peer in offices", "this has type int", "type ip"),
        (
            "-tenant == 1",
            "this has type string",
            "int or double or duration",
        ),
        ("pilots.all(x, y == \"a\")", "unknown name 'y'", "one of"),
        (
            "pilots.all(1, true)",
            "a macro takes a name and an expression",
            "such as",
        ),
        (
            "tenant.all(x, true)",
            "this has type string",
            "a list or params",
        ),
        (
            "pilots.all(a, pilots.all(b, pilots.all(c, pilots.all(d, a == d))))",
            "macros nested too deeply",
            "at most 3",
        ),
    ];
    for (text, what, expected) in cases {
        let found = errors(text, &Type::Bool, NO_LIMIT);
        let shown = found
            .first()
            .map(|e| (e.what.as_str(), e.expected.as_str()))
            .unwrap_or_default();
        assert!(
            shown.0.starts_with(what) && shown.1.contains(expected),
            "{text}: {found:?}"
        );
    }
    let all = errors(
        "foo == 1 && peer == \"a\" && tenant == \"nobody\" && script.matches(\"(\")",
        &Type::Bool,
        NO_LIMIT,
    );
    assert_eq!(all.len(), 4, "{all:?}");
}

#[test]
fn expressions_whose_worst_case_exceeds_the_limit_are_refused() {
    // Each expression is well-typed and exceeds the limit in a different way.
    let heavy = [
        "params.X.matches(\"a+b\") && params.Y.matches(\"b+a\")",
        "params.all(k, params[k].contains(\"x\"))",
        "pilots.all(a, pilots.all(b, pilots.all(c, params.X.contains(a + b + c))))",
        "(body + body + body + body + body + body + body + body) == b\"\"",
        "params.X.split(\"\").map(x, x + x).exists(x, x == \"aa\")",
        "(params.X + params.X).split(\",\").filter(x, x != \"\").size() > 9",
        "params.exists(a, params.exists(b, params[a] == params[b]))",
    ];
    for text in heavy {
        let found = errors(text, &Type::Bool, cost::LIMIT);
        assert!(
            found
                .iter()
                .any(|e| e.what.starts_with("the worst case costs")),
            "{text}: {found:?}"
        );
    }
    // The same expressions are accepted over parameters that are declared to be short.
    for text in [
        "params.A.matches(\"a+b\") && params.B.matches(\"b+a\")",
        "params.A.split(\",\").exists(x, x == \"a\")",
    ] {
        assert_eq!(errors(text, &Type::Bool, cost::LIMIT), []);
    }
}

#[test]
fn parser_bounds_depth_and_length_of_expressions() {
    let deep =
        |n: usize, open: &str, close: &str| format!("{}true{}", open.repeat(n), close.repeat(n));
    for (open, close) in [
        ("(", ")"),
        ("!", ""),
        ("[", "]"),
        ("has(", ")"),
        ("true ? true : ", ""),
    ] {
        let most = usize::from(DEPTH_MAX);
        for n in [most + 1, 500] {
            let error = parse(&deep(n, open, close)).unwrap_err();
            assert_eq!(error.what, "nested too deep", "{n} of {open}");
        }
    }
    // Chains make the tree deeper without recursion of the parser.
    for (start, more) in [
        ("a", ".b"),
        ("1", " + 1"),
        ("a", "[1]"),
        ("a", ".f()"),
        ("-", "-1"),
    ] {
        let error = parse(&(start.to_owned() + &more.repeat(1000))).unwrap_err();
        assert_eq!(error.what, "nested too deep", "{start}{more}");
    }
    // All operands of && are on one level, however many there are.
    assert_eq!(
        errors(&vec!["true"; 500].join(" && "), &Type::Bool, NO_LIMIT),
        []
    );
    assert!(
        parse(&" ".repeat(9000))
            .unwrap_err()
            .what
            .contains("9000 bytes")
    );
}

#[test]
fn overflow_absent_values_and_failing_operands_have_defined_results() {
    let mut request = Request::random(&mut Pcg64Mcg::seed_from_u64(1));
    (
        request.estimate,
        request.peer,
        request.address,
        request.caller,
    ) = (None, Some(u64::MAX), None, false);
    request.pairs = vec![
        (b"A".to_vec(), b"\xff".to_vec()),
        (b"B".to_vec(), vec![b'b'; 49]),
        (b"C".to_vec(), b"17".to_vec()),
    ];
    let cases = [
        (
            "9223372036854775807 + 1 > 0",
            Err(EvaluationError::Overflow),
        ),
        (
            "-9223372036854775808 / -1 > 0",
            Err(EvaluationError::Overflow),
        ),
        (
            "-(-9223372036854775808) > 0",
            Err(EvaluationError::Overflow),
        ),
        (
            "3037000500 * 3037000500 > 0",
            Err(EvaluationError::Overflow),
        ),
        ("int(1e19) > 0", Err(EvaluationError::Overflow)),
        ("int(0.0 / 0.0) > 0", Err(EvaluationError::Overflow)),
        ("1 / 0 == 1", Err(EvaluationError::Zero)),
        ("1 % 0 == 1", Err(EvaluationError::Zero)),
        ("0.0 / 0.0 == 0.0 / 0.0", Ok("false")),
        ("0.0 / 0.0 < 1.0 || 0.0 / 0.0 >= 1.0", Ok("false")),
        ("estimate > duration(\"1s\")", Err(EvaluationError::Absent)),
        ("peer > 0", Err(EvaluationError::Absent)),
        ("caller.id == \"\"", Err(EvaluationError::Absent)),
        ("caller.address in offices", Err(EvaluationError::Absent)),
        ("params.NONE == \"\"", Err(EvaluationError::Absent)),
        ("params.A == \"\"", Err(EvaluationError::NoText)),
        ("params.B == \"\"", Err(EvaluationError::TooLong)),
        ("int(params.C) == 17", Ok("true")),
        ("int(script) == 17", Err(EvaluationError::NoValue)),
        (
            "params.C.part(\",\", 1) == \"\"",
            Err(EvaluationError::Range),
        ),
        ("params.C.substring(3) == \"\"", Err(EvaluationError::Range)),
        ("params.C.substring(2) == \"\"", Ok("true")),
        ("[1, 2][2] == 1", Err(EvaluationError::Range)),
        ("[1, 2][-1] == 1", Err(EvaluationError::Range)),
        // An operand that determines the result does so even if another operand fails.
        ("false && 1 / 0 == 1", Ok("false")),
        ("1 / 0 == 1 && false", Ok("false")),
        ("1 / 0 == 1 || true", Ok("true")),
        ("[1, 0].exists(x, 1 / x == 1)", Ok("true")),
        ("[0, 1].exists(x, 1 / x == 1)", Ok("true")),
        ("[0, 2].exists(x, 1 / x == 1)", Err(EvaluationError::Zero)),
        ("[0, 2].all(x, 1 / x == 1)", Ok("false")),
        (
            "[0, 2].filter(x, 1 / x == 1).size() == 0",
            Err(EvaluationError::Zero),
        ),
        ("has(estimate) && estimate > duration(\"1s\")", Ok("false")),
        (
            "\"A\" in params && !(\"Z\" in params) && has(params.B)",
            Ok("true"),
        ),
    ];
    for (text, expected) in cases {
        let (result, ..) = value(text, &Type::Bool, &request, NO_LIMIT);
        assert_eq!(result, expected.map(String::from), "{text}");
    }
}

#[test]
fn too_many_parameters_fail_only_expressions_that_iterate_or_compute_names() {
    let mut request = Request::random(&mut Pcg64Mcg::seed_from_u64(1));
    request.pairs = (0..65)
        .map(|i| (format!("P{i}").into_bytes(), b"v".to_vec()))
        .collect();
    assert_eq!(
        value("params.P64 == \"v\"", &Type::Bool, &request, NO_LIMIT).0,
        Ok("true".into())
    );
    assert_eq!(
        value(
            "params.all(k, params[k] == \"v\")",
            &Type::Bool,
            &request,
            NO_LIMIT
        )
        .0,
        Err(EvaluationError::TooLong)
    );
    assert_eq!(
        value("(\"Z\" + \"\") in params", &Type::Bool, &request, NO_LIMIT).0,
        Err(EvaluationError::TooLong)
    );
    request.pairs.pop();
    assert_eq!(
        value(
            "params.all(k, params[k] == \"v\")",
            &Type::Bool,
            &request,
            NO_LIMIT
        )
        .0,
        Ok("true".into())
    );
    request.pairs[0] = (b"\xff".to_vec(), b"v".to_vec());
    assert_eq!(
        value("params.size() == 64", &Type::Bool, &request, NO_LIMIT).0,
        Err(EvaluationError::NoText)
    );
}

#[test]
fn hash_buckets_are_stable_and_evenly_distributed() {
    let request = Request::random(&mut Pcg64Mcg::seed_from_u64(1));
    for (text, bucket) in [("", "58"), ("ankara", "25"), ("izmir-12", "69")] {
        let (result, ..) = value(
            &format!("hash({text:?}, 100)"),
            &Type::Int,
            &request,
            NO_LIMIT,
        );
        assert_eq!(result, Ok(bucket.into()), "{text}");
    }
    let mut counts = [0; 10];
    (0..10_000).for_each(|i| {
        counts[(madderpoint_rules::eval::stable_hash(&format!("site-{i}")) % 10) as usize] += 1
    });
    assert!(counts.iter().all(|n| (900..1100).contains(n)), "{counts:?}");
}

#[test]
fn mutated_expressions_do_not_panic_or_exceed_their_worst_case() {
    let mut rng = Pcg64Mcg::seed_from_u64(99);
    let vocabulary = vocabulary();
    let mut compiled = 0;
    for i in 0..10_000 {
        let mut text = expression(&mut rng, ExpressionKind::Bool, 1 + i % 4, &[]).into_bytes();
        for _ in 0..rng.random_range(0..4) {
            let at = rng.random_range(0..=text.len());
            match rng.random_range(0..4) {
                0 if at < text.len() => drop(text.remove(at)),
                1 => text.insert(at, rng.random()),
                2 => text.truncate(at),
                _ => text
                    .splice(
                        at..at,
                        b"([{\"'\\.!-"[rng.random_range(0..9)..]
                            .iter()
                            .copied()
                            .take(2),
                    )
                    .for_each(drop),
            }
        }
        let text = String::from_utf8_lossy(&text);
        if let Ok(expr) = parse(&text) {
            let mut compiler = Compiler::new(&vocabulary);
            if let Ok(typed) = compiler.compile(&expr, &Type::Bool, cost::LIMIT) {
                compiled += 1;
                let request = Request::random(&mut rng);
                let pairs = request
                    .pairs
                    .iter()
                    .map(|(n, v)| (n.as_slice(), v.as_slice()));
                let facts = Facts {
                    params: compiler.names.pick(pairs),
                    ..request.bare()
                };
                let arena = Bump::new();
                let result = Evaluator::new(&facts, &arena, typed.max_cost)
                    .holds(&typed.node, typed.max_cost);
                assert_ne!(
                    result,
                    Err(EvaluationError::Cost),
                    "{text} costs more than its worst case"
                );
            }
        }
    }
    assert!(compiled > 2_000, "{compiled}");
}
