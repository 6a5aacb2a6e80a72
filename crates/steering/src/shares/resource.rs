//! Capped resources, and how much of each an availability zone may use.

use configuration::{Configuration, ZoneIndex};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A resource that availability zones share.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// Requests per second on a link from the own availability zone.
    Link {
        /// Availability zone that the link leads to.
        to: Arc<str>,
    },
    /// Slots at a site.
    Site {
        /// The service.
        service: Arc<str>,
        /// The site's availability zone.
        availability_zone: Arc<str>,
    },
}

impl Resource {
    /// Returns whether this is a link rather than a site.
    pub fn is_link(&self) -> bool {
        matches!(self, Resource::Link { .. })
    }
}

/// A cap, divided into floors and a remainder.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cap {
    /// Total that all may use together: requests per second, or slots.
    pub total: u64,
    /// Part reserved for the numbered slots of this availability zone.
    pub floor_total: u64,
    /// Number of numbered slots among which the floor is divided.
    pub instance_slots: u32,
    /// Whether the site is in the own availability zone; true for every link.
    pub is_own_zone: bool,
}

impl Cap {
    /// Returns the floor of a numbered slot; the lowest numbers get the remainder of the division.
    pub fn floor(&self, number: u32) -> u64 {
        if number >= self.instance_slots {
            return 0;
        }
        let slots = u64::from(self.instance_slots);
        (self.floor_total + slots - 1 - u64::from(number)) / slots
    }

    /// Returns the amount that is not reserved by floors.
    pub fn remainder(&self) -> u64 {
        self.total.saturating_sub(self.floor_total)
    }
}

/// The caps that apply to the instances of one availability zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Each resource with its cap.
    pub caps: BTreeMap<Resource, Cap>,
    /// Number of numbered slots of the availability zone.
    pub instance_slots: u32,
}

impl Plan {
    /// Divides the caps of a configuration, as seen from the zone `own`.
    ///
    /// The floor of a site belongs to the site's own availability zone alone: no other zone can
    /// reach the site during a partition between the two.
    pub fn new(configuration: &Configuration, own: ZoneIndex) -> Self {
        let name = |zone: ZoneIndex| configuration.availability_zones[zone.get()].name.clone();
        let links = configuration.links.iter().filter(|link| link.from == own);
        let instance_slots = links.clone().map(|link| link.instance_slots).max().unwrap_or(0);
        let caps = links.map(|link| {
            let cap = Cap {
                total: link.cap_requests_per_s,
                floor_total: share_of(link.cap_requests_per_s, link.floor_share),
                instance_slots: link.instance_slots,
                is_own_zone: true,
            };
            (Resource::Link { to: name(link.to) }, cap)
        });
        let sites = configuration.services.iter().flat_map(|service| {
            service.sites.iter().map(|site| {
                let home = site.availability_zone;
                let home_link = &configuration.links[configuration.link(home, home).get()];
                let capacity = u64::from(site.capacity_slots);
                let floor = share_of(capacity, home_link.floor_share);
                let is_own_zone = home == own;
                // The floor of another zone's site is not available to this zone.
                let (total, floor_total) =
                    if is_own_zone { (capacity, floor) } else { (capacity - floor, 0) };
                let cap = Cap {
                    total,
                    floor_total,
                    instance_slots: home_link.instance_slots,
                    is_own_zone,
                };
                let availability_zone = name(site.availability_zone);
                (Resource::Site { service: service.name.clone(), availability_zone }, cap)
            })
        });
        let caps = caps.chain(sites).collect();
        Self { caps, instance_slots }
    }
}

/// Returns `share` of `total`, rounded down.
fn share_of(total: u64, share: f64) -> u64 {
    ((total as f64 * share) as u64).min(total)
}
