//! Calls of functions, methods and macros.

use super::node::{Function, Macro, Node};
use super::price::price;
use super::signature::Signature;
use super::size::Size;
use super::spelling::nearest;
use super::{CheckResult, CompiledExpression, Compiler, Local, MACROS_MAX, PRINTED};
use crate::address::{self, AddressSet};
use crate::cost;
use crate::facts::PARAM_MAX;
use crate::pattern::Pattern;
use crate::syntax::{Expression, ExpressionKind};
use crate::time;
use crate::value::Type;
use std::ops::Range;
use std::sync::Arc;

impl Compiler<'_> {
    pub(super) fn call(
        &mut self,
        at: &Range<usize>,
        name: &str,
        arguments: &[Expression],
    ) -> CheckResult {
        match name {
            "has" => return self.has(at, arguments),
            "net" => return self.net(at, arguments),
            _ => {}
        }
        let literal = match arguments {
            [
                Expression {
                    kind: ExpressionKind::Text(text),
                    ..
                },
            ] => Some(text.as_str()),
            _ => None,
        };
        let constant = match (name, literal) {
            ("duration", Some(text)) => Some((
                time::span(text).map(Node::Span),
                Type::Span,
                "a duration such as \"250ms\" or \"1h30m\"",
            )),
            ("timestamp", Some(text)) => Some((
                time::time(text).map(Node::Time),
                Type::Time,
                "a time such as \"2026-12-01T08:00:00Z\"",
            )),
            ("ip", Some(text)) => Some((
                text.parse().ok().map(|a| Node::Address(address::plain(a))),
                Type::Address,
                "an address such as \"10.1.2.3\"",
            )),
            _ => None,
        };
        if let Some((node, kind, expected)) = constant {
            return match node {
                Some(node) => self.leaf(node, kind, Size::default()),
                None => self.wrong(&arguments[0].at, "this text is no such value", expected),
            };
        }
        let known = Signature::ALL.iter().any(|s| s.name == name && !s.method);
        if !known {
            let names = Signature::ALL
                .iter()
                .filter(|s| !s.method)
                .map(|s| s.name)
                .chain(["has", "net"]);
            let near = nearest(name, names).map_or("a function of the language".into(), |n| {
                format!("perhaps '{n}'")
            });
            return self.wrong(at, format!("unknown function '{name}'"), near);
        }
        let checked: Vec<_> = arguments.iter().map(|a| self.check(a)).collect();
        let checked: Vec<CompiledExpression> = checked.into_iter().collect::<Option<_>>()?;
        self.apply(at, name, false, checked, arguments)
    }

    pub(super) fn method(
        &mut self,
        at: &Range<usize>,
        of: &Expression,
        name: &str,
        arguments: &[Expression],
    ) -> CheckResult {
        let macros = [
            ("all", Macro::All),
            ("exists", Macro::Exists),
            ("map", Macro::Map),
            ("filter", Macro::Filter),
        ];
        if let Some((_, which)) = macros.iter().find(|(n, _)| *n == name) {
            return self.iterate(at, *which, of, arguments);
        }
        if name == "matches" {
            return self.matches(at, of, arguments);
        }
        if !Signature::ALL.iter().any(|s| s.name == name && s.method) {
            let names = Signature::ALL.iter().filter(|s| s.method).map(|s| s.name);
            let names = names.chain(["matches", "all", "exists", "map", "filter"]);
            let near = nearest(name, names).map_or("a method of the language".into(), |n| {
                format!("perhaps '{n}'")
            });
            return self.wrong(at, format!("unknown method '{name}'"), near);
        }
        let of_typed = self.check(of);
        let rest: Vec<_> = arguments.iter().map(|a| self.check(a)).collect();
        let mut checked = vec![of_typed?];
        checked.extend(rest.into_iter().collect::<Option<Vec<_>>>()?);
        let mut places = vec![of.clone()];
        places.extend_from_slice(arguments);
        self.apply(at, name, true, checked, &places)
    }

    pub(super) fn apply(
        &mut self,
        at: &Range<usize>,
        name: &str,
        method: bool,
        given: Vec<CompiledExpression>,
        places: &[Expression],
    ) -> CheckResult {
        let named = || {
            Signature::ALL
                .iter()
                .filter(|s| s.name == name && s.method == method)
        };
        let fits = |s: &&Signature| {
            s.takes.len() == given.len() && s.takes.iter().zip(&given).all(|(t, g)| t.fits(&g.kind))
        };
        let Some(signature) = named().find(fits) else {
            let kinds: Vec<_> = given.iter().map(|g| g.kind.to_string()).collect();
            let shown: Vec<_> = named().map(Signature::shown).collect();
            let what = format!("'{name}' is given ({})", kinds.join(", "));
            return self.wrong(at, what, shown.join(" or "));
        };
        if signature.func == Function::Hash && !matches!(given[1].node, Node::Int(n) if n > 0) {
            return self.wrong(
                &places[1].at,
                "the number of buckets is not a whole number above 0",
                "such as 100",
            );
        }
        let sizes = given.iter().map(|g| match g.kind {
            Type::List(_) | Type::Params => 0, // their items are counted, not looked at
            _ => g.size.extent(),
        });
        let sizes: Vec<u64> = sizes.collect();
        let max_cost = given.iter().map(|g| g.max_cost).sum::<u64>()
            + cost::STEP
            + price(signature.func, &sizes);
        let first = given.first().map(|g| g.size.clone()).unwrap_or_default();
        let size = match signature.func {
            Function::ToText => Size {
                most: first.most.max(PRINTED),
                item: None,
            },
            Function::Split => Size::list(first.most + 1, first),
            _ => first,
        };
        let kind = match signature.func {
            Function::Split => Type::List(Box::new(Type::Text)),
            _ => signature.gives.kind(),
        };
        let nodes = given.into_iter().map(|g| g.node).collect();
        Some(CompiledExpression {
            node: Node::Call(signature.func, nodes),
            kind,
            max_cost,
            size,
        })
    }

    pub(super) fn net(&mut self, at: &Range<usize>, arguments: &[Expression]) -> CheckResult {
        let expected = "networks such as net(\"10.0.0.0/8\", \"192.168.7.1\")";
        let mut networks = Vec::new();
        for argument in arguments {
            match &argument.kind {
                ExpressionKind::Text(text) => match address::network(text) {
                    Some(net) => networks.push(net),
                    None => drop(self.wrong::<()>(
                        &argument.at,
                        format!("no network: {text:?}"),
                        expected,
                    )),
                },
                _ => drop(self.wrong::<()>(&argument.at, "networks are written out", expected)),
            }
        }
        if networks.len() != arguments.len() {
            return None;
        }
        if networks.is_empty() {
            return self.wrong(at, "net() without networks", expected);
        }
        self.leaf(
            Node::Set(Arc::new(AddressSet::new(networks))),
            Type::Addresses,
            Size::default(),
        )
    }

    pub(super) fn matches(
        &mut self,
        at: &Range<usize>,
        of: &Expression,
        arguments: &[Expression],
    ) -> CheckResult {
        let of = self.expect(of, &[Type::Text]);
        let [
            Expression {
                kind: ExpressionKind::Text(pattern),
                at: place,
                ..
            },
        ] = arguments
        else {
            return self.wrong(
                at,
                "matches() takes one pattern, written out",
                "such as matches(\"^[a-z]+$\")",
            );
        };
        let pattern = match self.patterns.get(pattern) {
            Some(known) => Arc::clone(known),
            None => match Pattern::new(pattern) {
                Ok(built) => {
                    let built = Arc::new(built);
                    self.patterns.insert(pattern.clone(), Arc::clone(&built));
                    built
                }
                Err(error) => return self.wrong(place, error.found, error.expected),
            },
        };
        let of = of?;
        let max_cost = of.max_cost + cost::STEP + cost::pattern(of.size.most);
        let node = Node::Matches(Box::new(of.node), pattern);
        Some(CompiledExpression {
            node,
            kind: Type::Bool,
            max_cost,
            size: Size::default(),
        })
    }

    pub(super) fn iterate(
        &mut self,
        at: &Range<usize>,
        which: Macro,
        of: &Expression,
        arguments: &[Expression],
    ) -> CheckResult {
        let range = self.check(of);
        let [
            Expression {
                kind: ExpressionKind::Name(name),
                ..
            },
            body,
        ] = arguments
        else {
            return self.wrong(
                at,
                "a macro takes a name and an expression",
                "such as list.exists(x, x == 1)",
            );
        };
        let range = range?;
        let Some((item, size)) = range.items() else {
            let found = format!("this is a {}", range.kind);
            return self.wrong(&of.at, found, "a list or params");
        };
        if self.locals.len() >= MACROS_MAX {
            return self.wrong(
                at,
                "macros nested too deep",
                format!("at most {MACROS_MAX} in each other"),
            );
        }
        let variable = Local {
            name: name.clone(),
            kind: item.clone(),
            size: size.clone(),
        };
        let body = self.body(which, variable, body)?;
        let rounds = range.size.most;
        let max_cost = macro_cost(which, &range, &body);
        let Some((kind, size)) = macro_result(which, item, size, &body, rounds) else {
            return self.wrong(
                at,
                format!("a {} is no item of a list", body.kind),
                "plain values",
            );
        };
        Some(CompiledExpression {
            node: Node::Loop(which, Box::new((range.node, body.node))),
            kind,
            max_cost,
            size,
        })
    }

    /// The body of a macro, in which a variable stands for the item.
    fn body(&mut self, which: Macro, variable: Local, body: &Expression) -> CheckResult {
        self.locals.push(variable);
        let body = match which {
            Macro::Map => self.check(body),
            _ => self.expect(body, &[Type::Bool]),
        };
        self.locals.pop();
        body
    }
}

impl CompiledExpression {
    /// The type and size of the items over which a macro iterates; `None` if it can't.
    fn items(&self) -> Option<(Type, Size)> {
        match &self.kind {
            Type::List(item) => Some(((**item).clone(), self.size.item())),
            Type::Params => Some((Type::Text, Size::of(PARAM_MAX))),
            _ => None,
        }
    }
}

/// The worst case of a macro: its list, a round for each item, and the lists that it builds.
fn macro_cost(which: Macro, range: &CompiledExpression, body: &CompiledExpression) -> u64 {
    let rounds = range.size.most;
    let built = || cost::build(24 * rounds);
    let mut max_cost = rounds
        .saturating_mul(body.max_cost + cost::ROUND)
        .saturating_add(range.max_cost + cost::STEP);
    if range.kind == Type::Params {
        max_cost = max_cost.saturating_add(built());
    }
    if matches!(which, Macro::Map | Macro::Filter) {
        max_cost = max_cost.saturating_add(built());
    }
    max_cost
}

/// The type and size of what a macro gives, for items of this type and size; `None` if the body
/// gives what can't be in a list.
fn macro_result(
    which: Macro,
    item: Type,
    size: Size,
    body: &CompiledExpression,
    rounds: u64,
) -> Option<(Type, Size)> {
    match which {
        Macro::All | Macro::Exists => Some((Type::Bool, Size::default())),
        Macro::Filter => Some((Type::List(Box::new(item)), Size::list(rounds, size))),
        Macro::Map if matches!(body.kind, Type::Params | Type::Addresses) => None,
        Macro::Map => Some((
            Type::List(Box::new(body.kind.clone())),
            Size::list(rounds, body.size.clone()),
        )),
    }
}
