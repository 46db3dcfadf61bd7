//! JWT-SVIDs, by "The JWT SPIFFE Verifiable Identity Document". The signature is checked by `ring`;
//! what is around it is little, and each part of it a clause: no library's default decides here
//! which algorithm a token may name.

use crate::Nanos;
use crate::bundle::{Bundles, Curve, JwtKey, PublicKey};
use crate::id::{SpiffeId, SpiffeIdError};
use crate::rotation::SKEW_MOST;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use ring::signature::{self, RsaPublicKeyComponents, UnparsedPublicKey};
use serde::Deserialize;

/// The longest token that is looked at: what a parameter may have.
pub const TOKEN_MAX: usize = 4096;
/// Keys that are tried where a token names none.
const TRIED_MOST: usize = 8;

/// Why a token proves no identity, with the clause of the standard where it is one's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JwtSvidError {
    /// More bytes than are looked at.
    #[error("a token of more than {TOKEN_MAX} bytes")]
    TooLong,
    /// 2: it is not in the compact form: three parts in base64 for URLs, two of them JSON.
    #[error("not in the compact form (JWT-SVID 2)")]
    Form,
    /// 2.1: the algorithm is not one of the standard's, such as `none`, or not one that is
    /// supported here (ES512).
    #[error("algorithm {0:?} (JWT-SVID 2.1)")]
    Algorithm(String),
    /// 2.3: `typ` is there and neither JWT nor JOSE.
    #[error("type {0:?} (JWT-SVID 2.3)")]
    Type(String),
    /// RFC 7515, 4.1.11: it has critical headers, none of which is known.
    #[error("unknown critical headers (RFC 7515, 4.1.11)")]
    Critical,
    /// 3.1: the subject is no SPIFFE id.
    #[error("the subject is no SPIFFE id: {0} (JWT-SVID 3.1)")]
    NoId(SpiffeIdError),
    /// 3.2: it is not for us.
    #[error("it is for others (JWT-SVID 3.2)")]
    Audience,
    /// 3.3: it has no end.
    #[error("it has no end (JWT-SVID 3.3)")]
    NoExpiry,
    /// 3.3: it is over, by more than clocks may differ.
    #[error("expired (JWT-SVID 3.3)")]
    Expired,
    /// It begins later than clocks may differ.
    #[error("not valid yet")]
    NotYet,
    /// 4: nothing is trusted for the id's own trust domain.
    #[error("trust domain {0} is not known")]
    UnknownDomain(String),
    /// 4: its trust domain has no key of the name, or none of the algorithm's kind.
    #[error("its trust domain has no such key (JWT-SVID 4)")]
    UnknownKey,
    /// 4: the signature is not that of the key.
    #[error("the signature is not its key's (JWT-SVID 4)")]
    Signature,
}

/// Algorithms that a token may name.
#[derive(Clone, Copy)]
enum Algorithm {
    Rsa(&'static signature::RsaParameters),
    Ec(Curve, &'static signature::EcdsaVerificationAlgorithm),
}

impl Algorithm {
    fn read(name: &str) -> Option<Algorithm> {
        use signature as s;
        Some(match name {
            "RS256" => Algorithm::Rsa(&s::RSA_PKCS1_2048_8192_SHA256),
            "RS384" => Algorithm::Rsa(&s::RSA_PKCS1_2048_8192_SHA384),
            "RS512" => Algorithm::Rsa(&s::RSA_PKCS1_2048_8192_SHA512),
            "PS256" => Algorithm::Rsa(&s::RSA_PSS_2048_8192_SHA256),
            "PS384" => Algorithm::Rsa(&s::RSA_PSS_2048_8192_SHA384),
            "PS512" => Algorithm::Rsa(&s::RSA_PSS_2048_8192_SHA512),
            "ES256" => Algorithm::Ec(Curve::P256, &s::ECDSA_P256_SHA256_FIXED),
            "ES384" => Algorithm::Ec(Curve::P384, &s::ECDSA_P384_SHA384_FIXED),
            _ => return None,
        })
    }

    /// Whether a key is of its kind.
    fn takes(self, key: &PublicKey) -> bool {
        match (self, key) {
            (Algorithm::Rsa(_), PublicKey::Rsa(..)) => true,
            (Algorithm::Ec(curve, _), PublicKey::Ec(of, ..)) => curve == *of,
            _ => false,
        }
    }

    fn verifies(self, key: &PublicKey, message: &[u8], signed: &[u8]) -> bool {
        match (self, key) {
            (Algorithm::Rsa(parameters), PublicKey::Rsa(n, e)) => RsaPublicKeyComponents { n, e }
                .verify(parameters, message, signed)
                .is_ok(),
            (Algorithm::Ec(curve, algorithm), PublicKey::Ec(of, x, y)) if curve == *of => {
                let point = [&[4], x.as_slice(), y].concat(); // uncompressed
                UnparsedPublicKey::new(algorithm, point)
                    .verify(message, signed)
                    .is_ok()
            }
            _ => false,
        }
    }
}

#[derive(Deserialize)]
struct Header {
    alg: String,
    kid: Option<String>,
    typ: Option<String>,
    crit: Option<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Audience {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct Claims {
    sub: String,
    aud: Option<Audience>,
    exp: Option<f64>,
    nbf: Option<f64>,
}

/// An identity that a token proved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerifiedToken {
    /// Whose it is.
    pub id: SpiffeId,
    /// Until when, in nanoseconds since the Unix epoch.
    pub not_after: Nanos,
    /// The version of the bundles by which it was proven.
    pub bundles: u64,
}

fn nanos(seconds: f64) -> Nanos {
    // Out of range, and NaN, go to the ends: as the end of a token the past, as its beginning what
    // it says.
    (seconds * 1e9) as Nanos
}

fn json<T: for<'d> Deserialize<'d>>(part: &str) -> Result<T, JwtSvidError> {
    let bytes = URL_SAFE_NO_PAD
        .decode(part)
        .map_err(|_| JwtSvidError::Form)?;
    serde_json::from_slice(&bytes).map_err(|_| JwtSvidError::Form)
}

/// Checks a signature by the keys of a domain: the one that the token names, or the first ones of
/// the algorithm's kind.
fn check_signature(
    algorithm: &Algorithm,
    keys: &[JwtKey],
    key_id: Option<&str>,
    message: &str,
    signature: &[u8],
) -> Result<(), JwtSvidError> {
    let named = |key: &&JwtKey| key_id.is_none_or(|id| *id == key.id);
    let keys = keys
        .iter()
        .filter(named)
        .filter(|key| algorithm.takes(&key.key));
    let keys: Vec<&JwtKey> = keys.take(TRIED_MOST).collect();
    if keys.is_empty() {
        return Err(JwtSvidError::UnknownKey);
    }
    if !keys
        .iter()
        .any(|key| algorithm.verifies(&key.key, message.as_bytes(), signature))
    {
        return Err(JwtSvidError::Signature);
    }
    Ok(())
}

/// Whether one of these audiences is among those of a token.
fn is_for(token: &Option<Audience>, audiences: &[&str]) -> bool {
    let is_ours = |audience: &String| audiences.contains(&audience.as_str());
    match token {
        Some(Audience::One(audience)) => is_ours(audience),
        Some(Audience::Many(all)) => all.iter().any(is_ours),
        None => false,
    }
}

/// Checks a token for one of these audiences, at a time of the Unix clock; clocks may differ by
/// `skew`, at most [`SKEW_MOST`].
///
/// # Errors
///
/// The first check that fails.
pub fn check(
    token: &str,
    bundles: &Bundles,
    audiences: &[&str],
    now: Nanos,
    skew: Nanos,
) -> Result<VerifiedToken, JwtSvidError> {
    if token.len() > TOKEN_MAX {
        return Err(JwtSvidError::TooLong);
    }
    let parts: Vec<&str> = token.split('.').collect();
    let [head, claims, signed] = parts.as_slice() else {
        return Err(JwtSvidError::Form);
    };
    let header: Header = json(head)?;
    let algorithm =
        Algorithm::read(&header.alg).ok_or_else(|| JwtSvidError::Algorithm(header.alg.clone()))?;
    if let Some(kind) = header.typ.filter(|typ| typ != "JWT" && typ != "JOSE") {
        return Err(JwtSvidError::Type(kind));
    }
    if header.crit.is_some() {
        return Err(JwtSvidError::Critical);
    }
    let message = &token[..head.len() + 1 + claims.len()];
    let claims: Claims = json(claims)?;
    let signed = URL_SAFE_NO_PAD
        .decode(signed)
        .map_err(|_| JwtSvidError::Form)?;
    let id: SpiffeId = claims.sub.parse().map_err(JwtSvidError::NoId)?;
    // The subject only says whose keys to look at; nothing of the token is believed before they
    // have been asked.
    let bundle = bundles
        .of(id.domain())
        .ok_or_else(|| JwtSvidError::UnknownDomain(id.domain().to_owned()))?;
    check_signature(
        &algorithm,
        &bundle.jwt,
        header.kid.as_deref(),
        message,
        &signed,
    )?;
    let skew = skew.min(SKEW_MOST);
    let not_after = nanos(claims.exp.ok_or(JwtSvidError::NoExpiry)?);
    if now > not_after.saturating_add(skew) {
        return Err(JwtSvidError::Expired);
    }
    if claims
        .nbf
        .is_some_and(|nbf| now.saturating_add(skew) < nanos(nbf))
    {
        return Err(JwtSvidError::NotYet);
    }
    if !is_for(&claims.aud, audiences) {
        return Err(JwtSvidError::Audience);
    }
    Ok(VerifiedToken {
        id,
        not_after,
        bundles: bundles.version(),
    })
}
