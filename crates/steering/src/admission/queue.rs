//! The order among requests that wait: tenants in turn, writes before reads within each.

use super::Ticket;
use configuration::Class;
use std::collections::VecDeque;
use std::sync::Arc;

/// Tenants with a turn of their own; the rest share one.
const MAX_TENANTS: usize = 64;

/// The turn of the tenants that have none of their own.
const REST: &str = "";

/// Requests that wait, by tenant; the first tenant's turn is next.
#[derive(Debug, Default)]
pub(super) struct Queues {
    tenants: VecDeque<TenantQueue>,
    len: usize,
}

/// Requests of one tenant, oldest first.
#[derive(Debug)]
struct TenantQueue {
    tenant: Arc<str>,
    changes: VecDeque<Ticket>,
    reads: VecDeque<Ticket>,
}

impl TenantQueue {
    fn len(&self) -> usize {
        self.changes.len() + self.reads.len()
    }

    fn of_class(&mut self, class: Class) -> &mut VecDeque<Ticket> {
        if class.is_repeatable() { &mut self.reads } else { &mut self.changes }
    }

    fn next(&self) -> Option<Ticket> {
        self.changes.front().or(self.reads.front()).copied()
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.len();
        self.changes.retain(|waiting| *waiting != ticket);
        self.reads.retain(|waiting| *waiting != ticket);
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

    /// Returns the number of requests that come before a new one of this tenant and class.
    pub(super) fn ahead(&self, tenant: &str, class: Class) -> usize {
        let own = self.position(tenant).map_or(0, |position| {
            let queue = &self.tenants[position];
            if class.is_repeatable() { queue.len() } else { queue.changes.len() }
        });
        let others = self.tenants.iter().filter(|queue| &*queue.tenant != tenant);
        own + others.map(|queue| queue.len().min(own + 1)).sum::<usize>()
    }

    pub(super) fn push(&mut self, tenant: &Arc<str>, class: Class, ticket: Ticket) {
        let position = self.position(tenant).unwrap_or_else(|| {
            let full = self.tenants.len() >= MAX_TENANTS;
            let tenant = if full { REST.into() } else { tenant.clone() };
            let (changes, reads) = Default::default();
            self.tenants.push_back(TenantQueue { tenant, changes, reads });
            self.tenants.len() - 1
        });
        self.tenants[position].of_class(class).push_back(ticket);
        self.len += 1;
    }

    /// Takes out the read that has to make room for a request of this tenant and class, if any.
    ///
    /// It is the newest read of the tenant that has most waiting.  A read makes nobody of its own
    /// tenant, nor of one with fewer waiting, give way.
    pub(super) fn displace(&mut self, tenant: &str, class: Class) -> Option<Ticket> {
        let own = self.position(tenant).map_or(0, |position| self.tenants[position].len());
        let victim = self
            .tenants
            .iter_mut()
            .filter(|queue| !queue.reads.is_empty())
            .filter(|queue| !class.is_repeatable() || queue.len() > own + 1)
            .max_by_key(|queue| queue.len())?;
        let ticket = victim.reads.back().copied()?;
        self.remove(ticket, false);
        Some(ticket)
    }

    /// Takes a request out; one that was `served` used its tenant's turn.
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

    /// Returns the position of a tenant's turn: its own, else that of the rest once it is needed.
    fn position(&self, tenant: &str) -> Option<usize> {
        let of = |name: &str| self.tenants.iter().position(|queue| &*queue.tenant == name);
        of(tenant).or_else(|| (self.tenants.len() >= MAX_TENANTS).then(|| of(REST)).flatten())
    }
}
