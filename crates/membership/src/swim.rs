//! SWIM protocol state machine: one method for each event; side effects go through [`Host`].
//!
//! - [`Membership::on_datagram`]: a datagram has arrived (`receiving`, `member_updates`,
//!   `comparison`);
//! - [`Membership::wake`]: timers are due (`timers`, `probing`, `dissemination`);
//! - `own_entry`: the node publishes details about itself, or leaves;
//! - `name_conflict`: another process uses this node's name;
//! - `observation`: status for operators and for the rest of the program.

use crate::anti_entropy::{self, RangeExchange};
use crate::cluster_size::{ClusterSizeEstimator, ClusterView};
use crate::config::{ClockReading, Config, Timing};
use crate::datagram_auth::{AuthKeys, DatagramAuth, DropReason, MESSAGE_MAX};
use crate::dissemination_queue::DisseminationQueue;
use crate::history::{ChangeEvent, ChangeKind, History};
use crate::host::Host;
use crate::local_health::LocalHealth;
use crate::member::{
    Attachment, DetailsError, Epoch, Incarnation, Liveness, LivenessState, LoadHint, MemberDetails,
    MemberKey, Phase, refutes,
};
use crate::member_table::{Interner, MemberChange, MemberTable, MergeOutcome, TYPICAL_ENTRY_BYTES};
use crate::messages::{self, Datagram, MemberUpdate, NodeReport, kind};
use crate::probe_order::ProbeOrder;
use crate::receive_limiter::ReceiveLimiter;
use crate::suspicion::Suspicions;
use crate::token_bucket::TokenBucket;
use crate::{MILLISECOND, Nanos, SECOND};
use prost::Message;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

mod comparison;
mod datagram_builder;
mod dissemination;
mod member_updates;
mod name_conflict;
mod observation;
mod own_entry;
mod probing;
mod receiving;
mod sending;
mod timers;

use comparison::COMPARISON_BYTES;
use datagram_builder::{DatagramBuilder, encoded_field_len};
use dissemination::{GOSSIP_FANOUT, UPDATES_PER_DATAGRAM};
use name_conflict::NameConflict;
use probing::{OutstandingProbe, RelayedProbe};
use sending::{LOAD_HINT_BYTES, LOAD_HINTS_PER_DATAGRAM, WANTS_PER_DATAGRAM};
use timers::Timers;

/// Rate (bytes per second) and burst (bytes) of updates that are added to other datagrams.
const DISSEMINATION_BYTES: (f64, f64) = (16e3, 32e3);

/// Membership protocol of one node.
pub struct Membership<H: Host> {
    /// Host that carries out the side effects.
    pub host: H,
    config: Config,
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
    local_health: LocalHealth,
    probe_order: ProbeOrder,
    outstanding_probe: Option<OutstandingProbe>,
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    datagram_auth: DatagramAuth,
    receive_limiter: ReceiveLimiter,
    /// Number of the latest probe, direct or relayed.
    last_probe_number: u32,
    timers: Timers,
    /// Time at which the node last asked to be woken. A later call shows that the process was
    /// paused.
    requested_wake: Nanos,
    dead_probe_rounds: u64,
    unsettled_until: Nanos,
    ignore_received_until: Nanos,
    last_comparison: Nanos,
    last_change: Nanos,
    comparison_budget: TokenBucket,
    dissemination_budget: TokenBucket,
    name_conflict: Option<NameConflict>,
    /// Addresses of the members that were known before a long pause. After the pause the node joins
    /// the cluster again through them.
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
    /// Creates a node that has just started and knows only itself and its seeds.
    ///
    /// # Errors
    /// If the configured name is not valid, or the node's own details are too large for an entry.
    pub fn new(
        config: Config,
        seed: u64,
        at: ClockReading,
        host: H,
    ) -> Result<Membership<H>, DetailsError> {
        Membership::with_interner(config, seed, at, host, None)
    }

    /// Creates a node as [`Membership::new`] does, with member details shared with other nodes in
    /// this process; for simulations.
    ///
    /// # Errors
    /// As for [`Membership::new`].
    pub fn with_interner(
        config: Config,
        seed: u64,
        at: ClockReading,
        host: H,
        interner: Option<Interner>,
    ) -> Result<Membership<H>, DetailsError> {
        config.validate()?;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let own_key = MemberKey::of(&config.name);
        let incarnation = Incarnation(rng.random::<u64>() >> 1 | 1);
        let members_max = config.bytes / TYPICAL_ENTRY_BYTES + 16;
        let datagram_auth = DatagramAuth::new(
            &config.cluster_name,
            config.keys.clone(),
            incarnation,
            config.timing.skew,
            2 * members_max,
        );
        let now = at.now;
        let timers = Timers::start(&config.timing, now, &mut rng);
        let bytes = config.bytes;
        let mut membership = Membership {
            host,
            config,
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
            local_health: LocalHealth::default(),
            probe_order: ProbeOrder::default(),
            outstanding_probe: None,
            relayed_probes: BTreeMap::new(),
            datagram_auth,
            receive_limiter: ReceiveLimiter::new(2 * members_max),
            last_probe_number: 0,
            timers,
            requested_wake: Nanos::MAX,
            dead_probe_rounds: 0,
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
        membership.announce(at)?;
        membership.refresh_cluster_view(at);
        membership.requested_wake = membership.next_wake().max(at.now);
        Ok(membership)
    }

    /// Returns the node's own key and incarnation.
    pub fn identity(&self) -> (MemberKey, Incarnation) {
        (self.own_key, self.epoch.incarnation)
    }

    /// Returns the node's own name.
    pub fn name(&self) -> &str {
        &self.config.name
    }

    /// Returns the refutation number of the node's own entry, which rises each time the node
    /// refutes a suspicion.
    pub fn refutation(&self) -> u32 {
        self.refutation
    }
}
