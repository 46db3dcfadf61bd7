//! From a tree to a form that is evaluated: names resolved, types checked, the worst case of its
//! cost known.

use crate::address::{self, AddressSet};
use crate::cost;
use crate::error::Error;
use crate::facts::{Name, PAIRS_MAX, PARAM_MAX, ParamNames};
use crate::pattern::Pattern;
use crate::syntax::{Binary, Expr, Kind};
use crate::time::{self, Part};
use crate::value::Type;
use std::collections::{BTreeMap, HashSet};
use std::net::IpAddr;
use std::ops::Range;
use std::sync::Arc;

/// How deep macros may stand in each other. Their rounds multiply, so a third one is only ever
/// accepted over lists that are very short.
pub const MACROS_MAX: usize = 3;
/// Slots of parameters that rules together may name.
const SLOTS_MAX: usize = 512;
/// A longer text is no number, time or address, without being looked at.
pub const VALUE_MAX: usize = 64;
/// The longest piece of text that a number, time or address becomes.
const PRINTED: u64 = 40;

/// What expressions may name.
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

/// Functions that are no operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Func {
    Size,
    StartsWith,
    EndsWith,
    Contains,
    IndexOf,
    Substring,
    Part,
    Before,
    After,
    Lower,
    Upper,
    Trim,
    Split,
    Hash,
    ToInt,
    ToFloat,
    ToText,
    ToBytes,
    ToSpan,
    ToTime,
    ToAddress,
    TimePart(Part),
    SpanSeconds,
    SpanMillis,
}

/// The list macros.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Macro {
    All,
    Exists,
    Map,
    Filter,
}

/// An expression as it is evaluated. Its depth is that of the tree it was made from, or one more.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub enum Node {
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(Box<str>),
    Bytes(Box<[u8]>),
    Span(i64),
    Time(i64),
    Address(IpAddr),
    Set(Arc<AddressSet>),
    Params,
    Fact(Name),
    Slot(u16),
    Param(Box<Node>),
    Local(u8),
    HasFact(Name),
    HasSlot(u16),
    HasParam(Box<Node>),
    Not(Box<Node>),
    Minus(Box<Node>),
    Binary(Binary, Box<(Node, Node)>),
    And(Box<[Node]>),
    Or(Box<[Node]>),
    If(Box<(Node, Node, Node)>),
    List(Box<[Node]>),
    Item(Box<(Node, Node)>),
    InTexts(Box<Node>, Arc<HashSet<Box<str>>>),
    InInts(Box<Node>, Arc<HashSet<i64>>),
    Call(Func, Box<[Node]>),
    Matches(Box<Node>, Arc<Pattern>),
    Loop(Macro, Box<(Node, Node)>),
}

impl Node {
    /// Bytes that it takes beside itself. What others share with it is counted where it is kept.
    pub fn bytes(&self) -> usize {
        let all =
            |nodes: &[Node]| -> usize { nodes.iter().map(|n| size_of::<Node>() + n.bytes()).sum() };
        match self {
            Node::Text(text) => text.len() + 16,
            Node::Bytes(bytes) => bytes.len() + 16,
            Node::Set(set) if Arc::strong_count(set) == 1 => size_of::<AddressSet>() + set.bytes(),
            Node::Param(a) | Node::HasParam(a) | Node::Not(a) | Node::Minus(a) => {
                size_of::<Node>() + a.bytes()
            }
            Node::Binary(_, two) | Node::Loop(_, two) | Node::Item(two) => {
                2 * size_of::<Node>() + two.0.bytes() + two.1.bytes()
            }
            Node::If(three) => {
                3 * size_of::<Node>() + three.0.bytes() + three.1.bytes() + three.2.bytes()
            }
            Node::And(nodes) | Node::Or(nodes) | Node::List(nodes) | Node::Call(_, nodes) => {
                16 + all(nodes)
            }
            Node::InTexts(of, set) if Arc::strong_count(set) == 1 => {
                size_of::<Node>() + of.bytes() + texts(set)
            }
            Node::InTexts(of, _) | Node::Matches(of, _) => size_of::<Node>() + of.bytes(),
            Node::InInts(of, set) => size_of::<Node>() + of.bytes() + set.capacity() * 9,
            _ => 0,
        }
    }
}

fn texts(set: &HashSet<Box<str>>) -> usize {
    set.iter().map(|text| 40 + text.len()).sum()
}

/// Bounds on a value: bytes of text, or items of a list and the bounds of each.
#[derive(Clone, Debug, Default)]
pub struct Size {
    most: u64,
    item: Option<Box<Size>>,
}

impl Size {
    fn of(most: usize) -> Size {
        Size {
            most: most as u64,
            item: None,
        }
    }

    fn list(most: u64, item: Size) -> Size {
        Size {
            most,
            item: Some(Box::new(item)),
        }
    }

    fn item(&self) -> Size {
        self.item.as_deref().cloned().unwrap_or_default()
    }

    /// What [`crate::value::Value::extent`] may come to.
    fn extent(&self) -> u64 {
        self.item.as_ref().map_or(self.most, |item| {
            self.most.saturating_mul(8 + item.extent())
        })
    }

    fn max(&self, other: &Size) -> Size {
        let item = match (&self.item, &other.item) {
            (Some(a), Some(b)) => Some(Box::new(a.max(b))),
            (a, b) => a.clone().or_else(|| b.clone()),
        };
        Size {
            most: self.most.max(other.most),
            item,
        }
    }
}

/// A compiled expression.
#[derive(Clone, Debug)]
pub struct Typed {
    /// What is evaluated.
    pub node: Node,
    /// Its type.
    pub kind: Type,
    /// The most units that evaluating it takes.
    pub worst: u64,
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
    pub errors: Vec<Error>,
    locals: Vec<Local>,
    patterns: BTreeMap<String, Arc<Pattern>>,
    lists: BTreeMap<String, Arc<HashSet<Box<str>>>>,
}

type Checked = Option<Typed>;

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
    pub fn compile(&mut self, expr: &Expr, kind: &Type, limit: u64) -> Result<Typed, Vec<Error>> {
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
            } else if typed.worst > limit {
                let what = format!("the worst case costs {} units", typed.worst);
                let hint = "declare the parameters' lengths, or ask for less";
                self.wrong::<()>(&expr.at, what, format!("at most {limit}: {hint}"));
            }
        }
        match typed {
            Some(typed) if self.errors.is_empty() => Ok(typed),
            _ => Err(std::mem::take(&mut self.errors)),
        }
    }

    fn wrong<T>(
        &mut self,
        at: &Range<usize>,
        what: impl Into<String>,
        expected: impl Into<String>,
    ) -> Option<T> {
        self.errors.push(Error::new(at.clone(), what, expected));
        None
    }

    /// Bytes of what expressions share: patterns, and the sets of named lists.
    pub fn shared_bytes(&self) -> usize {
        let patterns: usize = self.patterns.values().map(|pattern| pattern.bytes()).sum();
        patterns + self.lists.values().map(|set| texts(set)).sum::<usize>()
    }

    fn leaf(&self, node: Node, kind: Type, size: Size) -> Checked {
        Some(Typed {
            node,
            kind,
            worst: cost::STEP,
            size,
        })
    }

    fn check(&mut self, expr: &Expr) -> Checked {
        match &expr.kind {
            Kind::Bool(v) => self.leaf(Node::Bool(*v), Type::Bool, Size::default()),
            Kind::Int(v) => self.leaf(Node::Int(*v), Type::Int, Size::default()),
            Kind::Float(v) => self.leaf(Node::Float(*v), Type::Float, Size::default()),
            Kind::Text(v) => {
                self.leaf(Node::Text(v.as_str().into()), Type::Text, Size::of(v.len()))
            }
            Kind::Bytes(v) => self.leaf(
                Node::Bytes(v.as_slice().into()),
                Type::Bytes,
                Size::of(v.len()),
            ),
            Kind::Name(name) => self.name(&expr.at, name),
            Kind::Select(of, field) => self.select(expr, of, field),
            Kind::Index(of, at) => self.index(of, at),
            Kind::Call(name, arguments) => self.call(&expr.at, name, arguments),
            Kind::Method(of, name, arguments) => self.method(&expr.at, of, name, arguments),
            Kind::List(items) => self.list(&expr.at, items),
            Kind::Not(of) => {
                let of = self.expect(of, &[Type::Bool])?;
                let worst = of.worst + cost::STEP;
                Some(Typed {
                    node: Node::Not(Box::new(of.node)),
                    worst,
                    ..of
                })
            }
            Kind::Minus(of) => {
                let of = self.expect(of, &[Type::Int, Type::Float, Type::Span])?;
                let worst = of.worst + cost::STEP;
                Some(Typed {
                    node: Node::Minus(Box::new(of.node)),
                    worst,
                    ..of
                })
            }
            Kind::And(all) => self.joined(all, Node::And),
            Kind::Or(all) => self.joined(all, Node::Or),
            Kind::If(condition, yes, no) => {
                let condition = self.expect(condition, &[Type::Bool]);
                let (typed_yes, typed_no) = (self.check(yes), self.check(no));
                let (condition, yes, no_) = (condition?, typed_yes?, typed_no?);
                if yes.kind != no_.kind {
                    return self.wrong(
                        &no.at,
                        format!("this is a {}", no_.kind),
                        format!("a {}, as after '?'", yes.kind),
                    );
                }
                let worst = cost::STEP + condition.worst + yes.worst.max(no_.worst);
                let size = yes.size.max(&no_.size);
                let node = Node::If(Box::new((condition.node, yes.node, no_.node)));
                Some(Typed {
                    node,
                    kind: yes.kind,
                    worst,
                    size,
                })
            }
            Kind::Binary(op, a, b) => self.binary(&expr.at, *op, a, b),
        }
    }

    /// An expression of one of these types.
    fn expect(&mut self, expr: &Expr, kinds: &[Type]) -> Checked {
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

    fn joined(&mut self, all: &[Expr], node: fn(Box<[Node]>) -> Node) -> Checked {
        let checked: Vec<_> = all
            .iter()
            .map(|one| self.expect(one, &[Type::Bool]))
            .collect();
        let checked: Vec<Typed> = checked.into_iter().collect::<Option<_>>()?;
        let worst = checked.iter().map(|t| t.worst).sum::<u64>() + cost::STEP;
        let node = node(checked.into_iter().map(|t| t.node).collect());
        Some(Typed {
            node,
            kind: Type::Bool,
            worst,
            size: Size::default(),
        })
    }

    fn fact(&mut self, name: Name) -> Checked {
        let longest = |names: &[String]| names.iter().map(String::len).max().unwrap_or(0);
        let most = match name {
            name if self.vocabulary.open => name.most(),
            Name::Operation => longest(&self.vocabulary.operations),
            Name::Tenant => longest(&self.vocabulary.tenants),
            name => name.most(),
        };
        self.leaf(Node::Fact(name), name.kind(), Size::of(most))
    }

    fn name(&mut self, at: &Range<usize>, name: &str) -> Checked {
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
            self.names.walked();
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
            let worst =
                cost::STEP + items.len() as u64 * cost::STEP + cost::build(items.len() as u64 * 24);
            return Some(Typed {
                node: Node::List(items.into()),
                kind: Type::List(Type::Text.into()),
                worst,
                size,
            });
        }
        let known = self.nearest(name);
        self.wrong(at, format!("unknown name '{name}'"), known)
    }

    /// What a name was perhaps to be.
    fn nearest(&self, name: &str) -> String {
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

    /// The name of a parameter, where it is written out.
    fn literal_param(&mut self, of: &Expr, name: &str) -> Option<Option<u16>> {
        if !matches!(&of.kind, Kind::Name(n) if n == "params")
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
            self.wrong::<()>(
                &of.at,
                "too many parameters are named",
                format!("at most {SLOTS_MAX} in all rules"),
            );
            return Some(None);
        }
        Some(Some(slot))
    }

    fn slot(&mut self, slot: u16) -> Checked {
        let most = self
            .vocabulary
            .params
            .get(self.names.name(slot))
            .copied()
            .unwrap_or(PARAM_MAX);
        self.leaf(Node::Slot(slot), Type::Text, Size::of(most))
    }

    /// A name with a dot in it.
    fn dotted(of: &Expr, field: &str) -> Option<Name> {
        let Kind::Name(first) = &of.kind else {
            return None;
        };
        let whole = format!("{first}.{field}");
        Name::ALL
            .iter()
            .find(|(text, _)| *text == whole)
            .map(|(_, name)| *name)
    }

    fn select(&mut self, expr: &Expr, of: &Expr, field: &str) -> Checked {
        if let Some(slot) = self.literal_param(of, field) {
            return self.slot(slot?);
        }
        if let Some(name) = Self::dotted(of, field) {
            return self.fact(name);
        }
        if matches!(&of.kind, Kind::Name(n) if n == "caller") {
            let known = "caller.address, caller.id, caller.trust_domain, caller.path";
            return self.wrong(&expr.at, format!("unknown name 'caller.{field}'"), known);
        }
        let of = self.check(of)?;
        self.wrong(
            &expr.at,
            format!("a {} has no field '{field}'", of.kind),
            "params.NAME",
        )
    }

    fn index(&mut self, of: &Expr, at: &Expr) -> Checked {
        if let Kind::Text(name) = &at.kind
            && let Some(slot) = self.literal_param(of, name)
        {
            return self.slot(slot?);
        }
        let whole = self.check(of);
        let place = self.check(at);
        let (whole, place) = (whole?, place?);
        let worst = whole.worst + place.worst + cost::STEP;
        match (&whole.kind, &place.kind) {
            (Type::Params, Type::Text) => {
                let worst = worst + cost::find(PAIRS_MAX as u64, place.size.most);
                let node = Node::Param(Box::new(place.node));
                Some(Typed {
                    node,
                    kind: Type::Text,
                    worst,
                    size: Size::of(PARAM_MAX),
                })
            }
            (Type::List(item), Type::Int) => {
                let (kind, size) = ((**item).clone(), whole.size.item());
                let node = Node::Item(Box::new((whole.node, place.node)));
                Some(Typed {
                    node,
                    kind,
                    worst,
                    size,
                })
            }
            (Type::Params | Type::List(_), kind) => {
                let expected = if whole.kind == Type::Params {
                    "a string"
                } else {
                    "an int"
                };
                self.wrong(&at.at, format!("this is a {kind}"), expected)
            }
            (kind, _) => self.wrong(
                &of.at,
                format!("a {kind} has no parts to index"),
                "params or a list",
            ),
        }
    }

    fn list(&mut self, at: &Range<usize>, items: &[Expr]) -> Checked {
        let checked: Vec<_> = items.iter().map(|item| self.check(item)).collect();
        let checked: Vec<Typed> = checked.into_iter().collect::<Option<_>>()?;
        let Some(first) = checked.first() else {
            return self.wrong(at, "an empty list has no type", "at least one item");
        };
        let kind = first.kind.clone();
        if matches!(kind, Type::Params | Type::Addresses) {
            return self.wrong(at, format!("a {kind} is no item of a list"), "plain values");
        }
        if let Some(odd) = checked.iter().position(|t| t.kind != kind) {
            return self.wrong(
                &items[odd].at,
                format!("this is a {}", checked[odd].kind),
                format!("a {kind}, as the first"),
            );
        }
        let size = checked
            .iter()
            .fold(Size::default(), |size, t| size.max(&t.size));
        let worst = checked.iter().map(|t| t.worst).sum::<u64>()
            + cost::STEP
            + cost::build(24 * items.len() as u64);
        let node = Node::List(checked.into_iter().map(|t| t.node).collect());
        let size = Size::list(items.len() as u64, size);
        Some(Typed {
            node,
            kind: Type::List(Box::new(kind)),
            worst,
            size,
        })
    }

    /// Refuses an operation or tenant that the settings do not have.
    fn known(&mut self, of: &Node, literal: &Expr) {
        if self.vocabulary.open {
            return;
        }
        let (known, what) = match of {
            Node::Fact(Name::Operation) => (&self.vocabulary.operations, "operation"),
            Node::Fact(Name::Tenant) => (&self.vocabulary.tenants, "tenant"),
            _ => return,
        };
        let literals = match &literal.kind {
            Kind::List(items) => items.as_slice(),
            _ => std::slice::from_ref(literal),
        };
        for one in literals {
            if let Kind::Text(text) = &one.kind
                && !known.contains(text)
            {
                let (known, what) = (
                    known.join(", "),
                    format!("the settings have no {what} '{text}'"),
                );
                self.errors
                    .push(Error::new(one.at.clone(), what, format!("one of {known}")));
            }
        }
    }

    fn binary(&mut self, at: &Range<usize>, op: Binary, a: &Expr, b: &Expr) -> Checked {
        if op == Binary::In {
            return self.is_in(a, b);
        }
        let (left, right) = (self.check(a), self.check(b));
        let (left, right) = (left?, right?);
        let worst = left.worst + right.worst + cost::STEP;
        let sizes = (left.size.extent(), right.size.extent());
        let mixed = |kind: &Type| match (&left.kind, kind) {
            (Type::Int, Type::Float) => "a double on both sides: double(...)".to_owned(),
            (Type::Float, Type::Int) => "a double on both sides, such as 1.0".to_owned(),
            (kind, _) => format!("a {kind} on both sides"),
        };
        use Binary::*;
        use Type as T;
        let (kind, worst, size) = match (op, &left.kind, &right.kind) {
            (Equal | Differs, x, y) if x == y && !matches!(x, T::Params | T::Addresses) => {
                if let (Node::Fact(_), Kind::Text(_)) = (&left.node, &b.kind) {
                    self.known(&left.node, b);
                } else if let (Node::Fact(_), Kind::Text(_)) = (&right.node, &a.kind) {
                    self.known(&right.node, a);
                }
                (
                    T::Bool,
                    worst + cost::compare(sizes.0.min(sizes.1)),
                    Size::default(),
                )
            }
            (Less | AtMost | More | AtLeast, x, y)
                if x == y
                    && matches!(
                        x,
                        T::Bool | T::Int | T::Float | T::Text | T::Bytes | T::Span | T::Time
                    ) =>
            {
                (
                    T::Bool,
                    worst + cost::compare(sizes.0.min(sizes.1)),
                    Size::default(),
                )
            }
            (Add, T::Text | T::Bytes, y) if left.kind == *y => {
                let most = sizes.0 + sizes.1;
                (
                    left.kind.clone(),
                    worst + cost::build(most),
                    Size { most, item: None },
                )
            }
            (Add, T::List(_), y) if left.kind == *y => {
                let most = left.size.most + right.size.most;
                let item = left.size.item().max(&right.size.item());
                (
                    left.kind.clone(),
                    worst + cost::build(24 * most),
                    Size::list(most, item),
                )
            }
            (Add | Sub | Mul | Div | Rem, T::Int, T::Int) => (T::Int, worst, Size::default()),
            (Add | Sub | Mul | Div, T::Float, T::Float) => (T::Float, worst, Size::default()),
            (Add | Sub, T::Span, T::Span) => (T::Span, worst, Size::default()),
            (Add | Sub, T::Time, T::Span) | (Add, T::Span, T::Time) => {
                (T::Time, worst, Size::default())
            }
            (Sub, T::Time, T::Time) => (T::Span, worst, Size::default()),
            (_, x, y) => {
                let what = format!("'{}' has no meaning between {x} and {y}", op.sign());
                let expected = mixed(y);
                return self.wrong(at, what, expected);
            }
        };
        Some(Typed {
            node: Node::Binary(op, Box::new((left.node, right.node))),
            kind,
            worst,
            size,
        })
    }

    fn is_in(&mut self, a: &Expr, b: &Expr) -> Checked {
        // A parameter's name, written out.
        if let Kind::Text(name) = &a.kind
            && let Some(slot) = self.literal_param(b, name)
        {
            return self.leaf(Node::HasSlot(slot?), Type::Bool, Size::default());
        }
        let named = match &b.kind {
            Kind::Name(name) if !self.locals.iter().any(|l| l.name == *name) => self
                .vocabulary
                .lists
                .get(name)
                .map(|list| (name.clone(), list)),
            _ => None,
        };
        if let Some((name, list)) = named {
            let set = self.lists.entry(name).or_insert_with(|| {
                Arc::new(list.iter().map(|text| text.as_str().into()).collect())
            });
            let set = Arc::clone(set);
            let left = self.expect(a, &[Type::Text])?;
            let worst = left.worst + cost::STEP + cost::LOOK + cost::compare(left.size.most);
            let node = Node::InTexts(Box::new(left.node), set);
            return Some(Typed {
                node,
                kind: Type::Bool,
                worst,
                size: Size::default(),
            });
        }
        let (left, right) = (self.check(a), self.check(b));
        let (left, right) = (left?, right?);
        let worst = left.worst + cost::STEP;
        let bool_of = |node, worst| {
            Some(Typed {
                node,
                kind: Type::Bool,
                worst,
                size: Size::default(),
            })
        };
        match (&left.kind, &right.kind) {
            (Type::Text, Type::Params) => bool_of(
                Node::HasParam(Box::new(left.node)),
                worst + cost::find(PAIRS_MAX as u64, left.size.most),
            ),
            (Type::Address, Type::Addresses) => bool_of(
                Node::Binary(Binary::In, Box::new((left.node, right.node))),
                worst + right.worst + cost::LOOK,
            ),
            (kind, Type::List(item)) if **item == *kind => {
                self.known(&left.node, b);
                if let Node::List(items) = &right.node {
                    let texts = items.iter().map(|n| match n {
                        Node::Text(text) => Some(text.clone()),
                        _ => None,
                    });
                    let look = worst + cost::LOOK + cost::compare(left.size.most);
                    if let Some(texts) = texts.collect::<Option<HashSet<_>>>() {
                        return bool_of(Node::InTexts(Box::new(left.node), Arc::new(texts)), look);
                    }
                    let ints = items
                        .iter()
                        .map(|n| if let Node::Int(n) = n { Some(*n) } else { None });
                    if let Some(ints) = ints.collect::<Option<HashSet<_>>>() {
                        return bool_of(Node::InInts(Box::new(left.node), Arc::new(ints)), look);
                    }
                }
                let each = cost::compare(left.size.extent().min(right.size.item().extent()));
                let worst = worst + right.worst + right.size.most.saturating_mul(each);
                bool_of(
                    Node::Binary(Binary::In, Box::new((left.node, right.node))),
                    worst,
                )
            }
            (kind, Type::List(item)) => self.wrong(
                &a.at,
                format!("this is a {kind}"),
                format!("a {item}, as in the list"),
            ),
            (kind, Type::Addresses) => self.wrong(&a.at, format!("this is a {kind}"), "an ip"),
            (kind, Type::Params) => self.wrong(
                &a.at,
                format!("this is a {kind}"),
                "a string, the name of a parameter",
            ),
            (_, kind) => self.wrong(
                &b.at,
                format!("this is a {kind}"),
                "a list, addresses or params",
            ),
        }
    }

    // ---- Functions ----

    fn call(&mut self, at: &Range<usize>, name: &str, arguments: &[Expr]) -> Checked {
        match name {
            "has" => return self.has(at, arguments),
            "net" => return self.net(at, arguments),
            _ => {}
        }
        let literal = match arguments {
            [
                Expr {
                    kind: Kind::Text(text),
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
        let checked: Vec<Typed> = checked.into_iter().collect::<Option<_>>()?;
        self.apply(at, name, false, checked, arguments)
    }

    fn method(&mut self, at: &Range<usize>, of: &Expr, name: &str, arguments: &[Expr]) -> Checked {
        let macros = [
            ("all", Macro::All),
            ("exists", Macro::Exists),
            ("map", Macro::Map),
            ("filter", Macro::Filter),
        ];
        if let Some((_, which)) = macros.iter().find(|(n, _)| *n == name) {
            return self.walk(at, *which, of, arguments);
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

    fn apply(
        &mut self,
        at: &Range<usize>,
        name: &str,
        method: bool,
        given: Vec<Typed>,
        places: &[Expr],
    ) -> Checked {
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
        if signature.func == Func::Hash && !matches!(given[1].node, Node::Int(n) if n > 0) {
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
        let worst =
            given.iter().map(|g| g.worst).sum::<u64>() + cost::STEP + price(signature.func, &sizes);
        let first = given.first().map(|g| g.size.clone()).unwrap_or_default();
        let size = match signature.func {
            Func::ToText => Size {
                most: first.most.max(PRINTED),
                item: None,
            },
            Func::Split => Size::list(first.most + 1, first),
            _ => first,
        };
        let kind = match signature.func {
            Func::Split => Type::List(Box::new(Type::Text)),
            _ => signature.gives.kind(),
        };
        let nodes = given.into_iter().map(|g| g.node).collect();
        Some(Typed {
            node: Node::Call(signature.func, nodes),
            kind,
            worst,
            size,
        })
    }

    fn has(&mut self, at: &Range<usize>, arguments: &[Expr]) -> Checked {
        let expected = "one fact or parameter, such as has(params.SITE) or has(estimate)";
        let [of] = arguments else {
            return self.wrong(at, "has() takes one argument", expected);
        };
        let node = match &of.kind {
            Kind::Name(name) => Name::ALL
                .iter()
                .find(|(text, _)| text == name)
                .map(|(_, n)| Node::HasFact(*n)),
            Kind::Select(of, field) => match self.literal_param(of, field) {
                Some(slot) => Some(Node::HasSlot(slot?)),
                None => Self::dotted(of, field).map(Node::HasFact),
            },
            Kind::Index(of, at) => match &at.kind {
                Kind::Text(name) => match self.literal_param(of, name) {
                    Some(slot) => Some(Node::HasSlot(slot?)),
                    None => None,
                },
                _ => None,
            },
            _ => None,
        };
        match node {
            Some(node) => self.leaf(node, Type::Bool, Size::default()),
            None => self.wrong(&of.at, "has() can't ask for this", expected),
        }
    }

    fn net(&mut self, at: &Range<usize>, arguments: &[Expr]) -> Checked {
        let expected = "networks such as net(\"10.0.0.0/8\", \"192.168.7.1\")";
        let mut networks = Vec::new();
        for argument in arguments {
            match &argument.kind {
                Kind::Text(text) => match address::network(text) {
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

    fn matches(&mut self, at: &Range<usize>, of: &Expr, arguments: &[Expr]) -> Checked {
        let of = self.expect(of, &[Type::Text]);
        let [
            Expr {
                kind: Kind::Text(pattern),
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
                Err((what, expected)) => return self.wrong(place, what, expected),
            },
        };
        let of = of?;
        let worst = of.worst + cost::STEP + cost::pattern(of.size.most);
        let node = Node::Matches(Box::new(of.node), pattern);
        Some(Typed {
            node,
            kind: Type::Bool,
            worst,
            size: Size::default(),
        })
    }

    fn walk(&mut self, at: &Range<usize>, which: Macro, of: &Expr, arguments: &[Expr]) -> Checked {
        let range = self.check(of);
        let [
            Expr {
                kind: Kind::Name(name),
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
        let (item, size) = match &range.kind {
            Type::List(item) => ((**item).clone(), range.size.item()),
            Type::Params => (Type::Text, Size::of(PARAM_MAX)),
            kind => return self.wrong(&of.at, format!("this is a {kind}"), "a list or params"),
        };
        if self.locals.len() >= MACROS_MAX {
            return self.wrong(
                at,
                "macros nested too deep",
                format!("at most {MACROS_MAX} in each other"),
            );
        }
        self.locals.push(Local {
            name: name.clone(),
            kind: item.clone(),
            size: size.clone(),
        });
        let body = match which {
            Macro::Map => self.check(body),
            _ => self.expect(body, &[Type::Bool]),
        };
        self.locals.pop();
        let body = body?;
        let rounds = range.size.most;
        let each = body.worst + cost::ROUND;
        let mut worst = rounds
            .saturating_mul(each)
            .saturating_add(range.worst + cost::STEP);
        worst = worst.saturating_add(if range.kind == Type::Params {
            cost::build(24 * rounds)
        } else {
            0
        });
        let (kind, size) = match which {
            Macro::All | Macro::Exists => (Type::Bool, Size::default()),
            Macro::Filter => (Type::List(Box::new(item)), Size::list(rounds, size)),
            Macro::Map if matches!(body.kind, Type::Params | Type::Addresses) => {
                return self.wrong(
                    at,
                    format!("a {} is no item of a list", body.kind),
                    "plain values",
                );
            }
            Macro::Map => (
                Type::List(Box::new(body.kind)),
                Size::list(rounds, body.size),
            ),
        };
        if matches!(which, Macro::Map | Macro::Filter) {
            worst = worst.saturating_add(cost::build(24 * rounds));
        }
        Some(Typed {
            node: Node::Loop(which, Box::new((range.node, body.node))),
            kind,
            worst,
            size,
        })
    }
}

/// What a function does, given what its arguments may come to, beside its step.
pub fn price(func: Func, sizes: &[u64]) -> u64 {
    let of = |place: usize| sizes.get(place).copied().unwrap_or(0);
    match func {
        Func::Size | Func::Substring | Func::Trim => cost::walk(of(0)),
        Func::StartsWith | Func::EndsWith => cost::compare(of(0).min(of(1))),
        Func::Contains => cost::search(of(0), of(1)),
        Func::IndexOf => cost::search(of(0), of(1)) + cost::walk(of(0)),
        Func::Part | Func::Before | Func::After => cost::search(of(0), of(1)),
        // An empty separator gives an item for each byte at most.
        Func::Split => cost::search(of(0), of(1)) + cost::build(24 * (of(0) + 1)),
        Func::Lower | Func::Upper => cost::build(of(0)) + of(0),
        Func::Hash => cost::walk(of(0)),
        Func::ToInt | Func::ToFloat | Func::ToSpan | Func::ToTime | Func::ToAddress => {
            cost::walk(of(0).min(VALUE_MAX as u64)) + 2 * cost::LOOK
        }
        Func::ToText => cost::build(of(0)) + 5 * cost::LOOK,
        Func::ToBytes => 0,
        Func::TimePart(_) => 20,
        Func::SpanSeconds | Func::SpanMillis => 2,
    }
}

/// A type in a signature.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Takes {
    Bool,
    Int,
    Float,
    Text,
    Bytes,
    Span,
    Time,
    Address,
    AnyList,
    Params,
}

impl Takes {
    fn kind(self) -> Type {
        match self {
            Takes::Bool => Type::Bool,
            Takes::Int => Type::Int,
            Takes::Float => Type::Float,
            Takes::Text => Type::Text,
            Takes::Bytes => Type::Bytes,
            Takes::Span => Type::Span,
            Takes::Time => Type::Time,
            Takes::Address => Type::Address,
            Takes::AnyList => Type::List(Box::new(Type::Text)),
            Takes::Params => Type::Params,
        }
    }

    fn fits(self, kind: &Type) -> bool {
        match self {
            Takes::AnyList => matches!(kind, Type::List(_)),
            other => other.kind() == *kind,
        }
    }
}

/// A function or method: the first type of a method is what it is asked of.
#[derive(Debug)]
struct Signature {
    name: &'static str,
    method: bool,
    takes: &'static [Takes],
    gives: Takes,
    func: Func,
}

const fn row(
    name: &'static str,
    method: bool,
    takes: &'static [Takes],
    gives: Takes,
    func: Func,
) -> Signature {
    Signature {
        name,
        method,
        takes,
        gives,
        func,
    }
}

impl Signature {
    #[rustfmt::skip]
    const ALL: [Signature; 47] = {
        use Takes::*;
        [
            row("size", false, &[Text], Int, Func::Size),
            row("size", false, &[Bytes], Int, Func::Size),
            row("size", false, &[AnyList], Int, Func::Size),
            row("size", false, &[Params], Int, Func::Size),
            row("size", true, &[Text], Int, Func::Size),
            row("size", true, &[Bytes], Int, Func::Size),
            row("size", true, &[AnyList], Int, Func::Size),
            row("size", true, &[Params], Int, Func::Size),
            row("startsWith", true, &[Text, Text], Bool, Func::StartsWith),
            row("endsWith", true, &[Text, Text], Bool, Func::EndsWith),
            row("contains", true, &[Text, Text], Bool, Func::Contains),
            row("indexOf", true, &[Text, Text], Int, Func::IndexOf),
            row("substring", true, &[Text, Int], Text, Func::Substring),
            row("substring", true, &[Text, Int, Int], Text, Func::Substring),
            row("part", true, &[Text, Text, Int], Text, Func::Part),
            row("before", true, &[Text, Text], Text, Func::Before),
            row("after", true, &[Text, Text], Text, Func::After),
            row("lowerAscii", true, &[Text], Text, Func::Lower),
            row("upperAscii", true, &[Text], Text, Func::Upper),
            row("trim", true, &[Text], Text, Func::Trim),
            row("split", true, &[Text, Text], AnyList, Func::Split),
            row("hash", false, &[Text, Int], Int, Func::Hash),
            row("int", false, &[Text], Int, Func::ToInt),
            row("int", false, &[Float], Int, Func::ToInt),
            row("int", false, &[Time], Int, Func::ToInt),
            row("double", false, &[Text], Float, Func::ToFloat),
            row("double", false, &[Int], Float, Func::ToFloat),
            row("string", false, &[Int], Text, Func::ToText),
            row("string", false, &[Float], Text, Func::ToText),
            row("string", false, &[Bool], Text, Func::ToText),
            row("string", false, &[Bytes], Text, Func::ToText),
            row("string", false, &[Span], Text, Func::ToText),
            row("string", false, &[Time], Text, Func::ToText),
            row("string", false, &[Address], Text, Func::ToText),
            row("bytes", false, &[Text], Bytes, Func::ToBytes),
            row("duration", false, &[Text], Span, Func::ToSpan),
            row("timestamp", false, &[Text], Time, Func::ToTime),
            row("ip", false, &[Text], Address, Func::ToAddress),
            row("getFullYear", true, &[Time], Int, Func::TimePart(Part::Year)),
            row("getMonth", true, &[Time], Int, Func::TimePart(Part::Month)),
            row("getDate", true, &[Time], Int, Func::TimePart(Part::Date)),
            row("getDayOfWeek", true, &[Time], Int, Func::TimePart(Part::WeekDay)),
            row("getHours", true, &[Time], Int, Func::TimePart(Part::Hours)),
            row("getMinutes", true, &[Time], Int, Func::TimePart(Part::Minutes)),
            row("getSeconds", true, &[Time], Int, Func::TimePart(Part::Seconds)),
            row("getSeconds", true, &[Span], Int, Func::SpanSeconds),
            row("getMilliseconds", true, &[Span], Int, Func::SpanMillis),
        ]
    };

    fn shown(&self) -> String {
        let kinds: Vec<_> = self.takes.iter().map(|t| t.kind().to_string()).collect();
        match (self.method, kinds.split_first()) {
            (true, Some((of, rest))) => format!("{of}.{}({})", self.name, rest.join(", ")),
            _ => format!("{}({})", self.name, kinds.join(", ")),
        }
    }
}

/// The known word that differs least from this one, if that is little.
fn nearest<'n>(word: &str, known: impl Iterator<Item = &'n str>) -> Option<&'n str> {
    let ranked = known
        .map(|k| (distance(word, k), k))
        .filter(|(d, k)| *d <= 1 + k.len() / 4);
    ranked.min().map(|(_, k)| k)
}

/// Letters to be changed, put in or taken out to make one word of the other; case counts for
/// nothing.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<u8> = b.bytes().map(|c| c.to_ascii_lowercase()).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut corner = i;
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let change = corner + usize::from(x.to_ascii_lowercase() != *y);
            corner = row[j + 1];
            row[j + 1] = change.min(row[j] + 1).min(corner + 1);
        }
    }
    row[b.len()]
}
