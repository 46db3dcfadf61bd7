//! Several processes of the program, each with its kernel, back end and load, every link through a
//! relay of ours; faults by a timetable; what must hold is looked at while it runs and over the
//! joined record afterwards.

mod changes;

use crate::checker::{Checker, Statuses};
use crate::faults::{Faults, Place};
use crate::keys::KeyRecord;
use crate::load::rid;
use crate::peers::{nobody, unix_ms};
use crate::record::Record;
use crate::relay::{Datagrams, Stream};
use crate::scenario::{Action, KeyedLimit as LimitedKeys, LinkKind, NodeSelector, Scenario};
use crate::service::{Nature, Recorded, Service};
use crate::wire::{self, Answer};
use crate::worker::Worker;
use madderpoint_membership::Liveness;
use madderpoint_membership::datagram_auth::AuthKeys;
use madderpoint_membership::observer::{NodeSnapshot, Observer};
use madderpoint_shared_state::status::StatusSnapshot;
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const KEY: [u8; 32] = [0x5a; 32];
const FLEET: &str = "rig";
/// The client timeout of the stand-in's settings, with some slack for a machine that is busy.
const TIMEOUT: Duration = Duration::from_millis(3500);
/// What a process may take to listen, and to end when it is told to.
const START: Duration = Duration::from_secs(20);
const END: Duration = Duration::from_secs(10);
/// How long a node's answer to a look is waited for, and the time between looks.
const LOOK: Duration = Duration::from_millis(40);
const BETWEEN: Duration = Duration::from_millis(15);
/// Lines of the joined record that a failure shows.
const SHOWN: usize = 120;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where the program is, and where its files may be.
#[derive(Clone, Debug)]
pub struct Setting {
    pub exe: PathBuf,
    /// Another build of it, which nodes are that are started as program `later`.
    pub later: Option<PathBuf>,
    pub dir: PathBuf,
    /// More of the settings' text, inside the element `<translator>`, after `<fleet>`.
    pub more: String,
}

/// A process's state, shared with its load and the watcher.
#[derive(Default)]
struct State {
    running: bool,
    paused: bool,
    /// Since when, and until when, what it does not answer is not held against it.
    excused: Vec<(Instant, Option<Instant>)>,
}

struct Node {
    place: Place,
    bind: SocketAddr,
    reached: SocketAddr,
    worker: Worker,
    kernel: Stream,
    backend: Stream,
    members: Stream,
    front: Stream,
    /// The name that it was started under.
    name: String,
    child: Option<Child>,
    state: Arc<Mutex<State>>,
    checker: Arc<Mutex<Checker>>,
    load: Vec<JoinHandle<()>>,
    /// How often it is asked, and with which keys.
    pace: Arc<Mutex<Pace>>,
}

/// How often a node is asked by each caller, and with which keys.
#[derive(Clone, Copy, Debug)]
struct Pace {
    every: Duration,
    keys: (u64, u64),
}

impl Node {
    fn excuse(&self, until: Option<Instant>) {
        lock(&self.state).excused.push((Instant::now(), until));
    }

    fn excuse_ends(&self) {
        let now = Instant::now() + Duration::from_millis(500);
        lock(&self.state)
            .excused
            .iter_mut()
            .for_each(|(_, until)| *until = Some(until.map_or(now, |u| u.max(now))));
    }

    fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }
}

/// What a look found at each node, by its place.
type Seen = Vec<Option<(Instant, NodeSnapshot)>>;

/// What came of a play.
#[derive(Debug, Default)]
pub struct Outcome {
    /// What did not hold.
    pub failures: Vec<String>,
    /// How long things took, in seconds, by step.
    pub took: Vec<(String, f64)>,
    /// Answers of all loads, by status.
    pub statuses: Statuses,
    /// What the service below recorded, and what ran by key.
    pub below: Recorded,
    pub keys_ran: usize,
    /// By how many calls the worst second after a start of the service below was over what it takes
    /// then; below 0 if it was not.
    pub over_a_start: Option<f64>,
    /// The most nodes that ran each number of the settings on trial, before it was good.
    pub on_trial: BTreeMap<u64, usize>,
    /// The number of the settings that each node ran when the play was over.
    pub ran_last: BTreeMap<String, u64>,
    /// What became of datagrams at the relay.
    pub datagrams: BTreeMap<&'static str, u64>,
    /// The end of the joined record, where something failed.
    pub record: Vec<String>,
}

impl Outcome {
    /// Whether all nodes ran the same settings in the end.
    pub fn one_version_at_the_end(&self) -> bool {
        let mut numbers = self.ran_last.values();
        let first = numbers.next();
        first.is_some() && numbers.all(|number| Some(number) == first)
    }

    /// Panics with all that a failed test is to show.
    pub fn expect_good(&self, script: &Scenario) -> &Outcome {
        assert!(
            self.failures.is_empty(),
            "'{}', seed {}: {:#?}\n{:#?}\nthe record up to then:\n{}",
            script.name,
            script.seed,
            self.failures,
            script.steps,
            self.record.join("\n")
        );
        self
    }
}

/// A rig.
pub struct Rig {
    script: Scenario,
    setting: Setting,
    nodes: Vec<Node>,
    faults: Arc<Faults>,
    _datagrams: Datagrams,
    record: Arc<Record>,
    seen: Arc<(Mutex<Seen>, Condvar)>,
    stop: Arc<AtomicBool>,
    outcome: Outcome,
    files: usize,
    /// The file of the fleet's keys, the same for all nodes.
    key_file: PathBuf,
    /// The service below, and the record of keys.
    service: Service,
    keys: KeyRecord,
    pauses: usize,
}

static RIGS: AtomicU8 = AtomicU8::new(1);

/// An address of loopback that no other rig of this machine uses at this moment.
fn own_address() -> IpAddr {
    let pid = std::process::id();
    let [_, _, high, low] = pid.to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), low, RIGS.fetch_add(1, SeqCst).max(1)).into()
}

impl Rig {
    /// Sets all up and starts the nodes.
    pub fn start(script: Scenario, setting: Setting) -> std::io::Result<Rig> {
        let ip = own_address();
        let faults = Arc::new(Faults::new(script.seed));
        let record = Arc::new(Record::default());
        let places: Vec<(Place, SocketAddr)> = (0..script.nodes)
            .map(|n| {
                let place = Place {
                    name: format!("n{n}"),
                    zone: format!("z{}", n % script.zones.max(1)),
                };
                (place, SocketAddr::new(ip, 7000 + n as u16))
            })
            .collect();
        let datagrams = Datagrams::start(places.clone(), Arc::clone(&faults))?;
        let below = &script.below;
        let (work, survives) = (below.work, below.survives);
        let service = Service::start(Nature {
            work,
            survives,
            down: below.down,
            warm: below.warm,
        });
        let (mut nodes, keys) = (Vec::new(), KeyRecord::default());
        let callers = script.callers.max(1);
        let every = Duration::from_secs(1) * callers as u32 / script.load.max(1) as u32;
        let pace = Pace {
            every,
            keys: (0, script.keys.count.saturating_sub(1)),
        };
        for (n, (place, bind)) in places.into_iter().enumerate() {
            let (worker, backend) = (Worker::start(), service.listen(&place.zone)?);
            worker.calls(true);
            if script.keys.count > 0 {
                worker.record_keys(keys.clone());
            }
            let relay = |on, to| Stream::start(on, place.clone(), to, Arc::clone(&faults));
            nodes.push(Node {
                bind,
                reached: datagrams.addresses[n],
                kernel: relay(LinkKind::Kernel, worker.address)?,
                backend: relay(LinkKind::Backend, backend)?,
                members: relay(LinkKind::Members, members()?)?,
                front: relay(LinkKind::Load, nobody())?,
                worker,
                name: place.name.clone(),
                place,
                child: None,
                state: Arc::default(),
                checker: Arc::default(),
                load: Vec::new(),
                pace: Arc::new(Mutex::new(pace)),
            });
        }
        let seen = Arc::new((Mutex::new(vec![None; nodes.len()]), Condvar::new()));
        let mut rig = Rig {
            script,
            setting,
            nodes,
            faults,
            _datagrams: datagrams,
            record,
            seen,
            stop: Arc::default(),
            outcome: Outcome::default(),
            files: 0,
            key_file: PathBuf::new(),
            service,
            keys,
            pauses: 0,
        };
        let key: String = KEY.iter().map(|b| format!("{b:02x}")).collect();
        rig.key_file = rig.file("keys", &key)?;
        let _ = std::fs::remove_dir_all(rig.versions_dir()); // of a process of long ago with this number
        for n in 0..rig.nodes.len() {
            if !rig.script.absent.contains(&rig.nodes[n].place.name) {
                rig.start_node(n, None, None)?;
            }
        }
        rig.watch()?;
        Ok(rig)
    }

    fn file(&mut self, kind: &str, text: &str) -> std::io::Result<PathBuf> {
        self.files += 1;
        let name = format!(
            "rig-{}-{}-{}.{kind}",
            std::process::id(),
            self.nodes[0].bind.ip(),
            self.files
        );
        let path = self.setting.dir.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// What the settings say of all that is shared.
    fn shared(&self) -> String {
        let Scenario {
            calls_a_second,
            calls_in_hand,
            repeats_a_second,
            floor,
            below,
            keys,
            ..
        } = &self.script;
        let mut text = String::new();
        if calls_a_second + calls_in_hand + repeats_a_second > 0 || keys.count > 0 || below.judged {
            text += "<arbiter name=\"n0\"/><arbiter name=\"n1\"/><arbiter name=\"n2\"/>";
        }
        let most = self.nodes.len();
        let mut budget = |name: &str, limit: u32, kind: &str, more: &str| {
            if limit > 0 {
                text += &format!(
                    "<calls-budget name=\"{name}\" {kind}=\"{limit}\" floor=\"{floor}\" nodes-most=\"{most}\" {more}/>"
                );
            }
        };
        budget("below", *calls_a_second, "a-second", "");
        budget("hands", *calls_in_hand, "in-hand", "longest=\"1500ms\"");
        budget("repeats", *repeats_a_second, "a-second", "of=\"repeats\"");
        if below.judged {
            text += "<service name=\"below\" slow=\"700ms\"/>";
        }
        text
    }

    /// Rules, where there is a limit by key: its bucket.
    fn rules(&self) -> String {
        let LimitedKeys {
            count,
            a_second,
            burst,
            in_hand,
            floor,
        } = self.script.keys;
        if count == 0 {
            return String::new();
        }
        let most = self.nodes.len();
        let rate = if a_second > 0 {
            format!(" rate=\"{a_second}/s\" burst=\"{burst}\"")
        } else {
            String::new()
        };
        let hands = if in_hand > 0 {
            format!(" in-hand=\"{in_hand}\" longest=\"1500ms\"")
        } else {
            String::new()
        };
        format!(
            "<rules><parameter name=\"HTTP_X_KEY\" most=\"64B\"/><bucket name=\"by-key\"{rate}{hands} scope=\"fleet\" \
             floor=\"{floor}\" nodes-most=\"{most}\"/><rule name=\"all\"><when>true</when><give>\
             <limit bucket=\"by-key\">params.HTTP_X_KEY</limit></give></rule></rules>"
        )
    }

    fn start_node(
        &mut self,
        n: usize,
        name: Option<&str>,
        program: Option<&str>,
    ) -> std::io::Result<()> {
        let later = self
            .setting
            .later
            .clone()
            .filter(|_| program == Some("later"));
        let exe = later.clone().unwrap_or_else(|| self.setting.exe.clone());
        let program = program.filter(|_| later.is_none());
        let settings = self.settings(1, &self.rules(), "", program);
        let settings = self.file("xml", &settings)?;
        let node = &self.nodes[n];
        node.worker.node_starts();
        let own = name.unwrap_or(&node.place.name).to_owned();
        let config = crate::program::told(
            node.kernel.address,
            node.backend.address,
            node.members.address,
            1024,
        );
        let mut config = config.replace("\"n3\"", &format!("\"{own}\""));
        if self.script.small.contains(&self.nodes[n].place.name) {
            config = config.replace("\"memory_mb\": 192", "\"memory_mb\": 32");
        }
        let config = self.file("json", &config)?;
        let mut child = Command::new(exe)
            .args(["serve", "--log", "json", "--settings"])
            .arg(settings)
            .env("PROXY_CONFIG", config)
            .env("MADDERPOINT_ZONE", &self.nodes[n].place.zone)
            .env("MADDERPOINT_FLEET_BIND", self.nodes[n].bind.to_string())
            .env(
                "MADDERPOINT_FLEET_ADVERTISE",
                self.nodes[n].reached.to_string(),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let Some(stderr) = child.stderr.take() else {
            return Err(ErrorKind::BrokenPipe.into());
        };
        let (record, who) = (Arc::clone(&self.record), self.nodes[n].place.name.clone());
        let (listens, listening) = std::sync::mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let Some((_, rest)) = line.split_once("listening on ") {
                    let address = rest.split('"').next().unwrap_or_default();
                    let _ = listens.send(address.parse::<SocketAddr>());
                }
                record.line(&who, &line);
            }
        });
        let listen = listening.recv_timeout(START);
        let node = &mut self.nodes[n];
        node.child = Some(child);
        let Ok(Ok(listen)) = listen else {
            let tail: Vec<String> = self
                .record
                .joined()
                .iter()
                .rev()
                .take(5)
                .map(ToString::to_string)
                .collect();
            return Err(std::io::Error::other(format!(
                "{} did not listen: {tail:?}",
                node.place.name
            )));
        };
        *lock(&node.front.to) = listen;
        node.name = own;
        {
            let mut state = lock(&node.state);
            (state.running, state.paused) = (true, false);
        }
        node.excuse_ends();
        self.record.note(
            &node.place.name,
            "rig",
            format!("started as {} on {listen}", node.name),
        );
        let callers = if self.script.load > 0 {
            self.script.callers.max(1)
        } else {
            0
        };
        for caller in node.load.len() as u64..callers {
            let load = Load {
                front: node.front.address,
                pace: Arc::clone(&node.pace),
                caller: (n as u64) << 32 | caller,
                seed: self.script.seed,
                state: Arc::clone(&node.state),
                checker: Arc::clone(&node.checker),
                worker: node.worker.clone(),
                stop: Arc::clone(&self.stop),
            };
            node.load.push(thread::spawn(move || load.run()));
        }
        Ok(())
    }

    /// Looks at what every node holds, one after the other, as often as that goes.
    fn watch(&self) -> std::io::Result<()> {
        let (seen, stop) = (Arc::clone(&self.seen), Arc::clone(&self.stop));
        let nodes: Vec<(SocketAddr, Arc<Mutex<State>>)> = self
            .nodes
            .iter()
            .map(|node| (node.bind, Arc::clone(&node.state)))
            .collect();
        let socket = UdpSocket::bind((nodes[0].0.ip(), 0))?;
        socket.set_read_timeout(Some(LOOK))?;
        let seed = (u64::from(std::process::id()) << 8) | u64::from(RIGS.load(SeqCst));
        thread::Builder::new().name("watch".into()).spawn(move || {
            let keys = || AuthKeys::new(&[KEY.to_vec()]).expect("a key of 32 bytes");
            let begun = Instant::now();
            let mut observers: Vec<Observer> = (0..nodes.len())
                .map(|n| {
                    Observer::new(FLEET, keys(), (seed << 8) | (n as u64 + 1), 600_000_000_000)
                })
                .collect();
            while !stop.load(SeqCst) {
                for (n, (at, state)) in nodes.iter().enumerate() {
                    let up = {
                        let state = lock(state);
                        state.running && !state.paused
                    };
                    let holding = if up {
                        look(&socket, *at, &mut observers[n], begun)
                    } else {
                        None
                    };
                    if !up || holding.is_some() {
                        lock(&seen.0)[n] = holding.map(|holding| (Instant::now(), holding));
                    }
                }
                seen.1.notify_all();
                thread::sleep(BETWEEN);
            }
        })?;
        Ok(())
    }

    fn node(&self, name: &str) -> usize {
        self.nodes
            .iter()
            .position(|node| node.place.name == name)
            .unwrap_or(0)
    }

    /// Plays the timetable to its end.
    pub fn play(mut self) -> Outcome {
        let begun = Instant::now();
        let steps = std::mem::take(&mut self.script.steps);
        for (at, step) in steps.iter().enumerate() {
            thread::sleep((begun + step.at).saturating_duration_since(Instant::now()));
            self.record
                .note("rig", "step", format!("{:?}", step.action));
            self.act(at, &step.action);
        }
        self.script.steps = steps;
        thread::sleep((begun + self.script.time).saturating_duration_since(Instant::now()));
        self.end()
    }

    fn fail(&mut self, what: String) {
        self.record.note("rig", "FAILED", what.clone());
        self.outcome.failures.push(what);
    }

    fn act(&mut self, at: usize, action: &Action) {
        match action {
            Action::Link { faulty, time } => {
                if faulty.on != LinkKind::Fleet {
                    let until = time.map(|time| Instant::now() + time + Duration::from_secs(1));
                    for node in &self.nodes {
                        if faulty.from.has(&node.place.name, &node.place.zone) {
                            node.excuse(until);
                        }
                    }
                }
                self.faults.put(faulty.clone(), *time);
            }
            Action::Heal => {
                self.faults.heal();
                self.nodes
                    .iter()
                    .filter(|node| lock(&node.state).running)
                    .for_each(Node::excuse_ends);
            }
            Action::Kill(node) => {
                let n = self.node(node);
                self.nodes[n].excuse(None);
                lock(&self.nodes[n].state).running = false;
                if let Some(mut child) = self.nodes[n].child.take() {
                    let _ = child.kill();
                    let _ = child.wait();
                }
            }
            Action::Stop(node) => {
                let n = self.node(node);
                self.nodes[n].excuse(None);
                self.stop_node(n);
            }
            Action::Pause { node, time } => {
                let n = self.node(node);
                self.pauses += 1;
                self.nodes[n].excuse(Some(Instant::now() + *time + Duration::from_secs(1)));
                lock(&self.nodes[n].state).paused = true;
                self.nodes[n].signal(Signal::STOP);
                let pid = self.nodes[n]
                    .child
                    .as_ref()
                    .and_then(|child| Pid::from_raw(child.id() as i32));
                let (state, time) = (Arc::clone(&self.nodes[n].state), *time);
                let (record, name) = (Arc::clone(&self.record), node.clone());
                thread::spawn(move || {
                    thread::sleep(time);
                    if let Some(pid) = pid {
                        let _ = kill_process(pid, Signal::CONT);
                    }
                    lock(&state).paused = false;
                    record.note(&name, "rig", "goes on");
                });
            }
            Action::Hup(node) => {
                let n = self.node(node);
                self.nodes[n].signal(Signal::HUP);
            }
            Action::Start {
                node,
                name,
                program,
            } => {
                let n = self.node(node);
                if let Err(e) = self.start_node(n, name.as_deref(), program.as_deref()) {
                    self.fail(format!("step {at}: {e}"));
                }
            }
            Action::Load { to, a_second, keys } => {
                let callers = self.script.callers.max(1) as u32;
                for node in &self.nodes {
                    if to.has(&node.place.name, &node.place.zone) {
                        let mut pace = lock(&node.pace);
                        pace.every = Duration::from_secs(1) * callers / (*a_second).max(1) as u32;
                        pace.keys = keys.unwrap_or(pace.keys);
                    }
                }
            }
            Action::Service {
                time, dies: true, ..
            } => self.service.dies(*time),
            Action::Service {
                time,
                zone,
                slower,
                fails,
                ..
            } => {
                self.service.trouble(zone.clone(), *time, *slower, *fails);
            }
            Action::Holds { node, what, within } => {
                let (begun, n) = (Instant::now(), self.node(node));
                match self.holds(n, what, begun + *within) {
                    Ok(()) => self.took(format!("{node} holds {what}, step {at}"), begun),
                    Err(found) => {
                        self.fail(format!(
                            "step {at}: {node} did not hold {what} within {within:?}: {found}"
                        ));
                    }
                }
            }
            Action::Used {
                over,
                least,
                within,
            } => {
                let begun = Instant::now();
                let limit = f64::from(self.script.calls_a_second.max(1)) * over.as_secs_f64();
                let mut used = 0.0;
                while begun.elapsed() < *within && used < *least {
                    thread::sleep(Duration::from_millis(50));
                    used = self.service.lately(*over) as f64 / limit;
                }
                if used >= *least {
                    self.took(format!("{least} of the limit is used, step {at}"), begun);
                } else {
                    self.fail(format!(
                        "step {at}: {used:.2} of the limit is used after {within:?}, {least} wanted"
                    ));
                }
            }
            Action::Offer {
                node,
                number,
                change,
                turned_down,
            } => {
                self.offer(at, node, *number, change, *turned_down);
            }
            Action::Disk { node, full } => self.fill(at, node, *full),
            Action::EndChange { node, back } => self.end_change(at, node, *back),
            Action::Runs { to, number, within } => {
                let begun = Instant::now();
                match self.wait(begun + *within, |rig, seen| {
                    rig.not_running(seen, to, *number)
                }) {
                    Ok(()) => self.took(format!("all run {number}, step {at}"), begun),
                    Err(what) => self.fail(format!("step {at}: not so within {within:?}: {what}")),
                }
            }
            Action::Change {
                to,
                number,
                fate,
                stage,
                within,
            } => {
                self.change_is(at, to, (*number, fate, *stage), *within);
            }
            Action::Stranger { to, a_second, time } => self.stranger(to, *a_second, *time),
            Action::Settled { within, sides } => {
                let begun = Instant::now();
                match self.wait(begun + *within, |rig, seen| rig.unsettled(seen, *sides)) {
                    Ok(()) => self.took(format!("settled, step {at}"), begun),
                    Err(what) => {
                        self.fail(format!("step {at}: not settled within {within:?}: {what}"))
                    }
                }
            }
            Action::Sees {
                node,
                other,
                held,
                within,
            } => {
                let (begun, n) = (Instant::now(), self.node(node));
                let sees = |rig: &Rig, seen: &Seen| rig.unlike(seen, n, other, held);
                match self.wait(begun + *within, sees) {
                    Ok(()) => {
                        self.took(format!("{node} holds {other} for {held}, step {at}"), begun)
                    }
                    Err(what) => self.fail(format!("step {at}: not so within {within:?}: {what}")),
                }
            }
        }
    }

    /// Asks a node for all that it holds of what is shared, until it holds this; else gives what it
    /// held last.
    fn holds(&self, n: usize, what: &str, until: Instant) -> Result<(), String> {
        let node = &self.nodes[n];
        let socket = UdpSocket::bind((node.bind.ip(), 0)).map_err(|e| e.to_string())?;
        socket
            .set_read_timeout(Some(LOOK))
            .map_err(|e| e.to_string())?;
        let seed = u64::from(std::process::id()) << 24
            | u64::from(socket.local_addr().map_or(1, |a| a.port()));
        let keys = AuthKeys::new(&[KEY.to_vec()])?;
        let mut observer = Observer::new(FLEET, keys, seed | 1 << 50, 600_000_000_000).about(1);
        let (begun, mut last) = (Instant::now(), "nothing".to_owned());
        while Instant::now() < until {
            if let Some(bytes) = pages(&socket, node.bind, &mut observer, begun) {
                let shown = StatusSnapshot::decode(bytes.as_slice()).map_err(|e| e.to_string())?;
                if has(&shown, what) {
                    return Ok(());
                }
                last = shown.why().join("; ");
            }
            thread::sleep(BETWEEN);
        }
        Err(last)
    }

    fn took(&mut self, what: String, begun: Instant) {
        self.record.note(
            "rig",
            "took",
            format!("{what}: {} ms", begun.elapsed().as_millis()),
        );
        self.outcome
            .took
            .push((what, begun.elapsed().as_secs_f64()));
    }

    /// Waits until a look finds nothing wrong; else gives what the last one found.
    fn wait(
        &self,
        until: Instant,
        wrong: impl Fn(&Rig, &Seen) -> Option<String>,
    ) -> Result<(), String> {
        let mut seen = lock(&self.seen.0);
        loop {
            let Some(what) = wrong(self, &seen) else {
                return Ok(());
            };
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(what);
            }
            let waited = self
                .seen
                .1
                .wait_timeout(seen, left.min(Duration::from_millis(200)));
            seen = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn is_up(&self, n: usize) -> bool {
        let state = lock(&self.nodes[n].state);
        state.running && !state.paused
    }

    /// Nodes that are up, in groups that hear each other, if by way of others.
    fn groups(&self) -> Vec<Vec<usize>> {
        let mut left: Vec<usize> = (0..self.nodes.len()).filter(|&n| self.is_up(n)).collect();
        let mut groups = Vec::new();
        while let Some(first) = left.pop() {
            let (mut group, mut at) = (vec![first], 0);
            while at < group.len() {
                let here = &self.nodes[group[at]].place;
                let hears = |n: &usize| {
                    let there = &self.nodes[*n].place;
                    !self.faults.is_cut(here, there) && !self.faults.is_cut(there, here)
                };
                let (found, rest): (Vec<usize>, Vec<usize>) = left.into_iter().partition(hears);
                group.extend(found);
                left = rest;
                at += 1;
            }
            groups.push(group);
        }
        groups
    }

    /// What keeps the fleet from being settled in so many groups.
    fn unsettled(&self, seen: &Seen, sides: usize) -> Option<String> {
        let groups = self.groups();
        if groups.len() != sides {
            return Some(format!(
                "{} groups that hear each other, {sides} wanted",
                groups.len()
            ));
        }
        for group in groups {
            let names: BTreeSet<&str> =
                group.iter().map(|&n| self.nodes[n].name.as_str()).collect();
            let mut digest = None;
            for n in group {
                let name = &self.nodes[n].place.name;
                let Some((_, holding)) = &seen[n] else {
                    return Some(format!("{name} was not seen yet"));
                };
                let there = holding
                    .members
                    .values()
                    .filter(|member| member.status.is_present());
                let there: BTreeSet<&str> = there.map(|member| member.name.as_str()).collect();
                if there != names {
                    return Some(format!(
                        "{name} holds {there:?} for there, and {names:?} are"
                    ));
                }
                if *digest.get_or_insert(holding.digest) != holding.digest {
                    return Some(format!("{name} holds another digest than its group"));
                }
            }
        }
        None
    }

    /// What keeps a node from holding another so.
    fn unlike(&self, seen: &Seen, n: usize, other: &str, held: &str) -> Option<String> {
        let name = &self.nodes[n].place.name;
        let Some((_, holding)) = &seen[n] else {
            return Some(format!("{name} was not seen yet"));
        };
        let found = match held {
            "mute" | "heard" => if holding.report.mute { "mute" } else { "heard" }.to_owned(),
            "unsure" | "sure" => if holding.report.unsure_ms > 0 {
                "unsure"
            } else {
                "sure"
            }
            .to_owned(),
            _ => {
                let member = holding.members.values().find(|member| member.name == other);
                match member {
                    None => "unknown".to_owned(),
                    Some(m) if held == "draining" && m.status == Liveness::Alive => {
                        m.phase.word().to_owned()
                    }
                    Some(m) if held.contains('.') => m.program.clone(),
                    Some(m) => m.status.word().to_owned(),
                }
            }
        };
        (found != held).then(|| format!("{name} holds {other} for {found}, not {held}"))
    }

    fn stranger(&self, to: &NodeSelector, a_second: u64, time: Duration) {
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
                let due = (begun.elapsed().as_secs_f64() * a_second as f64) as u64;
                for _ in sent..due {
                    let mut frame: Vec<u8> = (0..rng.random_range(1..200))
                        .map(|_| rng.random())
                        .collect();
                    if rng.random_bool(0.5) {
                        frame.splice(..0, *b"mf\x01"); // looks like one of ours at its beginning
                    }
                    let _ = socket.send_to(&frame, targets[rng.random_range(0..targets.len())]);
                }
                sent = due;
                thread::sleep(Duration::from_millis(5));
            }
            record.note("stranger", "rig", format!("sent {sent} datagrams"));
        });
    }

    fn stop_node(&mut self, n: usize) {
        let Some(mut child) = self.nodes[n].child.take() else {
            return;
        };
        let name = self.nodes[n].place.name.clone();
        if let Some(pid) = Pid::from_raw(child.id() as i32) {
            let _ = kill_process(pid, Signal::CONT);
            let _ = kill_process(pid, Signal::TERM);
        }
        let until = Instant::now() + END;
        let ended = loop {
            match child.try_wait() {
                Ok(Some(status)) => break Some(status),
                Ok(None) if Instant::now() < until => thread::sleep(Duration::from_millis(5)),
                _ => break None,
            }
        };
        lock(&self.nodes[n].state).running = false;
        match ended {
            Some(status) if status.success() => {}
            Some(status) => self.fail(format!("{name} ended with {status}")),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                self.fail(format!(
                    "{name} did not end within {END:?} after the notice to leave"
                ));
            }
        }
    }

    /// The records of the service below and of keys are the judges of all limits.
    fn limits(&mut self) {
        let below = self.service.recorded();
        (self.outcome.below, self.outcome.keys_ran) = (below, self.keys.ran());
        let nodes = self.nodes.len();
        let mut wrong = Vec::new();
        let limit = self.script.calls_a_second as usize;
        // What may be saved: 50 ms of the limit, or a call of each node; and of a second's edges a
        // call of each.
        let saved = (limit / 20).max(nodes) + nodes;
        if limit > 0 && below.most_in_a_second > limit + saved {
            let most = below.most_in_a_second;
            wrong.push(format!(
                "{most} calls below in a second, {limit} and {saved} saved allowed"
            ));
        }
        let hands = self.script.calls_in_hand as usize;
        // A call that was checked just before a node stood still goes out when it wakes.
        if hands > 0 && below.most_in_hand > hands + self.pauses {
            wrong.push(format!(
                "{} calls below in hand, {hands} allowed",
                below.most_in_hand
            ));
        }
        if below.falls > 0 {
            wrong.push(format!(
                "the service below died {} times by itself",
                below.falls
            ));
        }
        if self.script.below.slow_start {
            match self
                .service
                .over_a_start(f64::from(self.script.calls_a_second))
            {
                Some(over) if over <= 0.0 => self.outcome.over_a_start = Some(over),
                other => wrong.push(format!(
                    "calls after a start of the service below: {other:?} over what it takes"
                )),
            }
        }
        let tries = self
            .script
            .below
            .tries_most
            .filter(|most| below.came_while_down > *most);
        if let Some(most) = tries {
            wrong.push(format!(
                "{} tries while the service below was down, {most} allowed",
                below.came_while_down
            ));
        }
        let keys = &self.script.keys;
        let (in_hand, over) = self
            .keys
            .worst(f64::from(keys.a_second), f64::from(keys.burst));
        // Runs begin when the kernel hears of them: those let in one after the other may come
        // together, one of each node.
        if keys.a_second > 0 && over > nodes as f64 {
            wrong.push(format!("a key was over its limit by {over:.1}"));
        }
        if keys.in_hand > 0 && in_hand > keys.in_hand as usize + self.pauses {
            wrong.push(format!(
                "{in_hand} of a key in hand, {} allowed",
                keys.in_hand
            ));
        }
        self.outcome.failures.extend(wrong);
    }

    /// Stops all and looks at the whole of it.
    fn end(mut self) -> Outcome {
        for n in 0..self.nodes.len() {
            let died = match self.nodes[n].child.as_mut().map(Child::try_wait) {
                Some(Ok(Some(status))) => Some(status),
                _ => None,
            };
            if let Some(status) = died {
                self.fail(format!(
                    "{} ended by itself with {status}",
                    self.nodes[n].place.name
                ));
            }
        }
        self.outcome.ran_last = self.settings_run();
        self.stop.store(true, SeqCst);
        for node in &mut self.nodes {
            for load in node.load.drain(..) {
                let _ = load.join();
            }
        }
        self.faults.heal();
        (0..self.nodes.len()).for_each(|n| self.stop_node(n));
        for node in &self.nodes {
            let checker = std::mem::take(&mut *lock(&node.checker));
            match checker.verdict(&node.worker.started(), TIMEOUT) {
                Ok(statuses) => {
                    for (status, n) in statuses {
                        *self.outcome.statuses.entry(status).or_default() += n;
                    }
                }
                Err(wrong) => {
                    let more = wrong.len().saturating_sub(5);
                    let first: Vec<String> = wrong.into_iter().take(5).collect();
                    self.outcome
                        .failures
                        .push(format!("{}: {first:?} and {more} more", node.place.name));
                }
            }
        }
        self.limits();
        let joined = self.record.joined();
        self.changes_are_allowed(&joined);
        for line in &joined {
            if line.what.contains("panicked") || line.what.contains("invariant:") {
                self.outcome.failures.push(line.to_string());
            }
        }
        self.outcome.datagrams = self.faults.counts().into_iter().collect();
        if !self.outcome.failures.is_empty() {
            let first = joined
                .iter()
                .position(|line| line.part == "FAILED")
                .unwrap_or(joined.len());
            let from = first.saturating_sub(SHOWN);
            self.outcome.record = joined[from..joined.len().min(first + 10)]
                .iter()
                .map(ToString::to_string)
                .collect();
        }
        std::mem::take(&mut self.outcome)
    }
}

impl Drop for Rig {
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

/// A membership service that takes every report.
fn members() -> std::io::Result<SocketAddr> {
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

/// One look: all pages of what a node holds, or nothing if it does not answer.
fn look(
    socket: &UdpSocket,
    at: SocketAddr,
    observer: &mut Observer,
    begun: Instant,
) -> Option<NodeSnapshot> {
    let unix = || unix_ms().parse::<u64>().unwrap_or(0);
    let mut buffer = [0; 2048];
    for _ in 0..64 {
        let question = observer.question(unix());
        socket.send_to(&question, at).ok()?;
        loop {
            let (n, from) = socket.recv_from(&mut buffer).ok()?;
            let now = begun.elapsed().as_nanos() as u64;
            match observer.datagram(now, unix(), &buffer[..n]) {
                Ok((_, Some(holding))) if from == at => return Some(holding),
                Ok((true, None)) if from == at => break,
                _ => {} // late, from another look
            }
        }
    }
    None
}

/// One look at what a node shares: all pages, or nothing if it does not answer yet.
fn pages(
    socket: &UdpSocket,
    at: SocketAddr,
    observer: &mut Observer,
    begun: Instant,
) -> Option<Vec<u8>> {
    let unix = || unix_ms().parse::<u64>().unwrap_or(0);
    let mut buffer = [0; 2048];
    for _ in 0..64 {
        socket.send_to(&observer.question(unix()), at).ok()?;
        loop {
            let (n, _) = socket.recv_from(&mut buffer).ok()?;
            match observer.page(begun.elapsed().as_nanos() as u64, unix(), &buffer[..n]) {
                Ok((_, Some(bytes))) => return Some(bytes),
                Ok((true, None)) => break,
                _ => {}
            }
        }
    }
    None
}

/// Whether a node holds this.
fn has(shown: &StatusSnapshot, what: &str) -> bool {
    let mode = shown
        .service
        .as_ref()
        .map_or("", |service| service.mode.as_str());
    match what {
        "floor" => shown
            .budgets
            .iter()
            .all(|budget| budget.units <= budget.floor),
        "lent" => shown
            .budgets
            .iter()
            .any(|budget| budget.units > budget.floor),
        "lends" => shown.lends,
        "keys-deaf" => shown.keys_deaf,
        "keys-heard" => !shown.keys_deaf && shown.keys_heard_ms.is_some(),
        what => match what.strip_prefix("counts-") {
            Some(processes) => processes.parse() == Ok(shown.processes),
            None => what == mode,
        },
    }
}

/// Requests to one node, one after the other, through the relay.
struct Load {
    front: SocketAddr,
    pace: Arc<Mutex<Pace>>,
    /// Its number, and the seed of its keys.
    caller: u64,
    seed: u64,
    state: Arc<Mutex<State>>,
    checker: Arc<Mutex<Checker>>,
    worker: Worker,
    stop: Arc<AtomicBool>,
}

impl Load {
    fn run(&self) {
        let mut stream: Option<TcpStream> = None;
        let mut next = Instant::now();
        let mut turn = 0usize;
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ self.caller);
        while !self.stop.load(SeqCst) {
            let Pace {
                every,
                keys: (first, last),
            } = *lock(&self.pace);
            next = (next + every).max(Instant::now());
            thread::sleep(next.saturating_duration_since(Instant::now()));
            let is_up = lock(&self.state).running;
            if !is_up {
                stream = None;
                continue;
            }
            turn += 1;
            let path = ["/call/read", "/call/book", "/call/pay"][turn % 3];
            let kept = stream
                .take()
                .or_else(|| TcpStream::connect(self.front).ok());
            let Some(connected) = kept else { continue };
            let key = format!("k{}", rng.random_range(first..=last.max(first)));
            stream = self.ask(connected, path, &rid(), &key);
        }
    }

    /// Sends one and waits for its answer; gives the connection back if it can be used again.
    fn ask(&self, stream: TcpStream, path: &str, id: &str, key: &str) -> Option<TcpStream> {
        let kept = self.exchange(stream, path, id, key);
        self.worker.request_over(id);
        kept
    }

    fn exchange(
        &self,
        mut stream: TcpStream,
        path: &str,
        id: &str,
        key: &str,
    ) -> Option<TcpStream> {
        let begun = Instant::now();
        let arrived = unix_ms();
        let mut params = wire::call(path, id, &arrived);
        params.push(("HTTP_X_KEY", key));
        let bytes = wire::request(1, &params, key.as_bytes());
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_millis(100)))
            .ok()?;
        // A connection that the node closed while it was idle is no loss: nothing was read from it.
        if stream.write_all(&bytes).is_err() {
            return None;
        }
        lock(&self.checker).sent(id, None);
        let (mut come, mut open, mut buffer) = (Vec::new(), BTreeMap::new(), [0; 8192]);
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(n) => come.extend_from_slice(&buffer[..n]),
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                    ) => {}
                Err(_) => break,
            }
            let answers: Vec<Answer> = wire::answers(&mut come, &mut open);
            if let Some(answer) = answers.first() {
                let mut checker = lock(&self.checker);
                if self.is_excused(begun) && begun.elapsed() > TIMEOUT {
                    checker.left(id);
                } else {
                    checker.answered(id, answer, false);
                }
                return Some(stream);
            }
            if begun.elapsed() > TIMEOUT + Duration::from_secs(1) {
                break;
            }
        }
        // Without an answer: lost, unless the node was killed, stood still or was cut off; or it
        // had closed the connection as idle at the very moment, and then nothing ran.
        let crossed = come.is_empty() && begun.elapsed() < Duration::from_millis(50);
        if self.is_excused(begun) || crossed {
            lock(&self.checker).left(id);
        }
        None
    }

    fn is_excused(&self, begun: Instant) -> bool {
        let state = lock(&self.state);
        let covers = |until: &Option<Instant>| until.is_none_or(|until| until > begun);
        state.excused.iter().any(|(_, until)| covers(until))
    }
}

/// Reads and plays a timetable.
pub fn play(file: &Path, setting: Setting) -> Result<(Scenario, Outcome), String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let script =
        crate::scenario::read(&name, &text).map_err(|complaints| complaints.to_string())?;
    let rig = Rig::start(script.clone(), setting).map_err(|e| format!("{name}: {e}"))?;
    Ok((script, rig.play()))
}
