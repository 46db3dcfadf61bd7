//! Why a command could not be carried out.

use super::node_query::NodeQueryError;
use super::rollout::error::RolloutCommandError;
use crate::serve::StartError;
use crate::supervisor::SupervisorError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// How a command ended that was called rightly: true if well, false if the thing checked is bad.
pub type CommandResult = Result<bool, CommandError>;

/// Why a command could not be carried out.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The node did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The supervisor did not start.
    #[error(transparent)]
    Supervisor(#[from] SupervisorError),
    /// A file that the command was given can't be used.
    #[error("{}: {problem}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        problem: FileProblem,
    },
    /// An argument is not of the form `DOMAIN=FILE`.
    #[error("{0}: expected DOMAIN=FILE")]
    BundleArgument(String),
    /// An argument is no name of a trust domain.
    #[error("{domain}: {problem}")]
    TrustDomain {
        /// The argument.
        domain: String,
        /// What is wrong with it.
        problem: String,
    },
    /// An argument is no time by RFC 3339 after 1970.
    #[error("{0}: no time")]
    Time(String),
    /// A running node could not be queried.
    #[error(transparent)]
    NodeQuery(#[from] NodeQueryError),
    /// The status that a node sent can't be decoded.
    #[error("{node}: what it shows can't be read: {source}")]
    MalformedStatus {
        /// Where the node listens.
        node: SocketAddr,
        /// Why not.
        source: prost::DecodeError,
    },
    /// A node sent no status of its shared state.
    #[error("{0}: it shows nothing: nobody is there, or it shares nothing")]
    NoSharedState(SocketAddr),
    /// An argument is no duration.
    #[error("{0}: no time, such as 30s")]
    Duration(String),
    /// A number that describes the simulated cluster is out of bounds.
    #[error("members: 1 to 20000, loss: 0 to under 1, slow: 0 to 1")]
    SimulationBounds,
    /// `--without` names no feature.
    #[error("--without {0}: expected health, confirm, reconcile or regain")]
    UnknownFeature(String),
    /// A command about a rollout could not be carried out.
    #[error(transparent)]
    Rollout(#[from] RolloutCommandError),
    /// There is no histogram for what is measured.
    #[error("{0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// What is wrong with a file.
#[derive(Debug, Error)]
pub enum FileProblem {
    /// It can't be read.
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// It is not JSON.
    #[error("{0}")]
    NotJson(#[from] serde_json::Error),
    /// It is not there.
    #[error("no such file")]
    Missing,
    /// The deployment's settings in it are wrong.
    #[error("settings: {0}")]
    Deployment(madderpoint_deployment_config::DeploymentError),
    /// A request in it is no JSON object.
    #[error("not an object")]
    NotObject,
    /// The parameters of a request in it are no JSON object.
    #[error("params is not an object")]
    ParamsNotObject,
    /// A fact of a request in it has a value of another type.
    #[error("{name}: expected {expected}")]
    Fact {
        /// The fact.
        name: String,
        /// What its value may be.
        expected: String,
    },
    /// It has no rules.
    #[error("no <rules>")]
    NoRules,
    /// It has no test cases.
    #[error("no <case>: their requests are what is measured")]
    NoCases,
    /// It is no bundle of a trust domain.
    #[error("{0}")]
    Bundle(String),
    /// It has no certificates in PEM.
    #[error("no PEM: {0}")]
    NotPem(String),
}

impl CommandError {
    /// What is wrong with this file.
    pub fn file(path: &Path, problem: impl Into<FileProblem>) -> CommandError {
        CommandError::File {
            path: path.to_owned(),
            problem: problem.into(),
        }
    }
}
