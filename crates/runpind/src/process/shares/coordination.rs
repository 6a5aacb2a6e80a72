//! Maintains this instance's numbered slot and the availability zone's session in the platform.

use super::Coordination;
use super::grants::{call, endpoint_of, request_grants};
use crate::process::Process;
use bytes::Bytes;
use peer::Request;
use peer::message::ReleaseRequest;
use platform::{Expected, StoreError, Version, WriteOutcome, write_confirmed};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::shares::timing::RENEWAL_PERIOD;
use steering::shares::{SessionRecord, SessionWrite, SlotTable, WriteId};

/// Interval between checks for due refreshes.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Interval between reads while this instance has a slot and contact with the session holder.
const IDLE_READ_PERIOD: Duration = Duration::from_secs(30);

/// Interval between reads while there is no slot or no contact with a session holder.
const URGENT_READ_PERIOD: Duration = Duration::from_secs(1);

/// Interval between reads of the slots by the session holder.
const HOLDER_READ_PERIOD: Duration = Duration::from_secs(5);

/// Maximum attempts at a conditional write of the slots per refresh.
const CLAIM_ATTEMPTS: usize = 5;

/// Age of the last contact from which the session holder counts as unreachable, in milliseconds.
const CONTACT_AGE_LIMIT_MS: u64 = 2_000;

/// Times of the last refresh of each object.
#[derive(Default)]
struct LastRefreshes {
    slots: Option<Time>,
    session: Option<Time>,
}

/// Keeps the slot and the session up to date until the task is dropped.
pub async fn run(process: Arc<Process>) {
    let mut last = LastRefreshes::default();
    loop {
        if process.shares.adopt_plan(process.version.load().as_deref(), process.clock.now()) {
            refresh_due(&process, &mut last).await;
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

async fn refresh_due(process: &Process, last: &mut LastRefreshes) {
    let now = process.clock.now();
    if is_due(now, last.slots, slots_period(process, now)) {
        last.slots = Some(now);
        refresh_slots(process).await;
    }
    let now = process.clock.now();
    if is_due(now, last.session, session_period(process, now)) {
        last.session = Some(now);
        refresh_session(process).await;
    }
}

fn is_due(now: Time, last: Option<Time>, period: Duration) -> bool {
    last.is_none_or(|last| now.since(last) >= period)
}

fn slots_period(process: &Process, now: Time) -> Duration {
    let has_slot = process.shares.shares.lock().slot().is_some();
    let holds = process.shares.coordination.lock().session.held_epoch(now).is_some();
    match (has_slot, holds) {
        (false, _) => URGENT_READ_PERIOD,
        (true, true) => HOLDER_READ_PERIOD,
        (true, false) => IDLE_READ_PERIOD,
    }
}

fn session_period(process: &Process, now: Time) -> Duration {
    if process.shares.coordination.lock().session.held_epoch(now).is_some() {
        return RENEWAL_PERIOD;
    }
    let age_ms = process.shares.shares.lock().holder_age_ms(now);
    match age_ms {
        Some(age_ms) if age_ms < CONTACT_AGE_LIMIT_MS => IDLE_READ_PERIOD,
        _ => URGENT_READ_PERIOD,
    }
}

fn slots_key(process: &Process) -> String {
    format!("runpin/zones/{}/slots", process.settings.availability_zone)
}

/// Returns the key of an availability zone's session.
pub(super) fn session_key(availability_zone: &str) -> String {
    format!("runpin/zones/{availability_zone}/session")
}

/// Reads the slot table and applies the change that is due: a claim, confirmation or reclamation.
async fn refresh_slots(process: &Process) {
    for _ in 0..CLAIM_ATTEMPTS {
        let sent_at = process.clock.now();
        let Ok((version, table)) = read_object::<SlotTable>(process, &slots_key(process)).await
        else {
            return;
        };
        let mut table = table.unwrap_or_default();
        let Some(change) = change_slots(process, &mut table, sent_at) else {
            process.shares.coordination.lock().table = version.map(|version| (version, table));
            return;
        };
        match write_slots(process, &mut table, version).await {
            Ok(WriteOutcome::Written(version)) => {
                let now = process.clock.now();
                if let Change::Claimed(claim) = change {
                    log::info!("claimed slot {}", claim.number);
                    process.shares.shares.lock().set_slot(Some(claim.into_held_slot(now)));
                }
                process.shares.shares.lock().on_contact(sent_at);
                process.shares.coordination.lock().table = Some((version, table));
                return;
            }
            Ok(WriteOutcome::Conflict { .. }) => {}
            Err(_) => return,
        }
    }
}

/// Kind of a change of the slot table.
enum Change {
    /// This instance claims a slot.
    Claimed(steering::shares::Claim),
    /// Any other change.
    Maintenance,
}

/// Applies the due change to the slot table; `None` if there is none.
fn change_slots(process: &Process, table: &mut SlotTable, sent_at: Time) -> Option<Change> {
    let own_incarnation = process.incarnation;
    let mut coordination = process.shares.coordination.lock();
    let mut shares = process.shares.shares.lock();
    let now = process.clock.now();
    table.grow(coordination.plan.instance_slots);
    match table.slot_of(own_incarnation) {
        Some((number, false)) => {
            shares.on_contact(sent_at);
            if shares.slot().is_none_or(|slot| slot.number != number) {
                let claim = steering::shares::Claim { number, used_before: true };
                shares.set_slot(Some(claim.into_held_slot(now)));
            }
        }
        Some((_, true)) => {
            table.set_revoking(own_incarnation, false);
            return Some(Change::Maintenance);
        }
        None => {
            if shares.slot().is_some() {
                log::warn!("slot of this instance was reclaimed");
                shares.set_slot(None);
            }
            if !process.is_draining()
                && let Some(claim) = table.claim(own_incarnation, &process.settings.name)
            {
                return Some(Change::Claimed(claim));
            }
        }
    }
    drop(shares);
    reclaim_slots(process, &mut coordination, table, now).then_some(Change::Maintenance)
}

/// As the session holder, reclaims slots of instances that are gone; returns whether the table
/// changed.
fn reclaim_slots(
    process: &Process,
    coordination: &mut Coordination,
    table: &mut SlotTable,
    now: Time,
) -> bool {
    let members = process.members.load();
    let Some(members) = members.as_ref().filter(|_| coordination.session.held_epoch(now).is_some())
    else {
        return false;
    };
    let is_listed = |name: &str| members.members.iter().any(|member| &*member.name == name);
    let Coordination { reclaimer, contacts, allocator, .. } = coordination;
    if let Some(allocator) = allocator.as_mut().filter(|_| table.has_free_slot()) {
        allocator.open_sites_if_all_reported(table.owners().map(|(owner, _)| owner), now);
    }
    reclaimer.reclaim_slots(table, now, is_listed, |owner| contacts.get(&owner).copied())
}

async fn write_slots(
    process: &Process,
    table: &mut SlotTable,
    version: Option<Version>,
) -> Result<WriteOutcome, StoreError> {
    table.write = next_write_id(process);
    write_confirmed(&*process.store, &slots_key(process), encode(table), expected_version(version))
        .await
}

pub(super) fn next_write_id(process: &Process) -> WriteId {
    let mut coordination = process.shares.coordination.lock();
    coordination.writes += 1;
    WriteId { writer: process.incarnation.0, number: coordination.writes }
}

/// Renews the session if it is held; otherwise reads it, and claims it if that is due.
async fn refresh_session(process: &Process) {
    let held = process.shares.coordination.lock().session.held_epoch(process.clock.now()).is_some();
    if !held && read_session(process).await.is_err() {
        return;
    }
    let Some(write) = due_session_write(process) else { return };
    if write_session(process, write).await {
        request_grants(process).await;
    } else {
        // The read resolves a write whose response was lost, or shows the concurrent writer.
        let _ = read_session(process).await;
    }
}

async fn read_session(process: &Process) -> Result<(), StoreError> {
    let (version, record) =
        read_object::<SessionRecord>(process, &session_key(&process.settings.availability_zone))
            .await?;
    let now = process.clock.now();
    let mut coordination = process.shares.coordination.lock();
    coordination.session.on_read(now, version.map(|version| version.0), record);
    process.shares.shares.lock().on_epoch(coordination.session.known_epoch());
    Ok(())
}

fn due_session_write(process: &Process) -> Option<SessionWrite> {
    let mut coordination = process.shares.coordination.lock();
    let Coordination { session, table, .. } = &mut *coordination;
    let (_, table) = table.as_ref()?;
    let electors: BTreeSet<Arc<str>> = table.owners().map(|(_, name)| name.clone()).collect();
    let now = process.clock.now();
    // An instance that drains or has no slot may not claim the session, but may renew a held one.
    let can_claim = !process.is_draining() && table.slot_of(process.incarnation).is_some();
    if !can_claim && session.held_epoch(now).is_none() {
        return None;
    }
    session.next_write(now, &electors)
}

/// Writes the session; returns true if the write is confirmed.
async fn write_session(process: &Process, write: SessionWrite) -> bool {
    let key = session_key(&process.settings.availability_zone);
    let value = encode(&write.record);
    let written =
        process.store.put(&key, value, expected_version(write.expected.map(Version))).await;
    let now = process.clock.now();
    let mut coordination = process.shares.coordination.lock();
    let session = &mut coordination.session;
    let held_before = session.held_epoch(now);
    match &written {
        Ok(version) => session.on_written(now, version.0),
        Err(StoreError::Unavailable(_) | StoreError::TooLarge { .. }) => session.on_not_sent(),
        // The write may have taken effect or may still do so; the next read resolves it.
        Err(_) => {}
    }
    if session.held_epoch(now).is_some() && session.held_epoch(now) != held_before {
        log::info!("acquired session epoch {}", session.known_epoch());
    }
    process.shares.shares.lock().on_epoch(session.known_epoch());
    written.is_ok()
}

/// Releases the grants, the slot and the session at the end of a planned stop.
pub async fn release(process: &Process) {
    release_grants(process).await;
    for _ in 0..CLAIM_ATTEMPTS {
        let Ok((version, Some(mut table))) =
            read_object::<SlotTable>(process, &slots_key(process)).await
        else {
            break;
        };
        process.shares.shares.lock().set_slot(None);
        if !table.release(process.incarnation) {
            break;
        }
        if matches!(
            write_slots(process, &mut table, version).await,
            Ok(WriteOutcome::Written(_)) | Err(_)
        ) {
            break;
        }
    }
    let write = process.shares.coordination.lock().session.release(process.clock.now());
    if let Some(write) = write {
        write_session(process, write).await;
    }
}

async fn release_grants(process: &Process) {
    let (epoch, number) = process.shares.shares.lock().release_grants();
    let holder = process.shares.coordination.lock().session.holder_name().cloned();
    if let Some(endpoint) = holder.and_then(|name| endpoint_of(process, &name)) {
        // If the message is lost, the grants are only released when they expire.
        let _ = call(process, &endpoint, Request::Release(ReleaseRequest { epoch, number })).await;
    }
}

/// Reads and parses a JSON object; a parse failure is returned as [`StoreError::Protocol`].
async fn read_object<T: DeserializeOwned>(
    process: &Process,
    key: &str,
) -> Result<(Option<Version>, Option<T>), StoreError> {
    let Some(object) = process.store.get(key).await? else { return Ok((None, None)) };
    let value = serde_json::from_slice(&object.value).map_err(|error| {
        log::warn!("failed to parse object {key}: {error}");
        StoreError::Protocol { status: 200 }
    })?;
    Ok((Some(object.version), Some(value)))
}

pub(super) fn encode<T: Serialize>(value: &T) -> Bytes {
    // Serialization can't fail, as these types only have maps with string keys.
    serde_json::to_vec(value).unwrap_or_default().into()
}

pub(super) fn expected_version(version: Option<Version>) -> Expected {
    version.map_or(Expected::Absent, Expected::Version)
}
