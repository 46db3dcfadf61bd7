//! What a FastCGI request asks for: its parameters read in place.

use crate::fastcgi;
use madderpoint::{Idempotency, LoadBalancerId, Nanos, OperationId, TenantId};
use madderpoint_deployment_config::DeploymentConfig;
use madderpoint_rules::Facts;

/// The memory that may be booked for one invocation, in KB.
const NEED_KB_MAX: f64 = 2000.0;
/// The longest work that an estimate may name, in milliseconds.
const ESTIMATE_MS_MAX: f64 = 600_000.0;
/// How far an arrival may lie in the future, and before its client timeout, in milliseconds: clocks
/// differ, and machines stand still, but not by more. What lies further off is no time of arrival,
/// and must not be taken for a queue of that length.
const AHEAD_MS: u64 = 5_000;
const OVERDUE_MS: u64 = 60_000;
/// The longest that a caller may say it waits, in milliseconds, and the longest idempotency key.
const PATIENCE_MS_MAX: f64 = 86_400_000.0;
const TOKEN_MAX: usize = 255;

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
    pub op: OperationId,
    /// The tenant, if the settings name it.
    pub tenant: Option<TenantId>,
    /// The dispatcher.
    pub dispatcher: LoadBalancerId,
    /// The work to expect, in seconds.
    pub work_hint: Option<f64>,
    /// The memory that is booked while it is held.
    pub queued_kb: f64,
    /// What a read is about.
    pub subject: Option<u64>,
    /// The idempotency key of a tokened operation: a repeat bears the same one.
    pub token: Option<String>,
    /// How long its caller waits from the arrival on, where the settings have that told; never over
    /// the client timeout.
    pub patience: Option<Nanos>,
}

impl Head {
    /// How long ago it reached the machine, never less than nothing.
    pub fn age(&self, unix_ms: u64) -> Nanos {
        unix_ms
            .saturating_sub(self.arrived_ms)
            .saturating_mul(1_000_000)
    }
}

/// Why a request is answered without the decisions: a status and its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected(pub u16, pub &'static str);

/// A request's fields as they came, read in place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fields<'a> {
    path: Option<&'a str>,
    method: Option<&'a str>,
    query: Option<&'a str>,
    rid: Option<&'a str>,
    arrived: Option<&'a str>,
    peer: Option<&'a str>,
    org: Option<&'a str>,
    estimate: Option<&'a str>,
    need: Option<&'a str>,
    rank: Option<&'a str>,
    subject: Option<&'a str>,
    token: Option<&'a str>,
    patience: Option<&'a str>,
    oversize: bool,
}

fn malformed(what: &'static str) -> Rejected {
    Rejected(400, what)
}

/// Reads what a request asks for.
pub fn read(
    start: &DeploymentConfig,
    unix_ms: u64,
    request: &fastcgi::Request,
) -> Result<Wanted, Rejected> {
    Fields::of(request)?.wanted(start, unix_ms, None)
}

impl<'a> Fields<'a> {
    /// The fields of a request; of those with one name the last counts.
    pub fn of(request: &'a fastcgi::Request) -> Result<Fields<'a>, Rejected> {
        let mut fields = Fields {
            oversize: request.oversize,
            ..Fields::default()
        };
        for pair in fastcgi::pairs(&request.params) {
            let (name, value) = pair.map_err(|e| malformed(e.as_str()))?;
            let place = match name {
                b"SCRIPT_NAME" => &mut fields.path,
                b"REQUEST_METHOD" => &mut fields.method,
                b"QUERY_STRING" => &mut fields.query,
                b"HTTP_X_CORRELATION_ID" => &mut fields.rid,
                b"HTTP_X_ARRIVED_MS" => &mut fields.arrived,
                b"HTTP_X_UPSTREAM_PEER" => &mut fields.peer,
                b"HTTP_X_ORG" => &mut fields.org,
                b"HTTP_X_ESTIMATE_MS" => &mut fields.estimate,
                b"HTTP_X_NEED_KB" => &mut fields.need,
                b"HTTP_X_CRITICALITY" => &mut fields.rank,
                b"HTTP_X_SUBJECT" => &mut fields.subject,
                b"HTTP_X_OPERATION_KEY" => &mut fields.token,
                b"HTTP_X_DEADLINE_MS" => &mut fields.patience,
                _ => continue,
            };
            *place = Some(str::from_utf8(value).map_err(|_| malformed("a parameter is no text"))?);
        }
        Ok(fields)
    }

    /// Whether rules are asked about it: it has come whole, has a path and is no health check.
    pub fn is_ruled(&self) -> bool {
        !self.oversize && self.path.is_some_and(|path| path != "/ping")
    }

    /// The operation that its path names, and who sent it, as far as they are known: enough to be
    /// counted by.
    pub fn counted(&self, start: &DeploymentConfig) -> Option<(OperationId, LoadBalancerId)> {
        let operation = self.path?.strip_prefix("/call/")?;
        let op = start.operations.iter().position(|name| name == operation)?;
        Some((
            OperationId(op),
            LoadBalancerId(self.peer.and_then(|peer| peer.parse().ok()).unwrap_or(0)),
        ))
    }

    /// It as rules see it, but for what only its connection and its parameters as a whole tell.
    pub fn facts(&self, start: &'a DeploymentConfig) -> Facts<'a> {
        let path = self.path.unwrap_or_default();
        let operation = path
            .strip_prefix("/call/")
            .and_then(|o| start.operations.iter().find(|n| *n == o));
        let tenant = self
            .org
            .and_then(|org| start.tenants.iter().find(|t| *t == org));
        let number = |text: Option<&str>| {
            text.and_then(|t| t.parse::<f64>().ok())
                .filter(|n| n.is_finite())
        };
        let estimate = number(self.estimate).filter(|ms| (0.0..=ESTIMATE_MS_MAX).contains(ms));
        let arrived = self
            .arrived
            .and_then(|t| t.parse::<u64>().ok())
            .and_then(|ms| ms.checked_mul(1_000_000));
        Facts {
            operation: operation.map(String::as_str),
            tenant: tenant.map(String::as_str),
            script: path,
            method: self.method.unwrap_or_default(),
            front: "fastcgi",
            estimate: estimate.map(|ms| (ms * 1e6) as i64),
            need: number(self.need),
            rank: number(self.rank),
            peer: self.peer.and_then(|p| p.parse().ok()),
            arrived: arrived
                .and_then(|a| i64::try_from(a).ok())
                .unwrap_or_default(),
            ..Facts::default()
        }
    }

    /// What is asked for; a rule may have given another operation than the path names.
    pub fn wanted(
        &self,
        start: &DeploymentConfig,
        unix_ms: u64,
        ruled: Option<OperationId>,
    ) -> Result<Wanted, Rejected> {
        let path = self.path.ok_or(malformed("no SCRIPT_NAME"))?;
        if path == "/ping" {
            let deep = self
                .query
                .is_some_and(|q| q.split('&').any(|part| part == "e2e=1"));
            return Ok(Wanted::Check { deep });
        }
        let op = match ruled {
            Some(op) => op,
            None => {
                let operation = path
                    .strip_prefix("/call/")
                    .ok_or(Rejected(404, "unknown path"))?;
                let op = start.operations.iter().position(|name| name == operation);
                OperationId(op.ok_or(Rejected(404, "unknown operation"))?)
            }
        };
        if self.method != Some("POST") {
            return Err(Rejected(405, "method is not POST"));
        }
        if self.oversize {
            return Err(Rejected(413, "parameters or body too large"));
        }
        let rid = self
            .rid
            .filter(|r| r.len() == 16 && r.bytes().all(|b| b.is_ascii_hexdigit()));
        let arrived: Option<u64> = self.arrived.and_then(|t| t.parse().ok());
        // New dispatchers have new numbers, without end.
        let peer: Option<u64> = self.peer.and_then(|p| p.parse().ok());
        let need: Option<f64> = self.need.and_then(|n| n.parse().ok());
        let work_hint = match self.estimate.map(str::parse::<f64>) {
            None => None,
            Some(Ok(ms)) if (0.0..=ESTIMATE_MS_MAX).contains(&ms) => (ms > 0.0).then_some(ms / 1e3),
            Some(_) => return Err(malformed("X-Estimate-Ms")),
        };
        if self
            .rank
            .is_some_and(|r| !r.parse().is_ok_and(|r: f64| (0.0..=1.0).contains(&r)))
        {
            return Err(malformed("X-Criticality"));
        }
        let tenant = start
            .tenants
            .iter()
            .position(|t| self.org == Some(t.as_str()))
            .map(TenantId);
        if tenant.is_none() && !start.tenants.is_empty() {
            return Err(Rejected(404, "unknown tenant"));
        }
        let agreed = &start.deployment.operations[op.0];
        let timeout_ms = agreed.client_timeout / 1_000_000;
        // What bears a key that can't be one would run without protection, so it does not run.
        let token = self.token.filter(|_| agreed.effect == Idempotency::Keyed);
        let is_token =
            |t: &str| (1..=TOKEN_MAX).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_graphic());
        if token.is_some_and(|t| !is_token(t)) {
            return Err(malformed("X-Operation-Key"));
        }
        let patience = match self
            .patience
            .filter(|_| start.passes_deadline)
            .map(str::parse::<f64>)
        {
            None => None,
            Some(Ok(ms)) if (0.0..=PATIENCE_MS_MAX).contains(&ms) => {
                Some(((ms * 1e6) as Nanos).min(agreed.client_timeout))
            }
            Some(_) => return Err(malformed("X-Deadline-Ms")),
        };
        let in_time = |&t: &u64| {
            t <= unix_ms + AHEAD_MS && t.saturating_add(timeout_ms + OVERDUE_MS) >= unix_ms
        };
        let subject = match self.subject.map(|s| u64::from_str_radix(s, 16)) {
            None => None,
            Some(Ok(subject)) => Some(subject),
            Some(Err(_)) => return Err(malformed("X-Subject")),
        };
        Ok(Wanted::Invocation(Head {
            rid: rid.ok_or(malformed("X-Correlation-Id"))?.to_owned(),
            arrived_ms: arrived.filter(in_time).ok_or(malformed("X-Arrived-Ms"))?,
            op,
            tenant,
            dispatcher: LoadBalancerId(peer.ok_or(malformed("X-Upstream-Peer"))?),
            work_hint,
            queued_kb: need
                .filter(|&n| n > 0.0 && n < NEED_KB_MAX)
                .ok_or(malformed("X-Need-Kb"))?,
            subject,
            token: token.map(str::to_owned),
            patience,
        }))
    }
}
