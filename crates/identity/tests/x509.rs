//! Chains good and bad, each bad one with the clause of the standard that it breaks; and
//! certificates damaged at every byte.

use madderpoint_identity::x509::{Role, X509SvidError, authority, check};
use madderpoint_identity::{Bundle, Bundles};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, ExtendedKeyUsagePurpose, IsCa,
    KeyPair, KeyUsagePurpose, SanType, date_time_ymd,
};

const SECOND: u64 = 1_000_000_000;
/// In the middle of the validity of all certificates here: 2026-06-15.
const NOW: u64 = 1_781_481_600 * SECOND;
const DAY: u64 = 86_400 * SECOND;

type Issuer = CertifiedIssuer<'static, KeyPair>;

fn params(uris: &[&str]) -> CertificateParams {
    let mut params = CertificateParams::default();
    params.subject_alt_names = uris
        .iter()
        .map(|uri| SanType::URI((*uri).try_into().unwrap()))
        .collect();
    (params.not_before, params.not_after) = (date_time_ymd(2026, 6, 1), date_time_ymd(2026, 7, 1));
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ClientAuth,
        ExtendedKeyUsagePurpose::ServerAuth,
    ];
    params
}

fn authority_params(name: &str, uris: &[&str]) -> CertificateParams {
    let mut params = params(uris);
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.extended_key_usages = Vec::new();
    params.distinguished_name.push(DnType::CommonName, name);
    params
}

fn root(name: &str) -> Issuer {
    CertifiedIssuer::self_signed(authority_params(name, &[]), KeyPair::generate().unwrap()).unwrap()
}

fn leaf(params: CertificateParams, issuer: &Issuer) -> Vec<u8> {
    params
        .signed_by(&KeyPair::generate().unwrap(), issuer)
        .unwrap()
        .der()
        .to_vec()
}

/// What one trust domain after the other is checked against.
fn bundles(of: &[(&str, &[&Issuer])]) -> Bundles {
    let mut bundles = Bundles::default();
    for (domain, roots) in of {
        let x509 = roots.iter().map(|root| root.der().to_vec()).collect();
        bundles.offer(
            &domain.parse().unwrap(),
            Bundle {
                x509,
                ..Bundle::default()
            },
        );
    }
    bundles
}

const ID: &str = "spiffe://saha.example/site/7";

fn tried(params: CertificateParams) -> Result<String, X509SvidError> {
    let root = root("saha");
    let bundles = bundles(&[("saha.example", &[&root])]);
    check(&[leaf(params, &root)], &bundles, Role::Caller, NOW, 0)
        .map(|proven| proven.id.to_string())
}

#[test]
fn a_good_chain_proves_its_id_to_either_side() {
    let root = root("saha");
    let bundles = bundles(&[("saha.example", &[&root])]);
    let below = authority_params("below", &["spiffe://saha.example"]);
    let below = CertifiedIssuer::signed_by(below, KeyPair::generate().unwrap(), &root).unwrap();
    let chain = [leaf(params(&[ID]), &below), below.der().to_vec()];
    for role in [Role::Caller, Role::Server] {
        let proven = check(&chain, &bundles, role, NOW, 0).unwrap();
        assert_eq!((proven.id.as_str(), proven.bundles), (ID, 1));
        assert_eq!(
            proven.authority,
            authority(root.der()),
            "not the one between"
        );
        assert!(proven.not_before < NOW && NOW < proven.not_after);
    }
    assert!(
        check(&chain[..1], &bundles, Role::Caller, NOW, 0).is_err(),
        "without the one between"
    );
    // Other names beside the one URI are no matter.
    let mut with_name = params(&[ID]);
    with_name
        .subject_alt_names
        .push(SanType::DnsName("a.example".try_into().unwrap()));
    assert_eq!(tried(with_name), Ok(ID.into()));
    let mut without = params(&[ID]);
    without.extended_key_usages.clear();
    assert_eq!(
        tried(without),
        Ok(ID.into()),
        "extended key usage may be absent"
    );
}

#[test]
fn each_rule_for_a_leaf_is_kept() {
    let with = |change: &dyn Fn(&mut CertificateParams)| {
        let mut params = params(&[ID]);
        change(&mut params);
        tried(params).unwrap_err()
    };
    assert_eq!(tried(params(&[])), Err(X509SvidError::Uris(0)));
    assert_eq!(
        tried(params(&[ID, "spiffe://saha.example/site/8"])),
        Err(X509SvidError::Uris(2))
    );
    assert_eq!(
        tried(params(&[ID, "https://saha.example/"])),
        Err(X509SvidError::Uris(2))
    );
    assert!(matches!(
        tried(params(&["https://saha.example/site"])),
        Err(X509SvidError::NoId(_))
    ));
    assert!(matches!(
        tried(params(&["spiffe://saha.example/a%2fb"])),
        Err(X509SvidError::NoId(_))
    ));
    assert!(matches!(
        tried(params(&["spiffe://Saha.example/a"])),
        Err(X509SvidError::NoId(_))
    ));
    assert_eq!(
        tried(params(&["spiffe://saha.example"])),
        Err(X509SvidError::NoPath)
    );
    let authority = |p: &mut CertificateParams| p.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    assert_eq!(with(&authority), X509SvidError::LeafIsAuthority);
    assert_eq!(with(&|p| p.key_usages.clear()), X509SvidError::NoKeyUsage);
    assert_eq!(
        with(&|p| p.key_usages = vec![KeyUsagePurpose::KeyAgreement]),
        X509SvidError::KeyUsage
    );
    assert_eq!(
        with(&|p| p.key_usages.push(KeyUsagePurpose::KeyCertSign)),
        X509SvidError::KeyUsage
    );
    assert_eq!(
        with(&|p| p.key_usages.push(KeyUsagePurpose::CrlSign)),
        X509SvidError::KeyUsage
    );
    let one = |p: &mut CertificateParams| {
        p.extended_key_usages = vec![ExtendedKeyUsagePurpose::ClientAuth]
    };
    assert_eq!(with(&one), X509SvidError::ExtendedKeyUsage);
}

#[test]
fn only_authorities_of_the_ids_own_domain_count() {
    let (ours, theirs) = (root("saha"), root("other"));
    let known = bundles(&[("saha.example", &[&ours]), ("other.example", &[&theirs])]);
    let ask = |chain: &[Vec<u8>], bundles: &Bundles| {
        check(chain, bundles, Role::Caller, NOW, 0).map(|p| p.id.to_string())
    };
    // The same path in another domain, vouched for by the other's authority, and the other way
    // round.
    let other = "spiffe://other.example/site/7";
    assert_eq!(
        ask(&[leaf(params(&[other]), &theirs)], &known),
        Ok(other.into())
    );
    assert!(matches!(
        ask(&[leaf(params(&[ID]), &theirs)], &known),
        Err(X509SvidError::NoPathToAuthority(_))
    ));
    assert!(matches!(
        ask(&[leaf(params(&[other]), &ours)], &known),
        Err(X509SvidError::NoPathToAuthority(_))
    ));
    // A domain never seen, though an authority that we know signed it.
    let never = leaf(params(&["spiffe://never.example/a"]), &ours);
    assert_eq!(
        ask(&[never], &known),
        Err(X509SvidError::UnknownDomain("never.example".into()))
    );
    // An authority with the same name and another key.
    assert!(matches!(
        ask(&[leaf(params(&[ID]), &root("saha"))], &known),
        Err(X509SvidError::NoPathToAuthority(_))
    ));
    // A root that was taken out of the bundle.
    let (old, new) = (root("old"), root("new"));
    let chain = [leaf(params(&[ID]), &old)];
    assert!(ask(&chain, &bundles(&[("saha.example", &[&old, &new])])).is_ok());
    assert!(ask(&chain, &bundles(&[("saha.example", &[&new])])).is_err());
    assert!(ask(&chain, &bundles(&[("saha.example", &[])])).is_err());
}

#[test]
fn intermediates_are_authorities_of_the_domain() {
    let root = root("saha");
    let bundles = bundles(&[("saha.example", &[&root])]);
    let through = |params: CertificateParams| {
        let below =
            CertifiedIssuer::signed_by(params, KeyPair::generate().unwrap(), &root).unwrap();
        let chain = [leaf(self::params(&[ID]), &below), below.der().to_vec()];
        check(&chain, &bundles, Role::Caller, NOW, 0).map(drop)
    };
    assert_eq!(through(authority_params("a", &[])), Ok(()));
    for uri in [
        "spiffe://saha.example/a",
        "spiffe://other.example",
        "https://saha.example",
    ] {
        assert_eq!(
            through(authority_params("a", &[uri])),
            Err(X509SvidError::Authority),
            "{uri}"
        );
    }
    let mut no_authority = params(&[]);
    no_authority
        .distinguished_name
        .push(DnType::CommonName, "leaf");
    assert_eq!(
        through(no_authority),
        Err(X509SvidError::Authority),
        "a leaf that signs"
    );
    let mut no_sign = authority_params("a", &[]);
    no_sign.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    assert_eq!(through(no_sign), Err(X509SvidError::Authority));
}

#[test]
fn times_bind_but_for_a_skew_that_is_bounded() {
    let root = root("saha");
    let bundles = bundles(&[("saha.example", &[&root])]);
    let chain = [leaf(params(&[ID]), &root)];
    let at = |now: u64, skew: u64| check(&chain, &bundles, Role::Caller, now, skew).map(drop);
    let proven = check(&chain, &bundles, Role::Caller, NOW, 0).unwrap();
    let (begins, ends) = (proven.not_before, proven.not_after);
    assert_eq!((at(begins, 0), at(ends, 0)), (Ok(()), Ok(())));
    assert_eq!(at(begins - SECOND, 0), Err(X509SvidError::NotYet));
    assert_eq!(at(ends + SECOND, 0), Err(X509SvidError::Expired));
    assert_eq!(
        (
            at(begins - 5 * SECOND, 5 * SECOND),
            at(ends + 5 * SECOND, 5 * SECOND)
        ),
        (Ok(()), Ok(()))
    );
    assert_eq!(
        at(ends + 61 * SECOND, DAY),
        Err(X509SvidError::Expired),
        "no more than a minute, whatever is asked for"
    );
    assert_eq!(at(0, 0), Err(X509SvidError::NotYet));
    assert_eq!(at(u64::MAX, u64::MAX), Err(X509SvidError::Expired));
}

#[test]
fn chains_beyond_the_bounds_are_not_looked_at() {
    let root = root("saha");
    let bundles = bundles(&[("saha.example", &[&root])]);
    let one = leaf(params(&[ID]), &root);
    assert_eq!(
        check(&[] as &[Vec<u8>], &bundles, Role::Caller, NOW, 0),
        Err(X509SvidError::Empty)
    );
    assert_eq!(
        check(&vec![one.clone(); 9], &bundles, Role::Caller, NOW, 0),
        Err(X509SvidError::TooLarge)
    );
    assert_eq!(
        check(&[vec![0; 70_000]], &bundles, Role::Caller, NOW, 0),
        Err(X509SvidError::TooLarge)
    );
    let longer = [one.clone(), vec![0]].concat();
    assert_eq!(
        check(&[longer], &bundles, Role::Caller, NOW, 0),
        Err(X509SvidError::Unreadable)
    );
}

#[test]
fn a_certificate_damaged_at_any_byte_proves_nothing() {
    let root = root("saha");
    let bundles = bundles(&[("saha.example", &[&root])]);
    let good = leaf(params(&[ID]), &root);
    assert!(check(std::slice::from_ref(&good), &bundles, Role::Caller, NOW, 0).is_ok());
    for at in 0..good.len() {
        for change in [0x01, 0x80, 0xff] {
            let mut bad = good.clone();
            bad[at] ^= change;
            let result = check(&[bad], &bundles, Role::Caller, NOW, 0);
            assert!(
                result.is_err(),
                "byte {at} changed by {change:#x} was accepted: {result:?}"
            );
        }
        assert!(
            check(&[&good[..at]], &bundles, Role::Caller, NOW, 0).is_err(),
            "cut at {at}"
        );
    }
}
