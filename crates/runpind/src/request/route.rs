//! Which sites may run a request, best first.

use super::forward::Exchange;
use configuration::{SiteIndex, ZoneIndex};
use std::sync::Arc;

/// Arm of requests when the configuration names none.
const BUILT_IN_ARM: &str = "built-in";

/// Where a request may be run.
pub(super) struct Route {
    /// Sites of the request's service, best first.
    pub(super) sites: Vec<SiteIndex>,
    /// Arm that chose them.
    pub(super) arm: Arc<str>,
}

/// Chooses the sites of a request: nearest first.
pub(super) fn of_request(exchange: &Exchange) -> Route {
    let configuration = &exchange.version.configuration;
    let own = exchange.version.own_zone.unwrap_or(ZoneIndex(0));
    let delay_ms = |site: &SiteIndex| {
        let zone = exchange.service().sites[site.get()].availability_zone;
        configuration.delay_ms(own, zone)
    };
    let mut sites: Vec<_> = (0..exchange.service().sites.len()).map(SiteIndex::from).collect();
    sites.sort_by(|a, b| delay_ms(a).total_cmp(&delay_ms(b)));
    Route { sites, arm: BUILT_IN_ARM.into() }
}
