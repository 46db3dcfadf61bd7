//! A node's doubt of itself, after Lifeguard: a node that is slow or cut off would suspect all
//! others. Each sign that the fault is its own makes it wait longer for answers and ask less often,
//! before it says anything of others.

/// The most doubt; waits grow by one more than this at most.
const MOST: u32 = 8;

/// Doubt of oneself, from none.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    doubt: u32,
}

impl LocalHealth {
    /// Waits are this many times as long.
    pub fn health_factor(self) -> u64 {
        u64::from(self.doubt) + 1
    }

    pub fn doubt(self) -> u32 {
        self.doubt
    }

    /// A probe was answered in time.
    pub fn answered(&mut self) {
        self.doubt = self.doubt.saturating_sub(1);
    }

    /// Nobody answered a probe, not even helpers that they asked: one more for each helper that was
    /// silent, one less if all spoke, for then it is the other that is gone.
    pub fn on_probe_failed(&mut self, relays: u32, silent: u32) {
        let worse = if relays == 0 { 1 } else { silent };
        self.doubt = (self.doubt + worse).min(MOST);
    }

    /// Others suspected this node.
    pub fn suspected(&mut self) {
        self.doubt = (self.doubt + 1).min(MOST);
    }

    /// This node stood still.
    pub fn stood_still(&mut self) {
        self.doubt = (self.doubt + 2).min(MOST);
    }
}

#[cfg(test)]
mod tests;
