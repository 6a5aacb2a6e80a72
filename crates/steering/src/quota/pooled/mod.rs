//! Instances lend their parts of all quotas to keepers of their region, who grant requests one by one.
//!
//! An instance has an equal part of every quota: of its rate, and of what may be kept for later.  It
//! lends it to a few keepers by leases of a second, so that at any time each part is in one place, and
//! the sum over all places is the quota, whatever is lost, late, cut off, suspended or started again.
//! Of every customer two keepers of a region keep what is lent; requests ask one of them, then the
//! other.  What they spare goes to keepers of other regions that lack it, and to instances with many
//! requests of the customer, which keep a few for later.
//!
//! Instances that are not heard keep their part for as long as they may be serving callers somewhere, so
//! a region that is cut off grants its part and no more.

mod brokers;
mod capacity;
mod duplicates;
mod growth;
mod leases;
mod outbox;
mod pending;
mod pool;

use super::fleet::{Fleet, MemberId};
use super::limit::Limit;
use super::message::{About, Amount, Lending, Told};
use super::{Decision, Limiter, QuotaCheck, QuotaStatus, Ticket};
use crate::Time;
use crate::deployment::CustomerId;
use brokers::{keepers_among, keepers_of};
use capacity::own_capacity;
use duplicates::Numbers;
use outbox::Outbox;
use pending::{ANSWER_PATIENCE, Queue, SILENT_FOR, Waiting};
use pool::Pool;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two lendings, less than half of a lease.
const LEND_EVERY: Duration = Duration::from_millis(400);

/// Time between two looks at what is lacked.
const STEP_EVERY: Duration = Duration::from_millis(100);

/// Longest time for which an instance refuses without asking once more, so that what comes from
/// elsewhere is soon used.
const REFUSED_FOR: Duration = Duration::from_millis(250);

/// Time after which to come back where no keeper answered: by then others keep.
const NO_KEEPER_WAIT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct Own {
    level: f64,
    refused_until: Time,
}

/// Instances lend their parts of all quotas to keepers of their region.
#[derive(Debug)]
pub struct PooledLimiter {
    fleet: Fleet,
    limits: BTreeMap<CustomerId, Limit>,
    /// Keepers of the own region.
    keepers: Vec<MemberId>,
    /// Keepers of each other region.
    other_regions: Vec<Vec<MemberId>>,
    own: BTreeMap<CustomerId, Own>,
    pool: Pool,
    queue: Queue,
    numbers: Numbers,
    silent: BTreeMap<MemberId, Time>,
    outbox: Outbox,
    decisions: Vec<(Ticket, Decision)>,
    is_fresh: bool,
    /// Whether it was told which instances there are; before, it has no part to lend.
    knows_fleet: bool,
    lend_at: Time,
    step_at: Time,
    /// Turns between the keepers of a customer.
    turn: u64,
}

impl PooledLimiter {
    /// Begins as the only instance; `started_ms` is the time of day of its start.
    pub fn new(own: MemberId, started_ms: u64) -> Self {
        Self {
            fleet: Fleet::single(own),
            limits: BTreeMap::new(),
            keepers: vec![own],
            other_regions: Vec::new(),
            own: BTreeMap::new(),
            pool: Pool::new(own),
            queue: Queue::default(),
            numbers: Numbers::default(),
            silent: BTreeMap::new(),
            outbox: Outbox::new(own, started_ms),
            decisions: Vec::new(),
            is_fresh: true,
            knows_fleet: false,
            lend_at: Time::default(),
            step_at: Time::default(),
            turn: 0,
        }
    }

    /// Tells whether there is anything to lend, and a part to lend of it.
    fn takes_part(&self) -> bool {
        self.knows_fleet && !self.limits.is_empty()
    }

    /// Lends the own part to all keepers, this instance included if it is one.
    fn lend(&mut self, now: Time) {
        let lending = Lending {
            keepers: self.keepers.clone(),
            fleet_size: u32::try_from(self.fleet.size.max(1)).unwrap_or(u32::MAX),
            is_fresh: self.is_fresh,
        };
        for keeper in self.keepers.clone() {
            if keeper == self.fleet.own {
                let (own, number) = (self.fleet.own, self.outbox.number());
                self.pool.lend(own, number, lending.clone(), &self.limits, now);
            } else {
                self.outbox.telling(keeper).lending = Some(lending.clone());
            }
        }
        self.is_fresh = false;
        self.lend_at = now + LEND_EVERY;
    }

    /// The keepers of a customer, those that were silent last.
    fn keepers_of(&mut self, customer: CustomerId, now: Time) -> Vec<MemberId> {
        let mut keepers = keepers_of(customer, &self.keepers);
        self.turn = self.turn.wrapping_add(1);
        if self.turn.is_multiple_of(2) {
            keepers.reverse();
        }
        let is_silent = |it: &MemberId| self.silent.get(it).is_some_and(|until| *until > now);
        keepers.sort_by_key(is_silent);
        keepers
    }

    /// Asks one keeper after another until one grants, refuses last, or has to be waited for.
    fn ask_keepers(
        &mut self,
        customer: CustomerId,
        keepers: &[MemberId],
        ticket: Option<Ticket>,
        now: Time,
    ) -> QuotaCheck {
        let mut retry_after = NO_KEEPER_WAIT;
        for (position, keeper) in keepers.iter().enumerate() {
            let more = self.wanted(customer);
            if *keeper == self.fleet.own {
                match self.pool.acquire(customer, more, &self.limits, now) {
                    Ok(granted) => {
                        self.own.entry(customer).or_default().level += granted - 1.0;
                        return QuotaCheck::Decided(Decision::Granted);
                    }
                    Err(wait) => retry_after = wait,
                }
                continue;
            }
            self.outbox.tell(*keeper, customer, About::Ask { more: Amount::of(more) });
            let ticket = ticket.unwrap_or_else(|| self.queue.ticket());
            let other = keepers.get(position + 1).copied();
            let until = now + ANSWER_PATIENCE;
            self.queue.add(Waiting { ticket, customer, asked: *keeper, other, until });
            return QuotaCheck::Pending(ticket);
        }
        self.refuse(customer, retry_after, now)
    }

    /// Refuses a request, and for a moment those that follow.
    fn refuse(&mut self, customer: CustomerId, retry_after: Duration, now: Time) -> QuotaCheck {
        let until = now + retry_after.min(REFUSED_FOR);
        self.own.entry(customer).or_default().refused_until = until;
        QuotaCheck::Decided(Decision::Refused { retry_after })
    }

    /// Requests of a customer that this instance may keep beside those it has.
    fn wanted(&self, customer: CustomerId) -> f64 {
        let Some(limit) = self.limits.get(&customer) else { return 0.0 };
        let level = self.own.get(&customer).map_or(0.0, |own| own.level);
        (own_capacity(limit, self.fleet.fraction()) - level).max(0.0).floor()
    }

    /// Goes on with a request that its keeper did not grant.
    fn go_on(&mut self, waiting: Waiting, retry_after: Duration, now: Time) {
        let Waiting { ticket, customer, other, .. } = waiting;
        let answer = match other {
            Some(other) => self.ask_keepers(customer, &[other], Some(ticket), now),
            None => self.refuse(customer, retry_after, now),
        };
        if let QuotaCheck::Decided(decision) = answer {
            self.decisions.push((ticket, decision));
        }
    }

    fn hear_about(&mut self, from: MemberId, customer: CustomerId, about: About, now: Time) {
        match about {
            About::Ask { more } => {
                let asked = self.pool.acquire(customer, more.requests(), &self.limits, now);
                let answer = match asked {
                    Ok(granted) => About::Give(Amount::of(granted)),
                    Err(wait) => About::Refuse(u16::try_from(wait.as_millis()).unwrap_or(u16::MAX)),
                };
                self.outbox.tell(from, customer, answer);
            }
            About::Lack(lack) => {
                let given =
                    Amount::of(self.pool.spare(customer, lack.requests(), &self.limits, now));
                if given.requests() > 0.0 {
                    self.outbox.tell(from, customer, About::Give(given));
                }
            }
            About::Give(amount)
                if self.other_regions.iter().any(|keepers| keepers.contains(&from)) =>
            {
                self.pool.put(customer, amount.requests(), &self.limits, now);
            }
            About::Give(amount) => self.granted(customer, amount.requests(), now),
            About::Return(amount) => {
                self.pool.put(customer, amount.requests(), &self.limits, now);
            }
            About::Charge(amount) => {
                self.pool.put(customer, -amount.requests(), &self.limits, now);
            }
            About::Refuse(wait_ms) => {
                if let Some(waiting) = self.queue.take_asking(customer, from) {
                    self.go_on(waiting, Duration::from_millis(u64::from(wait_ms)), now);
                }
            }
        }
    }

    /// Lets requests run that waited, and keeps what is left.
    fn granted(&mut self, customer: CustomerId, amount: f64, now: Time) {
        let own = self.own.entry(customer).or_default();
        own.refused_until = now;
        own.level += amount;
        while own.level >= 1.0
            && let Some(waiting) = self.queue.take_first(customer)
        {
            own.level -= 1.0;
            self.decisions.push((waiting.ticket, Decision::Granted));
        }
        let Some(limit) = self.limits.get(&customer) else { return };
        let most = own_capacity(limit, self.fleet.fraction());
        let beyond = own.level - most;
        if beyond > 0.0 {
            own.level = most;
            self.settle(customer, beyond, now);
        }
    }

    /// Gives a keeper what did not run, or charges it what ran beside what was granted, if negative.
    fn settle(&mut self, customer: CustomerId, amount: f64, now: Time) {
        match self.keepers_of(customer, now).first() {
            Some(keeper) if *keeper == self.fleet.own => {
                self.pool.put(customer, amount, &self.limits, now);
            }
            Some(keeper) if amount > 0.0 => {
                self.outbox.tell(*keeper, customer, About::Return(Amount::of(amount)));
            }
            Some(keeper) => self.outbox.tell(*keeper, customer, About::Charge(Amount::of(-amount))),
            None => {}
        }
    }

    /// Tells keepers of other regions what is lacked here.
    fn tell_lacks(&mut self, now: Time) {
        for (customer, lack) in self.pool.lacks(&self.limits, now) {
            let other_regions = self.other_regions.iter();
            let keepers: Vec<MemberId> =
                other_regions.flat_map(|keepers| keepers_of(customer, keepers)).collect();
            let each = Amount::of(lack / keepers.len().max(1) as f64);
            for keeper in keepers {
                self.outbox.tell(keeper, customer, About::Lack(each));
            }
        }
    }
}

impl Limiter for PooledLimiter {
    fn set_limits(&mut self, limits: BTreeMap<CustomerId, Limit>, _: Time) {
        self.limits = limits;
        let (limits, fraction) = (&self.limits, self.fleet.fraction());
        self.own.retain(|customer, own| {
            let limit = limits.get(customer);
            own.level = own.level.min(limit.map_or(0.0, |it| own_capacity(it, fraction)));
            limit.is_some()
        });
    }

    fn set_fleet(&mut self, fleet: Fleet, now: Time) {
        let keepers = keepers_among(&fleet.region_members);
        self.other_regions =
            fleet.other_regions.iter().map(|members| keepers_among(members)).collect();
        let has_changed =
            !self.knows_fleet || keepers != self.keepers || fleet.size != self.fleet.size;
        self.knows_fleet = true;
        self.pool.set_part(fleet.fraction());
        self.fleet = fleet;
        self.keepers = keepers;
        if has_changed && self.takes_part() {
            self.lend(now);
        }
    }

    fn acquire(&mut self, customer: CustomerId, now: Time) -> QuotaCheck {
        if !self.limits.contains_key(&customer) {
            return QuotaCheck::Decided(Decision::Granted);
        }
        let own = self.own.entry(customer).or_default();
        if own.level >= 1.0 {
            own.level -= 1.0;
            return QuotaCheck::Decided(Decision::Granted);
        }
        if own.refused_until > now {
            let retry_after = own.refused_until.since(now).max(REFUSED_FOR / 2);
            return QuotaCheck::Decided(Decision::Refused { retry_after });
        }
        let keepers = self.keepers_of(customer, now);
        self.ask_keepers(customer, &keepers, None, now)
    }

    fn charge(&mut self, customer: CustomerId, now: Time) {
        if !self.limits.contains_key(&customer) {
            return;
        }
        let own = self.own.entry(customer).or_default();
        if own.level >= 1.0 {
            own.level -= 1.0;
        } else {
            self.settle(customer, -1.0, now);
        }
    }

    fn refund(&mut self, customer: CustomerId, now: Time) {
        if self.limits.contains_key(&customer) {
            self.granted(customer, 1.0, now);
        }
    }

    fn receive(&mut self, told: &[u8], now: Time) -> bool {
        let Ok(Told { from, number, lending, about }) = postcard::from_bytes(told) else {
            return false;
        };
        self.silent.remove(&from);
        if !self.numbers.take(from, number, now) {
            return true;
        }
        if let Some(lending) = lending {
            self.pool.lend(from, number, lending, &self.limits, now);
        }
        for (customer, about) in about {
            self.hear_about(from, customer, about, now);
        }
        true
    }

    fn step(&mut self, now: Time) {
        while let Some(waiting) = self.queue.take_unanswered(now) {
            self.silent.insert(waiting.asked, now + SILENT_FOR);
            self.go_on(waiting, NO_KEEPER_WAIT, now);
        }
        if !self.takes_part() {
            return;
        }
        if self.lend_at <= now {
            self.lend(now);
        }
        if self.step_at <= now {
            self.step_at = now + STEP_EVERY;
            self.silent.retain(|_, until| *until > now);
            self.numbers.prune(now);
            self.tell_lacks(now);
        }
    }

    fn due(&self) -> Time {
        let never = Time::from_ns(u64::MAX);
        let regular = if self.takes_part() { self.lend_at.min(self.step_at) } else { never };
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
        let own = self.own.get(&customer);
        Some(QuotaStatus {
            local_tokens: own.map_or(0.0, |own| own.level),
            pooled_tokens: self.pool.level(customer),
            fraction: self.pool.fraction(now),
            refused_for: own.map_or(Duration::ZERO, |own| own.refused_until.since(now)),
        })
    }
}
