//! Starts the program with the `run` line of the deploy file, and ends what was started.

use crate::record::Record;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// The `run` line of `deploy/balancer.toml`.
const RUN: &str = "exec target/release/madderpoint";
/// A case that takes longer than this is ended: it could not run.
const CASE_MAX: Duration = Duration::from_secs(110);

/// Ids of the processes that the case started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The fields of a node's configuration.
#[derive(Clone)]
pub struct Config {
    pub listen: SocketAddr,
    pub kernel: SocketAddr,
    pub members: SocketAddr,
    pub backend: Option<SocketAddr>,
    pub settings: String,
}

impl Config {
    /// Returns the configuration file's text.
    pub fn text(&self) -> String {
        let backend = self
            .backend
            .map_or_else(String::new, |backend| format!("\"backend\":\"{backend}\","));
        format!(
            "{{\"name\":\"n3\",\"listen\":\"{}\",\"kernel\":\"{}\",\"members\":\"{}\",{backend}\
             \"seed\":\"8c1f30d27a5be964\",\"stop_ms\":3200,\"limits\":{{\"cores\":1.0,\
             \"memory_mb\":64,\"sockets\":384}},\"settings\":{}}}",
            self.listen, self.kernel, self.members, self.settings
        )
    }
}

/// Returns a loopback address with a port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port")
}

/// Returns the temporary folder of the case.
pub fn work() -> PathBuf {
    std::env::var("WORK").map_or_else(|_| std::env::temp_dir(), PathBuf::from)
}

/// Returns the root of the repository.
pub fn root() -> PathBuf {
    std::env::var("ROOT").map_or_else(|_| PathBuf::from("."), PathBuf::from)
}

/// Ends the case with exit code 2 if it takes too long.
pub fn guard() {
    thread::spawn(|| {
        thread::sleep(CASE_MAX);
        println!("the case took too long");
        finish(2);
    });
}

/// Remembers a process that the case has to end.
pub fn remember(pid: u32) {
    if let Ok(mut started) = STARTED.lock() {
        started.push(pid);
    }
}

/// Kills all processes that the case started, and ends the case.
pub fn finish(code: i32) -> ! {
    if let Ok(started) = STARTED.lock() {
        started.iter().for_each(|pid| signal(*pid, "KILL"));
    }
    std::process::exit(code);
}

/// Sends a signal to a process that the case started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {pid} 2>/dev/null")])
        .status();
}

/// A process of the program, whose log goes to the record.
pub struct Program {
    pub child: Child,
}

impl Program {
    /// Starts the program with this configuration and these arguments.
    pub fn start(config: &Config, arguments: &str, record: &Record) -> Program {
        let path = work().join("config.json");
        std::fs::write(&path, config.text()).expect("the configuration is written");
        let mut child = Command::new("/bin/sh")
            .args(["-c", &format!("{RUN} {arguments}")])
            .current_dir(root())
            .env("PROXY_NAME", "n3")
            .env("PROXY_LISTEN", config.listen.to_string())
            .env("PROXY_CONFIG", &path)
            .env("TMPDIR", work())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        remember(child.id());
        let log = child.stderr.take().expect("the program's log");
        let noted = record.clone();
        thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                noted.note(format!("log: {line}"));
            }
        });
        let begun = Instant::now();
        while TcpStream::connect(config.listen).is_err() {
            if begun.elapsed() > Duration::from_secs(10) {
                record.say("the program does not listen: the case cannot run");
                finish(2);
            }
            thread::sleep(Duration::from_millis(20));
        }
        // The node serves once its kernel is up.
        thread::sleep(Duration::from_millis(700));
        Program { child }
    }
}
