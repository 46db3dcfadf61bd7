//! Counts that a fleet adds up: each process counts for itself and tells its sums, and whoever hears them, in any order and any
//! number of times, comes to the same. What a process counts only grows, so of two words of it the larger holds; a process that
//! returns under its name is another one, so that nothing is counted twice.
//!
//! A killed process takes with it what it had not told. Memory is bounded: windows end, and processes that are gone from the
//! fleet and long silent are added to one sum. They are remembered beside it, so that one who was only cut off for long is
//! taken out of the sum again when it is heard; after that time a word of theirs would count a second time.

use crate::{Nanos, SECOND, Who};
use std::collections::BTreeMap;

/// How long a window is, by each process's Unix clock, and how many of them are kept.
pub const WINDOW_MS: u64 = 10_000;
pub const WINDOWS: u64 = 12;
/// A process that is gone and was silent for so long is added to the sum.
const GONE: Nanos = 600 * SECOND;
/// And is remembered beside it for so long: longer than a partition that anybody should leave alone, and than the fleet
/// believes a datagram.
const REMEMBERED: Nanos = 24 * 3600 * SECOND;

/// What one process says of its counts: all since its start, and those of some windows. One word may say a part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Word {
    pub who: Who,
    pub total: Vec<u64>,
    /// By the window's number: Unix milliseconds divided by its length.
    pub windows: Vec<(u64, Vec<u64>)>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Process {
    total: Vec<u64>,
    windows: BTreeMap<u64, Vec<u64>>,
    heard: Nanos,
}

/// What is known of all counts.
#[derive(Clone, Debug)]
pub struct Counts {
    me: Who,
    counters: usize,
    processes: BTreeMap<Who, Process>,
    /// The sum of those who are gone, and who they were.
    gone: Vec<u64>,
    gone_who: BTreeMap<Who, (Nanos, Vec<u64>)>,
    most: usize,
    /// Words that found no room.
    refused: u64,
}

/// Each of the larger values.
fn grow(into: &mut Vec<u64>, word: &[u64], counters: usize) {
    into.resize(counters, 0);
    into.iter_mut().zip(word).for_each(|(held, said)| *held = (*held).max(*said));
}

fn add(into: &mut [u64], word: &[u64]) {
    into.iter_mut().zip(word).for_each(|(sum, more)| *sum = sum.saturating_add(*more));
}

impl Counts {
    /// For so many counters, over so many processes at most.
    pub fn new(me: Who, counters: usize, most: usize) -> Counts {
        let (processes, gone_who) = (BTreeMap::new(), BTreeMap::new());
        Counts { me, counters, processes, gone: vec![0; counters], gone_who, most: most.max(1), refused: 0 }
    }

    fn own(&mut self, now: Nanos) -> &mut Process {
        let own = self.processes.entry(self.me).or_default();
        own.heard = now;
        own
    }

    /// Counts for this process.
    pub fn add(&mut self, now: Nanos, unix_ms: u64, counter: usize, times: u64) {
        if counter >= self.counters {
            return;
        }
        let counters = self.counters;
        let own = self.own(now);
        own.total.resize(counters, 0);
        own.total[counter] = own.total[counter].saturating_add(times);
        let window = own.windows.entry(unix_ms / WINDOW_MS).or_insert_with(|| vec![0; counters]);
        window[counter] = window[counter].saturating_add(times);
        while own.windows.len() as u64 > WINDOWS {
            own.windows.pop_first();
        }
    }

    /// What this process has to say: all of it, or since a window.
    pub fn word(&self, since: u64) -> Word {
        let own = self.processes.get(&self.me);
        let windows = own.into_iter().flat_map(|own| own.windows.range(since..));
        let windows = windows.map(|(no, counts)| (*no, counts.clone())).collect();
        Word { who: self.me, total: own.map_or(Vec::new(), |own| own.total.clone()), windows }
    }

    /// All that is known, to be told to one who lacks it.
    pub fn words(&self) -> impl Iterator<Item = Word> {
        self.processes.iter().map(|(who, process)| Word {
            who: *who,
            total: process.total.clone(),
            windows: process.windows.iter().map(|(no, counts)| (*no, counts.clone())).collect(),
        })
    }

    /// A word came, from the process itself or by way of another.
    pub fn hear(&mut self, now: Nanos, word: &Word) {
        if word.who == self.me {
            return; // its own it knows best
        }
        if let Some((_, counted)) = self.gone_who.get(&word.who) {
            let says_more = word.total.iter().zip(counted).any(|(said, counted)| said > counted);
            if !says_more {
                return; // all of it is in the sum
            }
            // It was only cut off: out of the sum with it.
            if let Some((_, counted)) = self.gone_who.remove(&word.who) {
                self.gone.iter_mut().zip(&counted).for_each(|(sum, less)| *sum = sum.saturating_sub(*less));
                self.processes.insert(word.who, Process { total: counted, ..Process::default() });
            }
        }
        let is_new = !self.processes.contains_key(&word.who);
        if is_new && self.processes.len() >= self.most {
            self.refused += 1;
            return;
        }
        let counters = self.counters;
        let process = self.processes.entry(word.who).or_default();
        let before = process.clone();
        grow(&mut process.total, &word.total, counters);
        for (no, counts) in &word.windows {
            let oldest = process.windows.first_key_value().map(|(first, _)| *first);
            let full = process.windows.len() as u64 >= WINDOWS && !process.windows.contains_key(no);
            if full && oldest.is_some_and(|first| *no < first) {
                continue;
            }
            grow(process.windows.entry(*no).or_default(), counts, counters);
            while process.windows.len() as u64 > WINDOWS {
                process.windows.pop_first();
            }
        }
        if is_new || (before.total != process.total || before.windows != process.windows) {
            process.heard = now;
        }
    }

    /// Adds those to the sum who are gone, by the fleet's view, and long silent; forgets who they were after their time.
    pub fn tidy(&mut self, now: Nanos, is_there: impl Fn(Who) -> bool) {
        let silent: Vec<Who> = self
            .processes
            .iter()
            .filter(|(who, process)| **who != self.me && now >= process.heard + GONE && !is_there(**who))
            .map(|(who, _)| *who)
            .collect();
        for who in silent {
            if let Some(process) = self.processes.remove(&who) {
                add(&mut self.gone, &process.total);
                self.gone_who.insert(who, (now, process.total));
            }
        }
        self.gone_who.retain(|_, (since, _)| now < *since + REMEMBERED);
        // Whoever is remembered longest goes first.
        while self.gone_who.len() > 4 * self.most {
            let oldest = self.gone_who.iter().min_by_key(|(_, (since, _))| *since).map(|(who, _)| *who);
            oldest.map(|who| self.gone_who.remove(&who));
        }
    }

    /// A counter over the whole fleet, since all were started.
    pub fn total(&self, counter: usize) -> u64 {
        let at = |counts: &Vec<u64>| counts.get(counter).copied().unwrap_or(0);
        self.processes.values().fold(at(&self.gone), |sum, process| sum.saturating_add(at(&process.total)))
    }

    /// A counter over the whole fleet in the last windows that are whole, by this clock.
    pub fn lately(&self, unix_ms: u64, counter: usize, windows: u64) -> u64 {
        let this = unix_ms / WINDOW_MS;
        let range = this.saturating_sub(windows)..this;
        let of = |process: &Process| -> u64 {
            process.windows.range(range.clone()).filter_map(|(_, counts)| counts.get(counter)).sum()
        };
        self.processes.values().map(of).sum()
    }

    /// Processes that are told apart.
    pub fn processes(&self) -> usize {
        self.processes.len()
    }

    /// Words of processes for which there was no room.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::seq::SliceRandom;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    fn who(key: u64, life: u64) -> Who {
        Who { key, life }
    }

    const UNIX: u64 = 1_800_000_000_000;

    /// Words in any order, in any groups, any number of times, and by way of others: all come to the same sums.
    #[test]
    fn whoever_heard_the_same_counts_the_same() {
        for seed in 0..100 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut said = Vec::new();
            let mut true_total = 0;
            for key in 1..=5 {
                for life in 0..rng.random_range(1..3) {
                    let mut counts = Counts::new(who(key, life), 2, 64);
                    let mut unix = UNIX;
                    for _ in 0..rng.random_range(1..30) {
                        let times = rng.random_range(0..9);
                        unix += rng.random_range(0..3000);
                        counts.add(0, unix, 0, times);
                        true_total += times;
                        if rng.random_bool(0.3) {
                            said.push(counts.word(if rng.random_bool(0.5) { 0 } else { unix / WINDOW_MS }));
                        }
                    }
                    said.push(counts.word(0));
                }
            }
            let mut heard: Vec<Counts> = (0..3).map(|n| Counts::new(who(100 + n, 0), 2, 64)).collect();
            for counts in &mut heard {
                said.shuffle(&mut rng);
                let again = rng.random_range(0..=said.len());
                said.iter().chain(&said[..again]).for_each(|word| counts.hear(0, word));
            }
            // One more hears only by way of the first.
            let mut second_hand = Counts::new(who(200, 0), 2, 64);
            heard[0].words().for_each(|word| second_hand.hear(0, &word));
            heard.push(second_hand);
            let sums: Vec<(u64, u64)> =
                heard.iter().map(|c| (c.total(0), c.lately(UNIX + 100_000, 0, WINDOWS))).collect();
            assert!(sums.windows(2).all(|two| two[0] == two[1]), "seed {seed}: {sums:?}");
            assert_eq!(sums[0].0, true_total, "seed {seed}");
            assert!(sums[0].1 <= true_total);
        }
    }

    #[test]
    fn one_that_returns_under_its_name_adds_to_its_past() {
        let mut all = Counts::new(who(9, 9), 1, 64);
        let mut first = Counts::new(who(1, 1), 1, 64);
        first.add(0, UNIX, 0, 100);
        all.hear(0, &first.word(0));
        let mut second = Counts::new(who(1, 2), 1, 64);
        second.add(0, UNIX, 0, 5);
        all.hear(0, &second.word(0));
        all.hear(0, &first.word(0)); // late
        assert_eq!(all.total(0), 105);
    }

    /// Nodes come and go for weeks: memory stays, the sum goes on, and a late word of one who is gone counts no more.
    #[test]
    fn memory_is_bounded_as_processes_come_and_go() {
        let mut all = Counts::new(who(0, 0), 1, 50);
        let mut now = 0;
        let mut last = Word::default();
        for life in 1..=5000u64 {
            let mut counts = Counts::new(who(life % 20 + 1, life), 1, 50);
            counts.add(now, UNIX + now / 1_000_000, 0, 3);
            last = counts.word(0);
            all.hear(now, &last);
            now += 120 * SECOND;
            all.tidy(now, |_| false);
        }
        assert_eq!((all.total(0), all.refused()), (15_000, 0));
        assert!(
            all.processes() <= 6 && all.gone_who.len() <= 200,
            "{} {}",
            all.processes(),
            all.gone_who.len()
        );
        now += GONE;
        all.tidy(now, |_| false);
        all.hear(now, &last);
        assert_eq!(all.total(0), 15_000);
    }

    /// One that is idle for long, or cut off, and counts again: nothing of it is lost or counted twice.
    #[test]
    fn one_that_was_silent_for_long_and_speaks_again_counts_once() {
        let (mut all, mut one) = (Counts::new(who(0, 0), 2, 9), Counts::new(who(1, 1), 2, 9));
        one.add(0, UNIX, 0, 100);
        one.add(0, UNIX, 1, 7);
        all.hear(0, &one.word(0));
        all.tidy(3600 * SECOND, |_| true); // idle, and there
        assert_eq!(all.processes(), 1);
        all.tidy(3600 * SECOND, |_| false); // cut off
        assert_eq!((all.processes(), all.total(0)), (0, 100));
        all.hear(3600 * SECOND, &one.word(0));
        assert_eq!((all.processes(), all.total(0)), (0, 100));
        one.add(0, UNIX, 0, 5);
        all.hear(3601 * SECOND, &one.word(0));
        assert_eq!((all.processes(), all.total(0), all.total(1)), (1, 105, 7));
    }

    #[test]
    fn more_processes_than_there_is_room_for_are_counted_as_refused() {
        let mut all = Counts::new(who(0, 0), 1, 3);
        for life in 1..=5 {
            let mut counts = Counts::new(who(life, life), 1, 3);
            counts.add(0, UNIX, 0, 1);
            all.hear(0, &counts.word(0));
        }
        assert_eq!((all.total(0), all.refused()), (3, 2));
    }

    #[test]
    fn windows_end() {
        let mut counts = Counts::new(who(1, 1), 1, 9);
        for window in 0..100 {
            counts.add(0, UNIX + window * WINDOW_MS, 0, 2);
        }
        assert_eq!(counts.word(0).windows.len() as u64, WINDOWS);
        let at = UNIX + 100 * WINDOW_MS;
        assert_eq!((counts.lately(at, 0, 3), counts.lately(at, 0, 99), counts.total(0)), (6, 24, 200));
    }
}
