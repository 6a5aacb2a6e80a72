//! What one instance may use: the floors of its numbered slot and its current grant.

use super::demand::{DecayingPeak, DecayingRate};
use super::slots::HeldSlot;
use super::timing::{FENCE_TIMEOUT, minus_drift};
use super::{
    AllocationRequest, Amounts, Cap, Grant, GrantRefusal, Plan, RefusalCause, Resource,
    ShareRefusal, SlidingWindow,
};
use crate::Time;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Factor from the rate of attempts on a link to the demand requested, so that the rate can grow.
const LINK_DEMAND_FACTOR: f64 = 1.25;

/// Peak number of slots in use at a site below which no slots are requested.
const MIN_SITE_LEVEL: f64 = 0.25;

/// Slots requested beyond the peak in use, per square root of the peak: bursts grow with the root.
const BURST_FACTOR: f64 = 2.0;

/// The shares of one instance.
#[derive(Debug, Default)]
pub struct Shares {
    entries: BTreeMap<Resource, Entry>,
    slot: Option<HeldSlot>,
    /// Time at which the last request answered by the platform or the session holder was sent.
    last_contact_at: Option<Time>,
    /// Time at which the last request answered by the session holder was sent.
    last_holder_contact_at: Option<Time>,
    epoch: u64,
    /// Number of the last request for grants.
    last_number: u64,
    /// Number of the request whose grant is held, or up to which grants were released.
    accepted_number: u64,
    grant_expires_at: Time,
}

/// This instance's share and use of one resource.
#[derive(Debug)]
struct Entry {
    cap: Cap,
    granted: u64,
    usage: Usage,
}

#[derive(Debug)]
enum Usage {
    Link { window: Box<SlidingWindow>, rate: DecayingRate },
    Site { in_use: u64, peak: DecayingPeak },
}

/// What was acquired for one exchange; must be released when the exchange ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The site whose slot is occupied; `None` if the site has no cap.
    site: Option<Resource>,
}

/// One share, for operators.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ShareStatus {
    /// The capped resource.
    pub resource: Resource,
    /// Requests per second or slots that the whole availability zone may use.
    pub cap: u64,
    /// The part that this instance may use without the session holder.
    pub floor: u64,
    /// The part currently granted by the session holder.
    pub granted: u64,
    /// Requests sent in the last second, or slots in use.
    #[serde(rename = "spent")]
    pub used: u64,
}

impl Shares {
    /// Adopts the caps of a configuration; current use stays counted.
    pub fn set_plan(&mut self, plan: &Plan) {
        self.entries.retain(|resource, _| plan.caps.contains_key(resource));
        for (resource, cap) in &plan.caps {
            let new = || Entry::new(resource, *cap);
            self.entries.entry(resource.clone()).or_insert_with(new).cap = *cap;
        }
    }

    /// Sets the numbered slot; `None` once it is lost.
    pub fn set_slot(&mut self, slot: Option<HeldSlot>) {
        self.slot = slot;
    }

    /// Returns the numbered slot, if any.
    pub fn slot(&self) -> Option<HeldSlot> {
        self.slot
    }

    /// Records that a request sent at `sent_at` was answered by the session holder, or by the
    /// platform with a slot table in which the slot is not being revoked.
    pub fn on_contact(&mut self, sent_at: Time) {
        self.last_contact_at = self.last_contact_at.max(Some(sent_at));
    }

    /// Records that the session holder answered a request sent at `sent_at` without a grant.
    pub fn on_holder_reply(&mut self, epoch: u64, sent_at: Time) {
        if epoch >= self.epoch {
            self.epoch = epoch;
            self.last_holder_contact_at = self.last_holder_contact_at.max(Some(sent_at));
            self.on_contact(sent_at);
        }
    }

    /// Records an epoch; grants of lower epochs are refused from now on.
    pub fn on_epoch(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Acquires one request on the link to `to` and one slot at the site of `service` there.
    ///
    /// Must be called with the current time, immediately before the request is dispatched.
    pub fn acquire(
        &mut self,
        to: &Arc<str>,
        service: &Arc<str>,
        now: Time,
    ) -> Result<Permit, ShareRefusal> {
        let site = Resource::Site { service: service.clone(), availability_zone: to.clone() };
        let link = Resource::Link { to: to.clone() };
        let site_allowance = self.allowance(&site, now);
        let link_allowance = self.allowance(&link, now);
        let slot_result = match self.entries.get_mut(&site) {
            Some(entry) => entry.acquire_slot(site_allowance, now).map(|()| Some(site.clone())),
            None => Ok(None),
        };
        let link_result = match self.entries.get_mut(&link) {
            Some(entry) => entry.acquire_request(link_allowance, now, slot_result.is_ok()),
            None => Err(ShareRefusal { cause: RefusalCause::NoShare, retry_at: None }),
        };
        match (slot_result, link_result) {
            (Ok(site), Ok(())) => Ok(Permit { site }),
            (Ok(site), Err(refusal)) => {
                self.release(&Permit { site });
                Err(refusal)
            }
            (Err(refusal), _) => Err(refusal),
        }
    }

    /// Counts a refused attempt as demand; for sites that the route would have preferred.
    pub fn record_unmet_demand(&mut self, to: &Arc<str>, service: &Arc<str>, now: Time) {
        let site = Resource::Site { service: service.clone(), availability_zone: to.clone() };
        for resource in [site, Resource::Link { to: to.clone() }] {
            match self.entries.get_mut(&resource).map(|entry| &mut entry.usage) {
                Some(Usage::Site { in_use, peak }) => peak.record(now, *in_use + 1),
                Some(Usage::Link { rate, .. }) => rate.record(now),
                None => {}
            }
        }
    }

    /// Releases the slot of an exchange that ended, complete or aborted.
    pub fn release(&mut self, permit: &Permit) {
        let entry = permit.site.as_ref().and_then(|site| self.entries.get_mut(site));
        if let Some(Entry { usage: Usage::Site { in_use, .. }, .. }) = entry {
            *in_use = in_use.saturating_sub(1);
        }
    }

    /// Returns the next request for grants.
    pub fn next_request(&mut self, now: Time) -> AllocationRequest {
        self.last_number += 1;
        let mut request = AllocationRequest {
            number: self.last_number,
            accepted_number: self.accepted_number,
            known_epoch: self.epoch,
            ..AllocationRequest::default()
        };
        for (resource, entry) in &self.entries {
            let floor = self.floor(entry, now);
            let (demand, in_use) = entry.demand_and_in_use(now);
            request.demand.insert(resource.clone(), demand.saturating_sub(floor));
            if !resource.is_link() {
                request.in_use.insert(resource.clone(), in_use.saturating_sub(floor));
            }
        }
        request
    }

    /// Replaces the current grant.
    ///
    /// `sent_at` is a time before the request was sent; the grant is valid from then on.
    pub fn on_grant(
        &mut self,
        grant: &Grant,
        sent_at: Time,
        now: Time,
    ) -> Result<(), GrantRefusal> {
        if grant.epoch < self.epoch {
            return Err(GrantRefusal::StaleEpoch { epoch: grant.epoch, known_epoch: self.epoch });
        }
        if grant.number <= self.accepted_number {
            let (number, accepted) = (grant.number, self.accepted_number);
            return Err(GrantRefusal::Superseded { number, accepted });
        }
        let expires_at = sent_at + minus_drift(grant.duration);
        if now >= expires_at {
            return Err(GrantRefusal::Expired);
        }
        self.epoch = grant.epoch;
        self.accepted_number = grant.number;
        self.grant_expires_at = expires_at;
        for (resource, entry) in &mut self.entries {
            entry.granted = grant.amounts.get(resource).copied().unwrap_or(0);
        }
        self.on_holder_reply(grant.epoch, sent_at);
        Ok(())
    }

    /// Releases all grants, including those in responses that have not arrived yet.
    ///
    /// Returns their epoch and the number of the last request.
    pub fn release_grants(&mut self) -> (u64, u64) {
        self.accepted_number = self.last_number;
        self.grant_expires_at = Time::default();
        (self.epoch, self.last_number)
    }

    /// Returns the amount of a resource that may be in use at `now`.
    pub fn allowance(&self, resource: &Resource, now: Time) -> u64 {
        let Some(entry) = self.entries.get(resource) else { return 0 };
        self.floor(entry, now) + self.granted(entry, now)
    }

    /// Returns the status of every share, for operators.
    pub fn status(&mut self, now: Time) -> Vec<ShareStatus> {
        let floors: Amounts = self
            .entries
            .iter()
            .map(|(resource, entry)| (resource.clone(), self.floor(entry, now)))
            .collect();
        let has_grant = now < self.grant_expires_at;
        let entries = self.entries.iter_mut();
        entries
            .map(|(resource, entry)| ShareStatus {
                cap: entry.cap.total,
                floor: floors.get(resource).copied().unwrap_or(0),
                granted: if has_grant { entry.granted } else { 0 },
                used: entry.used(now),
                resource: resource.clone(),
            })
            .collect()
    }

    /// Returns the time since sending the last request that the platform or the session holder
    /// answered, in milliseconds.
    pub fn contact_age_ms(&self, now: Time) -> Option<u64> {
        self.last_contact_at.map(|at| now.since(at).as_millis() as u64)
    }

    /// Returns the time since sending the last request that the session holder answered, in
    /// milliseconds.
    pub fn holder_age_ms(&self, now: Time) -> Option<u64> {
        self.last_holder_contact_at.map(|at| now.since(at).as_millis() as u64)
    }

    /// Returns whether slots at any site are currently granted.
    pub fn has_site_grants(&self, now: Time) -> bool {
        let mut sites = self.entries.iter().filter(|(resource, _)| !resource.is_link());
        now < self.grant_expires_at && sites.any(|(_, entry)| entry.granted > 0)
    }

    fn granted(&self, entry: &Entry, now: Time) -> u64 {
        if now < self.grant_expires_at { entry.granted } else { 0 }
    }

    /// Returns the floor of the numbered slot, or 0 while another instance may own that slot.
    fn floor(&self, entry: &Entry, now: Time) -> u64 {
        let in_contact =
            self.last_contact_at.is_some_and(|at| now < at + minus_drift(FENCE_TIMEOUT));
        match self.slot {
            Some(slot) if in_contact && now >= slot.usable_from => entry.cap.floor(slot.number),
            _ => 0,
        }
    }
}

impl Entry {
    fn new(resource: &Resource, cap: Cap) -> Self {
        let usage = if resource.is_link() {
            Usage::Link { window: Box::default(), rate: DecayingRate::default() }
        } else {
            Usage::Site { in_use: 0, peak: DecayingPeak::default() }
        };
        Self { cap, granted: 0, usage }
    }

    /// Occupies a slot of a site.
    fn acquire_slot(&mut self, allowance: u64, now: Time) -> Result<(), ShareRefusal> {
        let Usage::Site { in_use, peak } = &mut self.usage else { return Ok(()) };
        if *in_use < allowance {
            *in_use += 1;
            peak.record(now, *in_use);
            return Ok(());
        }
        let cause = if allowance == 0 { RefusalCause::NoShare } else { RefusalCause::Site };
        Err(ShareRefusal { cause, retry_at: None })
    }

    /// Acquires a request on a link, if the exchange has its slot.
    fn acquire_request(
        &mut self,
        allowance: u64,
        now: Time,
        has_slot: bool,
    ) -> Result<(), ShareRefusal> {
        let Usage::Link { window, rate } = &mut self.usage else { return Ok(()) };
        if !has_slot {
            return Ok(());
        }
        let cause = if allowance == 0 { RefusalCause::NoShare } else { RefusalCause::Link };
        window
            .try_acquire(now, 1, allowance)
            .map_err(|retry_at| ShareRefusal { cause, retry_at })?;
        rate.record(now);
        Ok(())
    }

    /// Returns the demand, and the slots in use of a site (0 for a link).
    fn demand_and_in_use(&self, now: Time) -> (u64, u64) {
        match &self.usage {
            Usage::Link { rate, .. } => ((rate.per_s(now) * LINK_DEMAND_FACTOR).ceil() as u64, 0),
            Usage::Site { in_use, peak } => {
                let level =
                    Some(peak.level(now)).filter(|level| *level > MIN_SITE_LEVEL).unwrap_or(0.0);
                let demand = (level + BURST_FACTOR * level.sqrt()).ceil() as u64;
                (demand.max(*in_use), *in_use)
            }
        }
    }

    fn used(&mut self, now: Time) -> u64 {
        match &mut self.usage {
            Usage::Link { window, .. } => window.used(now),
            Usage::Site { in_use, .. } => *in_use,
        }
    }
}
