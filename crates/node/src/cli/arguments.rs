//! Arguments shared by several commands, and reading of the files that they name.

use super::error::{CommandError, FileProblem};
use crate::serve;
use clap::{Args, ValueEnum};
use madderpoint_deployment_config::DeploymentConfig;
use madderpoint_settings::{RuleConfig, Settings, ValidationContext};
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Output format of a command.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub enum Format {
    Text,
    Json,
}

/// A settings file, and the node configuration that it is checked against.
#[derive(Args)]
pub struct SettingsFile {
    /// Settings file.
    #[arg(value_name = "FILE")]
    pub path: PathBuf,
    /// Node configuration that defines the known operations and tenants. Without it, any operation
    /// or tenant name is accepted.
    #[arg(long, value_name = "CONFIG")]
    config: Option<PathBuf>,
}

impl SettingsFile {
    /// Reads and checks the file. Returns `None` if the file has errors, after printing them to
    /// standard error.
    pub fn read(&self) -> Result<Option<Settings>, CommandError> {
        let known = match &self.config {
            Some(config) => serve::validation_context(&read_deployment(config)?),
            None => ValidationContext::permissive(),
        };
        if !self.path.is_file() {
            return Err(CommandError::file(&self.path, FileProblem::Missing));
        }
        match serve::read(&self.path, &known) {
            Ok(translator) => Ok(Some(translator)),
            Err(diagnostics) => {
                eprint!("{diagnostics}");
                Ok(None)
            }
        }
    }

    /// Reads and checks the file and returns its rules. Returns `None` if the file has errors,
    /// after printing them to standard error.
    pub fn read_rules(&self) -> Result<Option<RuleConfig>, CommandError> {
        let Some(translator) = self.read()? else {
            return Ok(None);
        };
        match translator.rules {
            Some(rules) => Ok(Some(rules)),
            None => Err(CommandError::file(&self.path, FileProblem::NoRules)),
        }
    }
}

/// Reads the deployment's settings from a node configuration file: its member `settings`, or the
/// whole file if it has none. Other members are ignored.
fn read_deployment(path: &Path) -> Result<DeploymentConfig, CommandError> {
    let whole = read_json(path)?;
    let settings = whole.get("settings").unwrap_or(&whole);
    madderpoint_deployment_config::decode(settings.to_string().as_bytes())
        .map_err(|e| CommandError::file(path, FileProblem::Deployment(e)))
}

/// Reads and parses a JSON file.
pub fn read_json(path: &Path) -> Result<Value, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|e| CommandError::file(path, e))?;
    serde_json::from_str(&text).map_err(|e| CommandError::file(path, e))
}
