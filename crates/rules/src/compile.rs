//! Compiles a syntax tree to a form that is evaluated: names resolved, types checked, the worst
//! case of its cost known.

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
use node::texts;
use size::Size;
use std::collections::{BTreeMap, HashSet};
use std::ops::Range;
use std::sync::Arc;

/// The deepest nesting of macros. Their rounds multiply, so a third one is only ever accepted over
/// lists that are very short.
pub const MACROS_MAX: usize = 3;
/// The most parameters that all rules together may name.
const SLOTS_MAX: usize = 512;
/// The longest text, in bytes, that is parsed as a number, time or address.
pub const VALUE_MAX: usize = 64;
/// The most bytes of a printed number, time or address.
const PRINTED: u64 = 40;

/// The names that expressions may use.
#[derive(Clone, Debug, Default)]
pub struct Vocabulary {
    /// Whether operations and tenants may have any name, as when there are no settings to check
    /// them against.
    pub open: bool,
    /// Operations of the settings, in their order.
    pub operations: Vec<String>,
    /// Tenants of the settings.
    pub tenants: Vec<String>,
    /// Parameters whose length is declared.
    pub params: BTreeMap<String, usize>,
    /// Named sets of addresses.
    pub sets: BTreeMap<String, Arc<AddressSet>>,
    /// Named lists of strings.
    pub lists: BTreeMap<String, Vec<String>>,
}

/// A compiled expression.
#[derive(Clone, Debug)]
pub struct CompiledExpression {
    /// What is evaluated.
    pub node: Node,
    /// Its type.
    pub kind: Type,
    /// The most units that evaluating it takes.
    pub max_cost: u64,
    size: Size,
}

struct Local {
    name: String,
    kind: Type,
    size: Size,
}

/// Compiles expressions that share slots of parameters; gathers what is wrong with them.
pub struct Compiler<'v> {
    vocabulary: &'v Vocabulary,
    /// Slots so far.
    pub names: ParamNames,
    /// What is wrong with the expression at hand.
    pub errors: Vec<ExpressionError>,
    locals: Vec<Local>,
    patterns: BTreeMap<String, Arc<Pattern>>,
    lists: BTreeMap<String, Arc<HashSet<Box<str>>>>,
}

type CheckResult = Option<CompiledExpression>;

impl<'v> Compiler<'v> {
    /// A compiler of expressions that use these words.
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

    /// Compiles an expression that is to have this type and to cost no more than this. All that is
    /// wrong is given.
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
                self.wrong::<()>(
                    &expr.at,
                    format!("this is a {}", typed.kind),
                    format!("a {kind}"),
                );
            } else if typed.max_cost > limit {
                let what = format!("the worst case costs {} units", typed.max_cost);
                let hint = "declare the parameters' lengths, or ask for less";
                self.wrong::<()>(&expr.at, what, format!("at most {limit}: {hint}"));
            }
        }
        match typed {
            Some(typed) if self.errors.is_empty() => Ok(typed),
            _ => Err(std::mem::take(&mut self.errors)),
        }
    }

    pub(super) fn wrong<T>(
        &mut self,
        at: &Range<usize>,
        what: impl Into<String>,
        expected: impl Into<String>,
    ) -> Option<T> {
        self.errors
            .push(ExpressionError::new(at.clone(), what, expected));
        None
    }

    /// Bytes of what expressions share: patterns, and the sets of named lists.
    pub fn shared_bytes(&self) -> usize {
        let patterns: usize = self.patterns.values().map(|pattern| pattern.bytes()).sum();
        patterns + self.lists.values().map(|set| texts(set)).sum::<usize>()
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
            ExpressionKind::And(all) => self.joined(all, Node::And),
            ExpressionKind::Or(all) => self.joined(all, Node::Or),
            ExpressionKind::If(condition, yes, no) => self.conditional(condition, yes, no),
            ExpressionKind::Binary(op, a, b) => self.binary(&expr.at, *op, a, b),
        }
    }

    /// An expression of one of these types.
    pub(super) fn expect(&mut self, expr: &Expression, kinds: &[Type]) -> CheckResult {
        let typed = self.check(expr)?;
        if kinds.contains(&typed.kind) {
            return Some(typed);
        }
        let kinds: Vec<_> = kinds.iter().map(Type::to_string).collect();
        self.wrong(
            &expr.at,
            format!("this is a {}", typed.kind),
            kinds.join(" or "),
        )
    }
}
