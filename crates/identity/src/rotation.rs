//! Which identity is presented when: the lifetime of an SVID as a state machine over time. It
//! requests the next one at half its lifetime, with jitter; goes on with the last good one while
//! the
//! issuer is unreachable, and logs that; presents nothing once that has expired; and backs off with
//! jitter while requests fail. It does no I/O: side effects are requested from a [`Host`].

use crate::{Nanos, SpiffeId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;

/// In nanoseconds.
const SECOND: Nanos = 1_000_000_000;
/// The next identity is requested at half the lifetime of the current one, moved by up to this part
/// of the lifetime either way, so that nodes that started together do not request together.
const RENEWAL_JITTER: f64 = 0.1;
/// The backoff after the first failure; the wait is drawn from half of the backoff to all of it.
const BACKOFF_FIRST: Nanos = SECOND;
/// The longest backoff.
const BACKOFF_MAX: Nanos = 60 * SECOND;
/// The timeout of an answer, after which the stream counts as failed.
const ANSWER_TIMEOUT: Nanos = 10 * SECOND;
/// The period at which an unreachable issuer is logged.
const LOG_PERIOD: Nanos = 60 * SECOND;
/// The largest clock skew, in nanoseconds, and the longest grace: an identity counts as valid up to
/// this long before its beginning, and is presented up to its end less the skew.
pub const SKEW_MOST: Nanos = 60 * SECOND;

/// An identity as the issuer sent it; the host has its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Svid {
    /// Its id.
    pub id: SpiffeId,
    /// A number that distinguishes it from others; never reused.
    pub serial: u64,
    /// The start of its validity.
    pub not_before: Nanos,
    /// The end of its validity.
    pub not_after: Nanos,
}

/// Side effects that the state machine requests.
pub trait Host {
    /// Request an identity from the issuer over a new stream; an open one is closed.
    fn request_svid(&mut self);
    /// Present this identity on new connections from now on; none if `None`.
    fn present(&mut self, svid: Option<&Svid>);
    /// Call [`Rotation::on_timer`] at this time; replaces the timer set before.
    fn set_timer(&mut self, at: Nanos);
    /// Write a line to the log.
    fn log(&mut self, line: fmt::Arguments<'_>);
}

/// Why an identity from the issuer is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SvidRejection {
    /// It has expired, or will within the clock skew.
    #[error("the identity has expired")]
    Expired,
    /// Its validity begins later than the clock skew allows.
    #[error("the identity is not valid yet")]
    NotYet,
    /// It ends before it begins.
    #[error("the identity ends before it begins")]
    Backwards,
    /// It ends before the current one: an old one that came late.
    #[error("the identity ends before the current one")]
    Older,
    /// It has another trust domain than the current one, which no rotation changes.
    #[error("the identity has another trust domain than the current one")]
    Foreign,
}

/// The state as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RotationState {
    /// There is no identity yet.
    Waiting,
    /// There is an identity, and the issuer is reachable.
    Holding,
    /// There is an identity, and the issuer is unreachable.
    Orphaned,
    /// The identity has expired.
    Expired,
}

/// The stream to the issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stream {
    /// Requested, no answer yet.
    Asked { since: Nanos },
    /// It has answered, and sends changes.
    Open,
    /// Failed; the next attempt is at this time.
    Down { next: Nanos },
}

/// The lifetime of one identity.
pub struct Rotation {
    skew: Nanos,
    current: Option<Svid>,
    presented: Option<u64>,
    stream: Stream,
    /// When the next one is requested although the stream is open.
    renew: Nanos,
    /// Failures in a row.
    failures: u32,
    logged_at: Nanos,
    mode: RotationState,
    now: Nanos,
    rng: Pcg64Mcg,
}

impl Rotation {
    /// A state machine that requests an identity at once. The clock skew is at most [`SKEW_MOST`].
    pub fn new(now: Nanos, skew: Nanos, seed: u64, host: &mut impl Host) -> Rotation {
        let rotation = Rotation {
            skew: skew.min(SKEW_MOST),
            current: None,
            presented: None,
            stream: Stream::Asked { since: now },
            renew: Nanos::MAX,
            failures: 0,
            logged_at: now,
            mode: RotationState::Waiting,
            now,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        host.request_svid();
        rotation.arm(host);
        rotation
    }

    /// The current identity, valid or not.
    pub fn current(&self) -> Option<&Svid> {
        self.current.as_ref()
    }

    /// The state.
    pub fn state(&self) -> RotationState {
        self.mode
    }

    /// Until when an identity is presented: its end less the skew, but at least half its lifetime.
    fn ends(&self, svid: &Svid) -> Nanos {
        let life = svid.not_after.saturating_sub(svid.not_before);
        svid.not_after.saturating_sub(self.skew.min(life / 2))
    }

    /// The clock may step back; what was decided stays decided.
    fn at(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    /// The issuer sent an identity. One that can't be used changes nothing, and counts as a
    /// failure of
    /// the stream.
    ///
    /// # Errors
    ///
    /// Why it is not used.
    pub fn on_svid(
        &mut self,
        now: Nanos,
        svid: Svid,
        host: &mut impl Host,
    ) -> Result<(), SvidRejection> {
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
        if self.current.as_ref() != Some(&svid) {
            // At half of what is left of its lifetime, so that one that was sent late is renewed
            // in time.
            let left = self.ends(&svid).saturating_sub(self.now);
            let spread = RENEWAL_JITTER * (2.0 * self.rng.random::<f64>() - 1.0);
            self.renew = self.now + (left as f64 * (0.5 + spread)) as Nanos;
            self.current = Some(svid);
        }
        self.update(host);
        Ok(())
    }

    fn fits(&self, svid: &Svid) -> Result<(), SvidRejection> {
        if svid.not_after <= svid.not_before {
            return Err(SvidRejection::Backwards);
        }
        if self.ends(svid) <= self.now {
            return Err(SvidRejection::Expired);
        }
        if svid.not_before > self.now.saturating_add(self.skew) {
            return Err(SvidRejection::NotYet);
        }
        match &self.current {
            Some(current) if current.id.domain() != svid.id.domain() => Err(SvidRejection::Foreign),
            Some(current)
                if svid.not_after < current.not_after && self.ends(current) > self.now =>
            {
                Err(SvidRejection::Older)
            }
            _ => Ok(()),
        }
    }

    /// The stream failed, could not be opened, or had an answer that can't be read.
    pub fn on_stream_failed(&mut self, now: Nanos, host: &mut impl Host) {
        self.at(now);
        self.failed(host);
    }

    fn failed(&mut self, host: &mut impl Host) {
        if let Stream::Down { .. } = self.stream {
            return; // known, and the next attempt is scheduled
        }
        let pause = BACKOFF_MAX.min(BACKOFF_FIRST << self.failures.min(6));
        self.failures += 1;
        let drawn = (pause as f64 * (0.5 + 0.5 * self.rng.random::<f64>())) as Nanos;
        self.stream = Stream::Down {
            next: self.now + drawn,
        };
        self.update(host);
    }

    /// The timer has fired.
    pub fn on_timer(&mut self, now: Nanos, host: &mut impl Host) {
        self.at(now);
        match self.stream {
            Stream::Asked { since } if self.now >= since + ANSWER_TIMEOUT => self.failed(host),
            Stream::Down { next } if self.now >= next => self.request_svid(host),
            Stream::Open if self.now >= self.renew => {
                // The issuer should have sent a new one by itself; a silent stream may be dead.
                self.renew = Nanos::MAX;
                self.request_svid(host);
            }
            _ => {}
        }
        self.update(host);
    }

    fn request_svid(&mut self, host: &mut impl Host) {
        self.stream = Stream::Asked { since: self.now };
        host.request_svid();
    }

    /// Updates what is presented, logs a change of state, and sets the timer.
    fn update(&mut self, host: &mut impl Host) {
        let valid = self
            .current
            .as_ref()
            .filter(|svid| self.ends(svid) > self.now);
        let serial = valid.map(|svid| svid.serial);
        if serial != self.presented {
            host.present(valid);
            self.presented = serial;
        }
        let away = self.failures > 0;
        let mode = match (&self.current, serial) {
            (None, _) => RotationState::Waiting,
            (Some(_), None) => RotationState::Expired,
            (Some(_), Some(_)) if away => RotationState::Orphaned,
            _ => RotationState::Holding,
        };
        let again = matches!(mode, RotationState::Orphaned | RotationState::Expired)
            && self.now >= self.logged_at + LOG_PERIOD;
        if mode != self.mode || again {
            self.logged_at = self.now;
            let left = self
                .current
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
            Stream::Asked { since } => since + ANSWER_TIMEOUT,
            Stream::Down { next } => next,
            Stream::Open => self.renew,
        };
        let ends = self
            .current
            .as_ref()
            .map(|svid| self.ends(svid))
            .filter(|ends| *ends > self.now);
        let tell = matches!(self.mode, RotationState::Orphaned | RotationState::Expired)
            .then_some(self.logged_at + LOG_PERIOD);
        let next = [Some(stream), ends, tell]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(stream);
        host.set_timer(next.max(self.now + 1));
    }
}

#[cfg(test)]
mod tests;
