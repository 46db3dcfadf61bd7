//! Calls below.

use super::{BACKEND_LINKS, Below, Call, Deferred, Desk, MILLISECOND, Timer, Wait};
use crate::backend;
use crate::kernel::Command;
use crate::outward::{BackendLink, CallNo, Outward};
use madderpoint::{CallEnding, InvId, Nanos};

/// A link that so many replies on others have overtaken has gone silent: it is passed over, and closed when a call
/// on it comes to its time limit.
const OVERTAKEN: u32 = 8;

impl<O: Outward> Desk<O> {
    /// The link for a call: rather one that is not silent, then the one with the fewest calls.
    fn link_for(&self, id: InvId) -> Option<usize> {
        let mut waiting = [0; BACKEND_LINKS];
        self.invs.values().filter_map(|inv| inv.call.as_ref()).for_each(|call| waiting[call.place] += 1);
        let tainted = self.invs.get(&id)?.tainted;
        let open = (0..BACKEND_LINKS).filter(|&place| !tainted[place]);
        open.min_by_key(|&place| (self.below[place].overtaken >= OVERTAKEN, waiting[place]))
    }

    pub fn call(&mut self, id: InvId, timeout: Nanos) {
        let place = self.link_for(id);
        let Some(inv) = self.invs.get_mut(&id) else { return };
        if !inv.run.as_ref().is_some_and(|run| matches!(run.wait, Wait::Call { .. })) {
            return self.count("calls of runs that wait for none", 1);
        }
        let (Some(place), true, None) = (place, self.has_backend, &inv.call) else {
            return self.deferred.push_back(Deferred::CallEnded(id, CallEnding::NeverRan));
        };
        // A call that the fleet's budgets have no room for is like one for which no link has: it never ran.
        let repeats = inv.call_failed;
        let budgeted = match self.budgets.as_mut().map(|budgets| budgets.take(self.now, repeats)) {
            Some(Err(_)) => {
                self.count("calls that the fleet's budgets had no room for", 1);
                return self.deferred.push_back(Deferred::CallEnded(id, CallEnding::NeverRan));
            }
            allowed => allowed.is_some(),
        };
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let Some(run) = inv.run.as_ref() else { return };
        let longest = self.start.premises.operations[inv.op.0].client_timeout;
        let timeout = if timeout == 0 { longest } else { timeout };
        let bytes = backend::invoke(&inv.rid, timeout.div_ceil(MILLISECOND), &run.call_body);
        self.next_call += 1;
        let no = CallNo(self.next_call);
        if !self.out.call(place, no, id, bytes) {
            self.budgets.iter_mut().filter(|_| budgeted).for_each(|budgets| budgets.over(repeats));
            return self.deferred.push_back(Deferred::CallEnded(id, CallEnding::NeverRan));
        }
        self.out
            .step(&inv.rid, format_args!("calls below on link {place}, for {} ms", timeout / MILLISECOND));
        inv.call = Some(Call { no, place, since: self.now, written: None, budgeted, repeats });
        self.set_timer(timeout, Timer::CallLimit(id, no));
    }

    pub fn is_current(&self, id: InvId, no: CallNo) -> bool {
        self.invs.get(&id).and_then(|inv| inv.call.as_ref()).is_some_and(|call| call.no == no)
    }

    /// A call's time is up: true if it was still in hand.
    pub fn give_up_call(&mut self, id: InvId, no: CallNo) -> bool {
        if !self.is_current(id, no) {
            return false;
        }
        let Some(inv) = self.invs.get_mut(&id) else { return false };
        let Some(place) = inv.call.as_ref().map(|call| call.place) else { return false };
        inv.tainted[place] = true;
        let rid = inv.rid.clone();
        self.cancel(&rid, place);
        let Below { heard, overtaken, .. } = self.below[place];
        if overtaken >= OVERTAKEN && heard < no.0 {
            self.count("back end: connections gone silent", 1);
            self.out.rest(place); // what else waits there would wait in vain
        }
        true
    }

    pub fn cancel(&mut self, rid: &str, place: usize) {
        self.out.cancel(place, backend::cancel(rid));
    }

    /// A call was written whole: true if the connection is known to have ended since.
    pub fn call_written(&mut self, no: CallNo, id: InvId, link: BackendLink) -> bool {
        if !self.is_current(id, no) {
            return false;
        }
        if let Some(call) = self.invs.get_mut(&id).and_then(|inv| inv.call.as_mut()) {
            call.written = Some(link);
        }
        self.below[link.place].lost > link.generation
    }

    /// A connection ended; gives the invocations whose calls were written on it and had no reply.
    pub fn backend_lost(&mut self, link: BackendLink) -> Vec<InvId> {
        // One that was retired may end after a newer one.
        let below = &mut self.below[link.place];
        (below.lost, below.overtaken) = (below.lost.max(link.generation + 1), 0);
        let lost = |call: &Call| call.written == Some(link);
        let broke = self.invs.iter().filter(|(_, inv)| inv.call.as_ref().is_some_and(lost));
        let broke: Vec<_> = broke.map(|(&id, _)| id).collect();
        if !broke.is_empty() {
            self.out.log(format_args!("back end: connection ended with {} calls", broke.len()));
        }
        broke
    }

    /// Nothing was sent on a link for a while: it is closed before the back end does so, which a call could
    /// meet, unless a reply is awaited on it.
    pub fn backend_quiet(&mut self, place: usize) {
        if !self.invs.values().any(|inv| inv.call.as_ref().is_some_and(|call| call.place == place)) {
            self.out.rest(place);
        }
    }

    /// A reply came: gives the invocation whose call it ends.
    pub fn replied(&mut self, place: usize, reply: &backend::Reply) -> Option<InvId> {
        let id = self.ids.get(&reply.id).copied();
        self.out.step(&reply.id, format_args!("reply {:?} on link {place}", reply.outcome));
        self.heard(place, id);
        let call = id.and_then(|id| self.invs.get(&id)).and_then(|inv| inv.call.as_ref());
        if call.is_none_or(|call| call.place != place) {
            self.count("back end: replies to calls given up", 1);
            return None;
        }
        id
    }

    /// A reply came on a link: tells which others are silent.
    fn heard(&mut self, place: usize, id: Option<InvId>) {
        (self.below[place].heard, self.below[place].overtaken) = (self.next_call, 0);
        let Some(no) = id.and_then(|id| self.invs.get(&id)?.call.as_ref()).map(|call| call.no.0) else {
            return;
        };
        let mut oldest = [u64::MAX; BACKEND_LINKS];
        for call in self.invs.values().filter_map(|inv| inv.call.as_ref()) {
            oldest[call.place] = oldest[call.place].min(call.no.0);
        }
        for (below, oldest) in self.below.iter_mut().zip(oldest) {
            match oldest {
                u64::MAX => below.overtaken = 0, // nothing waits there
                oldest => below.overtaken += u32::from(below.heard < oldest && oldest < no),
            }
        }
    }

    /// Takes a call that has ended; gives how long it took.
    pub fn call_over(&mut self, id: InvId, ending: CallEnding) -> Option<Nanos> {
        let inv = self.invs.get_mut(&id)?;
        inv.run.as_ref()?;
        let Some(call) = inv.call.take() else { return Some(0) };
        inv.call_failed = ending != CallEnding::Succeeded;
        self.call_is_over(&call);
        Some(self.now - call.since)
    }

    /// Lets a run go on, with the reply to its call or without one.
    pub fn resume(&mut self, id: InvId, reply: Option<Vec<u8>>) {
        let Some(run) = self.invs.get_mut(&id).and_then(|inv| inv.run.as_mut()) else { return };
        let Wait::Call { no } = run.wait else { return };
        run.wait = Wait::Resumed { no, reply, sent: 0 };
        self.resume_again(id, |sent| sent == 0);
    }

    /// Sends word to go on, if it was not sent or is `lacking` at the kernel.
    pub fn resume_again(&mut self, id: InvId, lacking: impl Fn(u64) -> bool) {
        let Some(inv) = self.invs.get_mut(&id) else { return };
        let rid = inv.rid.clone();
        let Some(run) = inv.run.as_mut() else { return };
        let Wait::Resumed { no, reply, sent } = &mut run.wait else { return };
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
            run.wait = Wait::Resumed { no, reply, sent };
        }
    }
}
