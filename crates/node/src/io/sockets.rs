//! The side effects that the core requests, passed on to the threads that carry them out.

use super::backend_link::BackendLinkCommand;
use super::client_connections::Connection;
use super::cluster_link::ClusterLink;
use super::executor_writer::ExecutorWriter;
use super::reader_commands::{ReaderCommand, ReaderHandle};
use super::stream::Addresses;
use crate::actions::{Actions, CallId, CallInterestToken, Close, ConnectionId};
use crate::cluster::ClusterUpdate;
use crate::config::PeerAddresses;
use crate::fastcgi::Reply;
use crate::log::part;
use crossbeam_channel::Sender;
use madderpoint::{Nanos, RequestId};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

/// The core's ends of all connections. No call blocks.
pub struct Sockets {
    connections: HashMap<ConnectionId, Connection>,
    /// Connections that must be flushed at the end of this turn.
    unflushed: Vec<ConnectionId>,
    executor: Option<ExecutorWriter>,
    backend: Vec<Sender<BackendLinkCommand>>,
    addresses: Addresses,
    reader: ReaderHandle,
    /// Whether the node drains; read by the reports to the service registry.
    is_draining: Arc<AtomicBool>,
    cluster: Option<ClusterLink>,
}

impl Sockets {
    /// Creates the core's ends, without any connection yet. `backend` has the queue of each backend
    /// link.
    pub fn new(
        backend: Vec<Sender<BackendLinkCommand>>,
        addresses: Addresses,
        reader: ReaderHandle,
        is_draining: Arc<AtomicBool>,
        cluster: Option<ClusterLink>,
    ) -> Sockets {
        Sockets {
            connections: HashMap::new(),
            unflushed: Vec::new(),
            executor: None,
            backend,
            addresses,
            reader,
            is_draining,
            cluster,
        }
    }

    /// Adds a load balancer's connection.
    pub fn add_connection(&mut self, id: ConnectionId, connection: Connection) {
        self.connections.insert(id, connection);
    }

    /// Removes a load balancer's connection that has ended.
    pub fn remove_connection(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Sets the writer of the executor's connection; `None` while the executor is not connected.
    pub fn set_executor(&mut self, writer: Option<ExecutorWriter>) {
        self.executor = writer;
    }

    /// Makes the cluster's thread leave the cluster and end. With `is_handed_over` another process of
    /// the node takes over.
    pub fn leave_cluster(&self, is_handed_over: bool) {
        if let Some(cluster) = &self.cluster {
            cluster.leave(is_handed_over);
        }
    }

    /// Writes the answers of this turn. All answers on one connection are written together.
    pub fn flush(&mut self) {
        for id in self.unflushed.drain(..) {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.flush();
            }
        }
    }
}

impl Actions for Sockets {
    fn send_reply(&mut self, id: ConnectionId, reply: Reply) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.reply(reply);
            self.unflushed.push(id);
        }
    }

    fn close_connection(&mut self, id: ConnectionId, close: Close) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.close(close);
            self.unflushed.push(id);
        }
    }

    fn stop_reading(&mut self, id: ConnectionId) {
        self.reader.send(ReaderCommand::StopReading(id));
    }

    fn pace_reading(&mut self, id: ConnectionId, pause: Nanos) {
        if let Some(connection) = self.connections.get(&id) {
            connection.pace(pause);
        }
    }

    fn send_executor_command(&mut self, line: String) {
        // A dropped line would leave a gap in the sequence of commands, so no line may follow it on
        // the same connection.
        self.executor.take_if(|writer| !writer.write(line));
    }

    fn send_backend_call(
        &mut self,
        link: usize,
        call: CallId,
        request: RequestId,
        bytes: Vec<u8>,
        token: CallInterestToken,
    ) -> bool {
        let call = BackendLinkCommand::Call(call, request, bytes, token);
        self.backend
            .get(link)
            .is_some_and(|queue| queue.try_send(call).is_ok())
    }

    fn cancel_backend_call(&mut self, link: usize, bytes: Vec<u8>) {
        if let Some(queue) = self.backend.get(link) {
            let _ = queue.try_send(BackendLinkCommand::Cancel(bytes));
        }
    }

    fn close_backend_link(&mut self, link: usize) {
        if let Some(queue) = self.backend.get(link) {
            let _ = queue.try_send(BackendLinkCommand::Close);
        }
    }

    fn change_peers(&mut self, peers: PeerAddresses) -> bool {
        self.addresses.swap(peers).executor != peers.executor
    }

    fn reconnect_executor(&mut self) {
        if let Some(writer) = self.executor.take() {
            writer.close();
        }
    }

    fn announce_drain(&mut self) {
        self.is_draining.store(true, SeqCst);
    }

    fn stop_listening(&mut self) {
        self.reader.send(ReaderCommand::StopListening);
    }

    fn update_cluster(&mut self, update: ClusterUpdate) {
        if let Some(cluster) = &self.cluster {
            cluster.update(update);
        }
    }

    fn trace_step(&mut self, correlation_id: &str, step: fmt::Arguments<'_>) {
        tracing::trace!(target: part::REQUEST, event = "step", rid = correlation_id, "{step}");
    }
}
