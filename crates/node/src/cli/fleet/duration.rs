//! Units of simulated time, and parsing of durations such as `30s`.

use crate::cli::error::CommandError;
use madderpoint_membership::Nanos;
use madderpoint_rules::time;

/// One millisecond in nanoseconds.
pub const MILLISECOND: Nanos = 1_000_000;
/// One second in nanoseconds.
pub const SECOND: Nanos = 1000 * MILLISECOND;

/// Parses a duration such as `30s` into nanoseconds.
pub fn parse_duration(text: &str) -> Result<Nanos, CommandError> {
    time::span(text)
        .and_then(|t| Nanos::try_from(t).ok())
        .ok_or_else(|| CommandError::Duration(text.to_owned()))
}
