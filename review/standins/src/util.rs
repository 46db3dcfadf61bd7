//! Time, base64, fields of JSON lines, and the record of a case.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds, with fractions.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0u32, |word, &b| word << 8 | u32::from(b));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(ALPHABET[(word >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Option<Vec<u8>> {
    let (mut out, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for b in text.trim_end_matches('=').bytes() {
        let value = ALPHABET.iter().position(|&a| a == b)? as u32;
        (word, bits) = (word << 6 | value, bits + 6);
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    Some(out)
}

/// The value of a field of a JSON object in one line. Values are numbers or strings without escapes.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = line[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next().map(str::trim),
    }
}

/// The file `record.txt` of a case.
pub struct Record {
    file: Mutex<BufWriter<File>>,
    started: f64,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            file: Mutex::new(BufWriter::new(
                File::create(path).expect("record.txt cannot be written"),
            )),
            started: unix_ms(),
        }
    }

    /// Writes a line with the milliseconds since the start.
    pub fn line(&self, text: &str) {
        let at = unix_ms() - self.started;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

type Task = Box<dyn FnOnce() + Send>;

/// The number of the last task, and the tasks by due time and number.
type Tasks = (u64, BTreeMap<(Instant, u64), Task>);

/// Runs tasks after a time, on one thread.
#[derive(Clone, Default)]
pub struct Timers {
    tasks: Arc<(Mutex<Tasks>, Condvar)>,
}

impl Timers {
    pub fn start() -> Timers {
        let timers = Timers::default();
        let running = timers.clone();
        thread::spawn(move || running.run());
        timers
    }

    pub fn after(&self, ms: u64, task: impl FnOnce() + Send + 'static) {
        let due = Instant::now() + Duration::from_millis(ms);
        let mut tasks = self.tasks.0.lock().unwrap();
        tasks.0 += 1;
        let number = tasks.0;
        tasks.1.insert((due, number), Box::new(task));
        self.tasks.1.notify_one();
    }

    fn run(&self) {
        let mut tasks = self.tasks.0.lock().unwrap();
        loop {
            let now = Instant::now();
            let next = tasks.1.first_key_value().map(|(&(due, _), _)| due);
            match next {
                Some(due) if due <= now => {
                    let (_, task) = tasks.1.pop_first().unwrap();
                    drop(tasks);
                    task();
                    tasks = self.tasks.0.lock().unwrap();
                }
                Some(due) => tasks = self.tasks.1.wait_timeout(tasks, due - now).unwrap().0,
                None => tasks = self.tasks.1.wait(tasks).unwrap(),
            }
        }
    }
}

/// Pseudo-random numbers; the same seed gives the same numbers.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound.max(1)
    }
}
