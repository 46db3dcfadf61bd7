//! Reads buckets: limits of each node, and quotas of the whole cluster.

use super::values::{duration, text};
use crate::diagnostics::Collector;
use crate::xml::Element;
use madderpoint::Nanos;
use madderpoint_rate_limits::{Bucket, Rate};
use madderpoint_shared_state::keyed_quota::{KeyedQuota, QuotaKind};
use std::str::FromStr;

/// Default of the maximum time for which a request holds a unit of a quota, in nanoseconds.
const HOLD_DEFAULT: Nanos = 10_000_000_000;

/// Parses a count in a period, such as `50/s` or `3/10s`.
fn count_in_period<T: FromStr>(text: &str) -> Option<(T, Nanos)> {
    let (count, period) = text.split_once('/')?;
    let period = if period.starts_with(|c: char| c.is_ascii_digit()) {
        duration(period)
    } else {
        duration(&format!("1{period}"))
    };
    Some((count.parse().ok()?, period?))
}

/// Reads a bucket; `None` only if the element has no name.
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
                format!(
                    "rate {:?} with a burst of {} is out of range",
                    written.value,
                    burst.unwrap_or(1)
                ),
                "an interval from 1 ns to a day, and at most a day for the burst",
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
            "the bucket has no limit",
            "a rate, in-hand or total",
        );
    }
    Some(bucket)
}

/// Reads the maximum number of processes that share the quotas of a bucket; `None` if the bucket is
/// a limit of each node, or if the attribute is missing, which is reported.
fn nodes_most(element: &Element, field: &str, collector: &mut Collector) -> Option<u32> {
    if text(element, "scope") != "fleet" {
        for only in ["floor", "nodes-most", "longest"] {
            if let Some(written) = element.get(only) {
                collector.report(
                    written,
                    field,
                    format!("'{only}' on a limit that applies to each node"),
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
            "'total' on a limit of the whole fleet",
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
            "the maximum number of processes at once",
        );
    }
    nodes_most
}

/// Reads the quotas of the whole cluster that a bucket defines: at most one for its rate and one
/// for its number of requests in flight.
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
                "a higher limit, a smaller nodes-most or a smaller floor",
            );
        }
    }
    quotas
}
