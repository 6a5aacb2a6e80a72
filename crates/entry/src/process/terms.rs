//! Log lines about the terms of the deployment.

use steering::terms::{Conflict, Terms};

/// Logs each conflict between terms.
pub(super) fn log_conflicts(terms: &Terms) {
    for conflict in Conflict::find(terms) {
        log::warn!(target: "terms", why:% = conflict; "terms can't be kept together");
    }
}
