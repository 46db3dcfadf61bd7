//! Datagram authentication: a keyed MAC and replay protection.
//!
//! A datagram is accepted only with the cluster's tag, a valid MAC and a sequence number that was
//! not seen before. Everything else is counted and dropped without a reply.
//!
//! Frame: `mf`, frame version, key number (1 byte each); cluster tag, sender's incarnation (8 each);
//! time in Unix milliseconds, sequence number (6 each); message; MAC (16). Big-endian.

use crate::Nanos;
use crate::member::{Incarnation, hash};
use crate::messages::DATAGRAM_MAX;
use ring::digest;
use ring::hmac;
use std::collections::BTreeMap;
use std::fmt;

/// First bytes of every frame.
const MAGIC: [u8; 2] = *b"mf";
/// Version of the frame.
const FRAME_VERSION: u8 = 1;
/// Bytes before the message.
const HEADER_BYTES: usize = 32;
/// Bytes of the truncated MAC.
const MAC_BYTES: usize = 16;
/// Bytes that authentication adds to a message.
pub const OVERHEAD: usize = HEADER_BYTES + MAC_BYTES;
/// Bytes of a message at most.
pub const MESSAGE_MAX: usize = DATAGRAM_MAX - OVERHEAD;
/// Keys that may be valid at once, for key rotation.
pub const KEYS_MAX: usize = 2;
/// Bytes of a key at least.
const KEY_BYTES_MIN: usize = 16;

/// Why a datagram was dropped; each reason has a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DropReason {
    /// Too short, too long, or without the magic bytes.
    NoFrame,
    /// Another frame version.
    AnotherFrame,
    /// The tag of another cluster.
    AnotherFleet,
    /// No key with this number.
    UnknownKey,
    /// The MAC is wrong.
    BadMac,
    /// Received before, or older than the replay window.
    Replayed,
    /// The first datagram of an unknown incarnation whose clock is too far off.
    OutOfTime,
    /// The message can't be decoded.
    Unreadable,
    /// Beyond the rate at which datagrams are checked.
    Flood,
}

impl DropReason {
    /// Name of its counter.
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

/// Why keys can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// No key, or too many.
    #[error("{0} keys; expected 1 to {KEYS_MAX}")]
    Count(usize),
    /// A key has too few bytes.
    #[error("a key of {0} bytes; expected {KEY_BYTES_MIN} at least")]
    TooShort(usize),
    /// A line of a key file is no hexadecimal key.
    #[error("line {line}: no key; expected hexadecimal")]
    NotHexadecimal {
        /// Number of the line, from 1.
        line: usize,
    },
}

/// Keys of a cluster: the first one signs, all verify.
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
    /// Keys from their bytes.
    ///
    /// # Errors
    /// Where there are none, more than [`KEYS_MAX`], or one is too short.
    pub fn new(keys: &[Vec<u8>]) -> Result<AuthKeys, KeyError> {
        if keys.is_empty() || keys.len() > KEYS_MAX {
            return Err(KeyError::Count(keys.len()));
        }
        if let Some(short) = keys.iter().find(|key| key.len() < KEY_BYTES_MIN) {
            return Err(KeyError::TooShort(short.len()));
        }
        let numbered = keys.iter().map(|key| {
            let number = digest::digest(&digest::SHA256, key).as_ref()[0];
            (number, hmac::Key::new(hmac::HMAC_SHA256, key))
        });
        Ok(AuthKeys {
            keys: numbered.collect(),
        })
    }

    /// Whether nodes with these and those keys understand each other: each side's signing key is
    /// among the keys with which the other verifies.
    pub fn are_compatible(&self, other: &AuthKeys) -> bool {
        let fingerprint = |key: &hmac::Key| hmac::sign(key, b"meet");
        let knows = |keys: &AuthKeys, of: &AuthKeys| {
            of.keys.first().is_some_and(|(_, first)| {
                keys.keys
                    .iter()
                    .any(|(_, key)| fingerprint(key).as_ref() == fingerprint(first).as_ref())
            })
        };
        knows(self, other) && knows(other, self)
    }

    /// Parses a key file: one key a line in hexadecimal; blank lines and lines that begin with `#`
    /// are skipped.
    ///
    /// # Errors
    /// Where a line is no key, or as for [`AuthKeys::new`].
    pub fn parse(text: &str) -> Result<AuthKeys, KeyError> {
        let lines = text.lines().enumerate().map(|(at, line)| (at, line.trim()));
        let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let keys: Result<Vec<_>, _> = lines
            .map(|(at, line)| decode_hex(line).ok_or(KeyError::NotHexadecimal { line: at + 1 }))
            .collect();
        AuthKeys::new(&keys?)
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|c| c.to_digit(16).and_then(|d| u8::try_from(d).ok()))
        .collect();
    let digits = digits.filter(|d| d.len() % 2 == 0)?;
    Some(digits.chunks(2).map(|two| two[0] << 4 | two[1]).collect())
}

/// Sequence numbers received of an incarnation: the highest, and a bitmap of the 64 below it.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    highest: u64,
    seen: u64,
    last_received: Nanos,
}

impl ReplayWindow {
    /// Records a sequence number; false if it was seen before or is too old.
    fn accept(&mut self, count: u64) -> bool {
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

/// Compares two MACs in constant time.
fn macs_are_equal(a: &[u8], b: &[u8]) -> bool {
    let differ = a
        .iter()
        .zip(b)
        .fold(0, |differ, (a, b)| std::hint::black_box(differ | (a ^ b)));
    a.len() == b.len() && differ == 0
}

fn push_u48(frame: &mut Vec<u8>, number: u64) {
    frame.extend_from_slice(&number.to_be_bytes()[2..]);
}

fn read_big_endian(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, b| sum << 8 | u64::from(*b))
}

/// Signs outgoing datagrams and verifies incoming ones.
#[derive(Debug)]
pub struct DatagramAuth {
    cluster: String,
    tag: u64,
    keys: AuthKeys,
    incarnation: Incarnation,
    sent: u64,
    /// Greatest clock difference at which an unknown incarnation is accepted, in milliseconds.
    skew_ms: u64,
    windows: BTreeMap<Incarnation, ReplayWindow>,
    windows_max: usize,
}

impl DatagramAuth {
    /// For a process of a cluster; keeps replay windows of at most `windows_max` incarnations.
    pub fn new(
        cluster: &str,
        keys: AuthKeys,
        incarnation: Incarnation,
        skew: Nanos,
        windows_max: usize,
    ) -> DatagramAuth {
        let tag = hash(&[cluster.as_bytes()]);
        let skew_ms = skew / crate::MILLISECOND;
        DatagramAuth {
            cluster: cluster.to_owned(),
            tag,
            keys,
            incarnation,
            sent: 0,
            skew_ms,
            windows: BTreeMap::new(),
            windows_max,
        }
    }

    /// Replaces the keys.
    pub fn rekey(&mut self, keys: AuthKeys) {
        self.keys = keys;
    }

    /// Signs a message; returns the frame.
    pub fn seal(&mut self, unix_ms: u64, message: &[u8]) -> Vec<u8> {
        self.sent += 1;
        let (number, key) = &self.keys.keys[0];
        let mut frame = Vec::with_capacity(OVERHEAD + message.len());
        frame.extend_from_slice(&MAGIC);
        frame.extend_from_slice(&[FRAME_VERSION, *number]);
        frame.extend_from_slice(&self.tag.to_be_bytes());
        frame.extend_from_slice(&self.incarnation.0.to_be_bytes());
        push_u48(&mut frame, unix_ms);
        push_u48(&mut frame, self.sent);
        frame.extend_from_slice(message);
        let mac = self.mac(key, &frame);
        frame.extend_from_slice(&mac.as_ref()[..MAC_BYTES]);
        frame
    }

    fn mac(&self, key: &hmac::Key, frame: &[u8]) -> hmac::Tag {
        let mut context = hmac::Context::with_key(key);
        context.update(self.cluster.as_bytes());
        context.update(&[0]);
        context.update(frame);
        context.sign()
    }

    /// Verifies a frame; returns the sender's incarnation and the message.
    ///
    /// # Errors
    /// The reason to drop it.
    pub fn open<'f>(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        frame: &'f [u8],
    ) -> Result<(Incarnation, &'f [u8]), DropReason> {
        if frame.len() < OVERHEAD || frame.len() > DATAGRAM_MAX || frame[..2] != MAGIC {
            return Err(DropReason::NoFrame);
        }
        if frame[2] != FRAME_VERSION {
            return Err(DropReason::AnotherFrame);
        }
        if read_big_endian(&frame[4..12]) != self.tag {
            return Err(DropReason::AnotherFleet);
        }
        let (signed, mac) = frame.split_at(frame.len() - MAC_BYTES);
        let mut keys = self
            .keys
            .keys
            .iter()
            .filter(|(number, _)| *number == frame[3])
            .peekable();
        if keys.peek().is_none() {
            return Err(DropReason::UnknownKey);
        }
        let right =
            keys.any(|(_, key)| macs_are_equal(&self.mac(key, signed).as_ref()[..MAC_BYTES], mac));
        if !right {
            return Err(DropReason::BadMac);
        }
        let incarnation = Incarnation(read_big_endian(&frame[12..20]));
        self.check_replay(
            now,
            unix_ms,
            incarnation,
            read_big_endian(&frame[20..26]),
            read_big_endian(&frame[26..32]),
        )?;
        Ok((incarnation, &signed[HEADER_BYTES..]))
    }

    /// Replay protection. For an unknown incarnation the frame's time must be close to ours; after
    /// that the sequence number is enough, whatever its clock does.
    fn check_replay(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        incarnation: Incarnation,
        sealed_unix_ms: u64,
        count: u64,
    ) -> Result<(), DropReason> {
        if let Some(window) = self.windows.get_mut(&incarnation) {
            window.last_received = now;
            return if window.accept(count) {
                Ok(())
            } else {
                Err(DropReason::Replayed)
            };
        }
        if sealed_unix_ms.abs_diff(unix_ms) > self.skew_ms {
            return Err(DropReason::OutOfTime);
        }
        if self.windows.len() >= self.windows_max {
            let silent = self
                .windows
                .iter()
                .min_by_key(|(_, window)| window.last_received)
                .map(|(incarnation, _)| *incarnation);
            silent.map(|incarnation| self.windows.remove(&incarnation));
        }
        let mut window = ReplayWindow {
            last_received: now,
            ..ReplayWindow::default()
        };
        window.accept(count);
        self.windows.insert(incarnation, window);
        Ok(())
    }
}

/// Incarnations of observers, which are no members.
pub fn observer_incarnation(seed: u64) -> Incarnation {
    Incarnation(seed | 1 << 63)
}

#[cfg(test)]
mod tests;
