//! Conversion of ledger parts to and from peer messages.

use peer::message::{HandOverRequest, KeyOutcome, KeyRecord};
use std::time::Duration;
use steering::ledger::{
    Fingerprint, HandOverOutcome, HandOverPart, HandOverRecord, Outcome, StoredResponse,
};
use steering::{Incarnation, KeyError};

/// Converts a part to a hand-over request.
pub(super) fn to_request(part: HandOverPart) -> HandOverRequest {
    HandOverRequest {
        home: part.home.0,
        successor: part.successor.0,
        horizon_ms: part.horizon_ms,
        part: part.number,
        last: part.last,
        records: part.records.into_iter().map(to_record).collect(),
    }
}

/// Converts a hand-over request to a part; fails if a record's key is invalid.
pub(super) fn from_request(request: HandOverRequest) -> Result<HandOverPart, KeyError> {
    let records: Result<_, _> = request.records.into_iter().map(from_record).collect();
    Ok(HandOverPart {
        home: Incarnation(request.home),
        successor: Incarnation(request.successor),
        number: request.part,
        last: request.last,
        horizon_ms: request.horizon_ms,
        records: records?,
    })
}

fn to_record(handed: HandOverRecord) -> KeyRecord {
    KeyRecord {
        key: handed.key.as_str().into(),
        fingerprint: handed.fingerprint.0,
        keep_ms: u64::try_from(handed.retention.as_millis()).unwrap_or(u64::MAX),
        outcome: match handed.outcome {
            HandOverOutcome::Ended(Outcome::Answered(answer)) => KeyOutcome::Answered {
                status: answer.status,
                content_type: answer.content_type,
                body: answer.body,
            },
            HandOverOutcome::Ended(Outcome::Ran) => KeyOutcome::Ran,
            HandOverOutcome::Ended(Outcome::Unknown) => KeyOutcome::Unknown,
            HandOverOutcome::InProgress => KeyOutcome::InProgress,
            HandOverOutcome::NotRun => KeyOutcome::NotRun,
        },
    }
}

fn from_record(record: KeyRecord) -> Result<HandOverRecord, KeyError> {
    Ok(HandOverRecord {
        key: record.key.parse()?,
        fingerprint: Fingerprint(record.fingerprint),
        retention: Duration::from_millis(record.keep_ms),
        outcome: match record.outcome {
            KeyOutcome::Answered { status, content_type, body } => {
                HandOverOutcome::Ended(Outcome::Answered(StoredResponse {
                    status,
                    content_type,
                    body,
                }))
            }
            KeyOutcome::Ran => HandOverOutcome::Ended(Outcome::Ran),
            KeyOutcome::Unknown => HandOverOutcome::Ended(Outcome::Unknown),
            KeyOutcome::InProgress => HandOverOutcome::InProgress,
            KeyOutcome::NotRun => HandOverOutcome::NotRun,
        },
    })
}
