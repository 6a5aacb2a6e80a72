//! The availability zone's parts of sites, as the session holder keeps them in the platform.

use super::Coordination;
use super::coordination::{encode, expected, next_write_id, session_key};
use super::grants::ask;
use crate::process::Process;
use platform::{Object, StoreError, Version};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use steering::shares::{Cap, Resource, SiteShare, SiteSplit, SiteView, SiteWrite, ZoneSessions};

/// Time between two looks at the splits.
const PERIOD: Duration = Duration::from_millis(500);

/// Prefix of all splits.
const PREFIX: &str = "runpin/sites/";

/// What this instance saw in the platform, as the session holder.
#[derive(Default)]
struct Seen {
    /// Revision up to which changes of splits were read.
    revision: Version,
    lapses: ZoneSessions,
}

/// Keeps the parts up to date until the task is dropped.
pub(super) async fn run(process: Arc<Process>) {
    let mut seen = Seen::default();
    loop {
        let run = process.shares.coordination.lock().session.lease_generation(process.clock.now());
        if run.is_some() {
            // What failed is tried again the next time.
            let _ = refresh(&process, &mut seen).await;
        }
        tokio::time::sleep(PERIOD).await;
    }
}

async fn refresh(process: &Process, seen: &mut Seen) -> Result<(), StoreError> {
    read_splits(process, seen).await?;
    // After the splits: a part is taken back only from the version that was read before.
    let lapsed = lapsed_zones(process, seen).await?;
    let resources: Vec<Resource> = {
        let coordination = process.shares.coordination.lock();
        coordination.sites.keys().cloned().collect()
    };
    let mut written = false;
    for resource in resources {
        if let Some(write) = next_write(process, &resource, &lapsed) {
            written |= send(process, &resource, write).await;
        }
    }
    if written {
        ask(process).await;
    }
    Ok(())
}

/// Reads all splits when a site is new to this instance, and else only what changed.
async fn read_splits(process: &Process, seen: &mut Seen) -> Result<(), StoreError> {
    let new: Vec<Resource> = {
        let mut coordination = process.shares.coordination.lock();
        let Coordination { plan, sites, .. } = &mut *coordination;
        sites.retain(|resource, _| plan.caps.contains_key(resource));
        let wanted = plan.caps.keys().filter(|resource| !resource.is_link());
        wanted.filter(|resource| !sites.contains_key(resource)).cloned().collect()
    };
    let batch = match new.is_empty() {
        true => process.store.watch(PREFIX, seen.revision, Duration::ZERO).await?,
        false => process.store.list(PREFIX).await?,
    };
    seen.revision = batch.revision;
    let mut coordination = process.shares.coordination.lock();
    for resource in &new {
        let zone = process.settings.availability_zone.clone();
        coordination.sites.insert(resource.clone(), SiteShare::new(zone));
    }
    take_in(&mut coordination, batch.changed);
    for resource in &new {
        if let Some(site) = coordination.sites.get_mut(resource) {
            site.on_read(None);
        }
    }
    Ok(())
}

fn take_in(coordination: &mut Coordination, objects: Vec<Object>) {
    let objects: HashMap<Arc<str>, Object> =
        objects.into_iter().map(|object| (object.key.clone(), object)).collect();
    for (resource, site) in &mut coordination.sites {
        let Some(object) = objects.get(&*key_of(resource)) else { continue };
        match serde_json::from_slice::<SiteSplit>(&object.value) {
            Ok(split) => site.on_read(Some((object.version.0, split))),
            Err(error) => log::warn!("the object {} is not understood: {error}", object.key),
        }
    }
}

/// Returns the zones whose parts may be taken back, looking only where this zone lacks slots.
async fn lapsed_zones(
    process: &Process,
    seen: &mut Seen,
) -> Result<BTreeSet<Arc<str>>, StoreError> {
    let zones: BTreeSet<Arc<str>> = {
        let coordination = process.shares.coordination.lock();
        let short = coordination.sites.values().filter(|site| site.has_unmet_demand());
        short.flat_map(|site| site.other_zones().cloned()).collect()
    };
    let mut lapsed = BTreeSet::new();
    for zone in zones {
        let object = process.store.get(&session_key(&zone)).await?;
        let now = process.clock.now();
        let version = object.map(|object| object.version.0);
        seen.lapses.on_read(zone.clone(), version, now);
        if seen.lapses.has_expired(&zone, now) {
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
        baseline: base(&cap, zones),
        demand: allocator.demand(resource, now),
        max_in_use: allocator.sites_open(now).then(|| allocator.max_in_use(resource, now)),
        expired_zones: lapsed,
    };
    sites.get_mut(resource)?.next_write(&view, write_id)
}

/// Returns what a zone has while none lacks slots: half is divided evenly among the other zones, as
/// far as it divides, and the site's own zone has all else.
fn base(cap: &Cap, zones: usize) -> u64 {
    let others = (zones as u64).saturating_sub(1);
    let part = (cap.remainder() / 2).checked_div(others).unwrap_or(0);
    if cap.is_own_zone { cap.remainder() - part * others } else { part }
}

/// Sends a write; true if it took effect.
async fn send(process: &Process, resource: &Resource, write: SiteWrite) -> bool {
    let key = key_of(resource);
    let value = encode(&write.split);
    let sent = process.store.put(&key, value, expected(write.expected.map(Version))).await;
    // After any failure, the next read tells what the object is.
    let Ok(version) = sent else { return false };
    if let Some(site) = process.shares.coordination.lock().sites.get_mut(resource) {
        site.on_written(write, version.0);
    }
    true
}

fn key_of(resource: &Resource) -> String {
    match resource {
        Resource::Link { to } => format!("{PREFIX}{to}"),
        Resource::Site { service, availability_zone } => {
            format!("{PREFIX}{service}/{availability_zone}")
        }
    }
}
