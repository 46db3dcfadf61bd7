//! Why settings are refused.

use thiserror::Error;

/// Why settings cannot be decoded. Each text names the field by its path in the JSON.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DeploymentError {
    /// The text is no JSON object, or something follows it.
    #[error("{0}")]
    Malformed(String),
    /// A field is absent or of another type than it should be.
    #[error("{field}: {cause}")]
    WrongType {
        /// Path of the field.
        field: String,
        /// The message of the JSON decoder.
        cause: String,
    },
    /// A time is negative, or longer than [`DeploymentError::LONGEST_TIME_S`].
    #[error("{field} is {seconds}, not a time")]
    NotATime {
        /// Path of the field.
        field: String,
        /// Its value, in seconds.
        seconds: f64,
    },
    /// A time that must be longer than 0 rounds to 0 nanoseconds.
    #[error("{field} is {seconds}, which leaves no time")]
    NoTime {
        /// Path of the field.
        field: String,
        /// Its value, in seconds.
        seconds: f64,
    },
    /// A share, factor or amount is negative or not finite.
    #[error("{field} is {value}")]
    NotAnAmount {
        /// Path of the field.
        field: String,
        /// Its value.
        value: f64,
    },
    /// A count is under `least` or over [`DeploymentError::MOST_COUNTED`].
    #[error("{field} is {value}")]
    CountOutOfRange {
        /// Path of the field.
        field: String,
        /// Its value.
        value: usize,
        /// The least value that is taken.
        least: usize,
    },
    /// A field is absent that this deployment needs.
    #[error("{field} is missing: {reason}")]
    Missing {
        /// Path of the field.
        field: String,
        /// Why it is needed.
        reason: &'static str,
    },
    /// A field's value is not one of those agreed.
    #[error("{field} is unknown: {value:?}")]
    Unknown {
        /// Path of the field.
        field: String,
        /// Its value.
        value: String,
    },
    /// There are no operations.
    #[error("Services is empty")]
    NoOperations,
    /// An operation or a tenant has no name.
    #[error("{list}[{index}].Name is empty")]
    EmptyName {
        /// The list that it is in.
        list: &'static str,
        /// Its index there.
        index: usize,
    },
    /// Two operations or tenants have one name.
    #[error("{list}[{index}].Name stands twice: {name:?}")]
    DuplicateName {
        /// The list that they are in.
        list: &'static str,
        /// Index of the second one.
        index: usize,
        /// Their name.
        name: String,
    },
    /// A list by operation is of another length than the list of operations.
    #[error("{field} has {values} values for {operations} operations")]
    WrongLength {
        /// Path of the list.
        field: &'static str,
        /// Its length.
        values: usize,
        /// The number of operations.
        operations: usize,
    },
}

impl DeploymentError {
    /// The longest time that is taken, in seconds: a hundred days. What is longer is a mistake of
    /// the unit.
    pub const LONGEST_TIME_S: f64 = 8_640_000.0;
    /// The most cores, nodes, load balancers or operations that are taken.
    pub const MOST_COUNTED: usize = 1 << 20;
}
