//! Health of a backend service, determined by a node's own calls first and by the reports of other
//! nodes second.
//!
//! Reports of other nodes may make a node treat a service as degraded, but never as unavailable;
//! only the node's own calls do that ([`ServiceHealth::evaluate`]). A failing service is
//! distinguished from a failing reporter by the numbers of nodes and zones that report the failure
//! ([`AggregatedHealth::is_failing`]). While a service is unavailable, only a few nodes of the
//! whole cluster probe it. They are chosen by a hash, so that all nodes agree on them
//! ([`is_prober`]). Then load is restored in steps, and no node admits more than twice the mean
//! share that the others admit (`recovery_ramp`).

mod aggregation;
mod outlier_detection;
mod recovery_ramp;
mod report;

pub use aggregation::{AggregatedHealth, HealthReports, is_prober};
pub use report::HealthReport;

use crate::{MILLISECOND, Nanos, SECOND};

/// Length of the window over which calls are counted, in nanoseconds.
const CALL_WINDOW: Nanos = 2 * SECOND;
/// Time for which reports of other nodes are used, in nanoseconds.
const REPORT_MAX_AGE: Nanos = 5 * SECOND;
/// Minimum number of calls in a window for its failure ratio to be conclusive.
const MIN_CALLS: u32 = 10;
/// Ratio of failed calls from which on a service is failing.
const FAILING_RATIO: f64 = 0.5;
/// Ratio of failed calls up to which a service is healthy.
const HEALTHY_RATIO: f64 = 0.1;
/// Number of nodes in the whole cluster that probe an unavailable service.
const PROBERS: usize = 3;
/// Time between two probes of a prober, in nanoseconds.
const PROBE_INTERVAL: Nanos = 500 * MILLISECOND;
/// Time between two probes of a node that has no recent reports of other members, in nanoseconds.
const LONE_PROBE_INTERVAL: Nanos = 5 * SECOND;
/// Number of consecutive successful probes after which load is restored, and number of consecutive
/// failures, without a success for a whole window, from which on a service is failing.
const CONCLUSIVE_IN_A_ROW: u32 = 3;
/// Duration of a step of the recovery ramp, in nanoseconds.
const RAMP_STEP: Nanos = 5 * SECOND;
/// Share of calls that is admitted in the first step of the recovery ramp.
const RAMP_FIRST_SHARE: f64 = 1.0 / 16.0;
/// Time after its own recovery for which a node does not follow the recovery of others, in
/// nanoseconds.
const RECOVERED_HOLD: Nanos = 12 * RAMP_STEP;
/// Share of calls that is admitted while a service is degraded.
const DEGRADED_SHARE: f64 = 0.25;

/// How a node treats a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// All calls are admitted.
    Healthy,
    /// Other nodes report failures: a part of the calls is admitted, to test the service.
    Degraded,
    /// Calls of this node failed: only probes are admitted.
    Unavailable,
    /// The service was unavailable, and load is restored in steps.
    Recovering,
}

impl HealthState {
    /// Returns the label of the state in logs and in the status snapshot.
    pub fn label(self) -> &'static str {
        match self {
            HealthState::Healthy => "open",
            HealthState::Degraded => "careful",
            HealthState::Unavailable => "closed",
            HealthState::Recovering => "rising",
        }
    }
}

/// Calls in one half of a window. The current and the previous half are kept, so that every counted
/// call is less than a window old.
#[derive(Clone, Copy, Debug, Default)]
struct HalfWindow {
    calls: u32,
    failed: u32,
}

/// Numbers of calls that a [`ServiceHealth`] admitted and withheld since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Number of calls that [`ServiceHealth::admits`] allowed.
    pub admitted: u64,
    /// Number of calls that [`ServiceHealth::admits`] refused.
    pub withheld: u64,
}

/// Health of one backend service as one node sees it.
#[derive(Clone, Debug)]
pub struct ServiceHealth {
    zone: u32,
    state: HealthState,
    state_since: Nanos,
    /// Share of calls that is admitted while the service is recovering, from 0 to 1.
    ramp_share: f64,
    /// The current and the previous half window.
    halves: [HalfWindow; 2],
    /// Number of the current half window.
    half_number: Nanos,
    /// Number of consecutive successful probes while unavailable.
    successes_in_a_row: u32,
    failures_in_a_row: u32,
    /// Time of the last successful call, or of the first failure after it.
    failing_since: Nanos,
    last_probe_at: Nanos,
    /// The aggregated reports of other nodes, and the time of the aggregation.
    others: Option<(AggregatedHealth, Nanos)>,
    /// Time until which a process that has just started has to assume that the service has just
    /// started too; reports of other nodes end this earlier.
    unaware_until: Nanos,
    /// Time at which the last recovery was complete.
    recovered_at: Option<Nanos>,
    /// Sum of the admitted share, added for each call. When the sum reaches 1, a call is admitted
    /// and 1 is subtracted.
    admission_credit: f64,
    counts: AdmissionCounts,
}

impl ServiceHealth {
    /// Creates the health of a service without calls or reports, which is treated as healthy.
    pub fn new(now: Nanos, zone: u32) -> ServiceHealth {
        ServiceHealth {
            zone,
            state: HealthState::Healthy,
            state_since: now,
            ramp_share: 1.0,
            halves: [HalfWindow::default(); 2],
            half_number: now / (CALL_WINDOW / 2),
            successes_in_a_row: 0,
            failures_in_a_row: 0,
            failing_since: now,
            last_probe_at: 0,
            others: None,
            unaware_until: now + REPORT_MAX_AGE,
            recovered_at: None,
            admission_credit: 0.0,
            counts: AdmissionCounts::default(),
        }
    }

    /// Returns the state as of the last call, report or evaluation.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Returns the time since which the service is in this state; while recovering, since which it
    /// is in the current step of the ramp.
    pub fn state_since(&self) -> Nanos {
        self.state_since
    }

    /// Returns the numbers of admitted and withheld calls.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// Returns the share of calls that is admitted, from 0 to 1.
    pub fn admitted_share(&self) -> f64 {
        match self.state {
            HealthState::Healthy => 1.0,
            HealthState::Degraded => DEGRADED_SHARE,
            HealthState::Unavailable => 0.0,
            HealthState::Recovering => self.ramp_share,
        }
    }

    /// Returns the share of its budget units that the node may use, from 0 to 1, for a slow start
    /// of the service. The share is not reduced while the service is unavailable, because then only
    /// probes are sent, which are rare.
    pub fn budget_share(&self, now: Nanos) -> f64 {
        match self.state {
            HealthState::Healthy if now < self.unaware_until => RAMP_FIRST_SHARE,
            HealthState::Healthy | HealthState::Unavailable => 1.0,
            HealthState::Degraded | HealthState::Recovering => self.admitted_share(),
        }
    }

    /// Returns the report on the service that this node sends to other nodes.
    pub fn report(&mut self, now: Nanos) -> HealthReport {
        self.roll_windows(now);
        let [current, previous] = self.halves;
        HealthReport {
            zone: self.zone,
            calls: current.calls + previous.calls,
            failed: current.failed + previous.failed,
            admitted_share: self.admitted_share(),
        }
    }

    /// Returns the aggregated reports of other nodes, or `None` if they are 5 s old or older.
    pub fn aggregated_health(&self, now: Nanos) -> Option<AggregatedHealth> {
        self.others
            .filter(|(_, received_at)| now < *received_at + REPORT_MAX_AGE)
            .map(|(aggregated, _)| aggregated)
    }

    /// Returns whether this node has to probe the unavailable service now. A node that has no
    /// recent reports, or knows of no other member, probes on its own, but less often.
    pub fn is_probe_due(&self, now: Nanos) -> bool {
        let (probes, interval) = match self.aggregated_health(now) {
            Some(others) if !others.is_alone => (others.is_prober, PROBE_INTERVAL),
            _ => (true, LONE_PROBE_INTERVAL),
        };
        probes && now >= self.last_probe_at + interval
    }

    /// Returns whether a call may be sent now. If the request of the call has passed the backend
    /// gate (`is_gated`), which already applied the admitted share, the call is withheld only while
    /// the service is unavailable.
    pub fn admits(&mut self, now: Nanos, is_gated: bool) -> bool {
        self.evaluate(now);
        let admits = match self.state {
            HealthState::Healthy => true,
            HealthState::Unavailable => {
                let is_due = self.is_probe_due(now);
                if is_due {
                    self.last_probe_at = now;
                }
                is_due
            }
            HealthState::Degraded | HealthState::Recovering if is_gated => true,
            HealthState::Degraded | HealthState::Recovering => {
                let share = self.admitted_share();
                take_credit(&mut self.admission_credit, share)
            }
        };
        *(if admits {
            &mut self.counts.admitted
        } else {
            &mut self.counts.withheld
        }) += 1;
        admits
    }

    /// Returns the Retry-After in nanoseconds of a request that needs the service.
    pub fn retry_after(&self, now: Nanos) -> Nanos {
        match self.state {
            HealthState::Healthy => 0,
            HealthState::Unavailable => (self.last_probe_at + PROBE_INTERVAL)
                .saturating_sub(now)
                .max(PROBE_INTERVAL),
            HealthState::Degraded => REPORT_MAX_AGE / 2,
            HealthState::Recovering => (self.state_since + RAMP_STEP)
                .saturating_sub(now)
                .max(PROBE_INTERVAL),
        }
    }

    /// Records the end of a call and updates the state.
    pub fn call_ended(&mut self, now: Nanos, is_success: bool) {
        self.roll_windows(now);
        self.halves[0].calls += 1;
        self.halves[0].failed += u32::from(!is_success);
        if is_success || self.failures_in_a_row == 0 {
            self.failing_since = now;
        }
        self.failures_in_a_row = if is_success {
            0
        } else {
            self.failures_in_a_row + 1
        };
        if self.state == HealthState::Unavailable {
            self.successes_in_a_row = if is_success {
                self.successes_in_a_row + 1
            } else {
                0
            };
            if self.successes_in_a_row >= CONCLUSIVE_IN_A_ROW {
                self.start_recovery(now);
            }
        }
        self.evaluate(now);
    }

    fn roll_windows(&mut self, now: Nanos) {
        let number = now / (CALL_WINDOW / 2);
        for _ in self.half_number..number.min(self.half_number + 2) {
            self.halves = [HalfWindow::default(), self.halves[0]];
        }
        self.half_number = number;
    }

    fn enter(&mut self, now: Nanos, state: HealthState) {
        if self.state != state {
            self.state = state;
            self.state_since = now;
            self.successes_in_a_row = 0;
            self.admission_credit = 0.0;
        }
    }
}

/// Adds `share` to `credit`. If the credit reaches 1, subtracts 1 and returns true.
pub(crate) fn take_credit(credit: &mut f64, share: f64) -> bool {
    *credit += share;
    let is_enough = *credit >= 1.0;
    *credit -= if is_enough { 1.0 } else { 0.0 };
    is_enough
}

#[cfg(test)]
mod tests;
