//! Asking the session holder for grants, again and again.

use super::convert::{grant_of, request_of};
use crate::process::Process;
use peer::message::{GrantReply, PromiseRequest};
use peer::{PeerEndpoint, Reply, Request};
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::shares::Grant;
use steering::shares::timing::{GRANT_REQUEST_PERIOD, PROMISE_DURATION};

/// Longest wait for another instance of the own availability zone.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time left on the session below which promises are asked for, as the platform did not renew it.
const PROMISES_BELOW: Duration = Duration::from_millis(3_500);

/// Asks for grants until the task is dropped.
pub async fn run(process: Arc<Process>) {
    loop {
        if process.shares.adopt_plan(process.version.load().as_deref(), process.clock.now()) {
            ask(&process).await;
            ask_for_promises(&process).await;
        }
        let granted = process.shares.site_slots(process.clock.now());
        process.routing.figures.lock().set_all_granted(&granted);
        process.shares.set_gauges(process.clock.now());
        tokio::time::sleep(GRANT_REQUEST_PERIOD).await;
    }
}

/// Asks once: this instance itself if it holds the session, else the holder.
pub(super) async fn ask(process: &Process) {
    if ask_self(process) {
        return;
    }
    let holder = process.shares.coordination.lock().session.holder_name().cloned();
    let Some(endpoint) = holder.and_then(|name| endpoint_of(process, &name)) else { return };
    let sent_at = process.clock.now();
    let ask = process.shares.shares.lock().next_request(sent_at);
    let reply = call(process, &endpoint, Request::Grant(request_of(&ask))).await;
    if let Some(Reply::Grant(reply)) = reply {
        take_up(process, &reply, ask.number, sent_at);
    }
}

/// Grants from this instance to itself; false if it does not hold the session.
fn ask_self(process: &Process) -> bool {
    let now = process.clock.now();
    let mut coordination = process.shares.coordination.lock();
    if coordination.holds(now).is_none() {
        return false;
    }
    let rest = coordination.rest(now);
    let mut shares = process.shares.shares.lock();
    let ask = shares.next_request(now);
    let Some(allocator) = &mut coordination.allocator else { return false };
    let grant = allocator.grant(process.incarnation, &ask, &rest, now);
    shares.on_contact(now);
    if let Some(grant) = grant {
        process.shares.count_grant(shares.on_grant(&grant, now, now).is_ok());
    }
    drop((coordination, shares));
    call_waiting(process);
    true
}

fn take_up(process: &Process, reply: &GrantReply, number: u64, sent_at: Time) {
    let now = process.clock.now();
    process.shares.coordination.lock().session.on_epoch(reply.epoch);
    let mut shares = process.shares.shares.lock();
    let Some(grant) = grant_of(reply, number) else { return };
    if grant.duration.is_zero() {
        shares.on_holder_reply(grant.epoch, sent_at);
        return;
    }
    let accepted = accept(&mut shares, &grant, sent_at, now);
    drop(shares);
    process.shares.count_grant(accepted);
    call_waiting(process);
}

/// Calls the requests that wait for room, as grants may have made some.
fn call_waiting(process: &Process) {
    if let Some(version) = &*process.version.load() {
        version.configuration.services.iter().for_each(|s| process.room_came_free(&s.name));
    }
}

fn accept(shares: &mut steering::shares::Shares, grant: &Grant, sent_at: Time, now: Time) -> bool {
    match shares.on_grant(grant, sent_at, now) {
        Ok(()) => true,
        Err(refusal) => {
            log::debug!("grant of epoch {} not accepted: {refusal}", grant.epoch);
            false
        }
    }
}

/// Asks every elector for its promise when the platform has not renewed the session in time.
async fn ask_for_promises(process: &Process) {
    let now = process.clock.now();
    let (epoch, electors) = {
        let session = &process.shares.coordination.lock().session;
        let Some(epoch) = session.expiring_epoch(now, PROMISES_BELOW) else { return };
        (epoch, session.other_electors())
    };
    let lasts_ms = PROMISE_DURATION.as_millis() as u64;
    let asked = electors.iter().map(async |elector| {
        let endpoint = endpoint_of(process, elector)?;
        let sent_at = process.clock.now();
        let request = Request::Promise(PromiseRequest { epoch, lasts_ms });
        match call(process, &endpoint, request).await? {
            Reply::Promise(reply) if reply.promised => Some((elector.clone(), sent_at)),
            _ => None,
        }
    });
    let promised = futures::future::join_all(asked).await;
    let session = &mut process.shares.coordination.lock().session;
    for (elector, sent_at) in promised.into_iter().flatten() {
        session.on_promise(&elector, epoch, sent_at, PROMISE_DURATION);
    }
}

/// Returns where the instance of that name answers other instances.
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
