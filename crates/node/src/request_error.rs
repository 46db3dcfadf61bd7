//! Why a request is answered without asking the admission controller.

#![warn(missing_docs)]

use crate::fastcgi;

/// A request that is answered at once, by cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub enum RequestError {
    /// The FastCGI parameters can't be read, and why.
    MalformedParameters(fastcgi::ParseError),
    /// A parameter that is read is not UTF-8.
    ParameterNotText,
    /// The parameters or the body are over their bounds.
    TooLarge,
    /// There is no `SCRIPT_NAME`.
    NoPath,
    /// The path names neither an operation nor the health check.
    UnknownPath,
    /// No operation has the name in the path.
    UnknownOperation,
    /// The tenant is missing, or no tenant has this name.
    UnknownTenant,
    /// The method is not POST.
    MethodNotPost,
    /// `X-Estimate-Ms` is no number within its bounds.
    InvalidEstimate,
    /// `X-Criticality` is no number from 0 to 1.
    InvalidCriticality,
    /// `X-Operation-Key` is empty, too long, or has other characters than printable ASCII.
    InvalidOperationKey,
    /// `X-Deadline-Ms` is no number within its bounds.
    InvalidDeadline,
    /// `X-Subject` is no hexadecimal number of 64 bits.
    InvalidSubject,
    /// `X-Correlation-Id` is not 16 hexadecimal digits.
    InvalidCorrelationId,
    /// `X-Arrived-Ms` is no time that can be one of arrival.
    InvalidArrivalTime,
    /// `X-Upstream-Peer` is no number.
    InvalidPeer,
    /// `X-Need-Kb` is no number within its bounds.
    InvalidMemory,
    /// A request in flight has the same correlation id.
    CorrelationIdInUse,
    /// The idempotency key belongs to a request with another body.
    IdempotencyKeyConflict,
    /// The idempotency cache has no room for the key of what must run once.
    IdempotencyCacheFull,
    /// The executor has not been up yet.
    ExecutorNotUp,
}

impl RequestError {
    /// The HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            RequestError::UnknownPath
            | RequestError::UnknownOperation
            | RequestError::UnknownTenant => 404,
            RequestError::MethodNotPost => 405,
            RequestError::CorrelationIdInUse | RequestError::IdempotencyKeyConflict => 409,
            RequestError::TooLarge => 413,
            RequestError::IdempotencyCacheFull => 429,
            RequestError::ExecutorNotUp => 503,
            _ => 400,
        }
    }

    /// The body of the answer.
    pub fn reason(self) -> &'static str {
        match self {
            RequestError::MalformedParameters(cause) => cause.as_str(),
            RequestError::ParameterNotText => "a parameter is no text",
            RequestError::TooLarge => "parameters or body too large",
            RequestError::NoPath => "no SCRIPT_NAME",
            RequestError::UnknownPath => "unknown path",
            RequestError::UnknownOperation => "unknown operation",
            RequestError::UnknownTenant => "unknown tenant",
            RequestError::MethodNotPost => "method is not POST",
            RequestError::InvalidEstimate => "X-Estimate-Ms",
            RequestError::InvalidCriticality => "X-Criticality",
            RequestError::InvalidOperationKey => "X-Operation-Key",
            RequestError::InvalidDeadline => "X-Deadline-Ms",
            RequestError::InvalidSubject => "X-Subject",
            RequestError::InvalidCorrelationId => "X-Correlation-Id",
            RequestError::InvalidArrivalTime => "X-Arrived-Ms",
            RequestError::InvalidPeer => "X-Upstream-Peer",
            RequestError::InvalidMemory => "X-Need-Kb",
            RequestError::CorrelationIdInUse => "correlation id in use",
            RequestError::IdempotencyKeyConflict => "key in use with another body",
            RequestError::IdempotencyCacheFull => "no room for another key",
            RequestError::ExecutorNotUp => "the kernel is not up",
        }
    }
}
