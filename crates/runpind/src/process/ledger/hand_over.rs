//! Hand-over of the ledger to a successor at a planned stop, and takeover from another instance.

use super::{LedgerState, message};
use crate::process::Process;
use crate::process::membership::Member;
use peer::message::{HandOverReply, HandOverRequest};
use peer::{PeerEndpoint, PeerError, Reply, Request};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use steering::Incarnation;
use steering::ledger::{HandOver, HandOverPart, NextStep, PartReply};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Maximum wait for the reply to a part.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a part is sent again, and interval between checks for new outcomes.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum duration of the hand-over after the last request has ended.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// A background task that hands over this instance's ledgers while requests are still ending.
pub struct HandOverTask {
    requests_ended: CancellationToken,
    task: JoinHandle<()>,
}

/// Closes the ledger permanently and starts its hand-over.
pub fn start(process: &Arc<Process>) -> HandOverTask {
    let hand_overs = process.ledger.close();
    let requests_ended = CancellationToken::new();
    let task = tokio::spawn(run(process.clone(), hand_overs, requests_ended.clone()));
    HandOverTask { requests_ended, task }
}

impl HandOverTask {
    /// Hands over the last outcomes; called once all requests have ended.
    pub async fn finish(mut self) {
        self.requests_ended.cancel();
        if tokio::time::timeout(FINISH_TIMEOUT, &mut self.task).await.is_err() {
            log::warn!("ledger hand-over timed out");
            self.task.abort();
        }
    }
}

/// Handles a request to take over a part of another instance's ledger.
pub fn answer_hand_over(process: &Process, request: HandOverRequest) -> HandOverReply {
    let (home, last) = (Incarnation(request.home), request.last);
    let ledger = &process.ledger;
    let taken = message::from_request(request).is_ok_and(|part| ledger.receive(part));
    ledger.metrics.count_hand_over_part(if taken { "taken" } else { "not-taken" });
    if taken && last {
        log::info!("took over the ledger of incarnation {home}");
    }
    HandOverReply { accepted: taken }
}

impl LedgerState {
    fn close(&self) -> Vec<HandOver> {
        self.ledger.lock().close(self.clock.now())
    }

    fn receive(&self, part: HandOverPart) -> bool {
        self.ledger.lock().receive(part, self.clock.now())
    }

    fn next_part(&self, hand_over: &mut HandOver) -> Option<HandOverPart> {
        self.ledger.lock().next_part(hand_over)
    }
}

async fn run(
    process: Arc<Process>,
    mut hand_overs: Vec<HandOver>,
    requests_ended: CancellationToken,
) {
    loop {
        // Checked before the parts are sent, so that no outcome recorded after them is missed.
        let is_last_round = requests_ended.is_cancelled();
        for hand_over in &mut hand_overs {
            send_missing_parts(&process, hand_over).await;
        }
        if is_last_round {
            break;
        }
        // Both the timeout and the cancellation start another round.
        let _ = tokio::time::timeout(RETRY_DELAY, requests_ended.cancelled()).await;
    }
    for hand_over in &hand_overs {
        log_result(hand_over);
    }
}

fn log_result(hand_over: &HandOver) {
    let home = hand_over.home();
    match hand_over.taken_over_by() {
        Some(successor) => log::info!("ledger of {home} handed over to {successor}"),
        None => {
            log::warn!("ledger of {home} not handed over; the outcomes of its keys stay unknown")
        }
    }
}

/// Sends the missing parts to the successor; switches to another one as long as no successor can
/// have received the last part.
async fn send_missing_parts(process: &Arc<Process>, hand_over: &mut HandOver) {
    let mut excluded = HashSet::new();
    loop {
        if hand_over.needs_successor() {
            let Some(successor) = choose_successor(process, &excluded) else { return };
            excluded.insert(successor);
            hand_over.begin(successor);
        }
        let Some(part) = process.ledger.next_part(hand_over) else { return };
        let reply = send(process, part).await;
        process.ledger.metrics.count_hand_over_part(result_name(reply));
        match hand_over.on_reply(reply) {
            NextStep::Continue | NextStep::TryAnother => {}
            NextStep::Repeat => tokio::time::sleep(RETRY_DELAY).await,
            NextStep::GiveUp => return,
        }
    }
}

/// Chooses a successor, preferably in the availability zone of this instance.
fn choose_successor(process: &Process, excluded: &HashSet<Incarnation>) -> Option<Incarnation> {
    let members = process.members.load_full()?;
    let is_eligible = |member: &&Member| {
        let incarnation = member.incarnation;
        incarnation.is_some_and(|id| id != process.incarnation && !excluded.contains(&id))
            && member.name != process.settings.name
    };
    let is_in_other_zone =
        |member: &&Member| member.availability_zone != process.settings.availability_zone;
    members
        .usable()
        .filter(is_eligible)
        .min_by_key(is_in_other_zone)
        .and_then(|member| member.incarnation)
}

async fn send(process: &Process, part: HandOverPart) -> PartReply {
    let Some(endpoint) = endpoint_of(process, part.successor) else { return PartReply::NotSent };
    let request = Request::HandOver(message::to_request(part));
    match tokio::time::timeout(REPLY_TIMEOUT, process.peers.call(&endpoint, request)).await {
        Ok(Ok(Reply::HandOver(HandOverReply { accepted: true }))) => PartReply::Accepted,
        Ok(Ok(Reply::HandOver(_) | Reply::Refused)) => PartReply::Refused,
        Ok(Err(PeerError::Unreachable | PeerError::TooLarge)) => PartReply::NotSent,
        Ok(Ok(_) | Err(_)) | Err(_) => PartReply::Unsure,
    }
}

fn endpoint_of(process: &Process, incarnation: Incarnation) -> Option<PeerEndpoint> {
    let members = process.members.load_full()?;
    let has_incarnation = |member: &&Member| member.incarnation == Some(incarnation);
    members.members.iter().find(has_incarnation).map(Member::peer_endpoint)
}

fn result_name(reply: PartReply) -> &'static str {
    match reply {
        PartReply::Accepted => "accepted",
        PartReply::Refused => "refused",
        PartReply::NotSent => "not-sent",
        PartReply::Unsure => "unsure",
    }
}
