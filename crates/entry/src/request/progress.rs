//! How far a request has come: the backend servers that it was offered to, and what came of it.

use super::attempt::{Attempt, millis};
use super::exchange::Exchange;
use crate::process::recent_decisions::{AttemptRecord, Decision};
use std::sync::Arc;
use steering::placement::Choice;

/// Outcome of an offer whose time was over before it ended.
const GIVEN_UP: &str = "given up";

/// Times that a backend server is asked again which refused a request although it had room, or did not
/// get it: the object is warm there, but one that refuses all would use up the offers.
const ASKED_AGAIN: usize = 1;

/// How far a request has come.
#[derive(Default)]
pub(super) struct Progress {
    /// Whether it was counted against its customer's quota.
    is_counted: bool,
    /// Offers that may have run it: those that are under way, and those that ended without a word
    /// that it did not run.
    may_have_run: u32,
    /// Backend servers that it was offered to.
    excluded: Vec<Arc<str>>,
    /// What is told of the offers.
    told: Vec<AttemptRecord>,
}

impl Progress {
    /// Takes over that it was counted against its customer's quota.
    pub(super) fn counted(&mut self) {
        self.is_counted = true;
    }

    /// Gives back what it was counted for, if it has not run and never will.
    pub(super) fn settle(&self, exchange: &Exchange) {
        if self.is_counted && !self.may_have_run() {
            exchange.give_back();
        }
    }

    /// Begins an offer; returns its number.  The first that may run was counted against the quota.
    pub(super) fn begin(&mut self, choice: &Choice, exchange: &Exchange) -> usize {
        if self.may_have_run > 0 {
            exchange.charge();
        }
        self.may_have_run += 1;
        self.excluded.push(choice.id.clone());
        self.told.push(AttemptRecord {
            server: choice.id.clone(),
            availability_zone: choice.availability_zone.clone(),
            version: choice.version.clone(),
            load: choice.load,
            slots: choice.slots,
            cold: choice.cold,
            ended_ms: 0,
            outcome: GIVEN_UP,
        });
        self.told.len() - 1
    }

    /// Ends an offer.
    pub(super) fn end(&mut self, offer: usize, attempt: &Attempt, exchange: &Exchange) {
        if let Some(told) = self.told.get_mut(offer) {
            told.ended_ms = millis(exchange.age());
            told.outcome = attempt.as_str();
        }
        if attempt.has_not_run() {
            self.may_have_run -= 1;
            if self.may_have_run > 0 {
                exchange.give_back();
            }
        }
        if matches!(attempt, Attempt::Refused | Attempt::NotPassedOn)
            && let Some(AttemptRecord { server, .. }) = self.told.get(offer)
            && self.told.iter().filter(|told| told.server == *server).count() <= ASKED_AGAIN
        {
            self.excluded.retain(|id| id != server);
        }
    }

    /// Backend servers that it was offered to.
    pub(super) fn offers(&self) -> u32 {
        u32::try_from(self.told.len()).unwrap_or(u32::MAX)
    }

    /// Whether a backend server may have run it.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// Identities of the backend servers that it was offered to.
    pub(super) fn excluded(&self) -> &[Arc<str>] {
        &self.excluded
    }

    /// Remembers what was made of the request, for operators who ask by its identity.
    pub(super) fn remember(self, exchange: &Exchange, outcome: &'static str) {
        let Some(request_id) = &exchange.head.request_id else { return };
        let took_ms = millis(exchange.age());
        let mut offers = self.told;
        for offer in offers.iter_mut().filter(|offer| offer.outcome == GIVEN_UP) {
            offer.ended_ms = took_ms;
        }
        let replica = exchange.instance.replica.borrow();
        exchange.instance.recent.borrow_mut().add(Decision {
            request_id: request_id.as_str().into(),
            route: exchange.route.name.clone(),
            service: exchange.service.clone(),
            customer: exchange.customer.as_ref().map(|customer| customer.name.clone()),
            arm: exchange.arm.clone(),
            outcome,
            offers,
            configuration_version: exchange.version,
            servers_as_of: replica.servers.as_of,
            took_ms,
        });
    }
}
