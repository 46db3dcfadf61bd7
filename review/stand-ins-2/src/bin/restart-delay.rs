//! The process of a supervised node is killed several times. While the supervisor waits before it
//! starts the next one, connections are accepted.

use review_stand_ins_2::dispatcher::{Connection, Outcome, Request};
use review_stand_ins_2::kernel::{Kernel, Step};
use review_stand_ins_2::node::{Config, Program, finish, free_address, guard, signal};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::settings::{CORES, SLACK_MS, Service, Settings, TIMEOUT_MS};
use review_stand_ins_2::supervised::{arguments, processes, write_version};
use review_stand_ins_2::{has_trouble, registry};
use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Number of times that the process is killed.
const KILLS: u32 = 4;
/// Time for which a process serves before it is killed.
const SERVES: Duration = Duration::from_secs(2);
/// Requests after the last kill, each on a connection of its own.
const REQUESTS: u64 = 10;

/// How a request ended.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Served,
    /// The connection was refused or ended, or the answer was not a result.
    Failed,
    /// No answer in the client's time, on a connection that was accepted and is open.
    Lost,
}

fn request(rid: &str, to: SocketAddr, kernel: &Kernel, record: &Record) -> End {
    kernel.add(
        rid,
        "normalizar",
        b"body",
        vec![Step::Work(Duration::from_millis(5))],
    );
    let Ok(mut dispatcher) = Connection::open(to, record) else {
        record.note(format!("dispatcher: connection for {rid} refused"));
        return End::Failed;
    };
    if dispatcher
        .send(&Request::new(rid, "normalizar", b"body"))
        .is_err()
    {
        return End::Failed;
    }
    let begun = Instant::now();
    let limit = Duration::from_millis(TIMEOUT_MS + SLACK_MS);
    let mut end = End::Lost;
    while begun.elapsed() < limit && end == End::Lost {
        match dispatcher.answer(Duration::from_millis(20)) {
            Some((_, Outcome::Answer { status: 200, .. })) => end = End::Served,
            Some(_) => end = End::Failed,
            None if dispatcher.ended().is_some() => end = End::Failed,
            None => {}
        }
    }
    kernel.over(rid);
    if end == End::Lost {
        record.say(format!(
            "LOST: {rid} was written to an accepted connection and has no answer after {:?}",
            begun.elapsed()
        ));
    }
    dispatcher.close();
    end
}

/// Waits until a request is served again.
fn wait_until_served(round: u32, to: SocketAddr, kernel: &Kernel, record: &Record) {
    for attempt in 0..20 {
        let rid = format!("{:016x}", u64::from(round) << 32 | attempt);
        if request(&rid, to, kernel, record) == End::Served {
            return;
        }
    }
    record.say("the node does not serve again");
    finish(2);
}

fn main() -> std::io::Result<()> {
    guard();
    let record = Record::create()?;
    let kernel = Kernel::new(&record, CORES);
    let config = Config {
        listen: free_address(),
        kernel: kernel.listen_for_several()?,
        members: registry::start(record.clone())?,
        backend: None,
        settings: Settings {
            services: vec![Service {
                name: "normalizar",
                effect: "read_like",
            }],
            below: "none",
        }
        .text(),
    };
    write_version(7, None)?;
    let _supervisor = Program::start(&config, &arguments(7), &record);
    for round in 1..=KILLS {
        wait_until_served(round, config.listen, &kernel, &record);
        sleep(SERVES);
        if has_trouble() {
            let running = processes();
            record.note(format!(
                "the node's process is killed, for the {round}. time"
            ));
            running.iter().for_each(|pid| signal(*pid, "KILL"));
            sleep(Duration::from_millis(200));
        }
    }
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            sleep(Duration::from_millis(100));
            let (kernel, record, to) = (kernel.clone(), record.clone(), config.listen);
            thread::spawn(move || {
                request(
                    &format!("{:016x}", 0xff_0000 + number),
                    to,
                    &kernel,
                    &record,
                )
            })
        })
        .collect();
    let ends: Vec<End> = requests
        .into_iter()
        .map(|request| request.join().unwrap_or(End::Failed))
        .collect();
    processes();
    let count = |end: End| ends.iter().filter(|one| **one == end).count() as u64;
    record.say(format!(
        "{REQUESTS} requests: {} served, {} failed, {} lost",
        count(End::Served),
        count(End::Failed),
        count(End::Lost)
    ));
    finish(i32::from(count(End::Lost) * 1000 > 3 * REQUESTS));
}
