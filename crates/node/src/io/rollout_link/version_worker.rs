//! The worker thread that checks, writes and applies versions, all of which may be slow.

use crate::program_version::ProgramVersionError;
use crate::supervisor_client::SupervisorClientError;
use crate::version_store::VersionStoreError;
use crossbeam_channel::Receiver;
use madderpoint_rollout::{HostError, Kind, PersistedState, RolloutId, Version};

/// Why a version cannot be checked, persisted or applied. Operators read the error's text as the
/// reason.
#[derive(Debug, thiserror::Error)]
pub enum VersionError {
    /// The settings are invalid or cannot take effect on this node; with the reason.
    #[error("{0}")]
    Settings(String),
    /// The content is another version than it was offered as.
    #[error("content is version {found}, expected version {expected}")]
    OtherVersion {
        /// The version stated in the content.
        found: Version,
        /// The version that the content was offered as.
        expected: Version,
    },
    /// A program was offered without its version.
    #[error("program offered without a version")]
    NoVersion,
    /// The directory of versions could not be read or written.
    #[error(transparent)]
    Store(#[from] VersionStoreError),
    /// The program of the version cannot be found or used.
    #[error(transparent)]
    Program(#[from] ProgramVersionError),
    /// The supervisor could not be reached or did not carry out the request.
    #[error(transparent)]
    Supervisor(#[from] SupervisorClientError),
}

impl From<VersionError> for HostError {
    fn from(error: VersionError) -> HostError {
        HostError::new(error.to_string())
    }
}

/// Checks, stores and applies versions on this node. Calls may block, for example on the disk.
pub trait Versions: Send {
    /// Checks whether this node can run the version or content, and returns its version.
    fn check(
        &mut self,
        version: Option<Version>,
        content: Option<&[u8]>,
    ) -> Result<Version, VersionError>;

    /// Writes the persisted state and, if given, the content of a version.
    fn persist(
        &mut self,
        persisted: &PersistedState,
        content: Option<(Version, &[u8])>,
    ) -> Result<(), VersionError>;

    /// Switches the node to a version.
    fn apply(&mut self, version: Version) -> Result<(), VersionError>;
}

/// A task for the worker.
pub(super) enum Task {
    /// Checks whether this node can run the version of a rollout.
    Check {
        rollout: RolloutId,
        version: Version,
        content: Option<Vec<u8>>,
    },
    /// Checks whether this node can run a version that an operator offers.
    CheckOffer {
        number: u64,
        version: Option<Version>,
        content: Option<Vec<u8>>,
    },
    /// Writes the persisted state and, if given, the content of a version.
    Persist {
        number: u64,
        persisted: Box<PersistedState>,
        content: Option<(Version, Vec<u8>)>,
    },
    /// Switches the node to a version.
    Apply(Version),
}

/// The result of a task.
#[derive(Debug)]
pub enum TaskResult {
    /// Result of checking the version of a rollout.
    Checked(RolloutId, Result<(), HostError>),
    /// Result of checking the offer with this number; `Ok` has the version of the offered content.
    OfferChecked(u64, Result<Version, HostError>),
    /// Result of the [`Task::Persist`] with this number.
    Persisted(u64, Result<(), HostError>),
    /// Result of switching to this version.
    Applied(Version, Result<(), HostError>),
}

/// Sends results to the thread that owns the [`super::RolloutLink`].
pub type ResultSender = Box<dyn Fn(Kind, TaskResult) + Send>;

/// Carries out tasks until the sending end of the queue is dropped.
pub(super) fn run_tasks(
    kind: Kind,
    mut versions: Box<dyn Versions>,
    tasks: &Receiver<Task>,
    results: &ResultSender,
) {
    for task in tasks {
        results(kind, run_task(versions.as_mut(), task));
    }
}

fn run_task(versions: &mut dyn Versions, task: Task) -> TaskResult {
    match task {
        Task::Check {
            rollout,
            version,
            content,
        } => {
            let found = versions.check(Some(version), content.as_deref());
            let result = found.and_then(|found| match found == version {
                true => Ok(()),
                false => Err(VersionError::OtherVersion {
                    found,
                    expected: version,
                }),
            });
            TaskResult::Checked(rollout, result.map_err(HostError::from))
        }
        Task::CheckOffer {
            number,
            version,
            content,
        } => {
            let found = versions.check(version, content.as_deref());
            TaskResult::OfferChecked(number, found.map_err(HostError::from))
        }
        Task::Persist {
            number,
            persisted,
            content,
        } => {
            let content = content
                .as_ref()
                .map(|(version, content)| (*version, content.as_slice()));
            let result = versions.persist(&persisted, content);
            TaskResult::Persisted(number, result.map_err(HostError::from))
        }
        Task::Apply(version) => {
            let result = versions.apply(version);
            TaskResult::Applied(version, result.map_err(HostError::from))
        }
    }
}
