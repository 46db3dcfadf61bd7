//! A node that a parent started: the listening socket and what is kept of versions of the program
//! come from it over a Unix stream, which is the node's standard input; what takes time is asked of
//! it. A node whose parent is gone goes on without it.

use crate::io::{ControlMessage, Versions};
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
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use tracing::warn;

/// Tells a program that a parent started it.
pub const UNDER: &str = "MADDERPOINT_UNDER";
/// How long a node waits for what it starts with, and for an answer: longer than a new one may take
/// to be ready.
const BEGINS: Duration = Duration::from_secs(10);
const ANSWER: Duration = Duration::from_secs(60);

type Answers = Arc<Mutex<HashMap<u64, Sender<Result<(), String>>>>>;

/// The stream to the parent.
#[derive(Debug)]
pub struct Link {
    stream: Mutex<UnixStream>,
    answers: Answers,
    asked: AtomicU64,
    gone: AtomicBool,
}

/// What came from the parent.
#[derive(Debug)]
pub struct Adopted {
    pub link: Arc<Link>,
    pub begin: StartInstructions,
    pub listener: Option<TcpListener>,
    reading: UnixStream,
    reader: MessageReader,
}

/// Takes up what the parent hands over.
pub fn adopt() -> Result<Adopted, String> {
    let wrong = |what: &dyn std::fmt::Display| {
        format!("{UNDER} is set, and what the parent says can't be read: {what}")
    };
    let stdin = std::io::stdin()
        .as_fd()
        .try_clone_to_owned()
        .map_err(|e| wrong(&e))?;
    let mut stream = UnixStream::from(stdin);
    stream
        .set_read_timeout(Some(BEGINS))
        .map_err(|e| wrong(&e))?;
    let (mut reader, mut listener) = (MessageReader::default(), None);
    let begin = loop {
        let mut buffer = [0; 4096];
        let n = if listener.is_none() {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut into = [IoSliceMut::new(&mut buffer)];
            let got = recvmsg(&stream, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC)
                .map_err(|e| wrong(&e))?;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(mut sockets) = message {
                    listener = sockets.next().map(TcpListener::from);
                }
            }
            got.bytes
        } else {
            stream.read(&mut buffer).map_err(|e| wrong(&e))?
        };
        if n == 0 {
            return Err(wrong(&"it is gone"));
        }
        reader.feed(&buffer[..n]);
        if let Some(saying) = reader.take().map_err(|_| wrong(&"it is no saying"))? {
            break saying
                .as_begin()
                .ok_or_else(|| wrong(&"it does not say what to start with"))?;
        }
    };
    if listener.is_none() {
        return Err(wrong(&"no listening socket came"));
    }
    stream.set_read_timeout(None).map_err(|e| wrong(&e))?;
    let reading = stream.try_clone().map_err(|e| wrong(&e))?;
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

impl Adopted {
    /// Listens to the parent from here on.
    pub fn listen(self, notices: Sender<ControlMessage>) -> std::io::Result<()> {
        let Adopted {
            link,
            begin,
            reading,
            reader,
            ..
        } = self;
        // One that was started beside another is in charge only once it is told so.
        let in_charge = !begin.beside;
        thread::Builder::new()
            .name("parent".into())
            .spawn(move || listen(&link, in_charge, reading, reader, &notices))?;
        Ok(())
    }
}

fn listen(
    link: &Link,
    mut in_charge: bool,
    mut stream: UnixStream,
    mut reader: MessageReader,
    notices: &Sender<ControlMessage>,
) {
    let mut buffer = [0; 4096];
    loop {
        match reader.take() {
            Ok(Some(saying)) => {
                match saying.kind {
                    kind::IN_CHARGE => in_charge = true,
                    kind::HAND_OVER => {
                        // The other version runs now: that is what was asked for last, and there is
                        // no other answer to it.
                        let asked = std::mem::take(
                            &mut *link.answers.lock().unwrap_or_else(PoisonError::into_inner),
                        );
                        asked.into_values().for_each(|asked| _ = asked.send(Ok(())));
                        let _ = notices.send(ControlMessage::HandOver);
                    }
                    kind::DONE => {
                        let result = if saying.refused {
                            Err(saying.why)
                        } else {
                            Ok(())
                        };
                        let asked = link
                            .answers
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .remove(&saying.no);
                        asked
                            .into_iter()
                            .for_each(|asked| _ = asked.send(result.clone()));
                    }
                    _ => {}
                }
                continue;
            }
            Ok(None) => {}
            Err(_) => break,
        }
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => reader.feed(&buffer[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            _ => break,
        }
    }
    link.gone.store(true, SeqCst);
    link.answers
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clear();
    if in_charge {
        warn!(
            target: part::SUPERVISOR,
            "supervisor lost: the node goes on, and cannot change its program"
        );
    } else {
        warn!(target: part::SUPERVISOR, "supervisor lost before the handover: this process stops");
        let _ = notices.send(ControlMessage::HandOver);
    }
}

impl Link {
    fn say(&self, saying: &SupervisorMessage) -> Result<(), String> {
        let mut stream = self.stream.lock().unwrap_or_else(PoisonError::into_inner);
        stream
            .write_all(&saying.write())
            .map_err(|e| format!("the parent can't be told: {e}"))
    }

    /// The node serves.
    pub fn ready(&self) {
        if let Err(what) = self.say(&SupervisorMessage::plain(kind::READY)) {
            warn!(target: part::SUPERVISOR, error = %what, "readiness not reported");
        }
    }

    /// Asks the parent for something, and waits for the answer.
    fn ask(&self, saying: impl FnOnce(u64) -> SupervisorMessage) -> Result<(), String> {
        let no = self.asked.fetch_add(1, SeqCst) + 1;
        let (answers, answer) = bounded(1);
        self.answers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(no, answers);
        if self.gone.load(SeqCst) {
            return Err("the parent is gone".into());
        }
        self.say(&saying(no))?;
        let answer = answer.recv_timeout(ANSWER);
        self.answers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&no);
        answer.unwrap_or_else(|_| Err("the parent did not answer".into()))
    }
}

/// Versions of the program, which the parent keeps.
#[derive(Debug)]
pub struct ProgramVersions(pub Arc<Link>);

impl Versions for ProgramVersions {
    fn check(&mut self, version: Option<Version>, _: Option<&[u8]>) -> Result<Version, String> {
        let version = version.ok_or("a program is told by its version")?;
        self.0
            .ask(|no| SupervisorMessage::about(kind::CHECK, no, version))?;
        Ok(version)
    }

    fn keep(&mut self, kept: &PersistedState, _: Option<(Version, &[u8])>) -> Result<(), String> {
        self.0.ask(|no| SupervisorMessage {
            kind: kind::KEEP,
            no,
            kept: kept.write(),
            ..SupervisorMessage::default()
        })
    }

    fn apply(&mut self, version: Version) -> Result<(), String> {
        self.0
            .ask(|no| SupervisorMessage::about(kind::APPLY, no, version))
    }
}

/// What a node starts with, of its program.
pub fn start(begin: &StartInstructions) -> InitialState {
    InitialState {
        kept: begin.kept.clone(),
        running: begin.version,
        contents: Vec::new(),
        new_content: None,
        died: begin.died,
        fresh: begin.fresh,
    }
}
