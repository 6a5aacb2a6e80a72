//! A request in progress at a backend server, and the record of how it ended.

use super::exchange::Exchange;
use super::sent_flag::SentFlag;
use crate::connection::carried::ConnectionLabel;
use crate::process::held_failures::HeldFailure;
use crate::process::instance::Instance;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::Route;
use steering::placement::load::LoadReport;
use steering::placement::{Choice, Ending, Incarnation};
use steering::rollout::{Observation, OrderId};

/// Tracks a request at a backend server; records the ending when it is dropped.
pub(super) struct AttemptGuard {
    instance: Rc<Instance>,
    pub(super) server: Incarnation,
    service: Arc<str>,
    route: Arc<Route>,
    /// The roll-out that the attempt is counted for.
    rollout_order: Option<OrderId>,
    /// Whether the backend server runs the target version of the roll-out.
    is_target: bool,
    /// Whether it was in its cold start when it was chosen.
    was_cold: bool,
    /// Whether it was known then to have the object in its cache.
    was_object_warm: bool,
    pub(super) sent_at: Instant,
    /// What remained of a backoff of the backend server, as known when the request was sent.
    pub(super) known_backoff: Duration,
    /// Set when a connection was available and sending the request began.
    pub(super) sent_flag: SentFlag,
    /// Whether it is the first exchange over its connection.
    pub(super) is_connection_new: bool,
    /// Identifies its connection and exchange, once there is one.
    pub(super) connection: Option<ConnectionLabel>,
    /// Whether another instance passes it on, as this one does not reach the backend server.
    pub(super) is_passed_on: bool,
    ending: Ending,
    pub(super) report: Option<LoadReport>,
}

impl AttemptGuard {
    /// Begins an attempt at a chosen backend server, and counts it for a roll-out if there is one.
    pub(super) fn new(exchange: &Exchange, choice: &Choice, sent_flag: SentFlag) -> Self {
        let mut rollouts = exchange.instance.rollouts.borrow_mut();
        Self {
            rollout_order: rollouts.record_request(&exchange.service, choice.is_target),
            instance: exchange.instance.clone(),
            server: choice.incarnation(),
            service: exchange.service.clone(),
            route: exchange.route.clone(),
            is_target: choice.is_target,
            was_cold: choice.cold,
            was_object_warm: choice.was_object_warm,
            sent_at: Instant::now(),
            known_backoff: Duration::ZERO,
            sent_flag,
            is_connection_new: false,
            connection: None,
            is_passed_on: false,
            ending: Ending::Abandoned,
            report: None,
        }
    }

    pub(super) fn set_ending(&mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl AttemptGuard {
    /// Counts the ending for a roll-out, unless the path to all backend servers may be its cause.
    fn count_for_rollout(&self, order: OrderId, mut observation: Observation) {
        let is_direct = self.sent_flag.through().is_none();
        if self.is_cut_off(is_direct, observation.ending) {
            observation.ending = Ending::Unsent;
        }
        let is_full = || self.instance.held_failures.borrow().is_full();
        if is_direct && observation.ending == Ending::Failed && !is_full() {
            let (is_target, route) = (self.is_target, self.route.name.clone());
            let is_connection_new = self.is_connection_new;
            let failure = HeldFailure { order, is_target, route, observation, is_connection_new };
            self.instance.held_failures.borrow_mut().hold(failure);
            return;
        }
        let mut rollouts = self.instance.rollouts.borrow_mut();
        rollouts.record_ending(order, self.is_target, &self.route.name, &observation);
    }

    /// Returns whether this instance reaches no backend server by the path of the attempt, so that
    /// `ending` says nothing about the server.
    fn is_cut_off(&self, is_direct: bool, ending: Ending) -> bool {
        // The instance that passes a request on may be cut off too, without knowing it yet.
        let needs_new_connection =
            ending == Ending::Failed && (self.is_passed_on || is_direct && self.is_connection_new);
        let reach = self.instance.reach.borrow();
        (is_direct || needs_new_connection)
            && reach.is_cut_off_over(&self.service, needs_new_connection)
    }
}

/// Counts an exchange over a connection of this instance as under way until this is dropped.
pub(super) struct DirectExchangeGuard(Rc<Instance>);

impl DirectExchangeGuard {
    /// Counts one more exchange.
    pub(super) fn enter(instance: &Rc<Instance>) -> Self {
        instance.reach.borrow_mut().record_sent(Instant::now());
        Self(instance.clone())
    }
}

impl Drop for DirectExchangeGuard {
    fn drop(&mut self) {
        self.0.reach.borrow_mut().record_ended();
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let name = match self.ending {
            Ending::Answered { .. } => "answered",
            Ending::Erred => "erred",
            Ending::Shed => "shed",
            Ending::Failed => "failed",
            Ending::Replaced => "replaced",
            Ending::Abandoned => "abandoned",
            Ending::Unsent => "unsent",
        };
        self.instance.metrics.attempts.with_label_values(&[&*self.service, name]).inc();
        let mut roster = self.instance.roster.borrow_mut();
        roster.record_ending(&self.server, self.ending, self.report, Instant::now());
        let Some(order) = self.rollout_order else { return };
        let observation = Observation {
            // An unreachable host says nothing about the version.
            ending: if self.sent_flag.is_set() { self.ending } else { Ending::Unsent },
            elapsed: self.sent_at.elapsed(),
            is_passed_on: self.is_passed_on,
            was_object_warm: self.was_object_warm,
            was_cold: self.was_cold,
            warm_ms: roster.warm_response_ms(&self.service),
        };
        drop(roster);
        self.count_for_rollout(order, observation);
    }
}
