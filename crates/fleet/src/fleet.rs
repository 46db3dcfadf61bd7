//! A node's part in the fleet: a method for each thing that happens, acting through a small [`Host`].

use crate::gossip::Gossip;
use crate::health::Health;
use crate::history::{Happened, History, Kind};
use crate::member::{Details, Epoch, Key, Life, Odd, Part, Phase, Pulse, Standing, Status, refutes};
use crate::probe::Round;
use crate::reconcile::{self, Differences};
use crate::seal::{Dropped, Gate, Keys, MESSAGE_MAX, Seal};
use crate::sight::{Sight, Sizer};
use crate::suspicion::Suspicions;
use crate::view::{Change, ENTRY_USUAL, Interner, Merged, View};
use crate::wire::{self, Datagram, News, Report, kind};
use crate::{MILLISECOND, Nanos, SECOND};
use prost::Message;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// What a fleet's part does to the world. None of it may wait.
pub trait Host {
    /// Send a datagram.
    fn send(&mut self, to: SocketAddr, frame: &[u8]);
    /// Write a line to the log: one for each change of the view, as far as the rate allows.
    fn log(&mut self, kind: &'static str, line: &str);
    /// What decisions see has changed.
    fn sight(&mut self, sight: &Sight);
    /// The view has changed; told always, for those who measure.
    fn changed(&mut self, _kind: Kind, _key: Key) {}
}

/// A reading of the clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Time since any fixed point; never goes back.
    pub now: Nanos,
    /// Unix time in milliseconds, which may step.
    pub unix_ms: u64,
}

/// How often things are done, and how long they are waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Periods {
    /// Between two probes.
    pub probe: Nanos,
    /// For the answer to a probe, before others are asked to probe.
    pub answer: Nanos,
    /// Between two rounds of news.
    pub gossip: Nanos,
    /// The least time that a suspect has, in periods, times the decimal logarithm of the fleet's size.
    pub suspicion: f64,
    /// The most, as a multiple of the least.
    pub suspicion_most: f64,
    /// Between two tries to find one of the dead again.
    pub regain: Nanos,
    /// The dead are remembered for so long.
    pub remember: Nanos,
    /// A first word is believed only from a clock this close.
    pub skew: Nanos,
}

impl Default for Periods {
    fn default() -> Periods {
        Periods {
            probe: SECOND,
            answer: 400 * MILLISECOND,
            gossip: 200 * MILLISECOND,
            suspicion: 2.0,
            suspicion_most: 4.0,
            regain: SECOND,
            remember: 3600 * SECOND,
            skew: 600 * SECOND,
        }
    }
}

/// Parts that can be left out, to measure what each is worth. In service all are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extensions {
    /// Doubt of oneself.
    pub health: bool,
    /// Suspicions that get shorter as others confirm, and suspects that are told.
    pub confirm: bool,
    /// Views compared by digests.
    pub reconcile: bool,
    /// The dead probed again.
    pub regain: bool,
}

impl Default for Extensions {
    fn default() -> Extensions {
        Extensions { health: true, confirm: true, reconcile: true, regain: true }
    }
}

/// What a node is told of its fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name, and the node's own.
    pub fleet: String,
    pub name: String,
    pub zone: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Where somebody may be found.
    pub seeds: Vec<SocketAddr>,
    pub keys: Keys,
    pub periods: Periods,
    pub program: String,
    /// Number and hash of its settings.
    pub settings: (u64, u64),
    /// Bytes that the view may take.
    pub bytes: usize,
    pub extensions: Extensions,
}

/// Helpers that are asked to probe.
const HELPERS: usize = 3;
/// Members that news is sent to in each round, and that a leaving node tells.
const FANOUT: usize = 3;
const TOLD_AT_LEAVE: usize = 8;
/// Probes for others that are under way at once.
const ERRANDS: usize = 64;
/// Entries asked for in one datagram.
const WANTS: usize = 32;
/// News that fits into one datagram, roughly; with more to spread, views are compared instead.
const NEWS_FIT: usize = 20;
/// Others' pulses in each datagram.
const PULSES: usize = 7;
const PULSE: usize = 8;
/// Bytes a second, and at once, for comparing views, and for spreading news.
const COMPARE: (f64, f64) = (64e3, 256e3);
const SPREAD: (f64, f64) = (16e3, 32e3);
/// Between two comparisons begun by this node; and for how long views that differ are worth more rounds.
const COMPARE_GAP: Nanos = 200 * MILLISECOND;
const UNSETTLED: Nanos = 2 * SECOND;
/// Small news is given so long to arrive by itself before views are compared.
const UNDER_WAY: Nanos = 600 * MILLISECOND;
/// How often the seeds are tried: alone, and in company.
const SEEK_ALONE: Nanos = SECOND;
const SEEK: Nanos = 10 * SECOND;
/// Seeds tried at once while alone, and addresses that are kept beside the seeds when all is begun anew.
const SEEK_AT_ONCE: usize = 3;
const CONTACTS: usize = 32;
/// The dead are probed more seldom after these times: once in so many turns.
const REGAIN_LATER: [(Nanos, u64); 2] = [(60 * SECOND, 5), (600 * SECOND, 30)];
/// How often what decisions see is looked at, and the gone are tidied up.
const LOOK: Nanos = 250 * MILLISECOND;
const TIDY: Nanos = 5 * SECOND;
/// A wake that is so late shows that the node stood still; after a sleep so long its view is worth nothing.
const STOOD_STILL: Nanos = 500 * MILLISECOND;
const LONG_SLEEP: Nanos = 300 * SECOND;
/// After that it hears nothing for so long: what waited in its socket is as old.
const DEAF: Nanos = 200 * MILLISECOND;
/// Tries to hear whether another life that has this node's name is there, and between two looks at it later.
const CONTEST_TRIES: u32 = 5;
const MUTE_LOOK: Nanos = 2 * SECOND;
const MUTE_TRIES: u32 = 6;

/// A probe that waits for its answer.
#[derive(Debug)]
struct Flight {
    no: u32,
    target: Key,
    life: Life,
    /// When helpers are asked, if they have not been.
    ask_at: Option<Nanos>,
    due: Nanos,
    helpers: u32,
    spoke: u32,
}

/// A probe for another member.
#[derive(Debug)]
struct Errand {
    origin: Key,
    origin_no: u32,
    target: Key,
    life: Life,
    due: Nanos,
}

/// Another life has this node's name, and a later birth. Either it is there, and holds the name; or it is this node's own
/// past, remembered with a clock that was ahead.
#[derive(Debug)]
struct Contest {
    holder: News,
    address: SocketAddr,
    tries: u32,
    next: Nanos,
    /// Whether it was heard, so that this node gave the name up.
    mute: bool,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    most: f64,
    left: f64,
    filled: Nanos,
}

impl Bucket {
    fn new((rate, most): (f64, f64), now: Nanos) -> Bucket {
        Bucket { rate, most, left: most, filled: now }
    }

    /// Whether there is anything left; what is taken may overdraw it once.
    fn open(&mut self, now: Nanos) -> bool {
        let passed = now.saturating_sub(self.filled) as f64 / SECOND as f64;
        self.filled = now;
        self.left = (self.left + self.rate * passed).min(self.most);
        self.left > 0.0
    }

    fn spend(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}

/// When things are due.
#[derive(Debug)]
struct Timers {
    probe: Nanos,
    gossip: Nanos,
    regain: Nanos,
    seek: Nanos,
    look: Nanos,
    tidy: Nanos,
}

/// A datagram under construction, which never gets too large.
struct Pack {
    datagram: Datagram,
    size: usize,
}

/// What a field of so many bytes takes.
fn field(bytes: usize) -> usize {
    1 + prost::length_delimiter_len(bytes) + bytes
}

impl Pack {
    fn new(datagram: Datagram) -> Pack {
        let size = datagram.encoded_len();
        Pack { datagram, size }
    }

    fn fits(&self, bytes: usize) -> bool {
        self.size + bytes + field((PULSES + 1) * PULSE) <= MESSAGE_MAX
    }

    fn news(&mut self, news: News) -> bool {
        let bytes = field(news.encoded_len());
        let fits = self.fits(bytes);
        if fits {
            self.size += bytes;
            self.datagram.news.push(news);
        }
        fits
    }
}

/// A node's part in the fleet.
pub struct Fleet<H: Host> {
    /// Where it acts.
    pub host: H,
    settings: Settings,
    rng: Pcg64Mcg,
    me: Key,
    epoch: Epoch,
    bump: u32,
    revision: u32,
    phase: Phase,
    parts: Vec<Part>,
    pulse: Pulse,
    leaving: bool,
    view: View,
    gossip: Gossip,
    suspicions: Suspicions,
    health: Health,
    round: Round,
    flight: Option<Flight>,
    errands: BTreeMap<u32, Errand>,
    seal: Seal,
    gate: Gate,
    no: u32,
    timers: Timers,
    /// When it asked to be woken.
    promised: Nanos,
    regains: u64,
    unsettled_until: Nanos,
    deaf_until: Nanos,
    compared: Nanos,
    changed: Nanos,
    comparing: Bucket,
    spreading: Bucket,
    contest: Option<Contest>,
    /// Addresses where somebody was, before all was begun anew.
    contacts: Vec<SocketAddr>,
    alone: Option<Nanos>,
    told_alone: bool,
    recent: Vec<Key>,
    sizer: Sizer,
    sight: Sight,
    history: History,
    counts: BTreeMap<&'static str, u64>,
}

impl<H: Host> Fleet<H> {
    /// A node that has just started, and knows nobody but itself and its seeds.
    pub fn new(settings: Settings, seed: u64, at: Moment, host: H) -> Result<Fleet<H>, Odd> {
        Fleet::with_interner(settings, seed, at, host, None)
    }

    /// The same, with details kept together with those of other nodes in this process.
    pub fn with_interner(
        settings: Settings,
        seed: u64,
        at: Moment,
        host: H,
        interner: Option<Interner>,
    ) -> Result<Fleet<H>, Odd> {
        if !crate::member::is_name(&settings.name, crate::member::NAME_MAX) {
            return Err(Odd::BadName);
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let me = Key::of(&settings.name);
        let life = Life(rng.random::<u64>() >> 1 | 1);
        let most = settings.bytes / ENTRY_USUAL + 16;
        let seal = Seal::new(&settings.fleet, settings.keys.clone(), life, settings.periods.skew, 2 * most);
        let now = at.now;
        // Nodes that start together do nothing at the same moment.
        let mut soon = |period: Nanos| now + rng.random_range(0..period.max(1));
        let timers = Timers {
            probe: soon(settings.periods.probe),
            gossip: soon(settings.periods.gossip),
            regain: soon(settings.periods.regain),
            seek: soon(50 * MILLISECOND),
            look: now + LOOK,
            tidy: soon(TIDY),
        };
        let bytes = settings.bytes;
        let mut fleet = Fleet {
            host,
            settings,
            rng,
            me,
            epoch: Epoch { birth: at.unix_ms, life },
            bump: 0,
            revision: 0,
            phase: Phase::Cold,
            parts: Vec::new(),
            pulse: Pulse::default(),
            leaving: false,
            view: View::new(bytes, interner),
            gossip: Gossip::default(),
            suspicions: Suspicions::default(),
            health: Health::default(),
            round: Round::default(),
            flight: None,
            errands: BTreeMap::new(),
            seal,
            gate: Gate::new(2 * most),
            no: 0,
            timers,
            promised: Nanos::MAX,
            regains: 0,
            unsettled_until: 0,
            deaf_until: 0,
            compared: 0,
            changed: 0,
            comparing: Bucket::new(COMPARE, now),
            spreading: Bucket::new(SPREAD, now),
            contest: None,
            contacts: Vec::new(),
            alone: Some(now),
            told_alone: false,
            recent: Vec::new(),
            sizer: Sizer::default(),
            sight: Sight::default(),
            history: History::default(),
            counts: BTreeMap::new(),
        };
        fleet.announce(at)?;
        fleet.promised = fleet.next().max(at.now);
        Ok(fleet)
    }

    // ---- What the node says of itself ----

    /// Its own key, and what this process is.
    pub fn me(&self) -> (Key, Life) {
        (self.me, self.epoch.life)
    }

    /// The bump that its own entry stands at: how often it had to say that it is there.
    pub fn bump(&self) -> u32 {
        self.bump
    }

    fn details(&self, parts: Vec<Part>) -> Result<Details, Odd> {
        let s = &self.settings;
        let wire = (wire::WIRE_LEAST, wire::WIRE);
        Details::new(s.address, &s.zone, self.phase, &s.program, wire, s.settings, parts)
    }

    fn own_news(&self) -> Result<News, Odd> {
        let details = self.details(self.parts.clone())?;
        let status = if self.leaving { Status::Left } else { Status::Alive };
        Ok(News {
            key: self.me.0,
            birth: self.epoch.birth,
            life: self.epoch.life.0,
            bump: self.bump,
            status: status.number(),
            revision: self.revision,
            name: self.settings.name.clone(),
            told: details.raw().to_vec(),
            by: 0,
        })
    }

    /// Puts what the node says of itself now into its view, and spreads it.
    fn announce(&mut self, at: Moment) -> Result<(), Odd> {
        if self.is_mute() {
            return Ok(());
        }
        let news = self.own_news()?;
        if self.view.merge(at.now, &news) == Merged::Full {
            self.count("invariant: a view without room for its own node", 1);
        }
        self.changed = at.now;
        self.gossip.push(self.me);
        Ok(())
    }

    fn say_anew(&mut self, at: Moment) {
        self.revision += 1;
        if let Err(odd) = self.announce(at) {
            debug_assert!(false, "what a node says of itself can be said: {odd}");
            self.count("invariant: what a node says of itself can be said", 1);
        }
    }

    /// It is warm, or draining. The first ones that hear of a drain hear it at once.
    pub fn set_phase(&mut self, at: Moment, phase: Phase) {
        self.noticed(at);
        if self.phase != phase {
            self.phase = phase;
            self.say_anew(at);
            if phase == Phase::Draining {
                self.tell(at, FANOUT);
            }
        }
    }

    /// Its settings have this number and hash now.
    pub fn set_settings(&mut self, at: Moment, settings: (u64, u64)) {
        self.noticed(at);
        if self.settings.settings != settings {
            self.settings.settings = settings;
            self.say_anew(at);
        }
    }

    /// Its room and load, each of 255. They spread without a promise.
    pub fn set_pulse(&mut self, room: u8, load: u8) {
        self.pulse = Pulse { no: self.pulse.no.wrapping_add(1), room, load };
    }

    /// Hangs something on its entry, in the place of what had this number before; refused if the entry grows too large.
    pub fn set_part(&mut self, at: Moment, part: Part) -> Result<(), Odd> {
        self.noticed(at);
        let mut parts = self.parts.clone();
        parts.retain(|p| p.id != part.id);
        if !part.bytes.is_empty() {
            parts.push(part);
        }
        parts.sort_by_key(|p| p.id);
        if parts == self.parts {
            return Ok(());
        }
        if let Err(odd) = self.details(parts.clone()) {
            self.count("parts that did not fit the entry", 1);
            return Err(odd);
        }
        self.parts = parts;
        self.say_anew(at);
        Ok(())
    }

    /// Keys, seeds and periods of a new file of settings.
    pub fn reset(&mut self, at: Moment, keys: Keys, seeds: Vec<SocketAddr>, periods: Periods) {
        self.noticed(at);
        self.seal.rekey(keys.clone());
        (self.settings.keys, self.settings.seeds, self.settings.periods) = (keys, seeds, periods);
    }

    /// The node goes: some hear it at once and pass it on. To be called again a moment later, in case that was lost.
    pub fn leave(&mut self, at: Moment) {
        self.noticed(at);
        if self.is_mute() {
            return;
        }
        if !self.leaving {
            self.leaving = true;
            if let Ok(news) = self.own_news() {
                let _ = self.view.merge(at.now, &news);
            }
            self.gossip.push(self.me);
        }
        self.tell(at, TOLD_AT_LEAVE);
    }

    fn tell(&mut self, at: Moment, most: usize) {
        for key in self.others(most) {
            let Some(own) = self.own(false) else { return };
            self.send_to(at, key, kind::GOSSIP, 0, Key::NOBODY, vec![own]);
        }
    }

    // ---- What is seen ----

    /// The view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// What decisions see.
    pub fn sight(&self) -> &Sight {
        &self.sight
    }

    /// The latest changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// How often what happened.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Whether another process has the node's name, so that this one says nothing of itself.
    pub fn is_mute(&self) -> bool {
        self.contest.as_ref().is_some_and(|contest| contest.mute)
    }

    fn count(&mut self, what: &'static str, times: u64) {
        *self.counts.entry(what).or_default() += times;
    }

    fn happened(&mut self, at: Moment, kind: Kind, key: Key, more: String) {
        self.host.changed(kind, key);
        let name = self.view.get(key).map_or_else(|| Arc::from("?"), |entry| Arc::clone(&entry.name));
        let happened = Happened { unix_ms: at.unix_ms, kind, name, more };
        if let Some(line) = self.history.push(at.now, happened) {
            self.host.log(kind.word(), &line);
        }
    }

    // ---- Time ----

    /// When it wants to be woken.
    pub fn next(&self) -> Nanos {
        let t = &self.timers;
        let mut next = [t.probe, t.gossip, t.regain, t.seek, t.look, t.tidy].into_iter().min().unwrap_or(0);
        if let Some(flight) = &self.flight {
            next = next.min(flight.ask_at.unwrap_or(flight.due));
        }
        if let Some(contest) = &self.contest {
            next = next.min(contest.next);
        }
        let errands = self.errands.values().map(|errand| errand.due).min();
        next.min(self.suspicions.next(self.call_time()).unwrap_or(next)).min(errands.unwrap_or(next))
    }

    /// A node that wakes late has heard nothing meanwhile: that speaks against itself and against nobody else.
    fn noticed(&mut self, at: Moment) {
        let late = at.now.saturating_sub(self.promised);
        self.promised = self.next().max(at.now); // what is due from before does not show another sleep
        if late < STOOD_STILL {
            return;
        }
        if self.settings.extensions.health {
            self.health.stood_still();
        }
        self.count("times it stood still", 1);
        self.suspicions.put_off(late);
        (self.flight, self.errands) = (None, BTreeMap::new());
        self.happened(at, Kind::StoodStill, self.me, format!("for {} ms", late / MILLISECOND));
        if late >= LONG_SLEEP.min(self.settings.periods.remember / 2) {
            self.begin_anew(at);
        }
    }

    /// Forgets whom it knew, and keeps where some of them were. What it remembers is so old that others have forgotten
    /// who died meanwhile: told to them, the dead would seem to live.
    fn begin_anew(&mut self, at: Moment) {
        let present = self.view.iter().filter(|(key, e)| *key != self.me && e.status().is_present());
        let mut contacts: Vec<SocketAddr> = present.map(|(_, e)| e.details.address).collect();
        contacts.shuffle(&mut self.rng);
        contacts.truncate(CONTACTS);
        self.contacts = contacts;
        self.view.forget_all_but(self.me);
        self.suspicions.clear_all();
        self.round.clear();
        self.gossip = Gossip::default();
        self.bump += 1;
        self.say_anew(at);
        (self.alone, self.told_alone, self.timers.seek) = (Some(at.now), false, at.now + DEAF);
        self.deaf_until = at.now + DEAF;
    }

    /// Does what is due.
    pub fn wake(&mut self, at: Moment) {
        self.noticed(at);
        let now = at.now;
        self.flight_due(at);
        let late: Vec<u32> = self.errands.iter().filter(|(_, e)| e.due <= now).map(|(no, _)| *no).collect();
        for no in late {
            if let Some(errand) = self.errands.remove(&no) {
                self.send_to(at, errand.origin, kind::NACK, errand.origin_no, errand.target, Vec::new());
            }
        }
        let due = self.suspicions.due(now, self.call_time());
        for key in due.calls {
            self.ping(at, key, 0);
        }
        for key in due.over {
            if let Some(change) = self.view.set(now, key, Status::Dead) {
                self.reacted(at, key, &change, "did not say in time that it is there");
            }
        }
        if now >= self.timers.probe {
            self.probe(at);
        }
        if now >= self.timers.gossip {
            self.timers.gossip = now + self.settings.periods.gossip;
            self.spread(at);
        }
        if now >= self.timers.regain {
            self.timers.regain = now + self.settings.periods.regain;
            self.regain(at);
        }
        if now >= self.timers.seek {
            self.seek(at);
        }
        if self.contest.as_ref().is_some_and(|contest| now >= contest.next) {
            self.contest_due(at);
        }
        if now >= self.timers.look {
            self.timers.look = now + LOOK;
            self.look(at);
        }
        if now >= self.timers.tidy {
            self.timers.tidy = now + TIDY;
            let forgot = self.view.forget(now, self.settings.periods.remember);
            if forgot > 0 {
                self.count("members forgotten after their time", forgot as u64);
            }
        }
        self.promised = self.next().max(at.now);
    }

    fn look(&mut self, at: Moment) {
        let zone: Arc<str> = self.settings.zone.as_str().into();
        let sight = self.sizer.look(at.now, &self.view, &zone, self.health.doubt(), self.is_mute());
        match (self.sight.unsure_since, sight.unsure_since) {
            (None, Some(_)) => {
                let more = format!(
                    "{} of {} are there without a doubt, {} suspect",
                    sight.fleet.low, self.sight.fleet.size, sight.suspects
                );
                self.happened(at, Kind::Unsure, self.me, more);
            }
            (Some(since), None) => {
                let more = format!(
                    "after {} s, {} are there",
                    (at.now - since.min(at.now)) / SECOND,
                    sight.fleet.low
                );
                self.happened(at, Kind::Sure, self.me, more);
            }
            _ => {}
        }
        if self.sight != sight {
            self.sight = sight;
            self.host.sight(&self.sight);
        }
        if let Some(line) = self.history.rest(at.now) {
            self.host.log("more", &line);
        }
        let company = self.view.counts().present() > 1;
        match self.alone {
            Some(_) if company => {
                if std::mem::take(&mut self.told_alone) {
                    self.happened(at, Kind::Company, self.me, String::new());
                }
                self.alone = None;
                self.contacts.clear();
            }
            None if !company => self.alone = Some(at.now),
            Some(since) if !self.told_alone && !self.places().is_empty() && at.now >= since + 10 * SECOND => {
                self.told_alone = true;
                self.happened(at, Kind::Alone, self.me, "no seed answers".into());
            }
            _ => {}
        }
    }

    // ---- Probes ----

    fn answer_time(&self) -> Nanos {
        self.settings.periods.answer * self.factor()
    }

    /// A last call has this long for its answer.
    fn call_time(&self) -> Nanos {
        2 * self.settings.periods.answer
    }

    fn factor(&self) -> u64 {
        if self.settings.extensions.health { self.health.factor() } else { 1 }
    }

    /// Asks the next member whether it is there. The one before has had its time.
    fn probe(&mut self, at: Moment) {
        if let Some(flight) = self.flight.take() {
            self.unanswered(at, &flight);
        }
        let period = self.settings.periods.probe * self.factor();
        self.timers.probe = at.now + period;
        if self.is_mute() || self.leaving {
            return;
        }
        let (view, me) = (&self.view, self.me);
        let there = |key: Key| key != me && view.get(key).is_some_and(|e| e.status().is_present());
        let Some(target) = self.round.next(&mut self.rng, there) else { return };
        self.no = self.no.wrapping_add(1);
        let life = self.view.get(target).map_or(Life(0), |entry| entry.epoch.life);
        let ask_at = Some(at.now + self.answer_time());
        let (no, due) = (self.no, at.now + period);
        self.flight = Some(Flight { no, target, life, ask_at, due, helpers: 0, spoke: 0 });
        self.ping(at, target, no);
    }

    /// A probe tells who asks, and what is held of the one that is asked, so that a suspect hears it at once.
    fn ping(&mut self, at: Moment, target: Key, no: u32) {
        let mut news: Vec<News> = self.own(true).into_iter().collect();
        if self.settings.extensions.confirm {
            news.extend(self.accused(target));
        }
        self.send_to(at, target, kind::PING, no, target, news);
    }

    /// What is held against a member.
    fn accused(&self, key: Key) -> Option<News> {
        let entry = self.view.get(key).filter(|entry| entry.status() != Status::Alive)?;
        Some(News { by: self.me.0, ..entry.brief(key) })
    }

    fn own(&self, full: bool) -> Option<News> {
        if self.is_mute() {
            return None;
        }
        let entry = self.view.get(self.me)?;
        Some(if full { entry.full(self.me) } else { entry.brief(self.me) })
    }

    fn flight_due(&mut self, at: Moment) {
        let Some(flight) = &mut self.flight else { return };
        if at.now >= flight.due {
            if let Some(flight) = self.flight.take() {
                self.unanswered(at, &flight);
            }
        } else if flight.ask_at.is_some_and(|ask_at| at.now >= ask_at) {
            flight.ask_at = None;
            let (no, target) = (flight.no, flight.target);
            let helpers = self.helpers(target);
            if let Some(flight) = &mut self.flight {
                flight.helpers = helpers.len() as u32;
            }
            for helper in helpers {
                self.send_to(at, helper, kind::ASK, no, target, self.accused(target).into_iter().collect());
            }
        }
    }

    /// Who is to ask instead: one of the target's own zone if there is one, for the way there may be the trouble; the
    /// others by chance.
    fn helpers(&mut self, target: Key) -> Vec<Key> {
        let (view, me) = (&self.view, self.me);
        let there = |key: Key| {
            key != me && key != target && view.get(key).is_some_and(|entry| entry.status() == Status::Alive)
        };
        let mut helpers = self.round.some(&mut self.rng, HELPERS, there);
        let zone = view.get(target).map(|entry| &entry.details.zone);
        let is_near = |key: &Key| view.get(*key).map(|entry| &entry.details.zone) == zone;
        if !helpers.iter().any(is_near) {
            let near = self.round.some(&mut self.rng, 1, |key| there(key) && is_near(&key));
            if let Some(near) = near.first() {
                helpers.truncate(HELPERS - 1);
                helpers.push(*near);
            }
        }
        helpers
    }

    fn unanswered(&mut self, at: Moment, flight: &Flight) {
        let there = self.view.get(flight.target).filter(|entry| entry.status().is_present());
        if there.is_none_or(|entry| entry.epoch.life != flight.life) {
            return; // gone, or another process, meanwhile
        }
        self.count("probes without an answer", 1);
        if self.settings.extensions.health {
            self.health.unanswered(flight.helpers, flight.helpers.saturating_sub(flight.spoke));
        }
        self.suspect(at, flight.target, self.me);
    }

    /// The least and the most time that a suspect has.
    fn suspicion(&self) -> (Nanos, Nanos) {
        let members = self.view.counts().present().max(2) as f64;
        let periods = &self.settings.periods;
        let least = (periods.suspicion * members.log10().max(1.0) * periods.probe as f64) as Nanos;
        if !self.settings.extensions.confirm || members < 3.0 {
            return (least, least); // nobody is there who could confirm
        }
        (least, (least as f64 * periods.suspicion_most) as Nanos)
    }

    fn suspect(&mut self, at: Moment, key: Key, by: Key) {
        let wait = self.suspicion();
        let is_new = self.suspicions.suspect(at.now, key, by, wait);
        match self.view.set(at.now, key, Status::Suspect) {
            Some(change) => {
                let more = if by == self.me { "does not answer" } else { "by word of another" };
                self.reacted(at, key, &change, more);
            }
            // One more who suspects it is worth telling: it shortens the wait of the others.
            None if is_new => self.gossip.push(key),
            None => {}
        }
    }

    // ---- News ----

    /// A member changed: clears or begins what belongs to that, spreads it and tells of it.
    fn reacted(&mut self, at: Moment, key: Key, change: &Change, more: &str) {
        self.changed = at.now;
        if change.before.is_none_or(|before| !before.is_present())
            && change.after.is_present()
            && key != self.me
        {
            self.round.insert(&mut self.rng, key);
        }
        if change.after != Status::Suspect {
            self.suspicions.clear(key);
        }
        self.gossip.push(key);
        if let Some(kind) = change.kind() {
            let more = match (kind, self.view.get(key)) {
                (Kind::Joined | Kind::Moved | Kind::Replaced, Some(entry)) => {
                    format!("at {} in zone '{}'", entry.details.address, entry.details.zone)
                }
                (Kind::Phase, Some(entry)) => entry.details.phase.word().to_owned(),
                _ => more.to_owned(),
            };
            self.happened(at, kind, key, more);
        }
    }

    /// Something was said of a member. Gives what to say back: entries that are wanted, and those of which more is known.
    fn heard(&mut self, at: Moment, sender: Key, news: &News, back: &mut Differences) {
        let key = Key(news.key);
        if key == self.me && (news.life == self.epoch.life.0 || self.contests(news)) {
            return self.heard_of_self(at, news, back);
        }
        match self.view.merge(at.now, news) {
            Merged::Known => self.confirmed(at, sender, news),
            Merged::Older => back.brief.push(key),
            Merged::Wanted if back.wants.len() < WANTS => back.wants.push(key),
            Merged::Wanted => {}
            Merged::Odd(odd) => self.count(odd_word(odd), 1),
            Merged::Full => self.count("members for whom there is no room", 1),
            Merged::Changed(change) => {
                self.reacted(at, key, &change, "");
                self.confirmed(at, sender, news);
            }
        }
    }

    /// A suspicion that is told names who has it.
    fn confirmed(&mut self, at: Moment, sender: Key, news: &News) {
        let key = Key(news.key);
        let suspect = self.view.get(key).is_some_and(|entry| entry.status() == Status::Suspect);
        if suspect && news.status == Status::Suspect.number() {
            let by = if news.by == 0 { sender } else { Key(news.by) };
            self.suspect(at, key, by);
        }
    }

    /// Whether this is about another life that has this node's name, and holds over it.
    fn contests(&self, news: &News) -> bool {
        let theirs = Epoch { birth: news.birth, life: Life(news.life) };
        !self.is_mute() && theirs > self.epoch && news.life != self.epoch.life.0
    }

    /// Something was said of this node itself.
    fn heard_of_self(&mut self, at: Moment, news: &News, back: &mut Differences) {
        let status = Status::from_number(news.status).unwrap_or_default();
        if news.life == self.epoch.life.0 {
            let own =
                Standing { bump: self.bump, status: if self.leaving { Status::Left } else { Status::Alive } };
            let heard = Standing { bump: news.bump, status };
            // What was said of it under an earlier birth of the same life is out of date, whatever it says.
            let refutes = if news.birth == self.epoch.birth { refutes(own, heard) } else { None };
            match refutes {
                _ if self.is_mute() => {}
                Some(bump) => {
                    if self.settings.extensions.health && status == Status::Suspect {
                        self.health.suspected();
                    }
                    if bump == u32::MAX {
                        return self.outlive(at, news.birth, "its bumps are used up");
                    }
                    self.bump = bump;
                    self.refute(at, status);
                }
                None if (news.birth, heard) != (self.epoch.birth, own) => back.brief.push(self.me),
                None => {}
            }
            return;
        }
        if !status.is_present() {
            return self.outlive(at, news.birth, "what had its name is gone");
        }
        let details = Details::read(&news.told).ok();
        match details {
            None => back.wants.push(self.me),
            // Only one process can be reached there, and that is this one.
            Some(details) if details.address == self.settings.address => {
                self.outlive(at, news.birth, "a past of its own");
            }
            Some(details) => {
                let is_known = self.contest.as_ref().is_some_and(|c| c.holder.life == news.life);
                if !is_known {
                    let (holder, address) = (news.clone(), details.address);
                    self.contest = Some(Contest { holder, address, tries: 0, next: at.now, mute: false });
                }
            }
        }
    }

    fn refute(&mut self, at: Moment, said: Status) {
        if let Err(odd) = self.announce(at) {
            self.count(odd_word(odd), 1);
        }
        self.count("times it was suspect or dead and said that it is there", 1);
        self.happened(at, Kind::Refuted, self.me, format!("held {}", said.word()));
    }

    /// Its name is its own, by a birth later than any that was heard.
    fn outlive(&mut self, at: Moment, birth: u64, why: &str) {
        let was_mute = self.is_mute();
        self.contest = None;
        self.epoch.birth = self.epoch.birth.max(birth).saturating_add(1);
        self.bump = 0;
        self.say_anew(at);
        if was_mute {
            self.happened(at, Kind::NameBack, self.me, why.to_owned());
        } else {
            self.count("times it took its name over from an earlier life", 1);
        }
    }

    // ---- A name that two have ----

    /// The other life was heard, so that it is there: it came later, and has the name.
    fn holder_heard(&mut self, at: Moment) {
        let Some(contest) = &mut self.contest else { return };
        contest.tries = 0;
        if contest.mute {
            return;
        }
        contest.mute = true;
        contest.next = at.now + MUTE_LOOK;
        let (holder, address) = (contest.holder.clone(), contest.address);
        (self.flight, self.errands) = (None, BTreeMap::new());
        self.gossip.drop_news(self.me);
        let _ = self.view.merge(at.now, &holder);
        self.happened(
            at,
            Kind::NameTaken,
            self.me,
            format!("a later process at {address} has it; this one says nothing of itself"),
        );
    }

    fn contest_due(&mut self, at: Moment) {
        let Some(contest) = &mut self.contest else { return };
        contest.tries += 1;
        let (tries, mute, address, birth) =
            (contest.tries, contest.mute, contest.address, contest.holder.birth);
        contest.next = at.now + if mute { MUTE_LOOK } else { self.settings.periods.answer };
        if tries > if mute { MUTE_TRIES } else { CONTEST_TRIES } {
            return self.outlive(at, birth, "what had its name does not answer");
        }
        let from = if mute { Key::NOBODY } else { self.me };
        let ping = Datagram { from: from.0, kind: kind::PING, target: self.me.0, ..Datagram::default() };
        self.send(at, address, ping);
        if mute {
            let gone = self.view.get(self.me).is_none_or(|entry| !entry.status().is_present());
            if gone {
                return self.outlive(at, birth, "what had its name is gone");
            }
            // Nobody tells one that no view holds: it asks.
            if let Some(key) = self.others(1).first().copied() {
                self.compare(at, key);
            }
        }
    }

    // ---- Spreading ----

    fn others(&mut self, most: usize) -> Vec<Key> {
        let (view, me) = (&self.view, self.me);
        let there = |key: Key| key != me && view.get(key).is_some_and(|e| e.status().is_present());
        self.round.some(&mut self.rng, most, there)
    }

    fn spread(&mut self, at: Moment) {
        let unsettled = at.now < self.unsettled_until;
        if self.is_mute() || self.gossip.is_empty() && !unsettled {
            return;
        }
        let crowded = self.gossip.len() > NEWS_FIT;
        let others = self.others(FANOUT);
        for key in &others {
            self.send_to(at, *key, kind::GOSSIP, 0, Key::NOBODY, Vec::new());
        }
        if crowded && let Some(key) = others.first() {
            self.compare(at, *key);
        }
    }

    /// Looks for one of the dead. If it is there it says so, and then views are compared: so two halves of a healed
    /// partition find each other.
    fn regain(&mut self, at: Moment) {
        self.regains += 1;
        if !self.settings.extensions.regain || self.is_mute() || self.leaving || self.view.counts().dead == 0
        {
            return;
        }
        let dead = self.view.iter().filter(|(_, entry)| entry.status() == Status::Dead);
        let (now, regains) = (at.now, self.regains);
        let due = |since: Nanos| {
            let age = now.saturating_sub(since);
            REGAIN_LATER
                .iter()
                .rev()
                .find(|(after, _)| age >= *after)
                .is_none_or(|(_, turns)| regains % turns == 0)
        };
        let dead: Vec<Key> = dead.filter(|(_, entry)| due(entry.since)).map(|(key, _)| key).collect();
        let Some(key) = dead.choose(&mut self.rng).copied() else { return };
        self.ping(at, key, 0);
        // Digests are of those who are present. That it left and did not die is known to some perhaps: one is told what is
        // held here, and answers if it knows more.
        if let (Some(other), Some(entry)) = (self.others(1).first().copied(), self.view.get(key)) {
            let news = vec![entry.brief(key)];
            self.send_to(at, other, kind::ENTRIES, 0, Key::NOBODY, news);
        }
    }

    fn places(&self) -> Vec<SocketAddr> {
        let all = self.settings.seeds.iter().chain(&self.contacts).copied();
        all.filter(|place| *place != self.settings.address).collect()
    }

    /// Tries the seeds: often while alone, else now and then those where nobody is known to be.
    fn seek(&mut self, at: Moment) {
        let alone = self.view.counts().present() <= 1;
        self.timers.seek = at.now + if alone { SEEK_ALONE } else { SEEK };
        if self.is_mute() || self.leaving {
            return;
        }
        let mut places = self.places();
        if !alone {
            let known = self.view.iter().filter(|(_, entry)| entry.status().is_present());
            let known: Vec<SocketAddr> = known.map(|(_, entry)| entry.details.address).collect();
            places.retain(|place| !known.contains(place));
        }
        places.shuffle(&mut self.rng);
        for place in places.into_iter().take(if alone { SEEK_AT_ONCE } else { 1 }) {
            let news = self.own(true).into_iter().collect();
            let ping = Datagram { from: self.me.0, kind: kind::PING, news, ..Datagram::default() };
            self.send(at, place, ping);
        }
    }

    /// Begins to compare views with a member.
    fn compare(&mut self, at: Moment, with: Key) {
        if !self.settings.extensions.reconcile
            || at.now < self.compared + COMPARE_GAP
            || !self.comparing.open(at.now)
        {
            return;
        }
        self.compared = at.now;
        let Some(to) = self.view.get(with).map(|entry| entry.details.address) else { return };
        let summaries = vec![reconcile::summary(&self.view)];
        self.count("comparisons begun", 1);
        let datagram = Datagram { from: self.from(), kind: kind::SUMMARY, summaries, ..Datagram::default() };
        let bytes = self.send(at, to, datagram);
        self.comparing.spend(bytes);
    }

    fn from(&self) -> u64 {
        if self.is_mute() { 0 } else { self.me.0 }
    }

    // ---- Sending ----

    fn send_to(&mut self, at: Moment, to: Key, kind: u32, no: u32, target: Key, news: Vec<News>) {
        if let Some(address) = self.view.get(to).map(|entry| entry.details.address) {
            let datagram =
                Datagram { from: self.from(), kind, no, target: target.0, news, ..Datagram::default() };
            self.send(at, address, datagram);
        }
    }

    /// Sends a datagram, filled up with news and pulses; gives its size.
    fn send(&mut self, at: Moment, to: SocketAddr, mut datagram: Datagram) -> usize {
        if datagram.from != 0 || datagram.kind == kind::PAGE {
            datagram.digest = self.view.digest();
        }
        let mut pack = Pack::new(datagram);
        let spreads = matches!(pack.datagram.kind, kind::PING | kind::ACK | kind::GOSSIP);
        if spreads && !self.is_mute() && self.spreading.open(at.now) {
            let before = pack.size;
            let Fleet { gossip, view, suspicions, .. } = self;
            gossip.take(view.counts().present(), |key| {
                let Some(entry) = view.get(key) else { return true };
                // Standing alone is enough for most; who lacks the rest asks for it.
                let told = entry.epoch.birth > 0 && entry.standing.status == Status::Alive;
                let news = if told { entry.full(key) } else { entry.brief(key) };
                pack.news(News { by: suspicions.latest(key).unwrap_or_default().0, ..news })
            });
            self.spreading.spend(pack.size - before);
        }
        if spreads && pack.datagram.from != 0 {
            pack.datagram.pulses = self.pulses();
        }
        let message = pack.datagram.encode_to_vec();
        if message.len() > MESSAGE_MAX {
            debug_assert!(false, "a datagram of kind {} has its bound", pack.datagram.kind);
            self.count("invariant: datagrams beyond their bound", 1);
            return 0;
        }
        let frame = self.seal.seal(at.unix_ms, &message);
        self.host.send(to, &frame);
        frame.len()
    }

    fn pulses(&mut self) -> Vec<u8> {
        let mut pulses = Vec::with_capacity((PULSES + 1) * PULSE);
        let mut push = |key: Key, pulse: Pulse| {
            pulses.extend_from_slice(&((key.0 >> 32) as u32).to_be_bytes());
            pulses.extend_from_slice(&pulse.no.to_be_bytes());
            pulses.extend_from_slice(&[pulse.room, pulse.load]);
        };
        if self.pulse.no > 0 {
            push(self.me, self.pulse);
        }
        let some = self.recent.iter().rev().take(PULSES);
        some.filter_map(|key| Some((*key, self.view.get(*key)?.pulse)))
            .for_each(|(key, pulse)| push(key, pulse));
        pulses
    }

    /// Sends entries, and asks for others, in as many datagrams as that takes and the rate allows.
    fn send_entries(&mut self, at: Moment, to: SocketAddr, differences: &Differences) {
        let mut wants = differences.wants.clone();
        wants.sort_unstable();
        wants.dedup();
        let mut news: Vec<News> = Vec::new();
        let entries = |keys: &[Key], view: &View, full: bool| -> Vec<News> {
            let known = keys.iter().filter_map(|key| Some((*key, view.get(*key)?)));
            known.map(|(key, entry)| if full { entry.full(key) } else { entry.brief(key) }).collect()
        };
        news.extend(entries(&differences.brief, &self.view, false));
        news.extend(entries(&differences.whole, &self.view, true));
        if news.is_empty() && wants.is_empty() {
            return;
        }
        let from = self.from();
        let mut news = news.into_iter().peekable();
        let mut wants = wants.chunks(WANTS);
        loop {
            let wants = wants.next().unwrap_or_default().iter().map(|key| key.0).collect::<Vec<_>>();
            if news.peek().is_none() && wants.is_empty() || !self.comparing.open(at.now) {
                return;
            }
            let mut pack = Pack::new(Datagram { from, kind: kind::ENTRIES, wants, ..Datagram::default() });
            while let Some(next) = news.next_if(|next| pack.fits(field(next.encoded_len()))) {
                pack.news(next);
            }
            let bytes = self.send(at, to, pack.datagram);
            self.comparing.spend(bytes);
        }
    }

    // ---- Datagrams ----

    /// A datagram came.
    pub fn datagram(&mut self, at: Moment, from: SocketAddr, frame: &[u8]) {
        self.noticed(at);
        if at.now < self.deaf_until {
            return self.count("datagrams from before a long sleep", 1);
        }
        if !self.gate.admits(at.now, from) {
            return self.dropped(Dropped::Flood);
        }
        let (life, message) = match self.seal.open(at.now, at.unix_ms, frame) {
            Ok(opened) => opened,
            Err(why) => return self.dropped(why),
        };
        let Ok(datagram) = Datagram::decode(message) else { return self.dropped(Dropped::Unreadable) };
        self.gate.proved(from);
        if life == self.epoch.life {
            return self.count("datagrams of its own", 1);
        }
        self.take(at, from, life, &datagram);
        self.promised = self.next().max(at.now);
    }

    fn dropped(&mut self, why: Dropped) {
        self.count(why.word(), 1);
    }

    fn take(&mut self, at: Moment, from: SocketAddr, life: Life, datagram: &Datagram) {
        let sender = Key(datagram.from);
        if self.contest.as_ref().is_some_and(|contest| contest.holder.life == life.0) {
            self.holder_heard(at);
        }
        let mut back = Differences::default();
        for news in &datagram.news {
            self.heard(at, sender, news, &mut back);
        }
        self.pulses_heard(at, &datagram.pulses);
        let to = self.reply_to(sender, life, from);
        match datagram.kind {
            kind::PING => self.pinged(at, to, datagram, &mut back),
            kind::ACK => self.acked(at, sender, life, datagram),
            kind::ASK => self.asked(at, sender, datagram),
            kind::NACK => {
                let flight = self.flight.as_mut().filter(|flight| flight.no == datagram.no);
                flight.into_iter().for_each(|flight| flight.spoke = (flight.spoke + 1).min(flight.helpers));
            }
            kind::GOSSIP => {}
            kind::SUMMARY => self.summary(at, to, datagram),
            kind::HEADERS => {
                let found = reconcile::differences(&self.view, &datagram.covered, &datagram.news);
                back.brief.extend(found.brief);
                back.whole.extend(found.whole);
                back.wants.extend(found.wants);
            }
            kind::ENTRIES => back.whole.extend(datagram.wants.iter().map(|key| Key(*key))),
            kind::SHOW => self.show(at, from, datagram),
            kind::PAGE => {}
            _ => self.count("datagrams of a kind that is not known", 1),
        }
        let compares = matches!(datagram.kind, kind::HEADERS | kind::ENTRIES);
        if !compares {
            // A word that is out of date costs an answer only where views are compared, or where it is the sender's own.
            back.brief.retain(|key| *key == sender || *key == self.me);
        }
        back.brief.sort_unstable();
        back.brief.dedup();
        self.send_entries(at, to, &back);
        if sender != Key::NOBODY
            && matches!(datagram.kind, kind::PING | kind::ACK | kind::GOSSIP)
            && datagram.digest != self.view.digest()
        {
            self.differs(at, sender);
        }
    }

    /// Replies go where the sender says that it is reached; to one that no view holds, where its datagram came from.
    fn reply_to(&self, sender: Key, life: Life, from: SocketAddr) -> SocketAddr {
        let known = self.view.get(sender).filter(|entry| entry.epoch.life == life);
        known.map_or(from, |entry| entry.details.address)
    }

    /// The sender's view is another one. News that is under way needs no help.
    fn differs(&mut self, at: Moment, sender: Key) {
        self.unsettled_until = at.now + UNSETTLED;
        let under_way =
            !self.gossip.is_empty() && self.gossip.len() <= NEWS_FIT && at.now < self.changed + UNDER_WAY;
        if !under_way {
            self.compare(at, sender);
        }
    }

    fn pinged(&mut self, at: Moment, to: SocketAddr, datagram: &Datagram, back: &mut Differences) {
        let target = Key(datagram.target);
        if self.is_mute() || target != self.me && target != Key::NOBODY {
            return self.count("probes for another name", 1);
        }
        // Who asks without knowing whom hears all; the others only how it stands. A sender that is held for suspect or
        // dead hears that too.
        let mut news: Vec<News> = self.own(target == Key::NOBODY).into_iter().collect();
        news.extend(self.accused(Key(datagram.from)));
        back.brief.retain(|key| *key != self.me);
        let ack = Datagram {
            from: self.me.0,
            kind: kind::ACK,
            no: datagram.no,
            target: self.me.0,
            news,
            ..Datagram::default()
        };
        self.send(at, to, ack);
    }

    fn acked(&mut self, at: Moment, sender: Key, life: Life, datagram: &Datagram) {
        let target = Key(datagram.target);
        if let Some(errand) = self.errands.get(&datagram.no).filter(|e| e.target == target && e.life == life)
        {
            let (origin, no) = (errand.origin, errand.origin_no);
            self.errands.remove(&datagram.no);
            let news = self.view.get(target).map(|entry| entry.brief(target)).into_iter().collect();
            return self.send_to(at, origin, kind::ACK, no, target, news);
        }
        let flight =
            self.flight.as_ref().filter(|flight| flight.no == datagram.no && flight.target == target);
        let Some(flight) = flight else { return };
        // From the one that was asked, or from a helper, who looks at the life itself.
        if sender != target || life == flight.life {
            self.flight = None;
            if self.settings.extensions.health {
                self.health.answered();
            }
        }
    }

    fn asked(&mut self, at: Moment, origin: Key, datagram: &Datagram) {
        let target = Key(datagram.target);
        let Some(life) = self.view.get(target).map(|entry| entry.epoch.life) else { return };
        if self.errands.len() >= ERRANDS || self.is_mute() || target == self.me {
            return self.count("errands beyond their number", 1);
        }
        self.no = self.no.wrapping_add(1);
        let (no, due) = (self.no, at.now + self.settings.periods.answer);
        self.errands.insert(no, Errand { origin, origin_no: datagram.no, target, life, due });
        self.ping(at, target, no);
    }

    fn summary(&mut self, at: Moment, to: SocketAddr, datagram: &Datagram) {
        let from = self.from();
        for summary in datagram.summaries.iter().take(4) {
            let first = self.rng.random_range(0..64);
            let finer = reconcile::finer(&self.view, summary, first);
            let mut summaries = finer.summaries.into_iter().peekable();
            while summaries.peek().is_some() && self.comparing.open(at.now) {
                let mut pack = Pack::new(Datagram { from, kind: kind::SUMMARY, ..Datagram::default() });
                while let Some(next) = summaries
                    .next_if(|next| pack.datagram.summaries.len() < 4 && pack.fits(field(next.encoded_len())))
                {
                    pack.size += field(next.encoded_len());
                    pack.datagram.summaries.push(next);
                }
                let bytes = self.send(at, to, pack.datagram);
                self.comparing.spend(bytes);
            }
            self.send_headers(at, to, finer.covered);
        }
    }

    fn send_headers(&mut self, at: Moment, to: SocketAddr, covered: Vec<wire::Range>) {
        let from = self.from();
        let mut covered = covered.into_iter().map(|range| (range, reconcile::headers(&self.view, &range)));
        let mut next = covered.next();
        let mut packs = Vec::new();
        while next.is_some() {
            let mut pack = Pack::new(Datagram { from, kind: kind::HEADERS, ..Datagram::default() });
            while let Some((range, news)) = next.take() {
                let bytes =
                    field(range.encoded_len()) + news.iter().map(|n| field(n.encoded_len())).sum::<usize>();
                if !pack.fits(bytes) {
                    next = Some((range, news));
                    break;
                }
                pack.size += bytes;
                pack.datagram.covered.push(range);
                pack.datagram.news.extend(news);
                next = covered.next();
            }
            if pack.datagram.covered.is_empty() {
                break; // a range that does not fit a datagram can't come up: it has few members
            }
            packs.push(pack.datagram);
        }
        for datagram in packs {
            if self.comparing.open(at.now) {
                let bytes = self.send(at, to, datagram);
                self.comparing.spend(bytes);
            }
        }
    }

    fn pulses_heard(&mut self, at: Moment, pulses: &[u8]) {
        for pulse in pulses.as_chunks::<PULSE>().0.iter().take(2 * PULSES) {
            let tag = u32::from_be_bytes([pulse[0], pulse[1], pulse[2], pulse[3]]);
            let no = u16::from_be_bytes([pulse[4], pulse[5]]);
            if tag == (self.me.0 >> 32) as u32 {
                continue;
            }
            let heard = self.view.pulse(at.now, tag, Pulse { no, room: pulse[6], load: pulse[7] });
            if let Some(key) = heard {
                self.recent.retain(|other| *other != key);
                self.recent.push(key);
                if self.recent.len() > 4 * PULSES {
                    self.recent.remove(0);
                }
            }
        }
    }

    // ---- Shown to people ----

    /// Somebody who has the key asks what this node holds: first how it stands, then its view in pages.
    fn show(&mut self, at: Moment, to: SocketAddr, datagram: &Datagram) {
        let mut pack = Pack::new(Datagram {
            from: self.from(),
            kind: kind::PAGE,
            no: datagram.no,
            ..Datagram::default()
        });
        if datagram.cursor == 0 {
            pack.datagram.report = Some(self.report(at));
            pack.datagram.cursor = 1;
        } else {
            for (key, entry) in self.view.range(datagram.cursor..=u64::MAX) {
                if !pack.fits(field(entry.full(key).encoded_len()) + PULSE) {
                    pack.datagram.cursor = key.0;
                    break;
                }
                pack.news(entry.full(key));
                let pulse = if key == self.me { self.pulse } else { entry.pulse };
                pack.size += PULSE;
                pack.datagram.pulses.extend(((key.0 >> 32) as u32).to_be_bytes());
                pack.datagram.pulses.extend(pulse.no.to_be_bytes());
                pack.datagram.pulses.extend([pulse.room, pulse.load]);
            }
        }
        self.send(at, to, pack.datagram);
    }

    fn report(&self, at: Moment) -> Report {
        let (counts, sight) = (self.view.counts(), &self.sight);
        let times = |since: Nanos| (at.now.saturating_sub(since) / MILLISECOND).max(1);
        let mut report = Report {
            name: self.settings.name.clone(),
            size: sight.fleet.size as u32,
            low: sight.fleet.low as u32,
            high: sight.fleet.high as u32,
            unsure_ms: sight.unsure_since.map_or(0, times),
            doubt: sight.doubt,
            suspects: counts.suspect as u32,
            dead: counts.dead as u32,
            zone: self.settings.zone.clone(),
            mute: self.is_mute(),
            counts: Vec::new(),
            changes: Vec::new(),
        };
        let most = MESSAGE_MAX - 100;
        for (what, times) in &self.counts {
            report.counts.push(wire::Count { what: (*what).to_owned(), times: *times });
            if report.encoded_len() > most * 2 / 3 {
                report.counts.pop();
                break;
            }
        }
        for happened in self.history.latest().take(16) {
            let line = happened.to_string();
            report.changes.push(wire::Happened { unix_ms: happened.unix_ms, line });
            if report.encoded_len() > most {
                report.changes.pop();
                break;
            }
        }
        report
    }
}

fn odd_word(odd: Odd) -> &'static str {
    match odd {
        Odd::TooLarge => "entries that are too large",
        Odd::Unreadable => "entries that can't be read",
        Odd::BadAddress => "entries with an address that can't be used",
        Odd::BadName => "entries with a name that can't be used",
    }
}

impl<H: Host> Fleet<H> {
    /// Takes over what another view holds, for simulated fleets that begin as if they had run for long.
    pub fn acquaint(&mut self, at: Moment, all: &[News]) {
        for news in all.iter().filter(|news| news.key != self.me.0) {
            if let Merged::Changed(change) = self.view.merge(at.now, news)
                && change.after.is_present()
            {
                self.round.insert(&mut self.rng, Key(news.key));
            }
        }
        self.gossip = Gossip::default();
        self.alone = None;
    }

    /// All that it would say of itself to one that knows nobody.
    pub fn introduction(&self) -> Option<News> {
        self.own(true)
    }

    /// The standing of a member here.
    pub fn standing(&self, key: Key) -> Option<(Epoch, Standing)> {
        self.view.get(key).map(|entry| (entry.epoch, entry.standing))
    }
}
