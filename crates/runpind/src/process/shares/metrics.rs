//! Metrics of shares.

use super::SharesStatus;
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};
use steering::shares::Resource;

/// Metrics of shares, labelled by the links and sites of the configuration.
pub(super) struct ShareMetrics {
    pub(super) spent: IntCounter,
    pub(super) refused: IntCounterVec,
    pub(super) grants: IntCounterVec,
    links: IntGaugeVec,
    sites: IntGaugeVec,
    epoch: IntGauge,
    remaining_ms: IntGauge,
    slot: IntGauge,
}

impl ShareMetrics {
    pub(super) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let spent = IntCounter::new("runpin_shares_spent_total", "Attempts that shares allowed.")?;
        let refused = IntCounterVec::new(
            Opts::new("runpin_shares_refused_total", "Attempts that shares refused, by cause."),
            &["cause"],
        )?;
        let grants = IntCounterVec::new(
            Opts::new("runpin_share_grants_total", "Grants issued, accepted and refused."),
            &["result"],
        )?;
        let links = IntGaugeVec::new(
            Opts::new("runpin_link_requests_per_second", "Cap, floor, grant and use of links."),
            &["to", "part"],
        )?;
        let sites = IntGaugeVec::new(
            Opts::new("runpin_site_slots", "Cap, floor, grant and use of sites."),
            &["service", "availability_zone", "part"],
        )?;
        let epoch = IntGauge::new("runpin_session_epoch", "Highest session epoch known.")?;
        let remaining_ms = IntGauge::new(
            "runpin_session_remaining_milliseconds",
            "How long this instance still holds the session; 0 where it does not.",
        )?;
        let slot = IntGauge::new("runpin_instance_slot", "Number of the slot; -1 for none.")?;
        registry.register(Box::new(spent.clone()))?;
        registry.register(Box::new(refused.clone()))?;
        registry.register(Box::new(grants.clone()))?;
        registry.register(Box::new(links.clone()))?;
        registry.register(Box::new(sites.clone()))?;
        registry.register(Box::new(epoch.clone()))?;
        registry.register(Box::new(remaining_ms.clone()))?;
        registry.register(Box::new(slot.clone()))?;
        Ok(Self { spent, refused, grants, links, sites, epoch, remaining_ms, slot })
    }

    /// Sets all gauges from the status.
    pub(super) fn set(&self, status: &SharesStatus) {
        let signed = |amount: u64| i64::try_from(amount).unwrap_or(i64::MAX);
        self.epoch.set(signed(status.session.epoch));
        self.remaining_ms.set(signed(status.session.remaining_ms));
        self.slot.set(status.slot.map_or(-1, i64::from));
        for share in &status.shares {
            let parts = [
                ("cap", share.cap),
                ("floor", share.floor),
                ("granted", share.granted),
                ("spent", share.used),
            ];
            for (part, amount) in parts {
                let gauge = match &share.resource {
                    Resource::Link { to } => self.links.with_label_values(&[&**to, part]),
                    Resource::Site { service, availability_zone } => {
                        self.sites.with_label_values(&[&**service, &**availability_zone, part])
                    }
                };
                gauge.set(signed(amount));
            }
        }
    }
}
