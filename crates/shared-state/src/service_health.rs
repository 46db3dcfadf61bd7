//! Whether a backend service is healthy, by what a node sees itself first, and by what others
//! report.
//!
//! What others report may make a node treat a service as degraded, and never as unavailable: only its
//! own calls do ([`ServiceHealth::evaluate`]). A failing service is distinguished from a failing reporter
//! by how many report it and from how many zones ([`AggregatedHealth::is_failing`]). While a service is
//! unavailable, few nodes of the whole cluster probe it, chosen by a hash so that all agree on them
//! ([`is_prober`]); then load comes back in steps, no node going further than twice what the others
//! admit (`recovery_ramp`).

mod aggregation;
mod outlier_detection;
mod recovery_ramp;
mod report;

pub use aggregation::{AggregatedHealth, HealthReports, is_prober};
pub use report::HealthReport;

use crate::{MILLISECOND, Nanos, SECOND};

/// The window over which calls are counted, in nanoseconds.
const CALL_WINDOW: Nanos = 2 * SECOND;
/// Reports of others count for this long, in nanoseconds.
const REPORT_MAX_AGE: Nanos = 5 * SECOND;
/// A window with fewer calls than this says nothing by its ratio of failures.
const MIN_CALLS: u32 = 10;
/// A service fails from this ratio of failed calls on.
const FAILING_RATIO: f64 = 0.5;
/// A service is healthy up to this ratio of failed calls.
const HEALTHY_RATIO: f64 = 0.1;
/// Nodes of the whole cluster that probe an unavailable service.
const PROBERS: usize = 3;
/// The time between two probes of a prober, in nanoseconds.
const PROBE_INTERVAL: Nanos = 500 * MILLISECOND;
/// The time between two probes of a node that hears of no other, in nanoseconds.
const LONE_PROBE_INTERVAL: Nanos = 5 * SECOND;
/// Probes in a row that must succeed before load comes back; failures in a row with nothing well for
/// a window from which a service counts as failing.
const CONCLUSIVE_IN_A_ROW: u32 = 3;
/// The time of a step of the recovery ramp, in nanoseconds.
const RAMP_STEP: Nanos = 5 * SECOND;
/// The share of load admitted in the first step of the ramp.
const RAMP_FIRST_SHARE: f64 = 1.0 / 16.0;
/// After a recovery, a node does not follow the recovery of others for this long, in nanoseconds.
const RECOVERED_HOLD: Nanos = 12 * RAMP_STEP;
/// The share of load that is admitted while a service is degraded.
const DEGRADED_SHARE: f64 = 0.25;

/// How a node treats a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// All calls are admitted.
    Healthy,
    /// Others report that it fails: a part of the calls is admitted, to see.
    Degraded,
    /// It failed this node: only probes are admitted.
    Unavailable,
    /// It was unavailable, and load comes back in steps.
    Recovering,
}

impl HealthState {
    /// The word that logs and status show.
    pub fn label(self) -> &'static str {
        match self {
            HealthState::Healthy => "open",
            HealthState::Degraded => "careful",
            HealthState::Unavailable => "closed",
            HealthState::Recovering => "rising",
        }
    }
}

/// Calls in half of a window. Two halves are kept, so that no count is a whole window old.
#[derive(Clone, Copy, Debug, Default)]
struct HalfWindow {
    calls: u32,
    failed: u32,
}

/// Calls that were admitted and held back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Calls that were admitted.
    pub admitted: u64,
    /// Calls that were held back.
    pub withheld: u64,
}

/// A node's view of one backend service.
#[derive(Clone, Debug)]
pub struct ServiceHealth {
    zone: u32,
    state: HealthState,
    state_since: Nanos,
    /// The admitted share while recovering.
    ramp_share: f64,
    /// The current half window and the one before.
    halves: [HalfWindow; 2],
    /// The current half window's number.
    half_number: Nanos,
    /// While unavailable: probes in a row that succeeded.
    successes_in_a_row: u32,
    failures_in_a_row: u32,
    /// The last time at which a call succeeded, or the first failure after it.
    failing_since: Nanos,
    last_probe_at: Nanos,
    /// What others report, and when that was summed up.
    others: Option<(AggregatedHealth, Nanos)>,
    /// A process that has just started does not know whether the service has too, until others
    /// report or this time passes.
    unaware_until: Nanos,
    /// When the last recovery was complete.
    recovered_at: Option<Nanos>,
    /// Accumulates the admitted share: a call is admitted when it reaches 1.
    admission_credit: f64,
    counts: AdmissionCounts,
}

impl ServiceHealth {
    /// A service of which nothing is known; it counts as healthy.
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

    /// How the service is treated.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Since when it is in this state; while recovering, in this step.
    pub fn state_since(&self) -> Nanos {
        self.state_since
    }

    /// Calls that were admitted and held back.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// The share of calls that is admitted, from 0 to 1.
    pub fn admitted_share(&self) -> f64 {
        match self.state {
            HealthState::Healthy => 1.0,
            HealthState::Degraded => DEGRADED_SHARE,
            HealthState::Unavailable => 0.0,
            HealthState::Recovering => self.ramp_share,
        }
    }

    /// The share of its budget units that the node uses, from 0 to 1: slow start. While the service is
    /// unavailable only probes are sent, which are seldom by themselves.
    pub fn budget_share(&self, now: Nanos) -> f64 {
        match self.state {
            HealthState::Healthy if now < self.unaware_until => RAMP_FIRST_SHARE,
            HealthState::Healthy | HealthState::Unavailable => 1.0,
            HealthState::Degraded | HealthState::Recovering => self.admitted_share(),
        }
    }

    /// What this node reports to others.
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

    /// What others report, while it is recent enough.
    pub fn aggregated_health(&self, now: Nanos) -> Option<AggregatedHealth> {
        self.others
            .filter(|(_, received_at)| now < *received_at + REPORT_MAX_AGE)
            .map(|(aggregated, _)| aggregated)
    }

    /// Whether this node is to probe the service now, while it is unavailable. One that hears of no
    /// other probes by itself, less often.
    pub fn is_probe_due(&self, now: Nanos) -> bool {
        let (probes, interval) = match self.aggregated_health(now) {
            Some(others) if !others.is_alone => (others.is_prober, PROBE_INTERVAL),
            _ => (true, LONE_PROBE_INTERVAL),
        };
        probes && now >= self.last_probe_at + interval
    }

    /// Whether a call may be sent now. A call whose request was thinned out at admission is only held
    /// back from an unavailable service.
    pub fn admits(&mut self, now: Nanos, is_thinned_out: bool) -> bool {
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
            HealthState::Degraded | HealthState::Recovering if is_thinned_out => true,
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

    /// After how many nanoseconds a request that needs the service should come back.
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

    /// A call has ended.
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

/// Adds a share to a credit; takes 1 from it, and returns true, where it reaches 1.
pub(crate) fn take_credit(credit: &mut f64, share: f64) -> bool {
    *credit += share;
    let is_enough = *credit >= 1.0;
    *credit -= if is_enough { 1.0 } else { 0.0 };
    is_enough
}

#[cfg(test)]
mod tests;
