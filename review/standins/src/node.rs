//! Starts the program with the line `run` of the deploy file, from the repository's root.

use crate::cases::CHILDREN;
use crate::dispatcher::Dispatcher;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub struct Node {
    pub child: Child,
    pub listen: SocketAddr,
}

pub struct Peers {
    pub kernel: SocketAddr,
    pub members: SocketAddr,
    pub backend: SocketAddr,
}

#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
}

/// The value of `run` in the deploy file.
fn run_line(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy file");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("run = \""))
        .expect("run");
    line.split('"').next().unwrap_or_default().to_owned()
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

impl Node {
    pub fn start(
        root: &Path,
        temp: &Path,
        name: &str,
        peers: &Peers,
        limits: Limits,
        settings: &str,
    ) -> Option<Node> {
        let listen = free_address();
        let Peers {
            kernel,
            members,
            backend,
        } = peers;
        let Limits { memory_mb, sockets } = limits;
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","kernel":"{kernel}","members":"{members}","backend":"{backend}",
 "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
 "settings":{settings}}}"#
        );
        let config = temp.join(format!("{name}.json"));
        std::fs::write(&config, text).ok()?;
        let log = File::create(temp.join(format!("{name}.log"))).ok()?;
        let private = temp.join(format!("{name}.tmp"));
        std::fs::create_dir_all(&private).ok()?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_line(root)])
            .current_dir(root)
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", listen.to_string())
            .env("PROXY_CONFIG", &config)
            .env("TMPDIR", private)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        CHILDREN.lock().unwrap().push(child.id());
        let pids = OpenOptions::new()
            .create(true)
            .append(true)
            .open(temp.join("pids"));
        let _ = writeln!(pids.ok()?, "{}", child.id());
        let node = Node { child, listen };
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if Dispatcher::ping(node.listen) {
                return Some(node);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
