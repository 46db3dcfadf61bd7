//! Reads the names that expressions of a file may use: operations and tenants of the deployment,
//! declared parameters, named address sets and string lists.

use super::ValidationContext;
use super::values::{size, text};
use crate::diagnostics::Collector;
use crate::xml::Element;
use crate::{Diagnostic, Location};
use madderpoint_rules::{AddressSet, Vocabulary, address};
use std::sync::Arc;

/// Maximum number of invalid addresses that are reported for one set.
const REPORTED_ADDRESSES_MAX: usize = 10;

/// Returns the vocabulary of the rules of a file.
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

/// Reads the declared maximum lengths of parameters, in bytes.
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
                format!("{:?} is out of range", written.value),
                "at most 4KiB",
            ),
        }
    }
}

fn address_set(element: &Element, name: &str, collector: &mut Collector) -> AddressSet {
    let (text, mut reported) = (&element.text, 0);
    let mut networks = Vec::new();
    for address_text in text.value.split_whitespace() {
        match address::network(address_text) {
            Some(network) => networks.push(network),
            None if reported < REPORTED_ADDRESSES_MAX => {
                reported += 1;
                let offset = address_text.as_ptr() as usize - text.value.as_ptr() as usize;
                collector.diagnostics.push(Diagnostic::new(
                    Location::Span(text.place(offset), address_text.len()),
                    format!("addresses '{name}'"),
                    format!("not an address or a network: {address_text}"),
                    "such as 10.0.0.0/8 or 2001:db8::1",
                ));
            }
            None => {}
        }
    }
    AddressSet::new(networks)
}
