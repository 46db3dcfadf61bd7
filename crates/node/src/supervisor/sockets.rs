//! The listening socket, and the stream on which a process gets it.

use super::Event;
use crossbeam_channel::Sender;
use madderpoint_node::log::part;
use madderpoint_rollout::process_handover::Child;
use madderpoint_rollout::supervisor_messages::MessageReader;
use rustix::net::sockopt::{set_socket_reuseaddr, set_socket_reuseport};
use rustix::net::{
    AddressFamily, SendAncillaryBuffer, SendAncillaryMessage, SendFlags, SocketFlags, SocketType,
};
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use tracing::warn;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Sends the first message, with the listening socket beside its first byte.
pub(super) fn send_with_socket(
    stream: &UnixStream,
    bytes: &[u8],
    listener: &TcpListener,
) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let sockets = [listener.as_fd()];
    if !control.push(SendAncillaryMessage::ScmRights(&sockets)) {
        return Err(io::Error::other("no room for a socket"));
    }
    let sent = rustix::net::sendmsg(
        stream,
        &[IoSlice::new(bytes)],
        &mut control,
        SendFlags::NOSIGNAL,
    )?;
    let mut stream = stream;
    stream.write_all(&bytes[sent..])
}

/// Reads the messages of a process until its stream ends.
pub(super) fn read_messages(child: Child, mut stream: UnixStream, events: &Sender<Event>) {
    let (mut reader, mut buffer) = (MessageReader::default(), [0; 4096]);
    while let Ok(n) = stream.read(&mut buffer) {
        if n == 0 {
            return;
        }
        reader.feed(&buffer[..n]);
        loop {
            match reader.take() {
                Ok(Some(message)) => _ = events.send(Event::Message(child, message)),
                Ok(None) => break,
                Err(_) => {
                    warn!(
                        target: part::SUPERVISOR,
                        "message of a process cannot be read: no more is read of it"
                    );
                    return;
                }
            }
        }
    }
}

/// A socket to listen on, beside which another one may listen: that of a node whose supervisor was
/// killed.
pub(super) fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let family = if at.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    set_socket_reuseaddr(&socket, true)?;
    set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &at)?;
    rustix::net::listen(&socket, BACKLOG)?;
    Ok(TcpListener::from(socket))
}
