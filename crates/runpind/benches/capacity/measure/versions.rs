//! Measures the size and validation of a configuration by number of sites.

use super::{Series, median_time};
use crate::deployment;
use configuration::Configuration;

/// Numbers of availability zones and sites.
const SIZES: [(usize, usize); 4] = [(6, 6), (6, 60), (30, 240), (30, 460)];

pub(super) struct Versions {
    pub(super) text_bytes: Series,
    pub(super) check_ms: Series,
}

pub(super) fn measure() -> Versions {
    let size = "sites";
    let mut text_bytes = Series { quantity: "configuration text, bytes", size, points: Vec::new() };
    let mut check_ms =
        Series { quantity: "checking the configuration, ms", size, points: Vec::new() };
    for (zones, sites) in SIZES {
        let text = deployment::text(zones, sites);
        let check = median_time(|| text.parse::<Configuration>());
        text_bytes.points.push((sites as f64, text.len() as f64));
        check_ms.points.push((sites as f64, check.as_secs_f64() * 1e3));
    }
    Versions { text_bytes, check_ms }
}
