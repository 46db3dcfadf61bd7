//! A request as a case or an operator writes it down, for rules to be tried on.

use madderpoint_rules::{Caller, Facts, RuleSet, address, time};
use std::net::IpAddr;

/// A request that is not on a wire.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    /// The operation, if it names one.
    pub operation: Option<String>,
    /// The tenant, if it names one.
    pub tenant: Option<String>,
    /// SCRIPT_NAME.
    pub script: String,
    /// The method; POST if it is not told.
    pub method: Option<String>,
    /// The protocol; fastcgi if it is not told.
    pub front: Option<String>,
    /// The work to expect, in nanoseconds.
    pub estimate: Option<i64>,
    /// KB that are booked.
    pub need: Option<f64>,
    /// From 0 to 1.
    pub rank: Option<f64>,
    /// The dispatcher's number.
    pub peer: Option<u64>,
    /// Nanoseconds since the Unix epoch; the epoch if it is not told, so that a case never depends
    /// on the day.
    pub arrived: i64,
    /// The caller's address.
    pub address: Option<IpAddr>,
    /// The caller's id, with where its trust domain ends.
    pub caller: Option<(String, usize)>,
    /// Parameters.
    pub params: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

const SCHEME: &str = "spiffe://";

impl Asked {
    /// Sets a fact by its name; an error says what was expected.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), &'static str> {
        let text = Some(value.to_owned());
        match name {
            "operation" => self.operation = text,
            "tenant" => self.tenant = text,
            "script" => self.script = value.to_owned(),
            "method" => self.method = text,
            "front" => self.front = text,
            "estimate" => {
                self.estimate = Some(time::span(value).ok_or("a duration such as 250ms")?)
            }
            "need" => self.need = Some(value.parse().map_err(|_| "a number of KB")?),
            "rank" => self.rank = Some(value.parse().map_err(|_| "a number from 0 to 1")?),
            "peer" => self.peer = Some(value.parse().map_err(|_| "a whole number")?),
            "arrived" => {
                self.arrived = time::time(value).ok_or("a time such as 2026-12-01T08:00:00Z")?
            }
            "address" => {
                self.address = Some(address::plain(value.parse().map_err(|_| "an IP address")?))
            }
            "caller" => {
                let rest = value
                    .strip_prefix(SCHEME)
                    .filter(|rest| !rest.is_empty())
                    .ok_or("spiffe://DOMAIN/PATH")?;
                let end = SCHEME.len() + rest.find('/').unwrap_or(rest.len());
                self.caller = Some((value.to_owned(), end));
            }
            _ => return Err("a fact such as operation, tenant, script, method, peer or address"),
        }
        Ok(())
    }

    /// It as rules see it.
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
