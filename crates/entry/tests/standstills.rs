//! Standstills of the process, and how long requests that are read after them may have waited.

use entry::process::standstills::Standstills;
use std::time::{Duration, Instant};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A record with ticks in time, until a time that is returned.
fn running() -> (Standstills, Instant) {
    let started = Instant::now();
    let standstills = Standstills::new(started);
    let ticks = [100, 205, 300].map(|at| standstills.record_tick(started + ms(at)));
    assert_eq!(ticks, [None; 3]);
    (standstills, started + ms(300))
}

#[test]
fn a_request_of_a_process_that_runs_has_not_waited() {
    let (standstills, last_tick) = running();
    assert_eq!(standstills.longest_wait(last_tick + ms(99)), Duration::ZERO);
}

// Guards against requests that are read before the tick that shows the standstill.
#[test]
fn a_request_that_is_read_before_the_late_tick_may_have_waited_since_the_last_one() {
    let (standstills, last_tick) = running();
    assert_eq!(standstills.longest_wait(last_tick + ms(2_500)), ms(2_500));
}

#[test]
fn a_request_that_is_read_after_the_late_tick_may_have_waited_since_the_one_before() {
    let (standstills, last_tick) = running();
    assert_eq!(standstills.record_tick(last_tick + ms(2_500)), Some(ms(2_500)));
    assert_eq!(standstills.longest_wait(last_tick + ms(2_520)), ms(2_520));
    assert_eq!(standstills.longest_wait(last_tick + ms(2_600)), Duration::ZERO);
}

// Guards against requests that were read before a standstill, and handled after it.
#[test]
fn a_request_that_was_read_before_a_standstill_has_not_waited_to_be_read() {
    let (standstills, last_tick) = running();
    standstills.record_tick(last_tick + ms(2_500));
    assert_eq!(standstills.longest_wait(last_tick - ms(10)), Duration::ZERO);
}

// Guards against requests that wait for each turn of a process that is short of processor time, and get their
// whole time all the same.
#[test]
fn a_process_whose_ticks_are_late_again_and_again_lets_its_tasks_wait() {
    let (standstills, last_tick) = running();
    standstills.record_tick(last_tick + ms(500));
    standstills.record_tick(last_tick + ms(900));
    assert_eq!(standstills.turn_delay(last_tick + ms(910)), ms(400));
    assert_eq!(standstills.turn_delay(last_tick + ms(1_500)), ms(500));
    assert_eq!(standstills.turn_delay(last_tick + ms(4_000)), ms(600));
}

// Guards against requests that lose their time after a single standstill.
#[test]
fn a_process_that_stood_still_once_does_not_let_its_tasks_wait() {
    let (standstills, last_tick) = running();
    assert_eq!(standstills.turn_delay(last_tick + ms(2_400)), Duration::ZERO);
    standstills.record_tick(last_tick + ms(2_500));
    assert_eq!(standstills.turn_delay(last_tick + ms(2_510)), Duration::ZERO);
    standstills.record_tick(last_tick + ms(2_600));
    assert_eq!(standstills.turn_delay(last_tick + ms(2_610)), Duration::ZERO);
}
