//! Whether a service below is well, by what a node sees itself first, and by what others see beside
//! it.
//!
//! What others see may make a node careful at once, and never closes a service to it: only its own
//! tries do. A sick service is told from a sick witness by how many say so and in how many zones.
//! When it was down, few in the whole fleet try it first, chosen by hash so that all agree on whom;
//! then load rises in steps, nobody going further than twice what the others have.

mod aggregation;
mod outlier_detection;
mod recovery_ramp;
mod report;

pub use aggregation::{AggregatedHealth, HealthReports, is_prober};
pub use report::HealthReport;

use crate::{MILLISECOND, Nanos, SECOND};

/// What is counted is this long, and aged out after so long.
const WINDOW: Nanos = 2 * SECOND;
const AGED: Nanos = 5 * SECOND;
/// A window with fewer tries than this says nothing.
const TRIES: u32 = 10;
/// Parts of tries that failed from which a service is ill, and under which it is well.
const ILL: f64 = 0.5;
const WELL: f64 = 0.1;
/// Nodes of the whole fleet that try a service that is down, and between two tries of one.
const PROBES: usize = 3;
const PROBE: Nanos = 500 * MILLISECOND;
/// One that hears nobody tries by itself this often.
const DEAF_PROBE: Nanos = 5 * SECOND;
/// Tries in a row that must succeed before load comes back; and the time of a step: all of it is
/// back after 20 s. With steps of 2 s a service that warms up in 20 s was thrown down again.
const PROVED: u32 = 3;
const STEP: Nanos = 5 * SECOND;
/// The first step of load, of all of it.
const FIRST: f64 = 1.0 / 16.0;
/// ProcessId has come back does not come back once more with those who are later, for so long.
const RISEN: Nanos = 12 * STEP;
/// What a careful node lets through.
const CAREFUL: f64 = 0.25;

/// How a node goes about a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// All of it goes there.
    Healthy,
    /// Others say that it is ill: a part goes there, to see.
    Degraded,
    /// It failed this node: nothing goes there, but for tries.
    Unavailable,
    /// It was down, and load comes back in steps.
    Recovering,
}

impl HealthState {
    /// Its word, as logs and tables show it.
    pub fn word(self) -> &'static str {
        match self {
            HealthState::Healthy => "open",
            HealthState::Degraded => "careful",
            HealthState::Unavailable => "closed",
            HealthState::Recovering => "rising",
        }
    }
}

/// Two halves of a window, so that what is counted is never a whole window old.
#[derive(Clone, Copy, Debug, Default)]
struct TwoHalfWindow {
    tries: u32,
    failed: u32,
}

/// A node's judgement on one service.
#[derive(Clone, Debug)]
pub struct ServiceHealth {
    zone: u32,
    mode: HealthState,
    since: Nanos,
    level: f64,
    halves: [TwoHalfWindow; 2],
    half: Nanos,
    in_a_row: u32,
    /// Tries in a row that failed: so many say more than a window that was good before.
    failed_in_a_row: u32,
    /// Since when no try went well.
    failing_since: Nanos,
    probed: Nanos,
    /// What others say, and when that came.
    others: Option<(AggregatedHealth, Nanos)>,
    /// A process that has just started does not know whether the service has too: until others
    /// speak, or until then.
    unaware_until: Nanos,
    /// When it was last all back, having been down.
    risen: Option<Nanos>,
    /// What is owed to the level: a call goes when it comes to one.
    owed: f64,
    /// Calls that it let go and kept back.
    passed: u64,
    kept_back: u64,
}

impl ServiceHealth {
    /// Nothing is known of the service; it counts as well.
    pub fn new(now: Nanos, zone: u32) -> ServiceHealth {
        ServiceHealth {
            zone,
            mode: HealthState::Healthy,
            since: now,
            level: 1.0,
            halves: [TwoHalfWindow::default(); 2],
            half: now / (WINDOW / 2),
            in_a_row: 0,
            failed_in_a_row: 0,
            failing_since: now,
            probed: 0,
            others: None,
            unaware_until: now + AGED,
            risen: None,
            owed: 0.0,
            passed: 0,
            kept_back: 0,
        }
    }

    pub fn mode(&self) -> HealthState {
        self.mode
    }

    /// Since when it is so.
    pub fn since(&self) -> Nanos {
        self.since
    }

    /// Calls that it let go, and kept back.
    pub fn tally(&self) -> (u64, u64) {
        (self.passed, self.kept_back)
    }

    /// What it lets through now, of all.
    pub fn level(&self) -> f64 {
        match self.mode {
            HealthState::Healthy => 1.0,
            HealthState::Degraded => CAREFUL,
            HealthState::Unavailable => 0.0,
            HealthState::Recovering => self.level,
        }
    }

    /// The share of its units that it uses: slow start. While the service is closed only tries go,
    /// which are seldom by themselves.
    pub fn share(&self, now: Nanos) -> f64 {
        match self.mode {
            HealthState::Healthy if now < self.unaware_until => FIRST,
            HealthState::Healthy | HealthState::Unavailable => 1.0,
            HealthState::Degraded | HealthState::Recovering => self.level(),
        }
    }

    fn roll(&mut self, now: Nanos) {
        let half = now / (WINDOW / 2);
        for _ in self.half..half.min(self.half + 2) {
            self.halves = [TwoHalfWindow::default(), self.halves[0]];
        }
        self.half = half;
    }

    /// What it says to others.
    pub fn evidence(&mut self, now: Nanos) -> HealthReport {
        self.roll(now);
        let [a, b] = self.halves;
        HealthReport {
            zone: self.zone,
            tries: a.tries + b.tries,
            failed: a.failed + b.failed,
            level: self.level(),
        }
    }

    /// What others say, while it is good.
    pub fn others(&self, now: Nanos) -> Option<AggregatedHealth> {
        self.others
            .filter(|(_, heard)| now < *heard + AGED)
            .map(|(opinion, _)| opinion)
    }

    fn enter(&mut self, now: Nanos, mode: HealthState) {
        if self.mode != mode {
            (self.mode, self.since, self.in_a_row, self.owed) = (mode, now, 0, 0.0);
        }
    }

    /// Whether a try is due from this node while the service is down. One that hears nobody tries
    /// by itself, more seldom.
    pub fn is_try_due(&self, now: Nanos) -> bool {
        let (tries, wait) = match self.others(now) {
            Some(opinion) if !opinion.alone => (opinion.prober, PROBE),
            _ => (true, DEAF_PROBE),
        };
        tries && now >= self.probed + wait
    }

    /// Whether a call may go there now. For one that was thinned out before, with what it is part
    /// of, only a closed service counts.
    pub fn admits(&mut self, now: Nanos, thinned: bool) -> bool {
        self.judge(now);
        let goes = match self.mode {
            HealthState::Healthy => true,
            HealthState::Unavailable => {
                let due = self.is_try_due(now);
                if due {
                    self.probed = now;
                }
                due
            }
            HealthState::Degraded | HealthState::Recovering if thinned => true,
            HealthState::Degraded | HealthState::Recovering => {
                self.owed += self.level();
                let goes = self.owed >= 1.0;
                self.owed -= if goes { 1.0 } else { 0.0 };
                goes
            }
        };
        *(if goes {
            &mut self.passed
        } else {
            &mut self.kept_back
        }) += 1;
        goes
    }

    /// How long what needs the service does well to stay away.
    pub fn pause(&self, now: Nanos) -> Nanos {
        match self.mode {
            HealthState::Healthy => 0,
            HealthState::Unavailable => (self.probed + PROBE).saturating_sub(now).max(PROBE),
            HealthState::Degraded => AGED / 2,
            HealthState::Recovering => (self.since + STEP).saturating_sub(now).max(PROBE),
        }
    }

    /// A call there ended.
    pub fn ended(&mut self, now: Nanos, well: bool) {
        self.roll(now);
        self.halves[0].tries += 1;
        self.halves[0].failed += u32::from(!well);
        if well || self.failed_in_a_row == 0 {
            self.failing_since = now;
        }
        self.failed_in_a_row = if well { 0 } else { self.failed_in_a_row + 1 };
        if self.mode == HealthState::Unavailable {
            self.in_a_row = if well { self.in_a_row + 1 } else { 0 };
            if self.in_a_row >= PROVED {
                self.come_back(now);
            }
        }
        self.judge(now);
    }
}

#[cfg(test)]
mod tests;
