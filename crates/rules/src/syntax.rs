//! Syntax tree of expressions, with its parser and printer.

mod lexer;
mod parser;
mod print;

pub use parser::parse;
pub use print::quote;

use std::ops::Range;

/// Longest text of an expression, in bytes.
pub const SOURCE_MAX: usize = 8192;
/// Deepest nesting of a syntax tree. The parser uses about three stack frames for each level.
pub const DEPTH_MAX: u16 = 32;

/// An expression with its position in the text. Equality compares the kinds and ignores positions.
#[derive(Clone, Debug)]
pub struct Expression {
    /// Kind of the expression, with its operands.
    pub kind: ExpressionKind,
    /// Byte range in the source text.
    pub at: Range<usize>,
    /// Number of levels of the tree, at most [`DEPTH_MAX`].
    pub depth: u16,
}

impl PartialEq for Expression {
    fn eq(&self, other: &Expression) -> bool {
        self.kind == other.kind
    }
}

/// The kinds of expressions.
#[derive(Clone, Debug)]
pub enum ExpressionKind {
    /// A bool literal: `true` or `false`.
    Bool(bool),
    /// An int literal, such as `12`.
    Int(i64),
    /// A double literal, such as `1.5`.
    Float(f64),
    /// A string literal, such as `"text"`.
    Text(String),
    /// A bytes literal, such as `b"bytes"`.
    Bytes(Vec<u8>),
    /// A name, such as that of a fact, a macro variable, an address set or a string list.
    Name(String),
    /// A selection `of.field`: the operand `of` and the name of the field.
    Select(Box<Expression>, String),
    /// An index expression `of[at]`: a list with the index of an item, or `params` with the name of
    /// a parameter.
    Index(Box<Expression>, Box<Expression>),
    /// A function call `function(...)`: the name of the function and the arguments.
    Call(String, Vec<Expression>),
    /// A method call `of.method(...)`: the receiver `of`, the name of the method and the arguments.
    Method(Box<Expression>, String, Vec<Expression>),
    /// A list literal, such as `[a, b]`.
    List(Vec<Expression>),
    /// A logical negation, `!a`.
    Not(Box<Expression>),
    /// An arithmetic negation, `-a`.
    Minus(Box<Expression>),
    /// `a + b`, and the other operators of [`Binary`].
    Binary(Binary, Box<Expression>, Box<Expression>),
    /// A conjunction of two or more operands, `a && b && c`.
    And(Vec<Expression>),
    /// A disjunction of two or more operands, `a || b || c`.
    Or(Vec<Expression>),
    /// A conditional, `a ? b : c`: condition, value if true, value if false.
    If(Box<Expression>, Box<Expression>, Box<Expression>),
}

impl PartialEq for ExpressionKind {
    fn eq(&self, other: &ExpressionKind) -> bool {
        use ExpressionKind::*;
        match (self, other) {
            (Bool(a), Bool(b)) => a == b,
            (Int(a), Int(b)) => a == b,
            (Float(a), Float(b)) => a.to_bits() == b.to_bits(),
            (Text(a), Text(b)) | (Name(a), Name(b)) => a == b,
            (Bytes(a), Bytes(b)) => a == b,
            (Select(a, n), Select(b, m)) => a == b && n == m,
            (Index(a, i), Index(b, j)) => a == b && i == j,
            (Call(f, a), Call(g, b)) => f == g && a == b,
            (Method(x, f, a), Method(y, g, b)) => x == y && f == g && a == b,
            (List(a), List(b)) | (And(a), And(b)) | (Or(a), Or(b)) => a == b,
            (Not(a), Not(b)) | (Minus(a), Minus(b)) => a == b,
            (Binary(o, a, b), Binary(p, c, d)) => o == p && a == c && b == d,
            (If(a, b, c), If(d, e, f)) => a == d && b == e && c == f,
            _ => false,
        }
    }
}

/// Binary operators except `&&` and `||`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Binary {
    /// `==`.
    Equal,
    /// `!=`.
    Differs,
    /// `<`.
    Less,
    /// `<=`.
    AtMost,
    /// `>`.
    More,
    /// `>=`.
    AtLeast,
    /// `in`.
    In,
    /// `+`.
    Add,
    /// `-`.
    Sub,
    /// `*`.
    Mul,
    /// `/`.
    Div,
    /// `%`.
    Rem,
}

impl Binary {
    /// All operators with their signs and binding powers. A higher power binds more strongly.
    pub const ALL: [(Binary, &'static str, u8); 12] = [
        (Binary::Equal, "==", 3),
        (Binary::Differs, "!=", 3),
        (Binary::AtMost, "<=", 3),
        (Binary::AtLeast, ">=", 3),
        (Binary::Less, "<", 3),
        (Binary::More, ">", 3),
        (Binary::In, "in", 3),
        (Binary::Add, "+", 4),
        (Binary::Sub, "-", 4),
        (Binary::Mul, "*", 5),
        (Binary::Div, "/", 5),
        (Binary::Rem, "%", 5),
    ];

    /// Returns the sign of the operator in expressions.
    pub fn sign(self) -> &'static str {
        Binary::ALL
            .iter()
            .find(|(op, ..)| *op == self)
            .map_or("?", |(_, sign, _)| sign)
    }

    /// Returns the binding power of the operator.
    fn power(self) -> u8 {
        Binary::ALL
            .iter()
            .find(|(op, ..)| *op == self)
            .map_or(0, |(.., power)| *power)
    }
}

// Binding powers of the other operators.
const OR: u8 = 1;
const AND: u8 = 2;
const UNARY: u8 = 6;
const MEMBER: u8 = 7;
