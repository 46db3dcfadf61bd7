//! When each entry is to be looked at: a wheel of slots, one for each tick. What lies further off
//! than the wheel goes round is put into its last slot and moved on from there. Entries are linked
//! by their places, so that one that is let go of leaves nothing behind: under a flood of new keys,
//! records of old ones would else pile up.

use crate::Nanos;

const SLOTS: usize = 256;
const TICK: Nanos = 100_000_000;
const NONE: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct Link {
    before: u32,
    after: u32,
    slot: u32,
}

pub struct TimerWheel {
    /// The first entry of each slot.
    slots: [u32; SLOTS],
    links: Vec<Link>,
    /// The tick whose slot is being emptied.
    tick: u64,
}

impl TimerWheel {
    pub fn new() -> TimerWheel {
        TimerWheel {
            slots: [NONE; SLOTS],
            links: Vec::new(),
            tick: 0,
        }
    }

    /// An entry is to be looked at once its time has passed.
    pub fn put(&mut self, at: usize, now: Nanos, due: Nanos) {
        let first = self.tick.max(now / TICK) + 1;
        let tick = (due / TICK)
            .saturating_add(1)
            .clamp(first, first + SLOTS as u64 - 2);
        let slot = tick as usize % SLOTS;
        let after = self.slots[slot];
        let link = Link {
            before: NONE,
            after,
            slot: slot as u32,
        };
        if at >= self.links.len() {
            self.links.resize(
                at + 1,
                Link {
                    before: NONE,
                    after: NONE,
                    slot: NONE,
                },
            );
        }
        self.links[at] = link;
        if after != NONE {
            self.links[after as usize].before = at as u32;
        }
        self.slots[slot] = at as u32;
    }

    /// An entry is no longer to be looked at.
    pub fn take(&mut self, at: usize) {
        let Some(link) = self.links.get(at).copied().filter(|link| link.slot != NONE) else {
            return;
        };
        match link.before {
            NONE => self.slots[link.slot as usize] = link.after,
            before => self.links[before as usize].after = link.after,
        }
        if link.after != NONE {
            self.links[link.after as usize].before = link.before;
        }
        self.links[at].slot = NONE;
    }

    /// The next entry to be looked at, which leaves the wheel.
    pub fn next_due(&mut self, now: Nanos) -> Option<usize> {
        let until = now / TICK;
        // After a long rest, or a clock that jumped, once round is enough: all slots are due.
        self.tick = self.tick.max(until.saturating_sub(SLOTS as u64));
        loop {
            let first = self.slots[self.tick as usize % SLOTS];
            if first != NONE {
                self.take(first as usize);
                return Some(first as usize);
            }
            if self.tick >= until {
                return None;
            }
            self.tick += 1;
        }
    }

    pub fn bytes(&self) -> usize {
        self.links.capacity() * size_of::<Link>() + SLOTS * 4
    }
}
