//! The cost of evaluation. One unit is about a nanosecond on the machine that
//! `docs/design/rules.md`
//! names. The same functions give the worst case when a rule is loaded, from bounds on sizes, and
//! the charge at run time, from actual sizes. None of them decreases as its argument grows, so that
//! the charge never exceeds the worst case.

/// The default limit on the worst case of one expression, in units.
pub const LIMIT: u64 = 4_000;
/// The highest limit that settings may set for one expression, in units.
pub const LIMIT_MAX: u64 = 100_000;
/// The limit on all expressions evaluated for one request together, as a multiple of the limit of
/// one.
pub const REQUEST_FACTOR: u64 = 8;

/// Units of any step.
pub const STEP: u64 = 2;
/// Units of a round of a macro, beside its steps.
pub const ROUND: u64 = 8;
/// Units of a lookup in a hash set or a set of addresses.
pub const LOOK: u64 = 40;

/// Units of comparing this many bytes.
pub fn compare(bytes: u64) -> u64 {
    4 + bytes / 8
}

/// Units of building a text, bytes or a list of this many bytes.
pub fn build(bytes: u64) -> u64 {
    16 + bytes / 4
}

/// Units of searching this many bytes for a text of `needle` bytes.
pub fn search(bytes: u64, needle: u64) -> u64 {
    40 + bytes / 2 + needle
}

/// Units of iterating over the characters of this many bytes.
pub fn walk(bytes: u64) -> u64 {
    8 + bytes * 3 / 2
}

/// Units of matching a regular expression over this many bytes: a table lookup for each.
pub fn pattern(bytes: u64) -> u64 {
    20 + bytes * 4
}

/// Units of finding a parameter by a computed name of `name` bytes among this many.
pub fn find(pairs: u64, name: u64) -> u64 {
    6 + pairs * 3 + name / 4
}
