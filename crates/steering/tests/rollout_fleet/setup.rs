//! Configuration of a simulation.

use std::time::Duration;
use steering::rollout::VersionCapacity;

/// Failure ratio of a sound backend server.
pub(super) const BASELINE_FAILURES: f64 = 0.004;

/// The defect of the version that is rolled out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Version {
    /// None; its objects are cold at first.
    Sound,
    /// This fraction of its responses fails.
    Fails(f64),
    /// The second fraction of its responses fails, once it has run the first fraction of all
    /// requests until the deadline.
    FailsAfter(f64, f64),
    /// This fraction of its responses on one route fails.
    FailsOnOneRoute(f64),
    /// Its responses take this many times as long.
    Slow(f64),
}

/// Faults of instances.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// They crash and restart after this time, without state.
    Restart { from: usize, count: usize, down: Duration },
    /// They are partitioned from the others and from the store.
    Cut { from: usize, count: usize, time: Duration },
    /// Messages that they send are lost, but they receive those of others.
    OneWay { from: usize, count: usize, time: Duration },
    /// The store rejects them.
    NoStore { from: usize, count: usize, time: Duration },
    /// They are suspended, and resume with their state.
    Suspended { from: usize, count: usize, time: Duration },
}

/// Defects injected into the fleet, to test that the checks detect them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Defect {
    /// No defect.
    #[default]
    None,
    /// Instances don't receive each other's reports.
    DropsReports,
    /// Decisions are neither announced to other instances nor written to the store.
    NeverAnnounces,
    /// A restarted instance treats the order as an old one whose version all may use.
    ForgetsOrder,
    /// The rollback of a version in the store is ignored.
    IgnoresRollback,
    /// A version gets all requests at once.
    SpreadsImmediately,
    /// Instances don't report latencies.
    IgnoresLatency,
    /// Instances don't read or write the progress.
    NeverSyncs,
    /// The store does not keep the progress.
    ForgetsProgress,
    /// A restarted fleet starts the schedule of the rollout again.
    BeginsAnew,
    /// A restarted fleet forgets the decision on the outcome.
    ForgetsOutcome,
    /// A restarted fleet forgets the responses that were counted.
    ForgetsResponses,
    /// Progress is written whatever the store holds by then.
    WritesBlindly,
    /// A restarted instance sends requests to the version before it knows the progress.
    IgnoresHold,
}

/// Configuration of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) instances: usize,
    pub(crate) per_s: f64,
    pub(crate) duration: Duration,
    pub(crate) version: Version,
    /// Failure ratio of other versions, as some backend servers are faulty.
    pub(crate) others_failure_ratio: f64,
    pub(crate) loss: f64,
    pub(crate) faults: Vec<(Duration, Fault)>,
    pub(crate) defect: Defect,
    /// Longest time until a write of progress reaches the store.
    pub(crate) write_delay: Duration,
    /// Fraction of the store's responses to writes of progress that are lost.
    pub(crate) lost_responses: f64,
    /// Time until which the store rejects outcomes.
    pub(crate) no_outcomes_until: Duration,
    pub(crate) capacity: VersionCapacity,
    pub(crate) seed: u64,
}

/// A fleet without faults.
pub(crate) fn fault_free(instances: usize, version: Version, seed: u64) -> Setup {
    Setup {
        instances,
        per_s: 1_300.0,
        duration: Duration::from_secs(14),
        version,
        others_failure_ratio: BASELINE_FAILURES,
        loss: 0.01,
        faults: Vec::new(),
        defect: Defect::None,
        write_delay: Duration::ZERO,
        lost_responses: 0.0,
        no_outcomes_until: Duration::ZERO,
        capacity: VersionCapacity { target: 100, others: 100 },
        seed,
    }
}
