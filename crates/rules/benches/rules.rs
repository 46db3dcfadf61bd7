//! Evaluation time of rules: with the index and with a scan, in three forms of compiled code, and
//! in comparison with the `cel-interpreter` crate. Run with `cargo bench -p madderpoint-rules`.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use madderpoint_rules::compile::{Compiler, Function, Node, Vocabulary};
use madderpoint_rules::eval::Evaluator;
use madderpoint_rules::facts::Name;
use madderpoint_rules::syntax::{Binary, parse};
use madderpoint_rules::{
    Bounds, EvaluationError, Facts, RuleLookup, RuleSet, RuleSource, Scratch, Type, Value, cost,
};
use std::hint::black_box;

fn vocabulary() -> Vocabulary {
    let mut vocabulary = Vocabulary {
        operations: vec!["gun-yaz".into(), "gun-sorgu".into()],
        tenants: vec!["ege".into(), "kuzey".into()],
        ..Vocabulary::default()
    };
    vocabulary
        .params
        .extend(["SITE", "KIND", "USER"].map(|name| (name.to_owned(), 64)));
    vocabulary
}

const PAIRS: [(&[u8], &[u8]); 8] = [
    (b"REQUEST_METHOD", b"POST"),
    (b"SCRIPT_NAME", b"/call/gun-yaz"),
    (b"HTTP_X_CORRELATION_ID", b"9b1f03aa5c7e2d41"),
    (b"HTTP_X_ARRIVED_MS", b"1764576000123"),
    (b"HTTP_X_ORG", b"ege"),
    (b"SITE", b"site-77"),
    (b"KIND", b"shift"),
    (b"USER", b"clerk-12"),
];

fn facts(rules: &RuleSet) -> Facts<'static> {
    Facts {
        operation: Some("gun-yaz"),
        tenant: Some("ege"),
        script: "/call/gun-yaz",
        method: "POST",
        front: "fastcgi",
        peer: Some(4),
        rank: Some(0.5),
        address: Some("10.1.2.3".parse().unwrap()),
        params: rules.pick(PAIRS.into_iter()),
        ..Facts::default()
    }
}

/// Returns a set of rules of which only the last matches, indexed in turn under equalities,
/// prefixes and networks.
fn rule_set(count: usize) -> RuleSet {
    let rules: Vec<RuleSource> = (0..count)
        .map(|i| {
            let when = match i % 3 {
                _ if i + 1 == count => {
                    "params.SITE == \"site-77\" && params.KIND == \"shift\"".into()
                }
                0 => format!("params.SITE == \"s{i}\" && params.KIND == \"shift\""),
                1 => format!("script.startsWith(\"/old/{i}/\") && peer > 2"),
                _ => {
                    format!(
                        "caller.address in net(\"11.{}.{}.0/24\") && rank > 0.1",
                        i / 256 % 256,
                        i % 256
                    )
                }
            };
            RuleSource {
                name: format!("r{i}"),
                when,
                ..RuleSource::default()
            }
        })
        .collect();
    // The limit is so high that the meter does not stop the scan.
    RuleSet::load(
        &rules,
        &vocabulary(),
        &[],
        Bounds {
            cost: 1 << 30,
            ..Bounds::default()
        },
    )
    .unwrap()
}

fn index_and_scan(c: &mut Criterion) {
    let mut group = c.benchmark_group("rules");
    for count in [10, 1_000, 10_000] {
        let rules = rule_set(count);
        let facts = facts(&rules);
        let mut scratch = Scratch::new(1);
        for (name, path) in [("index", RuleLookup::Index), ("scan", RuleLookup::Scan)] {
            group.bench_with_input(BenchmarkId::new(name, count), &count, |b, _| {
                b.iter(|| {
                    black_box(
                        rules
                            .decide(black_box(&facts), &mut scratch, path)
                            .output
                            .is_some(),
                    )
                });
            });
        }
        println!("{count} rules: {} KiB", rules.bytes() >> 10);
    }
    let rules = rule_set(1_000);
    group.bench_function("pick parameters", |b| {
        b.iter(|| black_box(rules.pick(black_box(PAIRS).into_iter())))
    });
    group.finish();
}

// ---- The benchmark expressions compiled to closures and to bytecode, for the subset they use ----

type Closure = Box<dyn for<'a> Fn(&'a Facts<'static>, &mut u64) -> Result<bool, EvaluationError>>;
type TextOf = Box<dyn for<'a> Fn(&'a Facts<'static>, &mut u64) -> Result<&'a str, EvaluationError>>;

fn charge(left: &mut u64, units: u64) -> Result<(), EvaluationError> {
    *left = left.checked_sub(units).ok_or(EvaluationError::Cost)?;
    Ok(())
}

fn text_closure(node: &Node) -> TextOf {
    match node {
        Node::Text(text) => {
            let text: &'static str = Box::leak(text.clone());
            Box::new(move |_, left| charge(left, cost::STEP).map(|()| text))
        }
        Node::Slot(slot) => {
            let slot = *slot;
            Box::new(move |facts, left| {
                charge(left, cost::STEP).and_then(|()| facts.params.slot(slot))
            })
        }
        Node::Fact(name) => {
            let name = *name;
            Box::new(move |facts, left| {
                charge(left, cost::STEP)?;
                match facts.get(name) {
                    Some(Value::Text(text)) => Ok(text),
                    _ => Err(EvaluationError::Absent),
                }
            })
        }
        other => panic!("{other:?}"),
    }
}

fn closure(node: &Node) -> Closure {
    match node {
        Node::And(all) => {
            let all: Vec<Closure> = all.iter().map(closure).collect();
            Box::new(move |facts, left| {
                charge(left, cost::STEP)?;
                let mut error = None;
                for one in &all {
                    match one(facts, left) {
                        Ok(false) => return Ok(false),
                        Ok(true) => {}
                        Err(EvaluationError::Cost) => return Err(EvaluationError::Cost),
                        Err(e) => error = error.or(Some(e)),
                    }
                }
                error.map_or(Ok(true), Err)
            })
        }
        Node::Binary(Binary::Equal, sides) => {
            let (a, b) = (text_closure(&sides.0), text_closure(&sides.1));
            Box::new(move |facts, left| {
                let (a, b) = (a(facts, left)?, b(facts, left)?);
                charge(
                    left,
                    cost::STEP + cost::compare(a.len().min(b.len()) as u64),
                )?;
                Ok(a == b)
            })
        }
        Node::Binary(Binary::More, sides) => {
            let (Node::Fact(Name::Rank), Node::Float(least)) = (&sides.0, &sides.1) else {
                panic!()
            };
            let least = *least;
            Box::new(move |facts, left| {
                charge(left, 3 * cost::STEP + cost::compare(0))?;
                Ok(facts.rank.ok_or(EvaluationError::Absent)? > least)
            })
        }
        Node::InTexts(of, set) => {
            let (of, set) = (text_closure(of), set.clone());
            Box::new(move |facts, left| {
                let of = of(facts, left)?;
                charge(
                    left,
                    cost::STEP + cost::LOOK + cost::compare(of.len() as u64),
                )?;
                Ok(set.contains(of))
            })
        }
        Node::Call(Function::StartsWith, nodes) => {
            let (a, b) = (text_closure(&nodes[0]), text_closure(&nodes[1]));
            Box::new(move |facts, left| {
                let (a, b) = (a(facts, left)?, b(facts, left)?);
                charge(
                    left,
                    cost::STEP + cost::compare(a.len().min(b.len()) as u64),
                )?;
                Ok(a.starts_with(b))
            })
        }
        other => panic!("{other:?}"),
    }
}

enum Op {
    Text(Box<str>),
    Slot(u16),
    Fact(Name),
    Float(f64),
    Equal,
    More,
    StartsWith,
    In(std::sync::Arc<std::collections::HashSet<Box<str>>>),
    /// Ends with false if the top of the stack is false, otherwise drops it.
    OrElseFalse,
    True,
}

fn bytecode(node: &Node, out: &mut Vec<Op>) {
    match node {
        Node::And(all) => {
            for one in all {
                bytecode(one, out);
                out.push(Op::OrElseFalse);
            }
            out.push(Op::True);
        }
        Node::Binary(op, sides) => {
            bytecode(&sides.0, out);
            bytecode(&sides.1, out);
            out.push(if *op == Binary::Equal {
                Op::Equal
            } else {
                Op::More
            });
        }
        Node::InTexts(of, set) => {
            bytecode(of, out);
            out.push(Op::In(set.clone()));
        }
        Node::Call(Function::StartsWith, nodes) => {
            nodes.iter().for_each(|n| bytecode(n, out));
            out.push(Op::StartsWith);
        }
        Node::Text(text) => out.push(Op::Text(text.clone())),
        Node::Slot(slot) => out.push(Op::Slot(*slot)),
        Node::Fact(name) => out.push(Op::Fact(*name)),
        Node::Float(v) => out.push(Op::Float(*v)),
        other => panic!("{other:?}"),
    }
}

fn run(code: &[Op], facts: &Facts<'static>) -> Option<bool> {
    let mut stack = [Value::Bool(false); 16];
    let mut top = 0;
    for op in code {
        match op {
            Op::Text(text) => stack[top] = Value::Text(text),
            Op::Slot(slot) => stack[top] = Value::Text(facts.params.slot(*slot).ok()?),
            Op::Fact(name) => stack[top] = facts.get(*name)?,
            Op::Float(v) => stack[top] = Value::Float(*v),
            Op::True => stack[top] = Value::Bool(true),
            Op::Equal | Op::More | Op::StartsWith => {
                top -= 2;
                let (a, b) = (stack[top], stack[top + 1]);
                stack[top] = Value::Bool(match (op, a, b) {
                    (Op::StartsWith, Value::Text(a), Value::Text(b)) => a.starts_with(b),
                    (Op::More, a, b) => a.order(&b) == Some(std::cmp::Ordering::Greater),
                    (_, a, b) => a.same(&b),
                });
            }
            Op::In(set) => {
                let Value::Text(text) = stack[top - 1] else {
                    return None;
                };
                stack[top - 1] = Value::Bool(set.contains(text));
                continue;
            }
            Op::OrElseFalse => {
                top -= 1;
                if let Value::Bool(false) = stack[top] {
                    return Some(false);
                }
                continue;
            }
        }
        top += 1;
    }
    match stack[top - 1] {
        Value::Bool(v) => Some(v),
        _ => None,
    }
}

const TYPICAL: &str = "operation == \"gun-yaz\" && script.startsWith(\"/call/\") && rank > 0.25 && \
    params.SITE in [\"site-1\", \"site-77\"] && params.KIND == \"shift\"";

fn forms(c: &mut Criterion) {
    let vocabulary = vocabulary();
    let mut compiler = Compiler::new(&vocabulary);
    let typed = compiler
        .compile(&parse(TYPICAL).unwrap(), &Type::Bool, 4000)
        .unwrap();
    let facts = Facts {
        params: compiler.names.pick(PAIRS.into_iter()),
        ..facts(&rule_set(1))
    };
    let mut group = c.benchmark_group("forms");
    let arena = bumpalo::Bump::new();
    group.bench_function("tree, metered", |b| {
        b.iter(|| Evaluator::new(black_box(&facts), &arena, 4000).holds(&typed.node, 4000));
    });
    let closure = closure(&typed.node);
    group.bench_function("closures, metered", |b| {
        b.iter(|| {
            let mut left = 4000;
            closure(black_box(&facts), &mut left)
        });
    });
    let mut code = Vec::new();
    bytecode(&typed.node, &mut code);
    group.bench_function("bytecode, without a meter", |b| {
        b.iter(|| run(&code, black_box(&facts)))
    });
    // The interpreter needs a new set of variables for each request.
    let program = cel_interpreter::Program::compile(TYPICAL).unwrap();
    group.bench_function("cel-interpreter", |b| {
        b.iter(|| {
            let mut context = cel_interpreter::Context::default();
            context.add_variable_from_value("operation", "gun-yaz");
            context.add_variable_from_value("script", "/call/gun-yaz");
            context.add_variable_from_value("rank", 0.5);
            let params = std::collections::HashMap::from([
                ("SITE", "site-77"),
                ("KIND", "shift"),
                ("USER", "clerk-12"),
            ]);
            context.add_variable_from_value("params", params);
            program.execute(black_box(&context)).unwrap()
        });
    });
    group.finish();
}

criterion_group!(benches, index_and_scan, forms);
criterion_main!(benches);
