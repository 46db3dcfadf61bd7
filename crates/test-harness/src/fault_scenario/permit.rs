//! A bound on the number of scenarios that run at once in one process. A scenario runs several
//! processes whose timing it checks; too many of them on one machine delay each other.

use super::lock;
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;

/// Number of processor cores for each scenario that runs.
const CORES_PER_SCENARIO: usize = 2;

/// Number of permits that are held in this process.
static HELD: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// The right to run one scenario; dropping the permit lets the next scenario run.
pub(super) struct Permit(());

/// Returns the number of scenarios that may run at once.
fn max_permits() -> usize {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    (cores / CORES_PER_SCENARIO).max(1)
}

impl Permit {
    /// Waits until a permit is free.
    pub(super) fn acquire() -> Permit {
        let max = max_permits();
        let mut held = HELD
            .1
            .wait_while(lock(&HELD.0), |held| *held >= max)
            .unwrap_or_else(PoisonError::into_inner);
        *held += 1;
        Permit(())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *lock(&HELD.0) -= 1;
        HELD.1.notify_one();
    }
}

#[cfg(test)]
mod tests;
