//! Decodes a FastCGI request into a health check or a call, without copying its parameters.

#![warn(missing_docs)]

use crate::fastcgi;
use crate::request_error::RequestError;
use madderpoint::{Idempotency, LoadBalancerId, Nanos, Operation, OperationId, TenantId};
use madderpoint_deployment_config::DeploymentConfig;
use madderpoint_rules::Facts;

/// Nanoseconds in a millisecond.
const MILLISECOND: Nanos = 1_000_000;
/// Exclusive upper bound of the memory that a request may reserve, in KB.
const MEMORY_KB_MAX: f64 = 2000.0;
/// Maximum estimate of a request's work, in milliseconds.
const ESTIMATE_MS_MAX: f64 = 600_000.0;
/// Maximum time by which an arrival may be in the future, in milliseconds. Allows for clocks that
/// differ.
const ARRIVAL_AHEAD_MS: u64 = 5_000;
/// Maximum time by which an arrival may be older than the client timeout, in milliseconds. Allows
/// for machines that are stopped for a while. An older value is not a plausible time of arrival and
/// must not count as time in a queue.
const ARRIVAL_OVERDUE_MS: u64 = 60_000;
/// Maximum client timeout in a request, in milliseconds.
const CLIENT_TIMEOUT_MS_MAX: f64 = 86_400_000.0;
/// Maximum length of an idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX: usize = 255;

/// The kind of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
    /// A health check. A deep one also checks that the node can do work.
    HealthCheck {
        /// True if the health check also checks that the node can do work.
        is_deep: bool,
    },
    /// A call of an operation.
    Call(RequestHead),
}

/// The validated fields of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Correlation id: 16 hexadecimal digits, as received.
    pub correlation_id: String,
    /// Time at which the request reached the machine, in Unix milliseconds.
    pub arrived_ms: u64,
    /// Operation that the call names.
    pub operation: OperationId,
    /// Tenant, if the deployment has tenants.
    pub tenant: Option<TenantId>,
    /// Load balancer that sent the request.
    pub load_balancer: LoadBalancerId,
    /// Expected work, in seconds; none if the request has no estimate or an estimate of 0.
    pub expected_work_s: Option<f64>,
    /// Memory that the request reserves while it is queued, in KB.
    pub queued_kb: f64,
    /// Subject of a read, which equal reads share.
    pub subject: Option<u64>,
    /// Idempotency key; only for a keyed operation.
    pub idempotency_key: Option<String>,
    /// Time from the arrival for which the client waits, in nanoseconds, if the deployment passes
    /// deadlines along. At most the operation's client timeout.
    pub client_timeout: Option<Nanos>,
}

impl RequestHead {
    /// Returns the time since the request reached the machine, in nanoseconds; 0 if its arrival is
    /// in the future.
    pub fn age(&self, unix_ms: u64) -> Nanos {
        unix_ms
            .saturating_sub(self.arrived_ms)
            .saturating_mul(MILLISECOND)
    }
}

/// The fields of a request as received, not yet validated and borrowed from its parameters.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fields<'a> {
    path: Option<&'a str>,
    method: Option<&'a str>,
    query: Option<&'a str>,
    correlation_id: Option<&'a str>,
    arrived_ms: Option<&'a str>,
    load_balancer: Option<&'a str>,
    tenant: Option<&'a str>,
    estimate_ms: Option<&'a str>,
    memory_kb: Option<&'a str>,
    criticality: Option<&'a str>,
    subject: Option<&'a str>,
    idempotency_key: Option<&'a str>,
    client_timeout_ms: Option<&'a str>,
    is_oversize: bool,
}

/// Decodes a request that no rule changes. `unix_ms` is the present time, in Unix milliseconds.
pub fn read(
    config: &DeploymentConfig,
    unix_ms: u64,
    request: &fastcgi::Request,
) -> Result<RequestKind, RequestError> {
    Fields::of(request)?.kind(config, unix_ms, None)
}

impl<'a> Fields<'a> {
    /// Reads the fields of a request. If a parameter occurs more than once, the last value counts.
    pub fn of(request: &'a fastcgi::Request) -> Result<Fields<'a>, RequestError> {
        let mut fields = Fields {
            is_oversize: request.oversize,
            ..Fields::default()
        };
        for pair in fastcgi::pairs(&request.params) {
            let (name, value) = pair.map_err(RequestError::MalformedParameters)?;
            let field = match name {
                b"SCRIPT_NAME" => &mut fields.path,
                b"REQUEST_METHOD" => &mut fields.method,
                b"QUERY_STRING" => &mut fields.query,
                b"HTTP_X_CORRELATION_ID" => &mut fields.correlation_id,
                b"HTTP_X_ARRIVED_MS" => &mut fields.arrived_ms,
                b"HTTP_X_UPSTREAM_PEER" => &mut fields.load_balancer,
                b"HTTP_X_ORG" => &mut fields.tenant,
                b"HTTP_X_ESTIMATE_MS" => &mut fields.estimate_ms,
                b"HTTP_X_NEED_KB" => &mut fields.memory_kb,
                b"HTTP_X_CRITICALITY" => &mut fields.criticality,
                b"HTTP_X_SUBJECT" => &mut fields.subject,
                b"HTTP_X_OPERATION_KEY" => &mut fields.idempotency_key,
                b"HTTP_X_DEADLINE_MS" => &mut fields.client_timeout_ms,
                _ => continue,
            };
            *field = Some(str::from_utf8(value).map_err(|_| RequestError::ParameterNotText)?);
        }
        Ok(fields)
    }

    /// Returns whether rules are evaluated for the request: its parameters and body are within
    /// their bounds, it has a path, and it is not a health check.
    pub fn is_subject_to_rules(&self) -> bool {
        !self.is_oversize && self.path.is_some_and(|path| path != "/ping")
    }

    /// Returns the operation in the path and the load balancer, which suffice to count the request.
    /// An unknown load balancer is given as 0.
    pub fn operation_and_load_balancer(
        &self,
        config: &DeploymentConfig,
    ) -> Option<(OperationId, LoadBalancerId)> {
        let name = self.path?.strip_prefix("/call/")?;
        let index = config
            .operation_names
            .iter()
            .position(|known| known == name)?;
        let load_balancer = self.load_balancer.and_then(|id| id.parse().ok());
        Some((
            OperationId(index),
            LoadBalancerId(load_balancer.unwrap_or(0)),
        ))
    }

    /// Returns the facts on which rules are evaluated, without those that depend on the connection
    /// or on all parameters together.
    pub fn facts(&self, config: &'a DeploymentConfig) -> Facts<'a> {
        let path = self.path.unwrap_or_default();
        let operation = path
            .strip_prefix("/call/")
            .and_then(|name| config.operation_names.iter().find(|known| *known == name));
        let tenant = self
            .tenant
            .and_then(|name| config.tenant_names.iter().find(|known| *known == name));
        let number = |text: Option<&str>| {
            text.and_then(|text| text.parse::<f64>().ok())
                .filter(|number| number.is_finite())
        };
        let estimate_ms =
            number(self.estimate_ms).filter(|ms| (0.0..=ESTIMATE_MS_MAX).contains(ms));
        let arrived = self
            .arrived_ms
            .and_then(|ms| ms.parse::<u64>().ok())
            .and_then(|ms| ms.checked_mul(MILLISECOND));
        Facts {
            operation: operation.map(String::as_str),
            tenant: tenant.map(String::as_str),
            script: path,
            method: self.method.unwrap_or_default(),
            front: "fastcgi",
            estimate: estimate_ms.map(|ms| (ms * 1e6) as i64),
            need: number(self.memory_kb),
            rank: number(self.criticality),
            peer: self.load_balancer.and_then(|id| id.parse().ok()),
            arrived: arrived
                .and_then(|arrived| i64::try_from(arrived).ok())
                .unwrap_or_default(),
            ..Facts::default()
        }
    }

    /// Decodes the request. An operation that a rule gave takes precedence over the one in the
    /// path.
    pub fn kind(
        &self,
        config: &DeploymentConfig,
        unix_ms: u64,
        operation_by_rule: Option<OperationId>,
    ) -> Result<RequestKind, RequestError> {
        let path = self.path.ok_or(RequestError::NoPath)?;
        if path == "/ping" {
            let is_deep = self
                .query
                .is_some_and(|query| query.split('&').any(|part| part == "e2e=1"));
            return Ok(RequestKind::HealthCheck { is_deep });
        }
        let operation = match operation_by_rule {
            Some(operation) => operation,
            None => operation_of_path(config, path)?,
        };
        if self.method != Some("POST") {
            return Err(RequestError::MethodNotPost);
        }
        if self.is_oversize {
            return Err(RequestError::TooLarge);
        }
        self.head(config, unix_ms, operation).map(RequestKind::Call)
    }

    /// Validates the fields of a call. A request with several errors is answered with the first one
    /// in the order of the checks.
    fn head(
        &self,
        config: &DeploymentConfig,
        unix_ms: u64,
        operation: OperationId,
    ) -> Result<RequestHead, RequestError> {
        let definition = &config.deployment.operations[operation.0];
        let expected_work_s = self.expected_work_s()?;
        self.check_criticality()?;
        let tenant = self.tenant_id(config)?;
        let idempotency_key = self.idempotency_key(definition)?;
        let client_timeout = self.client_timeout(config, definition)?;
        let subject = self
            .subject
            .map(|text| u64::from_str_radix(text, 16))
            .transpose()
            .map_err(|_| RequestError::InvalidSubject)?;
        let correlation_id = self
            .correlation_id
            .filter(|id| id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit()))
            .ok_or(RequestError::InvalidCorrelationId)?;
        let arrived_ms = self.arrival_ms(unix_ms, definition)?;
        // A load balancer gets a new id at each start, so ids are not bounded.
        let load_balancer: Option<u64> = self.load_balancer.and_then(|id| id.parse().ok());
        let load_balancer = load_balancer.ok_or(RequestError::InvalidPeer)?;
        let memory_kb: Option<f64> = self.memory_kb.and_then(|kb| kb.parse().ok());
        Ok(RequestHead {
            correlation_id: correlation_id.to_owned(),
            arrived_ms,
            operation,
            tenant,
            load_balancer: LoadBalancerId(load_balancer),
            expected_work_s,
            queued_kb: memory_kb
                .filter(|&kb| kb > 0.0 && kb < MEMORY_KB_MAX)
                .ok_or(RequestError::InvalidMemory)?,
            subject,
            idempotency_key: idempotency_key.map(str::to_owned),
            client_timeout,
        })
    }

    fn expected_work_s(&self) -> Result<Option<f64>, RequestError> {
        match self.estimate_ms.map(str::parse::<f64>) {
            None => Ok(None),
            Some(Ok(ms)) if (0.0..=ESTIMATE_MS_MAX).contains(&ms) => {
                Ok((ms > 0.0).then_some(ms / 1e3))
            }
            Some(_) => Err(RequestError::InvalidEstimate),
        }
    }

    fn check_criticality(&self) -> Result<(), RequestError> {
        let is_valid = |text: &str| {
            text.parse()
                .is_ok_and(|criticality: f64| (0.0..=1.0).contains(&criticality))
        };
        match self.criticality {
            Some(text) if !is_valid(text) => Err(RequestError::InvalidCriticality),
            _ => Ok(()),
        }
    }

    fn tenant_id(&self, config: &DeploymentConfig) -> Result<Option<TenantId>, RequestError> {
        let tenant = config
            .tenant_names
            .iter()
            .position(|name| self.tenant == Some(name.as_str()))
            .map(TenantId);
        if tenant.is_none() && !config.tenant_names.is_empty() {
            return Err(RequestError::UnknownTenant);
        }
        Ok(tenant)
    }

    fn idempotency_key(&self, definition: &Operation) -> Result<Option<&'a str>, RequestError> {
        let key = self
            .idempotency_key
            .filter(|_| definition.idempotency == Idempotency::Keyed);
        let is_valid = |key: &str| {
            (1..=IDEMPOTENCY_KEY_MAX).contains(&key.len())
                && key.bytes().all(|byte| byte.is_ascii_graphic())
        };
        // With an invalid key the request would run without protection against repeats, so it is
        // rejected.
        if key.is_some_and(|key| !is_valid(key)) {
            return Err(RequestError::InvalidOperationKey);
        }
        Ok(key)
    }

    fn client_timeout(
        &self,
        config: &DeploymentConfig,
        definition: &Operation,
    ) -> Result<Option<Nanos>, RequestError> {
        let sent = self
            .client_timeout_ms
            .filter(|_| config.passes_deadline)
            .map(str::parse::<f64>);
        match sent {
            None => Ok(None),
            Some(Ok(ms)) if (0.0..=CLIENT_TIMEOUT_MS_MAX).contains(&ms) => {
                Ok(Some(((ms * 1e6) as Nanos).min(definition.client_timeout)))
            }
            Some(_) => Err(RequestError::InvalidDeadline),
        }
    }

    fn arrival_ms(&self, unix_ms: u64, definition: &Operation) -> Result<u64, RequestError> {
        let timeout_ms = definition.client_timeout / MILLISECOND;
        let arrived_ms: Option<u64> = self.arrived_ms.and_then(|ms| ms.parse().ok());
        arrived_ms
            .filter(|&ms| {
                ms <= unix_ms + ARRIVAL_AHEAD_MS
                    && ms.saturating_add(timeout_ms + ARRIVAL_OVERDUE_MS) >= unix_ms
            })
            .ok_or(RequestError::InvalidArrivalTime)
    }
}

fn operation_of_path(config: &DeploymentConfig, path: &str) -> Result<OperationId, RequestError> {
    let name = path
        .strip_prefix("/call/")
        .ok_or(RequestError::UnknownPath)?;
    config
        .operation_names
        .iter()
        .position(|known| known == name)
        .map(OperationId)
        .ok_or(RequestError::UnknownOperation)
}
