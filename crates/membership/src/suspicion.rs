//! Suspicion timeouts as in Lifeguard: long while few members suspect the same member, and shorter
//! with each member that confirms the suspicion.
//!
//! No member is declared dead without a last call: each node that suspects the member probes it
//! again and informs it of the suspicion. Otherwise a suspicion that arose during a partition could
//! outlast the partition.

use crate::Nanos;
use crate::member::MemberKey;
use std::collections::BTreeMap;

/// Number of confirmations by other members that shorten the timeout to its minimum.
pub const CONFIRMATIONS_MAX: usize = 3;

/// Number of transmissions of the last call, since some may be lost.
const LAST_CALLS: u32 = 3;

/// Suspicion of one member.
#[derive(Clone, Debug)]
struct Suspicion {
    since: Nanos,
    suspected_by: Vec<MemberKey>,
    timeout_min: Nanos,
    timeout_max: Nanos,
    /// Time of the first transmission of the last call.
    first_call: Option<Nanos>,
    /// Number of transmissions of the last call so far.
    calls: u32,
}

impl Suspicion {
    /// Returns the end of the timeout, without regard to the last call.
    fn timeout_end(&self) -> Nanos {
        let confirmations = self.suspected_by.len().saturating_sub(1);
        if confirmations == 0 {
            return self.since + self.timeout_max;
        }
        let shrink = ((confirmations + 1) as f64).ln() / ((CONFIRMATIONS_MAX + 1) as f64).ln();
        let timeout = self.timeout_max as f64
            - shrink.min(1.0) * (self.timeout_max - self.timeout_min) as f64;
        self.since + (timeout as Nanos).max(self.timeout_min)
    }

    /// Returns when the next action is due: a transmission of the last call, or the end of the
    /// suspicion.
    fn due(&self, lead: Nanos) -> Nanos {
        match self.first_call {
            None => self.timeout_end().saturating_sub(lead),
            Some(first_call) if self.calls < LAST_CALLS => {
                first_call + lead / Nanos::from(LAST_CALLS) * Nanos::from(self.calls)
            }
            Some(first_call) => self.timeout_end().max(first_call + lead),
        }
    }
}

/// Suspicions whose next action is due.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DueSuspicions {
    /// Suspects to which a last call is to be sent.
    pub last_calls: Vec<MemberKey>,
    /// Suspects that are to be declared dead.
    pub expired: Vec<MemberKey>,
}

/// All suspicions that this node knows of.
#[derive(Debug, Default)]
pub struct Suspicions {
    by_member: BTreeMap<MemberKey, Suspicion>,
}

impl Suspicions {
    /// Records that `suspected_by` suspects a member. Returns true if this suspicion is new and can
    /// shorten the timeout, which lies between the given bounds.
    pub fn suspect(
        &mut self,
        now: Nanos,
        key: MemberKey,
        suspected_by: MemberKey,
        (timeout_min, timeout_max): (Nanos, Nanos),
    ) -> bool {
        let new_suspicion = || Suspicion {
            since: now,
            suspected_by: Vec::new(),
            timeout_min,
            timeout_max: timeout_max.max(timeout_min),
            first_call: None,
            calls: 0,
        };
        let suspicion = self.by_member.entry(key).or_insert_with(new_suspicion);
        let is_new = !suspicion.suspected_by.contains(&suspected_by)
            && suspicion.suspected_by.len() <= CONFIRMATIONS_MAX;
        if is_new {
            suspicion.suspected_by.push(suspected_by);
        }
        is_new
    }

    /// Returns the member that was the latest to suspect the given one.
    pub fn latest(&self, key: MemberKey) -> Option<MemberKey> {
        self.by_member.get(&key)?.suspected_by.last().copied()
    }

    /// Ends a suspicion, after the member refuted it or was declared dead.
    pub fn clear(&mut self, key: MemberKey) {
        self.by_member.remove(&key);
    }

    /// Ends all suspicions.
    pub fn clear_all(&mut self) {
        self.by_member.clear();
    }

    /// Postpones all timeouts by the time for which this process was paused, since it could not
    /// receive refutations meanwhile. Last calls are sent again.
    pub fn postpone(&mut self, time: Nanos) {
        for suspicion in self.by_member.values_mut() {
            suspicion.since += time;
            (suspicion.first_call, suspicion.calls) = (None, 0);
        }
    }

    /// Returns when the next action is due. `lead` is the time that a member has to reply to the
    /// last call.
    pub fn next(&self, lead: Nanos) -> Option<Nanos> {
        self.by_member
            .values()
            .map(|suspicion| suspicion.due(lead))
            .min()
    }

    /// Returns the suspicions whose next action is due, and ends those that have expired.
    pub fn due(&mut self, now: Nanos, lead: Nanos) -> DueSuspicions {
        let mut due = DueSuspicions::default();
        for (key, suspicion) in self
            .by_member
            .iter_mut()
            .filter(|(_, s)| s.due(lead) <= now)
        {
            if suspicion.calls < LAST_CALLS {
                suspicion.first_call.get_or_insert(now);
                suspicion.calls += 1;
                due.last_calls.push(*key);
            } else {
                due.expired.push(*key);
            }
        }
        due.expired.iter().for_each(|key| self.clear(*key));
        due
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.by_member.len()
    }
}

#[cfg(test)]
mod tests;
