//! The settings of this program's own parts: one XML file, checked by the schema that the program
//! holds, then by its meaning. All that is wrong is reported at once, each with its line, column
//! and field. No I/O: the caller (the node's start, its reload, `check` and `rules`) hands in the
//! text.

#![forbid(unsafe_code)]

pub mod cluster;
pub mod diagnostics;
pub mod rollout;
pub mod rule_config;
pub mod sample_request;
pub mod scenario;
pub mod schema;
pub mod test_case;
pub mod xml;

pub use cluster::ClusterSettings;
pub use diagnostics::{Diagnostic, Diagnostics, Location};
pub use rollout::RolloutSettings;
pub use rule_config::{RuleConfig, ValidationContext};

use schema::Schema;
use xml::Element;

/// The schema, which lies beside the settings in `deploy/`.
pub const SCHEMA: &str = include_str!("../../../deploy/translator.xsd");
/// The version of the settings that is understood.
pub const VERSION: &str = "1";

/// All that a file sets.
#[derive(Debug)]
pub struct Settings {
    /// The rules, if it has any.
    pub rules: Option<RuleConfig>,
    /// The cluster, if nodes keep a view of it.
    pub cluster: Option<ClusterSettings>,
    /// How changes go out, if they go out in stages.
    pub rollout: Option<RolloutSettings>,
    /// The number that the file was given (0 if none), and a hash of its text.
    pub number: (u64, u64),
}

/// Reads and checks a file's text. `file` is its name, for the diagnostics.
///
/// # Errors
///
/// All diagnostics of the first stage that has any: size, XML, schema, version, rules, cluster,
/// rollout.
pub fn read(file: &str, text: &str, context: &ValidationContext) -> Result<Settings, Diagnostics> {
    let settings = check_size(text, context)
        .and_then(|()| parse(text))
        .and_then(|root| read_root(&root, text, context));
    settings.map_err(|all| Diagnostics::new(file, text, all))
}

fn check_size(text: &str, context: &ValidationContext) -> Result<(), Vec<Diagnostic>> {
    if text.len() <= context.file_bytes_max {
        return Ok(());
    }
    let found = format!("the file has {} KiB", text.len() >> 10);
    let expected = format!(
        "at most {} KiB, which follows from the memory limit",
        context.file_bytes_max >> 10
    );
    Err(vec![Diagnostic::new(Location::Whole, "", found, expected)])
}

/// The root element of a text that fits the schema and has the version that is understood.
fn parse(text: &str) -> Result<Element, Vec<Diagnostic>> {
    let root = xml::read(text).map_err(|diagnostic| vec![diagnostic])?;
    let schema = Schema::read(SCHEMA).map_err(|error| {
        vec![Diagnostic::new(
            Location::Whole,
            "translator.xsd",
            error.to_string(),
            "a schema",
        )]
    })?;
    let found = schema.check(&root);
    if !found.is_empty() {
        return Err(found);
    }
    if let Some(version) = root.get("version").filter(|v| v.value != VERSION) {
        return Err(vec![Diagnostic::new(
            Location::At(version.place(0)),
            "translator/@version",
            format!("version {}", version.value),
            VERSION,
        )]);
    }
    Ok(root)
}

fn read_root(
    root: &Element,
    text: &str,
    context: &ValidationContext,
) -> Result<Settings, Vec<Diagnostic>> {
    let rules = root
        .one("rules")
        .map(|element| RuleConfig::read(element, context))
        .transpose()?;
    let cluster = root.one("fleet").map(ClusterSettings::read).transpose()?;
    let has_voters = cluster
        .as_ref()
        .is_some_and(|fleet| !fleet.voters.is_empty());
    check_quotas(root, rules.as_ref(), has_voters)?;
    let number = root
        .get("number")
        .and_then(|number| number.value.parse().ok())
        .unwrap_or(0);
    let rollout = root.one("rollout").map(RolloutSettings::read).transpose()?;
    check_rollout(root, has_voters, number)?;
    Ok(Settings {
        rules,
        cluster,
        rollout,
        number: (number, cluster::fingerprint(text)),
    })
}

/// A limit of the whole cluster needs a cluster, and voters who decide on the lender.
fn check_quotas(
    root: &Element,
    rules: Option<&RuleConfig>,
    has_voters: bool,
) -> Result<(), Vec<Diagnostic>> {
    let first = rules.and_then(|rules| rules.cluster_quotas.first());
    match first {
        Some((_, quota)) if !has_voters => {
            let location = root
                .one("rules")
                .map_or(Location::Whole, |rules| Location::At(rules.at));
            Err(vec![Diagnostic::new(
                location,
                format!("bucket '{}'", quota.name),
                "a limit of the whole fleet, and no fleet with arbiters",
                "<fleet> with an odd number of <arbiter>, or scope=\"node\"",
            )])
        }
        _ => Ok(()),
    }
}

/// Voters agree on the stages of a rollout, and versions are distinguished by their numbers.
fn check_rollout(root: &Element, has_voters: bool, number: u64) -> Result<(), Vec<Diagnostic>> {
    let Some(element) = root.one("rollout") else {
        return Ok(());
    };
    let (found, expected) = if !has_voters {
        (
            "changes in stages, and no fleet with arbiters",
            "<fleet> with an odd number of <arbiter>",
        )
    } else if number == 0 {
        (
            "changes in stages of a file without a number",
            "translator/@number, higher with each change",
        )
    } else {
        return Ok(());
    };
    Err(vec![Diagnostic::new(
        Location::At(element.at),
        "rollout",
        found,
        expected,
    )])
}
