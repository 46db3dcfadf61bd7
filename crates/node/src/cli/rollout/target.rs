//! The node that a command is about, and its status.

use super::error::RolloutCommandError;
use crate::cli::error::CommandError;
use crate::cli::node_query::NodeQuery;
use clap::Args;
use madderpoint_node::io::{PROGRAM_ROLLOUT_TOPIC, SETTINGS_ROLLOUT_TOPIC};
use madderpoint_rollout::status::StatusSnapshot;
use prost::Message;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How often each page of a node's status is requested before the node is given up.
const STATUS_TRIES: u32 = 25;

/// Which node a command queries, and whether about settings or the program.
#[derive(Args, Clone)]
pub struct RolloutTarget {
    /// The settings with the fleet's name and keys.
    #[arg(long, value_name = "FILE")]
    pub(super) settings: PathBuf,
    /// Where the node's part in the fleet listens; any node will do.
    #[arg(long = "at", value_name = "ADDRESS")]
    pub(super) node: SocketAddr,
    /// About the program, not the settings.
    #[arg(long)]
    pub(super) program: bool,
}

impl RolloutTarget {
    /// The topic of its rollouts.
    pub(super) fn topic(&self) -> u32 {
        if self.program {
            PROGRAM_ROLLOUT_TOPIC
        } else {
            SETTINGS_ROLLOUT_TOPIC
        }
    }
}

/// Requests the status of the node's rollouts.
pub(super) fn request_status(target: &RolloutTarget) -> Result<StatusSnapshot, CommandError> {
    let node = target.node;
    let bytes = NodeQuery::for_topic(&target.settings, node, target.topic())?
        .request_status_pages(STATUS_TRIES)?
        .ok_or_else(|| {
            let subject = if target.program {
                "the program"
            } else {
                "settings"
            };
            RolloutCommandError::NoStatus { node, subject }
        })?;
    StatusSnapshot::decode(bytes.as_slice())
        .map_err(|source| CommandError::MalformedStatus { node, source })
}

/// Requests the status of the node and that of the coordinator, which has the verdict; none of the
/// latter if it is the node itself or can't be reached.
pub(super) fn request_with_coordinator(
    target: &RolloutTarget,
) -> Result<(StatusSnapshot, Option<StatusSnapshot>), CommandError> {
    let shown = request_status(target)?;
    let coordinator = match shown.coordinator_address.parse() {
        Ok(there) if shown.coordinator != shown.node => request_status(&RolloutTarget {
            node: there,
            ..target.clone()
        })
        .ok(),
        _ => None,
    };
    Ok((shown, coordinator))
}
