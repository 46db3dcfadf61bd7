//! Settings are either decoded unchanged or rejected with an error that names the field.

use super::*;
use madderpoint::Idempotency;
use proptest::prelude::*;
use serde_json::{Value, json};

/// Settings with every field that is decoded, and some that are skipped.
fn complete_settings() -> Value {
    json!({
        "Ceilings": {"CpuUsPerRequest": 0.0, "CpuUsPerS": 60047, "MaxRetryAfter": 1.0, "RetryAfter": true},
        "Extra": {"Advert": "weight", "Below": "one_for_all", "CallsOver": 5.0, "ClassCalls": [true, true, false],
            "ClientsTotal": 3, "Cold": false, "Cores": 6, "DegradedWorth": [0.6, 0.3, 0.0], "FairCalls": 1.5,
            "Fresh": 0.5, "Gauges": ["cpu_busy", "mem_used"], "Halt": "discard", "Idle": 15.0, "KeyKb": 186.64,
            "Linger": 0.2, "MemLimitKb": 44382.0, "PassesDeadline": false, "RunFactor": 8.0},
        "OverShareWorth": 0.05,
        "Rules": {"AnswerSlack": 0.08, "Cold": 17.0, "ColdFrom": 0.22, "Fall": 1.5, "StopSendingWithin": 2.5,
            "TipMultiple": 5.0},
        "Servers": 12,
        "Services": [
            {"Aim": 3.0, "AimStretch": 0.5, "Deadline": 7.6, "DedupWindow": 5.0, "Effect": "read_like",
                "LateWorth": 0.2, "Name": "gun-sorgu", "Points": 1.0},
            {"Aim": 2.5, "Deadline": 10.0, "DedupWindow": 5.0, "Effect": "idempotency_key", "LateWorth": 0.0,
                "Name": "gun-yaz", "Points": 2.0},
            {"Aim": 2.5, "Deadline": 10.0, "Effect": "non_idempotent", "LateWorth": 0.0, "Name": "öde", "Points": 2.0}],
        "Step": 0.005,
        "Tenants": [{"Fraction": 0.3, "Name": "acme", "QuotaRps": 46.0}, {"Name": "b ü/%&", "QuotaRps": 0.0}],
        "WorthBy": "work"
    })
}

fn decode_value(value: &Value) -> Result<DeploymentConfig, String> {
    decode(value.to_string().as_bytes()).map_err(|error| error.to_string())
}

/// Collects the JSON pointers of all fields into `paths`.
fn field_pointers(value: &Value, path: &str, paths: &mut Vec<String>) {
    match value {
        Value::Object(map) => map.iter().for_each(|(name, value)| {
            paths.push(format!("{path}/{name}"));
            field_pointers(value, &format!("{path}/{name}"), paths);
        }),
        Value::Array(values) => {
            values
                .iter()
                .enumerate()
                .for_each(|(i, value)| field_pointers(value, &format!("{path}/{i}"), paths));
        }
        _ => {}
    }
}

/// Whether a field is optional or is skipped.
fn is_optional(name: &str) -> bool {
    [
        "AimStretch",
        "PassesDeadline",
        "Tenants",
        "AnswerSlack",
        "Fall",
        "Fraction",
        "CpuUsPerRequest",
        "CpuUsPerS",
    ]
    .contains(&name)
}

#[test]
fn all_settings_are_decoded() {
    let config = decode_value(&complete_settings()).unwrap();
    assert_eq!(config.operation_names, ["gun-sorgu", "gun-yaz", "öde"]);
    assert_eq!(config.tenant_names, ["acme", "b ü/%&"]);
    let Deployment {
        operations,
        downstream_call_limit,
        abandoned_call_linger,
        max_retry_after,
        ..
    } = config.deployment;
    assert_eq!(
        (
            downstream_call_limit,
            abandoned_call_linger,
            max_retry_after
        ),
        (1.5, 200_000_000, 1_000_000_000)
    );
    assert_eq!(
        (operations[1].idempotency, operations[1].idempotency_window),
        (Idempotency::Keyed, 5_000_000_000)
    );
    assert_eq!(
        (operations[2].idempotency, operations[2].calls_downstream),
        (Idempotency::NonIdempotent, false)
    );
    assert_eq!(
        (
            operations[0].objective_per_work,
            operations[0].late_weight_fraction
        ),
        (0.5, 0.2)
    );
}

#[test]
fn a_missing_field_is_named_in_the_error_unless_it_is_optional() {
    let mut paths = Vec::new();
    field_pointers(&complete_settings(), "", &mut paths);
    for path in paths {
        let mut settings = complete_settings();
        let (parent, name) = path.rsplit_once('/').unwrap();
        let Some(Value::Object(map)) = settings.pointer_mut(parent) else {
            panic!("{path}")
        };
        map.remove(name);
        let result = decode_value(&settings);
        // Only the second operation has idempotency keys and so needs a window.
        let is_unused_window = name == "DedupWindow" && !parent.ends_with("/1");
        match result {
            Ok(_) => assert!(
                is_optional(name) || is_unused_window,
                "{path} is missing, which was accepted"
            ),
            Err(e) => assert!(e.contains(name) && !is_optional(name), "{path}: {e}"),
        }
    }
}

#[test]
fn a_field_of_the_wrong_type_is_named_in_the_error() {
    let mut paths = Vec::new();
    field_pointers(&complete_settings(), "", &mut paths);
    for path in paths {
        let name = path.rsplit_once('/').unwrap().1;
        let is_skipped = [
            "AnswerSlack",
            "Fall",
            "Fraction",
            "CpuUsPerRequest",
            "CpuUsPerS",
        ]
        .contains(&name);
        for wrong in [
            json!({"a": 1}),
            json!("novel"),
            json!([[1]]),
            json!(null),
            json!(-1.5),
            json!(true),
        ] {
            let mut settings = complete_settings();
            let field = settings.pointer_mut(&path).unwrap();
            if *field == wrong || is_skipped {
                continue;
            }
            *field = wrong.clone();
            match decode_value(&settings) {
                Err(e) => assert!(e.contains(name), "{path} as {wrong}: {e}"),
                // A name may be any text, null counts as missing, and a flag may be true.
                Ok(_) => assert!(
                    wrong == json!("novel") && name == "Name"
                        || wrong == json!(true) && is_flag(name)
                        || wrong == json!(null) && name == "DedupWindow",
                    "{path} as {wrong} was accepted"
                ),
            }
        }
    }
}

fn is_flag(name: &str) -> bool {
    ["RetryAfter", "Cold", "PassesDeadline"].contains(&name)
}

#[test]
fn values_out_of_bounds_are_rejected_with_the_name_of_the_field() {
    for (path, wrong, named) in [
        ("/Services", json!([]), "Services is empty"),
        (
            "/Services/1/Name",
            json!("gun-sorgu"),
            "Services[1].Name is a duplicate",
        ),
        ("/Services/0/Name", json!(""), "Services[0].Name is empty"),
        (
            "/Tenants/1/Name",
            json!("acme"),
            "Tenants[1].Name is a duplicate",
        ),
        (
            "/Services/1/DedupWindow",
            json!(0),
            "Services[1].DedupWindow",
        ),
        ("/Services/0/Deadline", json!(0.0), "Services[0].Deadline"),
        ("/Services/0/Aim", json!(1e300), "Services[0].Aim"),
        (
            "/Extra/ClassCalls",
            json!([true]),
            "Extra.ClassCalls has 1 values for 3 operations",
        ),
        (
            "/Extra/DegradedWorth",
            json!([0.1, 0.2, 0.3, 0.4]),
            "Extra.DegradedWorth has 4",
        ),
        ("/Extra/Cores", json!(0), "Extra.Cores is 0"),
        ("/Extra/Cores", json!(4_000_000_000u64), "Extra.Cores"),
        ("/Extra/Below", json!("both"), "Extra.Below is unknown"),
        ("/WorthBy", json!("weight"), "WorthBy is unknown"),
    ] {
        let mut settings = complete_settings();
        *settings.pointer_mut(path).unwrap() = wrong;
        let e = decode_value(&settings)
            .err()
            .unwrap_or_else(|| panic!("{path} was accepted"));
        assert!(e.contains(named), "{path}: {e}");
    }
    assert!(decode(b"{\"Extra\":").is_err() && decode(b"").is_err() && decode(b"[] x").is_err());
    let twice = format!("{} {}", complete_settings(), complete_settings());
    assert!(
        decode(twice.as_bytes()).is_err(),
        "text after the object is rejected"
    );
}

fn any_value() -> impl Strategy<Value = Value> {
    let numbers = prop_oneof![
        Just(json!(0)),
        Just(json!(-1)),
        Just(json!(1e-9)),
        Just(json!(1e300)),
        Just(json!(u64::MAX)),
        any::<f64>().prop_map(|x| json!(x)),
        (0.0..1e5f64).prop_map(|x| json!(x)),
        any::<u32>().prop_map(|n| json!(n)),
    ];
    prop_oneof![
        4 => numbers,
        1 => any::<String>().prop_map(|text| json!(text)),
        1 => any::<bool>().prop_map(|flag| json!(flag)),
        1 => Just(Value::Null),
        1 => prop::collection::vec(any::<f64>().prop_map(|x| json!(x)), 0..4).prop_map(|values| json!(values)),
        1 => Just(json!({})),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(36),
        ..ProptestConfig::default()
    })]

    /// Up to three fields are removed or get an arbitrary value: the settings are decoded within
    /// their bounds, or the error names one of the fields.
    #[test]
    fn settings_are_decoded_or_rejected_with_a_field_name(changes in prop::collection::vec((any::<prop::sample::Index>(), prop::option::of(any_value())), 1..4)) {
        let mut settings = complete_settings();
        let mut names = Vec::new();
        for (choice, value) in changes {
            let mut paths = Vec::new();
            field_pointers(&settings, "", &mut paths);
            if paths.is_empty() {
                break;
            }
            let path = choice.get(&paths).clone();
            let (parent, name) = path.rsplit_once('/').unwrap();
            names.push(name.to_owned());
            match (settings.pointer_mut(parent), value) {
                (Some(Value::Object(map)), Some(value)) => drop(map.insert(name.to_owned(), value)),
                (Some(Value::Object(map)), None) => drop(map.remove(name)),
                _ => {}
            }
        }
        match decode_value(&settings) {
            Ok(config) => {
                let deployment = &config.deployment;
                prop_assert!(deployment.cores > 0 && !deployment.operations.is_empty());
                prop_assert_eq!(deployment.operations.len(), config.operation_names.len());
                prop_assert_eq!(deployment.tenants.len(), config.tenant_names.len());
                prop_assert!(deployment.memory_kb.is_finite() && deployment.max_runnable_per_core.is_finite());
                for operation in &deployment.operations {
                    prop_assert!(operation.client_timeout > 0 && operation.latency_objective <= operation.client_timeout);
                    prop_assert!(operation.idempotency != Idempotency::Keyed || operation.idempotency_window > 0);
                }
            }
            // The error may name a part of the changed field, or a field whose requirement depends
            // on it.
            Err(e) => {
                let parts = ["Name", "Aim", "Deadline", "Services", "Below", "Class", "Degraded", "Calls", "Linger"];
                let named = names.iter().any(|name| e.contains(name)) || parts.iter().any(|part| e.contains(part))
                    || e.contains("missing field") || e.contains("Dedup");
                prop_assert!(named, "{:?}: {}", names, e);
            }
        }
    }
}
