//! How long a connection is served under the identity with which it was opened. Requests that were
//! read before the identity expires are answered. Requests that are read later do not run: the peer
//! is asked to open a new connection, and the old one closes once no request is open on it. The
//! same happens immediately when the authority that issued the identity is removed from the bundle
//! of its trust domain.
//!
//! A policy decides what a peer may do. Its decision is cached for the connection until the bundles
//! or the policy change.

use crate::bundle::Bundles;
use crate::id::SpiffeId;
use crate::rotation::SKEW_MOST;
use crate::x509::{Authority, VerifiedSvid, authority};
use crate::{Nanos, TrustDomain};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// Number of a connection, which is never reused.
pub type ConnectionId = u64;

/// Decision of the policy whether the requests of a peer are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyDecision {
    /// The requests of the peer are served.
    Allow,
    /// The requests of the peer are answered with this status and reason.
    Deny {
        /// Status code of the answer, such as 403.
        status: u16,
        /// Reason that the policy gives for the denial.
        reason: Rc<str>,
    },
}

/// Status of a connection at the time of a read, by which the request is served or refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionStatus {
    /// The request is served.
    Served,
    /// The policy denies the request; carries [`PolicyDecision::Deny`].
    Denied(PolicyDecision),
    /// The identity has expired: the peer is asked to open a new connection.
    Expired,
    /// The authority that issued the identity was removed: the peer is asked to open a new
    /// connection.
    Withdrawn,
}

/// Reason why a connection cannot be opened, or closes as soon as no request is open on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// The identity has expired, including the grace.
    #[error("the identity has expired")]
    Expired,
    /// The authority that issued the identity is no longer in the bundle of its trust domain.
    #[error("the authority of the identity was removed")]
    Withdrawn,
}

#[derive(Debug)]
struct Session {
    id: Rc<SpiffeId>,
    /// End of the validity of the identity plus the grace.
    expires_at: Nanos,
    authority: Authority,
    /// Reason why the connection is no longer served; `None` while it is served.
    closing: Option<CloseReason>,
    /// Cached decision, with the versions of the policy and of the bundles for which it was made.
    decision: Option<(u64, u64, PolicyDecision)>,
}

/// Event counts of a [`Sessions`] since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounters {
    /// Number of connections that were opened with an identity.
    pub opened: u64,
    /// Number of connections whose identity expired while they were open.
    pub expired: u64,
    /// Number of connections whose authority was removed while they were open.
    pub withdrawn: u64,
    /// Number of times the policy was evaluated.
    pub asked: u64,
    /// Number of reads that the policy denied, by a new or a cached decision.
    pub denied: u64,
}

/// Open connections with an identity.
#[derive(Debug)]
pub struct Sessions {
    /// Time for which an expired identity is still accepted, in nanoseconds; at most [`SKEW_MOST`].
    grace: Nanos,
    by_conn: HashMap<ConnectionId, Session>,
    /// Served connections in the order in which they expire.
    expiries: BTreeSet<(Nanos, ConnectionId)>,
    /// Version of the policy, increased by [`Sessions::policy_changed`].
    policy: u64,
    /// Version of the bundles that were handled last.
    bundles: u64,
    now: Nanos,
    counters: SessionCounters,
}

impl Sessions {
    /// Creates an empty set. Identities are accepted for the grace (in nanoseconds, capped at
    /// [`SKEW_MOST`]) after the end of their validity, because clocks differ.
    pub fn new(grace: Nanos) -> Sessions {
        Sessions {
            grace: grace.min(SKEW_MOST),
            by_conn: HashMap::new(),
            expiries: BTreeSet::new(),
            policy: 0,
            bundles: 0,
            now: 0,
            counters: SessionCounters::default(),
        }
    }

    /// Adds a connection that was opened with a verified identity. `bundles` are the bundles now in
    /// force. If they changed after the handshake was checked, the issuing authority is looked up
    /// again.
    ///
    /// # Errors
    ///
    /// Returns the reason why the connection must not be served: the identity has expired, or its
    /// authority was removed.
    pub fn opened(
        &mut self,
        now: Nanos,
        conn: ConnectionId,
        svid: &VerifiedSvid,
        bundles: &Bundles,
    ) -> Result<(), CloseReason> {
        self.now = self.now.max(now);
        let expires_at = svid.not_after.saturating_add(self.grace);
        if expires_at <= self.now {
            return Err(CloseReason::Expired);
        }
        if svid.bundles != bundles.version() && !is_trusted(bundles, &svid.id, svid.authority) {
            return Err(CloseReason::Withdrawn);
        }
        self.counters.opened += 1;
        self.expiries.insert((expires_at, conn));
        let (id, authority) = (Rc::new(svid.id.clone()), svid.authority);
        let previous = self.by_conn.insert(
            conn,
            Session {
                id,
                expires_at,
                authority,
                closing: None,
                decision: None,
            },
        );
        debug_assert!(previous.is_none(), "connection ids are never reused");
        Ok(())
    }

    /// Removes a connection that was closed; does nothing for a connection without an identity.
    pub fn closed(&mut self, conn: ConnectionId) {
        if let Some(session) = self.by_conn.remove(&conn) {
            self.expiries.remove(&(session.expires_at, conn));
        }
    }

    /// Returns the SPIFFE id with which a connection was opened; `None` if it was opened without an
    /// identity or is not open.
    pub fn id(&self, conn: ConnectionId) -> Option<&Rc<SpiffeId>> {
        self.by_conn.get(&conn).map(|session| &session.id)
    }

    /// Records a change of the policy, which invalidates all cached decisions.
    pub fn policy_changed(&mut self) {
        self.policy += 1;
    }

    /// Returns the status of a connection on which a request is read; `None` if it was opened
    /// without an identity. `policy` is called only if there is no cached decision for the current
    /// versions of the policy and the bundles.
    pub fn read(
        &mut self,
        now: Nanos,
        conn: ConnectionId,
        policy: impl FnOnce(&SpiffeId) -> PolicyDecision,
    ) -> Option<SessionStatus> {
        self.now = self.now.max(now);
        let session = self.by_conn.get_mut(&conn)?;
        // The timer may fire after the read; the time of expiry decides, not the order of events.
        if session.closing.is_none() && session.expires_at <= self.now {
            session.closing = Some(CloseReason::Expired);
            self.counters.expired += 1;
            self.expiries.remove(&(session.expires_at, conn));
        }
        match session.closing {
            Some(CloseReason::Expired) => return Some(SessionStatus::Expired),
            Some(CloseReason::Withdrawn) => return Some(SessionStatus::Withdrawn),
            None => {}
        }
        let versions = (self.policy, self.bundles);
        if session
            .decision
            .as_ref()
            .is_none_or(|(policy, bundles, _)| (*policy, *bundles) != versions)
        {
            self.counters.asked += 1;
            session.decision = Some((versions.0, versions.1, policy(&session.id)));
        }
        match &session.decision {
            Some((.., PolicyDecision::Allow)) => Some(SessionStatus::Served),
            Some((.., denied)) => {
                self.counters.denied += 1;
                Some(SessionStatus::Denied(denied.clone()))
            }
            None => None,
        }
    }

    /// Returns the time at which [`Sessions::on_timer`] should be called next; `None` if no
    /// connection is waiting to expire.
    pub fn next(&self) -> Option<Nanos> {
        self.expiries.first().map(|(expires_at, _)| *expires_at)
    }

    /// Handles the timer; returns the connections that have newly expired, in the order of expiry.
    /// These connections must close once no request is open on them.
    pub fn on_timer(&mut self, now: Nanos) -> Vec<(ConnectionId, CloseReason)> {
        self.now = self.now.max(now);
        let mut closing = Vec::new();
        while let Some((_, conn)) = self
            .expiries
            .first()
            .copied()
            .filter(|(expires_at, _)| *expires_at <= self.now)
        {
            self.expiries.pop_first();
            if let Some(session) = self.by_conn.get_mut(&conn) {
                session.closing = Some(CloseReason::Expired);
                self.counters.expired += 1;
                closing.push((conn, CloseReason::Expired));
            }
        }
        closing
    }

    /// Handles a change of the bundles; returns the connections whose authority was removed, in the
    /// order of their ids. These connections must close once no request is open on them. The
    /// authorities of each trust domain are hashed once, independent of the number of connections.
    pub fn on_bundles_changed(
        &mut self,
        now: Nanos,
        bundles: &Bundles,
    ) -> Vec<(ConnectionId, CloseReason)> {
        self.now = self.now.max(now);
        if self.bundles == bundles.version() {
            return Vec::new();
        }
        self.bundles = bundles.version();
        let authorities: HashMap<&TrustDomain, HashSet<Authority>> = bundles
            .domains()
            .filter_map(|domain| Some((domain, bundles.of(domain.as_str())?)))
            .map(|(domain, bundle)| {
                (
                    domain,
                    bundle.x509.iter().map(|der| authority(der)).collect(),
                )
            })
            .collect();
        let mut closing = Vec::new();
        for (conn, session) in self
            .by_conn
            .iter_mut()
            .filter(|(_, session)| session.closing.is_none())
        {
            let domain = session.id.trust_domain();
            if !authorities
                .get(&domain)
                .is_some_and(|trusted| trusted.contains(&session.authority))
            {
                session.closing = Some(CloseReason::Withdrawn);
                self.counters.withdrawn += 1;
                self.expiries.remove(&(session.expires_at, *conn));
                closing.push((*conn, CloseReason::Withdrawn));
            }
        }
        closing.sort_unstable_by_key(|(conn, _)| *conn);
        closing
    }

    /// Returns the event counts since the set was created.
    pub fn counters(&self) -> SessionCounters {
        self.counters
    }

    /// Returns the number of open connections with an identity, including those that are to close.
    pub fn len(&self) -> usize {
        self.by_conn.len()
    }

    /// Returns whether no connection with an identity is open.
    pub fn is_empty(&self) -> bool {
        self.by_conn.is_empty()
    }
}

/// Returns whether the authority is in the bundle of the id's trust domain.
fn is_trusted(bundles: &Bundles, id: &SpiffeId, issuer: Authority) -> bool {
    bundles
        .of(id.domain())
        .is_some_and(|bundle| bundle.x509.iter().any(|der| authority(der) == issuer))
}

#[cfg(test)]
mod tests;
