//! Property test of the four rules for arbitrary deployments and event orders. Deployments vary in
//! operation names, idempotency, times, windows and limits; events are requests, repeats, aborts,
//! lost links, backend calls and the drain command.

use super::support::*;
use crate::executor::Notice;
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// Idempotency of a generated operation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Effect {
    Idempotent,
    Keyed,
    NonIdempotent,
}

#[derive(Clone, Debug)]
struct Operation {
    name: String,
    effect: Effect,
    objective_ms: u64,
    timeout_ms: u64,
    window_ms: u64,
    calls: bool,
    skips: bool,
}

#[derive(Clone, Debug)]
struct GeneratedDeployment {
    operations: Vec<Operation>,
    tenants: Vec<String>,
    settings: String,
    grace_ms: u64,
}

fn operation() -> impl Strategy<Value = Operation> {
    let effect = prop_oneof![
        Just(Effect::Idempotent),
        Just(Effect::Keyed),
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
            let (objective_ms, more, window_ms) = times;
            Operation {
                name,
                effect,
                objective_ms,
                timeout_ms: objective_ms + more,
                window_ms,
                calls,
                skips,
            }
        },
    )
}

fn deployment() -> impl Strategy<Value = GeneratedDeployment> {
    let modes = (
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
    (operations, tenants, modes, sizes, rest).prop_map(|(operations, tenants, modes, sizes, rest)| {
        let mut seen = BTreeSet::new();
        let operations: Vec<_> = operations.into_iter().filter(|o| seen.insert(o.name.clone())).collect();
        let tenants: Vec<_> = BTreeSet::from_iter(tenants).into_iter().collect();
        let (load_report, below, preemption, by) = modes;
        let (cores, nodes, load_balancers, memory, factor, tip_multiple) = sizes;
        let (fresh, grace_ms, has_retry_after, fair, idle) = rest;
        let seconds = |ms: u64| ms as f64 / 1e3;
        let effect = |o: &Operation| match o.effect {
            Effect::Idempotent => "read_like",
            Effect::Keyed => "idempotency_key",
            Effect::NonIdempotent => "non_idempotent",
        };
        let service = |o: &Operation| {
            json!({"Name": o.name, "Aim": seconds(o.objective_ms), "Deadline": seconds(o.timeout_ms), "LateWorth": 0.2,
                "Points": 1.0, "Effect": effect(o), "DedupWindow": seconds(o.window_ms)})
        };
        let each = |f: &dyn Fn(&Operation) -> Value| operations.iter().map(f).collect::<Vec<_>>();
        let settings = json!({
            "Ceilings": {"RetryAfter": has_retry_after, "MaxRetryAfter": 1.0},
            "Extra": {"Advert": load_report, "Below": below, "CallsOver": 5.0, "ClassCalls": each(&|o| json!(o.calls)),
                "ClientsTotal": load_balancers, "Cold": false, "Cores": cores,
                "DegradedWorth": each(&|o| json!(if o.skips { 0.5 } else { 0.0 })), "FairCalls": fair * 4.0,
                "Fresh": if fresh < 1.0 { 0.0 } else { fresh }, "Gauges": ["cpu_busy", "mem_used"], "Halt": preemption,
                "Idle": idle, "KeyKb": 10.0, "Linger": 0.2, "MemLimitKb": memory, "RunFactor": 1.0 + factor},
            "OverShareWorth": 0.1, "Servers": nodes, "Step": 0.005, "WorthBy": by,
            "Rules": {"Cold": 10.0, "ColdFrom": 0.2, "StopSendingWithin": seconds(grace_ms), "TipMultiple": tip_multiple},
            "Services": each(&service),
            "Tenants": tenants.iter().map(|name| json!({"Name": name, "QuotaRps": 5.0})).collect::<Vec<_>>(),
        });
        GeneratedDeployment { operations, tenants, settings: settings.to_string(), grace_ms }
    })
}

/// One step of a simulation. Indices are taken modulo the number of available items.
#[derive(Clone, Debug)]
enum Step {
    Request {
        operation: usize,
        tenant: usize,
        repeats: Option<usize>,
        age_ms: u64,
    },
    Wait(u64),
    Abort(usize),
    ConnectionEnds,
    ExecutionEnds {
        which: usize,
        end: u8,
    },
    ExecutionNeedsCall(usize),
    Reply {
        which: usize,
        outcome: u8,
    },
    LinkBreaks,
    LinkRestored,
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    let any = any::<usize>;
    prop_oneof![
        8 => (any(), any(), prop::option::of(any()), 0..200u64)
            .prop_map(|(operation, tenant, repeats, age_ms)| Step::Request { operation, tenant, repeats, age_ms }),
        6 => (0..700u64).prop_map(Step::Wait),
        1 => any().prop_map(Step::Abort),
        1 => Just(Step::ConnectionEnds),
        5 => (any(), 0..4u8).prop_map(|(which, end)| Step::ExecutionEnds { which, end }),
        3 => any().prop_map(Step::ExecutionNeedsCall),
        3 => (any(), 0..5u8).prop_map(|(which, outcome)| Step::Reply { which, outcome }),
        1 => Just(Step::LinkBreaks),
        2 => Just(Step::LinkRestored),
        1 => Just(Step::Drain),
    ]
}

/// A request that the simulation sent, and what has happened to it.
struct SentRequest {
    correlation_id: String,
    operation: usize,
    key: usize,
    arrived: Nanos,
    due: Nanos,
    /// Target of the answer; `None` if the client cancelled the request.
    reply_target: Option<(ConnectionId, u16)>,
    answers: u32,
    started: Vec<Nanos>,
}

/// A node, the requests sent to it, and the state of the simulated executor.
struct Simulation {
    deployment: GeneratedDeployment,
    node: TestNode,
    sent: Vec<SentRequest>,
    last_fastcgi_id: u16,
    /// Indices of the requests whose executions are running at the executor.
    running: Vec<usize>,
    /// Number of the executor's last notice.
    last_notice: u64,
    is_linked: bool,
    drain_started: Option<Nanos>,
}

impl Simulation {
    fn new(deployment: GeneratedDeployment) -> Simulation {
        let mut node = TestNode::with_settings(&deployment.settings);
        node.now += 100_000 * MS;
        node.node.fire_timers(node.now);
        node.answer_gauges();
        Simulation {
            deployment,
            node,
            sent: vec![],
            last_fastcgi_id: 0,
            running: vec![],
            last_notice: 0,
            is_linked: true,
            drain_started: None,
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Request {
                operation,
                tenant,
                repeats,
                age_ms,
            } => self.send_request(operation, tenant, repeats, age_ms),
            Step::Wait(ms) => self.wait(ms),
            Step::Abort(which) => {
                let open: Vec<usize> = (0..self.sent.len()).filter(|&i| self.waits(i)).collect();
                if !open.is_empty() {
                    let index = open[which % open.len()];
                    let (connection_id, id) = self.sent[index].reply_target.unwrap();
                    self.sent[index].reply_target = None;
                    self.node.event(Event::LoadBalancer(
                        connection_id,
                        fastcgi::Event::Abort(id),
                    ));
                }
            }
            Step::ConnectionEnds => {
                let connection_id = self.node.connection_id;
                self.sent
                    .iter_mut()
                    .filter(|s| s.reply_target.is_some_and(|p| p.0 == connection_id))
                    .for_each(|s| s.reply_target = None);
                self.node.event(Event::Disconnected(connection_id));
                self.node.connection_id = ConnectionId(connection_id.0 + 1);
                self.node
                    .event(Event::Connected(self.node.connection_id, None));
            }
            Step::ExecutionEnds { which, end } if self.is_linked && !self.running.is_empty() => {
                let index = self.running.swap_remove(which % self.running.len());
                let end = [End::Ok, End::Ok, End::Error, End::Stopped][usize::from(end % 4)];
                self.last_notice += 1;
                let correlation_id = self.sent[index].correlation_id.clone();
                self.node.end_execution(&correlation_id, end, b"result");
            }
            Step::ExecutionNeedsCall(which) if self.is_linked && !self.running.is_empty() => {
                let index = self.running[which % self.running.len()];
                let correlation_id = self.sent[index].correlation_id.clone();
                let is_running = !self
                    .node
                    .node
                    .state
                    .borrow()
                    .waits_for_call(&correlation_id);
                if is_running && self.deployment.operations[self.sent[index].operation].calls {
                    self.last_notice += 1;
                    let no = self.last_notice;
                    self.node.need_backend_call(&correlation_id, no);
                }
            }
            Step::Reply { which, outcome } if self.node.calls() > 0 => {
                let calls = self.node.node.with_actions(|actions| actions.calls.clone());
                let (place, _, _, line) = &calls[which % calls.len()];
                let correlation_id = line.split(' ').nth(1).unwrap().to_owned();
                let outcomes = [
                    Outcome::Ok,
                    Outcome::Overload,
                    Outcome::Internal,
                    Outcome::Deadline,
                    Outcome::Stale,
                ];
                self.node.reply_to_call(
                    *place,
                    &correlation_id,
                    outcomes[usize::from(outcome) % outcomes.len()],
                );
            }
            Step::LinkBreaks if self.is_linked => {
                self.is_linked = false;
                self.node.break_link();
            }
            Step::LinkRestored if !self.is_linked => {
                self.is_linked = true;
                self.node.event(Event::ExecutorConnected(self.last_notice));
                self.node.event(Event::Executor(Notice::Booted {
                    cold: false,
                    up_ms: 100.0,
                }));
                self.node.answer_gauges();
            }
            Step::Drain => {
                self.drain_started.get_or_insert(self.node.now);
                self.node.event(Event::Drain);
            }
            _ => {}
        }
        self.check_actions();
    }

    fn waits(&self, index: usize) -> bool {
        self.sent[index].reply_target.is_some() && self.sent[index].answers == 0
    }

    fn send_request(
        &mut self,
        operation: usize,
        tenant: usize,
        repeats: Option<usize>,
        age_ms: u64,
    ) {
        let operation = operation % self.deployment.operations.len();
        // A repeat has the key of an earlier request of its operation.
        let earlier: Vec<usize> = (0..self.sent.len())
            .filter(|&i| self.sent[i].operation == operation)
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
        } = self.deployment.operations[operation].clone();
        let correlation_id = format!("{:016x}", self.sent.len() + 1);
        let arrived = self.node.now - age_ms * MS;
        let path = format!("/call/{name}");
        let (arrived_ms, key_text) = ((arrived / MS).to_string(), format!("{key:032x}"));
        let mut params: Vec<(&str, &str)> = wire::call_params(&path, &correlation_id, &arrived_ms);
        params.retain(|(name, _)| *name != "HTTP_X_ORG");
        let tenants = self.deployment.tenants.clone();
        if !tenants.is_empty() {
            params.push((
                "HTTP_X_ORG",
                &tenants[tenant_of(key, tenant, tenants.len(), effect)],
            ));
        }
        match effect {
            Effect::Keyed => params.push(("HTTP_X_OPERATION_KEY", &key_text)),
            Effect::Idempotent => params.push(("HTTP_X_SUBJECT", "7f3a9c21e0b4d655")),
            Effect::NonIdempotent => {}
        }
        self.last_fastcgi_id = self.last_fastcgi_id.wrapping_add(1).max(1);
        let (connection_id, id) = (self.node.connection_id, self.last_fastcgi_id);
        if !self.node.node.state.borrow().is_known(connection_id) {
            self.node.event(Event::Connected(connection_id, None));
        }
        let (params, body) = (wire::pairs(&params), key_text.as_bytes().to_vec());
        let due = (arrived + timeout_ms * MS).max(self.node.now);
        self.sent.push(SentRequest {
            correlation_id,
            operation,
            key,
            arrived,
            due,
            reply_target: Some((connection_id, id)),
            answers: 0,
            started: vec![],
        });
        let request = fastcgi::Request {
            id,
            keep_conn: true,
            params,
            body,
            oversize: false,
            no_memory: false,
        };
        self.node.event(Event::LoadBalancer(
            connection_id,
            fastcgi::Event::Request(request),
        ));
    }

    /// Advances the clock in steps of 10 ms, so that actions are checked close to their due times.
    fn wait(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(10) {
            self.node.wait(10.min(ms));
            if self.is_linked {
                self.node.answer_gauges();
            }
            self.check_actions();
        }
    }

    /// Takes the actions of the node and checks them against the four rules.
    fn check_actions(&mut self) {
        let now = self.node.now;
        for line in self.node.executor_commands() {
            let command: Value = serde_json::from_str(&line).unwrap();
            if command["t"] == "SCHED" && self.is_linked {
                self.start_requested(now, command["rid"].as_str().unwrap());
            } else if command["t"] == "PREEMPT" && self.is_linked {
                let has_id = |index: usize| {
                    self.sent[index].correlation_id == command["rid"].as_str().unwrap()
                };
                if let Some(place) = self.running.iter().position(|&index| has_id(index)) {
                    let index = self.running.swap_remove(place);
                    self.last_notice += 1;
                    let correlation_id = self.sent[index].correlation_id.clone();
                    self.node.end_execution(&correlation_id, End::Stopped, b"");
                }
            }
        }
        for answer in self.node.answers() {
            // A cancelled request may still get an answer.
            let index = self
                .sent
                .iter()
                .position(|s| s.reply_target.is_some_and(|p| p.1 == answer.id));
            let Some(index) = index else { continue };
            let sent = &mut self.sent[index];
            sent.answers += 1;
            assert_eq!(
                sent.answers, 1,
                "{}: answered more than once",
                sent.correlation_id
            );
            assert!(
                now <= sent.due + 50 * MS,
                "{}: answered {} ms late",
                sent.correlation_id,
                (now - sent.due) / MS
            );
            let effect = self.deployment.operations[sent.operation].effect;
            if effect != Effect::Idempotent && !sent.started.is_empty() {
                assert!(
                    !["429", "503"].contains(&&answer.status[..]),
                    "{}: rejected after it ran",
                    sent.correlation_id
                );
            }
        }
        for index in 0..self.sent.len() {
            let sent = &self.sent[index];
            assert!(
                !self.waits(index) || now <= sent.due + 50 * MS,
                "{}: not answered within its timeout",
                sent.correlation_id
            );
        }
    }

    /// Simulates a start command at the executor. A command for a running request has no effect,
    /// and a request that is over is answered with MOOT.
    fn start_requested(&mut self, now: Nanos, correlation_id: &str) {
        let index = self
            .sent
            .iter()
            .position(|s| s.correlation_id == correlation_id)
            .unwrap();
        if self.running.contains(&index) {
            return;
        }
        if !self.waits(index) {
            self.last_notice += 1;
            return self
                .node
                .end_execution(correlation_id, End::NeverStarted, b"");
        }
        let (operation, key, arrived) = (
            self.sent[index].operation,
            self.sent[index].key,
            self.sent[index].arrived,
        );
        let Operation {
            effect, window_ms, ..
        } = self.deployment.operations[operation];
        if effect == Effect::NonIdempotent {
            assert!(
                self.sent[index].started.is_empty(),
                "{correlation_id}: executed twice"
            );
        }
        if effect == Effect::Keyed {
            let has_run_with_key = |s: &&SentRequest| {
                s.operation == operation && s.key == key && !s.started.is_empty()
            };
            for other in self.sent.iter().filter(has_run_with_key) {
                let in_window =
                    arrived <= other.arrived + window_ms * MS && other.arrived <= arrived;
                assert!(
                    !in_window,
                    "{correlation_id}: executed although {} ran with the same key",
                    other.correlation_id
                );
            }
        }
        if let Some(drain_started) = self.drain_started {
            let grace = drain_started + self.deployment.grace_ms * MS;
            assert!(
                arrived <= grace + MS,
                "{correlation_id}: executed although it arrived after the drain grace"
            );
        }
        self.sent[index].started.push(now);
        self.running.push(index);
    }
}

/// Chooses the tenant of a request. Requests of a keyed operation with the same key share a tenant.
fn tenant_of(key: usize, tenant: usize, tenants: usize, effect: Effect) -> usize {
    if effect == Effect::Keyed {
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
    fn the_four_rules_hold_for_any_deployment_and_event_order(deployment in deployment(), steps in prop::collection::vec(step(), 1..80)) {
        let mut simulation = Simulation::new(deployment);
        for step in &steps {
            simulation.step(step);
        }
        // All requests are answered before the stop.
        simulation.step(&Step::LinkRestored);
        simulation.step(&Step::Drain);
        simulation.wait(3200);
        prop_assert!((0..simulation.sent.len()).all(|index| !simulation.waits(index)));
        prop_assert!(simulation.node.node.state.borrow().metrics().invariants() == 0);
    }
}
