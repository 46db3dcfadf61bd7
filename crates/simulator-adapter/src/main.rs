//! Speaks the simulator's wire: decodes events into calls on [`AdmissionController`] and encodes
//! what it does.

#![forbid(unsafe_code)]

mod frame;
#[cfg(test)]
mod tests;

use frame::{Fields, Malformed, Reply};
use madderpoint::admission::AdmissionController;
use madderpoint::{
    Arrival, BackendCallOutcome, ExecutionOutcome, Gauges, Host, LoadBalancerId, Nanos,
    OperationId, RequestId, TenantId, TimerId,
};
use madderpoint_deployment_config::{self as facts, DeploymentConfig};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufWriter, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::rc::Rc;

/// Writes one instance's actions into the reply that all share.
struct WireHost {
    instance: u16,
    reply: Rc<RefCell<Reply>>,
}

fn seconds(span: Nanos) -> [u8; 8] {
    (span as f64 / 1e9).to_be_bytes()
}

impl WireHost {
    fn write(&self, code: u8, parts: &[&[u8]]) {
        self.reply.borrow_mut().record(code, self.instance, parts);
    }

    fn text(&self, code: u8, text: &str) {
        let end = text.floor_char_boundary(text.len().min(usize::from(u16::MAX)));
        self.write(
            code,
            &[&(end as u16).to_be_bytes(), &text.as_bytes()[..end]],
        );
    }
}

impl Host for WireHost {
    fn start(&mut self, id: RequestId) {
        self.write(16, &[&id.0.to_be_bytes()]);
    }
    fn reject(&mut self, id: RequestId, pause: Nanos, last: bool) {
        self.write(
            17,
            &[&id.0.to_be_bytes(), &seconds(pause), &[u8::from(last)]],
        );
    }
    fn fail(&mut self, id: RequestId) {
        self.write(18, &[&id.0.to_be_bytes()]);
    }
    fn stop(&mut self, id: RequestId) {
        self.write(19, &[&id.0.to_be_bytes()]);
    }
    fn call_backend(&mut self, id: RequestId, timeout: Nanos) {
        self.write(20, &[&id.0.to_be_bytes(), &seconds(timeout)]);
    }
    fn skip_backend_call(&mut self, id: RequestId) {
        self.write(21, &[&id.0.to_be_bytes()]);
    }
    fn retain_idempotency_key(&mut self, id: RequestId, lifetime: Nanos) {
        self.write(22, &[&id.0.to_be_bytes(), &seconds(lifetime)]);
    }
    fn release_idempotency_key(&mut self, id: RequestId) {
        self.write(23, &[&id.0.to_be_bytes()]);
    }
    fn coalesce(&mut self, id: RequestId) {
        self.write(24, &[&id.0.to_be_bytes()]);
    }
    fn set_health(&mut self, good: bool, from_store: bool) {
        self.write(25, &[&[u8::from(good), u8::from(from_store)]]);
    }
    fn report_load(&mut self, value: f64) {
        self.write(26, &[&(value as f32).to_be_bytes()]);
    }
    fn close_idle_connections(&mut self, after: Nanos) {
        self.write(27, &[&seconds(after)]);
    }
    fn set_timer(&mut self, alarm: TimerId, after: Nanos) {
        self.write(28, &[&alarm.0.to_be_bytes(), &seconds(after)]);
    }
    fn log(&mut self, line: fmt::Arguments<'_>) {
        self.text(29, &line.to_string());
    }
}

/// One node's decisions, with what is needed to decode its events.
struct Instance {
    admission: AdmissionController<WireHost>,
    start: DeploymentConfig,
}

#[derive(Default)]
struct Adapter {
    /// `None` once the module has failed for an instance: the bench was told, and it gets no more
    /// events.
    instances: BTreeMap<u16, Option<Instance>>,
    reply: Rc<RefCell<Reply>>,
}

fn ending(code: u8) -> Option<ExecutionOutcome> {
    match code {
        0 => Some(ExecutionOutcome::Succeeded),
        5 => Some(ExecutionOutcome::Failed),
        125 => Some(ExecutionOutcome::Cancelled),
        114 => Some(ExecutionOutcome::NeverStarted),
        _ => None,
    }
}

fn call_ending(code: u8) -> Option<BackendCallOutcome> {
    match code {
        0 => Some(BackendCallOutcome::Succeeded),
        11 | 111 | 114 => Some(BackendCallOutcome::NotExecuted),
        110 | 125 => Some(BackendCallOutcome::Abandoned),
        5 | 104 => Some(BackendCallOutcome::PossiblyExecuted),
        _ => None,
    }
}

/// The value at a place, where 0 means that there is none.
fn present<T: PartialEq + Default>(value: T) -> Option<T> {
    (value != T::default()).then_some(value)
}

impl Instance {
    fn arrival(&self, fields: &mut Fields<'_>) -> Result<Arrival, Malformed> {
        let id = RequestId(fields.u64("Ticket")?);
        let op = usize::from(fields.u8("Kind")?);
        if op >= self.start.operations.len() {
            return Err(fields.malformed("Kind", format!("no class {op}")));
        }
        let tenant = usize::from(fields.u16("Party")?);
        let subject = fields.u64("Item")?;
        let time_left = fields.nanos("Remaining")?;
        let work = fields.f64("Work")?;
        let queued_kb = fields.f32("HeldKb")?;
        let _rank = fields.f32("Rank")?;
        let opts = fields.u8("Opts")?;
        let dispatcher = LoadBalancerId(fields.u16("OriginPeer")?.into());
        let age = fields.nanos("Lay")?;
        let repeats = present(fields.u64("Forerunner")?).map(RequestId);
        Ok(Arrival {
            id,
            operation: OperationId(op),
            tenant: (tenant < self.start.tenants.len()).then_some(TenantId(tenant)),
            load_balancer: dispatcher,
            has_subject: subject != 0,
            time_left: if self.start.passes_deadline {
                present(time_left)
            } else {
                None
            },
            work_hint: (opts & 1 != 0 && work > 0.0).then_some(work),
            queued_kb: f64::from(queued_kb.max(0.0)),
            age,
            duplicate_of: repeats,
        })
    }

    fn read_gauges(&self, fields: &mut Fields<'_>) -> Result<Gauges, Malformed> {
        let count = fields.u8("Feedback")?;
        let values: Vec<_> = (0..count)
            .map(|_| fields.f32("Feedback"))
            .collect::<Result<_, _>>()?;
        Ok(self.start.gauges(values.into_iter().map(f64::from)))
    }

    /// Decodes one event's fields and calls the method for it.
    fn event(&mut self, code: u8, now: Nanos, fields: &mut Fields<'_>) -> Result<(), Malformed> {
        match code {
            16 => self
                .admission
                .on_client_cancelled(now, RequestId(fields.u64("Ticket")?)),
            17 => self.admission.start_drain(now, fields.nanos("Remaining")?),
            18 => {
                let id = RequestId(fields.u64("Ticket")?);
                let reason = fields.u8("Reason")?;
                let ending = call_ending(reason).ok_or_else(|| {
                    fields.malformed("Reason", format!("unknown outcome {reason}"))
                })?;
                self.admission
                    .on_backend_call_ended(now, id, ending, fields.nanos("Latency")?);
            }
            21 => {
                let alarm = TimerId(fields.u64("KeyBack")?);
                let gauges = self.read_gauges(fields)?;
                self.admission.on_timer(now, alarm, gauges);
            }
            22 => {
                let id = RequestId(fields.u64("Ticket")?);
                let reason = fields.u8("Reason")?;
                let ending = ending(reason).ok_or_else(|| {
                    fields.malformed("Reason", format!("unknown outcome {reason}"))
                })?;
                self.admission
                    .on_execution_ended(now, id, ending, fields.nanos("Latency")?);
            }
            23 => {
                let arrival = self.arrival(fields)?;
                self.admission.on_arrival(now, arrival);
            }
            _ => self
                .admission
                .on_backend_call_needed(now, RequestId(fields.u64("Ticket")?)),
        }
        Ok(())
    }
}

impl Adapter {
    fn record(&mut self, now: Nanos, code: u8, base: usize, bytes: &[u8]) -> Result<(), Malformed> {
        let name = match code {
            16 => "hangup",
            17 => "lame_duck",
            18 => "call_ended",
            19 => "killed",
            20 => "init",
            21 => "alarm",
            22 => "wound_up",
            23 => "req",
            24 => "awaiting",
            _ => {
                return Err(
                    Fields::new(bytes, base, &code.to_string()).malformed("code", "unknown record")
                );
            }
        };
        let mut fields = Fields::new(bytes, base, name);
        let number = fields.u16("I")?;
        if code == 19 {
            self.instances.remove(&number);
            return Ok(());
        }
        let host = WireHost {
            instance: number,
            reply: Rc::clone(&self.reply),
        };
        if code == 20 {
            let seed = fields.u64("Entropy")?;
            let len = fields.u32("Facts")? as usize;
            let text = fields.bytes("Facts", len)?;
            let start = facts::decode(text).map_err(|what| fields.malformed("Facts", what))?;
            let admission = AdmissionController::new(now, host, start.deployment.clone(), seed);
            self.instances
                .insert(number, Some(Instance { admission, start }));
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(fields.malformed("I", format!("no instance {number}")));
        };
        let Some(instance) = instance else {
            return Ok(());
        };
        match catch_unwind(AssertUnwindSafe(|| instance.event(code, now, &mut fields))) {
            Ok(done) => done,
            Err(panic) => {
                let text = panic.downcast_ref::<&str>().map(ToString::to_string);
                let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
                host.text(30, &text.unwrap_or_else(|| "panic".into()));
                self.instances.insert(number, None);
                Ok(())
            }
        }
    }

    fn batch(&mut self, now: Nanos, body: &[u8]) -> Result<(), Malformed> {
        let mut records = Fields::new(body, 12, "batch");
        while !records.is_empty() {
            let code = records.u8("code")?;
            let len = records.u32("length")? as usize;
            let base = records.offset();
            let bytes = records.bytes("fields", len)?;
            self.record(now, code, base, bytes)?;
        }
        Ok(())
    }

    fn serve(&mut self, input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
        let mut body = Vec::new();
        while let Some(now) = frame::read_batch(input, &mut body).map_err(|m| m.to_string())? {
            self.batch(now, &body).map_err(|m| m.to_string())?;
            self.reply
                .borrow_mut()
                .send(output)
                .map_err(|e| format!("reply: {e}"))?;
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    let output = io::stdout();
    match Adapter::default().serve(&mut io::stdin().lock(), &mut BufWriter::new(output.lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("madderpoint-simhost: {what}");
            ExitCode::FAILURE
        }
    }
}
