//! The fleet's socket, and the thread in which this node's part in the fleet lives. It shares
//! nothing with the core but two bounded queues: words of the core, and what is seen of the fleet.
//! Neither waits for the other.

use super::inbox::Message;
use super::rollout_link::{
    RolloutContext, RolloutLink, RolloutSetup, SETTINGS_CHANGES, TaskResult, topic,
};
use super::threads::STACK;
use crate::cluster::ClusterUpdate;
use crate::log::part;
use crate::node::{Event, SharedService, SharedStateOptions};
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use madderpoint_membership::datagram_auth::AuthKeys;
use madderpoint_membership::messages::DATAGRAM_MAX;
use madderpoint_membership::{
    ClockReading, ClusterView, Config, Host, Incarnation, MemberKey, Membership, Nanos, Timing,
};
use madderpoint_rollout::{Kind, Plan};
use madderpoint_shared_state::counters::PROCESS_BYTES;
use madderpoint_shared_state::keyed_quota::{KeyedQuota, QuotaGrant, QuotaTiming};
use madderpoint_shared_state::messages::{
    MAX_PAYLOAD_BYTES, SharedMessage, decode as read_parcel, encode as write_parcel,
};
use madderpoint_shared_state::{
    self as shared_state, Budget, BudgetRequest, HealthReport, HealthReports, ProcessId,
    SharedState, service_health,
};
use prost::Message as _;
use rustix::event::{EventfdFlags, PollFd, PollFlags, Timespec, eventfd, poll};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tracing::{error, info, warn};

/// Words that may wait for the fleet's part.
const WORDS: usize = 64;
/// Datagrams that are read before the timers are looked at again.
const TURN: usize = 64;
/// Between the two times that a leaving node says so.
const LEAVE_AGAIN: Duration = Duration::from_millis(20);

/// How a node takes part.
#[derive(Debug)]
pub struct Part {
    /// Where it listens.
    pub bind: SocketAddr,
    /// What it says and goes by.
    pub settings: Config,
    /// AuthKeys of those who decide who lends, and the budgets that the fleet shares; none if there are
    /// none.
    pub arbiters: Vec<u64>,
    pub budgets: Vec<Budget>,
    /// Limits by key that the fleet shares, and the bytes that books of them may take.
    pub keys: Vec<KeyedQuota>,
    pub key_bytes: usize,
    /// The service below that the fleet judges together, if it does; and words of others about it
    /// that are kept.
    pub service: Option<SharedService>,
    /// Names of the operations, for those who have counts shown; and the bytes for other processes'
    /// counts.
    pub operations: Vec<String>,
    /// Their latency objectives.
    pub objectives: Vec<Nanos>,
    pub count_bytes: usize,
    /// Whether another process may still have the place where it listens: then it is waited for.
    pub waits: bool,
    /// Its parts in changes of the settings and of the program, and the bytes for the record of
    /// them.
    pub changes: Vec<RolloutSetup>,
    pub change_bytes: usize,
}

impl Part {
    /// Whether anything is shared with the fleet but the view of it.
    pub fn shares(&self) -> bool {
        !self.arbiters.is_empty() || self.service.is_some()
    }

    /// What the core takes part in.
    pub fn with(&self) -> SharedStateOptions {
        SharedStateOptions {
            service: self.service.clone(),
            counts_for_cluster: !self.arbiters.is_empty(),
        }
    }

    /// How often keys are asked for: by the most nodes that any limit is made for.
    pub fn rhythm(&self) -> QuotaTiming {
        let budgets = self.budgets.iter().map(|budget| budget.max_nodes);
        let most = budgets
            .chain(self.keys.iter().map(|budget| budget.max_nodes))
            .max();
        QuotaTiming::for_nodes(most.unwrap_or(1))
    }
}

/// What a new file of settings changes.
#[derive(Clone, Debug)]
pub struct Reset {
    pub keys: AuthKeys,
    pub seeds: Vec<SocketAddr>,
    pub periods: Timing,
    pub number: (u64, u64),
    pub budgets: Vec<Budget>,
    pub key_budgets: Vec<KeyedQuota>,
    /// How changes that are offered here go out from now on, if they go out in stages.
    pub plan: Option<Plan>,
}

enum Order {
    ClusterUpdate(ClusterUpdate),
    Reset(Box<Reset>),
    Done(Kind, TaskResult),
    /// Whether another process takes this one's place.
    Leave(bool),
}

/// The end by which that thread tells what it did.
#[derive(Clone)]
pub struct Poster {
    orders: Sender<Order>,
    bell: Arc<OwnedFd>,
}

/// What it did is told within this, or not at all: the node leaves then.
const TOLD: Duration = Duration::from_secs(1);

impl Poster {
    /// Something was done, about changes of this kind.
    pub fn done(&self, kind: Kind, done: TaskResult) {
        if self
            .orders
            .send_timeout(Order::Done(kind, done), TOLD)
            .is_ok()
        {
            let _ = rustix::io::write(&*self.bell, &1u64.to_ne_bytes());
        }
    }
}

/// The core's end.
#[derive(Clone)]
pub struct ClusterLink {
    orders: Sender<Order>,
    bell: Arc<OwnedFd>,
}

impl ClusterLink {
    fn order(&self, order: Order) {
        if self.orders.try_send(order).is_ok() {
            let _ = rustix::io::write(&*self.bell, &1u64.to_ne_bytes());
        }
    }

    /// Has a word said. One that finds no room is lost; the next one says more.
    pub fn say(&self, word: ClusterUpdate) {
        self.order(Order::ClusterUpdate(word));
    }

    /// Takes up what a new file says.
    pub fn reset(&self, reset: Reset) {
        self.order(Order::Reset(Box::new(reset)));
    }

    /// Says that the node leaves, and ends the thread; or that another process takes its place.
    pub fn leave(&self, handed: bool) {
        self.order(Order::Leave(handed));
    }
}

/// The topic of parcels about what is shared.
pub const SHARED: u32 = 1;
/// What is shown of it is made anew after this.
const SHOWN_FOR: Nanos = 200_000_000;

/// What the part that lends and borrows does to the world; what it sends goes out as parcels.
struct SharedStateHost {
    sent: Vec<(u64, SharedMessage)>,
    /// What the core said last that it wants, and when; and whether nothing is in hand as it
    /// leaves.
    wants: (Nanos, Vec<BudgetRequest>),
    free: bool,
    events: Sender<Message>,
}

impl shared_state::Host for SharedStateHost {
    fn send(&mut self, to: u64, told: SharedMessage) {
        self.sent.push((to, told));
    }
    fn log(&mut self, line: &str) {
        info!(target: part::SHARED_STATE, event = "leader", "{line}");
    }
    fn lease_requests(&mut self, _: Nanos) -> (Nanos, Vec<BudgetRequest>) {
        self.wants.clone()
    }
    fn receive_quota_grant(&mut self, _: Nanos, lent: QuotaGrant) {
        let _ = self
            .events
            .try_send(Message::Event(Event::QuotaGranted(Box::new(lent))));
    }
    fn receive_leases(&mut self, _: Nanos, asked: Nanos, parts: &[(u32, shared_state::Lease)]) {
        // A part that finds no room is not used: it ends by itself.
        let _ = self
            .events
            .try_send(Message::Event(Event::LeasesGranted(asked, parts.to_vec())));
    }
    fn drop_leases(&mut self, _: Nanos) -> bool {
        self.free
    }
}

/// What the fleet's part does to the world.
struct MembershipHost {
    socket: UdpSocket,
    /// Parcels that came and were not handed on yet.
    parcels: Vec<(ProcessId, u32, Vec<u8>)>,
    events: Sender<Message>,
    /// What was seen and found no room in the core's queue.
    unseen: Option<ClusterView>,
    /// What is shared, as it was shown last, and when; and this moment.
    shown: Option<(Nanos, Vec<u8>)>,
    shares: bool,
    now: Nanos,
    /// The same of changes, by topic; topics that were asked about; and what operators ordered.
    pages: BTreeMap<u32, (Nanos, Vec<u8>)>,
    asked: Vec<u32>,
    orders: Vec<(SocketAddr, u32, u32, Vec<u8>)>,
}

/// Orders that are taken up at once.
const ORDERS: usize = 32;

/// A page of what is shown, from there on.
fn page(bytes: &[u8], from: u64) -> (Vec<u8>, u64) {
    let from = usize::try_from(from).unwrap_or(usize::MAX).min(bytes.len());
    let to = (from + MAX_PAYLOAD_BYTES).min(bytes.len());
    (
        bytes[from..to].to_vec(),
        if to < bytes.len() { to as u64 } else { 0 },
    )
}

impl Host for MembershipHost {
    fn send(&mut self, to: SocketAddr, frame: &[u8]) {
        let _ = self.socket.send_to(frame, to); // what is not taken is as good as lost on the way: all of it is made for that
    }
    fn log(&mut self, kind: &'static str, line: &str) {
        info!(target: part::CLUSTER, event = kind, "{line}");
    }
    fn payload_received(&mut self, from: MemberKey, life: Incarnation, topic: u32, parcel: &[u8]) {
        self.parcels.push((
            ProcessId {
                key: from.0,
                incarnation: life.0,
            },
            topic,
            parcel.to_vec(),
        ));
    }
    fn command_received(&mut self, from: SocketAddr, no: u32, topic: u32, order: &[u8]) {
        if self.orders.len() < ORDERS {
            self.orders.push((from, no, topic, order.to_vec()));
        }
    }
    fn status_page(&mut self, topic: u32, from: u64) -> Option<(Vec<u8>, u64)> {
        if topic != SHARED {
            // The pages of one look are of one moment; the first one has them made anew.
            let fresh = self
                .pages
                .get(&topic)
                .filter(|(at, _)| from > 0 || self.now < at + SHOWN_FOR);
            let Some((_, bytes)) = fresh else {
                self.asked.push(topic);
                return None;
            };
            return Some(page(bytes, from));
        }
        if !self.shares {
            return None;
        }
        let fresh = self
            .shown
            .as_ref()
            .filter(|(at, _)| self.now < at + SHOWN_FOR);
        let Some((_, bytes)) = fresh else {
            // The core is asked; who asks comes again, and finds it then.
            let _ = self.events.try_send(Message::Event(Event::StatusRequested));
            return None;
        };
        Some(page(bytes, from))
    }
    fn cluster_view_changed(&mut self, sight: &ClusterView) {
        let event = Event::ClusterChanged(Box::new(sight.clone()));
        match self.events.try_send(Message::Event(event)) {
            Ok(()) => self.unseen = None,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.unseen = Some(sight.clone())
            }
        }
    }
}

/// Binds the socket and starts the thread.
pub fn start(
    part: Part,
    seed: u64,
    clock: impl Fn() -> ClockReading + Send + 'static,
    events: Sender<Message>,
) -> io::Result<(ClusterLink, JoinHandle<()>)> {
    let bell = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
    let (orders, inbox) = bounded(WORDS);
    let link = ClusterLink { orders, bell };
    let thread = thread::Builder::new()
        .name("fleet".into())
        .stack_size(STACK);
    let socket = match UdpSocket::bind(part.bind) {
        Err(e) if part.waits && e.kind() == ErrorKind::AddrInUse => None,
        bound => Some(bound?),
    };
    if let Some(socket) = socket {
        let (fleet, beside) = begin(part, seed, &clock, events, socket, &link)?;
        let bell = Arc::clone(&link.bell);
        return Ok((
            link,
            thread.spawn(move || serve(fleet, beside, &clock, &inbox, &bell))?,
        ));
    }
    let own = link.clone();
    let waiting = move || {
        // Words that come meanwhile are lost but for the notice to leave: the core says them anew.
        let socket = loop {
            match UdpSocket::bind(part.bind) {
                Ok(socket) => break socket,
                Err(_)
                    if inbox
                        .try_iter()
                        .any(|order| matches!(order, Order::Leave(_))) =>
                {
                    return;
                }
                Err(_) => thread::sleep(BIND_AGAIN),
            }
        };
        match begin(part, seed, &clock, events, socket, &own) {
            Ok((fleet, beside)) => serve(fleet, beside, &clock, &inbox, &own.bell),
            Err(e) => {
                error!(
                    target: part::CLUSTER,
                    error = %e,
                    "start failed: the node takes no part in the cluster"
                )
            }
        }
    };
    Ok((link, thread.spawn(waiting)?))
}

/// Between two tries to have the place where another process still listens.
const BIND_AGAIN: Duration = Duration::from_millis(20);

/// The part on its socket, and all that lives beside it.
fn begin(
    part: Part,
    seed: u64,
    clock: &impl Fn() -> ClockReading,
    events: Sender<Message>,
    socket: UdpSocket,
    link: &ClusterLink,
) -> io::Result<(Membership<MembershipHost>, ClusterThread)> {
    socket.set_nonblocking(true)?;
    let zone = part.settings.zone.clone();
    info!(
        target: part::CLUSTER,
        cluster = %part.settings.fleet,
        member = %part.settings.name,
        bind = %socket.local_addr()?,
        advertise = %part.settings.address,
        "started"
    );
    let teller = SharedStateHost {
        sent: Vec::new(),
        wants: (0, Vec::new()),
        free: false,
        events: events.clone(),
    };
    let shares = part.shares();
    let hands = MembershipHost {
        socket,
        parcels: Vec::new(),
        events,
        unseen: None,
        shown: None,
        shares,
        now: 0,
        pages: BTreeMap::new(),
        asked: Vec::new(),
        orders: Vec::new(),
    };
    let most = part.settings.bytes / madderpoint_membership::member_table::TYPICAL_ENTRY_BYTES + 16;
    let (rhythm, label) = (part.rhythm(), part.settings.settings.1);
    let fleet = Membership::new(part.settings, seed, clock(), hands)
        .map_err(|odd| io::Error::other(odd.to_string()))?;
    let (key, life) = fleet.identity();
    let me = ProcessId {
        key: key.0,
        incarnation: life.0,
    };
    let zone = zone_number(&zone);
    let poster = Poster {
        orders: link.orders.clone(),
        bell: Arc::clone(&link.bell),
    };
    let mut changes = Vec::new();
    for changing in part.changes {
        let context = RolloutContext {
            me: key,
            zone,
            voters: part.arbiters.clone(),
            operations: part.operations.clone(),
            objectives: part.objectives.clone(),
            bytes: part.change_bytes,
            seed: seed ^ life.0,
        };
        let poster = poster.clone();
        let results = Box::new(move |kind, result| poster.done(kind, result));
        changes.push(RolloutLink::start(clock(), changing, context, results)?);
    }
    let bank = (!part.arbiters.is_empty()).then(|| {
        let usual = shared_state::Config::with_defaults(me, part.arbiters, part.budgets, part.keys);
        let counted = (part.count_bytes / PROCESS_BYTES).max(4);
        let settings = shared_state::Config {
            zone,
            max_borrowers: most,
            quota_timing: rhythm,
            max_counted_processes: counted,
            quota_lender_bytes: part.key_bytes,
            ..usual
        };
        SharedState::new(settings, seed ^ life.0, clock().now, teller)
    });
    let health = part.service.map(|service| Health {
        service: MemberKey::of(&service.name).0,
        witnesses: HealthReports::new(WITNESSES),
        told: 0,
    });
    let beside = ClusterThread {
        bank,
        health,
        changes,
        label,
        operations: part.operations,
    };
    Ok((fleet, beside))
}

/// Zones as numbers, which is enough to tell them apart.
pub fn zone_number(zone: &str) -> u32 {
    (MemberKey::of(zone).0 >> 32) as u32
}

type Bank = Option<SharedState<SharedStateHost>>;

/// What lives in the fleet's thread beside the view.
struct ClusterThread {
    bank: Bank,
    health: Option<Health>,
    changes: Vec<RolloutLink>,
    /// What the node's counts are told by: the hash of its settings; and names of operations.
    label: u64,
    operations: Vec<String>,
}

/// What the nodes say to each other of the service below.
struct Health {
    service: u64,
    witnesses: HealthReports,
    told: u64,
}

/// Words of others about the service that are kept: a sample of a large fleet is enough.
const WITNESSES: usize = 256;
/// Members that a word goes to each time; where all is well only each so often.
const TELLS: usize = 3;
const TELLS_WELL: u64 = 4;

impl Health {
    /// This node sees so much: some others hear it, and the core hears what they say.
    fn seen(
        &mut self,
        fleet: &mut Membership<MembershipHost>,
        at: ClockReading,
        evidence: HealthReport,
    ) {
        self.told += 1;
        let is_well = evidence.failed == 0 && evidence.admitted_share >= 1.0;
        if evidence.calls > 0 && (!is_well || self.told.is_multiple_of(TELLS_WELL))
            || evidence.admitted_share < 1.0
        {
            let parcel = write_parcel(&SharedMessage::HealthReports(vec![(
                self.service,
                evidence,
            )]));
            for key in fleet.random_members(TELLS) {
                fleet.send_payload(at, key, SHARED, &parcel);
            }
        }
        let mut opinion = self.witnesses.aggregate(at.now, self.service);
        let (me, _) = fleet.identity();
        let members = fleet
            .member_table()
            .iter()
            .filter(|(_, entry)| entry.liveness().is_present());
        opinion.is_prober =
            service_health::is_prober(at.now, me.0, self.service, members.map(|(key, _)| key.0));
        opinion.is_alone = fleet.member_table().counts().present() <= 1;
        let _ = fleet
            .host
            .events
            .try_send(Message::Event(Event::AggregatedHealth(opinion)));
    }
}

fn serve(
    mut fleet: Membership<MembershipHost>,
    beside: ClusterThread,
    clock: &impl Fn() -> ClockReading,
    orders: &Receiver<Order>,
    bell: &OwnedFd,
) {
    let ClusterThread {
        mut bank,
        mut health,
        mut changes,
        mut label,
        operations,
    } = beside;
    loop {
        let next = bank
            .as_ref()
            .map_or(Nanos::MAX, SharedState::next_wake)
            .min(fleet.next_wake());
        let next = going_on(&changes)
            .map(|changes| changes.next_wake())
            .fold(next, Nanos::min);
        wait(&fleet, next, clock().now, bell);
        let mut count = [0; 8];
        let _ = rustix::io::read(bell, &mut count);
        for order in orders.try_iter() {
            match order {
                Order::ClusterUpdate(ClusterUpdate::Phase(phase)) => {
                    fleet.set_phase(clock(), phase)
                }
                Order::ClusterUpdate(ClusterUpdate::LoadHint { capacity, load }) => {
                    fleet.set_load_hint(capacity, load)
                }
                Order::ClusterUpdate(ClusterUpdate::BudgetRequests { at, requests }) => {
                    bank.iter_mut()
                        .for_each(|bank| bank.host.wants = (at, requests.clone()));
                }
                Order::ClusterUpdate(ClusterUpdate::QuotaRequest(asked)) => {
                    bank.iter_mut()
                        .for_each(|bank| bank.request_quota(clock().now, asked.clone()));
                }
                Order::ClusterUpdate(ClusterUpdate::HealthReport(evidence)) => {
                    health
                        .iter_mut()
                        .for_each(|health| health.seen(&mut fleet, clock(), evidence));
                }
                Order::ClusterUpdate(ClusterUpdate::Counters(mut word)) => {
                    let (key, life) = fleet.identity();
                    (word.process, word.version) = (
                        ProcessId {
                            key: key.0,
                            incarnation: life.0,
                        },
                        label,
                    );
                    if let Some((_, window)) = word.windows.iter_mut().next_back() {
                        window.gauges = gauges();
                    }
                    changes
                        .iter_mut()
                        .for_each(|changes| changes.record_local_counts(clock(), &word));
                    bank.iter_mut()
                        .for_each(|bank| bank.report_counters(clock().now, &word));
                    bank.iter_mut()
                        .for_each(|bank| tidy(bank, &fleet, clock().now));
                }
                Order::ClusterUpdate(ClusterUpdate::StatusSnapshot(mut shown)) => {
                    let now = clock().now;
                    bank.iter()
                        .for_each(|bank| shown.with_shared_state(now, bank, &operations));
                    shown.node = fleet.name().to_owned();
                    if let Some(entry) = fleet.member_table().get(MemberKey(shown.leader)) {
                        shown.leader_name = entry.name.to_string();
                    }
                    fleet.host.shown = Some((now, shown.encode_to_vec()));
                }
                Order::ClusterUpdate(ClusterUpdate::LeasesReleased(free)) => {
                    bank.iter_mut().for_each(|bank| bank.host.free = free)
                }
                Order::Reset(reset) => {
                    fleet.reconfigure(clock(), reset.keys, reset.seeds, reset.periods);
                    fleet.set_settings(clock(), reset.number);
                    label = reset.number.1;
                    if let Some(plan) = &reset.plan {
                        changes
                            .iter_mut()
                            .for_each(|changes| changes.set_plan(plan.clone()));
                    }
                    if let Some(bank) = &mut bank {
                        bank.update_limits(reset.budgets.clone(), reset.key_budgets);
                        let event = Event::BudgetsChanged(reset.budgets);
                        let _ = fleet.host.events.send(Message::Event(event));
                    }
                }
                Order::Done(kind, done) => {
                    if let Some(changes) = changes.iter_mut().find(|changes| changes.kind() == kind)
                    {
                        changes.task_done(clock(), done);
                    }
                }
                Order::Leave(handed) => {
                    changes.iter_mut().for_each(|changes| changes.leave(handed));
                    bank.iter_mut().for_each(|bank| bank.leave(clock().now));
                    post(&mut fleet, &mut bank, clock);
                    fleet.leave(clock());
                    thread::sleep(LEAVE_AGAIN);
                    return fleet.leave(clock());
                }
            }
        }
        read(&mut fleet, clock);
        if clock().now >= fleet.next_wake() {
            fleet.wake(clock());
        }
        // While another process is being started in this one's place nothing else changes.
        let hands_over = changes.iter().any(RolloutLink::hands_over);
        for (from, topic, parcel) in std::mem::take(&mut fleet.host.parcels) {
            if hands_over && topic == SETTINGS_CHANGES {
                continue;
            }
            if let Some(changes) = changes.iter_mut().find(|changes| is_about(changes, topic)) {
                changes.handle_message(clock(), MemberKey(from.key), &parcel);
                continue;
            }
            let told = if topic == SHARED {
                read_parcel(&parcel)
            } else {
                None
            };
            match (told, &mut bank, &mut health) {
                (Some(SharedMessage::HealthReports(all)), _, Some(health)) => {
                    let all = all
                        .into_iter()
                        .filter(|(service, _)| *service == health.service);
                    all.for_each(|(of, evidence)| {
                        health.witnesses.receive(clock().now, from, of, evidence)
                    });
                }
                (Some(told), Some(bank), _) => bank.receive(clock().now, from, told),
                _ => {}
            }
        }
        if let Some(bank) = bank.as_mut().filter(|bank| clock().now >= bank.next_wake()) {
            bank.wake(clock().now);
        }
        post(&mut fleet, &mut bank, clock);
        for (from, no, topic, order) in std::mem::take(&mut fleet.host.orders) {
            let of = changes.iter_mut().find(|changes| is_about(changes, topic));
            of.into_iter()
                .for_each(|changes| changes.handle_command(clock(), from, no, &order));
        }
        let asked = std::mem::take(&mut fleet.host.asked);
        for changes in changes
            .iter_mut()
            .filter(|of| !hands_over || of.kind() == Kind::Program)
        {
            changes.wake(
                clock(),
                &fleet,
                bank.as_ref().and_then(SharedState::cluster_counters),
            );
            changes.post(clock(), &mut fleet);
            let topic = topic(changes.kind());
            if asked.contains(&topic) {
                let shown = (clock().now, changes.status_snapshot(clock(), &fleet));
                fleet.host.pages.insert(topic, shown);
            }
        }
        if let Some(sight) = fleet.host.unseen.take() {
            fleet.host.cluster_view_changed(&sight);
        }
    }
}

/// Those that go on: while another process is being started in this one's place, only the
/// program's.
fn going_on(changes: &[RolloutLink]) -> impl Iterator<Item = &RolloutLink> {
    let hands_over = changes.iter().any(RolloutLink::hands_over);
    changes
        .iter()
        .filter(move |of| !hands_over || of.kind() == Kind::Program)
}

fn is_about(changes: &RolloutLink, of: u32) -> bool {
    topic(changes.kind()) == of
}

/// Sends what lending and borrowing have to say.
fn post(
    fleet: &mut Membership<MembershipHost>,
    bank: &mut Bank,
    clock: &impl Fn() -> ClockReading,
) {
    let says = bank.as_ref().is_some_and(|bank| !bank.host.sent.is_empty());
    if shared_state::messages::IS_LATER_VERSION && says {
        for key in fleet.random_members(1) {
            fleet.send_payload(
                clock(),
                key,
                SHARED,
                &shared_state::messages::unknown_kind_payload(),
            );
        }
    }
    for (to, told) in bank
        .iter_mut()
        .flat_map(|bank| std::mem::take(&mut bank.host.sent))
    {
        fleet.send_payload(clock(), MemberKey(to), SHARED, &write_parcel(&told));
    }
}

/// Waits for a datagram, a word or the next timer.
fn wait(fleet: &Membership<MembershipHost>, next: Nanos, now: Nanos, bell: &OwnedFd) {
    let time = Duration::from_nanos(next.saturating_sub(now));
    let time = Timespec::try_from(time).ok();
    let mut ready = [
        PollFd::new(&fleet.host.socket, PollFlags::IN),
        PollFd::new(bell, PollFlags::IN),
    ];
    match poll(&mut ready, time.as_ref()) {
        Ok(_) | Err(Errno::INTR) => {}
        Err(e) => {
            warn!(target: part::CLUSTER, error = %e, "poll failed");
            thread::sleep(Duration::from_millis(100)); // so that what fails each time takes no core
        }
    }
}

/// Memory in KB and descriptors of this process.
fn gauges() -> [u64; 2] {
    let pages = std::fs::read_to_string("/proc/self/statm").ok();
    let pages = pages
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok())
        .unwrap_or(0);
    let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, |all| all.count() as u64);
    [
        pages * rustix::param::page_size() as u64 / 1024,
        descriptors,
    ]
}

/// Has an arbiter add those up who are gone.
fn tidy(bank: &mut SharedState<SharedStateHost>, fleet: &Membership<MembershipHost>, now: Nanos) {
    let is_there = |who: ProcessId| {
        let entry = fleet.member_table().get(MemberKey(who.key));
        entry.is_some_and(|entry| {
            entry.epoch.incarnation.0 == who.incarnation && entry.liveness().is_present()
        })
    };
    bank.retire_processes(now, is_there);
}

fn read(fleet: &mut Membership<MembershipHost>, clock: &impl Fn() -> ClockReading) {
    fleet.host.now = clock().now;
    // One byte more than a datagram may have, so that a larger one is known for it.
    let mut buffer = [0; DATAGRAM_MAX + 1];
    for _ in 0..TURN {
        match fleet.host.socket.recv_from(&mut buffer) {
            Ok((n, from)) => fleet.on_datagram(clock(), from, &buffer[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(_) => {} // a port that nobody listens on: it will be found dead
        }
    }
}
