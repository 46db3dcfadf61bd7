//! The free and leased units of one key, and the decision how many units a borrower is granted.

use crate::Nanos;
use crate::clock::drift_extended;
use crate::keyed_quota::{KeyGrant, KeyRequest, KeyedQuota, QuotaKind, QuotaTiming};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The lender's record of one borrower's units of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct BorrowerUnits {
    /// The borrower's number in the lender's table.
    pub(super) borrower: u32,
    /// Sequence number of the borrower's latest request; 0 before the first.
    request: u32,
    units: u32,
    demand: u32,
    last_request_at: Nanos,
    /// Time from which none of the units is in use.
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

/// Numbers of free, leased and needed units of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyUsage {
    /// Number of units that are free to be granted.
    pub free: u32,
    /// Number of units leased to all borrowers.
    pub leased: u32,
    /// Number of units that all borrowers together need, by their latest requests.
    pub demand: u64,
    /// Number of borrowers of which the lender has a record for the key.
    pub borrowers: usize,
}

/// The quota and the timing that a grant follows.
#[derive(Clone, Copy)]
pub(super) struct GrantTerms<'a> {
    pub(super) quota: &'a KeyedQuota,
    pub(super) timing: &'a QuotaTiming,
}

/// The units of a key that is in use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyUnits {
    pub(super) free: u32,
    /// Time up to which units have been created.
    created_until: Nanos,
    /// Records of the borrowers, sorted by the borrower's number.
    pub(super) borrowers: Vec<BorrowerUnits>,
}

impl KeyUnits {
    /// Creates a key of which no unit is leased.
    pub(super) fn new(now: Nanos, free: u32) -> KeyUnits {
        KeyUnits {
            free,
            created_until: now,
            borrowers: Vec::new(),
        }
    }

    /// Returns the index of a borrower, or the index at which to insert it.
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

    pub(super) fn usage(&self) -> KeyUsage {
        KeyUsage {
            free: self.free,
            leased: self.leased(),
            demand: self.demand(),
            borrowers: self.borrowers.len(),
        }
    }

    /// Creates the units due up to `until`, as far as the pool has room next to the free and leased
    /// units.
    fn create_units(&mut self, until: Nanos, pool: u32, interval: Nanos) {
        let created = until.saturating_sub(self.created_until) / interval.max(1);
        let room = u64::from(pool.saturating_sub(self.free.saturating_add(self.leased())));
        self.free = self.free.saturating_add(created.min(room) as u32).min(pool);
        self.created_until = if created < room {
            self.created_until + created * interval
        } else {
            until.max(self.created_until)
        };
    }

    /// Removes expired leases and creates the units due up to now. Units lost with an expired lease
    /// are created anew only from the end of that lease, because until then they could still be
    /// spent.
    pub(super) fn bring_up_to_date(&mut self, now: Nanos, quota: &KeyedQuota) {
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
                    self.create_units(last_expiry, pool, interval);
                    self.borrowers.retain(|borrower| borrower.expired_at > now);
                }
                self.create_units(now, pool, interval);
            }
            _ => {
                self.borrowers.retain(|borrower| borrower.expired_at > now);
                self.free = pool.saturating_sub(self.leased());
            }
        }
    }

    /// Grants units to the borrower at an index. Returns `None` for a request that is not later
    /// than the borrower's latest one.
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
        let elapsed = self.record_request(now, index, terms, number, request);
        let units = self.borrowers[index].units;
        let (pool, leased) = (quota.pool(), self.leased());
        let interval = quota.unit_interval().unwrap_or(Nanos::MAX).max(1);
        let unmet_demand = self.unmet_demand();
        if let QuotaKind::InFlight { .. } = quota.kind {
            self.free = pool.saturating_sub(leased);
        }
        let share = match quota.kind {
            QuotaKind::InFlight { .. } => self.share_in_flight(index, pool.max(leased)),
            _ if unmet_demand <= u64::from(self.free) => f64::from(request.wanted),
            _ => self.share_of_scarce_rate(timing, interval, elapsed, request.wanted, unmet_demand),
        };
        let share = share.max(0.0);
        let whole = share.floor() as u32 + u32::from(rng.random::<f64>() < share.fract());
        let added = whole.min(request.wanted).min(self.free);
        self.borrowers[index].units += added;
        self.free -= added;
        debug_assert!(
            matches!(quota.kind, QuotaKind::InFlight { .. })
                || self.free + self.leased() <= pool.max(leased),
            "the free and leased units fit into the pool"
        );
        if units + added == 0 && request.wanted == 0 {
            self.borrowers.remove(index);
        }
        let retry_after = match (request.wanted > 0 && added == 0, quota.kind) {
            (false, _) => 0,
            // The time in which the borrower's share of the created units amounts to one unit.
            (true, QuotaKind::Rate { .. }) => interval
                .saturating_mul(unmet_demand / u64::from(request.wanted.max(1)))
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

    /// Records what a borrower reports in a request. Returns the time since the borrower's previous
    /// request, in nanoseconds, at most a lease duration.
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
                // Units that are neither kept nor released were spent.
                let kept = request.kept.min(borrower.units);
                self.free += request.released.min(borrower.units - kept);
                borrower.units = kept;
            }
            // A borrower whose lease has expired may still have more units in flight than its
            // record says.
            QuotaKind::InFlight { .. } => borrower.units = request.kept,
        }
        borrower.request = number;
        borrower.demand = request.kept.saturating_add(request.wanted);
        borrower.expired_at =
            now + drift_extended(timing.lease_duration) + quota.use_after_expiry();
        now.saturating_sub(std::mem::replace(&mut borrower.last_request_at, now))
            .min(timing.lease_duration)
    }

    /// Returns the number of units that the borrowers need beyond those that they have, by their
    /// latest reports; at least 1. A borrower with more units than it needs does not reduce the
    /// sum.
    fn unmet_demand(&self) -> u64 {
        let lack =
            |borrower: &BorrowerUnits| u64::from(borrower.demand.saturating_sub(borrower.units));
        self.borrowers.iter().map(lack).sum::<u64>().max(1)
    }

    /// Returns the number of further units in flight to which a borrower is entitled. The limit is
    /// divided among the borrowers in proportion to their demands, and none gets more than its
    /// demand. The units that the borrower already has are subtracted, so the result may be
    /// negative.
    fn share_in_flight(&self, index: usize, units_in_all: u32) -> f64 {
        let BorrowerUnits { units, demand, .. } = self.borrowers[index];
        let part = f64::from(demand) / self.demand().max(1) as f64;
        f64::from(demand).min(f64::from(units_in_all) * part) - f64::from(units)
    }

    /// Returns the number of units of a rate to which a borrower is entitled while the free units
    /// do not meet the demand. Two quantities are divided among the borrowers in proportion to
    /// their unmet demands: the units created since the borrower's previous request, and the
    /// surplus of free units beyond those created in one request interval. The surplus is spread
    /// over a renewal interval.
    fn share_of_scarce_rate(
        &self,
        timing: &QuotaTiming,
        interval: Nanos,
        elapsed: Nanos,
        wanted: u32,
        unmet_demand: u64,
    ) -> f64 {
        let part = f64::from(wanted) / unmet_demand as f64;
        let created_per_request = timing.request_interval as f64 / interval as f64;
        let surplus = (f64::from(self.free) - created_per_request).max(0.0) * elapsed as f64
            / timing.renewal_interval as f64;
        (elapsed as f64 / interval as f64 + surplus) * part
    }
}
