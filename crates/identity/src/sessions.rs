//! How long a connection is served by the identity with which it was opened. What was read before
//! that expires is answered; nothing read after it runs: the peer is asked to open a new
//! connection,
//! and this one closes once nothing is open on it. The same at once where the authority that issued
//! the identity is removed from its domain's bundle.
//!
//! What a peer may do is decided by a policy, and cached for the connection until its identity, the
//! bundles or the policy change.

use crate::bundle::Bundles;
use crate::id::SpiffeId;
use crate::rotation::SKEW_MOST;
use crate::x509::{Authority, VerifiedSvid, authority};
use crate::{Nanos, TrustDomain};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// A connection, by a number that is never reused.
pub type ConnectionId = u64;

/// The decision of a policy on a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyDecision {
    /// Its requests are served.
    Allow,
    /// Its requests are answered with this.
    Deny {
        /// The status.
        status: u16,
        /// Why.
        reason: Rc<str>,
    },
}

/// The status of a connection when something is read on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionStatus {
    /// It is served.
    Served,
    /// It is denied by the policy.
    Denied(PolicyDecision),
    /// Its identity has expired: the peer is asked to open a new connection.
    Expired,
    /// The authority of its identity was removed: the same.
    Withdrawn,
}

/// Why a connection is to close once nothing is open on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// Its identity expired.
    #[error("the identity has expired")]
    Expired,
    /// The authority of its identity was removed from the bundle.
    #[error("the authority of the identity was removed")]
    Withdrawn,
}

#[derive(Debug)]
struct Session {
    id: Rc<SpiffeId>,
    /// When it expires, with the grace.
    ends: Nanos,
    authority: Authority,
    ending: Option<CloseReason>,
    /// The policy's decision, with the versions of the policy and of the bundles.
    verdict: Option<(u64, u64, PolicyDecision)>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounters {
    /// Connections that were opened with an identity.
    pub opened: u64,
    /// Those of them whose identity expired.
    pub expired: u64,
    /// Those whose authority was removed while they were open.
    pub withdrawn: u64,
    /// Decisions of the policy.
    pub asked: u64,
    /// Decisions of the policy that denied.
    pub denied: u64,
}

/// All connections that were opened with an identity.
#[derive(Debug)]
pub struct Sessions {
    grace: Nanos,
    by_conn: HashMap<ConnectionId, Session>,
    /// When each expires.
    ends: BTreeSet<(Nanos, ConnectionId)>,
    policy: u64,
    bundles: u64,
    now: Nanos,
    counters: SessionCounters,
}

impl Sessions {
    /// No connections yet. Identities are accepted for the grace (nanoseconds, at most
    /// [`SKEW_MOST`])
    /// after their end, because clocks differ.
    pub fn new(grace: Nanos) -> Sessions {
        Sessions {
            grace: grace.min(SKEW_MOST),
            by_conn: HashMap::new(),
            ends: BTreeSet::new(),
            policy: 0,
            bundles: 0,
            now: 0,
            counters: SessionCounters::default(),
        }
    }

    /// A connection was opened by who proved this. The bundles are those in force now: they may be
    /// others than those by which the handshake was checked, and then the authority is looked for
    /// once more.
    pub fn opened(
        &mut self,
        now: Nanos,
        conn: ConnectionId,
        proven: &VerifiedSvid,
        bundles: &Bundles,
    ) -> Result<(), CloseReason> {
        self.now = self.now.max(now);
        let ends = proven.not_after.saturating_add(self.grace);
        if ends <= self.now {
            return Err(CloseReason::Expired);
        }
        if proven.bundles != bundles.version() && !vouched(bundles, &proven.id, proven.authority) {
            return Err(CloseReason::Withdrawn);
        }
        self.counters.opened += 1;
        self.ends.insert((ends, conn));
        let (id, authority) = (Rc::new(proven.id.clone()), proven.authority);
        let before = self.by_conn.insert(
            conn,
            Session {
                id,
                ends,
                authority,
                ending: None,
                verdict: None,
            },
        );
        debug_assert!(before.is_none(), "a connection's number is used once");
        Ok(())
    }

    /// A connection is gone.
    pub fn closed(&mut self, conn: ConnectionId) {
        if let Some(session) = self.by_conn.remove(&conn) {
            self.ends.remove(&(session.ends, conn));
        }
    }

    /// Whose a connection is.
    pub fn id(&self, conn: ConnectionId) -> Option<&Rc<SpiffeId>> {
        self.by_conn.get(&conn).map(|session| &session.id)
    }

    /// The policy is another from now on: what it said before counts for nothing.
    pub fn policy_changed(&mut self) {
        self.policy += 1;
    }

    /// How a connection stands as something is read on it; none if it was opened without an
    /// identity. The policy is asked only if what it said before is out of date.
    pub fn read(
        &mut self,
        now: Nanos,
        conn: ConnectionId,
        policy: impl FnOnce(&SpiffeId) -> PolicyDecision,
    ) -> Option<SessionStatus> {
        self.now = self.now.max(now);
        let session = self.by_conn.get_mut(&conn)?;
        // The timer may fire after the read: the time decides, not the order of events.
        if session.ending.is_none() && session.ends <= self.now {
            session.ending = Some(CloseReason::Expired);
            self.counters.expired += 1;
            self.ends.remove(&(session.ends, conn));
        }
        match session.ending {
            Some(CloseReason::Expired) => return Some(SessionStatus::Expired),
            Some(CloseReason::Withdrawn) => return Some(SessionStatus::Withdrawn),
            None => {}
        }
        let versions = (self.policy, self.bundles);
        if session
            .verdict
            .as_ref()
            .is_none_or(|(policy, bundles, _)| (*policy, *bundles) != versions)
        {
            self.counters.asked += 1;
            session.verdict = Some((versions.0, versions.1, policy(&session.id)));
        }
        match &session.verdict {
            Some((.., PolicyDecision::Allow)) => Some(SessionStatus::Served),
            Some((.., denied)) => {
                self.counters.denied += 1;
                Some(SessionStatus::Denied(denied.clone()))
            }
            None => None,
        }
    }

    /// When [`Sessions::on_timer`] is to be called.
    pub fn next(&self) -> Option<Nanos> {
        self.ends.first().map(|(ends, _)| *ends)
    }

    /// The timer has fired; gives connections that are to close once nothing is open on them.
    pub fn on_timer(&mut self, now: Nanos) -> Vec<(ConnectionId, CloseReason)> {
        self.now = self.now.max(now);
        let mut over = Vec::new();
        while let Some((_, conn)) = self
            .ends
            .first()
            .copied()
            .filter(|(ends, _)| *ends <= self.now)
        {
            self.ends.pop_first();
            if let Some(session) = self.by_conn.get_mut(&conn) {
                session.ending = Some(CloseReason::Expired);
                self.counters.expired += 1;
                over.push((conn, CloseReason::Expired));
            }
        }
        over
    }

    /// The bundles have changed; gives connections whose identity has no authority any more.
    /// Each domain's authorities are looked through once, however many connections there are.
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
        let known: HashMap<&TrustDomain, HashSet<Authority>> = bundles
            .domains()
            .filter_map(|domain| Some((domain, bundles.of(domain.as_str())?)))
            .map(|(domain, bundle)| {
                (
                    domain,
                    bundle.x509.iter().map(|der| authority(der)).collect(),
                )
            })
            .collect();
        let mut over = Vec::new();
        for (conn, session) in self
            .by_conn
            .iter_mut()
            .filter(|(_, session)| session.ending.is_none())
        {
            let domain = session.id.trust_domain();
            if !known
                .get(&domain)
                .is_some_and(|authorities| authorities.contains(&session.authority))
            {
                session.ending = Some(CloseReason::Withdrawn);
                self.counters.withdrawn += 1;
                self.ends.remove(&(session.ends, *conn));
                over.push((*conn, CloseReason::Withdrawn));
            }
        }
        over.sort_unstable_by_key(|(conn, _)| *conn);
        over
    }

    /// Counts since the start.
    pub fn counters(&self) -> SessionCounters {
        self.counters
    }

    /// Connections with an identity.
    pub fn len(&self) -> usize {
        self.by_conn.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_conn.is_empty()
    }
}

fn vouched(bundles: &Bundles, id: &SpiffeId, by: Authority) -> bool {
    bundles
        .of(id.domain())
        .is_some_and(|bundle| bundle.x509.iter().any(|der| authority(der) == by))
}

#[cfg(test)]
mod tests;
