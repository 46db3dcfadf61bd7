//! Runs one [`AdmissionController`] for each simulated node: decodes the simulator's events into
//! method calls and answers each batch with the resulting actions.

use crate::batch::{HEADER_LEN, read_batch};
use crate::codes::{Action, Event, backend_call_outcome, execution_outcome};
use crate::error::{AdapterError, Cause, Malformed};
use crate::fields::Fields;
use crate::host::{Reply, WireHost};
use madderpoint::admission::AdmissionController;
use madderpoint::{
    Arrival, Gauges, LoadBalancerId, Nanos, OperationId, RequestId, TenantId, TimerId,
};
use madderpoint_deployment_config::DeploymentConfig;
use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// Bit of a request's `Opts` field: the `Work` field holds a work hint.
const HAS_WORK_HINT: u8 = 1;

/// The simulated nodes and the reply that they share.
#[derive(Default)]
pub(crate) struct Adapter {
    /// Nodes by their number. `None` after the admission controller of a node has panicked: the
    /// panic was reported, and further events for the node are ignored.
    instances: BTreeMap<u16, Option<Instance>>,
    reply: Rc<RefCell<Reply>>,
}

/// Admission controller of one node, and the configuration for decoding its events.
struct Instance {
    admission: AdmissionController<WireHost>,
    config: DeploymentConfig,
}

impl Adapter {
    /// Answers each batch from `input` with a reply on `output` until the input ends.
    pub(crate) fn serve(
        &mut self,
        input: &mut impl Read,
        output: &mut impl Write,
    ) -> Result<(), AdapterError> {
        let mut body = Vec::new();
        while let Some(now) = read_batch(input, &mut body)? {
            self.on_batch(now, &body)?;
            let mut reply = self.reply.borrow_mut();
            reply.send(output).map_err(AdapterError::Reply)?;
        }
        Ok(())
    }

    fn on_batch(&mut self, now: Nanos, body: &[u8]) -> Result<(), Malformed> {
        let mut records = Fields::new(body, HEADER_LEN, "batch");
        while !records.is_empty() {
            let code = records.u8("code")?;
            let len = records.u32("length")? as usize;
            let base = records.offset();
            let bytes = records.bytes("fields", len)?;
            let Some((event, name)) = Event::from_code(code) else {
                let record = Fields::new(bytes, base, code.to_string());
                return Err(record.malformed("code", Cause::UnknownRecord));
            };
            self.on_record(now, event, Fields::new(bytes, base, name))?;
        }
        Ok(())
    }

    fn on_record(
        &mut self,
        now: Nanos,
        event: Event,
        mut fields: Fields<'_>,
    ) -> Result<(), Malformed> {
        let number = fields.u16("I")?;
        let host = WireHost {
            instance: number,
            reply: Rc::clone(&self.reply),
        };
        match event {
            Event::Killed => {
                self.instances.remove(&number);
                return Ok(());
            }
            Event::Started => {
                let instance = Instance::start(now, host, &mut fields)?;
                self.instances.insert(number, Some(instance));
                return Ok(());
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(fields.malformed("I", Cause::NoInstance(number)));
        };
        let Some(instance) = instance else {
            return Ok(());
        };
        catch_unwind(AssertUnwindSafe(|| {
            instance.on_event(now, event, &mut fields)
        }))
        .unwrap_or_else(|panic| {
            host.write_text(Action::Fault, &panic_text(&*panic));
            self.instances.insert(number, None);
            Ok(())
        })
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(ToString::to_string);
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "panic".into())
}

impl Instance {
    fn start(now: Nanos, host: WireHost, fields: &mut Fields<'_>) -> Result<Self, Malformed> {
        let seed = fields.u64("Entropy")?;
        let len = fields.u32("Facts")? as usize;
        let text = fields.bytes("Facts", len)?;
        let config = madderpoint_deployment_config::decode(text)
            .map_err(|error| fields.malformed("Facts", error))?;
        let admission = AdmissionController::new(now, host, config.deployment.clone(), seed);
        Ok(Instance { admission, config })
    }

    /// Decodes the fields of one event and calls the matching method of the admission controller.
    fn on_event(
        &mut self,
        now: Nanos,
        event: Event,
        fields: &mut Fields<'_>,
    ) -> Result<(), Malformed> {
        match event {
            Event::Arrival => {
                let arrival = self.arrival(fields)?;
                self.admission.on_arrival(now, arrival);
            }
            Event::BackendCallNeeded => {
                let id = RequestId(fields.u64("Ticket")?);
                self.admission.on_backend_call_needed(now, id);
            }
            Event::BackendCallEnded => {
                let id = RequestId(fields.u64("Ticket")?);
                let outcome = outcome(fields, backend_call_outcome)?;
                let latency = fields.nanos("Latency")?;
                self.admission
                    .on_backend_call_ended(now, id, outcome, latency);
            }
            Event::ExecutionEnded => {
                let id = RequestId(fields.u64("Ticket")?);
                let outcome = outcome(fields, execution_outcome)?;
                let latency = fields.nanos("Latency")?;
                self.admission.on_execution_ended(now, id, outcome, latency);
            }
            Event::ClientCancelled => {
                let id = RequestId(fields.u64("Ticket")?);
                self.admission.on_client_cancelled(now, id);
            }
            Event::Timer => {
                let timer = TimerId(fields.u64("KeyBack")?);
                let gauges = self.gauges(fields)?;
                self.admission.on_timer(now, timer, gauges);
            }
            Event::Drain => self.admission.start_drain(now, fields.nanos("Remaining")?),
            Event::Started | Event::Killed => {}
        }
        Ok(())
    }

    fn arrival(&self, fields: &mut Fields<'_>) -> Result<Arrival, Malformed> {
        let id = RequestId(fields.u64("Ticket")?);
        let operation = usize::from(fields.u8("Kind")?);
        if operation >= self.config.operation_names.len() {
            return Err(fields.malformed("Kind", Cause::NoOperation(operation)));
        }
        let tenant = usize::from(fields.u16("Party")?);
        let subject = fields.u64("Item")?;
        let time_left = fields.nanos("Remaining")?;
        let work = fields.f64("Work")?;
        let queued_kb = fields.f32("HeldKb")?;
        let _rank = fields.f32("Rank")?;
        let options = fields.u8("Opts")?;
        let load_balancer = LoadBalancerId(fields.u16("OriginPeer")?.into());
        let age = fields.nanos("Lay")?;
        let duplicate_of = non_zero(fields.u64("Forerunner")?).map(RequestId);
        Ok(Arrival {
            id,
            operation: OperationId(operation),
            tenant: (tenant < self.config.tenant_names.len()).then_some(TenantId(tenant)),
            load_balancer,
            has_subject: subject != 0,
            time_left: non_zero(time_left).filter(|_| self.config.passes_deadline),
            work_hint: (options & HAS_WORK_HINT != 0 && work > 0.0).then_some(work),
            queued_kb: f64::from(queued_kb.max(0.0)),
            age,
            duplicate_of,
        })
    }

    fn gauges(&self, fields: &mut Fields<'_>) -> Result<Gauges, Malformed> {
        let count = fields.u8("Feedback")?;
        let values: Vec<_> = (0..count)
            .map(|_| fields.f32("Feedback"))
            .collect::<Result<_, _>>()?;
        Ok(self.config.gauges(values.into_iter().map(f64::from)))
    }
}

/// Reads the `Reason` field and converts its code to an outcome.
fn outcome<T>(
    fields: &mut Fields<'_>,
    from_code: impl Fn(u8) -> Option<T>,
) -> Result<T, Malformed> {
    let code = fields.u8("Reason")?;
    from_code(code).ok_or_else(|| fields.malformed("Reason", Cause::UnknownOutcome(code)))
}

/// Returns `None` for a field with value 0, which the wire uses for an absent value.
fn non_zero<T: PartialEq + Default>(value: T) -> Option<T> {
    (value != T::default()).then_some(value)
}
