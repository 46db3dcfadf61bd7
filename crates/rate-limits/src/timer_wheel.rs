//! When each entry of the table is due to be checked: a wheel of slots, one for each tick. An entry
//! that is due later than the wheel goes round is put into the last slot and moved on from there.
//! Entries are linked by their slots in the table, so that a removed one leaves nothing behind: under a flood of
//! new keys, records of old ones would else pile up.

use crate::Nanos;

const SLOTS: usize = 256;
/// The time of a slot, in nanoseconds.
const TICK: Nanos = 100_000_000;
/// No entry, or no slot.
const NONE: u32 = u32::MAX;

/// An entry's neighbours in the list of its slot of the wheel.
#[derive(Clone, Copy)]
struct Link {
    before: u32,
    after: u32,
    slot: u32,
}

/// The wheel.
pub struct TimerWheel {
    /// The first entry of each slot.
    slots: [u32; SLOTS],
    links: Vec<Link>,
    /// The tick whose slot is being emptied.
    tick: u64,
}

impl TimerWheel {
    /// An empty wheel.
    pub fn new() -> TimerWheel {
        TimerWheel {
            slots: [NONE; SLOTS],
            links: Vec::new(),
            tick: 0,
        }
    }

    /// Inserts an entry that is due to be checked once its time has passed.
    pub fn insert(&mut self, index: usize, now: Nanos, due: Nanos) {
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
        if index >= self.links.len() {
            self.links.resize(
                index + 1,
                Link {
                    before: NONE,
                    after: NONE,
                    slot: NONE,
                },
            );
        }
        self.links[index] = link;
        if after != NONE {
            self.links[after as usize].before = index as u32;
        }
        self.slots[slot] = index as u32;
    }

    /// Removes an entry, if it is there.
    pub fn remove(&mut self, index: usize) {
        let Some(link) = self
            .links
            .get(index)
            .copied()
            .filter(|link| link.slot != NONE)
        else {
            return;
        };
        match link.before {
            NONE => self.slots[link.slot as usize] = link.after,
            before => self.links[before as usize].after = link.after,
        }
        if link.after != NONE {
            self.links[link.after as usize].before = link.before;
        }
        self.links[index].slot = NONE;
    }

    /// The next entry that is due, which leaves the wheel.
    pub fn next_due(&mut self, now: Nanos) -> Option<usize> {
        let until = now / TICK;
        // After a long pause, or a clock that jumped, one round is enough: all slots are due.
        self.tick = self.tick.max(until.saturating_sub(SLOTS as u64));
        loop {
            let first = self.slots[self.tick as usize % SLOTS];
            if first != NONE {
                self.remove(first as usize);
                return Some(first as usize);
            }
            if self.tick >= until {
                return None;
            }
            self.tick += 1;
        }
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.links.capacity() * size_of::<Link>() + SLOTS * 4
    }
}
