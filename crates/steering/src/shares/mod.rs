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
mod lapses;
mod refusal;
mod resource;
mod session;
mod site_split;
mod slots;
pub mod timing;
mod window;

pub use allocator::Allocator;
pub use grant::{Amounts, Ask, Grant, GrantRefusal};
pub use instance::{ShareStatus, Shares, Spent};
pub use lapses::Lapses;
pub use refusal::{RefusalCause, ShareRefusal};
pub use resource::{Cap, Plan, Resource};
pub use session::{Observed, Session, SessionRecord, SessionWrite};
pub use site_split::{SitePart, SiteShare, SiteSplit, SiteView, SiteWrite};
pub use slots::{Claim, HeldSlot, Reclaimer, Slot, SlotTable, WriteId};
pub use window::{SlidingWindow, WINDOW};
