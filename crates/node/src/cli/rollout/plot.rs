//! What `rollout plot` draws: both cohorts over time.

use super::error::RolloutCommandError;
use super::target::{RolloutTarget, request_with_coordinator};
use crate::cli::error::CommandResult;
use madderpoint_rollout::status::{CohortPointStatus, StatusSnapshot};
use plotters::prelude::*;
use std::path::Path;

/// The value that a chart draws of a point, for a cohort.
type ChartValue = fn(&CohortPointStatus, usize) -> f64;

/// `rollout plot`.
pub(super) fn plot(target: &RolloutTarget, to: &Path) -> CommandResult {
    let (shown, coordinator) = request_with_coordinator(target)?;
    let analysis = coordinator.as_ref().unwrap_or(&shown);
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

/// The charts, each with its title.
fn charts() -> [(&'static str, ChartValue); 5] {
    fn percent(counted: &[u64], all: &[u64], side: usize) -> f64 {
        let at = |numbers: &[u64]| numbers.get(side).copied().unwrap_or(0) as f64;
        if at(all) > 0.0 {
            at(counted) / at(all) * 100.0
        } else {
            0.0
        }
    }
    [
        ("succeeded, % of what arrived", |p, side| {
            percent(&p.succeeded, &p.arrived, side)
        }),
        ("throttled, % of what arrived", |p, side| {
            percent(&p.rejected, &p.arrived, side)
        }),
        ("errored, % of what arrived", |p, side| {
            percent(&p.errored, &p.arrived, side)
        }),
        ("late, % of what succeeded", |p, side| {
            percent(&p.late, &p.succeeded, side)
        }),
        ("memory of a node, MB", |p, side| {
            f64::from(p.memory_kb.get(side).copied().unwrap_or(0.0)) / 1024.0
        }),
    ]
}

fn draw(shown: &StatusSnapshot, to: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let charts = charts();
    let first = shown.points.first().map_or(0, |point| point.window);
    let minutes =
        |p: &CohortPointStatus| (p.window - first) as f64 * shown.window_ms as f64 / 60_000.0;
    let last = shown.points.last().map_or(1.0, minutes).max(0.5);
    let root = SVGBackend::new(to, (900, 1000)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, (title, of)) in root.split_evenly((charts.len(), 1)).iter().zip(charts) {
        let values = shown.points.iter().flat_map(|p| [of(p, 0), of(p, 1)]);
        let top = values.fold(0.0, f64::max).max(1.0) * 1.05;
        let mut chart = ChartBuilder::on(area)
            .caption(
                format!("{title}: old grey, new red; x in minutes, stages as lines"),
                ("sans-serif", 14),
            )
            .margin(6)
            .x_label_area_size(18)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..last, 0.0..top)?;
        chart.configure_mesh().light_line_style(WHITE).draw()?;
        for two in shown
            .points
            .windows(2)
            .filter(|two| two[0].stage != two[1].stage)
        {
            let x = minutes(&two[1]);
            chart.draw_series(LineSeries::new([(x, 0.0), (x, top)], BLACK.mix(0.3)))?;
        }
        for (side, colour) in [(0, RGBColor(110, 110, 110)), (1, RGBColor(200, 40, 30))] {
            let points = shown
                .points
                .iter()
                .filter(|p| p.nodes.get(side).is_some_and(|n| *n > 0));
            chart.draw_series(LineSeries::new(
                points.map(|p| (minutes(p), of(p, side))),
                colour,
            ))?;
        }
    }
    root.present()?;
    Ok(())
}
