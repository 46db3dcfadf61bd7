//! Codes on the simulator's wire, with the library's names for them.

use madderpoint::{BackendCallOutcome, ExecutionOutcome};

/// A record that the simulator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// The client no longer waits.
    ClientCancelled,
    /// The node is to leave.
    Drain,
    /// A backend call ended.
    BackendCallEnded,
    /// The node's process died.
    Killed,
    /// A node starts.
    Started,
    /// A timer expired.
    Timer,
    /// An execution or a coalesced wait ended.
    ExecutionEnded,
    /// A request was read.
    Arrival,
    /// An execution has come to a backend call.
    BackendCallNeeded,
}

impl Event {
    /// The event of a code, with its name on the wire.
    pub(crate) fn from_code(code: u8) -> Option<(Event, &'static str)> {
        Some(match code {
            16 => (Event::ClientCancelled, "hangup"),
            17 => (Event::Drain, "lame_duck"),
            18 => (Event::BackendCallEnded, "call_ended"),
            19 => (Event::Killed, "killed"),
            20 => (Event::Started, "init"),
            21 => (Event::Timer, "alarm"),
            22 => (Event::ExecutionEnded, "wound_up"),
            23 => (Event::Arrival, "req"),
            24 => (Event::BackendCallNeeded, "awaiting"),
            _ => return None,
        })
    }
}

/// A record that the adapter sends, with its name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Action {
    /// `process`
    Start = 16,
    /// `turn_away`
    Reject = 17,
    /// `give_up`
    Fail = 18,
    /// `suspend`
    Stop = 19,
    /// `call`
    CallBackend = 20,
    /// `degrade`
    SkipBackendCall = 21,
    /// `record_key`
    RetainIdempotencyKey = 22,
    /// `drop_key`
    ReleaseIdempotencyKey = 23,
    /// `join`
    Coalesce = 24,
    /// `status`
    SetHealth = 25,
    /// `stamp`
    ReportLoad = 26,
    /// `idle`
    CloseIdleConnections = 27,
    /// `schedule`
    SetTimer = 28,
    /// `write_log`
    Log = 29,
    /// `bug`
    Fault = 30,
}

/// Outcomes on the wire, as `Reason` has them.
const OK: u8 = 0;
const ERROR: u8 = 5;
const FULL: u8 = 11;
const RESET: u8 = 104;
const TIMEOUT: u8 = 110;
const CONNECT_FAILED: u8 = 111;
const MOOT: u8 = 114;
const CANCELLED: u8 = 125;

/// How an execution ended.
pub(crate) fn execution_outcome(reason: u8) -> Option<ExecutionOutcome> {
    match reason {
        OK => Some(ExecutionOutcome::Succeeded),
        ERROR => Some(ExecutionOutcome::Failed),
        CANCELLED => Some(ExecutionOutcome::Cancelled),
        MOOT => Some(ExecutionOutcome::NeverStarted),
        _ => None,
    }
}

/// How a backend call ended.
pub(crate) fn backend_call_outcome(reason: u8) -> Option<BackendCallOutcome> {
    match reason {
        OK => Some(BackendCallOutcome::Succeeded),
        FULL | CONNECT_FAILED | MOOT => Some(BackendCallOutcome::NotExecuted),
        TIMEOUT | CANCELLED => Some(BackendCallOutcome::Abandoned),
        ERROR | RESET => Some(BackendCallOutcome::PossiblyExecuted),
        _ => None,
    }
}
