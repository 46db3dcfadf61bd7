//! Commands to the cluster's thread, and the handle through which other threads send them. Sending
//! does not block, except for the result of a task, which may block for a bounded time.

use crate::cluster::ClusterUpdate;
use crate::io::rollout_link::TaskResult;
use crossbeam_channel::{Receiver, Sender, bounded};
use madderpoint_membership::Timing;
use madderpoint_membership::datagram_auth::AuthKeys;
use madderpoint_rollout::{Kind, Plan};
use madderpoint_shared_state::Budget;
use madderpoint_shared_state::keyed_quota::KeyedQuota;
use rustix::event::{EventfdFlags, eventfd};
use rustix::fd::OwnedFd;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Length of the command queue of the cluster's thread.
const QUEUED_COMMANDS: usize = 64;
/// Maximum time that the result of a task waits for room in the queue. After that the result is
/// dropped: a queue that stays full this long shows that the node is leaving.
const TASK_RESULT_TIMEOUT: Duration = Duration::from_secs(1);

/// The part of new settings that takes effect in the running cluster thread.
#[derive(Clone, Debug)]
pub struct ClusterSettingsUpdate {
    /// Keys with which the cluster's datagrams are authenticated.
    pub keys: AuthKeys,
    /// Addresses of members through which the node joins the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and timeouts of the membership.
    pub timing: Timing,
    /// Version number and content hash of the settings.
    pub number: (u64, u64),
    /// Budgets of the whole cluster.
    pub budgets: Vec<Budget>,
    /// Keyed quotas of the whole cluster.
    pub quotas: Vec<KeyedQuota>,
    /// The plan of rollouts that operators start at this node from now on; `None` keeps the current
    /// plan.
    pub plan: Option<Plan>,
}

/// Commands to the cluster's thread.
pub enum LinkCommand {
    /// A report of the core about the node.
    Update(ClusterUpdate),
    /// Replaces the settings of the cluster.
    Reconfigure(Box<ClusterSettingsUpdate>),
    /// The result of a task of the worker for rollouts of this kind.
    TaskDone(Kind, TaskResult),
    /// Makes the node leave the cluster and ends the thread.
    Leave {
        /// True if another process of this node takes over. Rollouts then write no final state.
        is_handed_over: bool,
    },
}

/// The handle of the cluster's thread, through which other threads send it commands.
#[derive(Clone)]
pub struct ClusterLink {
    commands: Sender<LinkCommand>,
    wake_fd: Arc<OwnedFd>,
}

impl ClusterLink {
    /// Creates a link and the receiving end of its queue.
    ///
    /// # Errors
    ///
    /// The eventfd that wakes the thread cannot be created.
    pub fn new() -> io::Result<(ClusterLink, Receiver<LinkCommand>)> {
        let wake_fd = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        let (commands, inbox) = bounded(QUEUED_COMMANDS);
        Ok((ClusterLink { commands, wake_fd }, inbox))
    }

    /// Passes on a report of the core. If the queue is full the report is dropped; the next one has
    /// newer figures.
    pub fn update(&self, update: ClusterUpdate) {
        self.send(LinkCommand::Update(update));
    }

    /// Puts new settings of the cluster in force.
    pub fn reconfigure(&self, update: ClusterSettingsUpdate) {
        self.send(LinkCommand::Reconfigure(Box::new(update)));
    }

    /// Makes the node leave the cluster and ends the thread. With `is_handed_over` another process of
    /// the node takes over.
    pub fn leave(&self, is_handed_over: bool) {
        self.send(LinkCommand::Leave { is_handed_over });
    }

    /// Passes on the result of a task of the worker for rollouts of this kind.
    pub fn task_done(&self, kind: Kind, result: TaskResult) {
        let command = LinkCommand::TaskDone(kind, result);
        let sent = self.commands.send_timeout(command, TASK_RESULT_TIMEOUT);
        if sent.is_ok() {
            self.wake();
        }
    }

    /// Returns the descriptor that becomes readable when a command is sent. The thread polls and
    /// clears it.
    pub fn wake_fd(&self) -> Arc<OwnedFd> {
        Arc::clone(&self.wake_fd)
    }

    fn send(&self, command: LinkCommand) {
        if self.commands.try_send(command).is_ok() {
            self.wake();
        }
    }

    fn wake(&self) {
        let _ = rustix::io::write(&*self.wake_fd, &1u64.to_ne_bytes());
    }
}
