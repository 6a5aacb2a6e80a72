//! The availability zone's shares of sites, which the session holder maintains in the platform.

use super::Coordination;
use super::coordination::{encode, expected_version, next_write_id, session_key};
use super::grants::request_grants;
use crate::process::Process;
use platform::{Object, StoreError, Version};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use steering::shares::{Cap, Resource, SiteShare, SiteSplit, SiteView, SiteWrite, ZoneSessions};

/// Interval between refreshes of the splits.
const REFRESH_PERIOD: Duration = Duration::from_millis(500);

/// Key prefix of all splits.
const KEY_PREFIX: &str = "runpin/sites/";

/// State that the session holder has read from the platform.
#[derive(Default)]
struct ReadState {
    /// Platform revision up to which changes of splits were read.
    revision: Version,
    lapses: ZoneSessions,
}

/// Keeps the shares of sites up to date until the task is dropped.
pub(super) async fn run(process: Arc<Process>) {
    let mut state = ReadState::default();
    loop {
        let run = process.shares.coordination.lock().session.lease_generation(process.clock.now());
        if run.is_some() {
            // The next period retries a failed refresh.
            let _ = refresh(&process, &mut state).await;
        }
        tokio::time::sleep(REFRESH_PERIOD).await;
    }
}

async fn refresh(process: &Process, state: &mut ReadState) -> Result<(), StoreError> {
    read_splits(process, state).await?;
    // Read after the splits: a share is only reclaimed by a write conditional on the split's
    // version that was read before.
    let lapsed = expired_zones(process, state).await?;
    let resources: Vec<Resource> = {
        let coordination = process.shares.coordination.lock();
        coordination.sites.keys().cloned().collect()
    };
    let mut written = false;
    for resource in resources {
        if let Some(write) = next_write(process, &resource, &lapsed) {
            written |= write_split(process, &resource, write).await;
        }
    }
    if written {
        request_grants(process).await;
    }
    Ok(())
}

/// Reads all splits if a site is new to this instance, and otherwise only the changed ones.
async fn read_splits(process: &Process, state: &mut ReadState) -> Result<(), StoreError> {
    let new: Vec<Resource> = {
        let mut coordination = process.shares.coordination.lock();
        let Coordination { plan, sites, .. } = &mut *coordination;
        sites.retain(|resource, _| plan.caps.contains_key(resource));
        let wanted = plan.caps.keys().filter(|resource| !resource.is_link());
        wanted.filter(|resource| !sites.contains_key(resource)).cloned().collect()
    };
    let batch = match new.is_empty() {
        true => process.store.watch(KEY_PREFIX, state.revision, Duration::ZERO).await?,
        false => process.store.list(KEY_PREFIX).await?,
    };
    state.revision = batch.revision;
    let mut coordination = process.shares.coordination.lock();
    for resource in &new {
        let zone = process.settings.availability_zone.clone();
        coordination.sites.insert(resource.clone(), SiteShare::new(zone));
    }
    apply_objects(&mut coordination, batch.changed);
    for resource in &new {
        if let Some(site) = coordination.sites.get_mut(resource) {
            site.on_read(None);
        }
    }
    Ok(())
}

fn apply_objects(coordination: &mut Coordination, objects: Vec<Object>) {
    let objects: HashMap<Arc<str>, Object> =
        objects.into_iter().map(|object| (object.key.clone(), object)).collect();
    for (resource, site) in &mut coordination.sites {
        let Some(object) = objects.get(&*split_key(resource)) else { continue };
        match serde_json::from_slice::<SiteSplit>(&object.value) {
            Ok(split) => site.on_read(Some((object.version.0, split))),
            Err(error) => log::warn!("failed to parse object {}: {error}", object.key),
        }
    }
}

/// Returns the zones whose shares may be reclaimed; checks only sites at which this zone has unmet
/// demand.
async fn expired_zones(
    process: &Process,
    state: &mut ReadState,
) -> Result<BTreeSet<Arc<str>>, StoreError> {
    let zones: BTreeSet<Arc<str>> = {
        let coordination = process.shares.coordination.lock();
        let constrained = coordination.sites.values().filter(|site| site.has_unmet_demand());
        constrained.flat_map(|site| site.other_zones().cloned()).collect()
    };
    let mut lapsed = BTreeSet::new();
    for zone in zones {
        let object = process.store.get(&session_key(&zone)).await?;
        let now = process.clock.now();
        let version = object.map(|object| object.version.0);
        state.lapses.on_read(zone.clone(), version, now);
        if state.lapses.has_expired(&zone, now) {
            lapsed.insert(zone);
        }
    }
    Ok(lapsed)
}

fn next_write(
    process: &Process,
    resource: &Resource,
    lapsed: &BTreeSet<Arc<str>>,
) -> Option<SiteWrite> {
    let write_id = next_write_id(process);
    let zones = process.version.load().as_ref()?.configuration.availability_zones.len();
    let now = process.clock.now();
    let mut coordination = process.shares.coordination.lock();
    let run = coordination.session.lease_generation(now)?;
    let cap = *coordination.plan.caps.get(resource)?;
    let Coordination { allocator, sites, .. } = &mut *coordination;
    let allocator = allocator.as_ref()?;
    let view = SiteView {
        lease_generation: run,
        remainder: cap.remainder(),
        baseline: baseline(&cap, zones),
        demand: allocator.demand(resource, now),
        max_in_use: allocator.sites_open(now).then(|| allocator.max_in_use(resource, now)),
        expired_zones: lapsed,
    };
    sites.get_mut(resource)?.next_write(&view, write_id)
}

/// Returns the zone's share of a site while no zone has unmet demand: half of the slots is divided
/// evenly among the other zones, rounded down, and the site's own zone has the rest.
fn baseline(cap: &Cap, zones: usize) -> u64 {
    let others = (zones as u64).saturating_sub(1);
    let zone_share = (cap.remainder() / 2).checked_div(others).unwrap_or(0);
    if cap.is_own_zone { cap.remainder() - zone_share * others } else { zone_share }
}

/// Writes a split; returns true if the write is confirmed.
async fn write_split(process: &Process, resource: &Resource, write: SiteWrite) -> bool {
    let key = split_key(resource);
    let value = encode(&write.split);
    let sent = process.store.put(&key, value, expected_version(write.expected.map(Version))).await;
    // After any failure, the next read shows the current object.
    let Ok(version) = sent else { return false };
    if let Some(site) = process.shares.coordination.lock().sites.get_mut(resource) {
        site.on_written(write, version.0);
    }
    true
}

fn split_key(resource: &Resource) -> String {
    match resource {
        Resource::Link { to } => format!("{KEY_PREFIX}{to}"),
        Resource::Site { service, availability_zone } => {
            format!("{KEY_PREFIX}{service}/{availability_zone}")
        }
    }
}
