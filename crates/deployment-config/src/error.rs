//! Errors of decoding the settings.

use thiserror::Error;

/// Error of decoding the settings. Each message names the field by its path in the JSON.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DeploymentError {
    /// The text is not a JSON object, or other text follows the object.
    #[error("{0}")]
    Malformed(String),
    /// A required field is missing, or a field has the wrong type.
    #[error("{field}: {cause}")]
    WrongType {
        /// Path of the field.
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
        /// Path of the field.
        field: String,
        /// Value of the field, in seconds.
        seconds: f64,
    },
    /// A time that must be longer than 0 rounds to 0 nanoseconds.
    #[error("{field} is {seconds} s, must be at least 1 ns")]
    ZeroTime {
        /// Path of the field.
        field: String,
        /// Value of the field, in seconds.
        seconds: f64,
    },
    /// A share, factor or amount is negative or not finite.
    #[error("{field} is {value}, must be finite and at least 0")]
    AmountOutOfRange {
        /// Path of the field.
        field: String,
        /// Value of the field.
        value: f64,
    },
    /// A count is less than `min` or more than [`DeploymentError::MAX_COUNT`].
    #[error(
        "{field} is {value}, must be from {min} to {}",
        DeploymentError::MAX_COUNT
    )]
    CountOutOfRange {
        /// Path of the field.
        field: String,
        /// Value of the field.
        value: usize,
        /// Smallest value that is accepted.
        min: usize,
    },
    /// An optional field is missing although the other settings require it.
    #[error("{field} is missing: {reason}")]
    Missing {
        /// Path of the field.
        field: String,
        /// Condition under which the field is required.
        reason: &'static str,
    },
    /// The value of an enumerated field is not one of its known names.
    #[error("{field} is unknown: {value:?}")]
    Unknown {
        /// Path of the field.
        field: String,
        /// Value of the field.
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
        /// Index in the list.
        index: usize,
    },
    /// Two operations or two tenants have the same name.
    #[error("{list}[{index}].Name is a duplicate: {name:?}")]
    DuplicateName {
        /// Name of the list, `Services` or `Tenants`.
        list: &'static str,
        /// Index of the second entry with the name.
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
        /// Number of operations.
        operations: usize,
    },
}

impl DeploymentError {
    /// Longest time that is accepted, in seconds: a hundred days. A longer one is taken for a
    /// mistake of the unit.
    pub const MAX_TIME_S: f64 = 8_640_000.0;
    /// Highest number of cores, nodes, load balancers or operations that is accepted.
    pub const MAX_COUNT: usize = 1 << 20;
}
