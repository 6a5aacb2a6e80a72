//! Two ways to judge a version by the sum of all answers: at fixed steps, and after each of them.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use steering::rollout::Tally;
use steering::rollout::evidence::{RouteEvidence, Verdict};

/// Steps of a trial, in each of which a judge sums up what was reported.
const STEPS: u32 = 20;

/// Trials of each kind.
const TRIALS: u64 = 2_000;

/// Steps after which the fixed way decides.
const FIXED: [u32; 4] = [5, 10, 15, 20];

/// Standard deviations of the difference at which the fixed way finds a version worse: a sound one is
/// once in some 10,000 trials, over all its steps.
const DEVIATIONS: f64 = 4.0;

/// Parts of the answers that fail, of the version and of the others, and answers of the version a step.
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

/// Finds the step at which a version is held to be worse.
trait Way {
    fn step(&mut self, number: u32, target: Tally, others: Tally) -> bool;
}

/// After each step, by the likelihood of all answers.
#[derive(Default)]
struct Sequential(RouteEvidence);

impl Way for Sequential {
    fn step(&mut self, _: u32, target: Tally, others: Tally) -> bool {
        self.0.add(target, others);
        self.0.verdict() == Verdict::Worse
    }
}

/// At fixed steps, by the difference of the parts that failed.
#[derive(Default)]
struct FixedSteps {
    target: Tally,
    others: Tally,
}

impl Way for FixedSteps {
    fn step(&mut self, number: u32, target: Tally, others: Tally) -> bool {
        self.target += target;
        self.others += others;
        if !FIXED.contains(&number) {
            return false;
        }
        let part = |it: Tally| f64::from(it.failed) / f64::from(it.ended.max(1));
        let failed = f64::from(self.target.failed + self.others.failed + 1);
        let all = failed / f64::from(self.target.ended + self.others.ended + 2);
        let spread = (all * (1.0 - all) / f64::from(self.target.ended.max(1))).sqrt();
        part(self.target) - part(self.others) > DEVIATIONS * spread
    }
}

/// Prints how often and how soon both ways turn versions back.
pub(crate) fn compare() {
    println!(
        "\n| version | turned back, answer by answer | bad answers | at fixed steps | bad answers |"
    );
    println!("|---|---|---|---|---|");
    for (name, fails, usual, per_step) in KINDS {
        let sequential = trials(fails, usual, per_step, || Box::new(Sequential::default()));
        let fixed = trials(fails, usual, per_step, || Box::new(FixedSteps::default()));
        println!("| {name} | {sequential} | {fixed} |");
    }
}

fn trials(fails: f64, usual: f64, per_step: u32, way: impl Fn() -> Box<dyn Way>) -> String {
    let (mut back, mut bad) = (0u32, 0u32);
    for seed in 0..TRIALS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut way = way();
        let mut failed_so_far = 0;
        for number in 1..=STEPS {
            let target = answers(&mut random, per_step, fails);
            let others = answers(&mut random, 16 * per_step, usual);
            failed_so_far += target.failed;
            if way.step(number, target, others) {
                back += 1;
                bad += failed_so_far;
                break;
            }
        }
    }
    let mean = f64::from(bad) / f64::from(back.max(1));
    format!("{:.4} | {mean:.1}", f64::from(back) / TRIALS as f64)
}

fn answers(random: &mut SmallRng, ended: u32, fails: f64) -> Tally {
    let failed = (0..ended).filter(|_| random.random_bool(fails)).count();
    Tally { ended, failed: u32::try_from(failed).unwrap_or(ended), ..Tally::default() }
}
