//! The node's link to the supervisor that started it, over a Unix stream that is the node's
//! standard input. The supervisor sends the listening socket and the persisted state of the
//! program's versions; the node asks it to check, persist and start versions. A node whose
//! supervisor has ended continues without it.

use crate::io::{ControlMessage, VersionError, Versions};
use crate::log::part;
use crossbeam_channel::{Sender, bounded};
use madderpoint_rollout::node_agent::InitialState;
use madderpoint_rollout::process_handover::StartInstructions;
use madderpoint_rollout::supervisor_messages::{MessageReader, SupervisorMessage, kind};
use madderpoint_rollout::{PersistedState, Version};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, recvmsg};
use std::collections::HashMap;
use std::io::{IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use tracing::warn;

/// Environment variable that is set for a program that a supervisor started.
pub const SUPERVISED_VARIABLE: &str = "MADDERPOINT_UNDER";
/// Timeout of a read while the node waits for its start instructions.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a request to the supervisor. Longer than the time within which a new process must be
/// ready.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Why the handover from the supervisor, or a request to it, failed.
#[derive(Debug, thiserror::Error)]
pub enum SupervisorClientError {
    /// The start instructions or the listening socket could not be received.
    #[error("{SUPERVISED_VARIABLE} is set, but the handover from the supervisor failed: {0}")]
    Handover(String),
    /// A message could not be written to the supervisor.
    #[error("writing to the supervisor failed: {0}")]
    Write(#[from] std::io::Error),
    /// The supervisor has ended.
    #[error("the supervisor has ended")]
    Gone,
    /// The supervisor did not answer within 60 s.
    #[error("the supervisor did not answer in time")]
    NoAnswer,
    /// The supervisor refused the request; the value is the reason.
    #[error("{0}")]
    Refused(String),
}

/// Requests that wait for an answer, by number.
type Answers = Arc<Mutex<HashMap<u64, Sender<Result<(), SupervisorClientError>>>>>;

/// The link to the supervisor.
#[derive(Debug)]
pub struct Link {
    stream: Mutex<UnixStream>,
    answers: Answers,
    request_count: AtomicU64,
    is_closed: AtomicBool,
}

/// What the supervisor handed over to this process.
#[derive(Debug)]
pub struct Adopted {
    /// The link for reports and requests to the supervisor.
    pub link: Arc<Link>,
    /// The start instructions: the version to run, the persisted state, and whether another process
    /// still serves.
    pub begin: StartInstructions,
    /// The listening socket; present unless the caller has taken it.
    pub listener: Option<TcpListener>,
    read_stream: UnixStream,
    reader: MessageReader,
}

/// Receives the start instructions and the listening socket from the supervisor.
pub fn adopt() -> Result<Adopted, SupervisorClientError> {
    let handover_error = |e: &dyn std::fmt::Display| SupervisorClientError::Handover(e.to_string());
    let stdin = std::io::stdin()
        .as_fd()
        .try_clone_to_owned()
        .map_err(|e| handover_error(&e))?;
    let mut stream = UnixStream::from(stdin);
    stream
        .set_read_timeout(Some(START_TIMEOUT))
        .map_err(|e| handover_error(&e))?;
    let (mut reader, mut listener) = (MessageReader::default(), None);
    let begin = loop {
        let mut buffer = [0; 4096];
        let read = if listener.is_none() {
            receive_with_socket(&stream, &mut buffer, &mut listener)
                .map_err(|e| handover_error(&e))?
        } else {
            stream.read(&mut buffer).map_err(|e| handover_error(&e))?
        };
        if read == 0 {
            return Err(handover_error(
                &"the stream ended before the start instructions",
            ));
        }
        reader.feed(&buffer[..read]);
        if let Some(message) = reader
            .take()
            .map_err(|_| handover_error(&"the first message cannot be decoded"))?
        {
            break message
                .start_instructions()
                .ok_or_else(|| handover_error(&"the first message holds no start instructions"))?;
        }
    };
    if listener.is_none() {
        return Err(handover_error(&"no listening socket was received"));
    }
    stream
        .set_read_timeout(None)
        .map_err(|e| handover_error(&e))?;
    let read_stream = stream.try_clone().map_err(|e| handover_error(&e))?;
    let link = Arc::new(Link {
        stream: Mutex::new(stream),
        answers: Answers::default(),
        request_count: AtomicU64::new(0),
        is_closed: AtomicBool::new(false),
    });
    Ok(Adopted {
        link,
        begin,
        listener,
        read_stream,
        reader,
    })
}

/// Reads from the stream, and sets `listener` if the listening socket arrives as ancillary data.
fn receive_with_socket(
    stream: &UnixStream,
    buffer: &mut [u8],
    listener: &mut Option<TcpListener>,
) -> std::io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut into = [IoSliceMut::new(buffer)];
    let received = recvmsg(stream, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(mut sockets) = message {
            *listener = sockets.next().map(TcpListener::from);
        }
    }
    Ok(received.bytes)
}

impl Adopted {
    /// Starts the thread that reads the messages of the supervisor. The thread sends
    /// [`ControlMessage::HandOver`] on `control` if another process takes this one's place, or if
    /// the supervisor ends before this process is in charge.
    pub fn listen(self, control: Sender<ControlMessage>) -> std::io::Result<()> {
        let Adopted {
            link,
            begin,
            read_stream,
            reader,
            ..
        } = self;
        // A process that was started next to another one is in charge only once the supervisor says
        // so.
        let in_charge = !begin.another_process_serves;
        thread::Builder::new()
            .name("parent".into())
            .spawn(move || read_messages(&link, in_charge, read_stream, reader, &control))?;
        Ok(())
    }
}

fn read_messages(
    link: &Link,
    mut in_charge: bool,
    mut stream: UnixStream,
    mut reader: MessageReader,
    control: &Sender<ControlMessage>,
) {
    let mut buffer = [0; 4096];
    loop {
        match reader.take() {
            Ok(Some(message)) => {
                in_charge |= message.kind == kind::IN_CHARGE;
                link.handle_message(message, control);
                continue;
            }
            Ok(None) => {}
            Err(_) => break,
        }
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => reader.feed(&buffer[..read]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            _ => break,
        }
    }
    link.is_closed.store(true, SeqCst);
    link.answers().clear();
    if in_charge {
        warn!(
            target: part::SUPERVISOR,
            "supervisor lost: the node goes on, and cannot change its program"
        );
    } else {
        warn!(target: part::SUPERVISOR, "supervisor lost before the handover: this process stops");
        let _ = control.send(ControlMessage::HandOver);
    }
}

impl Link {
    fn answers(&self) -> MutexGuard<'_, HashMap<u64, Sender<Result<(), SupervisorClientError>>>> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, message: &SupervisorMessage) -> Result<(), SupervisorClientError> {
        let mut stream = self.stream.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(stream.write_all(&message.write())?)
    }

    /// Handles a message of the supervisor.
    fn handle_message(&self, message: SupervisorMessage, control: &Sender<ControlMessage>) {
        match message.kind {
            kind::HAND_OVER => {
                // The other version runs now. This is the only answer to the pending request to
                // start it.
                let waiting = std::mem::take(&mut *self.answers());
                waiting
                    .into_values()
                    .for_each(|waiting| _ = waiting.send(Ok(())));
                let _ = control.send(ControlMessage::HandOver);
            }
            kind::DONE => {
                let result = if message.refused {
                    Err(SupervisorClientError::Refused(message.why))
                } else {
                    Ok(())
                };
                let waiting = self.answers().remove(&message.request);
                if let Some(waiting) = waiting {
                    let _ = waiting.send(result);
                }
            }
            _ => {}
        }
    }

    /// Reports to the supervisor that the node serves.
    pub fn ready(&self) {
        if let Err(error) = self.send(&SupervisorMessage::plain(kind::READY)) {
            warn!(target: part::SUPERVISOR, %error, "readiness not reported");
        }
    }

    /// Sends a request, which `message` creates from its number, and waits for the answer for at
    /// most [`ANSWER_TIMEOUT`].
    fn request(
        &self,
        message: impl FnOnce(u64) -> SupervisorMessage,
    ) -> Result<(), SupervisorClientError> {
        let number = self.request_count.fetch_add(1, SeqCst) + 1;
        let (answers, answer) = bounded(1);
        self.answers().insert(number, answers);
        if self.is_closed.load(SeqCst) {
            return Err(SupervisorClientError::Gone);
        }
        self.send(&message(number))?;
        let answer = answer.recv_timeout(ANSWER_TIMEOUT);
        self.answers().remove(&number);
        answer.unwrap_or(Err(SupervisorClientError::NoAnswer))
    }
}

/// Versions of the program, which the supervisor checks, persists and starts.
#[derive(Debug)]
pub struct ProgramVersions(pub Arc<Link>);

impl Versions for ProgramVersions {
    fn check(
        &mut self,
        version: Option<Version>,
        _: Option<&[u8]>,
    ) -> Result<Version, VersionError> {
        let version = version.ok_or(VersionError::NoVersion)?;
        self.0
            .request(|number| SupervisorMessage::about(kind::CHECK, number, version))?;
        Ok(version)
    }

    fn persist(
        &mut self,
        persisted: &PersistedState,
        _: Option<(Version, &[u8])>,
    ) -> Result<(), VersionError> {
        Ok(self.0.request(|number| SupervisorMessage {
            kind: kind::PERSIST,
            request: number,
            persisted: persisted.encode(),
            ..SupervisorMessage::default()
        })?)
    }

    fn apply(&mut self, version: Version) -> Result<(), VersionError> {
        Ok(self
            .0
            .request(|number| SupervisorMessage::about(kind::APPLY, number, version))?)
    }
}

/// Converts the start instructions into the initial state of the node agent for the program.
pub fn start(begin: &StartInstructions) -> InitialState {
    InitialState {
        persisted: begin.persisted.clone(),
        running: begin.version,
        contents: Vec::new(),
        new_content: None,
        crashed: begin.crashed,
        disk_was_empty: begin.disk_was_empty,
    }
}
