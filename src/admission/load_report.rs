//! Signals to load balancers: the shedding level, the load report that carries it, and the idle
//! timeout of connections.

use super::deadlines::ANSWER_MARGIN;
use super::measure::{LEARNING_RATE, seconds};
use crate::{Deployment, LoadReport, Nanos};

/// Target for the rejected fraction of the value of all requests read: the shedding level moves
/// until rejections reach this fraction. Rejected clients are asked to stop trying if the shedding
/// level is above the same figure and other nodes are likely to be overloaded too.
pub(super) const REJECTED_TARGET: f64 = 0.03;
/// An update moves the shedding level by this fraction of the difference between the rejected
/// fraction and [`REJECTED_TARGET`].
pub(super) const LEVEL_GAIN: f64 = 0.15;
/// Highest shedding level. Some traffic must arrive for the level to fall again.
const MAX_LEVEL: f64 = 0.95;
/// Idle connections are closed while load balancers send on average fewer requests than this within
/// their idle timeout.
const CLOSE_BELOW_RETURNS: f64 = 0.7;
/// Idle connections are kept open again above this number of requests within the idle timeout. The
/// gap between the two figures prevents flapping.
const KEEP_ABOVE_RETURNS: f64 = 1.4;

/// Totals of the requests since the last update.
#[derive(Default)]
pub(super) struct UpdateWindow {
    /// Sum of the value densities of the requests that were read.
    pub(super) value_read: f64,
    /// Sum of the value densities of the requests that were rejected.
    pub(super) value_rejected: f64,
    /// Number of requests that were read.
    pub(super) arrivals: f64,
}

/// State of the signals to load balancers.
pub(super) struct LoadSignals {
    /// Fraction of the traffic that the load report holds back, 0 to 1.
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

    /// Returns whether the shedding level is above [`REJECTED_TARGET`].
    pub(super) fn is_shedding(&self) -> bool {
        self.shedding_level > REJECTED_TARGET
    }

    /// Moves the shedding level: down while the cores have spare time, otherwise by the difference
    /// between the rejected fraction of the value read and [`REJECTED_TARGET`]. The load report
    /// thus follows the rejections.
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
        self.shedding_level =
            (self.shedding_level + LEVEL_GAIN * (rejected - REJECTED_TARGET)).clamp(0.0, MAX_LEVEL);
    }

    /// Returns the idle time after which connections are closed, if it changes. Idle connections
    /// use connection slots and memory, so they are kept open only if load balancers mostly reuse
    /// them.
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

/// Returns the load report for the fraction `held_back` of the traffic, 0 to 1, or `None` if load
/// reports are disabled. A credit falls from the number of requests that this node can run and
/// queue towards 1 as `held_back` rises, and is 0 if all traffic is held back.
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
