//! Interface through which the membership protocol requests side effects from its process.

use crate::cluster_size::ClusterView;
use crate::history::ChangeKind;
use crate::member::{Incarnation, MemberKey};
use std::net::SocketAddr;

/// Carries out the side effects that [`Membership`](crate::Membership) requests. No call may block.
pub trait Host {
    /// Sends a datagram. Delivery is not guaranteed.
    fn send(&mut self, to: SocketAddr, frame: &[u8]);
    /// Writes a log line for changes of the member table. The caller limits the rate. `kind` is the
    /// name of the change kind, or `more` for a summary of suppressed lines.
    fn log(&mut self, kind: &'static str, line: &str);
    /// Reports a change of the cluster view, on which decisions are based.
    fn cluster_view_changed(&mut self, cluster_view: &ClusterView);
    /// Delivers a payload of another package, sent by the given incarnation of a member.
    fn payload_received(
        &mut self,
        _from: MemberKey,
        _incarnation: Incarnation,
        _topic: u32,
        _payload: &[u8],
    ) {
    }
    /// Returns the page of another package's status that begins at a cursor, and the cursor of the
    /// next page (0 after the last one). Returns `None` if the page does not exist or is not
    /// available yet; the observer then repeats its request.
    fn status_page(&mut self, _topic: u32, _cursor: u64) -> Option<(Vec<u8>, u64)> {
        None
    }
    /// Delivers an operator's command for another package. The same command may be delivered twice.
    /// The reply is sent with [`Membership::answer_command`](crate::Membership::answer_command).
    fn command_received(&mut self, _from: SocketAddr, _number: u32, _topic: u32, _command: &[u8]) {}
    /// Reports every change of the member table, without a rate limit; used for measurements.
    fn member_changed(&mut self, _kind: ChangeKind, _key: MemberKey) {}
}
