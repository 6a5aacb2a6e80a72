//! Conversion of ledger parts to and from peer messages.

use peer::message::{HandOverRequest, KeyOutcome, KeyRecord};
use std::time::Duration;
use steering::ledger::{Answer, Fingerprint, HandedOutcome, HandedRecord, Outcome, Part};
use steering::{Incarnation, KeyError};

/// Converts a part to a hand-over request.
pub(super) fn to_request(part: Part) -> HandOverRequest {
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
pub(super) fn from_request(request: HandOverRequest) -> Result<Part, KeyError> {
    let records: Result<_, _> = request.records.into_iter().map(from_record).collect();
    Ok(Part {
        home: Incarnation(request.home),
        successor: Incarnation(request.successor),
        number: request.part,
        last: request.last,
        horizon_ms: request.horizon_ms,
        records: records?,
    })
}

fn to_record(handed: HandedRecord) -> KeyRecord {
    KeyRecord {
        key: handed.key.as_str().into(),
        fingerprint: handed.fingerprint.0,
        keep_ms: u64::try_from(handed.keep.as_millis()).unwrap_or(u64::MAX),
        outcome: match handed.outcome {
            HandedOutcome::Known(Outcome::Answered(answer)) => KeyOutcome::Answered {
                status: answer.status,
                content_type: answer.content_type,
                body: answer.body,
            },
            HandedOutcome::Known(Outcome::Ran) => KeyOutcome::Ran,
            HandedOutcome::Known(Outcome::Unknown) => KeyOutcome::Unknown,
            HandedOutcome::InProgress => KeyOutcome::InProgress,
            HandedOutcome::NotRun => KeyOutcome::NotRun,
        },
    }
}

fn from_record(record: KeyRecord) -> Result<HandedRecord, KeyError> {
    Ok(HandedRecord {
        key: record.key.parse()?,
        fingerprint: Fingerprint(record.fingerprint),
        keep: Duration::from_millis(record.keep_ms),
        outcome: match record.outcome {
            KeyOutcome::Answered { status, content_type, body } => {
                HandedOutcome::Known(Outcome::Answered(Answer { status, content_type, body }))
            }
            KeyOutcome::Ran => HandedOutcome::Known(Outcome::Ran),
            KeyOutcome::Unknown => HandedOutcome::Known(Outcome::Unknown),
            KeyOutcome::InProgress => HandedOutcome::InProgress,
            KeyOutcome::NotRun => HandedOutcome::NotRun,
        },
    })
}
