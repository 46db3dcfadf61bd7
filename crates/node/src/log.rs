//! The node's log: lines on standard error, so many a second at most.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines a second.
const MOST: u64 = 40;

static SECOND: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Whether another line may be written now, and how many were left out before it.
pub fn permit() -> Option<u64> {
    let second = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_secs());
    permit_in(second)
}

fn permit_in(second: u64) -> Option<u64> {
    if SECOND.swap(second, Relaxed) != second {
        WRITTEN.store(0, Relaxed);
    }
    if WRITTEN.fetch_add(1, Relaxed) >= MOST {
        LEFT_OUT.fetch_add(1, Relaxed);
        return None;
    }
    Some(LEFT_OUT.swap(0, Relaxed))
}

/// Writes a line to the log, unless too many were written this second.
#[macro_export]
macro_rules! log {
    ($($text:tt)*) => {
        if let Some(left_out) = $crate::log::permit() {
            if left_out > 0 {
                eprintln!("madderpoint: log: {left_out} lines left out");
            }
            eprintln!("madderpoint: {}", format_args!($($text)*));
        }
    };
}
pub use log;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn beyond_the_rate_lines_are_counted_and_told_in_the_next_second() {
        assert!((0..MOST).all(|_| permit_in(1) == Some(0)));
        assert!((0..5).all(|_| permit_in(1).is_none()));
        assert_eq!(permit_in(2), Some(5));
        assert_eq!(permit_in(2), Some(0));
    }
}
