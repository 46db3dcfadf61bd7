//! What the node keeps of connections, invocations, runs, calls and timers; the [`Host`] of the
//! decisions.

use crate::actions::{Actions, BackendLink, CallId, ConnectionId, Wants};
use crate::capacity::CapacityLimits;
use crate::classify::{Classifier, Held};
use crate::fastcgi::Reply;
use crate::idempotency_cache::{IdempotencyCache, Key};
use crate::request::Head;
use madderpoint::{
    BackendCallOutcome, ExecutionOutcome, Gauges, Host, Idempotency, Nanos, OperationId, RequestId,
    TimerId,
};
use madderpoint_deployment_config::DeploymentConfig;
use madderpoint_shared_state::keyed_quota::QuotaRequest;
use madderpoint_shared_state::{BackendGate, NodeBudgets, ServiceHealth};
use std::cell::RefCell;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::IpAddr;
use std::rc::Rc;

use metrics::Counting;

/// Counts what must hold and does not, and stops a debug build there.
macro_rules! invariant {
    ($desk:expr, $holds:expr, $name:literal) => {
        if !$holds {
            debug_assert!(false, $name);
            $desk.count(concat!("invariant: ", $name), 1);
            $desk.counts_own(
                madderpoint_shared_state::counters::process_column::INVARIANT_VIOLATIONS,
                1,
            );
        }
    };
}

mod backend_calls;
mod connections;
mod executions;
pub mod metrics;

const MILLISECOND: Nanos = 1_000_000;
/// Gauges are asked for so long before an alarm, and are told to it if they are no older than this.
const GAUGES_LEAD: Nanos = 20 * MILLISECOND;
const GAUGES_FRESH: Nanos = 100 * MILLISECOND;
/// A deep health check is answered within this.
const CHECK_LIMIT: Nanos = 2000 * MILLISECOND;
/// Idle connections are closed after this where the settings name no time.
const IDLE: Nanos = 60_000 * MILLISECOND;
/// Between two looks at the counts, and at runs that should be over; those are runs on which nobody
/// has waited for so long after the client timeout.
const LOOK_PERIOD: Nanos = 10_000 * MILLISECOND;
/// After the last answers were due, peers have so long to take them before the process ends.
const LAST_WORDS: Nanos = 100 * MILLISECOND;
/// By so much more than its window counts what arrives, as the protocol has every time limit.
const CLOCKS_DIFFER: Nanos = 50 * MILLISECOND;
/// Connections to the back end. What spoils one is lost for all calls on it, so they are spread. A
/// call goes round one on which a late reply to an earlier call of the same invocation may still
/// come.
pub const BACKEND_LINKS: usize = 8;

/// What an invocation was given before it is taken in hand.
#[derive(Debug, Default)]
pub struct RequestContext {
    /// What it is known again by.
    pub key: Option<Key>,
    /// The class that a rule gave.
    pub class: Option<Rc<str>>,
    /// Places that it holds in buckets.
    pub held: Option<Held>,
    /// Whether it was let in for the room that there is below.
    pub gated: bool,
}

/// Tells bodies apart; not secret, for who makes two that share one only gets the first one's
/// answer for both.
fn fingerprint(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}

/// Where an answer is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyTarget {
    pub conn: ConnectionId,
    pub id: u16,
}

/// What happens next, after the decisions have acted.
pub enum DeferredEvent {
    /// A call ended before it was sent.
    CallEnded(RequestId, BackendCallOutcome),
    /// A run was stopped that the kernel was never told of.
    NeverStarted(RequestId),
    /// What a join waited for is known: a result, or none.
    JoinEnded(RequestId, Option<Vec<u8>>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    Alarm(TimerId),
    AskGauges,
    CallLimit(RequestId, CallId),
    CheckLimit(u64),
    Idle(ConnectionId, Nanos),
    RenewKernel(u64),
    Doubt(RequestId),
    Leave,
    Hush,
    Over,
    Look,
    Pulse,
    Wants,
    Keys,
    CallRoom,
    Lingered(bool),
    Evidence,
    Counts,
}

/// What is open on a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OpenItem {
    Unread,
    OpenRequest(RequestId),
    Check(u64),
}

struct ClientConnection {
    open: BTreeMap<u16, OpenItem>,
    /// Where it comes from, as far as the driver knows.
    address: Option<IpAddr>,
    idle_since: Nanos,
    /// Whole requests that came, as far as it matters: none, one or more.
    asked: u8,
    /// Whether a run for it succeeded: no stranger's invocation gets that far.
    proven: bool,
    /// Answers other than that since the last strike, and strikes.
    turned_away: u32,
    strikes: u32,
    /// When a timer looks whether it is idle.
    look: Option<Nanos>,
    /// Whether it is to be closed once nothing is open.
    last: bool,
    /// Events of it that were heard; and whether it is being closed, which what is heard later
    /// makes void.
    heard: u64,
    closing: bool,
}

/// What a run waits for, seen from the kernel.
enum ExecutionWait {
    Nothing,
    BackendCall {
        no: u64,
    },
    /// It was told to go on, with a reply or without one; and with which command.
    Resumed {
        no: u64,
        reply: Option<Vec<u8>>,
        sent: u64,
    },
}

/// A run that the kernel was asked for. `sent` counts commands; 0 = could not be sent yet.
struct Execution {
    sent: u64,
    halted: Option<u64>,
    /// Whether the kernel has spoken of it.
    seen: bool,
    wait: ExecutionWait,
    /// The body of the call that it waits for.
    call_body: Vec<u8>,
}

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPlacement {
    /// It waits for room under the fleet's budgets, and is worth nothing after this.
    Waits { until: Nanos },
    /// It was handed to the link at this place.
    Link(usize),
}

struct BackendCall {
    no: CallId,
    place: CallPlacement,
    since: Nanos,
    /// The connection on which it was written whole.
    written: Option<BackendLink>,
    /// Whether it was allowed under the fleet's budgets, and whether it repeats one that failed.
    budgeted: bool,
    repeats: bool,
    /// While this is here the call may still be written.
    wants: Wants,
}

impl BackendCall {
    fn link(&self) -> Option<usize> {
        match self.place {
            CallPlacement::Waits { .. } => None,
            CallPlacement::Link(place) => Some(place),
        }
    }
}

/// What is known of a link to the back end.
#[derive(Clone, Copy, Default)]
struct BackendLinkState {
    /// Connections made there that are known to have ended.
    lost: u64,
    /// The latest call that was made anywhere when the last reply came here.
    heard: u64,
    /// Replies on other links, since then, to calls that were made later than one that waits here.
    overtaken: u32,
}

struct OpenRequest {
    rid: String,
    op: OperationId,
    body: Vec<u8>,
    arrived: Nanos,
    /// How long its caller waits from then on.
    patience: Nanos,
    /// `None` once it is answered or its caller has left.
    front: Option<ReplyTarget>,
    run: Option<Execution>,
    ran: bool,
    /// How often the kernel was told to run it, and whether none of it can have run all the same.
    asked: u32,
    never_ran: bool,
    call: Option<BackendCall>,
    /// Whether a call that it waits for failed before; calls so far.
    call_failed: bool,
    calls: u32,
    /// Whether it was let in for the room that there is below.
    is_gated: bool,
    /// Links on which a late reply may come.
    tainted: [bool; BACKEND_LINKS],
    key: Option<Key>,
    /// What it repeats, when it was joined to it, and who waits for its own result.
    repeats: Option<RequestId>,
    joined: Option<Nanos>,
    joiners: Vec<RequestId>,
    /// What rules gave: its class, and the places that it holds in buckets.
    class: Option<Rc<str>>,
    held: Option<Held>,
}

/// The link to the kernel. Commands are counted; a gauge's mark tells which have arrived.
#[derive(Default)]
struct ExecutorLinkState {
    up: bool,
    /// Whether all that ended while there was no link is known, so that commands may be sent.
    synced: bool,
    sent: u64,
    arrived: u64,
    /// The mark whose return shows that all missed notices were read.
    sync: u64,
    /// Whether this link is to be closed once what was written on it is known to have arrived.
    renewing: bool,
    asked: Nanos,
    gauges: Option<(Nanos, Gauges)>,
    /// Whether a question has no answer yet; how often that was seen in a row, and when last.
    waits: bool,
    unanswered: u32,
    seen: Nanos,
}

pub struct NodeState<O: Actions> {
    pub out: O,
    pub now: Nanos,
    pub deferred: VecDeque<DeferredEvent>,
    start: Rc<DeploymentConfig>,
    has_backend: bool,
    conns: BTreeMap<ConnectionId, ClientConnection>,
    invs: BTreeMap<RequestId, OpenRequest>,
    ids: HashMap<String, RequestId>,
    next_id: u64,
    next_call: u64,
    timers: BTreeMap<(Nanos, u64), Timer>,
    timers_set: u64,
    kernel: ExecutorLinkState,
    /// The links to the back end, by place.
    below: [BackendLinkState; BACKEND_LINKS],
    cache: IdempotencyCache,
    /// By it keys that callers chose become numbers: nobody outside can make two of them meet.
    secret: RandomState,
    /// None where no rules are set: nothing is asked then.
    pub rules: Option<Box<Classifier>>,
    /// None where the fleet shares no budget.
    pub budgets: Option<Box<NodeBudgets>>,
    /// Calls that wait for room under them, and when it is looked for.
    calls_waiting: VecDeque<(RequestId, CallId)>,
    calls_due: Option<Nanos>,
    /// The judgement on the service below, and from when on an answer of it counts as none; what
    /// needs it is let in by both.
    pub judge: Option<Box<ServiceHealth>>,
    pub slow: Option<Nanos>,
    pub gate: Option<Box<BackendGate>>,
    /// None where nothing is counted for the fleet.
    pub counting: Option<Box<Counting>>,
    /// When a question about keys goes to the fleet, if one is to.
    keys_due: Option<Nanos>,
    checks: HashMap<u64, ReplyTarget>,
    health: (bool, bool),
    advert: Option<f64>,
    idle_after: Nanos,
    client_idle_timeout: Nanos,
    /// Connections above which idle ones make room.
    spare_from: usize,
    /// When the notice to leave came, and when all is to be written out.
    leaving: Option<Nanos>,
    stop: Nanos,
    closing: bool,
    /// Whether connections may still come; and whether the time to leave is over.
    listening: bool,
    over: bool,
    counts: BTreeMap<&'static str, u64>,
    counts_told: u64,
}

impl<O: Actions> NodeState<O> {
    pub fn new(
        out: O,
        start: Rc<DeploymentConfig>,
        has_backend: bool,
        room: &CapacityLimits,
    ) -> Self {
        let client_idle_timeout = Some(start.deployment.client_idle_timeout)
            .filter(|&idle| idle > 0)
            .unwrap_or(IDLE);
        let mut desk = NodeState {
            out,
            now: 0,
            deferred: VecDeque::new(),
            start,
            has_backend,
            conns: BTreeMap::new(),
            invs: BTreeMap::new(),
            ids: HashMap::new(),
            next_id: 0,
            next_call: 0,
            timers: BTreeMap::new(),
            timers_set: 0,
            kernel: ExecutorLinkState::default(),
            below: Default::default(),
            cache: IdempotencyCache::new(room.results),
            secret: RandomState::new(),
            rules: None,
            budgets: None,
            calls_waiting: VecDeque::new(),
            calls_due: None,
            judge: None,
            slow: None,
            gate: None,
            counting: None,
            keys_due: None,
            checks: HashMap::new(),
            health: (false, true),
            advert: None,
            idle_after: client_idle_timeout,
            client_idle_timeout,
            spare_from: room.spare_from,
            leaving: None,
            stop: Nanos::MAX,
            closing: false,
            listening: true,
            over: false,
            counts: BTreeMap::new(),
            counts_told: 0,
        };
        desk.set_timer(LOOK_PERIOD, Timer::Look);
        desk
    }
}

impl<O: Actions> NodeState<O> {
    // ---- Timers and counts ----

    pub fn set_timer(&mut self, after: Nanos, timer: Timer) {
        self.timers_set += 1; // timers of one moment fire in the order in which they were set
        self.timers
            .insert((self.now.saturating_add(after), self.timers_set), timer);
    }

    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.first_key_value().map(|(&(due, _), _)| due)
    }

    /// Takes the next timer that is due.
    pub fn pop_timer(&mut self) -> Option<Timer> {
        self.next_timer().filter(|&due| due <= self.now)?;
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    pub fn count(&mut self, what: &'static str, times: u64) {
        *self.counts.entry(what).or_default() += times;
    }

    #[cfg(test)]
    pub fn counted(&self, what: &str) -> u64 {
        self.counts.get(what).copied().unwrap_or(0)
    }

    /// What must hold and did not, so far.
    #[cfg(test)]
    pub fn invariants(&self) -> u64 {
        self.counts
            .iter()
            .filter(|(what, _)| what.starts_with("invariant"))
            .map(|(_, times)| times)
            .sum()
    }

    #[cfg(test)]
    pub fn is_known(&self, conn: ConnectionId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Whether a run waits for a call, seen from the kernel.
    #[cfg(test)]
    pub fn waits_for_call(&self, rid: &str) -> bool {
        let inv = self.ids.get(rid).and_then(|id| self.invs.get(id));
        inv.and_then(|inv| inv.run.as_ref())
            .is_some_and(|run| matches!(run.wait, ExecutionWait::BackendCall { .. }))
    }

    /// Looks after runs whose end was missed, and logs the counts if any has moved.
    pub fn look(&mut self) {
        self.set_timer(LOOK_PERIOD, Timer::Look);
        self.ask_after_runs();
        let total = self.counts.values().sum();
        if total != self.counts_told {
            self.counts_told = total;
            let counts: Vec<_> = self
                .counts
                .iter()
                .map(|(what, n)| format!("{what} {n}"))
                .collect();
            self.out.log(format_args!("counts: {}", counts.join(", ")));
        }
        if let Some(line) = self.rules.as_mut().and_then(|rules| rules.tallies()) {
            self.out.log(format_args!("{line}"));
        }
    }

    pub fn gauges(&self) -> Gauges {
        let fresh = self
            .kernel
            .gauges
            .filter(|(read, _)| self.now - read <= GAUGES_FRESH);
        fresh.map_or_else(Gauges::default, |(_, gauges)| gauges)
    }

    /// Invocations that are not answered yet or run.
    pub fn in_hand(&self) -> usize {
        self.invs.len()
    }

    /// Calls that wait for room below.
    pub fn calls_waiting(&self) -> usize {
        self.calls_waiting.len()
    }

    /// What the decisions advertise.
    pub fn advert(&self) -> Option<f64> {
        self.advert
    }

    /// Has a timer fire when the next question about keys is due. One that fires too soon only
    /// looks again.
    pub fn arm_keys(&mut self) {
        let due = self
            .rules
            .as_ref()
            .and_then(|rules| rules.next_question(self.now));
        if let Some(due) = due
            && self.keys_due.is_none_or(|armed| due < armed)
        {
            self.keys_due = Some(due);
            self.set_timer(due.saturating_sub(self.now), Timer::Keys);
        }
    }

    /// The timer fired: gives the questions that are due.
    pub fn questions(&mut self) -> Vec<QuotaRequest> {
        self.keys_due = None;
        let now = self.now;
        let questions = self
            .rules
            .iter_mut()
            .flat_map(|rules| std::iter::from_fn(|| rules.question(now)));
        let questions = questions.collect();
        self.arm_keys();
        questions
    }

    /// A call that was allowed under the fleet's budgets is over. What lies below may still be at
    /// work on one that was given up or whose connection broke: it counts as in hand for as long as
    /// the longest call.
    fn call_is_over(&mut self, call: &BackendCall, may_linger: bool) {
        let longest = self
            .budgets
            .as_ref()
            .and_then(|budgets| budgets.max_call_time());
        let Some(longest) = longest.filter(|_| call.budgeted) else {
            return;
        };
        let left = (call.since + longest).saturating_sub(self.now);
        if may_linger && call.link().is_some() && left > 0 {
            return self.set_timer(left, Timer::Lingered(call.repeats));
        }
        self.room_came(call.repeats);
    }

    /// One call in hand less.
    pub fn room_came(&mut self, repeats: bool) {
        let Some(budgets) = &mut self.budgets else {
            return;
        };
        budgets.release(repeats);
        if !self.calls_waiting.is_empty() && budgets.retry_after_if_full(self.now).is_none() {
            self.calls_due = None;
            self.set_timer(0, Timer::CallRoom);
        }
    }

    /// Whether the room below lets in what needs a call: else when it is worth to come back.
    pub fn gate(&mut self, op: OperationId, key: Option<Key>) -> Result<bool, Nanos> {
        if self.gate.is_none() {
            return Ok(false);
        }
        let operation = &self.start.deployment.operations[op.0];
        // A repeat needs no call: what it repeats makes it.
        let is_repeat = key.is_some_and(|key| self.cache.original(self.now, key).is_some());
        if !operation.calls_downstream || operation.weight_fraction_without_call > 0.0 || is_repeat
        {
            return Ok(false);
        }
        self.start_slowly();
        let Some(gate) = &mut self.gate else {
            return Ok(false);
        };
        gate.admits(
            self.now,
            self.budgets.as_deref_mut(),
            self.judge.as_deref_mut(),
        )
        .map(|()| true)
    }

    // ---- Invocations ----

    pub fn knows(&self, rid: &str) -> bool {
        self.ids.contains_key(rid)
    }

    /// What an invocation is known again by: the key that a rule gave, where its operation has a
    /// use for one, else the one that it bears, or what a read is about. Nobody meets another
    /// tenant's.
    pub fn key(&self, head: &Head, ruled: Option<u64>, body: &[u8], arrived: Nanos) -> Option<Key> {
        let effect = self.effect(head.op);
        let shares =
            self.start.deployment.shared_answer_ttl > 0 && effect == Idempotency::Idempotent;
        let once = effect == Idempotency::Keyed;
        let tenant = head.tenant.map(|t| t.0);
        let given = ruled.map(|key| self.secret.hash_one((tenant, key)));
        let borne = head
            .token
            .as_ref()
            .map(|token| self.secret.hash_one((tenant, token)));
        match given.or(borne.filter(|_| once)) {
            Some(subject) if shares || once => Some(Key {
                op: head.op.0,
                subject,
                body: Some(fingerprint(body)),
                once,
                arrived,
            }),
            // What is asked about a subject is in the body: only the same question has the same
            // answer.
            _ => head.subject.filter(|_| shares).map(|subject| {
                let subject = self.secret.hash_one((tenant, subject, body));
                Key {
                    op: head.op.0,
                    subject,
                    body: None,
                    once: false,
                    arrived,
                }
            }),
        }
    }

    /// Why an invocation with this key may not be taken, if so: a status and the cause.
    pub fn key_refused(&mut self, key: &Key) -> Option<(u16, &'static str)> {
        if self.cache.conflicts(self.now, key) {
            return Some((409, "key in use with another body"));
        }
        let is_new = key.once && self.cache.original(self.now, *key).is_none();
        // What must run once is not run where nothing would remember that it did.
        (is_new && !self.cache.has_room(self.now)).then_some((429, "no room for another key"))
    }

    /// Takes an invocation in hand; gives its id and what it repeats.
    pub fn take(
        &mut self,
        front: ReplyTarget,
        head: &Head,
        body: Vec<u8>,
        age: Nanos,
        given: RequestContext,
    ) -> (RequestId, Option<RequestId>) {
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let RequestContext {
            key,
            class,
            held,
            gated,
        } = given;
        let patience = head
            .patience
            .unwrap_or(self.start.deployment.operations[head.op.0].client_timeout);
        let repeats = key.and_then(|key| self.cache.original(self.now, key));
        let invocation = OpenRequest {
            rid: head.rid.clone(),
            op: head.op,
            body,
            arrived: self.now.saturating_sub(age),
            patience,
            front: Some(front),
            run: None,
            ran: false,
            asked: 0,
            never_ran: false,
            call: None,
            call_failed: false,
            calls: 0,
            is_gated: gated,
            tainted: [false; BACKEND_LINKS],
            key,
            repeats,
            joined: None,
            joiners: Vec::new(),
            class,
            held,
        };
        self.out.step(
            &head.rid,
            format_args!("read, age {} ms", age / MILLISECOND),
        );
        self.ids.insert(head.rid.clone(), id);
        self.invs.insert(id, invocation);
        self.counts_arrival(head.op, head.dispatcher, repeats.is_some());
        if let Some(conn) = self.conns.get_mut(&front.conn) {
            conn.open.insert(front.id, OpenItem::OpenRequest(id));
        }
        (id, repeats)
    }

    fn effect(&self, op: OperationId) -> Idempotency {
        self.start.deployment.operations[op.0].effect
    }

    /// Writes the one answer of an invocation; nothing if it has had it or its caller has left.
    fn answer(&mut self, id: RequestId, status: u16, more: &str, body: Vec<u8>) {
        let Some(inv) = self.invs.get_mut(&id) else {
            return;
        };
        let Some(front) = inv.front.take() else {
            return;
        };
        let (class, arrived) = (inv.class.clone(), inv.arrived);
        self.out.step(
            &inv.rid,
            format_args!(
                "answered {status} after {} ms",
                (self.now - arrived) / MILLISECOND
            ),
        );
        let (op, patience) = (inv.op, inv.patience);
        if self.now > arrived + patience {
            self.count("answers after the client timeout", 1);
        }
        self.counts_answer(op, status, self.now.saturating_sub(arrived));
        match status {
            200 => self.succeeded(front.conn),
            _ => self.turned_away(front.conn),
        }
        if let (Some(class), Some(rules)) = (&class, &mut self.rules) {
            rules.answered(class, status);
        }
        let fields = self.fields() + more;
        self.end(
            front.conn,
            front.id,
            Reply::answer(front.id, status, &fields, body),
        );
        self.settle(id);
    }

    /// Lets go of an invocation that is answered and of which nothing goes on.
    fn settle(&mut self, id: RequestId) {
        let Some(inv) = self.invs.get_mut(&id) else {
            return;
        };
        if inv.front.is_some() {
            return;
        }
        if inv.run.as_ref().is_some_and(|run| run.sent == 0) {
            return self.never_started(id);
        }
        if inv.run.is_none() {
            self.remove(id);
        }
    }

    /// Stops a run of which the kernel has not heard.
    fn never_started(&mut self, id: RequestId) {
        if let Some(inv) = self.invs.get_mut(&id) {
            inv.run = None;
            self.deferred.push_back(DeferredEvent::NeverStarted(id));
            self.settle(id);
        }
    }

    fn remove(&mut self, id: RequestId) {
        let Some(inv) = self.invs.remove(&id) else {
            return;
        };
        self.ids.remove(&inv.rid);
        if let Some(gate) = self.gate.as_mut().filter(|_| inv.is_gated && inv.ran) {
            gate.request_ended(inv.calls);
        }
        if let (Some(held), Some(rules)) = (inv.held, &mut self.rules) {
            rules.done(self.now, held);
        }
        let result = self.cache.result(id).map(<[u8]>::to_vec);
        if result.is_none() {
            self.cache.over(id, inv.asked > 0 && !inv.never_ran);
        }
        for joiner in inv.joiners {
            self.deferred
                .push_back(DeferredEvent::JoinEnded(joiner, result.clone()));
        }
    }

    /// Answers an invocation that was joined to another; gives how that ended and how long it took.
    pub fn joined(
        &mut self,
        id: RequestId,
        result: Option<Vec<u8>>,
    ) -> Option<(ExecutionOutcome, Nanos)> {
        let inv = self.invs.get(&id)?;
        let latency = self.now - inv.joined?;
        let ending = if result.is_some() {
            ExecutionOutcome::Succeeded
        } else {
            ExecutionOutcome::Failed
        };
        match result {
            Some(body) => self.answer(id, 200, "", body),
            None => self.answer(id, 500, "", Vec::new()),
        }
        Some((ending, latency))
    }

    // ---- Leaving ----

    /// The notice to leave; gives false if it was heard before.
    pub fn drain(&mut self, left: Nanos, grace: Nanos) -> bool {
        if self.leaving.is_some() {
            return false;
        }
        self.leaving = Some(self.now);
        self.stop = self.now + left;
        self.out.leaving();
        self.out.log(format_args!(
            "notice to leave: stop in {} ms",
            left / MILLISECOND
        ));
        self.set_timer(left.min(grace), Timer::Leave);
        self.set_timer(left, Timer::Hush);
        self.set_timer(left + LAST_WORDS, Timer::Over);
        true
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// From here on nothing that comes would be run: connections end as they have nothing open.
    pub fn leave(&mut self) {
        self.closing = true;
        let (conns, hand) = (self.conns.len(), self.invs.len());
        self.out.log(format_args!(
            "no more connections are taken after those that wait; {conns} open, {hand} in hand"
        ));
        self.out.stop_listening();
        let idle: Vec<_> = self
            .conns
            .iter()
            .filter(|(_, c)| c.open.is_empty())
            .map(|(&id, _)| id)
            .collect();
        idle.into_iter().for_each(|conn| self.close(conn));
    }

    /// All that was read is answered: who goes on sending is not listened to any more.
    pub fn hush(&mut self) {
        for (&id, conn) in &mut self.conns {
            conn.last = true;
            self.out.deafen(id);
        }
        let idle: Vec<_> = self
            .conns
            .iter()
            .filter(|(_, c)| c.open.is_empty())
            .map(|(&id, _)| id)
            .collect();
        idle.into_iter().for_each(|conn| self.close(conn));
    }

    /// The listen backlog was taken, and no connection comes any more.
    pub fn not_listening(&mut self) {
        self.listening = false;
    }

    /// The time to leave is over: what its peers have not ended yet ends with the process.
    pub fn over(&mut self) {
        self.over = true;
        if !self.conns.is_empty() {
            self.out.log(format_args!(
                "left with {} connections that their peers did not end",
                self.conns.len()
            ));
        }
    }

    pub fn has_left(&self) -> bool {
        self.over || self.closing && !self.listening && self.conns.is_empty()
    }
}

/// The desk as the decisions' [`Host`].
pub struct AdmissionHost<O: Actions>(pub Rc<RefCell<NodeState<O>>>);

impl<O: Actions> Host for AdmissionHost<O> {
    fn start(&mut self, id: RequestId) {
        self.0.borrow_mut().run(id);
    }
    fn stop(&mut self, id: RequestId) {
        self.0.borrow_mut().halt(id);
    }
    fn reject(&mut self, id: RequestId, pause: Nanos, last: bool) {
        let desk = &mut *self.0.borrow_mut();
        let Some(inv) = desk.invs.get(&id) else {
            return;
        };
        let may = !(inv.ran || inv.run.is_some()) || desk.effect(inv.op) == Idempotency::Idempotent;
        invariant!(desk, may, "what may have run is not throttled");
        let mut more = String::new();
        if pause > 0 {
            more += &format!("X-Pushback-Ms: {}\r\n", pause.div_ceil(MILLISECOND));
        }
        if last {
            more += "X-Stop-Trying: 1\r\n";
        }
        desk.answer(id, 429, &more, Vec::new());
    }
    fn fail(&mut self, id: RequestId) {
        self.0.borrow_mut().answer(id, 500, "", Vec::new());
    }
    fn call_backend(&mut self, id: RequestId, timeout: Nanos) {
        self.0.borrow_mut().call(id, timeout);
    }
    fn skip_backend_call(&mut self, id: RequestId) {
        self.0.borrow_mut().resume(id, None);
    }
    fn retain_idempotency_key(&mut self, id: RequestId, lifetime: Nanos) {
        let desk = &mut *self.0.borrow_mut();
        let Some(key) = desk.invs.get(&id).and_then(|inv| inv.key) else {
            return;
        };
        let window = desk.now + lifetime + if key.once { CLOCKS_DIFFER } else { 0 };
        let late = if key.once {
            desk.start.deployment.operations[key.op].client_timeout
        } else {
            0
        };
        desk.cache.remember(desk.now, id, key, window, late);
    }
    fn release_idempotency_key(&mut self, id: RequestId) {
        self.0.borrow_mut().cache.forget(id);
    }
    fn coalesce(&mut self, id: RequestId) {
        let desk = &mut *self.0.borrow_mut();
        let Some(inv) = desk.invs.get_mut(&id) else {
            return;
        };
        inv.joined = Some(desk.now);
        let original = inv.repeats;
        if let Some(result) = original.and_then(|of| desk.cache.result(of)) {
            let result = result.to_vec();
            return desk
                .deferred
                .push_back(DeferredEvent::JoinEnded(id, Some(result)));
        }
        match original.and_then(|of| desk.invs.get_mut(&of)) {
            Some(original) => original.joiners.push(id),
            None => desk.deferred.push_back(DeferredEvent::JoinEnded(id, None)),
        }
    }
    fn set_health(&mut self, good: bool, from_store: bool) {
        self.0.borrow_mut().health = (good, from_store);
    }
    fn report_load(&mut self, value: f64) {
        self.0.borrow_mut().advert = Some(value);
    }
    fn close_idle_connections(&mut self, after: Nanos) {
        self.0.borrow_mut().close_idle(after);
    }
    fn set_timer(&mut self, alarm: TimerId, after: Nanos) {
        let desk = &mut *self.0.borrow_mut();
        desk.set_timer(after.saturating_sub(GAUGES_LEAD), Timer::AskGauges);
        desk.set_timer(after, Timer::Alarm(alarm));
    }
    fn log(&mut self, line: fmt::Arguments<'_>) {
        self.0.borrow_mut().out.log(line);
    }
}
