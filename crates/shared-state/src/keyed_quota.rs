//! Limits by key for a whole fleet: a rate of each key, or a number of it in hand. There may be a
//! hundred thousand keys, most of them seldom used, so that nothing is known of a key that nobody
//! used lately.
//!
//! What may be spent of a key exists as **units** that are each in one place: free at the one who
//! lends, or in the pocket of a node ([`wallet`]). Units of a rate are made at that rate, and only
//! while fewer exist than may be saved; what is spent is gone. Units of a number in hand are as
//! many as the limit. Because a unit is never in two places, it does not matter how long one lies
//! in a pocket: over any time W all nodes together spend at most rate x W and what may be saved.
//!
//! Beside that each node has a floor: a few units of each key that were set aside for it, made at a
//! sixteenth of the rate over all nodes. A node that hears nothing has these.

pub mod borrower;
pub mod lender;

use crate::{MILLISECOND, Nanos, SECOND};

/// Of a rate whose nodes have floors, one part in so many is made as floors.
const FLOOR_PART: u64 = 16;
/// Questions that one who lends can answer in a second, without much of its core.
const QUESTIONS: u64 = 2000;
/// Keys in one question: what fits a parcel.
pub const KEYS_ASKED: usize = 48;

/// What is limited of each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuotaKind {
    /// So many in a period; so many may be saved.
    Rate {
        count: u32,
        period: Nanos,
        burst: u32,
    },
    /// So many in hand; one is held so long at most.
    InHand { limit: u32, longest: Nanos },
}

/// A limit by key for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedQuota {
    /// Tells it from all others, on all nodes.
    pub name: String,
    pub kind: QuotaKind,
    /// Units of each key that each node has for itself.
    pub floor: u32,
    /// Processes that run at once, at most.
    pub nodes_most: u32,
}

/// A number for a name, which all nodes agree on: FNV-1a.
pub fn number(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

impl KeyedQuota {
    /// What nodes call it to each other. The kind is in it: a limit that changes its kind is
    /// another one.
    pub fn id(&self) -> u32 {
        let kind = match self.kind {
            QuotaKind::Rate { .. } => "rate",
            QuotaKind::InHand { .. } => "in hand",
        };
        number(&format!("{} {kind}", self.name))
    }

    /// All units of a key that may exist at once.
    fn most(&self) -> u32 {
        match self.kind {
            QuotaKind::Rate { burst, .. } => burst,
            QuotaKind::InHand { limit, .. } => limit,
        }
    }

    /// Units of a key that are set aside as floors.
    fn floors(&self) -> u64 {
        u64::from(self.floor) * u64::from(self.nodes_most)
    }

    /// What is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        let floors = self.floors();
        if self.nodes_most == 0 || self.most() == 0 {
            return Err(format!(
                "'{}': the limit and the number of nodes must be above 0",
                self.name
            ));
        }
        if floors >= u64::from(self.most()) {
            let word = match self.kind {
                QuotaKind::Rate { .. } => "burst",
                QuotaKind::InHand { .. } => "limit",
            };
            return Err(format!(
                "'{}': the floors of {} nodes are {floors}, and nothing of the {word} of {} is left to lend",
                self.name,
                self.nodes_most,
                self.most()
            ));
        }
        if self.interval().is_none_or(|interval| interval == 0) {
            return Err(format!("'{}': this rate can't be kept", self.name));
        }
        Ok(())
    }

    /// Units of a key that are lent: saved at most, or in all.
    pub fn pool(&self) -> u32 {
        u32::try_from(u64::from(self.most()).saturating_sub(self.floors())).unwrap_or(0)
    }

    /// Time for a unit that is lent to be made. The clock of the one who lends may run fast by the
    /// drift, so it is longer.
    pub fn interval(&self) -> Option<Nanos> {
        let QuotaKind::Rate { count, period, .. } = self.kind else {
            return Some(Nanos::MAX);
        };
        let even = period.checked_div(u64::from(count))?;
        let lent = if self.floor > 0 {
            even + even / (FLOOR_PART - 1) + 1
        } else {
            even
        };
        Some(lent + lent / (crate::DRIFT - 1) + 1)
    }

    /// Time for a unit of a node's floor to be made.
    pub fn floor_interval(&self) -> Nanos {
        let QuotaKind::Rate { count, period, .. } = self.kind else {
            return 0;
        };
        let even = period / u64::from(count.max(1)) + 1;
        let of_node = even
            .saturating_mul(FLOOR_PART)
            .saturating_mul(u64::from(self.nodes_most));
        of_node.saturating_add(of_node / (crate::DRIFT - 1))
    }

    /// How long units may be in use after their time is over.
    pub fn lag(&self) -> Nanos {
        match self.kind {
            QuotaKind::Rate { .. } => 0,
            QuotaKind::InHand { longest, .. } => longest,
        }
    }
}

/// How often keys are asked for. The same on all nodes, as it follows from their settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaTiming {
    /// Between two questions of a node, in the long run.
    pub urgent: Nanos,
    /// What a node uses of a key is told, and asked for anew, this often.
    pub renew: Nanos,
    /// What lies in a pocket is used within this, unless it is asked for anew.
    pub life: Nanos,
    /// A key that was used within this counts as in use.
    pub keep: Nanos,
}

impl QuotaTiming {
    /// For so many nodes at most, all of which ask one.
    pub fn of(nodes_most: u32) -> QuotaTiming {
        let urgent = (250 * MILLISECOND).max(SECOND * u64::from(nodes_most) / QUESTIONS);
        let renew = 4 * urgent;
        QuotaTiming {
            urgent,
            renew,
            life: 3 * renew,
            keep: 15 * renew,
        }
    }
}

/// A question about one key: what its node has left and keeps, what it gives back, and what it
/// wants beside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRequest {
    pub budget: u32,
    pub key: u64,
    pub left: u32,
    pub back: u32,
    pub wants: u32,
}

/// A question about some keys. Numbers grow with each question of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaRequest {
    pub no: u32,
    /// The asker's time, which comes back.
    pub stamp: Nanos,
    pub keys: Vec<KeyRequest>,
}

/// What a node gets of a key beside what it keeps; and where that is nothing, when it is worth to
/// ask again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    pub budget: u32,
    pub key: u64,
    pub adds: u32,
    pub wait: Nanos,
}

/// The answer to a question.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaGrant {
    pub no: u32,
    pub stamp: Nanos,
    /// All that the asker has of these keys now holds for so long from its question.
    pub life: Nanos,
    pub keys: Vec<KeyGrant>,
}

#[cfg(test)]
mod tests;
