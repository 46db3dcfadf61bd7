//! What evaluating costs. One unit is about a nanosecond on the machine that `docs/design/rules.md`
//! names. The same functions give the worst case when a rule is loaded, from bounds on what comes,
//! and the meter's steps at run time, from what came. None of them falls as its argument grows, so
//! that the meter never passes the worst case.

/// The highest worst case of one expression where the settings name no other, and the most that
/// they may name.
pub const LIMIT: u64 = 4_000;
/// The most that settings may allow for one expression.
pub const LIMIT_MAX: u64 = 100_000;
/// What all expressions that are looked at for one request may use together, as a multiple of the
/// limit of one.
pub const REQUEST_FACTOR: u64 = 8;

/// Any step.
pub const STEP: u64 = 2;
/// A round of a macro, beside its steps.
pub const ROUND: u64 = 8;
/// A look into a hash set or a set of addresses.
pub const LOOK: u64 = 40;

/// Comparing so many bytes.
pub fn compare(bytes: u64) -> u64 {
    4 + bytes / 8
}

/// Building text, bytes or a list of so many bytes.
pub fn build(bytes: u64) -> u64 {
    16 + bytes / 4
}

/// Finding so many bytes in so many.
pub fn search(bytes: u64, needle: u64) -> u64 {
    40 + bytes / 2 + needle
}

/// Going through so many bytes of text one by one.
pub fn walk(bytes: u64) -> u64 {
    8 + bytes * 3 / 2
}

/// A regular expression over so many bytes: one look into a table for each, which was measured at
/// two to three nanoseconds, and twice that at p99.
pub fn pattern(bytes: u64) -> u64 {
    20 + bytes * 4
}

/// Looking a parameter up by a name that is computed, among so many.
pub fn find(pairs: u64, name: u64) -> u64 {
    6 + pairs * 3 + name / 4
}
