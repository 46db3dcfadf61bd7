//! The membership service's protocol: a report is one HTTP/1.1 call.

/// The most that is read of an answer's head.
const HEAD_MAX: usize = 4096;
const HEADERS: usize = 32;

/// What a report says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The node takes invocations.
    Up,
    /// It is leaving.
    Out,
}

/// The bytes of a report.
pub fn report(host: &str, node: &str, phase: Phase) -> Vec<u8> {
    let word = if phase == Phase::Up { "UP" } else { "OUT" };
    let body = format!("{{\"phase\":\"{word}\"}}");
    format!(
        "PUT /members/{node} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\nContent-Type: application/json\r\n\
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

/// The answer can't be read.
#[derive(Debug, PartialEq, Eq)]
pub struct Broken;

impl Answer {
    /// Takes the next bytes; gives the status once the head is whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<u16>, Broken> {
        self.head.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&self.head) {
            Ok(httparse::Status::Complete(_)) => Ok(response.code),
            Ok(httparse::Status::Partial) if self.head.len() < HEAD_MAX => Ok(None),
            _ => Err(Broken),
        }
    }
}
