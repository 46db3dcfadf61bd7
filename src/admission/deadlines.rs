//! Deadlines: the times at which a request loses weight or must be answered, and the timer for the
//! next answer that is due.

use crate::{Arrival, Nanos, Operation};

/// Time before its deadline at which a request is answered at the latest, in nanoseconds. Allows
/// for the delay of read intervals and late timers.
pub(super) const ANSWER_MARGIN: Nanos = 30_000_000;

/// Times at which a request arrived, loses weight and must be answered.
#[derive(Clone, Copy)]
pub(super) struct RequestTimes {
    /// Time at which the request reached the machine.
    pub(super) arrived_at: Nanos,
    /// End of the latency objective. Until then an answer earns its whole weight.
    pub(super) objective_at: Nanos,
    /// Time by which the request must be answered.
    pub(super) answer_by: Nanos,
}

impl RequestTimes {
    /// Returns the times of an arrival. The client timeout counts from the arrival at the machine,
    /// unless the request carries the time for which its client will still wait. The latency
    /// objective ends at the deadline at the latest. `stops_at` is the time at which the process
    /// will be stopped, if known.
    pub(super) fn new(
        now: Nanos,
        arrival: &Arrival,
        config: &Operation,
        stops_at: Option<Nanos>,
    ) -> Self {
        let arrived_at = now.saturating_sub(arrival.age);
        let deadline = arrival
            .time_left
            .map_or(arrived_at + config.client_timeout, |left| now + left);
        let work_extension = arrival.work_hint.unwrap_or(0.0) * config.objective_per_work * 1e9;
        RequestTimes {
            arrived_at,
            objective_at: (arrived_at + config.latency_objective + work_extension as Nanos)
                .min(deadline),
            answer_by: latest_answer(deadline.min(stops_at.unwrap_or(Nanos::MAX))),
        }
    }
}

/// Returns the latest time to answer a request whose deadline is `end`.
pub(super) fn latest_answer(end: Nanos) -> Nanos {
    end.saturating_sub(ANSWER_MARGIN)
}

/// State of the timer for the next answer that is due.
pub(super) struct DeadlineTimer {
    /// Time at which the timer fires; `Nanos::MAX` if no timer is set.
    fires_at: Nanos,
}

impl DeadlineTimer {
    pub(super) fn new() -> Self {
        DeadlineTimer {
            fires_at: Nanos::MAX,
        }
    }

    /// Records that the timer has fired, so that no timer is set.
    pub(super) fn fired(&mut self) {
        self.fires_at = Nanos::MAX;
    }

    /// Returns the delay with which the timer must be set for an answer due at `answer_by`, or
    /// `None` if the timer fires at or before that time already.
    pub(super) fn delay_for(&mut self, now: Nanos, answer_by: Nanos) -> Option<Nanos> {
        if answer_by >= self.fires_at {
            return None;
        }
        self.fires_at = answer_by;
        Some(answer_by.saturating_sub(now))
    }
}
