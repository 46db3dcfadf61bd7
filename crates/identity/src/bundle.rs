//! Trust bundles, by "The SPIFFE Trust Domain and Bundle", section 4: a JSON Web Key Set with a
//! sequence number and a refresh hint, whose keys each say what they are for.

use crate::{Nanos, TrustDomain};
use base64::Engine;
use base64::engine::general_purpose::{STANDARD, URL_SAFE_NO_PAD};
use serde::Deserialize;
use std::collections::BTreeMap;

/// The most bytes of a bundle's text.
pub const TEXT_MAX: usize = 256 << 10;
/// The most keys of a bundle.
const KEYS_MAX: usize = 256;
/// The shortest refresh interval, in seconds; a shorter hint must not make a node refresh without
/// pause.
const HINT_LEAST: u64 = 1;
/// The longest refresh interval, in seconds.
const HINT_MOST: u64 = 24 * 3600;
/// The refresh interval where the bundle has no hint, in seconds; the standard suggests it.
const HINT: u64 = 300;

/// Why a text is no bundle.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BundleError {
    /// It has more than [`TEXT_MAX`] bytes.
    #[error("a bundle of {bytes} bytes; at most {TEXT_MAX}")]
    TooLarge {
        /// How many it has.
        bytes: usize,
    },
    /// It is no key set in JSON.
    #[error("{0}")]
    Json(String),
    /// It has too many keys.
    #[error("{keys} keys; at most {KEYS_MAX}")]
    TooManyKeys {
        /// How many it has.
        keys: usize,
    },
    /// A key for one of the two uses can't be used.
    #[error("key {index}: {error}")]
    Key {
        /// The key, counted from 0.
        index: usize,
        /// Why not.
        error: KeyError,
    },
}

/// Why a key of a bundle can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// It is no key in JSON.
    #[error("{0}")]
    Json(String),
    /// It has no certificate, or several.
    #[error("x5c must have exactly one certificate")]
    CertificateCount,
    /// Its certificate is not in base64.
    #[error("x5c is no base64")]
    CertificateEncoding,
    /// Its certificate is empty.
    #[error("an empty certificate")]
    EmptyCertificate,
    /// It has no id.
    #[error("no kid")]
    NoKeyId,
    /// Another key has the same id.
    #[error("a kid that another key has")]
    DuplicateKeyId,
}

/// A key that signs JWT-SVIDs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JwtKey {
    /// Its id, by which tokens name it.
    pub id: String,
    /// The public key.
    pub key: PublicKey,
}

/// A public key as a key set gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublicKey {
    /// RSA: modulus and exponent, big-endian.
    Rsa(Vec<u8>, Vec<u8>),
    /// An elliptic curve, and the coordinates of a point.
    Ec(Curve, Vec<u8>, Vec<u8>),
}

/// Curves that JWT-SVIDs may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Curve {
    /// NIST P-256.
    P256,
    /// NIST P-384.
    P384,
    /// NIST P-521.
    P521,
}

impl Curve {
    fn read(name: &str) -> Option<(Curve, usize)> {
        match name {
            "P-256" => Some((Curve::P256, 32)),
            "P-384" => Some((Curve::P384, 48)),
            "P-521" => Some((Curve::P521, 66)),
            _ => None,
        }
    }
}

/// The authorities and keys by which a trust domain's identities are checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bundle {
    /// The sequence number, which grows with each change; `None` where the issuer has none.
    pub sequence: Option<u64>,
    /// The interval at which it should be fetched again.
    pub refresh: Nanos,
    /// Certificates of authorities for X.509-SVIDs, in DER.
    pub x509: Vec<Vec<u8>>,
    /// Keys for JWT-SVIDs.
    pub jwt: Vec<JwtKey>,
    /// How many keys of an unknown use or kind were ignored, as the standard demands.
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

fn number(text: Option<&String>) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD
        .decode(text?)
        .ok()
        .filter(|bytes| !bytes.is_empty())
}

impl Key {
    /// 4.2.2: the certificate is the one entry of `x5c`, in base64 that is not that of URLs.
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

    fn public(&self) -> Option<PublicKey> {
        match self.kty.as_str() {
            "RSA" => Some(PublicKey::Rsa(
                number(self.n.as_ref())?,
                number(self.e.as_ref())?,
            )),
            "EC" => {
                let (curve, len) = Curve::read(self.crv.as_ref()?)?;
                let (x, y) = (number(self.x.as_ref())?, number(self.y.as_ref())?);
                (x.len() == len && y.len() == len).then_some(PublicKey::Ec(curve, x, y))
            }
            _ => None,
        }
    }
}

impl Bundle {
    /// Reads a bundle. A key that is for one of the two uses and can't be read spoils the whole: a
    /// bundle that lacks an authority would reject peers who are trusted, and nobody would see why.
    ///
    /// # Errors
    ///
    /// It is too large, no key set, or has a key that can't be used.
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
        let hint = set
            .spiffe_refresh_hint
            .unwrap_or(HINT)
            .clamp(HINT_LEAST, HINT_MOST);
        let mut bundle = Bundle {
            sequence: set.spiffe_sequence,
            refresh: hint * 1_000_000_000,
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
        // 4.2.2: a key of another use, or of an unknown kind, is ignored.
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

    /// The key that a token names.
    pub fn jwt_key(&self, id: &str) -> Option<&JwtKey> {
        self.jwt.iter().find(|key| key.id == id)
    }
}

/// The outcome of offering a bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force.
    Taken,
    /// It is equal to the one in force.
    Same,
    /// Its sequence is below that in force: an old one that was replayed or came late.
    GoesBack,
    /// It has the sequence in force, and is another.
    Contradicts,
}

/// The bundles in force, by trust domain.
#[derive(Clone, Debug, Default)]
pub struct Bundles {
    by_domain: BTreeMap<TrustDomain, Bundle>,
    /// Counts changes, so that decisions by older bundles can be recognised.
    version: u64,
}

impl Bundles {
    /// Offers a bundle for a trust domain.
    pub fn offer(&mut self, domain: &TrustDomain, bundle: Bundle) -> OfferOutcome {
        if let Some(now) = self.by_domain.get(domain) {
            if *now == bundle {
                return OfferOutcome::Same;
            }
            match (now.sequence, bundle.sequence) {
                (Some(now), Some(new)) if new < now => return OfferOutcome::GoesBack,
                (Some(a), Some(b)) if a == b => return OfferOutcome::Contradicts,
                _ => {}
            }
        }
        self.by_domain.insert(domain.clone(), bundle);
        self.version += 1;
        OfferOutcome::Taken
    }

    /// Stops trusting a trust domain; true if it was trusted.
    pub fn withdraw(&mut self, domain: &TrustDomain) -> bool {
        let was = self.by_domain.remove(domain).is_some();
        self.version += u64::from(was);
        was
    }

    /// The bundle of a trust domain; `None` if it is not trusted.
    pub fn of(&self, domain: &str) -> Option<&Bundle> {
        self.by_domain
            .iter()
            .find(|(known, _)| known.as_str() == domain)
            .map(|(_, bundle)| bundle)
    }

    /// Grows with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All trust domains.
    pub fn domains(&self) -> impl Iterator<Item = &TrustDomain> {
        self.by_domain.keys()
    }
}

#[cfg(test)]
mod tests;
