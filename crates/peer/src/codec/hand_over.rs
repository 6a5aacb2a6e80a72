//! Encoding of the messages that hand over a ledger.

use super::{CodecError, list_len, text};
use crate::message::{HandOverReply, HandOverRequest, KeyOutcome, KeyRecord};
use crate::peer_capnp::{hand_over_reply, hand_over_request, key_record};
use bytes::Bytes;

pub(super) fn write(mut builder: hand_over_request::Builder<'_>, request: &HandOverRequest) {
    builder.set_home(request.home);
    builder.set_successor(request.successor);
    builder.set_horizon_ms(request.horizon_ms);
    builder.set_part(request.part);
    builder.set_last(request.last);
    let mut records = builder.init_records(list_len(&request.records));
    for (position, record) in (0..).zip(&request.records) {
        write_record(records.reborrow().get(position), record);
    }
}

pub(super) fn read(reader: hand_over_request::Reader<'_>) -> Result<HandOverRequest, CodecError> {
    Ok(HandOverRequest {
        home: reader.get_home(),
        successor: reader.get_successor(),
        horizon_ms: reader.get_horizon_ms(),
        part: reader.get_part(),
        last: reader.get_last(),
        records: reader.get_records()?.iter().map(read_record).collect::<Result<_, _>>()?,
    })
}

pub(super) fn read_reply(reader: hand_over_reply::Reader<'_>) -> HandOverReply {
    HandOverReply { accepted: reader.get_accepted() }
}

fn write_record(mut builder: key_record::Builder<'_>, record: &KeyRecord) {
    builder.set_key(&*record.key);
    builder.set_fingerprint(record.fingerprint);
    builder.set_keep_ms(record.keep_ms);
    let mut outcome = builder.init_outcome();
    match &record.outcome {
        KeyOutcome::Unknown => outcome.set_unknown(()),
        KeyOutcome::Ran => outcome.set_ran(()),
        KeyOutcome::InProgress => outcome.set_in_progress(()),
        KeyOutcome::NotRun => outcome.set_not_run(()),
        KeyOutcome::Answered { status, content_type, body } => {
            let mut answer = outcome.init_answered();
            answer.set_status(*status);
            answer.set_content_type(&**content_type);
            answer.set_body(body);
        }
    }
}

fn read_record(reader: key_record::Reader<'_>) -> Result<KeyRecord, CodecError> {
    use key_record::outcome::Which;
    let outcome = match reader.get_outcome().which()? {
        Which::Unknown(()) => KeyOutcome::Unknown,
        Which::Ran(()) => KeyOutcome::Ran,
        Which::InProgress(()) => KeyOutcome::InProgress,
        Which::NotRun(()) => KeyOutcome::NotRun,
        Which::Answered(answer) => {
            let answer = answer?;
            KeyOutcome::Answered {
                status: answer.get_status(),
                content_type: text::name(answer.get_content_type()?)?,
                body: Bytes::copy_from_slice(answer.get_body()?),
            }
        }
    };
    Ok(KeyRecord {
        key: text::name(reader.get_key()?)?,
        fingerprint: reader.get_fingerprint(),
        keep_ms: reader.get_keep_ms(),
        outcome,
    })
}
