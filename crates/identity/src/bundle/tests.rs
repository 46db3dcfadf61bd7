use super::*;

fn bundle(keys: &str, more: &str) -> Result<Bundle, String> {
    Bundle::read(format!("{{\"keys\": [{keys}]{more}}}").as_bytes())
        .map_err(|error| error.to_string())
}

const X509: &str = r#"{"kty": "EC", "use": "x509-svid", "x5c": ["AQID"]}"#;
const RSA: &str = r#"{"kty": "RSA", "use": "jwt-svid", "kid": "a", "n": "AQAB", "e": "AQAB"}"#;

#[test]
fn parses_authorities_keys_sequence_and_refresh_hint() {
    let other_use = r#"{"kty": "EC", "use": "sig", "x5c": 7}"#;
    let read = bundle(
        &[X509, RSA, other_use].join(","),
        r#", "spiffe_sequence": 12, "spiffe_refresh_hint": 60"#,
    );
    let read = read.unwrap();
    assert_eq!(
        (read.sequence, read.refresh, read.ignored_keys),
        (Some(12), 60_000_000_000, 1)
    );
    assert_eq!(read.x509, [vec![1, 2, 3]]);
    assert_eq!(
        read.jwt_key("a").unwrap().key,
        PublicKey::Rsa(vec![1, 0, 1], vec![1, 0, 1])
    );
    assert!(read.jwt_key("b").is_none());
    assert_eq!(
        bundle("", "").unwrap().refresh,
        300_000_000_000,
        "five minutes without a hint"
    );
    assert_eq!(
        bundle("", r#", "spiffe_refresh_hint": 0"#).unwrap().refresh,
        1_000_000_000
    );
    assert!(
        bundle("", "").unwrap().x509.is_empty(),
        "a bundle may have no keys at all"
    );
}

#[test]
fn one_invalid_key_makes_the_whole_bundle_invalid() {
    let too_many = vec![X509; 257].join(",");
    for keys in [
        r#"{"kty": "EC", "use": "x509-svid"}"#,
        r#"{"kty": "EC", "use": "x509-svid", "x5c": []}"#,
        r#"{"kty": "EC", "use": "x509-svid", "x5c": ["AQID", "AQID"]}"#,
        r#"{"kty": "EC", "use": "x509-svid", "x5c": ["A_-D"]}"#,
        r#"{"kty": "EC", "use": "x509-svid", "x5c": [""]}"#,
        r#"{"use": "x509-svid", "x5c": ["AQID"]}"#,
        r#"{"kty": "RSA", "use": "jwt-svid", "n": "AQAB", "e": "AQAB"}"#,
        &[RSA, RSA].join(","),
        &too_many,
    ] {
        assert!(bundle(&[X509, keys].join(","), "").is_err(), "{keys}");
    }
    for text in [
        "",
        "{}",
        "[]",
        r#"{"keys": 1}"#,
        r#"{"keys": [], "spiffe_sequence": -1}"#,
    ] {
        assert!(Bundle::read(text.as_bytes()).is_err(), "{text}");
    }
    assert!(Bundle::read(&vec![b' '; TEXT_MAX + 1]).is_err());
    // A key whose coordinates are too short for its curve is ignored.
    let short =
        r#"{"kty": "EC", "use": "jwt-svid", "kid": "c", "crv": "P-256", "x": "AQ", "y": "AQ"}"#;
    assert_eq!(
        (
            bundle(short, "").unwrap().jwt.len(),
            bundle(short, "").unwrap().ignored_keys
        ),
        (0, 1)
    );
}

#[test]
fn offer_refuses_a_lower_sequence_and_other_contents_for_the_same_sequence() {
    let domain: TrustDomain = "saha.example".parse().unwrap();
    let of = |sequence: u64, key: &str| {
        bundle(key, &format!(r#", "spiffe_sequence": {sequence}"#)).unwrap()
    };
    let mut bundles = Bundles::default();
    assert_eq!(bundles.offer(&domain, of(5, X509)), OfferOutcome::Taken);
    assert_eq!(bundles.offer(&domain, of(5, X509)), OfferOutcome::Same);
    assert_eq!(bundles.offer(&domain, of(4, RSA)), OfferOutcome::GoesBack);
    assert_eq!(
        bundles.offer(&domain, of(5, RSA)),
        OfferOutcome::Contradicts
    );
    assert_eq!(
        (
            bundles.version(),
            bundles.of("saha.example").unwrap().x509.len()
        ),
        (1, 1)
    );
    assert_eq!(bundles.offer(&domain, of(6, RSA)), OfferOutcome::Taken);
    assert!(
        bundles.of("saha.example").unwrap().x509.is_empty()
            && bundles.of("other.example").is_none()
    );
    // A bundle without a sequence number always replaces the one in force.
    assert_eq!(
        bundles.offer(&domain, bundle(X509, "").unwrap()),
        OfferOutcome::Taken
    );
    assert!(bundles.withdraw(&domain) && !bundles.withdraw(&domain));
    assert_eq!((bundles.version(), bundles.domains().count()), (4, 0));
}
