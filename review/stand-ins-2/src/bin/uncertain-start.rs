//! The link to the kernel breaks just after keyed requests were started. Their runs take about a
//! second, and notices arrive in pieces.

use review_stand_ins_2::dispatcher::{Connection, Outcome, Request};
use review_stand_ins_2::kernel::{Kernel, Step, Trouble};
use review_stand_ins_2::node::{Config, Program, finish, free_address, guard};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::settings::{CORES, Service, Settings, TIMEOUT_MS};
use review_stand_ins_2::{has_trouble, registry};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Number of times that the link breaks.
const BREAKS: u64 = 6;
/// Number of requests that are started just before each break.
const AT_ONCE: u64 = 5;
/// The shortest run, and the range of run times, in milliseconds.
const RUN_FROM_MS: u64 = 950;
const RUN_RANGE_MS: u64 = 100;
/// The most time between two pieces of a notice, in milliseconds.
const APART_MS: u64 = 40;

fn main() -> std::io::Result<()> {
    guard();
    let record = Record::create()?;
    let kernel = Kernel::new(&record, CORES);
    let config = Config {
        listen: free_address(),
        kernel: kernel.listen()?,
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
    let _node = Program::start(&config, "", &record);
    if has_trouble() {
        kernel.set_trouble(Trouble {
            pieces: 100,
            apart_ms: APART_MS,
        });
    }
    let (mut served, mut failed, mut twice) = (0, 0, 0);
    for round in 0..BREAKS {
        let mut dispatcher = Connection::open(config.listen, &record)?;
        let rids: Vec<String> = (0..AT_ONCE)
            .map(|n| format!("{:016x}", 0x1000 + round * AT_ONCE + n))
            .collect();
        for (n, rid) in rids.iter().enumerate() {
            let spread = (n as u64 * 23 + round * 7) % RUN_RANGE_MS;
            let run = Duration::from_millis(RUN_FROM_MS + spread);
            kernel.add(rid, "corregir", b"body", vec![Step::Work(run)]);
            let request = Request::new(rid, "corregir", b"body");
            dispatcher.send(&request.with("HTTP_X_OPERATION_KEY", rid))?;
        }
        let begun = Instant::now();
        while rids.iter().any(|rid| kernel.seen(rid).runs == 0)
            && begun.elapsed() < Duration::from_millis(500)
        {
            std::hint::spin_loop();
        }
        if has_trouble() {
            kernel.break_link();
        }
        for _ in &rids {
            let wait = Duration::from_millis(TIMEOUT_MS + 1000);
            let Some((rid, outcome)) = dispatcher.answer(wait) else {
                break;
            };
            kernel.over(&rid);
            match outcome {
                Outcome::Answer { status: 200, .. } => served += 1,
                _ => failed += 1,
            }
        }
        sleep(Duration::from_millis(1500));
        for rid in &rids {
            let runs = kernel.seen(rid).runs;
            if runs > 1 {
                twice += 1;
                record.say(format!(
                    "TWICE: {rid}, a keyed request, was run {runs} times"
                ));
            }
        }
    }
    record.say(format!(
        "{} keyed requests: {served} served, {failed} failed, {twice} run twice",
        BREAKS * AT_ONCE
    ));
    finish(match (twice, served) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    });
}
