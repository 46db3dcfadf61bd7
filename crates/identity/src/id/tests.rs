use super::*;

#[test]
fn valid_ids_split_into_domain_and_path() {
    for (text, domain, path) in [
        ("spiffe://example.org", "example.org", ""),
        ("spiffe://example.org/site/7", "example.org", "/site/7"),
        ("spiffe://a-b_c.9/A.b-C_9", "a-b_c.9", "/A.b-C_9"),
        ("spiffe://1.2.3.4/x", "1.2.3.4", "/x"),
        ("spiffe://a/...", "a", "/..."),
    ] {
        let id: SpiffeId = text.parse().unwrap();
        assert_eq!((id.as_str(), id.domain(), id.path()), (text, domain, path));
        assert!(id.is_of(&domain.parse().unwrap()));
        assert_eq!(
            text.parse::<TrustDomain>().unwrap().as_str(),
            domain,
            "an id parses as its trust domain"
        );
    }
}

#[test]
fn each_violation_of_the_standard_is_reported() {
    let invalid = [
        ("", SpiffeIdError::Scheme),
        ("http://example.org/a", SpiffeIdError::Scheme),
        ("SPIFFE://example.org/a", SpiffeIdError::Scheme),
        ("spiffe:/example.org", SpiffeIdError::Scheme),
        ("spiffe://", SpiffeIdError::NoDomain),
        ("spiffe:///a", SpiffeIdError::NoDomain),
        ("spiffe://Example.org/a", SpiffeIdError::DomainLetter('E')),
        (
            "spiffe://user@example.org/a",
            SpiffeIdError::DomainLetter('@'),
        ),
        (
            "spiffe://example.org:80/a",
            SpiffeIdError::DomainLetter(':'),
        ),
        ("spiffe://ex%61mple.org/a", SpiffeIdError::DomainLetter('%')),
        ("spiffe://örnek.org/a", SpiffeIdError::DomainLetter('ö')),
        ("spiffe://example.org?a", SpiffeIdError::DomainLetter('?')),
        ("spiffe://example.org/", SpiffeIdError::EmptySegment),
        ("spiffe://example.org/a/", SpiffeIdError::EmptySegment),
        ("spiffe://example.org//a", SpiffeIdError::EmptySegment),
        ("spiffe://example.org/a/./b", SpiffeIdError::DotSegment),
        ("spiffe://example.org/a/..", SpiffeIdError::DotSegment),
        ("spiffe://example.org/a%2fb", SpiffeIdError::PathLetter('%')),
        ("spiffe://example.org/a?b", SpiffeIdError::PathLetter('?')),
        ("spiffe://example.org/a#b", SpiffeIdError::PathLetter('#')),
        ("spiffe://example.org/a b", SpiffeIdError::PathLetter(' ')),
        ("spiffe://example.org/şube", SpiffeIdError::PathLetter('ş')),
    ];
    for (text, error) in invalid {
        assert_eq!(text.parse::<SpiffeId>(), Err(error), "{text}");
    }
}

#[test]
fn length_limits_are_exact() {
    let of = |domain: usize, path: usize| {
        format!("spiffe://{}/{}", "d".repeat(domain), "p".repeat(path))
    };
    assert!(of(255, 1).parse::<SpiffeId>().is_ok());
    assert_eq!(
        of(256, 1).parse::<SpiffeId>(),
        Err(SpiffeIdError::DomainTooLong)
    );
    assert!(of(7, 2048 - 9 - 8).parse::<SpiffeId>().is_ok());
    assert_eq!(
        of(7, 2048 - 9 - 7).parse::<SpiffeId>(),
        Err(SpiffeIdError::TooLong)
    );
}
