//! Dispatchers' connections, what is open on them, and health checks.

use super::{Asked, CHECK_LIMIT, Conn, Desk, Open, Timer};
use crate::core::{ConnId, Outward};
use crate::fastcgi::{MAX_OPEN, ProtocolStatus, Reply, Request};
use crate::kernel::Command;
use madderpoint::{Advert, InvId, Nanos};
use std::collections::BTreeMap;

impl<O: Outward> Desk<O> {
    pub fn connected(&mut self, conn: ConnId) {
        let new =
            Conn { open: BTreeMap::new(), idle_since: self.now, look: None, last: false, closing: false };
        self.conns.insert(conn, new);
        self.went_idle(conn);
    }

    /// A connection is gone; gives the invocations whose callers left with it.
    pub fn disconnected(&mut self, conn: ConnId) -> Vec<InvId> {
        let Some(conn) = self.conns.remove(&conn) else { return Vec::new() };
        conn.open.into_values().filter_map(|asked| self.let_go(asked)).collect()
    }

    /// The dispatcher no longer waits for a request; gives the invocation whose caller left.
    pub fn aborted(&mut self, conn: ConnId, id: u16) -> Option<InvId> {
        let asked = *self.conns.get(&conn)?.open.get(&id)?;
        self.end(conn, id, Reply::end(id, ProtocolStatus::Complete));
        self.let_go(asked)
    }

    fn let_go(&mut self, asked: Asked) -> Option<InvId> {
        match asked {
            Asked::Unread => None,
            Asked::Check(mark) => {
                self.checks.remove(&mark);
                None
            }
            Asked::Invocation(id) => {
                self.invs.get_mut(&id)?.front = None;
                self.settle(id);
                Some(id)
            }
        }
    }

    /// Opens a request on its connection; false if that is no longer read, or must end for what came.
    pub fn open(&mut self, conn: ConnId, request: &Request) -> bool {
        let Some(state) = self.conns.get_mut(&conn).filter(|c| !c.closing) else {
            self.count("requests that crossed a close", 1);
            return false;
        };
        if state.open.contains_key(&request.id) {
            self.count("request ids begun twice", 1);
            self.close(conn);
            return false;
        }
        state.open.insert(request.id, Asked::Unread);
        state.last |= !request.keep_conn;
        true
    }

    pub fn crowded(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| c.open.len() > MAX_OPEN)
    }

    /// Writes what ends a request.
    pub fn end(&mut self, conn: ConnId, id: u16, reply: Reply) {
        let Some(state) = self.conns.get_mut(&conn) else { return };
        let was_open = state.open.remove(&id).is_some();
        invariant!(self, was_open, "an answer goes to what is open");
        self.out.reply(conn, reply);
        let Some(state) = self.conns.get(&conn).filter(|c| c.open.is_empty()) else { return };
        if state.last || self.closing {
            self.close(conn);
        } else {
            self.went_idle(conn);
        }
    }

    pub fn reject(&mut self, conn: ConnId, id: u16, status: u16, cause: &'static str) {
        self.count(cause, 1);
        let fields = self.fields() + "Content-Type: text/plain\r\n";
        self.end(conn, id, Reply::answer(id, status, &fields, cause.as_bytes().to_vec()));
    }

    /// The fields that go with every answer and check.
    pub fn fields(&self) -> String {
        let told = self.start.premises.advert != Advert::No;
        self.advert.filter(|_| told).map_or_else(String::new, |v| format!("X-Backend-Says: {v:.4}\r\n"))
    }

    // ---- Idle connections ----

    fn went_idle(&mut self, conn: ConnId) {
        if self.closing {
            return self.close(conn);
        }
        if let Some(state) = self.conns.get_mut(&conn) {
            state.idle_since = self.now;
            self.look_at(conn, self.now + self.idle_after);
        }
    }

    /// Has one timer look at a connection, at this time or sooner.
    fn look_at(&mut self, conn: ConnId, due: Nanos) {
        let Some(state) = self.conns.get_mut(&conn) else { return };
        if state.look.is_none_or(|look| look > due) {
            state.look = Some(due);
            self.set_timer(due.saturating_sub(self.now), Timer::Idle(conn, due));
        }
    }

    pub fn close_idle(&mut self, after: Nanos) {
        self.idle_after = if after == 0 { self.longest_idle } else { after };
        let idle = self.conns.iter().filter(|(_, c)| c.open.is_empty());
        let idle: Vec<_> = idle.map(|(&id, c)| (id, c.idle_since + self.idle_after)).collect();
        idle.into_iter().for_each(|(conn, due)| self.look_at(conn, due));
    }

    /// Closes a connection if it was idle for long enough, unless an earlier look took this one's place.
    pub fn close_if_idle(&mut self, conn: ConnId, due: Nanos) {
        let Some(state) = self.conns.get_mut(&conn).filter(|c| c.look == Some(due)) else { return };
        state.look = None;
        if !state.open.is_empty() {
            return;
        }
        let closes = state.idle_since + self.idle_after;
        if closes <= self.now { self.close(conn) } else { self.look_at(conn, closes) }
    }

    pub fn close(&mut self, conn: ConnId) {
        if let Some(state) = self.conns.get_mut(&conn)
            && !std::mem::replace(&mut state.closing, true)
        {
            self.out.close(conn);
        }
    }

    /// Closes the connection that is idle for longest, so that another one finds room.
    pub fn make_room(&mut self) {
        self.count("connections beyond the limit", 1);
        let idle = self.conns.iter().filter(|(_, c)| c.open.is_empty() && !c.closing);
        if let Some((&conn, _)) = idle.min_by_key(|(_, c)| c.idle_since) {
            self.close(conn);
        }
    }

    // ---- Health ----

    pub fn check(&mut self, conn: ConnId, id: u16, deep: bool) {
        let (good, from_store) = self.health;
        let as_told = !deep || from_store || !good;
        if as_told || !self.kernel.synced {
            return self.check_ends(Open { conn, id }, good && as_told);
        }
        let mark = self.kernel.sent + 1;
        self.command(Command::Post(mark));
        self.checks.insert(mark, Open { conn, id });
        if let Some(state) = self.conns.get_mut(&conn) {
            state.open.insert(id, Asked::Check(mark));
        }
        self.set_timer(CHECK_LIMIT, Timer::CheckLimit(mark));
    }

    /// The kernel did the work of a check, or the check has waited for long enough.
    pub fn checked(&mut self, mark: u64, ok: bool) {
        if let Some(open) = self.checks.remove(&mark) {
            self.check_ends(open, ok);
        }
    }

    fn check_ends(&mut self, open: Open, good: bool) {
        let reply = Reply::answer(open.id, if good { 200 } else { 503 }, &self.fields(), Vec::new());
        self.end(open.conn, open.id, reply);
    }
}
