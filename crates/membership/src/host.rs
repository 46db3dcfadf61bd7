//! Side effects that the membership protocol requests from its host.

use crate::cluster_size::ClusterView;
use crate::history::ChangeKind;
use crate::member::{Incarnation, MemberKey};
use std::net::SocketAddr;

/// Side effects that [`Membership`](crate::Membership) requests. No call may block.
pub trait Host {
    /// Sends a datagram; it may be lost.
    fn send(&mut self, to: SocketAddr, frame: &[u8]);
    /// Writes a log line for a change of the member table; rate-limited by the caller.
    fn log(&mut self, kind: &'static str, line: &str);
    /// Reports that the view on which decisions rest has changed.
    fn cluster_view_changed(&mut self, cluster_view: &ClusterView);
    /// Delivers a payload that another package sent from the given process.
    fn payload_received(
        &mut self,
        _from: MemberKey,
        _incarnation: Incarnation,
        _topic: u32,
        _payload: &[u8],
    ) {
    }
    /// Returns a page of another package's status from a cursor on, and the cursor of the next page
    /// (0 after the last). `None` if there is none, or none yet: the observer asks again.
    fn status_page(&mut self, _topic: u32, _cursor: u64) -> Option<(Vec<u8>, u64)> {
        None
    }
    /// Delivers an operator's command for another package. It may be delivered twice; answered by
    /// [`Membership::answer_command`](crate::Membership::answer_command).
    fn command_received(&mut self, _from: SocketAddr, _number: u32, _topic: u32, _command: &[u8]) {}
    /// Reports every change of the member table, without rate limit; for measurements.
    fn member_changed(&mut self, _kind: ChangeKind, _key: MemberKey) {}
}
