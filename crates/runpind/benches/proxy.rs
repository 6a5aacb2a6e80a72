//! Compares requests through a daemon with direct requests to the same mock backend server.
//!
//! Criterion measures sequential requests (`exchange`) and concurrent requests (`rate`).  Then the
//! latency at half of the maximum rate is printed, direct and through the daemon.

#![expect(clippy::print_stdout, reason = "criterion can't report the latency at half load")]

#[path = "../tests/common/mod.rs"]
mod common;

use bytes::Bytes;
use common::task::start_with;
use criterion::{Criterion, Throughput};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use lab::{BackendOptions, MockBackendServer, RunRecord};
use runpind::Daemon;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Concurrent connections.
const CONNECTIONS: u64 = 32;

/// Requests in one measurement of the maximum rate.
const RATE_REQUESTS: u64 = 20_000;

/// Duration of each measurement at half load.
const HALF_LOAD_DURATION: Duration = Duration::from_secs(4);

/// Rounds at half load, each with one direct measurement and one through the daemon.
const HALF_LOAD_ROUNDS: usize = 3;

type Connection = SendRequest<Empty<Bytes>>;

/// A daemon in front of one backend server that responds immediately.
struct Setup {
    backend: MockBackendServer,
    daemon: Daemon,
}

impl Setup {
    async fn start() -> Self {
        let options = BackendOptions { slots: 1_000, mean_service_ms: 0.0, seed: 1 };
        let backend =
            MockBackendServer::start(options, RunRecord::default()).await.expect("backend");
        let text = common::configuration_text(backend.address)
            .replace("slots_per_server = 4", "slots_per_server = 1000")
            .replace("cap_requests_per_s = 1000", "cap_requests_per_s = 1000000")
            .replace("floor_percent = 40.0", "floor_percent = 100.0")
            .replace("instance_slots = 4", "instance_slots = 1");
        let daemon = start_with(&text).await;
        Self { backend, daemon }
    }

    fn targets(&self) -> [(&'static str, SocketAddr); 2] {
        [("direct", self.backend.address), ("through_daemon", self.daemon.caller_address())]
    }
}

async fn connect(to: SocketAddr) -> Connection {
    let stream = TcpStream::connect(to).await.expect("connected");
    stream.set_nodelay(true).expect("set");
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("handshake");
    tokio::spawn(connection);
    sender
}

async fn send_request(connection: &mut Connection) {
    let request = Request::get("/files/1").header("host", "bench").body(Empty::new());
    connection.ready().await.expect("open");
    let response = connection.send_request(request.expect("request")).await.expect("a response");
    assert!(response.status().is_success(), "{}", response.status());
    response.into_body().collect().await.expect("a complete response");
}

/// Sends `count` requests over all connections together, without pauses, and returns the duration.
async fn send_all(to: SocketAddr, count: u64) -> Duration {
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(connect(to).await);
    }
    let started = Instant::now();
    let mut senders = JoinSet::new();
    for mut connection in connections {
        senders.spawn(async move {
            for _ in 0..count.div_ceil(CONNECTIONS) {
                send_request(&mut connection).await;
            }
        });
    }
    senders.join_all().await;
    started.elapsed()
}

fn exchange(criterion: &mut Criterion, runtime: &Runtime, setup: &Setup) {
    let mut group = criterion.benchmark_group("exchange");
    for (name, address) in setup.targets() {
        let mut connection = runtime.block_on(connect(address));
        group.bench_function(name, |bencher| {
            bencher.iter(|| runtime.block_on(send_request(&mut connection)));
        });
    }
    group.finish();
}

fn rate(criterion: &mut Criterion, runtime: &Runtime, setup: &Setup) {
    let mut group = criterion.benchmark_group("rate");
    group.throughput(Throughput::Elements(RATE_REQUESTS)).sample_size(10);
    for (name, address) in setup.targets() {
        group.bench_function(name, |bencher| {
            bencher.iter_custom(|iterations| {
                (0..iterations).map(|_| runtime.block_on(send_all(address, RATE_REQUESTS))).sum()
            });
        });
    }
    group.finish();
}

/// Sends requests at a fixed rate and returns their latencies in microseconds.
async fn send_at_rate(to: SocketAddr, per_second: f64) -> Histogram<u64> {
    let start = Instant::now();
    let period = Duration::from_secs_f64(CONNECTIONS as f64 / per_second);
    let mut senders = JoinSet::new();
    for number in 0..CONNECTIONS {
        let mut connection = connect(to).await;
        let offset = period.mul_f64(number as f64 / CONNECTIONS as f64);
        senders.spawn(async move {
            let mut latencies = Histogram::<u64>::new(3).expect("a histogram");
            let mut due = start + offset;
            while due < start + HALF_LOAD_DURATION {
                // If the previous request delayed this one, its latency counts from its due time.
                let is_late = Instant::now() > due;
                tokio::time::sleep_until(due).await;
                let counted_from = if is_late { due } else { Instant::now() };
                send_request(&mut connection).await;
                latencies.saturating_record(counted_from.elapsed().as_micros() as u64);
                due += period;
            }
            latencies
        });
    }
    let mut all = Histogram::<u64>::new(3).expect("a histogram");
    for latencies in senders.join_all().await {
        all.add(latencies).expect("equal histograms");
    }
    all
}

fn half_load(runtime: &Runtime, setup: &Setup) {
    let [_, (_, daemon)] = setup.targets();
    let elapsed = runtime.block_on(send_all(daemon, RATE_REQUESTS));
    let max_rate = RATE_REQUESTS as f64 / elapsed.as_secs_f64();
    println!("\nmaximum rate through the daemon: {max_rate:.0} requests/s; at half of it:");
    for round in 1..=HALF_LOAD_ROUNDS {
        for (name, address) in setup.targets() {
            let latencies = runtime.block_on(send_at_rate(address, max_rate / 2.0));
            let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
            println!(
                "round {round} {name:16} {:>7} requests, p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms",
                latencies.len(),
                ms(0.5),
                ms(0.99),
                ms(0.999)
            );
        }
    }
}

fn main() {
    let runtime = Runtime::new().expect("a runtime");
    let setup = runtime.block_on(Setup::start());
    let mut criterion = Criterion::default().configure_from_args();
    exchange(&mut criterion, &runtime, &setup);
    rate(&mut criterion, &runtime, &setup);
    criterion.final_summary();
    half_load(&runtime, &setup);
}
