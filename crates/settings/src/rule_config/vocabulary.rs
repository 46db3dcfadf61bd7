//! The names that expressions of a file may use: operations and tenants of the deployment, declared
//! parameters, named address sets and lists.

use super::ValidationContext;
use super::values::{size, text};
use crate::diagnostics::Collector;
use crate::xml::Element;
use crate::{Diagnostic, Location};
use madderpoint_rules::{AddressSet, Vocabulary, address};
use std::sync::Arc;

/// The most addresses of one set that are reported as wrong.
const BAD_ADDRESSES_MAX: usize = 10;

/// The vocabulary of a file's rules.
pub(super) fn vocabulary(
    element: &Element,
    context: &ValidationContext,
    collector: &mut Collector,
) -> Vocabulary {
    let mut vocabulary = Vocabulary {
        operations: context
            .operations
            .iter()
            .flatten()
            .map(|(name, _)| name.clone())
            .collect(),
        tenants: context.tenants.clone().unwrap_or_default(),
        ..Vocabulary::default()
    };
    parameters(element, &mut vocabulary, collector);
    for addresses in element.all("addresses") {
        let name = text(addresses, "name").to_owned();
        let set = address_set(addresses, &name, collector);
        vocabulary.sets.insert(name, Arc::new(set));
    }
    for strings in element.all("strings") {
        let items = strings
            .all("item")
            .map(|item| item.text.value.clone())
            .collect();
        vocabulary
            .lists
            .insert(text(strings, "name").to_owned(), items);
    }
    vocabulary
}

/// Declared lengths of parameters, in bytes.
fn parameters(element: &Element, vocabulary: &mut Vocabulary, collector: &mut Collector) {
    for parameter in element.all("parameter") {
        let Some(written) = parameter.get("most") else {
            continue;
        };
        match size(&written.value).filter(|most| *most <= madderpoint_rules::facts::PARAM_MAX) {
            Some(most) => {
                let name = text(parameter, "name").to_owned();
                vocabulary.params.insert(name, most);
            }
            None => collector.report(
                written,
                "parameter/@most",
                "more than any parameter has",
                "at most 4KiB",
            ),
        }
    }
}

fn address_set(element: &Element, name: &str, collector: &mut Collector) -> AddressSet {
    let (whole, mut bad) = (&element.text, 0);
    let mut networks = Vec::new();
    for word in whole.value.split_whitespace() {
        match address::network(word) {
            Some(network) => networks.push(network),
            None if bad < BAD_ADDRESSES_MAX => {
                bad += 1;
                let offset = word.as_ptr() as usize - whole.value.as_ptr() as usize;
                collector.diagnostics.push(Diagnostic::new(
                    Location::Span(whole.place(offset), word.len()),
                    format!("addresses '{name}'"),
                    format!("no network: {word}"),
                    "such as 10.0.0.0/8 or 2001:db8::1",
                ));
            }
            None => {}
        }
    }
    AddressSet::new(networks)
}
