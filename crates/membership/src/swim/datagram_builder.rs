//! Builder of a datagram that does not exceed the maximum message size.

use super::sending::{LOAD_HINT_BYTES, LOAD_HINTS_PER_DATAGRAM};
use crate::datagram_auth::MESSAGE_MAX;
use crate::messages::{Datagram, MemberUpdate};
use prost::Message;

/// Returns the encoded size of a length-delimited field with content of the given size, in bytes.
pub(super) fn encoded_field_len(content_bytes: usize) -> usize {
    1 + prost::length_delimiter_len(content_bytes) + content_bytes
}

/// Datagram under construction, with its encoded size in bytes.
pub(super) struct DatagramBuilder {
    pub(super) datagram: Datagram,
    pub(super) size: usize,
}

impl DatagramBuilder {
    pub(super) fn new(datagram: Datagram) -> DatagramBuilder {
        let size = datagram.encoded_len();
        DatagramBuilder { datagram, size }
    }

    /// Returns whether the given number of further bytes fits, with room left for load hints.
    pub(super) fn fits(&self, bytes: usize) -> bool {
        let load_hints = encoded_field_len((LOAD_HINTS_PER_DATAGRAM + 1) * LOAD_HINT_BYTES);
        self.size + bytes + load_hints <= MESSAGE_MAX
    }

    /// Appends an update if it fits; returns whether it did.
    pub(super) fn push_update(&mut self, update: MemberUpdate) -> bool {
        let bytes = encoded_field_len(update.encoded_len());
        let fits = self.fits(bytes);
        if fits {
            self.size += bytes;
            self.datagram.updates.push(update);
        }
        fits
    }
}
