//! Compiles operators (logic, comparison, arithmetic and `in`) and list literals.

use super::node::Node;
use super::size::Size;
use super::{CheckResult, CompiledExpression, Compiler};
use crate::cost;
use crate::error::ExpressionError;
use crate::facts::{Name, PAIRS_MAX};
use crate::syntax::{Binary, Expression, ExpressionKind};
use crate::value::Type;
use std::collections::HashSet;
use std::ops::Range;
use std::sync::Arc;

impl Compiler<'_> {
    /// Compiles `!a` and `-a`.
    pub(super) fn unary(
        &mut self,
        of: &Expression,
        kinds: &[Type],
        node: fn(Box<Node>) -> Node,
    ) -> CheckResult {
        let of = self.expect(of, kinds)?;
        let max_cost = of.max_cost + cost::STEP;
        Some(CompiledExpression {
            node: node(Box::new(of.node)),
            max_cost,
            ..of
        })
    }

    /// Compiles `condition ? yes : no`.
    pub(super) fn conditional(
        &mut self,
        condition: &Expression,
        yes: &Expression,
        no: &Expression,
    ) -> CheckResult {
        let condition = self.expect(condition, &[Type::Bool]);
        let (typed_yes, typed_no) = (self.check(yes), self.check(no));
        let (condition, yes, no_typed) = (condition?, typed_yes?, typed_no?);
        if yes.kind != no_typed.kind {
            return self.report(
                &no.at,
                format!("this has type {}", no_typed.kind),
                format!("type {}, as after '?'", yes.kind),
            );
        }
        let max_cost = cost::STEP + condition.max_cost + yes.max_cost.max(no_typed.max_cost);
        let size = yes.size.max(&no_typed.size);
        let node = Node::If(Box::new((condition.node, yes.node, no_typed.node)));
        Some(CompiledExpression {
            node,
            kind: yes.kind,
            max_cost,
            size,
        })
    }

    pub(super) fn logical(
        &mut self,
        all: &[Expression],
        node: fn(Box<[Node]>) -> Node,
    ) -> CheckResult {
        let checked: Vec<_> = all
            .iter()
            .map(|one| self.expect(one, &[Type::Bool]))
            .collect();
        let checked: Vec<CompiledExpression> = checked.into_iter().collect::<Option<_>>()?;
        let max_cost = checked.iter().map(|t| t.max_cost).sum::<u64>() + cost::STEP;
        let node = node(checked.into_iter().map(|t| t.node).collect());
        Some(CompiledExpression {
            node,
            kind: Type::Bool,
            max_cost,
            size: Size::default(),
        })
    }

    pub(super) fn list(&mut self, at: &Range<usize>, items: &[Expression]) -> CheckResult {
        let checked: Vec<_> = items.iter().map(|item| self.check(item)).collect();
        let checked: Vec<CompiledExpression> = checked.into_iter().collect::<Option<_>>()?;
        let Some(first) = checked.first() else {
            return self.report(at, "an empty list has no type", "at least one item");
        };
        let kind = first.kind.clone();
        if matches!(kind, Type::Params | Type::Addresses) {
            return self.report(
                at,
                format!("a list cannot contain items of type {kind}"),
                "plain values",
            );
        }
        if let Some(mismatch) = checked.iter().position(|t| t.kind != kind) {
            return self.report(
                &items[mismatch].at,
                format!("this has type {}", checked[mismatch].kind),
                format!("type {kind}, as the first item"),
            );
        }
        let size = checked
            .iter()
            .fold(Size::default(), |size, t| size.max(&t.size));
        let max_cost = checked.iter().map(|t| t.max_cost).sum::<u64>()
            + cost::STEP
            + cost::build(24 * items.len() as u64);
        let node = Node::List(checked.into_iter().map(|t| t.node).collect());
        let size = Size::list(items.len() as u64, size);
        Some(CompiledExpression {
            node,
            kind: Type::List(Box::new(kind)),
            max_cost,
            size,
        })
    }

    /// Reports literal names of operations and tenants that are not in the settings.
    pub(super) fn check_known_names(&mut self, of: &Node, literal: &Expression) {
        if self.vocabulary.open {
            return;
        }
        let (known, what) = match of {
            Node::Fact(Name::Operation) => (&self.vocabulary.operations, "operation"),
            Node::Fact(Name::Tenant) => (&self.vocabulary.tenants, "tenant"),
            _ => return,
        };
        let literals = match &literal.kind {
            ExpressionKind::List(items) => items.as_slice(),
            _ => std::slice::from_ref(literal),
        };
        for one in literals {
            if let ExpressionKind::Text(text) = &one.kind
                && !known.contains(text)
            {
                let (known, what) = (
                    known.join(", "),
                    format!("the settings have no {what} '{text}'"),
                );
                self.errors.push(ExpressionError::new(
                    one.at.clone(),
                    what,
                    format!("one of {known}"),
                ));
            }
        }
    }

    pub(super) fn binary(
        &mut self,
        at: &Range<usize>,
        op: Binary,
        a: &Expression,
        b: &Expression,
    ) -> CheckResult {
        if op == Binary::In {
            return self.is_in(a, b);
        }
        let (left, right) = (self.check(a), self.check(b));
        let (left, right) = (left?, right?);
        let max_cost = left.max_cost + right.max_cost + cost::STEP;
        let mixed = |kind: &Type| match (&left.kind, kind) {
            (Type::Int, Type::Float) => "a double on both sides: double(...)".to_owned(),
            (Type::Float, Type::Int) => "a double on both sides, such as 1.0".to_owned(),
            (kind, _) => format!("a {kind} on both sides"),
        };
        if matches!(op, Binary::Equal | Binary::Differs) && left.kind == right.kind {
            if let (Node::Fact(_), ExpressionKind::Text(_)) = (&left.node, &b.kind) {
                self.check_known_names(&left.node, b);
            } else if let (Node::Fact(_), ExpressionKind::Text(_)) = (&right.node, &a.kind) {
                self.check_known_names(&right.node, a);
            }
        }
        let Some((kind, cost, size)) = binary_result(op, &left, &right) else {
            let what = format!(
                "'{}' has no meaning between {} and {}",
                op.sign(),
                left.kind,
                right.kind
            );
            return self.report(at, what, mixed(&right.kind));
        };
        let max_cost = max_cost + cost;
        Some(CompiledExpression {
            node: Node::Binary(op, Box::new((left.node, right.node))),
            kind,
            max_cost,
            size,
        })
    }

    pub(super) fn is_in(&mut self, a: &Expression, b: &Expression) -> CheckResult {
        // A literal parameter name: whether the request has this parameter.
        if let ExpressionKind::Text(name) = &a.kind
            && let Some(slot) = self.literal_param(b, name)
        {
            return self.leaf(Node::HasSlot(slot?), Type::Bool, Size::default());
        }
        if let ExpressionKind::Name(name) = &b.kind
            && !self.locals.iter().any(|local| local.name == *name)
            && let Some(list) = self.vocabulary.lists.get(name)
        {
            return self.is_in_named_list(a, name, list);
        }
        let (left, right) = (self.check(a), self.check(b));
        let (left, right) = (left?, right?);
        let max_cost = left.max_cost + cost::STEP;
        match (&left.kind, &right.kind) {
            (Type::Text, Type::Params) => boolean(
                Node::HasParam(Box::new(left.node)),
                max_cost + cost::find(PAIRS_MAX as u64, left.size.bound),
            ),
            (Type::Address, Type::Addresses) => boolean(
                Node::Binary(Binary::In, Box::new((left.node, right.node))),
                max_cost + right.max_cost + cost::LOOK,
            ),
            (kind, Type::List(item)) if **item == *kind => self.is_in_list(left, right, b),
            (kind, Type::List(item)) => self.report(
                &a.at,
                format!("this has type {kind}"),
                format!("type {item}, as the items of the list"),
            ),
            (kind, Type::Addresses) => {
                self.report(&a.at, format!("this has type {kind}"), "type ip")
            }
            (kind, Type::Params) => self.report(
                &a.at,
                format!("this has type {kind}"),
                "type string, the name of a parameter",
            ),
            (_, kind) => self.report(
                &b.at,
                format!("this has type {kind}"),
                "a list, addresses or params",
            ),
        }
    }

    fn is_in_named_list(&mut self, a: &Expression, name: &str, list: &[String]) -> CheckResult {
        let set = self
            .lists
            .entry(name.to_owned())
            .or_insert_with(|| Arc::new(list.iter().map(|text| text.as_str().into()).collect()));
        let set = Arc::clone(set);
        let left = self.expect(a, &[Type::Text])?;
        let max_cost = left.max_cost + cost::STEP + cost::LOOK + cost::compare(left.size.bound);
        boolean(Node::InTexts(Box::new(left.node), set), max_cost)
    }

    /// Compiles membership in a list whose items have the type of the left side. A list of string
    /// or int constants becomes a hash set.
    fn is_in_list(
        &mut self,
        left: CompiledExpression,
        right: CompiledExpression,
        b: &Expression,
    ) -> CheckResult {
        let max_cost = left.max_cost + cost::STEP;

        self.check_known_names(&left.node, b);
        if let Node::List(items) = &right.node {
            let texts = items.iter().map(|n| match n {
                Node::Text(text) => Some(text.clone()),
                _ => None,
            });
            let look = max_cost + cost::LOOK + cost::compare(left.size.bound);
            if let Some(texts) = texts.collect::<Option<HashSet<_>>>() {
                return boolean(Node::InTexts(Box::new(left.node), Arc::new(texts)), look);
            }
            let ints = items
                .iter()
                .map(|n| if let Node::Int(n) = n { Some(*n) } else { None });
            if let Some(ints) = ints.collect::<Option<HashSet<_>>>() {
                return boolean(Node::InInts(Box::new(left.node), Arc::new(ints)), look);
            }
        }
        let each = cost::compare(left.size.extent().min(right.size.item().extent()));
        let max_cost = max_cost + right.max_cost + right.size.bound.saturating_mul(each);
        boolean(
            Node::Binary(Binary::In, Box::new((left.node, right.node))),
            max_cost,
        )
    }
}

/// Returns a compiled expression of type bool.
fn boolean(node: Node, max_cost: u64) -> CheckResult {
    Some(CompiledExpression {
        node,
        kind: Type::Bool,
        max_cost,
        size: Size::default(),
    })
}

/// Returns the type of an operator's result, the cost in addition to the step, and the size of the
/// result; `None` if the operator is not defined for these types.
fn binary_result(
    op: Binary,
    left: &CompiledExpression,
    right: &CompiledExpression,
) -> Option<(Type, u64, Size)> {
    use Binary::*;
    use Type as T;
    let (left_size, right_size) = (left.size.extent(), right.size.extent());
    let compare = cost::compare(left_size.min(right_size));
    let plain = |kind| Some((kind, 0, Size::default()));
    match (op, &left.kind, &right.kind) {
        (Equal | Differs, x, y) if x == y && !matches!(x, T::Params | T::Addresses) => {
            Some((T::Bool, compare, Size::default()))
        }
        (Less | AtMost | More | AtLeast, x, y)
            if x == y
                && matches!(
                    x,
                    T::Bool | T::Int | T::Float | T::Text | T::Bytes | T::Span | T::Time
                ) =>
        {
            Some((T::Bool, compare, Size::default()))
        }
        (Add, T::Text | T::Bytes, y) if left.kind == *y => {
            let bound = left_size + right_size;
            let size = Size { bound, item: None };
            Some((left.kind.clone(), cost::build(bound), size))
        }
        (Add, T::List(_), y) if left.kind == *y => {
            let bound = left.size.bound + right.size.bound;
            let item = left.size.item().max(&right.size.item());
            let size = Size::list(bound, item);
            Some((left.kind.clone(), cost::build(24 * bound), size))
        }
        (Add | Sub | Mul | Div | Rem, T::Int, T::Int) => plain(T::Int),
        (Add | Sub | Mul | Div, T::Float, T::Float) => plain(T::Float),
        (Add | Sub, T::Span, T::Span) => plain(T::Span),
        (Add | Sub, T::Time, T::Span) | (Add, T::Span, T::Time) => plain(T::Time),
        (Sub, T::Time, T::Time) => plain(T::Span),
        _ => None,
    }
}
