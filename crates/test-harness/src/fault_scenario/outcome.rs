//! The outcome of a scenario, as the runner prints it and tests assert on it.

use crate::backend_service::BackendRecord;
use crate::checker::Statuses;
use crate::scenario::Scenario;
use std::collections::BTreeMap;

/// The outcome of a scenario.
#[derive(Debug, Default)]
pub struct Outcome {
    /// What did not hold; empty if everything held.
    pub failures: Vec<String>,
    /// How long each expectation took to hold, in seconds, in the order of the steps.
    pub durations: Vec<(String, f64)>,
    /// Answers to all loads, by status.
    pub statuses: Statuses,
    /// What the backend service recorded.
    pub backend: BackendRecord,
    /// Executions that were recorded by key.
    pub keyed_executions: usize,
    /// By how many calls the worst second after a restart of the backend service exceeded its
    /// slow-start allowance; negative if none did. Set only if the scenario checks it.
    pub excess_after_restart: Option<f64>,
    /// The most nodes that ran each settings number on trial at the same time.
    pub on_trial: BTreeMap<u64, usize>,
    /// The settings number that each node ran at the end, by node name.
    pub final_settings: BTreeMap<String, u64>,
    /// Datagrams at the fault proxy, by what was done with them.
    pub datagrams: BTreeMap<&'static str, u64>,
    /// Lines of the joined event record around the first failure; empty if everything held.
    pub record_excerpt: Vec<String>,
}

impl Outcome {
    /// Whether all nodes ran the same settings at the end.
    pub fn one_version_at_the_end(&self) -> bool {
        let mut numbers = self.final_settings.values();
        let first = numbers.next();
        first.is_some() && numbers.all(|number| Some(number) == first)
    }

    /// Returns itself if everything held.
    ///
    /// # Panics
    ///
    /// Something did not hold; the message shows the failures, the seed, the steps and the record.
    pub fn expect_good(&self, script: &Scenario) -> &Outcome {
        assert!(
            self.failures.is_empty(),
            "'{}', seed {}: {:#?}\n{:#?}\nthe record up to then:\n{}",
            script.name,
            script.seed,
            self.failures,
            script.steps,
            self.record_excerpt.join("\n")
        );
        self
    }
}
