//! Acquires shares of a link and a site just before a request is sent.

use super::state::Exchange;
use crate::process::Process;
use configuration::SiteIndex;
use std::sync::Arc;
use steering::shares::{Permit, ShareRefusal};

/// The shares acquired for one attempt; the site's slot is released when this is dropped.
pub(super) struct Reservation {
    process: Arc<Process>,
    permit: Permit,
}

/// Number of a request's sites, best first, at which a refusal counts as unmet demand.
const DEMAND_SITES: usize = 2;

/// Acquires the shares that an attempt at a site needs.
///
/// `position` is the position of the site on the request's route, best first.
///
/// # Errors
///
/// Fails if the shares are used up; the refusal says when to retry.
pub(super) fn acquire(
    exchange: &Exchange,
    site: SiteIndex,
    position: usize,
) -> Result<Reservation, ShareRefusal> {
    let process = &exchange.process;
    let service = exchange.service();
    let zone = service.sites[site.get()].availability_zone;
    let to_zone = &exchange.version.configuration.availability_zones[zone.get()].name;
    let now = process.clock.now();
    let permit = process.shares.acquire(to_zone, &service.name, now).inspect_err(|_| {
        if position < DEMAND_SITES {
            process.shares.record_unmet_demand(to_zone, &service.name, now);
        }
    })?;
    Ok(Reservation { process: process.clone(), permit })
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.process.shares.release(&self.permit);
    }
}
