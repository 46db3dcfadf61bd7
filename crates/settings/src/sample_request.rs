//! Sample requests: what a test case or an operator writes down for rules to be tried on.

use madderpoint_rules::{Caller, Facts, RuleSet, address, time};
use std::net::IpAddr;

/// A request that did not come over a connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SampleRequest {
    /// The operation, if it names one.
    pub operation: Option<String>,
    /// The tenant, if it names one.
    pub tenant: Option<String>,
    /// SCRIPT_NAME.
    pub script: String,
    /// The method; POST if it is not given.
    pub method: Option<String>,
    /// The protocol; fastcgi if it is not given.
    pub front: Option<String>,
    /// The expected work, in nanoseconds on one core.
    pub estimate: Option<i64>,
    /// Memory that is booked, in KB.
    pub need: Option<f64>,
    /// The rank, from 0 to 1.
    pub rank: Option<f64>,
    /// The load balancer's number.
    pub peer: Option<u64>,
    /// Nanoseconds since the Unix epoch; the epoch if it is not given, so that a case never
    /// depends on the day.
    pub arrived: i64,
    /// The address that it was sent from.
    pub address: Option<IpAddr>,
    /// The SPIFFE id of the sender, and the offset at which its trust domain ends.
    pub caller: Option<(String, usize)>,
    /// Parameters: names and values.
    pub params: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

const SCHEME: &str = "spiffe://";

/// A fact of a sample request that can't be set. Shown as text, it says what was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SampleRequestError {
    /// The value does not fit the fact.
    #[error("{expected}")]
    Value {
        /// What was expected.
        expected: &'static str,
    },
    /// There is no fact of this name.
    #[error("{}", self.expected())]
    UnknownFact,
}

impl SampleRequestError {
    /// What was expected.
    pub fn expected(&self) -> &'static str {
        match self {
            SampleRequestError::Value { expected } => expected,
            SampleRequestError::UnknownFact => {
                "a fact such as operation, tenant, script, method, peer or address"
            }
        }
    }
}

/// A value that parses, or an error that says what was expected.
fn parsed<T>(value: Option<T>, expected: &'static str) -> Result<T, SampleRequestError> {
    value.ok_or(SampleRequestError::Value { expected })
}

impl SampleRequest {
    /// Sets a fact by its name.
    ///
    /// # Errors
    ///
    /// The value does not fit the fact, or there is no fact of this name.
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

    /// The request as rules see it.
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
