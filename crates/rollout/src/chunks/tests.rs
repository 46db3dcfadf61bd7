use super::*;
use crate::rollout::tests::rollout;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn of(content: &[u8]) -> Rollout {
    Rollout {
        bytes: content.len() as u32,
        digest: digest(content),
        ..rollout(1, 2)
    }
}

#[test]
fn pieces_come_late_twice_or_not_and_make_the_whole() {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let size = rng.random_range(1..40_000);
        let content: Vec<u8> = (0..size).map(|_| rng.random()).collect();
        let mut fetch = ChunkFetch::new(&of(&content)).unwrap();
        let (mut now, mut in_progress) = (1, Vec::new());
        let whole = loop {
            now += 20 * MILLISECOND;
            if let Some((first, count)) = fetch.next_request(now) {
                assert!(count <= CHUNKS_PER_REQUEST);
                for no in first..first + count {
                    if rng.random_bool(0.3) {
                        continue;
                    }
                    in_progress.push(no);
                    in_progress.extend(rng.random_bool(0.2).then_some(no));
                }
            }
            while !in_progress.is_empty() && rng.random_bool(0.8) {
                let no = in_progress.swap_remove(rng.random_range(0..in_progress.len()));
                fetch.insert(no, chunk(&content, no).unwrap());
            }
            match fetch.progress() {
                FetchProgress::Incomplete => {}
                FetchProgress::Complete(whole) => break whole,
                FetchProgress::Corrupt { .. } => panic!("seed {seed}"),
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
        fetch.insert(0, &[1; CHUNK_BYTES]);
        fetch.insert(1, &[7; CHUNK_BYTES]);
        fetch.insert(9, &[7; CHUNK_BYTES]); // none of it
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
