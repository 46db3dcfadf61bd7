//! Blocking reads and writes of TCP streams, and where peers are reached.

use crate::config::PeerAddresses;
use crossbeam_utils::atomic::AtomicCell;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Bytes read from a socket at once.
pub const READ: usize = 4096;
/// The most time that connecting to a peer takes.
pub const CONNECT: Duration = Duration::from_millis(500);

/// Where peers are reached now; looked at before each connect.
pub type Addresses = Arc<AtomicCell<PeerAddresses>>;

/// Reads a stream into the sink until it ends, or until the sink fails.
pub fn read_all<E>(
    mut stream: &TcpStream,
    mut sink: impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<(), E> {
    let mut buffer = [0; READ];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(n) => sink(&buffer[..n])?,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Ok(()),
        }
    }
}

/// Writes all slices.
pub fn write_gathered(mut stream: &TcpStream, mut slices: &mut [IoSlice<'_>]) -> io::Result<()> {
    IoSlice::advance_slices(&mut slices, 0);
    while !slices.is_empty() {
        match stream.write_vectored(slices) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => IoSlice::advance_slices(&mut slices, n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
