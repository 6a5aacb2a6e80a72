//! Calls of many instances to the platform during an outage and after it.

mod demand;

use demand::{Demand, WorstSecond};
use std::time::Duration;

const INSTANCES: usize = 300;

#[tokio::test(start_paused = true)]
async fn recovery_after_an_hour_causes_no_thundering_herd() {
    let demand = Demand::start(INSTANCES);
    demand.count_calls(Duration::from_secs(30)).await;

    demand.set_outage(true);
    demand.count_calls(Duration::from_secs(60)).await;
    let outage = demand.count_calls(Duration::from_secs(3_540)).await;
    demand.set_outage(false);
    let recovery = demand.count_calls(Duration::from_secs(120)).await;

    // In the outage each instance probes every 7.5 s on average, and at most twice as often.
    assert!(outage.worst_second() <= INSTANCES as u64 / 4, "{} calls", outage.worst_second());
    // The platform accepts 2,000 calls per second.
    assert!(recovery.worst_second() < 2_000, "{} calls", recovery.worst_second());
    assert!(recovery[..5].worst_second() < 500, "{:?}", &recovery[..5]);
    // No instance's circuit breaker is still open.
    assert_eq!(demand.open_circuits(), 0);
}
