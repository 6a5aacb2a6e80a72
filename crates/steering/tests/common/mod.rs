//! Views and example files for tests.

#![allow(dead_code, reason = "no test file uses all of it")]

use proptest::prelude::ProptestConfig;
use std::path::PathBuf;
use steering::policy::{SiteView, View};

/// A proptest configuration with a fixed seed and `cases` cases.
pub(crate) fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

pub(crate) fn examples() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"))
}

/// Returns the program of an example policy.
pub(crate) fn example(name: &str) -> String {
    let path = examples().join(format!("policies/{name}.rhai"));
    std::fs::read_to_string(path).expect("example policy")
}

pub(crate) fn site(zone: &str, delay_ms: f64, capacity: f64, headroom: f64) -> SiteView {
    SiteView {
        availability_zone: zone.into(),
        region: if delay_ms > 10.0 { "elsewhere".into() } else { "here".into() },
        delay_ms,
        capacity_slots: capacity,
        headroom_slots: headroom,
        latency_ms: 20.0 + 2.0 * delay_ms,
        failed_share: 0.0,
        age_ms: 500.0,
    }
}

pub(crate) fn view(sites: Vec<SiteView>) -> View {
    View {
        service: "dossier".into(),
        availability_zone: "near".into(),
        region: "here".into(),
        sites,
    }
}
