//! Handlers of requests from other instances of the availability zone.

use super::convert::{to_allocation_request, to_grant_reply};
use crate::process::Process;
use peer::Reply;
use peer::message::{
    GrantReply, GrantRequest, PromiseReply, PromiseRequest, ReleaseRequest, Sender,
};
use std::time::Duration;
use steering::Incarnation;

/// Grants amounts beyond the floors to the requesting instance, if this instance holds the session.
pub fn answer_grant(process: &Process, from: &Sender, request: &GrantRequest) -> Reply {
    if from.availability_zone != process.settings.availability_zone {
        return Reply::Refused;
    }
    let now = process.clock.now();
    let requester = Incarnation(from.incarnation);
    let mut coordination = process.shares.coordination.lock();
    coordination.session.on_epoch(request.known_epoch);
    let Some(epoch) = coordination.held_epoch(now) else {
        return Reply::Grant(GrantReply::default());
    };
    coordination.contacts.insert(requester, now);
    let remainder = coordination.remainder(now);
    let allocator = coordination.allocator.as_mut();
    let granted = allocator.and_then(|allocator| {
        allocator.grant(requester, &to_allocation_request(request), &remainder, now)
    });
    process.shares.metrics.grants.with_label_values(&["issued"]).inc_by(granted.is_some().into());
    // Even without a grant, the epoch shows the requester that it reached the session holder.
    Reply::Grant(match granted {
        Some(grant) => to_grant_reply(&grant),
        None => GrantReply { epoch, ..GrantReply::default() },
    })
}

/// Releases all grants of the requesting instance up to the given request number.
pub fn answer_release(process: &Process, from: &Sender, request: ReleaseRequest) -> Reply {
    let now = process.clock.now();
    let mut coordination = process.shares.coordination.lock();
    if let Some(allocator) = &mut coordination.allocator {
        allocator.release(Incarnation(from.incarnation), request.epoch, request.number, now);
    }
    Reply::Released
}

/// Promises not to claim the session for the requested duration, if this instance may promise it.
pub fn answer_promise(process: &Process, from: &Sender, request: PromiseRequest) -> Reply {
    let now = process.clock.now();
    let lasts = Duration::from_millis(request.lasts_ms);
    let session = &mut process.shares.coordination.lock().session;
    let promised = from.availability_zone == process.settings.availability_zone
        && session.promise(now, request.epoch, lasts);
    Reply::Promise(PromiseReply { promised, known_epoch: session.known_epoch() })
}
