//! Spending the shares of a link and a site just before a request is sent.

use super::state::Exchange;
use crate::process::Process;
use configuration::SiteIndex;
use std::sync::Arc;
use steering::shares::{ShareRefusal, Spent};

/// What was spent for one attempt: the site's slot is given back when the exchange ends.
pub(super) struct Reservation {
    process: Arc<Process>,
    spent: Spent,
}

/// Number of a request's sites, best first, at which a refusal counts as demand.
const WANTED_SITES: usize = 2;

/// Spends what an attempt at a site needs; the refusal says when to come back.
///
/// `position` is that of the site on the request's route.
pub(super) fn take(
    exchange: &Exchange,
    site: SiteIndex,
    position: usize,
) -> Result<Reservation, ShareRefusal> {
    let process = &exchange.process;
    let service = exchange.service();
    let zone = service.sites[site.get()].availability_zone;
    let to = &exchange.version.configuration.availability_zones[zone.get()].name;
    let now = process.clock.now();
    let spent = process.shares.acquire(to, &service.name, now).inspect_err(|_| {
        if position < WANTED_SITES {
            process.shares.record_unmet_demand(to, &service.name, now);
        }
    })?;
    Ok(Reservation { process: process.clone(), spent })
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.process.shares.release(&self.spent);
    }
}
