//! A rolling change of the program or its settings: it goes out in stages, old and new nodes side
//! by side, is judged by what callers get, stops by itself when a stage does worse, and goes back.
//! No I/O: fed messages, results and the time, it says what to do.
//!
//! What a fleet knows of a change is a value that merges in any order ([`change`]) and can only
//! move towards safety without a quorum: any node may halt it, and none may advance it alone.
//! `docs/design/rollout.md` has the argument.

#![forbid(unsafe_code)]

pub mod change;
pub mod conduct;
pub mod handover;
pub mod judge;
pub mod kept;
pub mod local;
pub mod orders;
pub mod pieces;
pub mod quorum;
pub mod record;
pub mod rollout;
pub mod sayings;
pub mod shown;
pub mod sim;
pub mod stages;
pub mod wire;

pub use change::{Change, ChangeId, Changes, Fate, Kind, Reason, Version};
pub use conduct::{Conduct, Member, Step};
pub use kept::Kept;
pub use local::{Host, Local, Report, Stand};
pub use record::Record;
pub use rollout::Rollout;
pub use stages::{Plan, Reach, Stage};

/// Whole nanoseconds from any fixed point.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;

/// Mixes a number well enough to spread choices; splitmix64.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
