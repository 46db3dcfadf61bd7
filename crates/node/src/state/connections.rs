//! Dispatchers' connections, what is open on them, and health checks.

use super::{CHECK_LIMIT, ClientConnection, MILLISECOND, NodeState, OpenItem, ReplyTarget, Timer};
use crate::actions::{Actions, Close, ConnectionId};
use crate::executor::Command;
use crate::fastcgi::{MAX_OPEN, ProtocolStatus, Reply, Request};
use madderpoint::{LoadReport, Nanos, RequestId};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// The first whole request is to come within this, and a second one within that: who connects and
/// says nothing, or asks once and stays, takes others' room.
const FIRST_REQUEST: Nanos = 1500 * MILLISECOND;
const SECOND_REQUEST: Nanos = 1000 * MILLISECOND;
/// The rest of a request that has come in part is waited for so long before its connection is
/// closed: of a stranger's and of a dispatcher's, whose network may be slow.
const REST: Nanos = 1000 * MILLISECOND;
const REST_PROVEN: Nanos = 3000 * MILLISECOND;
/// A connection this young is not closed to make room: its first request may be on its way.
const YOUNG: Nanos = 200 * MILLISECOND;
/// A connection on which nothing has succeeded yet gets a strike for what is malformed or unknown
/// to the kernel, and for so many answers in a row that turn it away. With each strike the pause
/// before it is read on doubles, and after the last it is closed. Who asks again as soon as it is
/// turned away thus costs next to nothing.
const TURNED_AWAY: u32 = 128;
const STRIKES: u32 = 6;
const PACE: Nanos = 25 * MILLISECOND;

impl<O: Actions> NodeState<O> {
    pub fn connected(&mut self, conn: ConnectionId, address: Option<IpAddr>) {
        let new = ClientConnection {
            open: BTreeMap::new(),
            address,
            idle_since: self.now,
            asked: 0,
            proven: false,
            turned_away: 0,
            strikes: 0,
            look: None,
            last: false,
            heard: 0,
            closing: false,
        };
        self.conns.insert(conn, new);
        self.went_idle(conn);
        if self.conns.len() > self.spare_from {
            self.make_room();
        }
    }

    /// A connection is gone; gives the invocations whose callers left with it.
    pub fn disconnected(&mut self, conn: ConnectionId) -> Vec<RequestId> {
        let Some(conn) = self.conns.remove(&conn) else {
            return Vec::new();
        };
        conn.open
            .into_values()
            .filter_map(|asked| self.let_go(asked))
            .collect()
    }

    /// The dispatcher no longer waits for a request; gives the invocation whose caller left.
    pub fn aborted(&mut self, conn: ConnectionId, id: u16) -> Option<RequestId> {
        let asked = *self.conns.get(&conn)?.open.get(&id)?;
        self.end(conn, id, Reply::end(id, ProtocolStatus::Complete));
        self.let_go(asked)
    }

    fn let_go(&mut self, asked: OpenItem) -> Option<RequestId> {
        match asked {
            OpenItem::Unread => None,
            OpenItem::Check(mark) => {
                self.checks.remove(&mark);
                None
            }
            OpenItem::OpenRequest(id) => {
                self.invs.get_mut(&id)?.front = None;
                self.settle(id);
                Some(id)
            }
        }
    }

    /// Something came on a connection. If it is being closed, the reader had handed this on before
    /// the order came, and does not carry it out: what was read is answered.
    pub fn came(&mut self, conn: ConnectionId) {
        let Some(state) = self.conns.get_mut(&conn) else {
            return;
        };
        state.heard += 1;
        if std::mem::take(&mut state.closing) {
            self.count("closes that what came made void", 1);
        }
    }

    /// What came is dealt with: if nothing is open now, the connection is closed, or is looked at
    /// when it was idle for long enough.
    pub fn dealt_with(&mut self, conn: ConnectionId) {
        let Some(state) = self
            .conns
            .get(&conn)
            .filter(|c| c.open.is_empty() && !c.closing)
        else {
            return;
        };
        if state.last || self.closing {
            return self.close(conn);
        }
        let due = self.idle_until(conn).max(self.now);
        self.look_at(conn, due);
    }

    /// Nothing more is read on a connection: its peer ended its side, or framing is lost. What is
    /// open on it is answered first.
    pub fn no_more(&mut self, conn: ConnectionId) {
        if let Some(state) = self.conns.get_mut(&conn) {
            state.last = true;
        }
        self.dealt_with(conn);
    }

    /// Opens a request on its connection; false if what came can't have an answer of its own.
    pub fn open(&mut self, conn: ConnectionId, request: &Request) -> bool {
        let Some(state) = self.conns.get_mut(&conn) else {
            self.count("requests on no connection", 1);
            return false;
        };
        if state.open.contains_key(&request.id) {
            // Whose answer would be whose? What was asked first is answered, and nothing after that
            // is read.
            self.count("request ids begun twice", 1);
            self.out.deafen(conn);
            self.no_more(conn);
            return false;
        }
        state.open.insert(request.id, OpenItem::Unread);
        state.asked = state.asked.saturating_add(1);
        state.last |= !request.keep_conn;
        true
    }

    pub fn crowded(&self, conn: ConnectionId) -> bool {
        self.conns
            .get(&conn)
            .is_some_and(|c| c.open.len() > MAX_OPEN)
    }

    /// Writes what ends a request.
    pub fn end(&mut self, conn: ConnectionId, id: u16, reply: Reply) {
        let Some(state) = self.conns.get_mut(&conn) else {
            return;
        };
        let was_open = state.open.remove(&id).is_some();
        invariant!(self, was_open, "an answer goes to what is open");
        self.out.reply(conn, reply);
        let Some(state) = self.conns.get(&conn).filter(|c| c.open.is_empty()) else {
            return;
        };
        if state.last || self.closing {
            self.close(conn);
        } else {
            self.went_idle(conn);
        }
    }

    /// NodeBudgets a request that is one too many on its connection.
    pub fn overload(&mut self, conn: ConnectionId, id: u16) {
        self.turned_away(conn);
        self.end(conn, id, Reply::end(id, ProtocolStatus::Overloaded));
    }

    /// Answers what came before there were decisions.
    pub fn not_up(&mut self, conn: ConnectionId, id: u16) {
        self.refuse(conn, id, 503, "the kernel is not up");
    }

    /// Answers what is malformed.
    pub fn reject(&mut self, conn: ConnectionId, id: u16, status: u16, cause: &'static str) {
        self.strike(conn);
        self.refuse(conn, id, status, cause);
    }

    /// A run succeeded for who is at the other end.
    pub fn succeeded(&mut self, conn: ConnectionId) {
        let Some(state) = self.conns.get_mut(&conn) else {
            return;
        };
        (state.proven, state.turned_away) = (true, 0);
        if std::mem::take(&mut state.strikes) > 0 {
            self.out.pace(conn, 0);
        }
    }

    /// Something was answered that did not succeed.
    pub fn turned_away(&mut self, conn: ConnectionId) {
        let Some(state) = self.conns.get_mut(&conn).filter(|c| !c.proven) else {
            return;
        };
        state.turned_away += 1;
        if state.turned_away >= TURNED_AWAY {
            self.strike(conn);
        }
    }

    /// Something came on a connection that no dispatcher sends.
    pub fn strike(&mut self, conn: ConnectionId) {
        let Some(state) = self.conns.get_mut(&conn).filter(|c| !c.closing) else {
            return;
        };
        state.turned_away = 0;
        state.strikes += 1;
        let out = state.strikes >= STRIKES;
        state.last |= out;
        let pause = PACE << state.strikes.min(STRIKES);
        self.out.pace(conn, pause);
        if out {
            self.out.deafen(conn);
        }
    }

    /// Where a connection comes from.
    pub fn address(&self, conn: ConnectionId) -> Option<IpAddr> {
        self.conns.get(&conn)?.address
    }

    /// The longest pause that dispatchers heed; 0 = they heed none.
    pub fn max_retry_after(&self) -> Nanos {
        self.start.deployment.max_retry_after
    }

    /// Answers what a rule or a limit decided before the decisions saw it. It never ran. The pause
    /// is told where the settings have dispatchers heed one.
    pub fn verdict(
        &mut self,
        conn: ConnectionId,
        id: u16,
        status: u16,
        pause: Nanos,
        reason: &str,
    ) {
        self.turned_away(conn);
        let pause = pause.min(self.start.deployment.max_retry_after);
        let mut fields = self.fields() + "Content-Type: text/plain\r\n";
        if pause > 0 && status == 429 {
            fields += &format!("X-Pushback-Ms: {}\r\n", pause.div_ceil(MILLISECOND));
        }
        self.end(
            conn,
            id,
            Reply::answer(id, status, &fields, reason.as_bytes().to_vec()),
        );
    }

    fn refuse(&mut self, conn: ConnectionId, id: u16, status: u16, cause: &'static str) {
        self.count(cause, 1);
        let fields = self.fields() + "Content-Type: text/plain\r\n";
        self.end(
            conn,
            id,
            Reply::answer(id, status, &fields, cause.as_bytes().to_vec()),
        );
    }

    /// The fields that go with every answer and check.
    pub fn fields(&self) -> String {
        let told = self.start.deployment.load_report != LoadReport::Disabled;
        self.advert
            .filter(|_| told)
            .map_or_else(String::new, |v| format!("X-Backend-Says: {v:.4}\r\n"))
    }

    // ---- Idle connections ----

    fn went_idle(&mut self, conn: ConnectionId) {
        if self.closing {
            return self.close(conn);
        }
        if let Some(state) = self.conns.get_mut(&conn) {
            state.idle_since = self.now;
            let due = self.idle_until(conn);
            self.look_at(conn, due);
        }
    }

    /// Until when a connection may be idle.
    fn idle_until(&self, conn: ConnectionId) -> Nanos {
        let Some(state) = self.conns.get(&conn) else {
            return self.now;
        };
        let after = match state.asked {
            0 => FIRST_REQUEST,
            1 => self.idle_after.min(SECOND_REQUEST),
            _ if state.strikes > 0 => self.idle_after.min(FIRST_REQUEST),
            _ => self.idle_after,
        };
        state.idle_since + after
    }

    /// Has one timer look at a connection, at this time or sooner.
    fn look_at(&mut self, conn: ConnectionId, due: Nanos) {
        let Some(state) = self.conns.get_mut(&conn) else {
            return;
        };
        if state.look.is_none_or(|look| look > due) {
            state.look = Some(due);
            self.set_timer(due.saturating_sub(self.now), Timer::Idle(conn, due));
        }
    }

    pub fn close_idle(&mut self, after: Nanos) {
        self.idle_after = if after == 0 {
            self.client_idle_timeout
        } else {
            after
        };
        let idle = self.conns.iter().filter(|(_, c)| c.open.is_empty());
        let idle: Vec<_> = idle.map(|(&id, _)| (id, self.idle_until(id))).collect();
        idle.into_iter()
            .for_each(|(conn, due)| self.look_at(conn, due));
    }

    /// Closes a connection if it was idle for long enough, unless an earlier look took this one's
    /// place.
    pub fn close_if_idle(&mut self, conn: ConnectionId, due: Nanos) {
        let Some(state) = self.conns.get_mut(&conn).filter(|c| c.look == Some(due)) else {
            return;
        };
        state.look = None;
        if !state.open.is_empty() {
            return;
        }
        let closes = self.idle_until(conn);
        if closes <= self.now {
            self.close(conn)
        } else {
            self.look_at(conn, closes)
        }
    }

    /// Has a connection closed unless more has come on it by now.
    pub fn close(&mut self, conn: ConnectionId) {
        let proven = self.conns.get(&conn).is_some_and(|c| c.proven);
        self.close_within(conn, if proven { REST_PROVEN } else { REST });
    }

    /// The same, waiting so long for the rest of a request that has come in part.
    fn close_within(&mut self, conn: ConnectionId, patience: Nanos) {
        let Some(state) = self.conns.get_mut(&conn) else {
            return;
        };
        if std::mem::replace(&mut state.closing, true) {
            return;
        }
        let left = self.stop.saturating_sub(self.now);
        self.out.close(
            conn,
            Close {
                heard: state.heard,
                patience: patience.min(left),
            },
        );
    }

    /// Closes a connection on which nothing is open, so that another one finds room: rather one
    /// that never sent a whole request, then one that asked once or in vain, then another, and of
    /// these the one idle for longest.
    pub fn make_room(&mut self) {
        let silent = |c: &ClientConnection| c.asked == 0 && self.now < c.idle_since + YOUNG;
        let idle = self
            .conns
            .iter()
            .filter(|(_, c)| c.open.is_empty() && !c.closing && !silent(c));
        let standing = |c: &ClientConnection| {
            if c.proven {
                c.asked.min(2)
            } else {
                c.asked.min(1)
            }
        };
        if let Some((&conn, state)) = idle.min_by_key(|(_, c)| (standing(c), c.idle_since)) {
            // Others wait for the place that half a request of a stranger takes.
            let patience = if state.proven { REST } else { 0 };
            self.close_within(conn, patience);
        }
    }

    // ---- Health ----

    pub fn check(&mut self, conn: ConnectionId, id: u16, deep: bool) {
        let (good, from_store) = self.health;
        let as_told = !deep || from_store || !good;
        if as_told || !self.kernel.synced {
            return self.check_ends(ReplyTarget { conn, id }, good && as_told);
        }
        let mark = self.kernel.sent + 1;
        self.command(Command::Post(mark));
        self.checks.insert(mark, ReplyTarget { conn, id });
        if let Some(state) = self.conns.get_mut(&conn) {
            state.open.insert(id, OpenItem::Check(mark));
        }
        self.set_timer(CHECK_LIMIT, Timer::CheckLimit(mark));
    }

    /// The kernel did the work of a check, or the check has waited for long enough.
    pub fn checked(&mut self, mark: u64, ok: bool) {
        if let Some(open) = self.checks.remove(&mark) {
            self.check_ends(open, ok);
        }
    }

    fn check_ends(&mut self, open: ReplyTarget, good: bool) {
        let reply = Reply::answer(
            open.id,
            if good { 200 } else { 503 },
            &self.fields(),
            Vec::new(),
        );
        self.end(open.conn, open.id, reply);
    }
}
