//! The answer before the deadline: the instants that count for a request, and the one timer that
//! watches over all of them.

use crate::{Arrival, Nanos, Operation};

/// Answers go out this long before the client gives up: what reading intervals and late timers can
/// take.
pub(super) const ANSWER_MARGIN: Nanos = 30_000_000;

/// The instants that count for a request.
#[derive(Clone, Copy)]
pub(super) struct RequestTimes {
    /// When it reached the machine.
    pub(super) arrived_at: Nanos,
    /// Until then an answer earns its whole weight.
    pub(super) objective_at: Nanos,
    /// When it is answered at the latest.
    pub(super) answer_by: Nanos,
}

impl RequestTimes {
    /// The times of an arrival. The client timeout counts from arrival at the machine, unless the
    /// request carries the time that its client still waits; an objective ends with the deadline at
    /// the latest. `stops_at` is the end of the process, where it is known.
    pub(super) fn new(
        now: Nanos,
        arrival: &Arrival,
        agreed: &Operation,
        stops_at: Option<Nanos>,
    ) -> Self {
        let arrived_at = now.saturating_sub(arrival.age);
        let deadline = arrival
            .time_left
            .map_or(arrived_at + agreed.client_timeout, |left| now + left);
        let own_work = arrival.work_hint.unwrap_or(0.0) * agreed.objective_per_work * 1e9;
        RequestTimes {
            arrived_at,
            objective_at: (arrived_at + agreed.latency_objective + own_work as Nanos).min(deadline),
            answer_by: latest_answer(deadline.min(stops_at.unwrap_or(Nanos::MAX))),
        }
    }
}

/// The latest instant to answer what ends at `end`.
pub(super) fn latest_answer(end: Nanos) -> Nanos {
    end.saturating_sub(ANSWER_MARGIN)
}

/// The timer for the earliest answer that is due.
pub(super) struct DeadlineTimer {
    /// When the timer set last fires; `Nanos::MAX` = none is set.
    fires_at: Nanos,
}

impl DeadlineTimer {
    pub(super) fn new() -> Self {
        DeadlineTimer {
            fires_at: Nanos::MAX,
        }
    }

    /// Takes note that the timer has fired.
    pub(super) fn fired(&mut self) {
        self.fires_at = Nanos::MAX;
    }

    /// How long from now the timer must be set for an answer due at `answer_by`, unless it fires
    /// before.
    pub(super) fn delay_for(&mut self, now: Nanos, answer_by: Nanos) -> Option<Nanos> {
        if answer_by >= self.fires_at {
            return None;
        }
        self.fires_at = answer_by;
        Some(answer_by.saturating_sub(now))
    }
}
