//! Whether a service below is well, by what a node sees itself first, and by what others see beside it.
//!
//! What others see may make a node careful at once, and never closes a service to it: only its own tries do. A sick service is
//! told from a sick witness by how many say so and in how many zones. When it was down, few in the whole fleet try it first,
//! chosen by hash so that all agree on whom; then load rises in steps, nobody going further than twice what the others have.

use crate::{MILLISECOND, Nanos, SECOND, Who};
use std::collections::BTreeMap;

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
/// Tries in a row that must succeed before load comes back; and the time of a step: all of it is back after 20 s. With steps of
/// 2 s a service that warms up in 20 s was thrown down again.
const PROVED: u32 = 3;
const STEP: Nanos = 5 * SECOND;
/// The first step of load, of all of it.
const FIRST: f64 = 1.0 / 16.0;
/// What a careful node lets through.
const CAREFUL: f64 = 0.25;

/// What a node says of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    pub who: Who,
    pub zone: u32,
    /// In its last window.
    pub tries: u32,
    pub failed: u32,
    /// What it lets through, of all.
    pub level: f64,
}

impl Evidence {
    fn failing(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.tries.max(1))
    }

    fn is_ill(&self) -> bool {
        self.tries >= TRIES && self.failing() >= ILL
    }

    fn is_well(&self) -> bool {
        self.tries >= TRIES && self.failing() <= WELL
    }
}

/// How a node goes about a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// All of it goes there.
    Open,
    /// Others say that it is ill: a part goes there, to see.
    Careful,
    /// It failed this node: nothing goes there, but for tries.
    Closed,
    /// It was down, and load comes back in steps.
    Rising,
}

/// Two halves of a window, so that what is counted is never a whole window old.
#[derive(Clone, Copy, Debug, Default)]
struct Half {
    tries: u32,
    failed: u32,
}

/// A node's judgement on one service.
#[derive(Clone, Debug)]
pub struct Judge {
    me: Who,
    zone: u32,
    service: u64,
    mode: Mode,
    since: Nanos,
    level: f64,
    halves: [Half; 2],
    half: Nanos,
    in_a_row: u32,
    /// Tries in a row that failed: so many say more than a window that was good before.
    failed_in_a_row: u32,
    probed: Nanos,
    others: BTreeMap<Who, (Evidence, Nanos)>,
    most: usize,
    /// What is owed to the level: a call goes when it comes to one.
    owed: f64,
}

/// Mixes a number well enough to spread choices; splitmix64.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Judge {
    /// Nothing is known of the service; it counts as well. Words of so many others are kept.
    pub fn new(now: Nanos, me: Who, zone: u32, service: u64, most: usize) -> Judge {
        Judge {
            me,
            zone,
            service,
            mode: Mode::Open,
            since: now,
            level: 1.0,
            halves: [Half::default(); 2],
            half: now / (WINDOW / 2),
            in_a_row: 0,
            failed_in_a_row: 0,
            probed: 0,
            others: BTreeMap::new(),
            most,
            owed: 0.0,
        }
    }

    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// What it lets through now, of all.
    pub fn level(&self) -> f64 {
        match self.mode {
            Mode::Open => 1.0,
            Mode::Careful => CAREFUL,
            Mode::Closed => 0.0,
            Mode::Rising => self.level,
        }
    }

    fn roll(&mut self, now: Nanos) {
        let half = now / (WINDOW / 2);
        for _ in self.half..half.min(self.half + 2) {
            self.halves = [Half::default(), self.halves[0]];
        }
        self.half = half;
    }

    /// What it says to others.
    pub fn evidence(&mut self, now: Nanos) -> Evidence {
        self.roll(now);
        let [a, b] = self.halves;
        let (who, zone, level) = (self.me, self.zone, self.level());
        Evidence { who, zone, tries: a.tries + b.tries, failed: a.failed + b.failed, level }
    }

    /// Another node said what it sees.
    pub fn hear(&mut self, now: Nanos, evidence: Evidence) {
        let has_room = self.others.len() < self.most || self.others.contains_key(&evidence.who);
        if evidence.who != self.me && has_room {
            self.others.insert(evidence.who, (evidence, now));
        }
        self.judge(now);
    }

    fn enter(&mut self, now: Nanos, mode: Mode) {
        if self.mode != mode {
            (self.mode, self.since, self.in_a_row, self.owed) = (mode, now, 0, 0.0);
        }
    }

    /// Whether enough of the others, in more than one zone where there are more, say that it is ill.
    fn others_ill(&self) -> bool {
        let all =
            self.others.values().map(|(evidence, _)| evidence).filter(|e| e.tries >= TRIES || e.level == 0.0);
        let (mut ill, mut zones, mut ill_zones) = (0, BTreeMap::new(), BTreeMap::new());
        let mut count = 0;
        for evidence in all {
            count += 1;
            *zones.entry(evidence.zone).or_insert(0) += 1;
            if evidence.is_ill() || evidence.level == 0.0 {
                ill += 1;
                *ill_zones.entry(evidence.zone).or_insert(0) += 1;
            }
        }
        // Half of those who see it, two at least, and not one zone alone.
        ill >= 2 && ill * 2 >= count && (zones.len() < 2 || ill_zones.len() >= 2)
    }

    fn judge(&mut self, now: Nanos) {
        self.others.retain(|_, (_, heard)| now < *heard + AGED);
        let own = self.evidence(now);
        let is_ill = own.is_ill() || self.failed_in_a_row >= TRIES;
        match self.mode {
            Mode::Open | Mode::Careful | Mode::Rising if is_ill => self.enter(now, Mode::Closed),
            Mode::Open if !own.is_well() && self.others_ill() => self.enter(now, Mode::Careful),
            // What it sees itself goes first; else it ages out with those who said it.
            Mode::Careful if own.is_well() || !self.others_ill() => self.enter(now, Mode::Open),
            Mode::Rising if now >= self.since + STEP && own.failing() <= WELL => self.rise(now),
            _ => {}
        }
    }

    /// One step further, but not beyond twice what the others let through, who come back with it.
    fn rise(&mut self, now: Nanos) {
        let back = self.others.values().map(|(evidence, _)| evidence.level).filter(|level| *level > 0.0);
        let (sum, count) = back.fold((0.0, 0), |(sum, count), level| (sum + level, count + 1));
        let others = if count > 0 { sum / f64::from(count) } else { 1.0 };
        self.since = now;
        self.level = (self.level * 2.0).min(others.max(FIRST) * 2.0).min(1.0);
        if self.level >= 1.0 {
            self.enter(now, Mode::Open);
        }
    }

    /// Whether this node is one of the few of the fleet that try a service that is down.
    fn is_prober(&self, now: Nanos) -> bool {
        let round = now / (10 * PROBE);
        let rank = |who: &Who| mix(who.key ^ mix(self.service ^ round));
        let own = rank(&self.me);
        self.others.keys().filter(|who| rank(who) < own).count() < PROBES
    }

    /// Whether a call may go there now.
    pub fn admits(&mut self, now: Nanos) -> bool {
        self.judge(now);
        let wait = if self.others.is_empty() { DEAF_PROBE } else { PROBE };
        match self.mode {
            Mode::Open => true,
            Mode::Closed => {
                let tries = now >= self.probed + wait && self.is_prober(now);
                if tries {
                    self.probed = now;
                }
                tries
            }
            Mode::Careful | Mode::Rising => {
                self.owed += self.level();
                let goes = self.owed >= 1.0;
                self.owed -= if goes { 1.0 } else { 0.0 };
                goes
            }
        }
    }

    /// A call there ended.
    pub fn ended(&mut self, now: Nanos, well: bool) {
        self.roll(now);
        self.halves[0].tries += 1;
        self.halves[0].failed += u32::from(!well);
        self.failed_in_a_row = if well { 0 } else { self.failed_in_a_row + 1 };
        if self.mode == Mode::Closed {
            self.in_a_row = if well { self.in_a_row + 1 } else { 0 };
            if self.in_a_row >= PROVED {
                self.come_back(now);
            }
        }
        self.judge(now);
    }

    /// Others find it well again: then this node may come back too, in the first step, though it was no prober. What they said
    /// when it fell, and what they counted before, is no word about now.
    pub fn others_rise(&mut self, now: Nanos) {
        let fresh = |heard: Nanos| heard > self.since + WINDOW;
        let well =
            self.others.values().filter(|(evidence, heard)| evidence.is_well() && fresh(*heard)).count();
        if self.mode == Mode::Closed && well >= PROBES.min(self.others.len()).max(1) {
            self.come_back(now);
        }
    }

    fn come_back(&mut self, now: Nanos) {
        (self.halves, self.failed_in_a_row) = ([Half::default(); 2], 0);
        self.level = FIRST;
        self.enter(now, Mode::Rising);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    fn who(key: u64) -> Who {
        Who { key, life: key }
    }

    fn judge(key: u64, zone: u32) -> Judge {
        Judge::new(0, who(key), zone, 7, 64)
    }

    fn says(key: u64, zone: u32, tries: u32, failed: u32) -> Evidence {
        Evidence { who: who(key), zone, tries, failed, level: 1.0 }
    }

    #[test]
    fn own_tries_close_it_and_others_alone_never_do() {
        let mut own = judge(1, 0);
        (0..20).for_each(|_| own.ended(SECOND, false));
        assert_eq!((own.mode(), own.admits(SECOND)), (Mode::Closed, false));
        let mut others = judge(1, 0);
        for key in 2..12 {
            others.hear(SECOND, says(key, key as u32 % 3, 100, 100));
        }
        assert_eq!((others.mode(), others.level()), (Mode::Careful, CAREFUL));
        assert_eq!((0..100).filter(|_| others.admits(SECOND)).count(), 25);
    }

    #[test]
    fn one_sick_node_or_one_zone_is_told_from_a_sick_service() {
        let mut liar = judge(1, 0);
        (2..12).for_each(|key| {
            liar.hear(SECOND, says(key, key as u32 % 3, 100, if key == 5 { 100 } else { 0 }))
        });
        assert_eq!(liar.mode(), Mode::Open);
        let mut zone = judge(1, 0);
        (2..12).for_each(|key| {
            zone.hear(SECOND, says(key, key as u32 % 2, 100, if key % 2 == 1 { 100 } else { 0 }))
        });
        assert_eq!(zone.mode(), Mode::Open, "a zone with a broken link of its own");
        // What it sees itself goes first.
        let mut sees = judge(1, 0);
        (0..50).for_each(|_| sees.ended(SECOND, true));
        (2..12).for_each(|key| sees.hear(SECOND, says(key, key as u32 % 3, 100, 100)));
        assert_eq!(sees.mode(), Mode::Open);
    }

    #[test]
    fn a_word_ages_out() {
        let mut careful = judge(1, 0);
        (2..12).for_each(|key| careful.hear(SECOND, says(key, key as u32 % 3, 100, 100)));
        assert_eq!(careful.mode(), Mode::Careful);
        assert!(careful.admits(SECOND + AGED));
        assert_eq!(careful.mode(), Mode::Open);
    }

    /// A service that dies past what it can do, is dead for a minute under full demand, and is cold when it is back. Nodes hear
    /// each other every half second, with losses; one hears nobody. Gives how often it was thrown down, and how many calls it
    /// had while it was dead. Without steps, who had one good try sends all at once.
    fn play(seed: u64, steps: bool) -> (u32, u64, bool) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (nodes, tick) = (12usize, 10 * MILLISECOND);
        let mut judges: Vec<Judge> = (0..nodes).map(|n| judge(n as u64 + 1, n as u32 % 3)).collect();
        let (mut up, mut fell, mut tried_while_down) = (true, 0, 0);
        let (mut load, mut back_at) = (0.0f64, None);
        for step in 0..20_000u64 {
            let now = SECOND + step * tick;
            if step == 1000 {
                (up, load) = (false, 0.0);
            }
            if step == 7000 {
                (up, back_at) = (true, Some(now));
            }
            // It takes 1.2 times the usual load, and only a part of that while it is cold.
            let warm = back_at.map_or(1.0, |at| 0.15 + (now - at) as f64 / (20 * SECOND) as f64).min(1.0);
            let mut calls = 0;
            for n in 0..nodes {
                if judges[n].admits(now) {
                    calls += 1;
                    tried_while_down += u64::from(!up);
                    judges[n].ended(now, up);
                    if !steps && up && judges[n].mode() == Mode::Closed {
                        judges[n].enter(now, Mode::Open);
                    }
                }
                if step % 50 == n as u64 {
                    let word = judges[n].evidence(now);
                    for m in (0..nodes).filter(|&m| m != n && m != 11 && n != 11) {
                        if !rng.random_bool(0.1) {
                            judges[m].hear(now, word);
                            judges[m].others_rise(now);
                        }
                    }
                }
            }
            load = load * 0.98 + f64::from(calls) * 0.02;
            if up && load > 1.2 * nodes as f64 * warm {
                up = false;
                fell += 1;
            }
        }
        (fell, tried_while_down, judges.iter().all(|judge| judge.mode() == Mode::Open))
    }

    /// In a minute, of 1,200 calls a second that were wanted: ten of each until it closed, then three nodes' tries.
    #[test]
    fn a_service_that_comes_back_is_not_thrown_down_again() {
        for seed in 0..20 {
            let (fell, tried, open) = play(seed, true);
            assert!(fell == 0 && tried < 600 && open, "seed {seed}: {fell} {tried} {open}");
        }
        assert!(play(0, false).0 > 0, "without steps it is thrown down");
    }
}
