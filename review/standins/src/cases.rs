//! The cases: load, disruption and check.

use crate::backend::{Backend, Plan};
use crate::dispatcher::{self, Dispatcher, next_key, next_rid};
use crate::kernel::{Kernel, Work};
use crate::node::{Limits, Node, Peers};
use crate::util::{Random, Record};
use crate::world::{Request, World};
use crate::{registry, settings};
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Place {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub trouble: bool,
}

/// The processes that were started, which the watchdog kills.
pub static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case after 115 s, with all processes that it started.
pub fn watch() {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        eprintln!("the case took too long");
        for pid in CHILDREN.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-s", "KILL", &pid.to_string()])
                .status();
        }
        std::process::exit(2);
    });
}

impl Place {
    fn world(&self) -> Arc<World> {
        Arc::new(World::new(Record::create(&self.folder.join("record.txt"))))
    }

    /// The temporary folder, which the script makes and removes.
    fn temp(&self) -> PathBuf {
        std::env::temp_dir()
    }
}

fn request(class: &str, body: Vec<u8>, key: Option<String>, deadline_ms: f64) -> Request {
    let (class, tenant) = (class.to_owned(), "yildiz-insaat".to_owned());
    Request {
        class,
        tenant,
        body,
        key,
        deadline_ms,
        ..Request::default()
    }
}

/// Checks the rules that hold in every case, and reports.
fn verdict(world: &World, slack_ms: f64) -> bool {
    let mut counts = std::collections::BTreeMap::new();
    let mut lost = 0;
    let requests = world.requests().clone();
    for (rid, request) in &requests {
        for (_, status, _) in &request.answers {
            *counts.entry(status.clone()).or_insert(0) += 1;
        }
        let due = request.written + request.deadline_ms + slack_ms;
        let in_time = request.answers.iter().any(|(at, ..)| *at <= due);
        if !in_time && !request.gone {
            lost += 1;
            world.record.line(&format!("no answer in time to {rid}"));
        }
        if request.answers.len() > 1 {
            world.violation(format!(
                "duplicate: {rid} got {} answers",
                request.answers.len()
            ));
        }
    }
    let share = lost as f64 / requests.len().max(1) as f64;
    if share > 0.003 {
        world.violation(format!(
            "lost: {lost} of {} requests have no final answer in time",
            requests.len()
        ));
    }
    let violations = world.violations();
    let text = format!(
        "{} requests, answers {counts:?}, {lost} without an answer in time, {} violations",
        requests.len(),
        violations.len()
    );
    world.record.line(&text);
    world.record.flush();
    println!("{text}");
    violations
        .iter()
        .take(5)
        .for_each(|violation| println!("  {violation}"));
    !violations.is_empty()
}

/// The back end turns the first call of some requests away, and under trouble sends a second copy of that reply.
pub fn overload_copy(place: &Place) -> Option<bool> {
    let (world, temp) = (place.world(), place.temp());
    let kernel = Kernel::start(
        &world,
        Work {
            calls: |_| 1,
            part_ms: 20,
            spread_ms: 0,
        },
    );
    let (planned, trouble) = (Arc::clone(&world), place.trouble);
    let backend = Backend::start(&world, move |id, _, number| {
        let is_chosen = u64::from_str_radix(id, 16).unwrap_or(0) >> 32 & 3 == 0;
        if number == 1 && is_chosen {
            return Plan::Overload {
                copies: u32::from(trouble),
                gap_ms: 20,
            };
        }
        let mut requests = planned.requests();
        let effects = requests.get_mut(id).map_or(0, |request| {
            request.effects += 1;
            request.effects
        });
        drop(requests);
        if effects > 1 {
            planned.show_trace(id);
            planned.violation(format!(
                "duplicate: call number {number} of {id} although the call before it was not turned away"
            ));
        }
        Plan::Run { work_ms: 60 }
    });
    let peers = Peers {
        kernel: kernel.address,
        members: registry::start(),
        backend: backend.address,
    };
    let settings = settings::puantaj("idempotency_key", 5.0);
    let limits = Limits {
        memory_mb: 64,
        sockets: 512,
    };
    let node = Node::start(&place.root, &temp, "n1", &peers, limits, &settings)?;
    let dispatcher = Dispatcher::new(&world, node.listen, 1);
    for number in 0..800 {
        let (rid, key) = (next_rid(), next_key());
        let body = format!("write {number}").into_bytes();
        dispatcher.send(&rid, &request("gun-yaz", body, Some(key), 10_000.0));
        thread::sleep(Duration::from_millis(25));
    }
    thread::sleep(Duration::from_secs(11));
    drop(node);
    Some(verdict(&world, 130.0))
}

/// The link to the kernel of each node breaks every 3 to 5 s while most runs make two calls.
pub fn broken_link(place: &Place) -> Option<bool> {
    let (world, temp) = (place.world(), place.temp());
    let mut nodes = Vec::new();
    let mut threads = Vec::new();
    for number in 1..=4u32 {
        let kernel = Kernel::start(
            &world,
            Work {
                calls: calls_at_surco,
                part_ms: 3,
                spread_ms: 6,
            },
        );
        let backend = Backend::start(&world, |_, _, _| Plan::Run { work_ms: 12 });
        let (members, backend) = (registry::start(), backend.address);
        let peers = Peers {
            kernel: kernel.address,
            members,
            backend,
        };
        let settings = settings::surco();
        let limits = Limits {
            memory_mb: 64,
            sockets: 512,
        };
        let name = format!("n{number}");
        let node = Node::start(&place.root, &temp, &name, &peers, limits, &settings)?;
        if place.trouble {
            threads.push(thread::spawn(move || {
                let mut random = Random(u64::from(number));
                for _ in 0..22 {
                    thread::sleep(Duration::from_millis(3000 + random.below(2000)));
                    kernel.break_link();
                }
            }));
        }
        let (world, listen) = (Arc::clone(&world), node.listen);
        threads.push(thread::spawn(move || {
            let dispatchers: Vec<_> = (1..=3)
                .map(|peer| Dispatcher::new(&world, listen, peer))
                .collect();
            let mut random = Random(u64::from(number) + 100);
            for number in 0..33_000usize {
                let body = format!("body {number}").into_bytes();
                let (class, deadline_ms) = match random.below(10) {
                    0..4 => ("work-report", 2900.0),
                    4..7 => ("unit-status", 1750.0),
                    _ => ("billing-tally", 1750.0),
                };
                let tenant = format!("cliente-{}", (b'a' + random.below(6) as u8) as char);
                let request = Request {
                    tenant,
                    ..request(class, body, None, deadline_ms)
                };
                dispatchers[number % 3].send(&next_rid(), &request);
                thread::sleep(Duration::from_micros(1_900 + random.below(1_400)));
            }
        }));
        nodes.push(node);
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    thread::sleep(Duration::from_secs(4));
    drop(nodes);
    Some(verdict(&world, 150.0))
}

/// Two calls for those classes that make more than one on average.
fn calls_at_surco(class: &str) -> u32 {
    if class == "unit-status" { 1 } else { 2 }
}

/// Some clients of a dispatcher write their bodies slowly, and it passes each piece on as it comes.
pub fn slow_bodies(place: &Place) -> Option<bool> {
    let (world, temp) = (place.world(), place.temp());
    let kernel = Kernel::start(
        &world,
        Work {
            calls: |_| 1,
            part_ms: 60,
            spread_ms: 0,
        },
    );
    let backend = Backend::start(&world, |_, _, _| Plan::Run { work_ms: 30 });
    let peers = Peers {
        kernel: kernel.address,
        members: registry::start(),
        backend: backend.address,
    };
    let settings = settings::puantaj("read_like", 5.0);
    let limits = Limits {
        memory_mb: 32,
        sockets: 384,
    };
    let node = Node::start(&place.root, &temp, "n1", &peers, limits, &settings)?;
    let pieces = if place.trouble { PIECES } else { 1 };
    let mut dispatchers = Vec::new();
    for peer in 1..=3 {
        let dispatcher = Dispatcher::new(&world, node.listen, peer);
        dispatchers.push(thread::spawn(move || {
            let mut writers = Vec::new();
            for number in 0..1000usize {
                if number % 200 >= 100 && number % 200 < 100 + SLOW_CLIENTS {
                    let dispatcher = dispatcher.clone();
                    writers.push(thread::spawn(move || {
                        write_in_pieces(&dispatcher, number, pieces)
                    }));
                }
                write_in_pieces(&dispatcher, number, 1);
                thread::sleep(Duration::from_millis(25));
            }
            writers.into_iter().for_each(|writer| drop(writer.join()));
        }));
    }
    dispatchers
        .into_iter()
        .for_each(|dispatcher| drop(dispatcher.join()));
    thread::sleep(Duration::from_secs(11));
    drop(node);
    Some(verdict(&world, 130.0))
}

/// Clients of one dispatcher that write slowly at the same time.
const SLOW_CLIENTS: usize = 5;
/// Pieces of a slow body, and the time between two of them.
const PIECES: usize = 5;
const PIECE_MS: u64 = 250;

/// Sends a request whose body has 2,000 bytes. The head goes out with the first piece.
fn write_in_pieces(dispatcher: &Dispatcher, number: usize, pieces: usize) {
    let body = vec![b'a' + (number % 26) as u8; 2000];
    let (rid, request) = (next_rid(), request("gun-yaz", body, None, 10_000.0));
    let Some(connection) = dispatcher.connection() else {
        return;
    };
    let Some(id) = dispatcher.open(&connection, &rid) else {
        return;
    };
    let mut bytes = dispatcher::head(id, &rid, &request, dispatcher.peer);
    for (index, piece) in request.body.chunks(2000 / pieces).enumerate() {
        if index > 0 {
            thread::sleep(Duration::from_millis(PIECE_MS));
        }
        bytes.extend(dispatcher::body(id, piece));
        if index + 1 < pieces {
            dispatcher.write_part(&connection, &bytes);
            bytes.clear();
        }
    }
    bytes.extend(dispatcher::body(id, &[]));
    dispatcher.write_last(&connection, id, &rid, &request, &bytes);
}
