//! Whether a service below is well, by what a node sees itself first, and by what others see beside
//! it.
//!
//! What others see may make a node careful at once, and never closes a service to it: only its own
//! tries do. A sick service is told from a sick witness by how many say so and in how many zones.
//! When it was down, few in the whole fleet try it first, chosen by hash so that all agree on whom;
//! then load rises in steps, nobody going further than twice what the others have.

use crate::{MILLISECOND, Nanos, ProcessId, SECOND};
use std::collections::{BTreeMap, BTreeSet};

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

/// What a node says of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthReport {
    pub zone: u32,
    /// In its last window.
    pub tries: u32,
    pub failed: u32,
    /// What it lets through, of all.
    pub level: f64,
}

impl HealthReport {
    fn failing(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.tries.max(1))
    }

    fn is_ill(&self) -> bool {
        self.tries >= TRIES && self.failing() >= ILL || self.level == 0.0
    }

    fn is_well(&self) -> bool {
        self.tries >= TRIES && self.failing() <= WELL
    }

    /// Whether it found it well just now. Where there are few calls at all, some that all went well
    /// are as much as there is; one that comes back has proved it with those before. Else fleets
    /// with some calls a second and node would hear nobody but those who closed it, and come back
    /// one tryer after the other.
    fn found_well(&self) -> bool {
        let enough = if self.level < 1.0 { 1 } else { PROVED };
        self.is_well() || self.failed == 0 && self.tries >= enough
    }

    /// Whether it says anything: one that tries too little knows nothing, unless it has closed the
    /// service to itself.
    fn tells(&self) -> bool {
        self.tries >= TRIES || self.level == 0.0 || self.found_well()
    }
}

/// What others say of a service, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AggregatedHealth {
    /// ProcessId say something, and who of these that it is ill; in how many zones.
    pub witnesses: u32,
    pub ill: u32,
    pub zones: u32,
    pub ill_zones: u32,
    /// ProcessId found it well.
    pub well: u32,
    /// The mean of what is let through, of those who let anything through; and the least of that.
    pub level: f64,
    pub least: f64,
    /// ProcessId say anything, and who of these let less than all through.
    pub speak: u32,
    pub short: u32,
    /// Whether this node is one of the few that try it while it is down, and whether it is there
    /// alone.
    pub prober: bool,
    pub alone: bool,
}

impl AggregatedHealth {
    /// Whether it comes back for enough of the others: half of those who speak, two at least.
    pub fn is_rising(&self) -> bool {
        self.least < 1.0 && self.short >= 2 && self.short * 2 >= self.speak
    }

    /// Whether enough of the others, in more than one zone where there are more, say that it is
    /// ill: half of those who see it, two at least, and not one zone alone.
    pub fn is_ill(&self) -> bool {
        self.ill >= 2 && self.ill * 2 >= self.witnesses && (self.zones < 2 || self.ill_zones >= 2)
    }
}

/// What others say of services below, each for as long as it is good. Each speaks for itself only.
#[derive(Clone, Debug)]
pub struct HealthReports {
    words: BTreeMap<(u64, ProcessId), (HealthReport, Nanos)>,
    most: usize,
    refused: u64,
}

impl HealthReports {
    /// None yet; so many words are kept.
    pub fn new(most: usize) -> HealthReports {
        HealthReports {
            words: BTreeMap::new(),
            most: most.max(16),
            refused: 0,
        }
    }

    /// Another node says what it sees.
    pub fn hear(&mut self, now: Nanos, from: ProcessId, service: u64, evidence: HealthReport) {
        let place = (service, from);
        if self.words.len() >= self.most && !self.words.contains_key(&place) {
            self.words.retain(|_, (_, heard)| now < *heard + AGED);
            if self.words.len() >= self.most {
                self.refused += 1;
                return;
            }
        }
        self.words.insert(place, (evidence, now));
    }

    /// What all say of a service now, but for who tries it.
    pub fn opinion(&mut self, now: Nanos, service: u64) -> AggregatedHealth {
        self.words.retain(|_, (_, heard)| now < *heard + AGED);
        let first = (service, ProcessId::default());
        let all = self
            .words
            .range(first..)
            .take_while(|((of, _), _)| *of == service)
            .map(|(_, word)| word);
        let mut opinion = AggregatedHealth {
            least: 1.0,
            ..AggregatedHealth::default()
        };
        let mut back = (0.0, 0u32);
        let (mut zones, mut ill_zones) = (BTreeSet::new(), BTreeSet::new());
        for (evidence, _) in all {
            opinion.speak += 1;
            opinion.short += u32::from(evidence.level < 1.0);
            if evidence.level > 0.0 {
                back = (back.0 + evidence.level, back.1 + 1);
                opinion.least = opinion.least.min(evidence.level);
            }
            if !evidence.tells() {
                continue;
            }
            opinion.witnesses += 1;
            zones.insert(evidence.zone);
            if evidence.is_ill() {
                opinion.ill += 1;
                ill_zones.insert(evidence.zone);
            }
            opinion.well += u32::from(evidence.found_well());
        }
        opinion.level = if back.1 > 0 {
            back.0 / f64::from(back.1)
        } else {
            0.0
        };
        (opinion.zones, opinion.ill_zones) = (zones.len() as u32, ill_zones.len() as u32);
        opinion
    }

    /// Words that found no room.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

/// Whether a node is one of the few of those there that try a service while it is down. They take
/// turns, and as all go by the same hash, those who see the same members agree.
pub fn is_prober(now: Nanos, me: u64, service: u64, members: impl Iterator<Item = u64>) -> bool {
    let round = now / (10 * PROBE);
    let rank = |key: u64| mix(key ^ mix(service ^ round));
    let own = rank(me);
    members
        .filter(|key| *key != me && rank(*key) < own)
        .take(PROBES)
        .count()
        < PROBES
}

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

/// Mixes a number well enough to spread choices; splitmix64.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
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

    fn enter(&mut self, now: Nanos, mode: HealthState) {
        if self.mode != mode {
            (self.mode, self.since, self.in_a_row, self.owed) = (mode, now, 0, 0.0);
        }
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

    /// One step further, but not beyond twice what the others let through, who come back with it.
    fn rise(&mut self, now: Nanos) {
        let others = self
            .others(now)
            .map(|opinion| opinion.level)
            .filter(|level| *level > 0.0);
        self.since = now;
        self.level = (self.level * 2.0)
            .min(others.unwrap_or(1.0).max(FIRST) * 2.0)
            .min(1.0);
        if self.level >= 1.0 {
            self.risen = Some(now);
            self.enter(now, HealthState::Healthy);
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

    fn come_back(&mut self, now: Nanos) {
        (self.halves, self.failed_in_a_row) = ([TwoHalfWindow::default(); 2], 0);
        self.level = FIRST;
        self.enter(now, HealthState::Recovering);
    }
}

#[cfg(test)]
mod tests;
