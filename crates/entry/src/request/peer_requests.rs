//! Requests from other instances.

use super::body::ResponseBody;
use super::{relay, update};
use crate::connection::relay_protocol::Destination;
use crate::process::instance::Instance;
use http::{Request, Response};
use hyper::body::Incoming;
use std::rc::Rc;

/// Relays a request that names a destination; any other request is one for an update.
pub(crate) async fn handle(
    instance: Rc<Instance>,
    mut request: Request<Incoming>,
) -> Response<ResponseBody> {
    match Destination::take_from(request.headers_mut()) {
        Some(destination) => relay::handle(instance, request, destination).await,
        None => update::handle(instance, request).await,
    }
}
