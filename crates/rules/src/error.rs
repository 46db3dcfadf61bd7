//! Errors of expressions, with their place in the text.

use std::ops::Range;

/// An error in the text of an expression.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what}; expected {expected}")]
pub struct ExpressionError {
    /// The bytes of the expression's text that it concerns.
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
