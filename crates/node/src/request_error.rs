//! Errors of requests that are answered without the admission controller.

#![warn(missing_docs)]

use crate::fastcgi;

/// Why a request is answered immediately with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub enum RequestError {
    /// The FastCGI parameters cannot be parsed; the value is the cause.
    MalformedParameters(fastcgi::ParseError),
    /// A parameter that the node uses is not valid UTF-8.
    ParameterNotText,
    /// The parameters or the body exceed their bounds.
    TooLarge,
    /// The request has no `SCRIPT_NAME`.
    NoPath,
    /// The path names neither an operation nor the health check.
    UnknownPath,
    /// No operation has the name in the path.
    UnknownOperation,
    /// The tenant is missing, or no tenant has this name.
    UnknownTenant,
    /// The method is not POST.
    MethodNotPost,
    /// `X-Estimate-Ms` is not a number from 0 to 600,000.
    InvalidEstimate,
    /// `X-Criticality` is not a number from 0 to 1.
    InvalidCriticality,
    /// `X-Operation-Key` is empty, longer than 255 bytes, or has characters other than printable
    /// ASCII without spaces.
    InvalidOperationKey,
    /// `X-Deadline-Ms` is not a number from 0 to 86,400,000.
    InvalidDeadline,
    /// `X-Subject` is not a hexadecimal number of at most 64 bits.
    InvalidSubject,
    /// `X-Correlation-Id` is missing or does not consist of 16 hexadecimal digits.
    InvalidCorrelationId,
    /// `X-Arrived-Ms` is missing or not a plausible time of arrival.
    InvalidArrivalTime,
    /// `X-Upstream-Peer` is missing or not an unsigned 64-bit number.
    InvalidPeer,
    /// `X-Need-Kb` is missing or not a number above 0 and below 2000.
    InvalidMemory,
    /// Another request has the same correlation id, and is in flight or may have run.
    CorrelationIdInUse,
    /// The idempotency key belongs to a request with a different body.
    IdempotencyKeyConflict,
    /// The idempotency cache has no room for the key of a request that must run once.
    IdempotencyCacheFull,
    /// The executor has not been up since the node's start.
    ExecutorNotUp,
}

impl RequestError {
    /// Returns the HTTP status of the answer.
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

    /// Returns the body of the answer.
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
