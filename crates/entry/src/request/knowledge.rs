//! Telling other instances what this one knows of the deployment.

use super::body::{AnswerBody, whole};
use crate::connection::encoding::{DEFLATE, deflate};
use crate::process::instance::Instance;
use crate::version::exchange::{self, UPDATE_PATH};
use bytes::Bytes;
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use std::rc::Rc;

/// Shortest answer that is encoded: below, it goes out in a few packets either way.
const ENCODED_FROM_BYTES: usize = 8 * 1024;

/// Answers with what the asking instance lacks, encoded as instances of one release read it.
pub(crate) async fn answer(
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let is_known = instance.replica.borrow().is_complete() && instance.is_resynced();
    let status = match request.uri().path() {
        UPDATE_PATH if is_known => match tell(&instance, &request) {
            Ok(answer) => return answer,
            Err(error) => {
                log::warn!(target: "process", error:%; "knowledge can't be encoded");
                StatusCode::INTERNAL_SERVER_ERROR
            }
        },
        UPDATE_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(whole(""));
    *response.status_mut() = status;
    response
}

/// Why an answer could not be encoded.
#[derive(Debug, thiserror::Error)]
enum EncodeError {
    #[error(transparent)]
    Message(#[from] postcard::Error),
    #[error(transparent)]
    Body(#[from] std::io::Error),
}

fn tell(
    instance: &Instance,
    request: &Request<Incoming>,
) -> Result<Response<AnswerBody>, EncodeError> {
    let reads_deflate = request.headers().get(ACCEPT_ENCODING).is_some_and(|it| it == DEFLATE);
    let as_of = exchange::decode_revisions(request.uri().query());
    let replica = instance.replica.borrow();
    let knows_nothing = as_of.iter().all(|revision| *revision == 0);
    if !(knows_nothing && reads_deflate) {
        let bytes = postcard::to_allocvec(&replica.update_since(as_of))?;
        let is_encoded = reads_deflate && bytes.len() >= ENCODED_FROM_BYTES;
        let bytes = if is_encoded { deflate(&bytes)? } else { bytes };
        return Ok(response(bytes.into(), is_encoded));
    }
    // When all start, all ask for the same.
    let told = (replica.revisions(), replica.all_as_of().map(|revision| revision > 0));
    let mut last = instance.full_update_cache.borrow_mut();
    if let Some((of, bytes)) = &*last
        && *of == told
    {
        return Ok(response(bytes.clone(), true));
    }
    let bytes: Bytes = deflate(&postcard::to_allocvec(&replica.update_since(as_of))?)?.into();
    *last = Some((told, bytes.clone()));
    Ok(response(bytes, true))
}

fn response(bytes: Bytes, is_encoded: bool) -> Response<AnswerBody> {
    let mut response = Response::new(whole(bytes));
    if is_encoded {
        response.headers_mut().insert(CONTENT_ENCODING, HeaderValue::from_static(DEFLATE));
    }
    response
}
