//! Rotation of the presented identity, as a state machine over time. [`Rotation`] requests the next
//! SVID at half of the remaining lifetime of the current one, with jitter. While the issuer is
//! unreachable, it keeps presenting the last valid SVID and logs this state; once that SVID has
//! expired, it presents none. Failed requests are repeated with backoff and jitter. The state
//! machine does no I/O: it requests side effects from a [`Host`].

use crate::{Nanos, SpiffeId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;

const SECOND: Nanos = 1_000_000_000;
/// Largest deviation from the renewal time, as a fraction of the remaining lifetime. The next
/// identity is requested at half of the remaining lifetime of the current one, earlier or later by
/// up to this fraction, so that nodes that started together do not send their requests at the same
/// time.
const RENEWAL_JITTER: f64 = 0.1;
/// Backoff after the first failure, in nanoseconds. The backoff doubles with each failure; the
/// actual wait is drawn between half of the backoff and all of it.
const BACKOFF_FIRST: Nanos = SECOND;
/// Maximum backoff, in nanoseconds.
const BACKOFF_MAX: Nanos = 60 * SECOND;
/// Time to wait for the answer to a request, in nanoseconds, after which the stream counts as
/// failed.
const ANSWER_TIMEOUT: Nanos = 10 * SECOND;
/// Interval at which an unreachable issuer or an expired identity is logged again, in nanoseconds.
const LOG_PERIOD: Nanos = 60 * SECOND;
/// Maximum clock skew, and maximum grace of [`crate::sessions::Sessions`], in nanoseconds. An
/// identity is accepted up to the skew before the start of its validity, and is presented until the
/// end of its validity less the skew.
pub const SKEW_MOST: Nanos = 60 * SECOND;

/// Identity that the issuer sent, without its private key, which only the host has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Svid {
    /// SPIFFE id of the identity.
    pub id: SpiffeId,
    /// Number that distinguishes this identity from all others; never reused.
    pub serial: u64,
    /// Start of the validity, in nanoseconds.
    pub not_before: Nanos,
    /// End of the validity, in nanoseconds.
    pub not_after: Nanos,
}

/// Environment of a [`Rotation`], which carries out its side effects.
pub trait Host {
    /// Requests an identity from the issuer over a new stream, and closes an open stream.
    fn request_svid(&mut self);
    /// Presents this identity on new connections from now on; with `None`, presents no identity.
    fn present(&mut self, svid: Option<&Svid>);
    /// Schedules a call of [`Rotation::on_timer`] at this time; replaces the timer set before.
    fn set_timer(&mut self, at: Nanos);
    /// Writes a line to the log.
    fn log(&mut self, line: fmt::Arguments<'_>);
}

/// Reason why an identity from the issuer is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SvidRejection {
    /// The identity has expired or expires within the clock skew.
    #[error("the identity has expired")]
    Expired,
    /// The validity of the identity starts later than the clock skew allows.
    #[error("the identity is not valid yet")]
    NotYet,
    /// The end of the validity is not after its start.
    #[error("the validity of the identity ends before it starts")]
    Backwards,
    /// The identity expires before the current one, which is still presented: the new one is an
    /// older identity that arrived late.
    #[error("the identity expires before the current one")]
    Older,
    /// The identity belongs to a different trust domain than the current one; a rotation never
    /// changes the trust domain.
    #[error("the identity belongs to a different trust domain than the current one")]
    Foreign,
}

/// State of a [`Rotation`], which is logged when it changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RotationState {
    /// No identity has been received yet.
    Waiting,
    /// A valid identity is presented, and the issuer is reachable.
    Holding,
    /// A valid identity is presented, and the last request to the issuer failed.
    Orphaned,
    /// The last received identity has expired; no identity is presented.
    Expired,
}

/// State of the stream to the issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stream {
    /// An identity was requested at this time; the issuer has not answered yet.
    Requested { since: Nanos },
    /// The issuer has answered and is expected to send new identities over the stream.
    Open,
    /// The stream failed; the next attempt is made at this time.
    Failed { next: Nanos },
}

/// State machine that keeps a valid identity presented.
pub struct Rotation {
    skew: Nanos,
    current: Option<Svid>,
    /// Serial of the presented identity; `None` while no identity is presented.
    presented: Option<u64>,
    stream: Stream,
    /// Time at which the next identity is requested although the stream is open.
    renew_at: Nanos,
    /// Number of consecutive failures of the stream to the issuer.
    failures: u32,
    logged_at: Nanos,
    state: RotationState,
    now: Nanos,
    rng: Pcg64Mcg,
}

impl Rotation {
    /// Creates a state machine, which requests an identity immediately. `skew` is the clock skew in
    /// nanoseconds, capped at [`SKEW_MOST`]; `seed` initialises the jitter.
    pub fn new(now: Nanos, skew: Nanos, seed: u64, host: &mut impl Host) -> Rotation {
        let rotation = Rotation {
            skew: skew.min(SKEW_MOST),
            current: None,
            presented: None,
            stream: Stream::Requested { since: now },
            renew_at: Nanos::MAX,
            failures: 0,
            logged_at: now,
            state: RotationState::Waiting,
            now,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        host.request_svid();
        rotation.set_timer(host);
        rotation
    }

    /// Returns the last identity that was accepted, even if it has expired.
    pub fn current(&self) -> Option<&Svid> {
        self.current.as_ref()
    }

    /// Returns the state that was determined by the last event.
    pub fn state(&self) -> RotationState {
        self.state
    }

    /// Returns the time until which an identity is presented: the end of its validity less the
    /// skew, but at least half of its lifetime.
    fn presented_until(&self, svid: &Svid) -> Nanos {
        let life = svid.not_after.saturating_sub(svid.not_before);
        svid.not_after.saturating_sub(self.skew.min(life / 2))
    }

    /// Sets the current time. If the clock steps back, the time stays, so that no earlier decision
    /// is reversed.
    fn advance(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    /// Handles an identity from the issuer. An identity that cannot be used leaves the current one
    /// in place and counts as a failure of the stream.
    ///
    /// # Errors
    ///
    /// Returns the reason why the identity is not used.
    pub fn on_svid(
        &mut self,
        now: Nanos,
        svid: Svid,
        host: &mut impl Host,
    ) -> Result<(), SvidRejection> {
        self.advance(now);
        if let Err(reason) = self.check_svid(&svid) {
            host.log(format_args!(
                "identity: {} from the issuer is not used: {reason:?}",
                svid.id
            ));
            self.stream_failed(host);
            return Err(reason);
        }
        (self.stream, self.failures) = (Stream::Open, 0);
        if self.current.as_ref() != Some(&svid) {
            // Half of the remaining rather than of the whole lifetime, so that an identity that was
            // sent late is renewed in time.
            let left = self.presented_until(&svid).saturating_sub(self.now);
            let spread = RENEWAL_JITTER * (2.0 * self.rng.random::<f64>() - 1.0);
            self.renew_at = self.now + (left as f64 * (0.5 + spread)) as Nanos;
            self.current = Some(svid);
        }
        self.update(host);
        Ok(())
    }

    /// Checks whether an identity may replace the current one.
    fn check_svid(&self, svid: &Svid) -> Result<(), SvidRejection> {
        if svid.not_after <= svid.not_before {
            return Err(SvidRejection::Backwards);
        }
        if self.presented_until(svid) <= self.now {
            return Err(SvidRejection::Expired);
        }
        if svid.not_before > self.now.saturating_add(self.skew) {
            return Err(SvidRejection::NotYet);
        }
        match &self.current {
            Some(current) if current.id.domain() != svid.id.domain() => Err(SvidRejection::Foreign),
            Some(current)
                if svid.not_after < current.not_after
                    && self.presented_until(current) > self.now =>
            {
                Err(SvidRejection::Older)
            }
            _ => Ok(()),
        }
    }

    /// Handles a stream that failed, could not be opened, or delivered an invalid answer.
    pub fn on_stream_failed(&mut self, now: Nanos, host: &mut impl Host) {
        self.advance(now);
        self.stream_failed(host);
    }

    fn stream_failed(&mut self, host: &mut impl Host) {
        if let Stream::Failed { .. } = self.stream {
            return; // the next attempt is already scheduled
        }
        let backoff = BACKOFF_MAX.min(BACKOFF_FIRST << self.failures.min(6));
        self.failures += 1;
        let wait = (backoff as f64 * (0.5 + 0.5 * self.rng.random::<f64>())) as Nanos;
        self.stream = Stream::Failed {
            next: self.now + wait,
        };
        self.update(host);
    }

    /// Handles the timer that was set with [`Host::set_timer`].
    pub fn on_timer(&mut self, now: Nanos, host: &mut impl Host) {
        self.advance(now);
        match self.stream {
            Stream::Requested { since } if self.now >= since + ANSWER_TIMEOUT => {
                self.stream_failed(host)
            }
            Stream::Failed { next } if self.now >= next => self.request_svid(host),
            Stream::Open if self.now >= self.renew_at => {
                // The issuer should have sent a new identity over the open stream by now; the
                // stream may be dead.
                self.renew_at = Nanos::MAX;
                self.request_svid(host);
            }
            _ => {}
        }
        self.update(host);
    }

    fn request_svid(&mut self, host: &mut impl Host) {
        self.stream = Stream::Requested { since: self.now };
        host.request_svid();
    }

    /// Updates the presented identity, logs a change of state or a state that persists, and sets
    /// the timer.
    fn update(&mut self, host: &mut impl Host) {
        let valid = self
            .current
            .as_ref()
            .filter(|svid| self.presented_until(svid) > self.now);
        let serial = valid.map(|svid| svid.serial);
        if serial != self.presented {
            host.present(valid);
            self.presented = serial;
        }
        let unreachable = self.failures > 0;
        let state = match (&self.current, serial) {
            (None, _) => RotationState::Waiting,
            (Some(_), None) => RotationState::Expired,
            (Some(_), Some(_)) if unreachable => RotationState::Orphaned,
            _ => RotationState::Holding,
        };
        let log_again = matches!(state, RotationState::Orphaned | RotationState::Expired)
            && self.now >= self.logged_at + LOG_PERIOD;
        if state != self.state || log_again {
            self.logged_at = self.now;
            let left = self.current.as_ref().map_or(0, |svid| {
                self.presented_until(svid).saturating_sub(self.now)
            }) / SECOND;
            let (from, failures) = (self.state, self.failures);
            host.log(format_args!(
                "identity: {from:?}->{state:?}, {left} s left, {failures} consecutive failures"
            ));
            self.state = state;
        }
        self.set_timer(host);
    }

    /// Sets the timer to the next time at which something is due.
    fn set_timer(&self, host: &mut impl Host) {
        let stream_due = match self.stream {
            Stream::Requested { since } => since + ANSWER_TIMEOUT,
            Stream::Failed { next } => next,
            Stream::Open => self.renew_at,
        };
        let expiry = self
            .current
            .as_ref()
            .map(|svid| self.presented_until(svid))
            .filter(|expiry| *expiry > self.now);
        let log_due = matches!(self.state, RotationState::Orphaned | RotationState::Expired)
            .then_some(self.logged_at + LOG_PERIOD);
        let next = [Some(stream_due), expiry, log_due]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(stream_due);
        host.set_timer(next.max(self.now + 1));
    }
}

#[cfg(test)]
mod tests;
