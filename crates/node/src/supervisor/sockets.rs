//! The listening socket, and the stream over which a process receives it.

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

/// Maximum number of connections in the listen backlog.
const BACKLOG: i32 = 1024;

/// Sends the first message to a process, with the listening socket as ancillary data.
pub(super) fn send_with_socket(
    stream: &UnixStream,
    bytes: &[u8],
    listener: &TcpListener,
) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let sockets = [listener.as_fd()];
    if !control.push(SendAncillaryMessage::ScmRights(&sockets)) {
        return Err(io::Error::other(
            "ancillary buffer has no room for the listening socket",
        ));
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

/// Reads the messages of a process until the stream ends or a message cannot be decoded.
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

/// Opens a listening socket. The address is shared with other sockets, because a node whose
/// supervisor was killed may still listen on it.
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
