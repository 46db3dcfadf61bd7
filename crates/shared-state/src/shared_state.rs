//! A node's part in the shared state: a method for each event, side effects through a [`Host`]. All
//! nodes borrow; some nodes are voters, by name; one of the voters is the leader and grants leases.
//!
//! Events in the order in which they come: [`SharedState::wake`] at [`SharedState::next_wake`],
//! [`SharedState::receive`] for each message, and [`SharedState::leave`] at the end. Who leads is in
//! `leadership`, leases and quotas in `leases`, counters in `counter_exchange`.

mod config;
mod counter_exchange;
mod leadership;
mod leases;

pub use config::Config;

use crate::budget::lender::BudgetLender;
use crate::budget::{Budget, BudgetRequest, Lease};
use crate::counters::ClusterCounters;
use crate::keyed_quota::lender::QuotaLender;
use crate::keyed_quota::{KeyedQuota, QuotaGrant};
use crate::leader_lease::{Candidate, Voter};
use crate::messages::{ClusterTotals, LimitMessage, SharedMessage};
use crate::{MILLISECOND, Nanos, ProcessId, SECOND};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// The time between two comparisons of counters with another voter, in nanoseconds.
const COMPARISON_INTERVAL: Nanos = 5 * SECOND;
/// The time between two requests for the cluster's totals, in nanoseconds.
const TOTALS_INTERVAL: Nanos = 10 * SECOND;
/// A wake that is this late shows that the process was suspended: a voter may not know what happened
/// meanwhile. In nanoseconds.
const SUSPENDED_AFTER: Nanos = SECOND;
/// After a redirect the next request is sent within this time, in nanoseconds.
const REDIRECT_DELAY: Nanos = 10 * MILLISECOND;

/// Side effects that the shared state may request. No call blocks.
pub trait Host {
    /// Sends a message to a node, by the hash of its name.
    fn send(&mut self, to: u64, message: SharedMessage);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
    /// The requests of this node for leases of its budgets, with the time by this node's clock at
    /// which they were made.
    fn lease_requests(&mut self, now: Nanos) -> (Nanos, Vec<BudgetRequest>);
    /// Leases were granted, by budget id, that were requested at `requested_at`.
    fn receive_leases(&mut self, now: Nanos, requested_at: Nanos, leases: &[(u32, Lease)]);
    /// Units of keys were granted.
    fn receive_quota_grant(&mut self, now: Nanos, grant: QuotaGrant);
    /// The node leaves: no lease is used from now on. Returns whether nothing is in flight.
    fn drop_leases(&mut self, now: Nanos) -> bool;
}

/// A voter's state, and its own candidacy.
struct Election {
    voter: Voter,
    candidate: Candidate,
}

/// What the leader grants from.
struct Lenders {
    /// In the order of the budgets.
    budgets: Vec<BudgetLender>,
    /// None where there are no keyed quotas.
    quotas: Option<QuotaLender>,
}

/// A node's part in the shared state.
pub struct SharedState<H: Host> {
    /// Where side effects go.
    pub host: H,
    settings: Config,
    rng: Pcg64Mcg,
    /// At a voter.
    election: Option<Election>,
    /// While this node is the leader.
    lenders: Option<Lenders>,
    /// The counters of all processes, at a voter that keeps them.
    cluster_counters: Option<ClusterCounters>,
    /// The first key of the next page of counters to compare.
    next_comparison_key: u64,
    next_comparison: Nanos,
    /// The totals as a voter sent them last, and when they arrived.
    totals: Option<(ClusterTotals, Nanos)>,
    next_totals: Nanos,
    /// The leader, as far as this node knows.
    leader: Option<ProcessId>,
    next_round: Nanos,
    next_request: Nanos,
    last_grant_at: Nanos,
    /// When the next wake was due, as of the last event.
    expected_wake: Nanos,
    has_left: bool,
    /// Whether a round is open by which this node may become the leader.
    is_campaigning: bool,
    event_counts: BTreeMap<&'static str, u64>,
}

impl<H: Host> SharedState<H> {
    /// The part of a node that has just started.
    pub fn new(settings: Config, seed: u64, now: Nanos, host: H) -> SharedState<H> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let voters = settings.voters.len();
        let is_voter = settings.voters.contains(&settings.me.key);
        let keeps_counters = is_voter && settings.max_counted_processes > 0;
        let next_request = now + rng.random_range(0..settings.request_interval.max(1));
        let next_round = now + rng.random_range(0..settings.leader_lease / 4);
        SharedState {
            host,
            election: is_voter.then(|| Election {
                voter: Voter::new(now, settings.leader_lease),
                candidate: Candidate::new(voters, settings.leader_lease),
            }),
            lenders: None,
            cluster_counters: keeps_counters
                .then(|| ClusterCounters::new(settings.max_counted_processes)),
            next_comparison_key: 0,
            next_comparison: now + rng.random_range(0..COMPARISON_INTERVAL),
            totals: None,
            next_totals: now + rng.random_range(0..TOTALS_INTERVAL),
            leader: None,
            next_round,
            next_request,
            last_grant_at: now,
            expected_wake: Nanos::MAX,
            has_left: false,
            is_campaigning: false,
            event_counts: BTreeMap::new(),
            rng,
            settings,
        }
    }

    fn count(&mut self, event: &'static str) {
        *self.event_counts.entry(event).or_default() += 1;
    }

    /// How often each kind of event occurred.
    pub fn event_counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.event_counts
    }

    /// Whether this node is the leader now.
    pub fn is_leader(&self, now: Nanos) -> bool {
        self.lenders.is_some() && now < self.leader_until()
    }

    fn leader_until(&self) -> Nanos {
        self.election
            .as_ref()
            .map_or(0, |election| election.candidate.leader_until())
    }

    /// The leader, as far as this node knows.
    pub fn leader(&self) -> Option<ProcessId> {
        self.leader
    }

    /// Changes the limits. Budgets must be the same ones in the same order.
    pub fn update_limits(&mut self, budgets: Vec<Budget>, quotas: Vec<KeyedQuota>) {
        if let Some(lenders) = &mut self.lenders {
            for (lender, budget) in lenders.budgets.iter_mut().zip(&budgets) {
                lender.resize(budget.pool());
            }
            if let Some(lender) = &mut lenders.quotas {
                lender.update_quotas(&quotas);
            }
        }
        (self.settings.budgets, self.settings.quotas) = (budgets, quotas);
    }

    /// When [`SharedState::wake`] is to be called.
    pub fn next_wake(&self) -> Nanos {
        let mut next = self.next_request;
        if self.election.is_some() {
            next = next.min(self.next_round);
        }
        if self.cluster_counters.is_some() {
            next = next.min(self.next_comparison);
        }
        if self.settings.max_counted_processes > 0 {
            next.min(self.next_totals)
        } else {
            next
        }
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Nanos) {
        self.detect_suspension(now);
        if self.election.is_some() && now >= self.next_round {
            self.run_round(now);
        }
        if now >= self.next_request {
            self.next_request = now + self.settings.request_interval;
            self.request_leases(now);
        }
        if self.settings.max_counted_processes > 0 && now >= self.next_totals {
            self.next_totals = now + TOTALS_INTERVAL;
            self.request_totals(now);
        }
        if self.cluster_counters.is_some() && now >= self.next_comparison {
            self.next_comparison = now + COMPARISON_INTERVAL;
            self.compare_counters();
        }
        self.expected_wake = self.next_wake().max(now);
    }

    /// A voter whose process was suspended begins anew: meanwhile another process may have voted
    /// under its name, and its own votes may have expired.
    fn detect_suspension(&mut self, now: Nanos) {
        let late = now.saturating_sub(self.expected_wake);
        self.expected_wake = self.next_wake().max(now);
        if late >= SUSPENDED_AFTER {
            self.count("times it stood still");
            if let Some(election) = &mut self.election {
                election.voter = Voter::new(now, self.settings.leader_lease);
                election.candidate.resign();
            }
            self.lenders = None;
        }
    }

    /// A message arrived.
    pub fn receive(&mut self, now: Nanos, from: ProcessId, message: SharedMessage) {
        let is_from_voter = self.settings.voters.contains(&from.key);
        match message {
            SharedMessage::Limits(message) => {
                return self.receive_limit_message(now, from, message);
            }
            // Each process reports for itself; voters pass on what they received.
            SharedMessage::CounterReport(report) if report.process == from || is_from_voter => {
                self.merge_counters(now, &report);
            }
            SharedMessage::CounterReport(_) => {
                self.count("counts of others by one who is no arbiter")
            }
            SharedMessage::KnownCounters(known) if is_from_voter => {
                self.send_missing_counters(from, &known)
            }
            SharedMessage::TotalsRequest => {
                if let Some(totals) = self.compute_totals(now) {
                    let message = SharedMessage::ClusterTotals(Box::new(totals));
                    self.host.send(from.key, message);
                }
            }
            SharedMessage::ClusterTotals(totals) if is_from_voter => {
                self.totals = Some((*totals, now))
            }
            SharedMessage::KnownCounters(_)
            | SharedMessage::ClusterTotals(_)
            | SharedMessage::HealthReports(_) => {}
        }
        self.detect_suspension(now);
        self.expected_wake = self.next_wake().max(now);
    }

    /// A message about votes, leases or quotas arrived.
    pub fn receive_limit_message(&mut self, now: Nanos, from: ProcessId, message: LimitMessage) {
        self.detect_suspension(now);
        match message {
            LimitMessage::VoteRequest { round } => self.answer_vote_request(now, from, round),
            LimitMessage::Vote {
                round,
                is_granted,
                holder,
                ..
            } => {
                if let Some(holder) = holder.filter(|_| !is_granted) {
                    self.leader = Some(holder);
                }
                self.receive_vote(now, from, round, is_granted);
            }
            LimitMessage::VoteRelease { round } => {
                if let Some(election) = &mut self.election {
                    election.voter.release(from, round);
                }
            }
            LimitMessage::LeaseRequest {
                sent_at,
                zone,
                requests,
            } => self.answer_lease_request(now, from, sent_at, zone, &requests),
            LimitMessage::LeaseGrant {
                request_sent_at,
                leases,
            } => {
                self.leader = Some(from);
                self.receive_leases(now, request_sent_at, &leases);
            }
            LimitMessage::Redirect { leader } => {
                self.leader = leader;
                if leader.is_some() {
                    self.next_request = self.next_request.min(now + REDIRECT_DELAY);
                }
            }
            LimitMessage::Leave => self.release_borrower(now, from),
            LimitMessage::QuotaRequest(request) => self.answer_quota_request(now, from, &request),
            LimitMessage::QuotaGrant(grant) => {
                self.leader = Some(from);
                self.receive_quota_grant(now, grant);
            }
        }
        self.expected_wake = self.next_wake().max(now);
    }

    /// The node leaves: its leases and its votes are released at once.
    pub fn leave(&mut self, now: Nanos) {
        self.has_left = true;
        let is_idle = self.host.drop_leases(now);
        if let (Some(leader), true) = (self.leader, is_idle) {
            let message = SharedMessage::Limits(LimitMessage::Leave);
            self.host.send(leader.key, message);
        }
        if self.lenders.take().is_some() {
            let round = self
                .election
                .as_ref()
                .map_or(0, |election| election.candidate.round);
            self.send_to_voters(LimitMessage::VoteRelease { round });
        }
        self.election = None;
    }

    /// The lenders of all budgets in their order, while this node is the leader.
    pub fn budget_lenders(&self) -> impl Iterator<Item = (&Budget, &BudgetLender)> {
        let lenders = self.lenders.iter().flat_map(|lenders| &lenders.budgets);
        self.settings.budgets.iter().zip(lenders)
    }

    /// The lender of keyed quotas, while this node is the leader.
    pub fn quota_lender(&self) -> Option<&QuotaLender> {
        self.lenders.as_ref()?.quotas.as_ref()
    }
}
