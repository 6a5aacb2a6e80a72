//! The state of one request, below the stages that work on it.

use crate::platform_api::CallerHead;
use crate::process::instance::Instance;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use std::cell::OnceCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::deployment::{AllowedRegions, Customer, Route};
use steering::suspects::Fingerprints;

/// Outcome of a request that a backend server answered whole.
pub(super) const ANSWERED: &str = "answered";

/// What is known of a request for its whole life.
pub(super) struct Exchange {
    pub(super) instance: Rc<Instance>,
    /// Version of the configuration that it goes by.
    pub(super) version: u64,
    pub(super) route: Arc<Route>,
    /// Whose request it is; none if anybody may ask.
    pub(super) customer: Option<Arc<Customer>>,
    /// Whether its customer has metrics of its own.
    pub(super) is_large_customer: bool,
    /// Service that runs it.
    pub(super) service: Arc<str>,
    pub(super) head: CallerHead,
    /// Host of the caller.
    pub(super) caller: IpAddr,
    /// Host that the request names.
    pub(super) host: Box<str>,
    pub(super) method: Method,
    pub(super) target: Uri,
    /// Headers that are passed on.
    pub(super) headers: HeaderMap,
    /// The body, if it was read whole.
    pub(super) body: Option<Bytes>,
    /// What it shares with other tries of the same request, once that was asked for.
    pub(super) fingerprints: OnceCell<Fingerprints>,
    pub(super) key_hash: u64,
    /// The arm of the policies that steers it, if there are any.
    pub(super) arm: Option<Arc<str>>,
    pub(super) started: Time,
    /// Time after which nobody waits for the answer.
    pub(super) deadline: Time,
}

impl Exchange {
    /// What the request shares with other tries of the same: method, target and body, and caller.
    ///
    /// Its identity and deadline differ from try to try.  Of a body that is passed on as it comes
    /// nothing is known in time, so all with the same target are taken for one.
    pub(super) fn fingerprints(&self) -> Fingerprints {
        *self.fingerprints.get_or_init(|| {
            let target = self.target.path_and_query().map_or("", |it| it.as_str());
            let head = [self.method.as_str(), &*self.host, target].map(str::as_bytes);
            let parts: Vec<&[u8]> = head.into_iter().chain(self.body.as_deref()).collect();
            Fingerprints::new(self.caller.to_string().as_bytes(), &parts)
        })
    }

    /// Its rank, with 0 the most urgent: the customer's goes before the route's.
    pub(super) fn priority(&self) -> u8 {
        let of_customer = self.customer.as_ref().and_then(|customer| customer.priority);
        of_customer.unwrap_or(self.route.priority)
    }

    /// Regions that may serve it, by its route and its customer.
    pub(super) fn allowed_regions(&self) -> AllowedRegions {
        let of_route = &self.route.allowed_regions;
        match &self.customer {
            Some(customer) => of_route.and(&customer.allowed_regions),
            None => of_route.clone(),
        }
    }

    /// Name of its customer; empty if anybody may ask.
    pub(super) fn customer_name(&self) -> &str {
        self.customer.as_ref().map_or("", |customer| &customer.name)
    }

    /// Counts one more run against its customer's quota.
    pub(super) fn charge(&self) {
        if let Some(customer) = &self.customer {
            self.instance.quotas.charge(customer, self.instance.clock.now());
        }
    }

    /// Takes a run back that did not happen.
    pub(super) fn give_back(&self) {
        if let Some(customer) = &self.customer {
            self.instance.quotas.refund(customer, self.instance.clock.now());
        }
    }

    /// Time since it came.
    pub(super) fn age(&self) -> Duration {
        self.instance.clock.now().since(self.started)
    }

    /// Time that its caller still waits.
    pub(super) fn left(&self) -> Duration {
        self.deadline.since(self.instance.clock.now())
    }

    /// Counts the request for its route and arm, with what was made of it.
    pub(super) fn count(&self, outcome: &'static str) {
        let metrics = &self.instance.metrics;
        metrics.requests.with_label_values(&[&*self.route.name, outcome]).inc();
        let took = self.age();
        if outcome == ANSWERED {
            metrics.latency.with_label_values(&[&*self.route.name]).observe(took.as_secs_f64());
        }
        if let Some(customer) = &self.customer {
            let label = metrics.customer_label(&customer.name, self.is_large_customer);
            metrics.customers.with_label_values(&[label, outcome]).inc();
            if outcome == ANSWERED {
                metrics.customer_latency.with_label_values(&[label]).observe(took.as_secs_f64());
            }
        }
        let Some(arm) = &self.arm else { return };
        let flow = (self.service.clone(), self.route.name.clone(), arm.clone());
        let mut arms = self.instance.arms.borrow_mut();
        match outcome {
            ANSWERED => arms.record_response(flow, took),
            outcome => arms.record_failure(flow, outcome),
        }
    }
}

/// Counts a request as in flight until it is dropped.
pub(super) struct InFlight(Rc<Instance>);

impl InFlight {
    /// Counts one more.
    pub(super) fn enter(instance: &Rc<Instance>) -> Self {
        instance.in_flight.set(instance.in_flight.get() + 1);
        Self(instance.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
