//! Arguments that several commands have, and the files that they name.

use super::error::{CommandError, FileProblem};
use crate::serve;
use clap::{Args, ValueEnum};
use madderpoint_deployment_config::DeploymentConfig;
use madderpoint_settings::{RuleConfig, Settings, ValidationContext};
use serde_json::Value;
use std::path::{Path, PathBuf};

/// How results are shown.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub enum Format {
    Text,
    Json,
}

/// A settings file, and what it is checked against.
#[derive(Args)]
pub struct SettingsFile {
    /// The file.
    #[arg(value_name = "FILE")]
    pub path: PathBuf,
    /// A node's configuration, whose operations and tenants are the ones that are known. Without
    /// one any name goes.
    #[arg(long, value_name = "CONFIG")]
    config: Option<PathBuf>,
}

impl SettingsFile {
    /// Reads and checks the file. `None` if it has errors: they have been shown.
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

    /// The rules of the file. `None` if it has errors: they have been shown.
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

/// The deployment's settings in a node's configuration; all else in that file is ignored.
fn read_deployment(path: &Path) -> Result<DeploymentConfig, CommandError> {
    let whole = read_json(path)?;
    let settings = whole.get("settings").unwrap_or(&whole);
    madderpoint_deployment_config::decode(settings.to_string().as_bytes())
        .map_err(|e| CommandError::file(path, FileProblem::Deployment(e)))
}

/// Reads a file of JSON.
pub fn read_json(path: &Path) -> Result<Value, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|e| CommandError::file(path, e))?;
    serde_json::from_str(&text).map_err(|e| CommandError::file(path, e))
}
