//! Errors of decoding the settings.

use thiserror::Error;

/// Error of decoding the settings. Each message names the field by its path in the JSON.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DeploymentError {
    /// The text is not a JSON object, or other text follows the object; carries the message of the
    /// JSON decoder.
    #[error("not a valid JSON object: {0}")]
    Malformed(String),
    /// A required field is missing, or a field has the wrong type.
    #[error("{field}: {cause}")]
    WrongType {
        /// Path of the field in the JSON, such as `Extra.MemLimitKb`.
        field: String,
        /// Message of the JSON decoder.
        cause: String,
    },
    /// A time is negative, longer than [`DeploymentError::MAX_TIME_S`] or not a number.
    #[error(
        "{field} is {seconds} s, must be from 0 to {} s",
        DeploymentError::MAX_TIME_S
    )]
    TimeOutOfRange {
        /// Path of the field in the JSON, such as `Extra.MemLimitKb`.
        field: String,
        /// Rejected value, in seconds.
        seconds: f64,
    },
    /// A time that must be longer than 0 rounds to 0 nanoseconds.
    #[error("{field} is {seconds} s, must be at least 1 ns")]
    ZeroTime {
        /// Path of the field in the JSON, such as `Extra.MemLimitKb`.
        field: String,
        /// Rejected value, in seconds.
        seconds: f64,
    },
    /// A fraction, factor or amount is negative or not finite.
    #[error("{field} is {value}, must be finite and at least 0")]
    AmountOutOfRange {
        /// Path of the field in the JSON, such as `Extra.MemLimitKb`.
        field: String,
        /// Rejected value.
        value: f64,
    },
    /// A count is less than `min` or more than [`DeploymentError::MAX_COUNT`].
    #[error(
        "{field} is {value}, must be from {min} to {}",
        DeploymentError::MAX_COUNT
    )]
    CountOutOfRange {
        /// Path of the field in the JSON, such as `Extra.MemLimitKb`.
        field: String,
        /// Rejected value.
        value: usize,
        /// Smallest value that is accepted.
        min: usize,
    },
    /// An optional field is missing although the other settings require it.
    #[error("{field} is missing: {reason}")]
    Missing {
        /// Path of the field in the JSON, such as `Extra.MemLimitKb`.
        field: String,
        /// Condition under which the field is required.
        reason: &'static str,
    },
    /// The value of an enumerated field is not one of its known names.
    #[error("{field} is unknown: {value:?}")]
    Unknown {
        /// Path of the field in the JSON, such as `Extra.MemLimitKb`.
        field: String,
        /// Rejected value.
        value: String,
    },
    /// The list of operations is empty.
    #[error("Services is empty")]
    NoOperations,
    /// An operation or a tenant has no name.
    #[error("{list}[{index}].Name is empty")]
    EmptyName {
        /// Name of the list, `Services` or `Tenants`.
        list: &'static str,
        /// Index of the nameless entry in `list`, counted from 0.
        index: usize,
    },
    /// Two operations or two tenants have the same name.
    #[error("{list}[{index}].Name is a duplicate: {name:?}")]
    DuplicateName {
        /// Name of the list, `Services` or `Tenants`.
        list: &'static str,
        /// Index of the second entry with the name, counted from 0.
        index: usize,
        /// Name that both entries have.
        name: String,
    },
    /// A list with one value for each operation does not have as many values as there are
    /// operations.
    #[error("{field} has {values} values for {operations} operations")]
    WrongLength {
        /// Path of the list.
        field: &'static str,
        /// Number of values in the list.
        values: usize,
        /// Number of operations in the settings, which the list must match.
        operations: usize,
    },
}

impl DeploymentError {
    /// Longest time that is accepted, in seconds: a hundred days. A longer time is rejected, since
    /// it was probably given in another unit.
    pub const MAX_TIME_S: f64 = 8_640_000.0;
    /// Highest accepted number of cores, nodes, load balancers or operations.
    pub const MAX_COUNT: usize = 1 << 20;
}
