//! Simulated member and its side effects.

use crate::cluster_size::ClusterView;
use crate::history::ChangeKind;
use crate::member::MemberKey;
use crate::{Host, Membership, Nanos};
use std::net::SocketAddr;
use std::rc::Rc;

/// Side effects that a simulated member has requested.
#[derive(Debug, Default)]
pub struct SimulatedActions {
    pub(super) sent: Vec<(SocketAddr, Rc<[u8]>)>,
    pub(super) changed: Vec<(ChangeKind, MemberKey)>,
    /// Log lines of the member; `None` if they are not collected.
    pub lines: Option<Vec<String>>,
}

impl Host for SimulatedActions {
    fn send(&mut self, to: SocketAddr, frame: &[u8]) {
        self.sent.push((to, frame.into()));
    }
    fn log(&mut self, _kind: &'static str, line: &str) {
        if let Some(lines) = &mut self.lines {
            lines.push(line.to_owned());
        }
    }
    fn cluster_view_changed(&mut self, _view: &ClusterView) {}
    fn member_changed(&mut self, kind: ChangeKind, key: MemberKey) {
        self.changed.push((kind, key));
    }
}

/// Simulated member.
pub struct SimulatedNode {
    /// Name under which the member joins the cluster.
    pub name: String,
    /// Key by which member tables refer to the member.
    pub key: MemberKey,
    /// Number of the member's zone.
    pub zone: usize,
    pub(super) address: SocketAddr,
    /// Protocol state of the member; `None` while the member is down.
    pub membership: Option<Membership<SimulatedActions>>,
    pub(super) generation: u32,
    pub(super) wake_scheduled: Nanos,
    /// Time until which the member neither receives nor acts.
    pub(super) paused_until: Nanos,
    pub(super) is_stalling: bool,
    /// Time when the member went down; `None` while it is up.
    pub down_since: Option<Nanos>,
    /// Difference between the member's Unix clock and the simulated Unix time, in milliseconds.
    pub clock_error_ms: i64,
    /// Bytes that the member has sent since the last call of
    /// [`Simulation::take_traffic`](super::Simulation::take_traffic).
    pub bytes: u64,
    /// Datagrams that the member has sent since that call.
    pub datagrams: u64,
}
