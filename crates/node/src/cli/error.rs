//! Errors of commands.

use super::node_query::NodeQueryError;
use super::rollout::error::RolloutCommandError;
use crate::serve::StartError;
use crate::supervisor::SupervisorError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Result of a command: `Ok(true)` on success, `Ok(false)` if the command ran but the checked
/// object is invalid or the requested change was rejected.
pub type CommandResult = Result<bool, CommandError>;

/// Errors that keep a command from being carried out.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The node did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The supervisor did not start.
    #[error(transparent)]
    Supervisor(#[from] SupervisorError),
    /// A file named on the command line cannot be used.
    #[error("{}: {problem}", path.display())]
    File {
        /// Path of the file, as given on the command line.
        path: PathBuf,
        /// Reason why the file cannot be used; printed after the path.
        problem: FileProblem,
    },
    /// An argument is not of the form `DOMAIN=FILE`.
    #[error("{0}: expected DOMAIN=FILE")]
    BundleArgument(String),
    /// The domain of a `DOMAIN=FILE` argument is not a valid trust domain name.
    #[error("{domain}: {problem}")]
    TrustDomain {
        /// Part of the argument before `=`, as given.
        domain: String,
        /// Reason why the name is invalid.
        problem: String,
    },
    /// An argument is not an RFC 3339 timestamp of 1970 or later.
    #[error("{0}: expected an RFC 3339 timestamp of 1970 or later")]
    Time(String),
    /// A running node could not be queried.
    #[error(transparent)]
    NodeQuery(#[from] NodeQueryError),
    /// The status that a node sent cannot be decoded.
    #[error("{node}: cannot decode the node's status: {source}")]
    MalformedStatus {
        /// Address of the node.
        node: SocketAddr,
        /// Decoding error.
        source: prost::DecodeError,
    },
    /// A node did not send a status of its shared state.
    #[error("{0}: no status of shared state: the node is down, or it shares nothing")]
    NoSharedState(SocketAddr),
    /// An argument is not a duration.
    #[error("{0}: expected a duration, such as 30s")]
    Duration(String),
    /// A number that describes the simulated cluster is out of bounds.
    #[error("members: 1 to 20000, loss: 0 to under 1, slow: 0 to 1")]
    SimulationBounds,
    /// `--without` names an unknown feature.
    #[error("--without {0}: expected health, confirm, reconcile or regain")]
    UnknownFeature(String),
    /// A command about a rollout could not be carried out.
    #[error(transparent)]
    Rollout(#[from] RolloutCommandError),
    /// The histogram for the measured times could not be created.
    #[error("cannot create the histogram of evaluation times: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// Reasons why a file named on the command line cannot be used.
#[derive(Debug, Error)]
pub enum FileProblem {
    /// The file cannot be read.
    #[error("cannot read the file: {0}")]
    Unreadable(#[from] io::Error),
    /// The file is not valid JSON.
    #[error("not valid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The file does not exist.
    #[error("no such file")]
    Missing,
    /// The deployment's settings in the file are invalid.
    #[error("settings: {0}")]
    Deployment(madderpoint_deployment_config::DeploymentError),
    /// The sample request is not a JSON object.
    #[error("not an object")]
    NotObject,
    /// The `params` of the sample request are not a JSON object.
    #[error("params is not an object")]
    ParamsNotObject,
    /// A fact of the sample request has a value of the wrong type.
    #[error("{name}: expected {expected}")]
    Fact {
        /// Name of the fact.
        name: String,
        /// Description of the permitted values.
        expected: String,
    },
    /// The settings file has no rules.
    #[error("no <rules>")]
    NoRules,
    /// The settings file has no test cases.
    #[error("no <case>: the benchmark uses the requests of test cases")]
    NoCases,
    /// The file is not a valid trust bundle.
    #[error("{0}")]
    Bundle(String),
    /// The file does not contain certificates in PEM format.
    #[error("not valid PEM: {0}")]
    NotPem(String),
}

impl CommandError {
    /// Creates the error for a file that cannot be used.
    pub fn file(path: &Path, problem: impl Into<FileProblem>) -> CommandError {
        CommandError::File {
            path: path.to_owned(),
            problem: problem.into(),
        }
    }
}
