//! Helpers for starting threads.

use std::io;
use std::thread;

/// Default stack size of all threads except the main one, in bytes.
pub const STACK: usize = 128 * 1024;

/// Starts a detached thread with this name and a stack of [`STACK`] bytes.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .stack_size(STACK)
        .spawn(work)
        .map(drop)
}
