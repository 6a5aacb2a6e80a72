//! Experiments: the example files are valid, and a short run is reported.

use lab::{Experiment, RunOptions};
use std::path::{Path, PathBuf};

fn example_paths() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/experiments");
    let entries = std::fs::read_dir(folder).expect("folder of experiments");
    entries.map(|entry| entry.expect("entry").path()).collect()
}

#[test]
fn example_experiments_are_valid() {
    let paths = example_paths();

    let read: Vec<_> = paths.iter().map(|path| Experiment::read(path)).collect();

    assert!(read.len() >= 2);
    for experiment in read {
        let experiment = experiment.expect("a valid experiment");
        assert!(experiment.configuration.exists(), "{}", experiment.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn short_run_reports_its_requests_links_and_sites() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/experiments");
    let mut experiment =
        Experiment::read(&path.join("repair-day.toml")).expect("a valid experiment");
    experiment.instances_per_zone = 1;
    experiment.faults.clear();
    let options = RunOptions { seed: 1, duration_s: Some(1) };

    let report = lab::run(&experiment, options, |_| {}).await.expect("a report");

    let arrived: u64 = report.invariants["link_caps"].checked;
    assert!(report.requests.answered > 0, "{report}");
    assert!(arrived >= report.requests.answered, "{report}");
    assert!(report.links.iter().all(|link| link.peak_per_s > 0), "{report}");
    assert!(!report.regions.is_empty(), "{report}");
    assert_eq!(report.invariants["planned_stop_cuts_nothing"].checked, 0, "{report}");
}
