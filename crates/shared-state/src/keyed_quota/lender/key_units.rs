//! The units of one key: free ones, leased ones by borrower, and how many a borrower is granted.

use crate::Nanos;
use crate::clock::drift_extended;
use crate::keyed_quota::{KeyGrant, KeyRequest, KeyedQuota, QuotaKind, QuotaTiming};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// What a borrower has of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct BorrowerUnits {
    /// Its number in the lender's table.
    pub(super) borrower: u32,
    /// The number of its latest request.
    request: u32,
    units: u32,
    demand: u32,
    last_request_at: Nanos,
    /// From this time on none of its units is in use.
    expired_at: Nanos,
}

impl BorrowerUnits {
    pub(super) fn new(borrower: u32, last_request_at: Nanos) -> BorrowerUnits {
        BorrowerUnits {
            borrower,
            request: 0,
            units: 0,
            demand: 0,
            last_request_at,
            expired_at: 0,
        }
    }
}

/// The units of a key, as numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyUsage {
    /// Units that are free.
    pub free: u32,
    /// Units that are leased.
    pub leased: u32,
    /// Units that all borrowers need together.
    pub demand: u64,
    /// Borrowers.
    pub borrowers: usize,
}

/// What a grant goes by.
#[derive(Clone, Copy)]
pub(super) struct GrantTerms<'a> {
    pub(super) quota: &'a KeyedQuota,
    pub(super) timing: &'a QuotaTiming,
}

/// The units of a key that is in use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyUnits {
    pub(super) free: u32,
    /// Units are made up to this time.
    made_until: Nanos,
    /// Sorted by number.
    pub(super) borrowers: Vec<BorrowerUnits>,
}

impl KeyUnits {
    /// A key of which nothing is leased.
    pub(super) fn new(now: Nanos, free: u32) -> KeyUnits {
        KeyUnits {
            free,
            made_until: now,
            borrowers: Vec::new(),
        }
    }

    /// The index of a borrower, or where it is to be inserted.
    pub(super) fn index_of(&self, borrower: u32) -> Result<usize, usize> {
        self.borrowers
            .binary_search_by_key(&borrower, |units| units.borrower)
    }

    fn leased(&self) -> u32 {
        self.borrowers
            .iter()
            .map(|borrower| borrower.units)
            .fold(0, u32::saturating_add)
    }

    fn demand(&self) -> u64 {
        self.borrowers
            .iter()
            .map(|borrower| u64::from(borrower.demand))
            .sum()
    }

    /// The key's units as numbers.
    pub(super) fn usage(&self) -> KeyUsage {
        KeyUsage {
            free: self.free,
            leased: self.leased(),
            demand: self.demand(),
            borrowers: self.borrowers.len(),
        }
    }

    /// Makes units up to a time, as many as there is room for beside the leased ones.
    fn make(&mut self, until: Nanos, pool: u32, interval: Nanos) {
        let made = until.saturating_sub(self.made_until) / interval.max(1);
        let room = u64::from(pool.saturating_sub(self.free.saturating_add(self.leased())));
        self.free = self.free.saturating_add(made.min(room) as u32).min(pool);
        self.made_until = if made < room {
            self.made_until + made * interval
        } else {
            until.max(self.made_until)
        };
    }

    /// Brings it up to now. Units that were lost with an expired lease are made anew only from the
    /// end of that lease: until then they could still be spent.
    pub(super) fn settle(&mut self, now: Nanos, quota: &KeyedQuota) {
        let pool = quota.pool();
        let last_expiry = self
            .borrowers
            .iter()
            .map(|borrower| borrower.expired_at)
            .filter(|expired_at| *expired_at <= now)
            .max();
        match (quota.kind, quota.unit_interval()) {
            (QuotaKind::Rate { .. }, Some(interval)) => {
                if let Some(last_expiry) = last_expiry {
                    self.make(last_expiry, pool, interval);
                    self.borrowers.retain(|borrower| borrower.expired_at > now);
                }
                self.make(now, pool, interval);
            }
            _ => {
                self.borrowers.retain(|borrower| borrower.expired_at > now);
                self.free = pool.saturating_sub(self.leased());
            }
        }
    }

    /// Grants units to the borrower at an index. None to a request that was overtaken by a later one.
    pub(super) fn grant(
        &mut self,
        now: Nanos,
        index: usize,
        terms: GrantTerms<'_>,
        number: u32,
        request: &KeyRequest,
        rng: &mut Pcg64Mcg,
    ) -> Option<KeyGrant> {
        let GrantTerms { quota, timing } = terms;
        if number <= self.borrowers[index].request {
            return None;
        }
        let passed = self.record_request(now, index, terms, number, request);
        let units = self.borrowers[index].units;
        let (pool, leased) = (quota.pool(), self.leased());
        let interval = quota.unit_interval().unwrap_or(Nanos::MAX).max(1);
        let lack = self.lack();
        if let QuotaKind::InFlight { .. } = quota.kind {
            self.free = pool.saturating_sub(leased);
        }
        let share = match quota.kind {
            QuotaKind::InFlight { .. } => self.share_in_flight(index, pool.max(leased)),
            _ if lack <= u64::from(self.free) => f64::from(request.wanted),
            _ => self.share_of_short_rate(timing, interval, passed, request.wanted, lack),
        };
        let share = share.max(0.0);
        let whole = share.floor() as u32 + u32::from(rng.random::<f64>() < share.fract());
        let added = whole.min(request.wanted).min(self.free);
        self.borrowers[index].units += added;
        self.free -= added;
        debug_assert!(
            matches!(quota.kind, QuotaKind::InFlight { .. })
                || self.free + self.leased() <= pool.max(leased),
            "no unit is in two places"
        );
        if units + added == 0 && request.wanted == 0 {
            self.borrowers.remove(index);
        }
        let retry_after = match (request.wanted > 0 && added == 0, quota.kind) {
            (false, _) => 0,
            // Its share of the units that are made: one in this time.
            (true, QuotaKind::Rate { .. }) => interval
                .saturating_mul(lack / u64::from(request.wanted.max(1)))
                .clamp(timing.request_interval, timing.lease_duration),
            (true, QuotaKind::InFlight { .. }) => timing.renewal_interval,
        };
        Some(KeyGrant {
            quota: request.quota,
            key: request.key,
            added,
            retry_after,
        })
    }

    /// Takes up what a borrower reports. Returns the time since its last request, in nanoseconds, at
    /// most a lease duration.
    fn record_request(
        &mut self,
        now: Nanos,
        index: usize,
        GrantTerms { quota, timing }: GrantTerms<'_>,
        number: u32,
        request: &KeyRequest,
    ) -> Nanos {
        let borrower = &mut self.borrowers[index];
        match quota.kind {
            QuotaKind::Rate { .. } => {
                // What is neither kept nor released was spent.
                let kept = request.kept.min(borrower.units);
                self.free += request.released.min(borrower.units - kept);
                borrower.units = kept;
            }
            // A borrower whose lease had expired may still use more than it was granted.
            QuotaKind::InFlight { .. } => borrower.units = request.kept,
        }
        borrower.request = number;
        borrower.demand = request.kept.saturating_add(request.wanted);
        borrower.expired_at =
            now + drift_extended(timing.lease_duration) + quota.use_after_expiry();
        now.saturating_sub(std::mem::replace(&mut borrower.last_request_at, now))
            .min(timing.lease_duration)
    }

    /// Units that the borrowers lack, each as it reported last, at least 1. A borrower that has what
    /// it needs has no claim on more.
    fn lack(&self) -> u64 {
        let lack =
            |borrower: &BorrowerUnits| u64::from(borrower.demand.saturating_sub(borrower.units));
        self.borrowers.iter().map(lack).sum::<u64>().max(1)
    }

    /// Of a number in flight: units by the borrower's part of the demand, beside those that it has.
    fn share_in_flight(&self, index: usize, units_in_all: u32) -> f64 {
        let BorrowerUnits { units, demand, .. } = self.borrowers[index];
        let part = f64::from(demand) / self.demand().max(1) as f64;
        f64::from(demand).min(f64::from(units_in_all) * part) - f64::from(units)
    }

    /// Of a rate that is short: the borrower's part of the units that were made since its last
    /// request, and over time of those that are left over.
    fn share_of_short_rate(
        &self,
        timing: &QuotaTiming,
        interval: Nanos,
        passed: Nanos,
        wanted: u32,
        lack: u64,
    ) -> f64 {
        let part = f64::from(wanted) / lack as f64;
        let in_turn = timing.request_interval as f64 / interval as f64;
        let left_over = (f64::from(self.free) - in_turn).max(0.0) * passed as f64
            / timing.renewal_interval as f64;
        (passed as f64 / interval as f64 + left_over) * part
    }
}
