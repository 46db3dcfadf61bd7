//! Blocking reads and writes of TCP streams, and the current addresses of peers.

use crate::config::PeerAddresses;
use crossbeam_utils::atomic::AtomicCell;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Size of the buffer for one read from a socket, in bytes.
pub const READ_BUFFER_BYTES: usize = 4096;
/// Timeout of a connect to a peer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The current addresses of peers, loaded before each connect.
pub type Addresses = Arc<AtomicCell<PeerAddresses>>;

/// Reads a stream into the sink until the stream ends or the sink fails. An error of the stream counts
/// as its end.
pub fn read_all<E>(
    mut stream: &TcpStream,
    mut sink: impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<(), E> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(n) => sink(&buffer[..n])?,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Ok(()),
        }
    }
}

/// Writes all slices, blocking until the stream has accepted them.
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
