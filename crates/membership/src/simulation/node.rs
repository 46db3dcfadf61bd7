//! A simulated member and what it does.

use crate::cluster_size::ClusterView;
use crate::history::ChangeKind;
use crate::member::MemberKey;
use crate::{Host, Membership, Nanos};
use std::net::SocketAddr;
use std::rc::Rc;

/// Side effects of a simulated member.
#[derive(Debug, Default)]
pub struct SimulatedActions {
    pub(super) sent: Vec<(SocketAddr, Rc<[u8]>)>,
    pub(super) changed: Vec<(ChangeKind, MemberKey)>,
    /// Lines of its log, if they are collected.
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

/// A simulated member.
pub struct SimulatedNode {
    /// Its name.
    pub name: String,
    /// Its key.
    pub key: MemberKey,
    /// Number of its zone.
    pub zone: usize,
    pub(super) address: SocketAddr,
    /// Its protocol state; `None` while it is down.
    pub membership: Option<Membership<SimulatedActions>>,
    pub(super) generation: u32,
    pub(super) wake_scheduled: Nanos,
    /// It neither receives nor acts until then.
    pub(super) paused_until: Nanos,
    pub(super) is_stalling: bool,
    /// When it went down, if it is down.
    pub down_since: Option<Nanos>,
    /// Error of its Unix clock, in milliseconds.
    pub clock_error_ms: i64,
    /// Bytes sent since they were last read.
    pub bytes: u64,
    /// Datagrams sent since they were last read.
    pub datagrams: u64,
}
