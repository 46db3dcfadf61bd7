//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A handle of the record file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file named by the environment variable `RECORD`.
    pub fn create() -> std::io::Result<Record> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Writes a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let ms = self.start.elapsed().as_secs_f64() * 1e3;
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{ms:10.1} {}", line.as_ref());
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.note(line);
    }
}
