//! Input of a policy program: the backend servers of one service, by availability zone.

use super::roster::accepts_new_requests;
use super::senders::SenderCount;
use super::service::ServiceState;
use crate::deployment::Evacuations;
use crate::policy::{SiteView, View};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// One-way network delays in milliseconds that a policy sees: within the availability zone, within
/// the region, and between regions.  They are those of the sites in use; the platform does not
/// report delays.
const ONE_WAY_DELAYS_MS: [f64; 3] = [0.2, 0.9, 45.0];

/// Sums over the backend servers of one site.
#[derive(Default)]
struct SiteSums {
    region: Arc<str>,
    servers: f64,
    slots: f64,
    load: f64,
    response_ms: f64,
    responding: f64,
    failed: f64,
    age_ms: Option<f64>,
}

/// Builds the policy's view of one service as seen from an availability zone.
pub(super) fn service_view(
    service: &Arc<str>,
    state: &ServiceState,
    zone: &Arc<str>,
    region: &Arc<str>,
    evacuated: &Evacuations,
    region_sizes: &BTreeMap<Arc<str>, usize>,
    now: Instant,
) -> View {
    let slot_s = state.warm_response_ms() / 1_000.0;
    let mut sums: BTreeMap<&Arc<str>, SiteSums> = BTreeMap::new();
    for server in state.servers.iter().filter(|server| accepts_new_requests(server, evacuated)) {
        let site = sums.entry(&server.record.availability_zone).or_default();
        site.region = server.region.clone();
        site.servers += 1.0;
        let senders =
            SenderCount::in_region(region_sizes.get(&server.region).copied().unwrap_or(0));
        site.slots += server.condition.usable_slots(server.record.slots.into(), slot_s, senders);
        site.load += server.load.estimate(1, now);
        if let Some(response_ms) = server.response_ms() {
            site.response_ms += response_ms;
            site.responding += 1.0;
        }
        site.failed += if server.has_failed(now) { 1.0 } else { server.failure_ratio() };
        let age_ms = server.time_since_response(now).as_secs_f64() * 1_000.0;
        site.age_ms = Some(site.age_ms.map_or(age_ms, |least| least.min(age_ms)));
    }
    let sites = sums.into_iter().map(|(site_zone, site)| {
        let delay_ms = match () {
            () if site_zone == zone => ONE_WAY_DELAYS_MS[0],
            () if site.region == *region => ONE_WAY_DELAYS_MS[1],
            () => ONE_WAY_DELAYS_MS[2],
        };
        let has_responses = site.responding > 0.0;
        SiteView {
            availability_zone: site_zone.clone(),
            region: site.region,
            delay_ms,
            capacity_slots: site.slots,
            headroom_slots: (site.slots - site.load).max(0.0),
            latency_ms: if has_responses {
                site.response_ms / site.responding
            } else {
                2.0 * delay_ms
            },
            failed_share: site.failed / site.servers,
            age_ms: site.age_ms.unwrap_or(0.0),
        }
    });
    View {
        service: service.clone(),
        availability_zone: zone.clone(),
        region: region.clone(),
        sites: sites.collect(),
    }
}
