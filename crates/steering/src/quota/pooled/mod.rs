//! Instances lease their fractions of all quotas to brokers of their region, which grant requests.
//!
//! Each instance has an equal fraction of every quota: of its rate and of its capacity. It leases
//! it to a few brokers for a second at a time. At any time each fraction is in one place, and all
//! add up to the quota, whatever messages are lost or late and whichever instances are partitioned,
//! suspended or restarted. Two brokers of a region share the leased tokens of each customer; a
//! request asks one of them, then the other. Brokers transfer spare tokens to brokers of other
//! regions that are short of them, and to instances with many requests of the customer, which hold
//! a few for later.
//!
//! Unreachable instances keep their fraction for as long as they may be serving callers, so a
//! partitioned region grants its own fraction and no more.

mod brokers;
mod capacity;
mod duplicates;
mod growth;
mod leases;
mod local;
mod outbox;
mod pending;
mod pool;

use super::fleet::{Fleet, MemberId};
use super::limit::Limit;
use super::message::{Amount, Datagram, LeaseRenewal, Message};
use super::{Decision, Limiter, QuotaCheck, QuotaStatus, Ticket};
use crate::Time;
use crate::deployment::CustomerId;
use brokers::{customer_brokers, select_brokers};
use capacity::local_capacity;
use duplicates::DuplicateFilter;
use local::LocalTokens;
use outbox::Outbox;
use pending::{BROKER_TIMEOUT, PendingQueue, PendingRequest, UNRESPONSIVE_PERIOD};
use pool::Pool;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which leases are renewed, less than half of a lease.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which a broker checks for customers that are short of tokens.
const DEFICIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time without asking a broker again, so that tokens from other regions are soon used.
const MAX_REFUSAL_PERIOD: Duration = Duration::from_millis(250);

/// Retry delay where no broker responded: by then other brokers have been selected.
const NO_BROKER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Leases this instance's fraction of all quotas to the brokers of its region.
#[derive(Debug)]
pub struct PooledLimiter {
    fleet: Fleet,
    limits: BTreeMap<CustomerId, Limit>,
    /// Brokers of this instance's region.
    brokers: Vec<MemberId>,
    /// Brokers of each other region.
    remote_brokers: Vec<Vec<MemberId>>,
    local: LocalTokens,
    pool: Pool,
    queue: PendingQueue,
    duplicates: DuplicateFilter,
    unresponsive: BTreeMap<MemberId, Time>,
    outbox: Outbox,
    decisions: Vec<(Ticket, Decision)>,
    is_new_instance: bool,
    /// Whether the other instances are known; before that, there is no fraction to lease.
    has_fleet: bool,
    renew_at: Time,
    check_at: Time,
    /// Alternates between the brokers of a customer.
    rotation: u64,
}

impl PooledLimiter {
    /// Creates the limiter of a single instance; `started_ms` is its start time as Unix time.
    pub fn new(own: MemberId, started_ms: u64) -> Self {
        Self {
            fleet: Fleet::single(own),
            limits: BTreeMap::new(),
            brokers: vec![own],
            remote_brokers: Vec::new(),
            local: LocalTokens::default(),
            pool: Pool::new(own),
            queue: PendingQueue::default(),
            duplicates: DuplicateFilter::default(),
            unresponsive: BTreeMap::new(),
            outbox: Outbox::new(own, started_ms),
            decisions: Vec::new(),
            is_new_instance: true,
            has_fleet: false,
            renew_at: Time::default(),
            check_at: Time::default(),
            rotation: 0,
        }
    }

    /// Returns whether the instance knows its fraction and there are quotas to lease it of.
    fn can_lease(&self) -> bool {
        self.has_fleet && !self.limits.is_empty()
    }

    /// Leases this instance's fraction to all brokers, including itself if it is one.
    fn renew_leases(&mut self, now: Time) {
        let renewal = LeaseRenewal {
            brokers: self.brokers.clone(),
            fleet_size: u32::try_from(self.fleet.size.max(1)).unwrap_or(u32::MAX),
            is_new_instance: self.is_new_instance,
        };
        for broker in self.brokers.clone() {
            if broker == self.fleet.own {
                let (own, sequence) = (self.fleet.own, self.outbox.next_sequence());
                self.pool.renew_lease(own, sequence, renewal.clone(), &self.limits, now);
            } else {
                self.outbox.datagram_for(broker).renewal = Some(renewal.clone());
            }
        }
        self.is_new_instance = false;
        self.renew_at = now + LEASE_RENEWAL_INTERVAL;
    }

    /// The brokers of a customer in this region, unresponsive ones last.
    fn customer_brokers(&mut self, customer: CustomerId, now: Time) -> Vec<MemberId> {
        let mut brokers = customer_brokers(customer, &self.brokers);
        self.rotation = self.rotation.wrapping_add(1);
        if self.rotation.is_multiple_of(2) {
            brokers.reverse();
        }
        let is_silent = |id: &MemberId| self.unresponsive.get(id).is_some_and(|end| *end > now);
        brokers.sort_by_key(is_silent);
        brokers
    }

    /// Asks brokers in order until one grants the request, all refuse, or a remote one has to
    /// respond.
    fn ask_brokers(
        &mut self,
        customer: CustomerId,
        brokers: &[MemberId],
        ticket: Option<Ticket>,
        now: Time,
    ) -> QuotaCheck {
        let mut retry_after = NO_BROKER_RETRY_DELAY;
        for (position, broker) in brokers.iter().enumerate() {
            let more = self.missing_tokens(customer);
            if *broker == self.fleet.own {
                match self.pool.acquire(customer, more, &self.limits, now) {
                    Ok(granted) => {
                        self.local.add(customer, granted - 1.0);
                        return QuotaCheck::Decided(Decision::Granted);
                    }
                    Err(wait) => retry_after = wait,
                }
                continue;
            }
            self.outbox.push(*broker, customer, Message::Request { more: Amount::new(more) });
            let ticket = ticket.unwrap_or_else(|| self.queue.ticket());
            let next = brokers.get(position + 1).copied();
            let deadline = now + BROKER_TIMEOUT;
            self.queue.add(PendingRequest { ticket, customer, broker: *broker, next, deadline });
            return QuotaCheck::Pending(ticket);
        }
        self.refuse(customer, retry_after, now)
    }

    /// Refuses a request, and for a short time those that follow.
    fn refuse(&mut self, customer: CustomerId, retry_after: Duration, now: Time) -> QuotaCheck {
        let until = now + retry_after.min(MAX_REFUSAL_PERIOD);
        self.local.refuse_until(customer, until);
        QuotaCheck::Decided(Decision::Refused { retry_after })
    }

    /// Number of additional tokens of a customer that this instance may hold.
    fn missing_tokens(&self, customer: CustomerId) -> f64 {
        let Some(limit) = self.limits.get(&customer) else { return 0.0 };
        let capacity = local_capacity(limit, self.fleet.fraction());
        (capacity - self.local.tokens(customer)).max(0.0).floor()
    }

    /// Asks the next broker after one did not grant a request, or refuses the request.
    fn ask_next_broker(&mut self, pending: PendingRequest, retry_after: Duration, now: Time) {
        let PendingRequest { ticket, customer, next, .. } = pending;
        let answer = match next {
            Some(broker) => self.ask_brokers(customer, &[broker], Some(ticket), now),
            None => self.refuse(customer, retry_after, now),
        };
        if let QuotaCheck::Decided(decision) = answer {
            self.decisions.push((ticket, decision));
        }
    }

    fn on_message(&mut self, from: MemberId, customer: CustomerId, message: Message, now: Time) {
        match message {
            Message::Request { more } => {
                let acquired = self.pool.acquire(customer, more.tokens(), &self.limits, now);
                let answer = match acquired {
                    Ok(granted) => Message::Grant(Amount::new(granted)),
                    Err(it) => Message::Refuse(u16::try_from(it.as_millis()).unwrap_or(u16::MAX)),
                };
                self.outbox.push(from, customer, answer);
            }
            Message::Deficit(deficit) => {
                let transferred =
                    Amount::new(self.pool.transfer(customer, deficit.tokens(), &self.limits, now));
                if transferred.tokens() > 0.0 {
                    self.outbox.push(from, customer, Message::Grant(transferred));
                }
            }
            Message::Grant(amount) if self.remote_brokers.iter().any(|ids| ids.contains(&from)) => {
                self.pool.adjust(customer, amount.tokens(), &self.limits, now);
            }
            Message::Grant(amount) => self.receive_tokens(customer, amount.tokens(), now),
            Message::Return(amount) => {
                self.pool.adjust(customer, amount.tokens(), &self.limits, now);
            }
            Message::Charge(amount) => {
                self.pool.adjust(customer, -amount.tokens(), &self.limits, now);
            }
            Message::Refuse(wait_ms) => {
                if let Some(pending) = self.queue.take_first_for(customer, from) {
                    self.ask_next_broker(pending, Duration::from_millis(u64::from(wait_ms)), now);
                }
            }
        }
    }

    /// Grants pending requests from the received tokens and keeps the rest, up to the capacity.
    fn receive_tokens(&mut self, customer: CustomerId, amount: f64, now: Time) {
        self.local.refuse_until(customer, now);
        self.local.add(customer, amount);
        while self.local.tokens(customer) >= 1.0
            && let Some(pending) = self.queue.take_first(customer)
        {
            self.local.take(customer);
            self.decisions.push((pending.ticket, Decision::Granted));
        }
        let Some(limit) = self.limits.get(&customer) else { return };
        let capacity = local_capacity(limit, self.fleet.fraction());
        let surplus = self.local.take_surplus(customer, capacity);
        if surplus > 0.0 {
            self.settle(customer, surplus, now);
        }
    }

    /// Returns unused tokens to a broker; charges it for requests without a grant if negative.
    fn settle(&mut self, customer: CustomerId, amount: f64, now: Time) {
        match self.customer_brokers(customer, now).first() {
            Some(broker) if *broker == self.fleet.own => {
                self.pool.adjust(customer, amount, &self.limits, now);
            }
            Some(to) if amount > 0.0 => {
                self.outbox.push(*to, customer, Message::Return(Amount::new(amount)));
            }
            Some(to) => self.outbox.push(*to, customer, Message::Charge(Amount::new(-amount))),
            None => {}
        }
    }

    /// Reports token deficits of this broker to brokers of other regions.
    fn report_deficits(&mut self, now: Time) {
        for (customer, deficit) in self.pool.deficits(&self.limits, now) {
            let regions = self.remote_brokers.iter();
            let brokers: Vec<MemberId> =
                regions.flat_map(|brokers| customer_brokers(customer, brokers)).collect();
            let amount = Amount::new(deficit / brokers.len().max(1) as f64);
            for broker in brokers {
                self.outbox.push(broker, customer, Message::Deficit(amount));
            }
        }
    }
}

impl Limiter for PooledLimiter {
    fn set_limits(&mut self, limits: BTreeMap<CustomerId, Limit>, _: Time) {
        self.limits = limits;
        self.local.set_limits(&self.limits, self.fleet.fraction());
    }

    fn set_fleet(&mut self, fleet: Fleet, now: Time) {
        let brokers = select_brokers(&fleet.region_members);
        self.remote_brokers = fleet.other_regions.iter().map(|ids| select_brokers(ids)).collect();
        let changed = !self.has_fleet || brokers != self.brokers || fleet.size != self.fleet.size;
        self.has_fleet = true;
        self.pool.set_member_fraction(fleet.fraction());
        self.fleet = fleet;
        self.brokers = brokers;
        if changed && self.can_lease() {
            self.renew_leases(now);
        }
    }

    fn acquire(&mut self, customer: CustomerId, now: Time) -> QuotaCheck {
        if !self.limits.contains_key(&customer) {
            return QuotaCheck::Decided(Decision::Granted);
        }
        if self.local.take(customer) {
            return QuotaCheck::Decided(Decision::Granted);
        }
        let refused_for = self.local.refused_for(customer, now);
        if !refused_for.is_zero() {
            let retry_after = refused_for.max(MAX_REFUSAL_PERIOD / 2);
            return QuotaCheck::Decided(Decision::Refused { retry_after });
        }
        let brokers = self.customer_brokers(customer, now);
        self.ask_brokers(customer, &brokers, None, now)
    }

    fn charge(&mut self, customer: CustomerId, now: Time) {
        if self.limits.contains_key(&customer) && !self.local.take(customer) {
            self.settle(customer, -1.0, now);
        }
    }

    fn refund(&mut self, customer: CustomerId, now: Time) {
        if self.limits.contains_key(&customer) {
            self.receive_tokens(customer, 1.0, now);
        }
    }

    fn receive(&mut self, bytes: &[u8], now: Time) -> bool {
        let Ok(Datagram { from, sequence, renewal, messages }) = postcard::from_bytes(bytes) else {
            return false;
        };
        self.unresponsive.remove(&from);
        if !self.duplicates.accept(from, sequence, now) {
            return true;
        }
        if let Some(renewal) = renewal {
            self.pool.renew_lease(from, sequence, renewal, &self.limits, now);
        }
        for (customer, message) in messages {
            self.on_message(from, customer, message, now);
        }
        true
    }

    fn step(&mut self, now: Time) {
        while let Some(pending) = self.queue.take_expired(now) {
            self.unresponsive.insert(pending.broker, now + UNRESPONSIVE_PERIOD);
            self.ask_next_broker(pending, NO_BROKER_RETRY_DELAY, now);
        }
        if !self.can_lease() {
            return;
        }
        if self.renew_at <= now {
            self.renew_leases(now);
        }
        if self.check_at <= now {
            self.check_at = now + DEFICIT_CHECK_INTERVAL;
            self.unresponsive.retain(|_, until| *until > now);
            self.duplicates.prune(now);
            self.report_deficits(now);
        }
    }

    fn due(&self) -> Time {
        let never = Time::from_ns(u64::MAX);
        let regular = if self.can_lease() { self.renew_at.min(self.check_at) } else { never };
        self.queue.due().map_or(regular, |due| due.min(regular))
    }

    fn take_datagrams(&mut self) -> Vec<(MemberId, Vec<u8>)> {
        self.outbox.take()
    }

    fn take_decisions(&mut self) -> Vec<(Ticket, Decision)> {
        std::mem::take(&mut self.decisions)
    }

    fn status(&self, customer: CustomerId, now: Time) -> Option<QuotaStatus> {
        self.limits.get(&customer)?;
        Some(QuotaStatus {
            local_tokens: self.local.tokens(customer),
            pooled_tokens: self.pool.tokens(customer),
            fraction: self.pool.fraction(now),
            refused_for: self.local.refused_for(customer, now),
        })
    }
}
