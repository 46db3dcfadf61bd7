//! The thread that checks, writes and applies versions, which may take its time.

use crate::program_version::ProgramVersionError;
use crate::supervisor_client::SupervisorClientError;
use crate::version_store::VersionStoreError;
use crossbeam_channel::Receiver;
use madderpoint_rollout::{HostError, Kind, PersistedState, RolloutId, Version};

/// Why a version can't be checked, persisted or applied. Its text is what operators read as the
/// reason.
#[derive(Debug, thiserror::Error)]
pub enum VersionError {
    /// The settings can't be taken: what is wrong with them.
    #[error("{0}")]
    Settings(String),
    /// The content is of another version than it was offered as.
    #[error("it says that it is version {found}, not {expected}")]
    OtherVersion {
        /// The version that the content has.
        found: Version,
        /// The version that it was offered as.
        expected: Version,
    },
    /// A program was offered without its version.
    #[error("a program is told by its version")]
    NoVersion,
    /// The disk.
    #[error(transparent)]
    Store(#[from] VersionStoreError),
    /// The program's directory.
    #[error(transparent)]
    Program(#[from] ProgramVersionError),
    /// The supervisor.
    #[error(transparent)]
    Supervisor(#[from] SupervisorClientError),
}

impl From<VersionError> for HostError {
    fn from(error: VersionError) -> HostError {
        HostError::new(error.to_string())
    }
}

/// What a version does to this node, and where versions are stored. Each call may take its time.
pub trait Versions: Send {
    /// Checks whether this can be run here, and gives the version that it is.
    fn check(
        &mut self,
        version: Option<Version>,
        content: Option<&[u8]>,
    ) -> Result<Version, VersionError>;

    /// Writes the persisted state, and a content with it.
    fn persist(
        &mut self,
        persisted: &PersistedState,
        content: Option<(Version, &[u8])>,
    ) -> Result<(), VersionError>;

    /// Runs a version from here on.
    fn apply(&mut self, version: Version) -> Result<(), VersionError>;
}

/// What the thread is asked to do.
pub(super) enum Task {
    /// Check the version of a rollout.
    Check {
        rollout: RolloutId,
        version: Version,
        content: Option<Vec<u8>>,
    },
    /// Check what an operator offers.
    CheckOffer {
        no: u64,
        version: Option<Version>,
        content: Option<Vec<u8>>,
    },
    /// Write the persisted state, and a content with it.
    Persist {
        no: u64,
        persisted: Box<PersistedState>,
        content: Option<(Version, Vec<u8>)>,
    },
    /// Run a version.
    Apply(Version),
}

/// What the thread did.
#[derive(Debug)]
pub enum TaskResult {
    /// The version of a rollout was checked.
    Checked(RolloutId, Result<(), HostError>),
    /// An offer was checked.
    OfferChecked(u64, Result<Version, HostError>),
    /// A write ended.
    Persisted(u64, Result<(), HostError>),
    /// A swap of versions ended.
    Applied(Version, Result<(), HostError>),
}

/// Takes the results to the thread that holds the [`super::RolloutLink`].
pub type ResultSender = Box<dyn Fn(Kind, TaskResult) + Send>;

/// Does what it is asked to until the other end is gone.
pub(super) fn work(
    kind: Kind,
    mut versions: Box<dyn Versions>,
    tasks: &Receiver<Task>,
    results: &ResultSender,
) {
    for task in tasks {
        results(kind, carry_out(versions.as_mut(), task));
    }
}

fn carry_out(versions: &mut dyn Versions, task: Task) -> TaskResult {
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
            no,
            version,
            content,
        } => {
            let found = versions.check(version, content.as_deref());
            TaskResult::OfferChecked(no, found.map_err(HostError::from))
        }
        Task::Persist {
            no,
            persisted,
            content,
        } => {
            let content = content
                .as_ref()
                .map(|(version, content)| (*version, content.as_slice()));
            let result = versions.persist(&persisted, content);
            TaskResult::Persisted(no, result.map_err(HostError::from))
        }
        Task::Apply(version) => {
            let result = versions.apply(version);
            TaskResult::Applied(version, result.map_err(HostError::from))
        }
    }
}
