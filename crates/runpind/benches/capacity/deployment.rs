//! Generates deployments of any size.

use configuration::{ClientBlock, Configuration, ZoneIndex};
use ipnet::{IpNet, Ipv4Net};
use std::fmt::Write;
use std::net::Ipv4Addr;

/// Availability zones in each region.
const ZONES_PER_REGION: usize = 2;

/// Backend servers at each site.
const SERVERS_PER_SITE: usize = 8;

/// Returns a configuration text with `zones` availability zones and `sites` sites, spread evenly
/// over services that have a site in every availability zone.
pub(crate) fn text(zones: usize, sites: usize) -> String {
    let mut text = String::from(
        "[deployment]\nname = \"model\"\nlookup_ttl_ms = 5000\nlookup_instances = 3\n\
         idempotency_key_ttl_ms = 600000\n\n[delays]\nsame_region_ms = 1.0\n\
         between_regions_ms = 35.0\nclient_ms = 3.0\n\n[link_defaults]\n\
         cap_requests_per_s = 5000\nfloor_percent = 40.0\ninstance_slots = 160\n\
         shift_percent_per_s = 10.0\n\n",
    );
    for region in 0..zones.div_ceil(ZONES_PER_REGION) {
        let first = region * ZONES_PER_REGION;
        let names: Vec<String> = (first..zones.min(first + ZONES_PER_REGION))
            .map(|zone| format!("\"z{zone}\""))
            .collect();
        let names = names.join(", ");
        // Writing to a string can't fail.
        let _ =
            writeln!(text, "[[region]]\nname = \"r{region}\"\navailability_zones = [{names}]\n");
    }
    for site in 0..sites {
        let (service, zone) = (site / zones, site % zones);
        if zone == 0 {
            let _ = writeln!(
                text,
                "[[service]]\nname = \"s{service}\"\npath_prefix = \"/s{service}\"\n\
                 slots_per_server = 6\ntarget_utilization = 0.9\n"
            );
        }
        let servers: Vec<String> = (0..SERVERS_PER_SITE)
            .map(|server| format!("\"10.{service}.{zone}.{}:8080\"", server + 1))
            .collect();
        let servers = servers.join(", ");
        let _ = writeln!(
            text,
            "[[service.site]]\navailability_zone = \"z{zone}\"\nbackend_servers = [{servers}]\n"
        );
    }
    text
}

/// Returns the validated configuration of [`text`].
pub(crate) fn configuration(zones: usize, sites: usize) -> Configuration {
    text(zones, sites).parse().unwrap_or_else(|error| unreachable!("the text is valid: {error}"))
}

/// Returns `count` blocks of 256 addresses, with adjacent blocks in different availability zones.
pub(crate) fn client_blocks(count: usize, zones: usize) -> Vec<ClientBlock> {
    (0..count)
        .map(|number| ClientBlock {
            block: IpNet::V4(Ipv4Net::new_assert(Ipv4Addr::from((number as u32) << 8), 24)),
            availability_zone: ZoneIndex::from(number % zones),
        })
        .collect()
}
