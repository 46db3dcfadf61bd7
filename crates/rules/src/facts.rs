//! The facts of a request, on which rules decide.

use crate::value::{EvaluationError, Type, Value};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::IpAddr;

/// The most parameters that a macro or a computed name can reach; a request with more of them errs
/// there.
pub const PAIRS_MAX: usize = 64;
/// The most bytes of a parameter that is not declared: what a request's parameters may take
/// together.
pub const PARAM_MAX: usize = 4096;
/// The largest body, in bytes.
pub const BODY_MAX: usize = 2048;
/// The longest SPIFFE id, in bytes.
const ID_MAX: usize = 2048;

/// A fact with a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Name {
    /// The operation that the request names.
    Operation,
    /// Its tenant.
    Tenant,
    /// SCRIPT_NAME, or what takes its place in another protocol.
    Script,
    /// The method.
    Method,
    /// The protocol.
    Front,
    /// The expected work.
    Estimate,
    /// The booked memory, in KB.
    Need,
    /// The rank, from 0 to 1.
    Rank,
    /// The load balancer's number.
    Peer,
    /// When it arrived at the machine.
    Arrived,
    /// The body.
    Body,
    /// The address that it was sent from.
    Address,
    /// The sender's SPIFFE id.
    CallerId,
    /// The trust domain of that id.
    CallerDomain,
    /// The path of that id.
    CallerPath,
}

impl Name {
    /// All, as they are written.
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

    /// As it is written.
    pub fn text(self) -> &'static str {
        Name::ALL
            .iter()
            .find(|(_, name)| *name == self)
            .map_or("", |(text, _)| text)
    }

    /// Its type.
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

    /// The most bytes that it has, where that does not follow from the settings.
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

/// The sender of a request, as far as its identity was proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller<'a> {
    /// The whole id.
    pub id: &'a str,
    /// Its trust domain.
    pub trust_domain: &'a str,
    /// Its path.
    pub path: &'a str,
}

/// A request as rules see it.
#[derive(Clone, Debug, Default)]
pub struct Facts<'a> {
    /// The operation that it names, if the settings have it.
    pub operation: Option<&'a str>,
    /// Its tenant, if the settings have it.
    pub tenant: Option<&'a str>,
    /// SCRIPT_NAME, or what takes its place in another protocol.
    pub script: &'a str,
    /// The method.
    pub method: &'a str,
    /// The protocol that it came over.
    pub front: &'a str,
    /// The expected work, in nanoseconds on one core.
    pub estimate: Option<i64>,
    /// The memory that is booked, in KB.
    pub need: Option<f64>,
    /// The rank, from 0 to 1.
    pub rank: Option<f64>,
    /// The load balancer's number.
    pub peer: Option<u64>,
    /// When it arrived at the machine, in nanoseconds since the Unix epoch.
    pub arrived: i64,
    /// The body.
    pub body: &'a [u8],
    /// Where it was sent from.
    pub address: Option<IpAddr>,
    /// Who sent it.
    pub caller: Option<Caller<'a>>,
    /// Its parameters.
    pub params: Params<'a>,
}

impl<'a> Facts<'a> {
    /// A fact's value, if this request has it.
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

/// Which parameters rules name, each with its place among the slots and the most bytes it may have.
#[derive(Clone, Debug, Default)]
pub struct ParamNames {
    names: Vec<(Box<str>, usize)>,
    places: HashMap<Box<str>, u16>,
    /// Whether a rule walks over parameters or computes a name.
    walks: bool,
}

impl ParamNames {
    /// The slot of a name, which is made if there is none.
    pub fn slot(&mut self, name: &str, most: usize) -> u16 {
        if let Some(slot) = self.places.get(name) {
            return *slot;
        }
        let slot = self.names.len() as u16;
        self.names.push((name.into(), most));
        self.places.insert(name.into(), slot);
        slot
    }

    /// The place of a name; a few are found sooner one by one than by hash.
    fn place(&self, name: &[u8]) -> Option<usize> {
        if self.names.len() <= 8 {
            return self.names.iter().position(|(n, _)| n.as_bytes() == name);
        }
        self.places
            .get(str::from_utf8(name).ok()?)
            .map(|slot| usize::from(*slot))
    }

    /// Slots in use.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no parameter is named.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The name of a slot.
    pub fn name(&self, slot: u16) -> &str {
        self.names
            .get(usize::from(slot))
            .map_or("", |(name, _)| name)
    }

    /// From now on all parameters are picked.
    pub fn walked(&mut self) {
        self.walks = true;
    }

    /// Picks what rules may ask for out of a request's parameters, in one pass; text is checked
    /// here, once. Of parameters with one name the last counts, as everywhere in the node.
    pub fn pick<'a>(&self, pairs: impl Iterator<Item = (&'a [u8], &'a [u8])>) -> Params<'a> {
        let mut params = Params {
            slots: SmallVec::from_elem(None, self.names.len()),
            ..Params::default()
        };
        if self.names.is_empty() && !self.walks {
            return params;
        }
        for (name, value) in pairs {
            if let Some(at) = self.place(name) {
                params.slots[at] = Some(text(value, self.names[at].1));
            }
            if self.walks {
                params.pairs.retain(|(n, _)| n.as_bytes() != name);
                match str::from_utf8(name) {
                    Ok(name) if params.pairs.len() < PAIRS_MAX => {
                        params.pairs.push((name, text(value, PARAM_MAX)));
                    }
                    Ok(_) => params.fault = Some(EvaluationError::TooLong),
                    Err(_) => params.fault = Some(EvaluationError::NoText),
                }
            }
        }
        params
    }
}

fn text(value: &[u8], most: usize) -> Result<&str, EvaluationError> {
    if value.len() > most {
        return Err(EvaluationError::TooLong);
    }
    str::from_utf8(value).map_err(|_| EvaluationError::NoText)
}

/// A request's parameters, as far as rules may ask for them.
#[derive(Clone, Debug, Default)]
pub struct Params<'a> {
    slots: SmallVec<[Option<Result<&'a str, EvaluationError>>; 16]>,
    pairs: SmallVec<[(&'a str, Result<&'a str, EvaluationError>); 1]>,
    /// Why not all of them can be walked.
    fault: Option<EvaluationError>,
}

impl<'a> Params<'a> {
    /// The value in a slot.
    pub fn slot(&self, slot: u16) -> Result<&'a str, EvaluationError> {
        self.slots
            .get(usize::from(slot))
            .copied()
            .flatten()
            .unwrap_or(Err(EvaluationError::Absent))
    }

    /// Whether a slot has a value, be it good or not.
    pub fn has_slot(&self, slot: u16) -> bool {
        self.slots
            .get(usize::from(slot))
            .is_some_and(|value| value.is_some())
    }

    /// All names, if they can be walked.
    pub fn names(&self) -> Result<impl ExactSizeIterator<Item = &'a str>, EvaluationError> {
        self.fault
            .map_or(Ok(self.pairs.iter().map(|(name, _)| *name)), Err)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// The value of a name.
    pub fn find(&self, name: &str) -> Result<&'a str, EvaluationError> {
        let found = self.pairs.iter().find(|(n, _)| *n == name);
        found.map_or(
            Err(self.fault.unwrap_or(EvaluationError::Absent)),
            |(_, value)| *value,
        )
    }

    /// Whether there is a parameter of this name.
    pub fn has(&self, name: &str) -> Result<bool, EvaluationError> {
        let found = self.pairs.iter().any(|(n, _)| *n == name);
        if found {
            Ok(true)
        } else {
            self.fault.map_or(Ok(false), Err)
        }
    }
}
