//! Requests that were read only in part.

use super::{BODY_MAX, PARAMS, PARAMS_MAX, Request};
use crate::request_memory::ConnectionMemory;

/// Step in which the memory of an unfinished request's parameters or body grows, in bytes.
const GROWTH_STEP: usize = 512;

/// Size of an unfinished request without its parameters and body, in bytes.
pub const UNFINISHED_ENTRY_BYTES: usize = size_of::<Unfinished>();

/// A request that was read only in part.
pub(super) struct Unfinished {
    pub(super) request: Request,
    pub(super) params_done: bool,
    /// Length of the parameters read so far, up to [`PARAMS_MAX`], also if they were not kept.
    pub(super) params_length: usize,
    /// Length of the body read so far, up to [`BODY_MAX`], also if it was not kept.
    body_length: usize,
    /// Memory taken for the request, in bytes.
    pub(super) memory: usize,
}

impl Unfinished {
    pub(super) fn new(id: u16, keep_conn: bool) -> Unfinished {
        Unfinished {
            request: Request {
                id,
                keep_conn,
                params: Vec::new(),
                body: Vec::new(),
                oversize: false,
                no_memory: false,
            },
            params_done: false,
            params_length: 0,
            body_length: 0,
            memory: 0,
        }
    }

    /// Reads content of the parameters or of the body, for which memory is taken from `memory`.
    /// Returns the number of bytes that are within the bounds of a request.
    pub(super) fn read_content(
        &mut self,
        kind: u8,
        bytes: &[u8],
        memory: &mut ConnectionMemory,
    ) -> usize {
        let (stream, length, max) = match kind {
            PARAMS if self.params_done => return 0,
            PARAMS => (
                &mut self.request.params,
                &mut self.params_length,
                PARAMS_MAX,
            ),
            _ => (&mut self.request.body, &mut self.body_length, BODY_MAX),
        };
        let within = bytes.len().min(max - *length);
        *length += within;
        self.request.oversize |= within < bytes.len();
        if self.request.no_memory {
            return within;
        }
        let needed = length.next_multiple_of(GROWTH_STEP).min(max);
        let more = needed.saturating_sub(stream.capacity());
        if memory.take(more) {
            self.memory += more;
            stream.reserve_exact(needed - stream.len());
            stream.extend_from_slice(&bytes[..within]);
        } else {
            memory.give_back(std::mem::take(&mut self.memory));
            (self.request.params, self.request.body) = (Vec::new(), Vec::new());
            self.request.no_memory = true;
        }
        within
    }
}
