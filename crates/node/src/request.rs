//! What a FastCGI request asks for: its parameters read in place.

use crate::fastcgi;
use madderpoint::{DispatcherId, OpId, TenantId};
use madderpoint_facts::Start;

/// The memory that may be booked for one invocation, in KB.
const NEED_KB_MAX: f64 = 2000.0;
/// The longest work that an estimate may name, in milliseconds.
const ESTIMATE_MS_MAX: f64 = 600_000.0;
/// How far an arrival may lie in the future, and before its client timeout, in milliseconds: clocks differ, and
/// machines stand still, but not by more. What lies further off is no time of arrival, and must not be taken for
/// a queue of that length.
const AHEAD_MS: u64 = 5_000;
const OVERDUE_MS: u64 = 60_000;

/// What is asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum Wanted {
    /// A health check; a deep one asks whether work gets done.
    Check {
        /// Whether it is deep.
        deep: bool,
    },
    /// An invocation.
    Invocation(Head),
}

/// An invocation's fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Correlation id: 16 hex digits, as they came.
    pub rid: String,
    /// When it came to the machine, in Unix milliseconds.
    pub arrived_ms: u64,
    /// The operation.
    pub op: OpId,
    /// The tenant, if the settings name it.
    pub tenant: Option<TenantId>,
    /// The dispatcher.
    pub dispatcher: DispatcherId,
    /// The work to expect, in seconds.
    pub work_hint: Option<f64>,
    /// The memory that is booked while it is held.
    pub held_kb: f64,
    /// What a read is about.
    pub subject: Option<u64>,
}

/// Why a request is answered without the decisions: a status and its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected(pub u16, pub &'static str);

/// Reads what a request asks for.
pub fn read(start: &Start, unix_ms: u64, request: &fastcgi::Request) -> Result<Wanted, Rejected> {
    let malformed = |what| Rejected(400, what);
    let (mut path, mut method, mut query) = (None, None, None);
    let (mut rid, mut arrived, mut peer, mut org) = (None, None, None, None);
    let (mut estimate, mut need, mut rank, mut subject) = (None, None, None, None);
    for pair in fastcgi::pairs(&request.params) {
        let (name, value) = pair.map_err(|e| malformed(e.0))?;
        let place = match name {
            b"SCRIPT_NAME" => &mut path,
            b"REQUEST_METHOD" => &mut method,
            b"QUERY_STRING" => &mut query,
            b"HTTP_X_CORRELATION_ID" => &mut rid,
            b"HTTP_X_ARRIVED_MS" => &mut arrived,
            b"HTTP_X_UPSTREAM_PEER" => &mut peer,
            b"HTTP_X_ORG" => &mut org,
            b"HTTP_X_ESTIMATE_MS" => &mut estimate,
            b"HTTP_X_NEED_KB" => &mut need,
            b"HTTP_X_CRITICALITY" => &mut rank,
            b"HTTP_X_SUBJECT" => &mut subject,
            _ => continue,
        };
        *place = Some(str::from_utf8(value).map_err(|_| malformed("a parameter is no text"))?);
    }
    let path = path.ok_or(malformed("no SCRIPT_NAME"))?;
    if path == "/ping" {
        let deep = query.is_some_and(|q| q.split('&').any(|part| part == "e2e=1"));
        return Ok(Wanted::Check { deep });
    }
    let operation = path.strip_prefix("/call/").ok_or(Rejected(404, "unknown path"))?;
    let op = start.operations.iter().position(|name| name == operation);
    let op = OpId(op.ok_or(Rejected(404, "unknown operation"))?);
    if method != Some("POST") {
        return Err(Rejected(405, "method is not POST"));
    }
    if request.oversize {
        return Err(Rejected(413, "parameters or body too large"));
    }
    let rid = rid.filter(|r| r.len() == 16 && r.bytes().all(|b| b.is_ascii_hexdigit()));
    let arrived: Option<u64> = arrived.and_then(|t| t.parse().ok());
    // New dispatchers have new numbers, without end.
    let peer: Option<u64> = peer.and_then(|p| p.parse().ok());
    let need: Option<f64> = need.and_then(|n| n.parse().ok());
    let work_hint = match estimate.map(str::parse::<f64>) {
        None => None,
        Some(Ok(ms)) if (0.0..=ESTIMATE_MS_MAX).contains(&ms) => (ms > 0.0).then_some(ms / 1e3),
        Some(_) => return Err(malformed("X-Estimate-Ms")),
    };
    if rank.is_some_and(|r| !r.parse().is_ok_and(|r: f64| (0.0..=1.0).contains(&r))) {
        return Err(malformed("X-Criticality"));
    }
    let tenant = start.tenants.iter().position(|t| org == Some(t.as_str())).map(TenantId);
    if tenant.is_none() && !start.tenants.is_empty() {
        return Err(Rejected(404, "unknown tenant"));
    }
    let timeout_ms = start.premises.operations[op.0].client_timeout / 1_000_000;
    let in_time = |&t: &u64| t <= unix_ms + AHEAD_MS && t.saturating_add(timeout_ms + OVERDUE_MS) >= unix_ms;
    let subject = match subject.map(|s| u64::from_str_radix(s, 16)) {
        None => None,
        Some(Ok(subject)) => Some(subject),
        Some(Err(_)) => return Err(malformed("X-Subject")),
    };
    Ok(Wanted::Invocation(Head {
        rid: rid.ok_or(malformed("X-Correlation-Id"))?.to_owned(),
        arrived_ms: arrived.filter(in_time).ok_or(malformed("X-Arrived-Ms"))?,
        op,
        tenant,
        dispatcher: DispatcherId(peer.ok_or(malformed("X-Upstream-Peer"))?),
        work_hint,
        held_kb: need.filter(|&n| n > 0.0 && n < NEED_KB_MAX).ok_or(malformed("X-Need-Kb"))?,
        subject,
    }))
}
