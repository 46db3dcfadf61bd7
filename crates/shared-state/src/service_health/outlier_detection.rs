//! Rules.

use super::{
    AGED, AggregatedHealth, HealthState, ILL, PROVED, RISEN, STEP, ServiceHealth, TRIES, WELL,
    WINDOW,
};
use crate::Nanos;

impl ServiceHealth {
    /// What others say came.
    pub fn told(&mut self, now: Nanos, opinion: AggregatedHealth) {
        self.others = Some((opinion, now));
        if opinion.speak >= 2 {
            self.unaware_until = now;
        }
        // Others find it well again: then this node may come back too, in the first step, though it
        // did not try it. What they said when it fell, and what they counted before, is no word
        // about now: words are good for so long, and count a window.
        let later = now > self.since + AGED + WINDOW;
        let enough = opinion.well >= 2.min(opinion.witnesses).max(1);
        if self.mode == HealthState::Unavailable && later && enough {
            self.come_back(now);
        }
        self.judge(now);
    }

    /// Looks at what there is, of which some may have aged out.
    pub fn judge(&mut self, now: Nanos) {
        let own = self.evidence(now);
        // Where calls hang there are few, and each says more.
        let hangs = self.failed_in_a_row >= PROVED && now >= self.failing_since + WINDOW;
        let is_ill =
            own.tries >= TRIES && own.failing() >= ILL || self.failed_in_a_row >= TRIES || hangs;
        let others = self.others(now);
        let others_ill = others.is_some_and(|opinion| opinion.is_ill());
        match self.mode {
            HealthState::Healthy | HealthState::Degraded | HealthState::Recovering if is_ill => {
                self.enter(now, HealthState::Unavailable)
            }
            // One that saw nothing of it, being idle or not there, comes back with the others and
            // not at once.
            HealthState::Healthy | HealthState::Degraded
                if self.risen.is_none_or(|at| now >= at + RISEN)
                    && !own.is_well()
                    && others.is_some_and(|o| o.is_rising()) =>
            {
                if let Some(opinion) = others.filter(|opinion| opinion.level > 0.0) {
                    self.level = opinion.least;
                    self.enter(now, HealthState::Recovering);
                } else if self.mode == HealthState::Healthy && others_ill {
                    self.enter(now, HealthState::Degraded);
                }
            }
            HealthState::Healthy if !own.is_well() && others_ill => {
                self.enter(now, HealthState::Degraded)
            }
            // What it sees itself goes first; else it ages out with those who said it.
            HealthState::Degraded if own.is_well() || !others_ill => {
                self.enter(now, HealthState::Healthy)
            }
            HealthState::Recovering if now >= self.since + STEP && own.failing() <= WELL => {
                self.rise(now)
            }
            _ => {}
        }
    }
}
