//! Quotas of customers: requests are counted against them before they are routed.
//!
//! [`Limiter`] makes the decisions; this module sends and receives its datagrams, runs its timer and
//! holds the requests that wait for a decision.

use super::datagram::{self, Kind};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::deployment::{Customer, CustomerId, Deployment};
use steering::quota::{
    Decision, Fleet, Limit, Limiter, MemberId, PooledLimiter, QuotaCheck, QuotaStatus, QuotaTerms,
    Ticket,
};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

/// Time without a refusal after which a customer no longer counts as limited.
const LIMITED_TIMEOUT: Duration = Duration::from_secs(2);

/// Retry delay given to a caller when there was no decision: the instance has just started, or stops.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A customer whose requests are being refused.
#[derive(Debug)]
struct Limited {
    first_refused_at: Time,
    last_refused_at: Time,
    refused: u64,
}

/// Quota state of a customer on this instance, for operators.
#[derive(Debug)]
pub(crate) struct CustomerState {
    /// State of the limiter; none without a quota.
    pub(crate) quota_status: Option<QuotaStatus>,
    /// Requests granted since the start.
    pub(crate) granted: u64,
    /// Requests refused since the start.
    pub(crate) refused: u64,
    /// Time for which requests have been refused, if they are now.
    pub(crate) limited_for: Option<Duration>,
}

/// Requests of one customer since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    granted: u64,
    refused: u64,
}

/// A request that waits for a decision.
struct PendingRequest {
    customer: CustomerId,
    decision_sender: oneshot::Sender<Decision>,
}

/// This instance's part in the enforcement of quotas.
pub struct Quotas {
    terms: QuotaTerms,
    limiter: RefCell<Box<dyn Limiter>>,
    pending: RefCell<HashMap<Ticket, PendingRequest>>,
    addresses: RefCell<HashMap<MemberId, SocketAddr>>,
    socket: OnceCell<Rc<UdpSocket>>,
    /// Wakes the timer when the limiter's next step is due earlier than the timer expects.
    wake: Notify,
    /// Time at which the timer runs the next step.
    due: Cell<Time>,
    /// Whether the set of instances is known.
    has_fleet: Cell<bool>,
    /// Whether the configuration limits any customer.
    has_limits: Cell<bool>,
    counts: RefCell<HashMap<CustomerId, Counts>>,
    limited: RefCell<BTreeMap<Arc<str>, Limited>>,
}

impl Quotas {
    /// Creates quotas without limits; `started_ms` is the Unix time of the instance's start.
    pub(super) fn new(name: &str, started_ms: u64, terms: QuotaTerms) -> Self {
        Self {
            terms,
            limiter: RefCell::new(Box::new(PooledLimiter::new(
                MemberId::from_name(name),
                started_ms,
            ))),
            pending: RefCell::default(),
            addresses: RefCell::default(),
            socket: OnceCell::new(),
            wake: Notify::new(),
            due: Cell::default(),
            has_fleet: Cell::default(),
            has_limits: Cell::default(),
            counts: RefCell::default(),
            limited: RefCell::default(),
        }
    }

    /// Replaces the limits by those of a configuration; `region` is this instance's.
    pub(super) fn set_limits(&self, deployment: &Deployment, region: &str, now: Time) {
        let customers = deployment.customers.iter().flatten();
        let limits = customers.filter_map(|customer| {
            let is_allowed_here = customer.allowed_regions.permits(region);
            let limit = if is_allowed_here { Limit::new } else { Limit::for_disallowed_region };
            Some((customer.id(), limit(customer.quota?, self.terms)))
        });
        let limits: BTreeMap<CustomerId, Limit> = limits.collect();
        self.has_limits.set(!limits.is_empty());
        self.counts.borrow_mut().retain(|customer, _| limits.contains_key(customer));
        self.with_limiter(now, |limiter| limiter.set_limits(limits, now));
    }

    /// Returns whether requests of all customers can be decided.
    pub(crate) fn can_decide(&self) -> bool {
        self.has_fleet.get() || !self.has_limits.get()
    }

    /// Counts a request against the quota of its customer.
    ///
    /// # Errors
    ///
    /// If the customer has exceeded its quota, the error is the time after which to retry.
    pub(crate) async fn acquire(&self, customer: &Customer, now: Time) -> Result<(), Duration> {
        if customer.quota.is_none() {
            return Ok(());
        }
        let id = customer.id();
        let decision = match self.with_limiter(now, |limiter| limiter.acquire(id, now)) {
            QuotaCheck::Decided(decision) => decision,
            QuotaCheck::Pending(ticket) => {
                let (sender, decision) = oneshot::channel();
                let pending = PendingRequest { customer: id, decision_sender: sender };
                self.pending.borrow_mut().insert(ticket, pending);
                let undecided = Decision::Refused { retry_after: UNDECIDED_RETRY_AFTER };
                decision.await.unwrap_or(undecided)
            }
        };
        let mut counts = self.counts.borrow_mut();
        let counts = counts.entry(id).or_default();
        match decision {
            Decision::Granted => {
                counts.granted += 1;
                Ok(())
            }
            Decision::Refused { retry_after } => {
                counts.refused += 1;
                self.record_refusal(customer, now);
                Err(retry_after)
            }
        }
    }

    /// Counts an additional run of a granted request.
    pub(crate) fn charge(&self, customer: &Customer, now: Time) {
        if customer.quota.is_some() {
            self.with_limiter(now, |limiter| limiter.charge(customer.id(), now));
        }
    }

    /// Refunds a run that did not take place.
    pub(crate) fn refund(&self, customer: &Customer, now: Time) {
        if customer.quota.is_some() {
            self.with_limiter(now, |limiter| limiter.refund(customer.id(), now));
        }
    }

    /// Quota state of a customer.
    pub(crate) fn customer_state(&self, customer: &Customer, now: Time) -> CustomerState {
        let Counts { granted, refused } =
            self.counts.borrow().get(&customer.id()).copied().unwrap_or_default();
        let limited = self.limited.borrow();
        CustomerState {
            quota_status: self.limiter.borrow().status(customer.id(), now),
            granted,
            refused,
            limited_for: limited
                .get(&customer.name)
                .map(|limited| now.since(limited.first_refused_at)),
        }
    }

    /// Names of the customers whose requests are being refused.
    pub(crate) fn limited_customers(&self) -> Vec<Arc<str>> {
        self.limited.borrow().keys().cloned().collect()
    }

    /// Handles a message of another instance.
    pub(super) fn receive(&self, message: &[u8], now: Time) {
        if !self.with_limiter(now, |limiter| limiter.receive(message, now)) {
            log::warn!(target: "quotas", bytes = message.len(); "invalid message");
        }
    }

    /// Replaces the set of instances and their addresses for messages.
    pub(super) fn set_fleet(
        &self,
        fleet: Fleet,
        addresses: HashMap<MemberId, SocketAddr>,
        now: Time,
    ) {
        self.addresses.replace(addresses);
        self.has_fleet.set(true);
        self.with_limiter(now, |limiter| limiter.set_fleet(fleet, now));
    }

    /// Address for messages to a serving instance.
    pub(super) fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        self.addresses.borrow().get(&member).copied()
    }

    /// Sets the socket for datagrams; returns false if it was set already.
    pub(super) fn set_socket(&self, socket: Rc<UdpSocket>) -> bool {
        self.socket.set(socket).is_ok()
    }

    /// Executes what is due, and returns the time of the next step.
    pub(super) fn step(&self, now: Time) -> Time {
        self.due.set(Time::default());
        self.with_limiter(now, |limiter| limiter.step(now));
        self.prune_limited(now);
        let due = self.limiter.borrow().due();
        self.due.set(due);
        due
    }

    /// Waits until the next step is due earlier than [`Quotas::step`] returned.
    pub(super) async fn wait_for_earlier_step(&self) {
        self.wake.notified().await;
    }

    /// Calls the limiter, then delivers its decisions and sends its messages.
    fn with_limiter<T>(&self, now: Time, call: impl FnOnce(&mut dyn Limiter) -> T) -> T {
        let mut limiter = self.limiter.borrow_mut();
        let outcome = call(&mut **limiter);
        self.deliver_decisions(&mut **limiter, now);
        for (to, message) in limiter.take_datagrams() {
            if let (Some(socket), Some(address)) =
                (self.socket.get(), self.addresses.borrow().get(&to))
            {
                // A datagram that can't be sent counts as lost.
                let _ = socket.try_send_to(&datagram::encode(Kind::Quotas, &message), *address);
            }
        }
        if limiter.due() < self.due.get() {
            self.wake.notify_one();
        }
        outcome
    }

    /// Passes decisions on to the waiting requests; a grant to a request that is gone is refunded.
    fn deliver_decisions(&self, limiter: &mut dyn Limiter, now: Time) {
        let mut decisions = limiter.take_decisions();
        while let Some((ticket, decision)) = decisions.pop() {
            let pending = self.pending.borrow_mut().remove(&ticket);
            let Some(PendingRequest { customer, decision_sender }) = pending else { continue };
            if decision_sender.send(decision) == Err(Decision::Granted) {
                limiter.refund(customer, now);
                decisions.extend(limiter.take_decisions());
            }
        }
    }

    /// Counts a refusal; the first one marks the customer as limited and is logged.
    fn record_refusal(&self, customer: &Customer, now: Time) {
        let mut limited = self.limited.borrow_mut();
        if let Some(limited) = limited.get_mut(&customer.name) {
            limited.last_refused_at = now;
            limited.refused += 1;
            return;
        }
        limited.insert(
            customer.name.clone(),
            Limited { first_refused_at: now, last_refused_at: now, refused: 1 },
        );
        let status = self.limiter.borrow().status(customer.id(), now);
        let part = status.map_or(0.0, |status| status.fraction);
        let pooled = status.and_then(|status| status.pooled_tokens).unwrap_or_default();
        let quota = customer.quota.map_or(0.0, |quota| quota.rate_per_s);
        log::info!(
            target: "quotas",
            customer = &*customer.name, rate_per_s = quota, part, pooled,
            regions:% = customer.allowed_regions;
            "limited"
        );
    }

    /// Removes and logs the customers that are no longer limited.
    fn prune_limited(&self, now: Time) {
        self.limited.borrow_mut().retain(|name, limited| {
            let is_limited = now.since(limited.last_refused_at) < LIMITED_TIMEOUT;
            if !is_limited {
                let for_s = limited.last_refused_at.since(limited.first_refused_at).as_secs_f64();
                let refused = limited.refused;
                log::info!(target: "quotas", customer = &**name, refused, for_s; "not limited");
            }
            is_limited
        });
    }
}
