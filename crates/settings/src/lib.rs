//! The settings of a node: one XML file, validated against a schema that is embedded in the
//! program, then by the meaning of its values. All faults of one stage are reported together, each
//! with its line, column and field. The crate does no I/O: the caller (start and reload of a node,
//! the commands `check` and `rules`) passes the text.

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

/// Schema of settings files, in the same directory as the example settings in `deploy/`.
pub const SCHEMA: &str = include_str!("../../../deploy/translator.xsd");
/// Version of the settings format that this crate reads.
pub const VERSION: &str = "1";

/// The content of a settings file.
#[derive(Debug)]
pub struct Settings {
    /// Rules, if the file has the element `<rules>`.
    pub rules: Option<RuleConfig>,
    /// Settings of the cluster, if the file has the element `<fleet>`.
    pub cluster: Option<ClusterSettings>,
    /// Settings of rollouts in stages, if the file has the element `<rollout>`.
    pub rollout: Option<RolloutSettings>,
    /// Version number that the file gives its settings (0 if absent), and a hash of the file's
    /// text.
    pub number: (u64, u64),
}

/// Reads and validates the text of a file. `file` is the name that diagnostics show.
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

/// Returns the root element of a text that the schema accepts and whose version is [`VERSION`].
fn parse(text: &str) -> Result<Element, Vec<Diagnostic>> {
    let root = xml::read(text).map_err(|diagnostic| vec![diagnostic])?;
    let schema = Schema::read(SCHEMA).map_err(|error| {
        vec![Diagnostic::new(
            Location::Whole,
            "translator.xsd",
            error.to_string(),
            "a valid schema",
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

/// Checks that a file with quotas of the whole cluster also has the element `<fleet>` with voters,
/// which elect the lender of the quotas.
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
                "a limit of the whole fleet without a fleet that has arbiters",
                "<fleet> with an odd number of <arbiter>, or scope=\"node\"",
            )])
        }
        _ => Ok(()),
    }
}

/// Checks that a file with the element `<rollout>` also names voters, which agree on the stages of
/// a rollout, and has a number, which distinguishes the versions of the settings.
fn check_rollout(root: &Element, has_voters: bool, number: u64) -> Result<(), Vec<Diagnostic>> {
    let Some(element) = root.one("rollout") else {
        return Ok(());
    };
    let (found, expected) = if !has_voters {
        (
            "a rollout in stages without a fleet that has arbiters",
            "<fleet> with an odd number of <arbiter>",
        )
    } else if number == 0 {
        (
            "a rollout in stages of a file without a number",
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
