//! Validation of JWT-SVIDs as specified in "The JWT SPIFFE Verifiable Identity Document". `ring`
//! verifies the signature. The header and the claims are checked in this module, one clause of the
//! standard at a time, so that no default of a JWT library decides which algorithms a token may
//! name.

use crate::Nanos;
use crate::bundle::{Bundles, Curve, JwtKey, PublicKey};
use crate::id::{SpiffeId, SpiffeIdError};
use crate::rotation::SKEW_MOST;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use ring::signature::{self, RsaPublicKeyComponents, UnparsedPublicKey};
use serde::Deserialize;

/// Maximum length of a token, in bytes: the limit of all parameters of a request.
pub const TOKEN_MAX: usize = 4096;
/// Maximum number of keys that are tried for a token without a key id.
const KEYS_TRIED_MAX: usize = 8;

/// Reason why a token is refused, with the violated clause of the standard if there is one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JwtSvidError {
    /// The token has more than [`TOKEN_MAX`] bytes.
    #[error("token is longer than {TOKEN_MAX} bytes")]
    TooLong,
    /// 2: the token is not in the compact form: three parts in base64url, of which the first two
    /// are JSON objects with the expected members.
    #[error("token is not in the compact form (JWT-SVID 2)")]
    Form,
    /// 2.1: the standard does not allow the algorithm (such as `none`), or this module does not
    /// support the algorithm (ES512).
    #[error("algorithm {0:?} is not supported (JWT-SVID 2.1)")]
    Algorithm(String),
    /// 2.3: `typ` is present and neither `JWT` nor `JOSE`.
    #[error("type {0:?} is neither JWT nor JOSE (JWT-SVID 2.3)")]
    Type(String),
    /// RFC 7515, 4.1.11: the token has a `crit` header; no critical extension is supported.
    #[error("critical headers are not supported (RFC 7515, 4.1.11)")]
    Critical,
    /// 3.1: the subject is not a valid SPIFFE id.
    #[error("subject is not a valid SPIFFE id: {0} (JWT-SVID 3.1)")]
    NoId(SpiffeIdError),
    /// 3.2: none of the accepted audiences is among those of the token.
    #[error("token is for another audience (JWT-SVID 3.2)")]
    Audience,
    /// 3.3: the token has no `exp` claim.
    #[error("token has no expiry (JWT-SVID 3.3)")]
    NoExpiry,
    /// 3.3: the token expired longer ago than the clock skew.
    #[error("token has expired (JWT-SVID 3.3)")]
    Expired,
    /// The validity of the token (`nbf`) starts later than the clock skew allows.
    #[error("token is not valid yet")]
    NotYet,
    /// 4: no bundle is in force for the trust domain of the subject; carries the name of the trust
    /// domain.
    #[error("trust domain {0} is not known")]
    UnknownDomain(String),
    /// 4: the bundle of the trust domain has no key that fits the key id and the algorithm of the
    /// token.
    #[error("trust domain has no key with this key id and algorithm (JWT-SVID 4)")]
    UnknownKey,
    /// 4: no tried key verifies the signature.
    #[error("signature does not match the key (JWT-SVID 4)")]
    Signature,
}

/// Signature algorithm of a token.
#[derive(Clone, Copy)]
enum Algorithm {
    Rsa(&'static signature::RsaParameters),
    Ec(Curve, &'static signature::EcdsaVerificationAlgorithm),
}

impl Algorithm {
    /// Returns the algorithm with this `alg` name, if it is supported.
    fn from_name(name: &str) -> Option<Algorithm> {
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

    /// Returns whether the algorithm works with keys of this type and curve.
    fn accepts(self, key: &PublicKey) -> bool {
        match (self, key) {
            (Algorithm::Rsa(_), PublicKey::Rsa(..)) => true,
            (Algorithm::Ec(curve, _), PublicKey::Ec(of, ..)) => curve == *of,
            _ => false,
        }
    }

    /// Returns whether the signature of the message was made with the private half of the key.
    fn verifies(self, key: &PublicKey, message: &[u8], signature: &[u8]) -> bool {
        match (self, key) {
            (Algorithm::Rsa(parameters), PublicKey::Rsa(n, e)) => RsaPublicKeyComponents { n, e }
                .verify(parameters, message, signature)
                .is_ok(),
            (Algorithm::Ec(curve, algorithm), PublicKey::Ec(of, x, y)) if curve == *of => {
                let point = [&[4], x.as_slice(), y].concat(); // 4 marks an uncompressed point
                UnparsedPublicKey::new(algorithm, point)
                    .verify(message, signature)
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

/// Identity that a valid token proves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerifiedToken {
    /// SPIFFE id that the token names as its subject.
    pub id: SpiffeId,
    /// End of the token's validity (`exp`), in nanoseconds since the Unix epoch.
    pub not_after: Nanos,
    /// Version of the bundles ([`Bundles::version`]) with which the token was checked.
    pub bundles: u64,
}

/// Converts a time of a claim to nanoseconds since the Unix epoch.
fn nanos(seconds: f64) -> Nanos {
    // The cast saturates; NaN becomes 0. A negative `exp` has therefore expired, and a negative
    // `nbf` lies in the past.
    (seconds * 1e9) as Nanos
}

/// Decodes a part of a token from base64url and parses its JSON.
fn json<T: for<'d> Deserialize<'d>>(part: &str) -> Result<T, JwtSvidError> {
    let bytes = URL_SAFE_NO_PAD
        .decode(part)
        .map_err(|_| JwtSvidError::Form)?;
    serde_json::from_slice(&bytes).map_err(|_| JwtSvidError::Form)
}

/// Verifies a signature with the keys of a trust domain: the key with this key id, or, without an
/// id, the first [`KEYS_TRIED_MAX`] keys that fit the algorithm.
fn check_signature(
    algorithm: &Algorithm,
    keys: &[JwtKey],
    key_id: Option<&str>,
    message: &str,
    signature: &[u8],
) -> Result<(), JwtSvidError> {
    let has_id = |key: &&JwtKey| key_id.is_none_or(|id| *id == key.id);
    let keys = keys
        .iter()
        .filter(has_id)
        .filter(|key| algorithm.accepts(&key.key));
    let keys: Vec<&JwtKey> = keys.take(KEYS_TRIED_MAX).collect();
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

/// Returns whether one of the accepted audiences is among those of a token.
fn has_accepted_audience(token: &Option<Audience>, accepted: &[&str]) -> bool {
    let is_accepted = |audience: &String| accepted.contains(&audience.as_str());
    match token {
        Some(Audience::One(audience)) => is_accepted(audience),
        Some(Audience::Many(all)) => all.iter().any(is_accepted),
        None => false,
    }
}

/// Validates a token that must be for one of `audiences`. `now` is in nanoseconds since the Unix
/// epoch; `skew` is the tolerated clock difference in nanoseconds, capped at [`SKEW_MOST`].
///
/// # Errors
///
/// Returns the error of the first check that fails.
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
    let [header_part, claims_part, signature_part] = parts.as_slice() else {
        return Err(JwtSvidError::Form);
    };
    let header: Header = json(header_part)?;
    let algorithm = Algorithm::from_name(&header.alg)
        .ok_or_else(|| JwtSvidError::Algorithm(header.alg.clone()))?;
    if let Some(kind) = header.typ.filter(|typ| typ != "JWT" && typ != "JOSE") {
        return Err(JwtSvidError::Type(kind));
    }
    if header.crit.is_some() {
        return Err(JwtSvidError::Critical);
    }
    let message = &token[..header_part.len() + 1 + claims_part.len()];
    let claims: Claims = json(claims_part)?;
    let signature = URL_SAFE_NO_PAD
        .decode(signature_part)
        .map_err(|_| JwtSvidError::Form)?;
    let id: SpiffeId = claims.sub.parse().map_err(JwtSvidError::NoId)?;
    // Until the signature is verified, the subject is used only to select the trust domain whose
    // keys verify the token; no other claim is evaluated.
    let bundle = bundles
        .of(id.domain())
        .ok_or_else(|| JwtSvidError::UnknownDomain(id.domain().to_owned()))?;
    check_signature(
        &algorithm,
        &bundle.jwt,
        header.kid.as_deref(),
        message,
        &signature,
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
    if !has_accepted_audience(&claims.aud, audiences) {
        return Err(JwtSvidError::Audience);
    }
    Ok(VerifiedToken {
        id,
        not_after,
        bundles: bundles.version(),
    })
}
