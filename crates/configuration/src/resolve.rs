//! Parses a configuration text, validates it and resolves its references.

use crate::checked::capacity_slots;
use crate::raw::{RawLink, RawLinkDefaults, RawPolicy, RawRegion, RawService, RawSite};
use crate::{
    Arm, AvailabilityZone, BackendServer, ClientBlock, Configuration, ConfigurationError, Delays,
    Drained, Link, LookupSettings, Overload, Policy, Problem, RawConfiguration, Region,
    RegionIndex, Route, Service, Site, ZoneIndex,
};
use std::collections::HashSet;
use std::str::FromStr;
use std::sync::Arc;
use toml::Spanned;

const MAX_NAME_CHARS: usize = 64;
const MAX_ZONES: usize = 255;
const MAX_SERVICES: usize = 1_000;
const MAX_SERVERS_PER_SITE: usize = 10_000;

/// A validation error at a byte offset of the text; `from_str` converts the offset to a line.
struct FieldError {
    offset: usize,
    field: &'static str,
    problem: Problem,
}

impl FieldError {
    fn new<T>(value: &Spanned<T>, field: &'static str, problem: Problem) -> Self {
        Self { offset: value.span().start, field, problem }
    }
}

type FieldResult<T> = Result<T, FieldError>;

impl FromStr for Configuration {
    type Err = ConfigurationError;

    /// Parses and validates a configuration text.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let raw: RawConfiguration = toml::from_str(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            let message = error.message().to_owned();
            ConfigurationError::Syntax { line: line_number(text, offset), message }
        })?;
        resolve(&raw).map_err(|error| ConfigurationError::Field {
            line: line_number(text, error.offset),
            field: error.field,
            problem: error.problem,
        })
    }
}

fn line_number(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|byte| *byte == b'\n').count()
}

fn resolve(raw: &RawConfiguration) -> FieldResult<Configuration> {
    let (regions, availability_zones) = resolve_regions(&raw.regions)?;
    let zone_by_name = |name: &Spanned<String>, field| find_zone(&availability_zones, name, field);
    let services = raw
        .services
        .iter()
        .map(|service| resolve_service(service, &zone_by_name))
        .collect::<FieldResult<Vec<_>>>()?;
    check_unique(raw.services.iter().map(|service| &service.name), "service.name")?;
    if services.len() > MAX_SERVICES {
        let problem = Problem::TooMany { count: services.len(), limit: MAX_SERVICES };
        return Err(FieldError::new(&raw.services[MAX_SERVICES].name, "service", problem));
    }
    let links =
        resolve_links(&raw.link_defaults, &raw.links, availability_zones.len(), &zone_by_name)?;
    let client_blocks = raw
        .client_blocks
        .iter()
        .map(|(block, zone)| {
            let problem = || Problem::Block(block.get_ref().clone());
            Ok(ClientBlock {
                block: block
                    .get_ref()
                    .parse()
                    .map_err(|_| FieldError::new(block, "client_blocks", problem()))?,
                availability_zone: zone_by_name(zone, "client_blocks")?,
            })
        })
        .collect::<FieldResult<Vec<_>>>()?;
    let policies = resolve_policies(&raw.policies)?;
    let arms = resolve_arms(raw, &policies)?;
    let deployment = &raw.deployment;
    Ok(Configuration {
        name: validate_name(&deployment.name, "deployment.name")?,
        lookup: LookupSettings {
            ttl_ms: check_integer(
                &deployment.lookup_ttl_ms,
                "deployment.lookup_ttl_ms",
                1,
                86_400_000,
            )?,
            instances: check_integer(
                &deployment.lookup_instances,
                "deployment.lookup_instances",
                1,
                16,
            )? as usize,
            idempotency_key_ttl_ms: check_integer(
                &deployment.idempotency_key_ttl_ms,
                "deployment.idempotency_key_ttl_ms",
                1_000,
                86_400_000,
            )?,
        },
        regions,
        availability_zones,
        delays: Delays {
            same_region_ms: raw.delays.same_region_ms,
            between_regions_ms: raw.delays.between_regions_ms,
            client_ms: raw.delays.client_ms,
        },
        overload: Overload {
            queue_length: raw.overload.queue_length as usize,
            queue_wait_ms: raw.overload.queue_wait_ms,
            default_timeout_ms: raw.overload.default_timeout_ms,
            retry_budget_percent: raw.overload.retry_budget_percent,
        },
        services,
        links,
        client_blocks,
        policies,
        arms,
        drained: Drained::default(),
    })
}

fn resolve_regions(raw: &[RawRegion]) -> FieldResult<(Vec<Region>, Vec<AvailabilityZone>)> {
    let mut regions = Vec::new();
    let mut zones = Vec::new();
    check_unique(raw.iter().map(|region| &region.name), "region.name")?;
    check_unique(
        raw.iter().flat_map(|region| &region.availability_zones),
        "region.availability_zones",
    )?;
    for (position, region) in raw.iter().enumerate() {
        if region.availability_zones.is_empty() {
            return Err(FieldError::new(&region.name, "region.availability_zones", Problem::Empty));
        }
        let first = zones.len();
        for zone in &region.availability_zones {
            if zones.len() == MAX_ZONES {
                let problem = Problem::TooMany { count: MAX_ZONES + 1, limit: MAX_ZONES };
                return Err(FieldError::new(zone, "region.availability_zones", problem));
            }
            let name = validate_name(zone, "region.availability_zones")?;
            zones.push(AvailabilityZone { name, region: RegionIndex::from(position) });
        }
        regions.push(Region {
            name: validate_name(&region.name, "region.name")?,
            availability_zones: (first..zones.len()).map(ZoneIndex::from).collect(),
        });
    }
    Ok((regions, zones))
}

fn find_zone(
    zones: &[AvailabilityZone],
    name: &Spanned<String>,
    field: &'static str,
) -> FieldResult<ZoneIndex> {
    let position = zones.iter().position(|zone| *zone.name == **name.get_ref());
    position.map(ZoneIndex::from).ok_or_else(|| {
        let problem = Problem::Unknown { kind: "availability zone", name: name.get_ref().clone() };
        FieldError::new(name, field, problem)
    })
}

fn resolve_service(
    raw: &RawService,
    zone_by_name: &impl Fn(&Spanned<String>, &'static str) -> FieldResult<ZoneIndex>,
) -> FieldResult<Service> {
    let slots =
        check_integer(&raw.slots_per_server, "service.slots_per_server", 1, 100_000)? as u32;
    let target = check_float(&raw.target_utilization, "service.target_utilization", 0.01, 1.0)?;
    if raw.sites.is_empty() {
        return Err(FieldError::new(&raw.name, "service.site", Problem::Empty));
    }
    check_unique(raw.sites.iter().map(|s| &s.availability_zone), "service.site.availability_zone")?;
    let sites = raw
        .sites
        .iter()
        .map(|site| resolve_site(site, slots, target, zone_by_name))
        .collect::<FieldResult<Vec<_>>>()?;
    let routes = raw
        .routes
        .iter()
        .map(|route| {
            Ok(Route {
                method: validate_text(&route.method, "service.route.method")?.to_uppercase().into(),
                path_prefix: validate_text(&route.path_prefix, "service.route.path_prefix")?.into(),
                class: route.class,
            })
        })
        .collect::<FieldResult<Vec<_>>>()?;
    Ok(Service {
        name: validate_name(&raw.name, "service.name")?,
        host: raw
            .host
            .as_ref()
            .map(|host| validate_text(host, "service.host").map(Arc::from))
            .transpose()?,
        path_prefix: validate_text(&raw.path_prefix, "service.path_prefix")?.into(),
        slots_per_server: slots,
        connections_per_server: u32::try_from(raw.connections_per_server).unwrap_or(u32::MAX),
        target_utilization: target,
        shed_status_not_run: raw.shed_status_not_run,
        routes,
        sites,
    })
}

fn resolve_site(
    raw: &RawSite,
    slots: u32,
    target: f64,
    zone_by_name: &impl Fn(&Spanned<String>, &'static str) -> FieldResult<ZoneIndex>,
) -> FieldResult<Site> {
    const FIELD: &str = "service.site.backend_servers";
    let servers = raw.backend_servers.get_ref();
    if servers.is_empty() {
        return Err(FieldError::new(&raw.backend_servers, FIELD, Problem::Empty));
    }
    if servers.len() > MAX_SERVERS_PER_SITE {
        let problem = Problem::TooMany { count: servers.len(), limit: MAX_SERVERS_PER_SITE };
        return Err(FieldError::new(&raw.backend_servers, FIELD, problem));
    }
    check_unique(servers.iter(), FIELD)?;
    let backend_servers = servers
        .iter()
        .map(|server| {
            let problem = || Problem::Address(server.get_ref().clone());
            let address =
                server.get_ref().parse().map_err(|_| FieldError::new(server, FIELD, problem()))?;
            Ok(BackendServer { address })
        })
        .collect::<FieldResult<Vec<_>>>()?;
    Ok(Site {
        availability_zone: zone_by_name(&raw.availability_zone, "service.site.availability_zone")?,
        capacity_slots: capacity_slots(servers.len(), slots, target),
        backend_servers,
    })
}

fn resolve_links(
    defaults: &RawLinkDefaults,
    raw: &[RawLink],
    zones: usize,
    zone_by_name: &impl Fn(&Spanned<String>, &'static str) -> FieldResult<ZoneIndex>,
) -> FieldResult<Vec<Link>> {
    const CAP_LIMIT: u64 = 1_000_000_000;
    let field = "link_defaults.cap_requests_per_s";
    let cap = check_integer(&defaults.cap_requests_per_s, field, 1, CAP_LIMIT)?;
    let field = "link_defaults.floor_percent";
    let floor_percent = check_float(&defaults.floor_percent, field, 0.0, 100.0)?;
    let field = "link_defaults.instance_slots";
    let instance_slots = check_integer(&defaults.instance_slots, field, 1, 10_000)? as u32;
    let field = "link_defaults.shift_percent_per_s";
    let shift_percent = check_float(&defaults.shift_percent_per_s, field, 0.1, 100.0)?;
    let mut links: Vec<Link> = (0..zones * zones)
        .map(|position| Link {
            from: ZoneIndex::from(position / zones),
            to: ZoneIndex::from(position % zones),
            cap_requests_per_s: cap,
            cap_bytes_per_s: defaults.cap_bytes_per_s.as_ref().map(|bytes| *bytes.get_ref()),
            floor_share: floor_percent / 100.0,
            instance_slots,
            shift_share_per_s: shift_percent / 100.0,
        })
        .collect();
    let mut seen = HashSet::new();
    for link in raw {
        let from = zone_by_name(&link.from, "link.from")?;
        let to = zone_by_name(&link.to, "link.to")?;
        if !seen.insert((from, to)) {
            let pair = format!("{} to {}", link.from.get_ref(), link.to.get_ref());
            return Err(FieldError::new(&link.from, "link", Problem::Duplicate(pair)));
        }
        let cap = check_integer(&link.cap_requests_per_s, "link.cap_requests_per_s", 1, CAP_LIMIT)?;
        let entry = &mut links[from.get() * zones + to.get()];
        entry.cap_requests_per_s = cap;
        entry.cap_bytes_per_s =
            link.cap_bytes_per_s.as_ref().map(|bytes| *bytes.get_ref()).or(entry.cap_bytes_per_s);
    }
    Ok(links)
}

fn resolve_policies(raw: &[RawPolicy]) -> FieldResult<Vec<Policy>> {
    check_unique(raw.iter().map(|policy| &policy.name), "policy.name")?;
    raw.iter()
        .map(|policy| {
            Ok(Policy {
                name: validate_name(&policy.name, "policy.name")?,
                program: validate_text(&policy.program, "policy.program")?.into(),
            })
        })
        .collect()
}

fn resolve_arms(raw: &RawConfiguration, policies: &[Policy]) -> FieldResult<Vec<Arm>> {
    check_unique(raw.arms.iter().map(|arm| &arm.name), "arm.name")?;
    let arms = raw
        .arms
        .iter()
        .map(|arm| {
            let policy_name = arm.policy.get_ref();
            let policy = policies.iter().position(|policy| *policy.name == **policy_name);
            Ok(Arm {
                name: validate_name(&arm.name, "arm.name")?,
                policy: policy.ok_or_else(|| {
                    let problem = Problem::Unknown { kind: "policy", name: policy_name.clone() };
                    FieldError::new(&arm.policy, "arm.policy", problem)
                })?,
                share_percent: if arm.shadow { 0 } else { arm.share_percent },
                shadow: arm.shadow,
            })
        })
        .collect::<FieldResult<Vec<_>>>()?;
    let total = arms.iter().map(|arm| arm.share_percent).fold(0, u32::saturating_add);
    match raw.arms.first() {
        Some(first) if total != 100 => {
            Err(FieldError::new(&first.name, "arm.share_percent", Problem::Shares(total)))
        }
        _ => Ok(arms),
    }
}

fn check_unique<'a>(
    mut names: impl Iterator<Item = &'a Spanned<String>>,
    field: &'static str,
) -> FieldResult<()> {
    let mut seen = HashSet::new();
    match names.find(|name| !seen.insert(name.get_ref())) {
        Some(name) => Err(FieldError::new(name, field, Problem::Duplicate(name.get_ref().clone()))),
        None => Ok(()),
    }
}

fn validate_name(value: &Spanned<String>, field: &'static str) -> FieldResult<Arc<str>> {
    let text = value.get_ref();
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    match text.is_empty() || text.len() > MAX_NAME_CHARS || !text.chars().all(allowed) {
        true => Err(FieldError::new(value, field, Problem::Name(text.clone()))),
        false => Ok(text.as_str().into()),
    }
}

fn validate_text<'a>(value: &'a Spanned<String>, field: &'static str) -> FieldResult<&'a str> {
    match value.get_ref().as_str() {
        "" => Err(FieldError::new(value, field, Problem::Empty)),
        text => Ok(text),
    }
}

fn check_integer(
    value: &Spanned<u64>,
    field: &'static str,
    min: u64,
    max: u64,
) -> FieldResult<u64> {
    let number = *value.get_ref();
    if (min..=max).contains(&number) {
        return Ok(number);
    }
    let problem = Problem::Range { value: number as f64, min: min as f64, max: max as f64 };
    Err(FieldError::new(value, field, problem))
}

fn check_float(value: &Spanned<f64>, field: &'static str, min: f64, max: f64) -> FieldResult<f64> {
    let number = *value.get_ref();
    if (min..=max).contains(&number) {
        return Ok(number);
    }
    let problem = Problem::Range { value: number, min, max };
    Err(FieldError::new(value, field, problem))
}
