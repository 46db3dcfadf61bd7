//! A node's part in rollouts of its settings or its program, beside its part in the cluster: its
//! messages travel as the membership's payloads, what takes time (checks, writes, swaps) is done by
//! a thread of its own ([`version_worker`]), and neither waits for the other.
//!
//! The thread of the cluster link owns it and calls it: [`RolloutLink::handle_message`] and
//! [`RolloutLink::handle_command`] for what comes, [`RolloutLink::task_done`] for what the worker
//! did, [`RolloutLink::wake`] and [`RolloutLink::post`] in turn.

mod host;
mod status;
mod version_worker;
mod window_samples;

use super::threads::STACK;
use crossbeam_channel::{Receiver, Sender, bounded};
use host::RolloutHost;
use madderpoint_membership::{
    Attachment, ClockReading, Host as MembershipHost, Liveness, MemberKey, Membership, Nanos,
};
use madderpoint_rollout::messages::{self, CommandReply, OperatorCommand};
use madderpoint_rollout::node_agent::{InitialState, LocalMetrics, NodeIdentity};
use madderpoint_rollout::operator_commands::state;
use madderpoint_rollout::{Host as _, Kind, Member, Participant, Plan};
use madderpoint_shared_state::counters::{
    ClusterCounters, CounterReport, PROCESS_ROW, WINDOW_MS, operation_column, process_column,
};
use madderpoint_shared_state::keyed_quota::name_hash;
use prost::Message as _;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
pub use version_worker::{ResultSender, TaskResult, VersionError, Versions};
use version_worker::{Task, work};
use window_samples::samples;

/// The topic of rollouts of settings, for payloads, pages, commands and attachments.
pub const SETTINGS_ROLLOUT_TOPIC: u32 = 2;
/// The same of the program.
pub const PROGRAM_ROLLOUT_TOPIC: u32 = 3;
/// Time between two wake-ups.
const WAKE_INTERVAL: Nanos = 200_000_000;
/// Time between two looks at what nodes counted, while a rollout is in progress.
const COUNTS_INTERVAL: Nanos = 1_000_000_000;
/// Tasks that the worker may have before it: one of each kind is asked for at a time.
const QUEUED_TASKS: usize = 8;
/// Bytes that a node takes in the metrics, for each end of the rollout's order, with two dozen
/// operations.
const NODE_RECORD_BYTES: usize = 12 << 10;
/// A latency below the latency objective divided by this is never slow.
const OBJECTIVE_DIVISOR: Nanos = 10;
/// The unit of the latency histograms: a tenth of a millisecond.
const HISTOGRAM_UNIT: Nanos = 100_000;
/// How long a node that leaves waits for its last write.
const LAST_WRITE_WAIT: Duration = Duration::from_millis(300);
/// Replies to commands that may wait to be sent.
const QUEUED_REPLIES: usize = 32;

/// The topic of rollouts of a kind.
pub fn topic(kind: Kind) -> u32 {
    match kind {
        Kind::Settings => SETTINGS_ROLLOUT_TOPIC,
        Kind::Program => PROGRAM_ROLLOUT_TOPIC,
    }
}

/// What a node's part in rollouts of one kind starts with.
pub struct RolloutSetup {
    /// What was on the node's disk.
    pub start: InitialState,
    /// The plan of rollouts that are offered here.
    pub plan: Plan,
    /// What checks, stores and applies versions.
    pub versions: Box<dyn Versions>,
}

impl std::fmt::Debug for RolloutSetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RolloutSetup")
            .field("start", &self.start)
            .field("plan", &self.plan)
            .finish_non_exhaustive()
    }
}

/// The node among the others, and how much its part may keep.
pub struct RolloutContext {
    /// The key of its name.
    pub me: MemberKey,
    /// The number of its zone.
    pub zone: u32,
    /// The keys of the voters, in the order in which they coordinate.
    pub voters: Vec<u64>,
    /// Names of the operations.
    pub operations: Vec<String>,
    /// Their latency objectives.
    pub objectives: Vec<Nanos>,
    /// Bytes for the metrics.
    pub bytes: usize,
    /// Seeds what is random.
    pub seed: u64,
}

/// A reply that waits to be sent.
struct QueuedReply {
    to: SocketAddr,
    number: u32,
    reply: CommandReply,
}

/// A node's part in rollouts of one kind.
pub struct RolloutLink {
    participant: Participant<RolloutHost>,
    kind: Kind,
    next_wake: Nanos,
    counts_seen: Nanos,
    operations: Vec<String>,
    /// Disconnected once the worker has ended.
    worker_ended: Receiver<()>,
    replies: VecDeque<QueuedReply>,
    /// Whether another process has taken this one's place.
    handed_over: bool,
}

impl RolloutLink {
    /// Starts the part, and the thread that checks and writes.
    pub fn start(
        at: ClockReading,
        setup: RolloutSetup,
        context: RolloutContext,
        results: ResultSender,
    ) -> io::Result<RolloutLink> {
        let RolloutSetup {
            start,
            plan,
            versions,
        } = setup;
        let kind = start.persisted.kind;
        let (tasks, inbox) = bounded(QUEUED_TASKS);
        // Settings are read there, whose expressions nest in each other.
        let thread = thread::Builder::new()
            .name("versions".into())
            .stack_size(8 * STACK);
        let (ended, worker_ended) = bounded(0);
        thread.spawn(move || {
            let _ended: Sender<()> = ended;
            work(kind, versions, &inbox, &results);
        })?;
        let host = RolloutHost {
            kind,
            me: context.me.0,
            sent: Vec::new(),
            tasks,
            shown: None,
            members: vec![Member {
                node: context.me.0,
                zone: context.zone,
                present: true,
            }],
            digests: Vec::new(),
            windows: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(context.seed ^ context.me.0 ^ topic(kind) as u64),
        };
        Ok(RolloutLink {
            participant: participant(at, start, plan, &context, host),
            kind,
            next_wake: 0,
            counts_seen: 0,
            operations: context.operations,
            worker_ended,
            replies: VecDeque::new(),
            handed_over: false,
        })
    }

    /// What its rollouts change.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// When it wants to be woken next.
    pub fn next_wake(&self) -> Nanos {
        self.next_wake
    }

    /// Sets the plan of rollouts that are offered here from now on.
    pub fn set_plan(&mut self, plan: Plan) {
        self.participant.plan = plan;
    }

    /// Takes up a message of another node.
    pub fn handle_message(&mut self, at: ClockReading, from: MemberKey, parcel: &[u8]) {
        if let Some(message) = messages::decode(parcel) {
            self.participant
                .handle_message(at.now, at.unix_ms, from.0, message);
        }
    }

    /// Takes up what the worker did.
    pub fn task_done(&mut self, at: ClockReading, result: TaskResult) {
        let participant = &mut self.participant;
        self.handed_over |=
            self.kind == Kind::Program && matches!(&result, TaskResult::Applied(_, Ok(())));
        match result {
            TaskResult::Checked(rollout, result) => {
                participant.agent.check_finished(at.now, rollout, result)
            }
            TaskResult::OfferChecked(no, found) => {
                participant.offer_checked(at.now, at.unix_ms, no, found)
            }
            TaskResult::Persisted(no, result) => {
                participant.agent.persist_finished(at.now, no, result)
            }
            TaskResult::Applied(version, result) => participant
                .agent
                .apply_finished(at.now, at.unix_ms, version, result),
        }
    }

    /// Takes up an operator's command; the reply is sent with the next [`RolloutLink::post`].
    pub fn handle_command(
        &mut self,
        at: ClockReading,
        from: SocketAddr,
        number: u32,
        command: &[u8],
    ) {
        let reply = match OperatorCommand::decode(command) {
            Ok(command) => self
                .participant
                .handle_command(at.now, at.unix_ms, &command),
            Err(_) => CommandReply {
                state: state::REJECTED,
                why: "this order can't be read".into(),
                rollout: 0,
            },
        };
        if self.replies.len() < QUEUED_REPLIES {
            self.replies.push_back(QueuedReply {
                to: from,
                number,
                reply,
            });
        }
    }

    /// Takes up what this node counted so far.
    pub fn record_local_counts(&mut self, at: ClockReading, report: &CounterReport) {
        let mut sum = LocalMetrics::default();
        for (row, numbers) in &report.total {
            if *row == PROCESS_ROW {
                sum.invariants += numbers[process_column::INVARIANT_VIOLATIONS];
                continue;
            }
            sum.arrived += numbers[operation_column::ARRIVED];
            sum.succeeded += numbers[operation_column::SUCCEEDED];
            sum.errored += numbers[operation_column::FAILED];
        }
        self.participant
            .record_local_metrics(at.now, at.unix_ms, sum);
    }

    /// Does what is due, by what the membership and its counts look like now.
    pub fn wake<H: MembershipHost>(
        &mut self,
        at: ClockReading,
        membership: &Membership<H>,
        counts: Option<&ClusterCounters>,
    ) {
        if at.now < self.next_wake {
            return;
        }
        self.next_wake = at.now + WAKE_INTERVAL;
        let topic = topic(self.kind);
        let (mut members, mut digests) = (Vec::new(), Vec::new());
        let (me, _) = membership.identity();
        for (key, entry) in membership.member_table().iter() {
            let present = entry.liveness().is_present();
            if entry.liveness() == Liveness::Left {
                continue;
            }
            members.push(Member {
                node: key.0,
                zone: super::zone_number(&entry.details.zone),
                present,
            });
            let part = entry
                .details
                .attachments
                .iter()
                .find(|part| part.id == topic);
            if let Some(report) = part
                .filter(|_| present && key != me)
                .and_then(|p| messages::decode_attachment(&p.bytes))
            {
                digests.push((key.0, report.digest));
            }
        }
        let host = &mut self.participant.agent.host;
        (host.members, host.digests) = (members, digests);
        self.refresh_windows(at, membership, counts);
        self.participant.wake(at.now, at.unix_ms);
    }

    /// A voter takes up what all nodes counted, while a rollout is under way.
    fn refresh_windows<H: MembershipHost>(
        &mut self,
        at: ClockReading,
        membership: &Membership<H>,
        counts: Option<&ClusterCounters>,
    ) {
        let Participant {
            agent, coordinator, ..
        } = &self.participant;
        let in_progress = agent
            .rollouts()
            .in_progress(self.kind)
            .map(|rollout| rollout.id);
        let (Some(rollout), Some(counts)) =
            (in_progress.filter(|_| coordinator.is_voter()), counts)
        else {
            return;
        };
        let recorded = coordinator
            .metrics()
            .is_some_and(|record| record.rollout == rollout);
        if recorded && at.now < self.counts_seen + COUNTS_INTERVAL {
            return;
        }
        self.counts_seen = at.now;
        let from = coordinator
            .next_wanted_window(agent.rollouts())
            .filter(|_| recorded)
            .unwrap_or(0);
        self.participant.agent.host.windows = samples(self.kind, membership, counts, from);
    }

    /// Sends and shows what there is to say.
    pub fn post<H: MembershipHost>(&mut self, at: ClockReading, membership: &mut Membership<H>) {
        let topic = topic(self.kind);
        // What this node tells itself as a voter, as the coordinator and as a member stays
        // here, and may be answered.
        while !self.participant.agent.host.sent.is_empty() {
            for (to, message) in std::mem::take(&mut self.participant.agent.host.sent) {
                if to == self.participant.agent.me() {
                    self.participant
                        .handle_message(at.now, at.unix_ms, to, message);
                } else {
                    membership.send_payload(at, MemberKey(to), topic, &messages::encode(&message));
                }
            }
        }
        if messages::LATER && self.next_wake == at.now + WAKE_INTERVAL {
            for to in self.participant.agent.host.random_peers(1) {
                membership.send_payload(at, MemberKey(to), topic, &messages::later_kind());
            }
        }
        if let Some(report) = self.participant.agent.host.shown.take() {
            let part = Attachment {
                id: topic,
                version: 1,
                bytes: messages::encode_attachment(&report),
            };
            let _ = membership.set_attachment(at, part); // one that does not fit is counted there
        }
        while let Some(queued) = self.replies.pop_front() {
            membership.answer_command(
                at,
                queued.to,
                queued.number,
                topic,
                &queued.reply.encode_to_vec(),
            );
        }
    }

    /// Whether another process is being started to take this one's place: nothing else may change
    /// then.
    pub fn hands_over(&self) -> bool {
        self.kind == Kind::Program && (self.handed_over || self.participant.agent.is_applying())
    }

    /// The node ends, by notice: what it had on trial did not die, and that is written before the
    /// process is gone. Where another process takes its place, that one has it on trial, and
    /// writes.
    pub fn leave(&mut self, handed_over: bool) {
        let persisted = Box::new(self.participant.agent.leave());
        let (tasks, _) = bounded(0);
        let tasks = std::mem::replace(&mut self.participant.agent.host.tasks, tasks);
        if !handed_over {
            let _ = tasks.try_send(Task::Persist {
                no: 0,
                persisted,
                content: None,
            });
        }
        drop(tasks);
        // A disk that takes longer leaves the note of a trial behind: then that counts as a death,
        // which is the safe side.
        let _ = self.worker_ended.recv_timeout(LAST_WRITE_WAIT);
    }
}

/// The part of a node that has just started.
fn participant(
    at: ClockReading,
    start: InitialState,
    plan: Plan,
    context: &RolloutContext,
    host: RolloutHost,
) -> Participant<RolloutHost> {
    let identity = NodeIdentity {
        key: context.me.0,
        zone: context.zone,
    };
    let mut participant = Participant::new(
        at.now,
        at.unix_ms,
        identity,
        start,
        context.voters.clone(),
        WINDOW_MS,
        host,
    );
    let names = context
        .operations
        .iter()
        .map(|name| (name_hash(name), name.clone()))
        .collect();
    let fast_enough = context
        .operations
        .iter()
        .zip(&context.objectives)
        .map(|(name, objective)| {
            let latency = objective / OBJECTIVE_DIVISOR / HISTOGRAM_UNIT;
            (name_hash(name), latency as u32)
        })
        .collect();
    participant.coordinator = participant
        .coordinator
        .with_names(names)
        .with_capacity(context.bytes / NODE_RECORD_BYTES)
        .with_fast_enough(fast_enough);
    participant.plan = plan;
    participant
}
