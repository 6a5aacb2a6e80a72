//! Compares two tests of a version by the total of all responses: at fixed steps, and sequential.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use steering::rollout::Tally;
use steering::rollout::evidence::{RouteEvidence, Verdict};

/// Steps of a trial, in each of which a judge adds up the reports.
const STEPS: u32 = 20;

/// Trials of each kind.
const TRIALS: u64 = 2_000;

/// Steps after which the test with fixed steps decides.
const FIXED: [u32; 4] = [5, 10, 15, 20];

/// Standard deviations of the difference above which the test with fixed steps finds a version
/// worse: for a sound version this happens in about 1 of 10,000 trials, over all its steps.
const DEVIATIONS: f64 = 4.0;

/// Failure ratios of the version and of the others, and responses of the version per step.
const KINDS: [(&str, f64, f64, u32); 8] = [
    ("sound", 0.004, 0.004, 24),
    ("sound, others' servers fail", 0.1, 0.1, 24),
    ("sound, some of its servers fail", 0.1, 0.06, 24),
    ("sound, few requests", 0.004, 0.004, 2),
    ("fails 0.4", 0.4, 0.004, 24),
    ("fails 0.15", 0.15, 0.004, 24),
    ("fails 0.4 as others fail", 0.4, 0.1, 24),
    ("fails 0.4, few requests", 0.4, 0.004, 2),
];

/// Finds the step after which a version is found worse.
trait Method {
    fn step(&mut self, number: u32, target: Tally, others: Tally) -> bool;
}

/// Decides after each step, by the likelihood ratio of all responses.
#[derive(Default)]
struct Sequential(RouteEvidence);

impl Method for Sequential {
    fn step(&mut self, _: u32, target: Tally, others: Tally) -> bool {
        self.0.add(target, others);
        self.0.verdict() == Verdict::Worse
    }
}

/// Decides at fixed steps, by the difference of the failure ratios.
#[derive(Default)]
struct FixedSteps {
    target: Tally,
    others: Tally,
}

impl Method for FixedSteps {
    fn step(&mut self, number: u32, target: Tally, others: Tally) -> bool {
        self.target += target;
        self.others += others;
        if !FIXED.contains(&number) {
            return false;
        }
        let failure_ratio = |tally: Tally| f64::from(tally.failed) / f64::from(tally.ended.max(1));
        let failed = f64::from(self.target.failed + self.others.failed + 1);
        let all = failed / f64::from(self.target.ended + self.others.ended + 2);
        let spread = (all * (1.0 - all) / f64::from(self.target.ended.max(1))).sqrt();
        failure_ratio(self.target) - failure_ratio(self.others) > DEVIATIONS * spread
    }
}

/// Prints how often and how soon both tests roll versions back.
pub(crate) fn compare() {
    println!(
        "\n| version | rolled back, sequential | bad responses | at fixed steps | bad responses |"
    );
    println!("|---|---|---|---|---|");
    for (name, failure_ratio, baseline, per_step) in KINDS {
        let sequential =
            trials(failure_ratio, baseline, per_step, || Box::new(Sequential::default()));
        let fixed = trials(failure_ratio, baseline, per_step, || Box::new(FixedSteps::default()));
        println!("| {name} | {sequential} | {fixed} |");
    }
}

fn trials(
    failure_ratio: f64,
    baseline: f64,
    per_step: u32,
    method: impl Fn() -> Box<dyn Method>,
) -> String {
    let (mut rolled_back, mut bad) = (0u32, 0u32);
    for seed in 0..TRIALS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut method = method();
        let mut failed_so_far = 0;
        for number in 1..=STEPS {
            let target = answers(&mut random, per_step, failure_ratio);
            let others = answers(&mut random, 16 * per_step, baseline);
            failed_so_far += target.failed;
            if method.step(number, target, others) {
                rolled_back += 1;
                bad += failed_so_far;
                break;
            }
        }
    }
    let mean = f64::from(bad) / f64::from(rolled_back.max(1));
    format!("{:.4} | {mean:.1}", f64::from(rolled_back) / TRIALS as f64)
}

fn answers(random: &mut SmallRng, ended: u32, failure_ratio: f64) -> Tally {
    let failed = (0..ended).filter(|_| random.random_bool(failure_ratio)).count();
    Tally { ended, failed: u32::try_from(failed).unwrap_or(ended), ..Tally::default() }
}
