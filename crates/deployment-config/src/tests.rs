//! Settings of any deployment are either taken as they are or refused with the field named.

use super::*;
use madderpoint::Idempotency;
use proptest::prelude::*;
use serde_json::{Value, json};

/// Settings with every field of the wire that matters here.
fn whole() -> Value {
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

fn read(value: &Value) -> Result<DeploymentConfig, String> {
    decode(value.to_string().as_bytes()).map_err(|error| error.to_string())
}

/// The paths of all fields, by their JSON pointers.
fn fields(value: &Value, path: &str, into: &mut Vec<String>) {
    match value {
        Value::Object(map) => map.iter().for_each(|(name, value)| {
            into.push(format!("{path}/{name}"));
            fields(value, &format!("{path}/{name}"), into);
        }),
        Value::Array(values) => {
            values
                .iter()
                .enumerate()
                .for_each(|(i, value)| fields(value, &format!("{path}/{i}"), into));
        }
        _ => {}
    }
}

/// Fields that are optional or have no use here.
fn may_be_absent(name: &str) -> bool {
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
fn settings_are_read_as_written() {
    let config = read(&whole()).unwrap();
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
fn each_absent_field_is_named_unless_it_may_be_absent() {
    let mut paths = Vec::new();
    fields(&whole(), "", &mut paths);
    for path in paths {
        let mut settings = whole();
        let (parent, name) = path.rsplit_once('/').unwrap();
        let Some(Value::Object(map)) = settings.pointer_mut(parent) else {
            panic!("{path}")
        };
        map.remove(name);
        let read = read(&settings);
        // Without idempotency keys a window has no use.
        let means_nothing = name == "DedupWindow" && !parent.ends_with("/1");
        match read {
            Ok(_) => assert!(
                may_be_absent(name) || means_nothing,
                "{path} was not asked for"
            ),
            Err(e) => assert!(e.contains(name) && !may_be_absent(name), "{path}: {e}"),
        }
    }
}

#[test]
fn each_field_of_another_kind_is_named() {
    let mut paths = Vec::new();
    fields(&whole(), "", &mut paths);
    for path in paths {
        let name = path.rsplit_once('/').unwrap().1;
        let has_no_use = [
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
            let mut settings = whole();
            let place = settings.pointer_mut(&path).unwrap();
            if *place == wrong || has_no_use {
                continue;
            }
            *place = wrong.clone();
            match read(&settings) {
                Err(e) => assert!(e.contains(name), "{path} as {wrong}: {e}"),
                // A name may be any text; null is as good as absent, and a flag may be true.
                Ok(_) => assert!(
                    wrong == json!("novel") && name == "Name"
                        || wrong == json!(true) && place_is_flag(name)
                        || wrong == json!(null) && name == "DedupWindow",
                    "{path} as {wrong} was taken"
                ),
            }
        }
    }
}

fn place_is_flag(name: &str) -> bool {
    ["RetryAfter", "Cold", "PassesDeadline"].contains(&name)
}

#[test]
fn unusable_values_are_refused_with_the_name_of_the_field() {
    for (path, wrong, named) in [
        ("/Services", json!([]), "Services is empty"),
        (
            "/Services/1/Name",
            json!("gun-sorgu"),
            "Services[1].Name stands twice",
        ),
        ("/Services/0/Name", json!(""), "Services[0].Name is empty"),
        (
            "/Tenants/1/Name",
            json!("acme"),
            "Tenants[1].Name stands twice",
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
        let mut settings = whole();
        *settings.pointer_mut(path).unwrap() = wrong;
        let e = read(&settings)
            .err()
            .unwrap_or_else(|| panic!("{path} was taken"));
        assert!(e.contains(named), "{path}: {e}");
    }
    assert!(decode(b"{\"Extra\":").is_err() && decode(b"").is_err() && decode(b"[] x").is_err());
    let twice = format!("{} {}", whole(), whole());
    assert!(decode(twice.as_bytes()).is_err(), "nothing may follow");
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

    /// Any field, or several, as anything or gone: the settings are taken and can be worked with,
    /// or one of them is named.
    #[test]
    fn settings_are_taken_or_refused_by_name(changes in prop::collection::vec((any::<prop::sample::Index>(), prop::option::of(any_value())), 1..4)) {
        let mut settings = whole();
        let mut names = Vec::new();
        for (which, value) in changes {
            let mut paths = Vec::new();
            fields(&settings, "", &mut paths);
            if paths.is_empty() {
                break;
            }
            let path = which.get(&paths).clone();
            let (parent, name) = path.rsplit_once('/').unwrap();
            names.push(name.to_owned());
            match (settings.pointer_mut(parent), value) {
                (Some(Value::Object(map)), Some(value)) => drop(map.insert(name.to_owned(), value)),
                (Some(Value::Object(map)), None) => drop(map.remove(name)),
                _ => {}
            }
        }
        match read(&settings) {
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
            // The field named may be a part of the one changed, or one that it must agree with.
            Err(e) => {
                let parts = ["Name", "Aim", "Deadline", "Services", "Below", "Class", "Degraded", "Calls", "Linger"];
                let named = names.iter().any(|name| e.contains(name)) || parts.iter().any(|part| e.contains(part))
                    || e.contains("missing field") || e.contains("Dedup");
                prop_assert!(named, "{:?}: {}", names, e);
            }
        }
    }
}
