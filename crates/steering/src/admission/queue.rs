//! Order of the queued requests: round-robin over tenants, writes before reads within a tenant.

use super::Ticket;
use configuration::Class;
use std::collections::VecDeque;
use std::sync::Arc;

/// Most tenants with a queue of their own; all others share one queue.
const MAX_TENANT_QUEUES: usize = 64;

/// Name of the queue shared by tenants without one of their own.
const SHARED_QUEUE: &str = "";

/// Queued requests by tenant; the first tenant is served next.
#[derive(Debug, Default)]
pub(super) struct Queues {
    tenants: VecDeque<TenantQueue>,
    len: usize,
}

/// Queued requests of one tenant, oldest first.
#[derive(Debug)]
struct TenantQueue {
    tenant: Arc<str>,
    writes: VecDeque<Ticket>,
    reads: VecDeque<Ticket>,
}

impl TenantQueue {
    fn len(&self) -> usize {
        self.writes.len() + self.reads.len()
    }

    fn class_queue(&mut self, class: Class) -> &mut VecDeque<Ticket> {
        if class.is_repeatable() { &mut self.reads } else { &mut self.writes }
    }

    fn next(&self) -> Option<Ticket> {
        self.writes.front().or(self.reads.front()).copied()
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.len();
        self.writes.retain(|queued| *queued != ticket);
        self.reads.retain(|queued| *queued != ticket);
        self.len() < before
    }
}

impl Queues {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn next(&self) -> Option<Ticket> {
        self.tenants.front()?.next()
    }

    /// Returns the number of requests that would be served before a new one of this tenant and
    /// class.
    pub(super) fn count_ahead(&self, tenant: &str, class: Class) -> usize {
        let own = self.position(tenant).map_or(0, |position| {
            let queue = &self.tenants[position];
            if class.is_repeatable() { queue.len() } else { queue.writes.len() }
        });
        let others = self.tenants.iter().filter(|queue| &*queue.tenant != tenant);
        own + others.map(|queue| queue.len().min(own + 1)).sum::<usize>()
    }

    pub(super) fn push(&mut self, tenant: &Arc<str>, class: Class, ticket: Ticket) {
        let position = self.position(tenant).unwrap_or_else(|| {
            let full = self.tenants.len() >= MAX_TENANT_QUEUES;
            let tenant = if full { SHARED_QUEUE.into() } else { tenant.clone() };
            let (writes, reads) = Default::default();
            self.tenants.push_back(TenantQueue { tenant, writes, reads });
            self.tenants.len() - 1
        });
        self.tenants[position].class_queue(class).push_back(ticket);
        self.len += 1;
    }

    /// Removes and returns the read that is displaced by a new request of this tenant and class, if
    /// any.
    ///
    /// It is the newest read of the tenant with the most queued requests. A new read displaces only
    /// reads of tenants with more queued requests than its own tenant then has.
    pub(super) fn displace(&mut self, tenant: &str, class: Class) -> Option<Ticket> {
        let own = self.position(tenant).map_or(0, |position| self.tenants[position].len());
        let longest_queue = self
            .tenants
            .iter_mut()
            .filter(|queue| !queue.reads.is_empty())
            .filter(|queue| !class.is_repeatable() || queue.len() > own + 1)
            .max_by_key(|queue| queue.len())?;
        let ticket = longest_queue.reads.back().copied()?;
        self.remove(ticket, false);
        Some(ticket)
    }

    /// Removes a request; if it was `served`, its tenant goes to the end of the round. Returns
    /// whether the request was queued.
    pub(super) fn remove(&mut self, ticket: Ticket, served: bool) -> bool {
        let found = self.tenants.iter_mut().position(|queue| queue.remove(ticket));
        let Some(position) = found else { return false };
        self.len -= 1;
        if served || self.tenants[position].len() == 0 {
            let queue = self.tenants.remove(position);
            self.tenants.extend(queue.filter(|queue| queue.len() > 0));
        }
        true
    }

    /// Returns the position of a tenant's queue: its own, else the shared one once it is in use.
    fn position(&self, tenant: &str) -> Option<usize> {
        let find = |name: &str| self.tenants.iter().position(|queue| &*queue.tenant == name);
        find(tenant).or_else(|| {
            (self.tenants.len() >= MAX_TENANT_QUEUES).then(|| find(SHARED_QUEUE)).flatten()
        })
    }
}
