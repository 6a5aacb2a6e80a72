//! Handing the ledger to a successor at a planned stop, and taking one over.

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

/// Longest wait for the reply to a part.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before a part is sent again, and between two looks for new outcomes.
const PAUSE: Duration = Duration::from_millis(200);

/// Longest time that is spent after the last request ended.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// A hand-over of our ledgers that goes on while requests end.
pub struct HandingOver {
    requests_ended: CancellationToken,
    task: JoinHandle<()>,
}

/// Closes the ledger for good and begins to hand it over.
pub fn start(process: &Arc<Process>) -> HandingOver {
    let hand_overs = process.ledger.close();
    let requests_ended = CancellationToken::new();
    let task = tokio::spawn(run(process.clone(), hand_overs, requests_ended.clone()));
    HandingOver { requests_ended, task }
}

impl HandingOver {
    /// Hands over the last outcomes once all requests have ended.
    pub async fn finish(mut self) {
        self.requests_ended.cancel();
        if tokio::time::timeout(FINISH_TIMEOUT, &mut self.task).await.is_err() {
            log::warn!("the ledger was not handed over in time");
            self.task.abort();
        }
    }
}

/// Takes over a part of another instance's ledger.
pub fn answer_hand_over(process: &Process, request: HandOverRequest) -> HandOverReply {
    let (home, last) = (Incarnation(request.home), request.last);
    let ledger = &process.ledger;
    let taken = message::part(request).is_ok_and(|part| ledger.receive(part));
    ledger.metrics.count_part(if taken { "taken" } else { "not-taken" });
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
        // Asked first, so that no outcome comes between the last part and the end.
        let is_last_round = requests_ended.is_cancelled();
        for hand_over in &mut hand_overs {
            bring_up_to_date(&process, hand_over).await;
        }
        if is_last_round {
            break;
        }
        // Either is a reason for another round.
        let _ = tokio::time::timeout(PAUSE, requests_ended.cancelled()).await;
    }
    for hand_over in &hand_overs {
        report(hand_over);
    }
}

fn report(hand_over: &HandOver) {
    let home = hand_over.home();
    match hand_over.taken_over_by() {
        Some(successor) => log::info!("ledger of {home} handed over to {successor}"),
        None => log::warn!("ledger of {home} not handed over: its keys stay unknown"),
    }
}

/// Sends the parts that the successor lacks, to another one while that is safe.
async fn bring_up_to_date(process: &Arc<Process>, hand_over: &mut HandOver) {
    let mut refused = HashSet::new();
    loop {
        if hand_over.needs_successor() {
            let Some(successor) = candidate(process, &refused) else { return };
            refused.insert(successor);
            hand_over.begin(successor);
        }
        let Some(part) = process.ledger.next_part(hand_over) else { return };
        let reply = send(process, part).await;
        process.ledger.metrics.count_part(result_name(reply));
        match hand_over.on_reply(reply) {
            NextStep::Continue | NextStep::TryAnother => {}
            NextStep::Repeat => tokio::time::sleep(PAUSE).await,
            NextStep::GiveUp => return,
        }
    }
}

/// Returns an instance that may become the successor, of our availability zone if there is one.
fn candidate(process: &Process, refused: &HashSet<Incarnation>) -> Option<Incarnation> {
    let members = process.members.load_full()?;
    let may_take = |member: &&Member| {
        let incarnation = member.incarnation;
        incarnation.is_some_and(|it| it != process.incarnation && !refused.contains(&it))
            && member.name != process.settings.name
    };
    let is_far = |member: &&Member| member.availability_zone != process.settings.availability_zone;
    members.usable().filter(may_take).min_by_key(is_far).and_then(|member| member.incarnation)
}

async fn send(process: &Process, part: HandOverPart) -> PartReply {
    let Some(endpoint) = endpoint_of(process, part.successor) else { return PartReply::NotSent };
    let request = Request::HandOver(message::request(part));
    match tokio::time::timeout(REPLY_TIMEOUT, process.peers.call(&endpoint, request)).await {
        Ok(Ok(Reply::HandOver(HandOverReply { accepted: true }))) => PartReply::Accepted,
        Ok(Ok(Reply::HandOver(_) | Reply::Refused)) => PartReply::Refused,
        Ok(Err(PeerError::Unreachable | PeerError::TooLarge)) => PartReply::NotSent,
        Ok(Ok(_) | Err(_)) | Err(_) => PartReply::Unsure,
    }
}

fn endpoint_of(process: &Process, incarnation: Incarnation) -> Option<PeerEndpoint> {
    let members = process.members.load_full()?;
    let is = |member: &&Member| member.incarnation == Some(incarnation);
    members.members.iter().find(is).map(Member::peer_endpoint)
}

fn result_name(reply: PartReply) -> &'static str {
    match reply {
        PartReply::Accepted => "accepted",
        PartReply::Refused => "refused",
        PartReply::NotSent => "not-sent",
        PartReply::Unsure => "unsure",
    }
}
