//! A stand-in for the back end, by the protocol page.

use crate::util::Timers;
use crate::world::World;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

/// What the back end does with one call.
pub enum Plan {
    /// Turns the call away; with `copies` more copies of the reply, each `gap_ms` after the one before.
    Overload { copies: u32, gap_ms: u64 },
    /// Runs the call for `work_ms` and replies.
    Run { work_ms: u64 },
}

type Planner = dyn Fn(&str, &[u8], u32) -> Plan + Send + Sync;

/// A call that runs, by connection and id.
type Running = Arc<Mutex<HashMap<(u64, String), u64>>>;

#[derive(Clone)]
pub struct Backend {
    pub address: SocketAddr,
    world: Arc<World>,
    planner: Arc<Planner>,
    /// Number of calls for each id.
    calls: Arc<Mutex<HashMap<String, u32>>>,
    running: Running,
    next: Arc<AtomicU64>,
    timers: Timers,
}

impl Backend {
    /// `planner` gets the id, the body and the number of the call among those of the id, from 1.
    pub fn start(
        world: &Arc<World>,
        planner: impl Fn(&str, &[u8], u32) -> Plan + Send + Sync + 'static,
    ) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Backend {
            address: listener.local_addr().unwrap(),
            world: Arc::clone(world),
            planner: Arc::new(planner),
            calls: Arc::default(),
            running: Arc::default(),
            next: Arc::default(),
            timers: Timers::start(),
        };
        let serving = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        backend
    }

    fn serve(&self, stream: TcpStream) {
        let connection = self.next.fetch_add(1, SeqCst);
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let writer = Arc::new(Mutex::new(writer));
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(n) if n > 0 => {}
                _ => break,
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["invoke", id, _, len] => {
                    let mut body = vec![0; len.parse::<usize>().unwrap_or(0) + 2];
                    if reader.read_exact(&mut body).is_err() {
                        break;
                    }
                    body.truncate(body.len() - 2);
                    self.invoke(connection, id, &body, &writer);
                }
                ["cancel", id] => {
                    self.world
                        .trace(id, &format!("cancel   {id} on connection {connection}"));
                    self.running
                        .lock()
                        .unwrap()
                        .remove(&(connection, id.to_owned()));
                }
                _ => break,
            }
        }
        // The end of a connection gives up every call on it.
        self.running
            .lock()
            .unwrap()
            .retain(|(c, _), _| *c != connection);
    }

    fn invoke(&self, connection: u64, id: &str, body: &[u8], writer: &Arc<Mutex<TcpStream>>) {
        let number = {
            let mut calls = self.calls.lock().unwrap();
            let number = calls.entry(id.to_owned()).or_default();
            *number += 1;
            *number
        };
        self.world.trace(
            id,
            &format!(
                "invoke   {id} number {number} on connection {connection}: {}",
                String::from_utf8_lossy(body)
            ),
        );
        match (self.planner)(id, body, number) {
            Plan::Overload { copies, gap_ms } => {
                let reply = format!("{id} overload\r\n").into_bytes();
                self.world
                    .trace(id, &format!("         {id} overload, {copies} more copies"));
                self.reply(writer, reply, copies, gap_ms);
            }
            Plan::Run { work_ms } => {
                let token = self.next.fetch_add(1, SeqCst);
                // A second call for a request gives up the first.
                self.running
                    .lock()
                    .unwrap()
                    .insert((connection, id.to_owned()), token);
                let (backend, writer) = (self.clone(), Arc::clone(writer));
                let (id, body) = (id.to_owned(), body.to_vec());
                self.timers.after(work_ms, move || {
                    let key = (connection, id.clone());
                    let mut running = backend.running.lock().unwrap();
                    if running.get(&key) != Some(&token) {
                        return;
                    }
                    running.remove(&key);
                    drop(running);
                    let result = crate::kernel::reply_body(&body);
                    let mut reply = format!("{id} ok {}\r\n", result.len()).into_bytes();
                    reply.extend_from_slice(&result);
                    reply.extend_from_slice(b"\r\n");
                    backend.world.trace(&id, &format!("         {id} ok"));
                    backend.reply(&writer, reply, 0, 0);
                });
            }
        }
    }

    fn reply(&self, writer: &Arc<Mutex<TcpStream>>, reply: Vec<u8>, copies: u32, gap_ms: u64) {
        let _ = writer.lock().unwrap().write_all(&reply);
        for copy in 1..=copies {
            let (writer, reply) = (Arc::clone(writer), reply.clone());
            self.timers.after(gap_ms * u64::from(copy), move || {
                let _ = writer.lock().unwrap().write_all(&reply);
            });
        }
    }
}
