//! Validation of JWT-SVIDs: valid tokens, and invalid ones with the expected error.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use madderpoint_identity::bundle::{Curve, JwtKey, PublicKey};
use madderpoint_identity::jwt::{JwtSvidError, VerifiedToken, check};
use madderpoint_identity::{Bundle, Bundles};
use ring::rand::SystemRandom;
use ring::signature::{
    ECDSA_P256_SHA256_FIXED_SIGNING, ECDSA_P384_SHA384_FIXED_SIGNING, EcdsaKeyPair, KeyPair,
    RsaKeyPair,
};
use ring::signature::{
    EcdsaSigningAlgorithm, RSA_PKCS1_SHA256, RSA_PSS_SHA512, RsaPublicKeyComponents,
};

const SECOND: u64 = 1_000_000_000;
const NOW: u64 = 1_781_481_600;

/// RSA key that is used only in these tests.
const RSA_KEY: &[u8] = include_bytes!("rsa-test-key.der");

enum Signer {
    Ec(EcdsaKeyPair, Curve),
    Rsa(RsaKeyPair),
}

fn ec(algorithm: &'static EcdsaSigningAlgorithm, curve: Curve) -> Signer {
    let pkcs8 = EcdsaKeyPair::generate_pkcs8(algorithm, &SystemRandom::new()).unwrap();
    Signer::Ec(
        EcdsaKeyPair::from_pkcs8(algorithm, pkcs8.as_ref(), &SystemRandom::new()).unwrap(),
        curve,
    )
}

fn p256() -> Signer {
    ec(&ECDSA_P256_SHA256_FIXED_SIGNING, Curve::P256)
}

impl Signer {
    fn public(&self) -> PublicKey {
        match self {
            Signer::Ec(pair, curve) => {
                let point = &pair.public_key().as_ref()[1..];
                let (x, y) = point.split_at(point.len() / 2);
                PublicKey::Ec(*curve, x.to_vec(), y.to_vec())
            }
            Signer::Rsa(pair) => {
                let RsaPublicKeyComponents { n, e } =
                    RsaPublicKeyComponents::<Vec<u8>>::from(pair.public());
                PublicKey::Rsa(n, e)
            }
        }
    }

    fn sign(&self, algorithm: &str, message: &[u8]) -> Vec<u8> {
        let random = SystemRandom::new();
        match self {
            Signer::Ec(pair, _) => pair.sign(&random, message).unwrap().as_ref().to_vec(),
            Signer::Rsa(pair) => {
                let mut signed = vec![0; pair.public().modulus_len()];
                match algorithm {
                    "PS512" => pair
                        .sign(&RSA_PSS_SHA512, &random, message, &mut signed)
                        .unwrap(),
                    _ => pair
                        .sign(&RSA_PKCS1_SHA256, &random, message, &mut signed)
                        .unwrap(),
                }
                signed
            }
        }
    }

    fn token(&self, header: &str, claims: &str) -> String {
        let message = format!(
            "{}.{}",
            URL_SAFE_NO_PAD.encode(header),
            URL_SAFE_NO_PAD.encode(claims)
        );
        let algorithm = header
            .split("\"alg\":\"")
            .nth(1)
            .and_then(|a| a.split('"').next())
            .unwrap_or("");
        let signed = self.sign(algorithm, message.as_bytes());
        format!("{message}.{}", URL_SAFE_NO_PAD.encode(signed))
    }
}

fn bundles(domains: &[(&str, &str, &Signer)]) -> Bundles {
    let mut bundles = Bundles::default();
    for (domain, id, signer) in domains {
        let jwt = vec![JwtKey {
            id: (*id).into(),
            key: signer.public(),
        }];
        bundles.offer(
            &domain.parse().unwrap(),
            Bundle {
                jwt,
                ..Bundle::default()
            },
        );
    }
    bundles
}

const HEADER: &str = r#"{"alg":"ES256","kid":"k1","typ":"JWT"}"#;

fn claims(more: &str) -> String {
    format!(
        r#"{{"sub":"spiffe://saha.example/site/7","aud":["node","x"],"exp":{}{more}}}"#,
        NOW + 60
    )
}

fn check_token(token: &str, bundles: &Bundles) -> Result<VerifiedToken, JwtSvidError> {
    check(token, bundles, &["node"], NOW * SECOND, 0)
}

#[test]
fn tokens_signed_with_each_type_of_key_are_accepted() {
    let rsa = || Signer::Rsa(RsaKeyPair::from_der(RSA_KEY).unwrap());
    for (algorithm, signer) in [
        ("ES256", p256()),
        ("ES384", ec(&ECDSA_P384_SHA384_FIXED_SIGNING, Curve::P384)),
        ("RS256", rsa()),
        ("PS512", rsa()),
    ] {
        let trusted = bundles(&[("saha.example", "k1", &signer)]);
        let token = signer.token(
            &format!(r#"{{"alg":"{algorithm}","kid":"k1"}}"#),
            &claims(""),
        );
        let verified = check_token(&token, &trusted).unwrap();
        assert_eq!(
            (verified.id.path(), verified.not_after),
            ("/site/7", (NOW + 60) * SECOND),
            "{algorithm}"
        );
        // A token may omit the key id; a token with an unknown key id is refused.
        assert!(
            check_token(
                &signer.token(&format!(r#"{{"alg":"{algorithm}"}}"#), &claims("")),
                &trusted
            )
            .is_ok()
        );
        let other = signer.token(
            &format!(r#"{{"alg":"{algorithm}","kid":"k2"}}"#),
            &claims(""),
        );
        assert_eq!(check_token(&other, &trusted), Err(JwtSvidError::UnknownKey));
    }
}

#[test]
fn each_violation_of_the_standard_is_reported() {
    let signer = p256();
    let trusted = bundles(&[("saha.example", "k1", &signer)]);
    let header =
        |header: &str| check_token(&signer.token(header, &claims("")), &trusted).unwrap_err();
    for name in ["none", "None", "HS256", "ES512", "EdDSA", ""] {
        assert_eq!(
            header(&format!(r#"{{"alg":"{name}","kid":"k1"}}"#)),
            JwtSvidError::Algorithm(name.into())
        );
    }
    assert_eq!(
        header(r#"{"alg":"RS256","kid":"k1"}"#),
        JwtSvidError::UnknownKey,
        "an algorithm for another type of key"
    );
    assert_eq!(
        header(r#"{"alg":"ES384","kid":"k1"}"#),
        JwtSvidError::UnknownKey,
        "an algorithm for another curve"
    );
    assert_eq!(
        header(r#"{"alg":"ES256","typ":"JWE"}"#),
        JwtSvidError::Type("JWE".into())
    );
    assert_eq!(
        header(r#"{"alg":"ES256","crit":["b64"]}"#),
        JwtSvidError::Critical
    );
    let body = |claims: String| check_token(&signer.token(HEADER, &claims), &trusted).unwrap_err();
    let with = |from: &str, to: &str| body(claims("").replace(from, to));
    assert!(matches!(
        with("spiffe://saha.example/site/7", "clerk"),
        JwtSvidError::NoId(_)
    ));
    assert_eq!(
        with("saha.example", "other.example"),
        JwtSvidError::UnknownDomain("other.example".into())
    );
    assert_eq!(with(r#"["node","x"]"#, r#"["x"]"#), JwtSvidError::Audience);
    assert_eq!(with(r#"["node","x"]"#, r#""x""#), JwtSvidError::Audience);
    assert_eq!(with(r#"["node","x"]"#, "[]"), JwtSvidError::Audience);
    assert_eq!(with(r#""aud":["node","x"],"#, ""), JwtSvidError::Audience);
    assert_eq!(
        with(&format!(r#","exp":{}"#, NOW + 60), ""),
        JwtSvidError::NoExpiry
    );
    assert_eq!(
        with(&format!("{}", NOW + 60), &format!("{}", NOW - 1)),
        JwtSvidError::Expired
    );
    assert_eq!(with(&format!("{}", NOW + 60), "-5"), JwtSvidError::Expired);
    assert_eq!(
        body(claims(&format!(r#","nbf":{}"#, NOW + 2))),
        JwtSvidError::NotYet
    );
    assert!(
        check_token(
            &signer.token(HEADER, &claims("").replace(r#"["node","x"]"#, r#""node""#)),
            &trusted
        )
        .is_ok()
    );
    for bad in ["", ".", "..", "a.b", "a.b.c.d", "e30.e30.e30", "!.!.!"] {
        assert_eq!(check_token(bad, &trusted), Err(JwtSvidError::Form), "{bad}");
    }
    assert_eq!(
        check_token(&"a".repeat(5000), &trusted),
        Err(JwtSvidError::TooLong)
    );
    // An expired token is accepted only within the clock skew, which is capped.
    let token = signer.token(HEADER, &claims(""));
    let at = |now: u64, skew: u64| {
        check(&token, &trusted, &["node"], now * SECOND, skew * SECOND).map(drop)
    };
    assert_eq!(
        (at(NOW + 60, 0), at(NOW + 61, 0)),
        (Ok(()), Err(JwtSvidError::Expired))
    );
    assert_eq!(
        (at(NOW + 65, 5), at(NOW + 121, 3600)),
        (Ok(()), Err(JwtSvidError::Expired))
    );
}

#[test]
fn a_key_of_another_trust_domain_is_not_accepted() {
    let (ours, theirs) = (p256(), p256());
    let trusted = bundles(&[
        ("saha.example", "k1", &ours),
        ("other.example", "k1", &theirs),
    ]);
    assert!(check_token(&ours.token(HEADER, &claims("")), &trusted).is_ok());
    assert_eq!(
        check_token(&theirs.token(HEADER, &claims("")), &trusted),
        Err(JwtSvidError::Signature)
    );
    let key_removed = bundles(&[("saha.example", "k2", &ours)]);
    assert_eq!(
        check_token(&ours.token(HEADER, &claims("")), &key_removed),
        Err(JwtSvidError::UnknownKey)
    );
    assert!(matches!(
        check_token(&ours.token(HEADER, &claims("")), &Bundles::default()),
        Err(JwtSvidError::UnknownDomain(_))
    ));
}

#[test]
fn a_token_changed_or_cut_at_any_byte_is_refused() {
    let signer = p256();
    let trusted = bundles(&[("saha.example", "k1", &signer)]);
    let token = signer.token(HEADER, &claims(""));
    for at in 0..token.len() {
        for replacement in ['A', 'B', '.', '_', '=', '!'] {
            let mut bad = token.clone();
            bad.replace_range(at..=at, &replacement.to_string());
            if bad != token {
                assert!(
                    check_token(&bad, &trusted).is_err(),
                    "byte {at} replaced with {replacement}"
                );
            }
        }
        assert!(check_token(&token[..at], &trusted).is_err(), "cut at {at}");
    }
}
