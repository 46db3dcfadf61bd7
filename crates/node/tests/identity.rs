//! Tests of `madderpoint identity check` on the command line.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use madderpoint_test_harness::program::Program;
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, KeyUsagePurpose, SanType,
    date_time_ymd,
};
use std::process::Command;

const PROGRAM: Program = Program {
    exe: env!("CARGO_BIN_EXE_madderpoint"),
    dir: env!("CARGO_TARGET_TMPDIR"),
};

fn params(uri: Option<&str>, usages: &[KeyUsagePurpose]) -> CertificateParams {
    let mut params = CertificateParams::default();
    params.subject_alt_names = uri
        .map(|uri| SanType::URI(uri.try_into().unwrap()))
        .into_iter()
        .collect();
    (params.not_before, params.not_after) = (date_time_ymd(2026, 6, 1), date_time_ymd(2026, 7, 1));
    params.key_usages = usages.to_vec();
    params
}

fn call(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(PROGRAM.exe)
        .args(["identity", "check"])
        .args(arguments)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[test]
fn a_certificate_chain_is_checked_against_the_bundle_of_its_trust_domain() {
    let mut authority = params(None, &[KeyUsagePurpose::KeyCertSign]);
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let root = CertifiedIssuer::self_signed(authority, KeyPair::generate().unwrap()).unwrap();
    let leaf = params(
        Some("spiffe://saha.example/site/7"),
        &[KeyUsagePurpose::DigitalSignature],
    );
    let leaf = leaf
        .signed_by(&KeyPair::generate().unwrap(), &root)
        .unwrap();
    let key = STANDARD.encode(root.der());
    let bundle = format!(r#"{{"keys": [{{"kty": "EC", "use": "x509-svid", "x5c": ["{key}"]}}]}}"#);
    let (chain, bundle) = (
        PROGRAM.file("pem", &leaf.pem()),
        PROGRAM.file("json", &bundle),
    );
    let (chain, bundle) = (chain.to_str().unwrap(), bundle.to_str().unwrap());
    let (same_domain, other_domain) = (
        format!("saha.example={bundle}"),
        format!("other.example={bundle}"),
    );
    let valid_at = "2026-06-15T00:00:00Z";
    let (code, out) = call(&[chain, "--bundle", &same_domain, "--at", valid_at]);
    assert_eq!(
        (code, out.trim()),
        (
            Some(0),
            "good: spiffe://saha.example/site/7 until 2026-07-01T00:00:00Z"
        )
    );
    let (code, out) = call(&[
        chain,
        "--bundle",
        &same_domain,
        "--at",
        "2026-07-02T00:00:00Z",
    ]);
    assert_eq!((code, out.trim()), (Some(1), "refused: expired"));
    let (code, out) = call(&[
        chain,
        "--bundle",
        &other_domain,
        "--at",
        valid_at,
        "--format",
        "json",
    ]);
    assert!(
        code == Some(1) && out.contains("trust domain saha.example is not known"),
        "{out}"
    );
    let (code, out) = call(&[chain, "--bundle", &same_domain, "--audience", "node"]);
    assert!(
        code == Some(1) && out.contains("not in the compact form"),
        "{out}"
    );
    for wrong in [
        &[chain][..],
        &[chain, "--bundle", bundle],
        &["/nowhere.pem", "--bundle", &same_domain],
    ] {
        assert_eq!(call(wrong).0, Some(2), "{wrong:?}");
    }
}
