//! Tests of settings files: errors are reported with their location, the schema and the reader
//! agree on all names, and no damaged file causes a panic.

use madderpoint::Idempotency;
use madderpoint_settings::schema::Schema;
use madderpoint_settings::{Diagnostics, SCHEMA, ValidationContext, read, xml};
use madderpoint_shared_state::keyed_quota::QuotaKind;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const EXAMPLE: &str = include_str!("../../../deploy/translator.xml");

fn context() -> ValidationContext {
    let operations = [
        ("read", Idempotency::Idempotent),
        ("book", Idempotency::Keyed),
        ("pay", Idempotency::NonIdempotent),
    ];
    ValidationContext {
        operations: Some(operations.map(|(n, e)| (n.to_owned(), e)).to_vec()),
        tenants: Some(vec!["acme".into()]),
        ..ValidationContext::permissive()
    }
}

fn diagnostics_of(text: &str) -> Diagnostics {
    read("t.xml", text, &context()).map(|_| ()).unwrap_err()
}

fn rules(inner: &str) -> String {
    format!("<translator version=\"1\"><rules>{inner}</rules></translator>")
}

#[test]
fn locations_are_correct_after_entities_cdata_and_wide_characters() {
    // Entities, references, CDATA, a tab and two-byte characters precede the location.
    let text = "<translator version='1'>\n<rules>\n\t<rule name=\"a\"><when>true &amp;&amp; \"ş&#x15f;\" == <![CDATA[\"<\" && ]]>foo</when></rule>\n</rules></translator>";
    let diagnostics = diagnostics_of(text);
    assert_eq!(diagnostics.all.len(), 1);
    let shown = diagnostics.to_string();
    let line = text.lines().nth(2).unwrap();
    let column = line[..line.find("foo").unwrap()].chars().count() + 1;
    assert!(
        shown.starts_with(&format!(
            "t.xml:3:{column}: rule 'a' when: unknown name 'foo'"
        )),
        "{shown}"
    );
    let lines: Vec<_> = shown.lines().collect();
    let column = lines[2].chars().position(|c| c == '^').unwrap();
    assert_eq!(
        lines[1].chars().skip(column).take(3).collect::<String>(),
        "foo"
    );
    assert!(lines[2].ends_with("^~~"), "{shown}");
}

#[test]
fn each_kind_of_error_is_reported_with_its_location_and_field() {
    let cases = [
        ("<translator", "not well-formed XML"),
        ("", "no root element; expected <translator>"),
        ("<a/>", "unknown element <a>; expected <translator>"),
        ("<translator/>", "attribute 'version' is missing"),
        ("<translator version=\"2\"/>", "version 2; expected 1"),
        (
            "<translator version=\"1\"/><translator/>",
            "a second root element",
        ),
        (
            "<translator version=\"1\">x</translator>",
            "text is not allowed in this element",
        ),
        (
            "<translator version=\"1\"><pool/></translator>",
            "unknown element <pool>",
        ),
        (
            "<!DOCTYPE a [<!ENTITY b \"c\">]><translator version=\"1\"/>",
            "a document type",
        ),
        (
            &rules("<rule name=\"a\"><when>&huge;</when></rule>"),
            "unknown entity '&huge;'",
        ),
        (&rules("<rule name=\"a\"/>"), "<when> is missing"),
        (
            &rules("<rule><when>true</when></rule>"),
            "attribute 'name' is missing",
        ),
        (
            &rules("<rule name=\"1\"><when>true</when></rule>"),
            "\"1\" is not valid",
        ),
        (
            &rules("<rule name=\"a\"><when>true</when><when>true</when></rule>"),
            "<when> is out of order or occurs too often",
        ),
        (
            &rules("<rule name=\"a\"><when>true</when></rule><bucket name=\"b\" in-hand=\"1\"/>"),
            "<bucket> is out of order",
        ),
        (
            &rules(
                "<rule name=\"a\"><when>true</when></rule><rule name=\"a\"><when>true</when></rule>",
            ),
            "a second rule 'a'",
        ),
        (
            &rules("<rule name=\"a\"><when>true</when><error status=\"429\" reason=\"x\"/></rule>"),
            "\"429\" is not valid",
        ),
        (
            &rules("<rule name=\"a\"><when>true</when><throttle pause=\"5\" reason=\"x\"/></rule>"),
            "\"5\" is not valid",
        ),
        (
            &rules(
                "<rule name=\"a\"><when>true</when><give operation=\"pay\"><key>tenant</key></give></rule>",
            ),
            "neither idempotent nor keyed",
        ),
        (
            &rules("<rule name=\"a\"><when>true</when><give operation=\"sing\"/></rule>"),
            "the settings have no operation 'sing'",
        ),
        (
            &rules(
                "<rule name=\"a\"><when>true</when><give><limit bucket=\"b\">tenant</limit></give></rule>",
            ),
            "there is no bucket 'b'",
        ),
        (
            &rules("<rule name=\"a\"><when>tenant == \"none\"</when></rule>"),
            "the settings have no tenant 'none'; expected one of acme",
        ),
        (&rules("<bucket name=\"b\"/>"), "the bucket has no limit"),
        (
            &rules("<bucket name=\"b\" burst=\"3\" in-hand=\"1\"/>"),
            "a burst without a rate",
        ),
        (
            &rules("<bucket name=\"b\" rate=\"1/999h\"/>"),
            "rate \"1/999h\" with a burst of 1 is out of range",
        ),
        (
            &rules("<parameter name=\"A\" most=\"5KiB\"/>"),
            "\"5KiB\" is out of range; expected at most 4KiB",
        ),
        (
            &rules("<addresses name=\"a\">10.0.0.0/8 10.0.0.300</addresses>"),
            "not an address or a network: 10.0.0.300",
        ),
        (
            &rules("<case name=\"c\"><request peer=\"x\"/><expect rule=\"none\"/></case>"),
            "peer cannot be \"x\"",
        ),
        (
            &rules("<case name=\"c\"><request/><expect rule=\"gone\"/></case>"),
            "unknown rule 'gone'",
        ),
    ];
    for (text, what) in cases {
        let shown = diagnostics_of(text).to_string();
        assert!(
            shown.contains(what) && shown.starts_with("t.xml:"),
            "{text}\n{shown}"
        );
    }
}

#[test]
fn all_errors_are_reported_in_the_order_of_the_file() {
    let diagnostics = diagnostics_of(&rules(
        "\n<bucket name=\"b\"/>\n<rule name=\"x\"><when>a</when></rule>\n<rule name=\"y\"><when>b &amp;&amp; c</when>\
        <give operation=\"z\"/></rule>",
    ));
    let shown = diagnostics.to_string();
    let lines: Vec<&str> = shown
        .lines()
        .filter(|l| l.starts_with("t.xml:"))
        .map(|l| &l[6..7])
        .collect();
    assert_eq!(lines, ["2", "3", "4", "4", "4"], "{shown}");
    assert!(diagnostics.summary().ends_with("(and 4 more)"));
}

#[test]
fn files_and_rules_above_their_size_limits_are_rejected_with_the_reason() {
    let tight = ValidationContext {
        file_bytes_max: 1024,
        ..context()
    };
    let many: String = (0..100)
        .map(|i| format!("<rule name=\"r{i}\"><when>true</when></rule>"))
        .collect();
    let shown = read("t.xml", &rules(&many), &tight)
        .map(|_| ())
        .unwrap_err()
        .to_string();
    assert!(
        shown.contains(
            "the file has 4 KiB; expected at most 1 KiB, which follows from the memory limit"
        ),
        "{shown}"
    );
    let tight = ValidationContext {
        rule_bytes_max: 4096,
        ..context()
    };
    let shown = read("t.xml", &rules(&many), &tight)
        .map(|_| ())
        .unwrap_err()
        .to_string();
    assert!(shown.contains("the rules take about"), "{shown}");
    // Elements nested without a bound are rejected before the tree grows.
    let deep = "<translator version=\"1\">".to_owned() + &"<rules>".repeat(100_000);
    assert!(diagnostics_of(&deep).to_string().contains("too deep"));
}

/// Every name of the schema occurs in the reader, and every fact of a sample request in the schema.
#[test]
fn the_schema_and_the_reader_have_the_same_names() {
    let words = Schema::read(SCHEMA).unwrap().words();
    let reader = [
        include_str!("../src/rule_config.rs"),
        include_str!("../src/rule_config/buckets.rs"),
        include_str!("../src/rule_config/cases.rs"),
        include_str!("../src/rule_config/vocabulary.rs"),
        include_str!("../src/cluster.rs"),
        include_str!("../src/rollout.rs"),
        include_str!("../src/lib.rs"),
    ]
    .concat();
    let sample_request = include_str!("../src/sample_request.rs");
    for word in words.iter().filter(|word| *word != "translator") {
        let last = word.rsplit('/').next().unwrap();
        let facts = word.starts_with("request/");
        let text = if facts {
            sample_request
        } else {
            reader.as_str()
        };
        assert!(
            text.contains(&format!("\"{last}\"")),
            "{word} is in the schema, but no reader uses it"
        );
    }
    for name in [
        "operation",
        "tenant",
        "script",
        "method",
        "front",
        "estimate",
        "need",
        "rank",
        "peer",
        "arrived",
        "address",
        "caller",
    ] {
        assert!(
            words.contains(&format!("request/{name}")),
            "{name} is read, but is not in the schema"
        );
    }
    assert!(words.len() > 40, "{words:?}");
}

#[test]
fn a_schema_with_unsupported_parts_is_rejected() {
    let schema = |inner: &str| format!("<xs:schema>{inner}</xs:schema>");
    for inner in [
        "<xs:group name=\"a\"/>",
        "<xs:simpleType name=\"a\"><xs:restriction base=\"xs:int\"/></xs:simpleType>",
        "<xs:simpleType name=\"a\"><xs:restriction base=\"xs:string\"><xs:minLength value=\"1\"/></xs:restriction></xs:simpleType>",
        "<xs:element name=\"a\" type=\"gone\"/>",
        "<xs:element name=\"a\"><xs:complexType><xs:all/></xs:complexType></xs:element>",
    ] {
        assert!(Schema::read(&schema(inner)).is_err(), "{inner}");
    }
}

#[test]
fn damaged_files_never_cause_a_panic() {
    let mut rng = Pcg64Mcg::seed_from_u64(77);
    let context = ValidationContext::permissive();
    assert!(read("t.xml", EXAMPLE, &context).is_ok());
    let mut rejected = 0;
    for _ in 0..1500 {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..bytes.len());
            match rng.random_range(0..4) {
                0 => drop(bytes.remove(at)),
                1 => bytes.insert(at, b"<>&\"'/[]!=x\n"[rng.random_range(0..12)]),
                2 => bytes.truncate(at.max(1)),
                _ => bytes[at] = rng.random(),
            }
        }
        let text = String::from_utf8_lossy(&bytes);
        if let Err(diagnostics) = read("t.xml", &text, &context) {
            rejected += 1;
            assert!(!diagnostics.all.is_empty() && !diagnostics.to_string().is_empty());
        }
    }
    assert!(rejected > 700, "{rejected}");
}

#[test]
fn the_test_cases_of_the_example_settings_pass() {
    let config = read("t.xml", EXAMPLE, &ValidationContext::permissive())
        .unwrap()
        .rules
        .unwrap();
    assert!(!config.cases.is_empty());
    for case in &config.cases {
        assert_eq!(case.run(&config), Ok(()), "{}", case.name);
    }
    assert_eq!(
        xml::read("<a b='&lt;&#10;'/>")
            .unwrap()
            .get("b")
            .unwrap()
            .value,
        "<\n"
    );
}

fn fleet(inner: &str, attributes: &str) -> String {
    format!(
        "<translator version=\"1\" number=\"7\">\n<fleet name=\"f\" keys=\"k\" {attributes}>{inner}</fleet></translator>"
    )
}

#[test]
fn cluster_settings_are_read_with_seeds_and_periods() {
    let text = fleet(
        "<seed address=\"10.0.0.1:7946\"/><seed address=\"[2001:db8::1]:7946\"/><periods probe=\"500ms\" answer=\"150ms\" suspicion=\"2.5\"/>",
        "zone=\"a-1\" bind=\"10.0.0.4:7946\" program=\"0.1.0+b\"",
    )
    .replace("0.1.0+b", "0.1.0-b");
    let read = read("t.xml", &text, &ValidationContext::permissive()).unwrap();
    let fleet = read.cluster.unwrap();
    assert_eq!(
        (
            fleet.seeds.len(),
            fleet.zone.as_deref(),
            fleet.program.as_deref()
        ),
        (2, Some("a-1"), Some("0.1.0-b"))
    );
    assert_eq!(
        (
            fleet.timing.probe,
            fleet.timing.probe_timeout,
            fleet.timing.suspicion
        ),
        (500_000_000, 150_000_000, 2.5)
    );
    assert_eq!(
        (fleet.bind.unwrap().port(), fleet.advertise, read.number.0),
        (7946, None, 7)
    );
}

#[test]
fn invalid_cluster_settings_are_reported_with_their_location() {
    for (inner, attributes, expected) in [
        (
            "<seed address=\"10.0.0.999:1\"/>",
            "",
            "t.xml:2:42: fleet/seed/@address: \"10.0.0.999:1\" is not a unicast address with a port",
        ),
        ("<seed address=\"10.0.0.9\"/>", "", "is not valid"),
        (
            "<periods probe=\"1ms\"/>",
            "",
            "fleet/periods/@probe: \"1ms\" is out of range; expected 50 to 60000 ms",
        ),
        (
            "<periods answer=\"1s\"/>",
            "",
            "fleet/periods/@answer: the time for an answer is not shorter than",
        ),
        ("<periods suspicion=\"0.1\"/>", "", "expected 0.5 to 100"),
        ("<pulse/>", "", "unknown element <pulse>"),
        (
            "<calls-budget name=\"b\" floor=\"1\" nodes-most=\"9\"/>",
            "",
            "calls-budget 'b': no limit, or two limits",
        ),
        (
            "<calls-budget name=\"b\" a-second=\"5\" floor=\"1\" nodes-most=\"9\"/>",
            "",
            "are 9, more than the limit of 5",
        ),
        (
            "<calls-budget name=\"b\" a-second=\"50\" floor=\"1\" nodes-most=\"9\"/>",
            "",
            "0 arbiters; expected an odd number",
        ),
        (
            "<arbiter name=\"a\"/><arbiter name=\"a\"/>",
            "",
            "a second arbiter 'a'",
        ),
        (
            "<arbiter name=\"a\"/><arbiter name=\"b\"/>",
            "",
            "2 arbiters; expected an odd number",
        ),
        (
            "<arbiter name=\"a\"/><calls-budget name=\"b\" a-second=\"50\" floor=\"1\" nodes-most=\"9\"/>\
             <calls-budget name=\"b\" a-second=\"60\" floor=\"1\" nodes-most=\"9\"/>",
            "",
            "a second budget 'b'",
        ),
        (
            "<service name=\"s\" slow=\"20m\"/>",
            "",
            "fleet/service/@slow: \"20m\" is out of range",
        ),
        (
            "<service name=\"s\"/><service name=\"t\"/>",
            "",
            "<service> is out of order or occurs too often",
        ),
        ("", "zone=\"a b\"", "is not valid"),
        ("", "port=\"1\"", "unknown attribute"),
    ] {
        let shown = diagnostics_of(&fleet(inner, attributes)).to_string();
        assert!(shown.contains(expected), "{inner} {attributes}: {shown}");
    }
    assert!(
        diagnostics_of("<translator version=\"1\"><fleet name=\"f\"/></translator>")
            .to_string()
            .contains("'keys' is missing")
    );
}

fn rollout(inner: &str, attributes: &str) -> String {
    let fleet = "<fleet name=\"f\" keys=\"k\"><arbiter name=\"a\"/></fleet>";
    let rollout = format!("<rollout dir=\"/var/lib/m\" {attributes}>{inner}</rollout>");
    format!("<translator version=\"1\" number=\"7\">\n{fleet}\n{rollout}</translator>")
}

#[test]
fn stages_of_a_rollout_are_read_with_defaults() {
    let text = rollout(
        "<stage share=\"one\" least=\"2s\" sample=\"9\"/><stage share=\"0.25\" longest=\"1h\" spread=\"0s\"/>\
         <stage share=\"1\"/>",
        "of-zone=\"0.3\" margin=\"0.01\"",
    );
    let read = read("t.xml", &text, &ValidationContext::permissive())
        .unwrap()
        .rollout
        .unwrap();
    let shares: Vec<u32> = read
        .plan
        .stages
        .iter()
        .map(|stage| stage.share_permille)
        .collect();
    assert_eq!(
        (read.dir.as_str(), shares),
        ("/var/lib/m", vec![0, 250, 1000])
    );
    let (first, second) = (&read.plan.stages[0], &read.plan.stages[1]);
    assert_eq!((first.min_duration, first.min_requests), (2_000_000_000, 9));
    assert_eq!(
        (second.max_duration, second.start_spread),
        (3_600_000_000_000, 0)
    );
    assert_eq!(
        (read.plan.max_zone_permille, read.plan.margin_permille),
        (300, 10)
    );
    let defaults = plan_of(&rollout("", ""));
    assert_eq!(defaults.stages.len(), 5);
}

fn plan_of(text: &str) -> madderpoint_rollout::Plan {
    read("t.xml", text, &ValidationContext::permissive())
        .unwrap()
        .rollout
        .unwrap()
        .plan
}

#[test]
fn invalid_rollout_settings_are_reported_with_their_location() {
    for (inner, attributes, expected) in [
        (
            "<stage share=\"0.5\"/>",
            "",
            "t.xml:3:2: rollout: the last stage must be the whole fleet",
        ),
        (
            "<stage share=\"0.5\"/><stage share=\"0.2\"/>",
            "",
            "each stage must be larger than the one before",
        ),
        (
            "<stage share=\"0.0\"/>",
            "",
            "rollout/stage/@share: \"0.0\" is out of range; expected one, or 0.001 to 1",
        ),
        (
            "<stage share=\"1\" least=\"1ms\"/>",
            "",
            "rollout/stage/@least: \"1ms\" is out of range",
        ),
        (
            "<stage share=\"1\" least=\"2h\" longest=\"1h\"/>",
            "",
            "a stage lasts 7200 s at least and 3600 s at most",
        ),
        ("", "margin=\"0.9\"", "a margin from 0.001 to 0.5"),
        ("", "of-zone=\"2\"", "is not valid"),
        ("<step/>", "", "unknown element <step>"),
    ] {
        let shown = diagnostics_of(&rollout(inner, attributes)).to_string();
        assert!(shown.contains(expected), "{inner} {attributes}: {shown}");
    }
    let alone = "<translator version=\"1\" number=\"7\"><rollout dir=\"d\"/></translator>";
    assert!(
        diagnostics_of(alone)
            .to_string()
            .contains("a rollout in stages without a fleet that has arbiters")
    );
    let unnumbered = rollout("", "").replace(" number=\"7\"", "");
    assert!(
        diagnostics_of(&unnumbered)
            .to_string()
            .contains("a rollout in stages of a file without a number")
    );
}

/// A quota of the whole cluster is read with all its attributes. Missing or invalid attributes are
/// reported with the bucket.
#[test]
fn cluster_quotas_are_read_or_reported_with_their_location() {
    let file = |bucket: &str, fleet: &str| {
        format!("<translator version=\"1\">\n<rules><bucket {bucket}/></rules>{fleet}</translator>")
    };
    let fleet = "<fleet name=\"f\" keys=\"k\"><arbiter name=\"a\"/></fleet>";
    let good = "name=\"b\" scope=\"fleet\" rate=\"90/m\" burst=\"60\" in-hand=\"50\" floor=\"1\" nodes-most=\"40\" longest=\"2s\"";
    let read = read("t.xml", &file(good, fleet), &context()).unwrap();
    let rules = read.rules.unwrap();
    let kinds: Vec<QuotaKind> = rules
        .cluster_quotas
        .iter()
        .map(|(_, quota)| quota.kind)
        .collect();
    let (period, longest) = (60_000_000_000, 2_000_000_000);
    assert_eq!(
        kinds,
        [
            QuotaKind::Rate {
                count: 90,
                period,
                burst: 60
            },
            QuotaKind::InFlight {
                limit: 50,
                max_hold: longest
            }
        ]
    );
    assert_eq!(
        (
            rules.cluster_quotas[0].1.floor,
            rules.cluster_quotas[1].1.max_nodes,
            rules.buckets[0].rate
        ),
        (1, 40, None)
    );
    for (bucket, fleet, expected) in [
        (
            good,
            "",
            "t.xml:2:2: bucket 'b': a limit of the whole fleet without a fleet that has arbiters",
        ),
        (
            "name=\"b\" scope=\"fleet\" rate=\"9/s\"",
            fleet,
            "'nodes-most' is missing",
        ),
        (
            "name=\"b\" scope=\"fleet\" rate=\"9/s\" burst=\"40\" floor=\"1\" nodes-most=\"40\"",
            fleet,
            "the floors of 40 nodes are 40, which leaves nothing of the burst of 40 to lend",
        ),
        (
            "name=\"b\" rate=\"9/s\" floor=\"1\"",
            fleet,
            "'floor' on a limit that applies to each node",
        ),
        (
            "name=\"b\" scope=\"fleet\" total=\"9\" nodes-most=\"40\"",
            fleet,
            "'total' on a limit of the whole fleet",
        ),
        (
            "name=\"b\" scope=\"world\" rate=\"9/s\"",
            fleet,
            "is not valid",
        ),
    ] {
        let shown = diagnostics_of(&file(bucket, fleet)).to_string();
        assert!(shown.contains(expected), "{bucket}: {shown}");
    }
}
