//! Requests.

use super::{AHEAD, AT_ONCE, FADES, Place, QuotaBorrower, TOGETHER, UnitLease};
use crate::keyed_quota::{
    KEYS_ASKED, KeyRequest, QuotaGrant, QuotaKind, QuotaRequest, QuotaTiming,
};
use crate::{Nanos, shorter};

impl QuotaBorrower {
    pub(super) fn refill(&mut self, now: Nanos) {
        let passed = now.saturating_sub(self.counted) as f64 / self.rhythm.urgent as f64;
        (self.saved, self.counted) = ((self.saved + passed).min(AT_ONCE), now);
    }

    /// When the next question may go out, if one is wanted now.
    pub(super) fn next_question(&self, now: Nanos) -> Nanos {
        let passed = now.saturating_sub(self.counted) as f64 / self.rhythm.urgent as f64;
        let lacks = (1.0 - self.saved - passed).max(0.0);
        let since = if self.urgent.is_empty() {
            now
        } else {
            self.urgent_since
        };
        (since + TOGETHER).max(now + (lacks * self.rhythm.urgent as f64) as Nanos)
    }

    /// When it wants to ask, if at all.
    pub fn next(&self, now: Nanos) -> Option<Nanos> {
        let due = match (self.urgent.is_empty(), self.later.front()) {
            (false, _) => now,
            (true, Some((due, _))) => *due,
            (true, None) => return None,
        };
        Some(due.max(self.next_question(now)))
    }

    /// The question that is due now, if one is.
    pub fn ask(&mut self, now: Nanos) -> Option<QuotaRequest> {
        self.refill(now);
        let is_due = !self.urgent.is_empty() && now >= self.urgent_since + TOGETHER
            || self.later.front().is_some_and(|(due, _)| *due <= now);
        if self.saved < 1.0 || !is_due {
            return None;
        }
        let no = self.no + 1;
        let mut asked = QuotaRequest {
            no,
            stamp: now,
            keys: Vec::new(),
        };
        let most = self.urgent.len().min(KEYS_ASKED);
        for place in self.urgent.drain(..most).collect::<Vec<_>>() {
            self.question(now, no, place, &mut asked.keys);
        }
        self.urgent_since = now;
        while asked.keys.len() < KEYS_ASKED {
            let Some((due, place)) = self.later.pop_front_if(|(due, _)| *due <= now) else {
                break;
            };
            let QuotaTiming { renew, keep, .. } = self.rhythm;
            // One that was let go of meanwhile, and perhaps came anew, has another place in the
            // queue or none.
            let Some(pocket) = self
                .pockets
                .get_mut(&place)
                .filter(|pocket| pocket.later == due)
            else {
                continue;
            };
            if pocket.in_hand == 0 && pocket.slip.units(now) == 0 && now >= pocket.used + keep {
                self.forget(now, place);
                continue;
            }
            pocket.later = now + renew;
            let was_asked = now < pocket.asked_at + renew && pocket.slip.asked > 0;
            self.later.push_back((now + renew, place));
            if !was_asked {
                self.question(now, no, place, &mut asked.keys);
            }
        }
        if asked.keys.is_empty() {
            return None;
        }
        (self.no, self.saved, self.lender_asked) = (no, self.saved - 1.0, now);
        Some(asked)
    }

    /// Says of a key what is left and kept, and what is wanted.
    pub(super) fn question(
        &mut self,
        now: Nanos,
        no: u32,
        place: Place,
        keys: &mut Vec<KeyRequest>,
    ) {
        let Some(of) = self.terms.get(&place.0).copied() else {
            return;
        };
        let QuotaTiming { renew, keep, .. } = self.rhythm;
        let Some(pocket) = self.pockets.get_mut(&place) else {
            return;
        };
        let is_used = now < pocket.used + keep;
        let tries = match of.kind {
            QuotaKind::Rate { .. } => {
                let passed = now.saturating_sub(pocket.asked_at).max(renew / 8);
                f64::from(pocket.tries) * renew as f64 / passed as f64
            }
            QuotaKind::InHand { .. } => f64::from(pocket.tries.saturating_sub(of.floor)),
        };
        pocket.lately = (f64::from(pocket.lately) * FADES).max(tries) as f32;
        let need = (f64::from(pocket.lately) * AHEAD).ceil() as u32;
        // ProcessId uses a key now and then has one at hand.
        let need = if is_used { need.max(1) } else { 0 }.min(of.pool);
        let in_use = match of.kind {
            QuotaKind::Rate { .. } => 0,
            QuotaKind::InHand { .. } => pocket.in_hand.saturating_sub(of.floor),
        };
        // What is in use is told as left, whatever became of the units that it was taken by.
        let (kept, back) = pocket.slip.ask(now, no, need.max(in_use));
        let left = kept.max(in_use);
        (pocket.need, pocket.asked_at, pocket.tries, pocket.urgent) = (need, now, 0, false);
        keys.push(KeyRequest {
            budget: place.0,
            key: place.1,
            left,
            back,
            wants: need.saturating_sub(left),
        });
    }

    /// An answer came. What it says of a key counts only if no later question was asked about that:
    /// the one who lends goes by the latest question.
    pub fn lent(&mut self, now: Nanos, lent: &QuotaGrant) {
        if lent.stamp > now {
            return;
        }
        self.heard = self.heard.max(now);
        let until = lent
            .stamp
            .saturating_add(shorter(lent.life.min(self.rhythm.life)));
        for key in &lent.keys {
            let Some(pocket) = self.pockets.get_mut(&(key.budget, key.key)) else {
                continue;
            };
            if pocket.slip.answer(now, lent.no, key.adds, until) {
                pocket.empty_until = if key.wait > 0 { now + key.wait } else { 0 };
            }
        }
    }

    /// The node leaves: nothing that was lent is used from here on. Whether nothing of it is in
    /// hand.
    pub fn let_go(&mut self) -> bool {
        self.pockets
            .values_mut()
            .for_each(|pocket| pocket.slip = UnitLease::default());
        self.pockets.values().all(|pocket| pocket.in_hand == 0)
    }
}
