//! Aggregation of the health reports of other nodes.

use super::{HealthReport, PROBE_INTERVAL, PROBERS, REPORT_MAX_AGE};
use crate::{Nanos, ProcessId};
use std::collections::{BTreeMap, BTreeSet};

/// Lower bound of the maximum number of kept reports.
const MIN_REPORTS: usize = 16;
/// Number of probe intervals after which the probers change.
const PROBES_PER_TURN: Nanos = 10;

/// The aggregated reports of other nodes on a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AggregatedHealth {
    /// Number of nodes with a conclusive report.
    pub reporters: u32,
    /// Number of reporters to which the service is failing.
    pub failing: u32,
    /// Number of zones of the reporters.
    pub zones: u32,
    /// Number of zones of the reporters to which the service is failing.
    pub failing_zones: u32,
    /// Number of reporters to which the service was healthy in their last window.
    pub healthy: u32,
    /// Mean of the admitted share of calls over the nodes that admit any calls, from 0 to 1; 0 if
    /// no node does.
    pub mean_share: f64,
    /// Smallest admitted share of calls over the nodes that admit any calls, from 0 to 1; 1 if no
    /// node does.
    pub min_share: f64,
    /// Number of nodes with a report, conclusive or not.
    pub reports: u32,
    /// Number of nodes with a report that admit less than all calls.
    pub reduced: u32,
    /// Whether this node is one of the probers while the service is unavailable; see [`is_prober`].
    pub is_prober: bool,
    /// Whether the member table of this node has no other member.
    pub is_alone: bool,
}

impl AggregatedHealth {
    /// Returns whether the service is recovering at enough other nodes: at half of the nodes with a
    /// report, and at two at least.
    pub fn is_recovering(&self) -> bool {
        self.min_share < 1.0 && self.reduced >= 2 && self.reduced * 2 >= self.reports
    }

    /// Returns whether the service is failing at enough other nodes: at half of the reporters, at
    /// two at least, and in at least two zones if the reporters are in more than one.
    pub fn is_failing(&self) -> bool {
        self.failing >= 2
            && self.failing * 2 >= self.reporters
            && (self.zones < 2 || self.failing_zones >= 2)
    }
}

/// The latest reports of other processes on all services. A report expires after 5 s. Each process
/// reports only its own calls.
#[derive(Clone, Debug)]
pub struct HealthReports {
    pub(super) reports: BTreeMap<(u64, ProcessId), (HealthReport, Nanos)>,
    max_reports: usize,
    refused: u64,
}

impl HealthReports {
    /// Creates an empty collection of at most `max_reports` reports, at least 16.
    pub fn new(max_reports: usize) -> HealthReports {
        HealthReports {
            reports: BTreeMap::new(),
            max_reports: max_reports.max(MIN_REPORTS),
            refused: 0,
        }
    }

    /// Stores the report of another process on a service, given by the number of the service. A new
    /// report is refused while the maximum is reached.
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

    /// Aggregates the reports on a service. The caller sets `is_prober` and `is_alone`.
    pub fn aggregate(&mut self, now: Nanos, service: u64) -> AggregatedHealth {
        self.expire(now);
        let first = (service, ProcessId::default());
        let reports = self
            .reports
            .range(first..)
            .take_while(|((id, _), _)| *id == service)
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

    /// Returns the number of reports refused because the maximum was reached.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

/// Returns whether the node with key `me` is one of the three probers of an unavailable service.
/// The probers change every 5 s. Nodes with the same view of the members agree on them, because all
/// use the same hash.
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

/// Mixes the bits of a number with splitmix64, so that choices by the result are spread evenly.
pub(super) fn mix(mut number: u64) -> u64 {
    number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
