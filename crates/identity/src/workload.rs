//! The part of the SPIFFE Workload API that needs no socket: the messages of the gRPC service,
//! their framing on a stream, and the validation of responses. A faulty or compromised issuer must
//! not make a node present an identity that its peers would refuse, or trust more authorities than
//! the bundle of a trust domain contains.

use crate::bundle::{Bundle, Bundles};
use crate::id::{SpiffeId, TrustDomain};
use crate::x509::{self, Role};
use crate::{Nanos, bundle};
use prost::Message;
use ring::rand::SystemRandom;
use ring::signature as sign;
use ring::signature::KeyPair;
use std::collections::HashMap;
use std::fmt;
use x509_parser::certificate::X509Certificate;
use x509_parser::prelude::FromDer;
use zeroize::Zeroizing;

/// Name and value of the header that every call must carry. It protects against server-side request
/// forgery: a process that was tricked into sending a request does not set the header.
pub const HEADER: (&str, &str) = ("workload.spiffe.io", "true");
/// Path of the gRPC method that streams X.509-SVIDs.
pub const FETCH_X509: &str = "/SpiffeWorkloadAPI/FetchX509SVID";
/// Path of the gRPC method that streams the bundles for JWT-SVIDs.
pub const FETCH_JWT_BUNDLES: &str = "/SpiffeWorkloadAPI/FetchJWTBundles";
/// Maximum size of a message, in bytes.
pub const MESSAGE_MAX: usize = 1 << 20;
/// Maximum number of identities in a response.
const SVIDS_MAX: usize = 16;
/// Maximum number of federated trust domains, or of domains with JWT keys, in a response.
const DOMAINS_MAX: usize = 64;
/// Refresh interval of a bundle from the Workload API, in nanoseconds. The API streams changes, so
/// a shorter interval is not needed.
const REFRESH: Nanos = 300 * 1_000_000_000;

/// Message of the stream of [`FETCH_X509`] (`X509SVIDResponse`).
#[derive(Clone, PartialEq, Message)]
pub struct X509SvidResponse {
    /// Identities of the workload; the first is the default and the only one that is used.
    #[prost(message, repeated, tag = "1")]
    pub svids: Vec<X509SvidMessage>,
    /// Certificate revocation lists in DER, which are ignored because identities are short-lived.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub crl: Vec<Vec<u8>>,
    /// Authorities of federated trust domains, by the SPIFFE id of the domain: concatenated
    /// certificates in DER.
    #[prost(map = "string, bytes", tag = "3")]
    pub federated_bundles: HashMap<String, Vec<u8>>,
}

/// Identity in an [`X509SvidResponse`] (`X509SVID`).
#[derive(Clone, PartialEq, Message)]
#[prost(skip_debug)]
pub struct X509SvidMessage {
    /// SPIFFE id, which must be that of the leaf certificate.
    #[prost(string, tag = "1")]
    pub spiffe_id: String,
    /// Certificate chain, leaf first: concatenated certificates in DER.
    #[prost(bytes = "vec", tag = "2")]
    pub x509_svid: Vec<u8>,
    /// Private key of the leaf certificate, PKCS#8 in DER.
    #[prost(bytes = "vec", tag = "3")]
    pub x509_svid_key: Vec<u8>,
    /// Authorities of the identity's trust domain: concatenated certificates in DER.
    #[prost(bytes = "vec", tag = "4")]
    pub bundle: Vec<u8>,
    /// Intended use, by which a workload with several identities selects one; not evaluated.
    #[prost(string, tag = "5")]
    pub hint: String,
}

impl fmt::Debug for X509SvidMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "X509SvidMessage({}, key not shown)", self.spiffe_id)
    }
}

/// Message of the stream of [`FETCH_JWT_BUNDLES`] (`JWTBundlesResponse`).
#[derive(Clone, PartialEq, Message)]
pub struct JwtBundlesResponse {
    /// Bundle documents (JSON Web Key Sets) by the SPIFFE id of the trust domain.
    #[prost(map = "string, bytes", tag = "1")]
    pub bundles: HashMap<String, Vec<u8>>,
}

/// Reason why a response of the issuer cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkloadApiError {
    /// The framing or a message is invalid; carries the name of the invalid part or the reason.
    #[error("response cannot be parsed: {0}")]
    Garbage(&'static str),
    /// A message is larger than [`MESSAGE_MAX`], or has more than 16 identities or 64 trust
    /// domains.
    #[error("message exceeds the limit on bytes, identities or trust domains")]
    TooLarge,
    /// The response has no identity, or the identity has no certificate.
    #[error("response has no identity")]
    Nothing,
    /// The SPIFFE id in the message differs from that in the leaf certificate.
    #[error("SPIFFE id of the message differs from that of the certificate")]
    OtherId,
    /// The private key does not belong to the leaf certificate, or its type is not supported.
    #[error("private key does not belong to the certificate")]
    Key,
    /// The identity fails validation with the bundle that came in the same message.
    #[error("identity is not valid: {0}")]
    Svid(x509::X509SvidError),
    /// The name of a trust domain is invalid, or a federated domain is the identity's own; carries
    /// the name.
    #[error("{0:?} is not a valid trust domain, or is the identity's own trust domain")]
    Domain(String),
}

/// Identity to present. The private key is zeroed in memory when it is dropped, and never printed.
pub struct Identity {
    /// Id and validity, as verified with the bundle that came with the identity.
    pub proven: x509::VerifiedSvid,
    /// Certificate chain in DER, leaf first.
    pub chain: Vec<Vec<u8>>,
    /// Private key, PKCS#8 in DER.
    pub key: Zeroizing<Vec<u8>>,
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "Identity({}, {} certificates, key not shown)",
            self.proven.id,
            self.chain.len()
        )
    }
}

/// Validated content of an [`X509SvidResponse`].
#[derive(Debug)]
pub struct Update {
    /// Identity to present: the first one of the response.
    pub identity: Identity,
    /// Authorities by trust domain, as certificates in DER: the identity's own domain first, then
    /// the federated ones in the order of their names.
    pub x509: Vec<(TrustDomain, Vec<Vec<u8>>)>,
}

/// Incremental parser of gRPC frames: one byte that flags compression, the length in four
/// big-endian bytes, then the message. The stream may be split at any byte.
#[derive(Debug, Default)]
pub struct FrameReader {
    /// Bytes of the frame that is not complete yet.
    buffer: Vec<u8>,
}

/// Length of a frame's header, in bytes.
const FRAME_HEADER_LEN: usize = 5;

impl FrameReader {
    /// Consumes the next bytes of the stream and passes each message that they complete to `sink`.
    ///
    /// # Errors
    ///
    /// Returns an error if a message is compressed or larger than [`MESSAGE_MAX`].
    pub fn feed(
        &mut self,
        bytes: &[u8],
        mut sink: impl FnMut(&[u8]),
    ) -> Result<(), WorkloadApiError> {
        let mut bytes = bytes;
        loop {
            // At most one message is buffered, however many bytes arrive at once.
            let frame_len = self.frame_len()?;
            let n = bytes.len().min(frame_len - self.buffer.len());
            self.buffer.extend_from_slice(&bytes[..n]);
            bytes = &bytes[n..];
            if self.buffer.len() < frame_len {
                return Ok(());
            }
            if frame_len > FRAME_HEADER_LEN || self.frame_len()? == FRAME_HEADER_LEN {
                sink(&self.buffer[FRAME_HEADER_LEN..]);
                self.buffer.clear();
            }
        }
    }

    /// Returns the length of the current frame, or of its header while that is incomplete.
    fn frame_len(&self) -> Result<usize, WorkloadApiError> {
        let [flag, l3, l2, l1, l0, ..] = self.buffer.as_slice() else {
            return Ok(FRAME_HEADER_LEN);
        };
        if *flag != 0 {
            return Err(WorkloadApiError::Garbage(
                "compressed gRPC message although no compression was negotiated",
            ));
        }
        let len = u32::from_be_bytes([*l3, *l2, *l1, *l0]) as usize;
        if len > MESSAGE_MAX {
            Err(WorkloadApiError::TooLarge)
        } else {
            Ok(FRAME_HEADER_LEN + len)
        }
    }

    /// Returns whether the stream is between two messages. A stream that ends elsewhere was cut
    /// off.
    pub fn is_between(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Splits concatenated certificates.
fn certificates(mut der: &[u8]) -> Result<Vec<Vec<u8>>, WorkloadApiError> {
    let mut all = Vec::new();
    while !der.is_empty() {
        let (rest, _) =
            X509Certificate::from_der(der).map_err(|_| WorkloadApiError::Garbage("certificate"))?;
        all.push(der[..der.len() - rest.len()].to_vec());
        der = rest;
    }
    Ok(all)
}

/// Returns whether a private key belongs to a certificate, by comparing the public keys.
fn is_key_of(key: &[u8], leaf: &[u8]) -> bool {
    let Ok((_, certificate)) = X509Certificate::from_der(leaf) else {
        return false;
    };
    let public = &*certificate.public_key().subject_public_key.data;
    let random = SystemRandom::new();
    let curves = [
        &sign::ECDSA_P256_SHA256_ASN1_SIGNING,
        &sign::ECDSA_P384_SHA384_ASN1_SIGNING,
    ];
    let ec = curves
        .into_iter()
        .find_map(|curve| sign::EcdsaKeyPair::from_pkcs8(curve, key, &random).ok());
    if let Some(pair) = ec {
        return pair.public_key().as_ref() == public;
    }
    if let Ok(pair) = sign::Ed25519KeyPair::from_pkcs8_maybe_unchecked(key) {
        return pair.public_key().as_ref() == public;
    }
    sign::RsaKeyPair::from_pkcs8(key).is_ok_and(|pair| pair.public_key().as_ref() == public)
}

/// Parses a message of [`FETCH_X509`] and checks that it can be used. `now` is in nanoseconds since
/// the Unix epoch; `skew` is the tolerated clock difference in nanoseconds.
///
/// # Errors
///
/// Returns the error of the first check that fails.
pub fn x509_update(message: &[u8], now: Nanos, skew: Nanos) -> Result<Update, WorkloadApiError> {
    let response = X509SvidResponse::decode(message)
        .map_err(|_| WorkloadApiError::Garbage("X509SVIDResponse"))?;
    if response.svids.len() > SVIDS_MAX || response.federated_bundles.len() > DOMAINS_MAX {
        return Err(WorkloadApiError::TooLarge);
    }
    let X509SvidMessage {
        spiffe_id,
        x509_svid,
        x509_svid_key,
        bundle,
        ..
    } = response
        .svids
        .into_iter()
        .next()
        .ok_or(WorkloadApiError::Nothing)?;
    let key = Zeroizing::new(x509_svid_key);
    let id: SpiffeId = spiffe_id
        .parse()
        .map_err(|e| WorkloadApiError::Svid(x509::X509SvidError::NoId(e)))?;
    let (chain, own) = (certificates(&x509_svid)?, certificates(&bundle)?);
    let leaf = chain.first().ok_or(WorkloadApiError::Nothing)?;
    // Peers would refuse an identity that does not validate with the bundle that came with it.
    let mut bundles = Bundles::default();
    bundles.offer(
        &id.trust_domain(),
        Bundle {
            x509: own.clone(),
            ..Bundle::default()
        },
    );
    let proven =
        x509::check(&chain, &bundles, Role::Server, now, skew).map_err(WorkloadApiError::Svid)?;
    if proven.id != id {
        return Err(WorkloadApiError::OtherId);
    }
    if !is_key_of(&key, leaf) {
        return Err(WorkloadApiError::Key);
    }
    let mut x509 = vec![(id.trust_domain(), own)];
    for (name, der) in response.federated_bundles {
        let domain = name
            .parse::<TrustDomain>()
            .ok()
            .filter(|domain| *domain != id.trust_domain());
        let domain = domain.ok_or(WorkloadApiError::Domain(name))?;
        x509.push((domain, certificates(&der)?));
    }
    x509[1..].sort();
    Ok(Update {
        identity: Identity { proven, chain, key },
        x509,
    })
}

/// Parses a message of [`FETCH_JWT_BUNDLES`]; returns the JWT keys of each trust domain, in the
/// order of the domains' names.
///
/// # Errors
///
/// Returns an error if the message, a bundle or the name of a trust domain is invalid, or there are
/// more than 64 trust domains.
pub fn jwt_update(
    message: &[u8],
) -> Result<Vec<(TrustDomain, Vec<bundle::JwtKey>)>, WorkloadApiError> {
    let response = JwtBundlesResponse::decode(message)
        .map_err(|_| WorkloadApiError::Garbage("JWTBundlesResponse"))?;
    if response.bundles.len() > DOMAINS_MAX {
        return Err(WorkloadApiError::TooLarge);
    }
    let mut all = Vec::new();
    for (name, text) in response.bundles {
        let domain = name
            .parse::<TrustDomain>()
            .map_err(|_| WorkloadApiError::Domain(name))?;
        let bundle =
            Bundle::read(&text).map_err(|_| WorkloadApiError::Garbage("JSON Web Key Set"))?;
        all.push((domain, bundle.jwt));
    }
    all.sort_by(|(a, _), (b, _)| a.cmp(b));
    Ok(all)
}

impl Bundles {
    /// Replaces the X.509 authorities with those of an update and returns whether anything changed.
    /// Trust domains that the update does not contain are no longer trusted; the JWT keys of all
    /// other trust domains stay.
    pub fn take_x509(&mut self, update: &[(TrustDomain, Vec<Vec<u8>>)]) -> bool {
        let before = self.version();
        let removed: Vec<TrustDomain> = self
            .domains()
            .filter(|domain| update.iter().all(|(kept, _)| kept != *domain))
            .cloned()
            .collect();
        for domain in &removed {
            self.withdraw(domain);
        }
        for (domain, x509) in update {
            let jwt = self
                .of(domain.as_str())
                .map(|bundle| bundle.jwt.clone())
                .unwrap_or_default();
            let bundle = Bundle {
                x509: x509.clone(),
                jwt,
                refresh: REFRESH,
                ..Bundle::default()
            };
            self.offer(domain, bundle);
        }
        self.version() != before
    }
}
