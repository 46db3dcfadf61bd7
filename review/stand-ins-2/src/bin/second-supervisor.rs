//! The supervisor of a node is killed, and started again with a version that does not come to
//! serve. The node goes on all the while.

use review_stand_ins_2::dispatcher::{Connection, Outcome, Request};
use review_stand_ins_2::kernel::{Kernel, Step};
use review_stand_ins_2::node::{
    Config, Program, finish, free_address, guard, remember, root, signal, work,
};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::settings::{CORES, SLACK_MS, Service, Settings, TIMEOUT_MS};
use review_stand_ins_2::{has_trouble, registry};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

/// Requests of each part, each on a connection of its own.
const REQUESTS: u64 = 10;

/// Writes a version of the program: a copy of the build, or a script in its place.
fn write_version(number: u32, script: Option<&str>) -> std::io::Result<()> {
    let folder = work().join(format!("programs/{number}"));
    std::fs::create_dir_all(&folder)?;
    let file = folder.join("madderpoint");
    match script {
        Some(text) => std::fs::write(&file, text)?,
        None => {
            std::fs::copy(root().join("target/release/madderpoint"), &file)?;
        }
    }
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o755))
}

fn arguments(version: u32) -> String {
    let work = work();
    let work = work.display();
    format!("run-under --programs {work}/programs --start {version} --state {work}/state -- serve")
}

/// Remembers the processes of a supervisor, which go on when it is killed.
fn remember_processes(folder: &Path) {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return;
    };
    for path in entries.flatten().map(|entry| entry.path()) {
        if path.is_dir() {
            remember_processes(&path);
        } else if path.file_name().is_some_and(|name| name == "processes") {
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            text.lines()
                .filter_map(|line| line.split(' ').next()?.parse().ok())
                .for_each(remember);
        }
    }
}

/// Sends requests, each on a new connection, and returns how many were served and how many had no
/// answer in their time.
fn play(
    part: u64,
    to: SocketAddr,
    kernel: &Kernel,
    record: &Record,
) -> std::io::Result<(u64, u64)> {
    let (mut served, mut lost) = (0, 0);
    for number in 0..REQUESTS {
        let rid = format!("{:016x}", part << 16 | number);
        let work = Step::Work(Duration::from_millis(5));
        kernel.add(&rid, "normalizar", b"body", vec![work]);
        let mut dispatcher = Connection::open(to, record)?;
        dispatcher.send(&Request::new(&rid, "normalizar", b"body"))?;
        match dispatcher.answer(Duration::from_millis(TIMEOUT_MS + SLACK_MS)) {
            Some((_, Outcome::Answer { status: 200, .. })) => served += 1,
            Some(_) => {}
            None => {
                lost += 1;
                record.say(format!(
                    "LOST: {rid} was written to an accepted connection and has no answer"
                ));
            }
        }
        kernel.over(&rid);
        dispatcher.close();
    }
    Ok((served, lost))
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
    remember_processes(&work().join("state"));
    let (served, lost) = play(1, config.listen, &kernel, &record)?;
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
        let (served, lost) = play(2, config.listen, &kernel, &record)?;
        record.say(format!(
            "supervisor killed: {REQUESTS} sent, {served} served, {lost} lost"
        ));
        let _second = Program::start(&config, &arguments(8), &record);
        remember_processes(&work().join("state"));
    }
    let (served, lost) = play(3, config.listen, &kernel, &record)?;
    record.say(format!(
        "supervisor started again: {REQUESTS} sent, {served} served, {lost} lost"
    ));
    finish(i32::from(lost * 1000 > 3 * REQUESTS));
}
