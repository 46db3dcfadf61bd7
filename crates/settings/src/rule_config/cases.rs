//! Reads the test cases of the rules.

use super::values::text;
use crate::diagnostics::Collector;
use crate::sample_request::SampleRequest;
use crate::test_case::TestCase;
use crate::xml::Element;

/// Reads a test case; `None` if the case is not valid, which is reported.
pub(super) fn test_case(
    element: &Element,
    rule_names: &[&str],
    collector: &mut Collector,
) -> Option<TestCase> {
    let name = text(element, "name").to_owned();
    let field = format!("case '{name}'");
    let (Some(request), Some(expect)) = (element.one("request"), element.one("expect")) else {
        return Some(TestCase::default());
    };
    let request = sample_request(request, &field, collector)?;
    let expected = |name: &str| expect.get(name).map(|text| text.value.clone());
    let rule = expected("rule").filter(|rule| rule != "none");
    if let (Some(name), Some(written)) = (&rule, expect.get("rule"))
        && !rule_names.contains(&name.as_str())
    {
        collector.report(
            written,
            &format!("{field} expect"),
            format!("unknown rule '{name}'"),
            "the name of a rule in this file, or none",
        );
        return None;
    }
    Some(TestCase {
        name,
        request,
        rule,
        operation: expected("operation"),
        class: expected("class"),
        key: expected("key"),
        rank: expected("rank"),
        verdict: expected("verdict"),
    })
}

fn sample_request(
    element: &Element,
    field: &str,
    collector: &mut Collector,
) -> Option<SampleRequest> {
    let mut request = SampleRequest::default();
    for attribute in &element.attributes {
        if let Err(error) = request.set(&attribute.name, &attribute.value.value) {
            let found = format!("{} cannot be {:?}", attribute.name, attribute.value.value);
            let field = format!("{field} request");
            collector.report(&attribute.value, &field, found, error.expected());
            return None;
        }
    }
    request.params = element
        .all("param")
        .map(|param| (text(param, "name").to_owned(), param.text.value.clone()))
        .collect();
    request.body = element
        .one("body")
        .map(|body| body.text.value.clone().into_bytes())
        .unwrap_or_default();
    Some(request)
}
