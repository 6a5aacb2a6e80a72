//! Acceptance of configurations, with lost responses, concurrent operators and the history.

mod faults;

use async_trait::async_trait;
use bytes::Bytes;
use configuration::{
    BLOCKS_PREFIX, HISTORY_LENGTH, HISTORY_PREFIX, MANIFEST_KEY, Manifest, history_key,
};
use faults::FaultyStore;
use lab::MockPlatform;
use platform::{Expected, Object, ObjectStore, StoreError, Version, WatchBatch};
use runpind::process::acceptance::{AcceptanceError, Change, Proposal, VersionLabel, propose};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

const SEEDS: u64 = 40;
const WRITERS: usize = 4;
const PROPOSALS: usize = 5;

const TEXT: &str = r#"
[deployment]
name = "small"
lookup_ttl_ms = 1000
lookup_instances = 2
idempotency_key_ttl_ms = 60000

[[region]]
name = "north"
availability_zones = ["n1", "n2"]

[delays]
same_region_ms = 1.0
between_regions_ms = 30.0
client_ms = 2.0

[link_defaults]
cap_requests_per_s = 1000
floor_percent = 40.0
instance_slots = 4
shift_percent_per_s = 100.0
"#;

fn proposal(author: &str, expected_number: Option<u64>) -> Proposal {
    let change = Change::Text { text: TEXT.into(), blocks: None };
    Proposal { change, author: author.into(), expected_number, dry_run: false }
}

fn proposal_of_blocks(blocks: &str) -> Proposal {
    let change = Change::Text { text: TEXT.into(), blocks: Some(blocks.into()) };
    Proposal { change, ..proposal("carla", None) }
}

async fn current_manifest(platform: &MockPlatform) -> Option<Manifest> {
    let object = platform.get(MANIFEST_KEY).await.expect("read");
    object.map(|object| Manifest::from_json(&object.value).expect("manifest"))
}

/// Returns the number and author of each accepted version, as stored on the platform.
async fn accepted_versions(platform: &MockPlatform) -> Vec<VersionLabel> {
    let history = platform.list(HISTORY_PREFIX).await.expect("list").changed;
    let history =
        history.iter().map(|object| Manifest::from_json(&object.value).expect("manifest"));
    let mut manifests: Vec<Manifest> = history.chain(current_manifest(platform).await).collect();
    manifests.sort_by_key(|manifest| manifest.number);
    manifests.dedup_by(|a, b| a.write_id == b.write_id);
    manifests.iter().map(VersionLabel::from).collect()
}

/// One operation on the configuration, with its result.
#[derive(Clone, Debug)]
enum Operation {
    /// A call, whose result is in its response action.
    Called,
    Accepted {
        author: Arc<str>,
        expected: u64,
        number: u64,
    },
    Conflict {
        expected: u64,
        current: VersionLabel,
    },
}

struct ConditionalUpdate;

impl Specification for ConditionalUpdate {
    type State = (u64, Arc<str>);
    type Operation = Operation;

    fn init() -> Self::State {
        (0, "nobody".into())
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            Operation::Called => (false, state.clone()),
            Operation::Accepted { author, expected, number } => {
                (*expected == state.0 && *number == state.0 + 1, (*number, author.clone()))
            }
            Operation::Conflict { expected, current } => {
                let is_current = (current.number, &current.author) == (state.0, &state.1);
                (is_current && current.number != *expected, state.clone())
            }
        }
    }
}

/// The actions of one seed in order, and the proposals whose outcome stayed unknown.
#[derive(Default)]
struct Record {
    actions: Vec<(usize, Action<Operation>)>,
    processes: usize,
    /// Process, author and expected number of each such proposal.
    unknown: Vec<(usize, Arc<str>, u64)>,
}

async fn write(
    writer: usize,
    seed: u64,
    platform: Arc<MockPlatform>,
    record: Arc<parking_lot::Mutex<Record>>,
) {
    let store = FaultyStore::new(platform.clone(), seed * WRITERS as u64 + writer as u64);
    for round in 0..PROPOSALS {
        let expected = current_manifest(&platform).await.map_or(0, |manifest| manifest.number);
        let author: Arc<str> = format!("writer-{writer}-{round}").into();
        // Each proposal is its own process, because one with an unknown outcome never ends.
        let process = {
            let mut record = record.lock();
            record.processes += 1;
            let process = record.processes - 1;
            record.actions.push((process, Action::Call(Operation::Called)));
            process
        };
        let outcome = propose(&store, None, proposal(&author, Some(expected))).await;
        let mut record = record.lock();
        let operation = match outcome {
            Ok(manifest) => Operation::Accepted { author, expected, number: manifest.number },
            Err(AcceptanceError::Conflict { current, .. }) => {
                Operation::Conflict { expected, current }
            }
            Err(AcceptanceError::Store(_)) => {
                record.unknown.push((process, author, expected));
                continue;
            }
            Err(error) => panic!("{error}"),
        };
        record.actions.push((process, Action::Response(operation)));
    }
}

/// Resolves proposals with an unknown outcome from the stored versions: accepted, or never called.
fn complete(record: &mut Record, accepted: &[VersionLabel]) {
    for (process, author, expected) in std::mem::take(&mut record.unknown) {
        match accepted.iter().find(|label| label.author == author) {
            Some(label) => {
                let number = label.number;
                let operation = Operation::Accepted { author, expected, number };
                record.actions.push((process, Action::Response(operation)));
            }
            None => record.actions.retain(|(other, _)| *other != process),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn concurrent_writers_with_lost_answers_are_linearizable() {
    for seed in 0..SEEDS {
        let platform = Arc::new(MockPlatform::default());
        let record = Arc::new(parking_lot::Mutex::new(Record::default()));
        let writers = (0..WRITERS).map(|n| write(n, seed, platform.clone(), record.clone()));

        futures::future::join_all(writers).await;
        // Delayed writes take effect.
        tokio::time::sleep(Duration::from_secs(5)).await;

        let accepted = accepted_versions(&platform).await;
        let numbers: Vec<u64> = accepted.iter().map(|label| label.number).collect();
        assert_eq!(numbers, (1..=numbers.len() as u64).collect::<Vec<_>>(), "seed {seed}");
        let mut record = record.lock();
        for (_, action) in &record.actions {
            if let Action::Response(Operation::Accepted { author, number, .. }) = action {
                let claimed = VersionLabel { number: *number, author: author.clone() };
                assert!(accepted.contains(&claimed), "seed {seed}: {claimed}");
            }
        }
        complete(&mut record, &accepted);
        let claimed = record
            .actions
            .iter()
            .filter(|(_, action)| matches!(action, Action::Response(Operation::Accepted { .. })));
        assert_eq!(
            claimed.count(),
            accepted.len(),
            "seed {seed}: a proposal reported as conflicting was accepted"
        );
        let history = History::from_actions(record.actions.clone());
        assert!(WGLChecker::<ConditionalUpdate>::is_linearizable(history), "seed {seed}");
    }
}

/// Loses the response to the first write of the manifest, while another operator writes two more
/// versions.
struct OvertakenStore {
    platform: Arc<MockPlatform>,
    overtaken: AtomicBool,
    takes_effect: bool,
}

#[async_trait]
impl ObjectStore for OvertakenStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.platform.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError> {
        self.platform.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        if key != MANIFEST_KEY || self.overtaken.swap(true, Ordering::SeqCst) {
            return self.platform.put(key, value, expected).await;
        }
        if self.takes_effect {
            self.platform.put(key, value, expected).await?;
        }
        propose(&*self.platform, None, proposal("berta", None)).await.expect("accepted");
        propose(&*self.platform, None, proposal("berta", None)).await.expect("accepted");
        Err(StoreError::OutcomeUnknown)
    }

    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError> {
        self.platform.delete(key, expected).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.platform.watch(prefix, after, wait).await
    }
}

fn overtaken(takes_effect: bool) -> OvertakenStore {
    let platform = Arc::new(MockPlatform::default());
    OvertakenStore { platform, overtaken: AtomicBool::new(false), takes_effect }
}

#[tokio::test(start_paused = true)]
async fn a_write_with_a_lost_response_is_accepted_although_later_versions_replaced_it() {
    let store = overtaken(true);

    let accepted = propose(&store, None, proposal("anna", None)).await.expect("accepted");

    assert_eq!(accepted.number, 1);
    assert_eq!(current_manifest(&store.platform).await.expect("current").number, 3);
}

#[tokio::test(start_paused = true)]
async fn a_conflict_reports_the_proposed_and_the_current_version() {
    let store = overtaken(false);

    let error = propose(&store, None, proposal("anna", None)).await.expect_err("conflict");

    let AcceptanceError::Conflict { expected, proposed, current } = error else {
        panic!("{error}")
    };
    assert_eq!(expected, 0);
    assert_eq!(proposed, VersionLabel { number: 1, author: "anna".into() });
    assert_eq!(current, VersionLabel { number: 2, author: "berta".into() });
}

#[tokio::test(start_paused = true)]
async fn a_crash_before_the_history_is_written_leaves_no_gap() {
    let platform = MockPlatform::default();
    propose(&platform, None, proposal("anna", None)).await.expect("accepted");
    let stored = platform.get(&history_key(1)).await.expect("read").expect("stored");
    platform.delete(&history_key(1), stored.version).await.expect("deleted");

    propose(&platform, None, proposal("berta", None)).await.expect("accepted");

    let first = platform.get(&history_key(1)).await.expect("read").expect("stored again");
    assert_eq!(Manifest::from_json(&first.value).expect("manifest").author, "anna".into());
}

#[tokio::test(start_paused = true)]
async fn history_and_chunks_are_bounded() {
    let platform = MockPlatform::default();
    for number in 0..HISTORY_LENGTH + 10 {
        let blocks = format!("10.0.{number}.0/24 n1");
        propose(&platform, None, proposal_of_blocks(&blocks)).await.expect("accepted");
    }

    let history_entries = platform.list(HISTORY_PREFIX).await.expect("list").changed.len() as u64;
    let chunks = platform.list(BLOCKS_PREFIX).await.expect("list").changed;

    assert_eq!(history_entries, HISTORY_LENGTH + 1);
    assert_eq!(chunks.len() as u64, HISTORY_LENGTH + 1);
    let oldest = platform.get(&history_key(10)).await.expect("read").expect("stored");
    let oldest = Manifest::from_json(&oldest.value).expect("manifest");
    assert!(chunks.iter().any(|object| *object.key == *oldest.chunks[0].key()));
}

#[tokio::test(start_paused = true)]
async fn a_chunk_used_again_survives_an_earlier_decision_to_delete_it() {
    let platform = MockPlatform::default();
    let first = propose(&platform, None, proposal_of_blocks("10.0.0.0/24 n1")).await;
    let key = first.expect("accepted").chunks[0].key();
    propose(&platform, None, proposal_of_blocks("10.0.0.0/24 n2")).await.expect("accepted");
    let observed_version = platform.get(&key).await.expect("read").expect("stored").version;

    propose(&platform, None, proposal_of_blocks("10.0.0.0/24 n1")).await.expect("accepted");

    assert!(matches!(
        platform.delete(&key, observed_version).await,
        Err(StoreError::Conflict { .. })
    ));
}

#[tokio::test(start_paused = true)]
async fn a_change_of_blocks_keeps_the_text() {
    let platform = MockPlatform::default();
    propose(&platform, None, proposal("anna", None)).await.expect("accepted");
    let change = Change::Blocks("10.0.0.0/24 n1\n10.0.1.0/24 n2".into());

    propose(&platform, None, Proposal { change, ..proposal("carla", None) })
        .await
        .expect("accepted");

    let manifest = current_manifest(&platform).await.expect("current");
    assert_eq!(&*manifest.text, TEXT);
    assert_eq!(manifest.chunks.iter().map(|chunk| chunk.blocks).sum::<usize>(), 2);
}

#[tokio::test(start_paused = true)]
async fn invalid_blocks_are_refused_before_anything_is_written() {
    let platform = MockPlatform::default();

    let error = propose(&platform, None, proposal_of_blocks("10.0.0.0/24 nowhere")).await;

    assert!(matches!(error, Err(AcceptanceError::Manifest(_))));
    assert!(platform.list("").await.expect("list").changed.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_text_without_the_zone_of_an_existing_block_is_refused() {
    let platform = MockPlatform::default();
    propose(&platform, None, proposal_of_blocks("10.0.0.0/24 n2")).await.expect("accepted");
    let text = TEXT.replace(r#""n1", "n2""#, r#""n1""#).into();

    let change = Change::Text { text, blocks: None };

    let error = propose(&platform, None, Proposal { change, ..proposal("anna", None) }).await;

    assert!(matches!(error, Err(AcceptanceError::Manifest(_))));
    assert_eq!(current_manifest(&platform).await.expect("current").number, 1);
}
