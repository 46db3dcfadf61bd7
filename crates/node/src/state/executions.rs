//! The kernel's link and what runs there.

use super::{
    Execution, ExecutionWait, GAUGES_LEAD, LOOK_PERIOD, MILLISECOND, NodeState, OpenRequest, Timer,
};
use crate::actions::Actions;
use crate::config::ConfigUpdate;
use crate::executor::{Command, End};
use crate::log::part;
use madderpoint::{Idempotency, Nanos, RequestId};
use tracing::{info, warn};

/// How long a link that is to be renewed has to show that all commands arrived.
const SETTLE: Nanos = 100 * MILLISECOND;
/// At most so long after the command to run what must not run twice, a question follows whose
/// answer shows that it arrived: only what lies between is in doubt when a link breaks.
const MARK: Nanos = 10 * MILLISECOND;
/// A link whose kernel has not answered for so many times so long is silent, and is made anew.
/// Counted by looks and not by the clock, for of a machine that stood still only one is late.
const SILENT_LOOKS: u32 = 5;
const SILENT_LOOK: Nanos = 400 * MILLISECOND;
/// What is in doubt has so long to be heard of.
const DOUBT: Nanos = 1000 * MILLISECOND;

impl<O: Actions> NodeState<O> {
    // ---- The link ----

    /// Sends a command and gives its number; 0 while it must wait until the link is in step.
    pub fn command(&mut self, command: Command<'_>) -> u64 {
        if !self.kernel.synced {
            return 0;
        }
        self.kernel.sent += 1;
        self.out.kernel(command.line());
        self.kernel.sent
    }

    pub fn kernel_linked(&mut self, last: u64) {
        (self.kernel.up, self.kernel.synced, self.kernel.renewing) = (true, false, false);
        (self.kernel.waits, self.kernel.unanswered) = (false, 0);
        self.out.kernel(Command::Open(last).line());
    }

    pub fn kernel_lost(&mut self) {
        (self.kernel.up, self.kernel.synced, self.kernel.renewing) = (false, false, false);
        warn!(target: part::EXECUTOR, requests = self.invs.len(), "connection lost");
    }

    /// A new configuration. The kernel's link moves once the answer to one more question shows that
    /// what was written on the old one has arrived; commands wait meanwhile. A link that was cut
    /// off at once would put in doubt what was on its way, and what must not run twice would err
    /// for it.
    pub fn moved(&mut self, moved: &ConfigUpdate) {
        let ConfigUpdate {
            peers,
            needs_restart,
        } = moved;
        info!(
            target: part::CONFIGURATION,
            executor = %peers.executor,
            service_registry = %peers.service_registry,
            backend = ?peers.backend,
            needs_restart = ?needs_restart,
            "new configuration in force"
        );
        if !self.out.moved(*peers) {
            return;
        }
        if !self.kernel.synced {
            return self.out.renew_kernel(); // no commands are on their way
        }
        (self.kernel.synced, self.kernel.renewing) = (false, true);
        self.kernel.sync = self.kernel.sent + 1;
        self.set_timer(SETTLE, Timer::RenewKernel(self.kernel.sync));
        self.ask();
    }

    /// What was written on a link that is to be renewed has arrived, or has had its time.
    pub fn settled(&mut self, mark: u64) {
        if self.kernel.renewing && mark >= self.kernel.sync {
            (self.kernel.up, self.kernel.renewing) = (false, false);
            self.out.renew_kernel();
        }
    }

    /// All that was missed follows; the answer to a question asked now comes after it.
    pub fn booted(&mut self, cold: bool, up_ms: f64) {
        info!(target: part::EXECUTOR, cold, up_ms = up_ms.round(), "connected");
        self.kernel.sync = self.kernel.sent + 1;
        self.ask();
    }

    pub fn ask_gauges(&mut self) {
        self.watch_silence();
        if self.kernel.synced && self.now >= self.kernel.asked + GAUGES_LEAD / 2 {
            self.ask();
        }
    }

    /// A link that is open and brings nothing would hold all that runs until its client timeout.
    fn watch_silence(&mut self) {
        let kernel = &mut self.kernel;
        if !kernel.up || !kernel.waits || self.now < kernel.seen + SILENT_LOOK {
            return;
        }
        (kernel.seen, kernel.unanswered) = (self.now, kernel.unanswered + 1);
        if kernel.unanswered >= SILENT_LOOKS {
            (kernel.up, kernel.synced, kernel.renewing) = (false, false, false);
            (kernel.waits, kernel.unanswered) = (false, 0);
            self.count("kernel: links gone silent", 1);
            warn!(
                target: part::EXECUTOR,
                requests = self.invs.len(),
                "connection silent: it is renewed"
            );
            self.out.renew_kernel();
        }
    }

    fn ask(&mut self) {
        if !std::mem::replace(&mut self.kernel.waits, true) {
            (self.kernel.unanswered, self.kernel.seen) = (0, self.now);
        }
        self.kernel.asked = self.now;
        self.kernel.sent += 1;
        self.out.kernel(Command::SysInfo(self.kernel.sent).line());
    }

    pub fn info(&mut self, mark: u64, values: Vec<f64>) {
        self.kernel.gauges = Some((self.now, self.start.gauges(values.into_iter())));
        (self.kernel.waits, self.kernel.unanswered) = (mark < self.kernel.sent, 0);
        self.kernel.seen = self.now;
        let arrived = self.kernel.arrived;
        self.kernel.arrived = arrived.max(mark);
        if self.kernel.renewing {
            self.settled(mark);
        } else if self.kernel.up && !self.kernel.synced && mark >= self.kernel.sync {
            self.kernel.synced = true;
            self.catch_up(arrived);
        }
    }

    /// Sends what waited for the link, and again what may not have arrived over the one before.
    fn catch_up(&mut self, arrived: u64) {
        let lacks = |sent: u64| sent == 0 || sent > arrived;
        let running: Vec<_> = self
            .invs
            .iter()
            .filter(|(_, inv)| inv.run.is_some())
            .map(|(&id, _)| id)
            .collect();
        for id in running {
            let Some(inv) = self.invs.get(&id) else {
                continue;
            };
            let Some(run) = &inv.run else { continue };
            // What may not run twice could have ended this moment, so it is only started if it
            // never was.
            let again = self.effect(inv.op) == Idempotency::Idempotent || inv.front.is_none();
            let (sent, halted, seen) = (run.sent, run.halted, run.seen);
            if !seen && lacks(sent) {
                if sent == 0 || again {
                    self.start(id)
                } else {
                    self.count("runs in doubt after a broken link", 1);
                    self.set_timer(DOUBT, Timer::Doubt(id));
                }
            }
            self.resume_again(id, lacks);
            if halted.is_some_and(lacks) {
                self.halt(id);
            }
        }
    }

    /// The kernel has not spoken of a run since the link broke on which it was asked for: its
    /// caller is told at once and not at its client timeout. OpenItem for again when that is over, the
    /// kernel only says whether there is one.
    pub fn doubt_over(&mut self, id: RequestId) {
        let silent = |inv: &OpenRequest| inv.run.as_ref().is_some_and(|run| !run.seen);
        if self.kernel.synced && self.invs.get(&id).is_some_and(silent) {
            self.answer(id, 500, "", Vec::new());
            self.start(id);
        }
    }

    // ---- Runs ----

    pub fn run(&mut self, id: RequestId) {
        let Some(inv) = self.invs.get(&id) else {
            return;
        };
        let twice = inv.ran && self.effect(inv.op) != Idempotency::Idempotent;
        let late = self
            .leaving
            .is_some_and(|notice| inv.arrived > notice + self.start.deployment.drain_grace);
        let wanted = inv.front.is_some();
        invariant!(self, !twice, "what must not run twice runs once");
        invariant!(self, !late, "what arrives past the grace does not run");
        invariant!(self, wanted, "only what is owed an answer is run");
        self.start(id);
    }

    fn start(&mut self, id: RequestId) {
        let Some(inv) = self.invs.get(&id) else {
            return;
        };
        let (rid, body) = (inv.rid.clone(), inv.body.clone());
        let op = inv.op;
        let route = self.start.operations[op.0].clone();
        let sent = self.command(Command::Sched {
            rid: &rid,
            route: &route,
            body: &body,
        });
        self.out
            .step(&rid, format_args!("told to run, command {sent}"));
        if let Some(inv) = self.invs.get_mut(&id) {
            let run = inv.run.get_or_insert_with(|| Execution {
                sent,
                halted: None,
                seen: false,
                wait: ExecutionWait::Nothing,
                call_body: Vec::new(),
            });
            run.sent = sent;
            inv.asked += u32::from(sent > 0);
            if self.effect(op) != Idempotency::Idempotent {
                self.set_timer(MARK, Timer::AskGauges);
            }
        }
    }

    pub fn halt(&mut self, id: RequestId) {
        let Some(inv) = self.invs.get(&id) else {
            return;
        };
        let Some(run) = &inv.run else { return };
        if run.sent == 0 {
            return self.never_started(id);
        }
        let rid = inv.rid.clone();
        let sent = self.command(Command::Preempt(&rid));
        if let Some(run) = self.invs.get_mut(&id).and_then(|inv| inv.run.as_mut()) {
            run.halted = Some(sent);
        }
    }

    /// Asks again for runs that nobody has waited on for long: as their request is over, the kernel
    /// says MOOT if there is no such run (its end was missed), and does nothing if there is.
    pub fn ask_after_runs(&mut self) {
        if !self.kernel.synced {
            return; // what happened without a link is told first
        }
        let timeout = |inv: &OpenRequest| self.start.deployment.operations[inv.op.0].client_timeout;
        let long_over = |inv: &OpenRequest| {
            inv.front.is_none()
                && inv.run.is_some()
                && self.now > inv.arrived + timeout(inv) + LOOK_PERIOD
        };
        let over: Vec<_> = self
            .invs
            .iter()
            .filter(|(_, inv)| long_over(inv))
            .map(|(&id, _)| id)
            .collect();
        for id in over {
            self.count("runs long over that were asked after", 1);
            self.start(id);
        }
    }

    /// A run has come to a call.
    pub fn call_asked(&mut self, rid: &str, no: u64, body: Vec<u8>) -> Option<RequestId> {
        let id = self.ids.get(rid).copied();
        let inv = id
            .and_then(|id| self.invs.get_mut(&id))
            .filter(|inv| inv.run.is_some());
        let Some(inv) = inv else {
            self.count("kernel: calls of what does not run", 1);
            return None;
        };
        inv.call_failed = false;
        let run = inv.run.as_mut()?;
        (run.seen, run.wait, run.call_body) = (true, ExecutionWait::BackendCall { no }, body);
        id
    }

    /// A run is over: answers its caller.
    pub fn reaped(&mut self, rid: &str, end: End, body: Vec<u8>) -> Option<RequestId> {
        let id = self.ids.get(rid).copied();
        let inv = id
            .and_then(|id| self.invs.get_mut(&id))
            .filter(|inv| inv.run.is_some());
        let (Some(id), Some(inv)) = (id, inv) else {
            self.count("kernel: ends of what does not run", 1);
            return None;
        };
        inv.run = None;
        inv.ran |= end != End::Moot;
        // To a second command MOOT only says that no run goes on: the first one may have run, and
        // its end been lost.
        inv.never_ran = end == End::Moot && inv.asked == 1;
        self.out.step(rid, format_args!("run over: {end:?}"));
        let call = inv.call.take();
        if let Some(call) = call {
            self.call_is_over(&call, true);
            call.link()
                .into_iter()
                .for_each(|place| self.cancel(rid, place));
        }
        match end {
            End::Ok => {
                let fresh = self.start.deployment.shared_answer_ttl;
                self.cache.keep(id, &body, self.now + fresh);
                self.answer(id, 200, "", body);
            }
            End::Error => self.answer(id, 500, "", Vec::new()),
            End::Stopped | End::Moot => {}
        }
        self.settle(id);
        Some(id)
    }

    /// The kernel did not carry a command out.
    pub fn einval(&mut self, command: &str, rid: &str) -> Option<RequestId> {
        self.count("kernel: commands not carried out", 1);
        let id = self.ids.get(rid).copied().filter(|_| command == "SCHED")?;
        let inv = self.invs.get_mut(&id)?;
        inv.run.take_if(|run| !run.seen)?;
        inv.never_ran = true; // no command for it was ever carried out
        if let Some(front) = inv.front {
            self.strike(front.conn); // the kernel never heard of it: no dispatcher's
        }
        self.answer(id, 500, "", Vec::new());
        Some(id)
    }
}
