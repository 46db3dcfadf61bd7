//! What all nodes counted, as the canary analysis wants it.

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

/// What nodes counted from this window on, by window and node.
pub(super) fn samples<H: MembershipHost>(
    kind: Kind,
    membership: &Membership<H>,
    counts: &ClusterCounters,
    from: u64,
) -> Vec<(u64, Vec<WindowSample>)> {
    let mut all: BTreeMap<u64, BTreeMap<u64, WindowSample>> = BTreeMap::new();
    for ProcessWindow {
        process,
        number: window,
        version: version_hash,
        is_first: first,
        window: counted,
    } in counts.windows(from)
    {
        let Some(entry) = membership.member_table().get(MemberKey(process.key)) else {
            continue;
        };
        // A program is another process; what it runs is what the process reports on its entry.
        let version_hash = match kind {
            Kind::Settings => version_hash,
            Kind::Program if entry.epoch.incarnation.0 == process.incarnation => {
                let part = entry
                    .details
                    .attachments
                    .iter()
                    .find(|part| part.id == PROGRAM_ROLLOUT_TOPIC);
                match part.and_then(|part| messages::decode_attachment(&part.bytes)) {
                    Some(report) => report.running.hash,
                    None => continue,
                }
            }
            Kind::Program => continue,
        };
        let sample = window_sample(entry, process.key, version_hash, first, counted);
        // Of two processes under one name in a window the one that did more tells of it.
        let arrived = |sample: &WindowSample| {
            sample
                .operations
                .values()
                .map(|(cell, _)| cell.arrived)
                .sum::<u64>()
        };
        match all.entry(window).or_default().entry(process.key) {
            std::collections::btree_map::Entry::Vacant(vacant) => _ = vacant.insert(sample),
            std::collections::btree_map::Entry::Occupied(mut known) => {
                if arrived(&sample) > arrived(known.get()) {
                    known.insert(sample);
                }
            }
        }
    }
    all.into_iter()
        .map(|(window, nodes)| (window, nodes.into_values().collect()))
        .collect()
}

/// One node's counts in one window.
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
