//! Access tokens of the address for operators.

use super::error::AdminError;
use crate::settings::Secret;
use http::Request;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

/// Checks that a request carries the token, with a constant-time comparison.
pub(super) fn check<B>(request: &Request<B>, token: &Secret) -> Result<(), AdminError> {
    let given = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .ok_or(AdminError::MissingToken)?;
    match given.ct_eq(token.expose()).into() {
        true => Ok(()),
        false => Err(AdminError::WrongToken),
    }
}
