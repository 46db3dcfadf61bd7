//! Datagrams are believed only if they bear the fleet's name, a keyed MAC and a number that did not
//! come before. What fails any of these is counted and dropped without an answer.
//!
//! A sealed datagram: `mf`, the frame's version, the key's number (1 byte each); the fleet's tag,
//! the sender's life (8 each); the time it was sealed, in Unix milliseconds, and a count (6 each);
//! the message; the MAC, 16 bytes. Numbers stand with the highest byte first.

use crate::member::{Incarnation, hash};
use crate::wire::DATAGRAM_MAX;
use crate::{Nanos, SECOND};
use ring::digest;
use ring::hmac;
use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

const MAGIC: [u8; 2] = *b"mf";
const FRAME: u8 = 1;
const HEAD: usize = 32;
const MAC: usize = 16;
/// Bytes that sealing adds.
pub const OVERHEAD: usize = HEAD + MAC;
/// The most bytes of a message.
pub const MESSAGE_MAX: usize = DATAGRAM_MAX - OVERHEAD;
/// AuthKeys that may be valid at once, for a change of keys.
pub const KEYS_MAX: usize = 2;
/// Bytes of a key, at least.
const KEY_LEAST: usize = 16;

/// Why a datagram was dropped. Each is counted by its word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DropReason {
    /// It is none of ours.
    NoFrame,
    AnotherFrame,
    AnotherFleet,
    UnknownKey,
    BadMac,
    /// It came before, or is older than what can be told from that.
    Replayed,
    /// A first word from a life whose clock is too far from ours.
    OutOfTime,
    Unreadable,
    /// More came than is looked at.
    Flood,
}

impl DropReason {
    /// Its word, as logs and counts show it.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::NoFrame => "datagrams that are none of a fleet",
            DropReason::AnotherFrame => "datagrams of another frame version",
            DropReason::AnotherFleet => "datagrams of another fleet",
            DropReason::UnknownKey => "datagrams under an unknown key",
            DropReason::BadMac => "datagrams with a wrong MAC",
            DropReason::Replayed => "datagrams that came before",
            DropReason::OutOfTime => "datagrams from a clock too far away",
            DropReason::Unreadable => "datagrams that can't be read",
            DropReason::Flood => "datagrams beyond the rate",
        }
    }
}

/// The keys of a fleet: the first one seals, all open.
#[derive(Clone)]
pub struct AuthKeys {
    keys: Vec<(u8, hmac::Key)>,
}

impl fmt::Debug for AuthKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries(self.keys.iter().map(|(number, _)| number))
            .finish()
    }
}

impl AuthKeys {
    /// AuthKeys from their bytes.
    pub fn new(keys: &[Vec<u8>]) -> Result<AuthKeys, String> {
        if keys.is_empty() || keys.len() > KEYS_MAX {
            return Err(format!("{} keys; expected 1 to {KEYS_MAX}", keys.len()));
        }
        if let Some(short) = keys.iter().find(|key| key.len() < KEY_LEAST) {
            return Err(format!(
                "a key of {} bytes; expected {KEY_LEAST} at least",
                short.len()
            ));
        }
        let numbered = keys.iter().map(|key| {
            let number = digest::digest(&digest::SHA256, key).as_ref()[0];
            (number, hmac::Key::new(hmac::HMAC_SHA256, key))
        });
        Ok(AuthKeys {
            keys: numbered.collect(),
        })
    }

    /// Whether one who goes by these and one who goes by the others understand each other: the key
    /// that either seals with is among those that the other opens with.
    pub fn meet(&self, other: &AuthKeys) -> bool {
        let print = |key: &hmac::Key| hmac::sign(key, b"meet");
        let knows = |keys: &AuthKeys, of: &AuthKeys| {
            of.keys.first().is_some_and(|(_, first)| {
                keys.keys
                    .iter()
                    .any(|(_, key)| print(key).as_ref() == print(first).as_ref())
            })
        };
        knows(self, other) && knows(other, self)
    }

    /// Reads a file of keys: one a line in hexadecimal, with blank lines and lines after `#` passed
    /// over.
    pub fn read(text: &str) -> Result<AuthKeys, String> {
        let lines = text.lines().enumerate().map(|(at, line)| (at, line.trim()));
        let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let keys: Result<Vec<_>, _> = lines
            .map(|(at, line)| {
                unhex(line).ok_or(format!("line {}: no key; expected hexadecimal", at + 1))
            })
            .collect();
        AuthKeys::new(&keys?)
    }
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|c| c.to_digit(16).and_then(|d| u8::try_from(d).ok()))
        .collect();
    let digits = digits.filter(|d| d.len() % 2 == 0)?;
    Some(digits.chunks(2).map(|two| two[0] << 4 | two[1]).collect())
}

/// Which numbers of a life came: the highest, and those of the 64 below it.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    highest: u64,
    seen: u64,
    apply_update: Nanos,
}

impl ReplayWindow {
    fn take(&mut self, count: u64) -> bool {
        if count > self.highest {
            let step = count - self.highest;
            self.seen = if step < 64 {
                self.seen << step | 1 << (step - 1)
            } else {
                0
            };
            self.highest = count;
            return true;
        }
        let below = self.highest - count;
        if below == 0 || below > 64 {
            return false;
        }
        let bit = 1 << (below - 1);
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}

/// Whether two MACs are equal, in a time that does not tell where they differ.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    let differ = a
        .iter()
        .zip(b)
        .fold(0, |differ, (a, b)| std::hint::black_box(differ | (a ^ b)));
    a.len() == b.len() && differ == 0
}

fn push6(frame: &mut Vec<u8>, number: u64) {
    frame.extend_from_slice(&number.to_be_bytes()[2..]);
}

fn read8(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, b| sum << 8 | u64::from(*b))
}

/// Seals what a node sends and opens what it gets.
#[derive(Debug)]
pub struct DatagramAuth {
    fleet: String,
    tag: u64,
    keys: AuthKeys,
    incarnation: Incarnation,
    sent: u64,
    /// A first word from a life is believed only if its time is this close to ours.
    skew_ms: u64,
    windows: BTreeMap<Incarnation, ReplayWindow>,
    most: usize,
}

impl DatagramAuth {
    /// For a node of this fleet, which keeps the numbers of so many lives.
    pub fn new(
        fleet: &str,
        keys: AuthKeys,
        incarnation: Incarnation,
        skew: Nanos,
        most: usize,
    ) -> DatagramAuth {
        let tag = hash(&[fleet.as_bytes()]);
        let skew_ms = skew / crate::MILLISECOND;
        DatagramAuth {
            fleet: fleet.to_owned(),
            tag,
            keys,
            incarnation,
            sent: 0,
            skew_ms,
            windows: BTreeMap::new(),
            most,
        }
    }

    /// Puts other keys in force.
    pub fn rekey(&mut self, keys: AuthKeys) {
        self.keys = keys;
    }

    /// Seals a message.
    pub fn seal(&mut self, unix_ms: u64, message: &[u8]) -> Vec<u8> {
        self.sent += 1;
        let (number, key) = &self.keys.keys[0];
        let mut frame = Vec::with_capacity(OVERHEAD + message.len());
        frame.extend_from_slice(&MAGIC);
        frame.extend_from_slice(&[FRAME, *number]);
        frame.extend_from_slice(&self.tag.to_be_bytes());
        frame.extend_from_slice(&self.incarnation.0.to_be_bytes());
        push6(&mut frame, unix_ms);
        push6(&mut frame, self.sent);
        frame.extend_from_slice(message);
        let mac = self.mac(key, &frame);
        frame.extend_from_slice(&mac.as_ref()[..MAC]);
        frame
    }

    fn mac(&self, key: &hmac::Key, frame: &[u8]) -> hmac::Tag {
        let mut context = hmac::Context::with_key(key);
        context.update(self.fleet.as_bytes());
        context.update(&[0]);
        context.update(frame);
        context.sign()
    }

    /// Opens a datagram; gives the sender's life and the message.
    pub fn open<'f>(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        frame: &'f [u8],
    ) -> Result<(Incarnation, &'f [u8]), DropReason> {
        if frame.len() < OVERHEAD || frame.len() > DATAGRAM_MAX || frame[..2] != MAGIC {
            return Err(DropReason::NoFrame);
        }
        if frame[2] != FRAME {
            return Err(DropReason::AnotherFrame);
        }
        if read8(&frame[4..12]) != self.tag {
            return Err(DropReason::AnotherFleet);
        }
        let (signed, mac) = frame.split_at(frame.len() - MAC);
        let mut keys = self
            .keys
            .keys
            .iter()
            .filter(|(number, _)| *number == frame[3])
            .peekable();
        if keys.peek().is_none() {
            return Err(DropReason::UnknownKey);
        }
        let right = keys.any(|(_, key)| is_equal(&self.mac(key, signed).as_ref()[..MAC], mac));
        if !right {
            return Err(DropReason::BadMac);
        }
        let incarnation = Incarnation(read8(&frame[12..20]));
        self.admit(
            now,
            unix_ms,
            incarnation,
            read8(&frame[20..26]),
            read8(&frame[26..32]),
        )?;
        Ok((incarnation, &signed[HEAD..]))
    }

    /// Whether a datagram did not come before. Of a life that is not known yet that can't be told,
    /// so its time must be near; later its count is enough, whatever its clock does.
    fn admit(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        incarnation: Incarnation,
        sealed: u64,
        count: u64,
    ) -> Result<(), DropReason> {
        if let Some(window) = self.windows.get_mut(&incarnation) {
            window.apply_update = now;
            return if window.take(count) {
                Ok(())
            } else {
                Err(DropReason::Replayed)
            };
        }
        if sealed.abs_diff(unix_ms) > self.skew_ms {
            return Err(DropReason::OutOfTime);
        }
        if self.windows.len() >= self.most {
            let silent = self
                .windows
                .iter()
                .min_by_key(|(_, window)| window.apply_update)
                .map(|(incarnation, _)| *incarnation);
            silent.map(|incarnation| self.windows.remove(&incarnation));
        }
        let mut window = ReplayWindow {
            apply_update: now,
            ..ReplayWindow::default()
        };
        window.take(count);
        self.windows.insert(incarnation, window);
        Ok(())
    }
}

/// Lives for commands that ask a node and are no members.
pub fn observer(seed: u64) -> Incarnation {
    Incarnation(seed | 1 << 63)
}

/// How many datagrams a second are looked at. Checking a MAC takes a microsecond or two; a stranger
/// who floods must not take more of the node than this, nor crowd out those whose datagrams proved
/// good.
#[derive(Debug)]
pub struct ReceiveLimiter {
    proven: HashSet<SocketAddr>,
    most: usize,
    /// Datagrams that may still be looked at, by whether their source is proven.
    left: [f64; 2],
    filled: Nanos,
}

/// A second, from sources that have proved good and from others; and the same number may come at
/// once.
const RATES: [f64; 2] = [4000.0, 500.0];

impl ReceiveLimiter {
    /// One that keeps so many good sources in mind.
    pub fn new(most: usize) -> ReceiveLimiter {
        ReceiveLimiter {
            proven: HashSet::new(),
            most,
            left: RATES,
            filled: 0,
        }
    }

    /// Whether to look at a datagram from there.
    pub fn admits(&mut self, now: Nanos, from: SocketAddr) -> bool {
        let passed = now.saturating_sub(self.filled) as f64 / SECOND as f64;
        self.filled = now;
        for (left, rate) in self.left.iter_mut().zip(RATES) {
            *left = (*left + rate * passed).min(rate);
        }
        let left = &mut self.left[usize::from(!self.proven.contains(&from))];
        let admitted = *left >= 1.0;
        *left -= if admitted { 1.0 } else { 0.0 };
        admitted
    }

    /// A datagram from there was good.
    pub fn proved(&mut self, from: SocketAddr) {
        if self.proven.len() >= self.most && !self.proven.contains(&from) {
            self.proven.clear(); // all prove themselves again with their next one
        }
        self.proven.insert(from);
    }
}

#[cfg(test)]
mod tests;
