//! Shared parts of the tests: a vocabulary, random requests, random well-typed expressions, and a
//! simple reference evaluator.
#![allow(dead_code)]

pub mod reference;

use madderpoint_rules::address::network;
use madderpoint_rules::{AddressSet, Caller, Facts, RuleSet, Vocabulary};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

pub const NETWORKS: [&str; 5] = [
    "10.0.0.0/8",
    "10.1.0.0/16",
    "192.168.7.0/24",
    "2001:db8::/32",
    "172.16.0.1",
];
pub const ADDRESSES: [&str; 7] = [
    "10.1.2.3",
    "10.200.0.1",
    "192.168.7.9",
    "2001:db8::5",
    "::ffff:10.1.2.3",
    "172.16.0.1",
    "8.8.8.8",
];

pub fn vocabulary() -> Vocabulary {
    let mut vocabulary = Vocabulary {
        operations: ["gun-yaz", "gun-sorgu"].map(String::from).to_vec(),
        tenants: ["yildiz", "kuzey", "ege"].map(String::from).to_vec(),
        ..Vocabulary::default()
    };
    for name in ["A", "B", "C", "N"] {
        vocabulary.params.insert(name.into(), 48);
    }
    let offices = AddressSet::new(NETWORKS[..3].iter().map(|n| network(n).unwrap()));
    vocabulary.sets.insert("offices".into(), Arc::new(offices));
    vocabulary.lists.insert(
        "pilots".into(),
        ["ankara", "izmir", ""].map(String::from).to_vec(),
    );
    vocabulary
}

const TEXTS: [&str; 14] = [
    "",
    "a",
    "ankara",
    "izmir-12",
    "ANKARA",
    "a/b/c",
    "12",
    "-9223372036854775808",
    "1.5",
    "250ms",
    "10.1.2.3",
    "maaş günü",
    "yildiz",
    "x=1&y=2",
];

/// A random request.
#[derive(Clone)]
pub struct Request {
    pub pairs: Vec<(Vec<u8>, Vec<u8>)>,
    pub script: String,
    pub body: Vec<u8>,
    pub operation: Option<&'static str>,
    pub tenant: Option<&'static str>,
    pub estimate: Option<i64>,
    pub rank: Option<f64>,
    pub peer: Option<u64>,
    pub arrived: i64,
    pub address: Option<&'static str>,
    pub caller: bool,
}

impl Request {
    pub fn random(rng: &mut Pcg64Mcg) -> Request {
        let mut pairs = Vec::new();
        for name in ["A", "B", "C", "N", "X"] {
            if rng.random_range(0..4) > 0 {
                let value = match rng.random_range(0..20) {
                    0 => b"\xff\xfe".to_vec(),
                    1 => vec![b'z'; 60],
                    2..8 => rng.random_range(-20i64..20).to_string().into_bytes(),
                    _ => TEXTS.choose(rng).unwrap().as_bytes().to_vec(),
                };
                pairs.push((name.as_bytes().to_vec(), value));
            }
        }
        if rng.random_range(0..10) == 0 {
            pairs.push((b"A".to_vec(), b"again".to_vec()));
        }
        let scripts = ["/call/gun-yaz", "/old/yaz/ankara-1", "/old/oku", "/", ""];
        let some = |rng: &mut Pcg64Mcg| rng.random_range(0..3) > 0;
        Request {
            pairs,
            script: scripts.choose(rng).unwrap().to_string(),
            body: b"body\xff"[..rng.random_range(0..=5)].to_vec(),
            operation: some(rng).then_some("gun-yaz"),
            tenant: some(rng).then(|| *["yildiz", "kuzey"].choose(rng).unwrap()),
            estimate: some(rng).then(|| rng.random_range(0..1_000_000_000)),
            rank: some(rng).then(|| rng.random_range(0..8) as f64 / 8.0),
            peer: some(rng).then(|| rng.random_range(0..10)),
            arrived: rng.random_range(1_700_000_000_000_000_000..1_800_000_000_000_000_000),
            address: some(rng).then(|| *ADDRESSES.choose(rng).unwrap()),
            caller: some(rng),
        }
    }

    pub fn facts<'a>(&'a self, rules: &RuleSet) -> Facts<'a> {
        let pairs = self.pairs.iter().map(|(n, v)| (n.as_slice(), v.as_slice()));
        Facts {
            params: rules.pick(pairs),
            ..self.bare()
        }
    }

    pub fn bare(&self) -> Facts<'_> {
        let caller = Caller {
            id: "spiffe://saha.example/site/7",
            trust_domain: "saha.example",
            path: "/site/7",
        };
        Facts {
            operation: self.operation,
            tenant: self.tenant,
            script: &self.script,
            method: "POST",
            front: "fastcgi",
            estimate: self.estimate,
            need: Some(24.5),
            rank: self.rank,
            peer: self.peer,
            arrived: self.arrived,
            body: &self.body,
            address: self.address.map(|a| a.parse().unwrap()),
            caller: self.caller.then_some(caller),
            ..Facts::default()
        }
    }
}

/// Types of generated expressions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExpressionKind {
    Bool,
    Int,
    Float,
    Text,
    Bytes,
    Span,
    Time,
    Address,
    Texts,
    Ints,
}

pub const KINDS: [ExpressionKind; 10] = [
    ExpressionKind::Bool,
    ExpressionKind::Int,
    ExpressionKind::Float,
    ExpressionKind::Text,
    ExpressionKind::Bytes,
    ExpressionKind::Span,
    ExpressionKind::Time,
    ExpressionKind::Address,
    ExpressionKind::Texts,
    ExpressionKind::Ints,
];

/// Returns a random well-typed expression. `locals` are the names of the macro variables in scope,
/// all of type string.
pub fn expression(
    rng: &mut Pcg64Mcg,
    kind: ExpressionKind,
    depth: usize,
    locals: &[&str],
) -> String {
    let leaf = depth == 0 || rng.random_range(0..6) == 0;
    let d = depth.saturating_sub(1);
    macro_rules! e {
        ($kind:ident) => {
            expression(rng, ExpressionKind::$kind, d, locals)
        };
    }
    if leaf {
        return match kind {
            ExpressionKind::Bool => [
                "true",
                "false",
                "has(estimate)",
                "has(params.A)",
                "(\"B\" in params)",
                "has(caller.id)",
            ]
            .choose(rng)
            .unwrap()
            .to_string(),
            ExpressionKind::Int => match rng.random_range(0..5) {
                0 => "peer".into(),
                1 => i64::MAX.to_string(),
                2 => i64::MIN.to_string(),
                _ => rng.random_range(-9..10i64).to_string(),
            },
            ExpressionKind::Float => ["rank", "need", "0.0", "1.5", "-2.25", "1e300"]
                .choose(rng)
                .unwrap()
                .to_string(),
            ExpressionKind::Text => match locals.last() {
                Some(local) if rng.random_range(0..2) == 0 => local.to_string(),
                _ => match rng.random_range(0..10) {
                    0 => "operation".into(),
                    1 => "tenant".into(),
                    2 => "script".into(),
                    3 => "caller.path".into(),
                    4 => "params.A".into(),
                    5 => "params[\"N\"]".into(),
                    6 => "params[\"C\"]".into(),
                    _ => format!("{:?}", TEXTS.choose(rng).unwrap()),
                },
            },
            ExpressionKind::Bytes => ["body", "b\"body\"", "b\"\\xff\""]
                .choose(rng)
                .unwrap()
                .to_string(),
            ExpressionKind::Span => ["estimate", "duration(\"250ms\")", "duration(\"-1h\")"]
                .choose(rng)
                .unwrap()
                .to_string(),
            ExpressionKind::Time => ["arrived", "timestamp(\"2026-12-01T08:30:00Z\")"]
                .choose(rng)
                .unwrap()
                .to_string(),
            ExpressionKind::Address => match rng.random_range(0..3) {
                0 => "caller.address".into(),
                _ => format!("ip({:?})", ADDRESSES.choose(rng).unwrap()),
            },
            ExpressionKind::Texts => ["pilots", "[\"ankara\", params.A]", "[\"x\"]"]
                .choose(rng)
                .unwrap()
                .to_string(),
            ExpressionKind::Ints => "[1, 2, 3]".into(),
        };
    }
    if rng.random_range(0..8) == 0 {
        let (c, a, b) = (
            e!(Bool),
            expression(rng, kind, d, locals),
            expression(rng, kind, d, locals),
        );
        return format!("({c} ? {a} : {b})");
    }
    match kind {
        ExpressionKind::Bool => match rng.random_range(0..15) {
            0 => format!("!{}", e!(Bool)),
            1 | 2 => format!("({} && {})", e!(Bool), e!(Bool)),
            3 | 4 => format!("({} || {})", e!(Bool), e!(Bool)),
            5 => {
                let op = ["==", "!=", "<", "<=", ">", ">="].choose(rng).unwrap();
                let kinds = [
                    ExpressionKind::Bool,
                    ExpressionKind::Int,
                    ExpressionKind::Float,
                    ExpressionKind::Text,
                    ExpressionKind::Bytes,
                    ExpressionKind::Span,
                    ExpressionKind::Time,
                ];
                let of = *kinds.choose(rng).unwrap();
                // A literal operation or tenant must be in the vocabulary, so strings are wrapped
                // to avoid comparing a fact directly with a random literal.
                let (a, b) = (
                    expression(rng, of, d, locals),
                    expression(rng, of, d, locals),
                );
                let plain = |text: &str| {
                    if of == ExpressionKind::Text {
                        format!("({text} + \"\")")
                    } else {
                        format!("({text})")
                    }
                };
                format!("({} {op} {})", plain(&a), plain(&b))
            }
            6 => {
                let of = *[
                    ExpressionKind::Address,
                    ExpressionKind::Texts,
                    ExpressionKind::Ints,
                ]
                .choose(rng)
                .unwrap();
                let (a, b) = (
                    expression(rng, of, d, locals),
                    expression(rng, of, d, locals),
                );
                format!(
                    "({a} {} {b})",
                    if rng.random_range(0..2) == 0 {
                        "=="
                    } else {
                        "!="
                    }
                )
            }
            7 => format!("(({} + \"\") in {})", e!(Text), e!(Texts)),
            8 => format!("({} in {})", e!(Int), e!(Ints)),
            9 => format!("({} in offices)", e!(Address)),
            10 => format!(
                "({} in net(\"10.1.0.0/16\", \"2001:db8::/32\"))",
                e!(Address)
            ),
            11 => {
                let method = ["startsWith", "endsWith", "contains"].choose(rng).unwrap();
                format!("({}).{method}({})", e!(Text), e!(Text))
            }
            12 => format!("({}).matches(\"^[a-z]+(-[0-9]+)?$\")", e!(Text)),
            13 if locals.len() < 2 => {
                let name = ["u", "v"][locals.len()];
                let inner: Vec<&str> = locals.iter().copied().chain([name]).collect();
                let list = e!(Texts);
                let body = expression(rng, ExpressionKind::Bool, d.min(2), &inner);
                let which = ["all", "exists"].choose(rng).unwrap();
                format!("({list}).{which}({name}, {body})")
            }
            _ => format!("(({} + \"\") in params)", e!(Text)),
        },
        ExpressionKind::Int => match rng.random_range(0..10) {
            0..5 => {
                let op = ["+", "-", "*", "/", "%"].choose(rng).unwrap();
                format!("({} {op} {})", e!(Int), e!(Int))
            }
            5 => format!("size({})", e!(Text)),
            6 => format!("({}).size()", e!(Texts)),
            7 => format!(
                "int({})",
                if rng.random_range(0..2) == 0 {
                    e!(Text)
                } else {
                    e!(Float)
                }
            ),
            8 => format!("hash({}, 100)", e!(Text)),
            _ => match rng.random_range(0..4) {
                0 => format!("({}).getHours()", e!(Time)),
                1 => format!("({}).getDayOfWeek()", e!(Time)),
                2 => format!("({}).getMilliseconds()", e!(Span)),
                _ => format!("({}).indexOf({})", e!(Text), e!(Text)),
            },
        },
        ExpressionKind::Float => match rng.random_range(0..3) {
            0 => format!("double({})", e!(Int)),
            1 => format!("double({})", e!(Text)),
            _ => {
                let op = ["+", "-", "*", "/"].choose(rng).unwrap();
                format!("({} {op} {})", e!(Float), e!(Float))
            }
        },
        ExpressionKind::Text => match rng.random_range(0..10) {
            0 | 1 => format!("({} + {})", e!(Text), e!(Text)),
            2 => format!("({}).substring({})", e!(Text), rng.random_range(0..4)),
            3 => format!(
                "({}).substring({}, {})",
                e!(Text),
                rng.random_range(0..3),
                rng.random_range(0..5)
            ),
            4 => format!("({}).part(\"/\", {})", e!(Text), rng.random_range(0..3)),
            5 => format!(
                "({}).{}({})",
                e!(Text),
                ["before", "after"].choose(rng).unwrap(),
                e!(Text)
            ),
            6 => format!(
                "({}).{}()",
                e!(Text),
                ["lowerAscii", "upperAscii", "trim"].choose(rng).unwrap()
            ),
            7 => format!("({})[{}]", e!(Texts), rng.random_range(0..3)),
            8 => {
                let of = *[
                    ExpressionKind::Int,
                    ExpressionKind::Float,
                    ExpressionKind::Bool,
                    ExpressionKind::Bytes,
                    ExpressionKind::Span,
                    ExpressionKind::Time,
                    ExpressionKind::Address,
                ]
                .choose(rng)
                .unwrap();
                format!("string({})", expression(rng, of, d, locals))
            }
            _ => format!("params[{}]", e!(Text)),
        },
        ExpressionKind::Bytes => match rng.random_range(0..2) {
            0 => format!("bytes({})", e!(Text)),
            _ => format!("({} + {})", e!(Bytes), e!(Bytes)),
        },
        ExpressionKind::Span => match rng.random_range(0..4) {
            0 => format!("({} + {})", e!(Span), e!(Span)),
            1 => format!("({} - {})", e!(Time), e!(Time)),
            2 => format!("duration({} + \"\")", e!(Text)),
            _ => format!("-({})", e!(Span)),
        },
        ExpressionKind::Time => match rng.random_range(0..2) {
            0 => format!("({} + {})", e!(Time), e!(Span)),
            _ => format!("({} - {})", e!(Time), e!(Span)),
        },
        ExpressionKind::Address => format!("ip({} + \"\")", e!(Text)),
        ExpressionKind::Texts => match rng.random_range(0..5) {
            0 => format!("[{}, {}]", e!(Text), e!(Text)),
            1 => format!("({} + {})", e!(Texts), e!(Texts)),
            2 => format!("({}).split(\"/\")", e!(Text)),
            _ if locals.len() < 2 => {
                let name = ["u", "v"][locals.len()];
                let inner: Vec<&str> = locals.iter().copied().chain([name]).collect();
                let list = e!(Texts);
                if rng.random_range(0..2) == 0 {
                    format!(
                        "({list}).filter({name}, {})",
                        expression(rng, ExpressionKind::Bool, d.min(2), &inner)
                    )
                } else {
                    format!(
                        "({list}).map({name}, {})",
                        expression(rng, ExpressionKind::Text, d.min(2), &inner)
                    )
                }
            }
            _ => format!("[{}]", e!(Text)),
        },
        ExpressionKind::Ints => format!("[{}, {}]", e!(Int), e!(Int)),
    }
}
