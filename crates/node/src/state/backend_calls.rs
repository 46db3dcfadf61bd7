//! Calls below.

use super::{
    BACKEND_LINKS, BackendCall, BackendLinkState, CallPlacement, DeferredEvent, ExecutionWait,
    MILLISECOND, NodeState, Timer,
};
use crate::actions::{Actions, BackendLink, CallId, Wants};
use crate::backend;
use crate::executor::Command;
use madderpoint::{BackendCallOutcome, Nanos, RequestId};
use madderpoint_shared_state::counters::process_column;
use madderpoint_shared_state::{HealthState, ServiceHealth};

/// A link that so many replies on others have overtaken has gone silent: it is passed over, and
/// closed when a call on it comes to its time limit.
const OVERTAKEN: u32 = 8;
/// A call waits so long at most for room under the fleet's budgets, and so many do; beyond that it
/// is refused at once.
const CALL_WAITS: Nanos = 250 * MILLISECOND;
const CALLS_WAITING: usize = 64;

impl<O: Actions> NodeState<O> {
    /// The link for a call: rather one that is not silent, then the one with the fewest calls.
    fn link_for(&self, id: RequestId) -> Option<usize> {
        let mut waiting = [0; BACKEND_LINKS];
        self.invs
            .values()
            .filter_map(|inv| inv.call.as_ref()?.link())
            .for_each(|place| waiting[place] += 1);
        let tainted = self.invs.get(&id)?.tainted;
        let open = (0..BACKEND_LINKS).filter(|&place| !tainted[place]);
        open.min_by_key(|&place| (self.below[place].overtaken >= OVERTAKEN, waiting[place]))
    }

    pub fn call(&mut self, id: RequestId, timeout: Nanos) {
        let Some(inv) = self.invs.get(&id) else {
            return;
        };
        if !inv
            .run
            .as_ref()
            .is_some_and(|run| matches!(run.wait, ExecutionWait::BackendCall { .. }))
        {
            return self.count("calls of runs that wait for none", 1);
        }
        let never_ran = DeferredEvent::CallEnded(id, BackendCallOutcome::NotExecuted);
        if !self.has_backend || inv.call.is_some() {
            return self.deferred.push_back(never_ran);
        }
        // What is refused by the fleet's judgement or budgets is like a call for which no link has
        // room: it never ran.
        let (op, thinned, repeats) = (inv.op, inv.is_gated, inv.call_failed);
        if !self
            .judged(|judge, now| judge.admits(now, thinned))
            .unwrap_or(true)
        {
            self.count("calls kept back from a service that is ill", 1);
            self.counts_own(process_column::CALLS_OVER_BUDGET, 1);
            return self.deferred.push_back(never_ran);
        }
        let longest = self.start.deployment.operations[op.0].client_timeout;
        let timeout = if timeout == 0 { longest } else { timeout };
        let now = self.now;
        self.start_slowly();
        let room = match &mut self.budgets {
            None => Ok(()),
            // Those that wait go first.
            Some(budgets) if !self.calls_waiting.is_empty() => {
                Err(budgets.expected_wait(now, self.calls_waiting.len()))
            }
            Some(budgets) => budgets.acquire(now, repeats),
        };
        let most = CALL_WAITS.min(timeout / 4);
        if room.is_err_and(|pause| pause > most || self.calls_waiting.len() >= CALLS_WAITING) {
            self.count("calls that the fleet's budgets had no room for", 1);
            self.counts_own(process_column::CALLS_OVER_BUDGET, 1);
            return self.deferred.push_back(never_ran);
        }
        self.next_call += 1;
        let (no, until) = (CallId(self.next_call), self.now + timeout);
        let place = CallPlacement::Waits { until };
        let budgeted = self.budgets.is_some() && room.is_ok();
        if let Some(inv) = self.invs.get_mut(&id) {
            inv.calls += 1;
            let wants = Wants::default();
            inv.call = Some(BackendCall {
                no,
                place,
                since: now,
                written: None,
                budgeted,
                repeats,
                wants,
            });
        }
        self.set_timer(timeout, Timer::CallLimit(id, no));
        match room {
            Ok(()) => self.send_call(id, timeout),
            Err(pause) => {
                self.calls_waiting.push_back((id, no));
                self.arm_calls(pause);
            }
        }
    }

    /// AdmissionHost a call, for which there is room below, to a link.
    fn send_call(&mut self, id: RequestId, timeout: Nanos) {
        let place = self.link_for(id);
        let Some(inv) = self.invs.get_mut(&id) else {
            return;
        };
        let (Some(call), Some(run)) = (&mut inv.call, &inv.run) else {
            return;
        };
        if let Some(place) = place {
            let bytes = backend::invoke(&inv.rid, timeout.div_ceil(MILLISECOND), &run.call_body);
            if self
                .out
                .call(place, call.no, id, bytes, call.wants.wanted())
            {
                (call.place, call.since) = (CallPlacement::Link(place), self.now);
                let repeats = call.repeats;
                self.out.step(
                    &inv.rid,
                    format_args!(
                        "calls below on link {place}, for {} ms",
                        timeout / MILLISECOND
                    ),
                );
                self.counts_own(process_column::CALLS, 1);
                return self.counts_own(process_column::CALLS_RETRIED, u64::from(repeats));
            }
        }
        if let Some(call) = inv.call.take() {
            self.call_is_over(&call, false);
        }
        self.deferred.push_back(DeferredEvent::CallEnded(
            id,
            BackendCallOutcome::NotExecuted,
        ));
    }

    /// Has a timer look whether a call that waits has room.
    fn arm_calls(&mut self, pause: Nanos) {
        let due = self.now + pause.max(MILLISECOND);
        if self.calls_due.is_none_or(|armed| due < armed) {
            self.calls_due = Some(due);
            self.set_timer(due - self.now, Timer::CallRoom);
        }
    }

    /// Sends the calls that wait, as far as there is room below, in their order.
    pub fn send_waiting(&mut self) {
        self.calls_due = None;
        self.start_slowly();
        while let Some((id, no)) = self.calls_waiting.front().copied() {
            let waits = self
                .invs
                .get(&id)
                .and_then(|inv| inv.call.as_ref())
                .filter(|call| call.no == no);
            let Some((until, repeats)) = waits.and_then(|call| match call.place {
                CallPlacement::Waits { until } => Some((until, call.repeats)),
                CallPlacement::Link(_) => None,
            }) else {
                self.calls_waiting.pop_front(); // over before there was room
                continue;
            };
            let now = self.now;
            if let Some(Err(pause)) = self
                .budgets
                .as_mut()
                .map(|budgets| budgets.acquire(now, repeats))
            {
                return self.arm_calls(pause);
            }
            self.calls_waiting.pop_front();
            if let Some(call) = self.invs.get_mut(&id).and_then(|inv| inv.call.as_mut()) {
                call.budgeted = true;
            }
            self.send_call(id, until.saturating_sub(now).max(MILLISECOND));
        }
    }

    pub fn is_current(&self, id: RequestId, no: CallId) -> bool {
        self.invs
            .get(&id)
            .and_then(|inv| inv.call.as_ref())
            .is_some_and(|call| call.no == no)
    }

    /// A call's time is up: how it ended, if it was still in hand.
    pub fn give_up_call(&mut self, id: RequestId, no: CallId) -> Option<BackendCallOutcome> {
        if !self.is_current(id, no) {
            return None;
        }
        let inv = self.invs.get_mut(&id)?;
        let CallPlacement::Link(place) = inv.call.as_ref()?.place else {
            self.count("calls that the fleet's budgets had no room for", 1);
            return Some(BackendCallOutcome::NotExecuted);
        };
        inv.tainted[place] = true;
        let rid = inv.rid.clone();
        self.cancel(&rid, place);
        let BackendLinkState {
            heard, overtaken, ..
        } = self.below[place];
        if overtaken >= OVERTAKEN && heard < no.0 {
            self.count("back end: connections gone silent", 1);
            self.out.rest(place); // what else waits there would wait in vain
        }
        Some(BackendCallOutcome::Abandoned)
    }

    pub fn cancel(&mut self, rid: &str, place: usize) {
        self.out.cancel(place, backend::cancel(rid));
    }

    /// A call was written whole: true if the connection is known to have ended since.
    pub fn call_written(&mut self, no: CallId, id: RequestId, link: BackendLink) -> bool {
        if !self.is_current(id, no) {
            return false;
        }
        if let Some(call) = self.invs.get_mut(&id).and_then(|inv| inv.call.as_mut()) {
            call.written = Some(link);
        }
        self.below[link.place].lost > link.generation
    }

    /// A connection ended; gives the invocations whose calls were written on it and had no reply.
    pub fn backend_lost(&mut self, link: BackendLink) -> Vec<RequestId> {
        // One that was retired may end after a newer one.
        let below = &mut self.below[link.place];
        (below.lost, below.overtaken) = (below.lost.max(link.generation + 1), 0);
        let lost = |call: &BackendCall| call.written == Some(link);
        let broke = self
            .invs
            .iter()
            .filter(|(_, inv)| inv.call.as_ref().is_some_and(lost));
        let broke: Vec<_> = broke.map(|(&id, _)| id).collect();
        if !broke.is_empty() {
            self.out.log(format_args!(
                "back end: connection ended with {} calls",
                broke.len()
            ));
        }
        broke
    }

    /// Nothing was sent on a link for a while: it is closed before the back end does so, which a
    /// call could meet, unless a reply is awaited on it.
    pub fn backend_quiet(&mut self, place: usize) {
        if !self.invs.values().any(|inv| {
            inv.call
                .as_ref()
                .is_some_and(|call| call.link() == Some(place))
        }) {
            self.out.rest(place);
        }
    }

    /// A reply came: gives the invocation whose call it ends.
    pub fn replied(&mut self, place: usize, reply: &backend::Reply) -> Option<RequestId> {
        let id = self.ids.get(&reply.id).copied();
        self.out.step(
            &reply.id,
            format_args!("reply {:?} on link {place}", reply.outcome),
        );
        self.heard(place, id);
        let call = id
            .and_then(|id| self.invs.get(&id))
            .and_then(|inv| inv.call.as_ref());
        if call.is_none_or(|call| call.link() != Some(place)) {
            self.count("back end: replies to calls given up", 1);
            return None;
        }
        id
    }

    /// A reply came on a link: tells which others are silent.
    fn heard(&mut self, place: usize, id: Option<RequestId>) {
        (self.below[place].heard, self.below[place].overtaken) = (self.next_call, 0);
        let Some(no) = id
            .and_then(|id| self.invs.get(&id)?.call.as_ref())
            .map(|call| call.no.0)
        else {
            return;
        };
        let mut oldest = [u64::MAX; BACKEND_LINKS];
        for call in self.invs.values().filter_map(|inv| inv.call.as_ref()) {
            if let Some(place) = call.link() {
                oldest[place] = oldest[place].min(call.no.0);
            }
        }
        for (below, oldest) in self.below.iter_mut().zip(oldest) {
            match oldest {
                u64::MAX => below.overtaken = 0, // nothing waits there
                oldest => below.overtaken += u32::from(below.heard < oldest && oldest < no),
            }
        }
    }

    /// Takes a call that has ended; gives how long it took.
    pub fn call_over(&mut self, id: RequestId, ending: BackendCallOutcome) -> Option<Nanos> {
        let inv = self.invs.get_mut(&id)?;
        inv.run.as_ref()?;
        let Some(call) = inv.call.take() else {
            return Some(0);
        };
        inv.call_failed = ending != BackendCallOutcome::Succeeded;
        let latency = self.now - call.since;
        self.call_is_over(
            &call,
            matches!(
                ending,
                BackendCallOutcome::Abandoned | BackendCallOutcome::PossiblyExecuted
            ),
        );
        if call.link().is_some() {
            let slow = self.slow.is_some_and(|slow| latency > slow);
            self.judged(|judge, now| {
                judge.call_ended(now, ending == BackendCallOutcome::Succeeded && !slow)
            });
            self.counts_own(
                process_column::CALLS_FAILED,
                u64::from(ending != BackendCallOutcome::Succeeded),
            );
        }
        Some(latency)
    }

    // ---- The service's health ----

    /// While the service below starts, budgets give the share of their rates that the judgement on
    /// it allows: the sum of what all nodes send rises with the service, however much is wanted.
    pub fn start_slowly(&mut self) {
        if let (Some(budgets), Some(judge)) = (&mut self.budgets, &self.judge) {
            budgets.set_usable_share(self.now, judge.budget_share(self.now));
        }
    }

    /// Has the judgement on the service below looked at or changed, and says so if it goes about
    /// the service otherwise since.
    pub fn judged<T>(&mut self, f: impl FnOnce(&mut ServiceHealth, Nanos) -> T) -> Option<T> {
        let judge = self.judge.as_mut()?;
        let (before, was) = (judge.state(), judge.admitted_share());
        let result = f(judge, self.now);
        let (mode, level) = (judge.state(), judge.admitted_share());
        if mode != before || level > was && mode == HealthState::Recovering {
            let seen = judge.report(self.now);
            let others = judge.others(self.now).unwrap_or_default();
            self.out.log(format_args!(
                "service below: {}->{}, {} of {} calls failed lately, {} of {} others in {} of {} zones say it is ill, \
                 {:.0} % goes there",
                before.label(),
                mode.label(),
                seen.failed,
                seen.calls,
                others.failing,
                others.reporters,
                others.failing_zones,
                others.zones,
                level * 100.0
            ));
        }
        Some(result)
    }

    /// Lets a run go on, with the reply to its call or without one.
    pub fn resume(&mut self, id: RequestId, reply: Option<Vec<u8>>) {
        let Some(run) = self.invs.get_mut(&id).and_then(|inv| inv.run.as_mut()) else {
            return;
        };
        let ExecutionWait::BackendCall { no } = run.wait else {
            return;
        };
        run.wait = ExecutionWait::Resumed { no, reply, sent: 0 };
        self.resume_again(id, |sent| sent == 0);
    }

    /// Sends word to go on, if it was not sent or is `lacking` at the kernel.
    pub fn resume_again(&mut self, id: RequestId, lacking: impl Fn(u64) -> bool) {
        let Some(inv) = self.invs.get_mut(&id) else {
            return;
        };
        let rid = inv.rid.clone();
        let Some(run) = inv.run.as_mut() else { return };
        let ExecutionWait::Resumed { no, reply, sent } = &mut run.wait else {
            return;
        };
        if !lacking(*sent) {
            return;
        }
        let (no, reply) = (*no, reply.take());
        let command = match &reply {
            Some(body) => Command::IoDone { rid: &rid, body },
            None => Command::NoIo { rid: &rid, no },
        };
        let sent = self.command(command);
        if let Some(run) = self.invs.get_mut(&id).and_then(|inv| inv.run.as_mut()) {
            run.wait = ExecutionWait::Resumed { no, reply, sent };
        }
    }
}
