//! Checks of single fields. Every error names the field.

use crate::error::DeploymentError;
use madderpoint::Nanos;
use std::collections::HashSet;

/// Converts a time in seconds to nanoseconds. The time must be from 0 to
/// [`DeploymentError::MAX_TIME_S`].
pub(crate) fn time(seconds: f64, field: &str) -> Result<Nanos, DeploymentError> {
    if !(0.0..=DeploymentError::MAX_TIME_S).contains(&seconds) {
        return Err(DeploymentError::TimeOutOfRange {
            field: field.to_owned(),
            seconds,
        });
    }
    Ok((seconds * 1e9).round() as Nanos)
}

/// Converts a time in seconds to nanoseconds. The time must be at least 1 ns after rounding.
pub(crate) fn positive_time(seconds: f64, field: &str) -> Result<Nanos, DeploymentError> {
    match time(seconds, field)? {
        0 => Err(DeploymentError::ZeroTime {
            field: field.to_owned(),
            seconds,
        }),
        time => Ok(time),
    }
}

/// Checks a fraction, a factor or an amount: the value must be finite and at least 0.
pub(crate) fn amount(value: f64, field: &str) -> Result<f64, DeploymentError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(DeploymentError::AmountOutOfRange {
            field: field.to_owned(),
            value,
        })
    }
}

/// Checks a count: the value must be from `min` to [`DeploymentError::MAX_COUNT`].
pub(crate) fn count(value: usize, min: usize, field: &str) -> Result<usize, DeploymentError> {
    if (min..=DeploymentError::MAX_COUNT).contains(&value) {
        Ok(value)
    } else {
        Err(DeploymentError::CountOutOfRange {
            field: field.to_owned(),
            value,
            min,
        })
    }
}

/// Returns the value of an optional field that is required for `reason`.
pub(crate) fn required<T>(
    value: Option<T>,
    field: &str,
    reason: &'static str,
) -> Result<T, DeploymentError> {
    value.ok_or_else(|| DeploymentError::Missing {
        field: field.to_owned(),
        reason,
    })
}

/// Looks up the value of an enumerated field by its name.
pub(crate) fn one_of<T: Copy>(
    value: &str,
    field: &str,
    choices: &[(&str, T)],
) -> Result<T, DeploymentError> {
    let found = choices.iter().find(|(name, _)| *name == value);
    found
        .map(|(_, choice)| *choice)
        .ok_or_else(|| DeploymentError::Unknown {
            field: field.to_owned(),
            value: value.to_owned(),
        })
}

/// Checks that no name is empty and that all are different, since requests refer to operations and
/// tenants by name.
pub(crate) fn distinct<'a>(
    names: impl Iterator<Item = &'a str>,
    list: &'static str,
) -> Result<(), DeploymentError> {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        if name.is_empty() {
            return Err(DeploymentError::EmptyName { list, index });
        }
        if !seen.insert(name) {
            return Err(DeploymentError::DuplicateName {
                list,
                index,
                name: name.to_owned(),
            });
        }
    }
    Ok(())
}

/// Returns one value for each operation. The list may be missing if `is_used` is false; every
/// operation then gets `default`.
pub(crate) fn by_operation<T: Clone>(
    values: Option<Vec<T>>,
    is_used: bool,
    operations: usize,
    default: T,
    field: &'static str,
) -> Result<Vec<T>, DeploymentError> {
    match values {
        None if is_used => Err(DeploymentError::Missing {
            field: field.to_owned(),
            reason: "required if operations have a downstream to call",
        }),
        None => Ok(vec![default; operations]),
        Some(values) if values.len() != operations => Err(DeploymentError::WrongLength {
            field,
            values: values.len(),
            operations,
        }),
        Some(values) => Ok(values),
    }
}
