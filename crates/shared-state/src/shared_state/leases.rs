//! Requests for leases and quotas, and the leader's answers. A leader that borrows from itself runs
//! the same code without sending messages.

use super::{Host, SharedState};
use crate::budget::fair_share::Demand;
use crate::budget::{Budget, BudgetRequest, Lease};
use crate::keyed_quota::{QuotaGrant, QuotaRequest};
use crate::messages::{LimitMessage, SharedMessage};
use crate::{Nanos, ProcessId};
use rand::RngExt;

/// Number of leader leases without a grant after which the leader counts as lost.
const SILENT_LEADER_LEASES: u64 = 2;

impl<H: Host> SharedState<H> {
    /// Requests leases from the leader, or, if no leader is known, from a random voter, which
    /// redirects the request.
    pub(super) fn request_leases(&mut self, now: Nanos) {
        if self.has_left {
            return;
        }
        let silent = SILENT_LEADER_LEASES * self.settings.leader_lease;
        if now > self.last_grant_at + silent && self.leader.take().is_some() {
            self.count("times nobody who lends answered");
        }
        let (sent_at, requests) = self.host.lease_requests(now);
        if requests.is_empty() && self.settings.quotas.is_empty() {
            return;
        }
        let voters = &self.settings.voters;
        let to = match self.leader {
            Some(leader) => leader.key,
            None if voters.is_empty() => return,
            None => voters[self.rng.random_range(0..voters.len())],
        };
        let zone = self.settings.zone;
        if to == self.settings.me.key {
            return self.answer_lease_request(now, self.settings.me, sent_at, zone, &requests);
        }
        let message = SharedMessage::Limits(LimitMessage::LeaseRequest {
            sent_at,
            zone,
            requests,
        });
        self.host.send(to, message);
    }

    /// Answers a request for leases from a borrower, which may be this node.
    pub(super) fn answer_lease_request(
        &mut self,
        now: Nanos,
        from: ProcessId,
        sent_at: Nanos,
        zone: u32,
        requests: &[BudgetRequest],
    ) {
        let me = self.settings.me;
        if !self.is_leader(now) {
            let leader = self.leader.filter(|leader| *leader != me);
            if from != me {
                let message = SharedMessage::Limits(LimitMessage::Redirect { leader });
                self.host.send(from.key, message);
            }
            return;
        }
        let leases = self.grant_leases(now, from, zone, requests);
        if from == me {
            return self.receive_leases(now, sent_at, &leases);
        }
        let message = SharedMessage::Limits(LimitMessage::LeaseGrant {
            request_sent_at: sent_at,
            leases,
        });
        self.host.send(from.key, message);
    }

    fn grant_leases(
        &mut self,
        now: Nanos,
        borrower: ProcessId,
        zone: u32,
        requests: &[BudgetRequest],
    ) -> Vec<(u32, Lease)> {
        let leader_until = self.leader_until();
        let lenders = self
            .lenders
            .iter_mut()
            .flat_map(|lenders| &mut lenders.budgets);
        let ids = self.settings.budgets.iter().map(Budget::id);
        ids.zip(lenders)
            .filter_map(|(budget, lender)| {
                let request = requests.iter().find(|request| request.budget == budget)?;
                let demand = Demand {
                    zone,
                    units: request.units,
                    value: request.value,
                };
                let lease = lender.request(now, borrower, request.held, demand, leader_until)?;
                Some((budget, lease))
            })
            .collect()
    }

    pub(super) fn receive_leases(
        &mut self,
        now: Nanos,
        requested_at: Nanos,
        leases: &[(u32, Lease)],
    ) {
        if self.has_left {
            return; // the leases were released, so a grant that arrives later must not be used
        }
        if requested_at > now {
            return self.count("parts that were not asked for");
        }
        self.last_grant_at = now;
        self.host.receive_leases(now, requested_at, leases);
    }

    /// Sends this node's request for units of keyed quotas to the leader. If no leader is known,
    /// the request is dropped, and the borrower repeats it later.
    pub fn request_quota(&mut self, now: Nanos, request: QuotaRequest) {
        self.detect_suspension(now);
        match self.leader {
            _ if self.has_left => {}
            Some(leader) if leader == self.settings.me => {
                self.answer_quota_request(now, leader, &request)
            }
            Some(leader) => {
                let message = SharedMessage::Limits(LimitMessage::QuotaRequest(request));
                self.host.send(leader.key, message);
            }
            None => self.count("questions about keys with nobody known who lends"),
        }
    }

    /// Answers a request for units of keyed quotas from a borrower, which may be this node. Unlike
    /// a lease request, such a request is never redirected: borrowers find the leader through their
    /// lease requests.
    pub(super) fn answer_quota_request(
        &mut self,
        now: Nanos,
        from: ProcessId,
        request: &QuotaRequest,
    ) {
        if !self.is_leader(now) {
            return;
        }
        let lender = self
            .lenders
            .as_mut()
            .and_then(|lenders| lenders.quotas.as_mut());
        match lender.and_then(|lender| lender.request(now, from, request)) {
            Some(grant) if from == self.settings.me => self.receive_quota_grant(now, grant),
            Some(grant) => {
                let message = SharedMessage::Limits(LimitMessage::QuotaGrant(grant));
                self.host.send(from.key, message);
            }
            None => {}
        }
    }

    pub(super) fn receive_quota_grant(&mut self, now: Nanos, grant: QuotaGrant) {
        if !self.has_left {
            self.host.receive_quota_grant(now, grant);
        }
    }

    /// Frees all units of a borrower that leaves, if this node is the leader.
    pub(super) fn release_borrower(&mut self, now: Nanos, borrower: ProcessId) {
        if let Some(lenders) = &mut self.lenders {
            lenders
                .budgets
                .iter_mut()
                .for_each(|lender| lender.release(borrower));
            if let Some(lender) = &mut lenders.quotas {
                lender.release(now, borrower);
            }
        }
    }
}
