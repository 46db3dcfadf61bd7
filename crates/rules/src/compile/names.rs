//! Resolves names: facts, parameters, macro variables, named sets and lists.

use super::node::Node;
use super::size::Size;
use super::spelling::nearest;
use super::{CheckResult, CompiledExpression, Compiler, SLOTS_MAX};
use crate::cost;
use crate::facts::{Name, PAIRS_MAX, PARAM_MAX};
use crate::syntax::{Expression, ExpressionKind};
use crate::value::Type;
use std::ops::Range;
use std::sync::Arc;

impl Compiler<'_> {
    pub(super) fn fact(&mut self, name: Name) -> CheckResult {
        let longest = |names: &[String]| names.iter().map(String::len).max().unwrap_or(0);
        let most = match name {
            name if self.vocabulary.open => name.most(),
            Name::Operation => longest(&self.vocabulary.operations),
            Name::Tenant => longest(&self.vocabulary.tenants),
            name => name.most(),
        };
        self.leaf(Node::Fact(name), name.kind(), Size::of(most))
    }

    pub(super) fn name(&mut self, at: &Range<usize>, name: &str) -> CheckResult {
        if let Some(place) = self.locals.iter().rposition(|local| local.name == name) {
            let local = &self.locals[place];
            return self.leaf(
                Node::Local(place as u8),
                local.kind.clone(),
                local.size.clone(),
            );
        }
        if let Some((_, fact)) = Name::ALL.iter().find(|(text, _)| *text == name) {
            return self.fact(*fact);
        }
        if name == "params" {
            self.names.require_all();
            return self.leaf(Node::Params, Type::Params, Size::of(PAIRS_MAX));
        }
        if let Some(set) = self.vocabulary.sets.get(name) {
            return self.leaf(Node::Set(Arc::clone(set)), Type::Addresses, Size::default());
        }
        if let Some(list) = self.vocabulary.lists.get(name) {
            let longest = list.iter().map(String::len).max().unwrap_or(0);
            let items: Vec<_> = list
                .iter()
                .map(|text| Node::Text(text.as_str().into()))
                .collect();
            let size = Size::list(items.len() as u64, Size::of(longest));
            let max_cost =
                cost::STEP + items.len() as u64 * cost::STEP + cost::build(items.len() as u64 * 24);
            return Some(CompiledExpression {
                node: Node::List(items.into()),
                kind: Type::List(Type::Text.into()),
                max_cost,
                size,
            });
        }
        let known = self.nearest(name);
        self.report(at, format!("unknown name '{name}'"), known)
    }

    /// Returns the hint for an unknown name: the closest known name, or all known names.
    pub(super) fn nearest(&self, name: &str) -> String {
        let facts = Name::ALL.iter().map(|(text, _)| *text).chain(["params"]);
        let sets = self
            .vocabulary
            .sets
            .keys()
            .chain(self.vocabulary.lists.keys())
            .map(String::as_str);
        let known: Vec<&str> = facts.chain(sets).collect();
        match nearest(name, known.iter().copied()) {
            Some(near) => format!("perhaps '{near}'"),
            None => format!("one of {}", known.join(", ")),
        }
    }

    /// Assigns a slot if `of` is `params`, so that the expression names a parameter literally.
    /// Returns `None` if `of` is something else, and `Some(None)` after reporting that there are
    /// too many parameters.
    pub(super) fn literal_param(&mut self, of: &Expression, name: &str) -> Option<Option<u16>> {
        if !matches!(&of.kind, ExpressionKind::Name(n) if n == "params")
            || self.locals.iter().any(|l| l.name == "params")
        {
            return None;
        }
        let most = self
            .vocabulary
            .params
            .get(name)
            .copied()
            .unwrap_or(PARAM_MAX);
        let slot = self.names.slot(name, most);
        if self.names.len() > SLOTS_MAX {
            self.report::<()>(
                &of.at,
                "the rules name too many parameters",
                format!("at most {SLOTS_MAX} in all rules"),
            );
            return Some(None);
        }
        Some(Some(slot))
    }

    pub(super) fn slot(&mut self, slot: u16) -> CheckResult {
        let most = self
            .vocabulary
            .params
            .get(self.names.name(slot))
            .copied()
            .unwrap_or(PARAM_MAX);
        self.leaf(Node::Slot(slot), Type::Text, Size::of(most))
    }

    /// Returns the fact whose name is `of.field`, such as `caller.id`.
    pub(super) fn dotted(of: &Expression, field: &str) -> Option<Name> {
        let ExpressionKind::Name(first) = &of.kind else {
            return None;
        };
        let whole = format!("{first}.{field}");
        Name::ALL
            .iter()
            .find(|(text, _)| *text == whole)
            .map(|(_, name)| *name)
    }

    pub(super) fn select(
        &mut self,
        expr: &Expression,
        of: &Expression,
        field: &str,
    ) -> CheckResult {
        if let Some(slot) = self.literal_param(of, field) {
            return self.slot(slot?);
        }
        if let Some(name) = Self::dotted(of, field) {
            return self.fact(name);
        }
        if matches!(&of.kind, ExpressionKind::Name(n) if n == "caller") {
            let known = "caller.address, caller.id, caller.trust_domain, caller.path";
            return self.report(&expr.at, format!("unknown name 'caller.{field}'"), known);
        }
        let of = self.check(of)?;
        self.report(
            &expr.at,
            format!("a {} has no field '{field}'", of.kind),
            "params.NAME",
        )
    }

    pub(super) fn index(&mut self, of: &Expression, at: &Expression) -> CheckResult {
        if let ExpressionKind::Text(name) = &at.kind
            && let Some(slot) = self.literal_param(of, name)
        {
            return self.slot(slot?);
        }
        let whole = self.check(of);
        let place = self.check(at);
        let (whole, place) = (whole?, place?);
        let max_cost = whole.max_cost + place.max_cost + cost::STEP;
        match (&whole.kind, &place.kind) {
            (Type::Params, Type::Text) => {
                let max_cost = max_cost + cost::find(PAIRS_MAX as u64, place.size.bound);
                let node = Node::Param(Box::new(place.node));
                Some(CompiledExpression {
                    node,
                    kind: Type::Text,
                    max_cost,
                    size: Size::of(PARAM_MAX),
                })
            }
            (Type::List(item), Type::Int) => {
                let (kind, size) = ((**item).clone(), whole.size.item());
                let node = Node::Item(Box::new((whole.node, place.node)));
                Some(CompiledExpression {
                    node,
                    kind,
                    max_cost,
                    size,
                })
            }
            (Type::Params | Type::List(_), kind) => {
                let expected = if whole.kind == Type::Params {
                    "type string"
                } else {
                    "type int"
                };
                self.report(&at.at, format!("this has type {kind}"), expected)
            }
            (kind, _) => self.report(
                &of.at,
                format!("a {kind} cannot be indexed"),
                "params or a list",
            ),
        }
    }

    pub(super) fn has(&mut self, at: &Range<usize>, arguments: &[Expression]) -> CheckResult {
        let expected = "one fact or parameter, such as has(params.SITE) or has(estimate)";
        let [of] = arguments else {
            return self.report(at, "has() takes one argument", expected);
        };
        let node = match &of.kind {
            ExpressionKind::Name(name) => Name::ALL
                .iter()
                .find(|(text, _)| text == name)
                .map(|(_, n)| Node::HasFact(*n)),
            ExpressionKind::Select(of, field) => match self.literal_param(of, field) {
                Some(slot) => Some(Node::HasSlot(slot?)),
                None => Self::dotted(of, field).map(Node::HasFact),
            },
            ExpressionKind::Index(of, at) => match &at.kind {
                ExpressionKind::Text(name) => match self.literal_param(of, name) {
                    Some(slot) => Some(Node::HasSlot(slot?)),
                    None => None,
                },
                _ => None,
            },
            _ => None,
        };
        match node {
            Some(node) => self.leaf(node, Type::Bool, Size::default()),
            None => self.report(&of.at, "has() cannot test this", expected),
        }
    }
}
