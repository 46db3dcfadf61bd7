//! What others say.

use super::{AGED, HealthReport, PROBE, PROBES};
use crate::{Nanos, ProcessId};
use std::collections::{BTreeMap, BTreeSet};

/// What others say of a service, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AggregatedHealth {
    /// ProcessId say something, and who of these that it is ill; in how many zones.
    pub witnesses: u32,
    pub ill: u32,
    pub zones: u32,
    pub ill_zones: u32,
    /// ProcessId found it well.
    pub well: u32,
    /// The mean of what is let through, of those who let anything through; and the least of that.
    pub level: f64,
    pub least: f64,
    /// ProcessId say anything, and who of these let less than all through.
    pub speak: u32,
    pub short: u32,
    /// Whether this node is one of the few that try it while it is down, and whether it is there
    /// alone.
    pub prober: bool,
    pub alone: bool,
}

impl AggregatedHealth {
    /// Whether it comes back for enough of the others: half of those who speak, two at least.
    pub fn is_rising(&self) -> bool {
        self.least < 1.0 && self.short >= 2 && self.short * 2 >= self.speak
    }

    /// Whether enough of the others, in more than one zone where there are more, say that it is
    /// ill: half of those who see it, two at least, and not one zone alone.
    pub fn is_ill(&self) -> bool {
        self.ill >= 2 && self.ill * 2 >= self.witnesses && (self.zones < 2 || self.ill_zones >= 2)
    }
}

/// What others say of services below, each for as long as it is good. Each speaks for itself only.
#[derive(Clone, Debug)]
pub struct HealthReports {
    pub(super) words: BTreeMap<(u64, ProcessId), (HealthReport, Nanos)>,
    most: usize,
    refused: u64,
}

impl HealthReports {
    /// None yet; so many words are kept.
    pub fn new(most: usize) -> HealthReports {
        HealthReports {
            words: BTreeMap::new(),
            most: most.max(16),
            refused: 0,
        }
    }

    /// Another node says what it sees.
    pub fn hear(&mut self, now: Nanos, from: ProcessId, service: u64, evidence: HealthReport) {
        let place = (service, from);
        if self.words.len() >= self.most && !self.words.contains_key(&place) {
            self.words.retain(|_, (_, heard)| now < *heard + AGED);
            if self.words.len() >= self.most {
                self.refused += 1;
                return;
            }
        }
        self.words.insert(place, (evidence, now));
    }

    /// What all say of a service now, but for who tries it.
    pub fn opinion(&mut self, now: Nanos, service: u64) -> AggregatedHealth {
        self.words.retain(|_, (_, heard)| now < *heard + AGED);
        let first = (service, ProcessId::default());
        let all = self
            .words
            .range(first..)
            .take_while(|((of, _), _)| *of == service)
            .map(|(_, word)| word);
        let mut opinion = AggregatedHealth {
            least: 1.0,
            ..AggregatedHealth::default()
        };
        let mut back = (0.0, 0u32);
        let (mut zones, mut ill_zones) = (BTreeSet::new(), BTreeSet::new());
        for (evidence, _) in all {
            opinion.speak += 1;
            opinion.short += u32::from(evidence.level < 1.0);
            if evidence.level > 0.0 {
                back = (back.0 + evidence.level, back.1 + 1);
                opinion.least = opinion.least.min(evidence.level);
            }
            if !evidence.tells() {
                continue;
            }
            opinion.witnesses += 1;
            zones.insert(evidence.zone);
            if evidence.is_ill() {
                opinion.ill += 1;
                ill_zones.insert(evidence.zone);
            }
            opinion.well += u32::from(evidence.found_well());
        }
        opinion.level = if back.1 > 0 {
            back.0 / f64::from(back.1)
        } else {
            0.0
        };
        (opinion.zones, opinion.ill_zones) = (zones.len() as u32, ill_zones.len() as u32);
        opinion
    }

    /// Words that found no room.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

/// Whether a node is one of the few of those there that try a service while it is down. They take
/// turns, and as all go by the same hash, those who see the same members agree.
pub fn is_prober(now: Nanos, me: u64, service: u64, members: impl Iterator<Item = u64>) -> bool {
    let round = now / (10 * PROBE);
    let rank = |key: u64| mix(key ^ mix(service ^ round));
    let own = rank(me);
    members
        .filter(|key| *key != me && rank(*key) < own)
        .take(PROBES)
        .count()
        < PROBES
}

/// Mixes a number well enough to spread choices; splitmix64.
pub(super) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
