//! The periodic update of targets, limits and averages, and of the signals derived from them.

use super::AdmissionController;
use super::beta_red::BetaRed;
use super::concurrency_limit::ConcurrencyLimit;
use super::load_report::{UpdateWindow, load_report};
use super::mode::Mode;
use crate::{Gauges, Host, Nanos};

impl<H: Host> AdmissionController<H> {
    /// Performs the periodic update.
    pub(super) fn update(&mut self, now: Nanos, gauges: &Gauges) {
        self.memory.update(now, gauges);
        self.concurrency.update(!self.queue.is_empty(), gauges);
        self.beta_red.update_arrival_rate(self.window.arrivals);
        self.update_targets();
        self.beta_red.walk(self.concurrency.has_spare_cpu());
        self.update_signals(now);
        let queue_is_full = self.queue.len() as f64 >= self.beta_red.queue_bound;
        let any_rejected = self.window.value_rejected > 0.0;
        let is_shedding = self.signals.is_shedding();
        let mode = self.mode.next(queue_is_full, any_rejected, is_shedding);
        if mode != self.mode {
            self.enter(mode);
        }
        self.window = UpdateWindow::default();
    }

    pub(super) fn update_targets(&mut self) {
        let memory_capacity = self.memory.queue_capacity(self.concurrency.limit);
        self.beta_red.update_targets(memory_capacity);
    }

    pub(super) fn update_signals(&mut self, now: Nanos) {
        let has_spare_cpu = self.concurrency.has_spare_cpu();
        self.signals.update_level(has_spare_cpu, &self.window);
        self.tenants.update();
        self.send_load_report(now);
        let arrival_rate = self.beta_red.arrival_rate;
        if let Some(idle_for) = self
            .signals
            .update_idle_timeout(arrival_rate, &self.deployment)
        {
            self.host.close_idle_connections(idle_for);
        }
    }

    /// Returns the fraction of the traffic to hold back, 0 to 1: the shedding level, or 1 while a
    /// draining node holds back all traffic.
    pub(super) fn held_back(&self, now: Nanos) -> f64 {
        let all = self
            .drain
            .is_some_and(|drain| drain.holds_back_all(now, &self.deployment));
        if all {
            1.0
        } else {
            self.signals.shedding_level
        }
    }

    pub(super) fn send_load_report(&mut self, now: Nanos) {
        if let Some(value) = load_report(
            self.deployment.load_report,
            self.held_back(now),
            self.concurrency.limit,
            self.beta_red.target,
        ) {
            self.host.report_load(value);
        }
    }

    /// Enters a mode and logs the change with the state that led to it.
    pub(super) fn enter(&mut self, mode: Mode) {
        let BetaRed {
            averaged_queue,
            target,
            virtual_target,
            queue_bound,
            ..
        } = self.beta_red;
        let ConcurrencyLimit {
            limit, busy_share, ..
        } = self.concurrency;
        self.host.log(format_args!(
            "mode changed from={:?} to={mode:?} queued={} averaged_queue={averaged_queue:.1} \
             target={target:.1} virtual_target={virtual_target:.1} queue_bound={queue_bound:.0} \
             running={} concurrency_limit={limit:.0} busy={busy_share:.2} \
             shedding_level={:.2} memory_kb={:.0}",
            self.mode,
            self.queue.len(),
            self.running,
            self.signals.shedding_level,
            self.memory.counted_kb * self.memory.gauge_factor,
        ));
        self.mode = mode;
    }
}
