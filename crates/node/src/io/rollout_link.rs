//! A node's part in changes of its settings or its program, beside its part in the fleet: words
//! travel as the fleet's parcels, what takes time (checks, writes, what takes force) is done by a
//! thread of its own, and neither waits for the other.

use super::STACK;
use super::cluster_link::{Done, Poster};
use crossbeam_channel::{Receiver, Sender, bounded};
use madderpoint_membership::{
    Attachment as AttachmentMessage, ClockReading, Host as FleetHost, Liveness, MemberKey,
    Membership, Nanos,
};
use madderpoint_rollout::cohort_metrics::{OperationCounts, WindowSample};
use madderpoint_rollout::coordinator::Member;
use madderpoint_rollout::messages::{self, CommandReply, OperatorCommand, ReceivedMessage};
use madderpoint_rollout::node_agent::{Host, InitialState, LocalMetrics};
use madderpoint_rollout::status::{Names, StatusSnapshot};
use madderpoint_rollout::{
    Kind, NodeReport, Participant, PersistedState, Plan, RolloutId, Version,
};
use madderpoint_shared_state::counters::{
    ClusterCounters, CounterReport, PROCESS_ROW, ProcessWindow, WINDOW_MS, operation_column,
    process_column,
};
use madderpoint_shared_state::keyed_quota::name_hash;
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::thread;
use std::time::Duration;

/// The topics of parcels, pages, orders and parts of entries.
pub const SETTINGS_CHANGES: u32 = 2;
pub const PROGRAM_CHANGES: u32 = 3;
/// Between two looks at what is due, and at what nodes counted.
const WAKE: Nanos = 200_000_000;
const LOOK: Nanos = 1_000_000_000;
/// What the thread that checks and writes may have before it: one thing of each kind is asked for
/// at a time.
const TASKS: usize = 8;
/// A node's record takes about so much, for each side of a change: two dozen operations' parts.
const NODE_RECORD: usize = 12 << 10;
/// What takes less than this part of the latency objective is quick enough for any caller; in the
/// histogram's units.
const QUICK: Nanos = 10;
const TENTH: Nanos = 100_000;
/// How long a node that leaves waits for what it writes last.
const LEAVES: Duration = Duration::from_millis(300);
/// Answers that wait for the fleet's part to send them.
const ANSWERS: usize = 32;

/// The topic of a kind.
pub fn topic(kind: Kind) -> u32 {
    match kind {
        Kind::Settings => SETTINGS_CHANGES,
        Kind::Program => PROGRAM_CHANGES,
    }
}

/// What a change does to this node, and where versions are kept. It may take its time: it has a
/// thread.
pub trait Versions: Send {
    /// Looks whether this can be run here, and says which version it is.
    fn check(
        &mut self,
        version: Option<Version>,
        content: Option<&[u8]>,
    ) -> Result<Version, String>;
    /// Writes what is kept.
    fn keep(
        &mut self,
        kept: &PersistedState,
        content: Option<(Version, &[u8])>,
    ) -> Result<(), String>;
    /// Runs a version from here on.
    fn apply(&mut self, version: Version) -> Result<(), String>;
}

/// A node's part in changes of one kind.
pub struct Changing {
    /// What the node starts with.
    pub start: InitialState,
    /// How a change that is offered here goes out.
    pub plan: Plan,
    pub versions: Box<dyn Versions>,
}

impl std::fmt::Debug for Changing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Changing")
            .field("start", &self.start)
            .field("plan", &self.plan)
            .finish_non_exhaustive()
    }
}

enum Task {
    Check {
        change: RolloutId,
        version: Version,
        content: Option<Vec<u8>>,
    },
    LookInto {
        no: u64,
        version: Option<Version>,
        content: Option<Vec<u8>>,
    },
    Keep {
        no: u64,
        kept: Box<PersistedState>,
        content: Option<(Version, Vec<u8>)>,
    },
    Apply(Version),
}

fn work(kind: Kind, mut versions: Box<dyn Versions>, tasks: &Receiver<Task>, poster: &Poster) {
    for task in tasks {
        let done = match task {
            Task::Check {
                change,
                version,
                content,
            } => {
                let found = versions.check(Some(version), content.as_deref());
                let found = found.and_then(|found| match found == version {
                    true => Ok(()),
                    false => Err(format!("it says that it is version {found}, not {version}")),
                });
                Done::Checked(change, found)
            }
            Task::LookInto {
                no,
                version,
                content,
            } => Done::LookedInto(no, versions.check(version, content.as_deref())),
            Task::Keep { no, kept, content } => {
                let content = content
                    .as_ref()
                    .map(|(version, content)| (*version, content.as_slice()));
                Done::Kept(no, versions.keep(&kept, content))
            }
            Task::Apply(version) => Done::Applied(version, versions.apply(version)),
        };
        poster.done(kind, done);
    }
}

/// What the part does to the world.
struct RolloutHost {
    kind: Kind,
    me: u64,
    sent: Vec<(u64, ReceivedMessage)>,
    tasks: Sender<Task>,
    shown: Option<NodeReport>,
    members: Vec<Member>,
    digests: Vec<(u64, u64)>,
    windows: Vec<(u64, Vec<WindowSample>)>,
    rng: Pcg64Mcg,
}

impl RolloutHost {
    fn task(&mut self, task: Task) {
        // What finds no room is asked for again.
        let _ = self.tasks.try_send(task);
    }
}

impl Host for RolloutHost {
    fn send(&mut self, to: u64, told: ReceivedMessage) {
        self.sent.push((to, told));
    }
    fn log(&mut self, line: &str) {
        let part = match self.kind {
            Kind::Settings => "settings",
            Kind::Program => "program",
        };
        crate::log::event("rollout", part, format_args!("{part}: {line}"));
    }
    fn some(&mut self, most: usize) -> Vec<u64> {
        let others = self
            .members
            .iter()
            .filter(|member| member.there && member.node != self.me);
        let there: Vec<u64> = others.map(|member| member.node).collect();
        (0..most.min(there.len()))
            .map(|_| there[self.rng.random_range(0..there.len())])
            .collect()
    }
    fn differs(&mut self, digest: u64) -> Option<u64> {
        // From a place of its own on, so that not all ask the same one.
        let from = if self.digests.is_empty() {
            0
        } else {
            self.rng.random_range(0..self.digests.len())
        };
        let (before, after) = self.digests.split_at(from);
        after
            .iter()
            .chain(before)
            .find(|(_, other)| *other != digest)
            .map(|(node, _)| *node)
    }
    fn show(&mut self, report: &NodeReport) {
        self.shown = Some(report.clone());
    }
    fn check(&mut self, change: RolloutId, version: Version, content: Option<Vec<u8>>) {
        self.task(Task::Check {
            change,
            version,
            content,
        });
    }
    fn look_into(&mut self, no: u64, version: Option<Version>, content: Option<Vec<u8>>) {
        self.task(Task::LookInto {
            no,
            version,
            content,
        });
    }
    fn keep(&mut self, no: u64, kept: &PersistedState, content: Option<(Version, Vec<u8>)>) {
        self.task(Task::Keep {
            no,
            kept: Box::new(kept.clone()),
            content,
        });
    }
    fn apply(&mut self, version: Version) {
        self.task(Task::Apply(version));
    }
    fn members(&mut self) -> Vec<Member> {
        self.members.clone()
    }
    fn windows(&mut self, from: u64, until: u64) -> Vec<(u64, Vec<WindowSample>)> {
        self.windows
            .iter()
            .filter(|(window, _)| (from..=until).contains(window))
            .cloned()
            .collect()
    }
}

/// Who takes part, and how much of it may be kept.
pub struct Among {
    pub me: MemberKey,
    pub zone: u32,
    pub arbiters: Vec<u64>,
    pub operations: Vec<String>,
    pub objectives: Vec<Nanos>,
    pub bytes: usize,
    pub seed: u64,
}

/// The part.
pub struct Changes {
    rollout: Participant<RolloutHost>,
    kind: Kind,
    next: Nanos,
    looked: Nanos,
    operations: Vec<String>,
    /// Ends with the thread that checks and writes.
    worker: Receiver<()>,
    answers: VecDeque<(std::net::SocketAddr, u32, CommandReply)>,
    /// Whether another process has taken this one's place.
    handed: bool,
}

struct Called<'a, H: FleetHost> {
    fleet: &'a Membership<H>,
    operations: &'a [String],
}

impl<H: FleetHost> Names for Called<'_, H> {
    fn node(&self, key: u64) -> Option<(String, String)> {
        let entry = self.fleet.view().get(MemberKey(key))?;
        Some((entry.name.to_string(), entry.details.zone.to_string()))
    }
    fn operation(&self, row: u32) -> String {
        let name = self.operations.iter().find(|name| name_hash(name) == row);
        name.cloned().unwrap_or_else(|| format!("{row:08x}"))
    }
}

impl Changes {
    /// Starts the part, and the thread that checks and writes.
    pub fn start(
        at: ClockReading,
        changing: Changing,
        among: Among,
        poster: Poster,
    ) -> io::Result<Changes> {
        let Changing {
            start,
            plan,
            versions,
        } = changing;
        let Among {
            me,
            zone,
            arbiters,
            operations,
            objectives,
            bytes,
            seed,
        } = among;
        let kind = start.kept.kind;
        let (tasks, inbox) = bounded(TASKS);
        // Settings are read there, whose expressions nest in each other.
        let thread = thread::Builder::new()
            .name("versions".into())
            .stack_size(8 * STACK);
        let (ends, worker) = bounded(0);
        thread.spawn(move || {
            let _ends: Sender<()> = ends;
            work(kind, versions, &inbox, &poster);
        })?;
        let rng = Pcg64Mcg::seed_from_u64(seed ^ me.0 ^ topic(kind) as u64);
        let hands = RolloutHost {
            kind,
            me: me.0,
            sent: Vec::new(),
            tasks,
            shown: None,
            members: vec![Member {
                node: me.0,
                zone,
                there: true,
            }],
            digests: Vec::new(),
            windows: Vec::new(),
            rng,
        };
        let mut rollout = Participant::new(
            at.now,
            at.unix_ms,
            (me.0, zone),
            start,
            arbiters,
            WINDOW_MS,
            hands,
        );
        let names = operations
            .iter()
            .map(|name| (name_hash(name), name.clone()))
            .collect();
        let quick = operations.iter().zip(&objectives);
        let quick = quick
            .map(|(name, objective)| (name_hash(name), (objective / QUICK / TENTH) as u32))
            .collect();
        rollout.conduct = rollout
            .conduct
            .with_names(names)
            .with_room(bytes / NODE_RECORD)
            .with_quick(quick);
        rollout.plan = plan;
        let answers = VecDeque::new();
        Ok(Changes {
            rollout,
            kind,
            next: 0,
            looked: 0,
            operations,
            worker,
            answers,
            handed: false,
        })
    }

    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// When there is something to do next.
    pub fn next(&self) -> Nanos {
        self.next
    }

    /// New settings tell how changes go out.
    pub fn set_plan(&mut self, plan: Plan) {
        self.rollout.plan = plan;
    }

    /// Something was told.
    pub fn told(&mut self, at: ClockReading, from: MemberKey, parcel: &[u8]) {
        if let Some(told) = messages::read(parcel) {
            self.rollout.told(at.now, at.unix_ms, from.0, told);
        }
    }

    /// The thread did something.
    pub fn done(&mut self, at: ClockReading, done: Done) {
        let rollout = &mut self.rollout;
        self.handed |= self.kind == Kind::Program && matches!(&done, Done::Applied(_, Ok(())));
        match done {
            Done::Checked(change, found) => rollout.local.checked(at.now, change, found),
            Done::LookedInto(no, found) => rollout.looked_into(at.now, at.unix_ms, no, found),
            Done::Kept(no, result) => rollout.local.kept(at.now, no, result),
            Done::Applied(version, result) => {
                rollout.local.applied(at.now, at.unix_ms, version, result)
            }
        }
    }

    /// An operator orders something.
    pub fn order(&mut self, at: ClockReading, from: std::net::SocketAddr, no: u32, order: &[u8]) {
        let answer = match OperatorCommand::decode(order) {
            Ok(order) => self.rollout.order(at.now, at.unix_ms, &order),
            Err(_) => CommandReply {
                state: 2,
                why: "this order can't be read".into(),
                change: 0,
            },
        };
        if self.answers.len() < ANSWERS {
            self.answers.push_back((from, no, answer));
        }
    }

    /// What this node counted so far.
    pub fn counted(&mut self, at: ClockReading, word: &CounterReport) {
        let mut sum = LocalMetrics::default();
        for (row, numbers) in &word.total {
            if *row == PROCESS_ROW {
                sum.invariants += numbers[process_column::INVARIANT_VIOLATIONS];
                continue;
            }
            sum.arrived += numbers[operation_column::ARRIVED];
            sum.succeeded += numbers[operation_column::SUCCEEDED];
            sum.errored += numbers[operation_column::FAILED];
        }
        self.rollout.own(at.now, at.unix_ms, sum);
    }

    /// Does what is due: what the fleet and its counts look like is taken up first.
    pub fn wake<H: FleetHost>(
        &mut self,
        at: ClockReading,
        fleet: &Membership<H>,
        counts: Option<&ClusterCounters>,
    ) {
        if at.now < self.next {
            return;
        }
        self.next = at.now + WAKE;
        let topic = topic(self.kind);
        let (mut members, mut digests) = (Vec::new(), Vec::new());
        let (me, _) = fleet.me();
        for (key, entry) in fleet.view().iter() {
            let there = entry.status().is_present();
            if entry.status() == Liveness::Left {
                continue;
            }
            members.push(Member {
                node: key.0,
                zone: super::zone_number(&entry.details.zone),
                there,
            });
            let part = entry.details.parts.iter().find(|part| part.id == topic);
            if let Some(report) = part
                .filter(|_| there && key != me)
                .and_then(|p| messages::read_part(&p.bytes))
            {
                digests.push((key.0, report.digest));
            }
        }
        let hands = &mut self.rollout.local.host;
        (hands.members, hands.digests) = (members, digests);
        self.look(at, fleet, counts);
        self.rollout.wake(at.now, at.unix_ms);
    }

    /// An arbiter takes up what all nodes counted, while a change is under way.
    fn look<H: FleetHost>(
        &mut self,
        at: ClockReading,
        fleet: &Membership<H>,
        counts: Option<&ClusterCounters>,
    ) {
        let Participant { local, conduct, .. } = &self.rollout;
        let under_way = local.changes().under_way(self.kind).map(|change| change.id);
        let (Some(change), Some(counts)) = (under_way.filter(|_| conduct.is_arbiter()), counts)
        else {
            return;
        };
        let recorded = conduct
            .record()
            .is_some_and(|record| record.change == change);
        if recorded && at.now < self.looked + LOOK {
            return;
        }
        self.looked = at.now;
        let from = conduct
            .wants_counts(local.changes())
            .filter(|_| recorded)
            .unwrap_or(0);
        self.rollout.local.host.windows = samples(self.kind, fleet, counts, from);
    }

    /// Sends and shows what there is to say.
    pub fn post<H: FleetHost>(&mut self, at: ClockReading, fleet: &mut Membership<H>) {
        let topic = topic(self.kind);
        // What this node tells itself as an arbiter, as one who conducts and as a member stays
        // here, and may be answered.
        while !self.rollout.local.host.sent.is_empty() {
            for (to, told) in std::mem::take(&mut self.rollout.local.host.sent) {
                if to == self.rollout.local.me() {
                    self.rollout.told(at.now, at.unix_ms, to, told);
                } else {
                    fleet.send_parcel(at, MemberKey(to), topic, &messages::write(&told));
                }
            }
        }
        if messages::LATER && self.next == at.now + WAKE {
            for to in self.rollout.local.host.some(1) {
                fleet.send_parcel(at, MemberKey(to), topic, &messages::later_kind());
            }
        }
        if let Some(report) = self.rollout.local.host.shown.take() {
            let part = AttachmentMessage {
                id: topic,
                version: 1,
                bytes: messages::write_part(&report),
            };
            let _ = fleet.set_part(at, part); // one that does not fit is counted there
        }
        while let Some((to, no, answer)) = self.answers.pop_front() {
            fleet.ordered(at, to, no, topic, &answer.encode_to_vec());
        }
    }

    /// All that is known of changes, to be shown.
    pub fn show<H: FleetHost>(&self, at: ClockReading, fleet: &Membership<H>) -> Vec<u8> {
        let topic = topic(self.kind);
        let Participant { local, conduct, .. } = &self.rollout;
        let members: Vec<(Member, Option<NodeReport>)> = local
            .host
            .members
            .iter()
            .map(|member| {
                let entry = fleet.view().get(MemberKey(member.node));
                let part = entry.and_then(|e| e.details.parts.iter().find(|part| part.id == topic));
                (
                    *member,
                    part.and_then(|part| messages::read_part(&part.bytes)),
                )
            })
            .collect();
        let names = Called {
            fleet,
            operations: &self.operations,
        };
        let mut shown = StatusSnapshot::of(at.unix_ms, local, conduct, &members, &names);
        shown.window_ms = WINDOW_MS;
        let alone: Vec<Member> = members.iter().map(|(member, _)| *member).collect();
        let conductor = conduct
            .conductor(&alone)
            .and_then(|key| fleet.view().get(MemberKey(key)));
        shown.conductor_at =
            conductor.map_or_else(String::new, |entry| entry.details.address.to_string());
        shown.encode_to_vec()
    }

    /// Whether another process is being started to take this one's place: nothing else may change
    /// then.
    pub fn hands_over(&self) -> bool {
        self.kind == Kind::Program && (self.handed || self.rollout.local.is_applying())
    }

    /// The node ends, by notice: what it had on trial did not die, and that is written before the
    /// process is gone. Where another process takes its place, that one has it on trial, and
    /// writes.
    pub fn leave(&mut self, handed: bool) {
        let kept = Box::new(self.rollout.local.leave());
        let (tasks, _) = bounded(0);
        let tasks = std::mem::replace(&mut self.rollout.local.host.tasks, tasks);
        if !handed {
            let _ = tasks.try_send(Task::Keep {
                no: 0,
                kept,
                content: None,
            });
        }
        drop(tasks);
        // A disk that takes longer leaves the note of a trial behind: then that counts as a death,
        // which is the safe side.
        let _ = self.worker.recv_timeout(LEAVES);
    }
}

/// What nodes counted, by window, from this window on.
fn samples<H: FleetHost>(
    kind: Kind,
    fleet: &Membership<H>,
    counts: &ClusterCounters,
    from: u64,
) -> Vec<(u64, Vec<WindowSample>)> {
    let mut all: BTreeMap<u64, BTreeMap<u64, WindowSample>> = BTreeMap::new();
    for ProcessWindow {
        process: who,
        number: window,
        version: label,
        is_first: first,
        window: counted,
    } in counts.windows(from)
    {
        let Some(entry) = fleet.view().get(MemberKey(who.key)) else {
            continue;
        };
        // A program is another process; what it runs is what the process says on its entry.
        let label = match kind {
            Kind::Settings => label,
            Kind::Program if entry.epoch.life.0 == who.incarnation => {
                let part = entry
                    .details
                    .parts
                    .iter()
                    .find(|part| part.id == PROGRAM_CHANGES);
                match part.and_then(|part| messages::read_part(&part.bytes)) {
                    Some(report) => report.running.hash,
                    None => continue,
                }
            }
            Kind::Program => continue,
        };
        let mut sample = WindowSample {
            node: who.key,
            zone: super::zone_number(&entry.details.zone),
            label,
            cold: first,
            memory_kb: counted.gauges[0],
            descriptors: counted.gauges[1],
            ..WindowSample::default()
        };
        for (row, numbers) in &counted.rows {
            if *row == PROCESS_ROW {
                sample.invariants = numbers[process_column::INVARIANT_VIOLATIONS];
                continue;
            }
            let cell = OperationCounts {
                arrived: numbers[operation_column::ARRIVED],
                succeeded: numbers[operation_column::SUCCEEDED],
                throttled: numbers[operation_column::REJECTED],
                errored: numbers[operation_column::FAILED],
                late: numbers[operation_column::LATE],
                earned: numbers[operation_column::EARNED_WEIGHT],
                asked: numbers[operation_column::OFFERED_WEIGHT],
                ..OperationCounts::default()
            };
            let latencies = counted.latency.get(row).cloned().unwrap_or_default();
            sample.operations.insert(*row, (cell, latencies));
        }
        // Of two processes under one name in a window the one that did more tells of it.
        let arrived = |sample: &WindowSample| {
            sample
                .operations
                .values()
                .map(|(cell, _)| cell.arrived)
                .sum::<u64>()
        };
        match all.entry(window).or_default().entry(who.key) {
            std::collections::btree_map::Entry::Vacant(place) => _ = place.insert(sample),
            std::collections::btree_map::Entry::Occupied(mut held) => {
                if arrived(&sample) > arrived(held.get()) {
                    held.insert(sample);
                }
            }
        }
    }
    all.into_iter()
        .map(|(window, nodes)| (window, nodes.into_values().collect()))
        .collect()
}
