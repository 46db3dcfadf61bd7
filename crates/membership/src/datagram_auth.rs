//! Datagram authentication: a keyed MAC and replay protection.
//!
//! A datagram is accepted only if it has the cluster's tag, a valid MAC and a sequence number that
//! was not seen before. All other datagrams are counted and dropped without a reply.
//!
//! Frame, big-endian: `mf` (2 bytes), frame version (1), key number (1), cluster tag (8), sender's
//! incarnation (8), Unix time in milliseconds (6), sequence number (6), message, MAC (16).

use crate::Nanos;
use crate::member::{Incarnation, hash};
use crate::messages::DATAGRAM_MAX;
use ring::digest;
use ring::hmac;
use std::collections::BTreeMap;
use std::fmt;

/// First bytes of every frame.
const MAGIC: [u8; 2] = *b"mf";
/// Frame version that is sent and accepted.
const FRAME_VERSION: u8 = 1;
/// Length of a frame before the message, in bytes.
const HEADER_BYTES: usize = 32;
/// Length of the truncated MAC, in bytes.
const MAC_BYTES: usize = 16;
/// Number of bytes that authentication adds to a message.
pub const OVERHEAD: usize = HEADER_BYTES + MAC_BYTES;
/// Maximum length of a message, in bytes.
pub const MESSAGE_MAX: usize = DATAGRAM_MAX - OVERHEAD;
/// Maximum number of keys that are valid at once; the second one is for key rotation.
pub const KEYS_MAX: usize = 2;
/// Minimum length of a key, in bytes.
const KEY_BYTES_MIN: usize = 16;

/// Reason why a datagram was dropped. Each reason has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DropReason {
    /// The datagram is too short, too long or lacks the magic bytes.
    NotAFrame,
    /// The frame version is not supported.
    OtherFrameVersion,
    /// The frame has the tag of another cluster.
    OtherCluster,
    /// No key has the number given in the frame.
    UnknownKey,
    /// No key with the given number yields the MAC of the frame.
    BadMac,
    /// The sequence number was received before or is older than the replay window.
    Replayed,
    /// The first datagram of an unknown incarnation has a time too far from the local clock.
    ClockSkew,
    /// The message cannot be decoded.
    Unreadable,
    /// The datagram exceeds the rate at which datagrams are checked.
    RateExceeded,
}

impl DropReason {
    /// Returns the name of the counter for this reason.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::NotAFrame => "datagrams that are none of a fleet",
            DropReason::OtherFrameVersion => "datagrams of another frame version",
            DropReason::OtherCluster => "datagrams of another fleet",
            DropReason::UnknownKey => "datagrams under an unknown key",
            DropReason::BadMac => "datagrams with a wrong MAC",
            DropReason::Replayed => "datagrams that came before",
            DropReason::ClockSkew => "datagrams from a clock too far away",
            DropReason::Unreadable => "datagrams that can't be read",
            DropReason::RateExceeded => "datagrams beyond the rate",
        }
    }
}

/// Error in the keys of a cluster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// There is no key, or there are more than [`KEYS_MAX`]; carries the number of keys.
    #[error("{0} keys; expected 1 to {KEYS_MAX}")]
    Count(usize),
    /// A key is too short; carries its length in bytes.
    #[error("key has {0} bytes; expected at least {KEY_BYTES_MIN}")]
    TooShort(usize),
    /// A line of a key file is not a hexadecimal key.
    #[error("line {line}: key is not valid hexadecimal")]
    NotHexadecimal {
        /// Line number in the file, starting at 1.
        line: usize,
    },
}

/// Keys of a cluster: the first one signs outgoing datagrams, all verify incoming ones.
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
    /// Creates the keys from their bytes, the signing key first.
    ///
    /// # Errors
    /// If there is no key, there are more than [`KEYS_MAX`], or a key is too short.
    pub fn new(keys: &[Vec<u8>]) -> Result<AuthKeys, KeyError> {
        if keys.is_empty() || keys.len() > KEYS_MAX {
            return Err(KeyError::Count(keys.len()));
        }
        if let Some(too_short) = keys.iter().find(|key| key.len() < KEY_BYTES_MIN) {
            return Err(KeyError::TooShort(too_short.len()));
        }
        let numbered = keys.iter().map(|key| {
            let number = digest::digest(&digest::SHA256, key).as_ref()[0];
            (number, hmac::Key::new(hmac::HMAC_SHA256, key))
        });
        Ok(AuthKeys {
            keys: numbered.collect(),
        })
    }

    /// Returns whether nodes with these and the `other` keys accept each other's datagrams: the
    /// signing key of each side is among the keys of the other side.
    pub fn are_compatible(&self, other: &AuthKeys) -> bool {
        let fingerprint = |key: &hmac::Key| hmac::sign(key, b"meet");
        let verifies = |verifier: &AuthKeys, signer: &AuthKeys| {
            signer.keys.first().is_some_and(|(_, first)| {
                verifier
                    .keys
                    .iter()
                    .any(|(_, key)| fingerprint(key).as_ref() == fingerprint(first).as_ref())
            })
        };
        verifies(self, other) && verifies(other, self)
    }

    /// Parses a key file with one hexadecimal key per line. Blank lines and lines that begin with
    /// `#` are skipped.
    ///
    /// # Errors
    /// If a line is not a hexadecimal key, or as for [`AuthKeys::new`].
    pub fn parse(text: &str) -> Result<AuthKeys, KeyError> {
        let lines = text.lines().enumerate().map(|(i, line)| (i, line.trim()));
        let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let keys: Result<Vec<_>, _> = lines
            .map(|(i, line)| decode_hex(line).ok_or(KeyError::NotHexadecimal { line: i + 1 }))
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

/// Sequence numbers received from an incarnation: the highest one, and a bitmap of the 64 below it.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    highest: u64,
    seen: u64,
    last_received: Nanos,
}

impl ReplayWindow {
    /// Records a sequence number; returns false if it was seen before or is older than the window.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let step = sequence - self.highest;
            self.seen = if step < 64 {
                self.seen << step | 1 << (step - 1)
            } else {
                0
            };
            self.highest = sequence;
            return true;
        }
        let below = self.highest - sequence;
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
    last_sequence: u64,
    /// Largest clock difference at which an unknown incarnation is accepted, in milliseconds.
    skew_ms: u64,
    windows: BTreeMap<Incarnation, ReplayWindow>,
    windows_max: usize,
}

impl DatagramAuth {
    /// Creates the state for one process of a cluster. It keeps the replay windows of at most
    /// `windows_max` incarnations and accepts an unknown incarnation only if its clock differs from
    /// the local one by at most `skew`.
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
            last_sequence: 0,
            skew_ms,
            windows: BTreeMap::new(),
            windows_max,
        }
    }

    /// Replaces the keys for signing and verifying.
    pub fn rekey(&mut self, keys: AuthKeys) {
        self.keys = keys;
    }

    /// Signs a message and returns the frame to send.
    pub fn seal(&mut self, unix_ms: u64, message: &[u8]) -> Vec<u8> {
        self.last_sequence += 1;
        let (number, key) = &self.keys.keys[0];
        let mut frame = Vec::with_capacity(OVERHEAD + message.len());
        frame.extend_from_slice(&MAGIC);
        frame.extend_from_slice(&[FRAME_VERSION, *number]);
        frame.extend_from_slice(&self.tag.to_be_bytes());
        frame.extend_from_slice(&self.incarnation.0.to_be_bytes());
        push_u48(&mut frame, unix_ms);
        push_u48(&mut frame, self.last_sequence);
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

    /// Verifies a frame and returns the sender's incarnation and the message.
    ///
    /// # Errors
    /// The reason why the frame is dropped.
    pub fn open<'f>(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        frame: &'f [u8],
    ) -> Result<(Incarnation, &'f [u8]), DropReason> {
        if frame.len() < OVERHEAD || frame.len() > DATAGRAM_MAX || frame[..2] != MAGIC {
            return Err(DropReason::NotAFrame);
        }
        if frame[2] != FRAME_VERSION {
            return Err(DropReason::OtherFrameVersion);
        }
        if read_big_endian(&frame[4..12]) != self.tag {
            return Err(DropReason::OtherCluster);
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
        let is_valid =
            keys.any(|(_, key)| macs_are_equal(&self.mac(key, signed).as_ref()[..MAC_BYTES], mac));
        if !is_valid {
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

    /// Checks a frame for replay. The first frame of an unknown incarnation must carry a time close
    /// to the local clock; after that the sequence number alone decides, even if the sender's clock
    /// jumps.
    fn check_replay(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        incarnation: Incarnation,
        sealed_unix_ms: u64,
        sequence: u64,
    ) -> Result<(), DropReason> {
        if let Some(window) = self.windows.get_mut(&incarnation) {
            window.last_received = now;
            return if window.accept(sequence) {
                Ok(())
            } else {
                Err(DropReason::Replayed)
            };
        }
        if sealed_unix_ms.abs_diff(unix_ms) > self.skew_ms {
            return Err(DropReason::ClockSkew);
        }
        if self.windows.len() >= self.windows_max {
            let longest_silent = self
                .windows
                .iter()
                .min_by_key(|(_, window)| window.last_received)
                .map(|(incarnation, _)| *incarnation);
            longest_silent.map(|incarnation| self.windows.remove(&incarnation));
        }
        let mut window = ReplayWindow {
            last_received: now,
            ..ReplayWindow::default()
        };
        window.accept(sequence);
        self.windows.insert(incarnation, window);
        Ok(())
    }
}

/// Returns the incarnation of an observer. The highest bit is set, which distinguishes observers
/// from members.
pub fn observer_incarnation(seed: u64) -> Incarnation {
    Incarnation(seed | 1 << 63)
}

#[cfg(test)]
mod tests;
