//! One node of a scenario: the process, its stand-in peers, and the proxies between them.

use super::load::{LoadRate, NodeLoad};
use super::{FaultScenario, ScenarioError, lock};
use crate::checker::Checker;
use crate::event_record::EventRecord;
use crate::executor::Executor;
use crate::fault_proxy::StreamProxy;
use crate::faults::NodeLocation;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Longest time from the start of a process until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time from SIGTERM until a process ends.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the end of a fault for which missing answers are still excused.
const EXCUSE_AFTER_FAULT: Duration = Duration::from_millis(500);
/// Number of lines of the event record in the error about a process that does not listen.
const LAST_EVENTS: usize = 5;

/// State of a node's process, shared with its load and the thread that queries the status.
#[derive(Default)]
pub(super) struct NodeState {
    pub(super) is_running: bool,
    pub(super) is_paused: bool,
    /// Periods in which a missing answer is not a failure: the begin, and the end, or `None` until
    /// the fault ends.
    pub(super) excused: Vec<(Instant, Option<Instant>)>,
}

/// A node of the scenario: the process, and the node's stand-in peers and proxies.
pub(super) struct ScenarioNode {
    pub(super) place: NodeLocation,
    /// Address on which the node listens for other nodes.
    pub(super) bind: SocketAddr,
    /// Address of the fault proxy at which other nodes reach the node.
    pub(super) reached: SocketAddr,
    pub(super) executor: Executor,
    pub(super) executor_proxy: StreamProxy,
    pub(super) backend_proxy: StreamProxy,
    pub(super) registry_proxy: StreamProxy,
    pub(super) request_proxy: StreamProxy,
    /// Name under which the node was last started.
    pub(super) name: String,
    pub(super) child: Option<Child>,
    pub(super) state: Arc<Mutex<NodeState>>,
    pub(super) checker: Arc<Mutex<Checker>>,
    pub(super) load_threads: Vec<JoinHandle<()>>,
    pub(super) load_rate: Arc<Mutex<LoadRate>>,
}

impl ScenarioNode {
    /// Excuses missing answers from now on: until the given time, or until the faults end if
    /// `None`.
    pub(super) fn excuse(&self, until: Option<Instant>) {
        lock(&self.state).excused.push((Instant::now(), until));
    }

    /// Ends all excused periods after [`EXCUSE_AFTER_FAULT`], except those that end later.
    pub(super) fn end_excuses(&self) {
        let end = Instant::now() + EXCUSE_AFTER_FAULT;
        lock(&self.state)
            .excused
            .iter_mut()
            .for_each(|(_, until)| *until = Some(until.map_or(end, |u| u.max(end))));
    }

    /// Returns the id of the node's process, if one was started.
    pub(super) fn pid(&self) -> Option<Pid> {
        self.child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32))
    }

    /// Sends a signal to the node's process.
    pub(super) fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }
}

/// Starts a thread that records the log lines of a process; returns the channel with the listening
/// address that the process logs.
fn record_log(
    stderr: ChildStderr,
    record: Arc<EventRecord>,
    node: String,
) -> Receiver<Result<SocketAddr, std::net::AddrParseError>> {
    let (address_sender, addresses) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            if let Some((_, rest)) = line.split_once("listening address=") {
                let address = rest.split('"').next().unwrap_or_default();
                let _ = address_sender.send(address.parse::<SocketAddr>());
            }
            record.line(&node, &line);
        }
    });
    addresses
}

/// Waits for a process to end; returns `None` if it still runs after `timeout`.
fn wait_for_exit(child: &mut Child, timeout: Duration) -> Option<ExitStatus> {
    let until = Instant::now() + timeout;
    loop {
        match child.try_wait() {
            Ok(Some(status)) => return Some(status),
            Ok(None) if Instant::now() < until => thread::sleep(Duration::from_millis(5)),
            _ => return None,
        }
    }
}

impl FaultScenario {
    /// Starts a node's process and waits until it listens. `name` and `program` replace the node's
    /// name and the program version in its settings, if given.
    pub(super) fn start_node(
        &mut self,
        n: usize,
        name: Option<&str>,
        program: Option<&str>,
    ) -> Result<(), ScenarioError> {
        let own_name = name.unwrap_or(&self.nodes[n].place.name).to_owned();
        let mut child = self.spawn_process(n, &own_name, program)?;
        let Some(stderr) = child.stderr.take() else {
            return Err(io::Error::from(ErrorKind::BrokenPipe).into());
        };
        let place_name = self.nodes[n].place.name.clone();
        let addresses = record_log(stderr, Arc::clone(&self.record), place_name.clone());
        let listening = addresses.recv_timeout(START_TIMEOUT);
        let node = &mut self.nodes[n];
        node.child = Some(child);
        let Ok(Ok(listen)) = listening else {
            let joined = self.record.joined();
            let last_events = joined.iter().rev().take(LAST_EVENTS);
            return Err(ScenarioError::NotListening {
                node: place_name,
                last_events: last_events.map(ToString::to_string).collect(),
            });
        };
        *lock(&node.request_proxy.to) = listen;
        node.name = own_name;
        {
            let mut state = lock(&node.state);
            (state.is_running, state.is_paused) = (true, false);
        }
        node.end_excuses();
        self.record.note(
            &node.place.name,
            "rig",
            format!("started as {} on {listen}", node.name),
        );
        self.start_load(n);
        Ok(())
    }

    /// Writes the node's files and spawns its process.
    fn spawn_process(
        &mut self,
        n: usize,
        own_name: &str,
        program: Option<&str>,
    ) -> io::Result<Child> {
        let later = self
            .setup
            .later
            .clone()
            .filter(|_| program == Some("later"));
        let exe = later.clone().unwrap_or_else(|| self.setup.exe.clone());
        let program = program.filter(|_| later.is_none());
        let settings = self.settings(1, &self.rules(), "", program);
        let settings = self.write_file("xml", &settings)?;
        self.nodes[n].executor.node_starts();
        let config = self.node_config(n, own_name);
        let config = self.write_file("json", &config)?;
        let node = &self.nodes[n];
        Command::new(exe)
            .args(["serve", "--log", "json", "--settings"])
            .arg(settings)
            .env("PROXY_CONFIG", config)
            .env("MADDERPOINT_ZONE", &node.place.zone)
            .env("MADDERPOINT_FLEET_BIND", node.bind.to_string())
            .env("MADDERPOINT_FLEET_ADVERTISE", node.reached.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
    }

    /// Starts the load threads of a node, unless they already run.
    fn start_load(&mut self, n: usize) {
        let callers = if self.script.load > 0 {
            self.script.callers.max(1)
        } else {
            0
        };
        let node = &mut self.nodes[n];
        for caller in node.load_threads.len() as u64..callers {
            let load = NodeLoad {
                address: node.request_proxy.address,
                rate: Arc::clone(&node.load_rate),
                caller: (n as u64) << 32 | caller,
                seed: self.script.seed,
                state: Arc::clone(&node.state),
                checker: Arc::clone(&node.checker),
                executor: node.executor.clone(),
                stop: Arc::clone(&self.stop),
            };
            node.load_threads.push(thread::spawn(move || load.run()));
        }
    }

    /// Stops a node's process with SIGTERM; records a failure if it ends with an error or not in
    /// time.
    pub(super) fn stop_node(&mut self, n: usize) {
        let Some(mut child) = self.nodes[n].child.take() else {
            return;
        };
        let name = self.nodes[n].place.name.clone();
        if let Some(pid) = Pid::from_raw(child.id() as i32) {
            let _ = kill_process(pid, Signal::CONT);
            let _ = kill_process(pid, Signal::TERM);
        }
        let ended = wait_for_exit(&mut child, STOP_TIMEOUT);
        lock(&self.nodes[n].state).is_running = false;
        match ended {
            Some(status) if status.success() => {}
            Some(status) => self.fail(format!("{name} ended with {status}")),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                self.fail(format!(
                    "{name} did not end within {STOP_TIMEOUT:?} after SIGTERM"
                ));
            }
        }
    }
}

/// Removes the stored versions of an earlier run whose process had the same id.
pub(super) fn remove_stale_versions(dir: &Path) {
    let _ = std::fs::remove_dir_all(dir);
}

/// Starts a service registry that answers every report with 204.
pub(super) fn start_service_registry() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut buffer = [0; 1024];
            let _ = stream.set_read_timeout(Some(Duration::from_millis(300)));
            let _ = stream.read(&mut buffer);
            let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
        }
    });
    Ok(address)
}
