//! The fault scenario runner. It starts several processes of the program, each with its own
//! executor, service registry and load, and one backend service for all, with a fault proxy on
//! every link. It plays the scenario's faults, checks the expectations while the faults are in
//! force, and checks the joined event record afterwards.
//!
//! All sockets are on the loopback interface. Dropping a scenario kills every process that it
//! started. `madderpoint-fault-test` and the process-level tests of `crates/node` use the runner.

mod changes;
mod checks;
mod config;
mod expectations;
mod load;
mod observe;
mod outcome;
mod permit;
mod process;
mod steps;

pub use outcome::Outcome;

use crate::backend_service::{BackendConfig, BackendService};
use crate::event_record::EventRecord;
use crate::fault_proxy::{DatagramProxy, StreamProxy};
use crate::faults::{Faults, NodeLocation};
use crate::keys::KeyRecord;
use crate::peers::unused_address;
use crate::scenario::{LinkKind, Scenario};
use load::LoadRate;
use observe::Observations;
use permit::Permit;
use process::{ScenarioNode, remove_stale_versions, start_service_registry};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Authentication key of the cluster's datagrams.
const AUTH_KEY: [u8; 32] = [0x5a; 32];
/// Name of the cluster in the nodes' settings.
const CLUSTER_NAME: &str = "rig";
/// Longest wait of a status query for one datagram of the reply.
const QUERY_TIMEOUT: Duration = Duration::from_millis(40);
/// Pause between two rounds of status queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(15);
/// Port of node 0; node `n` listens on `FIRST_PORT + n`.
const FIRST_PORT: u16 = 7000;

/// Number of the next scenario of this process; each scenario has its own loopback address.
static NEXT_SCENARIO: AtomicU8 = AtomicU8::new(1);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Error of reading or starting a scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The scenario's file could not be read.
    #[error("scenario file {file} cannot be read: {source}")]
    Unreadable {
        /// The path of the scenario's file.
        file: String,
        /// The operating system's error of reading the file.
        source: io::Error,
    },
    /// The scenario's file is not valid; the diagnostics name the file, line and field.
    #[error("{0}")]
    Invalid(madderpoint_settings::Diagnostics),
    /// A socket, file, thread or process could not be created.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A process did not report its listening address within 20 s.
    #[error("{node} did not listen within 20 s; last log lines: {last_events:?}")]
    NotListening {
        /// The node's name in the scenario.
        node: String,
        /// Last lines of the joined event record, newest first.
        last_events: Vec<String>,
    },
}

/// The program under test, and the directory for its files.
#[derive(Clone, Debug)]
pub struct ProgramSetup {
    /// The program's executable file.
    pub exe: PathBuf,
    /// Executable file of another build of the program, used for nodes that a scenario starts as
    /// program `later`; `None` if no scenario does so.
    pub later: Option<PathBuf>,
    /// The directory for settings, configuration and key files.
    pub dir: PathBuf,
    /// Additional settings text, inserted into the element `<translator>` after `<fleet>`.
    pub extra_settings: String,
}

/// A scenario whose processes, peers and proxies have been started.
pub struct FaultScenario {
    script: Scenario,
    setup: ProgramSetup,
    nodes: Vec<ScenarioNode>,
    faults: Arc<Faults>,
    _datagram_proxy: DatagramProxy,
    record: Arc<EventRecord>,
    /// Last status reply of each node; the condition variable is notified after each round of
    /// queries.
    seen: Arc<(Mutex<Observations>, Condvar)>,
    stop: Arc<AtomicBool>,
    outcome: Outcome,
    /// Number of files written so far, used in their names.
    file_count: usize,
    /// File of the cluster's authentication keys, the same for all nodes.
    key_file: PathBuf,
    backend: BackendService,
    keys: KeyRecord,
    /// Number of process pauses played so far.
    pause_count: usize,
    /// Held until the scenario is dropped.
    _permit: Permit,
}

/// Returns a loopback address that no other scenario on this machine uses. The address is made of
/// the process id and the scenario's number.
fn own_address() -> IpAddr {
    let pid = std::process::id();
    let [_, _, high, low] = pid.to_be_bytes();
    let number = NEXT_SCENARIO.fetch_add(1, SeqCst).max(1);
    Ipv4Addr::new(127, 64 | (high & 63), low, number).into()
}

/// Returns the name, zone and listening address of every node.
fn node_locations(script: &Scenario) -> Vec<(NodeLocation, SocketAddr)> {
    let ip = own_address();
    (0..script.nodes)
        .map(|n| {
            let location = NodeLocation {
                name: format!("n{n}"),
                zone: format!("z{}", n % script.zones.max(1)),
            };
            (location, SocketAddr::new(ip, FIRST_PORT + n as u16))
        })
        .collect()
}

/// Creates the stand-in peers and proxies of every node, without starting a process.
fn create_nodes(
    script: &Scenario,
    locations: Vec<(NodeLocation, SocketAddr)>,
    datagram_proxy: &DatagramProxy,
    faults: &Arc<Faults>,
    backend: &BackendService,
    keys: &KeyRecord,
) -> io::Result<Vec<ScenarioNode>> {
    let callers = script.callers.max(1);
    let load_rate = LoadRate {
        interval: Duration::from_secs(1) * callers as u32 / script.load.max(1) as u32,
        keys: (0, script.keys.count.saturating_sub(1)),
    };
    let mut nodes = Vec::new();
    for (n, (place, bind)) in locations.into_iter().enumerate() {
        let executor = crate::executor::Executor::start();
        let backend_address = backend.listen(&place.zone)?;
        executor.calls(true);
        if script.keys.count > 0 {
            executor.record_keys(keys.clone());
        }
        let proxy = |link, to| StreamProxy::start(link, place.clone(), to, Arc::clone(faults));
        nodes.push(ScenarioNode {
            bind,
            reached: datagram_proxy.addresses[n],
            executor_proxy: proxy(LinkKind::Kernel, executor.address)?,
            backend_proxy: proxy(LinkKind::Backend, backend_address)?,
            registry_proxy: proxy(LinkKind::Members, start_service_registry()?)?,
            request_proxy: proxy(LinkKind::Load, unused_address())?,
            executor,
            name: place.name.clone(),
            place,
            child: None,
            state: Arc::default(),
            checker: Arc::default(),
            load_threads: Vec::new(),
            load_rate: Arc::new(Mutex::new(load_rate)),
        });
    }
    Ok(nodes)
}

impl FaultScenario {
    /// Waits until fewer scenarios run in this process than the machine has room for, creates all
    /// peers and proxies and starts the nodes that are not absent at the beginning.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket, file or process cannot be created, or if a process does not
    /// listen within 20 s.
    pub fn start(script: Scenario, setup: ProgramSetup) -> Result<FaultScenario, ScenarioError> {
        let permit = Permit::acquire();
        let locations = node_locations(&script);
        let faults = Arc::new(Faults::new(script.seed));
        let datagram_proxy = DatagramProxy::start(locations.clone(), Arc::clone(&faults))?;
        let backend = BackendService::start(BackendConfig {
            work: script.backend.work,
            survives: script.backend.survives,
            down: script.backend.down,
            warm: script.backend.warm,
        });
        let keys = KeyRecord::default();
        let nodes = create_nodes(
            &script,
            locations,
            &datagram_proxy,
            &faults,
            &backend,
            &keys,
        )?;
        let mut scenario = FaultScenario {
            seen: Arc::new((Mutex::new(vec![None; nodes.len()]), Condvar::new())),
            script,
            setup,
            nodes,
            faults,
            _datagram_proxy: datagram_proxy,
            record: Arc::new(EventRecord::default()),
            stop: Arc::default(),
            outcome: Outcome::default(),
            file_count: 0,
            key_file: PathBuf::new(),
            backend,
            keys,
            pause_count: 0,
            _permit: permit,
        };
        let key: String = AUTH_KEY.iter().map(|b| format!("{b:02x}")).collect();
        scenario.key_file = scenario.write_file("keys", &key)?;
        remove_stale_versions(&scenario.versions_dir());
        for n in 0..scenario.nodes.len() {
            if !scenario
                .script
                .absent
                .contains(&scenario.nodes[n].place.name)
            {
                scenario.start_node(n, None, None)?;
            }
        }
        scenario.start_observing()?;
        Ok(scenario)
    }

    /// Plays all steps at their times, stops all processes and returns the result of the final
    /// checks.
    pub fn run(mut self) -> Outcome {
        let begun = Instant::now();
        let steps = std::mem::take(&mut self.script.steps);
        for (index, step) in steps.iter().enumerate() {
            thread::sleep((begun + step.at).saturating_duration_since(Instant::now()));
            self.record
                .note("rig", "step", format!("{:?}", step.action));
            self.apply(index, &step.action);
        }
        self.script.steps = steps;
        thread::sleep((begun + self.script.time).saturating_duration_since(Instant::now()));
        self.finish()
    }

    /// Records the text of a failed expectation or check, which the outcome lists.
    fn fail(&mut self, failure: String) {
        self.record.note("rig", "FAILED", failure.clone());
        self.outcome.failures.push(failure);
    }

    /// Records the time from `begun` until an expectation held.
    fn record_duration(&mut self, expectation: String, begun: Instant) {
        let elapsed = begun.elapsed();
        self.record.note(
            "rig",
            "took",
            format!("{expectation}: {} ms", elapsed.as_millis()),
        );
        self.outcome
            .durations
            .push((expectation, elapsed.as_secs_f64()));
    }

    /// Returns the index of the node with this name in the scenario; 0 if there is none.
    fn node(&self, name: &str) -> usize {
        self.nodes
            .iter()
            .position(|node| node.place.name == name)
            .unwrap_or(0)
    }

    /// Returns whether a node's process runs and is not paused.
    fn is_up(&self, n: usize) -> bool {
        let state = lock(&self.nodes[n].state);
        state.is_running && !state.is_paused
    }
}

impl Drop for FaultScenario {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Reads and checks a scenario file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is not a valid scenario.
pub fn read(file: &Path) -> Result<Scenario, ScenarioError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|source| ScenarioError::Unreadable {
        file: name.clone(),
        source,
    })?;
    crate::scenario::read(&name, &text).map_err(ScenarioError::Invalid)
}
