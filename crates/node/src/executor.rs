//! The kernel's link: JSON objects, one on each line. Knows which notices were read and what is
//! missing.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use std::borrow::Cow;
use std::fmt::Write;

/// The longest line; no notice comes near.
const LINE_MAX: usize = 16 * 1024;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a result.
    Ok,
    /// With an error.
    Error,
    /// It was stopped, or came to a call when nobody waited any more.
    Stopped,
    /// Nothing was started.
    Moot,
}

/// What the kernel says.
#[derive(Debug, PartialEq)]
pub enum Notice {
    /// The kernel is up since so many milliseconds.
    Booted { cold: bool, up_ms: f64 },
    /// A run is over.
    Reap {
        rid: String,
        end: End,
        time_ms: f64,
        body: Vec<u8>,
    },
    /// A run waits for a call.
    IoReq { no: u64, rid: String, body: Vec<u8> },
    /// The gauges, in the order of the settings.
    Info { mark: u64, values: Vec<f64> },
    /// The work of a deep health check was done.
    Posted { mark: u64, ok: bool },
    /// A command was not carried out.
    EInval { command: String, rid: String },
    /// Something that ought not to come, and how often it did.
    Odd(&'static str, u64),
}

/// The link can't be read on: it must be renewed.
#[derive(Debug, PartialEq, Eq)]
pub struct Broken(pub &'static str);

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

/// Reads notices over all links of a node's life.
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
/// assert_eq!(notices, [Notice::Reap { rid, end: End::Moot, time_ms: 2.0, body: vec![] }]);
/// assert_eq!(reader.open(), 1); // a new link asks for what came after it
/// ```
#[derive(Default)]
pub struct Reader {
    line: Vec<u8>,
    last: u64,
    /// Whether no numbered notice was read on this link.
    fresh: bool,
}

impl Reader {
    /// A new link begins; gives the number of the last notice that was read.
    pub fn open(&mut self) -> u64 {
        self.line.clear();
        self.fresh = true;
        self.last
    }

    /// Takes the next bytes and hands on each notice once.
    pub fn feed(&mut self, mut bytes: &[u8], sink: &mut impl FnMut(Notice)) -> Result<(), Broken> {
        while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
            let (rest, next) = (&bytes[..end], &bytes[end + 1..]);
            bytes = next;
            if self.line.is_empty() {
                self.read(rest, sink)?; // most lines come whole and are read in place
                continue;
            }
            let mut line = std::mem::take(&mut self.line);
            line.extend_from_slice(rest);
            self.read(&line, sink)?;
        }
        self.line.extend_from_slice(bytes);
        if self.line.len() > LINE_MAX {
            Err(Broken("line too long"))
        } else {
            Ok(())
        }
    }

    fn read(&mut self, line: &[u8], sink: &mut impl FnMut(Notice)) -> Result<(), Broken> {
        if line.len() > LINE_MAX {
            return Err(Broken("line too long"));
        }
        let Ok(parsed) = serde_json::from_slice::<Line>(line) else {
            sink(Notice::Odd("kernel: lines that make no sense", 1));
            return Ok(());
        };
        if let Some(no) = parsed.no {
            if no <= self.last {
                sink(Notice::Odd("kernel: notices that came twice", 1));
                return Ok(());
            }
            let gap = no - self.last - 1;
            if gap > 0 && !self.fresh {
                return Err(Broken("a notice is missing"));
            }
            if gap > 0 {
                sink(Notice::Odd("kernel: notices that are gone", gap));
            }
            (self.last, self.fresh) = (no, false);
        }
        match notice(parsed) {
            Some(Some(notice)) => sink(notice),
            Some(None) => {}
            None => sink(Notice::Odd("kernel: lines that make no sense", 1)),
        }
        Ok(())
    }
}

/// What a line means: `None` if nothing that is known, `Some(None)` if a remark.
fn notice(line: Line<'_>) -> Option<Option<Notice>> {
    let rid = line.rid.map(Cow::into_owned);
    let mark = line.mark.and_then(|m| m.parse().ok());
    let body = |b64: Option<Cow<'_, str>>| STANDARD.decode(b64?.as_bytes()).ok();
    Some(Some(match &*line.t {
        "BOOTED" => Notice::Booted {
            cold: line.status? == "COLD",
            up_ms: line.time_ms?.max(0.0),
        },
        "REAP" => {
            // Whatever it says of the end, the run is over: without a result that can be read it
            // failed.
            let (end, body) = match (&*line.status?, body(line.b64)) {
                ("OK", Some(body)) => (End::Ok, body),
                ("STOPPED", _) => (End::Stopped, Vec::new()),
                ("MOOT", _) => (End::Moot, Vec::new()),
                _ => (End::Error, Vec::new()),
            };
            Notice::Reap {
                rid: rid?,
                end,
                time_ms: line.time_ms.unwrap_or(0.0).max(0.0),
                body,
            }
        }
        "IOREQ" => Notice::IoReq {
            no: line.no?,
            rid: rid?,
            body: body(line.b64)?,
        },
        "INFO" => Notice::Info {
            mark: mark?,
            values: line.v?,
        },
        "POSTED" => Notice::Posted {
            mark: mark?,
            ok: line.status? == "OK",
        },
        "EINVAL" => Notice::EInval {
            command: line.status?.into_owned(),
            rid: rid.unwrap_or_default(),
        },
        "DMESG" => return Some(None),
        _ => return None,
    }))
}

/// What is asked of the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Begin a link: notices after this one are wanted.
    Open(u64),
    /// Run a request.
    Sched {
        rid: &'a str,
        route: &'a str,
        body: &'a [u8],
    },
    /// Stop a run.
    Preempt(&'a str),
    /// The reply to a call.
    IoDone { rid: &'a str, body: &'a [u8] },
    /// Go on without the call that a notice asked for.
    NoIo { rid: &'a str, no: u64 },
    /// Tell the gauges.
    SysInfo(u64),
    /// Do the work of a deep health check.
    Post(u64),
}

impl Command<'_> {
    /// The line for it.
    pub fn line(&self) -> String {
        let mut line = String::with_capacity(64);
        let quoted = |text: &str| serde_json::Value::from(text).to_string();
        let done = match *self {
            Command::Open(no) => write!(line, r#"{{"t":"OPEN","no":{no}}}"#),
            Command::Sched { rid, route, body } => {
                let (route, body) = (quoted(route), STANDARD.encode(body));
                write!(
                    line,
                    r#"{{"t":"SCHED","rid":"{rid}","route":{route},"b64":"{body}"}}"#
                )
            }
            Command::Preempt(rid) => write!(line, r#"{{"t":"PREEMPT","rid":"{rid}"}}"#),
            Command::IoDone { rid, body } => {
                write!(
                    line,
                    r#"{{"t":"IODONE","rid":"{rid}","b64":"{}"}}"#,
                    STANDARD.encode(body)
                )
            }
            Command::NoIo { rid, no } => write!(line, r#"{{"t":"NOIO","rid":"{rid}","no":{no}}}"#),
            Command::SysInfo(mark) => write!(line, r#"{{"t":"SYSINFO","mark":"{mark}"}}"#),
            Command::Post(mark) => write!(line, r#"{{"t":"POST","mark":"{mark}"}}"#),
        };
        debug_assert!(done.is_ok(), "a string takes all that is written");
        line.push('\n');
        line
    }
}

#[cfg(test)]
mod tests;
