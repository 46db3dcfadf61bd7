//! All-to-all heartbeats, the simplest failure detector, as a baseline for measurements.

use crate::{Nanos, SECOND};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Results of a simulation of all-to-all heartbeats, where a member from which no heartbeat arrives
/// for some periods is declared dead.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Heartbeats {
    /// Bytes that each member sends per second.
    pub bytes: f64,
    /// Datagrams that each member sends per second.
    pub datagrams: f64,
    /// Number of times that a member declared a running one dead.
    pub false_deaths: u64,
    /// Seconds from a crash until the first member declares the crashed one dead.
    pub found: f64,
    /// Seconds from a crash until all members have declared the crashed one dead.
    pub agreed: f64,
}

/// Size of a heartbeat in bytes: the frame with name and number, and the headers of UDP and IP.
const HEARTBEAT_BYTES: usize = crate::datagram_auth::OVERHEAD + 42 + 28;

/// Simulates heartbeats for `time`, with a crash at the end. A member is declared dead when no
/// heartbeat from it arrives for `missed` periods.
pub fn heartbeats(
    members: usize,
    loss: f64,
    period: Nanos,
    missed: u32,
    time: Nanos,
    seed: u64,
) -> Heartbeats {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let rounds = time / period;
    let mut missed_in_a_row = vec![0u32; members * members];
    let mut false_deaths = 0;
    for _ in 0..rounds {
        for from in 0..members {
            for to in (0..members).filter(|&to| to != from) {
                let missed_here = &mut missed_in_a_row[from * members + to];
                *missed_here = if loss > 0.0 && rng.random_bool(loss) {
                    *missed_here + 1
                } else {
                    0
                };
                false_deaths += u64::from(*missed_here == missed);
            }
        }
    }
    // At the crash each member has already missed some heartbeats of the crashed one, and the
    // periods of each member begin at a different time.
    let seconds_left: Vec<f64> = (1..members)
        .map(|to| f64::from(missed - missed_in_a_row[to].min(missed)) - rng.random_range(0.0..1.0))
        .map(|periods| periods.max(0.0) * period as f64 / SECOND as f64)
        .collect();
    let datagrams = (members - 1) as f64 * SECOND as f64 / period as f64;
    Heartbeats {
        bytes: datagrams * HEARTBEAT_BYTES as f64,
        datagrams,
        false_deaths,
        found: seconds_left.iter().copied().fold(f64::INFINITY, f64::min),
        agreed: seconds_left.iter().copied().fold(0.0, f64::max),
    }
}
