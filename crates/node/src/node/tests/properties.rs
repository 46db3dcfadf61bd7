//! Settings of any customer, and what happens in any order, against the four rules: the node is
//! given operations with odd names, any effects, times, windows and limits, and requests, repeats,
//! leaves, broken links, calls and the notice to leave.

use super::*;
use crate::executor::Notice;
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// What an operation is to a test.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Effect {
    Idempotent,
    Tokened,
    NonIdempotent,
}

#[derive(Clone, Debug)]
struct Operation {
    name: String,
    effect: Effect,
    aim_ms: u64,
    timeout_ms: u64,
    window_ms: u64,
    calls: bool,
    skips: bool,
}

#[derive(Clone, Debug)]
struct Site {
    operations: Vec<Operation>,
    tenants: Vec<String>,
    settings: String,
    grace_ms: u64,
}

fn operation() -> impl Strategy<Value = Operation> {
    let effect = prop_oneof![
        Just(Effect::Idempotent),
        Just(Effect::Tokened),
        Just(Effect::NonIdempotent)
    ];
    let name = prop_oneof![3 => "[a-z]{1,8}", 1 => "[^/]{1,12}", 1 => "[ -~]{1,40}"];
    let times = (
        1..5000u64,
        0..8000u64,
        prop_oneof![1..50u64, 1000..30_000u64],
    );
    (name, effect, times, any::<bool>(), any::<bool>()).prop_map(
        |(name, effect, times, calls, skips)| {
            let (aim_ms, more, window_ms) = times;
            Operation {
                name,
                effect,
                aim_ms,
                timeout_ms: aim_ms + more,
                window_ms,
                calls,
                skips,
            }
        },
    )
}

fn site() -> impl Strategy<Value = Site> {
    let words = (
        prop_oneof![
            Just("none"),
            Just("floor"),
            Just("allowance"),
            Just("weight")
        ],
        prop_oneof![Just("none"), Just("one_for_all"), Just("tier")],
        prop_oneof![Just("none"), Just("discard"), Just("freeze")],
        prop_oneof![Just("request"), Just("work")],
    );
    let sizes = (
        1..40usize,
        0..30usize,
        0..30usize,
        50.0..1e6f64,
        0.0..20.0f64,
        0.0..12.0f64,
    );
    let rest = (
        0.0..3.0f64,
        0..3000u64,
        any::<bool>(),
        0.0..2.0f64,
        0.0..5.0f64,
    );
    let operations = prop::collection::vec(operation(), 1..5);
    let tenants = prop::collection::vec("[a-z]{1,5}|[^\u{0}]{1,10}", 0..4);
    (operations, tenants, words, sizes, rest).prop_map(|(operations, tenants, words, sizes, rest)| {
        let mut seen = BTreeSet::new();
        let operations: Vec<_> = operations.into_iter().filter(|o| seen.insert(o.name.clone())).collect();
        let tenants: Vec<_> = BTreeSet::from_iter(tenants).into_iter().collect();
        let (advert, below, halt, by) = words;
        let (cores, nodes, dispatchers, memory, factor, crowd) = sizes;
        let (fresh, grace_ms, pauses, fair, idle) = rest;
        let seconds = |ms: u64| ms as f64 / 1e3;
        let effect = |o: &Operation| match o.effect {
            Effect::Idempotent => "read_like",
            Effect::Tokened => "idempotency_key",
            Effect::NonIdempotent => "non_idempotent",
        };
        let service = |o: &Operation| {
            json!({"Name": o.name, "Aim": seconds(o.aim_ms), "Deadline": seconds(o.timeout_ms), "LateWorth": 0.2,
                "Points": 1.0, "Effect": effect(o), "DedupWindow": seconds(o.window_ms)})
        };
        let each = |f: &dyn Fn(&Operation) -> Value| operations.iter().map(f).collect::<Vec<_>>();
        let settings = json!({
            "Ceilings": {"RetryAfter": pauses, "MaxRetryAfter": 1.0},
            "Extra": {"Advert": advert, "Below": below, "CallsOver": 5.0, "ClassCalls": each(&|o| json!(o.calls)),
                "ClientsTotal": dispatchers, "Cold": false, "Cores": cores,
                "DegradedWorth": each(&|o| json!(if o.skips { 0.5 } else { 0.0 })), "FairCalls": fair * 4.0,
                "Fresh": if fresh < 1.0 { 0.0 } else { fresh }, "Gauges": ["cpu_busy", "mem_used"], "Halt": halt,
                "Idle": idle, "KeyKb": 10.0, "Linger": 0.2, "MemLimitKb": memory, "RunFactor": 1.0 + factor},
            "OverShareWorth": 0.1, "Servers": nodes, "Step": 0.005, "WorthBy": by,
            "Rules": {"Cold": 10.0, "ColdFrom": 0.2, "StopSendingWithin": seconds(grace_ms), "TipMultiple": crowd},
            "Services": each(&service),
            "Tenants": tenants.iter().map(|name| json!({"Name": name, "QuotaRps": 5.0})).collect::<Vec<_>>(),
        });
        Site { operations, tenants, settings: settings.to_string(), grace_ms }
    })
}

/// What happens next. Numbers choose among what there is.
#[derive(Clone, Debug)]
enum Step {
    Ask {
        operation: usize,
        tenant: usize,
        repeats: Option<usize>,
        age_ms: u64,
    },
    Wait(u64),
    Abort(usize),
    ConnectionEnds,
    RunEnds {
        which: usize,
        end: u8,
    },
    RunCalls(usize),
    Reply {
        which: usize,
        outcome: u8,
    },
    LinkBreaks,
    LinkBack,
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    let any = any::<usize>;
    prop_oneof![
        8 => (any(), any(), prop::option::of(any()), 0..200u64)
            .prop_map(|(operation, tenant, repeats, age_ms)| Step::Ask { operation, tenant, repeats, age_ms }),
        6 => (0..700u64).prop_map(Step::Wait),
        1 => any().prop_map(Step::Abort),
        1 => Just(Step::ConnectionEnds),
        5 => (any(), 0..4u8).prop_map(|(which, end)| Step::RunEnds { which, end }),
        3 => any().prop_map(Step::RunCalls),
        3 => (any(), 0..5u8).prop_map(|(which, outcome)| Step::Reply { which, outcome }),
        1 => Just(Step::LinkBreaks),
        2 => Just(Step::LinkBack),
        1 => Just(Step::Drain),
    ]
}

/// A request as the test sent it.
struct Sent {
    rid: String,
    operation: usize,
    key: usize,
    arrived: Nanos,
    due: Nanos,
    /// Where it is answered; none if its caller told that it left.
    place: Option<(ConnectionId, u16)>,
    answers: u32,
    started: Vec<Nanos>,
}

/// The world round a node: what was sent, and what the kernel, as it is played here, knows of runs.
struct World {
    site: Site,
    node: TestNode,
    sent: Vec<Sent>,
    next: u16,
    /// Runs at the kernel, and the number of the last notice.
    running: Vec<usize>,
    notice: u64,
    linked: bool,
    noticed: Option<Nanos>,
}

impl World {
    fn new(site: Site) -> World {
        let mut node = TestNode::with(&site.settings);
        node.now += 100_000 * MS;
        node.core.fire(node.now);
        node.info();
        World {
            site,
            node,
            sent: vec![],
            next: 0,
            running: vec![],
            notice: 0,
            linked: true,
            noticed: None,
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Ask {
                operation,
                tenant,
                repeats,
                age_ms,
            } => self.ask(operation, tenant, repeats, age_ms),
            Step::Wait(ms) => self.wait(ms),
            Step::Abort(which) => {
                let open: Vec<usize> = (0..self.sent.len()).filter(|&i| self.waits(i)).collect();
                if !open.is_empty() {
                    let at = open[which % open.len()];
                    let (conn, id) = self.sent[at].place.unwrap();
                    self.sent[at].place = None;
                    self.node
                        .event(Event::LoadBalancer(conn, fastcgi::Event::Abort(id)));
                }
            }
            Step::ConnectionEnds => {
                let conn = self.node.conn;
                self.sent
                    .iter_mut()
                    .filter(|s| s.place.is_some_and(|p| p.0 == conn))
                    .for_each(|s| s.place = None);
                self.node.event(Event::Disconnected(conn));
                self.node.conn = ConnectionId(conn.0 + 1);
                self.node.event(Event::Connected(self.node.conn, None));
            }
            Step::RunEnds { which, end } if self.linked && !self.running.is_empty() => {
                let at = self.running.swap_remove(which % self.running.len());
                let end = [End::Ok, End::Ok, End::Error, End::Stopped][usize::from(end % 4)];
                self.notice += 1;
                let rid = self.sent[at].rid.clone();
                self.node.reap(&rid, end, b"result");
            }
            Step::RunCalls(which) if self.linked && !self.running.is_empty() => {
                let at = self.running[which % self.running.len()];
                let rid = self.sent[at].rid.clone();
                let works = !self.node.core.desk.borrow().waits_for_call(&rid);
                if works && self.site.operations[self.sent[at].operation].calls {
                    self.notice += 1;
                    let no = self.notice;
                    self.node.call_wanted(&rid, no);
                }
            }
            Step::Reply { which, outcome } if self.node.calls() > 0 => {
                let calls = self.node.core.out(|out| out.calls.clone());
                let (place, _, _, line) = &calls[which % calls.len()];
                let rid = line.split(' ').nth(1).unwrap().to_owned();
                let outcomes = [
                    Outcome::Ok,
                    Outcome::Overload,
                    Outcome::Internal,
                    Outcome::Deadline,
                    Outcome::Stale,
                ];
                self.node.reply(
                    *place,
                    &rid,
                    outcomes[usize::from(outcome) % outcomes.len()],
                );
            }
            Step::LinkBreaks if self.linked => {
                self.linked = false;
                self.node.break_link();
            }
            Step::LinkBack if !self.linked => {
                self.linked = true;
                self.node.event(Event::ExecutorConnected(self.notice));
                self.node.event(Event::Executor(Notice::Booted {
                    cold: false,
                    up_ms: 100.0,
                }));
                self.node.info();
            }
            Step::Drain => {
                self.noticed.get_or_insert(self.node.now);
                self.node.event(Event::Drain);
            }
            _ => {}
        }
        self.look();
    }

    fn waits(&self, at: usize) -> bool {
        self.sent[at].place.is_some() && self.sent[at].answers == 0
    }

    fn ask(&mut self, operation: usize, tenant: usize, repeats: Option<usize>, age_ms: u64) {
        let of = operation % self.site.operations.len();
        // A repeat bears the key of an earlier try of its operation.
        let earlier: Vec<usize> = (0..self.sent.len())
            .filter(|&i| self.sent[i].operation == of)
            .collect();
        let key = match repeats.filter(|_| !earlier.is_empty()) {
            Some(which) => self.sent[earlier[which % earlier.len()]].key,
            None => self.sent.len(),
        };
        let Operation {
            name,
            effect,
            timeout_ms,
            ..
        } = self.site.operations[of].clone();
        let rid = format!("{:016x}", self.sent.len() + 1);
        let arrived = self.node.now - age_ms * MS;
        let path = format!("/call/{name}");
        let (arrived_ms, key_text) = ((arrived / MS).to_string(), format!("{key:032x}"));
        let mut params: Vec<(&str, &str)> = support::call(&path, &rid, &arrived_ms);
        params.retain(|(name, _)| *name != "HTTP_X_ORG");
        let tenants = self.site.tenants.clone();
        if !tenants.is_empty() {
            params.push((
                "HTTP_X_ORG",
                &tenants[tenant_of(key, tenant, tenants.len(), effect)],
            ));
        }
        match effect {
            Effect::Tokened => params.push(("HTTP_X_OPERATION_KEY", &key_text)),
            Effect::Idempotent => params.push(("HTTP_X_SUBJECT", "7f3a9c21e0b4d655")),
            Effect::NonIdempotent => {}
        }
        self.next = self.next.wrapping_add(1).max(1);
        let (conn, id) = (self.node.conn, self.next);
        if !self.node.core.desk.borrow().is_known(conn) {
            self.node.event(Event::Connected(conn, None));
        }
        let (params, body) = (support::pairs(&params), key_text.as_bytes().to_vec());
        let due = (arrived + timeout_ms * MS).max(self.node.now);
        self.sent.push(Sent {
            rid,
            operation: of,
            key,
            arrived,
            due,
            place: Some((conn, id)),
            answers: 0,
            started: vec![],
        });
        let request = fastcgi::Request {
            id,
            keep_conn: true,
            params,
            body,
            oversize: false,
        };
        self.node
            .event(Event::LoadBalancer(conn, fastcgi::Event::Request(request)));
    }

    /// In small parts, so that what is due is seen when it is.
    fn wait(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(10) {
            self.node.wait(10.min(ms));
            if self.linked {
                self.node.info();
            }
            self.look();
        }
    }

    /// Takes what the node did, and holds it against the rules.
    fn look(&mut self) {
        let now = self.node.now;
        for line in self.node.kernel_lines() {
            let command: Value = serde_json::from_str(&line).unwrap();
            if command["t"] == "SCHED" && self.linked {
                self.scheduled(now, command["rid"].as_str().unwrap());
            } else if command["t"] == "PREEMPT" && self.linked {
                let of = |at: usize| self.sent[at].rid == command["rid"].as_str().unwrap();
                if let Some(place) = self.running.iter().position(|&at| of(at)) {
                    let at = self.running.swap_remove(place);
                    self.notice += 1;
                    let rid = self.sent[at].rid.clone();
                    self.node.reap(&rid, End::Stopped, b"");
                }
            }
        }
        for answer in self.node.answers() {
            // What its caller left may have an answer all the same.
            let at = self
                .sent
                .iter()
                .position(|s| s.place.is_some_and(|p| p.1 == answer.id));
            let Some(at) = at else { continue };
            let sent = &mut self.sent[at];
            sent.answers += 1;
            assert_eq!(sent.answers, 1, "{}: one answer", sent.rid);
            assert!(
                now <= sent.due + 50 * MS,
                "{}: {} ms late",
                sent.rid,
                (now - sent.due) / MS
            );
            let effect = self.site.operations[sent.operation].effect;
            if effect != Effect::Idempotent && !sent.started.is_empty() {
                assert!(
                    !["429", "503"].contains(&&answer.status[..]),
                    "{}: ran, and is throttled",
                    sent.rid
                );
            }
        }
        for at in 0..self.sent.len() {
            let sent = &self.sent[at];
            assert!(
                !self.waits(at) || now <= sent.due + 50 * MS,
                "{}: no answer in its time",
                sent.rid
            );
        }
    }

    /// The kernel is told to run something: for what runs already nothing happens, what is over is
    /// MOOT.
    fn scheduled(&mut self, now: Nanos, rid: &str) {
        let at = self.sent.iter().position(|s| s.rid == rid).unwrap();
        if self.running.contains(&at) {
            return;
        }
        if !self.waits(at) {
            self.notice += 1;
            return self.node.reap(rid, End::Moot, b"");
        }
        let (operation, key, arrived) = (
            self.sent[at].operation,
            self.sent[at].key,
            self.sent[at].arrived,
        );
        let Operation {
            effect, window_ms, ..
        } = self.site.operations[operation];
        if effect == Effect::NonIdempotent {
            assert!(self.sent[at].started.is_empty(), "{rid}: runs twice");
        }
        if effect == Effect::Tokened {
            let alike =
                |s: &&Sent| s.operation == operation && s.key == key && !s.started.is_empty();
            for other in self.sent.iter().filter(alike) {
                let in_window =
                    arrived <= other.arrived + window_ms * MS && other.arrived <= arrived;
                assert!(!in_window, "{rid}: {} of its key has run", other.rid);
            }
        }
        if let Some(noticed) = self.noticed {
            let grace = noticed + self.site.grace_ms * MS;
            assert!(
                arrived <= grace + MS,
                "{rid}: arrived past the grace and runs"
            );
        }
        self.sent[at].started.push(now);
        self.running.push(at);
    }
}

/// A repeat is of the tenant of what it repeats.
fn tenant_of(key: usize, tenant: usize, tenants: usize, effect: Effect) -> usize {
    if effect == Effect::Tokened {
        key % tenants
    } else {
        tenant % tenants
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        failure_persistence: None,
        max_shrink_iters: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(35),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_four_rules_hold_whatever_the_settings_and_the_order(site in site(), steps in prop::collection::vec(step(), 1..80)) {
        let mut world = World::new(site);
        for step in &steps {
            world.step(step);
        }
        // All is answered before the stop.
        world.step(&Step::LinkBack);
        world.step(&Step::Drain);
        world.wait(3200);
        prop_assert!((0..world.sent.len()).all(|at| !world.waits(at)));
        prop_assert!(world.node.core.desk.borrow().invariants() == 0);
    }
}
