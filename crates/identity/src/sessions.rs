//! How long a connection stands by the identity with which it was opened. What was read before that
//! ends is answered; nothing read after it runs: the caller is told to come back with a new
//! connection, and this one closes once nothing is open on it. The same at once where the authority
//! that vouched is taken out of its domain's bundle.
//!
//! What a caller may do is asked of a policy and kept for the connection until its identity, the
//! bundles or the policy change.

use crate::bundle::Bundles;
use crate::id::SpiffeId;
use crate::rotation::SKEW_MOST;
use crate::x509::{Authority, Proven, authority};
use crate::{Nanos, TrustDomain};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// A connection, by a number that is never used again.
pub type Conn = u64;

/// What a policy says of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may ask.
    Allow,
    /// It may not: this is answered.
    Deny {
        /// The status.
        status: u16,
        /// Why.
        reason: Rc<str>,
    },
}

/// How a connection stands when something is read on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is served.
    Served,
    /// It is refused by policy.
    Denied(Verdict),
    /// Its identity is over: it is told to come back with a new connection.
    Expired,
    /// Nothing vouches for its identity any more: the same.
    Withdrawn,
}

/// Why a connection is to close once nothing is open on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Its identity expired.
    Expired,
    /// The authority that vouched for it was taken out of the bundle.
    Withdrawn,
}

#[derive(Debug)]
struct Session {
    id: Rc<SpiffeId>,
    /// When it ends, with the grace.
    ends: Nanos,
    authority: Authority,
    ending: Option<Ending>,
    /// What the policy said, under which version of it and of the bundles.
    verdict: Option<(u64, u64, Verdict)>,
}

/// What has come of it since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Connections that were opened with an identity.
    pub opened: u64,
    /// Those of them that outlived it.
    pub expired: u64,
    /// Those whose authority was taken out while they were open.
    pub withdrawn: u64,
    /// Times that the policy was asked, and that it refused.
    pub asked: u64,
    /// See there.
    pub denied: u64,
}

/// All connections that were opened with an identity.
#[derive(Debug)]
pub struct Sessions {
    grace: Nanos,
    by_conn: HashMap<Conn, Session>,
    /// When each ends.
    ends: BTreeSet<(Nanos, Conn)>,
    policy: u64,
    bundles: u64,
    now: Nanos,
    tally: Tally,
}

impl Sessions {
    /// No connections yet. Identities hold for so long after their end, for clocks that differ; at
    /// most [`SKEW_MOST`].
    pub fn new(grace: Nanos) -> Sessions {
        Sessions {
            grace: grace.min(SKEW_MOST),
            by_conn: HashMap::new(),
            ends: BTreeSet::new(),
            policy: 0,
            bundles: 0,
            now: 0,
            tally: Tally::default(),
        }
    }

    /// A connection was opened by who proved this. The bundles are those in force now: they may be
    /// others than those by which the handshake was checked, and then the authority is looked for
    /// once more.
    pub fn opened(
        &mut self,
        now: Nanos,
        conn: Conn,
        proven: &Proven,
        bundles: &Bundles,
    ) -> Result<(), Ending> {
        self.now = self.now.max(now);
        let ends = proven.not_after.saturating_add(self.grace);
        if ends <= self.now {
            return Err(Ending::Expired);
        }
        if proven.bundles != bundles.version() && !vouched(bundles, &proven.id, proven.authority) {
            return Err(Ending::Withdrawn);
        }
        self.tally.opened += 1;
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
    pub fn closed(&mut self, conn: Conn) {
        if let Some(session) = self.by_conn.remove(&conn) {
            self.ends.remove(&(session.ends, conn));
        }
    }

    /// Whose a connection is.
    pub fn id(&self, conn: Conn) -> Option<&Rc<SpiffeId>> {
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
        conn: Conn,
        policy: impl FnOnce(&SpiffeId) -> Verdict,
    ) -> Option<Standing> {
        self.now = self.now.max(now);
        let session = self.by_conn.get_mut(&conn)?;
        // The alarm may come after what was read: the time decides, not the order of events.
        if session.ending.is_none() && session.ends <= self.now {
            session.ending = Some(Ending::Expired);
            self.tally.expired += 1;
            self.ends.remove(&(session.ends, conn));
        }
        match session.ending {
            Some(Ending::Expired) => return Some(Standing::Expired),
            Some(Ending::Withdrawn) => return Some(Standing::Withdrawn),
            None => {}
        }
        let versions = (self.policy, self.bundles);
        if session
            .verdict
            .as_ref()
            .is_none_or(|(policy, bundles, _)| (*policy, *bundles) != versions)
        {
            self.tally.asked += 1;
            session.verdict = Some((versions.0, versions.1, policy(&session.id)));
        }
        match &session.verdict {
            Some((.., Verdict::Allow)) => Some(Standing::Served),
            Some((.., denied)) => {
                self.tally.denied += 1;
                Some(Standing::Denied(denied.clone()))
            }
            None => None,
        }
    }

    /// When [`Sessions::alarm`] is to be called.
    pub fn next(&self) -> Option<Nanos> {
        self.ends.first().map(|(ends, _)| *ends)
    }

    /// The time has come; gives connections that are to close once nothing is open on them.
    pub fn alarm(&mut self, now: Nanos) -> Vec<(Conn, Ending)> {
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
                session.ending = Some(Ending::Expired);
                self.tally.expired += 1;
                over.push((conn, Ending::Expired));
            }
        }
        over
    }

    /// The bundles are others from now on; gives connections for whom nothing vouches any more.
    /// Each domain's authorities are looked through once, however many connections there are.
    pub fn bundles_changed(&mut self, now: Nanos, bundles: &Bundles) -> Vec<(Conn, Ending)> {
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
                session.ending = Some(Ending::Withdrawn);
                self.tally.withdrawn += 1;
                self.ends.remove(&(session.ends, *conn));
                over.push((*conn, Ending::Withdrawn));
            }
        }
        over.sort_unstable_by_key(|(conn, _)| *conn);
        over
    }

    /// What has come of it since the start.
    pub fn tally(&self) -> Tally {
        self.tally
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
