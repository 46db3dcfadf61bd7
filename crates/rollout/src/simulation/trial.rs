//! Simulates the stages of a rollout without the messages between nodes: when a stage is analysed
//! and with which result, over many rollouts by seed. Used for tables of how many good rollouts are
//! stopped, how many harmful ones pass, and what bad rollouts cost.

use super::load::{Effect, Load, NodeRun, Noise, WINDOW, key};
use crate::canary_analysis::{AnalysisMethod, CrashCounts, Verdict, analyse};
use crate::cohort_metrics::{CohortMetrics, OperationCounts, WindowSample};
use crate::identifiers::{RolloutId, Version};
use crate::stages::{NextAgreement, Plan, Progress, Stage};
use crate::{Nanos, splitmix64};

/// Way in which a version is rolled out in a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutMode {
    /// The version is rolled out in stages, which are analysed by this method.
    Staged(AnalysisMethod),
    /// The version is applied at all nodes at once, without stages. It is rolled back if the share
    /// of successful requests is lower than before by more than the plan's margin for two windows
    /// in a row.
    AllAtOnce,
}

/// Result of the simulated rollout of one version with one seed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrialResult {
    /// True if the rollout was halted or rolled back before it was completed.
    pub stopped: bool,
    /// Name of the comparison that showed the harm, or [`NO_VERDICT`]; empty if the rollout was not
    /// stopped, and for [`RolloutMode::AllAtOnce`].
    pub reason: &'static str,
    /// Last stage that the rollout reached, from 1.
    pub stage: u32,
    /// Duration of the rollout in nanoseconds.
    pub time: Nanos,
    /// Priority weight of requests lost to the effect of the new version, over the whole rollout.
    pub cost: f64,
    /// Mean priority weight of all requests to the cluster in a window.
    pub asked: f64,
}

/// Configuration of simulated rollouts; the seed is passed to [`Trial::run`].
#[derive(Clone, Debug)]
pub struct Trial {
    /// Number of nodes of the cluster.
    pub nodes: usize,
    /// Number of zones of the cluster.
    pub zones: u32,
    /// Mean number of requests of a node in a window.
    pub requests_per_window: f64,
    /// Differences between nodes, and faults that no version causes.
    pub noise: Noise,
    /// Plan of the rollout.
    pub plan: Plan,
    /// Effect of the new version.
    pub effect: Effect,
    /// How the new version is rolled out.
    pub mode: RolloutMode,
}

/// Reason of a rollout that is halted because the analysis reached no verdict within a stage's
/// maximum duration.
pub const NO_VERDICT: &str = "no verdict";
/// Number of windows that are recorded before the rollout begins.
const WINDOWS_BEFORE: u64 = 8;
/// Number of windows for which an update of all nodes at once is observed.
const ALL_AT_ONCE_WINDOWS: u64 = 60;

impl Trial {
    /// Simulates the rollout with this seed. The same seed gives the same result.
    pub fn run(&self, seed: u64) -> TrialResult {
        let mut load = Load::new(
            seed,
            self.nodes,
            self.zones,
            self.requests_per_window,
            self.noise,
        );
        let (base, version) = (
            Version { number: 1, hash: 1 },
            Version { number: 2, hash: 2 },
        );
        let mut metrics = CohortMetrics::new(RolloutId(splitmix64(seed)), version, base);
        let (mut window, mut windows) = (0, Vec::new());
        let mut before = OperationCounts::default();
        for _ in 0..WINDOWS_BEFORE {
            let (samples, _) = self.sample_window(&mut load, window, &|_| None);
            samples
                .iter()
                .flat_map(|sample| sample.operations.values())
                .for_each(|(cell, _)| before.add(cell));
            windows.push((window, samples));
            window += 1;
        }
        metrics.begin(&windows);
        let asked = before.asked as f64 / 1000.0 / WINDOWS_BEFORE as f64;
        match self.mode {
            RolloutMode::Staged(method) => {
                self.run_staged(&mut load, metrics, window, method, asked)
            }
            RolloutMode::AllAtOnce => self.run_all_at_once(&mut load, before, window, asked),
        }
    }

    /// Returns the samples of all nodes in a window and the priority weight lost to the new
    /// version. `windows_on_new_version` returns for how many windows a node has run the new
    /// version; `None` if the node runs the base.
    fn sample_window(
        &self,
        load: &mut Load,
        window: u64,
        windows_on_new_version: &dyn Fn(usize) -> Option<u64>,
    ) -> (Vec<WindowSample>, f64) {
        load.begin_window(window);
        let mut sum = 0.0;
        let samples = (0..self.nodes)
            .map(|node| {
                let ran = windows_on_new_version(node);
                let run = NodeRun {
                    version_hash: if ran.is_some() { 2 } else { 1 },
                    effect: if ran.is_some() {
                        self.effect
                    } else {
                        Effect::NONE
                    },
                    windows_since_apply: ran.unwrap_or(0),
                    windows_since_start: 100,
                };
                let (sample, cost) = load.sample(node, key(node), &run);
                sum += cost;
                sample
            })
            .collect();
        (samples, sum)
    }

    fn run_staged(
        &self,
        load: &mut Load,
        metrics: CohortMetrics,
        window: u64,
        method: AnalysisMethod,
        asked: f64,
    ) -> TrialResult {
        let nodes: Vec<(u64, u32)> = (0..self.nodes)
            .map(|node| (key(node), load.zone(node)))
            .collect();
        let (mut progress, rollout) = (Progress::default(), metrics.rollout);
        let mut run = StagedTrial {
            trial: self,
            load,
            metrics,
            method,
            window,
            first_window: window,
            started_in: vec![None; self.nodes],
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
            run.metrics.start_stage(progress.stage);
            for (at, (node, zone)) in nodes.iter().enumerate() {
                if run.started_in[at].is_none() && progress.includes(rollout, *node, *zone) {
                    run.started_in[at] = Some(run.window);
                }
            }
            if let Some(reason) = run.run_stage(progress.stage, stage) {
                return TrialResult {
                    stopped: true,
                    reason,
                    ..run.outcome
                };
            }
        }
        run.outcome
    }

    fn run_all_at_once(
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
        let (first_window, mut bad) = (window, 0);
        while window < first_window + ALL_AT_ONCE_WINDOWS {
            let (samples, cost) =
                self.sample_window(load, window, &|_| Some(window - first_window));
            outcome.cost += cost;
            window += 1;
            outcome.time = (window - first_window) * WINDOW;
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

/// State of a staged rollout during a trial.
struct StagedTrial<'a> {
    trial: &'a Trial,
    load: &'a mut Load,
    metrics: CohortMetrics,
    method: AnalysisMethod,
    /// Number of the window that is simulated next.
    window: u64,
    /// Window in which the rollout began.
    first_window: u64,
    /// Window in which each node began to run the new version; `None` before that.
    started_in: Vec<Option<u64>>,
    /// Crashes of nodes that run the new version, and of the other nodes.
    crashes: [u64; 2],
    outcome: TrialResult,
}

impl StagedTrial<'_> {
    /// Runs a stage to its end; returns the reason if the rollout was stopped.
    fn run_stage(&mut self, number: u32, stage: &Stage) -> Option<&'static str> {
        let stage_start = self.window;
        loop {
            self.run_window();
            let elapsed = (self.window - stage_start) * WINDOW;
            let canary_nodes = self.started_in.iter().flatten().count() as u64;
            let crashes = CrashCounts {
                crashes: self.crashes,
                nodes: [canary_nodes, self.trial.nodes as u64 - canary_nodes],
                windows: (self.window - self.first_window) as f64,
            };
            let plan = &self.trial.plan;
            let analysis = analyse(&self.metrics, plan, number, &crashes, self.method);
            match analysis.verdict {
                Verdict::Harm(harm) => {
                    return Some(harm.first().map_or("", |finding| finding.what));
                }
                _ if elapsed < stage.min_duration => {}
                // The last stage has no baseline cohort. The coordinator then uses other criteria
                // (see `coordinator`), which the trial leaves out.
                _ if plan.is_last(number) => return None,
                Verdict::Fine => return None,
                Verdict::Unsure(_) if elapsed > stage.max_duration => return None,
                Verdict::Unsure(_) => {}
                Verdict::Wait(_) if elapsed > stage.max_duration => return Some(NO_VERDICT),
                Verdict::Wait(_) => {}
            }
        }
    }

    fn run_window(&mut self) {
        let (window, started_in) = (self.window, &self.started_in);
        let windows_on_new_version =
            |node: usize| started_in[node].map(|started_in| window - started_in);
        let (samples, cost) = self
            .trial
            .sample_window(self.load, window, &windows_on_new_version);
        self.outcome.cost += cost;
        for started_in in started_in {
            let effect = if started_in.is_some() {
                self.trial.effect
            } else {
                Effect::NONE
            };
            if self.load.crashes(&NodeRun {
                version_hash: 0,
                effect,
                windows_since_apply: started_in.map_or(0, |started_in| window - started_in),
                windows_since_start: 100,
            }) {
                self.crashes[usize::from(started_in.is_none())] += 1;
            }
        }
        self.metrics.record_window(window, &samples);
        self.window += 1;
        self.outcome.time = (self.window - self.first_window) * WINDOW;
    }
}

#[cfg(test)]
mod tests;
