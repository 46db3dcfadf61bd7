//! Commands to the cluster's thread, and the end by which other threads send them. Sending never
//! waits, except for the results of tasks, which wait for a bounded time.

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

/// Commands that may wait for the cluster's thread.
const QUEUED_COMMANDS: usize = 64;
/// How long the result of a task waits for room in the queue. It is lost after that: the node
/// leaves then.
const TASK_RESULT_TIMEOUT: Duration = Duration::from_secs(1);

/// What new settings change in the running cluster part.
#[derive(Clone, Debug)]
pub struct ClusterSettingsUpdate {
    /// Keys of the datagram authentication.
    pub keys: AuthKeys,
    /// Addresses through which the cluster is joined.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and timeouts of the membership.
    pub timing: Timing,
    /// Version number of the settings, and their hash.
    pub number: (u64, u64),
    /// Budgets of the whole cluster.
    pub budgets: Vec<Budget>,
    /// Keyed quotas of the whole cluster.
    pub quotas: Vec<KeyedQuota>,
    /// The plan of rollouts that are offered here from now on; `None` leaves it as it is.
    pub plan: Option<Plan>,
}

/// What the cluster's thread is asked to do.
pub enum LinkCommand {
    /// The core reports something of the node.
    Update(ClusterUpdate),
    /// The settings of the cluster were replaced.
    Reconfigure(Box<ClusterSettingsUpdate>),
    /// The worker of rollouts of this kind has finished a task.
    TaskDone(Kind, TaskResult),
    /// The node leaves, and the thread ends.
    Leave {
        /// Whether another process of this node takes over.
        is_handed_over: bool,
    },
}

/// The sending end of the cluster's thread.
#[derive(Clone)]
pub struct ClusterLink {
    commands: Sender<LinkCommand>,
    wake_fd: Arc<OwnedFd>,
}

impl ClusterLink {
    /// A link with the receiving end of its queue.
    ///
    /// # Errors
    ///
    /// No descriptor is left to wake the thread by.
    pub fn new() -> io::Result<(ClusterLink, Receiver<LinkCommand>)> {
        let wake_fd = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        let (commands, inbox) = bounded(QUEUED_COMMANDS);
        Ok((ClusterLink { commands, wake_fd }, inbox))
    }

    /// Reports something of the node. A report that finds no room is lost; the next one has newer
    /// figures.
    pub fn update(&self, update: ClusterUpdate) {
        self.send(LinkCommand::Update(update));
    }

    /// Puts new settings in force.
    pub fn reconfigure(&self, update: ClusterSettingsUpdate) {
        self.send(LinkCommand::Reconfigure(Box::new(update)));
    }

    /// Has the node leave and ends the thread, or ends it for another process that takes over.
    pub fn leave(&self, is_handed_over: bool) {
        self.send(LinkCommand::Leave { is_handed_over });
    }

    /// Passes on the result of a task about rollouts of this kind.
    pub fn task_done(&self, kind: Kind, result: TaskResult) {
        let command = LinkCommand::TaskDone(kind, result);
        let sent = self.commands.send_timeout(command, TASK_RESULT_TIMEOUT);
        if sent.is_ok() {
            self.wake();
        }
    }

    /// Becomes readable when a command was sent; the thread polls and clears it.
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
