use super::*;

#[test]
fn durations_and_times_parse_and_print() {
    let spans = [
        ("250ms", 250_000_000),
        ("1h30m", 5_400_000_000_000),
        ("-1.5s", -1_500_000_000),
        ("0", 0),
    ];
    for (text, nanos) in spans {
        assert_eq!(span(text), Some(nanos), "{text}");
        assert_eq!(span(&print_span(nanos)), Some(nanos));
    }
    for bad in ["", "1", "s", "1d", "1..2s", "-", "999999999h"] {
        assert_eq!(span(bad), None, "{bad}");
    }
    for (text, nanos) in [
        ("1970-01-01T00:00:00Z", 0),
        ("2026-12-01T14:30:15.25+03:00", 1_796_124_615_250_000_000),
        ("1969-12-31T23:59:59.999999999Z", -1),
        ("2024-02-29T00:00:00Z", 1_709_164_800_000_000_000),
    ] {
        assert_eq!(time(text), Some(nanos), "{text}");
        assert_eq!(time(&print_time(nanos)), Some(nanos));
    }
    for bad in [
        "2026-02-29T00:00:00Z",
        "2026-13-01T00:00:00Z",
        "2026-12-01",
        "2026-12-01T24:00:00Z",
        "é",
    ] {
        assert_eq!(time(bad), None, "{bad}");
    }
    let at = time("2026-12-01T14:30:15Z").unwrap();
    let parts = [
        Part::Year,
        Part::Month,
        Part::Date,
        Part::WeekDay,
        Part::Hours,
        Part::Minutes,
        Part::Seconds,
    ];
    assert_eq!(parts.map(|p| part(at, p)), [2026, 11, 1, 2, 14, 30, 15]);
}
