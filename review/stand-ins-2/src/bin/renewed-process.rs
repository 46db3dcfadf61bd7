//! A keyed request is served; the node's process is renewed without a gap in service; the key comes
//! again within its window.

use review_stand_ins_2::dispatcher::{Connection, Request};
use review_stand_ins_2::kernel::{Kernel, Step};
use review_stand_ins_2::node::{Config, Program, finish, free_address, guard, signal};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::settings::{CORES, Service, Settings, TIMEOUT_MS};
use review_stand_ins_2::supervised::{arguments, processes, write_version};
use review_stand_ins_2::{has_trouble, registry};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

/// Number of keys.
const KEYS: u64 = 5;
/// Time from the first tries to the second ones; the window is 13.194 s.
const APART: Duration = Duration::from_millis(5000);

/// Sends one try of each key, and returns how many were answered.
fn tries(part: u64, to: SocketAddr, kernel: &Kernel, record: &Record) -> std::io::Result<u64> {
    let mut answered = 0;
    let mut dispatcher = Connection::open(to, record)?;
    for key in 0..KEYS {
        let rid = format!("{:016x}", part << 16 | key);
        let work = Step::Work(Duration::from_millis(30));
        kernel.add(&rid, "corregir", b"body", vec![work]);
        let request = Request::new(&rid, "corregir", b"body");
        dispatcher.send(&request.with("HTTP_X_OPERATION_KEY", &format!("{key:032x}")))?;
        let wait = Duration::from_millis(TIMEOUT_MS + 1000);
        answered += u64::from(dispatcher.answer(wait).is_some());
        kernel.over(&rid);
    }
    dispatcher.close();
    Ok(answered)
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
                name: "corregir",
                effect: "idempotency_key",
            }],
            below: "none",
        }
        .text(),
    };
    write_version(7, None)?;
    let supervisor = Program::start(&config, &arguments(7), &record);
    processes();
    let first = tries(1, config.listen, &kernel, &record)?;
    if has_trouble() {
        record.note("SIGUSR2 to the supervisor: the process is renewed");
        signal(supervisor.child.id(), "USR2");
    }
    sleep(APART);
    processes();
    let second = tries(2, config.listen, &kernel, &record)?;
    let mut twice = 0;
    for key in 0..KEYS {
        let runs = |part: u64| kernel.seen(&format!("{:016x}", part << 16 | key)).runs;
        if runs(1) + runs(2) > 1 {
            twice += 1;
            record.say(format!(
                "TWICE: key {key:032x} was run in its first try and again in its second"
            ));
        }
    }
    record.say(format!(
        "{KEYS} keys, {first} first and {second} second tries answered, {twice} keys run twice"
    ));
    finish(if first + second < 2 * KEYS {
        2
    } else {
        i32::from(twice > 0)
    });
}
