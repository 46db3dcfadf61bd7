use super::*;

/// Host that records requests, the presented identity, the timer and log lines.
#[derive(Default)]
struct TestHost {
    requests: Vec<Nanos>,
    presented: Option<Svid>,
    next_timer: Nanos,
    lines: Vec<String>,
    now: Nanos,
}

impl Host for TestHost {
    fn request_svid(&mut self) {
        self.requests.push(self.now);
    }
    fn present(&mut self, svid: Option<&Svid>) {
        self.presented = svid.cloned();
    }
    fn set_timer(&mut self, at: Nanos) {
        assert!(at > self.now, "the timer is set to the future");
        self.next_timer = at;
    }
    fn log(&mut self, line: fmt::Arguments<'_>) {
        self.lines.push(line.to_string());
    }
}

fn svid(serial: u64, from: Nanos, life: Nanos) -> Svid {
    let id = "spiffe://saha.example/node/3".parse().unwrap();
    Svid {
        id,
        serial,
        not_before: from,
        not_after: from + life,
    }
}

const START: Nanos = 1_000_000 * SECOND;

fn begin(host: &mut TestHost, seed: u64) -> Rotation {
    host.now = START;
    Rotation::new(START, 5 * SECOND, seed, host)
}

fn run(rotation: &mut Rotation, host: &mut TestHost, until: Nanos) {
    while host.next_timer <= until {
        host.now = host.next_timer;
        rotation.on_timer(host.now, host);
    }
    host.now = until;
}

#[test]
fn the_next_identity_is_requested_near_half_of_the_lifetime_with_jitter() {
    let mut times = Vec::new();
    for seed in 0..200 {
        let mut host = TestHost::default();
        let mut rotation = begin(&mut host, seed);
        rotation
            .on_svid(START, svid(1, START, 3605 * SECOND), &mut host)
            .unwrap();
        assert_eq!(
            (rotation.state(), host.presented.as_ref().map(|s| s.serial)),
            (RotationState::Holding, Some(1))
        );
        run(&mut rotation, &mut host, START + 2600 * SECOND);
        times.push((host.requests[1] - START) / SECOND);
    }
    assert!(times.iter().all(|t| (1440..=2160).contains(t)), "{times:?}");
    let (first, last) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!(last - first > 600, "spread by jitter: {first} to {last} s");
}

#[test]
fn the_last_identity_is_presented_until_it_expires_while_the_issuer_is_unreachable() {
    let mut host = TestHost::default();
    let mut rotation = begin(&mut host, 3);
    rotation
        .on_svid(START, svid(1, START, 600 * SECOND), &mut host)
        .unwrap();
    host.now = START + 100 * SECOND;
    rotation.on_stream_failed(host.now, &mut host);
    assert_eq!(rotation.state(), RotationState::Orphaned);
    // Every request fails.
    let mut attempts = 0;
    while host.now < START + 900 * SECOND {
        let (next_timer, requests) = (host.next_timer, host.requests.len());
        run(&mut rotation, &mut host, next_timer);
        if host.requests.len() > requests {
            attempts += 1;
            rotation.on_stream_failed(host.now, &mut host);
        }
        let valid = host.now < START + 595 * SECOND;
        assert_eq!(
            host.presented.is_some(),
            valid,
            "{} s after the start",
            (host.now - START) / SECOND
        );
    }
    assert_eq!(rotation.state(), RotationState::Expired);
    assert!(
        (15..40).contains(&attempts),
        "{attempts} requests in 800 s: repeated with backoff, without end"
    );
    let logged = host
        .lines
        .iter()
        .filter(|l| l.contains("->Orphaned"))
        .count();
    assert!((7..=10).contains(&logged), "logged once a minute: {logged}");
    assert!(
        host.lines.iter().any(|l| l.contains("Orphaned->Expired")),
        "{:?}",
        host.lines
    );
    // The issuer is reachable again.
    rotation
        .on_svid(host.now, svid(2, host.now, 600 * SECOND), &mut host)
        .unwrap();
    assert_eq!(
        (rotation.state(), host.presented.as_ref().map(|s| s.serial)),
        (RotationState::Holding, Some(2))
    );
}

#[test]
fn a_stream_without_an_answer_is_replaced_after_the_timeout() {
    let mut host = TestHost::default();
    let mut rotation = begin(&mut host, 1);
    run(&mut rotation, &mut host, START + 120 * SECOND);
    assert_eq!(rotation.state(), RotationState::Waiting);
    assert!(
        (4..=12).contains(&host.requests.len()),
        "{:?}",
        host.requests
    );
}

#[test]
fn unusable_identities_are_rejected_and_leave_the_current_one() {
    let mut host = TestHost::default();
    let mut rotation = begin(&mut host, 1);
    let now = START;
    let mut foreign = svid(9, now, 6000 * SECOND);
    foreign.id = "spiffe://other.example/node/3".parse().unwrap();
    let backwards = Svid {
        not_after: now - 1,
        ..svid(9, now, SECOND)
    };
    assert_eq!(
        rotation.on_svid(now, svid(8, now - 700 * SECOND, 600 * SECOND), &mut host),
        Err(SvidRejection::Expired)
    );
    rotation
        .on_svid(now, svid(1, now, 600 * SECOND), &mut host)
        .unwrap();
    for (offer, reason) in [
        (
            svid(2, now - 600 * SECOND, 604 * SECOND),
            SvidRejection::Expired,
        ),
        (
            svid(3, now + 6 * SECOND, 600 * SECOND),
            SvidRejection::NotYet,
        ),
        (
            svid(4, now - 300 * SECOND, 600 * SECOND),
            SvidRejection::Older,
        ),
        (backwards, SvidRejection::Backwards),
        (foreign, SvidRejection::Foreign),
    ] {
        assert_eq!(
            rotation.on_svid(now, offer.clone(), &mut host),
            Err(reason),
            "{offer:?}"
        );
        assert_eq!(host.presented.as_ref().map(|s| s.serial), Some(1));
    }
    assert!(
        rotation
            .on_svid(now, svid(5, now + 5 * SECOND, 600 * SECOND), &mut host)
            .is_ok(),
        "within the skew"
    );
    // Of two overlapping identities, the one that expires later stays, in whichever order they
    // arrive.
    assert!(
        rotation
            .on_svid(now, svid(6, now, 500 * SECOND), &mut host)
            .is_err()
    );
    assert_eq!(host.presented.as_ref().map(|s| s.serial), Some(5));
}

#[test]
fn a_short_lived_identity_is_presented_for_half_of_its_lifetime_despite_the_skew() {
    let mut host = TestHost::default();
    let mut rotation = begin(&mut host, 1);
    rotation
        .on_svid(START, svid(1, START, 4 * SECOND), &mut host)
        .unwrap();
    run(&mut rotation, &mut host, START + SECOND);
    assert!(host.presented.is_some());
    run(&mut rotation, &mut host, START + 2 * SECOND);
    assert!(
        host.presented.is_none(),
        "the second half of the lifetime is left for clock skew"
    );
}

/// Simulates four hours per seed with an issuer that fails, is silent, sends outdated identities
/// and is unreachable for half an hour at a time, while the clock occasionally steps back. The
/// presented identity is valid at every moment, one is presented whenever a valid one was received,
/// and the rate of requests stays bounded.
#[test]
fn with_a_faulty_issuer_only_valid_identities_are_presented() {
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut host = TestHost::default();
        let mut rotation = begin(&mut host, seed);
        let (mut serial, mut latest_end) = (0, 0);
        let mut clock = START;
        while clock < START + 4 * 3600 * SECOND {
            let step = rng.random_range(1..120) * SECOND;
            let requests = host.requests.len();
            run(&mut rotation, &mut host, clock + step);
            clock += step;
            let unreachable = (clock / SECOND / 1800) % 3 == 2;
            if host.requests.len() > requests {
                match rng.random_range(0..6) {
                    _ if unreachable => rotation.on_stream_failed(clock, &mut host),
                    0 => {} // silent
                    1 => rotation.on_stream_failed(clock, &mut host),
                    n => {
                        serial += 1;
                        let age = if n == 2 { 400 } else { 0 };
                        let offer = svid(serial, clock - age * SECOND, 600 * SECOND);
                        if rotation.on_svid(clock, offer.clone(), &mut host).is_ok() {
                            latest_end = latest_end.max(offer.not_after);
                        }
                    }
                }
            }
            // The clock occasionally steps back.
            if rng.random_range(0..50) == 0 {
                rotation.on_timer(clock - 30 * SECOND, &mut host);
            }
            if let Some(svid) = &host.presented {
                assert!(
                    svid.not_before <= clock + 5 * SECOND && clock < svid.not_after,
                    "seed {seed}"
                );
            }
            assert_eq!(
                host.presented.is_some(),
                clock + 5 * SECOND < latest_end,
                "seed {seed}"
            );
        }
        assert!(
            host.requests.len() < 4 * 3600 / 8,
            "seed {seed}: {} requests",
            host.requests.len()
        );
    }
}
