use super::*;
use crate::Bundle;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Nanos = 1_000_000_000;
const START: Nanos = 1_000_000 * SECOND;

/// Authorities are told apart by their bytes alone here.
fn bundles(of: &[(&str, &[u8])]) -> Bundles {
    let mut bundles = Bundles::default();
    of.iter()
        .for_each(|(domain, roots)| trust(&mut bundles, domain, roots));
    bundles
}

fn trust(bundles: &mut Bundles, domain: &str, roots: &[u8]) {
    let x509 = roots.iter().map(|root| vec![*root]).collect();
    bundles.offer(
        &domain.parse().unwrap(),
        Bundle {
            x509,
            ..Bundle::default()
        },
    );
}

fn proven(id: &str, root: u8, life: Nanos, bundles: &Bundles) -> VerifiedSvid {
    VerifiedSvid {
        id: id.parse().unwrap(),
        not_before: START,
        not_after: START + life,
        authority: authority(&[root]),
        bundles: bundles.version(),
    }
}

const ID: &str = "spiffe://saha.example/site/7";

fn allow(_: &SpiffeId) -> PolicyDecision {
    PolicyDecision::Allow
}

#[test]
fn nothing_read_after_the_end_is_served_whichever_comes_first() {
    let known = bundles(&[("saha.example", &[1])]);
    let mut sessions = Sessions::new(5 * SECOND);
    for conn in [1, 2] {
        sessions
            .opened(START, conn, &proven(ID, 1, 60 * SECOND, &known), &known)
            .unwrap();
    }
    let end = START + 65 * SECOND;
    assert_eq!(sessions.next(), Some(end));
    assert_eq!(
        sessions.read(end - 1, 1, allow),
        Some(SessionStatus::Served)
    );
    // On the first something is read before the timer, on the second after it.
    assert_eq!(sessions.read(end, 1, allow), Some(SessionStatus::Expired));
    assert_eq!(sessions.on_timer(end), [(2, CloseReason::Expired)]);
    assert_eq!(sessions.read(end, 2, allow), Some(SessionStatus::Expired));
    // A clock that steps back brings nothing back.
    assert_eq!(sessions.read(START, 2, allow), Some(SessionStatus::Expired));
    assert_eq!((sessions.counters().expired, sessions.next()), (2, None));
    assert_eq!(sessions.read(end, 3, allow), None, "without an identity");
    sessions.closed(1);
    assert_eq!(
        (sessions.len(), sessions.id(2).unwrap().path()),
        (1, "/site/7")
    );
    // One that is over is not opened; the grace is bounded.
    let late = sessions.opened(end, 4, &proven(ID, 1, 60 * SECOND, &known), &known);
    assert_eq!(late, Err(CloseReason::Expired));
    assert_eq!(Sessions::new(u64::MAX).grace, SKEW_MOST);
}

#[test]
fn an_authority_that_is_taken_out_ends_its_callers_at_once_and_no_others() {
    let mut known = bundles(&[("saha.example", &[1, 2]), ("other.example", &[1])]);
    let mut sessions = Sessions::new(0);
    let other = "spiffe://other.example/site/7";
    for (conn, id, root) in [(1, ID, 1), (2, ID, 2), (3, other, 1)] {
        sessions
            .opened(START, conn, &proven(id, root, 600 * SECOND, &known), &known)
            .unwrap();
    }
    assert_eq!(sessions.on_bundles_changed(START, &known), []);
    // A root is added: nobody is touched.
    trust(&mut known, "saha.example", &[1, 2, 3]);
    assert_eq!(sessions.on_bundles_changed(START, &known), []);
    // Root 1 is taken out of one domain, and stays in the other.
    let checked_before = proven(ID, 1, 600 * SECOND, &known);
    trust(&mut known, "saha.example", &[2, 3]);
    assert_eq!(
        sessions.on_bundles_changed(START, &known),
        [(1, CloseReason::Withdrawn)]
    );
    assert_eq!(
        sessions.read(START, 1, allow),
        Some(SessionStatus::Withdrawn)
    );
    assert_eq!(sessions.read(START, 2, allow), Some(SessionStatus::Served));
    assert_eq!(sessions.read(START, 3, allow), Some(SessionStatus::Served));
    // It is not told twice, and does not come back with the root.
    trust(&mut known, "saha.example", &[1, 2]);
    assert_eq!(sessions.on_bundles_changed(START, &known), []);
    assert_eq!(
        sessions.read(START, 1, allow),
        Some(SessionStatus::Withdrawn)
    );
    // A handshake that was checked by the bundles before, and ended after they were swapped.
    trust(&mut known, "saha.example", &[2]);
    assert_eq!(
        sessions.opened(START, 9, &checked_before, &known),
        Err(CloseReason::Withdrawn)
    );
    // A domain that is no longer trusted.
    known.withdraw(&"other.example".parse().unwrap());
    assert_eq!(
        sessions.on_bundles_changed(START, &known),
        [(3, CloseReason::Withdrawn)]
    );
    assert_eq!(sessions.counters().withdrawn, 2);
}

#[test]
fn the_policy_is_asked_once_until_something_changes() {
    let mut known = bundles(&[("saha.example", &[1])]);
    let mut sessions = Sessions::new(0);
    sessions
        .opened(START, 1, &proven(ID, 1, 600 * SECOND, &known), &known)
        .unwrap();
    let asked = std::cell::Cell::new(0);
    let denies = std::cell::Cell::new(false);
    let reason: Rc<str> = "not for this site".into();
    let policy = |id: &SpiffeId| {
        asked.set(asked.get() + 1);
        assert_eq!(id.as_str(), ID);
        if denies.get() {
            PolicyDecision::Deny {
                status: 403,
                reason: Rc::clone(&reason),
            }
        } else {
            PolicyDecision::Allow
        }
    };
    for _ in 0..10 {
        assert_eq!(sessions.read(START, 1, policy), Some(SessionStatus::Served));
    }
    assert_eq!(asked.get(), 1);
    denies.set(true);
    assert_eq!(
        sessions.read(START, 1, policy),
        Some(SessionStatus::Served),
        "nobody said that it changed"
    );
    sessions.policy_changed();
    assert!(matches!(
        sessions.read(START, 1, policy),
        Some(SessionStatus::Denied(_))
    ));
    trust(&mut known, "saha.example", &[1, 2]);
    sessions.on_bundles_changed(START, &known);
    assert!(matches!(
        sessions.read(START, 1, policy),
        Some(SessionStatus::Denied(_))
    ));
    assert_eq!(
        (
            asked.get(),
            sessions.counters().asked,
            sessions.counters().denied
        ),
        (3, 3, 2)
    );
}

/// Connections that open, close, expire and lose their authorities by chance, against a plain
/// model that looks at everything each time.
#[test]
fn by_chance_over_time_each_stands_as_a_plain_model_says() {
    for seed in 0..40 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut roots: Vec<u8> = vec![1, 2, 3];
        let mut known = bundles(&[("saha.example", &roots)]);
        let mut sessions = Sessions::new(2 * SECOND);
        // Connection -> end, root, whether it has ended.
        let mut model: HashMap<ConnectionId, (Nanos, u8, bool)> = HashMap::new();
        let mut now = START;
        for conn in 0..400u64 {
            now += rng.random_range(0..3 * SECOND);
            let root = rng.random_range(1..=4u8);
            let life = rng.random_range(1..60) * SECOND;
            let mut who = proven(ID, root, 0, &known);
            who.not_after = now + life;
            who.bundles = 0; // checked long ago: the authority is looked for
            let opened = sessions.opened(now, conn, &who, &known).is_ok();
            assert_eq!(opened, roots.contains(&root), "seed {seed}");
            if opened {
                model.insert(conn, (now + life + 2 * SECOND, root, false));
            }
            if rng.random_range(0..10) == 0 {
                let root = rng.random_range(1..=4u8);
                if roots.contains(&root) {
                    roots.retain(|r| *r != root)
                } else {
                    roots.push(root)
                }
                trust(&mut known, "saha.example", &roots);
                sessions.on_bundles_changed(now, &known);
                model
                    .values_mut()
                    .for_each(|(end, root, over)| *over |= *end <= now || !roots.contains(root));
            }
            if rng.random_range(0..3) == 0 {
                sessions.on_timer(now);
            }
            let some = rng.random_range(0..=conn);
            if rng.random_range(0..5) == 0 {
                sessions.closed(some);
                model.remove(&some);
            }
            for (conn, (end, _, over)) in &model {
                let served = sessions.read(now, *conn, allow) == Some(SessionStatus::Served);
                assert_eq!(
                    served,
                    !over && *end > now,
                    "seed {seed}, connection {conn}"
                );
            }
            assert_eq!(sessions.len(), model.len());
        }
    }
}
