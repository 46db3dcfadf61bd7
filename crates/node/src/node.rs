//! The node without its I/O: takes what happened and the time, lets [`AdmissionController`] decide,
//! and acts through [`Actions`]. What it keeps of invocations is at the desk.

use crate::actions::{Actions, BackendLink, CallId, ConnectionId};
use crate::backend;
use crate::capacity::CapacityLimits;
use crate::classify::{Classifier, Full, Ruled, Sheet};
use crate::cluster::{ClusterParticipation, ClusterUpdate};
use crate::config::Moved;
use crate::executor::{End, Notice};
use crate::fastcgi;
use crate::request::{Fields, Head, Rejected, Wanted};
use crate::state::metrics::Counting;
use crate::state::{AdmissionHost, DeferredEvent, NodeState, ReplyTarget, RequestContext, Timer};
use madderpoint::admission::AdmissionController;
use madderpoint::{
    Arrival, BackendCallOutcome, ExecutionOutcome, LoadBalancerId, Nanos, OperationId, RequestId,
};
use madderpoint_deployment_config::DeploymentConfig;
use madderpoint_membership::ClusterView;
use madderpoint_rules::Verdict;
use madderpoint_shared_state::keyed_quota::{KeyedQuota, QuotaGrant, QuotaTiming};
use madderpoint_shared_state::status::StatusSnapshot;
use madderpoint_shared_state::{
    AggregatedHealth, BackendGate, Budget, Lease, NodeBudgets, ServiceHealth,
};
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;

/// Kept back from the time between the notice to leave and the stop, for answers to be written out.
const WRITE_OUT: Nanos = 150_000_000;
/// Between two words to the fleet about room and load.
const PULSE: Nanos = 1_000_000_000;
/// Between two words about what is wanted of the fleet's budgets.
const WANTS: Nanos = 250_000_000;
/// Between two words about the service below.
const EVIDENCE: Nanos = 500_000_000;

/// Between two words of what was counted.
const COUNTS: Nanos = 5_000_000_000;

/// What a node shares with its fleet beside budgets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct With {
    /// The service below that is judged together.
    pub service: Option<Service>,
    /// Whether counts are added up.
    pub counts: bool,
}

/// The service below that the fleet judges together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name, the same on all nodes.
    pub name: String,
    /// A call that takes longer counts as one that failed.
    pub slow: Option<Nanos>,
    /// The node's zone as a number.
    pub zone: u32,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A dispatcher connected, from there.
    Connected(ConnectionId, Option<IpAddr>),
    /// A connection is gone.
    Disconnected(ConnectionId),
    /// Something came on a connection.
    Front(ConnectionId, fastcgi::Event),
    /// A connection's peer has ended its side; it may still wait for answers.
    HalfClosed(ConnectionId),
    /// What came on a connection can't be read on, and why.
    Garbled(ConnectionId, &'static str),
    /// A connection was ended, by its peer or for the time that it took, with a part of a request
    /// on it.
    CutShort,
    /// There is no room for another connection.
    Crowded,
    /// The listen backlog was taken, and no connection comes any more.
    NotListening,
    /// A link to the kernel stands; the last notice that was read before it.
    KernelLinked(u64),
    /// The link to the kernel broke.
    KernelLost,
    /// The kernel said something.
    Kernel(Notice),
    /// A call was written whole.
    CallWritten(CallId, RequestId, BackendLink),
    /// A call could not be written whole, so that it never ran.
    CallUnsent(CallId, RequestId),
    /// The back end replied on a link.
    Reply(usize, backend::Reply),
    /// A connection to the back end ended; why, if what came on it can't be read on.
    BackendLost(BackendLink, Option<&'static str>),
    /// Nothing was sent on the link at this place for a while.
    BackendQuiet(usize),
    /// The notice to leave.
    Drain,
    /// A new configuration.
    Moved(Moved),
    /// Rules that are in force from now on.
    Ruled(Box<Sheet>),
    /// What is seen of the fleet.
    Fleet(Box<ClusterView>),
    /// Parts of the fleet's budgets, by their places, which were asked for at that time.
    Lent(Nanos, Vec<(u32, Lease)>),
    /// Units of keys of the fleet's limits.
    QuotaGrant(Box<QuotaGrant>),
    /// Limits of the fleet's budgets that hold from now on.
    Rebudget(Vec<Budget>),
    /// What others say of the service below.
    AggregatedHealth(AggregatedHealth),
    /// What is held of all that is shared is to be shown.
    Show,
}

/// A reading of the clocks.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Time since any fixed point; never goes back.
    pub now: Nanos,
    /// Unix time in milliseconds.
    pub unix_ms: u64,
}

/// The node's state.
pub struct Core<O: Actions> {
    desk: Rc<RefCell<NodeState<O>>>,
    start: Rc<DeploymentConfig>,
    seed: u64,
    stop_after: Nanos,
    /// Bytes for what limits by key hold, and for those of the whole fleet.
    limit_bytes: usize,
    key_bytes: usize,
    /// How often keys are asked for; none outside a fleet.
    rhythm: Option<QuotaTiming>,
    /// There are none before the kernel is up: it says whether the node starts cold.
    admission: Option<AdmissionController<AdmissionHost<O>>>,
    /// None where nodes keep no view of their fleet.
    company: Option<ClusterParticipation>,
    /// The name of the service below that is judged, and what the budgets' ends were last said to
    /// be.
    service: String,
    at_floor: Vec<bool>,
    keys_deaf: bool,
}

impl<O: Actions> Core<O> {
    /// A node that waits for its kernel.
    pub fn new(
        out: O,
        start: DeploymentConfig,
        seed: u64,
        stop_after: Nanos,
        has_backend: bool,
        room: &CapacityLimits,
    ) -> Self {
        let start = Rc::new(start);
        let desk = Rc::new(RefCell::new(NodeState::new(
            out,
            Rc::clone(&start),
            has_backend,
            room,
        )));
        Core {
            desk,
            start,
            seed,
            stop_after,
            limit_bytes: room.buckets,
            key_bytes: room.keys,
            rhythm: None,
            admission: None,
            company: None,
            service: String::new(),
            at_floor: Vec::new(),
            keys_deaf: false,
        }
    }

    /// Takes part in a fleet from now on, and shares these budgets with it.
    pub fn join_fleet(&mut self, now: Nanos, budgets: &[Budget], rhythm: QuotaTiming, with: &With) {
        self.company = Some(ClusterParticipation::default());
        self.rhythm = Some(rhythm);
        let service = with.service.as_ref();
        let mut desk = self.desk.borrow_mut();
        desk.now = now;
        desk.set_timer(PULSE, Timer::Pulse);
        if !budgets.is_empty() {
            // The seed of the decisions may be the same on many.
            desk.budgets = Some(Box::new(
                NodeBudgets::new(now, budgets).with_seed(self.seed ^ now),
            ));
            desk.set_timer(WANTS, Timer::Wants);
        }
        if let Some(service) = service {
            desk.judge = Some(Box::new(ServiceHealth::new(now, service.zone)));
            desk.slow = service.slow;
            desk.set_timer(EVIDENCE, Timer::Evidence);
        }
        if !budgets.is_empty() || service.is_some() {
            desk.gate = Some(Box::new(BackendGate::new(now)));
        }
        if with.counts {
            desk.counting = Some(Box::new(Counting::new(now, &self.start.operations)));
            desk.set_timer(COUNTS, Timer::Counts);
        }
        self.service = service
            .map(|service| service.name.clone())
            .unwrap_or_default();
    }

    /// What is seen of the fleet, if there is one and its part has said anything.
    pub fn sight(&self) -> Option<&ClusterView> {
        self.company.as_ref()?.sight.as_ref()
    }

    /// Lets the driver or a test reach what it handed over.
    pub fn out<T>(&mut self, f: impl FnOnce(&mut O) -> T) -> T {
        f(&mut self.desk.borrow_mut().out)
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.desk.borrow().next_timer()
    }

    /// Whether the kernel is up, and invocations are taken.
    pub fn is_up(&self) -> bool {
        self.admission.is_some()
    }

    /// Whether all is answered and every connection gone after the notice to leave.
    pub fn has_left(&self) -> bool {
        self.desk.borrow().has_left()
    }

    /// Fires the timers that are due.
    pub fn fire(&mut self, now: Nanos) {
        while let Some(timer) = self.due(now) {
            self.timer(now, timer);
            self.settle(now);
        }
    }

    fn due(&mut self, now: Nanos) -> Option<Timer> {
        let mut desk = self.desk.borrow_mut();
        desk.now = now;
        desk.pop_timer()
    }

    fn timer(&mut self, now: Nanos, timer: Timer) {
        match timer {
            Timer::Alarm(alarm) => {
                let gauges = self.desk.borrow().gauges();
                if let Some(admission) = &mut self.admission {
                    admission.on_timer(now, alarm, gauges);
                }
            }
            Timer::CallLimit(id, no) => {
                let given_up = self.desk.borrow_mut().give_up_call(id, no);
                if let Some(ending) = given_up {
                    self.call_over(now, id, ending);
                }
            }
            Timer::AskGauges => self.desk.borrow_mut().ask_gauges(),
            Timer::CheckLimit(mark) => self.desk.borrow_mut().checked(mark, false),
            Timer::Idle(conn, due) => self.desk.borrow_mut().close_if_idle(conn, due),
            Timer::RenewKernel(mark) => self.desk.borrow_mut().settled(mark),
            Timer::Doubt(id) => self.desk.borrow_mut().doubt_over(id),
            Timer::Leave => self.desk.borrow_mut().leave(),
            Timer::Hush => self.desk.borrow_mut().hush(),
            Timer::Over => self.desk.borrow_mut().over(),
            Timer::Look => self.desk.borrow_mut().look(),
            Timer::Pulse => self.pulse(now),
            Timer::Wants => self.wants(now),
            Timer::Keys => self.ask_keys(),
            Timer::Lingered(repeats) => self.desk.borrow_mut().room_came(repeats),
            Timer::CallRoom => self.desk.borrow_mut().send_waiting(),
            Timer::Evidence => self.evidence(),
            Timer::Counts => self.tell_counts(),
        }
    }

    /// Takes what happened.
    pub fn handle(&mut self, moment: Moment, event: Event) {
        let now = moment.now;
        self.desk.borrow_mut().now = now;
        match event {
            Event::Connected(conn, address) => self.desk.borrow_mut().connected(conn, address),
            Event::Disconnected(conn) => {
                let left = self.desk.borrow_mut().disconnected(conn);
                left.into_iter().for_each(|id| self.caller_left(now, id));
            }
            Event::Front(conn, event) => self.front(moment, conn, event),
            Event::HalfClosed(conn) | Event::Garbled(conn, _) => {
                let mut desk = self.desk.borrow_mut();
                if let Event::Garbled(_, cause) = event {
                    desk.count(cause, 1);
                }
                desk.came(conn);
                desk.no_more(conn);
            }
            Event::NotListening => self.desk.borrow_mut().not_listening(),
            Event::Crowded => {
                let mut desk = self.desk.borrow_mut();
                desk.count("connections beyond the limit", 1);
                desk.make_room();
            }
            Event::KernelLinked(last) => self.desk.borrow_mut().kernel_linked(last),
            Event::KernelLost => self.desk.borrow_mut().kernel_lost(),
            Event::Kernel(notice) => self.notice(now, notice),
            Event::CallWritten(no, id, link) => {
                let broke = self.desk.borrow_mut().call_written(no, id, link);
                if broke {
                    self.call_over(now, id, BackendCallOutcome::PossiblyExecuted);
                }
            }
            Event::CallUnsent(no, id) => {
                let is_current = self.desk.borrow().is_current(id, no);
                if is_current {
                    self.call_over(now, id, BackendCallOutcome::NotExecuted);
                }
            }
            Event::Reply(place, reply) => self.reply(now, place, reply),
            Event::CutShort => self
                .desk
                .borrow_mut()
                .count("dispatcher: request cut short", 1),
            Event::BackendLost(link, cause) => {
                cause
                    .into_iter()
                    .for_each(|cause| self.desk.borrow_mut().count(cause, 1));
                let broke = self.desk.borrow_mut().backend_lost(link);
                broke
                    .into_iter()
                    .for_each(|id| self.call_over(now, id, BackendCallOutcome::PossiblyExecuted));
            }
            Event::BackendQuiet(place) => self.desk.borrow_mut().backend_quiet(place),
            Event::Drain => self.drain(now),
            Event::Moved(moved) => self.desk.borrow_mut().moved(&moved),
            Event::Ruled(sheet) => self.ruled(now, *sheet),
            Event::Lent(asked, parts) => {
                if let Some(budgets) = &mut self.desk.borrow_mut().budgets {
                    budgets.receive_leases(now, asked, &parts);
                }
                self.tell_floors(now);
            }
            Event::QuotaGrant(lent) => {
                if let Some(rules) = &mut self.desk.borrow_mut().rules {
                    rules.lent(now, &lent);
                }
            }
            Event::AggregatedHealth(opinion) => {
                self.desk
                    .borrow_mut()
                    .judged(|judge, now| judge.receive_reports(now, opinion));
            }
            Event::Show => self.show(now),
            Event::Rebudget(limits) => {
                if let Some(budgets) = &mut self.desk.borrow_mut().budgets {
                    budgets.update_budgets(&limits);
                }
            }
            Event::Fleet(sight) => {
                if let Some(company) = &mut self.company {
                    company.sight = Some(*sight);
                }
            }
        }
        self.settle(now);
    }

    /// Deals with what came up while the decisions were acting.
    fn settle(&mut self, now: Nanos) {
        loop {
            let Some(next) = self.desk.borrow_mut().deferred.pop_front() else {
                return;
            };
            match next {
                DeferredEvent::CallEnded(id, ending) => self.call_over(now, id, ending),
                DeferredEvent::NeverStarted(id) => {
                    self.ended(now, id, ExecutionOutcome::Cancelled, 0)
                }
                DeferredEvent::JoinEnded(id, result) => {
                    let joined = self.desk.borrow_mut().joined(id, result);
                    if let Some((ending, latency)) = joined {
                        self.ended(now, id, ending, latency);
                    }
                }
            }
        }
    }

    // ---- Dispatchers ----

    fn front(&mut self, moment: Moment, conn: ConnectionId, event: fastcgi::Event) {
        self.desk.borrow_mut().came(conn);
        match event {
            fastcgi::Event::Request(request) => self.request(moment, conn, request),
            fastcgi::Event::Abort(id) => {
                let left = self.desk.borrow_mut().aborted(conn, id);
                left.into_iter()
                    .for_each(|id| self.caller_left(moment.now, id));
                self.desk.borrow_mut().dealt_with(conn);
            }
            fastcgi::Event::Reply(reply) => {
                let mut desk = self.desk.borrow_mut();
                desk.out.reply(conn, reply);
                desk.dealt_with(conn);
            }
        }
    }

    fn request(&mut self, moment: Moment, conn: ConnectionId, request: fastcgi::Request) {
        let mut desk = self.desk.borrow_mut();
        let id = request.id;
        if !desk.open(conn, &request) {
            return;
        }
        if desk.crowded(conn) {
            return desk.overload(conn, id);
        }
        let fields = match Fields::of(&request) {
            Err(Rejected(status, cause)) => return desk.reject(conn, id, status, cause),
            Ok(fields) => fields,
        };
        let ruled = match self.admission {
            Some(_) if desk.rules.is_some() => {
                Self::rule(&mut desk, &self.start, conn, &fields, &request)
            }
            _ => None,
        };
        if let Some(ruled) = &ruled
            && let Some(verdict) = &ruled.verdict
        {
            let of = fields
                .counted(&self.start)
                .map(|(op, from)| (ruled.operation.unwrap_or(op), from));
            return Self::verdict(&mut desk, conn, id, of, verdict);
        }
        match fields.wanted(
            &self.start,
            moment.unix_ms,
            ruled.as_ref().and_then(|r| r.operation),
        ) {
            Err(Rejected(status, cause)) => desk.reject(conn, id, status, cause),
            Ok(Wanted::Check { deep }) => desk.check(conn, id, deep),
            Ok(Wanted::Invocation(_)) if self.admission.is_none() => {
                desk.not_up(conn, id);
            }
            Ok(Wanted::Invocation(head)) if desk.knows(&head.rid) => {
                desk.reject(conn, id, 409, "correlation id in use");
            }
            Ok(Wanted::Invocation(head)) => {
                let front = ReplyTarget { conn, id };
                let arrived = moment.now.saturating_sub(head.age(moment.unix_ms));
                let given = Self::given(&mut desk, front, &head, ruled, &request.body, arrived);
                drop(desk);
                if let Some(given) = given {
                    self.arrive(moment, front, head, request.body, given);
                }
            }
        }
    }

    // ---- Rules ----

    /// Rules were read and checked: they hold for what comes from now on.
    fn ruled(&mut self, now: Nanos, sheet: Sheet) {
        let mut desk = self.desk.borrow_mut();
        let (rules, buckets) = (sheet.rules.rules().len(), sheet.buckets.len());
        let (bytes, worst) = (sheet.rules.bytes() >> 10, sheet.rules.worst());
        let keys: Vec<KeyedQuota> = sheet
            .fleet
            .iter()
            .map(|(_, budget)| budget.clone())
            .collect();
        match &mut desk.rules {
            Some(classifier) => classifier.replace(now, sheet),
            None => {
                desk.rules = Some(Box::new(Classifier::new(
                    now,
                    sheet,
                    self.limit_bytes,
                    self.seed,
                )))
            }
        }
        if let (Some(rhythm), Some(rules)) = (self.rhythm, &mut desk.rules) {
            rules.join_fleet(now, &keys, rhythm, self.key_bytes, self.seed);
        }
        desk.out.log(format_args!(
            "rules: {rules} in force with {buckets} buckets, {bytes} KiB, at most {worst} units for a request"
        ));
    }

    /// What rules give to a request, and what they have to say.
    fn rule(
        desk: &mut NodeState<O>,
        start: &DeploymentConfig,
        conn: ConnectionId,
        fields: &Fields<'_>,
        request: &fastcgi::Request,
    ) -> Option<Ruled> {
        if !fields.is_ruled() {
            return None;
        }
        let (now, address) = (desk.now, desk.address(conn));
        let rules = desk.rules.as_mut()?;
        let params = rules
            .rules()
            .pick(fastcgi::pairs(&request.params).filter_map(Result::ok));
        let facts = madderpoint_rules::Facts {
            address,
            body: &request.body,
            params,
            ..fields.facts(start)
        };
        let ruled = rules.rule(now, &facts);
        for line in rules.lines() {
            desk.out.log(format_args!("{line}"));
        }
        if let Some(line) = ruled.as_ref().and_then(|ruled| ruled.told.as_ref()) {
            desk.out.log(format_args!("{line}"));
        }
        ruled
    }

    fn verdict(
        desk: &mut NodeState<O>,
        conn: ConnectionId,
        id: u16,
        of: Option<(OperationId, LoadBalancerId)>,
        verdict: &Verdict,
    ) {
        let status = match verdict {
            Verdict::Throttle { .. } => 429,
            Verdict::Error { status, .. } => *status,
        };
        if let Some(of) = of {
            desk.counts_turned_away(of, status);
        }
        match verdict {
            Verdict::Throttle { pause, reason } => {
                desk.count("throttled by a rule", 1);
                desk.verdict(conn, id, 429, *pause, reason);
            }
            Verdict::Error { status, reason } => {
                desk.count("errored by a rule", 1);
                desk.verdict(conn, id, *status, 0, reason);
            }
        }
    }

    /// What an invocation is given by its rule and its buckets; nothing if that answers it.
    fn given(
        desk: &mut NodeState<O>,
        front: ReplyTarget,
        head: &Head,
        ruled: Option<Ruled>,
        body: &[u8],
        arrived: Nanos,
    ) -> Option<RequestContext> {
        let ReplyTarget { conn, id } = front;
        let ruled = ruled.unwrap_or_default();
        let key = desk.key(head, ruled.key, body, arrived);
        if ruled.key.is_some() && key.is_none() {
            desk.count("keys of rules for operations that have no use for them", 1);
        }
        if let Some((status, cause)) = key.as_ref().and_then(|key| desk.key_refused(key)) {
            desk.count(cause, 1);
            desk.counts_turned_away((head.op, head.dispatcher), status);
            let pause = desk.max_retry_after();
            desk.verdict(conn, id, status, pause, cause);
            return None;
        }
        let gated = match desk.gate(head.op, key) {
            Ok(gated) => gated,
            Err(pause) => {
                desk.count("throttled for the room below", 1);
                desk.counts_refusal(head, None, true);
                desk.verdict(conn, id, 429, pause, "no room below");
                return None;
            }
        };
        let now = desk.now;
        let Some(rules) = desk.rules.as_mut() else {
            return Some(RequestContext {
                key,
                gated,
                ..RequestContext::default()
            });
        };
        let asked = if ruled.buckets.is_empty() {
            Ok(None)
        } else {
            rules.ask(now, &ruled.buckets).map(Some)
        };
        if let Some(class) = &ruled.class {
            rules.arrived(class);
        }
        if asked.is_err()
            && let Some(class) = &ruled.class
        {
            rules.answered(class, 429);
        }
        if !ruled.buckets.is_empty() {
            desk.arm_keys();
        }
        let (pause, count, over) = match asked {
            Ok(held) => {
                let held = held.filter(|held| !held.is_empty());
                return Some(RequestContext {
                    key,
                    class: ruled.class,
                    held,
                    gated,
                });
            }
            Err(Full::Node(over)) => (over.retry_after, "throttled by a limit", None),
            Err(Full::Fleet(refused, key)) => (
                refused.retry_after,
                "throttled by a limit of the fleet",
                Some(key),
            ),
        };
        desk.count(count, 1);
        desk.counts_refusal(head, over, false);
        desk.verdict(conn, id, 429, pause, "over a limit");
        None
    }

    fn arrive(
        &mut self,
        moment: Moment,
        front: ReplyTarget,
        head: Head,
        body: Vec<u8>,
        given: RequestContext,
    ) {
        let age = head.age(moment.unix_ms);
        let has_subject = head.subject.is_some() || given.key.is_some();
        let (id, repeats) = self.desk.borrow_mut().take(front, &head, body, age, given);
        let arrival = Arrival {
            id,
            op: head.op,
            tenant: head.tenant,
            dispatcher: head.dispatcher,
            has_subject,
            time_left: head.patience.map(|patience| patience.saturating_sub(age)),
            work_hint: head.work_hint,
            queued_kb: head.queued_kb,
            age,
            repeats,
        };
        if let Some(admission) = &mut self.admission {
            admission.on_arrival(moment.now, arrival);
        }
    }

    fn caller_left(&mut self, now: Nanos, id: RequestId) {
        if let Some(admission) = &mut self.admission {
            admission.on_client_cancelled(now, id);
        }
    }

    fn drain(&mut self, now: Nanos) {
        let left = self.stop_after.saturating_sub(WRITE_OUT);
        let grace = self.start.deployment.drain_grace;
        if !self.desk.borrow_mut().drain(left, grace) {
            return; // noticed before
        }
        self.say(|company| company.drains());
        if let Some(admission) = &mut self.admission {
            admission.start_drain(now, left);
        }
    }

    // ---- The fleet ----

    fn say(&mut self, word: impl FnOnce(&mut ClusterParticipation) -> Option<ClusterUpdate>) {
        if let Some(word) = self.company.as_mut().and_then(word) {
            self.desk.borrow_mut().out.fleet(word);
        }
    }

    /// Tells the fleet's part what is wanted of the budgets. While the node leaves, only what has
    /// become free.
    fn wants(&mut self, now: Nanos) {
        let wants = {
            let mut desk = self.desk.borrow_mut();
            desk.set_timer(WANTS, Timer::Wants);
            let value = desk.mean_value();
            desk.budgets.as_mut().map(|budgets| {
                value.into_iter().for_each(|value| budgets.set_value(value));
                budgets.requests(now)
            })
        };
        if let Some(wants) = wants {
            self.say(|_| Some(ClusterUpdate::Wants { at: now, wants }));
        }
    }

    /// Tells the fleet's part what this node sees of the service below.
    fn evidence(&mut self) {
        let evidence = {
            let mut desk = self.desk.borrow_mut();
            desk.set_timer(EVIDENCE, Timer::Evidence);
            desk.judged(|judge, now| judge.evaluate(now));
            desk.judged(|judge, now| judge.report(now))
        };
        if let Some(evidence) = evidence {
            self.say(|_| Some(ClusterUpdate::HealthReport(evidence)));
        }
    }

    /// Tells the fleet's part what was counted so far.
    fn tell_counts(&mut self) {
        let word = {
            let mut desk = self.desk.borrow_mut();
            desk.set_timer(COUNTS, Timer::Counts);
            desk.counted_word()
        };
        if let Some(word) = word {
            self.say(|_| Some(ClusterUpdate::Counts(Box::new(word))));
        }
    }

    /// Tells the fleet's part what is held here of all that is shared.
    fn show(&mut self, now: Nanos) {
        let mut shown = StatusSnapshot::default();
        {
            let mut desk = self.desk.borrow_mut();
            let waiting = desk.calls_waiting();
            desk.budgets
                .iter_mut()
                .for_each(|ends| shown.with_budgets(now, ends));
            desk.judge
                .iter_mut()
                .for_each(|judge| shown.with_service(now, &self.service, judge));
            desk.gate
                .iter()
                .for_each(|gate| shown.with_gate(gate, waiting));
            if let Some(wallet) = desk.rules.as_ref().and_then(|rules| rules.wallet()) {
                shown.with_quotas(now, wallet);
            }
        }
        self.say(|_| Some(ClusterUpdate::StatusSnapshot(Box::new(shown))));
    }

    /// One line where the end of a budget falls to its floor or is lent something again, and where
    /// keys do.
    fn tell_floors(&mut self, now: Nanos) {
        let mut desk = self.desk.borrow_mut();
        let desk = &mut *desk;
        let mut lines = Vec::new();
        if let Some(budgets) = &mut desk.budgets {
            self.at_floor.resize(budgets.borrowers().len(), true);
            for (purse, before) in budgets.borrowers().iter().zip(&mut self.at_floor) {
                let at_floor = purse.is_at_floor(now);
                if std::mem::replace(before, at_floor) != at_floor {
                    let of = purse.budget();
                    let word = if at_floor {
                        "at its floor, nothing is lent"
                    } else {
                        "lent a part"
                    };
                    let (units, limit) = (purse.units(now), of.limit);
                    lines.push(format!(
                        "budget '{}': {word}; may use {units} of {limit}",
                        of.name
                    ));
                }
            }
        }
        if let Some(wallet) = desk.rules.as_ref().and_then(|rules| rules.wallet()) {
            let deaf = wallet.is_cut_off(now);
            if std::mem::replace(&mut self.keys_deaf, deaf) != deaf {
                let word = if deaf {
                    "nobody who lends is heard, floors only"
                } else {
                    "heard again"
                };
                lines.push(format!(
                    "keys of the fleet: {word}; {} keys here",
                    wallet.tracked_keys()
                ));
            }
        }
        lines
            .iter()
            .for_each(|line| desk.out.log(format_args!("{line}")));
    }

    /// Asks the fleet for what is wanted of keys.
    fn ask_keys(&mut self) {
        let questions = self.desk.borrow_mut().questions();
        for asked in questions {
            self.say(|_| Some(ClusterUpdate::Keys(asked)));
        }
    }

    /// The node ends: what it was lent is not used any more.
    pub fn let_go(&mut self, now: Nanos) {
        let free = {
            let mut desk = self.desk.borrow_mut();
            let calls = desk
                .budgets
                .as_mut()
                .is_none_or(|budgets| budgets.drop_leases(now));
            let keys = desk.rules.as_mut().is_none_or(|rules| rules.let_go());
            calls && keys
        };
        self.say(|_| Some(ClusterUpdate::LetGo(free)));
    }

    fn pulse(&mut self, now: Nanos) {
        self.tell_floors(now);
        let (in_hand, advert) = {
            let mut desk = self.desk.borrow_mut();
            desk.set_timer(PULSE, Timer::Pulse);
            (desk.in_hand(), desk.advert())
        };
        let kind = self.start.deployment.advert;
        self.say(|company| company.pulse(kind, advert, in_hand));
    }

    // ---- The kernel ----

    fn notice(&mut self, now: Nanos, notice: Notice) {
        match notice {
            Notice::Booted { cold, up_ms } => self.booted(now, cold, up_ms),
            Notice::Info { mark, values } => self.desk.borrow_mut().info(mark, values),
            Notice::Posted { mark, ok } => self.desk.borrow_mut().checked(mark, ok),
            Notice::Odd(what, times) => self.desk.borrow_mut().count(what, times),
            Notice::EInval { command, rid } => {
                let lost = self.desk.borrow_mut().einval(&command, &rid);
                lost.into_iter()
                    .for_each(|id| self.ended(now, id, ExecutionOutcome::Failed, 0));
            }
            Notice::IoReq { no, rid, body } => {
                let asked = self.desk.borrow_mut().call_asked(&rid, no, body);
                if let (Some(id), Some(admission)) = (asked, &mut self.admission) {
                    admission.on_backend_call_needed(now, id);
                }
            }
            Notice::Reap {
                rid,
                end,
                time_ms,
                body,
            } => {
                let Some(id) = self.desk.borrow_mut().reaped(&rid, end, body) else {
                    return;
                };
                let ending = match end {
                    End::Ok => ExecutionOutcome::Succeeded,
                    End::Error => ExecutionOutcome::Failed,
                    End::Stopped => ExecutionOutcome::Cancelled,
                    End::Moot => ExecutionOutcome::NeverStarted,
                };
                self.ended(now, id, ending, (time_ms * 1e6) as Nanos);
            }
        }
    }

    fn booted(&mut self, now: Nanos, cold: bool, up_ms: f64) {
        // A node that was to leave before its kernel came up takes nothing up.
        if self.admission.is_none() && !self.desk.borrow().is_leaving() {
            let mut site = self.start.deployment.clone();
            site.cold = cold;
            // Keys and results are kept in this process, under its own limit: the kernel's memory
            // has no part in them.
            site.idempotency_key_kb = 0.0;
            let born = now.saturating_sub((up_ms * 1e6) as Nanos);
            let hands = AdmissionHost(Rc::clone(&self.desk));
            self.admission = Some(AdmissionController::new(born, hands, site, self.seed));
        }
        self.desk.borrow_mut().booted(cold, up_ms);
        self.say(|company| company.booted(cold));
    }

    fn ended(&mut self, now: Nanos, id: RequestId, ending: ExecutionOutcome, latency: Nanos) {
        if ending == ExecutionOutcome::Succeeded {
            self.say(|company| company.succeeded());
        }
        if let Some(admission) = &mut self.admission {
            admission.on_execution_ended(now, id, ending, latency);
        }
    }

    // ---- Calls below ----

    fn reply(&mut self, now: Nanos, place: usize, reply: backend::Reply) {
        let Some(id) = self.desk.borrow_mut().replied(place, &reply) else {
            return;
        };
        let ending = match reply.outcome {
            backend::Outcome::Ok => BackendCallOutcome::Succeeded,
            backend::Outcome::Overload | backend::Outcome::Stale => BackendCallOutcome::NotExecuted,
            backend::Outcome::Internal => BackendCallOutcome::PossiblyExecuted,
            backend::Outcome::Deadline => BackendCallOutcome::Abandoned,
        };
        if ending == BackendCallOutcome::Succeeded {
            self.desk.borrow_mut().resume(id, Some(reply.body));
        }
        self.call_over(now, id, ending);
    }

    fn call_over(&mut self, now: Nanos, id: RequestId, ending: BackendCallOutcome) {
        let latency = self.desk.borrow_mut().call_over(id, ending);
        if let (Some(latency), Some(admission)) = (latency, &mut self.admission) {
            admission.on_backend_call_ended(now, id, ending, latency);
        }
    }
}

#[cfg(test)]
mod tests;
