use super::*;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

fn news(name: &str, birth: u64, bump: u32, status: Status, revision: u32) -> News {
    let address = SocketAddr::from(([127, 0, 0, 1], 1000 + revision as u16));
    let zone = if name.len().is_multiple_of(2) {
        "a"
    } else {
        "b"
    };
    let details = Details::new(address, zone, Phase::Serving, "1", (1, 1), (0, 0), vec![]).unwrap();
    News {
        key: Key::of(name).0,
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
fn held(view: &View) -> Vec<(Key, Epoch, Standing, u32, SocketAddr)> {
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
        let first: Vec<News> = ["n1", "n22"]
            .iter()
            .map(|n| news(n, 1, 0, Status::Alive, 0))
            .collect();
        let mut said = Vec::new();
        for _ in 0..12 {
            let name = ["n1", "n22"][rng.random_range(0..2)];
            let status = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];
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
            let mut view = View::new(1 << 20, None);
            let mut versions: BTreeMap<Key, (Epoch, Standing)> = BTreeMap::new();
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
    let mut view = View::new(1 << 20, None);
    let mut kind = |n: &News| match view.merge(0, n) {
        Merged::Changed(change) => change.kind(),
        _ => None,
    };
    assert_eq!(kind(&news("n", 5, 0, Status::Alive, 0)), Some(Kind::Joined));
    assert_eq!(
        kind(&news("n", 5, 0, Status::Suspect, 0)),
        Some(Kind::Suspect)
    );
    assert_eq!(kind(&news("n", 5, 1, Status::Alive, 0)), Some(Kind::Back));
    assert_eq!(kind(&news("n", 5, 1, Status::Alive, 1)), Some(Kind::Moved));
    assert_eq!(kind(&news("n", 5, 1, Status::Dead, 1)), Some(Kind::Dead));
    assert_eq!(kind(&news("n", 5, 1, Status::Alive, 1)), None);
    assert_eq!(kind(&news("n", 5, 2, Status::Alive, 1)), Some(Kind::Back));
    assert_eq!(
        kind(&news("n", 6, 0, Status::Alive, 1)),
        Some(Kind::Replaced)
    );
    assert_eq!(kind(&news("n", 6, 0, Status::Left, 1)), Some(Kind::Left));
    assert_eq!(kind(&news("n", 7, 0, Status::Alive, 0)), Some(Kind::Joined));
}

#[test]
fn news_without_details_is_taken_only_where_these_are_known() {
    let mut view = View::new(1 << 20, None);
    let brief = |birth, bump, revision| News {
        name: String::new(),
        told: vec![],
        ..news("n", birth, bump, Status::Alive, revision)
    };
    assert_eq!(view.merge(0, &brief(1, 0, 0)), Merged::Wanted);
    let _ = view.merge(0, &news("n", 1, 0, Status::Alive, 0));
    assert!(matches!(view.merge(0, &brief(1, 1, 0)), Merged::Changed(_)));
    assert_eq!(view.merge(0, &brief(1, 1, 1)), Merged::Wanted);
    assert_eq!(view.merge(0, &brief(2, 0, 0)), Merged::Wanted);
    assert_eq!(view.merge(0, &brief(1, 0, 0)), Merged::Older);
    let named = News {
        name: "other".into(),
        ..news("x", 1, 0, Status::Alive, 0)
    };
    assert_eq!(view.merge(0, &named), Merged::Odd(Odd::BadName));
}

/// With no room left the gone make way, the zones' last ones at the very end; the present never
/// do.
#[test]
fn a_full_view_forgets_the_gone_and_nobody_else() {
    let mut view = View::new(10 * ENTRY_USUAL, None);
    let mut names = 0;
    while view.merge(0, &news(&format!("n{names:03}"), 1, 0, Status::Alive, 0)) != Merged::Full {
        names += 1;
    }
    assert!(names >= 10 && view.bytes() <= 10 * ENTRY_USUAL, "{names}");
    for n in 0..3 {
        view.set(n, Key::of(&format!("n{n:03}")), Status::Dead);
    }
    let more = |view: &mut View, n: usize| {
        view.merge(9, &news(&format!("m{n:03}"), 1, 0, Status::Alive, 0))
    };
    for n in 0..3 {
        assert!(matches!(more(&mut view, n), Merged::Changed(_)));
    }
    assert_eq!(more(&mut view, 3), Merged::Full);
    assert_eq!(
        view.counts(),
        Counts {
            alive: names,
            ..Counts::default()
        }
    );
}

#[test]
fn the_gone_are_forgotten_after_their_time() {
    let mut view = View::new(1 << 20, None);
    for (name, status) in [
        ("n1", Status::Dead),
        ("n2", Status::Left),
        ("n3", Status::Suspect),
    ] {
        let _ = view.merge(0, &news(name, 1, 0, Status::Alive, 0));
        view.set(5, Key::of(name), status);
    }
    assert_eq!((view.forget(9, 5), view.forget(10, 5)), (0, 2));
    assert_eq!(view.iter().count(), 1);
}
