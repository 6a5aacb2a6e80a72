//! Builds the views of services that policies receive, from figures about their sites.

use super::input::Input;
use crate::Time;
use crate::figures::{SiteCapacity, SiteFigures, SiteName};
use crate::policy::{SiteView, View};
use configuration::{Service, Site};

/// A service's view, and the figures that it is based on.
pub(super) struct ServiceView {
    pub(super) view: View,
    pub(super) names: Vec<SiteName>,
    pub(super) figures: Vec<SiteFigures>,
}

/// Builds the view of one service.
pub(super) fn service_view(input: &Input<'_>, service: &Service, now: Time) -> ServiceView {
    let configuration = input.configuration;
    let zones = &configuration.availability_zones;
    let own = &zones[input.own_zone.get()];
    let names: Vec<SiteName> = service
        .sites
        .iter()
        .map(|site| SiteName {
            service: service.name.clone(),
            availability_zone: zones[site.availability_zone.get()].name.clone(),
        })
        .collect();
    let figures: Vec<SiteFigures> = service
        .sites
        .iter()
        .zip(&names)
        .map(|(site, name)| {
            input.figures.site_figures(name, capacity(input, site), input.others, now)
        })
        .collect();
    let sites = service
        .sites
        .iter()
        .zip(&figures)
        .map(|(site, figures)| site_view(input, site, figures))
        .collect();
    let view = View {
        service: service.name.clone(),
        availability_zone: own.name.clone(),
        region: configuration.regions[own.region.get()].name.clone(),
        sites,
    };
    ServiceView { view, names, figures }
}

/// Returns a site's capacity, with an equal part for each availability zone as the floor, at least
/// one slot.
fn capacity(input: &Input<'_>, site: &Site) -> SiteCapacity {
    let capacity_slots = f64::from(site.capacity_slots);
    let zones = input.configuration.availability_zones.len().max(1) as f64;
    let delay_ms = input.configuration.delay_ms(input.own_zone, site.availability_zone);
    SiteCapacity {
        capacity_slots,
        floor_slots: (capacity_slots / zones).max(1.0),
        round_trip_ms: 2.0 * delay_ms,
    }
}

fn site_view(input: &Input<'_>, site: &Site, figures: &SiteFigures) -> SiteView {
    let configuration = input.configuration;
    let zone = &configuration.availability_zones[site.availability_zone.get()];
    SiteView {
        availability_zone: zone.name.clone(),
        region: configuration.regions[zone.region.get()].name.clone(),
        delay_ms: configuration.delay_ms(input.own_zone, site.availability_zone),
        capacity_slots: f64::from(site.capacity_slots),
        headroom_slots: figures.headroom_slots,
        latency_ms: figures.latency_ms,
        failed_share: figures.failed_share,
        age_ms: figures.age.as_secs_f64() * 1_000.0,
    }
}
