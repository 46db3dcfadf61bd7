//! A build with a later version of the messages: a field more in each, one less in some, and kinds
//! that the present version does not know. For tests of both side by side; see
//! `docs/design/rollout.md`.

use super::message::MAX_MESSAGE_BYTES;
use super::wire::MessageWire;
use prost::Message as _;

/// Whether this is such a build.
pub const LATER: bool = cfg!(feature = "later");

/// A field that the present version does not know: number 250, a text.
const LATER_FIELD: [u8; 8] = [0xd2, 0x0f, 5, b'l', b'a', b't', b'e', b'r'];

/// A kind of message that the present version does not know.
pub const LATER_KIND: u32 = 90;

/// A message of that kind.
pub fn later_kind() -> Vec<u8> {
    later(
        MessageWire {
            kind: LATER_KIND,
            ..MessageWire::default()
        }
        .encode_to_vec(),
    )
}

/// Adds to an encoded message what a later version has in it.
pub(crate) fn later(mut message: Vec<u8>) -> Vec<u8> {
    if LATER && message.len() + LATER_FIELD.len() <= MAX_MESSAGE_BYTES {
        message.extend(LATER_FIELD);
    }
    message
}
