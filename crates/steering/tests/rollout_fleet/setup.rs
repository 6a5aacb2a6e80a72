//! A fleet and what happens to it.

use std::time::Duration;
use steering::rollout::VersionCapacity;

/// Part of the answers of a sound backend server that fail.
pub(super) const USUAL_FAILURES: f64 = 0.004;

/// What is wrong with the version that is brought in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Version {
    /// Nothing; its objects are cold at first.
    Sound,
    /// This part of its answers fails.
    Fails(f64),
    /// The same, after it has run this part of all requests until the deadline.
    FailsAfter(f64, f64),
    /// The same, on one route only.
    FailsOnOneRoute(f64),
    /// Its answers take so many times as long.
    Slow(f64),
}

/// What happens to instances.
#[derive(Clone, Debug)]
pub(crate) enum Trouble {
    /// They are killed and start again, after this time, knowing nothing.
    Restart { from: usize, count: usize, down: Duration },
    /// No message passes between them and the others, or to the store.
    Cut { from: usize, count: usize, time: Duration },
    /// What they send is lost, and they hear the others.
    OneWay { from: usize, count: usize, time: Duration },
    /// The store turns them away.
    NoStore { from: usize, count: usize, time: Duration },
    /// They stand still, and go on as if nothing had happened.
    Suspended { from: usize, count: usize, time: Duration },
}

/// How the fleet differs from the product, to see what the checks notice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Mutant {
    /// It does not.
    #[default]
    None,
    /// No instance hears another's reports.
    JudgesAlone,
    /// No instance tells another what was found, and the store is not written.
    KeepsToItself,
    /// An instance that starts again takes the order for an old one, whose version all may use.
    TrustsAfterRestart,
    /// What the store says of a version that was turned back is not heeded.
    ForgetsEnd,
    /// A version gets all requests at once.
    SpreadsAtOnce,
    /// No instance tells how long answers take.
    IgnoresTime,
}

/// A fleet and what happens to it.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) instances: usize,
    pub(crate) per_s: f64,
    pub(crate) duration: Duration,
    pub(crate) version: Version,
    /// Part of the answers of other versions that fail, as some backend servers are faulty.
    pub(crate) others_fail: f64,
    pub(crate) loss: f64,
    pub(crate) troubles: Vec<(Duration, Trouble)>,
    pub(crate) mutant: Mutant,
    pub(crate) capacity: VersionCapacity,
    pub(crate) seed: u64,
}

/// A calm fleet.
pub(crate) fn calm(instances: usize, version: Version, seed: u64) -> Setup {
    Setup {
        instances,
        per_s: 1_300.0,
        duration: Duration::from_secs(14),
        version,
        others_fail: USUAL_FAILURES,
        loss: 0.01,
        troubles: Vec::new(),
        mutant: Mutant::None,
        capacity: VersionCapacity { target: 100, others: 100 },
        seed,
    }
}
