//! Metrics of the connections between instances.

use peer::transport::{Observer, TransportEvent};
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Counters of calls, responses, refusals, failed handshakes and bytes between instances.
#[derive(Clone)]
pub struct PeerMetrics {
    calls: IntCounterVec,
    answers: IntCounterVec,
    refused: IntCounterVec,
    handshakes_failed: IntCounterVec,
    sent_bytes: IntCounter,
    received_bytes: IntCounter,
}

impl PeerMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        Ok(Self {
            calls: counters(
                "runpin_peer_calls_total",
                "Calls to other instances by kind and result.",
                &["kind", "result"],
            )?,
            answers: counters(
                "runpin_peer_answers_total",
                "Requests of other instances that were answered, by kind.",
                &["kind"],
            )?,
            refused: counters(
                "runpin_peer_refused_total",
                "Requests and connections of other instances that were refused, by reason.",
                &["reason"],
            )?,
            handshakes_failed: counters(
                "runpin_peer_handshakes_failed_total",
                "Failed handshakes between instances, by reason.",
                &["reason"],
            )?,
            sent_bytes: counter("runpin_peer_sent_bytes_total", "Bytes sent to instances.")?,
            received_bytes: counter(
                "runpin_peer_received_bytes_total",
                "Bytes received from instances.",
            )?,
        })
    }
}

impl Observer for PeerMetrics {
    fn observe(&self, event: TransportEvent) {
        match event {
            TransportEvent::Called { kind, error } => {
                let result = error.map_or("ok", |error| error.as_str());
                self.calls.with_label_values(&[kind.as_str(), result]).inc();
            }
            TransportEvent::Answered(kind) => {
                self.answers.with_label_values(&[kind.as_str()]).inc();
            }
            TransportEvent::Refused(refusal) => {
                self.refused.with_label_values(&[refusal.as_str()]).inc();
            }
            TransportEvent::HandshakeFailed(error) => {
                self.handshakes_failed.with_label_values(&[error.as_str()]).inc();
            }
            TransportEvent::Sent(bytes) => self.sent_bytes.inc_by(bytes),
            TransportEvent::Received(bytes) => self.received_bytes.inc_by(bytes),
        }
    }
}
