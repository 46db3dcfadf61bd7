//! Parsing and validation of responses of the Workload API.

use madderpoint_identity::Bundles;
use madderpoint_identity::workload::{
    FrameReader, JwtBundlesResponse, MESSAGE_MAX, WorkloadApiError, X509SvidMessage,
    X509SvidResponse, jwt_update, x509_update,
};
use madderpoint_identity::x509::X509SvidError;
use prost::Message;
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair, KeyUsagePurpose,
    SanType, date_time_ymd,
};

const SECOND: u64 = 1_000_000_000;
const NOW: u64 = 1_781_481_600 * SECOND;
const ID: &str = "spiffe://saha.example/node/3";

type Issuer = CertifiedIssuer<'static, KeyPair>;

fn root(name: &str) -> Issuer {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params.distinguished_name.push(DnType::CommonName, name);
    CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap()
}

fn svid(id: &str, root: &Issuer) -> X509SvidMessage {
    let mut params = CertificateParams::default();
    params.subject_alt_names = vec![SanType::URI(id.try_into().unwrap())];
    (params.not_before, params.not_after) = (date_time_ymd(2026, 6, 1), date_time_ymd(2026, 7, 1));
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    let key = KeyPair::generate().unwrap();
    let leaf = params.signed_by(&key, root).unwrap();
    X509SvidMessage {
        spiffe_id: id.into(),
        x509_svid: leaf.der().to_vec(),
        x509_svid_key: key.serialize_der(),
        bundle: root.der().to_vec(),
        hint: String::new(),
    }
}

fn response_with(svids: Vec<X509SvidMessage>) -> X509SvidResponse {
    X509SvidResponse {
        svids,
        ..X509SvidResponse::default()
    }
}

fn read(response: &X509SvidResponse) -> Result<(), WorkloadApiError> {
    x509_update(&response.encode_to_vec(), NOW, 0).map(drop)
}

#[test]
fn a_valid_response_gives_an_identity_and_the_trusted_authorities() {
    let (ours, theirs) = (root("saha"), root("other"));
    let mut response = response_with(vec![
        svid(ID, &ours),
        svid("spiffe://saha.example/other", &ours),
    ]);
    response.svids[0].bundle.extend_from_slice(theirs.der()); // two authorities
    response
        .federated_bundles
        .insert("spiffe://other.example".into(), theirs.der().to_vec());
    let update = x509_update(&response.encode_to_vec(), NOW, 0).unwrap();
    assert_eq!(
        (
            update.identity.proven.id.as_str(),
            update.identity.chain.len()
        ),
        (ID, 1),
        "the first is the default"
    );
    let domains: Vec<_> = update
        .x509
        .iter()
        .map(|(domain, roots)| (domain.as_str(), roots.len()))
        .collect();
    assert_eq!(domains, [("saha.example", 2), ("other.example", 1)]);
    let shown = format!("{update:?} {response:?}");
    assert!(
        shown.contains("key not shown") && !shown.contains("x509_svid_key"),
        "{shown}"
    );
    // Applying the update a second time changes nothing. A domain that is no longer in the update
    // is no longer trusted.
    let mut bundles = Bundles::default();
    assert!(bundles.take_x509(&update.x509) && !bundles.take_x509(&update.x509));
    assert!(bundles.take_x509(&update.x509[..1]) && bundles.of("other.example").is_none());
}

#[test]
fn invalid_responses_are_refused() {
    let (ours, theirs) = (root("saha"), root("other"));
    let good = svid(ID, &ours);
    let with = |change: &dyn Fn(&mut X509SvidMessage)| {
        let mut bad = good.clone();
        change(&mut bad);
        read(&response_with(vec![bad])).unwrap_err()
    };
    assert_eq!(
        read(&response_with(Vec::new())),
        Err(WorkloadApiError::Nothing)
    );
    assert_eq!(with(&|m| m.x509_svid.clear()), WorkloadApiError::Nothing);
    assert_eq!(
        with(&|m| m.x509_svid_key = svid(ID, &ours).x509_svid_key),
        WorkloadApiError::Key,
        "another key"
    );
    assert_eq!(
        with(&|m| m.x509_svid_key = vec![1, 2, 3]),
        WorkloadApiError::Key
    );
    assert_eq!(
        with(&|m| m.spiffe_id = "spiffe://saha.example/node/4".into()),
        WorkloadApiError::OtherId
    );
    assert!(matches!(
        with(&|m| m.spiffe_id = "node".into()),
        WorkloadApiError::Svid(X509SvidError::NoId(_))
    ));
    // The authority of the chain is not in the bundle, or the bundle is empty.
    let other_authority = with(&|m| m.bundle = theirs.der().to_vec());
    assert!(
        matches!(
            other_authority,
            WorkloadApiError::Svid(X509SvidError::NoPathToAuthority(_))
        ),
        "{other_authority:?}"
    );
    assert!(matches!(
        with(&|m| m.bundle.clear()),
        WorkloadApiError::Svid(X509SvidError::NoPathToAuthority(_))
    ));
    assert!(matches!(
        with(&|m| m.bundle = vec![7; 40]),
        WorkloadApiError::Garbage(_)
    ));
    assert!(matches!(
        with(&|m| m.x509_svid.truncate(100)),
        WorkloadApiError::Garbage(_)
    ));
    // The identity has already expired when it arrives.
    let expired = x509_update(
        &response_with(vec![good.clone()]).encode_to_vec(),
        NOW + 40 * 86_400 * SECOND,
        0,
    );
    assert_eq!(
        expired.map(drop),
        Err(WorkloadApiError::Svid(X509SvidError::Expired))
    );
    // A federated trust domain with an invalid name, or that would replace the identity's own.
    for name in ["spiffe://", "Other", "spiffe://saha.example"] {
        let mut response = response_with(vec![good.clone()]);
        response
            .federated_bundles
            .insert(name.into(), theirs.der().to_vec());
        assert_eq!(read(&response), Err(WorkloadApiError::Domain(name.into())));
    }
    assert_eq!(
        read(&response_with(vec![good.clone(); 17])),
        Err(WorkloadApiError::TooLarge)
    );
}

#[test]
fn a_response_changed_at_any_byte_never_gives_another_identity() {
    let ours = root("saha");
    let message = response_with(vec![svid(ID, &ours)]).encode_to_vec();
    for at in 0..message.len() {
        for change in [0x01, 0x80, 0xff] {
            let mut bad = message.clone();
            bad[at] ^= change;
            if let Ok(update) = x509_update(&bad, NOW, 0) {
                // A changed response is accepted only if the change is in the hint or in fields
                // that are not evaluated.
                assert_eq!(update.identity.proven.id.as_str(), ID, "byte {at}");
            }
        }
    }
}

#[test]
fn messages_are_reassembled_however_the_stream_is_split() {
    let frame =
        |message: &[u8]| [&[0], &(message.len() as u32).to_be_bytes()[..], message].concat();
    let messages: [&[u8]; 4] = [b"one", b"", b"three", &[7; 3000]];
    let stream: Vec<u8> = messages.iter().flat_map(|m| frame(m)).collect();
    for size in [1, 2, 3, 4, 5, 6, 7, 11, 100, stream.len()] {
        let (mut frames, mut received) = (FrameReader::default(), Vec::new());
        for piece in stream.chunks(size) {
            frames
                .feed(piece, |message| received.push(message.to_vec()))
                .unwrap();
        }
        assert_eq!(received, messages, "in pieces of {size} bytes");
        assert!(frames.is_between());
    }
    let mut frames = FrameReader::default();
    frames.feed(&stream[..6], |_| ()).unwrap();
    assert!(
        !frames.is_between(),
        "the stream is cut off within a message"
    );
    let large = [&[0], &(MESSAGE_MAX as u32 + 1).to_be_bytes()[..]].concat();
    assert_eq!(
        FrameReader::default().feed(&large, |_| ()),
        Err(WorkloadApiError::TooLarge)
    );
    assert!(matches!(
        FrameReader::default().feed(&[1, 0, 0, 0, 0], |_| ()),
        Err(WorkloadApiError::Garbage(_))
    ));
}

#[test]
fn jwt_keys_are_returned_by_trust_domain() {
    let set =
        r#"{"keys": [{"kty": "RSA", "use": "jwt-svid", "kid": "a", "n": "AQAB", "e": "AQAB"}]}"#;
    let of = |name: &str, text: &str| {
        let bundles = [(name.to_owned(), text.as_bytes().to_vec())]
            .into_iter()
            .collect();
        jwt_update(&JwtBundlesResponse { bundles }.encode_to_vec())
    };
    let read = of("spiffe://saha.example", set).unwrap();
    assert_eq!(
        (read[0].0.as_str(), read[0].1[0].id.as_str()),
        ("saha.example", "a")
    );
    assert!(matches!(
        of("spiffe://saha.example", "{"),
        Err(WorkloadApiError::Garbage(_))
    ));
    assert!(matches!(of("SAHA", set), Err(WorkloadApiError::Domain(_))));
    assert!(matches!(
        jwt_update(&[0xff; 20]),
        Err(WorkloadApiError::Garbage(_))
    ));
}
