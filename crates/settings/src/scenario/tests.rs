use super::*;

#[test]
fn steps_are_sorted_by_time() {
    let text = r#"<script name="x" seed="3" nodes="4" zones="2" load="9" time="5s">
            <periods probe="200ms"/>
            <step><settled at="3s" within="1s"/></step>
            <step><link at="1s" for="2s" from="zone:z0" to="not-zone:z0" both="yes" cut="yes"/></step>
            <step><link at="1s" on="kernel" from="n1" loss="0.25" delay="20ms"/></step>
        </script>"#;
    let scenario = read("t.xml", text).unwrap();
    assert_eq!(
        (scenario.nodes, scenario.zones, scenario.steps.len()),
        (4, 2, 3)
    );
    let Action::Link { faulty, time } = &scenario.steps[0].action else {
        panic!("{scenario:?}")
    };
    assert_eq!(
        (faulty.both, faulty.fault.cut, *time),
        (true, true, Some(Duration::from_secs(2)))
    );
    assert!(faulty.from.has("n2", "z0") && !faulty.to.has("n2", "z0") && faulty.to.has("n3", "z1"));
    let Action::Link { faulty, .. } = &scenario.steps[1].action else {
        panic!("{scenario:?}")
    };
    assert_eq!((faulty.on, faulty.fault.loss), (LinkKind::Kernel, 0.25));
    assert_eq!(scenario.steps[2].at, Duration::from_secs(3));
}

#[test]
fn invalid_scenarios_are_reported_with_line_and_column() {
    let script = |inner: &str| {
        format!("<script name=\"x\" seed=\"3\" nodes=\"4\" time=\"5s\">\n{inner}</script>")
    };
    for (inner, expected) in [
        (
            "<step><kill at=\"1s\" node=\"n4\"/></step>",
            "t.xml:2:8: script: unknown node n4; expected n0 to n3",
        ),
        ("<step><kill at=\"1\" node=\"n1\"/></step>", "is not valid"),
        ("<step><explode at=\"1s\"/></step>", "<explode>"),
        (
            "<step><link at=\"1s\" loss=\"2\"/></step>",
            "expected a share from 0 to 1",
        ),
    ] {
        let shown = read("t.xml", &script(inner))
            .unwrap_err()
            .to_string()
            .to_lowercase();
        assert!(shown.contains(&expected.to_lowercase()), "{inner}: {shown}");
    }
}
