//! The hosts of the membership and of the shared state. Their messages are sent on the cluster's
//! socket, and their results are queued as events for the core. No call blocks.

use crate::io::inbox::Message;
use crate::log::part;
use crate::node::Event;
use crossbeam_channel::{Sender, TrySendError};
use madderpoint_membership::{ClusterView, Host, Incarnation, MemberKey, Nanos};
use madderpoint_shared_state::keyed_quota::QuotaGrant;
use madderpoint_shared_state::messages::{MAX_PAYLOAD_BYTES, SharedMessage};
use madderpoint_shared_state::{self as shared_state, BudgetRequest, ProcessId};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use tracing::info;

/// The topic of the shared state in payloads and status pages.
pub const SHARED_STATE_TOPIC: u32 = 1;
/// Lifetime of a status snapshot, in nanoseconds. An older one is rendered anew.
const STATUS_LIFETIME: Nanos = 200_000_000;
/// Maximum number of operator commands received in one turn of the event loop; more are dropped.
const QUEUED_OPERATOR_COMMANDS: usize = 32;

/// The host of the shared state.
pub struct SharedStateHost {
    /// Messages for the event loop to send, with the keys of their receivers.
    pub sent: Vec<(u64, SharedMessage)>,
    /// The core's latest request for units of the budgets, with its time.
    pub lease_requests: (Nanos, Vec<BudgetRequest>),
    /// Whether the core has released its leases and no longer uses their units.
    pub are_leases_released: bool,
    events: Sender<Message>,
}

impl SharedStateHost {
    /// Creates a host that reports to the core through this queue.
    pub fn new(events: Sender<Message>) -> SharedStateHost {
        SharedStateHost {
            sent: Vec::new(),
            lease_requests: (0, Vec::new()),
            are_leases_released: false,
            events,
        }
    }
}

impl shared_state::Host for SharedStateHost {
    fn send(&mut self, to: u64, message: SharedMessage) {
        self.sent.push((to, message));
    }

    fn log(&mut self, line: &str) {
        info!(target: part::SHARED_STATE, event = "leader", "{line}");
    }

    fn lease_requests(&mut self, _: Nanos) -> (Nanos, Vec<BudgetRequest>) {
        self.lease_requests.clone()
    }

    fn receive_quota_grant(&mut self, _: Nanos, grant: QuotaGrant) {
        let event = Event::QuotaGranted(Box::new(grant));
        let _ = self.events.try_send(Message::Event(event));
    }

    fn receive_leases(
        &mut self,
        _: Nanos,
        requested_at: Nanos,
        leases: &[(u32, shared_state::Lease)],
    ) {
        // A lease that does not fit into the queue is not used and expires.
        let event = Event::LeasesGranted(requested_at, leases.to_vec());
        let _ = self.events.try_send(Message::Event(event));
    }

    fn drop_leases(&mut self, _: Nanos) -> bool {
        self.are_leases_released
    }
}

/// A payload of another member that waits for the event loop.
pub struct ReceivedPayload {
    /// The process that sent the payload.
    pub from: ProcessId,
    /// The topic, which tells the subsystem that the payload is for.
    pub topic: u32,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// An operator command that waits for the event loop.
pub struct ReceivedCommand {
    /// The address that the reply is sent to.
    pub from: SocketAddr,
    /// The command's number, which the reply repeats.
    pub number: u32,
    /// The topic, which tells the rollout link that the command is for.
    pub topic: u32,
    /// The encoded command.
    pub bytes: Vec<u8>,
}

/// An encoded status snapshot.
pub struct RenderedStatus {
    /// When the snapshot was rendered, in the node's time.
    pub rendered_at: Nanos,
    /// The whole encoded snapshot. A page is a slice of it.
    pub bytes: Vec<u8>,
}

impl RenderedStatus {
    fn is_fresh(&self, now: Nanos) -> bool {
        now < self.rendered_at + STATUS_LIFETIME
    }

    /// Returns the page that starts at this byte, and the start of the next page; 0 after the last
    /// page.
    fn page(&self, from: u64) -> (Vec<u8>, u64) {
        let bytes = &self.bytes;
        let from = usize::try_from(from).unwrap_or(usize::MAX).min(bytes.len());
        let to = (from + MAX_PAYLOAD_BYTES).min(bytes.len());
        let next = if to < bytes.len() { to as u64 } else { 0 };
        (bytes[from..to].to_vec(), next)
    }
}

/// The host of the membership.
pub struct MembershipHost {
    /// The cluster's UDP socket, in non-blocking mode.
    pub socket: UdpSocket,
    /// The core's queue of events.
    pub events: Sender<Message>,
    /// When the event loop last read the socket, in the node's time.
    pub now: Nanos,
    /// Payloads received in this turn of the event loop.
    pub payloads: Vec<ReceivedPayload>,
    /// Operator commands received in this turn; at most [`QUEUED_OPERATOR_COMMANDS`].
    pub operator_commands: Vec<ReceivedCommand>,
    /// A cluster view that did not fit into the core's queue and is sent again later.
    pub unsent_view: Option<ClusterView>,
    /// The status of the shared state, from the core's latest report.
    pub shared_status: Option<RenderedStatus>,
    /// The rendered status of rollouts, by topic.
    pub rollout_status: BTreeMap<u32, RenderedStatus>,
    /// Topics of rollouts whose status was requested and must be rendered.
    pub requested_topics: Vec<u32>,
    has_shared_state: bool,
}

impl MembershipHost {
    /// Creates a host that sends on this socket and reports to the core through this queue.
    pub fn new(
        socket: UdpSocket,
        events: Sender<Message>,
        has_shared_state: bool,
    ) -> MembershipHost {
        MembershipHost {
            socket,
            events,
            now: 0,
            payloads: Vec::new(),
            operator_commands: Vec::new(),
            unsent_view: None,
            shared_status: None,
            rollout_status: BTreeMap::new(),
            requested_topics: Vec::new(),
            has_shared_state,
        }
    }

    fn rollout_status_page(&mut self, topic: u32, from: u64) -> Option<(Vec<u8>, u64)> {
        // All pages of a status come from one snapshot. Only a request for the first page renders a
        // new one.
        let status = self.rollout_status.get(&topic);
        let Some(status) = status.filter(|status| from > 0 || status.is_fresh(self.now)) else {
            self.requested_topics.push(topic);
            return None;
        };
        Some(status.page(from))
    }
}

impl Host for MembershipHost {
    fn send(&mut self, to: SocketAddr, frame: &[u8]) {
        // A datagram that cannot be sent counts as lost, which the protocol tolerates.
        let _ = self.socket.send_to(frame, to);
    }

    fn log(&mut self, kind: &'static str, line: &str) {
        info!(target: part::CLUSTER, event = kind, "{line}");
    }

    fn payload_received(
        &mut self,
        from: MemberKey,
        incarnation: Incarnation,
        topic: u32,
        payload: &[u8],
    ) {
        self.payloads.push(ReceivedPayload {
            from: ProcessId {
                key: from.0,
                incarnation: incarnation.0,
            },
            topic,
            bytes: payload.to_vec(),
        });
    }

    fn command_received(&mut self, from: SocketAddr, number: u32, topic: u32, command: &[u8]) {
        if self.operator_commands.len() < QUEUED_OPERATOR_COMMANDS {
            self.operator_commands.push(ReceivedCommand {
                from,
                number,
                topic,
                bytes: command.to_vec(),
            });
        }
    }

    fn status_page(&mut self, topic: u32, from: u64) -> Option<(Vec<u8>, u64)> {
        if topic != SHARED_STATE_TOPIC {
            return self.rollout_status_page(topic, from);
        }
        if !self.has_shared_state {
            return None;
        }
        let status = self.shared_status.as_ref();
        let Some(status) = status.filter(|status| status.is_fresh(self.now)) else {
            // Requests the status from the core. A repeated request by the operator finds it.
            let _ = self.events.try_send(Message::Event(Event::StatusRequested));
            return None;
        };
        Some(status.page(from))
    }

    fn cluster_view_changed(&mut self, view: &ClusterView) {
        let event = Event::ClusterChanged(Box::new(view.clone()));
        match self.events.try_send(Message::Event(event)) {
            Ok(()) => self.unsent_view = None,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.unsent_view = Some(view.clone());
            }
        }
    }
}
