//! Buckets: limits of each node, and quotas of the whole cluster.

use super::values::{duration, text};
use crate::diagnostics::Collector;
use crate::xml::Element;
use madderpoint::Nanos;
use madderpoint_rate_limits::{Bucket, Rate};
use madderpoint_shared_state::keyed_quota::{KeyedQuota, QuotaKind};
use std::str::FromStr;

/// How long a request holds a unit of a quota at most, where the file does not say.
const HOLD_DEFAULT: Nanos = 10_000_000_000;

/// A count in a period, such as `50/s` or `3/10s`.
fn count_in_period<T: FromStr>(text: &str) -> Option<(T, Nanos)> {
    let (count, period) = text.split_once('/')?;
    let period = if period.starts_with(|c: char| c.is_ascii_digit()) {
        duration(period)
    } else {
        duration(&format!("1{period}"))
    };
    Some((count.parse().ok()?, period?))
}

/// A bucket; `None` only if it has no name.
pub(super) fn bucket(element: &Element, collector: &mut Collector) -> Option<Bucket> {
    let name = text(element, "name");
    let number = |name: &str| element.get(name).and_then(|t| t.value.parse::<u32>().ok());
    let field = format!("bucket '{name}'");
    let burst = number("burst");
    let mut bucket = Bucket {
        max_in_flight: number("in-hand"),
        max_total_in_flight: number("total"),
        ..Bucket::named(name)
    };
    if let Some(written) = element.get("rate") {
        bucket.rate = count_in_period(&written.value)
            .and_then(|(count, period)| Rate::new(count, period, burst.unwrap_or(1)));
        if bucket.rate.is_none() {
            collector.report(
                written,
                &field,
                "this rate can't be kept",
                "intervals from 1 ns, and a day at most with its burst",
            );
        }
    } else if let Some(burst) = element.get("burst") {
        collector.report(burst, &field, "a burst without a rate", "a rate");
    }
    if bucket == Bucket::named(name) && element.get("rate").is_none() {
        let name = element.get("name")?;
        collector.report(
            name,
            &field,
            "nothing is limited",
            "a rate, in-hand or total",
        );
    }
    Some(bucket)
}

/// The most processes that share a bucket's quotas; none if it is a limit of each node, or if that
/// is missing.
fn nodes_most(element: &Element, field: &str, collector: &mut Collector) -> Option<u32> {
    if text(element, "scope") != "fleet" {
        for only in ["floor", "nodes-most", "longest"] {
            if let Some(written) = element.get(only) {
                collector.report(
                    written,
                    field,
                    format!("'{only}' of a limit that each node has"),
                    "scope=\"fleet\"",
                );
            }
        }
        return None;
    }
    if let Some(total) = element.get("total") {
        collector.report(
            total,
            field,
            "'total' of a limit of the whole fleet",
            "rate or in-hand",
        );
    }
    let nodes_most = element
        .get("nodes-most")
        .and_then(|text| text.value.parse().ok());
    if let (None, Some(scope)) = (nodes_most, element.get("scope")) {
        collector.report(
            scope,
            field,
            "'nodes-most' is missing",
            "how many processes run at once at most",
        );
    }
    nodes_most
}

/// Quotas of the whole cluster that a bucket defines: at most one for its rate and one for its
/// number in flight.
pub(super) fn cluster_quotas(element: &Element, collector: &mut Collector) -> Vec<KeyedQuota> {
    let name = text(element, "name");
    let field = format!("bucket '{name}'");
    let number = |name: &str| element.get(name).and_then(|t| t.value.parse::<u32>().ok());
    let Some(nodes_most) = nodes_most(element, &field, collector) else {
        return Vec::new();
    };
    let longest = element
        .get("longest")
        .map_or(Some(HOLD_DEFAULT), |text| duration(&text.value));
    let burst = number("burst").unwrap_or(1);
    let rate = element
        .get("rate")
        .and_then(|text| count_in_period(&text.value));
    let kinds = [
        rate.map(|(count, period)| QuotaKind::Rate {
            count,
            period,
            burst,
        }),
        number("in-hand")
            .zip(longest)
            .map(|(limit, longest)| QuotaKind::InFlight {
                limit,
                max_hold: longest,
            }),
    ];
    let floor = number("floor").unwrap_or(0);
    let quota = |kind| KeyedQuota {
        name: name.to_owned(),
        kind,
        floor,
        max_nodes: nodes_most,
    };
    let quotas: Vec<KeyedQuota> = kinds.into_iter().flatten().map(quota).collect();
    for quota in &quotas {
        if let (Err(error), Some(written)) = (quota.check(), element.get("name")) {
            collector.report(
                written,
                &field,
                error.to_string(),
                "more of it, fewer nodes or a lower floor",
            );
        }
    }
    quotas
}
