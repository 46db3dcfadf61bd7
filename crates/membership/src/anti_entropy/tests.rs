use super::*;
use crate::member::{MemberDetails, Phase};
use crate::member_table::MergeOutcome;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

fn update(n: usize, refutation: u32, liveness: Liveness) -> MemberUpdate {
    let (name, address) = (format!("n{n}"), SocketAddr::from(([127, 0, 0, 1], 1000)));
    let details =
        MemberDetails::new(address, "a", Phase::Serving, "1", (1, 1), (0, 0), vec![]).unwrap();
    let key = MemberKey::of(&name).0;
    let details = details.encoded().to_vec();
    MemberUpdate {
        key,
        started_unix_ms: 1,
        incarnation: 1,
        refutation,
        liveness: liveness.number(),
        revision: 0,
        name,
        details,
        suspected_by: 0,
    }
}

#[test]
fn slices_cover_a_range_without_gaps() {
    for (from, to, n) in [
        (0, u64::MAX, 64),
        (0, u64::MAX, 1),
        (5, 7, 64),
        (9, 9, 4),
        (1 << 40, 1 << 41, 32),
    ] {
        let all: Vec<_> = slices(from, to, n).collect();
        assert_eq!((all[0].0, all[all.len() - 1].1), (from, to));
        assert!(
            all.windows(2)
                .all(|two| two[0].1 + 1 == two[1].0 && two[0].0 <= two[0].1),
            "{all:?}"
        );
    }
}

#[test]
fn cached_slice_digests_equal_the_range_digests() {
    let mut member_table = MemberTable::new(64 << 20, None);
    for n in 0..700 {
        let _ = member_table.merge(0, &update(n, 0, Liveness::Alive));
    }
    for members in [1, 5, 30, 100, 700] {
        let n = slices_for(members);
        let digests: Vec<u64> = slices(0, u64::MAX, n)
            .map(|(from, to)| member_table.range_digest(from..=to).1)
            .collect();
        assert_eq!(member_table.slice_digests(n), digests);
    }
}

/// Two member tables with random differences must become equal by anti-entropy alone, and the
/// number of entries sent must stay within about two for each member.
#[test]
fn two_tables_converge_whatever_differs() {
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let members = [0, 1, 3, 40, 300, 1500][rng.random_range(0..6)];
        let differ = rng.random_range(0.0..1.0f64).powi(3);
        let (mut a, mut b) = (
            MemberTable::new(64 << 20, None),
            MemberTable::new(64 << 20, None),
        );
        for n in 0..members {
            for member_table in [&mut a, &mut b] {
                if rng.random_bool(differ) {
                    match rng.random_range(0..4) {
                        0 => continue,
                        1 => drop(member_table.merge(0, &update(n, 1, Liveness::Alive))),
                        2 => {
                            let _ = member_table.merge(0, &update(n, 0, Liveness::Alive));
                            member_table.mark(0, MemberKey::of(&format!("n{n}")), Liveness::Dead);
                        }
                        _ => {
                            let _ = member_table
                                .merge(0, &update(n, rng.random_range(0..3), Liveness::Suspect));
                        }
                    }
                } else {
                    let _ = member_table.merge(0, &update(n, 0, Liveness::Alive));
                }
            }
        }
        let (mut rounds, mut entries_sent) = (0, 0);
        let mut pending = vec![(false, summary(&a))]; // true: sent by `b`
        while a.digest() != b.digest() {
            rounds += 1;
            assert!(
                rounds < 20,
                "seed {seed}: {members} members, {differ} differ"
            );
            for (from_b, summary) in std::mem::take(&mut pending) {
                let (receiver, sender) = if from_b {
                    (&mut a, &mut b)
                } else {
                    (&mut b, &mut a)
                };
                let reply = reply_to_summary(receiver, &summary, rng.random_range(0..64));
                pending.extend(
                    reply
                        .summaries
                        .into_iter()
                        .map(|summary| (!from_b, summary)),
                );
                let listed: Vec<MemberUpdate> = reply
                    .covered
                    .iter()
                    .flat_map(|range| headers(receiver, range))
                    .collect();
                let (mut answers, mut wants) = (Vec::new(), Vec::new());
                for update in &listed {
                    let _ = sender.merge(0, update);
                }
                let found = differences(sender, &reply.covered, &listed);
                answers.extend(
                    found
                        .complete
                        .iter()
                        .map(|key| sender.get(*key).unwrap().full_update(*key)),
                );
                answers.extend(
                    found
                        .headers
                        .iter()
                        .map(|key| sender.get(*key).unwrap().header_update(*key)),
                );
                wants.extend(
                    found
                        .wants
                        .iter()
                        .filter_map(|key| Some(receiver.get(*key)?.full_update(*key))),
                );
                entries_sent += answers.len() + wants.len();
                for update in &answers {
                    // A node that receives an outdated update replies with its own state.
                    if receiver.merge(0, update) == MergeOutcome::Older {
                        let _ = sender.merge(
                            0,
                            &receiver
                                .get(MemberKey(update.key))
                                .unwrap()
                                .header_update(MemberKey(update.key)),
                        );
                    }
                }
                for update in &wants {
                    let _ = sender.merge(0, update);
                }
            }
            if pending.is_empty() {
                pending.push((
                    rounds % 2 == 0,
                    summary(if rounds % 2 == 0 { &b } else { &a }),
                ));
            }
        }
        assert!(
            entries_sent <= 2 * members + 2,
            "seed {seed}: {entries_sent} entries sent for {members} members"
        );
    }
}

#[test]
fn malformed_summaries_and_ranges_get_empty_replies() {
    let mut member_table = MemberTable::new(64 << 20, None);
    for n in 0..20 {
        let _ = member_table.merge(0, &update(n, 0, Liveness::Alive));
    }
    for (from, to, digests) in [
        (9, 3, 64),
        (0, 9, 0),
        (0, u64::MAX, 13),
        (0, u64::MAX, 8 * 300),
    ] {
        let reply = reply_to_summary(
            &member_table,
            &Summary {
                from,
                to,
                digests: vec![1; digests],
            },
            0,
        );
        assert!(reply.covered.is_empty() && reply.summaries.is_empty());
    }
    assert!(headers(&member_table, &Range { from: 9, to: 3 }).is_empty());
    assert!(
        differences(&member_table, &[Range { from: 9, to: 3 }], &[])
            .complete
            .is_empty()
    );
}
