//! Instances that are cut off from all backend servers, as real processes: whether their callers are
//! served, and what the others conclude.
//!
//! The fleet, its callers and the checks are those of the soak test.

#![allow(dead_code, reason = "the modules serve the soak test too")]

#[path = "soak/callers.rs"]
mod callers;
#[path = "soak/checks.rs"]
mod checks;
#[path = "soak/cuts.rs"]
mod cuts;
#[path = "soak/faults.rs"]
mod faults;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/history.rs"]
mod history;
#[path = "soak/plan.rs"]
mod plan;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/recover.rs"]
mod recover;
#[path = "soak/windows.rs"]
mod windows;

#[path = "../../../platform/tests/common"]
mod common {
    pub(crate) mod caller;
    pub(crate) mod objects;
    pub(crate) mod server;
    pub(crate) mod store;
}

use checks::Checker;
use common::server::ResponseMode;
use cuts::Cut;
use fleet::Fleet;
use history::History;
use plan::Limits;
use rand::SeedableRng;
use rand::rngs::StdRng;
use recover::Served;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Environment variable that names another build of the daemon to test.
const BINARY_VARIABLE: &str = "RUNPIND_BINARY";

/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Four instances in each of three availability zones, two of them of one region.
const ZONES: [&str; 12] = [
    "north-a", "north-a", "north-a", "north-a", "north-b", "north-b", "north-b", "north-b",
    "south-a", "south-a", "south-a", "south-a",
];

/// Callers of a run.
const CALLERS: u64 = 24;

/// Callers of a run in which each request needs a new connection, which the proxies have to look up.
const FEW_CALLERS: u64 = 8;

/// Time before a cut, in which instances learn response times and open connections.
const BEFORE: Duration = Duration::from_secs(4);

/// Length of a cut: the time in which instances have to notice it, and as long again.
const CUT: Duration = Duration::from_secs(8);

/// Time after a cut within which instances serve by themselves again.
const RETURN: Duration = Duration::from_secs(2);

/// Time after that for which requests are counted.
const AFTER: Duration = Duration::from_secs(2);

/// Time in which the last requests end.
const SETTLING: Duration = Duration::from_secs(4);

/// Runs use the same addresses, one after another.
static ADDRESSES: Mutex<()> = Mutex::new(());

/// What a cut does, and to which instances.
struct Scenario {
    cut: Cut,
    instances: Vec<usize>,
    /// How the backend servers respond.
    mode: ResponseMode,
}

/// What callers got.
struct Outcome {
    /// At the instances that were cut off and at the others, from the time at which they have to know.
    during: (Served, Served),
    /// The same from [`RETURN`] after the end of the cut.
    after: (Served, Served),
    violations: Vec<String>,
    /// All log lines of all instances.
    log: String,
}

impl Scenario {
    fn run(self) -> Outcome {
        let _addresses = ADDRESSES.lock().unwrap_or_else(PoisonError::into_inner);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime can be built");
        LocalSet::new().block_on(&runtime, self.run_in_local_set())
    }

    async fn run_in_local_set(self) -> Outcome {
        let folder = tempfile::tempdir().expect("a folder can be created");
        let limits = Limits {
            descriptors: 1_024,
            service_time: Duration::from_millis(25),
            callers: 0,
            pause_ms: 60,
        };
        let history = Rc::new(History::default());
        let binary = std::env::var_os(BINARY_VARIABLE)
            .unwrap_or_else(|| env!("CARGO_BIN_EXE_runpind").into());
        let binary = std::path::Path::new(&binary);
        let fleet = Fleet::start(folder.path(), binary, &ZONES, limits, history.clone())
            .await
            .expect("the fleet starts");
        fleet.backends.borrow().iter().for_each(|backend| backend.mock.set_mode(self.mode));
        let started = Instant::now();
        history.started.set(Some(started));
        let until = started + BEFORE + CUT + RETURN + AFTER;
        let callers =
            if self.mode == ResponseMode::ConnectionClose { FEW_CALLERS } else { CALLERS };
        for number in 0..callers {
            let rng = StdRng::seed_from_u64(number);
            spawn_local(callers::run(fleet.clone(), history.clone(), rng, until, limits.pause_ms));
        }
        let mut checker = Checker::new(fleet.clone());
        let checking = async {
            while Instant::now() < until + SETTLING {
                sleep(CHECK_INTERVAL).await;
                checker.check();
            }
        };
        let cutting = async {
            sleep(BEFORE).await;
            let from = Instant::now();
            faults::cut_from_servers(&fleet, self.instances.clone(), self.cut, CUT).await;
            (from, Instant::now())
        };
        let ((), (cut_at, cut_until)) = tokio::join!(checking, cutting);
        let during =
            recover::served(&history, &self.instances, cut_at + history::RECONNECTION, cut_until);
        let after = recover::served(&history, &self.instances, cut_until + RETURN, until);
        fleet.stop().await;
        let violations = history.violations.borrow();
        let violations =
            violations.iter().map(|violation| format!("{}: {}", violation.rule, violation.detail));
        let logs = (0..ZONES.len()).map(|number| {
            let path = folder.path().join(format!("instance-{number}.log"));
            std::fs::read_to_string(path).expect("each instance logs")
        });
        Outcome { during, after, violations: violations.collect(), log: logs.collect() }
    }
}

impl Outcome {
    /// Checks that the instances that were cut off served nearly as well as the others, and that
    /// nothing else was harmed.
    fn assert_served(&self) {
        let Self { during: (at_them, at_others), after, violations, log } = self;
        assert_eq!(violations, &[] as &[String]);
        assert!(at_others.succeeded > 0, "others serve: {at_others:?}");
        assert!(at_them.sent > 0, "callers go on asking the instances that are cut off");
        assert!(
            !at_them.is_far_worse_than(*at_others),
            "during the cut {at_them:?} at them, {at_others:?} at the others"
        );
        let (at_them, at_others) = after;
        assert!(
            !at_them.is_far_worse_than(*at_others),
            "after the cut {at_them:?} at them, {at_others:?} at the others"
        );
        assert!(!log.contains("\"held back\""), "no sound request is quarantined");
    }
}

fn scenario(cut: Cut, instances: impl IntoIterator<Item = usize>) -> Scenario {
    Scenario { cut, instances: instances.into_iter().collect(), mode: ResponseMode::Success }
}

// Guards against callers that get no answer before their deadline as all connections hang.
#[test]
fn callers_of_most_of_a_zone_whose_connections_hang_are_served() {
    scenario(Cut::Hang, 0..3).run().assert_served();
}

// Guards against the same where no instance of the zone can pass requests on.
#[test]
fn callers_of_a_zone_whose_connections_hang_are_served() {
    scenario(Cut::Hang, 0..4).run().assert_served();
}

// Guards against callers that are refused at once, and come back, as all connections are reset.
#[test]
fn callers_of_an_instance_whose_connections_are_reset_are_served() {
    scenario(Cut::Reset, [0]).run().assert_served();
}

// Guards against the same where only other regions can pass requests on.
#[test]
fn callers_of_a_region_whose_connections_are_reset_are_served() {
    scenario(Cut::Reset, 0..8).run().assert_served();
}

// Guards against callers that are refused once the old connections have ended and new ones are refused.
#[test]
fn callers_of_a_zone_whose_new_connections_are_refused_are_served() {
    let mode = ResponseMode::ConnectionClose;
    Scenario { mode, ..scenario(Cut::NewReset, 0..4) }.run().assert_served();
}
