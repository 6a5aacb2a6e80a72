//! The services of the simulated deployments.

/// Availability zones, each with the same share of the backend servers.
pub(crate) const ZONES: usize = 6;

/// Share of the slots that the capacity of a site consists of.
const TARGET_UTILIZATION: f64 = 0.9;

pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) servers: usize,
    pub(crate) slots: u32,
    pub(crate) mean_ms: f64,
    pub(crate) write_share: f64,
    pub(crate) client_ms: u64,
}

const fn service(
    name: &'static str,
    servers: usize,
    slots: u32,
    mean_ms: f64,
    write_share: f64,
    client_ms: u64,
) -> Service {
    Service { name, servers, slots, mean_ms, write_share, client_ms }
}

pub(crate) const SERVICES: [Service; 6] = [
    service("dossier", 24, 9, 30.0, 0.0, 3),
    service("agenda", 12, 6, 40.0, 0.3, 3),
    service("atelier", 12, 3, 60.0, 0.3, 3),
    service("otsing-api", 18, 6, 15.0, 0.0, 1),
    service("register-api", 12, 5, 30.0, 0.3, 1),
    service("failid-api", 12, 3, 60.0, 0.3, 1),
];

pub(crate) fn site_capacity(service: &Service) -> u32 {
    ((service.servers / ZONES) as f64 * f64::from(service.slots) * TARGET_UTILIZATION) as u32
}

pub(crate) fn capacity_per_ms(service: &Service) -> f64 {
    f64::from(site_capacity(service)) * ZONES as f64 / service.mean_ms
}
