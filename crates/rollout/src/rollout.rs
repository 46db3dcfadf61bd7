//! All of a node's part in changes of one kind: its own, and if it is an arbiter its votes, the
//! record and the conducting.

use crate::change::{Change, ChangeId, Fate, Version};
use crate::conduct::{Act, Conduct};
use crate::local::{Host, Local, Own, Start};
use crate::orders::{self, Orders, state};
use crate::quorum::Proposal;
use crate::stages::Plan;
use crate::wire::{Order, Ordered, Told};
use crate::{Nanos, SECOND};

/// A window is looked at so long after its end: nodes tell their counts each five seconds, and
/// words are on their way.
const WORDS: u64 = 6000;

/// The part.
pub struct Rollout<H: Host> {
    pub local: Local<H>,
    pub conduct: Conduct,
    /// How a change that is offered here goes out.
    pub plan: Plan,
    orders: Orders,
    window_ms: u64,
    looked: Nanos,
}

impl<H: Host> Rollout<H> {
    /// Of a node that has just started, among these arbiters, in a fleet that counts in windows of
    /// so many milliseconds.
    pub fn new(
        now: Nanos,
        unix_ms: u64,
        (me, zone): (u64, u32),
        start: Start,
        arbiters: Vec<u64>,
        window_ms: u64,
        host: H,
    ) -> Rollout<H> {
        let kind = start.kept.kind;
        Rollout {
            local: Local::new(now, unix_ms, (me, zone), start, host),
            conduct: Conduct::new(now, me, kind, arbiters),
            plan: Plan::default(),
            orders: Orders::default(),
            window_ms,
            looked: 0,
        }
    }

    /// Something was told.
    pub fn told(&mut self, now: Nanos, unix_ms: u64, from: u64, told: Told) {
        match told {
            Told::Report { no, report } => self.conduct.report_came(from, no, report),
            Told::Say(kind, say) if kind == self.local.kind() => {
                let acts = self.conduct.said(now, from, &say);
                self.act(now, unix_ms, acts);
            }
            told => self.local.told(now, from, told),
        }
    }

    /// Does what is due; to be called some times a second.
    pub fn wake(&mut self, now: Nanos, unix_ms: u64) {
        self.local.wake(now, unix_ms);
        if !self.conduct.is_arbiter() {
            return;
        }
        if now >= self.looked + SECOND {
            self.looked = now;
            let wanted = self.conduct.wants_counts(self.local.changes());
            // The latest window that is over, and of which words have come.
            let over = (unix_ms.saturating_sub(WORDS) / self.window_ms).checked_sub(1);
            if let (Some(from), Some(over)) = (wanted, over)
                && over >= from
            {
                for (window, samples) in self.local.host.windows(from, over) {
                    self.conduct.counted(window, &samples);
                }
            }
        }
        let members = self.local.host.members();
        let over = (unix_ms.saturating_sub(WORDS) / self.window_ms).saturating_sub(1);
        let acts = {
            let Local { host, changes, .. } = &mut self.local;
            self.conduct.wake(now, unix_ms, changes, &members, &mut || {
                host.windows(0, over)
            })
        };
        self.act(now, unix_ms, acts);
    }

    fn act(&mut self, now: Nanos, unix_ms: u64, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Send(to, told) if to == self.local.me() => self.told(now, unix_ms, to, told),
                Act::Send(to, told) => self.local.host.send(to, told),
                Act::End { change, fate, why } => {
                    self.local.end(now, unix_ms, change, fate, &why);
                }
                Act::Agreed(Proposal { change, reach }) => {
                    self.local.advance(now, change, &reach);
                }
            }
        }
    }

    /// Offers a change here, whose content was checked.
    pub fn offer(&mut self, now: Nanos, change: Change, content: Option<Vec<u8>>) {
        self.local.offer(now, change, content);
    }

    /// An operator halts a change, or takes it back.
    pub fn end(&mut self, now: Nanos, unix_ms: u64, id: ChangeId, fate: Fate, why: &str) -> bool {
        self.local.end(now, unix_ms, id, fate, why)
    }

    /// An operator orders something; gives what became of it.
    pub fn order(&mut self, now: Nanos, unix_ms: u64, said: &Order) -> Ordered {
        let kind = self.local.kind();
        match self.orders.order(now, kind, self.local.changes(), said) {
            orders::Act::Answer(answer) => answer,
            orders::Act::LookInto {
                no,
                version,
                content,
            } => {
                self.local.host.look_into(no, version, content);
                Ordered {
                    state: state::LATER,
                    why: "the node looks into it".into(),
                    change: 0,
                }
            }
            orders::Act::End { id, fate, why } => {
                self.local.end(now, unix_ms, id, fate, &why);
                Ordered {
                    state: state::TAKEN,
                    why: String::new(),
                    change: id.0,
                }
            }
        }
    }

    /// The node looked into an offer, and found which version it is, or why it can't be run.
    pub fn looked_into(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        no: u64,
        found: Result<Version, String>,
    ) {
        let of = (self.local.kind(), self.local.me(), unix_ms);
        let good = self.local.kept_now().good.unwrap_or(self.local.running());
        let offered =
            self.orders
                .looked_into(no, found, of, self.local.changes(), good, &self.plan);
        if let Some((change, content)) = offered {
            self.local.offer(now, change, content);
        }
    }

    /// What the node itself came to.
    pub fn own(&mut self, now: Nanos, unix_ms: u64, own: Own) {
        self.local.own(now, unix_ms, own);
    }
}
