//! Validation of X.509-SVIDs: valid chains, invalid ones with the expected error, and certificates
//! that are changed or cut at every byte.

use madderpoint_identity::x509::{Role, X509SvidError, authority, check};
use madderpoint_identity::{Bundle, Bundles};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, ExtendedKeyUsagePurpose, IsCa,
    KeyPair, KeyUsagePurpose, SanType, date_time_ymd,
};

const SECOND: u64 = 1_000_000_000;
/// 2026-06-15, the middle of the validity of all certificates in these tests.
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

/// Builds bundles from the names of trust domains and their authorities.
fn bundles(domains: &[(&str, &[&Issuer])]) -> Bundles {
    let mut bundles = Bundles::default();
    for (domain, roots) in domains {
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

fn check_leaf(params: CertificateParams) -> Result<String, X509SvidError> {
    let root = root("saha");
    let bundles = bundles(&[("saha.example", &[&root])]);
    check(&[leaf(params, &root)], &bundles, Role::Caller, NOW, 0)
        .map(|verified| verified.id.to_string())
}

#[test]
fn a_valid_chain_is_accepted_in_both_roles() {
    let root = root("saha");
    let bundles = bundles(&[("saha.example", &[&root])]);
    let intermediate = authority_params("intermediate", &["spiffe://saha.example"]);
    let intermediate =
        CertifiedIssuer::signed_by(intermediate, KeyPair::generate().unwrap(), &root).unwrap();
    let chain = [
        leaf(params(&[ID]), &intermediate),
        intermediate.der().to_vec(),
    ];
    for role in [Role::Caller, Role::Server] {
        let verified = check(&chain, &bundles, role, NOW, 0).unwrap();
        assert_eq!((verified.id.as_str(), verified.bundles), (ID, 1));
        assert_eq!(
            verified.authority,
            authority(root.der()),
            "the root, not the intermediate"
        );
        assert!(verified.not_before < NOW && NOW < verified.not_after);
    }
    assert!(
        check(&chain[..1], &bundles, Role::Caller, NOW, 0).is_err(),
        "without the intermediate"
    );
    // Alternative names other than URIs are allowed.
    let mut with_name = params(&[ID]);
    with_name
        .subject_alt_names
        .push(SanType::DnsName("a.example".try_into().unwrap()));
    assert_eq!(check_leaf(with_name), Ok(ID.into()));
    let mut without = params(&[ID]);
    without.extended_key_usages.clear();
    assert_eq!(
        check_leaf(without),
        Ok(ID.into()),
        "extended key usage may be absent"
    );
}

#[test]
fn each_violation_of_the_standard_by_a_leaf_is_reported() {
    let with = |change: &dyn Fn(&mut CertificateParams)| {
        let mut params = params(&[ID]);
        change(&mut params);
        check_leaf(params).unwrap_err()
    };
    assert_eq!(check_leaf(params(&[])), Err(X509SvidError::Uris(0)));
    assert_eq!(
        check_leaf(params(&[ID, "spiffe://saha.example/site/8"])),
        Err(X509SvidError::Uris(2))
    );
    assert_eq!(
        check_leaf(params(&[ID, "https://saha.example/"])),
        Err(X509SvidError::Uris(2))
    );
    assert!(matches!(
        check_leaf(params(&["https://saha.example/site"])),
        Err(X509SvidError::NoId(_))
    ));
    assert!(matches!(
        check_leaf(params(&["spiffe://saha.example/a%2fb"])),
        Err(X509SvidError::NoId(_))
    ));
    assert!(matches!(
        check_leaf(params(&["spiffe://Saha.example/a"])),
        Err(X509SvidError::NoId(_))
    ));
    assert_eq!(
        check_leaf(params(&["spiffe://saha.example"])),
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
fn only_authorities_of_the_ids_trust_domain_are_accepted() {
    let (ours, theirs) = (root("saha"), root("other"));
    let trusted = bundles(&[("saha.example", &[&ours]), ("other.example", &[&theirs])]);
    let check_chain = |chain: &[Vec<u8>], bundles: &Bundles| {
        check(chain, bundles, Role::Caller, NOW, 0).map(|p| p.id.to_string())
    };
    // The same path in another trust domain, signed by each of the two authorities.
    let other = "spiffe://other.example/site/7";
    assert_eq!(
        check_chain(&[leaf(params(&[other]), &theirs)], &trusted),
        Ok(other.into())
    );
    assert!(matches!(
        check_chain(&[leaf(params(&[ID]), &theirs)], &trusted),
        Err(X509SvidError::NoPathToAuthority(_))
    ));
    assert!(matches!(
        check_chain(&[leaf(params(&[other]), &ours)], &trusted),
        Err(X509SvidError::NoPathToAuthority(_))
    ));
    // An unknown trust domain, signed by a known authority.
    let unknown = leaf(params(&["spiffe://never.example/a"]), &ours);
    assert_eq!(
        check_chain(&[unknown], &trusted),
        Err(X509SvidError::UnknownDomain("never.example".into()))
    );
    // An authority with the same name and a different key.
    assert!(matches!(
        check_chain(&[leaf(params(&[ID]), &root("saha"))], &trusted),
        Err(X509SvidError::NoPathToAuthority(_))
    ));
    // A root that was removed from the bundle.
    let (old, new) = (root("old"), root("new"));
    let chain = [leaf(params(&[ID]), &old)];
    assert!(check_chain(&chain, &bundles(&[("saha.example", &[&old, &new])])).is_ok());
    assert!(check_chain(&chain, &bundles(&[("saha.example", &[&new])])).is_err());
    assert!(check_chain(&chain, &bundles(&[("saha.example", &[])])).is_err());
}

#[test]
fn intermediates_must_be_authorities_of_the_trust_domain() {
    let root = root("saha");
    let bundles = bundles(&[("saha.example", &[&root])]);
    let through = |params: CertificateParams| {
        let intermediate =
            CertifiedIssuer::signed_by(params, KeyPair::generate().unwrap(), &root).unwrap();
        let chain = [
            leaf(self::params(&[ID]), &intermediate),
            intermediate.der().to_vec(),
        ];
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
        "a leaf as intermediate"
    );
    let mut no_sign = authority_params("a", &[]);
    no_sign.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    assert_eq!(through(no_sign), Err(X509SvidError::Authority));
}

#[test]
fn validity_is_enforced_within_a_capped_clock_skew() {
    let root = root("saha");
    let bundles = bundles(&[("saha.example", &[&root])]);
    let chain = [leaf(params(&[ID]), &root)];
    let at = |now: u64, skew: u64| check(&chain, &bundles, Role::Caller, now, skew).map(drop);
    let verified = check(&chain, &bundles, Role::Caller, NOW, 0).unwrap();
    let (start, end) = (verified.not_before, verified.not_after);
    assert_eq!((at(start, 0), at(end, 0)), (Ok(()), Ok(())));
    assert_eq!(at(start - SECOND, 0), Err(X509SvidError::NotYet));
    assert_eq!(at(end + SECOND, 0), Err(X509SvidError::Expired));
    assert_eq!(
        (
            at(start - 5 * SECOND, 5 * SECOND),
            at(end + 5 * SECOND, 5 * SECOND)
        ),
        (Ok(()), Ok(()))
    );
    assert_eq!(
        at(end + 61 * SECOND, DAY),
        Err(X509SvidError::Expired),
        "the skew is capped at one minute"
    );
    assert_eq!(at(0, 0), Err(X509SvidError::NotYet));
    assert_eq!(at(u64::MAX, u64::MAX), Err(X509SvidError::Expired));
}

#[test]
fn chains_beyond_the_limits_are_refused() {
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
fn a_certificate_changed_or_cut_at_any_byte_is_refused() {
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
