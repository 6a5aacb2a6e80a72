//! Showing the instance's metrics.

use super::body::{AnswerBody, whole};
use crate::process::Instance;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use std::rc::Rc;
use std::time::Instant;

/// Answers with all metrics as text.
pub(crate) async fn answer(instance: Rc<Instance>, _: Request<Incoming>) -> Response<AnswerBody> {
    let known = &instance.metrics.known;
    let set = |of: &str, value: u64| {
        known.with_label_values(&[of]).set(i64::try_from(value).unwrap_or(i64::MAX));
    };
    set("configuration-version", instance.knowledge.borrow().configuration.content.version);
    set("backend-servers", instance.roster.borrow().server_count() as u64);
    set("instances", instance.peers.borrow().alive_count(Instant::now()) as u64 + 1);
    match instance.metrics.render() {
        Ok(text) => Response::new(whole(text)),
        Err(error) => {
            log::warn!(target: "process", error:%; "metrics can't be rendered");
            let mut response = Response::new(whole(""));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
