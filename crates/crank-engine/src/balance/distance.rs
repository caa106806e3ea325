//! How far a target is from a node.

use crank_protocol::member::Place;
use serde::{Deserialize, Serialize};

/// The distance between a node and a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// The target is in the same data centre.
    Near,
    /// The target is in another data centre of the same region.
    Region,
    /// The target is in another region.
    Far,
}

pub(super) const DISTANCES: [Distance; 3] = [Distance::Near, Distance::Region, Distance::Far];

impl Distance {
    /// Returns the distance between two places.
    ///
    /// ```
    /// use crank_engine::balance::Distance;
    /// use crank_protocol::{Name, member::Place};
    /// let place = |region: &str, data_centre: &str| Place {
    ///     region: Name::new(region).unwrap(),
    ///     data_centre: Name::new(data_centre).unwrap(),
    /// };
    /// let here = place("bahia", "b1");
    /// assert_eq!(Distance::between(&here, &place("bahia", "b2")), Distance::Region);
    /// assert_eq!(Distance::between(&here, &place("maranhao", "m1")), Distance::Far);
    /// ```
    #[must_use]
    pub fn between(one: &Place, other: &Place) -> Self {
        if one.region != other.region {
            Self::Far
        } else if one.data_centre != other.data_centre {
            Self::Region
        } else {
            Self::Near
        }
    }

    /// Returns what is added to a target's utilization for its distance, as a share of its slots.
    pub(super) fn penalty(self) -> f64 {
        match self {
            Self::Near => 0.0,
            Self::Region => 0.1,
            Self::Far => 1.5,
        }
    }
}
