//! The steps of a scenario: faults on links and processes, changes of the load, and expectations.

use super::{FaultScenario, lock};
use crate::scenario::{Action, LinkFault, LinkKind, NodeSelector};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::{Signal, kill_process};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time after a fault of known length for which missing answers are still excused.
const EXCUSE_AFTER: Duration = Duration::from_secs(1);
/// First bytes of the cluster's datagrams.
const DATAGRAM_MAGIC: [u8; 3] = *b"mf\x01";
/// Pause between two bursts of the flood of unauthenticated datagrams.
const FLOOD_INTERVAL: Duration = Duration::from_millis(5);

impl FaultScenario {
    /// Plays step `index`: puts or removes faults, changes the load, or waits for an expectation.
    pub(super) fn apply(&mut self, index: usize, action: &Action) {
        match action {
            Action::Link { faulty, time } => self.put_fault(faulty, *time),
            Action::Heal => self.heal(),
            Action::Kill(node) => self.kill(node),
            Action::Stop(node) => {
                let n = self.node(node);
                self.nodes[n].excuse(None);
                self.stop_node(n);
            }
            Action::Pause { node, time } => self.pause(node, *time),
            Action::Hup(node) => self.nodes[self.node(node)].signal(Signal::HUP),
            Action::Start {
                node,
                name,
                program,
            } => {
                let n = self.node(node);
                if let Err(e) = self.start_node(n, name.as_deref(), program.as_deref()) {
                    self.fail(format!("step {index}: {e}"));
                }
            }
            Action::Load { to, a_second, keys } => self.change_load(to, *a_second, *keys),
            Action::Service {
                time, dies: true, ..
            } => self.backend.go_down(*time),
            Action::Service {
                time,
                zone,
                slower,
                fails,
                ..
            } => self.backend.impair(zone.clone(), *time, *slower, *fails),
            Action::UnauthenticatedDatagrams { to, a_second, time } => {
                self.start_flood(to, *a_second, *time)
            }
            Action::Disk { node, full } => self.set_disk_full(index, node, *full),
            Action::Offer {
                node,
                number,
                change,
                turned_down,
            } => self.offer(index, node, *number, change, *turned_down),
            Action::EndChange { node, back } => self.end_rollout(index, node, *back),
            Action::Holds { .. }
            | Action::Used { .. }
            | Action::Runs { .. }
            | Action::Change { .. }
            | Action::Settled { .. }
            | Action::Sees { .. } => self.expect(index, action),
        }
    }

    /// Puts a fault on links for the given time, or until all links are healed. Faults on other
    /// links than those between nodes excuse missing answers.
    fn put_fault(&mut self, faulty: &LinkFault, time: Option<Duration>) {
        if faulty.on != LinkKind::Fleet {
            let until = time.map(|time| Instant::now() + time + EXCUSE_AFTER);
            for node in &self.nodes {
                if faulty.from.has(&node.place.name, &node.place.zone) {
                    node.excuse(until);
                }
            }
        }
        self.faults.put(faulty.clone(), time);
    }

    fn heal(&self) {
        self.faults.heal();
        self.nodes
            .iter()
            .filter(|node| lock(&node.state).is_running)
            .for_each(|node| node.end_excuses());
    }

    fn kill(&mut self, node: &str) {
        let n = self.node(node);
        self.nodes[n].excuse(None);
        lock(&self.nodes[n].state).is_running = false;
        if let Some(mut child) = self.nodes[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn pause(&mut self, name: &str, time: Duration) {
        self.pause_count += 1;
        let node = &self.nodes[self.node(name)];
        node.excuse(Some(Instant::now() + time + EXCUSE_AFTER));
        lock(&node.state).is_paused = true;
        node.signal(Signal::STOP);
        let (pid, state) = (node.pid(), Arc::clone(&node.state));
        let (record, name) = (Arc::clone(&self.record), name.to_owned());
        thread::spawn(move || {
            thread::sleep(time);
            if let Some(pid) = pid {
                let _ = kill_process(pid, Signal::CONT);
            }
            lock(&state).is_paused = false;
            record.note(&name, "rig", "continues");
        });
    }

    fn change_load(&self, to: &NodeSelector, requests_per_second: u64, keys: Option<(u64, u64)>) {
        let callers = self.script.callers.max(1) as u32;
        for node in &self.nodes {
            if to.has(&node.place.name, &node.place.zone) {
                let mut rate = lock(&node.load_rate);
                rate.interval =
                    Duration::from_secs(1) * callers / requests_per_second.max(1) as u32;
                rate.keys = keys.unwrap_or(rate.keys);
            }
        }
    }

    /// Starts a thread that sends random datagrams to nodes; half of them begin with the first
    /// bytes of the cluster's datagrams.
    fn start_flood(&self, to: &NodeSelector, datagrams_per_second: u64, time: Duration) {
        let targets: Vec<SocketAddr> = self
            .nodes
            .iter()
            .filter(|node| to.has(&node.place.name, &node.place.zone))
            .map(|node| node.reached)
            .collect();
        let (seed, record) = (self.script.seed, Arc::clone(&self.record));
        thread::spawn(move || {
            let Ok(socket) = UdpSocket::bind("127.0.0.1:0") else {
                return;
            };
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let (begun, mut sent) = (Instant::now(), 0u64);
            while begun.elapsed() < time {
                let due = (begun.elapsed().as_secs_f64() * datagrams_per_second as f64) as u64;
                for _ in sent..due {
                    let mut frame: Vec<u8> = (0..rng.random_range(1..200))
                        .map(|_| rng.random())
                        .collect();
                    if rng.random_bool(0.5) {
                        frame.splice(..0, DATAGRAM_MAGIC);
                    }
                    let _ = socket.send_to(&frame, targets[rng.random_range(0..targets.len())]);
                }
                sent = due;
                thread::sleep(FLOOD_INTERVAL);
            }
            record.note("stranger", "rig", format!("sent {sent} datagrams"));
        });
    }
}
