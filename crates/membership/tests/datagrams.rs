//! What comes from outside: strangers, another fleet, later versions, and datagrams that are good
//! by their MAC and make no sense. Nothing panics, nothing is believed without its MAC, and no
//! answer goes to what was dropped.

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
struct Sent(Vec<(SocketAddr, Vec<u8>)>, Vec<(MemberKey, u32, Vec<u8>)>);

impl Host for Sent {
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

fn node(fleet: &str, n: u8, key: u8) -> Membership<Sent> {
    let settings = Config {
        cluster_name: fleet.into(),
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
    Membership::new(settings, u64::from(n), at(0), Sent::default()).unwrap()
}

fn at(now: Nanos) -> ClockReading {
    ClockReading {
        now: S + now,
        unix_ms: UNIX + now / 1_000_000,
    }
}

fn full(
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

fn no_invariant_failed(fleet: &Membership<Sent>) {
    assert!(
        fleet
            .counters()
            .keys()
            .all(|what| !what.starts_with("invariant")),
        "{:?}",
        fleet.counters()
    );
}

#[test]
fn what_is_dropped_is_counted_and_never_answered() {
    let mut fleet = node("f", 2, 1);
    let ping = Datagram {
        from: 9,
        kind: kind::PING,
        updates: vec![full("n9", 9, 1, 0, Liveness::Alive)],
        ..Datagram::default()
    };
    let ping = ping.encode_to_vec();
    let mut other = DatagramAuth::new("g", keys(1), Incarnation(5), 600 * S, 9);
    let mut wrong_key = DatagramAuth::new("f", keys(2), Incarnation(6), 600 * S, 9);
    let mut far = DatagramAuth::new("f", keys(1), Incarnation(7), 600 * S, 9);
    let frames = [
        (b"hello".to_vec(), "datagrams that are none of a fleet"),
        (other.seal(UNIX, &ping), "datagrams of another fleet"),
        (
            wrong_key.seal(UNIX, &ping),
            "datagrams under an unknown key",
        ),
        (
            far.seal(UNIX + 3_600_000, &ping),
            "datagrams from a clock too far away",
        ),
        (
            far.seal(UNIX, b"\xff\xff\xff"),
            "datagrams that can't be read",
        ),
    ];
    for (frame, what) in frames {
        fleet.on_datagram(at(0), address(9), &frame);
        assert_eq!(
            fleet.counters().get(what),
            Some(&1),
            "{:?}",
            fleet.counters()
        );
    }
    assert!(fleet.host.0.is_empty() && fleet.member_table().counts().present() == 1);
    let frame = far.seal(UNIX, &ping);
    fleet.on_datagram(at(0), address(9), &frame);
    assert_eq!(
        (fleet.host.0.len(), fleet.member_table().counts().present()),
        (1, 2)
    );
    fleet.on_datagram(at(0), address(9), &frame);
    assert_eq!(fleet.counters().get("datagrams that came before"), Some(&1));
    assert_eq!(fleet.host.0.len(), 1);
}

#[test]
fn a_flood_of_strangers_is_not_even_looked_at() {
    let mut fleet = node("f", 2, 1);
    for n in 0..20_000u32 {
        fleet.on_datagram(
            at(0),
            address((n % 200) as u8),
            &[b'm', b'f', 1, 0, 1, 2, 3],
        );
    }
    assert!(
        fleet.counters()["datagrams beyond the rate"] >= 19_000,
        "{:?}",
        fleet.counters()
    );
}

/// A later version adds a kind, fields, a status and a phase: what is known of it is used, the rest
/// passed over or passed on.
#[test]
fn datagrams_of_a_later_version_are_read_as_far_as_they_are_known() {
    let mut fleet = node("f", 2, 1);
    let mut seal = DatagramAuth::new("f", keys(1), Incarnation(7), 600 * S, 9);
    let mut updates = full("n9", 9, 1, 0, Liveness::Alive);
    updates
        .details
        .extend([0x18, 0x07, 0xfa, 0x01, 0x03, b'n', b'e', b'w']); // phase 7, and a field 31
    let mut error = full("n8", 8, 1, 0, Liveness::Alive);
    error.liveness = 9;
    let datagram = Datagram {
        from: updates.key,
        kind: 77,
        updates: vec![updates.clone(), error],
        ..Datagram::default()
    };
    let mut message = datagram.encode_to_vec();
    message.extend([0xaa, 0x06, 0x02, b'h', b'i']); // a field 101
    fleet.on_datagram(at(0), address(9), &seal.seal(UNIX, &message));
    assert_eq!(
        fleet
            .counters()
            .get("datagrams of a kind that is not known"),
        Some(&1)
    );
    let entry = fleet.member_table().get(MemberKey::of("n9")).unwrap();
    assert_eq!(
        (entry.details.phase, entry.details.encoded()),
        (Phase::Serving, &updates.details[..])
    );
    assert!(fleet.member_table().get(MemberKey::of("n8")).is_none());
    // It goes on to others as it came.
    fleet.host.0.clear();
    let ask = Datagram {
        kind: kind::ENTRIES,
        wants: vec![updates.key],
        ..Datagram::default()
    };
    fleet.on_datagram(at(0), address(9), &seal.seal(UNIX, &ask.encode_to_vec()));
    let (_, frame) = fleet.host.0.pop().unwrap();
    assert!(
        frame
            .windows(updates.details.len())
            .any(|w| w == updates.details)
    );
}

/// Good by their MAC, and nonsense: fields of any value, news of anybody in any standing, ranges
/// that go backwards. The node lives, sends within its bounds, and holds on to its name.
#[test]
fn sealed_nonsense_is_survived() {
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = node("f", 2, 1);
        let mut seal = DatagramAuth::new("f", keys(1), Incarnation(7), 600 * S, 9);
        let mut now = 0;
        for _ in 0..300 {
            now += rng.random_range(0..300_000_000);
            let mut updates = Vec::new();
            for _ in 0..rng.random_range(0..6) {
                let n = rng.random_range(1..6u8);
                let mut one = full(
                    &format!("n{n}"),
                    n,
                    rng.random_range(0..4),
                    rng.random_range(0..4),
                    Liveness::Alive,
                );
                one.liveness = rng.random_range(0..6);
                one.revision = rng.random_range(0..3);
                if rng.random_bool(0.3) {
                    one.details
                        .truncate(rng.random_range(0..=one.details.len()));
                }
                if rng.random_bool(0.2) {
                    one.name = String::new();
                }
                if rng.random_bool(0.1) {
                    (one.started_unix_ms, one.refutation) = (u64::MAX - 1, u32::MAX);
                }
                updates.push(one);
            }
            let any = |rng: &mut Pcg64Mcg| [0, 1, rng.random(), u64::MAX][rng.random_range(0..4)];
            let summary = Summary {
                from: any(&mut rng),
                to: any(&mut rng),
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
                cursor: any(&mut rng),
                topic: rng.random(),
                payload: vec![5; rng.random_range(0..200)],
            };
            let mut message = datagram.encode_to_vec();
            if rng.random_bool(0.2) && !message.is_empty() {
                let place = rng.random_range(0..message.len());
                message[place] ^= 1 << rng.random_range(0..8);
            }
            if message.len() < 1300 {
                fleet.on_datagram(
                    at(now),
                    address(9),
                    &seal.seal(UNIX + now / 1_000_000, &message),
                );
            }
            if fleet.next_wake() <= at(now).now {
                fleet.wake(at(now));
            }
        }
        no_invariant_failed(&fleet);
        // Either it holds its name, or it says that another has it.
        let own = fleet.member_table().get(MemberKey::of("n2")).unwrap();
        let (_, incarnation) = fleet.identity();
        assert!(
            own.epoch.incarnation == incarnation || fleet.has_name_conflict(),
            "seed {seed}: {own:?}"
        );
    }
}

/// Every cut and every bit of a whole datagram: what is not whole is dropped, and changes nothing.
#[test]
fn every_cut_and_bit_of_a_datagram() {
    let mut fleet = node("f", 2, 1);
    let mut seal = DatagramAuth::new("f", keys(1), Incarnation(7), 600 * S, 9);
    let datagram = Datagram {
        from: MemberKey::of("n9").0,
        kind: kind::PING,
        updates: vec![full("n9", 9, 1, 0, Liveness::Alive)],
        ..Datagram::default()
    };
    let frame = seal.seal(UNIX, &datagram.encode_to_vec());
    let mut now = 0;
    for place in 0..frame.len() {
        for bit in 0..8 {
            let mut frame = frame.clone();
            frame[place] ^= 1 << bit;
            now += 10_000_000; // so that the rate does not hide what would be believed
            fleet.on_datagram(at(now), address(9), &frame);
        }
        fleet.on_datagram(at(now), address(9), &frame[..place]);
    }
    assert_eq!(
        (fleet.member_table().counts().present(), fleet.host.0.len()),
        (1, 0)
    );
}

/// A parcel comes once, from one that is known, and to nobody else; one that is too large is not
/// sent.
#[test]
fn parcels_go_between_members() {
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

/// Two fleets whose seeds were mixed up: their nodes ask each other, and neither comes into the
/// other's view or gets a word.
#[test]
fn two_fleets_that_share_a_seed_stay_apart() {
    let (mut a, mut b) = (node("f", 2, 1), node("g", 3, 1)); // the same keys, and the seed of both is n1 of "f"
    let mut seed = node("f", 1, 1);
    for step in 1..200u64 {
        let now = at(step * 50_000_000);
        for fleet in [&mut seed, &mut a, &mut b] {
            if fleet.next_wake() <= now.now {
                fleet.wake(now);
            }
        }
        let mut sent: Vec<(SocketAddr, SocketAddr, Vec<u8>)> = Vec::new();
        for (from, fleet) in [(1, &mut seed), (2, &mut a), (3, &mut b)] {
            sent.extend(
                fleet
                    .host
                    .0
                    .drain(..)
                    .map(|(to, frame)| (address(from), to, frame)),
            );
        }
        for (from, to, frame) in sent {
            assert!(
                from != address(1) || to != address(3),
                "no answer to the other fleet"
            );
            let fleets = [(1, &mut seed), (2, &mut a), (3, &mut b)];
            for (_, fleet) in fleets.into_iter().filter(|(n, _)| address(*n) == to) {
                fleet.on_datagram(now, from, &frame);
            }
        }
    }
    let present = |fleet: &Membership<Sent>| fleet.member_table().counts().present();
    assert_eq!((present(&seed), present(&a), present(&b)), (2, 2, 1));
    assert!(seed.counters()["datagrams of another fleet"] > 5);
}
