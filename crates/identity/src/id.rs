//! SPIFFE ids and trust domains as specified in "The SPIFFE Identity and Verifiable Identity
//! Document", section 2. The errors name the violated clause.

use std::fmt;
use std::str::FromStr;

/// Maximum length of an id, in bytes: the length that an implementation must support (2.3).
pub const ID_MAX: usize = 2048;
/// Maximum length of the name of a trust domain, in bytes (2.3).
pub const DOMAIN_MAX: usize = 255;
const SCHEME: &str = "spiffe://";

/// Reason why a string is not a valid SPIFFE id, with the violated clause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpiffeIdError {
    /// 2.3: the id has more than 2048 bytes.
    #[error("id is longer than {ID_MAX} bytes (2.3)")]
    TooLong,
    /// 2: the scheme is not `spiffe`.
    #[error("id does not start with {SCHEME} (2)")]
    Scheme,
    /// 2.1: the name of the trust domain is empty.
    #[error("id has no trust domain (2.1)")]
    NoDomain,
    /// 2.3: the name of the trust domain has more than 255 bytes.
    #[error("trust domain is longer than {DOMAIN_MAX} bytes (2.3)")]
    DomainTooLong,
    /// 2.1: the trust domain has a character other than a-z, 0-9, '.', '-' and '_'. A user or a
    /// port before the path is reported by its '@' or ':'.
    #[error("character {0:?} is not allowed in a trust domain (2.1)")]
    DomainLetter(char),
    /// 2.2: a segment of the path is empty, or the path ends with '/'.
    #[error("path has an empty segment (2.2)")]
    EmptySegment,
    /// 2.2: a segment of the path is '.' or '..'.
    #[error("path has a segment '.' or '..' (2.2)")]
    DotSegment,
    /// 2.2: a segment of the path has a character other than A-Z, a-z, 0-9, '.', '-' and '_'. A
    /// query, a fragment and percent-encoding are reported by their '?', '#' or '%'.
    #[error("character {0:?} is not allowed in the path (2.2)")]
    PathLetter(char),
}

/// Trust domain, identified by its valid name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TrustDomain(Box<str>);

impl TrustDomain {
    /// Returns the name, without scheme.
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
    let allowed = |c: &char| matches!(c, 'a'..='z' | '0'..='9' | '.' | '-' | '_');
    if name.is_empty() {
        return Err(SpiffeIdError::NoDomain);
    }
    match name.chars().find(|c| !allowed(c)) {
        Some(c) => Err(SpiffeIdError::DomainLetter(c)),
        None if name.len() > DOMAIN_MAX => Err(SpiffeIdError::DomainTooLong),
        None => Ok(()),
    }
}

fn check_path(path: &str) -> Result<(), SpiffeIdError> {
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    let Some(segments) = path.strip_prefix('/') else {
        return Ok(());
    };
    for segment in segments.split('/') {
        match segment {
            "" => return Err(SpiffeIdError::EmptySegment),
            "." | ".." => return Err(SpiffeIdError::DotSegment),
            _ => {}
        }
        if let Some(c) = segment.chars().find(|c| !allowed(c)) {
            return Err(SpiffeIdError::PathLetter(c));
        }
    }
    Ok(())
}

impl FromStr for TrustDomain {
    type Err = SpiffeIdError;

    /// Parses the name of a trust domain, or a SPIFFE id, whose trust domain is returned.
    fn from_str(text: &str) -> Result<TrustDomain, SpiffeIdError> {
        if text.contains("://") {
            return Ok(text.parse::<SpiffeId>()?.trust_domain());
        }
        check_domain(text)?;
        Ok(TrustDomain(text.into()))
    }
}

/// Valid SPIFFE id.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SpiffeId {
    text: Box<str>,
    /// Offset of the path in `text`, in bytes.
    path: usize,
}

impl SpiffeId {
    /// Returns the whole id, with its scheme.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the name of the id's trust domain.
    pub fn domain(&self) -> &str {
        &self.text[SCHEME.len()..self.path]
    }

    /// Returns the id's trust domain.
    pub fn trust_domain(&self) -> TrustDomain {
        TrustDomain(self.domain().into())
    }

    /// Returns the id's path, with the leading '/'; empty for the id of a trust domain itself.
    pub fn path(&self) -> &str {
        &self.text[self.path..]
    }

    /// Returns whether the id belongs to this trust domain.
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
