//! Answers to other instances of the availability zone.

use super::convert::{ask_of, reply_of};
use crate::process::Process;
use peer::Reply;
use peer::message::{
    GrantReply, GrantRequest, PromiseReply, PromiseRequest, ReleaseRequest, Sender,
};
use std::time::Duration;
use steering::Incarnation;

/// Grants what the asker may use beside its floors, if this instance holds the session.
pub fn answer_grant(process: &Process, from: &Sender, request: &GrantRequest) -> Reply {
    if from.availability_zone != process.settings.availability_zone {
        return Reply::Refused;
    }
    let now = process.clock.now();
    let asker = Incarnation(from.incarnation);
    let mut coordination = process.shares.coordination.lock();
    coordination.session.on_epoch(request.known_epoch);
    let Some(epoch) = coordination.holds(now) else {
        return Reply::Grant(GrantReply::default());
    };
    coordination.contacts.insert(asker, now);
    let rest = coordination.rest(now);
    let allocator = coordination.allocator.as_mut();
    let granted =
        allocator.and_then(|allocator| allocator.grant(asker, &ask_of(request), &rest, now));
    process.shares.metrics.grants.with_label_values(&["issued"]).inc_by(granted.is_some().into());
    // Without a grant, the epoch still tells the asker that it is in contact with the holder.
    Reply::Grant(match granted {
        Some(grant) => reply_of(&grant),
        None => GrantReply { epoch, ..GrantReply::default() },
    })
}

/// Takes back all grants of the asker.
pub fn answer_release(process: &Process, from: &Sender, request: ReleaseRequest) -> Reply {
    let now = process.clock.now();
    let mut coordination = process.shares.coordination.lock();
    if let Some(allocator) = &mut coordination.allocator {
        allocator.release(Incarnation(from.incarnation), request.epoch, request.number, now);
    }
    Reply::Released
}

/// Promises, where it may, not to take the session for a while.
pub fn answer_promise(process: &Process, from: &Sender, request: PromiseRequest) -> Reply {
    let now = process.clock.now();
    let lasts = Duration::from_millis(request.lasts_ms);
    let session = &mut process.shares.coordination.lock().session;
    let promised = from.availability_zone == process.settings.availability_zone
        && session.promise(now, request.epoch, lasts);
    Reply::Promise(PromiseReply { promised, known_epoch: session.known_epoch() })
}
