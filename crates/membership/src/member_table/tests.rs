use super::*;
use crate::history::ChangeKind;
use crate::member::Phase;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

fn update(
    name: &str,
    started_unix_ms: u64,
    refutation: u32,
    liveness: Liveness,
    revision: u32,
) -> MemberUpdate {
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
        started_unix_ms,
        incarnation: started_unix_ms,
        refutation,
        liveness: liveness.number(),
        revision,
        name: name.into(),
        details: details.encoded().to_vec(),
        suspected_by: 0,
    }
}

/// Returns the contents of a table without the times of its changes.
fn contents(member_table: &MemberTable) -> Vec<(MemberKey, Epoch, LivenessState, u32, SocketAddr)> {
    member_table
        .iter()
        .map(|(k, e)| (k, e.epoch, e.liveness_state, e.revision, e.details.address))
        .collect()
}

/// Updates may arrive in any order and repeatedly: tables that have merged the same updates must be
/// equal. The members are made known first, because a table does not record unknown members that
/// are gone.
#[test]
fn the_order_of_updates_does_not_matter() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let first: Vec<MemberUpdate> = ["n1", "n22"]
            .iter()
            .map(|n| update(n, 1, 0, Liveness::Alive, 0))
            .collect();
        let mut sent = Vec::new();
        for _ in 0..12 {
            let name = ["n1", "n22"][rng.random_range(0..2)];
            let liveness = [
                Liveness::Alive,
                Liveness::Suspect,
                Liveness::Dead,
                Liveness::Left,
            ];
            let (started_unix_ms, refutation) = (rng.random_range(1..3), rng.random_range(0..3));
            sent.push(update(
                name,
                started_unix_ms,
                refutation,
                liveness[rng.random_range(0..4)],
                rng.random_range(0..3),
            ));
        }
        let mut tables = Vec::new();
        for _ in 0..4 {
            let mut member_table = MemberTable::new(1 << 20, None);
            let mut versions: BTreeMap<MemberKey, (Epoch, LivenessState)> = BTreeMap::new();
            sent.shuffle(&mut rng);
            for update in first.iter().chain(&sent).chain(&sent[..6]) {
                let _ = member_table.merge(0, update);
                for (key, entry) in member_table.iter() {
                    let version = (entry.epoch, entry.liveness_state);
                    let before = versions.insert(key, version).unwrap_or_default();
                    assert!(before <= version, "seed {seed}: a member's state decreased");
                }
            }
            let (n, sum) = member_table.range_digest(0..=u64::MAX);
            assert_eq!(
                (n, sum),
                (member_table.counts().present(), member_table.digest()),
                "seed {seed}"
            );
            tables.push((
                contents(&member_table),
                member_table.digest(),
                member_table.slice_digests(8),
            ));
        }
        assert!(
            tables.windows(2).all(|two| two[0] == two[1]),
            "seed {seed}: {tables:#?}"
        );
    }
}

#[test]
fn changes_have_the_kind_that_operators_see() {
    let mut member_table = MemberTable::new(1 << 20, None);
    let mut kind = |n: &MemberUpdate| match member_table.merge(0, n) {
        MergeOutcome::Changed(change) => change.kind(),
        _ => None,
    };
    assert_eq!(
        kind(&update("n", 5, 0, Liveness::Alive, 0)),
        Some(ChangeKind::Joined)
    );
    assert_eq!(
        kind(&update("n", 5, 0, Liveness::Suspect, 0)),
        Some(ChangeKind::Suspect)
    );
    assert_eq!(
        kind(&update("n", 5, 1, Liveness::Alive, 0)),
        Some(ChangeKind::Back)
    );
    assert_eq!(
        kind(&update("n", 5, 1, Liveness::Alive, 1)),
        Some(ChangeKind::Moved)
    );
    assert_eq!(
        kind(&update("n", 5, 1, Liveness::Dead, 1)),
        Some(ChangeKind::Dead)
    );
    assert_eq!(kind(&update("n", 5, 1, Liveness::Alive, 1)), None);
    assert_eq!(
        kind(&update("n", 5, 2, Liveness::Alive, 1)),
        Some(ChangeKind::Back)
    );
    assert_eq!(
        kind(&update("n", 6, 0, Liveness::Alive, 1)),
        Some(ChangeKind::Replaced)
    );
    assert_eq!(
        kind(&update("n", 6, 0, Liveness::Left, 1)),
        Some(ChangeKind::Left)
    );
    assert_eq!(
        kind(&update("n", 7, 0, Liveness::Alive, 0)),
        Some(ChangeKind::Joined)
    );
}

#[test]
fn updates_without_details_are_merged_only_if_the_details_are_known() {
    let mut member_table = MemberTable::new(1 << 20, None);
    let header_update = |started_unix_ms, refutation, revision| MemberUpdate {
        name: String::new(),
        details: vec![],
        ..update("n", started_unix_ms, refutation, Liveness::Alive, revision)
    };
    assert_eq!(
        member_table.merge(0, &header_update(1, 0, 0)),
        MergeOutcome::DetailsWanted
    );
    let _ = member_table.merge(0, &update("n", 1, 0, Liveness::Alive, 0));
    assert!(matches!(
        member_table.merge(0, &header_update(1, 1, 0)),
        MergeOutcome::Changed(_)
    ));
    assert_eq!(
        member_table.merge(0, &header_update(1, 1, 1)),
        MergeOutcome::DetailsWanted
    );
    assert_eq!(
        member_table.merge(0, &header_update(2, 0, 0)),
        MergeOutcome::DetailsWanted
    );
    assert_eq!(
        member_table.merge(0, &header_update(1, 0, 0)),
        MergeOutcome::Older
    );
    let named = MemberUpdate {
        name: "other".into(),
        ..update("x", 1, 0, Liveness::Alive, 0)
    };
    assert_eq!(
        member_table.merge(0, &named),
        MergeOutcome::DetailsError(DetailsError::BadName)
    );
}

/// A full table must forget members that are gone to make room for new ones, and never a present
/// member.
#[test]
fn a_full_table_forgets_only_members_that_are_gone() {
    let mut member_table = MemberTable::new(10 * TYPICAL_ENTRY_BYTES, None);
    let mut added = 0;
    while member_table.merge(
        0,
        &update(&format!("n{added:03}"), 1, 0, Liveness::Alive, 0),
    ) != MergeOutcome::Full
    {
        added += 1;
    }
    assert!(
        added >= 10 && member_table.bytes() <= 10 * TYPICAL_ENTRY_BYTES,
        "{added}"
    );
    for n in 0..3 {
        member_table.mark(n, MemberKey::of(&format!("n{n:03}")), Liveness::Dead);
    }
    let merge_new = |member_table: &mut MemberTable, n: usize| {
        member_table.merge(9, &update(&format!("m{n:03}"), 1, 0, Liveness::Alive, 0))
    };
    for n in 0..3 {
        assert!(matches!(
            merge_new(&mut member_table, n),
            MergeOutcome::Changed(_)
        ));
    }
    assert_eq!(merge_new(&mut member_table, 3), MergeOutcome::Full);
    assert_eq!(
        member_table.counts(),
        MemberCounts {
            alive: added,
            ..MemberCounts::default()
        }
    );
}

#[test]
fn gone_members_are_forgotten_after_the_retention_time() {
    let mut member_table = MemberTable::new(1 << 20, None);
    for (name, liveness) in [
        ("n1", Liveness::Dead),
        ("n2", Liveness::Left),
        ("n3", Liveness::Suspect),
    ] {
        let _ = member_table.merge(0, &update(name, 1, 0, Liveness::Alive, 0));
        member_table.mark(5, MemberKey::of(name), liveness);
    }
    assert_eq!(
        (
            member_table.forget_gone(9, 5),
            member_table.forget_gone(10, 5)
        ),
        (0, 2)
    );
    assert_eq!(member_table.iter().count(), 1);
}
