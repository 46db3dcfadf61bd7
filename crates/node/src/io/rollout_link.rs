//! The node's part in rollouts of its settings or its program. Messages of rollouts are sent as
//! payloads of the membership. Slow work (checking, writing and applying versions) is done by a
//! worker thread ([`version_worker`]); the worker and the cluster's thread do not wait for each other.
//!
//! The cluster's thread owns the [`RolloutLink`]. It passes in messages
//! ([`RolloutLink::handle_message`]), operator commands ([`RolloutLink::handle_command`]) and results
//! of the worker ([`RolloutLink::task_done`]), and calls [`RolloutLink::wake`] and
//! [`RolloutLink::send_pending`] in each turn.

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
use version_worker::{Task, run_tasks};
use window_samples::samples;

/// The topic of rollouts of settings in payloads, status pages, commands and attachments.
pub const SETTINGS_ROLLOUT_TOPIC: u32 = 2;
/// The topic of rollouts of the program in payloads, status pages, commands and attachments.
pub const PROGRAM_ROLLOUT_TOPIC: u32 = 3;
/// Time between two wake-ups, in nanoseconds.
const WAKE_INTERVAL: Nanos = 200_000_000;
/// Time between two reads of the cluster's counters while a rollout is in progress, in nanoseconds.
const COUNTERS_READ_INTERVAL: Nanos = 1_000_000_000;
/// Length of the worker's queue. At most one task of each kind is requested at a time.
const QUEUED_TASKS: usize = 8;
/// Memory for the metrics of one node at either end of a rollout's order, with two dozen
/// operations, in bytes. The memory limit divided by this is the number of nodes at each end whose
/// metrics are kept separately.
const NODE_RECORD_BYTES: usize = 12 << 10;
/// Divisor of a latency objective. Latencies below the quotient never count as slow.
const OBJECTIVE_DIVISOR: Nanos = 10;
/// The unit of the latency histograms, 0.1 ms, in nanoseconds.
const HISTOGRAM_UNIT: Nanos = 100_000;
/// Maximum time that a leaving node waits for its last write to the disk.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of queued replies to operator commands.
const QUEUED_REPLIES: usize = 32;

/// Returns the topic under which nodes exchange messages about rollouts of settings or of the
/// program.
pub fn topic(kind: Kind) -> u32 {
    match kind {
        Kind::Settings => SETTINGS_ROLLOUT_TOPIC,
        Kind::Program => PROGRAM_ROLLOUT_TOPIC,
    }
}

/// The initial data of a node's part in rollouts of one kind.
pub struct RolloutSetup {
    /// State that the node starts with: the persisted state and the version that the node runs.
    pub start: InitialState,
    /// The plan of rollouts that operators start at this node.
    pub plan: Plan,
    /// Checks, stores and applies versions.
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

/// The node's identity in the cluster, and the bounds of its part in rollouts.
pub struct RolloutContext {
    /// The node's member key.
    pub me: MemberKey,
    /// Hash of the name of the node's zone.
    pub zone: u32,
    /// Keys of the voters, in the order of precedence as coordinator.
    pub voters: Vec<u64>,
    /// Names of the operations.
    pub operations: Vec<String>,
    /// Latency objectives of the operations, in nanoseconds, in the order of `operations`.
    pub objectives: Vec<Nanos>,
    /// Maximum size of the metrics of a rollout, in bytes.
    pub bytes: usize,
    /// Seed of the random numbers that the link draws.
    pub seed: u64,
}

/// A reply to an operator command that waits to be sent.
struct QueuedReply {
    to: SocketAddr,
    number: u32,
    reply: CommandReply,
}

/// A node's participant in rollouts of settings or of the program, with the worker that does its
/// slow work.
pub struct RolloutLink {
    participant: Participant<RolloutHost>,
    kind: Kind,
    next_wake: Nanos,
    counts_read_at: Nanos,
    operations: Vec<String>,
    /// A channel that is disconnected once the worker has ended.
    worker_ended: Receiver<()>,
    replies: VecDeque<QueuedReply>,
    /// Whether another process has been started to replace this one.
    is_handed_over: bool,
}

impl RolloutLink {
    /// Creates the node's participant in rollouts of this kind, and starts the thread that checks,
    /// writes and applies versions.
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
        // The worker parses settings, whose nested expressions need a larger stack.
        let thread = thread::Builder::new()
            .name("versions".into())
            .stack_size(8 * STACK);
        let (ended, worker_ended) = bounded(0);
        thread.spawn(move || {
            let _ended: Sender<()> = ended;
            run_tasks(kind, versions, &inbox, &results);
        })?;
        let host = RolloutHost {
            kind,
            me: context.me.0,
            sent: Vec::new(),
            tasks,
            published: None,
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
            counts_read_at: 0,
            operations: context.operations,
            worker_ended,
            replies: VecDeque::new(),
            is_handed_over: false,
        })
    }

    /// Returns the kind of the rollouts: of settings or of the program.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the time of the next call of [`RolloutLink::wake`].
    pub fn next_wake(&self) -> Nanos {
        self.next_wake
    }

    /// Sets the plan of rollouts that operators start at this node from now on.
    pub fn set_plan(&mut self, plan: Plan) {
        self.participant.plan = plan;
    }

    /// Handles a message of another node. A message that cannot be decoded is ignored.
    pub fn handle_message(&mut self, at: ClockReading, from: MemberKey, payload: &[u8]) {
        if let Some(message) = messages::decode(payload) {
            self.participant
                .handle_message(at.now, at.unix_ms, from.0, message);
        }
    }

    /// Handles the result of a task of the worker.
    pub fn task_done(&mut self, at: ClockReading, result: TaskResult) {
        let participant = &mut self.participant;
        self.is_handed_over |=
            self.kind == Kind::Program && matches!(&result, TaskResult::Applied(_, Ok(())));
        match result {
            TaskResult::Checked(rollout, result) => {
                participant.agent.check_finished(at.now, rollout, result)
            }
            TaskResult::OfferChecked(number, found) => {
                participant.offer_checked(at.now, at.unix_ms, number, found)
            }
            TaskResult::Persisted(number, result) => {
                participant.agent.persist_finished(at.now, number, result)
            }
            TaskResult::Applied(version, result) => participant
                .agent
                .apply_finished(at.now, at.unix_ms, version, result),
        }
    }

    /// Handles an operator's command. The reply is sent by the next [`RolloutLink::send_pending`].
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
                why: "the command cannot be decoded".into(),
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

    /// Records this node's own counters, as totals since its start.
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

    /// Runs the due work of the participant with the current members and the cluster's counters.
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
            let attachment = entry
                .details
                .attachments
                .iter()
                .find(|attachment| attachment.id == topic);
            if let Some(report) = attachment
                .filter(|_| present && key != me)
                .and_then(|a| messages::decode_attachment(&a.bytes))
            {
                digests.push((key.0, report.digest));
            }
        }
        let host = &mut self.participant.agent.host;
        (host.members, host.digests) = (members, digests);
        self.refresh_windows(at, membership, counts);
        self.participant.wake(at.now, at.unix_ms);
    }

    /// Collects the samples of all nodes from the cluster's counters, if this node is a voter and a
    /// rollout is in progress.
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
        let is_recorded = coordinator
            .metrics()
            .is_some_and(|record| record.rollout == rollout);
        if is_recorded && at.now < self.counts_read_at + COUNTERS_READ_INTERVAL {
            return;
        }
        self.counts_read_at = at.now;
        let from = coordinator
            .next_wanted_window(agent.rollouts())
            .filter(|_| is_recorded)
            .unwrap_or(0);
        self.participant.agent.host.windows = samples(self.kind, membership, counts, from);
    }

    /// Sends the queued messages and replies, and publishes the node's report as an attachment.
    pub fn send_pending<H: MembershipHost>(
        &mut self,
        at: ClockReading,
        membership: &mut Membership<H>,
    ) {
        let topic = topic(self.kind);
        // Messages from this node to itself, in its roles as voter, coordinator and member, are
        // handled here and may produce further messages.
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
        if let Some(report) = self.participant.agent.host.published.take() {
            let attachment = Attachment {
                id: topic,
                version: 1,
                bytes: messages::encode_attachment(&report),
            };
            let _ = membership.set_attachment(at, attachment); // the membership counts one that does not fit
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

    /// Whether another process is being started to replace this one. Nothing else may change
    /// meanwhile.
    pub fn is_handing_over(&self) -> bool {
        self.kind == Kind::Program && (self.is_handed_over || self.participant.agent.is_applying())
    }

    /// Records an orderly stop of the node: a version on trial did not crash, and this is written
    /// before the process ends. If another process takes over, the trial continues there, and that
    /// process writes.
    pub fn leave(&mut self, is_handed_over: bool) {
        let persisted = Box::new(self.participant.agent.leave());
        let (tasks, _) = bounded(0);
        let tasks = std::mem::replace(&mut self.participant.agent.host.tasks, tasks);
        if !is_handed_over {
            let _ = tasks.try_send(Task::Persist {
                number: 0,
                persisted,
                content: None,
            });
        }
        drop(tasks);
        // If the write takes longer, the disk still shows a version on trial. The next start then
        // counts a crash of that version, which is the safe assumption.
        let _ = self.worker_ended.recv_timeout(LAST_WRITE_TIMEOUT);
    }
}

/// Creates the participant of a node that has just started.
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
    let never_slow_below = context
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
        .with_fast_enough(never_slow_below);
    participant.plan = plan;
    participant
}
