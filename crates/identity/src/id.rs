//! SPIFFE ids and trust domains, by "The SPIFFE Identity and Verifiable Identity Document", section
//! 2.

use std::fmt;
use std::str::FromStr;

/// The longest id that need be supported (2.3).
pub const ID_MAX: usize = 2048;
/// The longest name of a trust domain (2.3).
pub const DOMAIN_MAX: usize = 255;
const SCHEME: &str = "spiffe://";

/// Why a text is no SPIFFE id, with the clause that it breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpiffeIdError {
    /// 2.3: more than 2048 bytes.
    #[error("an id of more than {ID_MAX} bytes (2.3)")]
    TooLong,
    /// 2: the scheme is not `spiffe`.
    #[error("an id begins with {SCHEME} (2)")]
    Scheme,
    /// 2.1: no trust domain.
    #[error("no trust domain (2.1)")]
    NoDomain,
    /// 2.3: the trust domain has more than 255 bytes.
    #[error("a trust domain of more than {DOMAIN_MAX} bytes (2.3)")]
    DomainTooLong,
    /// 2.1: the trust domain has another letter than a-z, 0-9, '.', '-' and '_'; user and port are
    /// among these.
    #[error("{0:?} in the trust domain (2.1)")]
    DomainLetter(char),
    /// 2.2: a segment of the path is empty, or the path ends with '/'.
    #[error("an empty segment in the path (2.2)")]
    EmptySegment,
    /// 2.2: a segment is '.' or '..'.
    #[error("a segment '.' or '..' in the path (2.2)")]
    DotSegment,
    /// 2.2: a segment has another letter than A-Z, a-z, 0-9, '.', '-' and '_'; so have a query, a
    /// fragment and what is percent-encoded.
    #[error("{0:?} in the path (2.2)")]
    PathLetter(char),
}

/// The name of a trust domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TrustDomain(Box<str>);

impl TrustDomain {
    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TrustDomain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn check_domain(name: &str) -> Result<(), SpiffeIdError> {
    let known = |c: &char| matches!(c, 'a'..='z' | '0'..='9' | '.' | '-' | '_');
    if name.is_empty() {
        return Err(SpiffeIdError::NoDomain);
    }
    match name.chars().find(|c| !known(c)) {
        Some(c) => Err(SpiffeIdError::DomainLetter(c)),
        None if name.len() > DOMAIN_MAX => Err(SpiffeIdError::DomainTooLong),
        None => Ok(()),
    }
}

fn check_path(path: &str) -> Result<(), SpiffeIdError> {
    let known = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    let Some(segments) = path.strip_prefix('/') else {
        return Ok(());
    };
    for segment in segments.split('/') {
        match segment {
            "" => return Err(SpiffeIdError::EmptySegment),
            "." | ".." => return Err(SpiffeIdError::DotSegment),
            _ => {}
        }
        if let Some(c) = segment.chars().find(|c| !known(c)) {
            return Err(SpiffeIdError::PathLetter(c));
        }
    }
    Ok(())
}

impl FromStr for TrustDomain {
    type Err = SpiffeIdError;

    /// Reads a name, or takes the trust domain of an id.
    fn from_str(text: &str) -> Result<TrustDomain, SpiffeIdError> {
        if text.contains("://") {
            return Ok(text.parse::<SpiffeId>()?.trust_domain());
        }
        check_domain(text)?;
        Ok(TrustDomain(text.into()))
    }
}

/// A SPIFFE id.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpiffeId {
    text: Box<str>,
    /// Where the path begins.
    path: usize,
}

impl SpiffeId {
    /// The whole id.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The name of its trust domain.
    pub fn domain(&self) -> &str {
        &self.text[SCHEME.len()..self.path]
    }

    /// Its trust domain.
    pub fn trust_domain(&self) -> TrustDomain {
        TrustDomain(self.domain().into())
    }

    /// Its path, with the leading '/'; empty for the id of a trust domain itself.
    pub fn path(&self) -> &str {
        &self.text[self.path..]
    }

    /// Whether it is in this trust domain.
    pub fn is_of(&self, domain: &TrustDomain) -> bool {
        self.domain() == domain.as_str()
    }
}

impl FromStr for SpiffeId {
    type Err = SpiffeIdError;

    fn from_str(text: &str) -> Result<SpiffeId, SpiffeIdError> {
        if text.len() > ID_MAX {
            return Err(SpiffeIdError::TooLong);
        }
        let rest = text.strip_prefix(SCHEME).ok_or(SpiffeIdError::Scheme)?;
        let path = SCHEME.len() + rest.find('/').unwrap_or(rest.len());
        check_domain(&text[SCHEME.len()..path])?;
        check_path(&text[path..])?;
        Ok(SpiffeId {
            text: text.into(),
            path,
        })
    }
}

impl fmt::Display for SpiffeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl fmt::Debug for SpiffeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

#[cfg(test)]
mod tests;
