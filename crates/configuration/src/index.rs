//! Positions in a [`Configuration`](crate::Configuration), valid for that version only.

macro_rules! index {
    ($name:ident, $what:literal) => {
        #[doc = concat!("Position of ", $what, " within its list.")]
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub u16);

        impl $name {
            /// Returns the position as a slice index.
            pub fn get(self) -> usize {
                usize::from(self.0)
            }
        }

        impl From<usize> for $name {
            /// Converts a position; the checks bound every list far below `u16::MAX`.
            fn from(position: usize) -> Self {
                Self(u16::try_from(position).unwrap_or(u16::MAX))
            }
        }
    };
}

index!(RegionIndex, "a region");
index!(ZoneIndex, "an availability zone");
index!(ServiceIndex, "a service");
index!(SiteIndex, "a site within its service");
index!(LinkIndex, "a link");
