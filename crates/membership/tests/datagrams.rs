//! Datagrams from outside: from sources without the keys, from another cluster, of later versions,
//! and with a valid MAC but nonsensical content. The node must not panic, must not accept anything
//! without a valid MAC, and must not reply to dropped datagrams.

use madderpoint_membership::FeatureToggles;
use madderpoint_membership::datagram_auth::{AuthKeys, DatagramAuth};
use madderpoint_membership::member::{Incarnation, Liveness, MemberDetails, MemberKey, Phase};
use madderpoint_membership::messages::{Datagram, MemberUpdate, Summary, kind};
use madderpoint_membership::{ClockReading, ClusterView, Config, Host, Membership, Nanos, Timing};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

const S: Nanos = 1_000_000_000;
const UNIX: u64 = 1_800_000_000_000;

#[derive(Default)]
struct RecordingHost(Vec<(SocketAddr, Vec<u8>)>, Vec<(MemberKey, u32, Vec<u8>)>);

impl Host for RecordingHost {
    fn send(&mut self, to: SocketAddr, frame: &[u8]) {
        assert!(frame.len() <= 1400);
        self.0.push((to, frame.to_vec()));
    }
    fn log(&mut self, _: &'static str, _: &str) {}
    fn cluster_view_changed(&mut self, _: &ClusterView) {}
    fn payload_received(&mut self, from: MemberKey, _: Incarnation, topic: u32, payload: &[u8]) {
        self.1.push((from, topic, payload.to_vec()));
    }
}

fn keys(byte: u8) -> AuthKeys {
    AuthKeys::new(&[vec![byte; 32]]).unwrap()
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 7946))
}

fn node(cluster: &str, n: u8, key: u8) -> Membership<RecordingHost> {
    let settings = Config {
        cluster_name: cluster.into(),
        name: format!("n{n}"),
        zone: "a".into(),
        address: address(n),
        seeds: vec![address(1)],
        keys: keys(key),
        timing: Timing::default(),
        program: "0.1.0".into(),
        settings: (1, 1),
        bytes: 1 << 20,
        features: FeatureToggles::default(),
    };
    Membership::new(settings, u64::from(n), at(0), RecordingHost::default()).unwrap()
}

fn at(now: Nanos) -> ClockReading {
    ClockReading {
        now: S + now,
        unix_ms: UNIX + now / 1_000_000,
    }
}

fn full_update(
    name: &str,
    n: u8,
    started_unix_ms: u64,
    refutation: u32,
    liveness: Liveness,
) -> MemberUpdate {
    let details =
        MemberDetails::new(address(n), "a", Phase::Serving, "1", (1, 1), (0, 0), vec![]).unwrap();
    MemberUpdate {
        key: MemberKey::of(name).0,
        started_unix_ms,
        incarnation: started_unix_ms,
        refutation,
        liveness: liveness as u32,
        revision: 0,
        name: name.into(),
        details: details.encoded().to_vec(),
        suspected_by: 0,
    }
}

fn no_invariant_failed(membership: &Membership<RecordingHost>) {
    assert!(
        membership
            .counters()
            .keys()
            .all(|counter| !counter.starts_with("invariant")),
        "{:?}",
        membership.counters()
    );
}

#[test]
fn dropped_datagrams_are_counted_and_get_no_reply() {
    let mut membership = node("f", 2, 1);
    let ping = Datagram {
        from: 9,
        kind: kind::PING,
        updates: vec![full_update("n9", 9, 1, 0, Liveness::Alive)],
        ..Datagram::default()
    };
    let ping = ping.encode_to_vec();
    let mut other_cluster = DatagramAuth::new("g", keys(1), Incarnation(5), 600 * S, 9);
    let mut wrong_key = DatagramAuth::new("f", keys(2), Incarnation(6), 600 * S, 9);
    let mut sender = DatagramAuth::new("f", keys(1), Incarnation(7), 600 * S, 9);
    let frames = [
        (b"hello".to_vec(), "datagrams that are none of a fleet"),
        (
            other_cluster.seal(UNIX, &ping),
            "datagrams of another fleet",
        ),
        (
            wrong_key.seal(UNIX, &ping),
            "datagrams under an unknown key",
        ),
        (
            sender.seal(UNIX + 3_600_000, &ping),
            "datagrams from a clock too far away",
        ),
        (
            sender.seal(UNIX, b"\xff\xff\xff"),
            "datagrams that can't be read",
        ),
    ];
    for (frame, counter) in frames {
        membership.on_datagram(at(0), address(9), &frame);
        assert_eq!(
            membership.counters().get(counter),
            Some(&1),
            "{:?}",
            membership.counters()
        );
    }
    assert!(membership.host.0.is_empty() && membership.member_table().counts().present() == 1);
    let frame = sender.seal(UNIX, &ping);
    membership.on_datagram(at(0), address(9), &frame);
    assert_eq!(
        (
            membership.host.0.len(),
            membership.member_table().counts().present()
        ),
        (1, 2)
    );
    membership.on_datagram(at(0), address(9), &frame);
    assert_eq!(
        membership.counters().get("datagrams that came before"),
        Some(&1)
    );
    assert_eq!(membership.host.0.len(), 1);
}

#[test]
fn a_flood_from_unknown_sources_is_dropped_by_the_rate_limit() {
    let mut membership = node("f", 2, 1);
    for n in 0..20_000u32 {
        membership.on_datagram(
            at(0),
            address((n % 200) as u8),
            &[b'm', b'f', 1, 0, 1, 2, 3],
        );
    }
    assert!(
        membership.counters()["datagrams beyond the rate"] >= 19_000,
        "{:?}",
        membership.counters()
    );
}

/// A later version adds a kind, fields, a liveness and a phase. The node must use the parts that it
/// knows, skip the others, and pass on details with unknown fields unchanged.
#[test]
fn known_parts_of_datagrams_of_a_later_version_are_used() {
    let mut membership = node("f", 2, 1);
    let mut sender = DatagramAuth::new("f", keys(1), Incarnation(7), 600 * S, 9);
    let mut update = full_update("n9", 9, 1, 0, Liveness::Alive);
    update
        .details
        .extend([0x18, 0x07, 0xfa, 0x01, 0x03, b'n', b'e', b'w']); // phase 7, and a field 31
    let mut bad_liveness = full_update("n8", 8, 1, 0, Liveness::Alive);
    bad_liveness.liveness = 9;
    let datagram = Datagram {
        from: update.key,
        kind: 77,
        updates: vec![update.clone(), bad_liveness],
        ..Datagram::default()
    };
    let mut message = datagram.encode_to_vec();
    message.extend([0xaa, 0x06, 0x02, b'h', b'i']); // a field 101
    membership.on_datagram(at(0), address(9), &sender.seal(UNIX, &message));
    assert_eq!(
        membership
            .counters()
            .get("datagrams of a kind that is not known"),
        Some(&1)
    );
    let entry = membership.member_table().get(MemberKey::of("n9")).unwrap();
    assert_eq!(
        (entry.details.phase, entry.details.encoded()),
        (Phase::Serving, &update.details[..])
    );
    assert!(membership.member_table().get(MemberKey::of("n8")).is_none());
    // The details are passed on unchanged.
    membership.host.0.clear();
    let ask = Datagram {
        kind: kind::ENTRIES,
        wants: vec![update.key],
        ..Datagram::default()
    };
    membership.on_datagram(at(0), address(9), &sender.seal(UNIX, &ask.encode_to_vec()));
    let (_, frame) = membership.host.0.pop().unwrap();
    assert!(
        frame
            .windows(update.details.len())
            .any(|w| w == update.details)
    );
}

/// Datagrams with a valid MAC and random content: fields of any value, updates about any member
/// with any liveness, reversed ranges. The node must not panic, must send only datagrams within the
/// size limit, and must keep its name or report the conflict.
#[test]
fn authenticated_nonsense_does_no_harm() {
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut membership = node("f", 2, 1);
        let mut sender = DatagramAuth::new("f", keys(1), Incarnation(7), 600 * S, 9);
        let mut now = 0;
        for _ in 0..300 {
            now += rng.random_range(0..300_000_000);
            let mut updates = Vec::new();
            for _ in 0..rng.random_range(0..6) {
                let n = rng.random_range(1..6u8);
                let mut update = full_update(
                    &format!("n{n}"),
                    n,
                    rng.random_range(0..4),
                    rng.random_range(0..4),
                    Liveness::Alive,
                );
                update.liveness = rng.random_range(0..6);
                update.revision = rng.random_range(0..3);
                if rng.random_bool(0.3) {
                    update
                        .details
                        .truncate(rng.random_range(0..=update.details.len()));
                }
                if rng.random_bool(0.2) {
                    update.name = String::new();
                }
                if rng.random_bool(0.1) {
                    (update.started_unix_ms, update.refutation) = (u64::MAX - 1, u32::MAX);
                }
                updates.push(update);
            }
            let edge_value =
                |rng: &mut Pcg64Mcg| [0, 1, rng.random(), u64::MAX][rng.random_range(0..4)];
            let summary = Summary {
                from: edge_value(&mut rng),
                to: edge_value(&mut rng),
                digests: vec![3; rng.random_range(0..600)],
            };
            let datagram = Datagram {
                from: [0, MemberKey::of("n3").0, MemberKey::of("n2").0][rng.random_range(0..3)],
                kind: rng.random_range(0..12),
                number: rng.random_range(0..5),
                target: [
                    0,
                    MemberKey::of("n2").0,
                    MemberKey::of("n4").0,
                    rng.random(),
                ][rng.random_range(0..4)],
                digest: rng.random(),
                updates,
                load_hints: vec![rng.random(); rng.random_range(0..70)],
                summaries: if rng.random_bool(0.3) {
                    vec![summary]
                } else {
                    vec![]
                },
                covered: vec![],
                wants: vec![rng.random(), MemberKey::of("n2").0],
                report: None,
                cursor: edge_value(&mut rng),
                topic: rng.random(),
                payload: vec![5; rng.random_range(0..200)],
            };
            let mut message = datagram.encode_to_vec();
            if rng.random_bool(0.2) && !message.is_empty() {
                let position = rng.random_range(0..message.len());
                message[position] ^= 1 << rng.random_range(0..8);
            }
            if message.len() < 1300 {
                membership.on_datagram(
                    at(now),
                    address(9),
                    &sender.seal(UNIX + now / 1_000_000, &message),
                );
            }
            if membership.next_wake() <= at(now).now {
                membership.wake(at(now));
            }
        }
        no_invariant_failed(&membership);
        // The node either holds its name or reports that another process holds it.
        let own = membership.member_table().get(MemberKey::of("n2")).unwrap();
        let (_, incarnation) = membership.identity();
        assert!(
            own.epoch.incarnation == incarnation || membership.has_name_conflict(),
            "seed {seed}: {own:?}"
        );
    }
}

/// A datagram that is truncated at any byte or has any bit flipped must be dropped and change
/// nothing.
#[test]
fn truncated_and_corrupted_datagrams_are_dropped() {
    let mut membership = node("f", 2, 1);
    let mut sender = DatagramAuth::new("f", keys(1), Incarnation(7), 600 * S, 9);
    let datagram = Datagram {
        from: MemberKey::of("n9").0,
        kind: kind::PING,
        updates: vec![full_update("n9", 9, 1, 0, Liveness::Alive)],
        ..Datagram::default()
    };
    let frame = sender.seal(UNIX, &datagram.encode_to_vec());
    let mut now = 0;
    for position in 0..frame.len() {
        for bit in 0..8 {
            let mut frame = frame.clone();
            frame[position] ^= 1 << bit;
            now += 10_000_000; // so that the rate limit does not hide an accepted datagram
            membership.on_datagram(at(now), address(9), &frame);
        }
        membership.on_datagram(at(now), address(9), &frame[..position]);
    }
    assert_eq!(
        (
            membership.member_table().counts().present(),
            membership.host.0.len()
        ),
        (1, 0)
    );
}

/// A payload must be delivered once, only from a known member and only to its recipient. A payload
/// that is too large must not be sent.
#[test]
fn payloads_are_delivered_once_between_known_members() {
    let (mut a, mut b) = (node("f", 1, 1), node("f", 2, 1));
    assert!(!a.send_payload(at(0), MemberKey::of("n2"), 7, b"who?"));
    let introduced = a.introduction().unwrap();
    b.preload(at(0), &[introduced]);
    let introduced = b.introduction().unwrap();
    a.preload(at(0), &[introduced]);
    assert!(a.send_payload(at(0), MemberKey::of("n2"), 7, b"hello"));
    assert!(!a.send_payload(at(0), MemberKey::of("n2"), 7, &[0; 1300]));
    let (to, frame) = a.host.0.pop().unwrap();
    assert_eq!(to, address(2));
    b.on_datagram(at(0), address(1), &frame);
    b.on_datagram(at(0), address(1), &frame);
    assert_eq!(b.host.1, [(MemberKey::of("n1"), 7, b"hello".to_vec())]);
    let mut c = node("f", 3, 1);
    c.on_datagram(at(0), address(1), &frame);
    assert_eq!(
        (
            c.host.1.len(),
            c.counters().get("payloads of unknown members")
        ),
        (0, Some(&1))
    );
}

/// The seeds of two clusters were mixed up, so that a node contacts a seed of the other cluster.
/// Neither cluster may add nodes of the other one or reply to them.
#[test]
fn two_clusters_that_share_a_seed_stay_separate() {
    // Both nodes have the same keys, and n1 of "f" as their seed.
    let (mut a, mut b) = (node("f", 2, 1), node("g", 3, 1));
    let mut seed = node("f", 1, 1);
    for step in 1..200u64 {
        let now = at(step * 50_000_000);
        for membership in [&mut seed, &mut a, &mut b] {
            if membership.next_wake() <= now.now {
                membership.wake(now);
            }
        }
        let mut sent: Vec<(SocketAddr, SocketAddr, Vec<u8>)> = Vec::new();
        for (from, membership) in [(1, &mut seed), (2, &mut a), (3, &mut b)] {
            sent.extend(
                membership
                    .host
                    .0
                    .drain(..)
                    .map(|(to, frame)| (address(from), to, frame)),
            );
        }
        for (from, to, frame) in sent {
            assert!(
                from != address(1) || to != address(3),
                "no reply to the other cluster"
            );
            let memberships = [(1, &mut seed), (2, &mut a), (3, &mut b)];
            for (_, membership) in memberships.into_iter().filter(|(n, _)| address(*n) == to) {
                membership.on_datagram(now, from, &frame);
            }
        }
    }
    let present =
        |membership: &Membership<RecordingHost>| membership.member_table().counts().present();
    assert_eq!((present(&seed), present(&a), present(&b)), (2, 2, 1));
    assert!(seed.counters()["datagrams of another fleet"] > 5);
}
