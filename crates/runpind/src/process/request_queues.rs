//! Queues of requests that wait for capacity: `steering::admission` with channels that wake them.

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

/// Interval between checks for capacity while requests wait, as shares become available without an
/// event.
const CAPACITY_CHECK_PERIOD: Duration = Duration::from_millis(5);

/// Queues and retry budgets of all services, by service name.
#[derive(Default)]
pub struct RequestQueues {
    services: Mutex<HashMap<Arc<str>, ServiceQueue>>,
}

struct ServiceQueue {
    admission: Admission,
    retries: RetryBudget,
    waiters: HashMap<Ticket, oneshot::Sender<Wakeup>>,
    /// The request woken last, until it reports whether it got capacity.
    woken: Option<Ticket>,
}

/// Notification to a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wakeup {
    /// Capacity may be available; the request should try again.
    Retry,
    /// The request lost its position to another one and is refused.
    Displaced,
}

/// Position of a request in the queue of its service; a drop removes the request from the queue.
pub struct QueuePosition {
    process: Arc<Process>,
    service: Arc<str>,
    ticket: Ticket,
    /// Time at which the request is refused if it is still waiting.
    pub deadline: Time,
    /// Receives the next notification.
    pub wakeup: oneshot::Receiver<Wakeup>,
    queued_at: Time,
}

/// A refusal, with the delay before the caller should retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Reason of the refusal.
    pub refusal: Refusal,
    /// Delay before the caller should retry.
    pub retry_after: Duration,
}

impl ServiceQueue {
    fn new(limits: Limits) -> Self {
        Self {
            admission: Admission::new(limits),
            retries: RetryBudget::default(),
            waiters: HashMap::new(),
            woken: None,
        }
    }

    /// Wakes the next request of the queue, unless it has already been woken.
    fn wake_next(&mut self) {
        while let Some(ticket) = self.admission.peek() {
            if self.woken == Some(ticket) {
                return;
            }
            match self.waiters.remove(&ticket).map(|waiter| waiter.send(Wakeup::Retry)) {
                Some(Ok(())) => {
                    self.woken = Some(ticket);
                    return;
                }
                // The request was cancelled concurrently.
                _ => self.admission.remove(ticket),
            }
        }
    }
}

impl RequestQueues {
    fn with_queue<T>(
        &self,
        service: &Arc<str>,
        update: impl FnOnce(&mut ServiceQueue) -> T,
    ) -> Option<T> {
        self.services.lock().get_mut(service).map(update)
    }
}

impl Process {
    /// Returns whether requests of a service are waiting; a new one then has to wait too.
    pub fn has_waiting(&self, service: &Arc<str>) -> bool {
        self.request_queues
            .with_queue(service, |queue| queue.admission.queue_len() > 0)
            .unwrap_or(false)
    }

    /// Queues a request for which there is no capacity, or refuses it.
    pub fn enqueue(
        self: &Arc<Self>,
        service: &Arc<str>,
        overload: &Overload,
        arrival: &Arrival,
    ) -> Result<QueuePosition, Refused> {
        let now = self.clock.now();
        let mut services = self.request_queues.services.lock();
        let limits = limits(overload);
        let queue = services.entry(service.clone()).or_insert_with(|| ServiceQueue::new(limits));
        queue.admission.set_limits(limits);
        let is_first = queue.admission.queue_len() == 0;
        match queue.admission.enqueue(now, arrival) {
            EnqueueOutcome::Refused(refusal) => {
                Err(Refused { refusal, retry_after: queue.admission.retry_after(now) })
            }
            EnqueueOutcome::Queued { ticket, until: deadline, displaced } => {
                let displaced_waiter =
                    displaced.and_then(|displaced| queue.waiters.remove(&displaced));
                if let Some(displaced_waiter) = displaced_waiter {
                    // The displaced request may have been cancelled already.
                    let _ = displaced_waiter.send(Wakeup::Displaced);
                }
                let (waiter, wakeup) = oneshot::channel();
                queue.waiters.insert(ticket, waiter);
                if is_first {
                    tokio::spawn(wake_periodically(self.clone(), service.clone()));
                }
                let (process, service) = (self.clone(), service.clone());
                Ok(QueuePosition { process, service, ticket, deadline, wakeup, queued_at: now })
            }
        }
    }

    /// Wakes the next waiting request, as capacity may have become available.
    pub fn wake_next_request(&self, service: &Arc<str>) {
        self.request_queues.with_queue(service, ServiceQueue::wake_next);
    }

    /// Records how long a request of the service occupied its slot.
    pub fn record_slot_time(&self, service: &Arc<str>, overload: &Overload, occupied: Duration) {
        let mut services = self.request_queues.services.lock();
        if let Some(queue) = services.get_mut(service) {
            queue.admission.record_service_time(occupied);
            return;
        }
        let mut queue = ServiceQueue::new(limits(overload));
        queue.admission.record_service_time(occupied);
        services.insert(service.clone(), queue);
    }

    /// Returns the delay before a caller that is refused now should retry.
    pub fn retry_after(&self, service: &Arc<str>) -> Duration {
        let now = self.clock.now();
        self.request_queues
            .with_queue(service, |queue| queue.admission.retry_after(now))
            .unwrap_or_default()
    }

    /// Records a first attempt, which adds a fraction of a retry to the budget.
    pub fn credit_retry_budget(&self, service: &Arc<str>, overload: &Overload) {
        let mut services = self.request_queues.services.lock();
        services
            .entry(service.clone())
            .or_insert_with(|| ServiceQueue::new(limits(overload)))
            .retries
            .earn(overload.retry_budget_percent);
    }

    /// Takes one retry from the service's budget; returns false if it is exhausted.
    pub fn acquire_retry(&self, service: &Arc<str>) -> bool {
        self.request_queues.with_queue(service, |queue| queue.retries.take()).unwrap_or(false)
    }

    /// Sets the gauges of queues and backend servers; called before metrics are exported.
    pub fn update_overload_gauges(&self) {
        let metrics: &OverloadMetrics = &self.metrics.overload;
        for (service, queue) in self.request_queues.services.lock().iter() {
            let waiting = queue.admission.queue_len();
            metrics.waiting.with_label_values(&[&**service]).set(waiting as i64);
        }
        metrics.set_server_states(&self.server_status());
    }
}

impl QueuePosition {
    /// Keeps the position and waits for the next notification, as there was no capacity.
    pub fn requeue(&mut self) {
        let (waiter, wakeup) = oneshot::channel();
        self.wakeup = wakeup;
        self.process.request_queues.with_queue(&self.service, |queue| {
            queue.waiters.insert(self.ticket, waiter);
            queue.woken.take_if(|woken| *woken == self.ticket);
        });
    }

    /// Leaves the queue after capacity was obtained, and wakes the next request.
    pub fn admit(self) {
        let now = self.process.clock.now();
        let waited = now.since(self.queued_at).as_secs_f64();
        self.process.metrics.overload.waits.with_label_values(&[&*self.service]).observe(waited);
        self.process.request_queues.with_queue(&self.service, |queue| {
            queue.admission.admit(now, self.ticket);
            queue.wake_next();
        });
    }
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        self.process.request_queues.with_queue(&self.service, |queue| {
            queue.waiters.remove(&self.ticket);
            // Has no effect on a request that was admitted.
            queue.admission.remove(self.ticket);
            if queue.woken.take_if(|woken| *woken == self.ticket).is_some() {
                queue.wake_next();
            }
        });
    }
}

/// Wakes the next request periodically while any request waits.
async fn wake_periodically(process: Arc<Process>, service: Arc<str>) {
    loop {
        tokio::time::sleep(CAPACITY_CHECK_PERIOD).await;
        if !process.has_waiting(&service) {
            return;
        }
        process.wake_next_request(&service);
    }
}

fn limits(overload: &Overload) -> Limits {
    Limits {
        queue_length: overload.queue_length,
        queue_wait: Duration::from_millis(overload.queue_wait_ms),
    }
}
