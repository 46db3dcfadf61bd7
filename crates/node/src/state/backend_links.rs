//! The links to the backend: the choice of a link for a call, links that end or rest, and links that
//! are open but silent.

use super::NodeState;
use crate::actions::{Actions, BackendLink, CallId};
use crate::log::part;
use madderpoint::RequestId;
use tracing::warn;

/// Number of connections to the backend. A broken connection loses all calls on it, so calls are
/// spread. A call avoids a link on which a late reply to an earlier call of its request may still
/// arrive.
pub const BACKEND_LINKS: usize = 8;
/// A link counts as silent once this many replies on other links have overtaken a call on it. A
/// silent link is avoided, and closed when a call on it times out.
const SILENT_AFTER_REPLIES: u32 = 8;
/// State of one link to the backend.
#[derive(Clone, Copy, Default)]
pub struct BackendLinkState {
    /// Number of connections of this link that are known to have ended.
    pub(super) connections_ended: u64,
    /// Id of the latest call on any link at the time of the last reply on this link.
    latest_call_at_reply: u64,
    /// Number of replies on other links since that time to calls newer than the oldest call that
    /// waits on this link.
    overtaken: u32,
}

impl BackendLinkState {
    fn is_silent(&self) -> bool {
        self.overtaken >= SILENT_AFTER_REPLIES
    }

    /// Returns whether the link is silent, and no reply has arrived on it since this call was added.
    pub fn is_silent_since(&self, call_id: CallId) -> bool {
        self.is_silent() && self.latest_call_at_reply < call_id.0
    }
}

impl<A: Actions> NodeState<A> {
    /// Chooses the link for a call: links that are not silent are preferred, then the link with the
    /// fewest calls. Links on which the request may still get a late reply are excluded.
    pub(super) fn choose_link(&self, id: RequestId) -> Option<usize> {
        let mut calls = [0; BACKEND_LINKS];
        self.requests
            .values()
            .filter_map(|request| request.backend_call.as_ref()?.link())
            .for_each(|link| calls[link] += 1);
        let tainted = self.requests.get(&id)?.tainted_links;
        (0..BACKEND_LINKS)
            .filter(|&link| !tainted[link])
            .min_by_key(|&link| (self.backend.links[link].is_silent(), calls[link]))
    }

    /// Records the end of a connection. Returns the requests whose calls were written on it and had
    /// no reply.
    pub fn backend_disconnected(&mut self, link: BackendLink) -> Vec<RequestId> {
        // The end of a silent connection that was closed may be reported after that of a newer one.
        let state = &mut self.backend.links[link.place];
        state.connections_ended = state.connections_ended.max(link.generation + 1);
        state.overtaken = 0;
        let cut_off: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request
                    .backend_call
                    .as_ref()
                    .is_some_and(|call| call.written_on == Some(link))
            })
            .map(|(&id, _)| id)
            .collect();
        if !cut_off.is_empty() {
            warn!(
                target: part::BACKEND,
                link = link.place,
                calls = cut_off.len(),
                "connection lost with calls under way"
            );
        }
        cut_off
    }

    /// Closes a link that has been idle, unless a reply is awaited on it. If the backend closed the
    /// connection first, a new call could be lost with it.
    pub fn backend_idle(&mut self, link: usize) {
        let is_awaited = self.requests.values().any(|request| {
            request
                .backend_call
                .as_ref()
                .is_some_and(|call| call.link() == Some(link))
        });
        if !is_awaited {
            self.actions.close_backend_link(link);
        }
    }

    /// Updates the overtaken counts after a reply on `link`: other links on which an older call
    /// waits are counted as overtaken.
    pub(super) fn detect_overtaken_links(&mut self, link: usize, id: Option<RequestId>) {
        let replied = &mut self.backend.links[link];
        replied.latest_call_at_reply = self.backend.last_call_id;
        replied.overtaken = 0;
        let Some(replied_call) = id
            .and_then(|id| self.requests.get(&id)?.backend_call.as_ref())
            .map(|call| call.id.0)
        else {
            return;
        };
        let mut oldest_calls = [u64::MAX; BACKEND_LINKS];
        for call in self
            .requests
            .values()
            .filter_map(|request| request.backend_call.as_ref())
        {
            if let Some(link) = call.link() {
                oldest_calls[link] = oldest_calls[link].min(call.id.0);
            }
        }
        for (link, oldest) in self.backend.links.iter_mut().zip(oldest_calls) {
            match oldest {
                u64::MAX => link.overtaken = 0, // no call waits on this link
                oldest => {
                    let is_overtaken = link.latest_call_at_reply < oldest && oldest < replied_call;
                    link.overtaken += u32::from(is_overtaken);
                }
            }
        }
    }
}
