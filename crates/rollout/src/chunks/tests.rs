use super::*;
use crate::rollout::tests::rollout;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn rollout_of(content: &[u8]) -> Rollout {
    Rollout {
        bytes: content.len() as u32,
        digest: digest(content),
        ..rollout(1, 2)
    }
}

#[test]
fn chunks_that_are_lost_late_or_repeated_yield_the_content() {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let size = rng.random_range(1..40_000);
        let content: Vec<u8> = (0..size).map(|_| rng.random()).collect();
        let mut fetch = ChunkFetch::new(&rollout_of(&content)).unwrap();
        let (mut now, mut in_progress) = (1, Vec::new());
        let fetched = loop {
            now += 20 * MILLISECOND;
            if let Some((first, count)) = fetch.next_request(now) {
                assert!(count <= CHUNKS_PER_REQUEST);
                for index in first..first + count {
                    if rng.random_bool(0.3) {
                        continue;
                    }
                    in_progress.push(index);
                    in_progress.extend(rng.random_bool(0.2).then_some(index));
                }
            }
            while !in_progress.is_empty() && rng.random_bool(0.8) {
                let index = in_progress.swap_remove(rng.random_range(0..in_progress.len()));
                fetch.insert(index, chunk(&content, index).unwrap());
            }
            match fetch.progress() {
                FetchProgress::Incomplete => {}
                FetchProgress::Complete(fetched) => break fetched,
                FetchProgress::Corrupt { .. } => panic!("seed {seed}"),
            }
            assert!(now < 600 * 1000 * MILLISECOND, "seed {seed}");
        };
        assert!(fetched == content);
    }
}

#[test]
fn content_with_a_wrong_digest_is_fetched_again_and_given_up_after_three_times() {
    let content = vec![7; 3000];
    let mut fetch = ChunkFetch::new(&rollout_of(&content)).unwrap();
    for round in 1..=3 {
        fetch.insert(0, &[1; CHUNK_BYTES]);
        fetch.insert(1, &[7; CHUNK_BYTES]);
        fetch.insert(9, &[7; CHUNK_BYTES]); // beyond the content's end
        fetch.insert(2, &[7; 5]); // too short
        assert_eq!(fetch.progress(), FetchProgress::Incomplete);
        fetch.insert(2, &[7; 3000 - 2 * CHUNK_BYTES]);
        assert_eq!(
            fetch.progress(),
            FetchProgress::Corrupt {
                given_up: round == 3
            }
        );
    }
    assert!(
        ChunkFetch::new(&Rollout {
            bytes: MAX_CONTENT_BYTES as u32 + 1,
            ..rollout(1, 2)
        })
        .is_none()
    );
}
