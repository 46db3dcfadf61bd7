//! Facts of a request that rules can use.

use crate::value::{EvaluationError, Type, Value};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::IpAddr;

/// Largest number of parameters of a request that a macro or a computed name can access. With more
/// parameters this access fails.
pub const PAIRS_MAX: usize = 64;
/// Largest size, in bytes, of a parameter whose length is not declared. It equals the limit on all
/// parameters of a request together.
pub const PARAM_MAX: usize = 4096;
/// Largest size of a request body, in bytes.
pub const BODY_MAX: usize = 2048;
/// Longest SPIFFE ID, in bytes.
const ID_MAX: usize = 2048;

/// The name of a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Name {
    /// Operation of the request.
    Operation,
    /// Tenant of the request.
    Tenant,
    /// SCRIPT_NAME, or its equivalent in another protocol.
    Script,
    /// Request method, such as `POST`.
    Method,
    /// Protocol over which the request arrived.
    Front,
    /// Expected work of the request, as a duration on one core.
    Estimate,
    /// Memory booked for the request, in KB.
    Need,
    /// Rank of the request, from 0 to 1.
    Rank,
    /// Number of the load balancer that forwarded the request.
    Peer,
    /// Time at which the request arrived at the machine.
    Arrived,
    /// Body of the request.
    Body,
    /// IP address of the caller.
    Address,
    /// SPIFFE ID of the caller.
    CallerId,
    /// Trust domain of the caller's SPIFFE ID.
    CallerDomain,
    /// Path of the caller's SPIFFE ID.
    CallerPath,
}

impl Name {
    /// All facts, with their names in expressions.
    pub const ALL: [(&'static str, Name); 15] = [
        ("operation", Name::Operation),
        ("tenant", Name::Tenant),
        ("script", Name::Script),
        ("method", Name::Method),
        ("front", Name::Front),
        ("estimate", Name::Estimate),
        ("need", Name::Need),
        ("rank", Name::Rank),
        ("peer", Name::Peer),
        ("arrived", Name::Arrived),
        ("body", Name::Body),
        ("caller.address", Name::Address),
        ("caller.id", Name::CallerId),
        ("caller.trust_domain", Name::CallerDomain),
        ("caller.path", Name::CallerPath),
    ];

    /// Returns the name of the fact in expressions.
    pub fn text(self) -> &'static str {
        Name::ALL
            .iter()
            .find(|(_, name)| *name == self)
            .map_or("", |(text, _)| text)
    }

    /// Returns the type of the fact.
    pub fn kind(self) -> Type {
        match self {
            Name::Estimate => Type::Span,
            Name::Need | Name::Rank => Type::Float,
            Name::Peer => Type::Int,
            Name::Arrived => Type::Time,
            Name::Body => Type::Bytes,
            Name::Address => Type::Address,
            _ => Type::Text,
        }
    }

    /// Returns the largest size of the fact in bytes if the settings do not limit it further, or 0
    /// if its type has a fixed size.
    pub fn most(self) -> usize {
        match self {
            Name::Body => BODY_MAX,
            Name::Front => 16,
            Name::CallerId | Name::CallerDomain | Name::CallerPath => ID_MAX,
            Name::Operation | Name::Tenant | Name::Script | Name::Method => PARAM_MAX,
            _ => 0,
        }
    }
}

/// The verified identity of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller<'a> {
    /// Complete SPIFFE ID.
    pub id: &'a str,
    /// Trust domain of the SPIFFE ID.
    pub trust_domain: &'a str,
    /// Path of the SPIFFE ID.
    pub path: &'a str,
}

/// The facts of a request over which rules are evaluated.
#[derive(Clone, Debug, Default)]
pub struct Facts<'a> {
    /// Operation of the request, if the settings have this operation.
    pub operation: Option<&'a str>,
    /// Tenant of the request, if the settings have this tenant.
    pub tenant: Option<&'a str>,
    /// SCRIPT_NAME, or its equivalent in another protocol.
    pub script: &'a str,
    /// Request method, such as `POST`.
    pub method: &'a str,
    /// Protocol over which the request arrived.
    pub front: &'a str,
    /// Expected work, in nanoseconds on one core.
    pub estimate: Option<i64>,
    /// Memory booked for the request, in KB.
    pub need: Option<f64>,
    /// Rank of the request, from 0 to 1.
    pub rank: Option<f64>,
    /// Number of the load balancer that forwarded the request.
    pub peer: Option<u64>,
    /// Time at which the request arrived at the machine, in nanoseconds since the Unix epoch.
    pub arrived: i64,
    /// Body of the request.
    pub body: &'a [u8],
    /// IP address of the caller.
    pub address: Option<IpAddr>,
    /// Verified identity of the caller.
    pub caller: Option<Caller<'a>>,
    /// Parameters that rules may use.
    pub params: Params<'a>,
}

impl<'a> Facts<'a> {
    /// Returns the value of a fact, or `None` if the request does not have it.
    pub fn get(&self, name: Name) -> Option<Value<'a>> {
        Some(match name {
            Name::Operation => Value::Text(self.operation?),
            Name::Tenant => Value::Text(self.tenant?),
            Name::Script => Value::Text(self.script),
            Name::Method => Value::Text(self.method),
            Name::Front => Value::Text(self.front),
            Name::Estimate => Value::Span(self.estimate?),
            Name::Need => Value::Float(self.need?),
            Name::Rank => Value::Float(self.rank?),
            Name::Peer => Value::Int(i64::try_from(self.peer?).ok()?),
            Name::Arrived => Value::Time(self.arrived),
            Name::Body => Value::Bytes(self.body),
            Name::Address => Value::Address(crate::address::plain(self.address?)),
            Name::CallerId => Value::Text(self.caller?.id),
            Name::CallerDomain => Value::Text(self.caller?.trust_domain),
            Name::CallerPath => Value::Text(self.caller?.path),
        })
    }
}

/// Parameters that rules name, each with its slot and its largest size in bytes.
#[derive(Clone, Debug, Default)]
pub struct ParamNames {
    names: Vec<(Box<str>, usize)>,
    slots_by_name: HashMap<Box<str>, u16>,
    /// True if a rule iterates over all parameters or computes a parameter's name, so that all
    /// parameters of a request must be kept.
    needs_all: bool,
}

impl ParamNames {
    /// Returns the slot of a parameter. A name without a slot gets a new one, with `most` as the
    /// largest size of the value in bytes.
    pub fn slot(&mut self, name: &str, most: usize) -> u16 {
        if let Some(slot) = self.slots_by_name.get(name) {
            return *slot;
        }
        let slot = self.names.len() as u16;
        self.names.push((name.into(), most));
        self.slots_by_name.insert(name.into(), slot);
        slot
    }

    /// Returns the slot of a name. For up to 8 names a linear search is faster than hashing.
    fn slot_of(&self, name: &[u8]) -> Option<usize> {
        if self.names.len() <= 8 {
            return self.names.iter().position(|(n, _)| n.as_bytes() == name);
        }
        self.slots_by_name
            .get(str::from_utf8(name).ok()?)
            .map(|slot| usize::from(*slot))
    }

    /// Returns the number of slots in use.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether no rule names a parameter.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns the name of the parameter in a slot.
    pub fn name(&self, slot: u16) -> &str {
        self.names
            .get(usize::from(slot))
            .map_or("", |(name, _)| name)
    }

    /// Makes [`ParamNames::pick`] keep all parameters, not only those with a slot.
    pub fn require_all(&mut self) {
        self.needs_all = true;
    }

    /// Selects the parameters of a request that rules may use, in one pass. Sizes and UTF-8 are
    /// checked here, once. If a name occurs more than once, the last value is used, as everywhere
    /// in the node.
    pub fn pick<'a>(&self, pairs: impl Iterator<Item = (&'a [u8], &'a [u8])>) -> Params<'a> {
        let mut params = Params {
            slots: SmallVec::from_elem(None, self.names.len()),
            ..Params::default()
        };
        if self.names.is_empty() && !self.needs_all {
            return params;
        }
        for (name, value) in pairs {
            if let Some(at) = self.slot_of(name) {
                params.slots[at] = Some(checked_text(value, self.names[at].1));
            }
            if self.needs_all {
                params.pairs.retain(|(n, _)| n.as_bytes() != name);
                match str::from_utf8(name) {
                    Ok(name) if params.pairs.len() < PAIRS_MAX => {
                        params.pairs.push((name, checked_text(value, PARAM_MAX)));
                    }
                    Ok(_) => params.incomplete = Some(EvaluationError::TooLong),
                    Err(_) => params.incomplete = Some(EvaluationError::NoText),
                }
            }
        }
        params
    }
}

/// Checks that a parameter value is UTF-8 of at most `most` bytes.
fn checked_text(value: &[u8], most: usize) -> Result<&str, EvaluationError> {
    if value.len() > most {
        return Err(EvaluationError::TooLong);
    }
    str::from_utf8(value).map_err(|_| EvaluationError::NoText)
}

/// Parameters of a request that rules may use.
#[derive(Clone, Debug, Default)]
pub struct Params<'a> {
    slots: SmallVec<[Option<Result<&'a str, EvaluationError>>; 16]>,
    pairs: SmallVec<[(&'a str, Result<&'a str, EvaluationError>); 1]>,
    /// Reason why `pairs` does not contain all parameters; `None` if it contains all of them or
    /// none are needed.
    incomplete: Option<EvaluationError>,
}

impl<'a> Params<'a> {
    /// Returns the value of the parameter in a slot.
    pub fn slot(&self, slot: u16) -> Result<&'a str, EvaluationError> {
        self.slots
            .get(usize::from(slot))
            .copied()
            .flatten()
            .unwrap_or(Err(EvaluationError::Absent))
    }

    /// Returns whether the request has the parameter of a slot, even if its value is invalid.
    pub fn has_slot(&self, slot: u16) -> bool {
        self.slots
            .get(usize::from(slot))
            .is_some_and(|value| value.is_some())
    }

    /// Returns the names of all parameters.
    ///
    /// # Errors
    ///
    /// Fails if there are more than [`PAIRS_MAX`] parameters or a name is not UTF-8.
    pub fn names(&self) -> Result<impl ExactSizeIterator<Item = &'a str>, EvaluationError> {
        self.incomplete
            .map_or(Ok(self.pairs.iter().map(|(name, _)| *name)), Err)
    }

    /// Returns the number of parameters kept for access by computed names and macros.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Returns whether no parameters are kept for access by computed names and macros.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Returns the value of the parameter with a computed name.
    pub fn find(&self, name: &str) -> Result<&'a str, EvaluationError> {
        let found = self.pairs.iter().find(|(n, _)| *n == name);
        found.map_or(
            Err(self.incomplete.unwrap_or(EvaluationError::Absent)),
            |(_, value)| *value,
        )
    }

    /// Returns whether there is a parameter with a computed name.
    pub fn has(&self, name: &str) -> Result<bool, EvaluationError> {
        let found = self.pairs.iter().any(|(n, _)| *n == name);
        if found {
            Ok(true)
        } else {
            self.incomplete.map_or(Ok(false), Err)
        }
    }
}
