//! Simulates the decisions under load and faults with a simple queue model of the backend servers.
//!
//! A step is one millisecond.  Twelve instances, two in each of six availability zones, send to the
//! site of their own zone; each may use half of the site's capacity, which models its share.  The
//! baseline runs in the same simulation: round robin without limits, and callers that retry slow
//! requests.  All results are a function of the seeds.
//!
//! `cargo bench -p steering --bench decisions` prints the tables; `-- scenarios`, `-- pickers`
//! (methods of choosing a backend server) and `-- waits` (longest waits) print one group.

#![allow(clippy::print_stdout, reason = "it prints its results")]

mod services;
mod simulation;

use services::{SERVICES, Service, ZONES, capacity_per_ms};
use simulation::{Fault, Method, RECOVERED_MS, RUN_MS, Simulation, WARM_UP_MS};
use steering::admission::WAIT_FACTOR;

const SEEDS: u64 = 20;
const RUNPIN: Method = Method::Runpin { picker: 2, wait_factor: WAIT_FACTOR };

/// Results of one service over all seeds.
struct Row {
    /// Requests answered in time, as a fraction of the possible ones: mean and worst seed.
    goodput: (f64, f64),
    p99_read_ms: u64,
    p99_write_ms: u64,
    least_headroom: f64,
    drained_ms: u64,
    requests_after_leaving: u32,
    /// Goodput from three seconds after the fault, as a fraction of the remaining capacity.
    recovered_goodput: f64,
}

fn measure(service: &Service, method: Method, fault: Fault, load: f64) -> Row {
    let possible = capacity_per_ms(service) * load.min(1.0);
    let remaining = capacity_per_ms(service) * load.min(1.0 - 1.0 / ZONES as f64);
    let (mut reads, mut writes, mut goodputs) = (Vec::new(), Vec::new(), Vec::new());
    let mut row = Row {
        goodput: (0.0, 0.0),
        p99_read_ms: 0,
        p99_write_ms: 0,
        least_headroom: 1.0,
        drained_ms: 0,
        requests_after_leaving: 0,
        recovered_goodput: 0.0,
    };
    for seed in 1..=SEEDS {
        let outcome = Simulation::new(service, method, fault, load, seed).run();
        goodputs.push(outcome.in_time as f64 / (possible * (RUN_MS - WARM_UP_MS) as f64));
        reads.extend(outcome.reads_ms);
        writes.extend(outcome.writes_ms);
        row.least_headroom = row.least_headroom.min(outcome.least_headroom);
        row.drained_ms = row.drained_ms.max(outcome.drained_ms);
        row.requests_after_leaving += outcome.requests_after_leaving;
        let after = outcome.in_time_after_recovery as f64;
        row.recovered_goodput +=
            after / (remaining * (RUN_MS - RECOVERED_MS) as f64) / SEEDS as f64;
    }
    let mean = goodputs.iter().sum::<f64>() / goodputs.len() as f64;
    row.goodput = (mean, goodputs.iter().copied().fold(f64::INFINITY, f64::min));
    row.p99_read_ms = p99(reads);
    row.p99_write_ms = p99(writes);
    row
}

fn p99(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values.get(values.len() * 99 / 100).copied().unwrap_or(0)
}

fn print(case: &str, service: &Service, row: &Row) {
    println!(
        "| {case} | {} | {:.1} | {:.1} | {} | {} | {:.0} | {} | {:.1} |",
        service.name,
        row.goodput.0 * 100.0,
        row.goodput.1 * 100.0,
        row.p99_read_ms,
        row.p99_write_ms,
        row.least_headroom * 100.0,
        row.drained_ms,
        row.recovered_goodput * 100.0,
    );
}

fn header(title: &str) {
    println!("\n{title}\n");
    println!(
        "| case | service | goodput % | worst seed % | p99 read ms | p99 write ms | \
         least headroom % | drain ms | after fault % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
}

fn scenarios() {
    let cases = [
        ("0.7x", Fault::None, 0.7),
        ("1x", Fault::None, 1.0),
        ("2x", Fault::None, 2.0),
        ("zone lost, 0.7x", Fault::ZoneLost, 0.7),
        ("zone lost, 1x", Fault::ZoneLost, 1.0),
        ("cold, 0.7x", Fault::Cold, 0.7),
        ("one broken, 0.7x", Fault::Broken, 0.7),
        ("lying reports, 0.7x", Fault::FalseReports, 0.7),
        ("one leaving, 0.7x", Fault::Leaving, 0.7),
    ];
    header(&format!("Scenarios, {SEEDS} seeds: runpin, then the baseline"));
    for (case, fault, load) in cases {
        for service in &SERVICES {
            let runpin = measure(service, RUNPIN, fault, load);
            print(case, service, &runpin);
            print("- baseline", service, &measure(service, Method::Baseline, fault, load));
            if fault == Fault::Leaving {
                println!(
                    "new requests after the leaving signal, {}: {}",
                    service.name, runpin.requests_after_leaving
                );
            }
        }
    }
}

fn pickers() {
    header("Methods of choosing a backend server");
    let names = ["least in flight", "power of two", "latency weighted"];
    let cases = [("0.7x", Fault::None, 0.7), ("1x", Fault::None, 1.0)];
    let slow = [("slow one, 0.5x", Fault::Slow, 0.5)];
    for (case, fault, load) in cases.into_iter().chain(slow) {
        for service in &SERVICES {
            for (kind, name) in names.iter().enumerate() {
                let method = Method::Runpin { picker: kind as u8, wait_factor: WAIT_FACTOR };
                let row = measure(service, method, fault, load);
                print(&format!("{case}, {name}"), service, &row);
            }
        }
    }
}

fn waits() {
    header("Longest wait as a multiple of the mean service time");
    for wait_factor in [0.5, 1.0, 2.0, 4.0, 8.0] {
        for (load, case) in [(0.7, "0.7x"), (2.0, "2x")] {
            for service in &SERVICES {
                let method = Method::Runpin { picker: 2, wait_factor };
                let row = measure(service, method, Fault::None, load);
                print(&format!("{case}, factor {wait_factor}"), service, &row);
            }
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let is_selected = |name: &str| arguments.iter().any(|argument| argument == name);
    let all = !["pickers", "waits", "scenarios"].into_iter().any(is_selected);
    if all || is_selected("scenarios") {
        scenarios();
    }
    if all || is_selected("pickers") {
        pickers();
    }
    if all || is_selected("waits") {
        waits();
    }
}
