//! The protocol of the connection to the executor: JSON objects, one on each line. The executor
//! sends notices, most of them numbered; the node sends commands.
//!
//! The [`Reader`] knows no socket, clock or thread. It outlives connections: on each new one the
//! executor is asked for the notices after the last that was read, and each is passed on once.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use std::borrow::Cow;
use std::fmt::Write;
use thiserror::Error;

/// The longest line, in bytes.
const LINE_MAX: usize = 16 * 1024;

/// Names of notices on the wire, and the values of their status.
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
    /// With a result.
    Ok,
    /// With an error.
    Error,
    /// It was preempted, or came to a backend call after its client had gone.
    Stopped,
    /// It was never started.
    NeverStarted,
}

/// Something that the executor should not have sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Anomaly {
    /// A line that is no known notice.
    UnreadableLine,
    /// A notice whose number was read before.
    RepeatedNotice,
    /// A notice that a new connection should have begun with.
    LostNotice,
}

impl Anomaly {
    /// The name of its counter.
    pub fn as_str(self) -> &'static str {
        match self {
            Anomaly::UnreadableLine => "kernel: lines that make no sense",
            Anomaly::RepeatedNotice => "kernel: notices that came twice",
            Anomaly::LostNotice => "kernel: notices that are gone",
        }
    }
}

/// What the executor sends.
#[derive(Debug, PartialEq)]
pub enum Notice {
    /// The executor has been up for `up_ms` milliseconds.
    Booted {
        /// Whether it started without its caches.
        cold: bool,
        /// Milliseconds since its start.
        up_ms: f64,
    },
    /// An execution has ended.
    ExecutionEnded {
        /// The request's correlation id.
        rid: String,
        /// How it ended.
        end: End,
        /// Milliseconds that it took, by the executor's account.
        time_ms: f64,
        /// The result; empty unless it ended with one.
        body: Vec<u8>,
    },
    /// An execution waits for a backend call.
    BackendCallNeeded {
        /// The notice's number, which a refusal names.
        no: u64,
        /// The request's correlation id.
        rid: String,
        /// What is to be sent to the backend.
        body: Vec<u8>,
    },
    /// The executor gauges.
    Info {
        /// The number of the command that asked for them.
        mark: u64,
        /// Their values, in the order of the deployment's settings.
        values: Vec<f64>,
    },
    /// The work of a deep health check has ended.
    HealthCheckDone {
        /// The number of the command that asked for it.
        mark: u64,
        /// Whether it succeeded.
        ok: bool,
    },
    /// A command was not carried out.
    CommandRefused {
        /// The command's name.
        command: String,
        /// The request's correlation id; empty where the command concerned none.
        rid: String,
    },
    /// Something that the executor should not have sent, and how often.
    Odd(Anomaly, u64),
}

/// Why the connection can't be read on; it must be renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.as_str())]
pub enum ReadError {
    /// A line is longer than 16 KiB.
    LineTooLong,
    /// The numbers of two notices on one connection are not consecutive.
    MissingNotice,
}

impl ReadError {
    /// The text for logs.
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

/// Reads the notices of all connections in a process's life.
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
/// assert_eq!(reader.open(), 1); // a new link asks for what came after it
/// ```
#[derive(Default)]
pub struct Reader {
    /// The part of a line that was read.
    line: Vec<u8>,
    /// The number of the last notice that was read.
    last: u64,
    /// Whether no numbered notice was read on this connection.
    is_fresh: bool,
}

impl Reader {
    /// A new connection begins. Gives the number of the last notice that was read.
    pub fn open(&mut self) -> u64 {
        self.line.clear();
        self.is_fresh = true;
        self.last
    }

    /// Reads the next bytes, and passes each notice to the sink once.
    pub fn feed(
        &mut self,
        mut bytes: &[u8],
        sink: &mut impl FnMut(Notice),
    ) -> Result<(), ReadError> {
        while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
            let (rest, next) = (&bytes[..end], &bytes[end + 1..]);
            bytes = next;
            if self.line.is_empty() {
                self.read_line(rest, sink)?; // most lines come whole and are read in place
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
            if no <= self.last {
                sink(Notice::Odd(Anomaly::RepeatedNotice, 1));
                return Ok(());
            }
            let gap = no - self.last - 1;
            if gap > 0 && !self.is_fresh {
                return Err(ReadError::MissingNotice);
            }
            if gap > 0 {
                sink(Notice::Odd(Anomaly::LostNotice, gap));
            }
            (self.last, self.is_fresh) = (no, false);
        }
        match notice(parsed) {
            Some(Some(notice)) => sink(notice),
            Some(None) => {}
            None => sink(Notice::Odd(Anomaly::UnreadableLine, 1)),
        }
        Ok(())
    }
}

/// Decodes a line: `None` if it is no known notice, `Some(None)` if it is a notice without meaning
/// for the node.
fn notice(line: Line<'_>) -> Option<Option<Notice>> {
    let rid = line.rid.map(Cow::into_owned);
    let mark = line.mark.and_then(|m| m.parse().ok());
    let body = |b64: Option<Cow<'_, str>>| STANDARD.decode(b64?.as_bytes()).ok();
    Some(Some(match &*line.t {
        notice_name::BOOTED => Notice::Booted {
            cold: line.status? == notice_name::COLD,
            up_ms: line.time_ms?.max(0.0),
        },
        notice_name::REAP => {
            // Whatever its status, the execution is over: without a result that can be read it
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

/// What the executor is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Begin a connection: send the notices after the one of this number.
    Open(u64),
    /// Start the execution of a request.
    StartExecution {
        /// The request's correlation id.
        rid: &'a str,
        /// The operation's name.
        route: &'a str,
        /// The request's body.
        body: &'a [u8],
    },
    /// Stop the execution of the request with this correlation id.
    Preempt(&'a str),
    /// Continue an execution with the reply to its backend call.
    ResumeWithReply {
        /// The request's correlation id.
        rid: &'a str,
        /// The reply.
        body: &'a [u8],
    },
    /// Continue an execution without the backend call that it asked for.
    ResumeWithoutReply {
        /// The request's correlation id.
        rid: &'a str,
        /// The number of the notice that asked for it.
        no: u64,
    },
    /// Send the executor gauges; the number comes back with them.
    SysInfo(u64),
    /// Do the work of a deep health check; the number comes back with its result.
    HealthCheck(u64),
}

impl Command<'_> {
    /// Its line, with the line feed.
    pub fn line(&self) -> String {
        use command_name::{IODONE, NOIO, OPEN, POST, PREEMPT, SCHED, SYSINFO};
        let mut line = String::with_capacity(64);
        let quoted = |text: &str| serde_json::Value::from(text).to_string();
        let done = match *self {
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
        debug_assert!(done.is_ok(), "a string takes all that is written");
        line.push('\n');
        line
    }
}

#[cfg(test)]
mod tests;
