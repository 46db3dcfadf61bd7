//! Tree of a compiled expression.

use crate::address::AddressSet;
use crate::facts::Name;
use crate::pattern::Pattern;
use crate::syntax::Binary;
use crate::time::Part;
use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;

/// Functions and methods of the language.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Function {
    /// `size`: number of characters, bytes, items or parameters.
    Size,
    /// `startsWith`: whether a string begins with another string.
    StartsWith,
    /// `endsWith`: whether a string ends with another string.
    EndsWith,
    /// `contains`: whether a string contains another string.
    Contains,
    /// `indexOf`: number of characters before the first occurrence, or -1 if there is none.
    IndexOf,
    /// `substring`: from one character index up to another, or up to the end.
    Substring,
    /// `part`: the piece with the given index between separators.
    Part,
    /// `before`: the text before the first occurrence.
    Before,
    /// `after`: the text after the first occurrence.
    After,
    /// `lowerAscii`: ASCII letters in lower case.
    Lower,
    /// `upperAscii`: ASCII letters in upper case.
    Upper,
    /// `trim`: without leading and trailing white space.
    Trim,
    /// `split`: the list of pieces between separators.
    Split,
    /// `hash`: a bucket number that is the same on all machines and in all versions.
    Hash,
    /// `int`: conversion to an int.
    ToInt,
    /// `double`: conversion to a double.
    ToFloat,
    /// `string`: conversion to a string.
    ToText,
    /// `bytes`: conversion to bytes.
    ToBytes,
    /// `duration`: conversion to a duration.
    ToSpan,
    /// `timestamp`: conversion to a time.
    ToTime,
    /// `ip`: conversion to an IP address.
    ToAddress,
    /// `getFullYear` and the other methods for parts of a time, in UTC.
    TimePart(Part),
    /// `getSeconds` of a duration: all its whole seconds.
    SpanSeconds,
    /// `getMilliseconds` of a duration: all its whole milliseconds.
    SpanMillis,
}

/// Macros over lists and parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Macro {
    /// `all`: whether the body is true for every item.
    All,
    /// `exists`: whether the body is true for at least one item.
    Exists,
    /// `map`: the list of the values of the body.
    Map,
    /// `filter`: the list of the items for which the body is true.
    Filter,
}

/// A compiled expression. It is at most one level deeper than the syntax tree that it was compiled
/// from.
#[derive(Clone, Debug)]
pub enum Node {
    /// A bool constant.
    Bool(bool),
    /// An int constant.
    Int(i64),
    /// A double constant.
    Float(f64),
    /// A string constant.
    Text(Box<str>),
    /// A bytes constant.
    Bytes(Box<[u8]>),
    /// A duration constant, in nanoseconds.
    Span(i64),
    /// A time constant, in nanoseconds since the Unix epoch.
    Time(i64),
    /// An address constant.
    Address(IpAddr),
    /// A constant set of addresses.
    Set(Arc<AddressSet>),
    /// All parameters of the request.
    Params,
    /// A fact of the request.
    Fact(Name),
    /// The value of the parameter in a slot.
    Slot(u16),
    /// The value of a parameter whose name is computed.
    Param(Box<Node>),
    /// The variable of a macro; the number counts the macros that enclose this macro.
    Local(u8),
    /// Whether the request has a fact.
    HasFact(Name),
    /// Whether the request has the parameter of a slot.
    HasSlot(u16),
    /// Whether the request has a parameter whose name is computed.
    HasParam(Box<Node>),
    /// A logical negation, `!a`.
    Not(Box<Node>),
    /// An arithmetic negation, `-a`.
    Minus(Box<Node>),
    /// An operator between two operands.
    Binary(Binary, Box<(Node, Node)>),
    /// A conjunction of two or more operands, `a && b && c`.
    And(Box<[Node]>),
    /// A disjunction of two or more operands, `a || b || c`.
    Or(Box<[Node]>),
    /// A conditional, `a ? b : c`: condition, value if true, value if false.
    If(Box<(Node, Node, Node)>),
    /// A list of computed items.
    List(Box<[Node]>),
    /// An item of a list, by its index.
    Item(Box<(Node, Node)>),
    /// Whether a string is in a constant set.
    InTexts(Box<Node>, Arc<HashSet<Box<str>>>),
    /// Whether an int is in a constant set.
    InInts(Box<Node>, Arc<HashSet<i64>>),
    /// A call of a function or method with its arguments.
    Call(Function, Box<[Node]>),
    /// Whether a pattern matches somewhere in a string.
    Matches(Box<Node>, Arc<Pattern>),
    /// A macro: the list, and the body that is evaluated for each item.
    Loop(Macro, Box<(Node, Node)>),
}

impl Node {
    /// Returns the heap memory of the node, in bytes. Data shared with other nodes is not included;
    /// its owner counts it.
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
                size_of::<Node>() + of.bytes() + text_set_bytes(set)
            }
            Node::InTexts(of, _) | Node::Matches(of, _) => size_of::<Node>() + of.bytes(),
            Node::InInts(of, set) => size_of::<Node>() + of.bytes() + set.capacity() * 9,
            _ => 0,
        }
    }
}

/// Returns the memory of a set of strings, in bytes.
pub(super) fn text_set_bytes(set: &HashSet<Box<str>>) -> usize {
    set.iter().map(|text| 40 + text.len()).sum()
}
