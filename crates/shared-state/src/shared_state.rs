//! One node's participation in the shared state: a method for each event, and side effects through
//! a [`Host`]. All nodes are borrowers. Some nodes, which the settings name, are voters; one of the
//! voters is the leader and grants leases.
//!
//! The caller calls [`SharedState::wake`] at [`SharedState::next_wake`], [`SharedState::receive`]
//! for each message, and [`SharedState::leave`] when the node leaves. Leader election is in
//! `leadership`, leases and keyed quotas are in `leases`, counters in `counter_exchange`.

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

/// Time between two comparisons of counters with another voter, in nanoseconds.
const COMPARISON_INTERVAL: Nanos = 5 * SECOND;
/// Time between two requests for the cluster's totals, in nanoseconds.
const TOTALS_INTERVAL: Nanos = 10 * SECOND;
/// Delay of a wake, in nanoseconds, from which the process counts as suspended: a voter cannot rely
/// on its state from before the suspension.
const SUSPENDED_AFTER: Nanos = SECOND;
/// Maximum time from a redirect to the next lease request, in nanoseconds.
const REDIRECT_DELAY: Nanos = 10 * MILLISECOND;

/// The side effects of the shared state. Implementations must not block.
pub trait Host {
    /// Sends a message to the node with this hash of its name.
    fn send(&mut self, to: u64, message: SharedMessage);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
    /// Returns this node's requests for leases of its budgets, with the time on this node's clock
    /// at which they were made.
    fn lease_requests(&mut self, now: Nanos) -> (Nanos, Vec<BudgetRequest>);
    /// Passes on leases, by budget id, that were requested at `requested_at` and granted.
    fn receive_leases(&mut self, now: Nanos, requested_at: Nanos, leases: &[(u32, Lease)]);
    /// Passes on a grant of units of keyed quotas.
    fn receive_quota_grant(&mut self, now: Nanos, grant: QuotaGrant);
    /// Stops the use of all leases because the node leaves. Returns whether no call and no unit of
    /// a keyed quota is in flight.
    fn drop_leases(&mut self, now: Nanos) -> bool;
}

/// The state of a node that is a voter, both as a voter and as a candidate.
struct Election {
    voter: Voter,
    candidate: Candidate,
}

/// The lenders of a leader.
struct Lenders {
    /// The budgets' lenders, in the order of the budgets.
    budgets: Vec<BudgetLender>,
    /// The lender of the keyed quotas; `None` if there are no keyed quotas.
    quotas: Option<QuotaLender>,
}

/// One node's participation in the shared state.
pub struct SharedState<H: Host> {
    /// Receiver of the messages, log lines, leases and grants.
    pub host: H,
    settings: Config,
    rng: Pcg64Mcg,
    /// Voter and candidate of this node; `None` if the node is not a voter or has left.
    election: Option<Election>,
    /// Lenders of this node; `None` unless this node is the leader.
    lenders: Option<Lenders>,
    /// The counters of all processes; present on a voter if counters are configured.
    cluster_counters: Option<ClusterCounters>,
    /// The first key of the next page of counters to compare.
    next_comparison_key: u64,
    next_comparison: Nanos,
    /// The latest totals from a voter, with the time at which they arrived.
    totals: Option<(ClusterTotals, Nanos)>,
    next_totals: Nanos,
    /// The leader, as far as it is known to this node.
    leader: Option<ProcessId>,
    next_round: Nanos,
    next_request: Nanos,
    last_grant_at: Nanos,
    /// The time of the next wake, as of the last event.
    expected_wake: Nanos,
    has_left: bool,
    /// True while a round of votes is open in which this node, not yet the leader, may be elected.
    is_campaigning: bool,
    event_counts: BTreeMap<&'static str, u64>,
}

impl<H: Host> SharedState<H> {
    /// Creates the state of a node that has just started.
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

    /// Returns the number of occurrences of each kind of event since the start.
    pub fn event_counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.event_counts
    }

    /// Returns whether this node holds the leader lease at `now` and thus may grant leases.
    pub fn is_leader(&self, now: Nanos) -> bool {
        self.lenders.is_some() && now < self.leader_until()
    }

    fn leader_until(&self) -> Nanos {
        self.election
            .as_ref()
            .map_or(0, |election| election.candidate.leader_until())
    }

    /// Returns the leader, as far as it is known to this node.
    pub fn leader(&self) -> Option<ProcessId> {
        self.leader
    }

    /// Changes the limits of the budgets and quotas. The budgets must have the same ids in the same
    /// order as before.
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

    /// Returns the time at which to call [`SharedState::wake`].
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

    /// Runs the rounds, requests and comparisons that are due.
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

    /// Restarts voter and candidate and ends leadership if the process was suspended: during the
    /// suspension another process may have voted under its name, and its own votes may have
    /// expired.
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

    /// Handles a message that arrived.
    pub fn receive(&mut self, now: Nanos, from: ProcessId, message: SharedMessage) {
        let is_from_voter = self.settings.voters.contains(&from.key);
        match message {
            SharedMessage::Limits(message) => {
                return self.receive_limit_message(now, from, message);
            }
            // Each process reports its own counters; voters also forward the reports of others.
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

    /// Handles a message about votes, leases or quotas that arrived.
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

    /// Leaves the cluster. If no call and no unit of a keyed quota is in flight, tells the leader
    /// to free this node's units at once; otherwise the units are free when their leases expire. If
    /// this node is the leader, releases the votes for it, so that another leader can be elected at
    /// once.
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

    /// Returns the budgets with their lenders, in order; empty unless this node is the leader.
    pub fn budget_lenders(&self) -> impl Iterator<Item = (&Budget, &BudgetLender)> {
        let lenders = self.lenders.iter().flat_map(|lenders| &lenders.budgets);
        self.settings.budgets.iter().zip(lenders)
    }

    /// Returns the lender of the keyed quotas; `None` if this node is not the leader or there are
    /// no keyed quotas.
    pub fn quota_lender(&self) -> Option<&QuotaLender> {
        self.lenders.as_ref()?.quotas.as_ref()
    }
}
