//! Plays good and bad rollouts, by seed, under several methods of analysis and as an update of all
//! nodes at once. Prints a table of how many good rollouts are stopped, how many bad rollouts pass
//! by the size of their harm, and what the rollouts cost. With a path, also draws the cost of the
//! bad rollouts as SVG.
//!
//! `cargo run --release -p madderpoint-rollout --example compare [rollouts] [nodes,nodes...]
//! [plot.svg]`

use madderpoint_rollout::canary_analysis::AnalysisMethod;
use madderpoint_rollout::simulation::trial::{NO_VERDICT, RolloutMode, Trial, TrialResult};
use madderpoint_rollout::simulation::{Effect, Noise};
use madderpoint_rollout::stages::Plan;
use plotters::prelude::*;
use std::error::Error;

const SECOND: f64 = 1e9;
const HARM_SIZES: [f64; 7] = [0.01, 0.02, 0.03, 0.05, 0.1, 0.3, 1.0];

fn run(nodes: usize, effect: Effect, mode: RolloutMode, rollouts: u64) -> Vec<TrialResult> {
    let trial = Trial {
        nodes,
        zones: 4,
        requests_per_window: 200.0,
        noise: Noise::USUAL,
        plan: Plan::default(),
        effect,
        mode,
    };
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()) as u64;
    std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads)
            .map(|first_seed| {
                let trial = &trial;
                scope.spawn(move || {
                    (first_seed..rollouts)
                        .step_by(threads as usize)
                        .map(|seed| trial.run(seed))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().unwrap_or_default())
            .collect()
    })
}

fn quantile(mut values: Vec<f64>, fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * fraction) as usize;
    values
        .get(index.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let rollouts = arguments.first().map_or(Ok(200), |n| n.parse())?;
    let sizes: Vec<usize> = match arguments.get(1) {
        Some(list) => list.split(',').map(str::parse).collect::<Result<_, _>>()?,
        None => vec![10, 300],
    };
    let modes = [
        (
            "nodes, with history",
            RolloutMode::Staged(AnalysisMethod::Nodes),
        ),
        (
            "nodes",
            RolloutMode::Staged(AnalysisMethod::NodesWithoutHistory),
        ),
        (
            "fixed threshold",
            RolloutMode::Staged(AnalysisMethod::Fixed),
        ),
        (
            "every request",
            RolloutMode::Staged(AnalysisMethod::IndependentRequests),
        ),
        ("ranks", RolloutMode::Staged(AnalysisMethod::Ranks)),
        ("all at once", RolloutMode::AllAtOnce),
    ];
    println!(
        "nodes  method                  good, of 1,000: rolled back (halted)  minutes p50 p90 | bad, by additional failures: passed of 100 (cost)"
    );
    let mut curves: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
    for nodes in sizes {
        for (name, mode) in modes {
            let good = run(nodes, Effect::NONE, mode, rollouts);
            let stopped =
                good.iter().filter(|outcome| outcome.stopped).count() as f64 / rollouts as f64;
            // Share of the good rollouts that were halted because no verdict was reached within the
            // stage's maximum duration.
            let halted = good
                .iter()
                .filter(|outcome| outcome.reason == NO_VERDICT)
                .count() as f64
                / rollouts as f64;
            let minutes: Vec<f64> = good
                .iter()
                .filter(|o| !o.stopped)
                .map(|o| o.time as f64 / SECOND / 60.0)
                .collect();
            print!(
                "{nodes:5}  {name:22}  {:7.1} ({:4.1})  {:7.0} {:4.0} |",
                (stopped - halted) * 1000.0,
                halted * 1000.0,
                quantile(minutes.clone(), 0.5),
                quantile(minutes, 0.9)
            );
            let mut curve = Vec::new();
            for size in HARM_SIZES {
                let bad = run(
                    nodes,
                    Effect {
                        errored: size,
                        ..Effect::NONE
                    },
                    mode,
                    rollouts.min(200),
                );
                let passed =
                    bad.iter().filter(|outcome| !outcome.stopped).count() as f64 / bad.len() as f64;
                // Cost in seconds of the whole cluster's load; a window is 10 s.
                let cost =
                    bad.iter().map(|o| o.cost / o.asked * 10.0).sum::<f64>() / bad.len() as f64;
                print!(
                    "  {:.0}%: {:3.0} ({cost:.1} s)",
                    size * 100.0,
                    passed * 100.0
                );
                curve.push((size * 100.0, cost));
            }
            println!();
            curves.push((format!("{nodes} nodes, {name}"), curve));
        }
    }
    if let Some(path) = arguments.get(2) {
        draw(path, &curves)?;
    }
    Ok(())
}

fn draw(path: &str, curves: &[(String, Vec<(f64, f64)>)]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, (900, 560)).into_drawing_area();
    area.fill(&WHITE)?;
    let max_cost = curves
        .iter()
        .flat_map(|(_, curve)| curve)
        .map(|(_, cost)| *cost)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((1.0..100.0).log_scale(), (0.1..max_cost).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("additional failures, %")
        .y_desc("cost, seconds of the cluster's load")
        .draw()?;
    for (index, (name, curve)) in curves.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = curve.iter().map(|(x, y)| (*x, y.max(0.1)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
