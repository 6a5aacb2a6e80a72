//! The effect of drains, and which drains are rejected.

use configuration::{Configuration, Drain, DrainError, remove_drain};
use std::path::Path;

const SERVER: &str = "10.1.1.11:8080";

fn example_configuration() -> Configuration {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/address.toml");
    let text = std::fs::read_to_string(path).expect("the example is there");
    text.parse().expect("the example is valid")
}

fn drain(kind: &str, name: &str) -> Drain {
    Drain::parse(kind, name).expect("well formed")
}

#[test]
fn drained_backend_server_is_removed_from_site_and_capacity() {
    let mut configuration = example_configuration();

    configuration.apply_drains(&[drain("backend-server", SERVER)]);

    let site = &configuration.services[0].sites[0];
    assert_eq!(site.backend_servers.len(), 2);
    assert!(site.backend_servers.iter().all(|server| server.address.to_string() != SERVER));
    // 2 servers x 6 slots x 0.9, rounded down.
    assert_eq!(site.capacity_slots, 10);
    assert_eq!(configuration.services[0].sites[1], example_configuration().services[0].sites[1]);
}

#[test]
fn drained_zone_empties_its_sites_only() {
    let whole = example_configuration();
    let mut configuration = example_configuration();
    let zone = configuration.zone("trt-veeriku").expect("in the example");

    configuration.apply_drains(&[drain("availability-zone", "trt-veeriku")]);

    for (service, before) in configuration.services.iter().zip(&whole.services) {
        for (site, before) in service.sites.iter().zip(&before.sites) {
            if site.availability_zone == zone {
                assert!(site.backend_servers.is_empty());
                assert_eq!(site.capacity_slots, 0);
            } else {
                assert_eq!(site, before);
            }
        }
    }
    assert_eq!(configuration.drained.backend_servers_in(zone).count(), 7);
    assert!(configuration.drained.has_instance("any", Some(zone)));
}

#[test]
fn drain_of_the_last_backend_server_of_a_service_is_rejected() {
    let configuration = example_configuration();
    let zones = ["hrj-lasnamae", "hrj-kristiine", "trt-annelinn", "trt-veeriku", "prn-ranna"];
    let drains = zones.iter().fold(Vec::new(), |drains, zone| {
        configuration.add_drain(&drains, drain("availability-zone", zone)).expect("one is left")
    });

    let refused = configuration.add_drain(&drains, drain("availability-zone", "prn-raekula"));

    assert_eq!(refused, Err(DrainError::NoBackendServer("otsing-api".into())));
}

#[test]
fn unknown_targets_and_invalid_names_are_rejected() {
    let configuration = example_configuration();
    let unknown = drain("backend-server", "10.9.9.9:1");

    let refused = configuration.add_drain(&[], unknown.clone());

    assert_eq!(refused, Err(DrainError::Unknown(unknown)));
    assert_eq!(Drain::parse("rack", "a"), Err(DrainError::Kind("rack".into())));
    assert_eq!(Drain::parse("instance", "a b"), Err(DrainError::Name("a b".into())));
    assert_eq!(Drain::parse("backend-server", "a"), Err(DrainError::Address("a".into())));
}

#[test]
fn undrain_reverts_drain_and_drain_is_idempotent() {
    let configuration = example_configuration();
    let server = drain("backend-server", SERVER);

    let once = configuration.add_drain(&[], server.clone()).expect("drained");
    let twice = configuration.add_drain(&once, server.clone()).expect("drained already");
    let none = remove_drain(&twice, &server).expect("undrained");

    assert_eq!(once, twice);
    assert!(none.is_empty());
    assert_eq!(remove_drain(&none, &server), Err(DrainError::NotDrained(server)));
}
