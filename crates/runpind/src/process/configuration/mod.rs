//! Keeps the active configuration up to date; its version number never decreases.
//!
//! [`steering::adoption`] decides which source to fetch from and which version to activate;
//! [`ConfigurationActor`] executes its actions. [`watch`] receives changes from the platform, and
//! [`answer`] handles requests of other instances.

mod announce;
pub mod answer;
pub mod error;
mod fetch;
pub mod metrics;
pub mod status;
pub mod watch;

use super::Process;
use crate::version::Version;
use announce::announce;
use error::AdoptionError;
use fetch::{Fetcher, source_label};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use metrics::ConfigurationMetrics;
use std::sync::Arc;
use steering::adoption::{Action, Adoption, Source};

/// Maximum number of peers that a new instance queries before it serves.
const MAX_JOIN_PEERS: usize = 8;

/// Adopts configuration versions, one at a time.
#[derive(Actor)]
pub struct ConfigurationActor {
    process: Arc<Process>,
    fetcher: Fetcher,
    adoption: Adoption,
    /// The highest loaded version; `None` once it is active.
    loaded: Option<Arc<Version>>,
}

/// Outcome of a fetch: a newer version, `None` if there is none, or a failure.
type Outcome = Result<Option<Arc<Version>>, AdoptionError>;

/// A source reported the number of its version.
pub struct VersionReport {
    /// The reporting source.
    pub source: Source,
    /// Number of its version.
    pub number: u64,
}

/// Starts the first fetches of a new instance.
struct Join(Vec<Action>);

/// A fetch ended, or the watch of the platform returned a manifest or failed.
struct Fetched {
    source: Source,
    outcome: Outcome,
}

/// Periodic timer event.
struct Tick;

impl ConfigurationActor {
    fn new(process: Arc<Process>, metrics: ConfigurationMetrics) -> (Self, Join) {
        let (adoption, actions) = Adoption::join(process.clock.now(), choose_join_peers(&process));
        let fetcher = Fetcher { process: process.clone(), metrics };
        (Self { process, fetcher, adoption, loaded: None }, Join(actions))
    }

    fn execute(&mut self, actions: Vec<Action>, actor: &ActorRef<Self>) {
        for action in actions {
            match action {
                Action::Fetch(source) => self.start_fetch(source, actor.clone()),
                Action::Activate(number) => self.activate(number),
            }
        }
        let not_serving = self.adoption.not_serving_reason();
        self.process.configuration.update(|status| status.not_serving = not_serving);
    }

    fn start_fetch(&self, source: Source, actor: ActorRef<Self>) {
        let fetcher = self.fetcher.clone();
        tokio::spawn(async move {
            let outcome = fetcher.fetch(&source).await;
            // The actor ends only with the daemon.
            let _ = actor.tell(Fetched { source, outcome }).await;
        });
    }

    fn activate(&mut self, number: u64) {
        let Some(version) = self.loaded.take().filter(|version| version.number == number) else {
            return;
        };
        self.process.build_table(&version);
        log::info!("activated configuration version {number}");
        self.process.metrics.configuration_version.set(number as i64);
        self.process.version.store(Some(version));
        self.process.refresh_description();
        tokio::spawn(announce(self.process.clone(), self.fetcher.metrics.clone(), number));
    }

    fn handle_loaded(&mut self, source: &Source, version: Arc<Version>) -> Vec<Action> {
        let number = version.number;
        if self.loaded.as_ref().is_none_or(|loaded| loaded.number < number) {
            self.loaded = Some(version);
            self.fetcher.metrics.adopted.with_label_values(&[source_label(source)]).inc();
            self.process.configuration.update(|status| {
                status.source = Some(source.clone());
                status.highest_reported = status.highest_reported.max(number);
            });
        }
        self.adoption.on_loaded(self.process.clock.now(), source, number)
    }

    fn handle_failure(&mut self, source: &Source, error: &AdoptionError) -> Vec<Action> {
        let now = self.process.clock.now();
        self.fetcher.metrics.failures.with_label_values(&[error.kind()]).inc();
        let failure = status::Failure {
            kind: error.kind(),
            number: error.rejected_number(),
            message: error.to_string().into(),
            at: now,
        };
        let mut is_new = false;
        self.process.configuration.update(|status| {
            let last = status.last_failure.replace(failure);
            is_new = last.is_none_or(|last| *last.message != *error.to_string());
        });
        if is_new {
            log::warn!("no newer configuration from {source:?}: {error}");
        }
        match error.rejected_number() {
            Some(number) => self.adoption.on_load_failed(now, source, number),
            None => self.adoption.on_unreachable(now, source),
        }
    }
}

/// Chooses the peers that a new instance queries, those of its own availability zone first.
fn choose_join_peers(process: &Process) -> Vec<Arc<str>> {
    let members = process.members.load();
    let own = &process.settings;
    let mut peers: Vec<_> = members
        .iter()
        .flat_map(|members| &members.members)
        .filter(|member| member.name != own.name)
        .map(|member| (member.availability_zone != own.availability_zone, member.name.clone()))
        .collect();
    peers.sort();
    // Half are from other availability zones, as all instances of the own one may be outdated.
    let other_zones =
        peers.iter().filter(|(is_other_zone, _)| *is_other_zone).take(MAX_JOIN_PEERS / 2);
    let own_zone =
        peers.iter().filter(|(is_other_zone, _)| !is_other_zone).take(MAX_JOIN_PEERS / 2);
    own_zone.chain(other_zones).map(|(_, name)| name.clone()).collect()
}

impl Message<Join> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, Join(actions): Join, context: &mut Context<Self, ()>) {
        self.execute(actions, context.actor_ref());
    }
}

impl Message<VersionReport> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, report: VersionReport, context: &mut Context<Self, ()>) {
        let highest = &self.fetcher.metrics.highest_reported;
        highest.set(highest.get().max(report.number as i64));
        self.process.configuration.update(|status| {
            status.highest_reported = status.highest_reported.max(report.number);
        });
        let now = self.process.clock.now();
        let actions = self.adoption.record_offer(now, report.source, report.number);
        self.execute(actions, context.actor_ref());
    }
}

impl Message<Fetched> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, fetched: Fetched, context: &mut Context<Self, ()>) {
        let source = &fetched.source;
        let actions = match fetched.outcome {
            Ok(Some(version)) => self.handle_loaded(source, version),
            Ok(None) => self.adoption.on_nothing_newer(self.process.clock.now(), source),
            Err(error) => self.handle_failure(source, &error),
        };
        self.execute(actions, context.actor_ref());
    }
}

impl Message<Tick> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        let actions = self.adoption.tick(self.process.clock.now());
        self.execute(actions, context.actor_ref());
    }
}
