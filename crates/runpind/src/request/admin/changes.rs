//! Changes by operators to the configuration text, client blocks and drains.

use super::error::AdminError;
use super::query::Query;
use super::respond::json;
use super::{BLOCKS_PATH, CONFIGURATION_PATH, DRAINS_PREFIX, access};
use crate::process::Process;
use crate::process::acceptance::{Change, Proposal, propose};
use crate::request::body::Body;
use configuration::Drain;
use http::{Method, Request, Response, StatusCode};
use http_body::Body as _;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Largest configuration text, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 900_000;

/// Largest text of client blocks, in bytes; enough for 900,000 lines of 70 bytes.
const MAX_BLOCKS_BYTES: usize = 64 << 20;

/// Longest time in which no part of a text arrives.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Author of a change whose request does not name one.
const UNKNOWN_AUTHOR: &str = "unknown";

/// Response to a change.
#[derive(Debug, Serialize)]
pub(super) struct AcceptedChange {
    /// Number of the version that the change created, or would create without `dry_run`.
    number: u64,
    /// Whether the change was only checked, not accepted.
    dry_run: bool,
}

/// Handles a change after checking the request's token.
pub(super) async fn handle(
    process: &Process,
    request: Request<Incoming>,
) -> Result<Response<Body>, AdminError> {
    access::check(&request, &process.settings.change_token)?;
    let query = Query::from_request(&request);
    let author: Arc<str> = query.get("author").unwrap_or(UNKNOWN_AUTHOR).into();
    let expected_number = query.number("expect_version")?;
    let dry_run = query.flag("dry_run")?;
    let change = read_change(process, request).await?;
    let proposal = Proposal { change, author, expected_number, dry_run };
    let version = process.version.load_full();
    let budgeted_store = process.configuration.store_for_proposals();
    let store = budgeted_store.unwrap_or_else(|| process.store.clone());
    let accepted = propose(&*store, version.as_deref(), proposal).await?;
    json(StatusCode::OK, &AcceptedChange { number: accepted.number, dry_run })
}

async fn read_change(process: &Process, request: Request<Incoming>) -> Result<Change, AdminError> {
    let path = request.uri().path().to_owned();
    let drain = path.strip_prefix(DRAINS_PREFIX).and_then(|target| target.split_once('/'));
    match (request.method().clone(), drain) {
        (Method::PUT, None) if path == CONFIGURATION_PATH => {
            let text = read_text(process, request, MAX_CONFIGURATION_BYTES).await?;
            Ok(Change::Text { text, blocks: None })
        }
        (Method::PUT, None) if path == BLOCKS_PATH => {
            Ok(Change::Blocks(read_text(process, request, MAX_BLOCKS_BYTES).await?))
        }
        (Method::PUT, Some((kind, name))) => Ok(Change::Drain(Drain::parse(kind, name)?)),
        (Method::DELETE, Some((kind, name))) => Ok(Change::Undrain(Drain::parse(kind, name)?)),
        _ => Err(AdminError::UnknownPath(path)),
    }
}

/// Reads a text; one at a time, as one alone may take much of the memory.
async fn read_text(
    process: &Process,
    request: Request<Incoming>,
    max_bytes: usize,
) -> Result<Arc<str>, AdminError> {
    let _alone = process.operator_uploads.try_acquire().map_err(|_| AdminError::Busy)?;
    let mut body = Limited::new(request.into_body(), max_bytes);
    let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let mut text = Vec::with_capacity(length.unwrap_or_default().min(max_bytes));
    loop {
        let frame = tokio::time::timeout(MAX_PAUSE, body.frame()).await;
        let Some(frame) = frame.map_err(|_| AdminError::Stalled)? else { break };
        let frame = frame.map_err(|_| AdminError::TooLarge(max_bytes))?;
        text.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
    }
    Ok(String::from_utf8(text).map_err(|_| AdminError::NotText)?.into())
}
