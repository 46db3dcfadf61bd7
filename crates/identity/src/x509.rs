//! X.509-SVIDs, by "The X.509 SPIFFE Verifiable Identity Document": what the standard asks of the
//! certificates is checked here, the signatures, times and the path to an authority by `webpki`.

use crate::bundle::Bundles;
use crate::id::{SpiffeId, SpiffeIdError};
use crate::rotation::SKEW_MOST;
use crate::{Bundle, Nanos};
use rustls_pki_types::{CertificateDer, UnixTime};
use std::time::Duration;
use webpki::{ALL_VERIFICATION_ALGS, EndEntityCert, KeyUsage, anchor_from_trusted_cert};
use x509_parser::certificate::X509Certificate;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::FromDer;

/// Certificates of a chain, and bytes of all of them; what is beyond is not looked at.
pub const CHAIN_MAX: usize = 8;
/// See there.
pub const BYTES_MAX: usize = 64 << 10;

/// Who proves itself: a caller to us, or a server that we call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It calls us.
    Caller,
    /// We call it.
    Server,
}

/// Why a chain proves no identity, with the clause of the standard where it is one's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum X509SvidError {
    /// No certificate at all.
    #[error("no certificate")]
    Empty,
    /// More certificates, or bytes, than are looked at.
    #[error("more than {CHAIN_MAX} certificates or {BYTES_MAX} bytes")]
    TooLarge,
    /// A certificate that can't be read, or with bytes after its end.
    #[error("a certificate that can't be read")]
    Unreadable,
    /// 2: not exactly one URI among the alternative names; how many there are.
    #[error("{0} URIs among the names; exactly one (X509-SVID 2)")]
    Uris(usize),
    /// 2: the URI is no SPIFFE id.
    #[error("no SPIFFE id: {0}")]
    NoId(SpiffeIdError),
    /// 4.1: the leaf is an authority.
    #[error("the leaf is an authority (X509-SVID 4.1)")]
    LeafIsAuthority,
    /// 4.1: the id of a leaf has no path.
    #[error("the leaf's id has no path (X509-SVID 4.1)")]
    NoPath,
    /// 4.3: key usage is absent or not critical.
    #[error("key usage is absent or not critical (X509-SVID 4.3)")]
    NoKeyUsage,
    /// 4.3: a leaf must sign digitally, and must sign neither certificates nor revocation lists.
    #[error("the leaf's key usage (X509-SVID 4.3)")]
    KeyUsage,
    /// 4.4: extended key usage is there and lacks client or server authentication.
    #[error("extended key usage lacks client or server (X509-SVID 4.4)")]
    ExtendedKeyUsage,
    /// 3.2, 4.2: an intermediate is no authority, may not sign certificates, or has an id with a
    /// path or of another domain.
    #[error("an intermediate is no authority of the domain (X509-SVID 3.2, 4)")]
    Authority,
    /// 5: nothing is trusted for the id's own trust domain.
    #[error("trust domain {0} is not known")]
    UnknownDomain(String),
    /// It is over, by more than clocks may differ.
    #[error("expired")]
    Expired,
    /// It begins later than clocks may differ.
    #[error("not valid yet")]
    NotYet,
    /// 5.2: no path of good signatures to an authority of the id's own trust domain.
    #[error("no path to an authority of its domain: {0}")]
    NoPathToAuthority(String),
}

/// An identity that was proven.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerifiedSvid {
    /// Whose it is.
    pub id: SpiffeId,
    /// From when on the leaf is valid, in nanoseconds since the Unix epoch.
    pub not_before: Nanos,
    /// Until when.
    pub not_after: Nanos,
    /// The authority that vouched for it, by [`authority`]: while that is in the bundle, so is the
    /// identity good.
    pub authority: Authority,
    /// The version of the bundles by which it was proven.
    pub bundles: u64,
}

/// Tells authorities apart: SHA-256 of the certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Authority(pub [u8; 32]);

/// An authority by its certificate.
pub fn authority(der: &[u8]) -> Authority {
    let digest = ring::digest::digest(&ring::digest::SHA256, der);
    let mut bytes = [0; 32];
    bytes.copy_from_slice(digest.as_ref());
    Authority(bytes)
}

fn parse(der: &[u8]) -> Result<X509Certificate<'_>, X509SvidError> {
    match X509Certificate::from_der(der) {
        Ok(([], certificate)) => Ok(certificate),
        _ => Err(X509SvidError::Unreadable),
    }
}

/// URIs among the alternative names. A second such extension is refused where it is parsed.
fn uris<'c>(certificate: &'c X509Certificate<'_>) -> Result<Vec<&'c str>, X509SvidError> {
    let names = certificate
        .subject_alternative_name()
        .map_err(|_| X509SvidError::Unreadable)?;
    let all = names
        .map(|names| names.value.general_names.iter())
        .into_iter()
        .flatten();
    let uri = |name: &'c GeneralName<'_>| {
        if let GeneralName::URI(uri) = name {
            Some(*uri)
        } else {
            None
        }
    };
    Ok(all.filter_map(uri).collect())
}

fn is_authority(certificate: &X509Certificate<'_>) -> Result<bool, X509SvidError> {
    let constraints = certificate
        .basic_constraints()
        .map_err(|_| X509SvidError::Unreadable)?;
    Ok(constraints.is_some_and(|constraints| constraints.value.ca))
}

/// A point in time of a certificate, in nanoseconds since the epoch; what lies before is the epoch.
fn nanos(seconds: i64) -> Nanos {
    u64::try_from(seconds)
        .unwrap_or(0)
        .saturating_mul(1_000_000_000)
}

/// The id of a leaf, and its validity, by all that the standard asks of it alone.
fn leaf(der: &[u8]) -> Result<(SpiffeId, Nanos, Nanos), X509SvidError> {
    let certificate = parse(der)?;
    let uris = uris(&certificate)?;
    let [uri] = uris.as_slice() else {
        return Err(X509SvidError::Uris(uris.len()));
    };
    let id: SpiffeId = uri.parse().map_err(X509SvidError::NoId)?;
    if is_authority(&certificate)? {
        return Err(X509SvidError::LeafIsAuthority);
    }
    if id.path().is_empty() {
        return Err(X509SvidError::NoPath);
    }
    let usage = certificate
        .key_usage()
        .map_err(|_| X509SvidError::Unreadable)?;
    let usage = usage
        .filter(|usage| usage.critical)
        .ok_or(X509SvidError::NoKeyUsage)?
        .value;
    if !usage.digital_signature() || usage.key_cert_sign() || usage.crl_sign() {
        return Err(X509SvidError::KeyUsage);
    }
    let extended = certificate
        .extended_key_usage()
        .map_err(|_| X509SvidError::Unreadable)?;
    if extended.is_some_and(|e| !(e.value.client_auth && e.value.server_auth)) {
        return Err(X509SvidError::ExtendedKeyUsage);
    }
    let validity = certificate.validity();
    Ok((
        id,
        nanos(validity.not_before.timestamp()),
        nanos(validity.not_after.timestamp()),
    ))
}

fn intermediate(der: &[u8], domain: &str) -> Result<(), X509SvidError> {
    let certificate = parse(der)?;
    let usage = certificate
        .key_usage()
        .map_err(|_| X509SvidError::Unreadable)?;
    if !is_authority(&certificate)? || !usage.is_some_and(|usage| usage.value.key_cert_sign()) {
        return Err(X509SvidError::Authority);
    }
    match uris(&certificate)?.as_slice() {
        [] => Ok(()),
        [uri] => match uri.parse::<SpiffeId>() {
            Ok(id) if id.domain() == domain && id.path().is_empty() => Ok(()),
            _ => Err(X509SvidError::Authority),
        },
        _ => Err(X509SvidError::Authority),
    }
}

/// Checks a chain, the leaf first, at a time of the Unix clock; clocks may differ by `skew`, at
/// most [`SKEW_MOST`].
pub fn check(
    chain: &[impl AsRef<[u8]>],
    bundles: &Bundles,
    role: Role,
    now: Nanos,
    skew: Nanos,
) -> Result<VerifiedSvid, X509SvidError> {
    let (first, rest) = chain.split_first().ok_or(X509SvidError::Empty)?;
    if chain.len() > CHAIN_MAX || chain.iter().map(|c| c.as_ref().len()).sum::<usize>() > BYTES_MAX
    {
        return Err(X509SvidError::TooLarge);
    }
    let (id, not_before, not_after) = leaf(first.as_ref())?;
    rest.iter()
        .try_for_each(|der| intermediate(der.as_ref(), id.domain()))?;
    // Only authorities of the id's own domain count: one of another domain can't vouch for it.
    let bundle = bundles
        .of(id.domain())
        .ok_or_else(|| X509SvidError::UnknownDomain(id.domain().to_owned()))?;
    let skew = skew.min(SKEW_MOST);
    if now > not_after.saturating_add(skew) {
        return Err(X509SvidError::Expired);
    }
    if now.saturating_add(skew) < not_before {
        return Err(X509SvidError::NotYet);
    }
    let authority = path(
        first.as_ref(),
        rest,
        bundle,
        role,
        now.clamp(not_before, not_after),
    )?;
    Ok(VerifiedSvid {
        id,
        not_before,
        not_after,
        authority,
        bundles: bundles.version(),
    })
}

fn path(
    first: &[u8],
    rest: &[impl AsRef<[u8]>],
    bundle: &Bundle,
    role: Role,
    now: Nanos,
) -> Result<Authority, X509SvidError> {
    let authorities: Vec<CertificateDer<'_>> = bundle
        .x509
        .iter()
        .map(|der| CertificateDer::from(&der[..]))
        .collect();
    // An authority that can't be read vouches for nobody; the others still do.
    let anchors = authorities
        .iter()
        .map(|der| (der, anchor_from_trusted_cert(der)));
    let (ders, anchors): (Vec<_>, Vec<_>) = anchors
        .filter_map(|(der, anchor)| Some((der, anchor.ok()?)))
        .unzip();
    let intermediates: Vec<_> = rest
        .iter()
        .map(|der| CertificateDer::from(der.as_ref()))
        .collect();
    let first = CertificateDer::from(first);
    let certificate = EndEntityCert::try_from(&first).map_err(|_| X509SvidError::Unreadable)?;
    let usage = match role {
        Role::Caller => KeyUsage::client_auth(),
        Role::Server => KeyUsage::server_auth(),
    };
    let time = UnixTime::since_unix_epoch(Duration::from_nanos(now));
    let found = certificate
        .verify_for_usage(
            ALL_VERIFICATION_ALGS,
            &anchors,
            &intermediates,
            time,
            usage,
            None,
            None,
        )
        .map_err(|e| X509SvidError::NoPathToAuthority(e.to_string()))?;
    let at = anchors.iter().position(|anchor| anchor == found.anchor());
    at.map(|at| authority(ders[at]))
        .ok_or_else(|| X509SvidError::NoPathToAuthority("of no authority".into()))
}
