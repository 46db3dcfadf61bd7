//! The node's log: `tracing` events, written as lines to standard error, at most
//! [`LINES_PER_SECOND`] per second.
//!
//! Every event has as its target the part of the node that emits it ([`part`]). Its message is
//! constant, and variable data is in fields:
//!
//! ```
//! use madderpoint_node::log::part;
//!
//! tracing::warn!(target: part::EXECUTOR, error = "refused", "connect failed");
//! ```
//!
//! In the plain form this event is written as
//! `madderpoint: executor: connect failed error="refused"`. The JSON form is one object with
//! `timestamp` (Unix time in nanoseconds), `level`, `message` (the text of the plain form after the
//! part), `node`, `part`, `event` and each field. `event` is the message or, for an event whose
//! message is built at run time, the field of that name.
//!
//! Events of level `TRACE` are the steps of single requests. They are written only if
//! [`Options::follow`] is set, and the rate limit does not apply to them.

use serde_json::Value;
use std::fmt::{self, Write};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The parts of the node that write to the log, used as targets of events.
pub mod part {
    /// Admission decisions: changes of the mode.
    pub const ADMISSION: &str = "admission";
    /// Backend calls and the links to the backend.
    pub const BACKEND: &str = "backend";
    /// Membership of the cluster.
    pub const CLUSTER: &str = "cluster";
    /// The file that `PROXY_CONFIG` names.
    pub const CONFIGURATION: &str = "configuration";
    /// The connection to the executor.
    pub const EXECUTOR: &str = "executor";
    /// Connections of load balancers.
    pub const LOAD_BALANCER: &str = "load balancer";
    /// The log itself.
    pub const LOG: &str = "log";
    /// Totals of the node's metrics.
    pub const METRICS: &str = "metrics";
    /// The node as a whole.
    pub const NODE: &str = "node";
    /// Steps of single requests.
    pub const REQUEST: &str = "request";
    /// Rollouts of settings and of the program.
    pub const ROLLOUT: &str = "rollout";
    /// Rules and their limits.
    pub const RULES: &str = "rules";
    /// Reports to the service registry.
    pub const SERVICE_REGISTRY: &str = "service registry";
    /// The settings file.
    pub const SETTINGS: &str = "settings";
    /// Budgets, quotas and counters of the cluster.
    pub const SHARED_STATE: &str = "shared";
    /// The supervisor, and the connection to it.
    pub const SUPERVISOR: &str = "supervisor";
}

/// The field that names an event whose message is not constant.
const EVENT_FIELD: &str = "event";
/// The field in which `tracing` passes the message.
const MESSAGE_FIELD: &str = "message";

/// Maximum number of lines in one second of the system's clock. Lines of level `TRACE` are not
/// counted.
const LINES_PER_SECOND: u64 = 40;

/// The form of the lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// Text for human readers.
    #[default]
    Plain,
    /// One JSON object per line.
    Json,
}

/// Options of the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// The form of the lines.
    pub form: Form,
    /// Whether the steps of each request are also written.
    pub follow: bool,
}

/// Starts writing events to standard error. Only the first call takes effect.
pub fn start(node: &str, options: Options) {
    let level = if options.follow {
        LevelFilter::TRACE
    } else {
        LevelFilter::INFO
    };
    let format = LineFormat {
        node: node.to_owned(),
        form: options.form,
        rate: RateLimit::default(),
    };
    let _ = tracing_subscriber::fmt()
        .event_format(format)
        .with_max_level(level)
        .with_writer(io::stderr)
        .try_init();
}

/// Permits [`LINES_PER_SECOND`] lines per second and counts the lines left out.
#[derive(Debug, Default)]
struct RateLimit {
    /// The current second, in Unix time.
    second: AtomicU64,
    /// Number of lines that events requested in the current second, written or not.
    asked: AtomicU64,
    /// Number of lines left out since the last permitted line.
    left_out: AtomicU64,
}

impl RateLimit {
    /// Returns the number of lines left out before this one if another line may be written in this
    /// second, and `None` if not.
    fn permit(&self, second: u64) -> Option<u64> {
        if self.second.swap(second, Relaxed) != second {
            self.asked.store(0, Relaxed);
        }
        if self.asked.fetch_add(1, Relaxed) >= LINES_PER_SECOND {
            self.left_out.fetch_add(1, Relaxed);
            return None;
        }
        Some(self.left_out.swap(0, Relaxed))
    }
}

/// Writes events as lines.
struct LineFormat {
    /// The node's name, for JSON.
    node: String,
    form: Form,
    rate: RateLimit,
}

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let level = *event.metadata().level();
        if level < Level::TRACE {
            match self.rate.permit(unix.as_secs()) {
                None => return Ok(()), // an empty buffer writes no line
                Some(0) => {}
                Some(count) => self.write_left_out(&mut writer, unix, count)?,
            }
        }
        let line = Line {
            unix,
            level,
            part: event.metadata().target(),
        };
        match self.form {
            Form::Plain => {
                line.write_plain(&mut writer, |visitor| event.record(visitor))?;
            }
            Form::Json => {
                let mut fields = JsonFields::default();
                event.record(&mut fields);
                line.write_json(&mut writer, &self.node, &fields)?;
            }
        }
        Ok(())
    }
}

impl LineFormat {
    fn write_left_out(&self, writer: &mut Writer<'_>, unix: Duration, count: u64) -> fmt::Result {
        let line = Line {
            unix,
            level: Level::WARN,
            part: part::LOG,
        };
        let message = "lines left out";
        match self.form {
            Form::Plain => line.write_plain(writer, |text| {
                text.message(format_args!("{message}"));
                text.field("count", format_args!("{count}"));
            }),
            Form::Json => {
                let mut fields = JsonFields::default();
                fields.set_message(message.to_owned());
                fields.push("count", Value::from(count), format_args!("{count}"));
                line.write_json(writer, &self.node, &fields)
            }
        }
    }
}

/// The data that a log line has in both forms.
struct Line<'a> {
    /// Unix time of the event.
    unix: Duration,
    level: Level,
    part: &'a str,
}

impl Line<'_> {
    fn write_plain(
        &self,
        writer: &mut Writer<'_>,
        record: impl FnOnce(&mut PlainFields<'_, '_>),
    ) -> fmt::Result {
        write!(writer, "madderpoint: {}: ", self.part)?;
        let mut fields = PlainFields {
            writer,
            result: Ok(()),
        };
        record(&mut fields);
        fields.result?;
        writeln!(writer)
    }

    fn write_json(&self, writer: &mut Writer<'_>, node: &str, fields: &JsonFields) -> fmt::Result {
        let text = |text: &str| Value::from(text);
        let event = fields.event.as_ref().unwrap_or(&fields.name);
        write!(
            writer,
            r#"{{"timestamp":"{}","level":"{}","message":{},"node":{},"part":{},"event":{}"#,
            self.unix.as_nanos(),
            self.level,
            text(&fields.message),
            text(node),
            text(self.part),
            text(event),
        )?;
        for (name, value) in &fields.fields {
            write!(writer, ",{}:{value}", text(name))?;
        }
        writeln!(writer, "}}")
    }
}

/// Writes the message and, after it, the fields as ` name=value`.
struct PlainFields<'a, 'w> {
    writer: &'a mut Writer<'w>,
    result: fmt::Result,
}

impl PlainFields<'_, '_> {
    fn message(&mut self, text: fmt::Arguments<'_>) {
        self.result = self.result.and_then(|()| self.writer.write_fmt(text));
    }

    fn field(&mut self, name: &str, value: fmt::Arguments<'_>) {
        self.result = self
            .result
            .and_then(|()| write!(self.writer, " {name}={value}"));
    }
}

impl Visit for PlainFields<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            EVENT_FIELD => {}
            MESSAGE_FIELD => self.message(format_args!("{value:?}")),
            name => self.field(name, format_args!("{value:?}")),
        }
    }
}

/// Collects the message and the fields of an event for a JSON line.
#[derive(Default)]
struct JsonFields {
    /// The message without the fields.
    name: String,
    /// The message and the fields, as in the plain form.
    message: String,
    /// Value of the field `event`; `None` for an event whose message is constant.
    event: Option<String>,
    fields: Vec<(&'static str, Value)>,
}

impl JsonFields {
    fn set_message(&mut self, text: String) {
        self.message.insert_str(0, &text);
        self.name = text;
    }

    fn push(&mut self, name: &'static str, value: Value, text: fmt::Arguments<'_>) {
        let _ = write!(self.message, " {name}={text}"); // writing to a string cannot fail
        self.fields.push((name, value));
    }
}

impl Visit for JsonFields {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            EVENT_FIELD => self.event = Some(format!("{value:?}")),
            MESSAGE_FIELD => self.set_message(format!("{value:?}")),
            name => {
                let text = format!("{value:?}");
                self.push(name, Value::from(text.as_str()), format_args!("{text}"));
            }
        }
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            EVENT_FIELD => self.event = Some(value.to_owned()),
            MESSAGE_FIELD => self.set_message(value.to_owned()),
            name => self.push(name, Value::from(value), format_args!("{value:?}")),
        }
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.push(field.name(), Value::from(value), format_args!("{value:?}"));
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.push(field.name(), Value::from(value), format_args!("{value}"));
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.push(field.name(), Value::from(value), format_args!("{value}"));
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.push(field.name(), Value::from(value), format_args!("{value}"));
    }
}

#[cfg(test)]
mod tests;
