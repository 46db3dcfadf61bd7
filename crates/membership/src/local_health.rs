//! Lifeguard's local health score. A node that is slow or partitioned itself would suspect all
//! other members, so each sign of a local fault stretches the node's timeouts and periods.

/// Highest local health score. Timeouts are multiplied by at most `SCORE_MAX` + 1.
const SCORE_MAX: u32 = 8;

/// Local health score, from 0 (healthy) to [`SCORE_MAX`].
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Returns the factor by which timeouts are multiplied; 1 if the node is healthy.
    pub fn health_factor(self) -> u64 {
        u64::from(self.score) + 1
    }

    /// Returns the local health score; 0 is healthy.
    pub fn score(self) -> u32 {
        self.score
    }

    /// Records that a probe was acknowledged in time.
    pub fn answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records that a direct probe and all relayed ones failed. Each of the `silent` relays, which
    /// did not reply, is a sign of a local fault; if all replied, the fault is the target's.
    pub fn probe_failed(&mut self, relays: u32, silent: u32) {
        let increase = if relays == 0 { 1 } else { silent };
        self.score = (self.score + increase).min(SCORE_MAX);
    }

    /// Records that other members suspected this node.
    pub fn suspected(&mut self) {
        self.score = (self.score + 1).min(SCORE_MAX);
    }

    /// Records that this process was paused.
    pub fn paused(&mut self) {
        self.score = (self.score + 2).min(SCORE_MAX);
    }
}

#[cfg(test)]
mod tests;
