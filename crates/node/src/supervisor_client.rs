//! A node that a supervisor started: the listening socket and the persisted state of the program's
//! versions come from it over a Unix stream, which is the node's standard input; checks, writes and
//! swaps are asked of it. A node whose supervisor is gone goes on without it.

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

/// The environment variable that tells a program that a supervisor started it.
pub const SUPERVISED_VARIABLE: &str = "MADDERPOINT_UNDER";
/// How long a node waits for what it starts with.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a node waits for an answer: longer than a new process may take to be ready.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Why the supervisor did not do what the node asked, or what it sent can't be taken up.
#[derive(Debug, thiserror::Error)]
pub enum SupervisorClientError {
    /// What the supervisor hands over at the start can't be read.
    #[error("{SUPERVISED_VARIABLE} is set, and what the parent says can't be read: {0}")]
    Handover(String),
    /// It can't be written to.
    #[error("the parent can't be told: {0}")]
    Write(#[from] std::io::Error),
    /// It has ended.
    #[error("the parent is gone")]
    Gone,
    /// It did not answer within [`ANSWER_TIMEOUT`].
    #[error("the parent did not answer")]
    NoAnswer,
    /// It answered that it can't be done, and why.
    #[error("{0}")]
    Refused(String),
}

/// Requests that wait for their answers, by number.
type Answers = Arc<Mutex<HashMap<u64, Sender<Result<(), SupervisorClientError>>>>>;

/// The stream to the supervisor.
#[derive(Debug)]
pub struct Link {
    stream: Mutex<UnixStream>,
    answers: Answers,
    asked: AtomicU64,
    gone: AtomicBool,
}

/// What the supervisor handed over.
#[derive(Debug)]
pub struct Adopted {
    /// The stream to the supervisor.
    pub link: Arc<Link>,
    /// What the process starts with.
    pub begin: StartInstructions,
    /// The listening socket.
    pub listener: Option<TcpListener>,
    reading: UnixStream,
    reader: MessageReader,
}

/// Takes up what the supervisor hands over.
pub fn adopt() -> Result<Adopted, SupervisorClientError> {
    let unreadable = |e: &dyn std::fmt::Display| SupervisorClientError::Handover(e.to_string());
    let stdin = std::io::stdin()
        .as_fd()
        .try_clone_to_owned()
        .map_err(|e| unreadable(&e))?;
    let mut stream = UnixStream::from(stdin);
    stream
        .set_read_timeout(Some(START_TIMEOUT))
        .map_err(|e| unreadable(&e))?;
    let (mut reader, mut listener) = (MessageReader::default(), None);
    let begin = loop {
        let mut buffer = [0; 4096];
        let read = if listener.is_none() {
            receive_with_socket(&stream, &mut buffer, &mut listener).map_err(|e| unreadable(&e))?
        } else {
            stream.read(&mut buffer).map_err(|e| unreadable(&e))?
        };
        if read == 0 {
            return Err(unreadable(&"it is gone"));
        }
        reader.feed(&buffer[..read]);
        if let Some(message) = reader.take().map_err(|_| unreadable(&"it is no saying"))? {
            break message
                .start_instructions()
                .ok_or_else(|| unreadable(&"it does not say what to start with"))?;
        }
    };
    if listener.is_none() {
        return Err(unreadable(&"no listening socket came"));
    }
    stream.set_read_timeout(None).map_err(|e| unreadable(&e))?;
    let reading = stream.try_clone().map_err(|e| unreadable(&e))?;
    let link = Arc::new(Link {
        stream: Mutex::new(stream),
        answers: Answers::default(),
        asked: AtomicU64::new(0),
        gone: AtomicBool::new(false),
    });
    Ok(Adopted {
        link,
        begin,
        listener,
        reading,
        reader,
    })
}

/// Reads from the stream, and takes the listening socket if it comes beside the bytes.
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
    /// Listens to the parent from here on.
    pub fn listen(self, control: Sender<ControlMessage>) -> std::io::Result<()> {
        let Adopted {
            link,
            begin,
            reading,
            reader,
            ..
        } = self;
        // One that was started beside another is in charge only once it is told so.
        let in_charge = !begin.another_process_serves;
        thread::Builder::new()
            .name("parent".into())
            .spawn(move || listen(&link, in_charge, reading, reader, &control))?;
        Ok(())
    }
}

fn listen(
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
                link.take_up(message, control);
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
    link.gone.store(true, SeqCst);
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

    /// Takes up a message of the supervisor.
    fn take_up(&self, message: SupervisorMessage, control: &Sender<ControlMessage>) {
        match message.kind {
            kind::HAND_OVER => {
                // The other version runs now: that is what was asked for last, and there is no other
                // answer to it.
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

    /// The node serves.
    pub fn ready(&self) {
        if let Err(error) = self.send(&SupervisorMessage::plain(kind::READY)) {
            warn!(target: part::SUPERVISOR, %error, "readiness not reported");
        }
    }

    /// Asks the supervisor for something, and waits for the answer.
    fn request(
        &self,
        message: impl FnOnce(u64) -> SupervisorMessage,
    ) -> Result<(), SupervisorClientError> {
        let number = self.asked.fetch_add(1, SeqCst) + 1;
        let (answers, answer) = bounded(1);
        self.answers().insert(number, answers);
        if self.gone.load(SeqCst) {
            return Err(SupervisorClientError::Gone);
        }
        self.send(&message(number))?;
        let answer = answer.recv_timeout(ANSWER_TIMEOUT);
        self.answers().remove(&number);
        answer.unwrap_or(Err(SupervisorClientError::NoAnswer))
    }
}

/// Versions of the program, which the supervisor stores.
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
        Ok(self.0.request(|no| SupervisorMessage {
            kind: kind::PERSIST,
            request: no,
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

/// What a node starts with, of its program.
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
