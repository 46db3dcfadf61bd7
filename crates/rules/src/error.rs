//! What is wrong with an expression, and where.

use std::ops::Range;

/// What is wrong with an expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpressionError {
    /// Bytes of the expression's text.
    pub at: Range<usize>,
    /// What was found.
    pub what: String,
    /// What was expected there.
    pub expected: String,
}

impl ExpressionError {
    /// An error at these bytes.
    pub fn new(
        at: Range<usize>,
        what: impl Into<String>,
        expected: impl Into<String>,
    ) -> ExpressionError {
        ExpressionError {
            at,
            what: what.into(),
            expected: expected.into(),
        }
    }
}
