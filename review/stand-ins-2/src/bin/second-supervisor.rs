//! The supervisor of a node is killed, and started again with a version that does not come to
//! serve. The node goes on all the while.

use review_stand_ins_2::dispatcher::{Connection, Outcome, Request};
use review_stand_ins_2::kernel::{Kernel, Step};
use review_stand_ins_2::node::{Config, Program, finish, free_address, guard, signal};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::settings::{CORES, SLACK_MS, Service, Settings, TIMEOUT_MS};
use review_stand_ins_2::supervised::{arguments, processes, write_version};
use review_stand_ins_2::{has_trouble, registry};
use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::Duration;

/// Requests of each part, each on a connection of its own.
const REQUESTS: u64 = 20;

/// Sends a request on a new connection. Returns whether it was served, or `None` if it had no answer
/// in its time.
fn request(rid: &str, to: SocketAddr, kernel: &Kernel, record: &Record) -> Option<bool> {
    let work = Step::Work(Duration::from_millis(5));
    kernel.add(rid, "normalizar", b"body", vec![work]);
    let mut dispatcher = Connection::open(to, record).ok()?;
    let sent = dispatcher.send(&Request::new(rid, "normalizar", b"body"));
    if sent.is_err() {
        return Some(false);
    }
    let answer = dispatcher.answer(Duration::from_millis(TIMEOUT_MS + SLACK_MS));
    kernel.over(rid);
    dispatcher.close();
    if answer.is_none() {
        record.say(format!(
            "LOST: {rid} was written to an accepted connection and has no answer"
        ));
    }
    let (_, outcome) = answer?;
    Some(matches!(outcome, Outcome::Answer { status: 200, .. }))
}

/// Sends requests and returns how many were served and how many had no answer in their time.
fn play(part: u64, to: SocketAddr, kernel: &Kernel, record: &Record) -> (u64, u64) {
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            sleep(Duration::from_millis(20));
            let (kernel, record) = (kernel.clone(), record.clone());
            let rid = format!("{:016x}", part << 16 | number);
            thread::spawn(move || request(&rid, to, &kernel, &record))
        })
        .collect();
    let (mut served, mut lost) = (0, 0);
    for request in requests {
        match request.join() {
            Ok(Some(is_served)) => served += u64::from(is_served),
            Ok(None) => lost += 1,
            Err(_) => finish(2),
        }
    }
    (served, lost)
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
    write_version(8, Some("#!/bin/sh\nexec sleep 60\n"))?;
    let mut first = Program::start(&config, &arguments(7), &record);
    processes();
    let (served, lost) = play(1, config.listen, &kernel, &record);
    record.say(format!(
        "supervised: {REQUESTS} sent, {served} served, {lost} lost"
    ));
    if served < REQUESTS {
        finish(2);
    }
    if has_trouble() {
        record.note("the supervisor is killed");
        signal(first.child.id(), "KILL");
        let _ = first.child.wait();
        let (served, lost) = play(2, config.listen, &kernel, &record);
        record.say(format!(
            "supervisor killed: {REQUESTS} sent, {served} served, {lost} lost"
        ));
        let _second = Program::start(&config, &arguments(8), &record);
        processes();
    }
    let (served, lost) = play(3, config.listen, &kernel, &record);
    record.say(format!(
        "supervisor started again: {REQUESTS} sent, {served} served, {lost} lost"
    ));
    processes();
    finish(i32::from(lost * 1000 > 3 * REQUESTS));
}
