//! Whether a version's answers are worse than those of the other versions: a sequential test.
//!
//! Each answer of the version weighs for or against its being worse, by how likely it is if its part
//! of bad answers is the usual one and if it is larger by `WORSE_BY` (A. Wald, Sequential Analysis,
//! 1947).  What speaks for it is kept only so far, so that a version that turns bad later is found as
//! soon (E. S. Page, Continuous Inspection Schemes, 1954).  The usual part is that of the other
//! versions at about the same time, so that trouble which strikes all is not held against one.

use super::tally::Tally;

/// By how much the part of bad answers of a worse version is larger.  Some backend servers of a sound
/// one may be faulty by chance, and more of the few that it has at first than of all others.
const WORSE_BY: f64 = 0.2;

/// Bounds of the usual part of bad answers: a part of zero would make one bad answer decide.
const USUAL_BOUNDS: [f64; 2] = [0.01, 0.6];

/// Evidence that decides, as the logarithm of a likelihood ratio: a sound version is found worse once
/// in 10,000 times.
const DECISIVE: f64 = 9.2;

/// Evidence above which more speaks against a version than for it: one bad answer among few is bad luck.
const SPEAKS_AGAINST: f64 = DECISIVE / 2.0;

/// Bad answers without which no version is found worse.
const LEAST_BAD: f64 = 8.0;

/// Answers by which the usual part is taken for the least one before any came.
const PRIOR_ANSWERS: f64 = 20.0;

/// Answers of the other versions that tell the usual part: the last ones, as these get fewer and fewer
/// while the share of the version grows.
const USUAL_ANSWERS: f64 = 500.0;

/// What is known of one kind of bad answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    log_ratio: f64,
    bad: f64,
    usual_bad: f64,
    usual_all: f64,
}

/// What evidence says of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is worse than the others.
    Worse,
    /// It is like the others.
    NotWorse,
    /// It is not decided, and whether it speaks for the version so far.
    Undecided {
        /// Whether more speaks for the version's being like the others than against it.
        favorable: bool,
    },
}

impl Evidence {
    /// Takes over bad answers among all, of the version and of the others, since the last step.
    pub fn add(&mut self, [bad, all]: [u32; 2], [others_bad, others_all]: [u32; 2]) {
        let others = f64::from(others_all);
        let kept = ((USUAL_ANSWERS - others) / self.usual_all.max(1.0)).clamp(0.0, 1.0);
        self.usual_bad = self.usual_bad * kept + f64::from(others_bad);
        self.usual_all = self.usual_all * kept + others;
        let baseline = self.baseline();
        let worse = baseline + WORSE_BY;
        let (bad, good) = (f64::from(bad), f64::from(all.saturating_sub(bad)));
        let step = bad * (worse / baseline).ln() + good * ((1.0 - worse) / (1.0 - baseline)).ln();
        self.log_ratio = (self.log_ratio + step).max(-DECISIVE);
        self.bad += bad;
    }

    /// The part of the other versions' answers that is bad.
    pub fn baseline(&self) -> f64 {
        let prior = USUAL_BOUNDS[0] * PRIOR_ANSWERS;
        let baseline = (self.usual_bad + prior) / (self.usual_all + PRIOR_ANSWERS);
        baseline.clamp(USUAL_BOUNDS[0], USUAL_BOUNDS[1])
    }

    /// The logarithm of the likelihood ratio, above zero if more speaks for the version's being worse.
    pub fn log_ratio(&self) -> f64 {
        self.log_ratio
    }

    /// What it says of the version.
    pub fn verdict(&self) -> Verdict {
        match self.log_ratio {
            log_ratio if log_ratio >= DECISIVE && self.bad >= LEAST_BAD => Verdict::Worse,
            log_ratio if log_ratio <= -DECISIVE => Verdict::NotWorse,
            log_ratio => Verdict::Undecided { favorable: log_ratio <= SPEAKS_AGAINST },
        }
    }
}

/// What is known of a version's answers on one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteEvidence {
    /// Of answers that failed.
    pub failing: Evidence,
    /// Of answers that took several times as long.
    pub slow: Evidence,
}

impl RouteEvidence {
    /// Takes over the answers since the last step.
    pub fn add(&mut self, target: Tally, others: Tally) {
        self.failing.add([target.failed, target.ended], [others.failed, others.ended]);
        self.slow.add([target.slow, target.timed], [others.slow, others.timed]);
    }

    /// Tells whether the version is worse in one way, or alike as far as it can be told: times are
    /// known of few answers, so that it need not be decided that they are alike.
    pub fn verdict(&self) -> Verdict {
        match (self.failing.verdict(), self.slow.verdict()) {
            (Verdict::Worse, _) | (_, Verdict::Worse) => Verdict::Worse,
            (_, Verdict::Undecided { favorable: false }) => Verdict::Undecided { favorable: false },
            (failing, _) => failing,
        }
    }
}
