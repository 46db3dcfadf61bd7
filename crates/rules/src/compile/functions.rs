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
                None => self.report(&arguments[0].at, "this text is not a valid value", expected),
            };
        }
        let known = Signature::ALL.iter().any(|s| s.name == name && !s.method);
        if !known {
            let names = Signature::ALL
                .iter()
                .filter(|s| !s.method)
                .map(|s| s.name)
                .chain(["has", "net"]);
            let hint = nearest(name, names).map_or("a function of the language".into(), |n| {
                format!("perhaps '{n}'")
            });
            return self.report(at, format!("unknown function '{name}'"), hint);
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
            let hint = nearest(name, names).map_or("a method of the language".into(), |n| {
                format!("perhaps '{n}'")
            });
            return self.report(at, format!("unknown method '{name}'"), hint);
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
            s.arguments.len() == given.len()
                && s.arguments.iter().zip(&given).all(|(t, g)| t.fits(&g.kind))
        };
        let Some(signature) = named().find(fits) else {
            let kinds: Vec<_> = given.iter().map(|g| g.kind.to_string()).collect();
            let signatures: Vec<_> = named().map(Signature::describe).collect();
            let what = format!("'{name}' is given ({})", kinds.join(", "));
            return self.report(at, what, signatures.join(" or "));
        };
        if signature.func == Function::Hash && !matches!(given[1].node, Node::Int(n) if n > 0) {
            return self.report(
                &places[1].at,
                "the number of buckets is not a literal int above 0",
                "such as 100",
            );
        }
        let sizes = given.iter().map(|g| match g.kind {
            Type::List(_) | Type::Params => 0, // their items are counted, not read
            _ => g.size.extent(),
        });
        let sizes: Vec<u64> = sizes.collect();
        let max_cost = given.iter().map(|g| g.max_cost).sum::<u64>()
            + cost::STEP
            + price(signature.func, &sizes);
        let first = given.first().map(|g| g.size.clone()).unwrap_or_default();
        let size = match signature.func {
            Function::ToText => Size {
                bound: first.bound.max(PRINTED),
                item: None,
            },
            Function::Split => Size::list(first.bound + 1, first),
            _ => first,
        };
        let kind = match signature.func {
            Function::Split => Type::List(Box::new(Type::Text)),
            _ => signature.result.kind(),
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
                    None => drop(self.report::<()>(
                        &argument.at,
                        format!("not a valid network: {text:?}"),
                        expected,
                    )),
                },
                _ => drop(self.report::<()>(
                    &argument.at,
                    "the networks of net() must be string literals",
                    expected,
                )),
            }
        }
        if networks.len() != arguments.len() {
            return None;
        }
        if networks.is_empty() {
            return self.report(at, "net() without networks", expected);
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
            return self.report(
                at,
                "matches() takes one pattern as a string literal",
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
                Err(error) => return self.report(place, error.found, error.expected),
            },
        };
        let of = of?;
        let max_cost = of.max_cost + cost::STEP + cost::pattern(of.size.bound);
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
            return self.report(
                at,
                "a macro takes a name and an expression",
                "such as list.exists(x, x == 1)",
            );
        };
        let range = range?;
        let Some((item, size)) = range.items() else {
            let found = format!("this has type {}", range.kind);
            return self.report(&of.at, found, "a list or params");
        };
        if self.locals.len() >= MACROS_MAX {
            return self.report(
                at,
                "macros nested too deeply",
                format!("at most {MACROS_MAX} levels of macros"),
            );
        }
        let variable = Local {
            name: name.clone(),
            kind: item.clone(),
            size: size.clone(),
        };
        let body = self.body(which, variable, body)?;
        let rounds = range.size.bound;
        let max_cost = macro_cost(which, &range, &body);
        let Some((kind, size)) = macro_result(which, item, size, &body, rounds) else {
            return self.report(
                at,
                format!("a list cannot contain items of type {}", body.kind),
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

    /// Checks the body of a macro, in which `variable` is bound to the current item.
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
    /// Returns the type and size of the items over which a macro iterates, or `None` if the
    /// expression cannot be iterated over.
    fn items(&self) -> Option<(Type, Size)> {
        match &self.kind {
            Type::List(item) => Some(((**item).clone(), self.size.item())),
            Type::Params => Some((Type::Text, Size::of(PARAM_MAX))),
            _ => None,
        }
    }
}

/// Returns the worst-case cost of a macro: evaluating its list, one iteration for each item, and
/// building its lists.
fn macro_cost(which: Macro, range: &CompiledExpression, body: &CompiledExpression) -> u64 {
    let rounds = range.size.bound;
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

/// Returns the type and size of the result of a macro over items of this type and size, or `None`
/// if the body yields a value that a list cannot contain.
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
