//! A change's content in bounded pieces: asked for a few at a time, from whoever has it, and
//! believed by its hash alone.

use crate::change::{Change, ChangeId};
use crate::wire::PIECE;
use crate::{MILLISECOND, Nanos};

/// The most bytes of a content.
pub const CONTENT_MAX: usize = 512 << 10;
/// Pieces asked for at once, and how long they are waited for.
pub const AT_ONCE: u32 = 8;
const WAIT: Nanos = 400 * MILLISECOND;
/// Whole contents that were not what they should be, before none is asked for any more.
const SPOILT: u32 = 3;

/// The SHA-256 of a content.
pub fn digest(content: &[u8]) -> [u8; 32] {
    let mut digest = [0; 32];
    digest.copy_from_slice(ring::digest::digest(&ring::digest::SHA256, content).as_ref());
    digest
}

/// How many pieces so many bytes are.
pub fn count(bytes: usize) -> u32 {
    bytes.div_ceil(PIECE) as u32
}

/// A piece of a content.
pub fn piece(content: &[u8], no: u32) -> Option<&[u8]> {
    let from = (no as usize).checked_mul(PIECE)?;
    (from < content.len()).then(|| &content[from..content.len().min(from + PIECE)])
}

/// Content that is being fetched.
#[derive(Clone, Debug)]
pub struct Fetch {
    pub change: ChangeId,
    digest: [u8; 32],
    content: Vec<u8>,
    have: Vec<bool>,
    asked: Nanos,
    spoilt: u32,
}

/// What has come of a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fetched {
    /// Pieces are missing.
    Part,
    /// All of it, as it should be.
    Whole(Vec<u8>),
    /// It came whole and was not what it should be, and is begun anew; or given up.
    Spoilt { given_up: bool },
}

impl Fetch {
    /// The content of a change; none if it is beyond its bound.
    pub fn new(change: &Change) -> Option<Fetch> {
        let bytes = change.bytes as usize;
        (bytes <= CONTENT_MAX).then(|| Fetch {
            change: change.id,
            digest: change.digest,
            content: vec![0; bytes],
            have: vec![false; count(bytes) as usize],
            asked: 0,
            spoilt: 0,
        })
    }

    /// Pieces to ask for now: the first one, and how many.
    pub fn ask(&mut self, now: Nanos) -> Option<(u32, u32)> {
        if now < self.asked + WAIT && self.asked > 0 {
            return None;
        }
        let first = self.have.iter().position(|have| !have)?;
        let run = self.have[first..]
            .iter()
            .take(AT_ONCE as usize)
            .take_while(|have| !**have)
            .count();
        self.asked = now;
        Some((first as u32, run as u32))
    }

    /// A piece came.
    pub fn piece(&mut self, no: u32, bytes: &[u8]) {
        let from = no as usize * PIECE;
        let fits = from < self.content.len() && bytes.len() == PIECE.min(self.content.len() - from);
        if !fits || self.have[no as usize] {
            return;
        }
        self.content[from..from + bytes.len()].copy_from_slice(bytes);
        self.have[no as usize] = true;
        // All that was asked for is here: the next ones may be asked for at once.
        let first = self
            .have
            .iter()
            .position(|have| !have)
            .unwrap_or(self.have.len());
        if first as u32 > no || first.is_multiple_of(AT_ONCE as usize) {
            self.asked = 0;
        }
    }

    /// What there is.
    pub fn fetched(&mut self) -> Fetched {
        if self.have.iter().any(|have| !have) {
            return Fetched::Part;
        }
        if digest(&self.content) == self.digest {
            return Fetched::Whole(std::mem::take(&mut self.content));
        }
        self.have.fill(false);
        (self.spoilt, self.asked) = (self.spoilt + 1, 0);
        Fetched::Spoilt {
            given_up: self.spoilt >= SPOILT,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::change::tests::change;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    fn of(content: &[u8]) -> Change {
        Change {
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
            let mut fetch = Fetch::new(&of(&content)).unwrap();
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
                    Fetched::Part => {}
                    Fetched::Whole(whole) => break whole,
                    Fetched::Spoilt { .. } => panic!("seed {seed}"),
                }
                assert!(now < 600 * 1000 * MILLISECOND, "seed {seed}");
            };
            assert!(whole == content);
        }
    }

    #[test]
    fn what_is_not_what_it_should_be_is_fetched_anew_and_then_given_up() {
        let content = vec![7; 3000];
        let mut fetch = Fetch::new(&of(&content)).unwrap();
        for round in 1..=3 {
            fetch.piece(0, &[1; PIECE]);
            fetch.piece(1, &[7; PIECE]);
            fetch.piece(9, &[7; PIECE]); // none of it
            fetch.piece(2, &[7; 5]); // too short
            assert_eq!(fetch.fetched(), Fetched::Part);
            fetch.piece(2, &[7; 3000 - 2 * PIECE]);
            assert_eq!(
                fetch.fetched(),
                Fetched::Spoilt {
                    given_up: round == 3
                }
            );
        }
        assert!(
            Fetch::new(&Change {
                bytes: CONTENT_MAX as u32 + 1,
                ..change(1, 2)
            })
            .is_none()
        );
    }
}
