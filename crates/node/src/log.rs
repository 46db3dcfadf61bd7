//! The node's log: lines on standard error, so many a second at most. Plain by default; as JSON
//! lines, each with its time, node, part and event, where that is asked for.

use std::fmt;
use std::io;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

/// Lines a second.
const MOST: u64 = 40;

static SECOND: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
/// The node's name, where lines are JSON.
static JSON: OnceLock<String> = OnceLock::new();
/// Whether the steps of each invocation are written too.
static FOLLOWS: AtomicBool = AtomicBool::new(false);

/// Unix time in nanoseconds, so that the lines of several processes can be put in order.
struct UnixNanos;

impl FormatTime for UnixNanos {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        write!(w, "{}", now.as_nanos())
    }
}

/// From here on lines are JSON.
pub fn as_json(node: &str) {
    let format = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_timer(UnixNanos)
        .with_writer(io::stderr);
    if format.try_init().is_ok() {
        let _ = JSON.set(node.to_owned());
    }
}

/// From here on the steps of each invocation are written, without regard to the rate: for tests,
/// and for a look.
pub fn follow_invocations() {
    FOLLOWS.store(true, Relaxed);
}

/// Whether the steps of invocations are written.
pub fn follows() -> bool {
    FOLLOWS.load(Relaxed)
}

/// Whether another line may be written now, and how many were left out before it.
fn permit() -> Option<u64> {
    let second = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_secs());
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

fn write(part: &str, event: &str, line: fmt::Arguments<'_>) {
    match JSON.get() {
        Some(node) => tracing::info!(node, part, event, "{line}"),
        None if part.is_empty() => eprintln!("madderpoint: {line}"),
        None => eprintln!("madderpoint: {part}: {line}"),
    }
}

/// Writes a line, unless too many were written this second.
pub fn line(line: fmt::Arguments<'_>) {
    event("", "", line);
}

/// Writes what happened in a part of the node, unless too many lines were written this second.
pub fn event(part: &str, event: &str, line: fmt::Arguments<'_>) {
    if let Some(left_out) = permit() {
        if left_out > 0 {
            write(
                "",
                "left out",
                format_args!("log: {left_out} lines left out"),
            );
        }
        write(part, event, line);
    }
}

/// Writes a step of an invocation, where they are followed.
pub fn step(rid: &str, what: fmt::Arguments<'_>) {
    if !follows() {
        return;
    }
    match JSON.get() {
        Some(node) => tracing::info!(node, part = "invocation", event = "step", rid, "{what}"),
        None => eprintln!("madderpoint: {rid}: {what}"),
    }
}

/// Writes a line to the log, unless too many were written this second.
#[macro_export]
macro_rules! log {
    ($($text:tt)*) => {
        $crate::log::line(format_args!($($text)*))
    };
}
pub use log;

#[cfg(test)]
mod tests;
