//! Starts the program under test and reads its log.

use crate::peers::{Dispatcher, PATIENCE, Talk, listen, nobody};
use crate::wire;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{self, Receiver};
use std::thread;

/// A started node, ended with the test.
pub struct Node {
    pub child: Child,
    pub log: Receiver<String>,
    pub listen: SocketAddr,
    pub path: PathBuf,
}

/// The program under test, and where its files may be.
#[derive(Clone, Copy)]
pub struct Program {
    /// The file that is started.
    pub exe: &'static str,
    /// The directory for files.
    pub dir: &'static str,
}

impl Program {
    /// A file with this text, of which there is no other with its name.
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

    pub fn config(self, text: &str) -> PathBuf {
        self.file("json", text)
    }

    pub fn start(self, path: &PathBuf) -> Command {
        let mut command = Command::new(self.exe);
        command.env("PROXY_CONFIG", path).stderr(Stdio::piped());
        command
    }
}

/// A configuration file's text.
pub fn told(
    kernel: SocketAddr,
    backend: SocketAddr,
    members: SocketAddr,
    descriptors: usize,
) -> String {
    let settings = wire::SETTINGS;
    format!(
        r#"{{"name": "n3", "listen": "127.0.0.1:0", "kernel": "{kernel}", "members": "{members}",
        "backend": "{backend}", "seed": "8c1f30d27a5be964", "stop_ms": 2000,
        "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": {descriptors}}}, "settings": {settings}}}"#
    )
}

impl Node {
    pub fn start(
        program: Program,
        kernel: SocketAddr,
        backend: SocketAddr,
        members: SocketAddr,
        descriptors: usize,
    ) -> Node {
        Node::started(program, &told(kernel, backend, members, descriptors), &[])
    }

    /// A node with this configuration and these arguments.
    pub fn started(program: Program, config: &str, arguments: &[&str]) -> Node {
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
            listen: nobody(),
            path,
        };
        node.listen = node.logged("listening address=").parse().unwrap();
        node
    }

    /// A node, its kernel's listener, and the link to it.
    pub fn with_kernel(program: Program) -> (Node, TcpListener, Talk) {
        let kernel = listen();
        let node = Node::start(
            program,
            kernel.local_addr().unwrap(),
            nobody(),
            nobody(),
            1024,
        );
        let link = Talk::boot(&kernel, 0, "");
        let mut dispatcher = node.connect();
        while dispatcher.ping() != "200" {}
        (node, kernel, link)
    }

    /// Waits for a line of the log with this in it; gives what follows there.
    pub fn logged(&mut self, what: &str) -> String {
        loop {
            match self.log.recv_timeout(PATIENCE) {
                Ok(line) => {
                    if let Some((_, rest)) = line.split_once(what) {
                        return rest.to_owned();
                    }
                }
                Err(e) => panic!("{what:?} was not logged: {e}"),
            }
        }
    }

    pub fn connect(&self) -> Dispatcher {
        Dispatcher::connect(self.listen)
    }

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

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Has the node read another configuration.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
        self.signal("-HUP");
    }

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
