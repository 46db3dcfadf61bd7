//! The protocol of the service registry: a report is one HTTP/1.1 request, and only the status of
//! its answer matters.

use thiserror::Error;

/// The most that is read of an answer's head, in bytes.
const HEAD_MAX: usize = 4096;
/// Header fields that an answer may have.
const HEADERS_MAX: usize = 32;

/// What a report says of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts requests.
    Up,
    /// It drains.
    Out,
}

impl Phase {
    /// Its name on the wire.
    fn as_str(self) -> &'static str {
        match self {
            Phase::Up => "UP",
            Phase::Out => "OUT",
        }
    }
}

/// The bytes of a report of the node to the service registry at `host`.
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

/// Reads the status of the answer to one report.
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

/// The answer is no HTTP response, or its head is longer than 4 KiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an answer that is no HTTP")]
pub struct AnswerError;

impl Answer {
    /// Reads the next bytes; gives the status once the head is whole.
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
