//! The event loop of the cluster's thread. The loop owns the membership, the shared state, the
//! exchange of health reports and the node's parts in rollouts. Each turn runs its steps in a fixed
//! order, which [`EventLoop::run`] shows.

use super::commands::{ClusterSettingsUpdate, LinkCommand};
use super::health_exchange::HealthExchange;
use super::hosts::{
    MembershipHost, ReceivedPayload, RenderedStatus, SHARED_STATE_TOPIC, SharedStateHost,
};
use crate::cluster::ClusterUpdate;
use crate::io::inbox::Message;
use crate::io::rollout_link::{RolloutLink, SETTINGS_ROLLOUT_TOPIC, topic};
use crate::log::part;
use crate::node::Event;
use crossbeam_channel::Receiver;
use madderpoint_membership::messages::DATAGRAM_MAX;
use madderpoint_membership::{ClockReading, Host, MemberKey, Membership, Nanos};
use madderpoint_rollout::Kind;
use madderpoint_shared_state::counters::CounterReport;
use madderpoint_shared_state::messages::{self, SharedMessage};
use madderpoint_shared_state::status::StatusSnapshot;
use madderpoint_shared_state::{ProcessId, SharedState};
use prost::Message as _;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::io::ErrorKind;
use std::ops::ControlFlow;
use std::thread;
use std::time::Duration;
use tracing::warn;

/// Maximum number of datagrams read in one turn, so that timers are not held up.
const DATAGRAMS_PER_TURN: usize = 64;
/// Time between the two leave notices of a node.
const LEAVE_REPEAT_DELAY: Duration = Duration::from_millis(20);
/// Pause after a failed poll, so that repeated failures do not keep a core busy.
const POLL_FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// The state of the cluster's thread.
pub struct EventLoop<C> {
    /// The node's membership, whose host owns the socket.
    pub membership: Membership<MembershipHost>,
    /// The budgets, keyed quotas and counters of the cluster; `None` without voters.
    pub shared_state: Option<SharedState<SharedStateHost>>,
    /// The exchange of health reports about the backend service; `None` if the nodes exchange none.
    pub health_exchange: Option<HealthExchange>,
    /// The node's parts in rollouts, one for each kind.
    pub rollouts: Vec<RolloutLink>,
    /// Hash of the settings in force. The node's counters are reported with it, so that canary
    /// analysis can compare versions.
    pub settings_hash: u64,
    /// Names of the operations, shown in status snapshots.
    pub operations: Vec<String>,
    /// Reads the clock.
    pub clock: C,
}

impl<C: Fn() -> ClockReading> EventLoop<C> {
    /// Runs until the command to leave arrives.
    pub fn run(mut self, commands: &Receiver<LinkCommand>, wake_fd: &OwnedFd) {
        loop {
            self.wait(wake_fd);
            for command in commands.try_iter() {
                if self.handle_command(command).is_break() {
                    return;
                }
            }
            self.read_datagrams();
            self.wake_membership();
            let is_handing_over = self.is_handing_over();
            self.handle_payloads(is_handing_over);
            self.wake_shared_state();
            self.send_shared_state();
            self.handle_operator_commands();
            self.wake_rollouts(is_handing_over);
            self.report_unsent_view();
        }
    }

    fn now(&self) -> Nanos {
        (self.clock)().now
    }

    /// Waits for a datagram, a command or the next timer, and clears the wake descriptor.
    fn wait(&self, wake_fd: &OwnedFd) {
        let timeout = Duration::from_nanos(self.next_wake().saturating_sub(self.now()));
        let timeout = Timespec::try_from(timeout).ok();
        let mut ready = [
            PollFd::new(&self.membership.host.socket, PollFlags::IN),
            PollFd::new(wake_fd, PollFlags::IN),
        ];
        match poll(&mut ready, timeout.as_ref()) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(e) => {
                warn!(target: part::CLUSTER, error = %e, "poll failed");
                thread::sleep(POLL_FAILURE_PAUSE);
            }
        }
        let mut count = [0; 8];
        let _ = rustix::io::read(wake_fd, &mut count);
    }

    fn next_wake(&self) -> Nanos {
        let shared_state = self.shared_state.as_ref();
        let next = shared_state.map_or(Nanos::MAX, SharedState::next_wake);
        let is_handing_over = self.is_handing_over();
        self.rollouts
            .iter()
            .filter(|rollout| is_active(rollout, is_handing_over))
            .map(RolloutLink::next_wake)
            .fold(next.min(self.membership.next_wake()), Nanos::min)
    }

    /// Whether another process is being started to replace this one.
    fn is_handing_over(&self) -> bool {
        self.rollouts.iter().any(RolloutLink::is_handing_over)
    }

    fn handle_command(&mut self, command: LinkCommand) -> ControlFlow<()> {
        match command {
            LinkCommand::Update(update) => self.handle_update(update),
            LinkCommand::Reconfigure(update) => self.reconfigure(*update),
            LinkCommand::TaskDone(kind, result) => {
                let mut rollouts = self.rollouts.iter_mut();
                if let Some(rollout) = rollouts.find(|rollout| rollout.kind() == kind) {
                    rollout.task_done((self.clock)(), result);
                }
            }
            LinkCommand::Leave { is_handed_over } => {
                self.leave(is_handed_over);
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    /// Passes a report of the core on to the subsystem that it is for.
    fn handle_update(&mut self, update: ClusterUpdate) {
        let clock = &self.clock;
        match update {
            ClusterUpdate::Phase(phase) => self.membership.set_phase(clock(), phase),
            ClusterUpdate::LoadHint { capacity, load } => {
                self.membership.set_load_hint(capacity, load);
            }
            ClusterUpdate::BudgetRequests { at, requests } => {
                if let Some(shared_state) = &mut self.shared_state {
                    shared_state.host.lease_requests = (at, requests);
                }
            }
            ClusterUpdate::QuotaRequest(request) => {
                if let Some(shared_state) = &mut self.shared_state {
                    shared_state.request_quota(clock().now, request);
                }
            }
            ClusterUpdate::HealthReport(report) => {
                if let Some(exchange) = &mut self.health_exchange {
                    exchange.report_local(clock(), &mut self.membership, report);
                }
            }
            ClusterUpdate::Counters(report) => self.report_counters(*report),
            ClusterUpdate::StatusSnapshot(snapshot) => self.complete_status(*snapshot),
            ClusterUpdate::LeasesReleased(are_released) => {
                if let Some(shared_state) = &mut self.shared_state {
                    shared_state.host.are_leases_released = are_released;
                }
            }
        }
    }

    /// Passes the core's counters on to the rollouts and the shared state. A voter then adds up the
    /// counters of retired processes.
    fn report_counters(&mut self, mut report: CounterReport) {
        let (key, incarnation) = self.membership.identity();
        report.process = ProcessId {
            key: key.0,
            incarnation: incarnation.0,
        };
        report.version = self.settings_hash;
        if let Some((_, window)) = report.windows.iter_mut().next_back() {
            window.gauges = process_gauges();
        }
        for rollout in &mut self.rollouts {
            rollout.record_local_counts((self.clock)(), &report);
        }
        let Some(shared_state) = &mut self.shared_state else {
            return;
        };
        shared_state.report_counters((self.clock)().now, &report);
        let members = self.membership.member_table();
        shared_state.retire_processes((self.clock)().now, |process: ProcessId| {
            members.get(MemberKey(process.key)).is_some_and(|entry| {
                entry.epoch.incarnation.0 == process.incarnation && entry.liveness().is_present()
            })
        });
    }

    /// Completes the core's status snapshot with the data of this thread and stores it for operators.
    fn complete_status(&mut self, mut snapshot: StatusSnapshot) {
        let now = self.now();
        if let Some(shared_state) = &self.shared_state {
            snapshot.with_shared_state(now, shared_state, &self.operations);
        }
        snapshot.node = self.membership.name().to_owned();
        let members = self.membership.member_table();
        if let Some(entry) = members.get(MemberKey(snapshot.leader)) {
            snapshot.leader_name = entry.name.to_string();
        }
        self.membership.host.shared_status = Some(RenderedStatus {
            rendered_at: now,
            bytes: snapshot.encode_to_vec(),
        });
    }

    fn reconfigure(&mut self, update: ClusterSettingsUpdate) {
        let clock = &self.clock;
        let membership = &mut self.membership;
        membership.reconfigure(clock(), update.keys, update.seeds, update.timing);
        membership.set_settings(clock(), update.number);
        self.settings_hash = update.number.1;
        if let Some(plan) = update.plan {
            for rollout in &mut self.rollouts {
                rollout.set_plan(plan.clone());
            }
        }
        if let Some(shared_state) = &mut self.shared_state {
            shared_state.update_limits(update.budgets.clone(), update.quotas);
            let event = Event::BudgetsChanged(update.budgets);
            let _ = membership.host.events.send(Message::Event(event));
        }
    }

    /// Leaves the cluster. The leave notice is sent twice because datagrams may get lost.
    fn leave(&mut self, is_handed_over: bool) {
        for rollout in &mut self.rollouts {
            rollout.leave(is_handed_over);
        }
        if let Some(shared_state) = &mut self.shared_state {
            shared_state.leave((self.clock)().now);
        }
        self.send_shared_state();
        self.membership.leave((self.clock)());
        thread::sleep(LEAVE_REPEAT_DELAY);
        self.membership.leave((self.clock)());
    }

    fn read_datagrams(&mut self) {
        self.membership.host.now = self.now();
        // One byte more than the maximum, so that a datagram that is too large is recognized.
        let mut buffer = [0; DATAGRAM_MAX + 1];
        for _ in 0..DATAGRAMS_PER_TURN {
            match self.membership.host.socket.recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let datagram = &buffer[..length];
                    self.membership.on_datagram((self.clock)(), from, datagram);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {} // e.g. a port without a listener: the member will be declared dead
            }
        }
    }

    fn wake_membership(&mut self) {
        if self.now() >= self.membership.next_wake() {
            self.membership.wake((self.clock)());
        }
    }

    /// Passes payloads on to the rollouts and the shared state. While another process takes over,
    /// payloads for rollouts of settings are dropped.
    fn handle_payloads(&mut self, is_handing_over: bool) {
        for payload in std::mem::take(&mut self.membership.host.payloads) {
            if is_handing_over && payload.topic == SETTINGS_ROLLOUT_TOPIC {
                continue;
            }
            let from = MemberKey(payload.from.key);
            if let Some(rollout) = find_rollout(&mut self.rollouts, payload.topic) {
                rollout.handle_message((self.clock)(), from, &payload.bytes);
            } else if payload.topic == SHARED_STATE_TOPIC {
                self.handle_shared_payload(&payload);
            }
        }
    }

    fn handle_shared_payload(&mut self, payload: &ReceivedPayload) {
        let Some(message) = messages::decode(&payload.bytes) else {
            return;
        };
        let clock = &self.clock;
        let from = payload.from;
        match (message, &mut self.health_exchange, &mut self.shared_state) {
            (SharedMessage::HealthReports(reports), Some(exchange), _) => {
                for (service, report) in reports {
                    exchange.receive(clock().now, from, service, report);
                }
            }
            (message, _, Some(shared_state)) => shared_state.receive(clock().now, from, message),
            _ => {}
        }
    }

    fn wake_shared_state(&mut self) {
        let clock = &self.clock;
        if let Some(shared_state) = &mut self.shared_state
            && clock().now >= shared_state.next_wake()
        {
            shared_state.wake(clock().now);
        }
    }

    /// Sends the queued messages of the shared state.
    fn send_shared_state(&mut self) {
        let Some(shared_state) = &mut self.shared_state else {
            return;
        };
        let (clock, membership) = (&self.clock, &mut self.membership);
        if messages::IS_LATER_VERSION && !shared_state.host.sent.is_empty() {
            for key in membership.random_members(1) {
                membership.send_payload(
                    clock(),
                    key,
                    SHARED_STATE_TOPIC,
                    &messages::unknown_kind_payload(),
                );
            }
        }
        for (to, message) in std::mem::take(&mut shared_state.host.sent) {
            let payload = messages::encode(&message);
            membership.send_payload(clock(), MemberKey(to), SHARED_STATE_TOPIC, &payload);
        }
    }

    fn handle_operator_commands(&mut self) {
        for command in std::mem::take(&mut self.membership.host.operator_commands) {
            if let Some(rollout) = find_rollout(&mut self.rollouts, command.topic) {
                let at = (self.clock)();
                rollout.handle_command(at, command.from, command.number, &command.bytes);
            }
        }
    }

    /// Wakes the rollouts, sends their messages, and renders their status where it was requested.
    fn wake_rollouts(&mut self, is_handing_over: bool) {
        let (clock, membership) = (&self.clock, &mut self.membership);
        let requested_topics = std::mem::take(&mut membership.host.requested_topics);
        for rollout in &mut self.rollouts {
            if !is_active(rollout, is_handing_over) {
                continue;
            }
            let shared_state = self.shared_state.as_ref();
            let counters = shared_state.and_then(SharedState::cluster_counters);
            rollout.wake(clock(), membership, counters);
            rollout.send_pending(clock(), membership);
            let topic = topic(rollout.kind());
            if requested_topics.contains(&topic) {
                let status = RenderedStatus {
                    rendered_at: clock().now,
                    bytes: rollout.status_snapshot(clock(), membership),
                };
                membership.host.rollout_status.insert(topic, status);
            }
        }
    }

    /// Sends the core a cluster view that did not fit into its queue before.
    fn report_unsent_view(&mut self) {
        if let Some(view) = self.membership.host.unsent_view.take() {
            self.membership.host.cluster_view_changed(&view);
        }
    }
}

/// Whether a rollout link stays active. While another process takes over, only the link for rollouts
/// of the program does.
fn is_active(rollout: &RolloutLink, is_handing_over: bool) -> bool {
    !is_handing_over || rollout.kind() == Kind::Program
}

fn find_rollout(rollouts: &mut [RolloutLink], wanted_topic: u32) -> Option<&mut RolloutLink> {
    rollouts
        .iter_mut()
        .find(|rollout| topic(rollout.kind()) == wanted_topic)
}

/// Returns this process's resident memory in KB and its number of open descriptors; 0 for a figure
/// that cannot be read.
fn process_gauges() -> [u64; 2] {
    let pages = std::fs::read_to_string("/proc/self/statm").ok();
    let pages = pages
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok())
        .unwrap_or(0);
    let descriptors =
        std::fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count() as u64);
    [
        pages * rustix::param::page_size() as u64 / 1024,
        descriptors,
    ]
}
