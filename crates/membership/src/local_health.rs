//! Lifeguard's local health score. A node that is slow or partitioned would suspect all others, so
//! each sign that the fault may be its own stretches its timeouts and periods.

/// Highest score; timeouts are stretched by at most one more than this.
const SCORE_MAX: u32 = 8;

/// The score, from 0 (healthy).
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    doubt: u32,
}

impl LocalHealth {
    /// Factor by which timeouts are stretched.
    pub fn health_factor(self) -> u64 {
        u64::from(self.doubt) + 1
    }

    /// The score.
    pub fn doubt(self) -> u32 {
        self.doubt
    }

    /// A probe was answered in time.
    pub fn answered(&mut self) {
        self.doubt = self.doubt.saturating_sub(1);
    }

    /// A probe failed, relays included. Each silent relay speaks against this node; if all replied,
    /// the target is the one that is gone.
    pub fn probe_failed(&mut self, relays: u32, silent: u32) {
        let worse = if relays == 0 { 1 } else { silent };
        self.doubt = (self.doubt + worse).min(SCORE_MAX);
    }

    /// Others suspected this node.
    pub fn suspected(&mut self) {
        self.doubt = (self.doubt + 1).min(SCORE_MAX);
    }

    /// This process stood still.
    pub fn paused(&mut self) {
        self.doubt = (self.doubt + 2).min(SCORE_MAX);
    }
}

#[cfg(test)]
mod tests;
