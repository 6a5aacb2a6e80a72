//! The daemon's queues of requests that wait for room: `steering::admission` with wakers.

use super::Process;
use super::overload_metrics::OverloadMetrics;
use configuration::Overload;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::admission::{Admission, Arrival, EnqueueOutcome, Limits, Refusal, Ticket};
use steering::retry::RetryBudget;
use tokio::sync::oneshot;

/// Time between two looks for room while requests wait, as shares come free without an event.
const LOOK_PERIOD: Duration = Duration::from_millis(5);

/// The queues and retry budgets of all services, by the service's name.
#[derive(Default)]
pub struct Waiting {
    services: Mutex<HashMap<Arc<str>, ServiceQueue>>,
}

struct ServiceQueue {
    admission: Admission,
    retries: RetryBudget,
    waiters: HashMap<Ticket, oneshot::Sender<Call>>,
    /// The request that was called last and has not said yet whether it found room.
    called: Option<Ticket>,
}

/// What a request that waits is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// There may be room: it is to try again.
    Try,
    /// It made room for another and is refused.
    Displaced,
}

/// A request's place in the queue of its service; it is given up when dropped.
pub struct Place {
    process: Arc<Process>,
    service: Arc<str>,
    ticket: Ticket,
    /// When the request is to be refused.
    pub until: Time,
    /// Gets the next call.
    pub called: oneshot::Receiver<Call>,
    since: Time,
}

/// A refusal, and when the caller should come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Why it was refused.
    pub refusal: Refusal,
    /// When the caller should come back.
    pub retry_after: Duration,
}

impl ServiceQueue {
    fn new(limits: Limits) -> Self {
        Self {
            admission: Admission::new(limits),
            retries: RetryBudget::default(),
            waiters: HashMap::new(),
            called: None,
        }
    }

    /// Calls the request whose turn it is, unless it was called already.
    fn call_next(&mut self) {
        while let Some(ticket) = self.admission.peek() {
            if self.called == Some(ticket) {
                return;
            }
            match self.waiters.remove(&ticket).map(|waiter| waiter.send(Call::Try)) {
                Some(Ok(())) => {
                    self.called = Some(ticket);
                    return;
                }
                // It went away at this moment.
                _ => self.admission.remove(ticket),
            }
        }
    }
}

impl Waiting {
    fn with<T>(&self, service: &Arc<str>, work: impl FnOnce(&mut ServiceQueue) -> T) -> Option<T> {
        self.services.lock().get_mut(service).map(work)
    }
}

impl Process {
    /// Tells whether requests of a service wait, so that a new one has to wait too.
    pub fn has_waiting(&self, service: &Arc<str>) -> bool {
        self.waiting.with(service, |queue| queue.admission.queue_len() > 0).unwrap_or(false)
    }

    /// Lets a request wait that found no room, or refuses it.
    pub fn wait_for_room(
        self: &Arc<Self>,
        service: &Arc<str>,
        overload: &Overload,
        arrival: &Arrival,
    ) -> Result<Place, Refused> {
        let now = self.clock.now();
        let mut services = self.waiting.services.lock();
        let limits = limits(overload);
        let queue = services.entry(service.clone()).or_insert_with(|| ServiceQueue::new(limits));
        queue.admission.set_limits(limits);
        let first = queue.admission.queue_len() == 0;
        match queue.admission.enqueue(now, arrival) {
            EnqueueOutcome::Refused(refusal) => {
                Err(Refused { refusal, retry_after: queue.admission.retry_after(now) })
            }
            EnqueueOutcome::Queued { ticket, until, displaced } => {
                let loser = displaced.and_then(|displaced| queue.waiters.remove(&displaced));
                if let Some(loser) = loser {
                    // One that went away needs no answer.
                    let _ = loser.send(Call::Displaced);
                }
                let (waiter, called) = oneshot::channel();
                queue.waiters.insert(ticket, waiter);
                if first {
                    tokio::spawn(look_for_room(self.clone(), service.clone()));
                }
                let (process, service) = (self.clone(), service.clone());
                Ok(Place { process, service, ticket, until, called, since: now })
            }
        }
    }

    /// Calls the next request that waits: room may have come free.
    pub fn room_came_free(&self, service: &Arc<str>) {
        self.waiting.with(service, ServiceQueue::call_next);
    }

    /// Records how long a request of the service held its slot.
    pub fn record_slot_time(&self, service: &Arc<str>, overload: &Overload, held: Duration) {
        let mut services = self.waiting.services.lock();
        if let Some(queue) = services.get_mut(service) {
            queue.admission.record_service_time(held);
            return;
        }
        let mut queue = ServiceQueue::new(limits(overload));
        queue.admission.record_service_time(held);
        services.insert(service.clone(), queue);
    }

    /// Returns when a caller that is refused now should come back.
    pub fn retry_after(&self, service: &Arc<str>) -> Duration {
        let now = self.clock.now();
        self.waiting.with(service, |queue| queue.admission.retry_after(now)).unwrap_or_default()
    }

    /// Records a first attempt, which earns a part of a retry.
    pub fn earn_retry(&self, service: &Arc<str>, overload: &Overload) {
        let mut services = self.waiting.services.lock();
        services
            .entry(service.clone())
            .or_insert_with(|| ServiceQueue::new(limits(overload)))
            .retries
            .earn(overload.retry_budget_percent);
    }

    /// Takes one retry out of the service's budget.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        self.waiting.with(service, |queue| queue.retries.take()).unwrap_or(false)
    }

    /// Sets the gauges of queues and backend servers, before metrics are read.
    pub fn observe_overload(&self) {
        let metrics: &OverloadMetrics = &self.metrics.overload;
        for (service, queue) in self.waiting.services.lock().iter() {
            let waiting = queue.admission.queue_len();
            metrics.waiting.with_label_values(&[&**service]).set(waiting as i64);
        }
        metrics.set_server_states(&self.server_status());
    }
}

impl Place {
    /// Waits in the same place for the next call: there was no room after all.
    pub fn wait_on(&mut self) {
        let (waiter, called) = oneshot::channel();
        self.called = called;
        self.process.waiting.with(&self.service, |queue| {
            queue.waiters.insert(self.ticket, waiter);
            queue.called.take_if(|called| *called == self.ticket);
        });
    }

    /// Leaves the queue for the room that was found, and lets the next one look for more.
    pub fn admitted(self) {
        let now = self.process.clock.now();
        let waited = now.since(self.since).as_secs_f64();
        self.process.metrics.overload.waits.with_label_values(&[&*self.service]).observe(waited);
        self.process.waiting.with(&self.service, |queue| {
            queue.admission.admit(now, self.ticket);
            queue.call_next();
        });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.process.waiting.with(&self.service, |queue| {
            queue.waiters.remove(&self.ticket);
            // Nothing happens to one that was admitted.
            queue.admission.remove(self.ticket);
            if queue.called.take_if(|called| *called == self.ticket).is_some() {
                queue.call_next();
            }
        });
    }
}

/// Calls the next request again and again while any wait.
async fn look_for_room(process: Arc<Process>, service: Arc<str>) {
    loop {
        tokio::time::sleep(LOOK_PERIOD).await;
        if !process.has_waiting(&service) {
            return;
        }
        process.room_came_free(&service);
    }
}

fn limits(overload: &Overload) -> Limits {
    Limits {
        queue_length: overload.queue_length,
        queue_wait: Duration::from_millis(overload.queue_wait_ms),
    }
}
