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
    fn cluster_view(&mut self, cluster_view: &ClusterView);
    /// A parcel of another package came from a member, whose process this is.
    fn payload(&mut self, _from: MemberKey, _life: Incarnation, _topic: u32, _parcel: &[u8]) {}
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
    pub dissemination_queue: Nanos,
    /// The least time that a suspect has, in periods, times the decimal logarithm of the fleet's
    /// size.
    pub suspicion: f64,
    /// The most, as a multiple of the least.
    pub suspicion_max_factor: f64,
    /// Between two tries to find one of the dead again.
    pub probe_dead: Nanos,
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
            dissemination_queue: 200 * MILLISECOND,
            suspicion: 2.0,
            suspicion_max_factor: 4.0,
            probe_dead: SECOND,
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
    pub probe_dead: bool,
}

impl Default for FeatureToggles {
    fn default() -> FeatureToggles {
        FeatureToggles {
            health: true,
            confirm: true,
            reconcile: true,
            probe_dead: true,
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
    pub timing: Timing,
    pub program: String,
    /// Number and hash of its settings.
    pub settings: (u64, u64),
    /// Bytes that the view may take.
    pub bytes: usize,
    pub features: FeatureToggles,
}

/// A probe goes out so often before helpers are asked; all but the first only where no answer came.
/// At a loss of 30 % one alone fails half the time.
const PROBE_RETRIES: u64 = 3;
/// Helpers that are asked to probe.
const RELAYS: usize = 3;
/// Members that news is sent to in each round, and that a leaving node tells.
const GOSSIP_FANOUT: usize = 3;
const LEAVE_FANOUT: usize = 8;
/// Probes for others that are under way at once.
const RELAYED_PROBES_MAX: usize = 64;
/// Entries asked for in one datagram.
const WANTS_PER_DATAGRAM: usize = 32;
/// MemberUpdate that fits into one datagram, roughly; with more to spread, views are compared instead.
const UPDATES_PER_DATAGRAM: usize = 20;
/// Others' pulses in each datagram.
const LOAD_HINTS_PER_DATAGRAM: usize = 7;
const LOAD_HINT_BYTES: usize = 8;
/// Bytes a second, and at once, for comparing views, and for spreading news.
const COMPARISON_BYTES: (f64, f64) = (64e3, 256e3);
const DISSEMINATION_BYTES: (f64, f64) = (16e3, 32e3);
/// Between two comparisons begun by this node; and for how long views that differ are worth more
/// rounds.
const COMPARISON_INTERVAL: Nanos = 200 * MILLISECOND;
const UNSETTLED_TIME: Nanos = 2 * SECOND;
/// Small news is given so long to arrive by itself before views are compared.
const UPDATE_TRAVEL_TIME: Nanos = 600 * MILLISECOND;
/// How often the seeds are tried: alone, and in company.
const SEED_INTERVAL_ALONE: Nanos = SECOND;
const SEED_INTERVAL: Nanos = 10 * SECOND;
/// Seeds tried at once while alone, and addresses that are kept beside the seeds when all is begun
/// anew.
const SEEDS_AT_ONCE: usize = 3;
const FORMER_ADDRESSES_MAX: usize = 32;
/// The dead are probed more seldom after these times: once in so many turns.
const DEAD_PROBE_BACKOFF: [(Nanos, u64); 2] = [(60 * SECOND, 5), (600 * SECOND, 30)];
/// One more is tried each time for so many dead, up to so many at once.
const DEAD_PER_EXTRA_PROBE: usize = 24;
const DEAD_PROBES_MAX: usize = 8;
/// How often what decisions see is looked at, and the gone are tidied up.
const VIEW_INTERVAL: Nanos = 250 * MILLISECOND;
const EXPIRY_INTERVAL: Nanos = 5 * SECOND;
/// A wake that is so late shows that the node stood still; after a sleep so long its view is worth
/// nothing.
const PAUSE_THRESHOLD: Nanos = 500 * MILLISECOND;
const LONG_PAUSE: Nanos = 300 * SECOND;
/// After that it hears nothing for so long: what waited in its socket is as old.
const STALE_SOCKET_TIME: Nanos = 200 * MILLISECOND;
/// Tries to hear whether another life that has this node's name is there, and between two looks at
/// it later.
const NAME_CONFLICT_PROBES: u32 = 5;
const MUTE_PROBE_INTERVAL: Nanos = 2 * SECOND;
const MUTE_PROBES: u32 = 6;

/// A probe that waits for its answer.
#[derive(Debug)]
struct OutstandingProbe {
    number: u32,
    target: MemberKey,
    incarnation: Incarnation,
    /// When it is asked again, in case the one before was lost on its way, or the way was cut then
    /// and is not now.
    again_at: Nanos,
    /// When helpers are asked, if they have not been.
    ask_at: Option<Nanos>,
    due: Nanos,
    relays: u32,
    spoke: u32,
}

/// A probe for another member.
#[derive(Debug)]
struct RelayedProbe {
    origin: MemberKey,
    origin_no: u32,
    target: MemberKey,
    incarnation: Incarnation,
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
    dissemination_queue: Nanos,
    probe_dead: Nanos,
    contact_seeds: Nanos,
    refresh_cluster_view: Nanos,
    expire: Nanos,
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
        self.size + bytes + field((LOAD_HINTS_PER_DATAGRAM + 1) * LOAD_HINT_BYTES) <= MESSAGE_MAX
    }

    fn updates(&mut self, updates: MemberUpdate) -> bool {
        let bytes = field(updates.encoded_len());
        let fits = self.fits(bytes);
        if fits {
            self.size += bytes;
            self.datagram.updates.push(updates);
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
    own_key: MemberKey,
    epoch: Epoch,
    refutation: u32,
    revision: u32,
    phase: Phase,
    attachments: Vec<Attachment>,
    load_hint: LoadHint,
    leaving: bool,
    member_table: MemberTable,
    dissemination_queue: DisseminationQueue,
    suspicions: Suspicions,
    health: LocalHealth,
    round: ProbeOrder,
    outstanding_probe: Option<OutstandingProbe>,
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    datagram_auth: DatagramAuth,
    receive_limiter: ReceiveLimiter,
    number: u32,
    timers: Timers,
    /// When it asked to be woken.
    promised_wake: Nanos,
    recovery_rounds: u64,
    unsettled_until: Nanos,
    ignore_received_until: Nanos,
    last_comparison: Nanos,
    last_change: Nanos,
    comparison_budget: TokenBucket,
    dissemination_budget: TokenBucket,
    name_conflict: Option<NameConflict>,
    /// Addresses where somebody was, before all was begun anew.
    former_addresses: Vec<SocketAddr>,
    alone_since: Option<Nanos>,
    alone_reported: bool,
    recent_load_hints: Vec<MemberKey>,
    size_estimator: ClusterSizeEstimator,
    cluster_view: ClusterView,
    history: History,
    counters: BTreeMap<&'static str, u64>,
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
        let own_key = MemberKey::of(&settings.name);
        let incarnation = Incarnation(rng.random::<u64>() >> 1 | 1);
        let most = settings.bytes / ENTRY_USUAL + 16;
        let datagram_auth = DatagramAuth::new(
            &settings.fleet,
            settings.keys.clone(),
            incarnation,
            settings.timing.skew,
            2 * most,
        );
        let now = at.now;
        // Nodes that start together do nothing at the same moment.
        let mut soon = |period: Nanos| now + rng.random_range(0..period.max(1));
        let timers = Timers {
            probe: soon(settings.timing.probe),
            dissemination_queue: soon(settings.timing.dissemination_queue),
            probe_dead: soon(settings.timing.probe_dead),
            contact_seeds: soon(50 * MILLISECOND),
            refresh_cluster_view: now + VIEW_INTERVAL,
            expire: soon(EXPIRY_INTERVAL),
        };
        let bytes = settings.bytes;
        let mut fleet = Membership {
            host,
            settings,
            rng,
            own_key,
            epoch: Epoch {
                started_unix_ms: at.unix_ms,
                incarnation,
            },
            refutation: 0,
            revision: 0,
            phase: Phase::Cold,
            attachments: Vec::new(),
            load_hint: LoadHint::default(),
            leaving: false,
            member_table: MemberTable::new(bytes, interner),
            dissemination_queue: DisseminationQueue::default(),
            suspicions: Suspicions::default(),
            health: LocalHealth::default(),
            round: ProbeOrder::default(),
            outstanding_probe: None,
            relayed_probes: BTreeMap::new(),
            datagram_auth,
            receive_limiter: ReceiveLimiter::new(2 * most),
            number: 0,
            timers,
            promised_wake: Nanos::MAX,
            recovery_rounds: 0,
            unsettled_until: 0,
            ignore_received_until: 0,
            last_comparison: 0,
            last_change: 0,
            comparison_budget: TokenBucket::new(COMPARISON_BYTES, now),
            dissemination_budget: TokenBucket::new(DISSEMINATION_BYTES, now),
            name_conflict: None,
            former_addresses: Vec::new(),
            alone_since: Some(now),
            alone_reported: false,
            recent_load_hints: Vec::new(),
            size_estimator: ClusterSizeEstimator::default(),
            cluster_view: ClusterView::default(),
            history: History::default(),
            counters: BTreeMap::new(),
        };
        fleet.announce(at)?;
        fleet.refresh_cluster_view(at);
        fleet.promised_wake = fleet.next().max(at.now);
        Ok(fleet)
    }

    // ---- What the node says of itself ----

    /// Its own key, and what this process is.
    pub fn own_key(&self) -> (MemberKey, Incarnation) {
        (self.own_key, self.epoch.incarnation)
    }

    /// Its own name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// The bump that its own entry stands at: how often it had to say that it is there.
    pub fn refutation(&self) -> u32 {
        self.refutation
    }

    fn details(&self, attachments: Vec<Attachment>) -> Result<MemberDetails, DetailsError> {
        let s = &self.settings;
        let wire = (wire::WIRE_LEAST, wire::WIRE);
        MemberDetails::new(
            s.address, &s.zone, self.phase, &s.program, wire, s.settings, attachments,
        )
    }

    fn own_update(&self) -> Result<MemberUpdate, DetailsError> {
        let details = self.details(self.attachments.clone())?;
        let liveness = if self.leaving {
            Liveness::Left
        } else {
            Liveness::Alive
        };
        Ok(MemberUpdate {
            key: self.own_key.0,
            started_unix_ms: self.epoch.started_unix_ms,
            incarnation: self.epoch.incarnation.0,
            refutation: self.refutation,
            liveness: liveness.number(),
            revision: self.revision,
            name: self.settings.name.clone(),
            details: details.raw().to_vec(),
            suspected_by: 0,
        })
    }

    /// Puts what the node says of itself now into its view, and spreads it.
    fn announce(&mut self, at: ClockReading) -> Result<(), DetailsError> {
        if self.is_mute() {
            return Ok(());
        }
        let updates = self.own_update()?;
        if self.member_table.merge(at.now, &updates) == MergeOutcome::Full {
            self.count("invariant: a view without room for its own node", 1);
        }
        self.last_change = at.now;
        self.dissemination_queue.push(self.own_key);
        Ok(())
    }

    fn announce_new_revision(&mut self, at: ClockReading) {
        self.revision += 1;
        if let Err(error) = self.announce(at) {
            debug_assert!(false, "what a node says of itself can be said: {error}");
            self.count("invariant: what a node says of itself can be said", 1);
        }
    }

    /// It is warm, or draining. The first ones that hear of a drain hear it at once.
    pub fn set_phase(&mut self, at: ClockReading, phase: Phase) {
        self.detect_pause(at);
        if self.phase != phase {
            self.phase = phase;
            self.announce_new_revision(at);
            if phase == Phase::Draining {
                self.send_own_update(at, GOSSIP_FANOUT);
            }
        }
    }

    /// Its settings have this number and hash now.
    pub fn set_settings(&mut self, at: ClockReading, settings: (u64, u64)) {
        self.detect_pause(at);
        if self.settings.settings != settings {
            self.settings.settings = settings;
            self.announce_new_revision(at);
        }
    }

    /// Its room and load, each of 255. They spread without a promise.
    pub fn set_load_hint(&mut self, capacity: u8, load: u8) {
        self.load_hint = LoadHint {
            number: self.load_hint.number.wrapping_add(1),
            capacity,
            load,
        };
    }

    /// Hangs something on its entry, in the place of what had this number before; refused if the
    /// entry grows too large.
    pub fn set_attachment(&mut self, at: ClockReading, part: Attachment) -> Result<(), DetailsError> {
        self.detect_pause(at);
        let mut attachments = self.attachments.clone();
        attachments.retain(|p| p.id != part.id);
        if !part.bytes.is_empty() {
            attachments.push(part);
        }
        attachments.sort_by_key(|p| p.id);
        if attachments == self.attachments {
            return Ok(());
        }
        if let Err(error) = self.details(attachments.clone()) {
            self.count("parts that did not fit the entry", 1);
            return Err(error);
        }
        self.attachments = attachments;
        self.announce_new_revision(at);
        Ok(())
    }

    /// AuthKeys, seeds and periods of a new file of settings.
    pub fn reset(
        &mut self,
        at: ClockReading,
        keys: AuthKeys,
        seeds: Vec<SocketAddr>,
        timing: Timing,
    ) {
        self.detect_pause(at);
        self.datagram_auth.rekey(keys.clone());
        (
            self.settings.keys,
            self.settings.seeds,
            self.settings.timing,
        ) = (keys, seeds, timing);
    }

    /// The node goes: some hear it at once and pass it on. To be called again a moment later, in
    /// case that was lost.
    pub fn leave(&mut self, at: ClockReading) {
        self.detect_pause(at);
        if self.is_mute() {
            return;
        }
        if !self.leaving {
            self.leaving = true;
            if let Ok(updates) = self.own_update() {
                let _ = self.member_table.merge(at.now, &updates);
            }
            self.dissemination_queue.push(self.own_key);
        }
        self.send_own_update(at, LEAVE_FANOUT);
    }

    fn send_own_update(&mut self, at: ClockReading, most: usize) {
        for key in self.random_present(most) {
            let Some(own) = self.own(false) else { return };
            self.send_to(at, key, kind::GOSSIP, 0, MemberKey::NONE, vec![own]);
        }
    }

    // ---- What is seen ----

    /// The view.
    pub fn member_table(&self) -> &MemberTable {
        &self.member_table
    }

    /// What decisions see.
    pub fn cluster_view(&self) -> &ClusterView {
        &self.cluster_view
    }

    /// The latest changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// How often what happened.
    pub fn counters(&self) -> &BTreeMap<&'static str, u64> {
        &self.counters
    }

    /// Whether another process has the node's name, so that this one says nothing of itself.
    pub fn is_mute(&self) -> bool {
        self.name_conflict.as_ref().is_some_and(|name_conflict| name_conflict.mute)
    }

    fn count(&mut self, what: &'static str, times: u64) {
        *self.counters.entry(what).or_default() += times;
    }

    fn record_change(&mut self, at: ClockReading, kind: ChangeKind, key: MemberKey, more: String) {
        self.host.changed(kind, key);
        let name = self
            .member_table
            .get(key)
            .map_or_else(|| Arc::from("?"), |entry| Arc::clone(&entry.name));
        let record_change = ChangeEvent {
            unix_ms: at.unix_ms,
            kind,
            name,
            more,
        };
        if let Some(line) = self.history.push(at.now, record_change) {
            self.host.log(kind.as_str(), &line);
        }
    }

    // ---- Time ----

    /// When it wants to be woken.
    pub fn next(&self) -> Nanos {
        let t = &self.timers;
        let mut next = [t.probe, t.dissemination_queue, t.probe_dead, t.contact_seeds, t.refresh_cluster_view, t.expire]
            .into_iter()
            .min()
            .unwrap_or(0);
        if let Some(outstanding_probe) = &self.outstanding_probe {
            next = next
                .min(outstanding_probe.ask_at.unwrap_or(outstanding_probe.due))
                .min(outstanding_probe.again_at);
        }
        if let Some(name_conflict) = &self.name_conflict {
            next = next.min(name_conflict.next);
        }
        let relayed_probes = self
            .relayed_probes
            .values()
            .map(|relayed_probe| relayed_probe.due.min(relayed_probe.again_at))
            .min();
        next.min(self.suspicions.next(self.last_call_time()).unwrap_or(next))
            .min(relayed_probes.unwrap_or(next))
    }

    /// A node that wakes late has heard nothing meanwhile: that speaks against itself and against
    /// nobody else.
    fn detect_pause(&mut self, at: ClockReading) {
        let late = at.now.saturating_sub(self.promised_wake);
        self.promised_wake = self.next().max(at.now); // what is due from before does not show another sleep
        if late < PAUSE_THRESHOLD {
            return;
        }
        if self.settings.features.health {
            self.health.stood_still();
        }
        self.count("times it stood still", 1);
        self.suspicions.put_off(late);
        (self.outstanding_probe, self.relayed_probes) = (None, BTreeMap::new());
        self.record_change(
            at,
            ChangeKind::StoodStill,
            self.own_key,
            format!("for {} ms", late / MILLISECOND),
        );
        if late >= LONG_PAUSE.min(self.settings.timing.remember / 2) {
            self.forget_and_rejoin(at);
        }
    }

    /// Forgets whom it knew, and keeps where some of them were. What it remembers is so old that
    /// others have forgotten who died meanwhile: told to them, the dead would seem to live.
    fn forget_and_rejoin(&mut self, at: ClockReading) {
        let present = self
            .member_table
            .iter()
            .filter(|(key, e)| *key != self.own_key && e.liveness().is_present());
        let mut former_addresses: Vec<SocketAddr> = present.map(|(_, e)| e.details.address).collect();
        former_addresses.shuffle(&mut self.rng);
        former_addresses.truncate(FORMER_ADDRESSES_MAX);
        self.former_addresses = former_addresses;
        self.member_table.forget_all_but(self.own_key);
        self.suspicions.clear_all();
        self.round.clear();
        self.dissemination_queue = DisseminationQueue::default();
        self.refutation += 1;
        self.announce_new_revision(at);
        (self.alone_since, self.alone_reported, self.timers.contact_seeds) = (Some(at.now), false, at.now + STALE_SOCKET_TIME);
        self.ignore_received_until = at.now + STALE_SOCKET_TIME;
    }

    /// Does what is due.
    pub fn wake(&mut self, at: ClockReading) {
        self.detect_pause(at);
        let now = at.now;
        self.on_probe_timers(at);
        self.on_relayed_probe_timers(at);
        let due = self.suspicions.due(now, self.last_call_time());
        for key in due.calls {
            self.ping(at, key, 0);
        }
        for key in due.over {
            if let Some(change) = self.member_table.set(now, key, Liveness::Dead) {
                self.on_member_changed(at, key, &change, "did not say in time that it is there");
            }
        }
        if now >= self.timers.probe {
            self.probe(at);
        }
        if now >= self.timers.dissemination_queue {
            self.timers.dissemination_queue = now + self.settings.timing.dissemination_queue;
            self.spread(at);
        }
        if now >= self.timers.probe_dead {
            self.timers.probe_dead = now + self.settings.timing.probe_dead;
            self.probe_dead(at);
        }
        if now >= self.timers.contact_seeds {
            self.contact_seeds(at);
        }
        if self
            .name_conflict
            .as_ref()
            .is_some_and(|name_conflict| now >= name_conflict.next)
        {
            self.on_name_conflict_timer(at);
        }
        if now >= self.timers.refresh_cluster_view {
            self.timers.refresh_cluster_view = now + VIEW_INTERVAL;
            self.refresh_cluster_view(at);
        }
        if now >= self.timers.expire {
            self.timers.expire = now + EXPIRY_INTERVAL;
            let forgot = self.member_table.forget(now, self.settings.timing.remember);
            if forgot > 0 {
                self.count("members forgotten after their time", forgot as u64);
            }
        }
        self.promised_wake = self.next().max(at.now);
    }

    fn refresh_cluster_view(&mut self, at: ClockReading) {
        let zone: Arc<str> = self.settings.zone.as_str().into();
        let cluster_view = self.size_estimator.observe(
            at.now,
            &self.member_table,
            &zone,
            self.health.doubt(),
            self.is_mute(),
        );
        match (self.cluster_view.unsure_since, cluster_view.unsure_since) {
            (None, Some(_)) => {
                let more = format!(
                    "{} of {} are there without a doubt, {} suspect",
                    cluster_view.fleet.low, self.cluster_view.fleet.size, cluster_view.suspects
                );
                self.record_change(at, ChangeKind::Unsure, self.own_key, more);
            }
            (Some(since), None) => {
                let more = format!(
                    "after {} s, {} are there",
                    (at.now - since.min(at.now)) / SECOND,
                    cluster_view.fleet.low
                );
                self.record_change(at, ChangeKind::Sure, self.own_key, more);
            }
            _ => {}
        }
        if self.cluster_view != cluster_view {
            self.cluster_view = cluster_view;
            self.host.cluster_view(&self.cluster_view);
        }
        if let Some(line) = self.history.rest(at.now) {
            self.host.log("more", &line);
        }
        let company = self.member_table.counters().present() > 1;
        match self.alone_since {
            Some(_) if company => {
                if std::mem::take(&mut self.alone_reported) {
                    self.record_change(at, ChangeKind::Company, self.own_key, String::new());
                }
                self.alone_since = None;
                self.former_addresses.clear();
            }
            None if !company => self.alone_since = Some(at.now),
            Some(since)
                if !self.alone_reported
                    && !self.join_addresses().is_empty()
                    && at.now >= since + 10 * SECOND =>
            {
                self.alone_reported = true;
                self.record_change(at, ChangeKind::Alone, self.own_key, "no seed answers".into());
            }
            _ => {}
        }
    }
}

fn details_error_counter(error: DetailsError) -> &'static str {
    match error {
        DetailsError::TooLarge => "entries that are too large",
        DetailsError::Unreadable => "entries that can't be read",
        DetailsError::BadAddress => "entries with an address that can't be used",
        DetailsError::BadName => "entries with a name that can't be used",
    }
}

impl<H: Host> Membership<H> {
    /// Takes over what another view holds, for simulated fleets that begin as if they had run for
    /// long.
    pub fn preload(&mut self, at: ClockReading, all: &[MemberUpdate]) {
        for updates in all.iter().filter(|updates| updates.key != self.own_key.0) {
            if let MergeOutcome::Changed(change) = self.member_table.merge(at.now, updates)
                && change.after.is_present()
            {
                self.round.insert(&mut self.rng, MemberKey(updates.key));
            }
        }
        self.dissemination_queue = DisseminationQueue::default();
        self.alone_since = None;
    }

    /// All that it would say of itself to one that knows nobody.
    pub fn introduction(&self) -> Option<MemberUpdate> {
        self.own(true)
    }

    /// The standing of a member here.
    pub fn liveness_state(&self, key: MemberKey) -> Option<(Epoch, LivenessState)> {
        self.member_table
            .get(key)
            .map(|entry| (entry.epoch, entry.liveness_state))
    }
}
