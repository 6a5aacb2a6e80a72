//! Metrics of the membership and of gossip.

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};
use steering::membership::MemberState;

/// Gauge of instances by state, and counters of descriptions and exchanges.
#[derive(Clone)]
pub struct MembershipMetrics {
    members: IntGaugeVec,
    descriptions: IntCounterVec,
    exchanges: IntCounterVec,
}

impl MembershipMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let members =
            IntGaugeVec::new(Opts::new("runpin_members", "Instances by state."), &["state"])?;
        let descriptions = IntCounterVec::new(
            Opts::new("runpin_member_descriptions_total", "Descriptions heard, by what they were."),
            &["result"],
        )?;
        let exchanges = IntCounterVec::new(
            Opts::new("runpin_member_exchanges_total", "Exchanges that we began, by result."),
            &["result"],
        )?;
        registry.register(Box::new(members.clone()))?;
        registry.register(Box::new(descriptions.clone()))?;
        registry.register(Box::new(exchanges.clone()))?;
        Ok(Self { members, descriptions, exchanges })
    }

    /// Sets the number of instances in each state.
    pub fn set_members(&self, states: impl Iterator<Item = MemberState> + Clone) {
        for state in MemberState::ALL {
            let count = states.clone().filter(|other| *other == state).count();
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.members.with_label_values(&[state.as_str()]).set(count);
        }
    }

    /// Counts the descriptions of one message by result.
    pub fn count_descriptions(&self, accepted: usize, known: usize, invalid: usize) {
        let add = |result: &str, count: usize| {
            self.descriptions.with_label_values(&[result]).inc_by(count as u64);
        };
        add("accepted", accepted);
        add("known", known);
        add("invalid", invalid);
    }

    /// Counts an exchange started by this instance.
    pub fn count_exchange(&self, succeeded: bool) {
        let result = if succeeded { "ok" } else { "failed" };
        self.exchanges.with_label_values(&[result]).inc();
    }
}
