//! Reads and compiles the element `<rules>`: vocabulary, buckets, rules and test cases.

mod buckets;
mod cases;
mod locations;
mod values;
mod vocabulary;

use crate::diagnostics::Collector;
use crate::test_case::TestCase;
use crate::xml::Element;
use crate::{Diagnostic, Location};
use locations::RuleLocations;
use madderpoint::Idempotency;
use madderpoint_rate_limits::{BUCKETS_MAX, Bucket};
use madderpoint_rules::{
    Bounds, ExpressionError, RuleError, RuleSet, RuleSource, Verdict, Vocabulary, cost,
};
use madderpoint_shared_state::keyed_quota::KeyedQuota;
use std::collections::{BTreeSet, HashMap};
use values::{duration, text};

/// Names and size limits that rules are validated against.
#[derive(Clone, Debug)]
pub struct ValidationContext {
    /// Operations of the deployment in the order of its configuration, each with its idempotency;
    /// `None` if any name is allowed.
    pub operations: Option<Vec<(String, Idempotency)>>,
    /// Tenants of the deployment; `None` if any name is allowed.
    pub tenants: Option<Vec<String>>,
    /// Maximum memory of all compiled rules, in bytes.
    pub rule_bytes_max: usize,
    /// Maximum size of the file, in bytes.
    pub file_bytes_max: usize,
}

impl ValidationContext {
    /// Returns a context that allows any operation and tenant, 64 MiB of rules and files of 16 MiB,
    /// as on a large machine. Used to check a file without the configuration of a deployment.
    pub fn permissive() -> ValidationContext {
        ValidationContext {
            operations: None,
            tenants: None,
            rule_bytes_max: 64 << 20,
            file_bytes_max: 16 << 20,
        }
    }
}

/// Compiled rules with their buckets, quotas, operations and test cases.
#[derive(Debug)]
pub struct RuleConfig {
    /// Rule set that is evaluated for each request.
    pub rules: RuleSet,
    /// Buckets, in the order of the rule set's bucket indices.
    pub buckets: Vec<Bucket>,
    /// Quotas of the whole cluster, each with the index of its bucket.
    pub cluster_quotas: Vec<(usize, KeyedQuota)>,
    /// Names of operations, in the order of the rule set's operation indices.
    pub operations: Vec<String>,
    /// Test cases of the rules, in the order of the file.
    pub cases: Vec<TestCase>,
}

impl RuleConfig {
    /// Reads an element that the schema has accepted.
    ///
    /// # Errors
    ///
    /// All diagnostics on the element, including those of the rule compiler.
    pub fn read(
        element: &Element,
        context: &ValidationContext,
    ) -> Result<RuleConfig, Vec<Diagnostic>> {
        let mut collector = Collector::new("");
        let rules: Vec<&Element> = element.all("rule").collect();
        check_duplicate_names(element, &rules, &mut collector);
        let mut vocabulary = vocabulary::vocabulary(element, context, &mut collector);
        let sources: Vec<RuleSource> = rules
            .iter()
            .map(|rule| rule_source(rule, &mut collector))
            .collect();
        if context.operations.is_none() {
            // Without a configuration, every operation that a rule gives is accepted.
            vocabulary.open = true;
            let named: BTreeSet<&String> = sources
                .iter()
                .filter_map(|rule| rule.operation.as_ref())
                .collect();
            vocabulary.operations = named.into_iter().cloned().collect();
        }
        let (buckets, cluster_quotas) = read_buckets(element, &mut collector);
        check_keys(&sources, &rules, context, &mut collector);
        let bounds = bounds(element, context, &mut collector);
        let loaded = compile(element, &sources, &vocabulary, &buckets, bounds);
        drop(sources);
        let loaded = loaded.map_err(|found| collector.diagnostics.extend(found));
        let rule_names: Vec<&str> = rules.iter().map(|rule| text(rule, "name")).collect();
        let cases: Vec<TestCase> = element
            .all("case")
            .filter_map(|case| cases::test_case(case, &rule_names, &mut collector))
            .collect();
        match loaded {
            Ok(rules) if collector.diagnostics.is_empty() => Ok(RuleConfig {
                rules,
                buckets,
                cluster_quotas,
                operations: vocabulary.operations,
                cases,
            }),
            _ => Err(collector.diagnostics),
        }
    }
}

/// Reports names that are not unique among rules, among cases, among buckets, or among address sets
/// and string lists.
fn check_duplicate_names(element: &Element, rules: &[&Element], collector: &mut Collector) {
    let all = |name| element.all(name).collect::<Vec<_>>();
    let lists: Vec<&Element> = element
        .all("addresses")
        .chain(element.all("strings"))
        .collect();
    for (elements, kind) in [
        (rules, "rule"),
        (&all("case"), "case"),
        (&all("bucket"), "bucket"),
        (&lists, "name"),
    ] {
        let mut seen = BTreeSet::new();
        for name in elements.iter().filter_map(|e| e.get("name")) {
            if !seen.insert(name.value.as_str()) {
                let found = format!("a second {kind} '{}'", name.value);
                collector.report(name, kind, found, "each name once");
            }
        }
    }
}

/// Returns the source of a rule, before compilation.
fn rule_source(element: &Element, collector: &mut Collector) -> RuleSource {
    let expression = |of: &Element, name: &str| of.one(name).map(|e| e.text.value.clone());
    let mut rule = RuleSource {
        name: text(element, "name").to_owned(),
        when: expression(element, "when").unwrap_or_default(),
        ..RuleSource::default()
    };
    if let Some(give) = element.one("give") {
        rule.operation = give.get("operation").map(|t| t.value.clone());
        rule.class = give.get("class").map(|t| t.value.clone());
        (rule.key, rule.rank) = (expression(give, "key"), expression(give, "rank"));
        rule.facts = give
            .all("fact")
            .map(|f| (text(f, "name").to_owned(), f.text.value.clone()))
            .collect();
        rule.buckets = give
            .all("limit")
            .map(|l| (text(l, "bucket").to_owned(), l.text.value.clone()))
            .collect();
    }
    if let Some(throttle) = element.one("throttle") {
        let pause = throttle.get("pause").map(|t| (duration(&t.value), t));
        if let Some((None, written)) = pause {
            let found = format!("{:?} is not a duration", written.value);
            collector.report(written, "throttle/@pause", found, "such as 250ms");
        }
        let pause = pause.and_then(|(pause, _)| pause).unwrap_or(0);
        rule.verdict = Some(Verdict::Throttle {
            pause,
            reason: text(throttle, "reason").to_owned(),
        });
    }
    if let Some(error) = element.one("error") {
        let status = text(error, "status").parse().unwrap_or(500);
        rule.verdict = Some(Verdict::Error {
            status,
            reason: text(error, "reason").to_owned(),
        });
    }
    rule
}

/// Reads the buckets, and the quotas of the cluster with the indices of their buckets.
fn read_buckets(
    element: &Element,
    collector: &mut Collector,
) -> (Vec<Bucket>, Vec<(usize, KeyedQuota)>) {
    let elements: Vec<&Element> = element.all("bucket").collect();
    if elements.len() > BUCKETS_MAX {
        let name = elements[BUCKETS_MAX]
            .get("name")
            .cloned()
            .unwrap_or_default();
        collector.report(
            &name,
            "bucket",
            format!("{} buckets", elements.len()),
            format!("at most {BUCKETS_MAX}"),
        );
    }
    let mut quotas: Vec<(usize, KeyedQuota)> = Vec::new();
    for (index, element) in elements.iter().enumerate() {
        for quota in buckets::cluster_quotas(element, collector) {
            if let Some((_, other)) = quotas.iter().find(|(_, other)| other.id() == quota.id())
                && let Some(written) = element.get("name")
            {
                collector.report(
                    written,
                    &format!("bucket '{}'", quota.name),
                    format!("has the same id as bucket '{}'", other.name),
                    "another name",
                );
            }
            quotas.push((index, quota));
        }
    }
    let mut buckets: Vec<Bucket> = elements
        .iter()
        .filter_map(|element| buckets::bucket(element, collector))
        .collect();
    // A bucket that is limited by quotas of the cluster has no limits of the node.
    for (index, _) in &quotas {
        if let Some(bucket) = buckets.get_mut(*index) {
            *bucket = Bucket::named(&bucket.name);
        }
    }
    (buckets, quotas)
}

/// Reports keys of rules that give a non-idempotent operation, for which an idempotency key has no
/// use.
fn check_keys(
    sources: &[RuleSource],
    rules: &[&Element],
    context: &ValidationContext,
    collector: &mut Collector,
) {
    let idempotencies: HashMap<&str, Idempotency> = context
        .operations
        .iter()
        .flatten()
        .map(|(name, idempotency)| (name.as_str(), *idempotency))
        .collect();
    for (rule, element) in sources.iter().zip(rules) {
        let idempotency = rule
            .operation
            .as_ref()
            .and_then(|name| idempotencies.get(name.as_str()));
        if rule.key.is_some()
            && idempotency == Some(&Idempotency::NonIdempotent)
            && let Some(key) = element.one("give").and_then(|give| give.one("key"))
        {
            let field = format!("rule '{}' give/key", rule.name);
            let found = "a key for an operation that is neither idempotent nor keyed";
            collector.report(&key.text, &field, found, "no key, or another operation");
        }
    }
}

/// Reads the bounds on the cost and memory of the rules.
fn bounds(element: &Element, context: &ValidationContext, collector: &mut Collector) -> Bounds {
    let mut bounds = Bounds {
        bytes: context.rule_bytes_max,
        ..Bounds::default()
    };
    if let Some(written) = element.get("cost") {
        bounds.cost = written.value.parse().unwrap_or(0);
        if bounds.cost > cost::LIMIT_MAX {
            collector.report(
                written,
                "rules/@cost",
                format!("{:?} is out of range", written.value),
                format!("at most {}", cost::LIMIT_MAX),
            );
            bounds.cost = cost::LIMIT_MAX;
        }
    }
    bounds
}

fn compile(
    element: &Element,
    sources: &[RuleSource],
    vocabulary: &Vocabulary,
    buckets: &[Bucket],
    bounds: Bounds,
) -> Result<RuleSet, Vec<Diagnostic>> {
    let rules: Vec<&Element> = element.all("rule").collect();
    let bucket_names: Vec<String> = buckets.iter().map(|bucket| bucket.name.clone()).collect();
    let diagnostic = |problem: &RuleError| match problem.rule {
        Some(rule) => {
            let locations = RuleLocations {
                name: text(rules[rule], "name").to_owned(),
                element: rules[rule],
            };
            locations.diagnostic(problem)
        }
        None => {
            let ExpressionError { what, expected, .. } = problem.error.clone();
            Diagnostic::new(Location::At(element.at), "rules", what, expected)
        }
    };
    RuleSet::load(sources, vocabulary, &bucket_names, bounds)
        .map_err(|problems| problems.iter().map(diagnostic).collect())
}
