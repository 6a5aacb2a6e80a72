//! Serves updates of the deployment's state to other instances.

use super::body::{ResponseBody, full_body};
use super::held_response::held_response;
use crate::connection::encoding::{DEFLATE, deflate};
use crate::process::instance::Instance;
use crate::version::exchange::{self, UPDATE_PATH};
use bytes::Bytes;
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use std::rc::Rc;

/// Smallest response that is compressed; smaller ones fit in a few packets anyway.
const MIN_ENCODED_BYTES: usize = 8 * 1024;

/// Answers with the state that is newer than the revisions in the query.
///
/// The postcard encoding is read by instances of the same release only.
pub(crate) async fn handle(
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let is_available = instance.replica.borrow().is_complete() && instance.is_resynced();
    let status = match request.uri().path() {
        UPDATE_PATH if is_available => match encode_update(&instance, &request) {
            Ok(update) => return response(&instance, update).await,
            Err(error) => {
                log::warn!(target: "process", error:%; "failed to encode an update");
                StatusCode::INTERNAL_SERVER_ERROR
            }
        },
        UPDATE_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(full_body(""));
    *response.status_mut() = status;
    response
}

/// Why a response could not be encoded.
#[derive(Debug, thiserror::Error)]
enum EncodeError {
    #[error(transparent)]
    Message(#[from] postcard::Error),
    #[error(transparent)]
    Body(#[from] std::io::Error),
}

/// An encoded update.
struct EncodedUpdate {
    bytes: Bytes,
    is_compressed: bool,
    /// Whether all responses share the bytes.
    is_cached: bool,
}

fn encode_update(
    instance: &Instance,
    request: &Request<Incoming>,
) -> Result<EncodedUpdate, EncodeError> {
    let accepts_deflate =
        request.headers().get(ACCEPT_ENCODING).is_some_and(|value| value == DEFLATE);
    let as_of = exchange::decode_revisions(request.uri().query());
    let replica = instance.replica.borrow();
    let wants_full_update = as_of.iter().all(|revision| *revision == 0);
    if !(wants_full_update && accepts_deflate) {
        let bytes = postcard::to_allocvec(&replica.update_since(as_of))?;
        let is_compressed = accepts_deflate && bytes.len() >= MIN_ENCODED_BYTES;
        let bytes = if is_compressed { deflate(&bytes)? } else { bytes };
        let bytes = bytes.into();
        return Ok(EncodedUpdate { bytes, is_compressed, is_cached: false });
    }
    // When many instances start at once, all request a full update, so the response is cached.
    let revisions = (replica.revisions(), replica.all_as_of().map(|revision| revision > 0));
    let mut cache = instance.full_update_cache.borrow_mut();
    if let Some((cached_revisions, bytes)) = &*cache
        && *cached_revisions == revisions
    {
        return Ok(EncodedUpdate { bytes: bytes.clone(), is_compressed: true, is_cached: true });
    }
    let bytes: Bytes = deflate(&postcard::to_allocvec(&replica.update_since(as_of))?)?.into();
    *cache = Some((revisions, bytes.clone()));
    Ok(EncodedUpdate { bytes, is_compressed: true, is_cached: true })
}

async fn response(instance: &Instance, update: EncodedUpdate) -> Response<ResponseBody> {
    let EncodedUpdate { bytes, is_compressed, is_cached } = update;
    let mut response = match is_cached {
        true => Response::new(full_body(bytes)),
        false => held_response(instance, bytes).await,
    };
    if is_compressed && response.status() == StatusCode::OK {
        response.headers_mut().insert(CONTENT_ENCODING, HeaderValue::from_static(DEFLATE));
    }
    response
}
