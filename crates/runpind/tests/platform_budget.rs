//! Many instances at the stand-in platform: in ordinary times, in an outage, and after it.

mod demand;

use demand::{Demand, WorstSecond};
use std::time::Duration;

const INSTANCES: usize = 300;

#[tokio::test(start_paused = true)]
async fn recovery_after_an_hour_meets_no_stampede() {
    let demand = Demand::start(INSTANCES);
    demand.calls_over(Duration::from_secs(30)).await;

    demand.set_outage(true);
    demand.calls_over(Duration::from_secs(60)).await;
    let outage = demand.calls_over(Duration::from_secs(3_540)).await;
    demand.set_outage(false);
    let recovery = demand.calls_over(Duration::from_secs(120)).await;

    // In the outage each instance probes once in 7.5 s on average, and twice that at the worst.
    assert!(outage.worst_second() <= INSTANCES as u64 / 4, "{} calls", outage.worst_second());
    // The platform takes 2,000 calls a second.
    assert!(recovery.worst_second() < 2_000, "{} calls", recovery.worst_second());
    assert!(recovery[..5].worst_second() < 500, "{:?}", &recovery[..5]);
    // Everybody is served again.
    assert_eq!(demand.open_circuits(), 0);
}
