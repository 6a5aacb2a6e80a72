//! Telling other instances of a version that was just put in force.

use super::metrics::ConfigurationMetrics;
use crate::process::Process;
use crate::process::membership::Members;
use peer::message::ManifestRequest;
use peer::{PeerEndpoint, Reply, Request};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;
use steering::watchers::{Neighbor, choose_announcement_targets};

/// Times that others are told, each time others.
const ROUNDS: usize = 2;

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Tells others the number in force, until a newer one is.
pub(super) async fn announce(process: Arc<Process>, metrics: ConfigurationMetrics, number: u64) {
    let mut random = SmallRng::from_os_rng();
    for round in 0..ROUNDS {
        if round > 0 {
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        let in_force = process.version.load().as_ref().map(|version| version.number);
        let Some(members) = process.members.load_full() else { return };
        if in_force != Some(number) {
            return;
        }
        let chosen = choose_announcement_targets(&own(&process), &neighbors(&members), &mut random);
        let endpoints = chosen.iter().filter_map(|neighbor| endpoint(&members, neighbor));
        let telling = endpoints.map(|(name, to)| tell(&process, &metrics, name, to, number));
        futures::future::join_all(telling).await;
    }
}

/// Asks for anything newer than `number`, which tells the other side that we have it.
async fn tell(
    process: &Process,
    metrics: &ConfigurationMetrics,
    name: &Arc<str>,
    to: PeerEndpoint,
    number: u64,
) {
    let request = ManifestRequest { known_number: number, number: 0, offset: 0 };
    let outcome = match process.peers.call(&to, Request::Manifest(request)).await {
        Ok(Reply::Manifest(part)) => {
            if part.total_bytes > 0 {
                process.configuration.heard(name, number + 1);
            }
            "told"
        }
        Ok(_) | Err(_) => "failed",
    };
    metrics.told.with_label_values(&[outcome]).inc();
}

fn own(process: &Process) -> Neighbor {
    let settings = &process.settings;
    Neighbor { name: settings.name.clone(), availability_zone: settings.availability_zone.clone() }
}

fn neighbors(members: &Members) -> Vec<Neighbor> {
    let neighbor = |member: &crate::process::membership::Member| Neighbor {
        name: member.name.clone(),
        availability_zone: member.availability_zone.clone(),
    };
    members.members.iter().map(neighbor).collect()
}

fn endpoint<'a>(members: &'a Members, neighbor: &Neighbor) -> Option<(&'a Arc<str>, PeerEndpoint)> {
    let member = members.members.iter().find(|member| member.name == neighbor.name)?;
    Some((&member.name, member.peer_endpoint()))
}
