//! Starting threads.

use std::io;
use std::thread;

/// Stack of every thread but the first, in bytes.
pub const STACK: usize = 128 * 1024;

/// Starts a thread that ends by itself.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .stack_size(STACK)
        .spawn(work)
        .map(drop)
}
