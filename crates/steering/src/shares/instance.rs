//! What one instance may spend: the floors of its numbered slot and what it was granted.

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

/// Part by which more is asked for on links than was attempted, so that growth finds room.
const HEADROOM: f64 = 1.25;

/// Level of use of a site below which nothing is asked for.
const NO_USE: f64 = 0.25;

/// Slots asked for beyond the level of use, per root of that level: bursts grow with the root.
const BURST_FACTOR: f64 = 2.0;

/// The shares of one instance.
#[derive(Debug, Default)]
pub struct Shares {
    entries: BTreeMap<Resource, Entry>,
    slot: Option<HeldSlot>,
    /// When the last request that the platform or the session holder answered was sent.
    contact_at: Option<Time>,
    /// When the last request that the session holder answered was sent.
    holder_at: Option<Time>,
    epoch: u64,
    last_number: u64,
    accepted_number: u64,
    grant_ends: Time,
}

/// One resource, as this instance uses it.
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

/// What was spent for one exchange; the site's slot must be given back when it ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The site whose slot was taken; `None` where the site has no cap.
    site: Option<Resource>,
}

/// One share, for operators.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ShareStatus {
    /// What is capped.
    pub resource: Resource,
    /// Requests a second or slots that the whole availability zone may use.
    pub cap: u64,
    /// The part that this instance keeps without the session holder.
    pub floor: u64,
    /// The part granted now by the session holder.
    pub granted: u64,
    /// Requests spent in the last second, or slots in use.
    pub spent: u64,
}

impl Shares {
    /// Adopts the caps of a configuration; what is in use stays counted.
    pub fn set_plan(&mut self, plan: &Plan) {
        self.entries.retain(|resource, _| plan.caps.contains_key(resource));
        for (resource, cap) in &plan.caps {
            let new = || Entry::new(resource, *cap);
            self.entries.entry(resource.clone()).or_insert_with(new).cap = *cap;
        }
    }

    /// Takes up or loses the numbered slot.
    pub fn set_slot(&mut self, slot: Option<HeldSlot>) {
        self.slot = slot;
    }

    /// Returns the numbered slot.
    pub fn slot(&self) -> Option<HeldSlot> {
        self.slot
    }

    /// Takes in that a request sent at `sent_at` was answered by the platform, which shows the slot
    /// as not being revoked, or by the session holder.
    pub fn on_contact(&mut self, sent_at: Time) {
        self.contact_at = self.contact_at.max(Some(sent_at));
    }

    /// Takes in that the session holder answered a request sent at `sent_at`, without a grant.
    pub fn on_holder_reply(&mut self, epoch: u64, sent_at: Time) {
        if epoch >= self.epoch {
            self.epoch = epoch;
            self.holder_at = self.holder_at.max(Some(sent_at));
            self.on_contact(sent_at);
        }
    }

    /// Learns of an epoch; grants of lower ones are refused from now on.
    pub fn on_epoch(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Spends one request on the link to `to` and one slot at the site of `service` there.
    ///
    /// Call it right before the request is dispatched, with the time then.
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
        let occupied = match self.entries.get_mut(&site) {
            Some(entry) => entry.occupy(site_allowance, now).map(|()| Some(site.clone())),
            None => Ok(None),
        };
        let counted = match self.entries.get_mut(&link) {
            Some(entry) => entry.count(link_allowance, now, occupied.is_ok()),
            None => Err(ShareRefusal { cause: RefusalCause::NoShare, retry_at: None }),
        };
        match (occupied, counted) {
            (Ok(site), Ok(())) => Ok(Permit { site }),
            (Ok(site), Err(refusal)) => {
                self.release(&Permit { site });
                Err(refusal)
            }
            (Err(refusal), _) => Err(refusal),
        }
    }

    /// Counts an attempt that was refused as demand, where the route would rather have had it run.
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

    /// Gives back the slot of an exchange that ended, whole or cut.
    pub fn release(&mut self, spent: &Permit) {
        let entry = spent.site.as_ref().and_then(|site| self.entries.get_mut(site));
        if let Some(Entry { usage: Usage::Site { in_use, .. }, .. }) = entry {
            *in_use = in_use.saturating_sub(1);
        }
    }

    /// Returns the next request for grants.
    pub fn next_request(&mut self, now: Time) -> AllocationRequest {
        self.last_number += 1;
        let mut ask = AllocationRequest {
            number: self.last_number,
            accepted_number: self.accepted_number,
            known_epoch: self.epoch,
            ..AllocationRequest::default()
        };
        for (resource, entry) in &self.entries {
            let floor = self.floor(entry, now);
            let (wanted, in_use) = entry.wanted(now);
            ask.demand.insert(resource.clone(), wanted.saturating_sub(floor));
            if !resource.is_link() {
                ask.in_use.insert(resource.clone(), in_use.saturating_sub(floor));
            }
        }
        ask
    }

    /// Takes up a grant in place of the last one.
    ///
    /// `sent_at` is the time before the request for it was sent, from which it lasts.
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
        let ends = sent_at + minus_drift(grant.duration);
        if now >= ends {
            return Err(GrantRefusal::Expired);
        }
        self.epoch = grant.epoch;
        self.accepted_number = grant.number;
        self.grant_ends = ends;
        for (resource, entry) in &mut self.entries {
            entry.granted = grant.amounts.get(resource).copied().unwrap_or(0);
        }
        self.on_holder_reply(grant.epoch, sent_at);
        Ok(())
    }

    /// Gives back all grants, answers that are still on their way included.
    ///
    /// Returns their epoch and the number of the last request.
    pub fn release_grants(&mut self) -> (u64, u64) {
        self.accepted_number = self.last_number;
        self.grant_ends = Time::default();
        (self.epoch, self.last_number)
    }

    /// Returns what may be spent of a resource now.
    pub fn allowance(&self, resource: &Resource, now: Time) -> u64 {
        let Some(entry) = self.entries.get(resource) else { return 0 };
        self.floor(entry, now) + self.granted(entry, now)
    }

    /// Returns every share, for operators.
    pub fn status(&mut self, now: Time) -> Vec<ShareStatus> {
        let floors: Amounts = self
            .entries
            .iter()
            .map(|(resource, entry)| (resource.clone(), self.floor(entry, now)))
            .collect();
        let granted_now = now < self.grant_ends;
        let entries = self.entries.iter_mut();
        entries
            .map(|(resource, entry)| ShareStatus {
                cap: entry.cap.total,
                floor: floors.get(resource).copied().unwrap_or(0),
                granted: if granted_now { entry.granted } else { 0 },
                spent: entry.spent(now),
                resource: resource.clone(),
            })
            .collect()
    }

    /// Returns how long ago the platform or the session holder last answered, in milliseconds.
    pub fn contact_age_ms(&self, now: Time) -> Option<u64> {
        self.contact_at.map(|at| now.since(at).as_millis() as u64)
    }

    /// Returns how long ago the session holder last answered, in milliseconds.
    pub fn holder_age_ms(&self, now: Time) -> Option<u64> {
        self.holder_at.map(|at| now.since(at).as_millis() as u64)
    }

    /// Tells whether slots at any site are granted now.
    pub fn has_site_grants(&self, now: Time) -> bool {
        let mut sites = self.entries.iter().filter(|(resource, _)| !resource.is_link());
        now < self.grant_ends && sites.any(|(_, entry)| entry.granted > 0)
    }

    fn granted(&self, entry: &Entry, now: Time) -> u64 {
        if now < self.grant_ends { entry.granted } else { 0 }
    }

    /// Returns the floor of the slot, none while the slot could be somebody else's.
    fn floor(&self, entry: &Entry, now: Time) -> u64 {
        let in_contact = self.contact_at.is_some_and(|at| now < at + minus_drift(FENCE_TIMEOUT));
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

    /// Takes a slot of a site.
    fn occupy(&mut self, allowance: u64, now: Time) -> Result<(), ShareRefusal> {
        let Usage::Site { in_use, peak } = &mut self.usage else { return Ok(()) };
        if *in_use < allowance {
            *in_use += 1;
            peak.record(now, *in_use);
            return Ok(());
        }
        let cause = if allowance == 0 { RefusalCause::NoShare } else { RefusalCause::Site };
        Err(ShareRefusal { cause, retry_at: None })
    }

    /// Counts a request on a link, and spends it where `spend` is set.
    fn count(&mut self, allowance: u64, now: Time, spend: bool) -> Result<(), ShareRefusal> {
        let Usage::Link { window, rate } = &mut self.usage else { return Ok(()) };
        if !spend {
            return Ok(());
        }
        let cause = if allowance == 0 { RefusalCause::NoShare } else { RefusalCause::Link };
        window
            .try_acquire(now, 1, allowance)
            .map_err(|retry_at| ShareRefusal { cause, retry_at })?;
        rate.record(now);
        Ok(())
    }

    /// Returns what the instance would use, and what is in use of a site.
    fn wanted(&self, now: Time) -> (u64, u64) {
        match &self.usage {
            Usage::Link { rate, .. } => ((rate.per_s(now) * HEADROOM).ceil() as u64, 0),
            Usage::Site { in_use, peak } => {
                let level = Some(peak.level(now)).filter(|level| *level > NO_USE).unwrap_or(0.0);
                let wanted = (level + BURST_FACTOR * level.sqrt()).ceil() as u64;
                (wanted.max(*in_use), *in_use)
            }
        }
    }

    fn spent(&mut self, now: Time) -> u64 {
        match &mut self.usage {
            Usage::Link { window, .. } => window.used(now),
            Usage::Site { in_use, .. } => *in_use,
        }
    }
}
