//! The SPIFFE Workload API as far as it needs no socket: the messages of its gRPC service, their
//! framing on a stream, and what makes an answer of the issuer one that can be used. An issuer that
//! is broken or compromised must not have a node present what its peers would refuse, nor trust
//! more than its own domain's bundle says.

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

/// The header that every call must carry, so that nothing that was tricked into calling passes for
/// a workload.
pub const HEADER: (&str, &str) = ("workload.spiffe.io", "true");
/// The call that streams X.509-SVIDs.
pub const FETCH_X509: &str = "/SpiffeWorkloadAPI/FetchX509SVID";
/// The call that streams bundles for JWT-SVIDs.
pub const FETCH_JWT_BUNDLES: &str = "/SpiffeWorkloadAPI/FetchJWTBundles";
/// The largest message that is read, and the most identities and domains in one.
pub const MESSAGE_MAX: usize = 1 << 20;
const SVIDS_MAX: usize = 16;
const DOMAINS_MAX: usize = 64;
/// What holds for a bundle that the Workload API hands out: it streams changes, so that none need
/// be asked for soon.
const REFRESH: Nanos = 300 * 1_000_000_000;

/// What the issuer hands out to a workload.
#[derive(Clone, PartialEq, Message)]
pub struct X509SvidResponse {
    /// Identities; the first is the one to be used where there is no reason for another.
    #[prost(message, repeated, tag = "1")]
    pub svids: Vec<X509SvidMessage>,
    /// Revocation lists, which are not looked at: identities are short-lived.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub crl: Vec<Vec<u8>>,
    /// Authorities of federated trust domains, by the id of the domain, one certificate after the
    /// other in DER.
    #[prost(map = "string, bytes", tag = "3")]
    pub federated_bundles: HashMap<String, Vec<u8>>,
}

/// One identity.
#[derive(Clone, PartialEq, Message)]
#[prost(skip_debug)]
pub struct X509SvidMessage {
    /// Whose it is.
    #[prost(string, tag = "1")]
    pub spiffe_id: String,
    /// The chain, the leaf first, one certificate after the other in DER.
    #[prost(bytes = "vec", tag = "2")]
    pub x509_svid: Vec<u8>,
    /// The key, PKCS#8 in DER.
    #[prost(bytes = "vec", tag = "3")]
    pub x509_svid_key: Vec<u8>,
    /// Authorities of its own trust domain.
    #[prost(bytes = "vec", tag = "4")]
    pub bundle: Vec<u8>,
    /// What it is for, where there are several.
    #[prost(string, tag = "5")]
    pub hint: String,
}

impl fmt::Debug for X509SvidMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "X509SvidMessage({}, key not shown)", self.spiffe_id)
    }
}

/// Bundles for JWT-SVIDs, each a key set, by the id of the trust domain.
#[derive(Clone, PartialEq, Message)]
pub struct JwtBundlesResponse {
    /// See there.
    #[prost(map = "string, bytes", tag = "1")]
    pub bundles: HashMap<String, Vec<u8>>,
}

/// Why what the issuer said can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkloadApiError {
    /// The framing or a message can't be read.
    #[error("unreadable: {0}")]
    Garbage(&'static str),
    /// More than is looked at.
    #[error("more than is looked at")]
    TooLarge,
    /// No identity at all.
    #[error("no identity")]
    Nothing,
    /// The message names another id than the certificate.
    #[error("the message names another id than the certificate")]
    OtherId,
    /// The key is not that of the certificate, or of no known kind.
    #[error("the key is not the certificate's")]
    Key,
    /// The certificates prove nothing, not even to the bundle that came with them.
    #[error("the identity proves nothing: {0}")]
    Svid(x509::X509SvidError),
    /// A federated trust domain that is no trust domain, or is the own one.
    #[error("no federated trust domain: {0:?}")]
    Domain(String),
}

/// An identity to present. Its key is wiped as it goes, and never printed.
pub struct Identity {
    /// Whose it is, and until when.
    pub proven: x509::VerifiedSvid,
    /// The chain, the leaf first, in DER.
    pub chain: Vec<Vec<u8>>,
    /// The key, PKCS#8 in DER.
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

/// What an answer comes to.
#[derive(Debug)]
pub struct Update {
    /// The identity to present.
    pub identity: Identity,
    /// Authorities by trust domain: the own one first.
    pub x509: Vec<(TrustDomain, Vec<Vec<u8>>)>,
}

/// Takes gRPC's framing off a stream that is fed split anywhere: a flag, a length, a message.
#[derive(Debug, Default)]
pub struct FrameReader {
    have: Vec<u8>,
}

const FRAME: usize = 5;

impl FrameReader {
    /// Takes the next bytes and hands on the messages that they complete.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        mut sink: impl FnMut(&[u8]),
    ) -> Result<(), WorkloadApiError> {
        let mut bytes = bytes;
        loop {
            // No more is kept than one message, whatever comes at once.
            let wanted = self.wanted()?;
            let n = bytes.len().min(wanted - self.have.len());
            self.have.extend_from_slice(&bytes[..n]);
            bytes = &bytes[n..];
            if self.have.len() < wanted {
                return Ok(());
            }
            if wanted > FRAME || self.wanted()? == FRAME {
                sink(&self.have[FRAME..]);
                self.have.clear();
            }
        }
    }

    /// Bytes of the head, or of head and message once the head is there.
    fn wanted(&self) -> Result<usize, WorkloadApiError> {
        let [flag, l3, l2, l1, l0, ..] = self.have.as_slice() else {
            return Ok(FRAME);
        };
        if *flag != 0 {
            return Err(WorkloadApiError::Garbage(
                "a compressed message, which was not asked for",
            ));
        }
        let len = u32::from_be_bytes([*l3, *l2, *l1, *l0]) as usize;
        if len > MESSAGE_MAX {
            Err(WorkloadApiError::TooLarge)
        } else {
            Ok(FRAME + len)
        }
    }

    /// Whether a stream may end here: in the middle of a message it has broken.
    pub fn is_between(&self) -> bool {
        self.have.is_empty()
    }
}

/// Certificates that stand one after the other.
fn certificates(mut der: &[u8]) -> Result<Vec<Vec<u8>>, WorkloadApiError> {
    let mut all = Vec::new();
    while !der.is_empty() {
        let (rest, _) = X509Certificate::from_der(der)
            .map_err(|_| WorkloadApiError::Garbage("a certificate"))?;
        all.push(der[..der.len() - rest.len()].to_vec());
        der = rest;
    }
    Ok(all)
}

/// Whether a key is that of a certificate, by their public halves.
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

/// Reads an answer of [`FETCH_X509`] and checks that it can be used at this time.
pub fn x509_update(message: &[u8], now: Nanos, skew: Nanos) -> Result<Update, WorkloadApiError> {
    let response = X509SvidResponse::decode(message)
        .map_err(|_| WorkloadApiError::Garbage("no X509SVIDResponse"))?;
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
    // What we could not prove to ourselves, nobody else would believe.
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

/// Reads an answer of [`FETCH_JWT_BUNDLES`]: each domain's keys for tokens.
pub fn jwt_update(
    message: &[u8],
) -> Result<Vec<(TrustDomain, Vec<bundle::JwtKey>)>, WorkloadApiError> {
    let response = JwtBundlesResponse::decode(message)
        .map_err(|_| WorkloadApiError::Garbage("no JWTBundlesResponse"))?;
    if response.bundles.len() > DOMAINS_MAX {
        return Err(WorkloadApiError::TooLarge);
    }
    let mut all = Vec::new();
    for (name, text) in response.bundles {
        let domain = name
            .parse::<TrustDomain>()
            .map_err(|_| WorkloadApiError::Domain(name))?;
        let bundle = Bundle::read(&text).map_err(|_| WorkloadApiError::Garbage("a key set"))?;
        all.push((domain, bundle.jwt));
    }
    all.sort_by(|(a, _), (b, _)| a.cmp(b));
    Ok(all)
}

impl Bundles {
    /// Takes over the authorities of an update: a domain that it does not name any more is not
    /// trusted any more, and keys for tokens stay as they are. Gives whether anything changed.
    pub fn take_x509(&mut self, update: &[(TrustDomain, Vec<Vec<u8>>)]) -> bool {
        let before = self.version();
        let gone: Vec<TrustDomain> = self
            .domains()
            .filter(|domain| update.iter().all(|(known, _)| known != *domain))
            .cloned()
            .collect();
        for domain in &gone {
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
