//! Simple reference evaluator of the language: a recursion over the syntax tree with its own value
//! type, without type checks and costs, that uses the standard library for each function.

use super::{NETWORKS, Request, vocabulary};
use ipnet::IpNet;
use madderpoint_rules::syntax::{Binary, Expression, ExpressionKind};
use madderpoint_rules::{EvaluationError, time};
use std::cmp::Ordering;
use std::net::IpAddr;

#[derive(Clone, Debug)]
pub enum Val {
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    Bytes(Vec<u8>),
    Span(i64),
    Time(i64),
    Ip(IpAddr),
    Nets(Vec<IpNet>),
    Params,
    List(Vec<Val>),
}

use Val::*;

type Res = Result<Val, EvaluationError>;

pub struct Reference<'a> {
    pub request: &'a Request,
    pub locals: Vec<(String, Val)>,
}

fn same(a: &Val, b: &Val) -> bool {
    match (a, b) {
        (Float(a), Float(b)) => a == b,
        (List(a), List(b)) => a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same(a, b)),
        (a, b) => show(a) == show(b),
    }
}

/// Prints a value as `madderpoint_rules::Value` does, so that results can be compared.
pub fn show(v: &Val) -> String {
    match v {
        Bool(v) => v.to_string(),
        Int(v) => v.to_string(),
        Float(v) => format!("{v:?}"),
        Text(v) => format!("{v:?}"),
        Bytes(v) => format!("b\"{}\"", v.escape_ascii()),
        Span(v) => time::print_span(*v),
        Time(v) => time::print_time(*v),
        Ip(v) => v.to_string(),
        Nets(v) => format!("{} networks", v.len()),
        Params => "params".into(),
        List(v) => format!("[{}]", v.iter().map(show).collect::<Vec<_>>().join(", ")),
    }
}

fn order(a: &Val, b: &Val) -> Option<Ordering> {
    match (a, b) {
        (Bool(a), Bool(b)) => Some(a.cmp(b)),
        (Int(a), Int(b)) | (Span(a), Span(b)) | (Time(a), Time(b)) => Some(a.cmp(b)),
        (Float(a), Float(b)) => a.partial_cmp(b),
        (Text(a), Text(b)) => Some(a.as_bytes().cmp(b.as_bytes())),
        (Bytes(a), Bytes(b)) => Some(a.cmp(b)),
        _ => panic!("no order"),
    }
}

fn to_i64(v: i128) -> Result<i64, EvaluationError> {
    i64::try_from(v).map_err(|_| EvaluationError::Overflow)
}

impl Reference<'_> {
    fn param(&self, name: &str) -> Result<String, EvaluationError> {
        let found = self
            .request
            .pairs
            .iter()
            .rev()
            .find(|(n, _)| n == name.as_bytes());
        let (_, value) = found.ok_or(EvaluationError::Absent)?;
        let most = vocabulary().params.get(name).copied();
        // The declared length applies to a literal name. For a computed name only the limit of the
        // protocol applies.
        if most.is_some_and(|most| value.len() > most) {
            return Err(EvaluationError::TooLong);
        }
        String::from_utf8(value.clone()).map_err(|_| EvaluationError::NoText)
    }

    fn computed_param(&self, name: &str) -> Result<String, EvaluationError> {
        let found = self
            .request
            .pairs
            .iter()
            .rev()
            .find(|(n, _)| n == name.as_bytes());
        String::from_utf8(found.ok_or(EvaluationError::Absent)?.1.clone())
            .map_err(|_| EvaluationError::NoText)
    }

    fn fact(&self, name: &str) -> Option<Res> {
        let r = self.request;
        let text = |t: Option<&str>| t.map(|t| Text(t.to_owned())).ok_or(EvaluationError::Absent);
        let caller = |t: &str| {
            if r.caller {
                Ok(Text(t.to_owned()))
            } else {
                Err(EvaluationError::Absent)
            }
        };
        Some(match name {
            "operation" => text(r.operation),
            "tenant" => text(r.tenant),
            "script" => text(Some(&r.script)),
            "method" => text(Some("POST")),
            "front" => text(Some("fastcgi")),
            "estimate" => r.estimate.map(Span).ok_or(EvaluationError::Absent),
            "need" => Ok(Float(24.5)),
            "rank" => r.rank.map(Float).ok_or(EvaluationError::Absent),
            "peer" => r.peer.map(|p| Int(p as i64)).ok_or(EvaluationError::Absent),
            "arrived" => Ok(Time(r.arrived)),
            "body" => Ok(Bytes(r.body.clone())),
            "caller.address" => r
                .address
                .map(|a| Ip(a.parse::<IpAddr>().unwrap().to_canonical()))
                .ok_or(EvaluationError::Absent),
            "caller.id" => caller("spiffe://saha.example/site/7"),
            "caller.trust_domain" => caller("saha.example"),
            "caller.path" => caller("/site/7"),
            _ => return None,
        })
    }

    pub fn eval(&mut self, e: &Expression) -> Res {
        Ok(match &e.kind {
            ExpressionKind::Bool(v) => Bool(*v),
            ExpressionKind::Int(v) => Int(*v),
            ExpressionKind::Float(v) => Float(*v),
            ExpressionKind::Text(v) => Text(v.clone()),
            ExpressionKind::Bytes(v) => Bytes(v.clone()),
            ExpressionKind::Name(name) => match self.locals.iter().rev().find(|(n, _)| n == name) {
                Some((_, v)) => v.clone(),
                None if name == "params" => Params,
                None if name == "offices" => {
                    Nets(NETWORKS[..3].iter().map(|n| n.parse().unwrap()).collect())
                }
                None if name == "pilots" => List(
                    vocabulary().lists["pilots"]
                        .iter()
                        .cloned()
                        .map(Text)
                        .collect(),
                ),
                None => return self.fact(name).expect("a known name"),
            },
            ExpressionKind::Select(of, field) => match &of.kind {
                ExpressionKind::Name(n) if n == "params" => Text(self.param(field)?),
                ExpressionKind::Name(n) => {
                    return self.fact(&format!("{n}.{field}")).expect("a known name");
                }
                _ => panic!("no field"),
            },
            ExpressionKind::Index(of, at) => match (self.eval(of)?, self.eval(at)?) {
                (Params, Text(name)) => match at.kind {
                    ExpressionKind::Text(_) => Text(self.param(&name)?),
                    _ => Text(self.computed_param(&name)?),
                },
                (List(items), Int(at)) => usize::try_from(at)
                    .ok()
                    .and_then(|at| items.get(at).cloned())
                    .ok_or(EvaluationError::Range)?,
                _ => panic!("no index"),
            },
            ExpressionKind::List(items) => List(
                items
                    .iter()
                    .map(|i| self.eval(i))
                    .collect::<Result<_, _>>()?,
            ),
            ExpressionKind::Not(of) => Bool(!self.truth(of)?),
            ExpressionKind::Minus(of) => match self.eval(of)? {
                Int(v) => Int(to_i64(-i128::from(v))?),
                Span(v) => Span(to_i64(-i128::from(v))?),
                Float(v) => Float(-v),
                _ => panic!("no sign"),
            },
            ExpressionKind::And(all) => return self.joined(all, false),
            ExpressionKind::Or(all) => return self.joined(all, true),
            ExpressionKind::If(c, a, b) => {
                return if self.truth(c)? {
                    self.eval(a)
                } else {
                    self.eval(b)
                };
            }
            ExpressionKind::Binary(op, a, b) => {
                let (a, b) = (self.eval(a)?, self.eval(b)?);
                return self.binary(*op, a, b);
            }
            ExpressionKind::Call(name, args) => return self.call(name, args),
            ExpressionKind::Method(of, name, args) => return self.method(of, name, args),
        })
    }

    fn truth(&mut self, e: &Expression) -> Result<bool, EvaluationError> {
        match self.eval(e)? {
            Bool(v) => Ok(v),
            _ => panic!("no bool"),
        }
    }

    fn joined(&mut self, all: &[Expression], decides: bool) -> Res {
        let results: Vec<_> = all.iter().map(|one| self.truth(one)).collect();
        if results.contains(&Ok(decides)) {
            return Ok(Bool(decides));
        }
        results
            .into_iter()
            .find(|r| r.is_err())
            .unwrap_or(Ok(!decides))
            .map(Bool)
    }

    fn binary(&mut self, op: Binary, a: Val, b: Val) -> Res {
        use Binary::*;
        let wide = |v: i64| i128::from(v);
        Ok(match (op, a, b) {
            (Equal, a, b) => Bool(same(&a, &b)),
            (Differs, a, b) => Bool(!same(&a, &b)),
            (Less, a, b) => Bool(order(&a, &b) == Some(Ordering::Less)),
            (AtMost, a, b) => Bool(matches!(
                order(&a, &b),
                Some(Ordering::Less | Ordering::Equal)
            )),
            (More, a, b) => Bool(order(&a, &b) == Some(Ordering::Greater)),
            (AtLeast, a, b) => Bool(matches!(
                order(&a, &b),
                Some(Ordering::Greater | Ordering::Equal)
            )),
            (In, Ip(ip), Nets(nets)) => Bool(nets.iter().any(|n| n.contains(&ip))),
            (In, Text(name), Params) => Bool(
                self.request
                    .pairs
                    .iter()
                    .any(|(n, _)| *n == name.as_bytes()),
            ),
            (In, v, List(items)) => Bool(items.iter().any(|i| same(i, &v))),
            (Add, Int(a), Int(b)) => Int(to_i64(wide(a) + wide(b))?),
            (Sub, Int(a), Int(b)) => Int(to_i64(wide(a) - wide(b))?),
            (Mul, Int(a), Int(b)) => Int(to_i64(wide(a) * wide(b))?),
            (Div | Rem, Int(_), Int(0)) => return Err(EvaluationError::Zero),
            (Div, Int(a), Int(b)) => Int(to_i64(wide(a) / wide(b))?),
            (Rem, Int(i64::MIN), Int(-1)) => return Err(EvaluationError::Overflow),
            (Rem, Int(a), Int(b)) => Int(to_i64(wide(a) % wide(b))?),
            (Add, Float(a), Float(b)) => Float(a + b),
            (Sub, Float(a), Float(b)) => Float(a - b),
            (Mul, Float(a), Float(b)) => Float(a * b),
            (Div, Float(a), Float(b)) => Float(a / b),
            (Add, Text(a), Text(b)) => Text(a + &b),
            (Add, Bytes(a), Bytes(b)) => Bytes([a, b].concat()),
            (Add, List(a), List(b)) => List([a, b].concat()),
            (Add, Span(a), Span(b)) => Span(to_i64(wide(a) + wide(b))?),
            (Sub, Span(a), Span(b)) | (Sub, Time(a), Time(b)) => Span(to_i64(wide(a) - wide(b))?),
            (Add, Time(a), Span(b)) | (Add, Span(a), Time(b)) => Time(to_i64(wide(a) + wide(b))?),
            (Sub, Time(a), Span(b)) => Time(to_i64(wide(a) - wide(b))?),
            (op, a, b) => panic!("{a:?} {op:?} {b:?}"),
        })
    }

    fn call(&mut self, name: &str, args: &[Expression]) -> Res {
        if name == "has" {
            return Ok(Bool(match &args[0].kind {
                ExpressionKind::Select(of, field) => match &of.kind {
                    ExpressionKind::Name(n) if n == "params" => self
                        .request
                        .pairs
                        .iter()
                        .any(|(n, _)| n == field.as_bytes()),
                    ExpressionKind::Name(n) => self.fact(&format!("{n}.{field}")).unwrap().is_ok(),
                    _ => panic!(),
                },
                ExpressionKind::Name(n) => self.fact(n).unwrap().is_ok(),
                _ => panic!(),
            }));
        }
        let args = args
            .iter()
            .map(|a| self.eval(a))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(match (name, args.as_slice()) {
            ("net", nets) => Nets(
                nets.iter()
                    .map(|n| {
                        if let Text(t) = n {
                            t.parse().unwrap()
                        } else {
                            panic!()
                        }
                    })
                    .collect(),
            ),
            ("size", [Text(t)]) => Int(t.chars().count() as i64),
            ("size", [List(l)]) => Int(l.len() as i64),
            ("int", [Text(t)]) => Int(t.parse().map_err(|_| EvaluationError::NoValue)?),
            ("int", [Float(v)])
                if v.is_nan() || v.abs() >= 2f64.powi(63) && *v != -(2f64.powi(63)) =>
            {
                return Err(EvaluationError::Overflow);
            }
            ("int", [Float(v)]) => Int(v.trunc() as i64),
            ("double", [Text(t)]) => Float(t.parse().map_err(|_| EvaluationError::NoValue)?),
            ("double", [Int(v)]) => Float(*v as f64),
            ("hash", [Text(t), Int(n)]) => {
                Int((madderpoint_rules::eval::stable_hash(t) % *n as u64) as i64)
            }
            ("string", [Bytes(b)]) => {
                Text(String::from_utf8(b.clone()).map_err(|_| EvaluationError::NoText)?)
            }
            ("string", [v]) => Text(show(v)),
            ("bytes", [Text(t)]) => Bytes(t.clone().into_bytes()),
            ("duration", [Text(t)]) => Span(time::span(t).ok_or(EvaluationError::NoValue)?),
            ("timestamp", [Text(t)]) => Time(time::time(t).ok_or(EvaluationError::NoValue)?),
            ("ip", [Text(t)]) => Ip(t
                .parse::<IpAddr>()
                .map_err(|_| EvaluationError::NoValue)?
                .to_canonical()),
            (name, args) => panic!("{name}({args:?})"),
        })
    }

    fn method(&mut self, of: &Expression, name: &str, args: &[Expression]) -> Res {
        let of = self.eval(of)?;
        if let ("all" | "exists" | "map" | "filter", List(items)) = (name, &of) {
            let ExpressionKind::Name(local) = &args[0].kind else {
                panic!()
            };
            let mut results = Vec::new();
            for item in items {
                self.locals.push((local.clone(), item.clone()));
                results.push(self.eval(&args[1]));
                self.locals.pop();
            }
            let decides = name == "exists";
            return match name {
                "map" => results.into_iter().collect::<Result<_, _>>().map(List),
                "filter" => {
                    let kept = results
                        .into_iter()
                        .zip(items)
                        .map(|(r, item)| r.map(|r| (show(&r) == "true", item)));
                    let kept = kept.collect::<Result<Vec<_>, _>>()?;
                    Ok(List(
                        kept.into_iter()
                            .filter(|(keep, _)| *keep)
                            .map(|(_, item)| item.clone())
                            .collect(),
                    ))
                }
                _ => {
                    let truths: Vec<_> = results
                        .into_iter()
                        .map(|r| r.map(|v| show(&v) == "true"))
                        .collect();
                    if truths.contains(&Ok(decides)) {
                        return Ok(Bool(decides));
                    }
                    truths
                        .into_iter()
                        .find(|r| r.is_err())
                        .unwrap_or(Ok(!decides))
                        .map(Bool)
                }
            };
        }
        let args = args
            .iter()
            .map(|a| self.eval(a))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(match (name, of, args.as_slice()) {
            ("size", List(l), []) => Int(l.len() as i64),
            ("startsWith", Text(t), [Text(p)]) => Bool(t.starts_with(p.as_str())),
            ("endsWith", Text(t), [Text(p)]) => Bool(t.ends_with(p.as_str())),
            ("contains", Text(t), [Text(p)]) => Bool(t.contains(p.as_str())),
            ("indexOf", Text(t), [Text(p)]) => Int(t
                .find(p.as_str())
                .map_or(-1, |at| t[..at].chars().count() as i64)),
            ("substring", Text(t), [Int(from)]) => {
                let letters: Vec<char> = t.chars().collect();
                Text(
                    letters
                        .get(*from as usize..)
                        .ok_or(EvaluationError::Range)?
                        .iter()
                        .collect(),
                )
            }
            ("substring", Text(t), [Int(from), Int(to)]) => {
                let letters: Vec<char> = t.chars().collect();
                Text(
                    letters
                        .get(*from as usize..*to as usize)
                        .ok_or(EvaluationError::Range)?
                        .iter()
                        .collect(),
                )
            }
            ("part", Text(t), [Text(by), Int(n)]) => Text(
                t.split(by.as_str())
                    .nth(*n as usize)
                    .ok_or(EvaluationError::Range)?
                    .to_owned(),
            ),
            ("before", Text(t), [Text(by)]) => Text(
                t.split_once(by.as_str())
                    .ok_or(EvaluationError::Range)?
                    .0
                    .to_owned(),
            ),
            ("after", Text(t), [Text(by)]) => Text(
                t.split_once(by.as_str())
                    .ok_or(EvaluationError::Range)?
                    .1
                    .to_owned(),
            ),
            ("lowerAscii", Text(t), []) => Text(t.to_ascii_lowercase()),
            ("upperAscii", Text(t), []) => Text(t.to_ascii_uppercase()),
            ("trim", Text(t), []) => Text(t.trim().to_owned()),
            ("split", Text(t), [Text(by)]) => {
                List(t.split(by.as_str()).map(|p| Text(p.to_owned())).collect())
            }
            // The only pattern that the tests generate: ^[a-z]+(-[0-9]+)?$
            ("matches", Text(t), [_]) => {
                let (word, number) = t
                    .split_once('-')
                    .map_or((t.as_str(), None), |(w, n)| (w, Some(n)));
                let letters = !word.is_empty() && word.bytes().all(|b| b.is_ascii_lowercase());
                let digits =
                    number.is_none_or(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()));
                Bool(letters && digits)
            }
            ("getHours", Time(t), []) => Int(t.div_euclid(3_600_000_000_000).rem_euclid(24)),
            ("getDayOfWeek", Time(t), []) => {
                Int((t.div_euclid(86_400_000_000_000) + 4).rem_euclid(7))
            }
            ("getMilliseconds", Span(v), []) => Int(v / 1_000_000),
            (name, of, args) => panic!("{of:?}.{name}({args:?})"),
        })
    }
}
