//! Conversion of the cluster's counters to samples for canary analysis.

use super::PROGRAM_ROLLOUT_TOPIC;
use crate::io::zone_number;
use madderpoint_membership::member::MemberEntry;
use madderpoint_membership::{Host as MembershipHost, MemberKey, Membership};
use madderpoint_rollout::Kind;
use madderpoint_rollout::cohort_metrics::{OperationCounts, WindowSample};
use madderpoint_rollout::messages;
use madderpoint_shared_state::counters::{
    ClusterCounters, CounterWindow, PROCESS_ROW, ProcessWindow, operation_column, process_column,
};
use std::collections::BTreeMap;

/// Returns the samples of all nodes from this window on, grouped by window. A node that is not in the
/// member table, or whose version is unknown, has no sample.
pub(super) fn samples<H: MembershipHost>(
    kind: Kind,
    membership: &Membership<H>,
    counts: &ClusterCounters,
    from: u64,
) -> Vec<(u64, Vec<WindowSample>)> {
    let mut by_window: BTreeMap<u64, BTreeMap<u64, WindowSample>> = BTreeMap::new();
    for ProcessWindow {
        process,
        number: window,
        version: version_hash,
        is_first,
        window: counted,
    } in counts.windows(from)
    {
        let Some(entry) = membership.member_table().get(MemberKey(process.key)) else {
            continue;
        };
        // Counters carry the hash of the settings. The version of a program is taken from the report
        // on the member's entry, which must be of the same process.
        let version_hash = match kind {
            Kind::Settings => version_hash,
            Kind::Program if entry.epoch.incarnation.0 == process.incarnation => {
                let attachment = entry
                    .details
                    .attachments
                    .iter()
                    .find(|attachment| attachment.id == PROGRAM_ROLLOUT_TOPIC);
                match attachment.and_then(|a| messages::decode_attachment(&a.bytes)) {
                    Some(report) => report.running.hash,
                    None => continue,
                }
            }
            Kind::Program => continue,
        };
        let sample = window_sample(entry, process.key, version_hash, is_first, counted);
        // If two processes of a node have counted in one window, the sample of the process with
        // more arrived requests is used.
        let arrived = |sample: &WindowSample| {
            sample
                .operations
                .values()
                .map(|(counts, _)| counts.arrived)
                .sum::<u64>()
        };
        match by_window.entry(window).or_default().entry(process.key) {
            std::collections::btree_map::Entry::Vacant(vacant) => _ = vacant.insert(sample),
            std::collections::btree_map::Entry::Occupied(mut existing) => {
                if arrived(&sample) > arrived(existing.get()) {
                    existing.insert(sample);
                }
            }
        }
    }
    by_window
        .into_iter()
        .map(|(window, nodes)| (window, nodes.into_values().collect()))
        .collect()
}

/// Returns the sample of one node in one window.
fn window_sample(
    entry: &MemberEntry,
    node: u64,
    version_hash: u64,
    is_first: bool,
    counted: &CounterWindow,
) -> WindowSample {
    let mut sample = WindowSample {
        node,
        zone: zone_number(&entry.details.zone),
        version_hash,
        just_started: is_first,
        memory_kb: counted.gauges[0],
        descriptors: counted.gauges[1],
        ..WindowSample::default()
    };
    for (row, numbers) in &counted.rows {
        if *row == PROCESS_ROW {
            sample.invariants = numbers[process_column::INVARIANT_VIOLATIONS];
            continue;
        }
        let counts = OperationCounts {
            arrived: numbers[operation_column::ARRIVED],
            succeeded: numbers[operation_column::SUCCEEDED],
            rejected: numbers[operation_column::REJECTED],
            errored: numbers[operation_column::FAILED],
            late: numbers[operation_column::LATE],
            earned: numbers[operation_column::EARNED_WEIGHT],
            asked: numbers[operation_column::OFFERED_WEIGHT],
            ..OperationCounts::default()
        };
        let latencies = counted.latency.get(row).cloned().unwrap_or_default();
        sample.operations.insert(*row, (counts, latencies));
    }
    sample
}
