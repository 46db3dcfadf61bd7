use super::*;

/// An issuer with faults, and a check that what is presented is valid at every moment.
#[derive(Default)]
struct World {
    asked: Vec<Nanos>,
    presented: Option<Svid>,
    next_timer: Nanos,
    lines: Vec<String>,
    now: Nanos,
}

impl Host for World {
    fn request_svid(&mut self) {
        self.asked.push(self.now);
    }
    fn present(&mut self, svid: Option<&Svid>) {
        self.presented = svid.cloned();
    }
    fn set_timer(&mut self, at: Nanos) {
        assert!(at > self.now, "no alarm in the past");
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

fn begin(world: &mut World, seed: u64) -> Rotation {
    world.now = START;
    Rotation::new(START, 5 * SECOND, seed, world)
}

fn run(rotation: &mut Rotation, world: &mut World, until: Nanos) {
    while world.next_timer <= until {
        world.now = world.next_timer;
        rotation.on_timer(world.now, world);
    }
    world.now = until;
}

#[test]
fn the_next_one_is_asked_for_near_half_of_its_life_and_not_by_all_at_once() {
    let mut times = Vec::new();
    for seed in 0..200 {
        let mut world = World::default();
        let mut rotation = begin(&mut world, seed);
        rotation
            .on_svid(START, svid(1, START, 3605 * SECOND), &mut world)
            .unwrap();
        assert_eq!(
            (rotation.state(), world.presented.as_ref().map(|s| s.serial)),
            (RotationState::Holding, Some(1))
        );
        run(&mut rotation, &mut world, START + 2600 * SECOND);
        times.push((world.asked[1] - START) / SECOND);
    }
    assert!(times.iter().all(|t| (1440..=2160).contains(t)), "{times:?}");
    let (least, most) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!(most - least > 600, "they are spread: {least} to {most}");
}

#[test]
fn while_the_issuer_is_away_the_last_good_one_holds_until_it_ends_and_loudly() {
    let mut world = World::default();
    let mut rotation = begin(&mut world, 3);
    rotation
        .on_svid(START, svid(1, START, 600 * SECOND), &mut world)
        .unwrap();
    world.now = START + 100 * SECOND;
    rotation.on_stream_failed(world.now, &mut world);
    assert_eq!(rotation.state(), RotationState::Orphaned);
    // Every try fails.
    let mut tries = 0;
    while world.now < START + 900 * SECOND {
        let (next_timer, asked) = (world.next_timer, world.asked.len());
        run(&mut rotation, &mut world, next_timer);
        if world.asked.len() > asked {
            tries += 1;
            rotation.on_stream_failed(world.now, &mut world);
        }
        let valid = world.now < START + 595 * SECOND;
        assert_eq!(
            world.presented.is_some(),
            valid,
            "{} s after the start",
            (world.now - START) / SECOND
        );
    }
    assert_eq!(rotation.state(), RotationState::Expired);
    assert!(
        (15..40).contains(&tries),
        "{tries} tries in 800 s: backed off, and never given up"
    );
    let logged = world
        .lines
        .iter()
        .filter(|l| l.contains("->Orphaned"))
        .count();
    assert!((7..=10).contains(&logged), "logged once a minute: {logged}");
    assert!(
        world.lines.iter().any(|l| l.contains("Orphaned->Expired")),
        "{:?}",
        world.lines
    );
    // It comes back.
    rotation
        .on_svid(world.now, svid(2, world.now, 600 * SECOND), &mut world)
        .unwrap();
    assert_eq!(
        (rotation.state(), world.presented.as_ref().map(|s| s.serial)),
        (RotationState::Holding, Some(2))
    );
}

#[test]
fn a_stream_that_says_nothing_is_made_again() {
    let mut world = World::default();
    let mut rotation = begin(&mut world, 1);
    run(&mut rotation, &mut world, START + 120 * SECOND);
    assert_eq!(rotation.state(), RotationState::Waiting);
    assert!((4..=12).contains(&world.asked.len()), "{:?}", world.asked);
}

#[test]
fn what_can_not_be_used_is_not_taken() {
    let mut world = World::default();
    let mut rotation = begin(&mut world, 1);
    let now = START;
    let mut foreign = svid(9, now, 6000 * SECOND);
    foreign.id = "spiffe://other.example/node/3".parse().unwrap();
    let backwards = Svid {
        not_after: now - 1,
        ..svid(9, now, SECOND)
    };
    assert_eq!(
        rotation.on_svid(now, svid(8, now - 700 * SECOND, 600 * SECOND), &mut world),
        Err(SvidRejection::Expired)
    );
    rotation
        .on_svid(now, svid(1, now, 600 * SECOND), &mut world)
        .unwrap();
    for (offer, why) in [
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
            rotation.on_svid(now, offer.clone(), &mut world),
            Err(why),
            "{offer:?}"
        );
        assert_eq!(world.presented.as_ref().map(|s| s.serial), Some(1));
    }
    assert!(
        rotation
            .on_svid(now, svid(5, now + 5 * SECOND, 600 * SECOND), &mut world)
            .is_ok(),
        "within the skew"
    );
    // Two at once: the one that lasts longer stays, in whichever order they come.
    assert!(
        rotation
            .on_svid(now, svid(6, now, 500 * SECOND), &mut world)
            .is_err()
    );
    assert_eq!(world.presented.as_ref().map(|s| s.serial), Some(5));
}

#[test]
fn a_short_life_is_not_eaten_up_by_the_skew() {
    let mut world = World::default();
    let mut rotation = begin(&mut world, 1);
    rotation
        .on_svid(START, svid(1, START, 4 * SECOND), &mut world)
        .unwrap();
    run(&mut rotation, &mut world, START + SECOND);
    assert!(world.presented.is_some());
    run(&mut rotation, &mut world, START + 2 * SECOND);
    assert!(
        world.presented.is_none(),
        "half of it is left for clocks that differ"
    );
}

/// Simulated hours with an issuer that fails, is late, sends old ones and goes away, over many
/// seeds: what is presented is valid at every moment, something valid is presented whenever
/// there is one, and asking never becomes a storm.
#[test]
fn hours_with_a_faulty_issuer_never_present_what_is_not_valid() {
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::default();
        let mut rotation = begin(&mut world, seed);
        let (mut serial, mut best) = (0, 0);
        let mut clock = START;
        while clock < START + 4 * 3600 * SECOND {
            let step = rng.random_range(1..120) * SECOND;
            let asked = world.asked.len();
            run(&mut rotation, &mut world, clock + step);
            clock += step;
            let away = (clock / SECOND / 1800) % 3 == 2;
            if world.asked.len() > asked {
                match rng.random_range(0..6) {
                    _ if away => rotation.on_stream_failed(clock, &mut world),
                    0 => {} // silent
                    1 => rotation.on_stream_failed(clock, &mut world),
                    n => {
                        serial += 1;
                        let late = if n == 2 { 400 } else { 0 };
                        let offer = svid(serial, clock - late * SECOND, 600 * SECOND);
                        if rotation.on_svid(clock, offer.clone(), &mut world).is_ok() {
                            best = best.max(offer.not_after);
                        }
                    }
                }
            }
            // The clock steps back now and then.
            if rng.random_range(0..50) == 0 {
                rotation.on_timer(clock - 30 * SECOND, &mut world);
            }
            if let Some(svid) = &world.presented {
                assert!(
                    svid.not_before <= clock + 5 * SECOND && clock < svid.not_after,
                    "seed {seed}"
                );
            }
            assert_eq!(
                world.presented.is_some(),
                clock + 5 * SECOND < best,
                "seed {seed}"
            );
        }
        assert!(
            world.asked.len() < 4 * 3600 / 8,
            "seed {seed}: {} asked",
            world.asked.len()
        );
    }
}
