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
#[allow(missing_docs)]
pub enum Function {
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
    Call(Function, Box<[Node]>),
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

/// Bytes that a set of texts takes.
pub(super) fn texts(set: &HashSet<Box<str>>) -> usize {
    set.iter().map(|text| 40 + text.len()).sum()
}
