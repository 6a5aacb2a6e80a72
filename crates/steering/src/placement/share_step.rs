//! How a regional share follows its target.

/// How a share changed towards its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ShareStep {
    /// By no more than its limited pace.
    #[default]
    Paced,
    /// To the target at once, because of a change of capacity.
    AtOnce,
}

impl ShareStep {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Paced => "paced",
            Self::AtOnce => "at-once",
        }
    }
}
