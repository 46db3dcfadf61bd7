//! Trust bundles as specified in "The SPIFFE Trust Domain and Bundle", section 4: a JSON Web Key
//! Set with a sequence number and a refresh hint, in which each key states its use.

use crate::{Nanos, TrustDomain};
use base64::Engine;
use base64::engine::general_purpose::{STANDARD, URL_SAFE_NO_PAD};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Maximum size of a bundle document, in bytes.
pub const TEXT_MAX: usize = 256 << 10;
/// Maximum number of keys in a bundle.
const KEYS_MAX: usize = 256;
/// Shortest refresh interval, in seconds. A shorter hint is raised to this value, so that it cannot
/// make a node refresh in a tight loop.
const REFRESH_MIN_SECS: u64 = 1;
/// Longest refresh interval, in seconds. A longer hint is lowered to this value.
const REFRESH_MAX_SECS: u64 = 24 * 3600;
/// Refresh interval for a bundle without a hint, in seconds, as the standard suggests.
const REFRESH_DEFAULT_SECS: u64 = 300;

/// Reason why a document is not a valid bundle.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BundleError {
    /// The document is larger than [`TEXT_MAX`] bytes.
    #[error("bundle of {bytes} bytes, at most {TEXT_MAX} are allowed")]
    TooLarge {
        /// Size of the document, in bytes.
        bytes: usize,
    },
    /// The document is not a JSON Web Key Set; carries the parser's message.
    #[error("not a valid JSON Web Key Set: {0}")]
    Json(String),
    /// The key set has more than 256 keys.
    #[error("bundle with {keys} keys, at most {KEYS_MAX} are allowed")]
    TooManyKeys {
        /// Number of keys in the set.
        keys: usize,
    },
    /// A key whose use is `x509-svid` or `jwt-svid` is invalid.
    #[error("key {index}: {error}")]
    Key {
        /// Position of the key in the set, counted from 0.
        index: usize,
        /// Reason why the key is invalid.
        error: KeyError,
    },
}

/// Reason why a key of a bundle is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The entry is not a JSON Web Key; carries the parser's message.
    #[error("not a valid JSON Web Key: {0}")]
    Json(String),
    /// `x5c` is absent, empty, or has more than one certificate.
    #[error("x5c must have exactly one certificate")]
    CertificateCount,
    /// The certificate in `x5c` is not valid base64 (the standard alphabet, with padding).
    #[error("x5c is not valid base64")]
    CertificateEncoding,
    /// The certificate in `x5c` has no bytes.
    #[error("x5c has an empty certificate")]
    EmptyCertificate,
    /// A JWT key has no `kid`, or an empty one, so that tokens cannot name the key.
    #[error("kid is missing or empty")]
    NoKeyId,
    /// An earlier JWT key of the bundle has the same `kid`.
    #[error("kid is already used by another key")]
    DuplicateKeyId,
}

/// Public key that verifies JWT-SVIDs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JwtKey {
    /// Key id (`kid`) that the header of a token names; unique in its bundle.
    pub id: String,
    /// Public key that verifies the tokens that name `id`.
    pub key: PublicKey,
}

/// Public key in the form in which a JSON Web Key Set encodes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublicKey {
    /// RSA key: modulus and exponent, both big-endian.
    Rsa(Vec<u8>, Vec<u8>),
    /// Elliptic-curve key: curve, and the x and y coordinates of the point, both big-endian and as
    /// long as the curve's field elements.
    Ec(Curve, Vec<u8>, Vec<u8>),
}

/// Elliptic curve that a JWT key may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Curve {
    /// NIST P-256, with 32-byte coordinates.
    P256,
    /// NIST P-384, with 48-byte coordinates.
    P384,
    /// NIST P-521, with 66-byte coordinates.
    P521,
}

impl Curve {
    /// Returns the curve with this `crv` name and the length of its coordinates, in bytes.
    fn from_name(name: &str) -> Option<(Curve, usize)> {
        match name {
            "P-256" => Some((Curve::P256, 32)),
            "P-384" => Some((Curve::P384, 48)),
            "P-521" => Some((Curve::P521, 66)),
            _ => None,
        }
    }
}

/// X.509 authorities and JWT keys that verify the identities of one trust domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bundle {
    /// Sequence number, which the issuer increases with each change; `None` if the issuer sets
    /// none.
    pub sequence: Option<u64>,
    /// Interval after which the bundle should be fetched again, in nanoseconds. The interval of a
    /// bundle that was read from a document is from 1 s to 24 h.
    pub refresh: Nanos,
    /// Certificates of the authorities that sign X.509-SVIDs, in DER.
    pub x509: Vec<Vec<u8>>,
    /// Keys that verify JWT-SVIDs, in the order of the document.
    pub jwt: Vec<JwtKey>,
    /// Number of keys that were ignored, because the standard requires this for keys with an
    /// unknown use or type, or because a JWT key could not be decoded.
    pub ignored_keys: usize,
}

#[derive(Deserialize)]
struct KeySet {
    keys: Vec<serde_json::Value>,
    spiffe_sequence: Option<u64>,
    spiffe_refresh_hint: Option<u64>,
}

#[derive(Deserialize)]
struct Key {
    kty: String,
    #[serde(rename = "use")]
    usage: Option<String>,
    kid: Option<String>,
    x5c: Option<Vec<String>>,
    n: Option<String>,
    e: Option<String>,
    crv: Option<String>,
    x: Option<String>,
    y: Option<String>,
}

/// Decodes a big-endian number in base64url; `None` if it is absent, invalid or empty.
fn number(text: Option<&String>) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD
        .decode(text?)
        .ok()
        .filter(|bytes| !bytes.is_empty())
}

impl Key {
    /// Returns the certificate in DER. By section 4.2.2, it is the only entry of `x5c`, in standard
    /// base64 and not in base64url.
    fn certificate(&self) -> Result<Vec<u8>, KeyError> {
        let [certificate] = self.x5c.as_deref().unwrap_or_default() else {
            return Err(KeyError::CertificateCount);
        };
        let der = STANDARD
            .decode(certificate)
            .map_err(|_| KeyError::CertificateEncoding)?;
        if der.is_empty() {
            return Err(KeyError::EmptyCertificate);
        }
        Ok(der)
    }

    /// Returns the public key; `None` if its type or curve is unknown, or a number is invalid.
    fn public(&self) -> Option<PublicKey> {
        match self.kty.as_str() {
            "RSA" => Some(PublicKey::Rsa(
                number(self.n.as_ref())?,
                number(self.e.as_ref())?,
            )),
            "EC" => {
                let (curve, len) = Curve::from_name(self.crv.as_ref()?)?;
                let (x, y) = (number(self.x.as_ref())?, number(self.y.as_ref())?);
                (x.len() == len && y.len() == len).then_some(PublicKey::Ec(curve, x, y))
            }
            _ => None,
        }
    }
}

impl Bundle {
    /// Parses a bundle document. One invalid entry among the keys with use `x509-svid` or
    /// `jwt-svid` makes the whole bundle invalid: a bundle without one of its authorities would
    /// silently reject trusted peers. JWT keys of an unknown type or curve, or with coordinates or
    /// numbers that cannot be decoded, are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is larger than [`TEXT_MAX`] bytes, is not a key set, has
    /// more than 256 keys, or has an invalid key.
    pub fn read(text: &[u8]) -> Result<Bundle, BundleError> {
        if text.len() > TEXT_MAX {
            return Err(BundleError::TooLarge { bytes: text.len() });
        }
        let set: KeySet =
            serde_json::from_slice(text).map_err(|error| BundleError::Json(error.to_string()))?;
        if set.keys.len() > KEYS_MAX {
            return Err(BundleError::TooManyKeys {
                keys: set.keys.len(),
            });
        }
        let refresh_secs = set
            .spiffe_refresh_hint
            .unwrap_or(REFRESH_DEFAULT_SECS)
            .clamp(REFRESH_MIN_SECS, REFRESH_MAX_SECS);
        let mut bundle = Bundle {
            sequence: set.spiffe_sequence,
            refresh: refresh_secs * 1_000_000_000,
            ..Bundle::default()
        };
        for (index, value) in set.keys.into_iter().enumerate() {
            bundle
                .add_key(value)
                .map_err(|error| BundleError::Key { index, error })?;
        }
        Ok(bundle)
    }

    fn add_key(&mut self, value: serde_json::Value) -> Result<(), KeyError> {
        // Section 4.2.2: keys with another use or of an unknown type are ignored.
        let usage = value
            .get("use")
            .and_then(|usage| usage.as_str())
            .unwrap_or_default()
            .to_owned();
        if usage != "x509-svid" && usage != "jwt-svid" {
            self.ignored_keys += 1;
            return Ok(());
        }
        let key: Key =
            serde_json::from_value(value).map_err(|error| KeyError::Json(error.to_string()))?;
        debug_assert_eq!(key.usage.as_deref(), Some(usage.as_str()));
        if usage == "x509-svid" {
            self.x509.push(key.certificate()?);
            return Ok(());
        }
        let id = key
            .kid
            .clone()
            .filter(|id| !id.is_empty())
            .ok_or(KeyError::NoKeyId)?;
        if self.jwt_key(&id).is_some() {
            return Err(KeyError::DuplicateKeyId);
        }
        match key.public() {
            Some(public) => self.jwt.push(JwtKey { id, key: public }),
            None => self.ignored_keys += 1,
        }
        Ok(())
    }

    /// Returns the JWT key with this key id.
    pub fn jwt_key(&self, id: &str) -> Option<&JwtKey> {
        self.jwt.iter().find(|key| key.id == id)
    }
}

/// Outcome of [`Bundles::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The offered bundle is now in force.
    Taken,
    /// The offered bundle equals the one in force; nothing changed.
    Same,
    /// The bundle was refused: its sequence number is below that of the bundle in force, so the
    /// offered bundle is an old one that was replayed or delayed.
    GoesBack,
    /// The bundle was refused: the offered bundle has the sequence number of the bundle in force
    /// and different contents.
    Contradicts,
}

/// Bundles in force, by trust domain.
#[derive(Clone, Debug, Default)]
pub struct Bundles {
    by_domain: BTreeMap<TrustDomain, Bundle>,
    /// Number of changes of the set so far. Cached decisions store this number, so that decisions
    /// made with older bundles are recognised.
    version: u64,
}

impl Bundles {
    /// Puts a bundle in force for a trust domain, unless its sequence number shows that it is
    /// outdated or contradicts the one in force. If either bundle has no sequence number, the new
    /// bundle wins.
    pub fn offer(&mut self, domain: &TrustDomain, bundle: Bundle) -> OfferOutcome {
        if let Some(current) = self.by_domain.get(domain) {
            if *current == bundle {
                return OfferOutcome::Same;
            }
            match (current.sequence, bundle.sequence) {
                (Some(current), Some(new)) if new < current => return OfferOutcome::GoesBack,
                (Some(current), Some(new)) if new == current => return OfferOutcome::Contradicts,
                _ => {}
            }
        }
        self.by_domain.insert(domain.clone(), bundle);
        self.version += 1;
        OfferOutcome::Taken
    }

    /// Stops trusting a trust domain; returns whether it was trusted before.
    pub fn withdraw(&mut self, domain: &TrustDomain) -> bool {
        let was_trusted = self.by_domain.remove(domain).is_some();
        self.version += u64::from(was_trusted);
        was_trusted
    }

    /// Returns the bundle of the trust domain with this name; `None` if the domain is not trusted.
    pub fn of(&self, domain: &str) -> Option<&Bundle> {
        self.by_domain
            .iter()
            .find(|(name, _)| name.as_str() == domain)
            .map(|(_, bundle)| bundle)
    }

    /// Returns the version of the set, which increases with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the trust domains with a bundle in force, in the order of their names.
    pub fn domains(&self) -> impl Iterator<Item = &TrustDomain> {
        self.by_domain.keys()
    }
}

#[cfg(test)]
mod tests;
