//! The protocol of the connection to the executor: JSON objects, one on each line. The executor
//! sends notices, most of them numbered; the node sends commands.
//!
//! The [`Reader`] uses no socket, clock or thread. It outlives connections: on each new connection
//! the node requests the notices after the last one that was read, and the reader passes each
//! notice on once.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use std::borrow::Cow;
use std::fmt::Write;
use thiserror::Error;

/// Maximum length of a line, in bytes.
const LINE_MAX: usize = 16 * 1024;

/// Names of notices on the wire, and the values of their `status` field.
mod notice_name {
    pub const BOOTED: &str = "BOOTED";
    pub const REAP: &str = "REAP";
    pub const IOREQ: &str = "IOREQ";
    pub const INFO: &str = "INFO";
    pub const POSTED: &str = "POSTED";
    pub const EINVAL: &str = "EINVAL";
    pub const DMESG: &str = "DMESG";

    pub const COLD: &str = "COLD";
    pub const OK: &str = "OK";
    pub const STOPPED: &str = "STOPPED";
    pub const MOOT: &str = "MOOT";
}

/// Names of commands on the wire.
mod command_name {
    pub const OPEN: &str = "OPEN";
    pub const SCHED: &str = "SCHED";
    pub const PREEMPT: &str = "PREEMPT";
    pub const IODONE: &str = "IODONE";
    pub const NOIO: &str = "NOIO";
    pub const SYSINFO: &str = "SYSINFO";
    pub const POST: &str = "POST";
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The execution returned a result.
    Ok,
    /// The execution failed.
    Error,
    /// The execution was preempted, or reached a backend call after its client had disconnected.
    Stopped,
    /// The execution was never started.
    NeverStarted,
}

/// A violation of the protocol by the executor that does not end the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Anomaly {
    /// A line that is not a known notice.
    UnreadableLine,
    /// A notice with a number that was read before.
    RepeatedNotice,
    /// A notice that the executor should have repeated at the start of a new connection.
    LostNotice,
}

impl Anomaly {
    /// Returns the name of the counter for this anomaly.
    pub fn as_str(self) -> &'static str {
        match self {
            Anomaly::UnreadableLine => "kernel: lines that make no sense",
            Anomaly::RepeatedNotice => "kernel: notices that came twice",
            Anomaly::LostNotice => "kernel: notices that are gone",
        }
    }
}

/// A message from the executor.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The executor has been up for `up_ms` milliseconds.
    Booted {
        /// True if the executor started with cold caches.
        cold: bool,
        /// Milliseconds since the executor's start.
        up_ms: f64,
    },
    /// An execution has ended.
    ExecutionEnded {
        /// The request's correlation id.
        rid: String,
        /// Outcome of the execution, which decides the answer to the request.
        end: End,
        /// Duration of the execution as the executor measured it, in milliseconds.
        time_ms: f64,
        /// The result; empty unless `end` is [`End::Ok`].
        body: Vec<u8>,
    },
    /// An execution waits for a backend call.
    BackendCallNeeded {
        /// The notice's number, which [`Command::ResumeWithoutReply`] refers to.
        no: u64,
        /// The request's correlation id.
        rid: String,
        /// Body of the call to the backend.
        body: Vec<u8>,
    },
    /// The executor gauges.
    Info {
        /// The number in the [`Command::SysInfo`] that requested the gauges.
        mark: u64,
        /// Values of the gauges, in the order in which the deployment configuration names them.
        values: Vec<f64>,
    },
    /// The work of a deep health check has ended.
    HealthCheckDone {
        /// The number in the [`Command::HealthCheck`] that requested the work.
        mark: u64,
        /// True if the work succeeded, which makes the health check succeed.
        ok: bool,
    },
    /// The executor did not carry out a command.
    CommandRefused {
        /// The command's name.
        command: String,
        /// The request's correlation id; empty if the command concerned no request.
        rid: String,
    },
    /// An anomaly, and the number of its occurrences.
    Odd(Anomaly, u64),
}

/// Why a connection cannot be read any further and must be replaced by a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.as_str())]
pub enum ReadError {
    /// A line is longer than 16 KiB.
    LineTooLong,
    /// The numbers of two notices on one connection are not consecutive.
    MissingNotice,
}

impl ReadError {
    /// Returns the text for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ReadError::LineTooLong => "line too long",
            ReadError::MissingNotice => "a notice is missing",
        }
    }
}

/// The fields of a notice on the wire.
#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    t: Cow<'a, str>,
    no: Option<u64>,
    #[serde(borrow)]
    rid: Option<Cow<'a, str>>,
    #[serde(borrow)]
    status: Option<Cow<'a, str>>,
    time_ms: Option<f64>,
    #[serde(borrow)]
    b64: Option<Cow<'a, str>>,
    #[serde(borrow)]
    mark: Option<Cow<'a, str>>,
    v: Option<Vec<f64>>,
}

/// Parses the notices of all connections of this process to the executor.
///
/// ```
/// use madderpoint_node::executor::{Command, End, Notice, Reader};
///
/// let mut reader = Reader::default();
/// assert_eq!(Command::Open(reader.open()).line(), "{\"t\":\"OPEN\",\"no\":0}\n");
/// let mut notices = Vec::new();
/// for part in ["{\"t\":\"REAP\",\"no\":1,\"rid\":\"9b1f\",", "\"status\":\"MOOT\",\"time_ms\":2}\n"] {
///     reader.feed(part.as_bytes(), &mut |notice| notices.push(notice)).unwrap();
/// }
/// let rid = "9b1f".to_owned();
/// assert_eq!(notices, [Notice::ExecutionEnded { rid, end: End::NeverStarted, time_ms: 2.0, body: vec![] }]);
/// assert_eq!(reader.open(), 1); // a new connection requests the notices after it
/// ```
#[derive(Default)]
pub struct Reader {
    /// Bytes read so far of a line that is not complete yet.
    line: Vec<u8>,
    /// Number of the last notice that was read.
    last_notice: u64,
    /// Whether no numbered notice has been read on this connection yet.
    is_fresh: bool,
}

impl Reader {
    /// Starts reading a new connection. Returns the number of the last notice that was read, for
    /// [`Command::Open`]; 0 if none was read.
    pub fn open(&mut self) -> u64 {
        self.line.clear();
        self.is_fresh = true;
        self.last_notice
    }

    /// Parses the next bytes and passes each notice to `sink` once, also if it was sent on several
    /// connections.
    pub fn feed(
        &mut self,
        mut bytes: &[u8],
        sink: &mut impl FnMut(Notice),
    ) -> Result<(), ReadError> {
        while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
            let (rest, next) = (&bytes[..end], &bytes[end + 1..]);
            bytes = next;
            if self.line.is_empty() {
                self.read_line(rest, sink)?; // most lines arrive whole and are parsed in place
                continue;
            }
            let mut line = std::mem::take(&mut self.line);
            line.extend_from_slice(rest);
            self.read_line(&line, sink)?;
        }
        self.line.extend_from_slice(bytes);
        if self.line.len() > LINE_MAX {
            Err(ReadError::LineTooLong)
        } else {
            Ok(())
        }
    }

    fn read_line(&mut self, line: &[u8], sink: &mut impl FnMut(Notice)) -> Result<(), ReadError> {
        if line.len() > LINE_MAX {
            return Err(ReadError::LineTooLong);
        }
        let Ok(parsed) = serde_json::from_slice::<Line>(line) else {
            sink(Notice::Odd(Anomaly::UnreadableLine, 1));
            return Ok(());
        };
        if let Some(no) = parsed.no {
            if no <= self.last_notice {
                sink(Notice::Odd(Anomaly::RepeatedNotice, 1));
                return Ok(());
            }
            let lost = no - self.last_notice - 1;
            if lost > 0 && !self.is_fresh {
                return Err(ReadError::MissingNotice);
            }
            if lost > 0 {
                sink(Notice::Odd(Anomaly::LostNotice, lost));
            }
            (self.last_notice, self.is_fresh) = (no, false);
        }
        match decode_notice(parsed) {
            Some(Some(notice)) => sink(notice),
            Some(None) => {}
            None => sink(Notice::Odd(Anomaly::UnreadableLine, 1)),
        }
        Ok(())
    }
}

/// Decodes a line. Returns `None` if the line is not a known notice, and `Some(None)` if the notice
/// does not concern the node.
fn decode_notice(line: Line<'_>) -> Option<Option<Notice>> {
    let rid = line.rid.map(Cow::into_owned);
    let mark = line.mark.and_then(|m| m.parse().ok());
    let body = |b64: Option<Cow<'_, str>>| STANDARD.decode(b64?.as_bytes()).ok();
    Some(Some(match &*line.t {
        notice_name::BOOTED => Notice::Booted {
            cold: line.status? == notice_name::COLD,
            up_ms: line.time_ms?.max(0.0),
        },
        notice_name::REAP => {
            // The execution has ended, whatever the status. Without a readable result it counts as
            // failed.
            let (end, body) = match (&*line.status?, body(line.b64)) {
                (notice_name::OK, Some(body)) => (End::Ok, body),
                (notice_name::STOPPED, _) => (End::Stopped, Vec::new()),
                (notice_name::MOOT, _) => (End::NeverStarted, Vec::new()),
                _ => (End::Error, Vec::new()),
            };
            Notice::ExecutionEnded {
                rid: rid?,
                end,
                time_ms: line.time_ms.unwrap_or(0.0).max(0.0),
                body,
            }
        }
        notice_name::IOREQ => Notice::BackendCallNeeded {
            no: line.no?,
            rid: rid?,
            body: body(line.b64)?,
        },
        notice_name::INFO => Notice::Info {
            mark: mark?,
            values: line.v?,
        },
        notice_name::POSTED => Notice::HealthCheckDone {
            mark: mark?,
            ok: line.status? == notice_name::OK,
        },
        notice_name::EINVAL => Notice::CommandRefused {
            command: line.status?.into_owned(),
            rid: rid.unwrap_or_default(),
        },
        notice_name::DMESG => return Some(None),
        _ => return None,
    }))
}

/// A message to the executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Begins a connection and requests the notices after the notice with this number.
    Open(u64),
    /// Starts the execution of a request.
    StartExecution {
        /// The request's correlation id.
        rid: &'a str,
        /// The operation's name.
        route: &'a str,
        /// The request's body.
        body: &'a [u8],
    },
    /// Stops the execution of the request with this correlation id.
    Preempt(&'a str),
    /// Continues an execution with the reply to its backend call.
    ResumeWithReply {
        /// The request's correlation id.
        rid: &'a str,
        /// Body of the reply.
        body: &'a [u8],
    },
    /// Continues an execution without the backend call that it requested.
    ResumeWithoutReply {
        /// The request's correlation id.
        rid: &'a str,
        /// The number of the notice that requested the call.
        no: u64,
    },
    /// Requests the executor gauges. The [`Notice::Info`] that answers carries the same number.
    SysInfo(u64),
    /// Requests the work of a deep health check. The [`Notice::HealthCheckDone`] that answers
    /// carries the same number.
    HealthCheck(u64),
}

impl Command<'_> {
    /// Encodes the command as a line that ends in a line feed.
    pub fn line(&self) -> String {
        use command_name::{IODONE, NOIO, OPEN, POST, PREEMPT, SCHED, SYSINFO};
        let mut line = String::with_capacity(64);
        let quoted = |text: &str| serde_json::Value::from(text).to_string();
        let written = match *self {
            Command::Open(no) => write!(line, r#"{{"t":"{OPEN}","no":{no}}}"#),
            Command::StartExecution { rid, route, body } => {
                let (route, body) = (quoted(route), STANDARD.encode(body));
                write!(
                    line,
                    r#"{{"t":"{SCHED}","rid":"{rid}","route":{route},"b64":"{body}"}}"#
                )
            }
            Command::Preempt(rid) => write!(line, r#"{{"t":"{PREEMPT}","rid":"{rid}"}}"#),
            Command::ResumeWithReply { rid, body } => {
                write!(
                    line,
                    r#"{{"t":"{IODONE}","rid":"{rid}","b64":"{}"}}"#,
                    STANDARD.encode(body)
                )
            }
            Command::ResumeWithoutReply { rid, no } => {
                write!(line, r#"{{"t":"{NOIO}","rid":"{rid}","no":{no}}}"#)
            }
            Command::SysInfo(mark) => write!(line, r#"{{"t":"{SYSINFO}","mark":"{mark}"}}"#),
            Command::HealthCheck(mark) => write!(line, r#"{{"t":"{POST}","mark":"{mark}"}}"#),
        };
        debug_assert!(written.is_ok(), "writing to a string cannot fail");
        line.push('\n');
        line
    }
}

#[cfg(test)]
mod tests;
