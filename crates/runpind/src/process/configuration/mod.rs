//! Keeps the configuration in force up to date, moving only to higher versions.
//!
//! [`steering::adoption`] decides what is fetched from whom and what is put in force;
//! [`ConfigurationActor`] carries that out, [`watch`] hears from the platform and [`answer`] from
//! other instances.

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

/// Peers that a new instance asks before it serves.
const PEERS_ASKED: usize = 8;

/// Adopts configuration versions, one at a time.
#[derive(Actor)]
pub struct ConfigurationActor {
    process: Arc<Process>,
    fetcher: Fetcher,
    adoption: Adoption,
    /// The highest version loaded, until it is put in force.
    loaded: Option<Arc<Version>>,
}

/// What came of a fetch: a newer version, nothing newer, or a failure.
type Outcome = Result<Option<Arc<Version>>, AdoptionError>;

/// A source says that it has the version with this number.
pub struct Heard {
    /// Who says so.
    pub source: Source,
    /// The number.
    pub number: u64,
}

/// Starts the first fetches of a new instance.
struct Join(Vec<Action>);

/// A fetch ended, or the platform was heard from without one.
struct Fetched {
    source: Source,
    outcome: Outcome,
}

/// Time passed.
struct Tick;

impl ConfigurationActor {
    fn new(process: Arc<Process>, metrics: ConfigurationMetrics) -> (Self, Join) {
        let (adoption, actions) = Adoption::join(process.clock.now(), peers_to_ask(&process));
        let fetcher = Fetcher { process: process.clone(), metrics };
        (Self { process, fetcher, adoption, loaded: None }, Join(actions))
    }

    fn carry_out(&mut self, actions: Vec<Action>, actor: &ActorRef<Self>) {
        for action in actions {
            match action {
                Action::Fetch(source) => self.start_fetch(source, actor.clone()),
                Action::PutInForce(number) => self.put_in_force(number),
            }
        }
        let not_serving = self.adoption.not_serving();
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

    fn put_in_force(&mut self, number: u64) {
        let Some(version) = self.loaded.take().filter(|version| version.number == number) else {
            return;
        };
        self.process.build_table(&version);
        log::info!("configuration version {number} is in force");
        self.process.metrics.configuration_version.set(number as i64);
        self.process.version.store(Some(version));
        self.process.refresh_description();
        tokio::spawn(announce(self.process.clone(), self.fetcher.metrics.clone(), number));
    }

    fn loaded(&mut self, source: &Source, version: Arc<Version>) -> Vec<Action> {
        let number = version.number;
        if self.loaded.as_ref().is_none_or(|loaded| loaded.number < number) {
            self.loaded = Some(version);
            self.fetcher.metrics.adopted.with_label_values(&[source_label(source)]).inc();
            self.process.configuration.update(|status| {
                status.source = Some(source.clone());
                status.highest_heard = status.highest_heard.max(number);
            });
        }
        self.adoption.loaded(self.process.clock.now(), source, number)
    }

    fn failed(&mut self, source: &Source, error: &AdoptionError) -> Vec<Action> {
        let now = self.process.clock.now();
        self.fetcher.metrics.failures.with_label_values(&[error.kind()]).inc();
        let failure = status::Failure {
            kind: error.kind(),
            number: error.refused_number(),
            message: error.to_string().into(),
            at: now,
        };
        let mut is_news = false;
        self.process.configuration.update(|status| {
            let last = status.last_failure.replace(failure);
            is_news = last.is_none_or(|last| *last.message != *error.to_string());
        });
        if is_news {
            log::warn!("no newer configuration from {source:?}: {error}");
        }
        match error.refused_number() {
            Some(number) => self.adoption.refused(now, source, number),
            None => self.adoption.unreachable(now, source),
        }
    }
}

/// Chooses the peers that a new instance asks: those of its own availability zone first.
fn peers_to_ask(process: &Process) -> Vec<Arc<str>> {
    let members = process.members.load();
    let own = &process.settings;
    let mut peers: Vec<_> = members
        .iter()
        .flat_map(|members| &members.members)
        .filter(|member| member.name != own.name)
        .map(|member| (member.availability_zone != own.availability_zone, member.name.clone()))
        .collect();
    peers.sort();
    // Half from elsewhere, as the whole availability zone may lag behind.
    let far = peers.iter().filter(|(is_far, _)| *is_far).take(PEERS_ASKED / 2);
    let near = peers.iter().filter(|(is_far, _)| !is_far).take(PEERS_ASKED / 2);
    near.chain(far).map(|(_, name)| name.clone()).collect()
}

impl Message<Join> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, Join(actions): Join, context: &mut Context<Self, ()>) {
        self.carry_out(actions, context.actor_ref());
    }
}

impl Message<Heard> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, heard: Heard, context: &mut Context<Self, ()>) {
        let highest = &self.fetcher.metrics.highest_heard;
        highest.set(highest.get().max(heard.number as i64));
        self.process.configuration.update(|status| {
            status.highest_heard = status.highest_heard.max(heard.number);
        });
        let now = self.process.clock.now();
        let actions = self.adoption.heard(now, heard.source, heard.number);
        self.carry_out(actions, context.actor_ref());
    }
}

impl Message<Fetched> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, fetched: Fetched, context: &mut Context<Self, ()>) {
        let source = &fetched.source;
        let actions = match fetched.outcome {
            Ok(Some(version)) => self.loaded(source, version),
            Ok(None) => self.adoption.nothing_newer(self.process.clock.now(), source),
            Err(error) => self.failed(source, &error),
        };
        self.carry_out(actions, context.actor_ref());
    }
}

impl Message<Tick> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        let actions = self.adoption.tick(self.process.clock.now());
        self.carry_out(actions, context.actor_ref());
    }
}
