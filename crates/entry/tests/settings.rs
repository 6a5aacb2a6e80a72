//! Reading of settings, and the error messages for missing and invalid ones.

use entry::settings::Settings;
use std::path::Path;

fn valid() -> serde_json::Value {
    serde_json::json!({
        "name": "one", "availability_zone": "north-a", "regions": {"north-a": "north"},
        "caller_address": "10.0.0.1:1", "readiness_address": "10.0.0.1:2",
        "look_up_address": "10.0.0.1:3", "peer_address": "10.0.0.1:4",
        "seeds": ["10.0.0.2:4"], "first_port": 7200, "store_address": "10.0.0.9:80",
        "retry_ratio": 0.2, "retry_extra": 64, "max_ttl_s": 5, "stop_grace_s": 6,
        "a field from the future": {},
    })
}

fn read(text: &str) -> Result<Settings, String> {
    let folder = tempfile::tempdir().expect("create a temporary directory");
    let path = folder.path().join("settings.json");
    std::fs::write(&path, text).expect("write the settings file");
    Settings::read(&path).map_err(|error| error.to_string())
}

#[test]
fn valid_settings_are_read_and_unknown_fields_ignored() {
    let settings = read(&valid().to_string()).expect("valid settings");
    assert_eq!(&*settings.region, "north");
    assert_eq!(settings.gossip_address.to_string(), "10.0.0.1:7201");
    assert_eq!(settings.operators_address.to_string(), "10.0.0.1:7200");
}

#[test]
fn errors_name_each_missing_or_invalid_field() {
    let fields = valid();
    let optional = ["seeds", "a field from the future"];
    for field in fields.as_object().expect("a table").keys() {
        if optional.contains(&field.as_str()) {
            continue;
        }
        let mut missing = fields.clone();
        missing.as_object_mut().expect("a table").remove(field);
        let error = read(&missing.to_string()).expect_err("a field is missing");
        assert!(error.contains(field), "{field}: {error}");
    }
    for (field, wrong) in [
        ("availability_zone", serde_json::json!("nowhere")),
        ("caller_address", serde_json::json!("host:80")),
        ("seeds", serde_json::json!(["nobody"])),
        ("retry_ratio", serde_json::json!(-1.0)),
        ("stop_grace_s", serde_json::json!(1e300)),
        ("name", serde_json::json!("")),
    ] {
        let mut fields = fields.clone();
        fields[field] = wrong;
        let error = read(&fields.to_string()).expect_err("a field is invalid");
        assert!(error.contains(field), "{field}: {error}");
    }
}

#[test]
fn errors_name_each_invalid_term() {
    let wrong_values = [
        ("0", "server_drain_s"),
        ("-3.0", "server_drain_s"),
        ("1e300", "server_drain_s"),
        ("\"3\"", "server_drain_s"),
        ("\"NaN\"", "cold_slack"),
        ("true", "reconnection_s"),
        ("[3]", "max_region_shift"),
        ("{}", "exposure_share"),
        ("1e999", "evacuation_s"),
    ];
    for (value, field) in wrong_values {
        let mut fields = valid();
        fields["terms"] = serde_json::json!({ "recovery_s": 15, field: "value" });
        for text in [fields.to_string(), format!("{fields:#}")] {
            let text = text.replace("\"value\"", value);
            let error = read(&text).expect_err("a term is invalid");
            assert!(error.contains(field), "{field}, {value}: {error}");
        }
    }
}

#[test]
fn errors_name_a_missing_or_malformed_file() {
    let error = read("{").expect_err("the JSON is truncated");
    assert!(error.contains("settings.json"), "{error}");
    let error =
        Settings::read(Path::new("/nowhere/settings.json")).expect_err("the file is missing");
    assert!(error.to_string().contains("/nowhere/settings.json"), "{error}");
}
