//! A timer wheel that tells when each entry of the key table must be checked, with one slot for
//! each tick. An entry that is due beyond one turn of the wheel is put into the last slot, and
//! inserted again when that slot is reached. The entries of a slot form a linked list by their
//! indices in the table, so that a removed entry leaves no record behind: otherwise the records of
//! removed entries would accumulate under a flood of new keys.

use crate::Nanos;

/// Number of slots of the wheel.
const SLOTS: usize = 256;
/// Duration of a tick, in nanoseconds.
const TICK: Nanos = 100_000_000;
/// Marks the absence of an entry or a slot.
const NONE: u32 = u32::MAX;

/// The neighbours of an entry in the linked list of its slot of the wheel.
#[derive(Clone, Copy)]
struct Link {
    before: u32,
    after: u32,
    slot: u32,
}

/// A timer wheel of table entries.
pub struct TimerWheel {
    /// First entry of each slot.
    slots: [u32; SLOTS],
    links: Vec<Link>,
    /// Tick whose slot is being emptied.
    tick: u64,
}

impl TimerWheel {
    /// Returns an empty wheel.
    pub fn new() -> TimerWheel {
        TimerWheel {
            slots: [NONE; SLOTS],
            links: Vec::new(),
            tick: 0,
        }
    }

    /// Inserts the entry at `index`, which must be checked once the time `due` has passed.
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

    /// Removes an entry, if the wheel contains it.
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

    /// Removes and returns the next entry that is due.
    pub fn next_due(&mut self, now: Nanos) -> Option<usize> {
        let until = now / TICK;
        // After a long pause or a jump of the clock, all slots are due, and one turn is enough.
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

    /// Returns the memory that the wheel takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.links.capacity() * size_of::<Link>() + SLOTS * 4
    }
}
