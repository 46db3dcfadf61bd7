//! Why a command about a rollout could not be carried out.

use madderpoint_node::program_version::ProgramVersionError;
use madderpoint_rollout::chunks::MAX_CONTENT_BYTES;
use std::error::Error as StdError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command about a rollout could not be carried out.
#[derive(Debug, Error)]
pub enum RolloutCommandError {
    /// The directory holds no version of the program that can be offered.
    #[error(transparent)]
    ProgramVersion(#[from] ProgramVersionError),
    /// The file of settings is too large.
    #[error("{}: {size} bytes, {MAX_CONTENT_BYTES} at most", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Its bytes.
        size: usize,
    },
    /// An argument is no identifier of a rollout.
    #[error("{0}: no change, 16 hex digits")]
    RolloutId(String),
    /// The reply to an operator command can't be decoded.
    #[error("{node}: its answer can't be read: {source}")]
    MalformedReply {
        /// Where the node listens.
        node: SocketAddr,
        /// Why not.
        source: prost::DecodeError,
    },
    /// A node sent no status of its rollouts.
    #[error("{node}: it shows nothing: nobody is there, or it has no part in changes of {subject}")]
    NoStatus {
        /// Where the node listens.
        node: SocketAddr,
        /// What the rollouts change: the program or settings.
        subject: &'static str,
    },
    /// A node sends its status no longer while a rollout is followed.
    #[error("{0}: it shows nothing any more; the change goes on without it")]
    StatusLost(SocketAddr),
    /// A node has no windows to draw.
    #[error("{node}: there is no record: no change was under way since its start")]
    NoRecord {
        /// The node's name.
        node: String,
    },
    /// The charts can't be drawn or written.
    #[error("{}: {source}", path.display())]
    Plot {
        /// Where they were to be written.
        path: PathBuf,
        /// Why not.
        source: Box<dyn StdError>,
    },
}
