//! Callers of an availability zone, who send at the zone's rate whether they get responses or not.

use crate::common::caller::{Response, read_next_response};
use crate::instance::{CALLER_PORT, LOOK_UP_PORT};
use crate::record::Sent;
use crate::site::{Class, Habit, Kind, Traffic};
use crate::world::{HOST, World, path_prefix};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};

/// Time between two rounds of requests.
const ROUND: Duration = Duration::from_millis(10);

/// Time that a caller gives an instance to come up or to answer a look-up.
const PATIENCE: Duration = Duration::from_secs(1);

/// Time for which an answer of a look-up is used.
const TTL: Duration = Duration::from_secs(2);

/// Time before a retry that nobody asked to wait for, at most.
const MAX_PAUSE_MS: u64 = 150;

/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Statuses after which no caller retries.
const FINAL: [u16; 5] = [400, 401, 404, 413, 431];

/// The callers of a zone.
pub(crate) struct Callers {
    world: Rc<World>,
    zone: String,
    addresses: RefCell<Vec<SocketAddr>>,
    looked_up_at: Cell<Option<Instant>>,
    idle: RefCell<HashMap<SocketAddr, Vec<TcpStream>>>,
}

/// How a caller behaves.
#[derive(Clone, Copy, Debug)]
struct Habits {
    leaves_after: Option<Duration>,
    /// Further attempts, and whether they come at once.
    retries: u32,
    is_abusive: bool,
}

/// Sends a zone's requests until a time.
pub(crate) async fn run(world: Rc<World>, traffic: Traffic, started: Instant, until: Instant) {
    let callers = |zone: &str| {
        Rc::new(Callers {
            world: world.clone(),
            zone: zone.to_owned(),
            addresses: RefCell::default(),
            looked_up_at: Cell::default(),
            idle: RefCell::default(),
        })
    };
    let mut by_zone = HashMap::new();
    let total: f64 = traffic.mix.values().sum();
    let mut due = 0.0;
    let mut rounds = interval(ROUND);
    while Instant::now() < until {
        rounds.tick().await;
        let burst = world.pressure.borrow().burst.get(&traffic.zone).copied().unwrap_or(1.0);
        due += traffic.rate(started.elapsed()) * burst * ROUND.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let moved = world.pressure.borrow().moved.get(&traffic.zone).cloned();
            let zone = moved.filter(|(_, share)| world.draw(*share)).map(|(zone, _)| zone);
            let zone = zone.unwrap_or_else(|| traffic.zone.clone());
            let mut part = world.rng.borrow_mut().random_range(0.0..total);
            let name = traffic.mix.iter().find(|(_, weight)| {
                part -= **weight;
                part < 0.0
            });
            let class = name.and_then(|(name, _)| {
                world.site.classes.iter().position(|class| class.name == *name)
            });
            let Some(class) = class else { continue };
            let callers = by_zone.entry(zone.clone()).or_insert_with(|| callers(&zone)).clone();
            spawn_local(async move { callers.request(class).await });
        }
    }
}

impl Traffic {
    /// Requests a second at a time of the day.
    fn rate(&self, elapsed: Duration) -> f64 {
        let turns = elapsed.as_secs_f64() / self.shape.period_s + self.shape.phase;
        self.per_s * (1.0 + self.shape.swing * (turns * std::f64::consts::TAU).sin())
    }
}

impl Callers {
    /// Sends a request, and again while it may be.
    async fn request(&self, number: usize) {
        let world = &self.world;
        let class = &world.site.classes[number];
        let deadline = Duration::from_secs_f64(class.deadline_ms / 1_000.0);
        let Habits { leaves_after, retries, is_abusive } = self.draw_habits(class);
        let thing = world.rng.borrow_mut().random_range(0..class.things.max(1));
        let started = Instant::now();
        let mut attempts = 0;
        loop {
            let left = deadline.saturating_sub(started.elapsed());
            if left.is_zero() {
                return world.record.count("too late");
            }
            let leaves_after = leaves_after.map(|after| after.saturating_sub(started.elapsed()));
            let response = match leaves_after {
                Some(after) => timeout(after, self.attempt(number, thing, left)).await.ok(),
                None => Some(self.attempt(number, thing, left).await),
            };
            let Some(response) = response else { return world.record.count("left") };
            let (status, is_served) = match &response {
                Some(response) => (response.status, response.status == 200 && response.is_complete),
                None => (0, false),
            };
            attempts += 1;
            if is_served {
                let aim = Duration::from_secs_f64(class.aim_ms / 1_000.0);
                let in_time = started.elapsed() <= aim;
                return world.record.count(if in_time { "served in time" } else { "served late" });
            }
            let may_repeat = match class.kind {
                Kind::Safe => !FINAL.contains(&status),
                Kind::Unsafe | Kind::Upload => PROMISES.contains(&status),
            };
            if !may_repeat || attempts > retries {
                return world.record.count(&format!("failed {status}"));
            }
            if !is_abusive {
                let asked = response.as_ref().and_then(|response| response.header("retry-after"));
                let asked = asked.and_then(|text| text.parse().ok()).map(Duration::from_secs_f64);
                let pause_ms = world.rng.borrow_mut().random_range(1..MAX_PAUSE_MS);
                let most = deadline.saturating_sub(started.elapsed()) / 3;
                sleep(asked.unwrap_or(Duration::from_millis(pause_ms)).min(most)).await;
            }
        }
    }

    fn draw_habits(&self, class: &Class) -> Habits {
        let pressure = self.world.pressure.borrow();
        let half_aim = Duration::from_secs_f64(class.aim_ms / 2_000.0);
        let leaves = pressure.give_up.filter(|(share, _)| self.world.draw(*share));
        let abuse = pressure.abuse.filter(|(share, _)| self.world.draw(*share));
        Habits {
            leaves_after: leaves.map(|(_, after)| after.unwrap_or(half_aim)),
            retries: class.retries + abuse.map_or(0, |(_, times)| times),
            is_abusive: abuse.is_some(),
        }
    }

    /// Sends a request once; `None` if the connection can't be opened or the time is over.
    async fn attempt(&self, number: usize, thing: u32, left: Duration) -> Option<Response> {
        let world = &self.world;
        let class = &world.site.classes[number];
        let address = self.choose_address().await?;
        let idle = match class.habit {
            Habit::Fresh => None,
            Habit::Pool | Habit::Pipeline => {
                self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop)
            }
        };
        let mut stream = match idle {
            Some(stream) => stream,
            None => timeout(PATIENCE, TcpStream::connect(address)).await.ok()?.ok()?,
        };
        // The connection works without.
        let _ = stream.set_nodelay(true);
        let id = world.record.next_id();
        let instance = world.instance_at(address.ip());
        let sent = Sent {
            at: Instant::now(),
            instance,
            deadline: left,
            has_checked_deadline: class.kind != Kind::Upload,
            services: world.routes.borrow()[number].clone(),
        };
        let body = "x".repeat(world.draw_of(class.req_bytes) as usize);
        let text = format!(
            "{} {}x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id:016x}\r\nCookie: X-Affinity-Key={number}.{thing}\r\n\
             X-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            class.method,
            path_prefix(number),
            left.as_millis(),
            body.len()
        );
        world.record.sent.borrow_mut().insert(id, sent);
        sleep(Duration::from_secs_f64(world.site.net.client_ms / 1_000.0)).await;
        let exchange = async {
            stream.write_all(text.as_bytes()).await.ok()?;
            let mut buffer = Vec::new();
            let response = read_next_response(&mut stream, &mut buffer).await;
            (response.status > 0).then_some((response, buffer.is_empty()))
        };
        let (response, is_clean) = timeout(left, exchange).await.ok()??;
        let stamp = response.header("x-server-stamp");
        if response.status == 200
            && !stamp.is_some_and(|stamp| stamp.ends_with(&format!("{id:016x}")))
        {
            world.record.count("FOREIGN");
        }
        let closes = response.header("connection").is_some_and(|value| value.contains("close"));
        if class.habit != Habit::Fresh && is_clean && !closes && response.is_complete {
            self.idle.borrow_mut().entry(address).or_default().push(stream);
        }
        Some(response)
    }

    /// An address of the last look-up, which is made again when it is old.
    async fn choose_address(&self) -> Option<SocketAddr> {
        if self.looked_up_at.get().is_none_or(|at| at.elapsed() > TTL) {
            self.looked_up_at.set(Some(Instant::now()));
            if let Some(addresses) = self.look_up().await {
                self.idle.borrow_mut().retain(|address, _| addresses.contains(address));
                self.addresses.replace(addresses);
            }
        }
        self.addresses.borrow().choose(&mut *self.world.rng.borrow_mut()).copied()
    }

    async fn look_up(&self) -> Option<Vec<SocketAddr>> {
        let site = &self.world.site;
        let region = site.region(&self.zone);
        let mut instances = self.world.instances.borrow().clone();
        instances.sort_by_key(|instance| site.delay(&self.zone, &instance.zone));
        for instance in instances.iter().take(3) {
            let asking = async {
                let mut stream = TcpStream::connect(instance.address(LOOK_UP_PORT)).await.ok()?;
                let text = format!(
                    "GET /api/resolve?name={HOST}&region={region}&zone={} HTTP/1.1\r\nHost: x\r\n\r\n",
                    self.zone
                );
                stream.write_all(text.as_bytes()).await.ok()?;
                let response = read_next_response(&mut stream, &mut Vec::new()).await;
                let body: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
                let addresses = body["addresses"].as_array()?.iter();
                addresses.map(|address| address.as_str()?.parse().ok()).collect()
            };
            let addresses: Option<Vec<SocketAddr>> = timeout(PATIENCE, asking).await.ok().flatten();
            if let Some(addresses) = addresses.filter(|addresses| !addresses.is_empty()) {
                debug_assert!(addresses.iter().all(|address| address.port() == CALLER_PORT));
                return Some(addresses);
            }
        }
        None
    }
}
