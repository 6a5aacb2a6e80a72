//! The state of one request, shared by the stages that handle it.

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

/// Outcome of a request with a complete response from a backend server.
pub(super) const ANSWERED: &str = "answered";

/// What stays the same while a request is handled.
pub(super) struct Exchange {
    pub(super) instance: Rc<Instance>,
    /// Version of the configuration that applies to it.
    pub(super) version: u64,
    pub(super) route: Arc<Route>,
    /// Its customer; `None` if callers need no key.
    pub(super) customer: Option<Arc<Customer>>,
    /// Whether its customer has its own metrics labels.
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
    /// Headers for the backend server.
    pub(super) headers: HeaderMap,
    /// The body, if it is buffered.
    pub(super) body: Option<Bytes>,
    /// Fingerprints of the request, computed on first use.
    pub(super) fingerprints: OnceCell<Fingerprints>,
    /// Hash of the affinity key and service; random without affinity.
    pub(super) key_hash: u64,
    /// The policy arm that the request is assigned to, if there are policies.
    pub(super) arm: Option<Arc<str>>,
    pub(super) started: Time,
    /// Time after which the caller no longer waits for the response.
    pub(super) deadline: Time,
}

impl Exchange {
    /// Fingerprints that are the same for each retry by the caller: method, host, target, body and
    /// caller.
    ///
    /// Request identity and deadline differ between retries and are left out. A streamed body is not
    /// known in time, so all such requests with the same target have the same fingerprints.
    pub(super) fn fingerprints(&self) -> Fingerprints {
        *self.fingerprints.get_or_init(|| {
            let target = self.target.path_and_query().map_or("", |target| target.as_str());
            let head = [self.method.as_str(), &*self.host, target].map(str::as_bytes);
            let parts: Vec<&[u8]> = head.into_iter().chain(self.body.as_deref()).collect();
            Fingerprints::new(self.caller.to_string().as_bytes(), &parts)
        })
    }

    /// Its priority, with 0 the most urgent: the customer's if it has one, else the route's.
    pub(super) fn priority(&self) -> u8 {
        let customer_priority = self.customer.as_ref().and_then(|customer| customer.priority);
        customer_priority.unwrap_or(self.route.priority)
    }

    /// Regions that both its route and its customer allow.
    pub(super) fn allowed_regions(&self) -> AllowedRegions {
        let route_regions = &self.route.allowed_regions;
        match &self.customer {
            Some(customer) => route_regions.intersection(&customer.allowed_regions),
            None => route_regions.clone(),
        }
    }

    /// Name of its customer; empty if callers need no key.
    pub(super) fn customer_name(&self) -> &str {
        self.customer.as_ref().map_or("", |customer| &customer.name)
    }

    /// Counts one more attempt against its customer's quota.
    pub(super) fn charge_quota(&self) {
        if let Some(customer) = &self.customer {
            self.instance.quotas.charge(customer, self.instance.clock.now());
        }
    }

    /// Refunds an attempt that did not run.
    pub(super) fn refund_quota(&self) {
        if let Some(customer) = &self.customer {
            self.instance.quotas.refund(customer, self.instance.clock.now());
        }
    }

    /// Takes one retry or hedge from the budget of the service; returns whether there was one.
    pub(super) fn take_retry(&self, is_hedge: bool) -> bool {
        let budgets = &self.instance.retry_budgets;
        let granted = budgets.take(&self.service);
        let kind = if is_hedge { "hedge" } else { "retry" };
        let outcome = if granted { "granted" } else { "refused" };
        let labels = [&*self.service, kind, outcome];
        self.instance.metrics.retries.with_label_values(&labels).inc();
        let id = self.head.request_id.as_deref().unwrap_or("");
        budgets.log_decision(&self.service, id, is_hedge, granted);
        granted
    }

    /// Time since its arrival.
    pub(super) fn age(&self) -> Duration {
        self.instance.clock.now().since(self.started)
    }

    /// Time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.since(self.instance.clock.now())
    }

    /// Records the outcome in the metrics of the route and customer and for the policy arm.
    pub(super) fn record_outcome(&self, outcome: &'static str) {
        let metrics = &self.instance.metrics;
        metrics.requests.with_label_values(&[&*self.route.name, outcome]).inc();
        let latency = self.age();
        if outcome == ANSWERED {
            metrics.latency.with_label_values(&[&*self.route.name]).observe(latency.as_secs_f64());
        }
        if let Some(customer) = &self.customer {
            let label = metrics.customer_label(&customer.name, self.is_large_customer);
            metrics.customers.with_label_values(&[label, outcome]).inc();
            if outcome == ANSWERED {
                metrics.customer_latency.with_label_values(&[label]).observe(latency.as_secs_f64());
            }
        }
        let Some(arm) = &self.arm else { return };
        let flow = (self.service.clone(), self.route.name.clone(), arm.clone());
        let mut arm_counts = self.instance.arm_counts.borrow_mut();
        match outcome {
            ANSWERED => arm_counts.record_response(flow, latency),
            outcome => arm_counts.record_failure(flow, outcome),
        }
    }
}

/// Counts a request as in flight until this is dropped.
pub(super) struct InFlightGuard(Rc<Instance>);

impl InFlightGuard {
    /// Counts one more request.
    pub(super) fn enter(instance: &Rc<Instance>) -> Self {
        instance.in_flight.set(instance.in_flight.get() + 1);
        Self(instance.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
