//! The adapter answers batches with replies or ends with an error.

use crate::adapter::Adapter;
use madderpoint_deployment_config::decode;

const FACTS: &str = r#"{"Ceilings": {"RetryAfter": true, "MaxRetryAfter": 1.0},
    "Extra": {"Advert": "weight", "Below": "none", "ClientsTotal": 4, "Cold": false, "Cores": 2, "Fresh": 0.0, "Halt": "none",
    "Gauges": ["novel", "cpu_busy"], "Idle": 15.0, "KeyKb": 2.0, "MemLimitKb": 9000.0, "RunFactor": 4.0, "Novel": [1]},
    "OverShareWorth": 0.0, "Rules": {"Cold": 10.0, "ColdFrom": 0.2, "StopSendingWithin": 2.5, "TipMultiple": 5.0},
    "Servers": 3, "Step": 0.005, "WorthBy": "request",
    "Services": [{"Aim": 1.0, "Deadline": 3.0, "Effect": "read_like", "LateWorth": 0.0, "Name": "get", "Points": 1.0}]}"#;

/// Encodes one record: the code, the length of the fields and the fields.
fn record(code: u8, parts: &[&[u8]]) -> Vec<u8> {
    let fields = parts.concat();
    [&[code], &(fields.len() as u32).to_be_bytes()[..], &fields].concat()
}

fn batch(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    [
        &(body.len() as u32).to_be_bytes()[..],
        &8.5f64.to_be_bytes(),
        &body,
    ]
    .concat()
}

fn init(facts: &str) -> Vec<u8> {
    let len = (facts.len() as u32).to_be_bytes();
    record(20, &[&[0, 3], &7u64.to_be_bytes(), &len, facts.as_bytes()])
}

fn request(kind: u8) -> Vec<u8> {
    let (none, id) = ([0; 8], 77u64.to_be_bytes());
    let floats = [10f32.to_be_bytes(), 0.5f32.to_be_bytes()].concat();
    record(
        23,
        &[
            &[0, 3],
            &id,
            &[kind, 0, 0],
            &none,
            &none,
            &none,
            &floats,
            &[0, 0, 1],
            &none,
            &none,
        ],
    )
}

fn serve(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = Vec::new();
    let result = Adapter::default()
        .serve(&mut &input[..], &mut output)
        .map_err(|error| error.to_string());
    (result, output)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(serve(&batch(&[])), (Ok(()), vec![0; 8]));
}

#[test]
fn a_request_is_started_and_unknown_settings_are_skipped() {
    let (result, output) = serve(&batch(&[init(FACTS), request(0)]));
    assert_eq!(result, Ok(()));
    let start = [&[16, 0, 0, 0, 10, 0, 3][..], &77u64.to_be_bytes()].concat();
    assert!(output.windows(start.len()).any(|w| w == start));
}

#[test]
fn gauge_names_are_decoded_in_order() {
    let names = decode(FACTS.as_bytes()).map(|config| config.gauge_names);
    assert_eq!(names, Ok(vec!["novel".to_owned(), "cpu_busy".to_owned()]));
}

#[test]
fn errors_name_the_record_field_and_offset() {
    let truncated = &batch(&[request(0)])[..40];
    let timer = record(21, &[&[0, 3], &[0; 8], &[2], &[0; 4]]);
    let negative = FACTS.replace("9000.0", "-1.0");
    for (input, expected) in [
        (
            truncated.to_vec(),
            "record batch, field header, offset 40: input ended after 28 of 69 bytes",
        ),
        (
            batch(&[record(99, &[])]),
            "record 99, field code, offset 17: unknown record",
        ),
        (
            batch(&[request(0)]),
            "record req, field I, offset 19: no instance 3",
        ),
        (batch(&[init(FACTS), request(4)]), "field Kind"),
        (batch(&[init(FACTS), timer]), "field Feedback"),
        (batch(&[init("{}")]), "record init, field Facts"),
        (batch(&[init(&negative)]), "Extra.MemLimitKb is -1"),
        (vec![255; 12], "field header"),
    ] {
        let (result, _) = serve(&input);
        let message = result.unwrap_err();
        assert!(message.contains(expected), "{message} lacks {expected}");
    }
}

#[test]
fn corrupted_batches_end_in_a_reply_or_an_error() {
    let valid = batch(&[init(FACTS), request(0)]);
    let mut state = 11u64;
    for _ in 0..2000 {
        let mut bytes = valid.clone();
        for _ in 0..3 {
            state = state
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let at = 4 + (state >> 33) as usize % (bytes.len() - 4);
            bytes[at] = (state >> 20) as u8;
        }
        let (result, output) = serve(&bytes);
        let message = result
            .err()
            .unwrap_or_else(|| "a reply, so no offset".into());
        assert!(
            message.contains("offset") && (output.len() >= 8 || !message.starts_with("a reply"))
        );
    }
}
