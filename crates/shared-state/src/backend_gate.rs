//! What needs a call that can't be made is turned away before it runs, at once and with the time at
//! which it is worth to come back. Else it would run up to its call, hold a core, and err there.

use crate::budget::NodeBudgets;
use crate::service_health::{HealthState, ServiceHealth};
use crate::{MILLISECOND, Nanos, SECOND};

/// What may be saved up, as a time.
const SAVED: Nanos = 250 * MILLISECOND;
/// A run's calls move the mean by this.
const LEARN: f64 = 0.05;
/// Of the room below so much is filled: calls don't come as evenly as runs are let in.
const FILLS: f64 = 0.95;
const LEAST_CALLS: f64 = 0.05;
/// Between two that are let in to try a service that is down.
const TRY: Nanos = 500 * MILLISECOND;

/// Lets in so many of those that need a call as there is room below.
#[derive(Clone, Debug)]
pub struct BackendGate {
    saved: f64,
    counted: Nanos,
    /// Calls that a run makes, on average.
    calls: f64,
    /// What is owed to the level of a service that is thinned out.
    owed: f64,
    tried: Nanos,
    let_in: u64,
    turned_away: u64,
}

impl BackendGate {
    /// Nothing is saved.
    pub fn new(now: Nanos) -> BackendGate {
        BackendGate {
            saved: 0.0,
            counted: now,
            calls: 1.0,
            owed: 0.0,
            tried: 0,
            let_in: 0,
            turned_away: 0,
        }
    }

    /// Whether one more may run; else when it is worth to come back.
    pub fn admits(
        &mut self,
        now: Nanos,
        ends: Option<&mut NodeBudgets>,
        judge: Option<&mut ServiceHealth>,
    ) -> Result<(), Nanos> {
        let service = judge.map_or(Ok(()), |judge| self.service(now, judge));
        let room = match (&service, ends) {
            (Ok(()), Some(ends)) => self.room(now, ends),
            _ => Ok(()),
        };
        let admits = service.and(room);
        *(if admits.is_ok() {
            &mut self.let_in
        } else {
            &mut self.turned_away
        }) += 1;
        admits
    }

    /// By what the service below is judged to be.
    fn service(&mut self, now: Nanos, judge: &mut ServiceHealth) -> Result<(), Nanos> {
        let goes = match judge.mode() {
            HealthState::Healthy => true,
            // Those who try it need something to try it with.
            HealthState::Unavailable => {
                let tries = judge.is_try_due(now) && now >= self.tried + TRY;
                if tries {
                    self.tried = now;
                }
                tries
            }
            HealthState::Degraded | HealthState::Recovering => {
                self.owed += judge.level();
                let goes = self.owed >= 1.0;
                self.owed -= if goes { 1.0 } else { 0.0 };
                goes
            }
        };
        if goes {
            Ok(())
        } else {
            Err(judge.pause(now).max(MILLISECOND))
        }
    }

    /// By the budgets: as many runs as they have calls for.
    fn room(&mut self, now: Nanos, ends: &mut NodeBudgets) -> Result<(), Nanos> {
        if let Some(pause) = ends.is_full(now) {
            ends.wished(now);
            return Err(pause.max(MILLISECOND));
        }
        let Some(units) = ends.a_second(now) else {
            return Ok(());
        };
        let rate = FILLS * units / self.calls;
        let passed =
            now.saturating_sub(std::mem::replace(&mut self.counted, now)) as f64 / SECOND as f64;
        let most = (rate * SAVED as f64 / SECOND as f64).max(2.0);
        self.saved = (self.saved + rate * passed).min(most);
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return Ok(());
        }
        // What is turned away here never comes to its call, and is wanted all the same.
        ends.wished(now);
        let pause = if rate > 0.0 {
            ((1.0 - self.saved) / rate * SECOND as f64) as Nanos
        } else {
            SECOND
        };
        Err(pause.clamp(MILLISECOND, 10 * SECOND))
    }

    /// A run that was let in is over, and made so many calls.
    pub fn ran(&mut self, calls: u32) {
        self.calls = (self.calls + LEARN * (f64::from(calls) - self.calls)).max(LEAST_CALLS);
    }

    /// How many were let in and turned away.
    pub fn tally(&self) -> (u64, u64) {
        (self.let_in, self.turned_away)
    }
}

#[cfg(test)]
mod tests;
