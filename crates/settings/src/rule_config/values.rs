//! Parses values of attributes: texts, sizes and durations.

use crate::xml::Element;
use madderpoint::Nanos;
use madderpoint_rules::time;

/// Returns the value of an attribute that the schema requires; empty if absent.
pub(super) fn text<'e>(element: &'e Element, name: &str) -> &'e str {
    element.get(name).map_or("", |t| t.value.as_str())
}

/// Parses a size such as `64KiB` and returns it in bytes.
pub(super) fn size(text: &str) -> Option<usize> {
    let units = [("KiB", 1 << 10), ("MiB", 1 << 20), ("B", 1)];
    units.iter().find_map(|(unit, factor)| {
        text.strip_suffix(unit)?
            .parse::<usize>()
            .ok()?
            .checked_mul(*factor)
    })
}

/// Parses a duration such as `250ms` and returns it in nanoseconds.
pub(super) fn duration(text: &str) -> Option<Nanos> {
    Nanos::try_from(time::span(text)?).ok()
}
