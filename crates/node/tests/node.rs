//! Starts the program and speaks to it over sockets. The kernel, the back end, the membership service and
//! the dispatchers are played here, on free ports; all waiting is for something to come.

mod support;

use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::Answer;

/// Nothing here takes near as long; it only keeps a failed test from hanging.
const PATIENCE: Duration = Duration::from_secs(30);

const A: &str = "00000000000000aa";
const B: &str = "00000000000000bb";

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// An address at which nobody listens; one that was free a moment ago could be another test's by now.
fn nobody() -> SocketAddr {
    SocketAddr::from(([127, 1, 2, 3], 1))
}

fn unix_ms() -> String {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis().to_string()
}

/// A peer's end of a connection, read by lines.
struct Talk {
    reader: BufReader<TcpStream>,
    part: Vec<u8>,
}

impl Talk {
    fn accept(listener: &TcpListener) -> Talk {
        let (stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Talk { reader: BufReader::new(stream), part: Vec::new() }
    }

    fn line(&mut self) -> String {
        self.line_within(PATIENCE).expect("a line")
    }

    /// The next line, if it comes within this time.
    fn line_within(&mut self, time: Duration) -> Option<String> {
        self.reader.get_ref().set_read_timeout(Some(time)).unwrap();
        match self.reader.read_until(b'\n', &mut self.part) {
            Ok(_) => Some(String::from_utf8(std::mem::take(&mut self.part)).unwrap().trim_end().to_owned()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(e) => panic!("{e}"),
        }
    }

    fn exactly(&mut self, len: usize) -> Vec<u8> {
        let mut bytes = vec![0; len];
        self.reader.read_exact(&mut bytes).unwrap();
        bytes
    }

    fn say(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// As a kernel: the next command but for gauges, which are told.
    fn command(&mut self) -> Value {
        self.command_within(PATIENCE).expect("a command")
    }

    fn command_within(&mut self, time: Duration) -> Option<Value> {
        loop {
            let command: Value = serde_json::from_str(&self.line_within(time)?).unwrap();
            if command["t"] != "SYSINFO" {
                return Some(command);
            }
            self.say(&format!("{{\"t\":\"INFO\",\"mark\":{},\"v\":[0.1,0.1]}}\n", command["mark"]));
        }
    }

    /// As a kernel: the next command, unless the link ends first.
    fn command_until_closed(&mut self) -> Option<Value> {
        loop {
            self.part.clear();
            let read = self.reader.read_until(b'\n', &mut self.part);
            let command: Value = serde_json::from_slice(&self.part).ok().filter(|_| read.is_ok())?;
            if command["t"] != "SYSINFO" {
                return Some(command);
            }
            self.say(&format!("{{\"t\":\"INFO\",\"mark\":{},\"v\":[0.1,0.1]}}\n", command["mark"]));
        }
    }

    /// As a kernel: takes a new link, after the node has read notice `last`.
    fn boot(listener: &TcpListener, last: u64, missed: &str) -> Talk {
        let mut link = Talk::accept(listener);
        assert_eq!(link.line(), format!("{{\"t\":\"OPEN\",\"no\":{last}}}"));
        link.say(&format!("{{\"t\":\"BOOTED\",\"status\":\"WARM\",\"time_ms\":9000}}\n{missed}"));
        link
    }
}

fn reap(no: u64, rid: &str, status: &str) -> String {
    format!(
        "{{\"t\":\"REAP\",\"no\":{no},\"rid\":\"{rid}\",\"status\":\"{status}\",\"time_ms\":3,\"b64\":\"AP8=\"}}\n"
    )
}

fn wants_call(no: u64, rid: &str) -> String {
    format!("{{\"t\":\"IOREQ\",\"no\":{no},\"rid\":\"{rid}\",\"b64\":\"AP8=\"}}\n")
}

/// A dispatcher with one connection. The node may close that while nothing is open on it; what crosses such a
/// close is sent again on a new one.
struct Dispatcher {
    node: SocketAddr,
    stream: TcpStream,
    bytes: Vec<u8>,
    open: BTreeMap<u16, Vec<u8>>,
    done: Vec<Answer>,
}

impl Dispatcher {
    fn connect(node: SocketAddr) -> Dispatcher {
        let stream = TcpStream::connect(node).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Dispatcher { node, stream, bytes: Vec::new(), open: BTreeMap::new(), done: Vec::new() }
    }

    /// Has an invocation run; gives the kernel's command for it.
    fn run(&mut self, link: &mut Talk, id: u16, rid: &str) -> Value {
        loop {
            let request = support::request(id, &support::call("/call/read", rid, &unix_ms()), b"\0body");
            if self.stream.write_all(&request).is_ok() {
                while !self.has_ended() {
                    if let Some(command) = link.command_within(Duration::from_millis(50)) {
                        assert_eq!(
                            (&command["t"], &command["rid"]),
                            (&"SCHED".into(), &rid.into()),
                            "{command}"
                        );
                        return command;
                    }
                }
            }
            *self = Dispatcher::connect(self.node);
        }
    }

    fn has_ended(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        peeked.map_or_else(|e| e.kind() == ErrorKind::ConnectionReset, |n| n == 0)
    }

    fn answer(&mut self) -> Answer {
        while self.done.is_empty() {
            assert!(self.read() > 0, "the connection ended without an answer");
        }
        self.done.remove(0)
    }

    /// Sends a request and waits for its answer.
    fn ask(&mut self, request: &[u8]) -> Answer {
        loop {
            if self.stream.write_all(request).is_ok() {
                while self.done.is_empty() && self.read() > 0 {}
            }
            if !self.done.is_empty() {
                return self.done.remove(0);
            }
            *self = Dispatcher::connect(self.node);
        }
    }

    /// Waits for more; 0 when the connection has ended.
    fn read(&mut self) -> usize {
        let mut buffer = [0; 4096];
        let n = match self.stream.read(&mut buffer) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return self.read(),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => 0,
            read => read.unwrap(),
        };
        self.bytes.extend_from_slice(&buffer[..n]);
        self.done.extend(support::answers(&mut self.bytes, &mut self.open));
        n
    }

    fn ping(&mut self) -> String {
        self.ask(&ping(1)).status
    }
}

fn ping(id: u16) -> Vec<u8> {
    support::request(id, &[("SCRIPT_NAME", "/ping")], b"")
}

/// A started node, ended with the test.
struct Node {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
    listen: SocketAddr,
    path: PathBuf,
}

fn config(text: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), NEXT.fetch_add(1, SeqCst));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn start(path: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderpoint"));
    command.env("PROXY_CONFIG", path).stderr(Stdio::piped());
    command
}

/// A configuration file's text.
fn told(kernel: SocketAddr, backend: SocketAddr, members: SocketAddr, descriptors: usize) -> String {
    let settings = support::SETTINGS;
    format!(
        r#"{{"name": "n3", "listen": "127.0.0.1:0", "kernel": "{kernel}", "members": "{members}",
        "backend": "{backend}", "seed": "8c1f30d27a5be964", "stop_ms": 2000,
        "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": {descriptors}}}, "settings": {settings}}}"#
    )
}

impl Node {
    fn start(kernel: SocketAddr, backend: SocketAddr, members: SocketAddr, descriptors: usize) -> Node {
        let path = config(&told(kernel, backend, members, descriptors));
        let mut child = start(&path).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let mut node = Node { child, log, listen: nobody(), path };
        node.listen = node.logged("listening on ").parse().unwrap();
        node
    }

    /// A node, its kernel's listener, and the link to it.
    fn with_kernel() -> (Node, TcpListener, Talk) {
        let kernel = listen();
        let node = Node::start(kernel.local_addr().unwrap(), nobody(), nobody(), 1024);
        let link = Talk::boot(&kernel, 0, "");
        let mut dispatcher = node.connect();
        while dispatcher.ping() != "200" {}
        (node, kernel, link)
    }

    /// Waits for a line of the log with this in it; gives what follows there.
    fn logged(&mut self, what: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "the log ended without {what:?}");
            if let Some((_, rest)) = line.split_once(what) {
                return rest.trim_end().to_owned();
            }
        }
    }

    fn connect(&self) -> Dispatcher {
        Dispatcher::connect(self.listen)
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Has the node read another configuration.
    fn reload(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
        self.signal("-HUP");
    }

    fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn one_succeeds_one_errs_and_one_is_throttled() {
    let (node, _kernel, mut link) = Node::with_kernel();
    let mut dispatcher = node.connect();
    let command = dispatcher.run(&mut link, 1, A);
    assert_eq!((&command["route"], &command["b64"]), (&"read".into(), &"AGJvZHk=".into()));
    link.say(&reap(1, A, "OK"));
    let answer = dispatcher.answer();
    assert_eq!((answer.id, &answer.status[..], &answer.body[..]), (1, "200", &b"\0\xff"[..]));
    dispatcher.run(&mut link, 1, B);
    link.say(&reap(2, B, "ERROR"));
    assert_eq!(dispatcher.answer().status, "500");
    let late = (unix_ms().parse::<u64>().unwrap() - 4000).to_string();
    let answer = dispatcher.ask(&support::request(2, &support::call("/call/read", A, &late), b""));
    assert_eq!((answer.id, &answer.status[..]), (2, "429"));
    assert_eq!(answer.fields["X-Stop-Trying"], "1");
}

#[test]
fn a_kernel_that_starts_late_is_waited_for() {
    let kernel = listen();
    let node = Node::start(kernel.local_addr().unwrap(), nobody(), nobody(), 1024);
    let mut dispatcher = node.connect();
    assert_eq!(dispatcher.ping(), "503");
    let mut link = Talk::boot(&kernel, 0, "");
    while dispatcher.ping() != "200" {}
    dispatcher.run(&mut link, 2, B);
}

#[test]
fn a_call_below_comes_back() {
    let (kernel, backend) = (listen(), listen());
    let node = Node::start(kernel.local_addr().unwrap(), backend.local_addr().unwrap(), nobody(), 1024);
    let mut link = Talk::boot(&kernel, 0, "");
    let mut dispatcher = node.connect();
    while dispatcher.ping() != "200" {}
    dispatcher.run(&mut link, 1, A);
    link.say(&wants_call(1, A));
    let mut below = Talk::accept(&backend);
    let line = below.line();
    assert!(line.starts_with(&format!("invoke {A} ")) && line.ends_with(" 2"), "{line}");
    assert_eq!(below.exactly(4), b"\0\xff\r\n");
    below.say(&format!("{A} ok 4\r\na\r\nb\r\n"));
    let command = link.command();
    assert_eq!((&command["t"], &command["b64"]), (&"IODONE".into(), &"YQ0KYg==".into()));
    link.say(&reap(2, A, "OK"));
    assert_eq!(dispatcher.answer().status, "200");
}

#[test]
fn a_run_does_without_a_back_end_that_refuses() {
    let (node, _kernel, mut link) = Node::with_kernel();
    let mut dispatcher = node.connect();
    dispatcher.run(&mut link, 1, B);
    link.say(&wants_call(1, B));
    let command = link.command();
    assert_eq!((&command["t"], &command["no"]), (&"NOIO".into(), &1.into()));
}

#[test]
fn a_link_that_breaks_in_the_middle_of_a_run_loses_nothing() {
    let (node, kernel, mut link) = Node::with_kernel();
    let mut dispatcher = node.connect();
    dispatcher.run(&mut link, 1, A);
    link.say(&reap(1, A, "OK")[..25]);
    drop(link); // in the middle of a line
    let mut link = Talk::boot(&kernel, 0, &reap(1, A, "OK"));
    assert_eq!(dispatcher.answer().status, "200");
    dispatcher.run(&mut link, 1, B); // and nothing before it
}

#[test]
fn what_the_kernel_should_not_say_is_survived() {
    let (node, kernel, mut link) = Node::with_kernel();
    link.say("{\"t\":\"SONG\"}\n{broken\n{\"t\":\"EINVAL\",\"status\":\"NOIO\",\"rid\":\"zz\"}\n");
    link.say(&reap(1, "ffffffffffffffff", "OK"));
    let mut dispatcher = node.connect();
    dispatcher.run(&mut link, 1, A);
    link.say(&"x".repeat(40_000)); // no line ends: the link is renewed
    let mut link = Talk::boot(&kernel, 1, &reap(2, A, "OK"));
    assert_eq!(dispatcher.answer().status, "200");
    dispatcher.run(&mut link, 1, B);
}

#[test]
fn a_drain_answers_what_runs_tells_the_members_and_ends_with_0() {
    let (kernel, members) = (listen(), listen());
    let mut node = Node::start(kernel.local_addr().unwrap(), nobody(), members.local_addr().unwrap(), 1024);
    let report = |members: &TcpListener| {
        let mut talk = Talk::accept(members);
        let head = talk.line();
        while !talk.line().is_empty() {}
        let body = talk.exactly("{\"phase\":\"UP\"}".len());
        talk.say("HTTP/1.1 204 No Content\r\n\r\n");
        (head, String::from_utf8(body).unwrap())
    };
    let (head, body) = report(&members);
    assert_eq!((&head[..], &body[..]), ("PUT /members/n3 HTTP/1.1", "{\"phase\":\"UP\"}"));
    let mut link = Talk::boot(&kernel, 0, "");
    let mut dispatcher = node.connect();
    while dispatcher.ping() != "200" {}
    dispatcher.run(&mut link, 1, A);
    node.terminate();
    while report(&members).1 != "{\"phase\":\"OUT\"" {}
    node.terminate();
    link.say(&reap(1, A, "OK"));
    assert_eq!(dispatcher.answer().status, "200");
    assert_eq!(dispatcher.read(), 0);
    assert_eq!(node.wait().code(), Some(0));
}

/// SIGHUP once ended the process. A run and a call that are under way when all peers move lose nothing, and what
/// can't be read changes nothing.
#[test]
fn a_new_configuration_moves_all_links_and_a_bad_one_changes_nothing() {
    let (kernel, backend, members) = (listen(), listen(), listen());
    let at = |l: &TcpListener| l.local_addr().unwrap();
    let mut node = Node::start(at(&kernel), at(&backend), at(&members), 1024);
    let good = told(at(&kernel), at(&backend), at(&members), 1024);
    for (text, named) in [
        (&good[..200], "EOF"),
        (&good.replace("\"memory_mb\": 192", "\"memory_mb\": 2"), "limits.memory_mb"),
        (&good.replace("\"Cores\": 1", "\"Cores\": 0"), "Extra.Cores"),
    ] {
        node.reload(text);
        assert!(node.logged("new configuration not taken").contains(named));
    }
    let mut link = Talk::boot(&kernel, 0, "");
    let mut dispatcher = node.connect();
    while dispatcher.ping() != "200" {}
    dispatcher.run(&mut link, 1, A);
    link.say(&wants_call(1, A));
    let mut below = Talk::accept(&backend);
    below.line();
    below.exactly(4);
    let (kernel2, backend2, members2) = (listen(), listen(), listen());
    let moved = told(at(&kernel2), at(&backend2), at(&members2), 1024);
    node.reload(&moved.replace("\"sockets\": 1024", "\"sockets\": 999"));
    assert!(node.logged("until a restart the old ").contains("limits"));
    let settled: Value = serde_json::from_str(&link.line()).unwrap(); // what was sent before it has arrived
    link.say(&format!("{{\"t\":\"INFO\",\"mark\":{},\"v\":[0.1,0.1]}}\n", settled["mark"]));
    let mut link = Talk::boot(&kernel2, 1, "");
    below.say(&format!("{A} ok 1\r\na\r\n")); // the old back end still replies
    let command = link.command();
    assert_eq!((&command["t"], &command["b64"]), (&"IODONE".into(), &"YQ==".into()));
    link.say(&reap(2, A, "OK"));
    assert_eq!(dispatcher.answer().status, "200");
    dispatcher.run(&mut link, 2, B);
    link.say(&wants_call(3, B));
    assert!(Talk::accept(&backend2).line().starts_with(&format!("invoke {B} ")));
    assert!(Talk::accept(&members2).line().starts_with("PUT /members/n3 "));
}

#[test]
fn odd_answers_of_the_members_do_not_matter() {
    let (kernel, members) = (listen(), listen());
    let node = Node::start(kernel.local_addr().unwrap(), nobody(), members.local_addr().unwrap(), 1024);
    let _link = Talk::boot(&kernel, 0, "");
    let mut dispatcher = node.connect();
    for answer in
        ["", "HTTP/1.1 2", "HTTP/1.1 500 Oh\r\n\r\n", "no such thing\r\n\r\n", "HTTP/1.1 204 \r\n\r\n"]
    {
        Talk::accept(&members).say(answer);
        while dispatcher.ping() != "200" {}
    }
}

#[test]
fn broken_framing_and_silence_hurt_only_their_own_connection() {
    let (node, _kernel, _link) = Node::with_kernel();
    let mut good = node.connect();
    let mut half = node.connect();
    half.stream
        .write_all(&support::request(1, &support::call("/call/read", A, &unix_ms()), b"")[..60])
        .unwrap();
    let _silent = node.connect();
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[1, 1, 0, 1, 0, 2, 0, 0, 0, 1]] {
        let mut bad = node.connect();
        bad.stream.write_all(bytes).unwrap();
        assert_eq!(bad.read(), 0);
        assert_eq!(good.ping(), "200");
    }
}

#[test]
fn a_dispatcher_that_does_not_read_delays_nobody() {
    let (mut node, _kernel, _link) = Node::with_kernel();
    let (mut deaf, mut good) = (node.connect(), node.connect());
    deaf.stream.set_nonblocking(true).unwrap();
    let pings: Vec<u8> = (1..=30).flat_map(ping).collect();
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            node.logged("connection ended, its peer does not read");
            ended.store(true, SeqCst);
        });
        let mut rest = &pings[..];
        while !ended.load(SeqCst) {
            match deaf.stream.write(rest) {
                Ok(n) if n < rest.len() => rest = &rest[n..],
                Ok(_) => rest = &pings[..],
                Err(_) => assert_eq!(good.ping(), "200"),
            }
        }
    });
    assert_eq!(good.ping(), "200");
}

#[test]
fn short_of_descriptors_idle_connections_make_room() {
    let kernel = listen();
    let node = Node::start(kernel.local_addr().unwrap(), nobody(), nobody(), 64);
    let _link = Talk::boot(&kernel, 0, "");
    let mut all: Vec<_> = (0..60).map(|_| node.connect()).collect();
    for dispatcher in &mut all {
        dispatcher.stream.write_all(&ping(1)).unwrap();
    }
    // Each was either answered or closed unread to make room; the last ones find room.
    let answered = all.iter_mut().filter_map(|d| (d.read() > 0).then(|| d.answer())).count();
    assert!(answered >= 20, "{answered}");
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count();
    assert!(descriptors <= 64, "{descriptors}");
}

#[test]
fn several_hundred_connections_fit() {
    let node = Node::start(nobody(), nobody(), nobody(), 1024);
    let mut all: Vec<_> = (0..400).map(|_| node.connect()).collect();
    assert!(all.iter_mut().all(|dispatcher| dispatcher.ping() == "503"));
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let figure = |name: &str| -> usize {
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    };
    assert!(figure("VmHWM:") < 96 * 1024, "{status}");
    assert!(figure("Threads:") < 850, "{status}");
}

#[test]
fn a_bad_configuration_is_named_and_nothing_starts() {
    let whole = format!(
        r#"{{"name": "n3", "listen": "127.0.0.1:0", "kernel": "127.0.0.1:1", "members": "127.0.0.1:1",
        "seed": "8c1f", "stop_ms": 2000, "limits": {{"cores": 0.2, "memory_mb": 32, "sockets": 1024}}, "settings": {}}}"#,
        support::SETTINGS
    );
    for (from, to, named) in [
        ("\"127.0.0.1:0\"", "\"nowhere\"", "socket address"),
        ("\"kernel\"", "\"colonel\"", "kernel"),
        ("\"8c1f\"", "\"zz\"", "seed"),
        ("2000", "-1", "stop_ms"),
        ("1024", "3", "limits.sockets"),
        ("32", "3", "limits.memory_mb"),
        ("0.2", "0", "limits.cores"),
        ("\"Cores\": 1", "\"Cores\": 0", "Extra.Cores"),
        ("\"n3\"", "\"n4\"", "PROXY_NAME"),
        ("{", "", "expected"),
    ] {
        let path = config(&whole.replacen(from, to, 1));
        let output = start(&path).env("PROXY_NAME", "n3").output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_ne!(output.status.code(), Some(0));
        assert!(
            text.lines().count() == 1 && text.contains(named) && text.contains("config-"),
            "{named}: {text}"
        );
    }
    let output = start(&PathBuf::from("/nowhere.json")).output().unwrap();
    assert!(String::from_utf8(output.stderr).unwrap().contains("/nowhere.json"));
}

/// As a kernel: runs what it knows at once, and knows nothing else, until the link ends.
fn kernel_that_knows(mut link: Talk, known: &'static str) {
    let mut no = 0;
    while let Some(command) = link.command_until_closed() {
        let rid = command["rid"].as_str().unwrap_or_default().to_owned();
        if command["t"] == "SCHED" && rid.starts_with(known) {
            no += 1;
            link.say(&reap(no, &rid, "OK"));
        } else {
            link.say(&format!("{{\"t\":\"EINVAL\",\"status\":{},\"rid\":\"{rid}\"}}\n", command["t"]));
        }
    }
}

/// Each kind of bad client is refused, told of an error or closed within 3 s of connecting, never served, and a good
/// dispatcher beside all of them is served all the while.
#[test]
fn bad_clients_are_turned_away_in_time_and_harm_nobody() {
    let (node, _kernel, link) = Node::with_kernel();
    let link = std::thread::spawn(|| kernel_that_knows(link, "aaaa"));
    let now = unix_ms();
    let call =
        |id: u16, path: &str, rid: &str| support::request(id, &support::call(path, rid, &now), b"body");
    let with = |name: &str, value: &str| {
        let mut params = support::call("/call/read", B, &now);
        params.retain(|(n, _)| *n != name);
        params.push((name, value));
        support::request(1, &params, b"body")
    };
    let huge = |kind, len: usize| {
        let start = [support::begin(1, 1, true), support::record(support::PARAMS, 1, b"", 0)].concat();
        let record = support::record(kind, 1, &[1; 60_000], 0);
        std::iter::once(start).chain(std::iter::repeat_n(record, len / 60_000)).flatten().collect::<Vec<u8>>()
    };
    let clients: Vec<Vec<u8>> = vec![
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        vec![0xff; 1000],
        huge(support::STDIN, 60_000_000),
        huge(support::PARAMS, 10_000_000),
        huge(77, 10_000_000),
        support::record(support::STDIN, 9, b"", 0).repeat(100_000),
        [1, 4, 0, 1, 0xff, 0xff, 0, 0].to_vec(), // a length that does not come
        [support::begin(1, 1, true), support::record(support::PARAMS, 1, &[0xff; 20], 0)].concat(),
        call(1, "/call/dance", B),
        with("HTTP_X_ORG", "nobody"),
        with("HTTP_X_NEED_KB", "NaN"),
        with("HTTP_X_ESTIMATE_MS", "1e300"),
        with("HTTP_X_CRITICALITY", "-1"),
        with("HTTP_X_ARRIVED_MS", "99999999999999"),
        with("HTTP_X_CORRELATION_ID", ""),
        call(1, "/call/read", B), // unknown to the kernel
        [call(1, "/call/read", B), call(1, "/call/read", B)].concat(), // two under one number
        (0..300).flat_map(|id| call(id, "/call/read", &format!("{id:016x}"))).collect(),
        (0..300)
            .flat_map(|id| {
                [call(id, "/call/read", &format!("b{id:015x}")), support::record(support::ABORT, id, b"", 0)]
                    .concat()
            })
            .collect(),
        call(1, "/call/read", B)[..70].to_vec(),
        vec![],
    ];
    std::thread::scope(|scope| {
        let bad: Vec<_> = clients
            .iter()
            .map(|bytes| {
                let mut client = node.connect();
                scope.spawn(move || {
                    let begun = Instant::now();
                    let mut writer = client.stream.try_clone().unwrap();
                    std::thread::scope(|both| {
                        both.spawn(|| drop(writer.write_all(bytes)));
                        while client.done.is_empty() && client.read() > 0 {}
                        assert!(client.done.iter().all(|a| a.status != "200"), "{:?}", client.done);
                        let _ = client.stream.shutdown(std::net::Shutdown::Both);
                    });
                    begun.elapsed()
                })
            })
            .collect();
        let mut good = node.connect();
        for n in 0..200 {
            let rid = format!("aaaa{n:012x}");
            assert_eq!(
                good.ask(&support::request(1, &support::call("/call/read", &rid, &unix_ms()), b"")).status,
                "200"
            );
        }
        for (client, bytes) in bad.into_iter().zip(&clients) {
            let took = client.join().unwrap();
            assert!(took < Duration::from_secs(3), "{took:?}: {:?}", &bytes[..bytes.len().min(60)]);
        }
    });
    drop(node);
    link.join().unwrap();
}

/// Connections that come and go leave no thread and no descriptor behind.
#[test]
fn what_short_connections_took_is_given_back() {
    let (node, _kernel, _link) = Node::with_kernel();
    let pid = node.child.id();
    let threads = || std::fs::read_dir(format!("/proc/{pid}/task")).unwrap().count();
    let descriptors = || std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count();
    let (threads_before, descriptors_before) = (threads(), descriptors());
    for _ in 0..40 {
        let mut all: Vec<_> = (0..50).map(|_| node.connect()).collect();
        assert!(all.iter_mut().all(|dispatcher| dispatcher.ping() == "200"));
    }
    let begun = Instant::now();
    while threads() > threads_before || descriptors() > descriptors_before {
        assert!(begun.elapsed() < PATIENCE, "{} threads, {} descriptors", threads(), descriptors());
        std::thread::yield_now();
    }
}
