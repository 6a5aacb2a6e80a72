//! Shares of capped resources: requests per second on links, and slots at sites.
//!
//! An instance acquires from its share before it dispatches a request, so stale state can cost
//! throughput but can't break a cap.  Each part of a cap is controlled by exactly one party:
//!
//! - a *floor* belongs to a numbered slot ([`SlotTable`]) of an availability zone, and remains
//!   usable while neither the platform nor any other instance can be reached;
//! - the holder of the zone's [`Session`] divides the remainder into short-lived grants
//!   ([`Allocator`]); the remainder of a site is first split between zones ([`SiteSplit`]).
//!
//! [`Shares`] is what one instance may use of both.

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
