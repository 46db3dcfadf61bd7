//! The reports of other nodes, and what follows from them together.

use super::{HealthReport, PROBE_INTERVAL, PROBERS, REPORT_MAX_AGE};
use crate::{Nanos, ProcessId};
use std::collections::{BTreeMap, BTreeSet};

/// The fewest reports kept, whatever the bound.
const MIN_REPORTS: usize = 16;
/// Probers change after this many probe intervals.
const PROBES_PER_TURN: Nanos = 10;

/// The reports of others on a service, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AggregatedHealth {
    /// Nodes with a conclusive report.
    pub reporters: u32,
    /// Of these, nodes that see the service fail.
    pub failing: u32,
    /// Zones of the reporters.
    pub zones: u32,
    /// Zones of those that see it fail.
    pub failing_zones: u32,
    /// Reporters that found it healthy just now.
    pub healthy: u32,
    /// The mean admitted share, of the nodes that admit anything; 0 if none does.
    pub mean_share: f64,
    /// The least admitted share, of the nodes that admit anything; 1 if none does.
    pub min_share: f64,
    /// Nodes with any report.
    pub reports: u32,
    /// Of these, nodes that admit less than all calls.
    pub reduced: u32,
    /// Whether this node is one of the few that probe the service while it is unavailable.
    pub is_prober: bool,
    /// Whether this node knows of no other member.
    pub is_alone: bool,
}

impl AggregatedHealth {
    /// Whether the service recovers at enough of the others: half of those with any report, two at
    /// least.
    pub fn is_recovering(&self) -> bool {
        self.min_share < 1.0 && self.reduced >= 2 && self.reduced * 2 >= self.reports
    }

    /// Whether enough of the others see the service fail: half of the reporters, two at least, and in
    /// more than one zone where there are more.
    pub fn is_failing(&self) -> bool {
        self.failing >= 2
            && self.failing * 2 >= self.reporters
            && (self.zones < 2 || self.failing_zones >= 2)
    }
}

/// The reports of others on all services, each for as long as it is recent. Each process reports for
/// itself only.
#[derive(Clone, Debug)]
pub struct HealthReports {
    pub(super) reports: BTreeMap<(u64, ProcessId), (HealthReport, Nanos)>,
    max_reports: usize,
    refused: u64,
}

impl HealthReports {
    /// No reports yet, of at most this many.
    pub fn new(max_reports: usize) -> HealthReports {
        HealthReports {
            reports: BTreeMap::new(),
            max_reports: max_reports.max(MIN_REPORTS),
            refused: 0,
        }
    }

    /// Receives another process's report on a service, by the service's number.
    pub fn receive(&mut self, now: Nanos, from: ProcessId, service: u64, report: HealthReport) {
        let id = (service, from);
        if self.reports.len() >= self.max_reports && !self.reports.contains_key(&id) {
            self.expire(now);
            if self.reports.len() >= self.max_reports {
                self.refused += 1;
                return;
            }
        }
        self.reports.insert(id, (report, now));
    }

    fn expire(&mut self, now: Nanos) {
        self.reports
            .retain(|_, (_, received_at)| now < *received_at + REPORT_MAX_AGE);
    }

    /// Sums up the reports on a service. The caller sets who probes it.
    pub fn aggregate(&mut self, now: Nanos, service: u64) -> AggregatedHealth {
        self.expire(now);
        let first = (service, ProcessId::default());
        let reports = self
            .reports
            .range(first..)
            .take_while(|((of, _), _)| *of == service)
            .map(|(_, (report, _))| report);
        let mut sum = AggregatedHealth {
            min_share: 1.0,
            ..AggregatedHealth::default()
        };
        let (mut share_sum, mut admitting) = (0.0, 0u32);
        let (mut zones, mut failing_zones) = (BTreeSet::new(), BTreeSet::new());
        for report in reports {
            sum.reports += 1;
            sum.reduced += u32::from(report.admitted_share < 1.0);
            if report.admitted_share > 0.0 {
                share_sum += report.admitted_share;
                admitting += 1;
                sum.min_share = sum.min_share.min(report.admitted_share);
            }
            if !report.is_conclusive() {
                continue;
            }
            sum.reporters += 1;
            zones.insert(report.zone);
            if report.is_failing() {
                sum.failing += 1;
                failing_zones.insert(report.zone);
            }
            sum.healthy += u32::from(report.saw_healthy());
        }
        if admitting > 0 {
            sum.mean_share = share_sum / f64::from(admitting);
        }
        (sum.zones, sum.failing_zones) = (zones.len() as u32, failing_zones.len() as u32);
        sum
    }

    /// Reports for which there was no room.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

/// Whether a node is one of the few that probe a service while it is unavailable. The probers change
/// from time to time; nodes that see the same members agree on them, as all use the same hash.
pub fn is_prober(now: Nanos, me: u64, service: u64, members: impl Iterator<Item = u64>) -> bool {
    let turn = now / (PROBES_PER_TURN * PROBE_INTERVAL);
    let rank = |key: u64| mix(key ^ mix(service ^ turn));
    let own = rank(me);
    members
        .filter(|key| *key != me && rank(*key) < own)
        .take(PROBERS)
        .count()
        < PROBERS
}

/// Mixes a number well enough to spread choices; splitmix64.
pub(super) fn mix(mut number: u64) -> u64 {
    number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
