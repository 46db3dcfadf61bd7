//! The node that a `rollout` command queries, and requests for its status.

use super::error::RolloutCommandError;
use crate::cli::error::CommandError;
use crate::cli::node_query::NodeQuery;
use clap::Args;
use madderpoint_node::io::{PROGRAM_ROLLOUT_TOPIC, SETTINGS_ROLLOUT_TOPIC};
use madderpoint_rollout::status::StatusSnapshot;
use prost::Message;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Number of times each page of a node's status is requested before the query fails.
const STATUS_TRIES: u32 = 25;

/// The node that a command queries, and whether the command concerns settings or the program.
#[derive(Args, Clone)]
pub struct RolloutTarget {
    /// Settings file with the fleet's name and keys.
    #[arg(long, value_name = "FILE")]
    pub(super) settings: PathBuf,
    /// UDP address on which a node receives the fleet's datagrams; any node of the fleet.
    #[arg(long = "at", value_name = "ADDRESS")]
    pub(super) node: SocketAddr,
    /// Apply the command to rollouts of the program instead of the settings.
    #[arg(long)]
    pub(super) program: bool,
}

impl RolloutTarget {
    /// Returns the datagram topic of the rollouts that the command concerns.
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

/// Requests the status of the node and the status of the coordinator, which has the verdict. The
/// second is `None` if the node is itself the coordinator or the coordinator cannot be reached.
pub(super) fn request_with_coordinator(
    target: &RolloutTarget,
) -> Result<(StatusSnapshot, Option<StatusSnapshot>), CommandError> {
    let snapshot = request_status(target)?;
    let coordinator = match snapshot.coordinator_address.parse() {
        Ok(address) if snapshot.coordinator != snapshot.node => request_status(&RolloutTarget {
            node: address,
            ..target.clone()
        })
        .ok(),
        _ => None,
    };
    Ok((snapshot, coordinator))
}
