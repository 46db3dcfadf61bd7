//! Checks of single fields. Each names the field in its error.

use crate::error::DeploymentError;
use madderpoint::Nanos;
use std::collections::HashSet;

/// A time in seconds, 0 included.
pub(crate) fn time(seconds: f64, field: &str) -> Result<Nanos, DeploymentError> {
    if !(0.0..=DeploymentError::LONGEST_TIME_S).contains(&seconds) {
        return Err(DeploymentError::NotATime {
            field: field.to_owned(),
            seconds,
        });
    }
    Ok((seconds * 1e9).round() as Nanos)
}

/// A time in seconds, at least a nanosecond.
pub(crate) fn positive_time(seconds: f64, field: &str) -> Result<Nanos, DeploymentError> {
    match time(seconds, field)? {
        0 => Err(DeploymentError::NoTime {
            field: field.to_owned(),
            seconds,
        }),
        time => Ok(time),
    }
}

/// A share, a factor or an amount: any number from 0 on.
pub(crate) fn amount(value: f64, field: &str) -> Result<f64, DeploymentError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(DeploymentError::NotAnAmount {
            field: field.to_owned(),
            value,
        })
    }
}

/// A number of things, at least `least`.
pub(crate) fn count(value: usize, least: usize, field: &str) -> Result<usize, DeploymentError> {
    if (least..=DeploymentError::MOST_COUNTED).contains(&value) {
        Ok(value)
    } else {
        Err(DeploymentError::CountOutOfRange {
            field: field.to_owned(),
            value,
            least,
        })
    }
}

/// A value that this deployment needs.
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

/// One of the values that are agreed by name.
pub(crate) fn one_of<T: Copy>(
    value: &str,
    field: &str,
    agreed: &[(&str, T)],
) -> Result<T, DeploymentError> {
    let found = agreed.iter().find(|(name, _)| *name == value);
    found
        .map(|(_, meaning)| *meaning)
        .ok_or_else(|| DeploymentError::Unknown {
            field: field.to_owned(),
            value: value.to_owned(),
        })
}

/// Names that requests refer to: none is empty, and all are different.
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

/// One value for each operation, or `absent` for each where no operation has a use for them.
pub(crate) fn by_operation<T: Clone>(
    values: Option<Vec<T>>,
    is_used: bool,
    operations: usize,
    absent: T,
    field: &'static str,
) -> Result<Vec<T>, DeploymentError> {
    match values {
        None if is_used => Err(DeploymentError::Missing {
            field: field.to_owned(),
            reason: "there is something below to be called",
        }),
        None => Ok(vec![absent; operations]),
        Some(values) if values.len() != operations => Err(DeploymentError::WrongLength {
            field,
            values: values.len(),
            operations,
        }),
        Some(values) => Ok(values),
    }
}
