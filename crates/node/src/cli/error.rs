//! Why a command could not be carried out.

use crate::serve::StartError;
use crate::supervisor::SupervisorError;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

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
    /// Any other.
    #[error("{0}")]
    Other(String),
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

impl From<String> for CommandError {
    fn from(text: String) -> CommandError {
        CommandError::Other(text)
    }
}
