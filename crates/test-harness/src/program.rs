//! Starts the program under test and reads its log. All functions panic on errors, so that the test
//! fails.

use crate::peers::{LineConnection, LoadBalancer, WAIT_TIMEOUT, listen, unused_address};
use crate::wire;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{self, Receiver};
use std::thread;

/// A started node. Dropping it kills the process.
pub struct Node {
    /// The running process of the node.
    pub child: Child,
    /// Lines of the node's log, in order.
    pub log: Receiver<String>,
    /// Address on which the node listens for load balancers.
    pub listen: SocketAddr,
    /// Path of the node's configuration file.
    pub path: PathBuf,
}

/// The program under test, and the directory for its files.
#[derive(Clone, Copy)]
pub struct Program {
    /// Path of the program's executable file.
    pub exe: &'static str,
    /// Directory into which the tests write configuration files.
    pub dir: &'static str,
}

impl Program {
    /// Writes a file with a unique name and the extension `kind`, and returns its path.
    pub fn file(self, kind: &str, text: &str) -> PathBuf {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!(
            "config-{}-{}.{kind}",
            std::process::id(),
            NEXT.fetch_add(1, SeqCst)
        );
        let path = PathBuf::from(self.dir).join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Writes a configuration file with this text and returns the file's path.
    pub fn config(self, text: &str) -> PathBuf {
        self.file("json", text)
    }

    /// Returns a command that starts the program with this configuration file.
    pub fn start(self, path: &PathBuf) -> Command {
        let mut command = Command::new(self.exe);
        command.env("PROXY_CONFIG", path).stderr(Stdio::piped());
        command
    }
}

/// Returns the configuration of a node named `n3`, with the addresses of its executor, backend and
/// service registry, and the most descriptors that it may open.
pub fn node_config(
    executor: SocketAddr,
    backend: SocketAddr,
    registry: SocketAddr,
    descriptors: usize,
) -> String {
    let settings = wire::SETTINGS;
    format!(
        r#"{{"name": "n3", "listen": "127.0.0.1:0", "kernel": "{executor}", "members": "{registry}",
        "backend": "{backend}", "seed": "8c1f30d27a5be964", "stop_ms": 2000,
        "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": {descriptors}}}, "settings": {settings}}}"#
    )
}

impl Node {
    /// Starts a node with [`node_config`] and waits until it listens.
    pub fn start(
        program: Program,
        executor: SocketAddr,
        backend: SocketAddr,
        registry: SocketAddr,
        descriptors: usize,
    ) -> Node {
        Node::start_with_config(
            program,
            &node_config(executor, backend, registry, descriptors),
            &[],
        )
    }

    /// Starts a node with this configuration and these arguments, and waits until it listens.
    pub fn start_with_config(program: Program, config: &str, arguments: &[&str]) -> Node {
        let path = program.config(config);
        let mut child = program.start(&path).args(arguments).spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (lines, log) = mpsc::channel();
        thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .try_for_each(|line| lines.send(line))
        });
        let mut node = Node {
            child,
            log,
            listen: unused_address(),
            path,
        };
        node.listen = node.wait_for_log("listening address=").parse().unwrap();
        node
    }

    /// Starts a node with an executor and waits until the node is ready. Returns the node, the
    /// executor's listener, and the link.
    pub fn with_executor(program: Program) -> (Node, TcpListener, LineConnection) {
        let executor = listen();
        let node = Node::start(
            program,
            executor.local_addr().unwrap(),
            unused_address(),
            unused_address(),
            1024,
        );
        let link = LineConnection::accept_executor_link(&executor, 0, "");
        let mut load_balancer = node.connect();
        while load_balancer.ping() != "200" {}
        (node, executor, link)
    }

    /// Waits for a log line that contains `text`, and returns the rest of that line.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        loop {
            match self.log.recv_timeout(WAIT_TIMEOUT) {
                Ok(line) => {
                    if let Some((_, rest)) = line.split_once(text) {
                        return rest.to_owned();
                    }
                }
                Err(e) => panic!("{text:?} was not logged: {e}"),
            }
        }
    }

    /// Returns a load balancer with a new connection to the node.
    pub fn connect(&self) -> LoadBalancer {
        LoadBalancer::connect(self.listen)
    }

    /// Sends a signal; `name` is an argument of the command `kill`, such as `-HUP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &pid])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Stops the process until [`Node::resume`], and waits until it has stopped.
    pub fn pause(&self) {
        self.signal("-STOP");
        while !self.has_stopped() {
            thread::yield_now();
        }
    }

    /// Returns whether all threads of the process are stopped by a signal.
    fn has_stopped(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        threads.flatten().all(|thread| {
            std::fs::read_to_string(thread.path().join("status"))
                .is_ok_and(|status| status.contains("State:\tT"))
        })
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Sends SIGTERM, which drains and stops the node.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and has the node read it, by SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
        self.signal("-HUP");
    }

    /// Waits for the process to end and returns its exit status.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
