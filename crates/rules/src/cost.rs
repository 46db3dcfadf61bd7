//! Cost of evaluation, in units. One unit is about a nanosecond on the machine that
//! `docs/design/rules.md` names. The same functions compute the worst case from bounds on sizes
//! when a rule is loaded, and the charge from actual sizes at run time. Each function is monotonic
//! in its arguments, so the charge never exceeds the worst case.

/// Default limit on the worst-case cost of one expression, in units.
pub const LIMIT: u64 = 4_000;
/// Highest limit that the settings may set for one expression, in units.
pub const LIMIT_MAX: u64 = 100_000;
/// Limit on the total cost of all expressions evaluated for one request, as a multiple of the limit
/// on one expression.
pub const REQUEST_FACTOR: u64 = 8;

/// Units charged for each evaluation step (each node of the tree).
pub const STEP: u64 = 2;
/// Units charged for one iteration of a macro, in addition to the steps of its body.
pub const ROUND: u64 = 8;
/// Units charged for one lookup in a hash set or a set of addresses.
pub const LOOK: u64 = 40;

/// Returns the units charged for comparing this many bytes.
pub fn compare(bytes: u64) -> u64 {
    4 + bytes / 8
}

/// Returns the units charged for building a string, bytes or a list of this many bytes.
pub fn build(bytes: u64) -> u64 {
    16 + bytes / 4
}

/// Returns the units charged for searching this many bytes for a string of `needle` bytes.
pub fn search(bytes: u64, needle: u64) -> u64 {
    40 + bytes / 2 + needle
}

/// Returns the units charged for iterating over the characters in this many bytes.
pub fn walk(bytes: u64) -> u64 {
    8 + bytes * 3 / 2
}

/// Returns the units charged for matching a regular expression over this many bytes, with one table
/// lookup for each byte.
pub fn pattern(bytes: u64) -> u64 {
    20 + bytes * 4
}

/// Returns the units charged for finding a parameter by a computed name of `name` bytes among
/// `pairs` parameters.
pub fn find(pairs: u64, name: u64) -> u64 {
    6 + pairs * 3 + name / 4
}
