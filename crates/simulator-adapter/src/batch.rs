//! Reads whole batches. A batch is a header with the body's length and the simulator's clock, and
//! then the body.

use crate::error::{Cause, Malformed};
use crate::fields::Fields;
use madderpoint::Nanos;
use std::io::{self, Read};

/// Length of a batch's header, in bytes.
pub(crate) const HEADER_LEN: usize = 12;
/// Longest body that is accepted, in bytes. A header that announces a longer body is rejected as
/// malformed.
const MAX_BODY_LEN: usize = 256 << 20;

/// Reads the body of one batch into `body` and returns the clock of the batch, or `None` at the end
/// of the input.
pub(crate) fn read_batch(
    input: &mut impl Read,
    body: &mut Vec<u8>,
) -> Result<Option<Nanos>, Malformed> {
    let malformed = |offset, cause| Malformed {
        record: "batch".into(),
        field: "header",
        offset,
        cause,
    };
    let unreadable =
        |offset, error: io::Error| malformed(offset, Cause::Unreadable(error.to_string()));
    let mut header = [0; HEADER_LEN];
    match fill(input, &mut header).map_err(|error| unreadable(0, error))? {
        0 => return Ok(None),
        HEADER_LEN => {}
        got => {
            let expected = HEADER_LEN;
            return Err(malformed(got, Cause::InputEnded { got, expected }));
        }
    }
    let mut fields = Fields::new(&header, 0, "batch");
    let expected = fields.u32("length")? as usize;
    if expected > MAX_BODY_LEN {
        let (announced, max) = (expected, MAX_BODY_LEN);
        return Err(malformed(0, Cause::TooLong { announced, max }));
    }
    let now = fields.nanos("clock")?;
    body.clear();
    let got = input
        .take(expected as u64)
        .read_to_end(body)
        .map_err(|error| unreadable(HEADER_LEN, error))?;
    if got < expected {
        let cause = Cause::InputEnded { got, expected };
        return Err(malformed(HEADER_LEN + got, cause));
    }
    Ok(Some(now))
}

/// Reads until `buffer` is full or the input ends, and returns the number of bytes read.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(read) => got += read,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(got)
}
