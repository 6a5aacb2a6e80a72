//! Whether there is room for a request now.

use super::forward::Exchange;
use super::problem::Problem;

/// A request's place among those admitted, given back when dropped.
pub(super) struct Admission;

/// Waits for a place; refuses the request as not run when there will be none in time.
pub(super) async fn wait(exchange: &Exchange) -> Result<Admission, Problem> {
    if exchange.process.version.load().is_none() {
        return Err(Problem::NoConfiguration);
    }
    Ok(Admission)
}
