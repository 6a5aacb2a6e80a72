//! Steps the decisions under load and faults against a plain queue model of the backend servers.
//!
//! Time goes in steps of one millisecond.  Twelve instances, two in each of six availability zones,
//! send to the site of their own zone; each may fill half of the site's capacity, which stands for
//! its share.  Next to them runs the baseline in the same world: round robin without limits, and
//! callers that repeat what took too long.  Every figure is a function of the seeds.
//!
//! `cargo bench -p steering --bench decisions` prints the tables; `-- pickers` only compares
//! methods of choosing a backend server, `-- waits` only longest waits.

#![allow(clippy::print_stdout, reason = "it prints its results")]

mod world;

use steering::admission::WAIT_FACTOR;
use world::{Fault, Method, RECOVERED_MS, RUN_MS, SERVICES, Service, WARM_UP_MS, World};
use world::{ZONES, capacity_per_ms};

const SEEDS: u64 = 20;
const RUNPIN: Method = Method::Runpin { picker: 2, wait_factor: WAIT_FACTOR };

/// Figures of one service over all seeds.
struct Row {
    /// Good answers as a part of what is possible: mean and worst.
    goodput: (f64, f64),
    p99_read_ms: u64,
    p99_write_ms: u64,
    least_headroom: f64,
    drained_ms: u64,
    leaving_work: u32,
    /// Goodput from three seconds after the fault on, as a part of what remains.
    recovered: f64,
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
        leaving_work: 0,
        recovered: 0.0,
    };
    for seed in 1..=SEEDS {
        let outcome = World::new(service, method, fault, load, seed).run();
        goodputs.push(outcome.good as f64 / (possible * (RUN_MS - WARM_UP_MS) as f64));
        reads.extend(outcome.reads_ms);
        writes.extend(outcome.writes_ms);
        row.least_headroom = row.least_headroom.min(outcome.least_headroom);
        row.drained_ms = row.drained_ms.max(outcome.drained_ms);
        row.leaving_work += outcome.leaving_work;
        let after = outcome.good_after_recovery as f64;
        row.recovered += after / (remaining * (RUN_MS - RECOVERED_MS) as f64) / SEEDS as f64;
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

fn print(what: &str, service: &Service, row: &Row) {
    println!(
        "| {what} | {} | {:.1} | {:.1} | {} | {} | {:.0} | {} | {:.1} |",
        service.name,
        row.goodput.0 * 100.0,
        row.goodput.1 * 100.0,
        row.p99_read_ms,
        row.p99_write_ms,
        row.least_headroom * 100.0,
        row.drained_ms,
        row.recovered * 100.0,
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
        ("lying reports, 0.7x", Fault::Lies, 0.7),
        ("one leaving, 0.7x", Fault::Leaving, 0.7),
    ];
    header(&format!("Scenarios, {SEEDS} seeds: runpin, then the baseline"));
    for (what, fault, load) in cases {
        for service in &SERVICES {
            let runpin = measure(service, RUNPIN, fault, load);
            print(what, service, &runpin);
            print("- baseline", service, &measure(service, Method::Baseline, fault, load));
            if fault == Fault::Leaving {
                println!("new work after the sign, {}: {}", service.name, runpin.leaving_work);
            }
        }
    }
}

fn pickers() {
    header("Methods of choosing a backend server");
    let names = ["least in flight", "power of two", "latency weighted"];
    let cases = [("0.7x", Fault::None, 0.7), ("1x", Fault::None, 1.0)];
    let slow = [("slow one, 0.5x", Fault::Slow, 0.5)];
    for (what, fault, load) in cases.into_iter().chain(slow) {
        for service in &SERVICES {
            for (kind, name) in names.iter().enumerate() {
                let method = Method::Runpin { picker: kind as u8, wait_factor: WAIT_FACTOR };
                let row = measure(service, method, fault, load);
                print(&format!("{what}, {name}"), service, &row);
            }
        }
    }
}

fn waits() {
    header("Longest wait as a multiple of the mean service time");
    for wait_factor in [0.5, 1.0, 2.0, 4.0, 8.0] {
        for (load, what) in [(0.7, "0.7x"), (2.0, "2x")] {
            for service in &SERVICES {
                let method = Method::Runpin { picker: 2, wait_factor };
                let row = measure(service, method, Fault::None, load);
                print(&format!("{what}, factor {wait_factor}"), service, &row);
            }
        }
    }
}

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let named = |name: &str| wanted.iter().any(|one| one == name);
    let all = !["pickers", "waits", "scenarios"].into_iter().any(named);
    if all || named("scenarios") {
        scenarios();
    }
    if all || named("pickers") {
        pickers();
    }
    if all || named("waits") {
        waits();
    }
}
