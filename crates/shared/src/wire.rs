//! What nodes tell each other about what they share, as it travels in the fleet's parcels: Protocol Buffers, fields by number,
//! unknown ones passed over; a message of an unknown kind is none for this node.
//!
//! | field of `Parcel` | is |
//! | --- | --- |
//! | 1 | kind: 1 want, 2 word, 3 give back, 4 ask, 5 lend, 6 elsewhere, 7 leave, 8 counts, 9 evidence |
//! | 2 | number of a round |
//! | 3 | whether an arbiter's word was given |
//! | 4 | a process: 1 key, 2 life |
//! | 5 | nanoseconds left of a word |
//! | 6 | the asker's stamp, which comes back |
//! | 7 | zone |
//! | 8 | wants: 1 budget, 2 book and 3 number of the part that is held, 4 units, 5 value |
//! | 9 | parts: 1 budget, 2 book, 3 number, 4 units, 5 term in nanoseconds |
//! | 10 | counts: 1 process, 2 totals, 3 windows (1 number, 2 counts) |
//! | 11 | evidence: 1 service, 2 process, 3 zone, 4 tries, 5 failed, 6 level |

use crate::counts::Word;
use crate::judge::Evidence;
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
    #[prost(message, optional, tag = "2")]
    who: Option<Process>,
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
                    who: process(e.who),
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
                budget: w.budget as u32,
                book: w.holds.0,
                no: w.holds.1,
                units: w.units,
                value: w.value,
            };
            parcel.wants = wants.iter().map(wanted).collect();
        }
        Message::Lend { stamp, parts } => {
            (parcel.kind, parcel.stamp) = (5, *stamp);
            let lent = |(budget, p): &(usize, Part)| LentPart {
                budget: *budget as u32,
                book: p.book,
                no: p.no,
                units: p.units,
                term: p.term,
            };
            parcel.parts = parts.iter().map(lent).collect();
        }
        Message::Elsewhere { lender } => (parcel.kind, parcel.who) = (6, lender.and_then(process)),
        Message::Leave => parcel.kind = 7,
    }
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
                budget: w.budget as usize,
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
                    p.budget as usize,
                    Part { book: p.book, no: p.no, units: p.units, term: p.term.min(longest) },
                )
            };
            Message::Lend { stamp, parts: parcel.parts.iter().map(part).collect() }
        }
        6 => Message::Elsewhere { lender: who(parcel.who) },
        7 => Message::Leave,
        8 => return Some(Told::Counts(counts(parcel.counts)?)),
        9 => return Some(Told::Evidence(parcel.evidence.iter().filter_map(witness).collect())),
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
    Some((w.service, Evidence { who: who(w.who)?, zone: w.zone, tries: w.tries, failed, level }))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    fn all() -> Vec<Told> {
        let someone = Who { key: 1 << 60, life: 77 };
        let part = Part { book: 9, no: 3, units: 40, term: 1_500_000_000 };
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
        ];
        let mut told: Vec<Told> = budgets.into_iter().map(Told::Budgets).collect();
        let windows = vec![(180_000_000, vec![1, 0, 5])];
        told.push(Told::Counts(vec![Word { who: someone, total: vec![1, 2, 300], windows }]));
        let evidence = Evidence { who: someone, zone: 1, tries: 20, failed: 3, level: 0.25 };
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
    fn a_later_version_is_read_as_far_as_it_is_known() {
        let mut bytes = write(&Told::Budgets(Message::Want { no: 4 }));
        bytes.extend([0xfa, 0x01, 0x01, b'x']); // a field 31
        assert_eq!(read(&bytes), Some(Told::Budgets(Message::Want { no: 4 })));
        assert_eq!(read(&Parcel { kind: 40, ..Parcel::default() }.encode_to_vec()), None);
    }

    #[test]
    fn values_that_make_no_sense_are_taken_for_ones_that_do() {
        let wild = Told::Evidence(vec![
            (5, Evidence { who: Who::default(), zone: 1, tries: 2, failed: 9, level: 7.0 }),
            (6, Evidence { who: Who::default(), zone: 1, tries: 2, failed: 0, level: f64::NAN }),
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
