//! Encodes the side effects of one node into the reply that all nodes share.

use crate::codes::Action;
use madderpoint::{Host, Nanos, RequestId, TimerId};
use std::cell::RefCell;
use std::fmt;
use std::io::{self, Write};
use std::rc::Rc;

/// Records of the reply to the current batch.
#[derive(Default)]
pub(crate) struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    /// Adds a record whose fields are the concatenated `parts`.
    pub(crate) fn add(&mut self, action: Action, instance: u16, parts: &[&[u8]]) {
        let len = size_of::<u16>() + parts.iter().map(|part| part.len()).sum::<usize>();
        self.count += 1;
        self.body.push(action as u8);
        self.body.extend((len as u32).to_be_bytes());
        self.body.extend(instance.to_be_bytes());
        for part in parts {
            self.body.extend(*part);
        }
    }

    /// Writes the reply to `output` and empties it.
    pub(crate) fn send(&mut self, output: &mut impl Write) -> io::Result<()> {
        output.write_all(&self.count.to_be_bytes())?;
        output.write_all(&(self.body.len() as u32).to_be_bytes())?;
        output.write_all(&self.body)?;
        self.count = 0;
        self.body.clear();
        output.flush()
    }
}

/// [`Host`] of one node, which adds its actions to the reply.
pub(crate) struct WireHost {
    /// Number that identifies the node on the wire.
    pub(crate) instance: u16,
    pub(crate) reply: Rc<RefCell<Reply>>,
}

/// Encodes a duration for the wire, as seconds in a 64-bit float.
fn seconds(span: Nanos) -> [u8; 8] {
    (span as f64 / 1e9).to_be_bytes()
}

impl WireHost {
    fn write(&self, action: Action, parts: &[&[u8]]) {
        self.reply.borrow_mut().add(action, self.instance, parts);
    }

    fn write_id(&self, action: Action, id: RequestId) {
        self.write(action, &[&id.0.to_be_bytes()]);
    }

    /// Writes a text, truncated at a character boundary to the 65535 bytes that its length field
    /// can express.
    pub(crate) fn write_text(&self, action: Action, text: &str) {
        let end = text.floor_char_boundary(text.len().min(usize::from(u16::MAX)));
        self.write(
            action,
            &[&(end as u16).to_be_bytes(), &text.as_bytes()[..end]],
        );
    }
}

impl Host for WireHost {
    fn start(&mut self, id: RequestId) {
        self.write_id(Action::Start, id);
    }
    fn stop(&mut self, id: RequestId) {
        self.write_id(Action::Stop, id);
    }
    fn reject(&mut self, id: RequestId, retry_after: Nanos, stop_trying: bool) {
        self.write(
            Action::Reject,
            &[
                &id.0.to_be_bytes(),
                &seconds(retry_after),
                &[u8::from(stop_trying)],
            ],
        );
    }
    fn fail(&mut self, id: RequestId) {
        self.write_id(Action::Fail, id);
    }
    fn call_backend(&mut self, id: RequestId, timeout: Nanos) {
        let parts: &[&[u8]] = &[&id.0.to_be_bytes(), &seconds(timeout)];
        self.write(Action::CallBackend, parts);
    }
    fn skip_backend_call(&mut self, id: RequestId) {
        self.write_id(Action::SkipBackendCall, id);
    }
    fn retain_idempotency_key(&mut self, id: RequestId, lifetime: Nanos) {
        let parts: &[&[u8]] = &[&id.0.to_be_bytes(), &seconds(lifetime)];
        self.write(Action::RetainIdempotencyKey, parts);
    }
    fn release_idempotency_key(&mut self, id: RequestId) {
        self.write_id(Action::ReleaseIdempotencyKey, id);
    }
    fn coalesce(&mut self, id: RequestId) {
        self.write_id(Action::Coalesce, id);
    }
    fn set_health(&mut self, healthy: bool, from_cache: bool) {
        let flags = [u8::from(healthy), u8::from(from_cache)];
        self.write(Action::SetHealth, &[&flags]);
    }
    fn report_load(&mut self, value: f64) {
        self.write(Action::ReportLoad, &[&(value as f32).to_be_bytes()]);
    }
    fn close_idle_connections(&mut self, idle_for: Nanos) {
        self.write(Action::CloseIdleConnections, &[&seconds(idle_for)]);
    }
    fn set_timer(&mut self, timer: TimerId, after: Nanos) {
        let parts: &[&[u8]] = &[&timer.0.to_be_bytes(), &seconds(after)];
        self.write(Action::SetTimer, parts);
    }
    fn log(&mut self, line: fmt::Arguments<'_>) {
        self.write_text(Action::Log, &line.to_string());
    }
}
