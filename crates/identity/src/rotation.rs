//! Which identity is presented when: the life of an SVID as a state machine over time. It asks for
//! the next one at half its life, spread by chance; goes on with the last good one while the issuer
//! is away, loudly; presents nothing once that has expired; and backs off with jitter while asking
//! fails. It does no I/O: what is to be done is told to a [`Host`].

use crate::{Nanos, SpiffeId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;

const SECOND: Nanos = 1_000_000_000;
/// The next identity is asked for at half the life of the one in hand, moved by up to this part of
/// the life either way, so that nodes that started together do not ask together.
const SPREAD: f64 = 0.1;
/// Tries after a failure, from the first to the longest pause; each is drawn from half the pause to
/// the whole of it.
const FIRST_PAUSE: Nanos = SECOND;
const LONGEST_PAUSE: Nanos = 60 * SECOND;
/// An answer has so long to come before the stream counts as silent and is made again.
const ANSWER_LIMIT: Nanos = 10 * SECOND;
/// While the issuer is away and something is in hand, this is told again so often.
const TELL_AGAIN: Nanos = 60 * SECOND;
/// Clocks may differ by so much, and no grace may be longer: an identity is taken for valid so long
/// before its beginning, and is presented no longer than its end less this.
pub const SKEW_MOST: Nanos = 60 * SECOND;

/// An identity as it was handed out; its key lies with the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Svid {
    /// Whose it is.
    pub id: SpiffeId,
    /// Tells it from others that were handed out; never used again.
    pub serial: u64,
    /// From when on it is valid.
    pub not_before: Nanos,
    /// Until when.
    pub not_after: Nanos,
}

/// What the machine has done.
pub trait Host {
    /// Ask the issuer, over a new stream; one that is open is given up.
    fn ask(&mut self);
    /// From now on this identity is presented to whoever connects; nothing if there is none that
    /// may be.
    fn present(&mut self, svid: Option<&Svid>);
    /// Call [`Rotation::alarm`] at this time; replaces the alarm before.
    fn wake(&mut self, at: Nanos);
    /// Write a line to the log.
    fn log(&mut self, line: fmt::Arguments<'_>);
}

/// Why an identity that was offered is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// It is over, or would be within the skew of clocks.
    Expired,
    /// It begins later than clocks may differ.
    NotYet,
    /// It ends before it begins.
    Backwards,
    /// It ends before the one in hand: an old one that came late.
    Older,
    /// It is of another trust domain than the one in hand, which no rotation changes.
    Foreign,
}

/// The state as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Nothing in hand yet.
    Waiting,
    /// An identity in hand, the issuer there.
    Holding,
    /// An identity in hand, the issuer away.
    Orphaned,
    /// What was in hand has expired.
    Expired,
}

/// The stream to the issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stream {
    /// Asked, no answer yet.
    Asked { since: Nanos },
    /// It has answered, and goes on to do so when something changes.
    Open,
    /// Broken; the next try is then.
    Down { next: Nanos },
}

/// The life of one identity.
pub struct Rotation {
    skew: Nanos,
    held: Option<Svid>,
    presented: Option<u64>,
    stream: Stream,
    /// When the next one is asked for though the stream is open.
    renew: Nanos,
    /// Failures in a row.
    failures: u32,
    told: Nanos,
    mode: Mode,
    now: Nanos,
    rng: Pcg64Mcg,
}

impl Rotation {
    /// A machine that asks at once. The skew of clocks is cut to [`SKEW_MOST`].
    pub fn new(now: Nanos, skew: Nanos, seed: u64, host: &mut impl Host) -> Rotation {
        let rotation = Rotation {
            skew: skew.min(SKEW_MOST),
            held: None,
            presented: None,
            stream: Stream::Asked { since: now },
            renew: Nanos::MAX,
            failures: 0,
            told: now,
            mode: Mode::Waiting,
            now,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        host.ask();
        rotation.arm(host);
        rotation
    }

    /// The identity in hand, valid or not.
    pub fn held(&self) -> Option<&Svid> {
        self.held.as_ref()
    }

    /// The state.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Up to when an identity is presented: its end, less the skew, but at least half its life.
    fn ends(&self, svid: &Svid) -> Nanos {
        let life = svid.not_after.saturating_sub(svid.not_before);
        svid.not_after.saturating_sub(self.skew.min(life / 2))
    }

    /// The clock may step back; what was decided stays decided.
    fn at(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    /// The issuer handed out an identity. One that can't be used changes nothing, and counts as a
    /// failure of the stream.
    pub fn offered(&mut self, now: Nanos, svid: Svid, host: &mut impl Host) -> Result<(), Turned> {
        self.at(now);
        if let Err(why) = self.fits(&svid) {
            host.log(format_args!(
                "identity: {} was offered and not taken: {why:?}",
                svid.id
            ));
            self.failed(host);
            return Err(why);
        }
        (self.stream, self.failures) = (Stream::Open, 0);
        if self.held.as_ref() != Some(&svid) {
            // Asked for again at half of what is left of its life, so that one that was handed out
            // late is renewed in time.
            let left = self.ends(&svid).saturating_sub(self.now);
            let spread = SPREAD * (2.0 * self.rng.random::<f64>() - 1.0);
            self.renew = self.now + (left as f64 * (0.5 + spread)) as Nanos;
            self.held = Some(svid);
        }
        self.settle(host);
        Ok(())
    }

    fn fits(&self, svid: &Svid) -> Result<(), Turned> {
        if svid.not_after <= svid.not_before {
            return Err(Turned::Backwards);
        }
        if self.ends(svid) <= self.now {
            return Err(Turned::Expired);
        }
        if svid.not_before > self.now.saturating_add(self.skew) {
            return Err(Turned::NotYet);
        }
        match &self.held {
            Some(held) if held.id.domain() != svid.id.domain() => Err(Turned::Foreign),
            Some(held) if svid.not_after < held.not_after && self.ends(held) > self.now => {
                Err(Turned::Older)
            }
            _ => Ok(()),
        }
    }

    /// The stream broke, could not be made, or brought what can't be read.
    pub fn broke(&mut self, now: Nanos, host: &mut impl Host) {
        self.at(now);
        self.failed(host);
    }

    fn failed(&mut self, host: &mut impl Host) {
        if let Stream::Down { .. } = self.stream {
            return; // known, and the next try is set
        }
        let pause = LONGEST_PAUSE.min(FIRST_PAUSE << self.failures.min(6));
        self.failures += 1;
        let drawn = (pause as f64 * (0.5 + 0.5 * self.rng.random::<f64>())) as Nanos;
        self.stream = Stream::Down {
            next: self.now + drawn,
        };
        self.settle(host);
    }

    /// The time that was asked for has come.
    pub fn alarm(&mut self, now: Nanos, host: &mut impl Host) {
        self.at(now);
        match self.stream {
            Stream::Asked { since } if self.now >= since + ANSWER_LIMIT => self.failed(host),
            Stream::Down { next } if self.now >= next => self.ask(host),
            Stream::Open if self.now >= self.renew => {
                // The issuer should have told of a new one by itself; a stream that says nothing
                // may be dead.
                self.renew = Nanos::MAX;
                self.ask(host);
            }
            _ => {}
        }
        self.settle(host);
    }

    fn ask(&mut self, host: &mut impl Host) {
        self.stream = Stream::Asked { since: self.now };
        host.ask();
    }

    /// Presents what is to be presented, tells of a change of mode, and sets the alarm.
    fn settle(&mut self, host: &mut impl Host) {
        let valid = self.held.as_ref().filter(|svid| self.ends(svid) > self.now);
        let serial = valid.map(|svid| svid.serial);
        if serial != self.presented {
            host.present(valid);
            self.presented = serial;
        }
        let away = self.failures > 0;
        let mode = match (&self.held, serial) {
            (None, _) => Mode::Waiting,
            (Some(_), None) => Mode::Expired,
            (Some(_), Some(_)) if away => Mode::Orphaned,
            _ => Mode::Holding,
        };
        let again =
            matches!(mode, Mode::Orphaned | Mode::Expired) && self.now >= self.told + TELL_AGAIN;
        if mode != self.mode || again {
            self.told = self.now;
            let left = self
                .held
                .as_ref()
                .map_or(0, |svid| self.ends(svid).saturating_sub(self.now))
                / SECOND;
            let (from, failures) = (self.mode, self.failures);
            host.log(format_args!(
                "identity: {from:?}->{mode:?}, {left} s left, {failures} failures in a row"
            ));
            self.mode = mode;
        }
        self.arm(host);
    }

    fn arm(&self, host: &mut impl Host) {
        let stream = match self.stream {
            Stream::Asked { since } => since + ANSWER_LIMIT,
            Stream::Down { next } => next,
            Stream::Open => self.renew,
        };
        let ends = self
            .held
            .as_ref()
            .map(|svid| self.ends(svid))
            .filter(|ends| *ends > self.now);
        let tell =
            matches!(self.mode, Mode::Orphaned | Mode::Expired).then_some(self.told + TELL_AGAIN);
        let next = [Some(stream), ends, tell]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(stream);
        host.wake(next.max(self.now + 1));
    }
}

#[cfg(test)]
mod tests;
