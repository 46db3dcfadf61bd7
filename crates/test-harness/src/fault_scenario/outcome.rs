//! The outcome of a scenario, which the runner prints and tests assert on.

use crate::backend_service::BackendRecord;
use crate::checker::Statuses;
use crate::scenario::Scenario;
use std::collections::BTreeMap;

/// Failures and measurements of a scenario.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Texts of all failed expectations and checks; empty if all expectations and checks held.
    pub failures: Vec<String>,
    /// Time until each expectation held, in seconds, in the order of the steps.
    pub durations: Vec<(String, f64)>,
    /// Number of answers to the load of all nodes, by status.
    pub statuses: Statuses,
    /// Calls and crashes that the backend service recorded.
    pub backend: BackendRecord,
    /// Number of executions that were recorded by key.
    pub keyed_executions: usize,
    /// By how many calls the worst second after a restart of the backend service exceeded its
    /// slow-start allowance; negative if no second exceeded it. `None` if the scenario does not
    /// check the calls after a restart.
    pub excess_after_restart: Option<f64>,
    /// Maximum number of nodes that ran settings on trial at the same time, by settings number.
    pub on_trial: BTreeMap<u64, usize>,
    /// Settings number that each node ran at the end, by node name.
    pub final_settings: BTreeMap<String, u64>,
    /// Number of datagrams at the fault proxy, by result: passed, lost, held, doubled or damaged.
    pub datagrams: BTreeMap<&'static str, u64>,
    /// Lines of the joined event record around the first failure; empty without a failure.
    pub record_excerpt: Vec<String>,
}

impl Outcome {
    /// Returns whether all nodes that were up ran the same settings at the end.
    pub fn one_version_at_the_end(&self) -> bool {
        let mut numbers = self.final_settings.values();
        let first = numbers.next();
        first.is_some() && numbers.all(|number| Some(number) == first)
    }

    /// Returns the outcome if all expectations and checks held.
    ///
    /// # Panics
    ///
    /// Panics if there is a failure; the message shows the failures, the seed, the steps and the
    /// excerpt of the event record.
    pub fn expect_good(&self, script: &Scenario) -> &Outcome {
        assert!(
            self.failures.is_empty(),
            "'{}', seed {}: {:#?}\n{:#?}\nevent record around the first failure:\n{}",
            script.name,
            script.seed,
            self.failures,
            script.steps,
            self.record_excerpt.join("\n")
        );
        self
    }
}
