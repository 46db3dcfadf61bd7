//! Encoding of messages as a later version would encode them, in builds with the feature `later`:
//! an additional field in each message, a field left out of some messages, and message kinds that
//! the present version does not know. Used to test both versions side by side; see
//! `docs/design/rollout.md`.

use super::message::MAX_MESSAGE_BYTES;
use super::wire::MessageWire;
use prost::Message as _;

/// True in builds with the feature `later`, which encode messages as a later version would.
pub const LATER: bool = cfg!(feature = "later");

/// Encoded field that the present version does not know: number 250, a string.
const LATER_FIELD: [u8; 8] = [0xd2, 0x0f, 5, b'l', b'a', b't', b'e', b'r'];

/// Kind of message that the present version does not know.
pub const LATER_KIND: u32 = 90;

/// Returns an encoded message of the kind [`LATER_KIND`].
pub fn later_kind() -> Vec<u8> {
    later(
        MessageWire {
            kind: LATER_KIND,
            ..MessageWire::default()
        }
        .encode_to_vec(),
    )
}

/// Appends the unknown field to an encoded message in a later build, if the message then stays
/// within [`MAX_MESSAGE_BYTES`].
pub(crate) fn later(mut message: Vec<u8>) -> Vec<u8> {
    if LATER && message.len() + LATER_FIELD.len() <= MAX_MESSAGE_BYTES {
        message.extend(LATER_FIELD);
    }
    message
}
