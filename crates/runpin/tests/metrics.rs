//! Checks that docs/METRICS.md lists the metrics of an instance with their kinds and labels.

mod common;

use common::{Deployment, Traffic};
use std::collections::BTreeMap;
use std::path::Path;

/// Label that Prometheus adds to histograms.
const BUCKET_LABEL: &str = "le";

/// Suffix of the name of a histogram sample.
const BUCKET: &str = "_bucket";

/// Returns the kind and labels of each metric of the page.
fn documented_metrics() -> BTreeMap<String, (String, Vec<String>)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/METRICS.md")).expect("the page");
    let rows = page.lines().filter(|line| line.starts_with("| `runpin_"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let labels = cells[3].split(", ").map(|label| label.trim_matches('`').to_owned());
        let labels = labels.filter(|label| !label.is_empty()).collect();
        (cells[1].trim_matches('`').to_owned(), (cells[2].to_owned(), labels))
    })
    .collect()
}

/// Returns the kind and labels of each metric that an instance renders.
fn rendered_metrics(text: &str) -> BTreeMap<String, (String, Vec<String>)> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE ")?.split_once(' '));
    types.map(|(name, kind)| (name.to_owned(), (kind.to_owned(), labels(text, name)))).collect()
}

/// Returns the label names of the first sample of a metric.
fn labels(text: &str, name: &str) -> Vec<String> {
    let mut samples = text.lines().filter_map(|line| line.strip_prefix(name));
    let sample = samples.find(|rest| rest.starts_with(['{', ' ']) || rest.starts_with(BUCKET));
    let sample = sample.unwrap_or_else(|| panic!("{name} has a sample"));
    let Some((_, labels)) = sample.split_once('{') else { return Vec::new() };
    let labels = labels.split('}').next().unwrap_or_default().split(',');
    let names = labels.filter_map(|label| Some(label.split_once('=')?.0.to_owned()));
    names.filter(|name| name != BUCKET_LABEL).collect()
}

fn sorted(mut labels: Vec<String>) -> Vec<String> {
    labels.sort();
    labels
}

#[tokio::test(flavor = "multi_thread")]
async fn each_rendered_metric_is_documented_with_its_kind_and_labels() {
    let deployment = Deployment::start().await;
    let traffic = Traffic::start(&deployment);
    let documented = documented_metrics();

    let compare = ["policy", "compare", "--duration-s", "1", "built-in", "built-in"];
    deployment.runpin(&compare).await;
    drop(traffic);
    let actual = rendered_metrics(&deployment.metrics().await);

    assert!(actual.contains_key("runpin_request_duration_seconds"), "{actual:?}");
    // A metric without labels is rendered from the start, one with labels once it has a value.
    for (name, (_, labels)) in &documented {
        assert!(!labels.is_empty() || actual.contains_key(name), "{name} is not rendered");
    }
    for (name, (kind, labels)) in actual {
        let (documented_kind, documented_labels) =
            documented.get(&name).unwrap_or_else(|| panic!("{name} is not in docs/METRICS.md"));
        assert_eq!(&kind, documented_kind, "{name}");
        assert_eq!(sorted(labels), sorted(documented_labels.clone()), "{name}");
    }
}
