//! A node's part in the fleet: a method for each thing that happens, acting through a small
//! [`Host`].

use crate::anti_entropy::{self, RangeExchange};
use crate::cluster_size::{ClusterSizeEstimator, ClusterView};
use crate::datagram_auth::{AuthKeys, DatagramAuth, DropReason, MESSAGE_MAX, ReceiveLimiter};
use crate::dissemination_queue::DisseminationQueue;
use crate::history::{ChangeEvent, ChangeKind, History};
use crate::local_health::LocalHealth;
use crate::member::{
    Attachment, DetailsError, Epoch, Incarnation, Liveness, LivenessState, LoadHint, MemberDetails,
    MemberKey, Phase, refutes,
};
use crate::member_table::{ENTRY_USUAL, Interner, MemberChange, MemberTable, MergeOutcome};
use crate::probe_order::ProbeOrder;
use crate::suspicion::Suspicions;
use crate::wire::{self, Datagram, MemberUpdate, NodeReport, kind};
use crate::{MILLISECOND, Nanos, SECOND};
use prost::Message;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

mod dissemination;
mod member_updates;
mod probing;
mod receiving;

/// What a fleet's part does to the world. None of it may wait.
pub trait Host {
    /// Send a datagram.
    fn send(&mut self, to: SocketAddr, frame: &[u8]);
    /// Write a line to the log: one for each change of the view, as far as the rate allows.
    fn log(&mut self, kind: &'static str, line: &str);
    /// What decisions see has changed.
    fn sight(&mut self, sight: &ClusterView);
    /// A parcel of another package came from a member, whose process this is.
    fn parcel(&mut self, _from: MemberKey, _life: Incarnation, _topic: u32, _parcel: &[u8]) {}
    /// Somebody who has the key asks what another package holds, from a place in it on: a page of
    /// that and the place of the next one, 0 after the last. None if there is nothing, or not yet:
    /// then it will be asked again.
    fn show(&mut self, _topic: u32, _from: u64) -> Option<(Vec<u8>, u64)> {
        None
    }
    /// Somebody who has the key and is no member wants something done by another package; answered
    /// by [`Membership::ordered`]. It may come again.
    fn order(&mut self, _from: SocketAddr, _no: u32, _topic: u32, _order: &[u8]) {}
    /// The view has changed; told always, for those who measure.
    fn changed(&mut self, _kind: ChangeKind, _key: MemberKey) {}
}

/// A reading of the clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since any fixed point; never goes back.
    pub now: Nanos,
    /// Unix time in milliseconds, which may step.
    pub unix_ms: u64,
}

/// How often things are done, and how long they are waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Between two probes.
    pub probe: Nanos,
    /// For the answer to a probe, before others are asked to probe.
    pub answer: Nanos,
    /// Between two rounds of news.
    pub gossip: Nanos,
    /// The least time that a suspect has, in periods, times the decimal logarithm of the fleet's
    /// size.
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

impl Default for Timing {
    fn default() -> Timing {
        Timing {
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
pub struct FeatureToggles {
    /// Doubt of oneself.
    pub health: bool,
    /// Suspicions that get shorter as others confirm, and suspects that are told.
    pub confirm: bool,
    /// Views compared by digests.
    pub reconcile: bool,
    /// The dead probed again.
    pub regain: bool,
}

impl Default for FeatureToggles {
    fn default() -> FeatureToggles {
        FeatureToggles {
            health: true,
            confirm: true,
            reconcile: true,
            regain: true,
        }
    }
}

/// What a node is told of its fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// The fleet's name, and the node's own.
    pub fleet: String,
    pub name: String,
    pub zone: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Where somebody may be found.
    pub seeds: Vec<SocketAddr>,
    pub keys: AuthKeys,
    pub periods: Timing,
    pub program: String,
    /// Number and hash of its settings.
    pub settings: (u64, u64),
    /// Bytes that the view may take.
    pub bytes: usize,
    pub extensions: FeatureToggles,
}

/// A probe goes out so often before helpers are asked; all but the first only where no answer came.
/// At a loss of 30 % one alone fails half the time.
const AGAIN: u64 = 3;
/// Helpers that are asked to probe.
const HELPERS: usize = 3;
/// Members that news is sent to in each round, and that a leaving node tells.
const FANOUT: usize = 3;
const TOLD_AT_LEAVE: usize = 8;
/// Probes for others that are under way at once.
const ERRANDS: usize = 64;
/// Entries asked for in one datagram.
const WANTS: usize = 32;
/// MemberUpdate that fits into one datagram, roughly; with more to spread, views are compared instead.
const NEWS_FIT: usize = 20;
/// Others' pulses in each datagram.
const PULSES: usize = 7;
const PULSE: usize = 8;
/// Bytes a second, and at once, for comparing views, and for spreading news.
const COMPARE: (f64, f64) = (64e3, 256e3);
const SPREAD: (f64, f64) = (16e3, 32e3);
/// Between two comparisons begun by this node; and for how long views that differ are worth more
/// rounds.
const COMPARE_GAP: Nanos = 200 * MILLISECOND;
const UNSETTLED: Nanos = 2 * SECOND;
/// Small news is given so long to arrive by itself before views are compared.
const UNDER_WAY: Nanos = 600 * MILLISECOND;
/// How often the seeds are tried: alone, and in company.
const SEEK_ALONE: Nanos = SECOND;
const SEEK: Nanos = 10 * SECOND;
/// Seeds tried at once while alone, and addresses that are kept beside the seeds when all is begun
/// anew.
const SEEK_AT_ONCE: usize = 3;
const CONTACTS: usize = 32;
/// The dead are probed more seldom after these times: once in so many turns.
const REGAIN_LATER: [(Nanos, u64); 2] = [(60 * SECOND, 5), (600 * SECOND, 30)];
/// One more is tried each time for so many dead, up to so many at once.
const REGAIN_MORE: usize = 24;
const REGAIN_MOST: usize = 8;
/// How often what decisions see is looked at, and the gone are tidied up.
const LOOK: Nanos = 250 * MILLISECOND;
const TIDY: Nanos = 5 * SECOND;
/// A wake that is so late shows that the node stood still; after a sleep so long its view is worth
/// nothing.
const STOOD_STILL: Nanos = 500 * MILLISECOND;
const LONG_SLEEP: Nanos = 300 * SECOND;
/// After that it hears nothing for so long: what waited in its socket is as old.
const DEAF: Nanos = 200 * MILLISECOND;
/// Tries to hear whether another life that has this node's name is there, and between two looks at
/// it later.
const CONTEST_TRIES: u32 = 5;
const MUTE_LOOK: Nanos = 2 * SECOND;
const MUTE_TRIES: u32 = 6;

/// A probe that waits for its answer.
#[derive(Debug)]
struct OutstandingProbe {
    no: u32,
    target: MemberKey,
    life: Incarnation,
    /// When it is asked again, in case the one before was lost on its way, or the way was cut then
    /// and is not now.
    again_at: Nanos,
    /// When helpers are asked, if they have not been.
    ask_at: Option<Nanos>,
    due: Nanos,
    helpers: u32,
    spoke: u32,
}

/// A probe for another member.
#[derive(Debug)]
struct RelayedProbe {
    origin: MemberKey,
    origin_no: u32,
    target: MemberKey,
    life: Incarnation,
    again_at: Nanos,
    due: Nanos,
}

/// Another life has this node's name, and a later birth. Either it is there, and holds the name; or
/// it is this node's own past, remembered with a clock that was ahead.
#[derive(Debug)]
struct NameConflict {
    holder: MemberUpdate,
    address: SocketAddr,
    tries: u32,
    next: Nanos,
    /// Whether it was heard, so that this node gave the name up.
    mute: bool,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    rate: f64,
    most: f64,
    left: f64,
    filled: Nanos,
}

impl TokenBucket {
    fn new((rate, most): (f64, f64), now: Nanos) -> TokenBucket {
        TokenBucket {
            rate,
            most,
            left: most,
            filled: now,
        }
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
struct DatagramBuilder {
    datagram: Datagram,
    size: usize,
}

/// What a field of so many bytes takes.
fn field(bytes: usize) -> usize {
    1 + prost::length_delimiter_len(bytes) + bytes
}

impl DatagramBuilder {
    fn new(datagram: Datagram) -> DatagramBuilder {
        let size = datagram.encoded_len();
        DatagramBuilder { datagram, size }
    }

    fn fits(&self, bytes: usize) -> bool {
        self.size + bytes + field((PULSES + 1) * PULSE) <= MESSAGE_MAX
    }

    fn news(&mut self, news: MemberUpdate) -> bool {
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
pub struct Membership<H: Host> {
    /// Where it acts.
    pub host: H,
    settings: Config,
    rng: Pcg64Mcg,
    me: MemberKey,
    epoch: Epoch,
    bump: u32,
    revision: u32,
    phase: Phase,
    parts: Vec<Attachment>,
    pulse: LoadHint,
    leaving: bool,
    view: MemberTable,
    gossip: DisseminationQueue,
    suspicions: Suspicions,
    health: LocalHealth,
    round: ProbeOrder,
    flight: Option<OutstandingProbe>,
    errands: BTreeMap<u32, RelayedProbe>,
    seal: DatagramAuth,
    gate: ReceiveLimiter,
    no: u32,
    timers: Timers,
    /// When it asked to be woken.
    promised: Nanos,
    regains: u64,
    unsettled_until: Nanos,
    deaf_until: Nanos,
    compared: Nanos,
    changed: Nanos,
    comparing: TokenBucket,
    spreading: TokenBucket,
    contest: Option<NameConflict>,
    /// Addresses where somebody was, before all was begun anew.
    contacts: Vec<SocketAddr>,
    alone: Option<Nanos>,
    told_alone: bool,
    recent: Vec<MemberKey>,
    sizer: ClusterSizeEstimator,
    sight: ClusterView,
    history: History,
    counts: BTreeMap<&'static str, u64>,
}

impl<H: Host> Membership<H> {
    /// A node that has just started, and knows nobody but itself and its seeds.
    pub fn new(
        settings: Config,
        seed: u64,
        at: ClockReading,
        host: H,
    ) -> Result<Membership<H>, DetailsError> {
        Membership::with_interner(settings, seed, at, host, None)
    }

    /// The same, with details kept together with those of other nodes in this process.
    pub fn with_interner(
        settings: Config,
        seed: u64,
        at: ClockReading,
        host: H,
        interner: Option<Interner>,
    ) -> Result<Membership<H>, DetailsError> {
        if !crate::member::is_name(&settings.name, crate::member::NAME_MAX) {
            return Err(DetailsError::BadName);
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let me = MemberKey::of(&settings.name);
        let life = Incarnation(rng.random::<u64>() >> 1 | 1);
        let most = settings.bytes / ENTRY_USUAL + 16;
        let seal = DatagramAuth::new(
            &settings.fleet,
            settings.keys.clone(),
            life,
            settings.periods.skew,
            2 * most,
        );
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
        let mut fleet = Membership {
            host,
            settings,
            rng,
            me,
            epoch: Epoch {
                birth: at.unix_ms,
                life,
            },
            bump: 0,
            revision: 0,
            phase: Phase::Cold,
            parts: Vec::new(),
            pulse: LoadHint::default(),
            leaving: false,
            view: MemberTable::new(bytes, interner),
            gossip: DisseminationQueue::default(),
            suspicions: Suspicions::default(),
            health: LocalHealth::default(),
            round: ProbeOrder::default(),
            flight: None,
            errands: BTreeMap::new(),
            seal,
            gate: ReceiveLimiter::new(2 * most),
            no: 0,
            timers,
            promised: Nanos::MAX,
            regains: 0,
            unsettled_until: 0,
            deaf_until: 0,
            compared: 0,
            changed: 0,
            comparing: TokenBucket::new(COMPARE, now),
            spreading: TokenBucket::new(SPREAD, now),
            contest: None,
            contacts: Vec::new(),
            alone: Some(now),
            told_alone: false,
            recent: Vec::new(),
            sizer: ClusterSizeEstimator::default(),
            sight: ClusterView::default(),
            history: History::default(),
            counts: BTreeMap::new(),
        };
        fleet.announce(at)?;
        fleet.look(at);
        fleet.promised = fleet.next().max(at.now);
        Ok(fleet)
    }

    // ---- What the node says of itself ----

    /// Its own key, and what this process is.
    pub fn me(&self) -> (MemberKey, Incarnation) {
        (self.me, self.epoch.life)
    }

    /// Its own name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// The bump that its own entry stands at: how often it had to say that it is there.
    pub fn bump(&self) -> u32 {
        self.bump
    }

    fn details(&self, parts: Vec<Attachment>) -> Result<MemberDetails, DetailsError> {
        let s = &self.settings;
        let wire = (wire::WIRE_LEAST, wire::WIRE);
        MemberDetails::new(
            s.address, &s.zone, self.phase, &s.program, wire, s.settings, parts,
        )
    }

    fn own_news(&self) -> Result<MemberUpdate, DetailsError> {
        let details = self.details(self.parts.clone())?;
        let status = if self.leaving {
            Liveness::Left
        } else {
            Liveness::Alive
        };
        Ok(MemberUpdate {
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
    fn announce(&mut self, at: ClockReading) -> Result<(), DetailsError> {
        if self.is_mute() {
            return Ok(());
        }
        let news = self.own_news()?;
        if self.view.merge(at.now, &news) == MergeOutcome::Full {
            self.count("invariant: a view without room for its own node", 1);
        }
        self.changed = at.now;
        self.gossip.push(self.me);
        Ok(())
    }

    fn say_anew(&mut self, at: ClockReading) {
        self.revision += 1;
        if let Err(odd) = self.announce(at) {
            debug_assert!(false, "what a node says of itself can be said: {odd}");
            self.count("invariant: what a node says of itself can be said", 1);
        }
    }

    /// It is warm, or draining. The first ones that hear of a drain hear it at once.
    pub fn set_phase(&mut self, at: ClockReading, phase: Phase) {
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
    pub fn set_settings(&mut self, at: ClockReading, settings: (u64, u64)) {
        self.noticed(at);
        if self.settings.settings != settings {
            self.settings.settings = settings;
            self.say_anew(at);
        }
    }

    /// Its room and load, each of 255. They spread without a promise.
    pub fn set_pulse(&mut self, room: u8, load: u8) {
        self.pulse = LoadHint {
            no: self.pulse.no.wrapping_add(1),
            room,
            load,
        };
    }

    /// Hangs something on its entry, in the place of what had this number before; refused if the
    /// entry grows too large.
    pub fn set_part(&mut self, at: ClockReading, part: Attachment) -> Result<(), DetailsError> {
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

    /// AuthKeys, seeds and periods of a new file of settings.
    pub fn reset(
        &mut self,
        at: ClockReading,
        keys: AuthKeys,
        seeds: Vec<SocketAddr>,
        periods: Timing,
    ) {
        self.noticed(at);
        self.seal.rekey(keys.clone());
        (
            self.settings.keys,
            self.settings.seeds,
            self.settings.periods,
        ) = (keys, seeds, periods);
    }

    /// The node goes: some hear it at once and pass it on. To be called again a moment later, in
    /// case that was lost.
    pub fn leave(&mut self, at: ClockReading) {
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

    fn tell(&mut self, at: ClockReading, most: usize) {
        for key in self.others(most) {
            let Some(own) = self.own(false) else { return };
            self.send_to(at, key, kind::GOSSIP, 0, MemberKey::NOBODY, vec![own]);
        }
    }

    // ---- What is seen ----

    /// The view.
    pub fn view(&self) -> &MemberTable {
        &self.view
    }

    /// What decisions see.
    pub fn sight(&self) -> &ClusterView {
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

    fn happened(&mut self, at: ClockReading, kind: ChangeKind, key: MemberKey, more: String) {
        self.host.changed(kind, key);
        let name = self
            .view
            .get(key)
            .map_or_else(|| Arc::from("?"), |entry| Arc::clone(&entry.name));
        let happened = ChangeEvent {
            unix_ms: at.unix_ms,
            kind,
            name,
            more,
        };
        if let Some(line) = self.history.push(at.now, happened) {
            self.host.log(kind.word(), &line);
        }
    }

    // ---- Time ----

    /// When it wants to be woken.
    pub fn next(&self) -> Nanos {
        let t = &self.timers;
        let mut next = [t.probe, t.gossip, t.regain, t.seek, t.look, t.tidy]
            .into_iter()
            .min()
            .unwrap_or(0);
        if let Some(flight) = &self.flight {
            next = next
                .min(flight.ask_at.unwrap_or(flight.due))
                .min(flight.again_at);
        }
        if let Some(contest) = &self.contest {
            next = next.min(contest.next);
        }
        let errands = self
            .errands
            .values()
            .map(|errand| errand.due.min(errand.again_at))
            .min();
        next.min(self.suspicions.next(self.call_time()).unwrap_or(next))
            .min(errands.unwrap_or(next))
    }

    /// A node that wakes late has heard nothing meanwhile: that speaks against itself and against
    /// nobody else.
    fn noticed(&mut self, at: ClockReading) {
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
        self.happened(
            at,
            ChangeKind::StoodStill,
            self.me,
            format!("for {} ms", late / MILLISECOND),
        );
        if late >= LONG_SLEEP.min(self.settings.periods.remember / 2) {
            self.begin_anew(at);
        }
    }

    /// Forgets whom it knew, and keeps where some of them were. What it remembers is so old that
    /// others have forgotten who died meanwhile: told to them, the dead would seem to live.
    fn begin_anew(&mut self, at: ClockReading) {
        let present = self
            .view
            .iter()
            .filter(|(key, e)| *key != self.me && e.status().is_present());
        let mut contacts: Vec<SocketAddr> = present.map(|(_, e)| e.details.address).collect();
        contacts.shuffle(&mut self.rng);
        contacts.truncate(CONTACTS);
        self.contacts = contacts;
        self.view.forget_all_but(self.me);
        self.suspicions.clear_all();
        self.round.clear();
        self.gossip = DisseminationQueue::default();
        self.bump += 1;
        self.say_anew(at);
        (self.alone, self.told_alone, self.timers.seek) = (Some(at.now), false, at.now + DEAF);
        self.deaf_until = at.now + DEAF;
    }

    /// Does what is due.
    pub fn wake(&mut self, at: ClockReading) {
        self.noticed(at);
        let now = at.now;
        self.flight_due(at);
        self.errands_due(at);
        let due = self.suspicions.due(now, self.call_time());
        for key in due.calls {
            self.ping(at, key, 0);
        }
        for key in due.over {
            if let Some(change) = self.view.set(now, key, Liveness::Dead) {
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
        if self
            .contest
            .as_ref()
            .is_some_and(|contest| now >= contest.next)
        {
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

    fn look(&mut self, at: ClockReading) {
        let zone: Arc<str> = self.settings.zone.as_str().into();
        let sight = self.sizer.look(
            at.now,
            &self.view,
            &zone,
            self.health.doubt(),
            self.is_mute(),
        );
        match (self.sight.unsure_since, sight.unsure_since) {
            (None, Some(_)) => {
                let more = format!(
                    "{} of {} are there without a doubt, {} suspect",
                    sight.fleet.low, self.sight.fleet.size, sight.suspects
                );
                self.happened(at, ChangeKind::Unsure, self.me, more);
            }
            (Some(since), None) => {
                let more = format!(
                    "after {} s, {} are there",
                    (at.now - since.min(at.now)) / SECOND,
                    sight.fleet.low
                );
                self.happened(at, ChangeKind::Sure, self.me, more);
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
                    self.happened(at, ChangeKind::Company, self.me, String::new());
                }
                self.alone = None;
                self.contacts.clear();
            }
            None if !company => self.alone = Some(at.now),
            Some(since)
                if !self.told_alone
                    && !self.places().is_empty()
                    && at.now >= since + 10 * SECOND =>
            {
                self.told_alone = true;
                self.happened(at, ChangeKind::Alone, self.me, "no seed answers".into());
            }
            _ => {}
        }
    }
}

fn odd_word(odd: DetailsError) -> &'static str {
    match odd {
        DetailsError::TooLarge => "entries that are too large",
        DetailsError::Unreadable => "entries that can't be read",
        DetailsError::BadAddress => "entries with an address that can't be used",
        DetailsError::BadName => "entries with a name that can't be used",
    }
}

impl<H: Host> Membership<H> {
    /// Takes over what another view holds, for simulated fleets that begin as if they had run for
    /// long.
    pub fn acquaint(&mut self, at: ClockReading, all: &[MemberUpdate]) {
        for news in all.iter().filter(|news| news.key != self.me.0) {
            if let MergeOutcome::Changed(change) = self.view.merge(at.now, news)
                && change.after.is_present()
            {
                self.round.insert(&mut self.rng, MemberKey(news.key));
            }
        }
        self.gossip = DisseminationQueue::default();
        self.alone = None;
    }

    /// All that it would say of itself to one that knows nobody.
    pub fn introduction(&self) -> Option<MemberUpdate> {
        self.own(true)
    }

    /// The standing of a member here.
    pub fn standing(&self, key: MemberKey) -> Option<(Epoch, LivenessState)> {
        self.view
            .get(key)
            .map(|entry| (entry.epoch, entry.standing))
    }
}
