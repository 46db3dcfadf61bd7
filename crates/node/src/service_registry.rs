//! The protocol of the service registry. A report is one HTTP/1.1 request, and only the status of
//! the answer matters.

use thiserror::Error;

/// Maximum length of the head of an answer, in bytes.
const HEAD_MAX: usize = 4096;
/// Maximum number of header fields in an answer.
const HEADERS_MAX: usize = 32;

/// The state of the node in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The node accepts requests.
    Up,
    /// The node drains.
    Out,
}

impl Phase {
    /// Returns the name of the phase on the wire.
    fn as_str(self) -> &'static str {
        match self {
            Phase::Up => "UP",
            Phase::Out => "OUT",
        }
    }
}

/// Encodes a report on the node to the service registry at `host`.
pub fn report(host: &str, node: &str, phase: Phase) -> Vec<u8> {
    let body = format!("{{\"phase\":\"{}\"}}", phase.as_str());
    format!(
        "PUT /members/{node} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\
         Content-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Parses the status of the answer to one report.
///
/// ```
/// use madderpoint_node::service_registry::Answer;
///
/// let mut answer = Answer::default();
/// assert_eq!(answer.feed(b"HTTP/1.1 204 No Con"), Ok(None));
/// assert_eq!(answer.feed(b"tent\r\n\r\n"), Ok(Some(204)));
/// assert!(Answer::default().feed(b"220 mail.example\r\n").is_err());
/// ```
#[derive(Default)]
pub struct Answer {
    head: Vec<u8>,
}

/// The answer is not an HTTP response, or its head exceeds 4 KiB or 32 header fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("answer is not an HTTP response with a head of at most 4 KiB and 32 fields")]
pub struct AnswerError;

impl Answer {
    /// Parses the next bytes. Returns the status once the head is complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<u16>, AnswerError> {
        self.head.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&self.head) {
            Ok(httparse::Status::Complete(_)) => Ok(response.code),
            Ok(httparse::Status::Partial) if self.head.len() < HEAD_MAX => Ok(None),
            _ => Err(AnswerError),
        }
    }
}
