//! `madderpoint check`.

use super::arguments::{Format, SettingsFile};
use super::error::CommandResult;
use madderpoint_rules::RuleSet;
use serde_json::json;

/// Checks a settings file and prints a summary of its contents, or all errors in it.
pub fn check(file: &SettingsFile, format: Format) -> CommandResult {
    let Some(translator) = file.read()? else {
        if format == Format::Json {
            println!(
                "{}",
                json!({"file": file.path.display().to_string(), "good": false})
            );
        }
        return Ok(false);
    };
    let rules = translator.rules.as_ref();
    let (count, buckets, cases) = rules.map_or((0, 0, 0), |config| {
        (
            config.rules.rules().len(),
            config.buckets.len(),
            config.cases.len(),
        )
    });
    let (bytes, request_units, rule_units) = rules.map_or((0, 0, 0), |config| {
        (
            config.rules.bytes(),
            config.rules.max_cost(),
            highest_cost(&config.rules),
        )
    });
    match format {
        Format::Text => println!(
            "{}: good; {count} rules, {buckets} buckets, {cases} cases; {} KiB; \
             dearest rule {rule_units} units, a request at most {request_units}",
            file.path.display(),
            bytes >> 10
        ),
        Format::Json => println!(
            "{}",
            json!({"file": file.path.display().to_string(), "good": true, "rules": count, "buckets": buckets,
                "cases": cases, "bytes": bytes, "dearest_rule_units": rule_units, "request_units": request_units})
        ),
    }
    Ok(true)
}

/// Returns the cost of the most expensive rule, in units.
fn highest_cost(rules: &RuleSet) -> u64 {
    rules
        .rules()
        .iter()
        .map(|rule| rule.max_cost())
        .max()
        .unwrap_or(0)
}
