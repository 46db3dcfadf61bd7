//! What nodes tell each other about what they share, as it travels in the fleet's parcels: Protocol Buffers, fields by number,
//! unknown ones passed over; a message of an unknown kind is none for this node.
//!
//! | field of `Parcel` | is |
//! | --- | --- |
//! | 1 | kind: 1 want, 2 word, 3 give back, 4 ask, 5 lend, 6 elsewhere, 7 leave, 8 counts, 9 evidence, 10 ask keys, 11 lend keys |
//! | 2 | number of a round |
//! | 3 | whether an arbiter's word was given |
//! | 4 | a process: 1 key, 2 life |
//! | 5 | nanoseconds left of a word |
//! | 6 | the asker's stamp, which comes back |
//! | 7 | zone |
//! | 8 | wants: 1 budget (FNV-1a of its name and kind), 2 book and 3 number of the part that is held, 4 units, 5 value |
//! | 9 | parts: 1 budget, 2 book, 3 number, 4 units, 5 term in nanoseconds, 6 wanted by all, 7 borrowers, 8 pool |
//! | 10 | counts: 1 process, 2 totals, 3 windows (1 number, 2 counts) |
//! | 11 | evidence of the sender: 1 service, 3 zone, 4 tries, 5 failed, 6 level |
//! | 12 | keys, in lists of equal length: 1 budgets, 2 keys, 3 left, 4 given back, 5 wanted or added, 6 milliseconds to wait |
//! | 13 | for how long keys are lent, in nanoseconds |

use crate::counts::Word;
use crate::judge::Evidence;
use crate::keyed::{KEYS_ASKED, KeyAsk, KeyLent, KeysAsked, KeysLent};
use crate::shared::{Message, Want};
use crate::treasury::Part;
use crate::{Nanos, Who};
use prost::Message as _;

/// The most bytes of a parcel, as the fleet takes them.
pub const PARCEL_MAX: usize = 1200;
/// Bounds on what is read.
const BUDGETS_MAX: usize = 64;
const COUNTERS_MAX: usize = 64;

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct Process {
    #[prost(fixed64, tag = "1")]
    key: u64,
    #[prost(fixed64, tag = "2")]
    life: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct Wanted {
    #[prost(uint32, tag = "1")]
    budget: u32,
    #[prost(fixed64, tag = "2")]
    book: u64,
    #[prost(uint64, tag = "3")]
    no: u64,
    #[prost(uint32, tag = "4")]
    units: u32,
    #[prost(double, tag = "5")]
    value: f64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct LentPart {
    #[prost(uint32, tag = "1")]
    budget: u32,
    #[prost(fixed64, tag = "2")]
    book: u64,
    #[prost(uint64, tag = "3")]
    no: u64,
    #[prost(uint32, tag = "4")]
    units: u32,
    #[prost(uint64, tag = "5")]
    term: u64,
    #[prost(uint32, tag = "6")]
    wanted: u32,
    #[prost(uint32, tag = "7")]
    borrowers: u32,
    #[prost(uint32, tag = "8")]
    pool: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Window {
    #[prost(uint64, tag = "1")]
    no: u64,
    #[prost(uint64, repeated, tag = "2")]
    counts: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct CountWord {
    #[prost(message, optional, tag = "1")]
    who: Option<Process>,
    #[prost(uint64, repeated, tag = "2")]
    total: Vec<u64>,
    #[prost(message, repeated, tag = "3")]
    windows: Vec<Window>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct Witness {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(uint32, tag = "3")]
    zone: u32,
    #[prost(uint32, tag = "4")]
    tries: u32,
    #[prost(uint32, tag = "5")]
    failed: u32,
    #[prost(double, tag = "6")]
    level: f64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Keys {
    #[prost(fixed32, repeated, tag = "1")]
    budgets: Vec<u32>,
    #[prost(fixed64, repeated, tag = "2")]
    keys: Vec<u64>,
    #[prost(uint32, repeated, tag = "3")]
    left: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    back: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    units: Vec<u32>,
    #[prost(uint32, repeated, tag = "6")]
    waits: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Parcel {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(uint64, tag = "2")]
    no: u64,
    #[prost(bool, tag = "3")]
    given: bool,
    #[prost(message, optional, tag = "4")]
    who: Option<Process>,
    #[prost(uint64, tag = "5")]
    left: u64,
    #[prost(uint64, tag = "6")]
    stamp: u64,
    #[prost(uint32, tag = "7")]
    zone: u32,
    #[prost(message, repeated, tag = "8")]
    wants: Vec<Wanted>,
    #[prost(message, repeated, tag = "9")]
    parts: Vec<LentPart>,
    #[prost(message, repeated, tag = "10")]
    counts: Vec<CountWord>,
    #[prost(message, repeated, tag = "11")]
    evidence: Vec<Witness>,
    #[prost(message, optional, tag = "12")]
    keys: Option<Keys>,
    #[prost(uint64, tag = "13")]
    life: u64,
}

/// What a parcel is.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// About budgets.
    Budgets(Message),
    /// Counts of some processes.
    Counts(Vec<Word>),
    /// What is seen of services, by their numbers.
    Evidence(Vec<(u64, Evidence)>),
}

fn process(who: Who) -> Option<Process> {
    Some(Process { key: who.key, life: who.life })
}

fn who(process: Option<Process>) -> Option<Who> {
    process.map(|p| Who { key: p.key, life: p.life })
}

/// Writes what is told. Counts that don't fit one parcel are split by the caller: one process's always fit.
pub fn write(told: &Told) -> Vec<u8> {
    let mut parcel = Parcel::default();
    match told {
        Told::Budgets(message) => budgets(&mut parcel, message),
        Told::Counts(words) => {
            parcel.kind = 8;
            parcel.counts = words
                .iter()
                .map(|word| CountWord {
                    who: process(word.who),
                    total: word.total.clone(),
                    windows: word
                        .windows
                        .iter()
                        .map(|(no, c)| Window { no: *no, counts: c.clone() })
                        .collect(),
                })
                .collect();
        }
        Told::Evidence(all) => {
            parcel.kind = 9;
            parcel.evidence = all
                .iter()
                .map(|(service, e)| Witness {
                    service: *service,
                    zone: e.zone,
                    tries: e.tries,
                    failed: e.failed,
                    level: e.level,
                })
                .collect();
        }
    }
    parcel.encode_to_vec()
}

fn budgets(parcel: &mut Parcel, message: &Message) {
    match message {
        Message::Want { no } => (parcel.kind, parcel.no) = (1, *no),
        Message::Word { no, given, holder, left } => {
            (parcel.kind, parcel.no, parcel.given, parcel.left) = (2, *no, *given, *left);
            parcel.who = holder.and_then(process);
        }
        Message::GiveBack { no } => (parcel.kind, parcel.no) = (3, *no),
        Message::Ask { stamp, zone, wants } => {
            (parcel.kind, parcel.stamp, parcel.zone) = (4, *stamp, *zone);
            let wanted = |w: &Want| Wanted {
                budget: w.budget,
                book: w.holds.0,
                no: w.holds.1,
                units: w.units,
                value: w.value,
            };
            parcel.wants = wants.iter().map(wanted).collect();
        }
        Message::Lend { stamp, parts } => {
            (parcel.kind, parcel.stamp) = (5, *stamp);
            let lent = |(budget, p): &(u32, Part)| LentPart {
                budget: *budget,
                book: p.book,
                no: p.no,
                units: p.units,
                term: p.term,
                wanted: p.wanted,
                borrowers: p.borrowers,
                pool: p.pool,
            };
            parcel.parts = parts.iter().map(lent).collect();
        }
        Message::Elsewhere { lender } => (parcel.kind, parcel.who) = (6, lender.and_then(process)),
        Message::Leave => parcel.kind = 7,
        Message::AskKeys(asked) => {
            (parcel.kind, parcel.no, parcel.stamp) = (10, u64::from(asked.no), asked.stamp);
            let all = &asked.keys;
            parcel.keys = Some(Keys {
                budgets: all.iter().map(|k| k.budget).collect(),
                keys: all.iter().map(|k| k.key).collect(),
                left: all.iter().map(|k| k.left).collect(),
                back: all.iter().map(|k| k.back).collect(),
                units: all.iter().map(|k| k.wants).collect(),
                waits: Vec::new(),
            });
        }
        Message::LendKeys(lent) => {
            (parcel.kind, parcel.no, parcel.stamp) = (11, u64::from(lent.no), lent.stamp);
            parcel.life = lent.life;
            let (all, ms) = (&lent.keys, |nanos: Nanos| nanos.div_ceil(crate::MILLISECOND) as u32);
            parcel.keys = Some(Keys {
                budgets: all.iter().map(|k| k.budget).collect(),
                keys: all.iter().map(|k| k.key).collect(),
                left: Vec::new(),
                back: Vec::new(),
                units: all.iter().map(|k| k.adds).collect(),
                waits: all.iter().map(|k| ms(k.wait)).collect(),
            });
        }
    }
}

/// What is asked of keys, or lent; nothing if its lists don't fit each other.
fn asked(keys: Keys) -> Option<Vec<KeyAsk>> {
    let n = keys.keys.len();
    let fits = [&keys.budgets, &keys.left, &keys.back, &keys.units].iter().all(|list| list.len() == n);
    (fits && n <= KEYS_ASKED).then(|| {
        let one = |at: usize| KeyAsk {
            budget: keys.budgets[at],
            key: keys.keys[at],
            left: keys.left[at],
            back: keys.back[at],
            wants: keys.units[at],
        };
        (0..n).map(one).collect()
    })
}

fn keys_lent(keys: Keys) -> Option<Vec<KeyLent>> {
    let n = keys.keys.len();
    let fits = [&keys.budgets, &keys.units, &keys.waits].iter().all(|list| list.len() == n);
    (fits && n <= KEYS_ASKED).then(|| {
        let one = |at: usize| KeyLent {
            budget: keys.budgets[at],
            key: keys.keys[at],
            adds: keys.units[at],
            wait: u64::from(keys.waits[at]) * crate::MILLISECOND,
        };
        (0..n).map(one).collect()
    })
}

/// Reads what was told; nothing if it can't be read, is beyond its bounds, or is of a kind that is not known.
pub fn read(bytes: &[u8]) -> Option<Told> {
    let parcel = Parcel::decode(bytes).ok().filter(|_| bytes.len() <= PARCEL_MAX)?;
    if parcel.wants.len() > BUDGETS_MAX || parcel.parts.len() > BUDGETS_MAX {
        return None;
    }
    let Parcel { no, stamp, .. } = parcel;
    Some(Told::Budgets(match parcel.kind {
        1 => Message::Want { no },
        2 => Message::Word { no, given: parcel.given, holder: who(parcel.who), left: parcel.left },
        3 => Message::GiveBack { no },
        4 => {
            // A value that is no number would upset who gets how much.
            let sane = |value: f64| if value.is_finite() { value.clamp(0.0, 1e6) } else { 0.0 };
            let want = |w: &Wanted| Want {
                budget: w.budget,
                holds: (w.book, w.no),
                units: w.units,
                value: sane(w.value),
            };
            Message::Ask { stamp, zone: parcel.zone, wants: parcel.wants.iter().map(want).collect() }
        }
        5 => {
            let longest: Nanos = 3600 * crate::SECOND;
            let part = |p: &LentPart| {
                (
                    p.budget,
                    Part {
                        book: p.book,
                        no: p.no,
                        units: p.units,
                        term: p.term.min(longest),
                        wanted: p.wanted,
                        borrowers: p.borrowers,
                        pool: p.pool,
                    },
                )
            };
            Message::Lend { stamp, parts: parcel.parts.iter().map(part).collect() }
        }
        6 => Message::Elsewhere { lender: who(parcel.who) },
        7 => Message::Leave,
        8 => return Some(Told::Counts(counts(parcel.counts)?)),
        9 => return Some(Told::Evidence(parcel.evidence.iter().filter_map(witness).collect())),
        10 => {
            let no = u32::try_from(no).ok()?;
            Message::AskKeys(KeysAsked { no, stamp, keys: asked(parcel.keys?)? })
        }
        11 => {
            let no = u32::try_from(no).ok()?;
            let life = parcel.life.min(3600 * crate::SECOND);
            Message::LendKeys(KeysLent { no, stamp, life, keys: keys_lent(parcel.keys?)? })
        }
        _ => return None,
    }))
}

fn counts(words: Vec<CountWord>) -> Option<Vec<Word>> {
    let read = |word: CountWord| {
        let fits =
            word.total.len() <= COUNTERS_MAX && word.windows.iter().all(|w| w.counts.len() <= COUNTERS_MAX);
        let windows = word.windows.into_iter().map(|w| (w.no, w.counts)).collect();
        who(word.who).filter(|_| fits).map(|who| Word { who, total: word.total, windows })
    };
    words.into_iter().map(read).collect()
}

fn witness(w: &Witness) -> Option<(u64, Evidence)> {
    let level = if w.level.is_finite() { w.level.clamp(0.0, 1.0) } else { return None };
    let failed = w.failed.min(w.tries);
    Some((w.service, Evidence { zone: w.zone, tries: w.tries, failed, level }))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    fn all() -> Vec<Told> {
        let someone = Who { key: 1 << 60, life: 77 };
        let part =
            Part { book: 9, no: 3, units: 40, term: 1_500_000_000, wanted: 90, borrowers: 3, pool: 60 };
        let want = Want { budget: 2, holds: (9, 2), units: 7, value: 1.5 };
        let budgets = [
            Message::Want { no: 4 },
            Message::Word { no: 4, given: true, holder: Some(someone), left: 0 },
            Message::Word { no: 4, given: false, holder: None, left: 9 },
            Message::GiveBack { no: 4 },
            Message::Ask { stamp: 12, zone: 3, wants: vec![want, Want { budget: 0, ..want }] },
            Message::Lend { stamp: 12, parts: vec![(2, part)] },
            Message::Elsewhere { lender: Some(someone) },
            Message::Leave,
            Message::AskKeys(KeysAsked {
                no: 7,
                stamp: 12,
                keys: vec![KeyAsk { budget: 5, key: 1 << 50, left: 0, back: 300, wants: 2 }; 2],
            }),
            Message::LendKeys(KeysLent {
                no: 7,
                stamp: 12,
                life: 3_000_000_000,
                keys: vec![KeyLent { budget: 5, key: 1 << 50, adds: 4, wait: 250_000_000 }],
            }),
        ];
        let mut told: Vec<Told> = budgets.into_iter().map(Told::Budgets).collect();
        let windows = vec![(180_000_000, vec![1, 0, 5])];
        told.push(Told::Counts(vec![Word { who: someone, total: vec![1, 2, 300], windows }]));
        let evidence = Evidence { zone: 1, tries: 20, failed: 3, level: 0.25 };
        told.push(Told::Evidence(vec![(5, evidence)]));
        told
    }

    #[test]
    fn what_is_told_is_read_as_it_was_meant() {
        for told in all() {
            let bytes = write(&told);
            assert!(bytes.len() < 200, "{told:?}");
            assert_eq!(read(&bytes), Some(told));
        }
    }

    #[test]
    fn the_largest_question_about_keys_fits_a_parcel_and_lists_that_differ_are_refused() {
        let key = KeyAsk { budget: u32::MAX, key: u64::MAX, left: 1 << 20, back: 1 << 20, wants: 1 << 20 };
        let keys = vec![key; KEYS_ASKED];
        let bytes = write(&Told::Budgets(Message::AskKeys(KeysAsked { no: 1, stamp: 1 << 60, keys })));
        assert!(bytes.len() <= PARCEL_MAX && read(&bytes).is_some(), "{}", bytes.len());
        let keys = Some(Keys { budgets: vec![1], keys: vec![1, 2], ..Keys::default() });
        assert_eq!(read(&Parcel { kind: 10, keys, ..Parcel::default() }.encode_to_vec()), None);
    }

    #[test]
    fn a_later_version_is_read_as_far_as_it_is_known() {
        let mut bytes = write(&Told::Budgets(Message::Want { no: 4 }));
        bytes.extend([0xfa, 0x01, 0x01, b'x']); // a field 31
        assert_eq!(read(&bytes), Some(Told::Budgets(Message::Want { no: 4 })));
        assert_eq!(read(&Parcel { kind: 40, ..Parcel::default() }.encode_to_vec()), None);
    }

    #[test]
    fn values_that_make_no_sense_are_taken_for_ones_that_do() {
        let wild = Told::Evidence(vec![
            (5, Evidence { zone: 1, tries: 2, failed: 9, level: 7.0 }),
            (6, Evidence { zone: 1, tries: 2, failed: 0, level: f64::NAN }),
        ]);
        let Some(Told::Evidence(read)) = read(&write(&wild)) else { panic!("evidence") };
        assert_eq!((read.len(), read[0].1.failed, read[0].1.level), (1, 2, 1.0));
    }

    #[test]
    fn every_cut_and_bit_is_read_or_refused() {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        for told in all() {
            let bytes = write(&told);
            for at in 0..bytes.len() {
                let _ = read(&bytes[..at]);
                for bit in 0..8 {
                    let mut bytes = bytes.clone();
                    bytes[at] ^= 1 << bit;
                    let _ = read(&bytes);
                }
            }
        }
        for _ in 0..2000 {
            let noise: Vec<u8> = (0..rng.random_range(0..300)).map(|_| rng.random()).collect();
            let _ = read(&noise);
        }
    }
}
