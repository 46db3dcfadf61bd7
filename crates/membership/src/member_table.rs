//! The table of members: what was heard of each, in bounds; counts; and digests of ranges of it,
//! equal on nodes that agree.

use crate::member::{
    DetailsError, Epoch, Incarnation, Liveness, LivenessState, LoadHint, MemberDetails,
    MemberEntry, MemberKey, NAME_MAX, Phase, is_name,
};
use crate::wire::MemberUpdate;
use crate::{Nanos, history::ChangeKind};
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};

/// AuthKeys that share their highest byte have their digest kept.
const SLICES: usize = 256;
const SLICE_SHIFT: u32 = 56;
/// Bytes of an entry beside its name and details.
const ENTRY: usize = 320;
/// What an entry takes where names, zones and versions are of ordinary length.
pub const ENTRY_USUAL: usize = 832;

/// What came of a piece of news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It was known.
    Known,
    /// More is known here; whoever said it should hear that.
    Older,
    /// It says something of a member or a revision whose details are not known here.
    Wanted,
    /// Its details can't be used.
    DetailsError(DetailsError),
    /// There is no room.
    Full,
    /// The view has changed.
    Changed(MemberChange),
}

/// What changed of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberChange {
    /// Its status before; none if it was not known.
    pub before: Option<Liveness>,
    pub after: Liveness,
    /// Whether another life took the name.
    pub replaced: bool,
    /// Where it was reached before, if elsewhere.
    pub moved: bool,
    /// Its phase before, if that is another.
    pub phase: Option<Phase>,
    /// Whether its digest is another one.
    pub digest: bool,
}

impl MemberChange {
    /// What operators are told of it; nothing where only a revision rose.
    pub fn kind(&self) -> Option<ChangeKind> {
        let was = self.before.map(Liveness::is_present);
        match (was, self.after) {
            (None | Some(false), Liveness::Alive | Liveness::Suspect)
                if self.before == Some(Liveness::Dead) =>
            {
                Some(if self.replaced {
                    ChangeKind::Replaced
                } else {
                    ChangeKind::Back
                })
            }
            (None | Some(false), Liveness::Alive | Liveness::Suspect) => Some(ChangeKind::Joined),
            (Some(true), Liveness::Dead) => Some(ChangeKind::Dead),
            (Some(true), Liveness::Left) => Some(ChangeKind::Left),
            (Some(true), _) if self.replaced => Some(ChangeKind::Replaced),
            (Some(true), Liveness::Suspect) if self.before == Some(Liveness::Alive) => {
                Some(ChangeKind::Suspect)
            }
            (Some(true), _) if self.moved => Some(ChangeKind::Moved),
            (Some(true), Liveness::Alive) if self.before == Some(Liveness::Suspect) => {
                Some(ChangeKind::Back)
            }
            (Some(true), _) if self.phase.is_some() => Some(ChangeKind::Phase),
            _ => None,
        }
    }
}

/// MemberDetails that several views in one process share; a node keeps its own, simulated fleets keep
/// each only once.
pub type Interner = Arc<Mutex<HashMap<u64, Arc<MemberDetails>>>>;

/// How many members of a kind there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    pub alive: usize,
    pub suspect: usize,
    pub dead: usize,
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

    /// Those that count as members.
    pub fn present(&self) -> usize {
        self.alive + self.suspect
    }

    fn all(&self) -> usize {
        self.alive + self.suspect + self.dead + self.left
    }
}

/// The table.
#[derive(Debug)]
pub struct MemberTable {
    entries: BTreeMap<MemberKey, MemberEntry>,
    sums: Box<[u64; SLICES]>,
    digest: u64,
    counters: MemberCounts,
    zones: BTreeMap<Arc<str>, MemberCounts>,
    bytes: usize,
    bytes_most: usize,
    interner: Option<Interner>,
}

fn slice(key: MemberKey) -> usize {
    (key.0 >> SLICE_SHIFT) as usize
}

impl MemberTable {
    /// An empty table that may take so many bytes.
    pub fn new(bytes_most: usize, interner: Option<Interner>) -> MemberTable {
        MemberTable {
            entries: BTreeMap::new(),
            sums: Box::new([0; SLICES]),
            digest: 0,
            counters: MemberCounts::default(),
            zones: BTreeMap::new(),
            bytes: 0,
            bytes_most,
            interner,
        }
    }

    /// The digest of all who are present: equal on nodes that agree on who that is and what each
    /// said last.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn counters(&self) -> MemberCounts {
        self.counters
    }

    /// The counts of one zone.
    pub fn zone(&self, zone: &str) -> MemberCounts {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// All zones that anybody known is in.
    pub fn zones(&self) -> impl Iterator<Item = (&Arc<str>, &MemberCounts)> {
        self.zones.iter()
    }

    pub fn get(&self, key: MemberKey) -> Option<&MemberEntry> {
        self.entries.get(&key)
    }

    /// Who is there, by key.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberEntry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    /// Those in a range of keys.
    pub fn range(
        &self,
        range: RangeInclusive<u64>,
    ) -> impl Iterator<Item = (MemberKey, &MemberEntry)> {
        self.entries
            .range(MemberKey(*range.start())..=MemberKey(*range.end()))
            .map(|(key, entry)| (*key, entry))
    }

    /// The number of those who are present in a range of keys, and their digest.
    pub fn sum(&self, range: RangeInclusive<u64>) -> (usize, u64) {
        let present = self
            .range(range)
            .filter(|(_, entry)| entry.liveness().is_present());
        present.fold((0, 0), |(n, sum), (_, entry)| {
            (n + 1, sum.wrapping_add(entry.digest_contribution))
        })
    }

    /// The digests of `slices` equal slices of all keys, from those that are kept; a power of two,
    /// 256 at most.
    pub(crate) fn slices(&self, slices: usize) -> Vec<u64> {
        self.sums
            .chunks(SLICES / slices)
            .map(|sums| sums.iter().fold(0u64, |a, b| a.wrapping_add(*b)))
            .collect()
    }

    /// Bytes that it takes, roughly.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn count(&mut self, key: MemberKey, entry: &MemberEntry, coming: bool) {
        let size = ENTRY + entry.name.len() + entry.details.bytes();
        let zone = self
            .zones
            .entry(Arc::clone(&entry.details.zone))
            .or_default();
        if coming {
            *self.counters.of(entry.liveness()) += 1;
            *zone.of(entry.liveness()) += 1;
            self.bytes += size;
        } else {
            *self.counters.of(entry.liveness()) -= 1;
            *zone.of(entry.liveness()) -= 1;
            if zone.all() == 0 {
                self.zones.remove(&entry.details.zone);
            }
            self.bytes -= size;
        }
        if entry.liveness().is_present() {
            let digest_contribution = entry.digest_contribution;
            let sum = &mut self.sums[slice(key)];
            if coming {
                *sum = sum.wrapping_add(digest_contribution);
                self.digest = self.digest.wrapping_add(digest_contribution);
            } else {
                *sum = sum.wrapping_sub(digest_contribution);
                self.digest = self.digest.wrapping_sub(digest_contribution);
            }
        }
    }

    /// Changes an entry, with all that is counted of it.
    fn change(&mut self, key: MemberKey, with: impl FnOnce(&mut MemberEntry)) {
        let Some(mut entry) = self.entries.remove(&key) else {
            return;
        };
        self.count(key, &entry, false);
        with(&mut entry);
        entry.update_digest_contribution(key);
        self.count(key, &entry, true);
        self.entries.insert(key, entry);
    }

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

    /// Takes in what was said of a member, and says what came of it.
    pub fn merge(&mut self, now: Nanos, updates: &MemberUpdate) -> MergeOutcome {
        let key = MemberKey(updates.key);
        let Some(liveness) = Liveness::from_number(updates.liveness) else {
            return MergeOutcome::DetailsError(DetailsError::Unreadable);
        };
        let epoch = Epoch {
            started_unix_ms: updates.started_unix_ms,
            incarnation: Incarnation(updates.incarnation),
        };
        let liveness_state = LivenessState {
            refutation: updates.refutation,
            liveness,
        };
        match self.entries.get(&key) {
            Some(known) if known.epoch > epoch => MergeOutcome::Older,
            Some(known) if known.epoch == epoch => self.grow(now, key, liveness_state, updates),
            Some(_) => self.replace(now, key, epoch, liveness_state, updates),
            None => self.insert(now, key, epoch, liveness_state, updates),
        }
    }

    /// Something of the life that is known.
    fn grow(
        &mut self,
        now: Nanos,
        key: MemberKey,
        liveness_state: LivenessState,
        updates: &MemberUpdate,
    ) -> MergeOutcome {
        let Some(known) = self.entries.get(&key) else {
            return MergeOutcome::Wanted;
        };
        let (stands, revision) = (known.liveness_state, known.revision);
        let newer = updates.revision > revision;
        if newer && updates.details.is_empty() {
            // The standing may hold already; what it said is still to be asked for.
            if liveness_state > stands {
                self.change(key, |entry| entry.liveness_state = liveness_state);
            }
            return MergeOutcome::Wanted;
        }
        if liveness_state == stands && updates.revision == revision {
            return MergeOutcome::Known;
        }
        if liveness_state <= stands && !newer {
            return MergeOutcome::Older;
        }
        let details = match newer.then(|| self.details(&updates.details)).transpose() {
            Ok(details) => details,
            Err(error) => return MergeOutcome::DetailsError(error),
        };
        let mut change = MemberChange {
            before: Some(stands.liveness),
            digest: true,
            ..MemberChange::default()
        };
        let digest = self.digest;
        self.change(key, |entry| {
            if liveness_state > stands {
                entry.liveness_state = liveness_state;
                entry.since = if liveness_state.liveness == stands.liveness {
                    entry.since
                } else {
                    now
                };
            }
            if let Some(details) = details {
                change.moved = entry.details.address != details.address;
                change.phase = Some(entry.details.phase).filter(|before| *before != details.phase);
                (entry.revision, entry.details) = (updates.revision, details);
            }
            change.after = entry.liveness();
        });
        change.digest = digest != self.digest;
        MergeOutcome::Changed(change)
    }

    /// A later life of a name.
    fn replace(
        &mut self,
        now: Nanos,
        key: MemberKey,
        epoch: Epoch,
        liveness_state: LivenessState,
        updates: &MemberUpdate,
    ) -> MergeOutcome {
        if updates.details.is_empty() {
            return MergeOutcome::Wanted;
        }
        let details = match self.details(&updates.details) {
            Ok(details) => details,
            Err(error) => return MergeOutcome::DetailsError(error),
        };
        let mut change = MemberChange {
            after: liveness_state.liveness,
            digest: true,
            replaced: true,
            ..MemberChange::default()
        };
        self.change(key, |entry| {
            change.before = Some(entry.liveness());
            change.moved = entry.details.address != details.address;
            *entry = MemberEntry {
                name: Arc::clone(&entry.name),
                epoch,
                liveness_state,
                revision: updates.revision,
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
        updates: &MemberUpdate,
    ) -> MergeOutcome {
        if !liveness_state.liveness.is_present() {
            return MergeOutcome::Known; // who was never known need not be remembered as gone
        }
        if updates.details.is_empty() || updates.name.is_empty() {
            return MergeOutcome::Wanted;
        }
        if !is_name(&updates.name, NAME_MAX) || MemberKey::of(&updates.name) != key {
            return MergeOutcome::DetailsError(DetailsError::BadName);
        }
        let details = match self.details(&updates.details) {
            Ok(details) => details,
            Err(error) => return MergeOutcome::DetailsError(error),
        };
        let size = ENTRY + updates.name.len() + details.bytes();
        while self.bytes + size > self.bytes_most {
            if !self.forget_one() {
                return MergeOutcome::Full;
            }
        }
        let mut entry = MemberEntry {
            name: updates.name.as_str().into(),
            epoch,
            liveness_state,
            revision: updates.revision,
            details,
            load_hint: LoadHint::default(),
            load_hint_received: 0,
            since: now,
            digest_contribution: 0,
        };
        entry.update_digest_contribution(key);
        self.count(key, &entry, true);
        self.entries.insert(key, entry);
        MergeOutcome::Changed(MemberChange {
            after: liveness_state.liveness,
            digest: true,
            ..MemberChange::default()
        })
    }

    /// Suspects or buries a member at the bump that is known; true if that changed anything.
    pub fn set(&mut self, now: Nanos, key: MemberKey, liveness: Liveness) -> Option<MemberChange> {
        let known = self.entries.get(&key)?;
        if known.liveness_state.liveness >= liveness {
            return None;
        }
        let (before, digest) = (known.liveness(), self.digest);
        self.change(key, |entry| {
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

    /// Takes a word of room and load; true if it is newer than what was known.
    pub(crate) fn load_hint(
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

    /// Forgets those who have been gone for so long.
    pub fn forget(&mut self, now: Nanos, after: Nanos) -> usize {
        let gone = self
            .iter()
            .filter(|(_, e)| !e.liveness().is_present() && now - e.since.min(now) >= after);
        let gone: Vec<MemberKey> = gone.map(|(key, _)| key).collect();
        gone.iter().for_each(|key| self.remove(*key));
        gone.len()
    }

    /// Forgets one who is gone, to make room: one who left, else the longest dead of the zone with
    /// the most dead, so that somebody is remembered of each zone that was lost.
    fn forget_one(&mut self) -> bool {
        let gone = self
            .iter()
            .filter(|(_, entry)| !entry.liveness().is_present());
        let crowd = |entry: &MemberEntry| {
            self.zones
                .get(&entry.details.zone)
                .map_or(0, |zone| zone.dead)
        };
        let first = gone.min_by_key(|(_, e)| {
            (
                e.liveness() != Liveness::Left,
                std::cmp::Reverse(crowd(e)),
                e.since,
            )
        });
        let Some(key) = first.map(|(key, _)| key) else {
            return false;
        };
        self.remove(key);
        true
    }

    /// Forgets everybody but one.
    pub(crate) fn forget_all_but(&mut self, own: MemberKey) {
        let others: Vec<MemberKey> = self
            .entries
            .keys()
            .copied()
            .filter(|key| *key != own)
            .collect();
        others.into_iter().for_each(|key| self.remove(key));
    }

    pub(crate) fn remove(&mut self, key: MemberKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.count(key, &entry, false);
        }
    }
}

#[cfg(test)]
mod tests;
