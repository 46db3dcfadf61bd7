//! A rollout's stages without the messages between: what is analysed and when, over many rollouts by
//! seed. For tables of false stops, missed harm and what a bad rollout costs.

use super::load::{Effect, Load, Noise, Runs, WINDOW, key};
use crate::canary_analysis::{AnalysisMethod, CrashCounts, Verdict, analyse};
use crate::cohort_metrics::{CohortMetrics, OperationCounts, WindowSample};
use crate::identifiers::{RolloutId, Version};
use crate::stages::{NextAgreement, Plan, Progress, Stage};
use crate::{Nanos, splitmix64};

/// How a rollout goes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Out {
    /// In stages, analysed by this method.
    Stages(AnalysisMethod),
    /// Everywhere at once; rolled back if for two windows the share of successes is lower than before by
    /// the plan's margin.
    AtOnce,
}

/// What became of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrialResult {
    /// Whether it was stopped.
    pub stopped: bool,
    /// By what.
    pub what: &'static str,
    /// The stage it came to.
    pub stage: u32,
    /// The time it took.
    pub time: Nanos,
    /// Priority weight that it cost.
    pub cost: f64,
    /// Priority weight that the whole cluster is asked for in a window.
    pub asked: f64,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Trial {
    /// How many nodes.
    pub nodes: usize,
    /// How many zones.
    pub zones: u32,
    /// Requests of a node in a window.
    pub each: f64,
    /// How much nodes differ by themselves.
    pub noise: Noise,
    /// The plan.
    pub plan: Plan,
    /// What the new version does.
    pub effect: Effect,
    /// How it goes out.
    pub out: Out,
}

/// What a rollout that came to no analysement is halted by.
pub const NO_JUDGEMENT: &str = "no analysement";
const BEFORE: u64 = 8;
/// Windows for which a rollout that went out at once is observed.
const AT_ONCE: u64 = 60;

impl Trial {
    /// Plays it.
    pub fn play(&self, seed: u64) -> TrialResult {
        let mut load = Load::new(seed, self.nodes, self.zones, self.each, self.noise);
        let (old, new) = (
            Version { number: 1, hash: 1 },
            Version { number: 2, hash: 2 },
        );
        let mut record = CohortMetrics::new(RolloutId(splitmix64(seed)), new, old);
        let (mut window, mut windows) = (0, Vec::new());
        let mut before = OperationCounts::default();
        for _ in 0..BEFORE {
            let (samples, _) = self.window(&mut load, window, &|_| None);
            samples
                .iter()
                .flat_map(|sample| sample.operations.values())
                .for_each(|(cell, _)| before.add(cell));
            windows.push((window, samples));
            window += 1;
        }
        record.begin(&windows);
        let asked = before.asked as f64 / 1000.0 / BEFORE as f64;
        match self.out {
            Out::Stages(method) => self.stages(&mut load, record, window, method, asked),
            Out::AtOnce => self.at_once(&mut load, before, window, asked),
        }
    }

    /// What all nodes count in a window; `since` gives for how many windows a node runs the new version.
    fn window(
        &self,
        load: &mut Load,
        window: u64,
        since: &dyn Fn(usize) -> Option<u64>,
    ) -> (Vec<WindowSample>, f64) {
        load.window(window);
        let mut sum = 0.0;
        let samples = (0..self.nodes)
            .map(|node| {
                let ran = since(node);
                let runs = Runs {
                    version_hash: if ran.is_some() { 2 } else { 1 },
                    effect: if ran.is_some() {
                        self.effect
                    } else {
                        Effect::NONE
                    },
                    since: ran.unwrap_or(0),
                    age: 100,
                };
                let (sample, cost) = load.sample(node, key(node), &runs);
                sum += cost;
                sample
            })
            .collect();
        (samples, sum)
    }

    fn stages(
        &self,
        load: &mut Load,
        record: CohortMetrics,
        window: u64,
        method: AnalysisMethod,
        asked: f64,
    ) -> TrialResult {
        let nodes: Vec<(u64, u32)> = (0..self.nodes)
            .map(|node| (key(node), load.zone(node)))
            .collect();
        let (mut progress, rollout) = (Progress::default(), record.rollout);
        let mut run = StagedRun {
            trial: self,
            load,
            record,
            method,
            window,
            begin: window,
            begun: vec![None; self.nodes],
            crashes: [0, 0],
            outcome: TrialResult {
                asked,
                ..TrialResult::default()
            },
        };
        while let Some(next) = progress.next(&NextAgreement {
            rollout,
            plan: &self.plan,
            nodes: &nodes,
            agreement: progress.agreement + 1,
            cluster_size: self.nodes as u32,
        }) {
            progress = next;
            let Some(stage) = self.plan.stage(progress.stage) else {
                break;
            };
            run.outcome.stage = progress.stage;
            run.record.start_stage(progress.stage);
            for (at, (node, zone)) in nodes.iter().enumerate() {
                if run.begun[at].is_none() && progress.includes(rollout, *node, *zone) {
                    run.begun[at] = Some(run.window);
                }
            }
            if let Some(what) = run.stage(progress.stage, stage) {
                return TrialResult {
                    stopped: true,
                    what,
                    ..run.outcome
                };
            }
        }
        run.outcome
    }

    fn at_once(
        &self,
        load: &mut Load,
        before: OperationCounts,
        mut window: u64,
        asked: f64,
    ) -> TrialResult {
        let mut outcome = TrialResult {
            asked,
            stage: 1,
            ..TrialResult::default()
        };
        let share = |cell: &OperationCounts| cell.succeeded as f64 / cell.arrived.max(1) as f64;
        let margin = f64::from(self.plan.margin_permille) / 1000.0;
        let (begin, mut bad) = (window, 0);
        while window < begin + AT_ONCE {
            let (samples, cost) = self.window(load, window, &|_| Some(window - begin));
            outcome.cost += cost;
            window += 1;
            outcome.time = (window - begin) * WINDOW;
            let mut sum = OperationCounts::default();
            samples
                .iter()
                .flat_map(|sample| sample.operations.values())
                .for_each(|(cell, _)| sum.add(cell));
            bad = if share(&sum) < share(&before) - margin {
                bad + 1
            } else {
                0
            };
            if bad == 2 {
                return TrialResult {
                    stopped: true,
                    ..outcome
                };
            }
        }
        outcome
    }
}

/// A rollout in stages while it is played.
struct StagedRun<'a> {
    trial: &'a Trial,
    load: &'a mut Load,
    record: CohortMetrics,
    method: AnalysisMethod,
    /// The next window, and the one in which it began.
    window: u64,
    begin: u64,
    /// By node, the window in which it began to run the new version.
    begun: Vec<Option<u64>>,
    /// On trial; of the other nodes.
    crashes: [u64; 2],
    outcome: TrialResult,
}

impl StagedRun<'_> {
    /// Plays a stage to its end; by what it was stopped, if it was.
    fn stage(&mut self, number: u32, stage: &Stage) -> Option<&'static str> {
        let since = self.window;
        loop {
            self.play_window();
            let held = (self.window - since) * WINDOW;
            let new = self.begun.iter().flatten().count() as u64;
            let crashes = CrashCounts {
                crashes: self.crashes,
                nodes: [new, self.trial.nodes as u64 - new],
                windows: (self.window - self.begin) as f64,
            };
            let plan = &self.trial.plan;
            let analysis = analyse(&self.record, plan, number, &crashes, self.method);
            match analysis.verdict {
                Verdict::Harm(harm) => {
                    return Some(harm.first().map_or("", |finding| finding.what));
                }
                _ if held < stage.min_duration => {}
                // Without a baseline cohort it goes by what else there is: see `coordinator`.
                _ if plan.is_last(number) => return None,
                Verdict::Fine => return None,
                Verdict::Unsure(_) if held > stage.max_duration => return None,
                Verdict::Unsure(_) => {}
                Verdict::Wait(_) if held > stage.max_duration => return Some(NO_JUDGEMENT),
                Verdict::Wait(_) => {}
            }
        }
    }

    fn play_window(&mut self) {
        let (window, begun) = (self.window, &self.begun);
        let since = |node: usize| begun[node].map(|begun| window - begun);
        let (samples, cost) = self.trial.window(self.load, window, &since);
        self.outcome.cost += cost;
        for begun in begun {
            let effect = if begun.is_some() {
                self.trial.effect
            } else {
                Effect::NONE
            };
            if self.load.dies(&Runs {
                version_hash: 0,
                effect,
                since: begun.map_or(0, |begun| window - begun),
                age: 100,
            }) {
                self.crashes[usize::from(begun.is_none())] += 1;
            }
        }
        self.record.record_window(window, &samples);
        self.window += 1;
        self.outcome.time = (self.window - self.begin) * WINDOW;
    }
}

#[cfg(test)]
mod tests;
