//! Refusal of a request whose head has been read.

use super::body::Body;
use super::problem::Problem;
use super::route;
use super::state::Exchange;
use http::Response;

/// Counts the refusal and returns the response that reports it.
pub(super) fn refuse(exchange: &Exchange, problem: Problem) -> Response<Body> {
    exchange.process.count_refusal(&exchange.flow_name(route::arm_of(exchange)), &problem);
    problem.response()
}
