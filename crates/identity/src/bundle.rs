//! Trust bundles, by "The SPIFFE Trust Domain and Bundle", section 4: a JSON Web Key Set with a
//! sequence number and a refresh hint, whose keys each say what they are for.

use crate::{Nanos, TrustDomain};
use base64::Engine;
use base64::engine::general_purpose::{STANDARD, URL_SAFE_NO_PAD};
use serde::Deserialize;
use std::collections::BTreeMap;

/// The most that a bundle's text may have, and the most keys in it.
pub const TEXT_MAX: usize = 256 << 10;
const KEYS_MAX: usize = 256;
/// Hints outside these are taken for the nearer end: a hint of 0 must not make a node ask without
/// pause, nor a huge one make it never ask again.
const HINT_LEAST: u64 = 1;
const HINT_MOST: u64 = 24 * 3600;
/// How often to refresh where the bundle does not say (5 minutes, as the standard suggests).
const HINT: u64 = 300;

/// A key that signs JWT-SVIDs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JwtKey {
    /// Its id, which a token names.
    pub id: String,
    /// What it is.
    pub key: PublicKey,
}

/// A public key as a key set gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublicKey {
    /// RSA: modulus and exponent.
    Rsa(Vec<u8>, Vec<u8>),
    /// An elliptic curve by its name, and a point.
    Ec(Curve, Vec<u8>, Vec<u8>),
}

/// Curves that JWT-SVIDs may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Curve {
    P256,
    P384,
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

/// What a trust domain's identities are checked against.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bundle {
    /// Grows with each change; absent where the issuer does not count.
    pub sequence: Option<u64>,
    /// After this it should be asked for again.
    pub refresh: Nanos,
    /// Certificates of authorities for X.509-SVIDs, in DER.
    pub x509: Vec<Vec<u8>>,
    /// Keys for JWT-SVIDs.
    pub jwt: Vec<JwtKey>,
    /// Keys that were passed over, as the standard has it for those of unknown use or kind.
    pub passed_over: usize,
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
    /// bundle that lacks an authority would refuse callers who are trusted, and nobody would see
    /// why.
    pub fn read(text: &[u8]) -> Result<Bundle, String> {
        if text.len() > TEXT_MAX {
            return Err(format!(
                "a bundle of {} bytes; at most {TEXT_MAX}",
                text.len()
            ));
        }
        let set: KeySet = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        if set.keys.len() > KEYS_MAX {
            return Err(format!("{} keys; at most {KEYS_MAX}", set.keys.len()));
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
        for (place, value) in set.keys.into_iter().enumerate() {
            // 4.2.2: what has another use, or a kind that is not known, is passed over.
            let usage = value
                .get("use")
                .and_then(|u| u.as_str())
                .unwrap_or_default()
                .to_owned();
            if usage != "x509-svid" && usage != "jwt-svid" {
                bundle.passed_over += 1;
                continue;
            }
            let wrong = |what: &str| format!("key {place}: {what}");
            let key: Key = serde_json::from_value(value).map_err(|e| wrong(&e.to_string()))?;
            debug_assert_eq!(key.usage.as_deref(), Some(usage.as_str()));
            if usage == "x509-svid" {
                // 4.2.2: the certificate is the one entry of x5c, in base64 that is not that of
                // URLs.
                let [certificate] = key.x5c.as_deref().unwrap_or_default() else {
                    return Err(wrong("x5c must have exactly one certificate"));
                };
                let der = STANDARD
                    .decode(certificate)
                    .map_err(|_| wrong("x5c is no base64"))?;
                if der.is_empty() {
                    return Err(wrong("an empty certificate"));
                }
                bundle.x509.push(der);
            } else {
                let id = key
                    .kid
                    .clone()
                    .filter(|id| !id.is_empty())
                    .ok_or_else(|| wrong("no kid"))?;
                if bundle.jwt.iter().any(|known| known.id == id) {
                    return Err(wrong("a kid that another key has"));
                }
                match key.public() {
                    Some(public) => bundle.jwt.push(JwtKey { id, key: public }),
                    None => bundle.passed_over += 1, // a kind that is not known
                }
            }
        }
        Ok(bundle)
    }

    /// The key that a token names.
    pub fn jwt_key(&self, id: &str) -> Option<&JwtKey> {
        self.jwt.iter().find(|key| key.id == id)
    }
}

/// What became of a bundle that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in force.
    Taken,
    /// It is what was in force.
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
    /// Counts every change, so that what was decided by a bundle can be seen to be out of date.
    version: u64,
}

impl Bundles {
    /// Offers a bundle for a trust domain.
    pub fn offer(&mut self, domain: &TrustDomain, bundle: Bundle) -> Offer {
        if let Some(now) = self.by_domain.get(domain) {
            if *now == bundle {
                return Offer::Same;
            }
            match (now.sequence, bundle.sequence) {
                (Some(now), Some(new)) if new < now => return Offer::GoesBack,
                (Some(a), Some(b)) if a == b => return Offer::Contradicts,
                _ => {}
            }
        }
        self.by_domain.insert(domain.clone(), bundle);
        self.version += 1;
        Offer::Taken
    }

    /// A trust domain is no longer trusted; whether it was.
    pub fn withdraw(&mut self, domain: &TrustDomain) -> bool {
        let was = self.by_domain.remove(domain).is_some();
        self.version += u64::from(was);
        was
    }

    /// The bundle of a trust domain; none if it is not trusted at all.
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
