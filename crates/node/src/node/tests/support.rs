//! Test support: a node with a recorder in place of its I/O, and helpers that send it requests,
//! executor notices and backend replies.

pub use super::super::*;
pub use crate::actions::{BackendLink, CallId, Close, ConnectionId};
pub use crate::backend::{self, Outcome};
pub use crate::cluster::ClusterUpdate;
pub use crate::config::{ConfigUpdate, Limits, PeerAddresses};
pub use crate::executor::{End, Notice};
pub use crate::fastcgi::{self, ProtocolStatus, Reply};
pub use madderpoint::{Host, RequestId};
pub use madderpoint_test_harness::wire::{self, Answer};
pub use std::collections::BTreeMap;

use crate::actions::CallInterestToken;
use std::fmt;

pub const MS: Nanos = 1_000_000;
pub const A: &str = "00000000000000aa";
pub const B: &str = "00000000000000bb";

/// Implementation of [`Actions`] that records the node's side effects.
#[derive(Default)]
pub struct Recorder {
    pub written: Vec<u8>,
    pub closed: Vec<ConnectionId>,
    /// Latest close requested for each connection.
    pub close_orders: BTreeMap<ConnectionId, Close>,
    /// Connections that the node stopped reading.
    pub reading_stopped: Vec<ConnectionId>,
    pub executor_commands: Vec<String>,
    /// All lines sent to the executor, including requests for gauges.
    pub executor_lines: Vec<String>,
    /// Mark of the last request for gauges.
    pub gauges_requested: Option<u64>,
    pub calls: Vec<(usize, CallId, RequestId, String)>,
    pub tokens: Vec<CallInterestToken>,
    pub cancelled: Vec<(usize, String)>,
    pub links_are_full: bool,
    pub has_stopped_listening: bool,
    pub closed_links: Vec<usize>,
    pub executor_reconnects: usize,
    pub paced: Vec<(ConnectionId, Nanos)>,
    pub cluster_updates: Vec<ClusterUpdate>,
}

impl Actions for Recorder {
    fn send_reply(&mut self, _: ConnectionId, reply: Reply) {
        reply
            .slices()
            .iter()
            .for_each(|s| self.written.extend_from_slice(s));
    }
    fn close_connection(&mut self, connection_id: ConnectionId, close: Close) {
        self.closed.push(connection_id);
        self.close_orders.insert(connection_id, close);
    }
    fn stop_reading(&mut self, connection_id: ConnectionId) {
        self.reading_stopped.push(connection_id);
    }
    fn pace_reading(&mut self, connection_id: ConnectionId, pause: Nanos) {
        self.paced.push((connection_id, pause));
    }
    fn send_executor_command(&mut self, line: String) {
        self.executor_lines.push(line.clone());
        match line.strip_prefix(r#"{"t":"SYSINFO","mark":""#) {
            Some(rest) => {
                self.gauges_requested = rest.split('"').next().map(|mark| mark.parse().unwrap())
            }
            None => self.executor_commands.push(line.trim_end().to_owned()),
        }
    }
    fn send_backend_call(
        &mut self,
        place: usize,
        call: CallId,
        id: RequestId,
        bytes: Vec<u8>,
        token: CallInterestToken,
    ) -> bool {
        self.tokens.push(token);
        self.calls
            .push((place, call, id, String::from_utf8(bytes).unwrap()));
        !self.links_are_full
    }
    fn cancel_backend_call(&mut self, place: usize, bytes: Vec<u8>) {
        self.cancelled
            .push((place, String::from_utf8(bytes).unwrap()));
    }
    fn close_backend_link(&mut self, place: usize) {
        self.closed_links.push(place);
    }
    fn change_peers(&mut self, _: PeerAddresses) -> bool {
        true
    }
    fn reconnect_executor(&mut self) {
        self.executor_reconnects += 1;
    }
    fn announce_drain(&mut self) {}
    fn stop_listening(&mut self) {
        self.has_stopped_listening = true;
    }
    fn update_cluster(&mut self, update: ClusterUpdate) {
        self.cluster_updates.push(update);
    }
    fn trace_step(&mut self, _: &str, _: fmt::Arguments<'_>) {}
}

/// A node whose clock the test controls. The node's time is also the Unix time.
pub struct TestNode {
    pub node: Node<Recorder>,
    /// Connection that requests are sent on; a closed one is replaced by a new one.
    pub connection_id: ConnectionId,
    pub now: Nanos,
    /// Whether the executor leaves requests for gauges unanswered; otherwise it answers after 1 s.
    pub is_executor_silent: bool,
    /// Mark of the last answered request for gauges, and the time since which a newer request
    /// waits; 0 if no request waits.
    pub gauges_request: (Option<u64>, Nanos),
}

impl TestNode {
    /// Creates a node whose executor is connected but not up.
    pub fn without_executor(settings: &str) -> TestNode {
        let config = madderpoint_deployment_config::decode(settings.as_bytes()).unwrap();
        let subsystems = crate::capacity::OptionalSubsystems {
            settings: true,
            ..Default::default()
        };
        let capacity = CapacityLimits::of(
            &Limits {
                cores: 1.0,
                memory_mb: 32.0,
                sockets: 64,
            },
            4,
            subsystems,
        );
        let node = Node::new(Recorder::default(), config, 7, 3000 * MS, true, &capacity);
        let (is_executor_silent, gauges_request) = (false, (None, 0));
        let mut node = TestNode {
            node,
            connection_id: ConnectionId(1),
            now: 1000 * MS,
            is_executor_silent,
            gauges_request,
        };
        node.event(Event::Connected(ConnectionId(1), None));
        node.event(Event::ExecutorConnected(0));
        node
    }

    pub fn with_settings(settings: &str) -> TestNode {
        let mut node = TestNode::without_executor(settings);
        node.boot_executor();
        node.executor_commands();
        node
    }

    pub fn new() -> TestNode {
        TestNode::with_settings(wire::SETTINGS)
    }

    pub fn boot_executor(&mut self) {
        self.event(Event::Executor(Notice::Booted {
            cold: false,
            up_ms: 0.0,
        }));
        self.answer_gauges();
    }

    /// Answers the last request for gauges as the executor.
    pub fn answer_gauges(&mut self) {
        let mark = self
            .node
            .with_actions(|actions| actions.gauges_requested)
            .unwrap();
        self.event(Event::Executor(Notice::Info {
            mark,
            values: vec![0.5, 0.1],
        }));
    }

    pub fn event(&mut self, event: Event) {
        let clock = ClockReading {
            now: self.now,
            unix_ms: self.now / MS,
        };
        self.node.handle(clock, event);
    }

    pub fn wait(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while let Some(due) = self.node.next_timer().filter(|&due| due <= end) {
            self.now = due;
            self.node.fire_timers(due);
            self.answer_gauges_when_due();
        }
        self.now = end;
        self.node.fire_timers(end);
    }

    pub fn answer_gauges_when_due(&mut self) {
        let mark = self.node.with_actions(|actions| actions.gauges_requested);
        if self.is_executor_silent || mark == self.gauges_request.0 {
            return;
        }
        if self.gauges_request.1 == 0 {
            self.gauges_request.1 = self.now;
        } else if self.now >= self.gauges_request.1 + 1000 * MS {
            self.gauges_request = (mark, 0);
            self.answer_gauges();
        }
    }

    pub fn send(&mut self, id: u16, params: &[(&str, &str)], body: &[u8]) {
        let conn = self.connection_id;
        if self
            .node
            .with_actions(|actions| actions.closed.contains(&conn))
        {
            self.connection_id.0 += 100;
            self.event(Event::Connected(self.connection_id, None));
        }
        let (params, body) = (wire::pairs(params), body.to_vec());
        let request = fastcgi::Request {
            id,
            keep_conn: true,
            params,
            body,
            oversize: false,
            no_memory: false,
        };
        self.event(Event::LoadBalancer(
            self.connection_id,
            fastcgi::Event::Request(request),
        ));
    }

    pub fn call(&mut self, id: u16, path: &str, correlation_id: &str) {
        let arrived = (self.now / MS).to_string();
        self.send(
            id,
            &wire::call_params(path, correlation_id, &arrived),
            b"body",
        );
    }

    pub fn end_execution(&mut self, correlation_id: &str, end: End, body: &[u8]) {
        self.event(Event::Executor(Notice::ExecutionEnded {
            rid: correlation_id.into(),
            end,
            time_ms: 5.0,
            body: body.to_vec(),
        }));
    }

    pub fn need_backend_call(&mut self, correlation_id: &str, no: u64) {
        self.event(Event::Executor(Notice::BackendCallNeeded {
            no,
            rid: correlation_id.into(),
            body: b"call".to_vec(),
        }));
    }

    pub fn reply_to_call(&mut self, place: usize, correlation_id: &str, outcome: Outcome) {
        self.event(Event::BackendReply(
            place,
            backend::Reply {
                id: correlation_id.into(),
                outcome,
                body: b"reply".to_vec(),
            },
        ));
    }

    pub fn last_call(&mut self) -> (usize, CallId, RequestId, String) {
        self.node
            .with_actions(|actions| actions.calls.last().cloned())
            .unwrap()
    }

    pub fn calls(&mut self) -> usize {
        self.node.with_actions(|actions| actions.calls.len())
    }

    pub fn answers(&mut self) -> Vec<Answer> {
        self.node
            .with_actions(|actions| wire::answers(&mut actions.written, &mut BTreeMap::new()))
    }

    pub fn statuses(&mut self) -> Vec<(u16, String)> {
        self.answers()
            .into_iter()
            .map(|a| (a.id, a.status))
            .collect()
    }

    /// Takes the commands sent to the executor, except requests for gauges.
    pub fn executor_commands(&mut self) -> Vec<String> {
        self.node
            .with_actions(|actions| std::mem::take(&mut actions.executor_commands))
    }

    pub fn break_link(&mut self) {
        self.event(Event::ExecutorDisconnected);
    }

    /// Opens a new link, up to the point where the executor sends missed notices.
    pub fn reconnect(&mut self, last: u64) {
        self.event(Event::ExecutorConnected(last));
        assert_eq!(
            self.executor_commands(),
            [format!(r#"{{"t":"OPEN","no":{last}}}"#)]
        );
        self.event(Event::Executor(Notice::Booted {
            cold: false,
            up_ms: 100.0,
        }));
    }

    pub fn counted(&self, metric: &str) -> u64 {
        self.node.state.borrow().metrics().total(metric)
    }
}

pub fn start_command(correlation_id: &str, route: &str) -> String {
    format!(r#"{{"t":"SCHED","rid":"{correlation_id}","route":"{route}","b64":"Ym9keQ=="}}"#)
}
