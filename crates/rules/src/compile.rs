//! Compiles a syntax tree for evaluation: resolves names, checks types and computes the worst-case
//! cost.

mod functions;
mod names;
mod node;
mod operators;
mod price;
mod signature;
mod size;
mod spelling;

pub use node::{Function, Macro, Node};
pub use price::price;

use crate::address::AddressSet;
use crate::cost;
use crate::error::ExpressionError;
use crate::facts::ParamNames;
use crate::pattern::Pattern;
use crate::syntax::{Expression, ExpressionKind};
use crate::value::Type;
use node::text_set_bytes;
use size::Size;
use std::collections::{BTreeMap, HashSet};
use std::ops::Range;
use std::sync::Arc;

/// Deepest nesting of macros. The iterations of nested macros multiply, so the cost limit accepts a
/// third level only over very short lists.
pub const MACROS_MAX: usize = 3;
/// Largest number of different request parameters that all rules together may name.
const SLOTS_MAX: usize = 512;
/// Longest text, in bytes, that a conversion parses as a number, duration, time or address.
pub const VALUE_MAX: usize = 64;
/// Upper bound, in bytes, on the printed form of a number, duration, time or address.
const PRINTED: u64 = 40;

/// Names that expressions may use.
#[derive(Clone, Debug, Default)]
pub struct Vocabulary {
    /// True if operations and tenants may have any name, because there are no settings to check the
    /// names against.
    pub open: bool,
    /// Names of the operations, in the order of the settings.
    pub operations: Vec<String>,
    /// Names of the tenants in the settings.
    pub tenants: Vec<String>,
    /// Declared maximum length in bytes of request parameters, by parameter name.
    pub params: BTreeMap<String, usize>,
    /// Address sets of the settings, by name.
    pub sets: BTreeMap<String, Arc<AddressSet>>,
    /// String lists of the settings, by name.
    pub lists: BTreeMap<String, Vec<String>>,
}

/// A compiled expression.
#[derive(Clone, Debug)]
pub struct CompiledExpression {
    /// Tree to evaluate.
    pub node: Node,
    /// Type of the result.
    pub kind: Type,
    /// Worst-case cost of one evaluation, in cost units.
    pub max_cost: u64,
    size: Size,
}

/// The variable of an enclosing macro.
struct Local {
    name: String,
    kind: Type,
    size: Size,
}

/// Compiles expressions that share parameter slots, and collects their errors.
pub struct Compiler<'v> {
    vocabulary: &'v Vocabulary,
    /// Parameters named by the expressions compiled so far, with their slots.
    pub names: ParamNames,
    /// Errors in the expression that is being compiled.
    pub errors: Vec<ExpressionError>,
    locals: Vec<Local>,
    patterns: BTreeMap<String, Arc<Pattern>>,
    lists: BTreeMap<String, Arc<HashSet<Box<str>>>>,
}

type CheckResult = Option<CompiledExpression>;

impl<'v> Compiler<'v> {
    /// Creates a compiler for expressions that use this vocabulary.
    pub fn new(vocabulary: &'v Vocabulary) -> Compiler<'v> {
        Compiler {
            vocabulary,
            names: ParamNames::default(),
            errors: Vec::new(),
            locals: Vec::new(),
            patterns: BTreeMap::new(),
            lists: BTreeMap::new(),
        }
    }

    /// Compiles an expression that must have the type `kind` and a worst-case cost of at most
    /// `limit` units.
    ///
    /// # Errors
    ///
    /// Returns all errors found in the expression.
    pub fn compile(
        &mut self,
        expr: &Expression,
        kind: &Type,
        limit: u64,
    ) -> Result<CompiledExpression, Vec<ExpressionError>> {
        self.errors.clear();
        self.locals.clear();
        let typed = self.check(expr);
        if let Some(typed) = &typed {
            if typed.kind != *kind {
                self.report::<()>(
                    &expr.at,
                    format!("this has type {}", typed.kind),
                    format!("type {kind}"),
                );
            } else if typed.max_cost > limit {
                let what = format!("the worst case costs {} units", typed.max_cost);
                let hint = "declare the parameters' lengths, or simplify the expression";
                self.report::<()>(&expr.at, what, format!("at most {limit}: {hint}"));
            }
        }
        match typed {
            Some(typed) if self.errors.is_empty() => Ok(typed),
            _ => Err(std::mem::take(&mut self.errors)),
        }
    }

    pub(super) fn report<T>(
        &mut self,
        at: &Range<usize>,
        what: impl Into<String>,
        expected: impl Into<String>,
    ) -> Option<T> {
        self.errors
            .push(ExpressionError::new(at.clone(), what, expected));
        None
    }

    /// Returns the memory, in bytes, of the parts that expressions share: patterns and the hash
    /// sets of named lists.
    pub fn shared_bytes(&self) -> usize {
        let patterns: usize = self.patterns.values().map(|pattern| pattern.bytes()).sum();
        patterns
            + self
                .lists
                .values()
                .map(|set| text_set_bytes(set))
                .sum::<usize>()
    }

    pub(super) fn leaf(&self, node: Node, kind: Type, size: Size) -> CheckResult {
        Some(CompiledExpression {
            node,
            kind,
            max_cost: cost::STEP,
            size,
        })
    }

    pub(super) fn check(&mut self, expr: &Expression) -> CheckResult {
        match &expr.kind {
            ExpressionKind::Bool(v) => self.leaf(Node::Bool(*v), Type::Bool, Size::default()),
            ExpressionKind::Int(v) => self.leaf(Node::Int(*v), Type::Int, Size::default()),
            ExpressionKind::Float(v) => self.leaf(Node::Float(*v), Type::Float, Size::default()),
            ExpressionKind::Text(v) => {
                self.leaf(Node::Text(v.as_str().into()), Type::Text, Size::of(v.len()))
            }
            ExpressionKind::Bytes(v) => self.leaf(
                Node::Bytes(v.as_slice().into()),
                Type::Bytes,
                Size::of(v.len()),
            ),
            ExpressionKind::Name(name) => self.name(&expr.at, name),
            ExpressionKind::Select(of, field) => self.select(expr, of, field),
            ExpressionKind::Index(of, at) => self.index(of, at),
            ExpressionKind::Call(name, arguments) => self.call(&expr.at, name, arguments),
            ExpressionKind::Method(of, name, arguments) => {
                self.method(&expr.at, of, name, arguments)
            }
            ExpressionKind::List(items) => self.list(&expr.at, items),
            ExpressionKind::Not(of) => self.unary(of, &[Type::Bool], Node::Not),
            ExpressionKind::Minus(of) => {
                self.unary(of, &[Type::Int, Type::Float, Type::Span], Node::Minus)
            }
            ExpressionKind::And(all) => self.logical(all, Node::And),
            ExpressionKind::Or(all) => self.logical(all, Node::Or),
            ExpressionKind::If(condition, yes, no) => self.conditional(condition, yes, no),
            ExpressionKind::Binary(op, a, b) => self.binary(&expr.at, *op, a, b),
        }
    }

    /// Checks an expression and reports an error unless it has one of the given types.
    pub(super) fn expect(&mut self, expr: &Expression, kinds: &[Type]) -> CheckResult {
        let typed = self.check(expr)?;
        if kinds.contains(&typed.kind) {
            return Some(typed);
        }
        let kinds: Vec<_> = kinds.iter().map(Type::to_string).collect();
        self.report(
            &expr.at,
            format!("this has type {}", typed.kind),
            kinds.join(" or "),
        )
    }
}
