//! The node's implementation of the admission controller's [`Host`].

use super::executor_link::GAUGES_LEAD;
use super::{DeferredEvent, MILLISECOND, NodeState, Timer};
use crate::actions::Actions;
use crate::log::part;
use madderpoint::{Host, Idempotency, Nanos, RequestId, TimerId};
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use tracing::info;

/// Tolerance added to an idempotency window, because the protocol lets clocks differ by this much
/// in every time limit.
const CLOCK_DIFFERENCE: Nanos = 50 * MILLISECOND;

/// The node's state as the admission controller's [`Host`].
///
/// The host shares the state with [`Node`](crate::node::Node). Only one of the two borrows the
/// state at a time: the node ends its borrow before it calls the admission controller.
pub struct AdmissionHost<A: Actions>(pub Rc<RefCell<NodeState<A>>>);

impl<A: Actions> Host for AdmissionHost<A> {
    fn start(&mut self, id: RequestId) {
        self.0.borrow_mut().start_execution(id);
    }

    fn stop(&mut self, id: RequestId) {
        self.0.borrow_mut().cancel_execution(id);
    }

    fn reject(&mut self, id: RequestId, retry_after: Nanos, stop_trying: bool) {
        let state = &mut *self.0.borrow_mut();
        let Some(request) = state.requests.get(&id) else {
            return;
        };
        let never_ran = !(request.has_run || request.execution.is_some());
        let may_reject =
            never_ran || state.idempotency(request.operation) == Idempotency::Idempotent;
        invariant!(
            state,
            may_reject,
            "a request that may have run is not rejected"
        );
        let mut headers = String::new();
        if retry_after > 0 {
            headers += &format!("X-Pushback-Ms: {}\r\n", retry_after.div_ceil(MILLISECOND));
        }
        if stop_trying {
            headers += "X-Stop-Trying: 1\r\n";
        }
        state.answer(id, 429, &headers, Vec::new());
    }

    fn fail(&mut self, id: RequestId) {
        self.0.borrow_mut().answer(id, 500, "", Vec::new());
    }

    fn call_backend(&mut self, id: RequestId, timeout: Nanos) {
        self.0.borrow_mut().start_backend_call(id, timeout);
    }

    fn skip_backend_call(&mut self, id: RequestId) {
        self.0.borrow_mut().resume_execution(id, None);
    }

    fn retain_idempotency_key(&mut self, id: RequestId, lifetime: Nanos) {
        let state = &mut *self.0.borrow_mut();
        let Some(key) = state
            .requests
            .get(&id)
            .and_then(|request| request.idempotency_key)
        else {
            return;
        };
        let window_end = state.now + lifetime + if key.once { CLOCK_DIFFERENCE } else { 0 };
        let longest_delay = if key.once {
            state.config.deployment.operations[key.operation].client_timeout
        } else {
            0
        };
        let now = state.now;
        state
            .idempotency_cache
            .retain(now, id, key, window_end, longest_delay);
    }

    fn release_idempotency_key(&mut self, id: RequestId) {
        self.0.borrow_mut().idempotency_cache.release(id);
    }

    fn coalesce(&mut self, id: RequestId) {
        let state = &mut *self.0.borrow_mut();
        let Some(request) = state.requests.get_mut(&id) else {
            return;
        };
        request.coalesced_at = Some(state.now);
        let original = request.repeat_of;
        if let Some(result) = original.and_then(|id| state.idempotency_cache.result(id)) {
            let result = result.to_vec();
            return state
                .deferred
                .push_back(DeferredEvent::CoalescedEnded(id, Some(result)));
        }
        match original.and_then(|id| state.requests.get_mut(&id)) {
            Some(original) => original.coalesced.push(id),
            None => state
                .deferred
                .push_back(DeferredEvent::CoalescedEnded(id, None)),
        }
    }

    fn set_health(&mut self, healthy: bool, from_cache: bool) {
        self.0.borrow_mut().set_health(healthy, from_cache);
    }

    fn report_load(&mut self, value: f64) {
        self.0.borrow_mut().load_report = Some(value);
    }

    fn close_idle_connections(&mut self, idle_for: Nanos) {
        self.0.borrow_mut().set_idle_timeout(idle_for);
    }

    fn set_timer(&mut self, timer: TimerId, after: Nanos) {
        let state = &mut *self.0.borrow_mut();
        state.set_timer(after.saturating_sub(GAUGES_LEAD), Timer::RequestGauges);
        state.set_timer(after, Timer::Admission(timer));
    }

    fn log(&mut self, line: fmt::Arguments<'_>) {
        info!(target: part::ADMISSION, event = "mode", "{line}");
    }
}
