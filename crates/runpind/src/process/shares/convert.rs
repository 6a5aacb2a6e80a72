//! Conversion between peer messages and the types of `steering::shares`.

use peer::message::{GrantReply, GrantRequest, LinkAmount, SiteAmount};
use std::time::Duration;
use steering::shares::{AllocationRequest, Amounts, Grant, Resource};

/// Requests per 1,000 seconds that correspond to one request per second.
const PER_KS: u64 = 1_000;

pub(super) fn to_grant_request(ask: &AllocationRequest) -> GrantRequest {
    let (links, sites) = split_amounts(&ask.demand);
    GrantRequest {
        known_epoch: ask.known_epoch,
        number: ask.number,
        accepted_number: ask.accepted_number,
        links,
        sites,
        in_use: split_amounts(&ask.in_use).1,
    }
}

pub(super) fn to_allocation_request(request: &GrantRequest) -> AllocationRequest {
    AllocationRequest {
        number: request.number,
        accepted_number: request.accepted_number,
        known_epoch: request.known_epoch,
        demand: join_amounts(&request.links, &request.sites),
        in_use: join_amounts(&[], &request.in_use),
    }
}

pub(super) fn to_grant_reply(grant: &Grant) -> GrantReply {
    let (links, sites) = split_amounts(&grant.amounts);
    let lasts_ms = grant.duration.as_millis() as u64;
    GrantReply { epoch: grant.epoch, lasts_ms, links, sites }
}

/// Converts the reply to request `number`; `None` if the peer does not hold the session.
pub(super) fn to_grant(reply: &GrantReply, number: u64) -> Option<Grant> {
    (reply.epoch > 0).then(|| Grant {
        epoch: reply.epoch,
        number,
        duration: Duration::from_millis(reply.lasts_ms),
        amounts: join_amounts(&reply.links, &reply.sites),
    })
}

fn split_amounts(amounts: &Amounts) -> (Vec<LinkAmount>, Vec<SiteAmount>) {
    let (mut links, mut sites) = (Vec::new(), Vec::new());
    for (resource, amount) in amounts.iter().filter(|(_, amount)| **amount > 0) {
        match resource {
            Resource::Link { to } => links.push(LinkAmount {
                to: to.clone(),
                requests_per_ks: amount.saturating_mul(PER_KS),
                bytes_per_s: 0,
            }),
            Resource::Site { service, availability_zone } => sites.push(SiteAmount {
                service: service.clone(),
                availability_zone: availability_zone.clone(),
                slots: u32::try_from(*amount).unwrap_or(u32::MAX),
            }),
        }
    }
    (links, sites)
}

fn join_amounts(links: &[LinkAmount], sites: &[SiteAmount]) -> Amounts {
    let links = links
        .iter()
        .map(|link| (Resource::Link { to: link.to.clone() }, link.requests_per_ks / PER_KS));
    let sites = sites.iter().map(|site| {
        let service = site.service.clone();
        let availability_zone = site.availability_zone.clone();
        (Resource::Site { service, availability_zone }, u64::from(site.slots))
    });
    links.chain(sites).collect()
}
