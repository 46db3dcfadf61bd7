//! Member table: the merged updates about each member in bounded memory, counts of members, and
//! digests of key ranges that are equal on nodes whose tables agree.

use crate::Nanos;
use crate::member::{
    DetailsError, Epoch, Incarnation, Liveness, LivenessState, LoadHint, MemberDetails,
    MemberEntry, MemberKey, NAME_MAX, is_name,
};
use crate::messages::MemberUpdate;
use std::collections::{BTreeMap, HashMap};
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};

mod change;

pub use change::MemberChange;

/// Number of slices of the key space whose digests are cached; the highest byte of a key is the
/// slice number.
const SLICES: usize = 256;
/// Number of bits below the slice number in a key.
const SLICE_SHIFT: u32 = 56;
/// Memory that is accounted for an entry without name and details, in bytes.
const ENTRY_BYTES: usize = 320;
/// Memory of an entry whose name, zone and version have an ordinary length, in bytes.
pub const TYPICAL_ENTRY_BYTES: usize = 832;

/// Outcome of merging an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The update contains nothing new.
    Known,
    /// The table has more recent information, which the sender should receive.
    Older,
    /// The update refers to a member or a revision whose details the table lacks.
    DetailsWanted,
    /// The name, the liveness or the details in the update are not valid.
    DetailsError(DetailsError),
    /// There is no memory left for the entry of another member.
    Full,
    /// The update changed the member table.
    Changed(MemberChange),
}

/// Member details by hash, shared by several member tables in one process; used by simulations.
pub type Interner = Arc<Mutex<HashMap<u64, Arc<MemberDetails>>>>;

/// Numbers of members by liveness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Number of members that are alive.
    pub alive: usize,
    /// Number of suspected members.
    pub suspect: usize,
    /// Number of members that were declared dead.
    pub dead: usize,
    /// Number of members that left.
    pub left: usize,
}

impl MemberCounts {
    fn of(&mut self, liveness: Liveness) -> &mut usize {
        match liveness {
            Liveness::Alive => &mut self.alive,
            Liveness::Suspect => &mut self.suspect,
            Liveness::Dead => &mut self.dead,
            Liveness::Left => &mut self.left,
        }
    }

    /// Returns the number of present members (alive or suspect).
    pub fn present(&self) -> usize {
        self.alive + self.suspect
    }

    fn total(&self) -> usize {
        self.alive + self.suspect + self.dead + self.left
    }
}

/// Entries of all members that a node knows, its own included.
#[derive(Debug)]
pub struct MemberTable {
    entries: BTreeMap<MemberKey, MemberEntry>,
    cached_digests: Box<[u64; SLICES]>,
    digest: u64,
    counts: MemberCounts,
    zones: BTreeMap<Arc<str>, MemberCounts>,
    bytes: usize,
    bytes_max: usize,
    interner: Option<Interner>,
}

fn slice(key: MemberKey) -> usize {
    (key.0 >> SLICE_SHIFT) as usize
}

impl MemberTable {
    /// Creates an empty table that may use up to `bytes_max` bytes.
    pub fn new(bytes_max: usize, interner: Option<Interner>) -> MemberTable {
        MemberTable {
            entries: BTreeMap::new(),
            cached_digests: Box::new([0; SLICES]),
            digest: 0,
            counts: MemberCounts::default(),
            zones: BTreeMap::new(),
            bytes: 0,
            bytes_max,
            interner,
        }
    }

    /// Returns the digest of all present members. It is equal on nodes that agree on the present
    /// members and their latest revisions.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the numbers of members by liveness.
    pub fn counts(&self) -> MemberCounts {
        self.counts
    }

    /// Returns the numbers of members of one zone by liveness.
    pub fn zone(&self, zone: &str) -> MemberCounts {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// Returns all zones with known members, with the numbers of their members.
    pub fn zones(&self) -> impl Iterator<Item = (&Arc<str>, &MemberCounts)> {
        self.zones.iter()
    }

    /// Returns the entry of a member; `None` if the member is not in the table.
    pub fn get(&self, key: MemberKey) -> Option<&MemberEntry> {
        self.entries.get(&key)
    }

    /// Returns all entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberEntry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    /// Returns the entries in a range of keys.
    pub fn range(
        &self,
        range: RangeInclusive<u64>,
    ) -> impl Iterator<Item = (MemberKey, &MemberEntry)> {
        self.entries
            .range(MemberKey(*range.start())..=MemberKey(*range.end()))
            .map(|(key, entry)| (*key, entry))
    }

    /// Returns the number and the digest of the present members in a range of keys.
    pub fn range_digest(&self, range: RangeInclusive<u64>) -> (usize, u64) {
        let present = self
            .range(range)
            .filter(|(_, entry)| entry.liveness().is_present());
        present.fold((0, 0), |(n, sum), (_, entry)| {
            (n + 1, sum.wrapping_add(entry.digest_contribution))
        })
    }

    /// Returns the digests of `slices` equal slices of the key space, computed from the cached
    /// digests. `slices` is a power of two, at most 256.
    pub(crate) fn slice_digests(&self, slices: usize) -> Vec<u64> {
        self.cached_digests
            .chunks(SLICES / slices)
            .map(|sums| sums.iter().fold(0u64, |a, b| a.wrapping_add(*b)))
            .collect()
    }

    /// Returns the approximate memory use, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds an entry to the counts, memory use and digests, or removes it if `is_added` is false.
    fn account(&mut self, key: MemberKey, entry: &MemberEntry, is_added: bool) {
        let size = ENTRY_BYTES + entry.name.len() + entry.details.bytes();
        let zone = self
            .zones
            .entry(Arc::clone(&entry.details.zone))
            .or_default();
        if is_added {
            *self.counts.of(entry.liveness()) += 1;
            *zone.of(entry.liveness()) += 1;
            self.bytes += size;
        } else {
            *self.counts.of(entry.liveness()) -= 1;
            *zone.of(entry.liveness()) -= 1;
            if zone.total() == 0 {
                self.zones.remove(&entry.details.zone);
            }
            self.bytes -= size;
        }
        if entry.liveness().is_present() {
            let digest_contribution = entry.digest_contribution;
            let sum = &mut self.cached_digests[slice(key)];
            if is_added {
                *sum = sum.wrapping_add(digest_contribution);
                self.digest = self.digest.wrapping_add(digest_contribution);
            } else {
                *sum = sum.wrapping_sub(digest_contribution);
                self.digest = self.digest.wrapping_sub(digest_contribution);
            }
        }
    }

    /// Modifies an entry and keeps counts and digests consistent.
    fn modify(&mut self, key: MemberKey, modification: impl FnOnce(&mut MemberEntry)) {
        let Some(mut entry) = self.entries.remove(&key) else {
            return;
        };
        self.account(key, &entry, false);
        modification(&mut entry);
        entry.update_digest_contribution(key);
        self.account(key, &entry, true);
        self.entries.insert(key, entry);
    }

    /// Decodes details, or returns the shared ones that are equal.
    fn details(&self, raw: &[u8]) -> Result<Arc<MemberDetails>, DetailsError> {
        let details = MemberDetails::read(raw)?;
        let Some(interner) = &self.interner else {
            return Ok(Arc::new(details));
        };
        let mut known = interner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        Ok(Arc::clone(
            known
                .entry(details.hash())
                .or_insert_with(|| Arc::new(details)),
        ))
    }

    /// Merges an update about a member into the table.
    pub fn merge(&mut self, now: Nanos, update: &MemberUpdate) -> MergeOutcome {
        let key = MemberKey(update.key);
        let Some(liveness) = Liveness::from_number(update.liveness) else {
            return MergeOutcome::DetailsError(DetailsError::Unreadable);
        };
        let epoch = Epoch {
            started_unix_ms: update.started_unix_ms,
            incarnation: Incarnation(update.incarnation),
        };
        let liveness_state = LivenessState {
            refutation: update.refutation,
            liveness,
        };
        match self.entries.get(&key) {
            Some(known) if known.epoch > epoch => MergeOutcome::Older,
            Some(known) if known.epoch == epoch => {
                self.merge_same_incarnation(now, key, liveness_state, update)
            }
            Some(_) => self.replace(now, key, epoch, liveness_state, update),
            None => self.insert(now, key, epoch, liveness_state, update),
        }
    }

    fn merge_same_incarnation(
        &mut self,
        now: Nanos,
        key: MemberKey,
        liveness_state: LivenessState,
        update: &MemberUpdate,
    ) -> MergeOutcome {
        let Some(known) = self.entries.get(&key) else {
            return MergeOutcome::DetailsWanted;
        };
        let (known_state, revision) = (known.liveness_state, known.revision);
        let is_newer = update.revision > revision;
        if is_newer && update.details.is_empty() {
            // The liveness state can be merged now, although the details are still missing.
            if liveness_state > known_state {
                self.modify(key, |entry| entry.liveness_state = liveness_state);
            }
            return MergeOutcome::DetailsWanted;
        }
        if liveness_state == known_state && update.revision == revision {
            return MergeOutcome::Known;
        }
        if liveness_state <= known_state && !is_newer {
            return MergeOutcome::Older;
        }
        let details = match is_newer.then(|| self.details(&update.details)).transpose() {
            Ok(details) => details,
            Err(error) => return MergeOutcome::DetailsError(error),
        };
        let mut change = MemberChange {
            before: Some(known_state.liveness),
            digest: true,
            ..MemberChange::default()
        };
        let digest = self.digest;
        self.modify(key, |entry| {
            if liveness_state > known_state {
                entry.liveness_state = liveness_state;
                entry.since = if liveness_state.liveness == known_state.liveness {
                    entry.since
                } else {
                    now
                };
            }
            if let Some(details) = details {
                change.moved = entry.details.address != details.address;
                change.phase = Some(entry.details.phase).filter(|before| *before != details.phase);
                (entry.revision, entry.details) = (update.revision, details);
            }
            change.after = entry.liveness();
        });
        change.digest = digest != self.digest;
        MergeOutcome::Changed(change)
    }

    /// Replaces an entry by the entry of a later incarnation.
    fn replace(
        &mut self,
        now: Nanos,
        key: MemberKey,
        epoch: Epoch,
        liveness_state: LivenessState,
        update: &MemberUpdate,
    ) -> MergeOutcome {
        if update.details.is_empty() {
            return MergeOutcome::DetailsWanted;
        }
        let details = match self.details(&update.details) {
            Ok(details) => details,
            Err(error) => return MergeOutcome::DetailsError(error),
        };
        let mut change = MemberChange {
            after: liveness_state.liveness,
            digest: true,
            replaced: true,
            ..MemberChange::default()
        };
        self.modify(key, |entry| {
            change.before = Some(entry.liveness());
            change.moved = entry.details.address != details.address;
            *entry = MemberEntry {
                name: Arc::clone(&entry.name),
                epoch,
                liveness_state,
                revision: update.revision,
                details,
                load_hint: LoadHint::default(),
                load_hint_received: 0,
                since: now,
                digest_contribution: 0,
            };
        });
        MergeOutcome::Changed(change)
    }

    fn insert(
        &mut self,
        now: Nanos,
        key: MemberKey,
        epoch: Epoch,
        liveness_state: LivenessState,
        update: &MemberUpdate,
    ) -> MergeOutcome {
        if !liveness_state.liveness.is_present() {
            return MergeOutcome::Known; // unknown members that are gone are not recorded
        }
        if update.details.is_empty() || update.name.is_empty() {
            return MergeOutcome::DetailsWanted;
        }
        if !is_name(&update.name, NAME_MAX) || MemberKey::of(&update.name) != key {
            return MergeOutcome::DetailsError(DetailsError::BadName);
        }
        let details = match self.details(&update.details) {
            Ok(details) => details,
            Err(error) => return MergeOutcome::DetailsError(error),
        };
        let size = ENTRY_BYTES + update.name.len() + details.bytes();
        while self.bytes + size > self.bytes_max {
            if !self.forget_one() {
                return MergeOutcome::Full;
            }
        }
        let mut entry = MemberEntry {
            name: update.name.as_str().into(),
            epoch,
            liveness_state,
            revision: update.revision,
            details,
            load_hint: LoadHint::default(),
            load_hint_received: 0,
            since: now,
            digest_contribution: 0,
        };
        entry.update_digest_contribution(key);
        self.account(key, &entry, true);
        self.entries.insert(key, entry);
        MergeOutcome::Changed(MemberChange {
            after: liveness_state.liveness,
            digest: true,
            ..MemberChange::default()
        })
    }

    /// Marks a member suspect or dead at its known refutation number. Returns `None` if that
    /// changes nothing.
    pub fn mark(&mut self, now: Nanos, key: MemberKey, liveness: Liveness) -> Option<MemberChange> {
        let known = self.entries.get(&key)?;
        if known.liveness_state.liveness >= liveness {
            return None;
        }
        let (before, digest) = (known.liveness(), self.digest);
        self.modify(key, |entry| {
            entry.liveness_state.liveness = liveness;
            entry.since = now;
        });
        Some(MemberChange {
            before: Some(before),
            after: liveness,
            digest: digest != self.digest,
            ..MemberChange::default()
        })
    }

    /// Merges a load hint. Returns the member if the hint is newer than the known one. `tag` is the
    /// upper half of the member's key.
    pub(crate) fn merge_load_hint(
        &mut self,
        now: Nanos,
        tag: u32,
        load_hint: LoadHint,
    ) -> Option<MemberKey> {
        let from = u64::from(tag) << 32;
        let (key, entry) = self
            .entries
            .range_mut(MemberKey(from)..=MemberKey(from | u64::from(u32::MAX)))
            .next()?;
        let is_newer = entry.load_hint_received == 0
            || (1..1 << 15).contains(&load_hint.number.wrapping_sub(entry.load_hint.number));
        is_newer.then(|| {
            (entry.load_hint, entry.load_hint_received) = (load_hint, now.max(1));
            *key
        })
    }

    /// Forgets the members that have been dead or left for at least `after`; returns their number.
    pub fn forget_gone(&mut self, now: Nanos, after: Nanos) -> usize {
        let gone = self
            .iter()
            .filter(|(_, e)| !e.liveness().is_present() && now - e.since.min(now) >= after);
        let gone: Vec<MemberKey> = gone.map(|(key, _)| key).collect();
        gone.iter().for_each(|key| self.remove(*key));
        gone.len()
    }

    /// Forgets one member that is dead or has left, to free memory; returns false if there is no
    /// such member. Members that left go first, then the member that has been dead longest in the
    /// zone with the most dead members, so that some members of each lost zone are remembered.
    fn forget_one(&mut self) -> bool {
        let gone = self
            .iter()
            .filter(|(_, entry)| !entry.liveness().is_present());
        let dead_in_zone = |entry: &MemberEntry| {
            self.zones
                .get(&entry.details.zone)
                .map_or(0, |zone| zone.dead)
        };
        let first = gone.min_by_key(|(_, e)| {
            (
                e.liveness() != Liveness::Left,
                std::cmp::Reverse(dead_in_zone(e)),
                e.since,
            )
        });
        let Some(key) = first.map(|(key, _)| key) else {
            return false;
        };
        self.remove(key);
        true
    }

    pub(crate) fn forget_all_but(&mut self, kept: MemberKey) {
        let others: Vec<MemberKey> = self
            .entries
            .keys()
            .copied()
            .filter(|key| *key != kept)
            .collect();
        others.into_iter().for_each(|key| self.remove(key));
    }

    pub(crate) fn remove(&mut self, key: MemberKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.account(key, &entry, false);
        }
    }
}

#[cfg(test)]
mod tests;
