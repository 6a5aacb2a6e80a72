//! What backend servers say of their condition in answers.

use super::instance::Instance;
use std::time::Instant;
use steering::placement::{Condition, ConditionChange, Incarnation, Limited};

/// Backend servers with a limit that are told of in one round of lines.
const MOST_LIMITED_LINES: usize = 20;

/// Takes over what the answer to a request says.
pub(crate) fn told(
    instance: &Instance,
    server: &Incarnation,
    said: Condition,
    request_id: Option<&str>,
) {
    let changes = instance.roster.borrow_mut().told(server, said, Instant::now());
    for change in changes {
        log_change(&server.id, change, request_id.unwrap_or(""));
    }
}

fn log_change(id: &str, change: ConditionChange, request: &str) {
    match change {
        ConditionChange::Limited(before, per_s) => {
            let before_per_s = before.unwrap_or(0.0);
            log::info!(target: "backend-server", id, per_s, before_per_s, request; "limited");
        }
        ConditionChange::Unlimited(before_per_s) => {
            log::info!(target: "backend-server", id, before_per_s, request; "not limited");
        }
        ConditionChange::Leaves => {
            log::info!(target: "backend-server", id, request; "leaves");
        }
        ConditionChange::Rests(rest) => {
            let rest_s = rest.as_secs_f64();
            log::info!(target: "backend-server", id, rest_s, request; "wants rest");
        }
    }
}

/// Tells what was sent to backend servers that name a limit.
pub(super) fn log_limited(instance: &Instance) {
    let limited = instance.roster.borrow_mut().take_limited(Instant::now());
    for Limited { id, per_s, sent, heard_ago } in limited.into_iter().take(MOST_LIMITED_LINES) {
        let heard_ago_s = heard_ago.as_secs_f64();
        log::info!(target: "backend-server", id = &*id, per_s, sent, heard_ago_s; "sent to while limited");
    }
}
