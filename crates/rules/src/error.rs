//! What is wrong with an expression, and where.

use std::ops::Range;

/// What is wrong with an expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Bytes of the expression's text.
    pub at: Range<usize>,
    /// What was found.
    pub what: String,
    /// What was expected there.
    pub expected: String,
}

impl Error {
    /// An error at these bytes.
    pub fn new(at: Range<usize>, what: impl Into<String>, expected: impl Into<String>) -> Error {
        Error {
            at,
            what: what.into(),
            expected: expected.into(),
        }
    }
}
