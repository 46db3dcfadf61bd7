//! Validation of X.509-SVIDs as specified in "The X.509 SPIFFE Verifiable Identity Document". This
//! module checks the standard's requirements on the certificates; `webpki` verifies the signatures,
//! the times and the path to an authority.

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

/// Maximum number of certificates in a chain. A longer chain is refused without being parsed.
pub const CHAIN_MAX: usize = 8;
/// Maximum size of all certificates of a chain together, in bytes. A larger chain is refused
/// without being parsed.
pub const BYTES_MAX: usize = 64 << 10;

/// Role of the peer that presents the identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The peer opened the connection to this node; its certificate must allow client
    /// authentication.
    Caller,
    /// This node opened the connection to the peer; its certificate must allow server
    /// authentication.
    Server,
}

/// Reason why a chain is refused. Variants for violations of the X.509-SVID standard name the
/// violated sections.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum X509SvidError {
    /// The chain is empty.
    #[error("chain has no certificate")]
    Empty,
    /// The chain exceeds [`CHAIN_MAX`] or [`BYTES_MAX`].
    #[error("chain has more than {CHAIN_MAX} certificates or {BYTES_MAX} bytes")]
    TooLarge,
    /// A certificate is malformed or is followed by further bytes.
    #[error("certificate cannot be parsed")]
    Unreadable,
    /// Section 2: the leaf does not have exactly one URI among its subject alternative names;
    /// carries the number of URIs.
    #[error("leaf has {0} URIs among its alternative names, exactly 1 is required (X509-SVID 2)")]
    Uris(usize),
    /// Section 2: the URI is not a valid SPIFFE id.
    #[error("URI of the leaf is not a valid SPIFFE id: {0}")]
    NoId(SpiffeIdError),
    /// Section 4.1: the leaf is a certificate authority.
    #[error("leaf is a certificate authority (X509-SVID 4.1)")]
    LeafIsAuthority,
    /// Section 4.1: the SPIFFE id of the leaf has no path.
    #[error("SPIFFE id of the leaf has no path (X509-SVID 4.1)")]
    NoPath,
    /// Section 4.3: the key usage extension of the leaf is absent or not critical.
    #[error("key usage of the leaf is absent or not critical (X509-SVID 4.3)")]
    NoKeyUsage,
    /// Section 4.3: the key usage of the leaf lacks digital signatures, or includes signing of
    /// certificates or revocation lists.
    #[error(
        "key usage of the leaf lacks digital signatures, or allows signing of certificates or \
         revocation lists (X509-SVID 4.3)"
    )]
    KeyUsage,
    /// Section 4.4: the extended key usage of the leaf is present and lacks client or server
    /// authentication.
    #[error("extended key usage of the leaf lacks client or server authentication (X509-SVID 4.4)")]
    ExtendedKeyUsage,
    /// Sections 3.2 and 4.2: an intermediate certificate is not an authority, may not sign
    /// certificates, has several URIs, or has a URI that is not the id of the leaf's trust domain.
    #[error("an intermediate is not an authority of the leaf's trust domain (X509-SVID 3.2, 4)")]
    Authority,
    /// Section 5: no bundle is in force for the trust domain of the id; carries the name of the
    /// trust domain.
    #[error("trust domain {0} is not known")]
    UnknownDomain(String),
    /// The leaf expired longer ago than the clock skew.
    #[error("expired")]
    Expired,
    /// The validity of the leaf starts later than the clock skew allows.
    #[error("leaf is not valid yet")]
    NotYet,
    /// Section 5.2: no path of valid signatures leads to an authority of the id's trust domain;
    /// carries the reason why no path was found.
    #[error("no path to an authority of the trust domain: {0}")]
    NoPathToAuthority(String),
}

/// Identity that a valid chain proves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerifiedSvid {
    /// SPIFFE id of the leaf.
    pub id: SpiffeId,
    /// Start of the leaf's validity, in nanoseconds since the Unix epoch.
    pub not_before: Nanos,
    /// End of the leaf's validity, in nanoseconds since the Unix epoch.
    pub not_after: Nanos,
    /// Authority at the end of the chain's path. The identity is trusted as long as this authority
    /// is in the bundle of the trust domain.
    pub authority: Authority,
    /// Version of the bundles ([`Bundles::version`]) with which the chain was checked.
    pub bundles: u64,
}

/// Identifier of an authority: the SHA-256 digest of its certificate in DER.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Authority(pub [u8; 32]);

/// Returns the identifier of the authority with this certificate in DER.
pub fn authority(der: &[u8]) -> Authority {
    let digest = ring::digest::digest(&ring::digest::SHA256, der);
    let mut bytes = [0; 32];
    bytes.copy_from_slice(digest.as_ref());
    Authority(bytes)
}

/// Parses a certificate that must not be followed by further bytes.
fn parse(der: &[u8]) -> Result<X509Certificate<'_>, X509SvidError> {
    match X509Certificate::from_der(der) {
        Ok(([], certificate)) => Ok(certificate),
        _ => Err(X509SvidError::Unreadable),
    }
}

/// Returns the URIs among the subject alternative names. A certificate with the extension twice is
/// refused by the parser.
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

/// Converts a time of a certificate to nanoseconds since the Unix epoch; earlier times become 0.
fn nanos(seconds: i64) -> Nanos {
    u64::try_from(seconds)
        .unwrap_or(0)
        .saturating_mul(1_000_000_000)
}

/// Checks the standard's requirements on a leaf; returns its id and the start and end of its
/// validity.
fn check_leaf(der: &[u8]) -> Result<(SpiffeId, Nanos, Nanos), X509SvidError> {
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

/// Checks the standard's requirements on an intermediate certificate of a chain whose leaf belongs
/// to this trust domain.
fn check_intermediate(der: &[u8], domain: &str) -> Result<(), X509SvidError> {
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

/// Validates a chain of certificates in DER, leaf first. `now` is in nanoseconds since the Unix
/// epoch; `skew` is the tolerated clock difference in nanoseconds, capped at [`SKEW_MOST`].
///
/// # Errors
///
/// Returns the error of the first check that fails.
pub fn check(
    chain: &[impl AsRef<[u8]>],
    bundles: &Bundles,
    role: Role,
    now: Nanos,
    skew: Nanos,
) -> Result<VerifiedSvid, X509SvidError> {
    let (leaf, intermediates) = chain.split_first().ok_or(X509SvidError::Empty)?;
    if chain.len() > CHAIN_MAX || chain.iter().map(|c| c.as_ref().len()).sum::<usize>() > BYTES_MAX
    {
        return Err(X509SvidError::TooLarge);
    }
    let (id, not_before, not_after) = check_leaf(leaf.as_ref())?;
    intermediates
        .iter()
        .try_for_each(|der| check_intermediate(der.as_ref(), id.domain()))?;
    // Only authorities of the id's trust domain may issue the identity.
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
    let authority = find_authority(
        leaf.as_ref(),
        intermediates,
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

/// Verifies the path from the leaf to an authority of the bundle, and returns that authority.
fn find_authority(
    leaf: &[u8],
    intermediates: &[impl AsRef<[u8]>],
    bundle: &Bundle,
    role: Role,
    now: Nanos,
) -> Result<Authority, X509SvidError> {
    let authorities: Vec<CertificateDer<'_>> = bundle
        .x509
        .iter()
        .map(|der| CertificateDer::from(&der[..]))
        .collect();
    // Authorities that cannot be parsed are skipped, so that the others still work.
    let anchors = authorities
        .iter()
        .map(|der| (der, anchor_from_trusted_cert(der)));
    let (ders, anchors): (Vec<_>, Vec<_>) = anchors
        .filter_map(|(der, anchor)| Some((der, anchor.ok()?)))
        .unzip();
    let intermediates: Vec<_> = intermediates
        .iter()
        .map(|der| CertificateDer::from(der.as_ref()))
        .collect();
    let leaf = CertificateDer::from(leaf);
    let certificate = EndEntityCert::try_from(&leaf).map_err(|_| X509SvidError::Unreadable)?;
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
    let index = anchors.iter().position(|anchor| anchor == found.anchor());
    index
        .map(|index| authority(ders[index]))
        .ok_or_else(|| X509SvidError::NoPathToAuthority("trust anchor is not in the bundle".into()))
}
