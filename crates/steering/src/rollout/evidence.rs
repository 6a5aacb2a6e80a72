//! A sequential test of whether a version's responses are worse than those of the other versions.
//!
//! Each response of the version changes the log-likelihood ratio of two hypotheses: that its
//! failure ratio is the baseline, and that it is higher by `WORSE_DIFFERENCE` (A. Wald, Sequential
//! Analysis, 1947). The ratio is bounded below, so that a version that turns bad later is detected
//! as quickly (E. S. Page, Continuous Inspection Schemes, 1954). The baseline is the failure ratio
//! of the other versions at about the same time, so that failures which affect all versions do not
//! count against one.

use super::tally::Tally;

/// Difference between the failure ratios of a worse version and the baseline. Some backend servers
/// of a sound version may be faulty by chance, and their share is larger among the few that it has
/// at first.
const WORSE_DIFFERENCE: f64 = 0.2;

/// Bounds of the baseline failure ratio: with a baseline of zero, a single failure would decide.
const BASELINE_BOUNDS: [f64; 2] = [0.01, 0.6];

/// Log-likelihood ratio that decides: about 1 in 10,000 sound versions is found worse.
const DECISION_THRESHOLD: f64 = 9.2;

/// Log-likelihood ratio above which the evidence is unfavorable: one failure among few responses is
/// not.
const UNFAVORABLE_THRESHOLD: f64 = DECISION_THRESHOLD / 2.0;

/// Minimum number of failures before a version is found worse.
const MIN_BAD: f64 = 8.0;

/// Weight of the prior in responses: the baseline starts at its lower bound.
const PRIOR_RESPONSES: f64 = 20.0;

/// Number of recent responses of the other versions that define the baseline; they get fewer and
/// fewer requests while the share of the version grows.
const BASELINE_RESPONSES: f64 = 500.0;

/// Evidence from one kind of bad responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    log_ratio: f64,
    bad: f64,
    baseline_bad: f64,
    baseline_all: f64,
}

/// The conclusion about a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is worse than the others.
    Worse,
    /// It is not worse than the others.
    NotWorse,
    /// The evidence does not decide yet.
    Undecided {
        /// Whether the evidence so far is in favor of the version.
        favorable: bool,
    },
}

impl Evidence {
    /// Adds the counts of bad and of all responses since the last step, of the version and of the
    /// others.
    pub fn add(&mut self, [bad, all]: [u32; 2], [others_bad, others_all]: [u32; 2]) {
        let others = f64::from(others_all);
        let decay = ((BASELINE_RESPONSES - others) / self.baseline_all.max(1.0)).clamp(0.0, 1.0);
        self.baseline_bad = self.baseline_bad * decay + f64::from(others_bad);
        self.baseline_all = self.baseline_all * decay + others;
        let baseline = self.baseline();
        let worse_ratio = baseline + WORSE_DIFFERENCE;
        let (bad, good) = (f64::from(bad), f64::from(all.saturating_sub(bad)));
        let step = bad * (worse_ratio / baseline).ln()
            + good * ((1.0 - worse_ratio) / (1.0 - baseline)).ln();
        self.log_ratio = (self.log_ratio + step).max(-DECISION_THRESHOLD);
        self.bad += bad;
    }

    /// The baseline: the ratio of bad responses of the other versions.
    pub fn baseline(&self) -> f64 {
        let prior = BASELINE_BOUNDS[0] * PRIOR_RESPONSES;
        let baseline = (self.baseline_bad + prior) / (self.baseline_all + PRIOR_RESPONSES);
        baseline.clamp(BASELINE_BOUNDS[0], BASELINE_BOUNDS[1])
    }

    /// The log-likelihood ratio; positive values indicate that the version is worse.
    pub fn log_ratio(&self) -> f64 {
        self.log_ratio
    }

    /// Drops evidence in favor of the version.
    pub fn drop_favorable(&mut self) {
        self.log_ratio = self.log_ratio.max(0.0);
    }

    /// The conclusion from the evidence so far.
    pub fn verdict(&self) -> Verdict {
        match self.log_ratio {
            log_ratio if log_ratio >= DECISION_THRESHOLD && self.bad >= MIN_BAD => Verdict::Worse,
            log_ratio if log_ratio <= -DECISION_THRESHOLD => Verdict::NotWorse,
            log_ratio => Verdict::Undecided { favorable: log_ratio <= UNFAVORABLE_THRESHOLD },
        }
    }
}

/// Evidence about a version's responses on one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteEvidence {
    /// Evidence from failed responses.
    pub failing: Evidence,
    /// Evidence from responses that took several times as long as usual.
    pub slow: Evidence,
}

impl RouteEvidence {
    /// Adds the responses since the last step.
    pub fn add(&mut self, target: Tally, others: Tally) {
        self.failing.add([target.failed, target.ended], [others.failed, others.ended]);
        self.slow.add([target.slow, target.timed], [others.slow, others.timed]);
    }

    /// Drops evidence in favor of the version, which may have changed since.
    pub fn drop_favorable(&mut self) {
        self.failing.drop_favorable();
        self.slow.drop_favorable();
    }

    /// Combines both kinds of evidence: the version is worse if either finds it worse. Latencies
    /// are known for few responses only, so it suffices if they are favorable.
    pub fn verdict(&self) -> Verdict {
        match (self.failing.verdict(), self.slow.verdict()) {
            (Verdict::Worse, _) | (_, Verdict::Worse) => Verdict::Worse,
            (_, Verdict::Undecided { favorable: false }) => Verdict::Undecided { favorable: false },
            (failing, _) => failing,
        }
    }
}
