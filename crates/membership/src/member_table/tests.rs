use super::*;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

fn news(name: &str, birth: u64, bump: u32, status: Liveness, revision: u32) -> MemberUpdate {
    let address = SocketAddr::from(([127, 0, 0, 1], 1000 + revision as u16));
    let zone = if name.len().is_multiple_of(2) {
        "a"
    } else {
        "b"
    };
    let details =
        MemberDetails::new(address, zone, Phase::Serving, "1", (1, 1), (0, 0), vec![]).unwrap();
    MemberUpdate {
        key: MemberKey::of(name).0,
        birth,
        life: birth,
        bump,
        status: status.number(),
        revision,
        name: name.into(),
        told: details.raw().to_vec(),
        by: 0,
    }
}

/// What a view holds, but for when it heard it.
fn held(view: &MemberTable) -> Vec<(MemberKey, Epoch, LivenessState, u32, SocketAddr)> {
    view.iter()
        .map(|(k, e)| (k, e.epoch, e.standing, e.revision, e.details.address))
        .collect()
}

/// Whatever is said, in whatever order and however often: who has heard the same holds the
/// same. Those who are not known must have been known first, for nobody remembers the gone of
/// whom he never heard.
#[test]
fn the_order_of_news_does_not_matter() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let first: Vec<MemberUpdate> = ["n1", "n22"]
            .iter()
            .map(|n| news(n, 1, 0, Liveness::Alive, 0))
            .collect();
        let mut said = Vec::new();
        for _ in 0..12 {
            let name = ["n1", "n22"][rng.random_range(0..2)];
            let status = [
                Liveness::Alive,
                Liveness::Suspect,
                Liveness::Dead,
                Liveness::Left,
            ];
            let (birth, bump) = (rng.random_range(1..3), rng.random_range(0..3));
            said.push(news(
                name,
                birth,
                bump,
                status[rng.random_range(0..4)],
                rng.random_range(0..3),
            ));
        }
        let mut views = Vec::new();
        for _ in 0..4 {
            let mut view = MemberTable::new(1 << 20, None);
            let mut versions: BTreeMap<MemberKey, (Epoch, LivenessState)> = BTreeMap::new();
            said.shuffle(&mut rng);
            for news in first.iter().chain(&said).chain(&said[..6]) {
                let _ = view.merge(0, news);
                for (key, entry) in view.iter() {
                    let version = (entry.epoch, entry.standing);
                    let before = versions.insert(key, version).unwrap_or_default();
                    assert!(before <= version, "seed {seed}: a version went back");
                }
            }
            let (n, sum) = view.sum(0..=u64::MAX);
            assert_eq!(
                (n, sum),
                (view.counts().present(), view.digest()),
                "seed {seed}"
            );
            views.push((held(&view), view.digest(), view.slices(8)));
        }
        assert!(
            views.windows(2).all(|two| two[0] == two[1]),
            "seed {seed}: {views:#?}"
        );
    }
}

#[test]
fn a_change_is_told_by_what_it_means() {
    let mut view = MemberTable::new(1 << 20, None);
    let mut kind = |n: &MemberUpdate| match view.merge(0, n) {
        MergeOutcome::Changed(change) => change.kind(),
        _ => None,
    };
    assert_eq!(
        kind(&news("n", 5, 0, Liveness::Alive, 0)),
        Some(ChangeKind::Joined)
    );
    assert_eq!(
        kind(&news("n", 5, 0, Liveness::Suspect, 0)),
        Some(ChangeKind::Suspect)
    );
    assert_eq!(
        kind(&news("n", 5, 1, Liveness::Alive, 0)),
        Some(ChangeKind::Back)
    );
    assert_eq!(
        kind(&news("n", 5, 1, Liveness::Alive, 1)),
        Some(ChangeKind::Moved)
    );
    assert_eq!(
        kind(&news("n", 5, 1, Liveness::Dead, 1)),
        Some(ChangeKind::Dead)
    );
    assert_eq!(kind(&news("n", 5, 1, Liveness::Alive, 1)), None);
    assert_eq!(
        kind(&news("n", 5, 2, Liveness::Alive, 1)),
        Some(ChangeKind::Back)
    );
    assert_eq!(
        kind(&news("n", 6, 0, Liveness::Alive, 1)),
        Some(ChangeKind::Replaced)
    );
    assert_eq!(
        kind(&news("n", 6, 0, Liveness::Left, 1)),
        Some(ChangeKind::Left)
    );
    assert_eq!(
        kind(&news("n", 7, 0, Liveness::Alive, 0)),
        Some(ChangeKind::Joined)
    );
}

#[test]
fn news_without_details_is_taken_only_where_these_are_known() {
    let mut view = MemberTable::new(1 << 20, None);
    let brief = |birth, bump, revision| MemberUpdate {
        name: String::new(),
        told: vec![],
        ..news("n", birth, bump, Liveness::Alive, revision)
    };
    assert_eq!(view.merge(0, &brief(1, 0, 0)), MergeOutcome::Wanted);
    let _ = view.merge(0, &news("n", 1, 0, Liveness::Alive, 0));
    assert!(matches!(
        view.merge(0, &brief(1, 1, 0)),
        MergeOutcome::Changed(_)
    ));
    assert_eq!(view.merge(0, &brief(1, 1, 1)), MergeOutcome::Wanted);
    assert_eq!(view.merge(0, &brief(2, 0, 0)), MergeOutcome::Wanted);
    assert_eq!(view.merge(0, &brief(1, 0, 0)), MergeOutcome::Older);
    let named = MemberUpdate {
        name: "other".into(),
        ..news("x", 1, 0, Liveness::Alive, 0)
    };
    assert_eq!(
        view.merge(0, &named),
        MergeOutcome::DetailsError(DetailsError::BadName)
    );
}

/// With no room left the gone make way, the zones' last ones at the very end; the present never
/// do.
#[test]
fn a_full_view_forgets_the_gone_and_nobody_else() {
    let mut view = MemberTable::new(10 * ENTRY_USUAL, None);
    let mut names = 0;
    while view.merge(0, &news(&format!("n{names:03}"), 1, 0, Liveness::Alive, 0))
        != MergeOutcome::Full
    {
        names += 1;
    }
    assert!(names >= 10 && view.bytes() <= 10 * ENTRY_USUAL, "{names}");
    for n in 0..3 {
        view.set(n, MemberKey::of(&format!("n{n:03}")), Liveness::Dead);
    }
    let more = |view: &mut MemberTable, n: usize| {
        view.merge(9, &news(&format!("m{n:03}"), 1, 0, Liveness::Alive, 0))
    };
    for n in 0..3 {
        assert!(matches!(more(&mut view, n), MergeOutcome::Changed(_)));
    }
    assert_eq!(more(&mut view, 3), MergeOutcome::Full);
    assert_eq!(
        view.counts(),
        MemberCounts {
            alive: names,
            ..MemberCounts::default()
        }
    );
}

#[test]
fn the_gone_are_forgotten_after_their_time() {
    let mut view = MemberTable::new(1 << 20, None);
    for (name, status) in [
        ("n1", Liveness::Dead),
        ("n2", Liveness::Left),
        ("n3", Liveness::Suspect),
    ] {
        let _ = view.merge(0, &news(name, 1, 0, Liveness::Alive, 0));
        view.set(5, MemberKey::of(name), status);
    }
    assert_eq!((view.forget(9, 5), view.forget(10, 5)), (0, 2));
    assert_eq!(view.iter().count(), 1);
}
