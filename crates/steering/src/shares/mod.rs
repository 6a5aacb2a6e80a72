//! Shares of what is capped: requests a second on links, and slots at sites.
//!
//! A share is spent before a request is dispatched, so that a figure that lags can cost throughput
//! but never break a cap.  Every part of a cap is in one hand only:
//!
//! - a *floor* belongs to a numbered slot ([`SlotTable`]) of an availability zone, and goes on
//!   while neither the platform nor any other instance can be reached;
//! - the rest is divided by the holder of the zone's [`Session`], as grants that last seconds
//!   ([`Allocator`]); of a site, that rest is first split between zones ([`SiteSplit`]).
//!
//! [`Shares`] is what one instance may spend of both.

mod allocator;
mod apportion;
mod demand;
mod grant;
mod instance;
mod refusal;
mod resource;
mod session;
mod site_split;
mod slots;
pub mod timing;
mod window;
mod zone_sessions;

pub use allocator::Allocator;
pub use grant::{AllocationRequest, Amounts, Grant, GrantRefusal};
pub use instance::{Permit, ShareStatus, Shares};
pub use refusal::{RefusalCause, ShareRefusal};
pub use resource::{Cap, Plan, Resource};
pub use session::{ObservedRecord, Session, SessionRecord, SessionWrite};
pub use site_split::{SitePart, SiteShare, SiteSplit, SiteView, SiteWrite};
pub use slots::{Claim, HeldSlot, Reclaimer, Slot, SlotTable, WriteId};
pub use window::{SlidingWindow, WINDOW};
pub use zone_sessions::ZoneSessions;
