//! Periodic requests for grants from the session holder.

use super::convert::{to_grant, to_grant_request};
use crate::process::Process;
use peer::message::{GrantReply, PromiseRequest};
use peer::{PeerEndpoint, Reply, Request};
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::shares::Grant;
use steering::shares::timing::{GRANT_REQUEST_PERIOD, PROMISE_DURATION};

/// Maximum wait for a reply of another instance of the own availability zone.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Remaining time of the session below which promises are requested, as the platform did not renew
/// it.
const PROMISE_THRESHOLD: Duration = Duration::from_millis(3_500);

/// Requests grants periodically until the task is dropped.
pub async fn run(process: Arc<Process>) {
    loop {
        if process.shares.adopt_plan(process.version.load().as_deref(), process.clock.now()) {
            request_grants(&process).await;
            request_promises(&process).await;
        }
        let granted = process.shares.site_slots(process.clock.now());
        process.routing.figures.lock().set_all_granted(&granted);
        process.shares.set_gauges(process.clock.now());
        tokio::time::sleep(GRANT_REQUEST_PERIOD).await;
    }
}

/// Requests grants once, from the session holder, which may be this instance.
pub(super) async fn request_grants(process: &Process) {
    if grant_to_self(process) {
        return;
    }
    let holder = process.shares.coordination.lock().session.holder_name().cloned();
    let Some(endpoint) = holder.and_then(|name| endpoint_of(process, &name)) else { return };
    let sent_at = process.clock.now();
    let allocation = process.shares.shares.lock().next_request(sent_at);
    let reply = call(process, &endpoint, Request::Grant(to_grant_request(&allocation))).await;
    if let Some(Reply::Grant(reply)) = reply {
        apply_reply(process, &reply, allocation.number, sent_at);
    }
}

/// Grants to this instance from its own allocator; returns false if it does not hold the session.
fn grant_to_self(process: &Process) -> bool {
    let now = process.clock.now();
    let mut coordination = process.shares.coordination.lock();
    if coordination.held_epoch(now).is_none() {
        return false;
    }
    let remainder = coordination.remainder(now);
    let mut shares = process.shares.shares.lock();
    let allocation = shares.next_request(now);
    let Some(allocator) = &mut coordination.allocator else { return false };
    let grant = allocator.grant(process.incarnation, &allocation, &remainder, now);
    shares.on_contact(now);
    if let Some(grant) = grant {
        process.shares.count_grant(shares.on_grant(&grant, now, now).is_ok());
    }
    drop((coordination, shares));
    wake_waiting_requests(process);
    true
}

fn apply_reply(process: &Process, reply: &GrantReply, number: u64, sent_at: Time) {
    let now = process.clock.now();
    process.shares.coordination.lock().session.on_epoch(reply.epoch);
    let mut shares = process.shares.shares.lock();
    let Some(grant) = to_grant(reply, number) else { return };
    if grant.duration.is_zero() {
        shares.on_holder_reply(grant.epoch, sent_at);
        return;
    }
    let accepted = accept(&mut shares, &grant, sent_at, now);
    drop(shares);
    process.shares.count_grant(accepted);
    wake_waiting_requests(process);
}

/// Wakes the requests that wait for capacity, as grants may have added some.
fn wake_waiting_requests(process: &Process) {
    if let Some(version) = &*process.version.load() {
        version.configuration.services.iter().for_each(|s| process.wake_next_request(&s.name));
    }
}

fn accept(shares: &mut steering::shares::Shares, grant: &Grant, sent_at: Time, now: Time) -> bool {
    match shares.on_grant(grant, sent_at, now) {
        Ok(()) => true,
        Err(refusal) => {
            log::debug!("refused a grant of epoch {}: {refusal}", grant.epoch);
            false
        }
    }
}

/// Requests a promise from every elector if the platform has not renewed the session in time.
async fn request_promises(process: &Process) {
    let now = process.clock.now();
    let (epoch, electors) = {
        let session = &process.shares.coordination.lock().session;
        let Some(epoch) = session.expiring_epoch(now, PROMISE_THRESHOLD) else { return };
        (epoch, session.other_electors())
    };
    let lasts_ms = PROMISE_DURATION.as_millis() as u64;
    let promises = electors.iter().map(async |elector| {
        let endpoint = endpoint_of(process, elector)?;
        let sent_at = process.clock.now();
        let request = Request::Promise(PromiseRequest { epoch, lasts_ms });
        match call(process, &endpoint, request).await? {
            Reply::Promise(reply) if reply.promised => Some((elector.clone(), sent_at)),
            _ => None,
        }
    });
    let promised = futures::future::join_all(promises).await;
    let session = &mut process.shares.coordination.lock().session;
    for (elector, sent_at) in promised.into_iter().flatten() {
        session.on_promise(&elector, epoch, sent_at, PROMISE_DURATION);
    }
}

/// Returns the peer endpoint of the instance with the given name.
pub(super) fn endpoint_of(process: &Process, name: &str) -> Option<PeerEndpoint> {
    let members = process.members.load();
    let member = members.as_ref()?.members.iter().find(|member| &*member.name == name)?;
    Some(member.peer_endpoint())
}

pub(super) async fn call(
    process: &Process,
    endpoint: &PeerEndpoint,
    request: Request,
) -> Option<Reply> {
    let call = process.peers.call(endpoint, request);
    tokio::time::timeout(CALL_TIMEOUT, call).await.ok()?.ok()
}
