//! Indexes into the lists of a [`Configuration`](crate::Configuration), valid only for its version.

macro_rules! index {
    ($name:ident, $what:literal) => {
        #[doc = concat!("Index of ", $what, " in its list.")]
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub u16);

        impl $name {
            /// Returns the index as a slice index.
            pub fn get(self) -> usize {
                usize::from(self.0)
            }
        }

        impl From<usize> for $name {
            /// Converts a slice index; validation limits lists to fewer than `u16::MAX` entries.
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
