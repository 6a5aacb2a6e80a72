//! Quotas of customers: requests are counted against them before they are offered anywhere.
//!
//! The decisions are [`Limiter`]'s; here are its datagrams, its timer and the requests that wait for it.

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

/// Time without a refusal after which a customer is not limited any more.
const CEASES_AFTER: Duration = Duration::from_secs(2);

/// Time after which to come back where nobody decided: the instance has just started, or stops.
const UNDECIDED_WAIT: Duration = Duration::from_millis(500);

/// A customer that is being refused.
#[derive(Debug)]
struct Limited {
    since: Time,
    last: Time,
    refused: u64,
}

/// What an instance knows of a customer, for operators.
#[derive(Debug)]
pub(crate) struct CustomerState {
    /// What the limiter believes; none without a quota.
    pub(crate) standing: Option<QuotaStatus>,
    /// Requests that were granted and refused since the start.
    pub(crate) granted: u64,
    /// Requests that were refused since the start.
    pub(crate) refused: u64,
    /// Time since when it is being refused requests, if it is.
    pub(crate) limited_for: Option<Duration>,
}

/// Requests of one customer since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    granted: u64,
    refused: u64,
}

/// A request that waits to be decided.
struct Waiting {
    customer: CustomerId,
    decided: oneshot::Sender<Decision>,
}

/// The quotas, as one instance takes part in them.
pub struct Quotas {
    terms: QuotaTerms,
    limiter: RefCell<Box<dyn Limiter>>,
    waiting: RefCell<HashMap<Ticket, Waiting>>,
    addresses: RefCell<HashMap<MemberId, SocketAddr>>,
    socket: OnceCell<Rc<UdpSocket>>,
    /// Wakes the timer when something is due earlier.
    wake: Notify,
    due: Cell<Time>,
    /// Whether it is known which instances there are.
    knows_fleet: Cell<bool>,
    /// Whether the configuration limits any customer.
    has_limits: Cell<bool>,
    counts: RefCell<HashMap<CustomerId, Counts>>,
    limited: RefCell<BTreeMap<Arc<str>, Limited>>,
}

impl Quotas {
    /// Begins without limits; `started_ms` is the time of day of the instance's start.
    pub(super) fn new(name: &str, started_ms: u64, terms: QuotaTerms) -> Self {
        Self {
            terms,
            limiter: RefCell::new(Box::new(PooledLimiter::new(
                MemberId::from_name(name),
                started_ms,
            ))),
            waiting: RefCell::default(),
            addresses: RefCell::default(),
            socket: OnceCell::new(),
            wake: Notify::new(),
            due: Cell::default(),
            knows_fleet: Cell::default(),
            has_limits: Cell::default(),
            counts: RefCell::default(),
            limited: RefCell::default(),
        }
    }

    /// Takes over the limits of a configuration; `region` is the own one.
    pub(super) fn set_limits(&self, deployment: &Deployment, region: &str, now: Time) {
        let customers = deployment.customers.iter().flatten();
        let limits = customers.filter_map(|customer| {
            let runs_here = customer.allowed_regions.permit(region);
            let limit = if runs_here { Limit::new } else { Limit::for_disallowed_region };
            Some((customer.id(), limit(customer.quota?, self.terms)))
        });
        let limits: BTreeMap<CustomerId, Limit> = limits.collect();
        self.has_limits.set(!limits.is_empty());
        self.counts.borrow_mut().retain(|customer, _| limits.contains_key(customer));
        self.with(now, |limiter| limiter.set_limits(limits, now));
    }

    /// Tells whether requests of all customers can be decided.
    pub(crate) fn may_grant(&self) -> bool {
        self.knows_fleet.get() || !self.has_limits.get()
    }

    /// Counts a request against the quota of its customer.
    ///
    /// # Errors
    ///
    /// Gives the time after which to come back if the customer has asked too much.
    pub(crate) async fn take(&self, customer: &Customer, now: Time) -> Result<(), Duration> {
        if customer.quota.is_none() {
            return Ok(());
        }
        let id = customer.id();
        let decision = match self.with(now, |limiter| limiter.acquire(id, now)) {
            QuotaCheck::Decided(decision) => decision,
            QuotaCheck::Pending(ticket) => {
                let (sender, decided) = oneshot::channel();
                let waiting = Waiting { customer: id, decided: sender };
                self.waiting.borrow_mut().insert(ticket, waiting);
                let undecided = Decision::Refused { retry_after: UNDECIDED_WAIT };
                decided.await.unwrap_or(undecided)
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
                self.refused(customer, now);
                Err(retry_after)
            }
        }
    }

    /// Counts one more run of a request that was granted.
    pub(crate) fn charge(&self, customer: &Customer, now: Time) {
        if customer.quota.is_some() {
            self.with(now, |limiter| limiter.charge(customer.id(), now));
        }
    }

    /// Takes back a run that did not happen.
    pub(crate) fn give_back(&self, customer: &Customer, now: Time) {
        if customer.quota.is_some() {
            self.with(now, |limiter| limiter.refund(customer.id(), now));
        }
    }

    /// What is known of a customer.
    pub(crate) fn state_of(&self, customer: &Customer, now: Time) -> CustomerState {
        let Counts { granted, refused } =
            self.counts.borrow().get(&customer.id()).copied().unwrap_or_default();
        let limited = self.limited.borrow();
        CustomerState {
            standing: self.limiter.borrow().status(customer.id(), now),
            granted,
            refused,
            limited_for: limited.get(&customer.name).map(|it| now.since(it.since)),
        }
    }

    /// Names of the customers that are being refused.
    pub(crate) fn limited(&self) -> Vec<Arc<str>> {
        self.limited.borrow().keys().cloned().collect()
    }

    /// Takes over what another instance told.
    pub(super) fn hear(&self, told: &[u8], now: Time) {
        if !self.with(now, |limiter| limiter.receive(told, now)) {
            log::warn!(target: "quotas", bytes = told.len(); "can't be read");
        }
    }

    /// Takes over which instances there are, and where they are told something.
    pub(super) fn set_fleet(
        &self,
        fleet: Fleet,
        addresses: HashMap<MemberId, SocketAddr>,
        now: Time,
    ) {
        self.addresses.replace(addresses);
        self.knows_fleet.set(true);
        self.with(now, |limiter| limiter.set_fleet(fleet, now));
    }

    /// Where an instance that serves is told something.
    pub(super) fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        self.addresses.borrow().get(&member).copied()
    }

    /// Takes the socket for datagrams; returns whether there was none yet.
    pub(super) fn begin(&self, socket: Rc<UdpSocket>) -> bool {
        self.socket.set(socket).is_ok()
    }

    /// Does what is due, and returns the time of the next step.
    pub(super) fn step(&self, now: Time) -> Time {
        self.due.set(Time::default());
        self.with(now, |limiter| limiter.step(now));
        self.ceased(now);
        let due = self.limiter.borrow().due();
        self.due.set(due);
        due
    }

    /// Waits until something is due earlier than [`Quotas::step`] said.
    pub(super) async fn is_due_earlier(&self) {
        self.wake.notified().await;
    }

    /// Calls the limiter, sends what it tells, and lets those go on whose requests it decided.
    fn with<T>(&self, now: Time, call: impl FnOnce(&mut dyn Limiter) -> T) -> T {
        let mut limiter = self.limiter.borrow_mut();
        let outcome = call(&mut **limiter);
        self.let_go_on(&mut **limiter, now);
        for (to, told) in limiter.take_datagrams() {
            if let (Some(socket), Some(address)) =
                (self.socket.get(), self.addresses.borrow().get(&to))
            {
                // A datagram that can't be sent is as good as one that is lost.
                let _ = socket.try_send_to(&datagram::write(Kind::Quotas, &told), *address);
            }
        }
        if limiter.due() < self.due.get() {
            self.wake.notify_one();
        }
        outcome
    }

    /// Lets those go on whose requests were decided; what was granted to one that is gone is given back.
    fn let_go_on(&self, limiter: &mut dyn Limiter, now: Time) {
        let mut decisions = limiter.take_decisions();
        while let Some((ticket, decision)) = decisions.pop() {
            let waiting = self.waiting.borrow_mut().remove(&ticket);
            let Some(Waiting { customer, decided }) = waiting else { continue };
            if decided.send(decision) == Err(Decision::Granted) {
                limiter.refund(customer, now);
                decisions.extend(limiter.take_decisions());
            }
        }
    }

    /// Tells that a customer begins to be limited, and counts what it is refused.
    fn refused(&self, customer: &Customer, now: Time) {
        let mut limited = self.limited.borrow_mut();
        if let Some(limited) = limited.get_mut(&customer.name) {
            limited.last = now;
            limited.refused += 1;
            return;
        }
        limited.insert(customer.name.clone(), Limited { since: now, last: now, refused: 1 });
        let standing = self.limiter.borrow().status(customer.id(), now);
        let part = standing.map_or(0.0, |it| it.fraction);
        let pooled = standing.and_then(|it| it.pooled_tokens).unwrap_or_default();
        let quota = customer.quota.map_or(0.0, |quota| quota.rate_per_s);
        log::info!(
            target: "quotas",
            customer = &*customer.name, rate_per_s = quota, part, pooled,
            regions:% = customer.allowed_regions;
            "limited"
        );
    }

    /// Tells of customers that are not refused any more.
    fn ceased(&self, now: Time) {
        self.limited.borrow_mut().retain(|name, limited| {
            let goes_on = now.since(limited.last) < CEASES_AFTER;
            if !goes_on {
                let for_s = limited.last.since(limited.since).as_secs_f64();
                let refused = limited.refused;
                log::info!(target: "quotas", customer = &**name, refused, for_s; "not limited");
            }
            goes_on
        });
    }
}
