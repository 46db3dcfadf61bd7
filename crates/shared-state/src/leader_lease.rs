//! ProcessId may lend: one node at a time, by the word of a majority of arbiters, for a time. No disk: an
//! arbiter that starts says nothing for as long as a word of its past could hold.
//!
//! The argument: an arbiter gives its word to one node and to no other until that word's end by its
//! own clock, which runs from when the question came. The holder counts from when it asked, which
//! was before, and takes the time shorter by the drift. Two holders at once would each need a
//! majority; the arbiter in both gave two words that hold at once, which it does not.

use crate::{Nanos, ProcessId, shorter};
use std::collections::BTreeSet;

/// The word of one arbiter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// To whom it was given, in which of his rounds, and until when.
    given: Option<(ProcessId, u64, Nanos)>,
    /// It says nothing before this.
    silent_until: Nanos,
    term: Nanos,
}

impl Voter {
    /// An arbiter that has just started, or stood still for long, and does not know what it said
    /// before.
    pub fn new(now: Nanos, term: Nanos) -> Voter {
        Voter {
            given: None,
            silent_until: now + term,
            term,
        }
    }

    /// Somebody asks to be the one who lends. The answer: its word for a term, or whom it was given
    /// to and for how long yet.
    pub fn ask(&mut self, now: Nanos, who: ProcessId, round: u64) -> Result<(), Option<Nanos>> {
        if now < self.silent_until {
            return Err(Some(self.silent_until - now));
        }
        match self.given {
            Some((holder, _, until)) if holder != who && now < until => Err(Some(until - now)),
            // A question that was overtaken by one of a later round changes nothing.
            Some((holder, later, until)) if holder == who && later > round && now < until => {
                Err(None)
            }
            _ => {
                self.given = Some((who, round, now + self.term));
                Ok(())
            }
        }
    }

    /// Somebody who got no majority in a round gives the word back. What comes late, after a later
    /// round, frees nothing.
    pub fn give_back(&mut self, who: ProcessId, round: u64) {
        self.given
            .take_if(|(holder, given, _)| *holder == who && *given == round);
    }

    /// To whom its word is given now.
    pub fn holder(&self, now: Nanos) -> Option<ProcessId> {
        self.given
            .filter(|(.., until)| now < *until)
            .map(|(who, ..)| who)
    }
}

/// One who wants to lend, or does.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    arbiters: usize,
    term: Nanos,
    /// When the round was begun, and who gave their word in it.
    round: Option<(Nanos, BTreeSet<usize>)>,
    /// Rounds are numbered, so that a late answer counts for its own only.
    pub no: u64,
    /// Until when this node may lend.
    until: Nanos,
}

impl Candidate {
    /// One among so many arbiters; nothing is lent for longer than a term.
    pub fn new(arbiters: usize, term: Nanos) -> Candidate {
        Candidate {
            arbiters,
            term,
            round: None,
            no: 0,
            until: 0,
        }
    }

    /// Begins a round; the questions carry its number.
    pub fn begin(&mut self, now: Nanos) -> u64 {
        self.no += 1;
        self.round = Some((now, BTreeSet::new()));
        self.no
    }

    /// An arbiter gave its word in a round. True once that makes a majority.
    pub fn given(&mut self, no: u64, arbiter: usize) -> bool {
        let Some((begun, words)) = &mut self.round else {
            return false;
        };
        if no != self.no || arbiter >= self.arbiters {
            return false;
        }
        words.insert(arbiter);
        let majority = words.len() * 2 > self.arbiters;
        if majority {
            self.until = self.until.max(*begun + shorter(self.term));
        }
        majority
    }

    /// Until when it may lend; past if it may not.
    pub fn until(&self) -> Nanos {
        self.until
    }

    /// It lends no more.
    pub fn resign(&mut self) {
        (self.until, self.round) = (0, None);
    }
}

#[cfg(test)]
mod tests;
