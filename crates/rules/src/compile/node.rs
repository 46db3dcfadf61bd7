//! Compiled expressions as they are evaluated.

use crate::address::AddressSet;
use crate::facts::Name;
use crate::pattern::Pattern;
use crate::syntax::Binary;
use crate::time::Part;
use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;

/// Functions that are no operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Function {
    /// `size`: characters, bytes, items or parameters.
    Size,
    /// `startsWith`.
    StartsWith,
    /// `endsWith`.
    EndsWith,
    /// `contains`.
    Contains,
    /// `indexOf`: characters before the first occurrence, or -1.
    IndexOf,
    /// `substring`, by characters.
    Substring,
    /// `part`: a piece between separators.
    Part,
    /// `before`: the text before the first occurrence.
    Before,
    /// `after`: the text after the first occurrence.
    After,
    /// `lowerAscii`.
    Lower,
    /// `upperAscii`.
    Upper,
    /// `trim`.
    Trim,
    /// `split`.
    Split,
    /// `hash`: a bucket number that is the same on all machines.
    Hash,
    /// `int`.
    ToInt,
    /// `double`.
    ToFloat,
    /// `string`.
    ToText,
    /// `bytes`.
    ToBytes,
    /// `duration`.
    ToSpan,
    /// `timestamp`.
    ToTime,
    /// `ip`.
    ToAddress,
    /// `getFullYear` and the like, in UTC.
    TimePart(Part),
    /// `getSeconds` of a duration.
    SpanSeconds,
    /// `getMilliseconds` of a duration.
    SpanMillis,
}

/// The list macros.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Macro {
    /// `all`.
    All,
    /// `exists`.
    Exists,
    /// `map`.
    Map,
    /// `filter`.
    Filter,
}

/// An expression as it is evaluated. Its depth is that of the tree it was made from, or one more.
#[derive(Clone, Debug)]
pub enum Node {
    /// A constant.
    Bool(bool),
    /// A constant.
    Int(i64),
    /// A constant.
    Float(f64),
    /// A constant.
    Text(Box<str>),
    /// A constant.
    Bytes(Box<[u8]>),
    /// A constant, in nanoseconds.
    Span(i64),
    /// A constant, in nanoseconds since the Unix epoch.
    Time(i64),
    /// A constant.
    Address(IpAddr),
    /// A set of addresses.
    Set(Arc<AddressSet>),
    /// All parameters.
    Params,
    /// A fact.
    Fact(Name),
    /// A parameter by its slot.
    Slot(u16),
    /// A parameter whose name is computed.
    Param(Box<Node>),
    /// The variable of a macro, by how many macros enclose it.
    Local(u8),
    /// Whether there is a fact.
    HasFact(Name),
    /// Whether there is a parameter, by its slot.
    HasSlot(u16),
    /// Whether there is a parameter whose name is computed.
    HasParam(Box<Node>),
    /// `!a`.
    Not(Box<Node>),
    /// `-a`.
    Minus(Box<Node>),
    /// An operator between two operands.
    Binary(Binary, Box<(Node, Node)>),
    /// `a && b && c`.
    And(Box<[Node]>),
    /// `a || b || c`.
    Or(Box<[Node]>),
    /// `a ? b : c`.
    If(Box<(Node, Node, Node)>),
    /// A list of computed items.
    List(Box<[Node]>),
    /// An item of a list, by its index.
    Item(Box<(Node, Node)>),
    /// Whether a text is in a constant set.
    InTexts(Box<Node>, Arc<HashSet<Box<str>>>),
    /// Whether a number is in a constant set.
    InInts(Box<Node>, Arc<HashSet<i64>>),
    /// The call of a function or method.
    Call(Function, Box<[Node]>),
    /// Whether a text has a match of a pattern.
    Matches(Box<Node>, Arc<Pattern>),
    /// A macro: the list, and the body for each item.
    Loop(Macro, Box<(Node, Node)>),
}

impl Node {
    /// The bytes that it takes beside itself. What it shares with others is counted by the owner.
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

/// Bytes that a set of texts takes.
pub(super) fn texts(set: &HashSet<Box<str>>) -> usize {
    set.iter().map(|text| 40 + text.len()).sum()
}
