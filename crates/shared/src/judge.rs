//! Whether a service below is well, by what a node sees itself first, and by what others see beside it.
//!
//! What others see may make a node careful at once, and never closes a service to it: only its own tries do. A sick service is
//! told from a sick witness by how many say so and in how many zones. When it was down, few in the whole fleet try it first,
//! chosen by hash so that all agree on whom; then load rises in steps, nobody going further than twice what the others have.

use crate::{MILLISECOND, Nanos, SECOND, Who};
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
/// Tries in a row that must succeed before load comes back; and the time of a step: all of it is back after 20 s. With steps of
/// 2 s a service that warms up in 20 s was thrown down again.
const PROVED: u32 = 3;
const STEP: Nanos = 5 * SECOND;
/// The first step of load, of all of it.
const FIRST: f64 = 1.0 / 16.0;
/// What a careful node lets through.
const CAREFUL: f64 = 0.25;

/// What a node says of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
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
        self.tries >= TRIES && self.failing() >= ILL || self.level == 0.0
    }

    fn is_well(&self) -> bool {
        self.tries >= TRIES && self.failing() <= WELL
    }

    /// Whether it says anything: one that tries too little knows nothing, unless it has closed the service to itself.
    fn tells(&self) -> bool {
        self.tries >= TRIES || self.level == 0.0
    }
}

/// What others say of a service, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Opinion {
    /// Who say something, and who of these that it is ill; in how many zones.
    pub witnesses: u32,
    pub ill: u32,
    pub zones: u32,
    pub ill_zones: u32,
    /// Who find it well by a word of the last moment.
    pub well: u32,
    /// The mean of what is let through, of those who let anything through.
    pub level: f64,
    /// Whether this node is one of the few that try it while it is down, and whether it is there alone.
    pub prober: bool,
    pub alone: bool,
}

impl Opinion {
    /// Whether enough of the others, in more than one zone where there are more, say that it is ill: half of those who see it,
    /// two at least, and not one zone alone.
    pub fn is_ill(&self) -> bool {
        self.ill >= 2 && self.ill * 2 >= self.witnesses && (self.zones < 2 || self.ill_zones >= 2)
    }
}

/// What others say of services below, each for as long as it is good. Each speaks for itself only.
#[derive(Clone, Debug)]
pub struct Witnesses {
    words: BTreeMap<(u64, Who), (Evidence, Nanos)>,
    most: usize,
    refused: u64,
}

impl Witnesses {
    /// None yet; so many words are kept.
    pub fn new(most: usize) -> Witnesses {
        Witnesses { words: BTreeMap::new(), most: most.max(16), refused: 0 }
    }

    /// Another node says what it sees.
    pub fn hear(&mut self, now: Nanos, from: Who, service: u64, evidence: Evidence) {
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
    pub fn opinion(&mut self, now: Nanos, service: u64) -> Opinion {
        self.words.retain(|_, (_, heard)| now < *heard + AGED);
        let first = (service, Who::default());
        let all = self.words.range(first..).take_while(|((of, _), _)| *of == service).map(|(_, word)| word);
        let (mut opinion, mut back) = (Opinion::default(), (0.0, 0u32));
        let (mut zones, mut ill_zones) = (BTreeSet::new(), BTreeSet::new());
        for (evidence, heard) in all {
            if evidence.level > 0.0 {
                back = (back.0 + evidence.level, back.1 + 1);
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
            opinion.well += u32::from(evidence.is_well() && now < *heard + WINDOW);
        }
        opinion.level = if back.1 > 0 { back.0 / f64::from(back.1) } else { 0.0 };
        (opinion.zones, opinion.ill_zones) = (zones.len() as u32, ill_zones.len() as u32);
        opinion
    }

    /// Words that found no room.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

/// Whether a node is one of the few of those there that try a service while it is down. They take turns, and as all go by the
/// same hash, those who see the same members agree.
pub fn is_prober(now: Nanos, me: u64, service: u64, members: impl Iterator<Item = u64>) -> bool {
    let round = now / (10 * PROBE);
    let rank = |key: u64| mix(key ^ mix(service ^ round));
    let own = rank(me);
    members.filter(|key| *key != me && rank(*key) < own).take(PROBES).count() < PROBES
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

impl Mode {
    /// Its word, as logs and tables show it.
    pub fn word(self) -> &'static str {
        match self {
            Mode::Open => "open",
            Mode::Careful => "careful",
            Mode::Closed => "closed",
            Mode::Rising => "rising",
        }
    }
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
    zone: u32,
    mode: Mode,
    since: Nanos,
    level: f64,
    halves: [Half; 2],
    half: Nanos,
    in_a_row: u32,
    /// Tries in a row that failed: so many say more than a window that was good before.
    failed_in_a_row: u32,
    /// Since when no try went well.
    failing_since: Nanos,
    probed: Nanos,
    /// What others say, and when that came.
    others: Option<(Opinion, Nanos)>,
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

impl Judge {
    /// Nothing is known of the service; it counts as well.
    pub fn new(now: Nanos, zone: u32) -> Judge {
        Judge {
            zone,
            mode: Mode::Open,
            since: now,
            level: 1.0,
            halves: [Half::default(); 2],
            half: now / (WINDOW / 2),
            in_a_row: 0,
            failed_in_a_row: 0,
            failing_since: now,
            probed: 0,
            others: None,
            owed: 0.0,
            passed: 0,
            kept_back: 0,
        }
    }

    pub fn mode(&self) -> Mode {
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
        Evidence {
            zone: self.zone,
            tries: a.tries + b.tries,
            failed: a.failed + b.failed,
            level: self.level(),
        }
    }

    /// What others say, while it is good.
    pub fn others(&self, now: Nanos) -> Option<Opinion> {
        self.others.filter(|(_, heard)| now < *heard + AGED).map(|(opinion, _)| opinion)
    }

    /// What others say came.
    pub fn told(&mut self, now: Nanos, opinion: Opinion) {
        self.others = Some((opinion, now));
        // Others find it well again: then this node may come back too, in the first step, though it did not try it. What they
        // said when it fell, and what they counted before, is no word about now.
        let later = now > self.since + 2 * WINDOW;
        let enough = opinion.well >= (PROBES as u32).min(opinion.witnesses).max(1);
        if self.mode == Mode::Closed && later && enough {
            self.come_back(now);
        }
        self.judge(now);
    }

    fn enter(&mut self, now: Nanos, mode: Mode) {
        if self.mode != mode {
            (self.mode, self.since, self.in_a_row, self.owed) = (mode, now, 0, 0.0);
        }
    }

    /// Looks at what there is, of which some may have aged out.
    pub fn judge(&mut self, now: Nanos) {
        let own = self.evidence(now);
        // Where calls hang there are few, and each says more.
        let hangs = self.failed_in_a_row >= PROVED && now >= self.failing_since + WINDOW;
        let is_ill = own.tries >= TRIES && own.failing() >= ILL || self.failed_in_a_row >= TRIES || hangs;
        let others_ill = self.others(now).is_some_and(|opinion| opinion.is_ill());
        match self.mode {
            Mode::Open | Mode::Careful | Mode::Rising if is_ill => self.enter(now, Mode::Closed),
            Mode::Open if !own.is_well() && others_ill => self.enter(now, Mode::Careful),
            // What it sees itself goes first; else it ages out with those who said it.
            Mode::Careful if own.is_well() || !others_ill => self.enter(now, Mode::Open),
            Mode::Rising if now >= self.since + STEP && own.failing() <= WELL => self.rise(now),
            _ => {}
        }
    }

    /// One step further, but not beyond twice what the others let through, who come back with it.
    fn rise(&mut self, now: Nanos) {
        let others = self.others(now).map(|opinion| opinion.level).filter(|level| *level > 0.0);
        self.since = now;
        self.level = (self.level * 2.0).min(others.unwrap_or(1.0).max(FIRST) * 2.0).min(1.0);
        if self.level >= 1.0 {
            self.enter(now, Mode::Open);
        }
    }

    /// Whether a try is due from this node while the service is down. One that hears nobody tries by itself, more seldom.
    pub fn is_try_due(&self, now: Nanos) -> bool {
        let (tries, wait) = match self.others(now) {
            Some(opinion) if !opinion.alone => (opinion.prober, PROBE),
            _ => (true, DEAF_PROBE),
        };
        tries && now >= self.probed + wait
    }

    /// Whether a call may go there now. For one that was thinned out before, with what it is part of, only a closed service
    /// counts.
    pub fn admits(&mut self, now: Nanos, thinned: bool) -> bool {
        self.judge(now);
        let goes = match self.mode {
            Mode::Open => true,
            Mode::Closed => {
                let due = self.is_try_due(now);
                if due {
                    self.probed = now;
                }
                due
            }
            Mode::Careful | Mode::Rising if thinned => true,
            Mode::Careful | Mode::Rising => {
                self.owed += self.level();
                let goes = self.owed >= 1.0;
                self.owed -= if goes { 1.0 } else { 0.0 };
                goes
            }
        };
        *(if goes { &mut self.passed } else { &mut self.kept_back }) += 1;
        goes
    }

    /// How long what needs the service does well to stay away.
    pub fn pause(&self, now: Nanos) -> Nanos {
        match self.mode {
            Mode::Open => 0,
            Mode::Closed => (self.probed + PROBE).saturating_sub(now).max(PROBE),
            Mode::Careful => AGED / 2,
            Mode::Rising => (self.since + STEP).saturating_sub(now).max(PROBE),
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
        if self.mode == Mode::Closed {
            self.in_a_row = if well { self.in_a_row + 1 } else { 0 };
            if self.in_a_row >= PROVED {
                self.come_back(now);
            }
        }
        self.judge(now);
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

    /// What a node is told by these, each in its zone, with tries and failures.
    fn said(words: impl Iterator<Item = (u64, u32, u32, u32)>) -> Opinion {
        let mut witnesses = Witnesses::new(64);
        for (key, zone, tries, failed) in words {
            witnesses.hear(SECOND, who(key), 7, Evidence { zone, tries, failed, level: 1.0 });
        }
        witnesses.opinion(SECOND, 7)
    }

    #[test]
    fn own_tries_close_it_and_others_alone_never_do() {
        let mut own = Judge::new(0, 0);
        (0..20).for_each(|_| own.ended(SECOND, false));
        assert_eq!((own.mode(), own.admits(SECOND, false)), (Mode::Closed, false));
        let mut others = Judge::new(0, 0);
        others.told(SECOND, said((2..12).map(|key| (key, key as u32 % 3, 100, 100))));
        assert_eq!((others.mode(), others.level()), (Mode::Careful, CAREFUL));
        assert_eq!((0..100).filter(|_| others.admits(SECOND, false)).count(), 25);
    }

    /// Calls that hang are few: three in a row, with nothing well for two seconds, are enough.
    #[test]
    fn calls_that_hang_close_it_though_they_are_few() {
        let mut hangs = Judge::new(0, 0);
        (0..9).for_each(|_| hangs.ended(10 * SECOND, false));
        assert_eq!(hangs.mode(), Mode::Open, "nine at once may be one broken connection");
        hangs.ended(11 * SECOND, true);
        (0..3).for_each(|n| hangs.ended((12 + n) * SECOND, false));
        assert_eq!(hangs.mode(), Mode::Closed);
    }

    #[test]
    fn one_sick_node_or_one_zone_is_told_from_a_sick_service() {
        let failed = |one: bool| if one { 100 } else { 0 };
        let mut liar = Judge::new(0, 0);
        liar.told(SECOND, said((2..12).map(|key| (key, key as u32 % 3, 100, failed(key == 5)))));
        assert_eq!(liar.mode(), Mode::Open);
        let mut zone = Judge::new(0, 0);
        zone.told(SECOND, said((2..12).map(|key| (key, key as u32 % 2, 100, failed(key % 2 == 1)))));
        assert_eq!(zone.mode(), Mode::Open, "a zone with a broken link of its own");
        // What it sees itself goes first.
        let mut sees = Judge::new(0, 0);
        (0..50).for_each(|_| sees.ended(SECOND, true));
        sees.told(SECOND, said((2..12).map(|key| (key, key as u32 % 3, 100, 100))));
        assert_eq!(sees.mode(), Mode::Open);
    }

    #[test]
    fn a_word_ages_out_and_a_flood_of_words_by_one_is_one_word() {
        let mut careful = Judge::new(0, 0);
        careful.told(SECOND, said((2..12).map(|key| (key, key as u32 % 3, 100, 100))));
        assert_eq!(careful.mode(), Mode::Careful);
        assert!(careful.admits(SECOND + AGED, false));
        assert_eq!(careful.mode(), Mode::Open);
        let flood = said((0..1000).map(|n| (5, n % 7, 100, 100)).chain([(6, 1, 100, 0)]));
        assert_eq!((flood.witnesses, flood.ill, flood.is_ill()), (2, 1, false));
        // Many that are none: what finds no room is not kept.
        let mut witnesses = Witnesses::new(64);
        (0..1000).for_each(|key| witnesses.hear(0, who(key), 7, Evidence::default()));
        assert_eq!((witnesses.words.len(), witnesses.refused()), (64, 936));
    }

    #[test]
    fn few_try_a_service_that_is_down_and_they_take_turns() {
        let members: Vec<u64> = (0..300).map(mix).collect();
        let mut tried = BTreeSet::new();
        for round in 0..40 {
            let now = round * 10 * PROBE;
            let probers: Vec<u64> = members
                .iter()
                .copied()
                .filter(|me| is_prober(now, *me, 7, members.iter().copied()))
                .collect();
            assert_eq!(probers.len(), PROBES);
            tried.extend(probers);
        }
        assert!(tried.len() > 80, "{}", tried.len());
    }

    #[test]
    fn a_deaf_node_goes_on_by_its_own_tries() {
        let mut deaf = Judge::new(0, 0);
        (0..20).for_each(|_| deaf.ended(SECOND, false));
        let now = 60 * SECOND;
        let tries = (0..200).filter(|n| deaf.admits(now + n * SECOND / 10, false)).count();
        assert_eq!(tries, 4, "one in 5 s");
        (0..3).for_each(|n| deaf.ended(now + (200 + n) * SECOND / 10, true));
        assert_eq!(deaf.mode(), Mode::Rising);
        for n in 0..400 {
            let now = now + 21 * SECOND + n * SECOND / 10;
            if deaf.admits(now, false) {
                deaf.ended(now, true);
            }
        }
        assert_eq!(deaf.mode(), Mode::Open);
    }

    /// What was let in for its part of the load makes its call, unless the service closed meanwhile.
    #[test]
    fn what_was_thinned_before_is_not_thinned_again() {
        let mut rising = Judge::new(0, 0);
        (0..20).for_each(|_| rising.ended(SECOND, false));
        assert!(!rising.admits(SECOND, true));
        (0..3).for_each(|_| rising.ended(2 * SECOND, true));
        assert_eq!((0..16).filter(|_| rising.admits(2 * SECOND, true)).count(), 16);
        assert_eq!((0..16).filter(|_| rising.admits(2 * SECOND, false)).count(), 1);
    }

    /// A service that dies past what it can do, is dead for a minute under full demand, and is cold when it is back. Each node
    /// tells three others every half second, with losses; one hears nobody. Gives how often it was thrown down, and how many
    /// calls it had while it was dead. Without steps, who had one good try sends all at once.
    fn play(nodes: usize, seed: u64, steps: bool) -> (u32, u64, bool) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (deaf, tick) = (nodes - 1, 10 * MILLISECOND);
        let mut judges: Vec<Judge> = (0..nodes).map(|n| Judge::new(0, n as u32 % 3)).collect();
        let mut heard: Vec<Witnesses> = (0..nodes).map(|_| Witnesses::new(64)).collect();
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
                if judges[n].admits(now, false) {
                    calls += 1;
                    tried_while_down += u64::from(!up);
                    judges[n].ended(now, up);
                    if !steps && up && judges[n].mode() == Mode::Closed {
                        judges[n].enter(now, Mode::Open);
                    }
                }
                if step % 50 == n as u64 % 50 {
                    let word = judges[n].evidence(now);
                    for _ in 0..3 {
                        let m = rng.random_range(0..nodes);
                        if m != n && m != deaf && n != deaf && !rng.random_bool(0.1) {
                            heard[m].hear(now, who(n as u64 + 1), 7, word);
                        }
                    }
                    let mut opinion = heard[n].opinion(now, 7);
                    let members = if n == deaf { n..nodes } else { 0..deaf };
                    opinion.prober = is_prober(now, n as u64 + 1, 7, members.map(|m| m as u64 + 1));
                    opinion.alone = n == deaf;
                    judges[n].told(now, opinion);
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

    /// In a minute, of a hundred calls a second and node that were wanted: ten of each until it closed, then three nodes' tries.
    #[test]
    fn a_service_that_comes_back_is_not_thrown_down_again() {
        for (nodes, seeds) in [(12, 0..20), (120, 20..23)] {
            for seed in seeds {
                let (fell, tried, open) = play(nodes, seed, true);
                let most = nodes as u64 * 11 + 450;
                assert!(fell == 0 && tried < most && open, "{nodes}, seed {seed}: {fell} {tried} {open}");
            }
        }
        assert!(play(12, 0, false).0 > 0, "without steps it is thrown down");
    }
}
