//! The settings of an instance, read from a JSON file.

use crate::error::EntryError;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use steering::placement::RetryTerms;
use steering::quota::QuotaTerms;
use steering::rollout::ExposureLimit;
use steering::terms::{RawTerms, Terms};

/// Maximum length of the text that an error quotes, which has room for the longest name of a field and
/// a number.
const MAX_CONTEXT_BYTES: usize = 60;

/// Offset of the gossip port from `first_port`, which serves operators and metrics.
const GOSSIP_PORT_OFFSET: u16 = 1;

/// Settings as they appear in the file; unknown fields are ignored.
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
    /// Address for requests of other instances.
    pub peer_address: String,
    /// Peer addresses of a few other instances, which may be stale.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// First of the ports reserved for the instance.
    pub first_port: u16,
    /// Address of the platform's store.
    pub store_address: String,
    /// Retries allowed per request, over all instances.
    pub retry_ratio: f64,
    /// Additional retries allowed per window in which retries are counted, over all instances.
    pub retry_extra: f64,
    /// Length of the window in which retries are counted, in seconds.
    #[serde(default)]
    pub retry_window_s: Option<f64>,
    /// Length of the window over which a customer's quota is enforced, in seconds.
    #[serde(default)]
    pub quota_window_s: Option<f64>,
    /// Fraction of a quota by which it may be exceeded in a window.
    #[serde(default)]
    pub quota_overage: f64,
    /// Requests by which it may be exceeded in addition.
    #[serde(default)]
    pub quota_slack: f64,
    /// Longest time to live of a look-up response.
    pub max_ttl_s: f64,
    /// Time from the signal for a planned stop to the end of the process.
    pub stop_grace_s: f64,
    /// Terms of the deployment.
    #[serde(default)]
    pub terms: RawTerms,
}

/// Validated settings.
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
    /// Address for requests of other instances.
    pub peer_address: SocketAddr,
    /// UDP address for gossip of other instances.
    pub gossip_address: SocketAddr,
    /// Address for operators and metrics.
    pub operators_address: SocketAddr,
    /// Hosts of a few other instances, which may be stale.
    pub seeds: Vec<IpAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Retries that all instances together may send to one service.
    pub retry_terms: RetryTerms,
    /// Terms under which customers' quotas are enforced.
    pub quota_terms: QuotaTerms,
    /// Limit on the requests that a bad version may receive; none where there are no roll-outs.
    pub exposure: Option<ExposureLimit>,
    /// Longest time to live of a look-up response.
    pub max_ttl: Duration,
    /// Time from the signal for a planned stop to the end of the process.
    pub stop_grace: Duration,
    /// Terms of the deployment.
    pub terms: Terms,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or a field is invalid; the error names the file or the field.
    pub fn read(path: &Path) -> Result<Self, EntryError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| EntryError::SettingsFile { path: path.to_owned(), source })?;
        let raw: RawSettings =
            serde_json::from_str(&text).map_err(|source| EntryError::SettingsContent {
                path: path.to_owned(),
                before: text_before(&text, &source),
                source,
            })?;
        Self::try_from(raw)
    }
}

/// Returns the text of the line up to an error, at most [`MAX_CONTEXT_BYTES`] of it.
fn text_before(text: &str, error: &serde_json::Error) -> String {
    let line = text.lines().nth(error.line().saturating_sub(1)).unwrap_or_default().as_bytes();
    let end = error.column().min(line.len());
    let start = end.saturating_sub(MAX_CONTEXT_BYTES);
    String::from_utf8_lossy(&line[start..end]).trim().to_owned()
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
        let peer_address = parse_address("peer_address", &raw.peer_address)?;
        let quota_terms = QuotaTerms {
            window: match raw.quota_window_s {
                Some(window_s) => Duration::from_secs_f64(check_range("quota_window_s", window_s)?),
                None => QuotaTerms::default().window,
            },
            overage: check_range("quota_overage", raw.quota_overage)?,
            slack: check_range("quota_slack", raw.quota_slack)?,
        };
        let retry_terms = RetryTerms {
            ratio: check_range("retry_ratio", raw.retry_ratio)?,
            extra: check_range("retry_extra", raw.retry_extra)?,
            window: match raw.retry_window_s {
                Some(window_s) => Duration::from_secs_f64(check_range("retry_window_s", window_s)?),
                None => RetryTerms::default().window,
            },
        };
        let terms = Terms::try_from(raw.terms)?;
        let rollback = terms.rollout.rollback;
        let exposure = terms.rollout.exposure_share.map(|share| ExposureLimit { share, rollback });
        let with_port = |port| SocketAddr::new(peer_address.ip(), port);
        Ok(Self {
            name: raw.name.as_str().into(),
            availability_zone: zone,
            region,
            regions,
            caller_address: parse_address("caller_address", &raw.caller_address)?,
            readiness_address: parse_address("readiness_address", &raw.readiness_address)?,
            look_up_address: parse_address("look_up_address", &raw.look_up_address)?,
            peer_address,
            gossip_address: with_port(raw.first_port.saturating_add(GOSSIP_PORT_OFFSET)),
            operators_address: with_port(raw.first_port),
            seeds: raw
                .seeds
                .iter()
                .map(|seed| parse_address("seeds", seed).map(|seed| seed.ip()))
                .collect::<Result<_, _>>()?,
            store_address: parse_address("store_address", &raw.store_address)?,
            retry_terms,
            quota_terms,
            exposure,
            max_ttl: Duration::from_secs_f64(check_range("max_ttl_s", raw.max_ttl_s)?),
            stop_grace: Duration::from_secs_f64(check_range("stop_grace_s", raw.stop_grace_s)?),
            terms,
        })
    }
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, EntryError> {
    text.parse().map_err(|_| EntryError::Setting {
        field,
        reason: format!("{text:?} is not an IP address with a port"),
    })
}

fn check_range(field: &'static str, value: f64) -> Result<f64, EntryError> {
    if value.is_finite() && (0.0..=1e6).contains(&value) {
        return Ok(value);
    }
    Err(EntryError::Setting { field, reason: format!("{value} is not between 0 and 1000000") })
}
