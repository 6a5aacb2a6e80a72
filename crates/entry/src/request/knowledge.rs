//! Telling other instances what this one knows of the deployment.

use super::body::{AnswerBody, whole};
use crate::process::instance::Instance;
use crate::version::exchange::{self, KNOWLEDGE_PATH};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use std::rc::Rc;

/// Answers with what the asking instance lacks, encoded as instances of one release read it.
pub(crate) async fn answer(
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let knowledge = instance.knowledge.borrow();
    let as_of = exchange::read_query(request.uri().query());
    let status = match request.uri().path() {
        KNOWLEDGE_PATH if knowledge.is_complete() && instance.is_settled() => {
            match postcard::to_allocvec(&knowledge.update_since(as_of)) {
                Ok(bytes) => return Response::new(whole(bytes)),
                Err(error) => {
                    log::warn!(target: "process", error:%; "knowledge can't be encoded");
                    StatusCode::INTERNAL_SERVER_ERROR
                }
            }
        }
        KNOWLEDGE_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(whole(""));
    *response.status_mut() = status;
    response
}
