//! Errors of the adapter.

use madderpoint_deployment_config::DeploymentError;
use thiserror::Error;

/// Error that ends the adapter.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// The input is malformed.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// A reply could not be written.
    #[error("failed to write the reply: {0}")]
    Reply(std::io::Error),
}

/// Malformed input, with the record, field and offset at which it was found.
#[derive(Debug, PartialEq, Error)]
#[error("record {record}, field {field}, offset {offset}: {cause}")]
pub(crate) struct Malformed {
    /// Name of the record on the wire, or its code if the code is unknown.
    pub(crate) record: String,
    /// Name of the malformed field on the wire.
    pub(crate) field: &'static str,
    /// Offset from the start of the batch, in bytes, header included.
    pub(crate) offset: usize,
    /// Reason why the field is malformed.
    pub(crate) cause: Cause,
}

/// Reason why a field is malformed.
#[derive(Debug, PartialEq, Error)]
pub(crate) enum Cause {
    /// The record ends before the field does.
    #[error("needs {needed} bytes, {left} remain in the record")]
    CutShort {
        /// Length of the field, in bytes.
        needed: usize,
        /// Unread bytes of the record.
        left: usize,
    },
    /// The input ends within a batch.
    #[error("input ended after {got} of {expected} bytes")]
    InputEnded {
        /// Number of bytes of the batch's header or body that were read.
        got: usize,
        /// Number of bytes that the batch's header or body should have.
        expected: usize,
    },
    /// A batch header announces a body that is too long.
    #[error("batch body of {announced} bytes exceeds the maximum of {max} bytes")]
    TooLong {
        /// Length that the header announces, in bytes.
        announced: usize,
        /// Longest body that is accepted, in bytes.
        max: usize,
    },
    /// Reading the input failed; carries the message of the I/O error.
    #[error("failed to read the input: {0}")]
    Unreadable(String),
    /// A number is infinite or NaN.
    #[error("not a finite number")]
    NotFinite,
    /// A time is negative; carries the time in seconds.
    #[error("negative time {0} s")]
    NegativeTime(f64),
    /// The code of a record is unknown.
    #[error("unknown record")]
    UnknownRecord,
    /// The code of an outcome is unknown; carries the code.
    #[error("unknown outcome code {0}")]
    UnknownOutcome(u8),
    /// A request names an operation that the settings do not define; carries the operation's index.
    #[error("no operation {0} in the settings")]
    NoOperation(usize),
    /// An event refers to a node that was not started; carries the number of the node.
    #[error("no instance {0}")]
    NoInstance(u16),
    /// The settings of a node were rejected.
    #[error("invalid settings: {0}")]
    Settings(#[from] DeploymentError),
}
