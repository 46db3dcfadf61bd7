//! Errors in expressions, with their position in the text.

use std::ops::Range;

/// An error in the text of an expression.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what}; expected {expected}")]
pub struct ExpressionError {
    /// Byte range of the expression's text that the error refers to.
    pub at: Range<usize>,
    /// Description of the faulty text or value.
    pub what: String,
    /// Description of what was expected at this position.
    pub expected: String,
}

impl ExpressionError {
    /// Creates an error that refers to the byte range `at`.
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
