//! Signals to load balancers: the shedding level, the load report that carries it, and whether idle
//! connections stay open.

use super::deadlines::ANSWER_MARGIN;
use super::measure::{LEARNING_RATE, seconds};
use crate::{Deployment, LoadReport, Nanos};

/// The load report holds back traffic until this share of the value that is read is still rejected.
/// From there on rejected clients are asked to stop trying, if other nodes are likely to be
/// overloaded too.
pub(super) const REJECTED_GOAL: f64 = 0.03;
/// Share of the goal's error by which an update moves the level.
pub(super) const LEVEL_GAIN: f64 = 0.15;
/// The highest level: some traffic must come for the level to fall again.
const HIGHEST_LEVEL: f64 = 0.95;
/// Idle connections are closed when load balancers come back to one less often than this in their
/// idle timeout, and stay open again above the second figure; the gap prevents flapping.
const CLOSE_BELOW_RETURNS: f64 = 0.7;
const KEEP_ABOVE_RETURNS: f64 = 1.4;

/// What was seen since the last update.
#[derive(Default)]
pub(super) struct UpdateWindow {
    /// Value density of the requests that were read.
    pub(super) value_read: f64,
    /// Value density of those that were rejected.
    pub(super) value_rejected: f64,
    /// Requests that were read.
    pub(super) arrivals: f64,
}

/// What load balancers see of this node.
pub(super) struct LoadSignals {
    /// The fraction of the traffic that the load report holds back.
    pub(super) shedding_level: f64,
    keeps_idle_connections: bool,
}

impl LoadSignals {
    pub(super) fn new() -> Self {
        LoadSignals {
            shedding_level: 0.0,
            keeps_idle_connections: true,
        }
    }

    /// Whether more traffic is held back than the goal alone explains.
    pub(super) fn is_shedding(&self) -> bool {
        self.shedding_level > REJECTED_GOAL
    }

    /// Walks the shedding level: down while the cores have spare time, else by the error of the
    /// goal. Load report and rejection thus follow the same mechanism.
    pub(super) fn update_level(&mut self, has_spare_cpu: bool, window: &UpdateWindow) {
        if has_spare_cpu {
            self.shedding_level *= 1.0 - LEARNING_RATE;
            return;
        }
        let rejected = if window.value_read > 0.0 {
            window.value_rejected / window.value_read
        } else {
            0.0
        };
        self.shedding_level = (self.shedding_level + LEVEL_GAIN * (rejected - REJECTED_GOAL))
            .clamp(0.0, HIGHEST_LEVEL);
    }

    /// After which idle time connections are to be closed, when that changes. Idle connections take
    /// places and memory: they stay open if load balancers mostly come back to them.
    pub(super) fn update_idle_timeout(
        &mut self,
        arrival_rate: f64,
        deployment: &Deployment,
    ) -> Option<Nanos> {
        let returns = arrival_rate * seconds(deployment.client_idle_timeout)
            / deployment.load_balancers.max(1) as f64;
        let changes = if self.keeps_idle_connections {
            returns < CLOSE_BELOW_RETURNS
        } else {
            returns > KEEP_ABOVE_RETURNS
        };
        if !changes {
            return None;
        }
        self.keeps_idle_connections = !self.keeps_idle_connections;
        Some(if self.keeps_idle_connections {
            deployment.client_idle_timeout
        } else {
            ANSWER_MARGIN
        })
    }
}

/// The number to send back with every answer while `held_back` of the traffic is to stay away, if
/// there is such a number. A credit goes from what this node can run and queue down to 1, and to 0
/// when all is to stay away.
pub(super) fn load_report(
    kind: LoadReport,
    held_back: f64,
    concurrency_limit: f64,
    target_queue: f64,
) -> Option<f64> {
    match kind {
        LoadReport::Disabled => None,
        LoadReport::SheddingLevel => Some(held_back),
        LoadReport::Weight => Some(1.0 - held_back),
        LoadReport::Credit if held_back == 1.0 => Some(0.0),
        LoadReport::Credit => Some((concurrency_limit + target_queue).powf(1.0 - held_back)),
    }
}
