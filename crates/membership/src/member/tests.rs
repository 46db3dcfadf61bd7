use super::*;

fn member_details(attachments: Vec<Attachment>) -> Result<MemberDetails, DetailsError> {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    MemberDetails::new(
        address,
        "a",
        Phase::Serving,
        "0.1.0",
        (1, 1),
        (7, 8),
        attachments,
    )
}

#[test]
fn details_decode_as_they_were_encoded_and_bounds_are_enforced() {
    let attachment = |len| Attachment {
        id: 3,
        version: 2,
        bytes: vec![1; len],
    };
    let details = member_details(vec![attachment(40)]).unwrap();
    assert_eq!(MemberDetails::read(details.encoded()).unwrap(), details);
    assert_eq!(
        (details.phase, &details.zone[..], details.settings),
        (Phase::Serving, "a", (7, 8))
    );
    assert_eq!(
        member_details(vec![attachment(DETAILS_MAX)]).unwrap_err(),
        DetailsError::TooLarge
    );
    assert_eq!(
        member_details(vec![attachment(1); ATTACHMENTS_MAX + 1]).unwrap_err(),
        DetailsError::TooLarge
    );
    let zone = "z".repeat(ZONE_MAX + 1);
    let error_for = |address, zone: &str| {
        MemberDetails::new(address, zone, Phase::Cold, "", (1, 1), (0, 0), vec![]).unwrap_err()
    };
    assert_eq!(
        error_for(SocketAddr::from(([127, 0, 0, 1], 9)), &zone),
        DetailsError::BadName
    );
    assert_eq!(
        error_for(SocketAddr::from(([127, 0, 0, 1], 9)), "a b"),
        DetailsError::BadName
    );
    assert_eq!(
        error_for(SocketAddr::from(([0, 0, 0, 0], 9)), "a"),
        DetailsError::BadAddress
    );
    assert_eq!(
        error_for(SocketAddr::from(([127, 0, 0, 1], 0)), "a"),
        DetailsError::BadAddress
    );
}

/// A later version adds a field. A node that does not know the field must pass it on unchanged and
/// include it in the hash, so that nodes of both versions agree on the digest.
#[test]
fn fields_of_a_later_version_are_passed_on() {
    let mut raw = member_details(vec![]).unwrap().encoded().to_vec();
    raw.extend([0xfa, 0x01, 0x03, b'n', b'e', b'w']); // field 31, bytes
    let read = MemberDetails::read(&raw).unwrap();
    assert_eq!(read.encoded(), &raw[..]);
    assert_ne!(read.hash(), member_details(vec![]).unwrap().hash());
}

#[test]
fn truncated_or_corrupted_details_do_not_panic() {
    let raw = member_details(vec![Attachment {
        id: 1,
        version: 1,
        bytes: b"abc".to_vec(),
    }])
    .unwrap()
    .encoded()
    .to_vec();
    for at in 0..raw.len() {
        let _ = MemberDetails::read(&raw[..at]);
        for bit in 0..8 {
            let mut raw = raw.clone();
            raw[at] ^= 1 << bit;
            let _ = MemberDetails::read(&raw);
        }
    }
}
