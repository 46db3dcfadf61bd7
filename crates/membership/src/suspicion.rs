//! Suspicion timeouts, after Lifeguard: long while few members suspect, shorter with each that
//! confirms.
//!
//! No member is declared dead without a last call: whoever suspects it probes it once more and tells
//! it of the suspicion. Otherwise a suspicion from within a partition can outlive the partition.

use crate::Nanos;
use crate::member::MemberKey;
use std::collections::BTreeMap;

/// Confirmations by others that shorten the timeout to its minimum.
pub const CONFIRMATIONS_MAX: usize = 3;

/// Transmissions of the last call, in case some are lost.
const LAST_CALLS: u32 = 3;

/// One suspected member.
#[derive(Clone, Debug)]
struct Suspicion {
    since: Nanos,
    suspected_by: Vec<MemberKey>,
    timeout_min: Nanos,
    timeout_max: Nanos,
    /// When the last call was first sent.
    first_call: Option<Nanos>,
    calls: u32,
}

impl Suspicion {
    /// When the timeout ends, last call aside.
    fn timeout_end(&self) -> Nanos {
        let confirm_suspicion = self.suspected_by.len().saturating_sub(1);
        if confirm_suspicion == 0 {
            return self.since + self.timeout_max;
        }
        let shrink = ((confirm_suspicion + 1) as f64).ln() / ((CONFIRMATIONS_MAX + 1) as f64).ln();
        let timeout = self.timeout_max as f64
            - shrink.min(1.0) * (self.timeout_max - self.timeout_min) as f64;
        self.since + (timeout as Nanos).max(self.timeout_min)
    }

    /// When the next action is due: a last call, or the end.
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

/// Suspicions on which to act.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DueSuspicions {
    /// Suspects to send a last call.
    pub last_calls: Vec<MemberKey>,
    /// Suspects to declare dead.
    pub expired: Vec<MemberKey>,
}

/// All suspicions of this node.
#[derive(Debug, Default)]
pub struct Suspicions {
    by_member: BTreeMap<MemberKey, Suspicion>,
}

impl Suspicions {
    /// Records that a member is suspected, and by whom; true if that is new here. The timeout lies
    /// between the given bounds.
    pub fn suspect(
        &mut self,
        now: Nanos,
        key: MemberKey,
        suspected_by: MemberKey,
        (timeout_min, timeout_max): (Nanos, Nanos),
    ) -> bool {
        let fresh = || Suspicion {
            since: now,
            suspected_by: Vec::new(),
            timeout_min,
            timeout_max: timeout_max.max(timeout_min),
            first_call: None,
            calls: 0,
        };
        let suspicion = self.by_member.entry(key).or_insert_with(fresh);
        let is_new = !suspicion.suspected_by.contains(&suspected_by)
            && suspicion.suspected_by.len() <= CONFIRMATIONS_MAX;
        if is_new {
            suspicion.suspected_by.push(suspected_by);
        }
        is_new
    }

    /// The latest member to suspect it.
    pub fn latest(&self, key: MemberKey) -> Option<MemberKey> {
        self.by_member.get(&key)?.suspected_by.last().copied()
    }

    /// Ends a suspicion: refuted, or declared dead.
    pub fn clear(&mut self, key: MemberKey) {
        self.by_member.remove(&key);
    }

    /// Ends all suspicions.
    pub fn clear_all(&mut self) {
        self.by_member.clear();
    }

    /// Postpones all timeouts: this process stood still, which speaks against nobody.
    pub fn postpone(&mut self, time: Nanos) {
        for suspicion in self.by_member.values_mut() {
            suspicion.since += time;
            (suspicion.first_call, suspicion.calls) = (None, 0);
        }
    }

    /// When the next action is due; `lead` is the time for a reply to a last call.
    pub fn next(&self, lead: Nanos) -> Option<Nanos> {
        self.by_member
            .values()
            .map(|suspicion| suspicion.due(lead))
            .min()
    }

    /// Takes the suspicions on which to act now.
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
