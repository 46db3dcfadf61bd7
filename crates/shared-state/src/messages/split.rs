//! Splits counter reports into parts that fit payloads.

use super::MAX_COUNTERS_BYTES;
use super::encode_counters::encode_counters;
use crate::counters::{CounterReport, CounterRows, CounterWindow};
use prost::Message as _;
use std::collections::BTreeMap;

/// Splits a report into parts that each fit a payload. The parts may arrive in any order, and some
/// may be lost, because a receiver merges them by the larger of two counts.
pub fn split_report(report: &CounterReport) -> Vec<CounterReport> {
    let mut splitter = Splitter::new(report);
    for (row, numbers) in &report.total {
        splitter.add(&|part| _ = part.total.insert(*row, *numbers));
    }
    for (number, window) in &report.windows {
        splitter.add(&|part| window_of(part, *number).gauges = window.gauges);
        for (row, numbers) in &window.rows {
            splitter.add(&|part| _ = window_of(part, *number).rows.insert(*row, *numbers));
        }
        for (row, sparse) in &window.latency {
            splitter.add(&|part| {
                _ = window_of(part, *number)
                    .latency
                    .insert(*row, sparse.clone())
            });
        }
        for (kind, heavy) in &window.heavy {
            splitter.add(&|part| _ = window_of(part, *number).heavy.insert(*kind, heavy.clone()));
        }
    }
    splitter.parts
}

fn window_of(part: &mut CounterReport, number: u64) -> &mut CounterWindow {
    part.windows.entry(number).or_default()
}

struct Splitter {
    /// A part without counters, from which new parts are made.
    empty: CounterReport,
    parts: Vec<CounterReport>,
}

impl Splitter {
    fn new(report: &CounterReport) -> Splitter {
        let empty = CounterReport {
            total: CounterRows::new(),
            windows: BTreeMap::new(),
            ..report.clone()
        };
        Splitter {
            parts: vec![empty.clone()],
            empty,
        }
    }

    /// Adds a piece to the last part, or to a new part if the last one has no space left.
    fn add(&mut self, add_piece: &dyn Fn(&mut CounterReport)) {
        if let Some(last) = self.parts.last_mut() {
            let before = last.clone();
            add_piece(last);
            if encode_counters(last).encoded_len() <= MAX_COUNTERS_BYTES {
                return;
            }
            *last = before;
        }
        let mut next = self.empty.clone();
        add_piece(&mut next);
        self.parts.push(next);
    }
}
