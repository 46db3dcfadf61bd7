//! Sample requests, which a test case or an operator writes to evaluate rules without a connection.

use madderpoint_rules::{Caller, Facts, RuleSet, address, time};
use std::net::IpAddr;

/// The facts of a request, given as text instead of received over a connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SampleRequest {
    /// Name of the operation, if the request gives one.
    pub operation: Option<String>,
    /// Name of the tenant, if the request gives one.
    pub tenant: Option<String>,
    /// Value of `SCRIPT_NAME`.
    pub script: String,
    /// Request method; `POST` if `None`.
    pub method: Option<String>,
    /// Protocol of the connection; `fastcgi` if `None`.
    pub front: Option<String>,
    /// Expected work, in nanoseconds on one core.
    pub estimate: Option<i64>,
    /// Memory that the request reserves, in KB.
    pub need: Option<f64>,
    /// Rank of the request, from 0 to 1.
    pub rank: Option<f64>,
    /// Number of the load balancer that forwards the request.
    pub peer: Option<u64>,
    /// Arrival time, in nanoseconds since the Unix epoch. The default is the epoch, so that the
    /// result of a test case does not depend on the current date.
    pub arrived: i64,
    /// IP address of the sender.
    pub address: Option<IpAddr>,
    /// SPIFFE id of the sender, and the offset in bytes at which its trust domain ends.
    pub caller: Option<(String, usize)>,
    /// Names and values of the parameters.
    pub params: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
}

const SCHEME: &str = "spiffe://";

/// An error in setting a fact of a sample request. The displayed text describes the values
/// expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SampleRequestError {
    /// The value is not valid for the fact.
    #[error("{expected}")]
    Value {
        /// Description of a valid value.
        expected: &'static str,
    },
    /// The name is not that of a fact.
    #[error("{}", self.expected())]
    UnknownFact,
}

impl SampleRequestError {
    /// Returns a description of the values or names that are valid.
    pub fn expected(&self) -> &'static str {
        match self {
            SampleRequestError::Value { expected } => expected,
            SampleRequestError::UnknownFact => {
                "a fact such as operation, tenant, script, method, peer or address"
            }
        }
    }
}

/// Returns a parsed value, or an error with the description of a valid value.
fn parsed<T>(value: Option<T>, expected: &'static str) -> Result<T, SampleRequestError> {
    value.ok_or(SampleRequestError::Value { expected })
}

impl SampleRequest {
    /// Sets the fact `name` to `value`.
    ///
    /// # Errors
    ///
    /// The value is not valid for the fact, or no fact has this name.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), SampleRequestError> {
        let text = Some(value.to_owned());
        match name {
            "operation" => self.operation = text,
            "tenant" => self.tenant = text,
            "script" => self.script = value.to_owned(),
            "method" => self.method = text,
            "front" => self.front = text,
            "estimate" => {
                self.estimate = Some(parsed(time::span(value), "a duration such as 250ms")?);
            }
            "need" => self.need = Some(parsed(value.parse().ok(), "a number of KB")?),
            "rank" => self.rank = Some(parsed(value.parse().ok(), "a number from 0 to 1")?),
            "peer" => self.peer = Some(parsed(value.parse().ok(), "a whole number")?),
            "arrived" => {
                self.arrived = parsed(time::time(value), "a time such as 2026-12-01T08:00:00Z")?;
            }
            "address" => {
                let address = parsed(value.parse().ok(), "an IP address")?;
                self.address = Some(address::plain(address));
            }
            "caller" => {
                let rest = value.strip_prefix(SCHEME).filter(|rest| !rest.is_empty());
                let rest = parsed(rest, "spiffe://DOMAIN/PATH")?;
                let end = SCHEME.len() + rest.find('/').unwrap_or(rest.len());
                self.caller = Some((value.to_owned(), end));
            }
            _ => return Err(SampleRequestError::UnknownFact),
        }
        Ok(())
    }

    /// Returns the facts of the request on which rules are evaluated.
    pub fn facts<'a>(&'a self, rules: &RuleSet) -> Facts<'a> {
        let pairs = self
            .params
            .iter()
            .map(|(n, v)| (n.as_bytes(), v.as_bytes()));
        let caller = self.caller.as_ref().map(|(id, end)| Caller {
            id,
            trust_domain: &id[SCHEME.len()..*end],
            path: &id[*end..],
        });
        Facts {
            operation: self.operation.as_deref(),
            tenant: self.tenant.as_deref(),
            script: &self.script,
            method: self.method.as_deref().unwrap_or("POST"),
            front: self.front.as_deref().unwrap_or("fastcgi"),
            estimate: self.estimate,
            need: self.need,
            rank: self.rank,
            peer: self.peer,
            arrived: self.arrived,
            body: &self.body,
            address: self.address,
            caller,
            params: rules.pick(pairs),
        }
    }
}
