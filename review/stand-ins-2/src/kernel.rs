//! The kernel: runs requests and makes their calls known. It keeps to the protocol page: notices
//! are numbered and kept, a new link replaces the one before it, runs go on without a link, and a
//! request that is over starts nothing.

use crate::encoding::{base64, field, from_base64};
use crate::record::Record;
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A step of a run.
#[derive(Clone, Debug)]
pub enum Step {
    /// Work for this time.
    Work(Duration),
    /// A call with this body.
    Call(Vec<u8>),
}

/// What the kernel knows of a request, and what it has seen.
#[derive(Clone, Default, Debug)]
pub struct Seen {
    /// Class and body as the dispatcher sent them.
    pub class: String,
    pub body: Vec<u8>,
    pub steps: Vec<Step>,
    /// Whether the request is over: answered, or no longer waited for.
    pub over: bool,
    /// Number of runs that were started.
    pub runs: u32,
    /// Bodies with which calls were resumed (`None`: without a reply), in order.
    pub resumed: Vec<Option<Vec<u8>>>,
}

struct Run {
    resume: Sender<Option<Vec<u8>>>,
    /// Number of the notice of the call that the run waits for.
    waits: Option<u64>,
    stop: bool,
}

#[derive(Default)]
struct State {
    runs: HashMap<String, Run>,
    notices: Vec<String>,
    link: Option<Link>,
    links: u64,
    trouble: Trouble,
    /// State of the random numbers.
    chance: u64,
    /// Share of the cores that was in use, at intervals of [`SAMPLE`], for the last half second.
    use_of_cores: VecDeque<f64>,
}

/// Time between two samples of the load of the cores.
const SAMPLE: Duration = Duration::from_millis(5);
/// Number of samples in half a second.
const SAMPLES: usize = 100;
/// Step by which a run advances.
const TICK: Duration = Duration::from_millis(1);

/// Disruptions on the link.
#[derive(Clone, Copy, Default)]
pub struct Trouble {
    /// Notices that arrive in two pieces, of 100.
    pub pieces: u64,
    /// The most time between the pieces, in milliseconds.
    pub apart_ms: u64,
}

/// A link's writer.
struct Link {
    number: u64,
    stream: TcpStream,
    lines: Sender<(Vec<u8>, Duration)>,
}

impl Link {
    fn write(&self, bytes: &[u8]) {
        let _ = self.lines.send((bytes.to_vec(), Duration::ZERO));
    }

    /// Writes the rest after a pause.
    fn write_in_pieces(&self, bytes: &[u8], apart: Duration) {
        let (first, rest) = bytes.split_at(bytes.len() / 2);
        let _ = self.lines.send((first.to_vec(), apart));
        let _ = self.lines.send((rest.to_vec(), Duration::ZERO));
    }
}

fn write_lines(mut stream: TcpStream, lines: &Receiver<(Vec<u8>, Duration)>) {
    while let Ok((bytes, pause)) = lines.recv() {
        if stream.write_all(&bytes).is_err() {
            return;
        }
        thread::sleep(pause);
    }
}

/// A kernel that is up.
#[derive(Clone)]
pub struct Kernel {
    state: Arc<Mutex<State>>,
    requests: Arc<Mutex<HashMap<String, Seen>>>,
    record: Record,
    start: Instant,
    /// Number of cores, by which the gauge of their load is computed.
    cores: u32,
}

impl Kernel {
    /// Creates a kernel that is up and warm.
    pub fn new(record: &Record, cores: u32) -> Kernel {
        let kernel = Kernel {
            state: Arc::default(),
            requests: Arc::default(),
            record: record.clone(),
            start: Instant::now(),
            cores,
        };
        kernel.sample();
        kernel
    }

    /// Listens on a new loopback address. A new link replaces the link before it.
    pub fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let kernel = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let kernel = kernel.clone();
                thread::spawn(move || kernel.serve(stream));
            }
        });
        Ok(address)
    }

    /// Listens on a new loopback address as an executor that accepts several links, and reports to
    /// each on its own runs.
    pub fn listen_for_several(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let kernel = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let kernel = Kernel {
                    state: Arc::default(),
                    ..kernel.clone()
                };
                kernel.sample();
                thread::spawn(move || kernel.serve(stream));
            }
        });
        Ok(address)
    }

    /// Makes a request known before it is written to a node.
    pub fn add(&self, rid: &str, class: &str, body: &[u8], steps: Vec<Step>) {
        let seen = Seen {
            class: class.to_owned(),
            body: body.to_vec(),
            steps,
            ..Seen::default()
        };
        self.known().insert(rid.to_owned(), seen);
    }

    /// Records that a request is over.
    pub fn over(&self, rid: &str) {
        if let Some(seen) = self.known().get_mut(rid) {
            seen.over = true;
        }
    }

    /// Returns what was seen of a request.
    pub fn seen(&self, rid: &str) -> Seen {
        self.known().get(rid).cloned().unwrap_or_default()
    }

    /// Returns the number of runs on the cores: those that do not wait for a call.
    pub fn working(&self) -> usize {
        self.lock()
            .runs
            .values()
            .filter(|run| run.waits.is_none())
            .count()
    }

    /// Returns the share of the cores that was in use in the last half second.
    fn busy(&self) -> f64 {
        let state = self.lock();
        let samples = state.use_of_cores.len().max(1);
        state.use_of_cores.iter().sum::<f64>() / samples as f64
    }

    /// Samples the load of the cores from now on.
    fn sample(&self) {
        let kernel = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(SAMPLE);
                let used = (kernel.working() as f64 / f64::from(kernel.cores)).min(1.0);
                let mut state = kernel.lock();
                state.use_of_cores.push_back(used);
                if state.use_of_cores.len() > SAMPLES {
                    state.use_of_cores.pop_front();
                }
            }
        });
    }

    /// Breaks the link.
    pub fn break_link(&self) {
        self.record.note("kernel: link broken");
        let mut state = self.lock();
        if let Some(link) = state.link.take() {
            let _ = link.stream.shutdown(Shutdown::Both);
        }
    }

    /// Sets the disruptions on the link.
    pub fn set_trouble(&self, trouble: Trouble) {
        self.lock().trouble = trouble;
    }

    fn known(&self) -> std::sync::MutexGuard<'_, HashMap<String, Seen>> {
        self.requests.lock().expect("the kernel's requests")
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("the kernel's state")
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut number = 0;
        for line in BufReader::new(reader).lines().map_while(Result::ok) {
            if field(&line, "t") == Some("OPEN") {
                number = self.open(&line, &stream);
            } else if self.is_current(number) {
                self.command(&line);
            }
        }
        let mut state = self.lock();
        if state
            .link
            .as_ref()
            .is_some_and(|link| link.number == number)
        {
            state.link = None;
        }
    }

    fn is_current(&self, number: u64) -> bool {
        self.lock()
            .link
            .as_ref()
            .is_some_and(|link| link.number == number)
    }

    fn open(&self, line: &str, stream: &TcpStream) -> u64 {
        let after: usize = field(line, "no")
            .and_then(|no| no.parse().ok())
            .unwrap_or(0);
        self.record
            .note(format!("kernel: link opened after notice {after}"));
        let mut state = self.lock();
        state.links += 1;
        let number = state.links;
        if let Some(old) = state.link.take() {
            let _ = old.stream.shutdown(Shutdown::Both);
        }
        let (Ok(writer), Ok(stream)) = (stream.try_clone(), stream.try_clone()) else {
            return 0;
        };
        let (lines, written) = channel();
        thread::spawn(move || write_lines(writer, &written));
        let link = Link {
            number,
            stream,
            lines,
        };
        let up = self.start.elapsed().as_millis();
        let mut text = format!("{{\"t\":\"BOOTED\",\"status\":\"WARM\",\"time_ms\":{up}}}\n");
        for notice in state.notices.iter().skip(after) {
            text += notice;
        }
        link.write(text.as_bytes());
        state.link = Some(link);
        number
    }

    fn command(&self, line: &str) {
        let rid = field(line, "rid").unwrap_or_default().to_owned();
        match field(line, "t").unwrap_or_default() {
            "SYSINFO" => {
                let mark = field(line, "mark").unwrap_or_default();
                let runs = self.lock().runs.len();
                let busy = self.busy();
                self.write(&format!(
                    "{{\"t\":\"INFO\",\"mark\":\"{mark}\",\"v\":[{busy},{runs},0.05,10]}}\n"
                ));
            }
            "POST" => {
                let mark = field(line, "mark").unwrap_or_default();
                self.write(&format!(
                    "{{\"t\":\"POSTED\",\"mark\":\"{mark}\",\"status\":\"OK\"}}\n"
                ));
            }
            "SCHED" => self.start_run(&rid, line),
            "PREEMPT" => {
                self.record.note(format!("kernel: PREEMPT {rid}"));
                if let Some(run) = self.lock().runs.get_mut(&rid) {
                    run.stop = true;
                }
            }
            "IODONE" => {
                let body = field(line, "b64").and_then(from_base64).unwrap_or_default();
                self.record.note(format!(
                    "kernel: IODONE {rid} {:?}",
                    String::from_utf8_lossy(&body)
                ));
                self.resume(&rid, None, Some(body));
            }
            "NOIO" => {
                let no = field(line, "no").and_then(|no| no.parse().ok());
                self.record.note(format!("kernel: NOIO {rid} {no:?}"));
                self.resume(&rid, no, None);
            }
            _ => self.record.note(format!("kernel: unknown line {line}")),
        }
    }

    fn resume(&self, rid: &str, no: Option<u64>, reply: Option<Vec<u8>>) {
        let mut state = self.lock();
        let Some(run) = state.runs.get_mut(rid) else {
            return;
        };
        if run.waits.is_none() || no.is_some() && no != run.waits {
            return;
        }
        run.waits = None;
        let _ = run.resume.send(reply.clone());
        if let Some(seen) = self.known().get_mut(rid) {
            seen.resumed.push(reply);
        }
    }

    fn start_run(&self, rid: &str, line: &str) {
        let body = field(line, "b64").and_then(from_base64).unwrap_or_default();
        let class = field(line, "route").unwrap_or_default();
        let mut state = self.lock();
        self.record.note(format!("kernel: SCHED {rid}"));
        let known = self
            .known()
            .get(rid)
            .filter(|seen| seen.class == class && seen.body == body)
            .map(|seen| (seen.over, seen.steps.clone()));
        let Some((over, steps)) = known else {
            drop(state);
            self.write(&format!(
                "{{\"t\":\"EINVAL\",\"status\":\"SCHED\",\"rid\":\"{rid}\"}}\n"
            ));
            return;
        };
        if state.runs.contains_key(rid) {
            return;
        }
        if over {
            self.notice(
                &mut state,
                &format!("\"rid\":\"{rid}\",\"status\":\"MOOT\",\"time_ms\":0"),
                "REAP",
            );
            return;
        }
        if let Some(seen) = self.known().get_mut(rid) {
            seen.runs += 1;
            self.record
                .note(format!("kernel: run {} of {rid} starts", seen.runs));
        }
        let (resume, resumed) = channel();
        let run = Run {
            resume,
            waits: None,
            stop: false,
        };
        state.runs.insert(rid.to_owned(), run);
        drop(state);
        let (kernel, rid) = (self.clone(), rid.to_owned());
        thread::spawn(move || kernel.run(&rid, steps, &resumed));
    }

    fn run(&self, rid: &str, steps: Vec<Step>, resumed: &Receiver<Option<Vec<u8>>>) {
        let begun = Instant::now();
        let mut result = format!("result of {rid}").into_bytes();
        for step in steps {
            match step {
                Step::Work(time) => {
                    // All that runs shares the cores.
                    let (mut left, mut last) = (time.as_secs_f64(), Instant::now());
                    while left > 0.0 {
                        if self.is_stopped(rid) {
                            return self.end(rid, begun, "STOPPED", None);
                        }
                        let speed = (f64::from(self.cores) / self.working().max(1) as f64).min(1.0);
                        thread::sleep(TICK.min(Duration::from_secs_f64(left / speed)));
                        let now = Instant::now();
                        left -= (now - last).as_secs_f64() * speed;
                        last = now;
                    }
                }
                Step::Call(body) => {
                    let mut state = self.lock();
                    if self.known().get(rid).is_some_and(|seen| seen.over) {
                        drop(state);
                        return self.end(rid, begun, "STOPPED", None);
                    }
                    let no = state.notices.len() as u64 + 1;
                    if let Some(run) = state.runs.get_mut(rid) {
                        run.waits = Some(no);
                    }
                    self.notice(
                        &mut state,
                        &format!("\"rid\":\"{rid}\",\"b64\":\"{}\"", base64(&body)),
                        "IOREQ",
                    );
                    drop(state);
                    loop {
                        match resumed.recv_timeout(Duration::from_millis(5)) {
                            Ok(Some(reply)) => {
                                result.extend_from_slice(b" | ");
                                result.extend_from_slice(&reply);
                                break;
                            }
                            Ok(None) => {
                                result.extend_from_slice(b" | no reply");
                                break;
                            }
                            Err(_) if self.seen(rid).over || self.is_stopped(rid) => {
                                return self.end(rid, begun, "STOPPED", None);
                            }
                            Err(_) => {}
                        }
                    }
                }
            }
        }
        self.end(rid, begun, "OK", Some(result));
    }

    fn is_stopped(&self, rid: &str) -> bool {
        self.lock().runs.get(rid).is_some_and(|run| run.stop)
    }

    fn end(&self, rid: &str, begun: Instant, status: &str, result: Option<Vec<u8>>) {
        let ms = begun.elapsed().as_secs_f64() * 1e3;
        let b64 = result.map_or_else(String::new, |result| {
            format!(",\"b64\":\"{}\"", base64(&result))
        });
        let mut state = self.lock();
        state.runs.remove(rid);
        self.notice(
            &mut state,
            &format!("\"rid\":\"{rid}\",\"status\":\"{status}\",\"time_ms\":{ms:.1}{b64}"),
            "REAP",
        );
    }

    /// Numbers a notice, keeps it and writes it on the link.
    fn notice(&self, state: &mut State, fields: &str, kind: &str) {
        let no = state.notices.len() + 1;
        let line = format!("{{\"t\":\"{kind}\",\"no\":{no},{fields}}}\n");
        self.record
            .note(format!("kernel: notice {}", line.trim_end()));
        state.chance = state
            .chance
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let (trouble, chance) = (state.trouble, state.chance >> 20);
        if let Some(link) = &state.link {
            if chance % 100 < trouble.pieces {
                let apart = Duration::from_millis((chance >> 10) % trouble.apart_ms.max(1) + 1);
                link.write_in_pieces(line.as_bytes(), apart);
            } else {
                link.write(line.as_bytes());
            }
        }
        state.notices.push(line);
    }

    fn write(&self, line: &str) {
        if let Some(link) = &self.lock().link {
            link.write(line.as_bytes());
        }
    }
}
