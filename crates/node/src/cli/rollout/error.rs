//! Errors of the `rollout` commands.

use madderpoint_node::program_version::ProgramVersionError;
use madderpoint_rollout::chunks::MAX_CONTENT_BYTES;
use std::error::Error as StdError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Errors that keep a `rollout` command from being carried out.
#[derive(Debug, Error)]
pub enum RolloutCommandError {
    /// The directory does not contain a valid version of the program.
    #[error(transparent)]
    ProgramVersion(#[from] ProgramVersionError),
    /// The settings file is too large.
    #[error("{}: file too large: {size} bytes, at most {MAX_CONTENT_BYTES} are allowed", path.display())]
    TooLarge {
        /// Path of the file.
        path: PathBuf,
        /// Size of the file in bytes.
        size: usize,
    },
    /// An argument is not the identifier of a rollout.
    #[error("{0}: expected a rollout identifier of up to 16 hexadecimal digits")]
    RolloutId(String),
    /// The reply to an operator command cannot be decoded.
    #[error("{node}: cannot decode the node's reply: {source}")]
    MalformedReply {
        /// Address of the node.
        node: SocketAddr,
        /// Decoding error.
        source: prost::DecodeError,
    },
    /// A node did not send a status of its rollouts.
    #[error(
        "{node}: no rollout status: the node is down, or takes no part in rollouts of {subject}"
    )]
    NoStatus {
        /// Address of the node.
        node: SocketAddr,
        /// Subject of the rollouts: `the program` or `settings`.
        subject: &'static str,
    },
    /// A node stopped sending its status while `start --wait` polled it.
    #[error("{0}: the node no longer sends its status; the rollout continues without it")]
    StatusLost(SocketAddr),
    /// A node has no recorded windows to draw.
    #[error("{node}: no record: no rollout was in progress since the node started")]
    NoRecord {
        /// Name of the node.
        node: String,
    },
    /// The charts cannot be drawn or written.
    #[error("{}: cannot draw or write the charts: {source}", path.display())]
    Plot {
        /// Path of the SVG file.
        path: PathBuf,
        /// Error of the chart library.
        source: Box<dyn StdError>,
    },
}
