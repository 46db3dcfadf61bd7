//! Rollouts good and bad, by seed, judged in several ways and set against all nodes at once: how
//! many good ones are stopped, how many bad ones pass, by the size of their harm, and what they
//! cost. Prints a table; with a path, draws what bad ones cost as SVG.
//!
//! `cargo run --release -p madderpoint-rollout --example compare [rollouts] [nodes,nodes...]
//! [plot.svg]`

use madderpoint_rollout::canary_analysis::AnalysisMethod;
use madderpoint_rollout::simulation::trial::{NO_JUDGEMENT, Out, Trial, TrialResult};
use madderpoint_rollout::simulation::{Effect, Noise};
use madderpoint_rollout::stages::Plan;
use plotters::prelude::*;
use std::error::Error;

const SECOND: f64 = 1e9;
const SIZES: [f64; 7] = [0.01, 0.02, 0.03, 0.05, 0.1, 0.3, 1.0];

fn play(nodes: usize, effect: Effect, out: Out, rollouts: u64) -> Vec<TrialResult> {
    let trial = Trial {
        nodes,
        zones: 4,
        each: 200.0,
        noise: Noise::USUAL,
        plan: Plan::default(),
        effect,
        out,
    };
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()) as u64;
    std::thread::scope(|scope| {
        let parts: Vec<_> = (0..threads)
            .map(|part| {
                let trial = &trial;
                scope.spawn(move || {
                    (part..rollouts)
                        .step_by(threads as usize)
                        .map(|seed| trial.play(seed))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().unwrap_or_default())
            .collect()
    })
}

fn quantile(mut values: Vec<f64>, part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (values.len() as f64 * part) as usize;
    values
        .get(at.min(values.len().saturating_sub(1)))
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
    let ways = [
        ("nodes, with their past", Out::Stages(AnalysisMethod::Nodes)),
        ("nodes", Out::Stages(AnalysisMethod::NodesWithoutHistory)),
        ("fixed threshold", Out::Stages(AnalysisMethod::Fixed)),
        (
            "every invocation",
            Out::Stages(AnalysisMethod::IndependentRequests),
        ),
        ("ranks", Out::Stages(AnalysisMethod::Ranks)),
        ("all at once", Out::AtOnce),
    ];
    println!(
        "nodes  way                     good, of 1,000: taken back (halted)  minutes p50 p90 | bad, errs more by: passed of 100 (cost)"
    );
    let mut lines: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
    for nodes in sizes {
        for (name, out) in ways {
            let good = play(nodes, Effect::NONE, out, rollouts);
            let stopped =
                good.iter().filter(|outcome| outcome.stopped).count() as f64 / rollouts as f64;
            // Of those that were stopped, those that came to no judgement in their time, and were
            // halted as they stood.
            let halted = good
                .iter()
                .filter(|outcome| outcome.what == NO_JUDGEMENT)
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
            let mut line = Vec::new();
            for size in SIZES {
                let bad = play(
                    nodes,
                    Effect {
                        errored: size,
                        ..Effect::NONE
                    },
                    out,
                    rollouts.min(200),
                );
                let passed =
                    bad.iter().filter(|outcome| !outcome.stopped).count() as f64 / bad.len() as f64;
                // In seconds of all that the fleet is asked for.
                let cost =
                    bad.iter().map(|o| o.cost / o.asked * 10.0).sum::<f64>() / bad.len() as f64;
                print!(
                    "  {:.0}%: {:3.0} ({cost:.1} s)",
                    size * 100.0,
                    passed * 100.0
                );
                line.push((size * 100.0, cost));
            }
            println!();
            lines.push((format!("{nodes} nodes, {name}"), line));
        }
    }
    if let Some(path) = arguments.get(2) {
        draw(path, &lines)?;
    }
    Ok(())
}

fn draw(path: &str, lines: &[(String, Vec<(f64, f64)>)]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, (900, 560)).into_drawing_area();
    area.fill(&WHITE)?;
    let most = lines
        .iter()
        .flat_map(|(_, line)| line)
        .map(|(_, cost)| *cost)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((1.0..100.0).log_scale(), (0.1..most).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("errs more by, %")
        .y_desc("cost, seconds of all that the fleet is asked for")
        .draw()?;
    for (at, (name, line)) in lines.iter().enumerate() {
        let colour = Palette99::pick(at).to_rgba();
        let points = line.iter().map(|(x, y)| (*x, y.max(0.1)));
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
