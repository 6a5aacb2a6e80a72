//! The settings of an instance, read from one file in JSON.

use crate::error::EntryError;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use steering::quota::QuotaTerms;
use steering::rollout::ExposureLimit;

/// Ports from the first free one: operators and metrics, then datagrams.
const GOSSIP_PORT_OFFSET: u16 = 1;

/// Settings as the file has them; unknown fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct RawSettings {
    /// Name of the instance.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Region of each availability zone.
    pub regions: HashMap<String, String>,
    /// Address for callers.
    pub caller_address: String,
    /// Address for readiness checks.
    pub readiness_address: String,
    /// Address for look-ups.
    pub look_up_address: String,
    /// Address at which other instances ask.
    pub peer_address: String,
    /// Peer addresses of a few other instances, which may be stale.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// First of the ports that are free for the instances.
    pub first_port: u16,
    /// Address of the platform's store.
    pub store_address: String,
    /// Repeats allowed for each request, over all instances.
    pub retry_ratio: f64,
    /// Repeats allowed besides, over all instances, in one window.
    pub retry_extra: f64,
    /// Length of a window in which a customer's quota holds, in seconds.
    #[serde(default)]
    pub quota_window_s: Option<f64>,
    /// Part by which a quota may be passed in a window.
    #[serde(default)]
    pub quota_overage: f64,
    /// Requests by which it may be passed beside that.
    #[serde(default)]
    pub quota_slack: f64,
    /// Part of a service's requests that a bad version may get while it is brought in; left out where
    /// no versions are brought in.
    #[serde(default)]
    pub exposure_share: Option<f64>,
    /// Longest time to live of the answer to a look-up.
    pub max_ttl_s: f64,
    /// Time between a planned stop's notice and the end of the process.
    pub stop_grace_s: f64,
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Region of each availability zone.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for readiness checks.
    pub readiness_address: SocketAddr,
    /// Address for look-ups.
    pub look_up_address: SocketAddr,
    /// Address at which other instances ask.
    pub peer_address: SocketAddr,
    /// Address for datagrams of other instances.
    pub gossip_address: SocketAddr,
    /// Address for operators and metrics.
    pub operators_address: SocketAddr,
    /// Hosts of a few other instances, which may be stale.
    pub seeds: Vec<IpAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Repeats allowed for each request, over all instances.
    pub retry_ratio: f64,
    /// Repeats allowed besides, over all instances, in one window.
    pub retry_extra: f64,
    /// The bound that holds customers' quotas.
    pub quota_terms: QuotaTerms,
    /// What a bad version may get; none where no versions are brought in.
    pub exposure: Option<ExposureLimit>,
    /// Longest time to live of the answer to a look-up.
    pub max_ttl: Duration,
    /// Time between a planned stop's notice and the end of the process.
    pub stop_grace: Duration,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Names the file or the field that is wrong.
    pub fn read(path: &Path) -> Result<Self, EntryError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| EntryError::SettingsFile { path: path.to_owned(), source })?;
        let raw: RawSettings = serde_json::from_str(&text)
            .map_err(|source| EntryError::SettingsContent { path: path.to_owned(), source })?;
        Self::try_from(raw)
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = EntryError;

    fn try_from(raw: RawSettings) -> Result<Self, EntryError> {
        let zone: Arc<str> = raw.availability_zone.as_str().into();
        let regions: HashMap<Arc<str>, Arc<str>> = raw
            .regions
            .iter()
            .map(|(zone, region)| (zone.as_str().into(), region.as_str().into()))
            .collect();
        let region = regions.get(&zone).cloned().ok_or_else(|| EntryError::Setting {
            field: "availability_zone",
            reason: format!("{zone} is not among the regions' availability zones"),
        })?;
        if raw.name.is_empty() {
            let reason = "must not be empty".to_owned();
            return Err(EntryError::Setting { field: "name", reason });
        }
        let peer_address = address("peer_address", &raw.peer_address)?;
        let quota_terms = QuotaTerms {
            window: match raw.quota_window_s {
                Some(window_s) => Duration::from_secs_f64(number("quota_window_s", window_s)?),
                None => QuotaTerms::default().window,
            },
            overage: number("quota_overage", raw.quota_overage)?,
            slack: number("quota_slack", raw.quota_slack)?,
        };
        let exposure = raw.exposure_share.map(|share| number("exposure_share", share));
        let exposure = exposure.transpose()?.map(|share| ExposureLimit { share });
        let local = |port| SocketAddr::new(peer_address.ip(), port);
        Ok(Self {
            name: raw.name.as_str().into(),
            availability_zone: zone,
            region,
            regions,
            caller_address: address("caller_address", &raw.caller_address)?,
            readiness_address: address("readiness_address", &raw.readiness_address)?,
            look_up_address: address("look_up_address", &raw.look_up_address)?,
            peer_address,
            gossip_address: local(raw.first_port.saturating_add(GOSSIP_PORT_OFFSET)),
            operators_address: local(raw.first_port),
            seeds: raw
                .seeds
                .iter()
                .map(|seed| address("seeds", seed).map(|seed| seed.ip()))
                .collect::<Result<_, _>>()?,
            store_address: address("store_address", &raw.store_address)?,
            retry_ratio: number("retry_ratio", raw.retry_ratio)?,
            retry_extra: number("retry_extra", raw.retry_extra)?,
            quota_terms,
            exposure,
            max_ttl: Duration::from_secs_f64(number("max_ttl_s", raw.max_ttl_s)?),
            stop_grace: Duration::from_secs_f64(number("stop_grace_s", raw.stop_grace_s)?),
        })
    }
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, EntryError> {
    text.parse().map_err(|_| EntryError::Setting {
        field,
        reason: format!("{text:?} is not an IP address with a port"),
    })
}

fn number(field: &'static str, value: f64) -> Result<f64, EntryError> {
    if value.is_finite() && (0.0..=1e6).contains(&value) {
        return Ok(value);
    }
    Err(EntryError::Setting { field, reason: format!("{value} is not between 0 and 1000000") })
}
