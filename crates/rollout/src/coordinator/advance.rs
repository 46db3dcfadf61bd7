//! The rules by which a rollout in progress advances to its next stage, waits or ends.

use super::{Coordinator, ReceivedReport, Step, StepInputs};
use crate::canary_analysis::{self, CrashCounts, Verdict};
use crate::cohort_metrics::Cohort;
use crate::member::Member;
use crate::node_report::{MAX_CRASHES, NodeReport, NodeStatus};
use crate::rollout::{Outcome, Rollout};
use crate::stages::{Stage, seconds};
use crate::{Nanos, SECOND};

/// Unit of the time over which crashes are counted; equals the 10 s windows of the analysis.
const CRASH_WINDOW: Nanos = 10 * SECOND;
/// How long a stage whose nodes have all left waits before other nodes replace them.
const REPLACE_DEPARTED_AFTER: Nanos = 30 * SECOND;
/// Maximum drop in the share of successful requests in a stage without a baseline cohort; a larger
/// drop halts the rollout.
const COLLAPSE_MARGIN: f64 = 0.3;
/// Minimum number of requests before the rollout and since it began for the comparison by
/// [`COLLAPSE_MARGIN`].
const COLLAPSE_MIN_REQUESTS: u64 = 200;

/// The verdict of a stage's analysis, with its figures as one line of text.
struct StageVerdict {
    verdict: Verdict,
    line: String,
}

/// Returns the present nodes that the stage includes.
fn present_in_stage<'a>(inputs: &StepInputs<'a>, rollout: &Rollout) -> Vec<&'a Member> {
    let includes = |member: &&Member| {
        member.present
            && rollout
                .progress
                .includes(rollout.id, member.node, member.zone)
    };
    inputs.members.iter().filter(includes).collect()
}

/// Rule: the minimum duration of the stage is over. Otherwise returns why the rollout waits.
fn min_duration_not_over(stage: &Stage, elapsed: Nanos) -> Option<String> {
    (elapsed < stage.min_duration).then(|| {
        format!(
            "{} of {} have passed",
            seconds(elapsed),
            seconds(stage.min_duration)
        )
    })
}

/// Rule: metrics have been recorded for this rollout. Otherwise returns why the rollout waits.
fn no_metrics(verdict: &Option<StageVerdict>) -> Option<String> {
    verdict
        .is_none()
        .then(|| "no metrics are recorded yet".to_owned())
}

/// Rule: the analysis found the stage fine. With too little traffic for such a verdict, the rule
/// holds if no comparison showed harm throughout the maximum duration. The rule does not apply
/// without a baseline cohort.
fn analysis_not_done(
    verdict: Option<StageVerdict>,
    has_baseline: bool,
    stage: &Stage,
    elapsed: Nanos,
) -> Option<String> {
    match verdict?.verdict {
        _ if !has_baseline => None,
        Verdict::Wait(why) => Some(why),
        Verdict::Unsure(why) if elapsed <= stage.max_duration => Some(why),
        _ => None,
    }
}

impl Coordinator {
    /// Counts the crashes since this stage began, of nodes with the version on trial and of the
    /// other nodes.
    fn crash_counts(&self, inputs: &StepInputs<'_>, rollout: &Rollout) -> CrashCounts {
        let mut crashes = [0, 0];
        let is_on_trial = |report: &NodeReport| {
            report.rollout == rollout.id
                && matches!(report.status, NodeStatus::Starting | NodeStatus::OnTrial)
        };
        for (node, received) in &self.reports {
            let report = &received.report;
            let is_present = inputs
                .members
                .iter()
                .any(|member| member.node == *node && member.present);
            match () {
                () if report.crashes > 0 && report.rollout == rollout.id => {
                    let in_stage = report.last_crash_ms > rollout.progress.at_ms;
                    crashes[0] += u64::from(if in_stage { report.crashes } else { 0 });
                }
                () if !is_present && is_on_trial(report) => crashes[0] += 1,
                () if !is_present => crashes[1] += 1,
                // The node runs the base version and started after the stage began, so its process
                // crashed.
                () if report.running == rollout.base
                    && report.since_ms > rollout.progress.at_ms =>
                {
                    crashes[1] += 1
                }
                () => {}
            }
        }
        let in_stage = inputs
            .members
            .iter()
            .filter(|m| rollout.progress.includes(rollout.id, m.node, m.zone))
            .count() as u64;
        let nodes = [in_stage, inputs.members.len() as u64 - in_stage];
        CrashCounts {
            crashes,
            nodes,
            windows: self.stage_elapsed(inputs) as f64 / CRASH_WINDOW as f64,
        }
    }

    /// Decides the next step of the rollout in progress. The rules in order: rejection by a node,
    /// harm, quorum, nodes in the stage, all of these on the new version, the minimum duration,
    /// metrics, the analysis. If one of the last four rules does not hold after the maximum
    /// duration, the rollout is halted.
    pub(super) fn step_in_progress(&mut self, inputs: &StepInputs<'_>, rollout: &Rollout) -> Step {
        if let Some(why) = self.rejection(rollout) {
            return Step::end(rollout, Outcome::RolledBack, why);
        }
        let verdict = self.analyse_stage(inputs, rollout);
        if let Some(StageVerdict {
            verdict: Verdict::Harm(_),
            line,
        }) = &verdict
        {
            return Step::end(rollout, Outcome::RolledBack, line.clone());
        }
        if let Err(why) = self.check_quorum(inputs, rollout) {
            return Step::Wait(why);
        }
        let number = rollout.progress.stage;
        let Some(stage) = rollout.plan.stage(number) else {
            return Step::Wait(String::new());
        };
        let in_stage = present_in_stage(inputs, rollout);
        if in_stage.is_empty() {
            return self.step_without_nodes(inputs, rollout, stage);
        }
        self.stage_empty_since = None;
        let elapsed = self.stage_elapsed(inputs);
        let has_baseline = self.has_baseline_nodes(inputs, rollout);
        let wait_reason = self
            .not_running_yet(rollout, &in_stage)
            .or_else(|| min_duration_not_over(stage, elapsed))
            .or_else(|| no_metrics(&verdict))
            .or_else(|| analysis_not_done(verdict, has_baseline, stage, elapsed));
        match wait_reason {
            Some(why) if elapsed > stage.max_duration => Step::end(
                rollout,
                Outcome::Halted,
                format!(
                    "stage {number} had no verdict after {}: {why}",
                    seconds(stage.max_duration)
                ),
            ),
            Some(why) => Step::Wait(why),
            // No baseline node is left, so the time before the rollout is compared instead.
            None if !has_baseline => match self.success_collapse() {
                Some(why) => Step::end(rollout, Outcome::Halted, why),
                None => self.propose(inputs, rollout, false),
            },
            None => self.propose(inputs, rollout, false),
        }
    }

    /// Returns the time since this node learned of the last agreement, in nanoseconds.
    fn stage_elapsed(&self, inputs: &StepInputs<'_>) -> Nanos {
        inputs.now - self.since.min(inputs.now)
    }

    /// Analyses the stage by the metrics recorded so far; returns `None` if no metrics are
    /// recorded.
    fn analyse_stage(
        &mut self,
        inputs: &StepInputs<'_>,
        rollout: &Rollout,
    ) -> Option<StageVerdict> {
        let crashes = self.crash_counts(inputs, rollout);
        let stage = rollout.progress.stage;
        let analysis = self.metrics.as_ref().map(|metrics| {
            canary_analysis::analyse(metrics, &rollout.plan, stage, &crashes, self.method)
        });
        let verdict = analysis.as_ref().map(|analysis| StageVerdict {
            verdict: analysis.verdict.clone(),
            line: analysis.line(&|operation| self.operation_name(operation)),
        });
        self.analysis = analysis;
        verdict
    }

    /// Decides the next step while no node of the stage is present. A lost node may still run the
    /// new version: only nodes that left are replaced, so that no more nodes run the new version
    /// than the stage allows.
    fn step_without_nodes(
        &mut self,
        inputs: &StepInputs<'_>,
        rollout: &Rollout,
        stage: &Stage,
    ) -> Step {
        let is_any_lost = inputs.members.iter().any(|member| {
            let progress = &rollout.progress;
            !member.present && progress.includes(rollout.id, member.node, member.zone)
        });
        let since = *self.stage_empty_since.get_or_insert(inputs.now);
        if self.stage_elapsed(inputs) > stage.max_duration {
            let why = format!(
                "no node of stage {} was present for {}",
                rollout.progress.stage,
                seconds(stage.max_duration)
            );
            return Step::end(rollout, Outcome::Halted, why);
        }
        if is_any_lost {
            return Step::Wait("the nodes of the stage are lost".into());
        }
        if inputs.now > since + REPLACE_DEPARTED_AFTER {
            return self.propose(inputs, rollout, true);
        }
        Step::Wait("the nodes of the stage have left".into())
    }

    /// Rule: each present node of the stage has recently reported that it runs the new version, or
    /// that it gave the version up after [`MAX_CRASHES`] crashes. Otherwise returns why the rollout
    /// waits.
    fn not_running_yet(&self, rollout: &Rollout, in_stage: &[&Member]) -> Option<String> {
        let runs = |report: &NodeReport| {
            report.rollout == rollout.id
                && (report.running == rollout.version || report.crashes >= MAX_CRASHES)
        };
        let missing = in_stage.iter().find(|member| {
            let received = self
                .reports
                .get(&member.node)
                .filter(|received| self.is_fresh(received));
            received.is_none_or(|received| !runs(&received.report))
        })?;
        Some(format!(
            "node {:016x} of its stage does not run it yet",
            missing.node
        ))
    }

    /// Returns whether any present node has reported that it runs the base version.
    fn has_baseline_nodes(&self, inputs: &StepInputs<'_>, rollout: &Rollout) -> bool {
        inputs.members.iter().any(|member| {
            let runs_base = |received: &ReceivedReport| received.report.running == rollout.base;
            member.present && self.reports.get(&member.node).is_some_and(runs_base)
        })
    }

    fn operation_name(&self, operation: u32) -> String {
        self.names
            .get(&operation)
            .cloned()
            .unwrap_or_else(|| format!("{operation:08x}"))
    }

    /// Rule for stages without a baseline cohort: the share of successful requests at the canary
    /// cohort has not dropped by more than [`COLLAPSE_MARGIN`]. Returns why the rollout halts.
    fn success_collapse(&self) -> Option<String> {
        let metrics = self.metrics.as_ref()?;
        let (mut before, mut after) = ([0, 0], [0, 0]);
        for (_, node) in metrics.cohort(Cohort::Canary) {
            for (sum, cells) in [(&mut before, &node.before), (&mut after, &node.after)] {
                for cell in cells.values() {
                    sum[0] += cell.succeeded;
                    sum[1] += cell.arrived;
                }
            }
        }
        if before[1] < COLLAPSE_MIN_REQUESTS || after[1] < COLLAPSE_MIN_REQUESTS {
            return None;
        }
        let share = |counts: [u64; 2]| counts[0] as f64 / counts[1] as f64;
        (share(after) < share(before) - COLLAPSE_MARGIN).then(|| {
            format!(
                "{:.0} % succeed with no old node left to compare with, {:.0} % did before",
                share(after) * 100.0,
                share(before) * 100.0
            )
        })
    }
}
