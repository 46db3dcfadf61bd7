//! Charts of `rollout plot`: baseline and canary cohort over time.

use super::error::RolloutCommandError;
use super::target::{RolloutTarget, request_with_coordinator};
use crate::cli::error::CommandResult;
use madderpoint_rollout::status::{CohortPointStatus, StatusSnapshot};
use plotters::prelude::*;
use std::path::Path;

/// Returns the value that a chart draws for a point and a cohort (0 is the baseline, 1 the canary).
type ChartValue = fn(&CohortPointStatus, usize) -> f64;

/// Runs `rollout plot`.
pub(super) fn plot(target: &RolloutTarget, to: &Path) -> CommandResult {
    let (snapshot, coordinator) = request_with_coordinator(target)?;
    let analysis = coordinator.as_ref().unwrap_or(&snapshot);
    if analysis.points.is_empty() {
        let node = analysis.node.clone();
        return Err(RolloutCommandError::NoRecord { node }.into());
    }
    draw(analysis, to).map_err(|source| {
        let path = to.to_owned();
        RolloutCommandError::Plot { path, source }
    })?;
    println!(
        "{}: {} windows of {} s",
        to.display(),
        analysis.points.len(),
        analysis.window_ms / 1000
    );
    Ok(true)
}

/// Returns the charts, each with its title and the value it draws.
fn charts() -> [(&'static str, ChartValue); 5] {
    fn percent(counted: &[u64], all: &[u64], cohort: usize) -> f64 {
        let value = |numbers: &[u64]| numbers.get(cohort).copied().unwrap_or(0) as f64;
        if value(all) > 0.0 {
            value(counted) / value(all) * 100.0
        } else {
            0.0
        }
    }
    [
        ("succeeded, % of arrived", |p, cohort| {
            percent(&p.succeeded, &p.arrived, cohort)
        }),
        ("throttled, % of arrived", |p, cohort| {
            percent(&p.rejected, &p.arrived, cohort)
        }),
        ("errored, % of arrived", |p, cohort| {
            percent(&p.errored, &p.arrived, cohort)
        }),
        ("late, % of succeeded", |p, cohort| {
            percent(&p.late, &p.succeeded, cohort)
        }),
        ("memory of a node, MB", |p, cohort| {
            f64::from(p.memory_kb.get(cohort).copied().unwrap_or(0.0)) / 1024.0
        }),
    ]
}

fn draw(snapshot: &StatusSnapshot, to: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let charts = charts();
    let first = snapshot.points.first().map_or(0, |point| point.window);
    let minutes =
        |p: &CohortPointStatus| (p.window - first) as f64 * snapshot.window_ms as f64 / 60_000.0;
    let last = snapshot.points.last().map_or(1.0, minutes).max(0.5);
    let root = SVGBackend::new(to, (900, 1000)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, (title, value)) in root.split_evenly((charts.len(), 1)).iter().zip(charts) {
        let values = snapshot
            .points
            .iter()
            .flat_map(|p| [value(p, 0), value(p, 1)]);
        let top = values.fold(0.0, f64::max).max(1.0) * 1.05;
        let mut chart = ChartBuilder::on(area)
            .caption(
                format!(
                    "{title}: old grey, new red; x axis in minutes, vertical lines at stage changes"
                ),
                ("sans-serif", 14),
            )
            .margin(6)
            .x_label_area_size(18)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..last, 0.0..top)?;
        chart.configure_mesh().light_line_style(WHITE).draw()?;
        for pair in snapshot
            .points
            .windows(2)
            .filter(|pair| pair[0].stage != pair[1].stage)
        {
            let x = minutes(&pair[1]);
            chart.draw_series(LineSeries::new([(x, 0.0), (x, top)], BLACK.mix(0.3)))?;
        }
        for (cohort, colour) in [(0, RGBColor(110, 110, 110)), (1, RGBColor(200, 40, 30))] {
            let points = snapshot
                .points
                .iter()
                .filter(|p| p.nodes.get(cohort).is_some_and(|n| *n > 0));
            chart.draw_series(LineSeries::new(
                points.map(|p| (minutes(p), value(p, cohort))),
                colour,
            ))?;
        }
    }
    root.present()?;
    Ok(())
}
