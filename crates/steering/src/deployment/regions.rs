//! Regions that may serve a request.

use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

/// Regions that may serve a route or a customer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum AllowedRegions {
    /// Any region.
    #[default]
    Any,
    /// Only these regions; none if a route and a customer have no region in common.
    Only(Vec<Arc<str>>),
}

impl Display for AllowedRegions {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => formatter.write_str("any"),
            Self::Only(regions) => formatter.write_str(&regions.join(",")),
        }
    }
}

impl AllowedRegions {
    /// Converts a list of regions, where an empty list allows any region.
    pub fn from_list(regions: impl IntoIterator<Item = Arc<str>>) -> Self {
        let regions: Vec<Arc<str>> = regions.into_iter().collect();
        if regions.is_empty() { Self::Any } else { Self::Only(regions) }
    }

    /// Returns whether the region may serve the request.
    pub fn permits(&self, region: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.iter().any(|allowed| **allowed == *region),
        }
    }

    /// Returns the regions that both permit.
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, regions) | (regions, Self::Any) => regions.clone(),
            (Self::Only(regions), _) => {
                Self::Only(regions.iter().filter(|region| other.permits(region)).cloned().collect())
            }
        }
    }
}
