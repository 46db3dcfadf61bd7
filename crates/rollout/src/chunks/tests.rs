use super::*;
use crate::rollout::tests::change;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn of(content: &[u8]) -> Rollout {
    Rollout {
        bytes: content.len() as u32,
        digest: digest(content),
        ..change(1, 2)
    }
}

#[test]
fn pieces_come_late_twice_or_not_and_make_the_whole() {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let size = rng.random_range(1..40_000);
        let content: Vec<u8> = (0..size).map(|_| rng.random()).collect();
        let mut fetch = ChunkFetch::new(&of(&content)).unwrap();
        let (mut now, mut under_way) = (1, Vec::new());
        let whole = loop {
            now += 20 * MILLISECOND;
            if let Some((first, count)) = fetch.ask(now) {
                assert!(count <= AT_ONCE);
                for no in first..first + count {
                    if rng.random_bool(0.3) {
                        continue;
                    }
                    under_way.push(no);
                    under_way.extend(rng.random_bool(0.2).then_some(no));
                }
            }
            while !under_way.is_empty() && rng.random_bool(0.8) {
                let no = under_way.swap_remove(rng.random_range(0..under_way.len()));
                fetch.piece(no, piece(&content, no).unwrap());
            }
            match fetch.fetched() {
                FetchProgress::NodeMetric => {}
                FetchProgress::Whole(whole) => break whole,
                FetchProgress::MalformedMessage { .. } => panic!("seed {seed}"),
            }
            assert!(now < 600 * 1000 * MILLISECOND, "seed {seed}");
        };
        assert!(whole == content);
    }
}

#[test]
fn what_is_not_what_it_should_be_is_fetched_anew_and_then_given_up() {
    let content = vec![7; 3000];
    let mut fetch = ChunkFetch::new(&of(&content)).unwrap();
    for round in 1..=3 {
        fetch.piece(0, &[1; PIECE]);
        fetch.piece(1, &[7; PIECE]);
        fetch.piece(9, &[7; PIECE]); // none of it
        fetch.piece(2, &[7; 5]); // too short
        assert_eq!(fetch.fetched(), FetchProgress::NodeMetric);
        fetch.piece(2, &[7; 3000 - 2 * PIECE]);
        assert_eq!(
            fetch.fetched(),
            FetchProgress::MalformedMessage {
                given_up: round == 3
            }
        );
    }
    assert!(
        ChunkFetch::new(&Rollout {
            bytes: CONTENT_MAX as u32 + 1,
            ..change(1, 2)
        })
        .is_none()
    );
}
