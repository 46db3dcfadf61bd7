//! How long a suspect has to say that it is there: long while few suspect it, shorter with each
//! that confirms. Nobody is buried without a last call: who suspects asks the suspect itself once
//! more, and tells it what it is held for. Without that, a suspicion from within a partition
//! outlived the partition: its news was spent before it could reach the suspect (60 members cut for
//! 6 s, one of 16 seeds: a member buried 13 s after the heal).

use crate::Nanos;
use crate::member::MemberKey;
use std::collections::BTreeMap;

/// Others whose word shortens the wait.
pub const CONFIRMED: usize = 3;

/// How often a last call goes out, in case it is lost on its way.
const CALLS: u32 = 3;

/// One suspicion.
#[derive(Clone, Debug)]
struct Suspicion {
    since: Nanos,
    suspected_by: Vec<MemberKey>,
    least: Nanos,
    most: Nanos,
    /// When the last call went out first, and how often it did.
    called: Option<Nanos>,
    calls: u32,
}

impl Suspicion {
    /// When its time is over but for the last call.
    fn over(&self) -> Nanos {
        let confirm_suspicion = self.suspected_by.len().saturating_sub(1);
        if confirm_suspicion == 0 {
            return self.since + self.most;
        }
        let part = ((confirm_suspicion + 1) as f64).ln() / ((CONFIRMED + 1) as f64).ln();
        let wait = self.most as f64 - part.min(1.0) * (self.most - self.least) as f64;
        self.since + (wait as Nanos).max(self.least)
    }

    /// When something is to be done: the last call, or the end.
    fn due(&self, lead: Nanos) -> Nanos {
        match self.called {
            None => self.over().saturating_sub(lead),
            Some(called) if self.calls < CALLS => {
                called + lead / Nanos::from(CALLS) * Nanos::from(self.calls)
            }
            Some(called) => self.over().max(called + lead),
        }
    }
}

/// What is due.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DueSuspicions {
    /// Suspects to be asked a last time.
    pub calls: Vec<MemberKey>,
    /// Suspects whose time is over.
    pub over: Vec<MemberKey>,
}

/// All that is suspected here.
#[derive(Debug, Default)]
pub struct Suspicions {
    all: BTreeMap<MemberKey, Suspicion>,
}

impl Suspicions {
    /// Somebody suspects a member; true if that is new here. The wait lies between these two.
    pub fn suspect(
        &mut self,
        now: Nanos,
        key: MemberKey,
        suspected_by: MemberKey,
        (least, most): (Nanos, Nanos),
    ) -> bool {
        let fresh = || Suspicion {
            since: now,
            suspected_by: Vec::new(),
            least,
            most: most.max(least),
            called: None,
            calls: 0,
        };
        let suspicion = self.all.entry(key).or_insert_with(fresh);
        let is_new = !suspicion.suspected_by.contains(&suspected_by)
            && suspicion.suspected_by.len() <= CONFIRMED;
        if is_new {
            suspicion.suspected_by.push(suspected_by);
        }
        is_new
    }

    /// Who suspected it last.
    pub fn latest(&self, key: MemberKey) -> Option<MemberKey> {
        self.all.get(&key)?.suspected_by.last().copied()
    }

    /// It is cleared, or buried.
    pub fn clear(&mut self, key: MemberKey) {
        self.all.remove(&key);
    }

    pub fn clear_all(&mut self) {
        self.all.clear();
    }

    /// The node stood still for so long: what it did not hear meanwhile speaks against nobody.
    pub fn put_off(&mut self, time: Nanos) {
        for suspicion in self.all.values_mut() {
            suspicion.since += time;
            (suspicion.called, suspicion.calls) = (None, 0);
        }
    }

    /// When the next one is due, if a last call has this long for its answer.
    pub fn next(&self, lead: Nanos) -> Option<Nanos> {
        self.all.values().map(|suspicion| suspicion.due(lead)).min()
    }

    /// What is due.
    pub fn due(&mut self, now: Nanos, lead: Nanos) -> DueSuspicions {
        let mut due = DueSuspicions::default();
        for (key, suspicion) in self.all.iter_mut().filter(|(_, s)| s.due(lead) <= now) {
            if suspicion.calls < CALLS {
                suspicion.called.get_or_insert(now);
                suspicion.calls += 1;
                due.calls.push(*key);
            } else {
                due.over.push(*key);
            }
        }
        due.over.iter().for_each(|key| self.clear(*key));
        due
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.all.len()
    }
}

#[cfg(test)]
mod tests;
