//! Announcement of a newly activated version to other instances.

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

/// Rounds of announcements, each to newly chosen random instances.
const ROUNDS: usize = 2;

/// Delay between two rounds.
const ROUND_DELAY: Duration = Duration::from_millis(500);

/// Announces the active version's number in all rounds, unless another version becomes active.
pub(super) async fn announce(process: Arc<Process>, metrics: ConfigurationMetrics, number: u64) {
    let mut random = SmallRng::from_os_rng();
    for round in 0..ROUNDS {
        if round > 0 {
            tokio::time::sleep(ROUND_DELAY).await;
        }
        let active = process.version.load().as_ref().map(|version| version.number);
        let Some(members) = process.members.load_full() else { return };
        if active != Some(number) {
            return;
        }
        let chosen =
            choose_announcement_targets(&own_neighbor(&process), &neighbors(&members), &mut random);
        let endpoints = chosen.iter().filter_map(|neighbor| endpoint(&members, neighbor));
        let announcements =
            endpoints.map(|(name, to)| announce_to(&process, &metrics, name, to, number));
        futures::future::join_all(announcements).await;
    }
}

/// Requests a manifest newer than `number`, which also informs the peer that this instance has it.
async fn announce_to(
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
                process.configuration.record_peer_version(name, number + 1);
            }
            "told"
        }
        Ok(_) | Err(_) => "failed",
    };
    metrics.announcements.with_label_values(&[outcome]).inc();
}

fn own_neighbor(process: &Process) -> Neighbor {
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
