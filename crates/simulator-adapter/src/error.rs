//! Why the simulator's input cannot be followed.

use madderpoint_deployment_config::DeploymentError;
use thiserror::Error;

/// Why the adapter ends.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// The input cannot be followed.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// A reply could not be written.
    #[error("reply: {0}")]
    Reply(std::io::Error),
}

/// Input that cannot be followed, and where.
#[derive(Debug, PartialEq, Error)]
#[error("record {record}, field {field}, offset {offset}: {cause}")]
pub(crate) struct Malformed {
    /// The record by its name on the wire, or by its code.
    pub(crate) record: String,
    /// The field by its name on the wire.
    pub(crate) field: &'static str,
    /// Offset in the batch, in bytes from its header on.
    pub(crate) offset: usize,
    /// What is wrong with it.
    pub(crate) cause: Cause,
}

/// What is wrong with a field.
#[derive(Debug, PartialEq, Error)]
pub(crate) enum Cause {
    /// The record ends before the field does.
    #[error("needs {needed} bytes, {left} are left")]
    CutShort {
        /// Bytes of the field.
        needed: usize,
        /// Bytes that the record still has.
        left: usize,
    },
    /// The input ends within a batch.
    #[error("input ended after {got} of {expected} bytes")]
    InputEnded {
        /// Bytes that came.
        got: usize,
        /// Bytes announced.
        expected: usize,
    },
    /// A batch is longer than is taken.
    #[error("{announced} bytes announced, at most {most} are taken")]
    TooLong {
        /// Bytes announced.
        announced: usize,
        /// The most that are taken.
        most: usize,
    },
    /// The input cannot be read.
    #[error("{0}")]
    Unreadable(String),
    /// A number is infinite or none.
    #[error("not a finite number")]
    NotFinite,
    /// A time is negative, in seconds.
    #[error("negative time {0}")]
    NegativeTime(f64),
    /// A record of an unknown code.
    #[error("unknown record")]
    UnknownRecord,
    /// An outcome of an unknown code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// A request of an operation that the settings do not have.
    #[error("no class {0}")]
    NoOperation(usize),
    /// An event for a node that was not started.
    #[error("no instance {0}")]
    NoInstance(u16),
    /// The settings are refused.
    #[error("{0}")]
    Settings(#[from] DeploymentError),
}
