//! What a run of the model does, and what callers got.

use steering::reach::Failure;

/// Time after the begin of a cut from which its instances have to serve, in milliseconds.
pub(crate) const CONTACT_MS: u64 = 4_000;

/// How connections to backend servers fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cut {
    Hang,
    Reset,
    /// Open connections live on; one of four requests needs a new one.
    NewRefused,
    /// As [`Cut::NewRefused`], but new ones are accepted and reset with the first request.
    NewBroken,
}

impl Cut {
    /// Whether open connections live on.
    pub(crate) fn is_of_new_connections(self) -> bool {
        matches!(self, Self::NewRefused | Self::NewBroken)
    }

    /// How a check fails.
    pub(crate) fn failure_of_check(self) -> Failure {
        match self {
            Self::NewBroken => Failure::CheckUnanswered,
            Self::Hang | Self::Reset | Self::NewRefused => Failure::CheckConnecting,
        }
    }
}

/// What the code under test leaves out, to show that the model notices.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Defect {
    #[default]
    None,
    /// Requests never pass through another instance.
    NoStandIns,
    /// Nothing but requests shows whether servers are reached.
    NoChecks,
}

#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) instances: usize,
    pub(crate) cut: Cut,
    /// Instances that are cut off.
    pub(crate) cut_off: Vec<usize>,
    /// Begin and end of each cut, in milliseconds.
    pub(crate) spans_ms: Vec<(u64, u64)>,
    /// Servers that are without power during the cuts, of `servers`.
    pub(crate) failed_servers: usize,
    pub(crate) servers: usize,
    pub(crate) defect: Defect,
    pub(crate) seed: u64,
}

/// First attempts, and those that succeeded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Served {
    pub(crate) sent: u32,
    pub(crate) succeeded: u32,
}

impl Served {
    pub(crate) fn ratio(self) -> f64 {
        f64::from(self.succeeded) / f64::from(self.sent.max(1))
    }
}

/// What callers got.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// From [`CONTACT_MS`] after the begin of a cut to its end, at its instances and at others.
    pub(crate) during: [Served; 2],
    /// From two seconds after the last cut.
    pub(crate) after: [Served; 2],
    /// Requests that went directly from two seconds after the last cut, at its instances.
    pub(crate) direct_after: u32,
    /// Requests of instances that are not cut off that were passed on.
    pub(crate) passed_on_by_others: u32,
    /// Requests that went directly while those of [`Outcome::during`] were counted, at the instances
    /// that are cut off.
    pub(crate) direct_during: u32,
    /// Losses that instances which are not cut off concluded.
    pub(crate) losses_of_others: u32,
    /// Most losses of one instance.
    pub(crate) most_losses: u32,
}
