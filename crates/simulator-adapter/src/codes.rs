//! Numeric codes of the simulator's wire protocol, mapped to the library's names.

use madderpoint::{BackendCallOutcome, ExecutionOutcome};

/// Type of a record that the simulator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// The client cancelled a request.
    ClientCancelled,
    /// The node starts to drain.
    Drain,
    /// A backend call ended.
    BackendCallEnded,
    /// The process of a node was killed.
    Killed,
    /// The process of a node started.
    Started,
    /// A timer that the adapter set with [`Action::SetTimer`] expired.
    Timer,
    /// An execution or a coalesced wait ended.
    ExecutionEnded,
    /// A node read a request.
    Arrival,
    /// An execution waits for the node to make, delay or skip its next backend call.
    BackendCallNeeded,
}

impl Event {
    /// Returns the event for a record code, and the name of the record on the wire.
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

/// Type of a record that the adapter sends, with its name on the wire. The methods of
/// [`Host`](madderpoint::Host) describe the actions.
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
    /// `bug`: the admission controller of the node panicked.
    Fault = 30,
}

// Codes of the `Reason` field.
const OK: u8 = 0;
const ERROR: u8 = 5;
const FULL: u8 = 11;
const RESET: u8 = 104;
const TIMEOUT: u8 = 110;
const CONNECT_FAILED: u8 = 111;
const MOOT: u8 = 114;
const CANCELLED: u8 = 125;

/// Returns the execution outcome for a `Reason` code.
pub(crate) fn execution_outcome(reason: u8) -> Option<ExecutionOutcome> {
    match reason {
        OK => Some(ExecutionOutcome::Succeeded),
        ERROR => Some(ExecutionOutcome::Failed),
        CANCELLED => Some(ExecutionOutcome::Cancelled),
        MOOT => Some(ExecutionOutcome::NeverStarted),
        _ => None,
    }
}

/// Returns the backend call outcome for a `Reason` code.
pub(crate) fn backend_call_outcome(reason: u8) -> Option<BackendCallOutcome> {
    match reason {
        OK => Some(BackendCallOutcome::Succeeded),
        FULL | CONNECT_FAILED | MOOT => Some(BackendCallOutcome::NotExecuted),
        TIMEOUT | CANCELLED => Some(BackendCallOutcome::Abandoned),
        ERROR | RESET => Some(BackendCallOutcome::PossiblyExecuted),
        _ => None,
    }
}
