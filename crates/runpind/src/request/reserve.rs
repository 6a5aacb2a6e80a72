//! Spending the shares of a link and a site just before a request is sent.

use super::forward::Exchange;
use configuration::SiteIndex;

/// What was spent for one attempt: the site's slot is given back when the exchange ends.
pub(super) struct Reservation;

/// Spends what an attempt at a site needs; `None` when a share does not allow it now.
pub(super) fn take(exchange: &Exchange, site: SiteIndex) -> Option<Reservation> {
    exchange.service().sites.get(site.get())?;
    Some(Reservation)
}
