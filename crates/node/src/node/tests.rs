//! The core against a recorder in place of the sockets. Each test plays one thing that went or
//! could go wrong.

use super::*;
use crate::actions::{Close, Wanted};
use crate::backend::Outcome;
use crate::cluster::ClusterUpdate;
use crate::config::{ConfigUpdate, Limits, PeerAddresses};
use crate::fastcgi::{ProtocolStatus, Reply};
use madderpoint::Host;
use madderpoint_test_harness::wire::{self as support, Answer};
use std::collections::BTreeMap;
use std::fmt;

mod properties;
mod repeats;
mod rules;
mod shared;

const MS: Nanos = 1_000_000;
const A: &str = "00000000000000aa";
const B: &str = "00000000000000bb";

#[derive(Default)]
struct Recorder {
    written: Vec<u8>,
    closed: Vec<ConnectionId>,
    /// The latest order to close each of them, and those that are not read any more.
    closes: BTreeMap<ConnectionId, Close>,
    deaf: Vec<ConnectionId>,
    kernel: Vec<String>,
    /// The mark of the last question for gauges.
    asked: Option<u64>,
    calls: Vec<(usize, CallId, RequestId, String)>,
    wanted: Vec<Wanted>,
    cancelled: Vec<(usize, String)>,
    no_room_below: bool,
    stopped: bool,
    resting: Vec<usize>,
    renewed: usize,
    paced: Vec<(ConnectionId, Nanos)>,
    words: Vec<ClusterUpdate>,
}

impl Actions for Recorder {
    fn reply(&mut self, _: ConnectionId, reply: Reply) {
        reply
            .slices()
            .iter()
            .for_each(|s| self.written.extend_from_slice(s));
    }
    fn close(&mut self, conn: ConnectionId, close: Close) {
        self.closed.push(conn);
        self.closes.insert(conn, close);
    }
    fn deafen(&mut self, conn: ConnectionId) {
        self.deaf.push(conn);
    }
    fn pace(&mut self, conn: ConnectionId, pause: Nanos) {
        self.paced.push((conn, pause));
    }
    fn kernel(&mut self, line: String) {
        match line.strip_prefix(r#"{"t":"SYSINFO","mark":""#) {
            Some(rest) => self.asked = rest.split('"').next().map(|mark| mark.parse().unwrap()),
            None => self.kernel.push(line.trim_end().to_owned()),
        }
    }
    fn call(
        &mut self,
        place: usize,
        call: CallId,
        id: RequestId,
        bytes: Vec<u8>,
        wanted: Wanted,
    ) -> bool {
        self.wanted.push(wanted);
        self.calls
            .push((place, call, id, String::from_utf8(bytes).unwrap()));
        !self.no_room_below
    }
    fn cancel(&mut self, place: usize, bytes: Vec<u8>) {
        self.cancelled
            .push((place, String::from_utf8(bytes).unwrap()));
    }
    fn rest(&mut self, place: usize) {
        self.resting.push(place);
    }
    fn moved(&mut self, _: PeerAddresses) -> bool {
        true
    }
    fn renew_kernel(&mut self) {
        self.renewed += 1;
    }
    fn leaving(&mut self) {}
    fn stop_listening(&mut self) {
        self.stopped = true;
    }
    fn fleet(&mut self, word: ClusterUpdate) {
        self.words.push(word);
    }
    fn step(&mut self, _: &str, _: fmt::Arguments<'_>) {}
}

/// A node whose clock the test turns. The node's time is also the Unix time.
struct Node {
    core: Core<Recorder>,
    /// The connection in use; another one is made when it was closed.
    conn: ConnectionId,
    now: Nanos,
    /// The kernel answers a question by itself after a second, unless it is silent; the question,
    /// and since when it waits.
    silent: bool,
    question: (Option<u64>, Nanos),
}

impl Node {
    /// A node whose kernel is not up.
    fn waiting(settings: &str) -> Node {
        let start = madderpoint_deployment_config::decode(settings.as_bytes()).unwrap();
        let beside = crate::capacity::OptionalSubsystems {
            settings: true,
            ..Default::default()
        };
        let room = CapacityLimits::of(
            &Limits {
                cores: 1.0,
                memory_mb: 32.0,
                sockets: 64,
            },
            4,
            beside,
        );
        let core = Core::new(Recorder::default(), start, 7, 3000 * MS, true, &room);
        let (silent, question) = (false, (None, 0));
        let mut node = Node {
            core,
            conn: ConnectionId(1),
            now: 1000 * MS,
            silent,
            question,
        };
        node.event(Event::Connected(ConnectionId(1), None));
        node.event(Event::KernelLinked(0));
        node
    }

    fn with(settings: &str) -> Node {
        let mut node = Node::waiting(settings);
        node.boot();
        node.kernel_lines();
        node
    }

    fn new() -> Node {
        Node::with(support::SETTINGS)
    }

    fn boot(&mut self) {
        self.event(Event::Kernel(Notice::Booted {
            cold: false,
            up_ms: 0.0,
        }));
        self.info();
    }

    /// The kernel answers the last question for gauges.
    fn info(&mut self) {
        let mark = self.core.out(|out| out.asked).unwrap();
        self.event(Event::Kernel(Notice::Info {
            mark,
            values: vec![0.5, 0.1],
        }));
    }

    fn event(&mut self, event: Event) {
        let moment = Moment {
            now: self.now,
            unix_ms: self.now / MS,
        };
        self.core.handle(moment, event);
    }

    fn wait(&mut self, ms: u64) {
        let until = self.now + ms * MS;
        while let Some(due) = self.core.next_timer().filter(|&due| due <= until) {
            self.now = due;
            self.core.fire(due);
            self.kernel_answers();
        }
        self.now = until;
        self.core.fire(until);
    }

    fn kernel_answers(&mut self) {
        let asked = self.core.out(|out| out.asked);
        if self.silent || asked == self.question.0 {
            return;
        }
        if self.question.1 == 0 {
            self.question.1 = self.now;
        } else if self.now >= self.question.1 + 1000 * MS {
            self.question = (asked, 0);
            self.info();
        }
    }

    fn send(&mut self, id: u16, params: &[(&str, &str)], body: &[u8]) {
        let conn = self.conn;
        if self.core.out(|out| out.closed.contains(&conn)) {
            self.conn.0 += 100;
            self.event(Event::Connected(self.conn, None));
        }
        let (params, body) = (support::pairs(params), body.to_vec());
        let request = fastcgi::Request {
            id,
            keep_conn: true,
            params,
            body,
            oversize: false,
        };
        self.event(Event::Front(self.conn, fastcgi::Event::Request(request)));
    }

    fn ask(&mut self, id: u16, path: &str, rid: &str) {
        let arrived = (self.now / MS).to_string();
        self.send(id, &support::call(path, rid, &arrived), b"body");
    }

    fn reap(&mut self, rid: &str, end: End, body: &[u8]) {
        self.event(Event::Kernel(Notice::Reap {
            rid: rid.into(),
            end,
            time_ms: 5.0,
            body: body.to_vec(),
        }));
    }

    fn call_wanted(&mut self, rid: &str, no: u64) {
        self.event(Event::Kernel(Notice::IoReq {
            no,
            rid: rid.into(),
            body: b"call".to_vec(),
        }));
    }

    fn reply(&mut self, place: usize, rid: &str, outcome: Outcome) {
        self.event(Event::Reply(
            place,
            backend::Reply {
                id: rid.into(),
                outcome,
                body: b"reply".to_vec(),
            },
        ));
    }

    fn last_call(&mut self) -> (usize, CallId, RequestId, String) {
        self.core.out(|out| out.calls.last().cloned()).unwrap()
    }

    fn calls(&mut self) -> usize {
        self.core.out(|out| out.calls.len())
    }

    fn answers(&mut self) -> Vec<Answer> {
        self.core
            .out(|out| support::answers(&mut out.written, &mut BTreeMap::new()))
    }

    fn statuses(&mut self) -> Vec<(u16, String)> {
        self.answers()
            .into_iter()
            .map(|a| (a.id, a.status))
            .collect()
    }

    /// What the kernel was told, but for questions for gauges.
    fn kernel_lines(&mut self) -> Vec<String> {
        self.core.out(|out| std::mem::take(&mut out.kernel))
    }

    fn break_link(&mut self) {
        self.event(Event::KernelLost);
    }

    /// A new link, up to where the kernel sends what was missed.
    fn relink(&mut self, last: u64) {
        self.event(Event::KernelLinked(last));
        assert_eq!(
            self.kernel_lines(),
            [format!(r#"{{"t":"OPEN","no":{last}}}"#)]
        );
        self.event(Event::Kernel(Notice::Booted {
            cold: false,
            up_ms: 100.0,
        }));
    }

    fn counted(&self, what: &str) -> u64 {
        self.core.desk.borrow().counted(what)
    }
}

fn sched(rid: &str, route: &str) -> String {
    format!(r#"{{"t":"SCHED","rid":"{rid}","route":"{route}","b64":"Ym9keQ=="}}"#)
}

// ---- Dispatchers ----

#[test]
fn an_invocation_gets_the_kernels_bytes_once() {
    let mut node = Node::new();
    node.ask(9, "/call/read", A);
    assert_eq!(node.kernel_lines(), [sched(A, "read")]);
    node.reap(A, End::Ok, b"\0\xffresult");
    node.reap(A, End::Ok, b"again");
    let answers = node.answers();
    assert_eq!(answers.len(), 1);
    assert_eq!(
        (answers[0].id, &answers[0].status[..], &answers[0].body[..]),
        (9, "200", &b"\0\xffresult"[..])
    );
    assert_eq!(node.counted("kernel: ends of what does not run"), 1);
}

#[test]
fn a_failed_run_is_an_error_and_a_late_arrival_is_throttled_for_good() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    node.reap(A, End::Error, b"");
    node.wait(5000);
    node.send(2, &support::call("/call/read", B, "1000"), b"");
    let answers = node.answers();
    assert_eq!(
        (&answers[0].status[..], &answers[1].status[..]),
        ("500", "429")
    );
    assert_eq!(answers[1].fields["X-Stop-Trying"], "1");
    assert!(answers[1].fields.contains_key("X-Backend-Says"));
    assert_eq!(node.kernel_lines().len(), 1);
}

#[test]
fn an_arrival_from_the_future_counts_from_now() {
    let mut node = Node::new();
    node.send(1, &support::call("/call/read", A, "5000"), b"body");
    node.wait(2900);
    assert_eq!(node.statuses(), []);
    node.wait(100);
    assert_eq!(node.statuses(), [(1, "500".into())]);
}

#[test]
fn what_cannot_be_read_gets_one_proper_answer() {
    let mut node = Node::new();
    let good = support::call("/call/read", A, "1000");
    let but = |name: &'static str, value: Option<&'static str>| {
        let mut params: Vec<_> = good.iter().copied().filter(|(n, _)| *n != name).collect();
        params.extend(value.map(|v| (name, v)));
        params
    };
    let cases = [
        (but("SCRIPT_NAME", Some("/call/dance")), "404"),
        (but("SCRIPT_NAME", Some("/else")), "404"),
        (but("SCRIPT_NAME", None), "400"),
        (but("REQUEST_METHOD", Some("GET")), "405"),
        (but("HTTP_X_CORRELATION_ID", Some("aa")), "400"),
        (but("HTTP_X_ARRIVED_MS", Some("-5")), "400"),
        (but("HTTP_X_ARRIVED_MS", None), "400"),
        (but("HTTP_X_ARRIVED_MS", Some("9999999")), "400"),
        (
            but("HTTP_X_ARRIVED_MS", Some("18446744073709551615")),
            "400",
        ),
        (but("HTTP_X_CRITICALITY", Some("1.5")), "400"),
        (but("HTTP_X_CRITICALITY", Some("inf")), "400"),
        (but("HTTP_X_ESTIMATE_MS", Some("-1")), "400"),
        (but("HTTP_X_ORG", Some("nobody")), "404"),
        (but("HTTP_X_ORG", None), "404"),
        (but("HTTP_X_UPSTREAM_PEER", Some("-1")), "400"),
        (but("HTTP_X_ESTIMATE_MS", Some("NaN")), "400"),
        (but("HTTP_X_NEED_KB", Some("2000")), "400"),
        (but("HTTP_X_NEED_KB", Some("0")), "400"),
        (but("HTTP_X_NEED_KB", None), "400"),
        (but("HTTP_X_SUBJECT", Some("xyz")), "400"),
    ];
    for (i, (params, status)) in cases.iter().enumerate() {
        node.send(i as u16, params, b"");
        assert_eq!(
            node.statuses(),
            [(i as u16, status.to_string())],
            "{params:?}"
        );
    }
    assert_eq!(node.kernel_lines().len(), 0);
    let long_past = support::call("/call/read", A, "1000");
    node.now = 100_000 * MS;
    node.send(49, &long_past, b"");
    assert_eq!(node.statuses(), [(49, "400".into())]);
    node.now = 1000 * MS;
    // Without hints it is served.
    let mut params = but("HTTP_X_ESTIMATE_MS", None);
    params.retain(|(n, _)| *n != "HTTP_X_UPSTREAM_PEER");
    params.push(("HTTP_X_UPSTREAM_PEER", "4000000000000")); // numbers are always new
    node.send(50, &params, b"body");
    assert_eq!(node.kernel_lines(), [sched(A, "read")]);
    // Its id may not be used beside it.
    node.ask(51, "/call/read", A);
    assert_eq!(node.statuses(), [(51, "409".into())]);
}

#[test]
fn more_than_may_be_open_is_turned_away_unseen() {
    let mut node = Node::with(&support::SETTINGS.replace("\"Cores\": 1", "\"Cores\": 12"));
    for id in 0..=fastcgi::MAX_OPEN as u16 {
        node.ask(id, "/call/read", &format!("{id:016x}"));
    }
    let answers = node.answers();
    let unseen = |a: &Answer| a.protocol_status == ProtocolStatus::Overloaded as u8;
    assert!(
        answers
            .iter()
            .all(|a| unseen(a) == (a.id == fastcgi::MAX_OPEN as u16)),
        "{answers:?}"
    );
}

#[test]
fn a_caller_that_left_is_owed_nothing() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    node.ask(2, "/call/read", B); // held: one core
    node.kernel_lines();
    node.event(Event::Front(ConnectionId(1), fastcgi::Event::Abort(2)));
    node.event(Event::Front(ConnectionId(1), fastcgi::Event::Abort(1)));
    assert_eq!(
        node.kernel_lines(),
        [format!(r#"{{"t":"PREEMPT","rid":"{A}"}}"#)]
    );
    node.reap(A, End::Stopped, b"");
    let ends = node.answers();
    assert!(
        ends.len() == 2 && ends.iter().all(|a| a.status.is_empty()),
        "{ends:?}"
    );
    // Both ids may be used again, on the connection and at the kernel.
    node.ask(1, "/call/read", B);
    assert_eq!(node.kernel_lines(), [sched(B, "read")]);
    node.event(Event::Disconnected(ConnectionId(1)));
    assert_eq!(
        node.kernel_lines(),
        [format!(r#"{{"t":"PREEMPT","rid":"{B}"}}"#)]
    );
}

#[test]
fn a_halt_that_crosses_an_end_leaves_nothing_behind() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    node.event(Event::Front(ConnectionId(1), fastcgi::Event::Abort(1)));
    node.reap(A, End::Ok, b"late");
    assert!(node.answers().iter().all(|a| a.status.is_empty()));
    node.kernel_lines();
    node.ask(2, "/call/read", B);
    assert_eq!(node.kernel_lines(), [sched(B, "read")]);
}

#[test]
fn a_connection_that_is_not_to_be_kept_closes_after_its_last_answer() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    let params = support::pairs(&[("SCRIPT_NAME", "/ping")]);
    let check = fastcgi::Request {
        id: 2,
        keep_conn: false,
        params,
        body: Vec::new(),
        oversize: false,
    };
    node.event(Event::Front(
        ConnectionId(1),
        fastcgi::Event::Request(check),
    ));
    assert_eq!(
        (node.statuses(), node.core.out(|out| out.closed.len())),
        (vec![(2, "200".into())], 0)
    );
    node.reap(A, End::Ok, b"");
    assert_eq!(node.core.out(|out| out.closed.clone()), [ConnectionId(1)]);
}

#[test]
fn an_id_begun_twice_ends_its_connection_after_the_first_answer_and_runs_nothing_more() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    node.ask(1, "/call/read", B);
    assert_eq!(node.kernel_lines(), [sched(A, "read")]);
    let conn = node.conn;
    assert_eq!(
        node.core.out(|out| (out.deaf.clone(), out.closed.len())),
        (vec![conn], 0)
    );
    node.reap(A, End::Ok, b"first");
    assert_eq!(
        node.answers()
            .iter()
            .map(|a| &a.body[..])
            .collect::<Vec<_>>(),
        [b"first"]
    );
    assert_eq!(node.core.out(|out| out.closed.clone()), [conn]);
}

#[test]
fn connections_close_when_idle_and_only_then() {
    let mut node = Node::new();
    node.event(Event::Connected(ConnectionId(2), None));
    node.ask(1, "/call/read", A);
    node.core.desk.borrow_mut().close_idle(30 * MS);
    node.wait(1490);
    assert_eq!(node.core.out(|out| out.closed.len()), 0);
    node.wait(20); // the first request may take longer than a pause between two, but not for good
    assert_eq!(node.core.out(|out| out.closed.clone()), [ConnectionId(2)]);
    node.reap(A, End::Ok, b"");
    node.wait(20);
    assert_eq!(node.core.out(|out| out.closed.len()), 1);
    node.wait(20);
    assert_eq!(
        node.core.out(|out| out.closed.clone()),
        [ConnectionId(2), ConnectionId(1)]
    );
    // What the reader had handed on before the order came was read: it is answered, and the order
    // is void.
    assert_eq!(node.core.out(|out| out.closes[&ConnectionId(1)].heard), 1);
    let (keep_conn, params) = (
        true,
        support::pairs(&support::call("/call/read", B, "3000")),
    );
    let request = fastcgi::Request {
        id: 2,
        keep_conn,
        params,
        body: b"body".to_vec(),
        oversize: false,
    };
    node.event(Event::Front(
        ConnectionId(1),
        fastcgi::Event::Request(request),
    ));
    assert_eq!(node.kernel_lines()[1..], [sched(B, "read")]);
    assert_eq!(node.statuses(), [(1, "200".into())]);
    node.reap(B, End::Ok, b"");
    assert_eq!(node.statuses(), [(2, "200".into())]);
    node.wait(40);
    assert_eq!(
        node.core.out(|out| out.closed[2..].to_vec()),
        [ConnectionId(1)]
    );
    assert_eq!(
        node.core.out(|out| out.closes[&ConnectionId(1)].heard),
        2,
        "the next order knows of it"
    );
}

#[test]
fn room_is_made_by_closing_strangers_first_and_then_what_is_idle_for_longest() {
    let mut node = Node::new();
    let served = |node: &mut Node, conn: u64, times: u16| {
        node.conn = ConnectionId(conn);
        node.event(Event::Connected(node.conn, None));
        for id in 1..=times {
            node.ask(id, "/call/read", A);
            node.reap(A, End::Ok, b"");
        }
        node.wait(10);
    };
    served(&mut node, 2, 2); // a dispatcher's, idle for longest
    served(&mut node, 3, 2);
    served(&mut node, 4, 1); // asked once and stayed
    served(&mut node, 5, 0); // says nothing
    node.event(Event::Crowded);
    assert_eq!(node.core.out(|out| out.closed.clone()), [ConnectionId(4)]); // the silent one is young yet
    node.wait(200);
    node.conn = ConnectionId(3);
    node.ask(9, "/call/read", A); // something is open on it
    (0..4).for_each(|_| node.event(Event::Crowded));
    assert_eq!(
        node.core.out(|out| out.closed.clone()),
        [
            ConnectionId(4),
            ConnectionId(1),
            ConnectionId(5),
            ConnectionId(2)
        ]
    );
    // Above the mark each new connection makes room before it is needed.
    (100..136).for_each(|conn| node.event(Event::Connected(ConnectionId(conn), None)));
    node.wait(200);
    assert_eq!(node.core.out(|out| out.closed.len()), 4);
    node.event(Event::Connected(ConnectionId(200), None));
    assert_eq!(node.core.out(|out| out.closed.len()), 5);
}

/// One that asks again as soon as it is turned away once took a node's processor to itself.
#[test]
fn strangers_are_read_ever_more_slowly_and_then_closed() {
    let mut node = Node::new();
    let paced = |node: &mut Node| {
        node.core
            .out(|out| out.paced.iter().map(|p| p.1 / MS).collect::<Vec<_>>())
    };
    for id in 1..=6 {
        assert_eq!(node.core.out(|out| out.closed.len()), 0);
        node.ask(id, "/call/dance", A);
    }
    assert_eq!(paced(&mut node), [50, 100, 200, 400, 800, 1600]);
    assert_eq!(node.core.out(|out| out.closed.clone()), [ConnectionId(1)]);
    node.ask(1, "/call/read", A); // on a new connection; the kernel does not know it
    node.event(Event::Kernel(Notice::EInval {
        command: "SCHED".into(),
        rid: A.into(),
    }));
    assert_eq!(paced(&mut node).len(), 7);
    node.ask(2, "/call/read", B); // but this succeeds
    node.reap(B, End::Ok, b"");
    assert_eq!(paced(&mut node)[7..], [0]);
    node.wait(5000);
    let old = (node.now / MS - 4000).to_string(); // too late to be run
    (0..1000).for_each(|id| node.send(id, &support::call("/call/read", A, &old), b""));
    assert_eq!(paced(&mut node).len(), 8); // a dispatcher may be turned away at any rate
    node.conn = ConnectionId(9);
    node.event(Event::Connected(ConnectionId(9), None));
    (0..128).for_each(|id| node.send(id, &support::call("/call/read", A, &old), b""));
    assert_eq!(paced(&mut node)[8..], [50]);
}

// ---- Health and gauges ----

#[test]
fn checks_are_answered_from_store_or_by_work_and_never_wait_for_long() {
    let deep = [("SCRIPT_NAME", "/ping"), ("QUERY_STRING", "x=2&e2e=1")];
    let mut node = Node::waiting(support::SETTINGS);
    node.send(1, &deep, b"");
    assert_eq!(node.statuses(), [(1, "503".into())]);
    node.boot();
    node.send(2, &deep, b"");
    assert_eq!(node.statuses(), [(2, "200".into())]);
    AdmissionHost(Rc::clone(&node.core.desk)).set_health(true, false);
    node.kernel_lines();
    for (id, ok, status) in [(3, true, "200"), (4, false, "503")] {
        node.send(id, &deep, b"");
        let post = node.kernel_lines().pop().unwrap();
        let mark = post.split('"').nth(7).unwrap().parse().unwrap();
        node.event(Event::Kernel(Notice::Posted { mark, ok }));
        assert_eq!(node.statuses(), [(id, status.into())]);
    }
    node.send(5, &deep, b"");
    node.wait(2000);
    assert_eq!(node.statuses(), [(5, "503".into())]);
    node.break_link();
    node.send(6, &deep, b"");
    assert_eq!(node.statuses(), [(6, "503".into())]);
}

#[test]
fn alarms_get_fresh_gauges_and_wait_for_none() {
    let mut node = Node::new();
    node.core.out(|out| out.asked = None);
    node.wait(480); // shortly before the first alarm
    node.info();
    assert_eq!(node.core.desk.borrow().gauges().cpu_busy, Some(0.5));
    node.wait(101);
    assert_eq!(node.core.desk.borrow().gauges().cpu_busy, None);
    let due = node.core.next_timer().unwrap();
    node.wait(1000); // the kernel says nothing
    assert!(node.core.next_timer().unwrap() > due + 500 * MS);
}

// ---- The kernel's link ----

#[test]
fn nothing_is_read_before_the_kernel_is_up() {
    let mut node = Node::waiting(support::SETTINGS);
    node.ask(1, "/call/read", A);
    assert_eq!(node.statuses(), [(1, "503".into())]);
    node.boot();
    node.ask(1, "/call/read", A);
    assert_eq!(node.kernel_lines()[1..], [sched(A, "read")]);
}

#[test]
fn a_run_that_ended_without_a_link_is_answered_and_not_run_again() {
    let mut node = Node::new();
    node.ask(1, "/call/pay", A);
    node.kernel_lines();
    node.break_link();
    node.relink(0);
    node.reap(A, End::Ok, b"paid");
    node.info();
    assert_eq!(node.kernel_lines(), [""; 0]);
    assert_eq!(node.statuses(), [(1, "200".into())]);
}

#[test]
fn commands_wait_until_the_link_is_in_step() {
    let mut node = Node::new();
    node.break_link();
    node.ask(1, "/call/pay", A);
    assert_eq!(node.kernel_lines(), [""; 0]);
    node.relink(4);
    assert_eq!(node.kernel_lines(), [""; 0]);
    node.break_link(); // once more, in the middle of the replay
    node.relink(4);
    node.info();
    assert_eq!(node.kernel_lines(), [sched(A, "pay")]);
}

#[test]
fn only_what_may_run_twice_is_sent_again() {
    let mut node = Node::with(&support::SETTINGS.replace("\"Cores\": 1", "\"Cores\": 3"));
    node.ask(1, "/call/read", A);
    node.ask(2, "/call/pay", B);
    assert_eq!(node.kernel_lines().len(), 2);
    node.break_link();
    node.relink(0);
    node.info();
    assert_eq!(node.kernel_lines(), [sched(A, "read")]);
    assert_eq!(node.counted("runs in doubt after a broken link"), 1);
    // Gauges that came back show that the commands before them arrived: then nothing is in doubt.
    node.wait(480);
    node.info();
    node.break_link();
    node.relink(0);
    node.info();
    assert_eq!(node.kernel_lines(), [""; 0]);
    node.wait(3000);
    assert_eq!(node.statuses().len(), 2);
}

/// A run in doubt once held its caller until the client timeout.
#[test]
fn a_run_in_doubt_errs_soon_and_gives_its_place_back() {
    let mut node = Node::new();
    node.ask(1, "/call/pay", A);
    let asked = node.core.out(|out| out.asked);
    node.wait(10);
    assert!(node.core.out(|out| out.asked) > asked); // a mark follows soon: it would have settled this
    assert_eq!(node.kernel_lines(), [sched(A, "pay")]);
    node.break_link();
    node.relink(0);
    node.info();
    node.kernel_lines();
    node.wait(1000);
    assert_eq!(node.statuses(), [(1, "500".into())]);
    assert_eq!(node.kernel_lines(), [sched(A, "pay")]); // its request is over: this only asks
    node.reap(A, End::Moot, b"");
    node.ask(2, "/call/pay", B);
    assert_eq!(node.kernel_lines(), [sched(B, "pay")]);
}

#[test]
fn a_new_configuration_moves_the_kernels_link_without_doubt() {
    let mut node = Node::new();
    let address = ([127, 0, 0, 1], 1).into();
    let peers = PeerAddresses {
        executor: address,
        service_registry: address,
        backend: Some(address),
    };
    node.ask(1, "/call/pay", A);
    assert_eq!(node.kernel_lines(), [sched(A, "pay")]);
    node.event(Event::Moved(ConfigUpdate {
        peers,
        needs_restart: vec![],
    }));
    node.ask(2, "/call/read", B);
    assert_eq!(
        (node.kernel_lines(), node.core.out(|out| out.renewed)),
        (vec![], 0)
    ); // on its way, and waiting
    node.info();
    assert_eq!(node.core.out(|out| out.renewed), 1);
    node.info(); // the old link says nothing that counts any more
    node.break_link();
    node.relink(0);
    node.info();
    assert_eq!(node.counted("runs in doubt after a broken link"), 0);
    node.reap(A, End::Ok, b"result");
    assert_eq!(node.kernel_lines(), [sched(B, "read")]);
    node.event(Event::Moved(ConfigUpdate {
        peers,
        needs_restart: vec![],
    }));
    node.wait(150); // a kernel that says nothing is not waited for
    assert_eq!(node.core.out(|out| out.renewed), 2);
    node.event(Event::Moved(ConfigUpdate {
        peers,
        needs_restart: vec![],
    })); // nor is a link that is going already
    assert_eq!(node.core.out(|out| out.renewed), 3);
}

/// Half a notice and then nothing, on a link that stays open: all that ran once waited for its
/// client timeout.
#[test]
fn a_link_that_brings_nothing_is_made_anew_and_a_late_kernel_is_waited_for() {
    let renewed = |node: &mut Node| node.core.out(|out| out.renewed);
    let mut node = Node::new();
    node.silent = true;
    node.wait(1900);
    node.ask(1, "/call/read", A);
    assert_eq!(renewed(&mut node), 0);
    node.wait(1200);
    assert_eq!(
        (
            renewed(&mut node),
            node.counted("kernel: links gone silent")
        ),
        (1, 1)
    );
    node.break_link();
    node.kernel_lines();
    node.relink(0);
    node.info();
    assert_eq!(node.kernel_lines(), [sched(A, "read")]);
    // It answers within its time, if late each time.
    for _ in 0..10 {
        node.wait(1500);
        node.info();
    }
    assert_eq!(renewed(&mut node), 1);
    // The machine stood still: what came meanwhile is heard before another look.
    node.now += 60_000 * MS;
    node.core.fire(node.now);
    node.info();
    node.wait(1000);
    assert_eq!(renewed(&mut node), 1);
    // Before BOOTED the kernel may take its time.
    let mut node = Node::waiting(support::SETTINGS);
    node.wait(30_000);
    assert_eq!(renewed(&mut node), 0);
}

#[test]
fn a_reply_that_found_no_link_is_handed_over_later() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    node.call_wanted(A, 1);
    node.break_link();
    node.reply(0, A, Outcome::Ok);
    node.kernel_lines();
    node.relink(1);
    node.info();
    let done = format!(r#"{{"t":"IODONE","rid":"{A}","b64":"cmVwbHk="}}"#);
    assert_eq!(node.kernel_lines(), std::slice::from_ref(&done));
    node.break_link(); // it may not have arrived
    node.relink(1);
    node.info();
    assert_eq!(node.kernel_lines(), [done]);
    node.break_link();
    node.relink(1);
    node.call_wanted(A, 2); // it had: the run came to its next call
    node.info();
    assert_eq!((node.kernel_lines(), node.calls()), (vec![], 2));
}

#[test]
fn a_run_stopped_before_the_kernel_heard_of_it_is_over() {
    let mut node = Node::new();
    node.break_link();
    node.ask(1, "/call/pay", A);
    node.event(Event::Front(ConnectionId(1), fastcgi::Event::Abort(1)));
    node.relink(0);
    node.info();
    assert_eq!(node.kernel_lines(), [""; 0]);
    node.ask(2, "/call/pay", B); // its place is free
    assert_eq!(node.kernel_lines(), [sched(B, "pay")]);
}

#[test]
fn a_run_whose_end_was_missed_gives_its_place_back() {
    let mut node = Node::new();
    node.ask(1, "/call/pay", A);
    node.kernel_lines();
    node.break_link();
    node.wait(20_000); // nobody is asked without a link
    node.relink(0);
    node.info();
    node.kernel_lines();
    node.wait(11_000); // it erred at its client timeout, and nobody has heard of it since
    assert_eq!(node.statuses(), [(1, "500".into())]);
    assert!(node.kernel_lines().contains(&sched(A, "pay")));
    node.reap(A, End::Moot, b"");
    node.ask(2, "/call/pay", B);
    assert_eq!(node.kernel_lines(), [sched(B, "pay")]);
}

#[test]
fn a_run_that_the_kernel_does_not_take_errs() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    node.event(Event::Kernel(Notice::EInval {
        command: "SCHED".into(),
        rid: A.into(),
    }));
    node.event(Event::Kernel(Notice::EInval {
        command: "NOIO".into(),
        rid: "zz".into(),
    }));
    assert_eq!(node.statuses(), [(1, "500".into())]);
    assert_eq!(node.counted("kernel: commands not carried out"), 2);
}

// ---- Calls below ----

#[test]
fn a_call_goes_out_whole_and_its_reply_comes_back_unchanged() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    node.call_wanted(A, 1);
    let (_, _, _, bytes) = node.last_call();
    assert!(
        bytes.starts_with(&format!("invoke {A} ")) && bytes.ends_with(" 4\r\ncall\r\n"),
        "{bytes}"
    );
    node.kernel_lines();
    node.reply(0, A, Outcome::Ok);
    assert_eq!(
        node.kernel_lines(),
        [format!(r#"{{"t":"IODONE","rid":"{A}","b64":"cmVwbHk="}}"#)]
    );
}

#[test]
fn a_late_reply_is_not_taken_for_a_newer_calls() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    node.call_wanted(A, 1);
    node.wait(1);
    node.reply(0, A, Outcome::Ok); // shows how long calls take
    node.call_wanted(A, 2);
    node.kernel_lines();
    let (first, ..) = node.last_call();
    node.wait(20); // far longer: it is given up and made again
    assert_eq!(
        node.core.out(|out| out.cancelled.clone()),
        [(first, format!("cancel {A}\r\n"))]
    );
    assert_eq!(node.calls(), 3);
    let (second, ..) = node.last_call();
    assert_ne!(first, second);
    node.reply(first, A, Outcome::Ok);
    assert_eq!(node.kernel_lines(), [""; 0]);
    node.reply(second, A, Outcome::Ok);
    assert_eq!(node.kernel_lines().len(), 1);
}

#[test]
fn what_may_have_run_below_is_not_called_again() {
    let link = |generation| BackendLink {
        place: 0,
        generation,
    };
    for (path, written, again) in [
        ("/call/read", true, 2),
        ("/call/pay", true, 1),
        ("/call/pay", false, 2),
    ] {
        let mut node = Node::new();
        node.ask(1, path, A);
        node.call_wanted(A, 1);
        let (_, no, id, _) = node.last_call();
        if written {
            node.event(Event::CallWritten(no, id, link(1)));
            node.event(Event::BackendLost(link(1), None));
        } else {
            node.event(Event::BackendLost(link(1), None)); // another call's connection
            node.event(Event::CallUnsent(no, id));
        }
        assert_eq!(node.calls(), again, "{path} {written}");
        assert_eq!(node.statuses().len(), 2 - again, "{path} {written}");
    }
}

#[test]
fn a_connection_that_ended_before_word_of_its_call_came_counts() {
    let mut node = Node::new();
    node.ask(1, "/call/pay", A);
    node.call_wanted(A, 1);
    let (_, no, id, _) = node.last_call();
    let link = BackendLink {
        place: 0,
        generation: 1,
    };
    node.event(Event::BackendLost(link, None));
    assert_eq!(node.statuses(), []);
    node.event(Event::CallWritten(no, id, link));
    assert_eq!(node.statuses(), [(1, "500".into())]);
}

/// What a peer spoils is counted by its cause, and nothing that is owed goes with it.
#[test]
fn what_is_malformed_or_cut_is_counted_by_cause() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    let link = BackendLink {
        place: 0,
        generation: 1,
    };
    node.event(Event::Garbled(node.conn, "record of an unknown version"));
    node.event(Event::CutShort);
    node.event(Event::BackendLost(link, Some("reply cut short")));
    let counted = |what: &str| node.core.desk.borrow().counted(what);
    let causes = [
        "record of an unknown version",
        "dispatcher: request cut short",
        "reply cut short",
    ];
    assert_eq!(causes.map(counted), [1; 3]);
    node.reap(A, End::Ok, b"result");
    assert_eq!(node.statuses(), [(1, "200".into())]);
}

#[test]
fn a_quiet_link_rests_only_when_no_reply_is_awaited_on_it() {
    let mut node = Node::new();
    node.ask(1, "/call/pay", A);
    node.call_wanted(A, 1);
    node.event(Event::BackendQuiet(0));
    node.event(Event::BackendQuiet(1));
    assert_eq!(node.core.out(|out| out.resting.clone()), [1]);
    node.reply(0, A, Outcome::Ok);
    node.event(Event::BackendQuiet(0));
    assert_eq!(node.core.out(|out| out.resting.clone()), [1, 0]);
}

/// A back end that swallows one reply and keeps the connection open answers no other call on it
/// either. With all calls on one connection every later one timed out.
#[test]
fn calls_are_spread_and_go_round_a_link_that_has_gone_silent() {
    let mut node = Node::with(&support::SETTINGS.replace("\"Cores\": 1", "\"Cores\": 20"));
    let mut n = 0;
    let mut next = |node: &mut Node| {
        n += 1u16;
        let rid = format!("{n:016x}");
        node.ask(n, "/call/read", &rid);
        node.call_wanted(&rid, n.into());
        (node.last_call().0, rid)
    };
    assert_eq!(next(&mut node).0, 0); // this one gets no reply
    for _ in 0..8 {
        let (place, rid) = next(&mut node);
        assert_eq!(place, 1);
        node.reply(1, &rid, Outcome::Ok);
    }
    let places: Vec<_> = (0..9).map(|_| next(&mut node).0).collect();
    assert_eq!(places, [1, 2, 3, 4, 5, 6, 7, 1, 2]);
    assert_eq!(node.core.out(|out| out.resting.len()), 0);
    node.wait(1000); // the first call's time is up
    assert_eq!(node.core.out(|out| out.resting.clone()), [0]);
}

#[test]
fn a_call_is_wanted_until_its_limit_its_end_or_that_of_its_run() {
    type Way = fn(&mut Node);
    let ways: [(Way, &str); 4] = [
        (|node| node.wait(2980), "its limit"),
        (|node| node.reply(0, A, Outcome::Ok), "its reply"),
        (|node| node.reap(A, End::Stopped, b""), "the end of its run"),
        (
            |node| node.event(Event::CallUnsent(CallId(1), RequestId(1))),
            "word that it was not written",
        ),
    ];
    for (way, what) in ways {
        let mut node = Node::new();
        node.ask(1, "/call/pay", A);
        node.call_wanted(A, 1);
        let wanted = node.core.out(|out| out.wanted[0].clone());
        assert!(wanted.is_so());
        way(&mut node);
        assert!(
            !wanted.is_so(),
            "after {what} it must not be written any more"
        );
    }
}

#[test]
fn replies_judge_what_ran() {
    for (outcome, again) in [
        (Outcome::Overload, true),
        (Outcome::Stale, true),
        (Outcome::Internal, false),
        (Outcome::Deadline, false),
    ] {
        let mut node = Node::new();
        node.ask(1, "/call/pay", A);
        node.call_wanted(A, 1);
        node.reply(0, A, outcome);
        assert_eq!(
            (node.calls() == 2, node.statuses().is_empty()),
            (again, again),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_call_that_finds_no_room_never_ran() {
    let mut node = Node::new();
    node.core.out(|out| out.no_room_below = true);
    node.ask(1, "/call/pay", A);
    node.call_wanted(A, 1);
    assert_eq!(
        (node.calls(), node.statuses()),
        (3, vec![(1, "500".into())])
    );
}

#[test]
fn calls_that_cross_a_halt_are_given_up_with_the_run() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    node.event(Event::Front(ConnectionId(1), fastcgi::Event::Abort(1)));
    node.call_wanted(A, 1); // crossed the halt
    assert_eq!(node.calls(), 0);
    node.reap(A, End::Stopped, b"");
    node.call_wanted(A, 2);
    assert_eq!(node.counted("kernel: calls of what does not run"), 1);
    node.ask(1, "/call/read", B);
    node.call_wanted(B, 3);
    node.reap(B, End::Stopped, b"");
    assert_eq!(node.core.out(|out| out.cancelled.len()), 1);
    node.reply(0, B, Outcome::Ok);
    assert_eq!(node.counted("back end: replies to calls given up"), 1);
}

// ---- Joins ----

#[test]
fn like_reads_share_a_result_while_it_is_fresh() {
    let mut node = Node::with(&support::SETTINGS.replace("\"Fresh\": 0.0", "\"Fresh\": 1.0"));
    let ask = |node: &mut Node, id, rid| {
        let arrived = (node.now / MS).to_string();
        let mut params = support::call("/call/read", rid, &arrived);
        params.push(("HTTP_X_SUBJECT", "7f3a9c21e0b4d655"));
        node.send(id, &params, b"body");
    };
    ask(&mut node, 1, A);
    ask(&mut node, 2, B);
    assert_eq!(node.kernel_lines(), [sched(A, "read")]);
    node.reap(A, End::Ok, b"shared");
    ask(&mut node, 3, "00000000000000cc");
    let answers = node.answers();
    assert_eq!(
        answers
            .iter()
            .map(|a| (a.id, &a.body[..]))
            .collect::<Vec<_>>(),
        [(1, &b"shared"[..]), (2, b"shared"), (3, b"shared")]
    );
    node.wait(1001);
    ask(&mut node, 4, A);
    ask(&mut node, 5, B);
    assert_eq!(node.kernel_lines(), [sched(A, "read")]);
    node.reap(A, End::Error, b"");
    assert_eq!(node.statuses(), [(4, "500".into()), (5, "500".into())]);
}

#[test]
fn reads_about_one_subject_are_alike_only_with_one_body_and_tenant() {
    let settings = support::SETTINGS.replace("\"Fresh\": 0.0", "\"Fresh\": 1.0");
    let mut node =
        Node::with(&settings.replace("}]}", r#"}, {"Name": "other", "QuotaRps": 50.0}]}"#));
    let ask = |node: &mut Node, id, rid, tenant, body: &[u8]| {
        let params = support::call("/call/read", rid, "1000");
        let params: Vec<_> = params
            .into_iter()
            .filter(|(name, _)| *name != "HTTP_X_ORG")
            .collect();
        let more = vec![
            ("HTTP_X_SUBJECT", "7f3a9c21e0b4d655"),
            ("HTTP_X_ORG", tenant),
        ];
        node.send(id, &[params, more].concat(), body);
    };
    ask(&mut node, 1, A, "acme", b"body");
    node.reap(A, End::Ok, b"mine");
    node.kernel_lines();
    node.answers();
    ask(&mut node, 2, B, "other", b"body");
    assert_eq!(
        node.kernel_lines(),
        [sched(B, "read")],
        "another customer's answer is not theirs"
    );
    node.reap(B, End::Ok, b"theirs");
    ask(&mut node, 3, "00000000000000cc", "acme", b"else");
    assert_eq!(node.kernel_lines().len(), 1, "another question");
    ask(&mut node, 4, "00000000000000dd", "acme", b"body");
    assert_eq!(node.answers().pop().unwrap().body, b"mine");
}

// ---- Leaving ----

#[test]
fn a_drain_answers_all_and_runs_nothing_past_the_grace() {
    let mut node = Node::new();
    node.ask(1, "/call/read", A);
    node.event(Event::Drain);
    node.wait(400);
    node.ask(2, "/call/read", B); // within the grace
    node.event(Event::Drain); // changes nothing
    node.wait(101);
    assert!(node.core.out(|out| out.stopped));
    node.kernel_lines();
    node.ask(3, "/call/read", "00000000000000cc");
    assert_eq!(
        (node.kernel_lines(), node.statuses()),
        (vec![], vec![(3, "429".into())])
    );
    node.reap(A, End::Ok, b"");
    assert_eq!(node.kernel_lines(), [sched(B, "read")]);
    node.wait(2349); // the stop is in 150 ms
    assert_eq!(node.statuses(), [(1, "200".into()), (2, "500".into())]);
    assert_eq!(node.core.out(|out| out.closed.clone()), [ConnectionId(1)]);
    assert!(!node.core.has_left());
    node.event(Event::Disconnected(ConnectionId(1)));
    assert!(
        !node.core.has_left(),
        "a connection may wait in the listen backlog"
    );
    node.event(Event::NotListening);
    assert!(node.core.has_left());
}

#[test]
fn a_notice_before_the_kernel_is_up_holds_afterwards() {
    let mut node = Node::waiting(support::SETTINGS);
    node.event(Event::Drain);
    node.wait(100);
    node.boot();
    node.kernel_lines();
    node.ask(1, "/call/read", A);
    assert_eq!(
        (node.kernel_lines(), node.statuses()),
        (vec![], vec![(1, "503".into())])
    );
}
