//! Exit codes, which are the same for all commands.

use std::process::ExitCode;

/// How a command ended.
///
/// | code | meaning |
/// |---|---|
/// | 0 | done |
/// | 1 | failed, or an experiment saw a violation |
/// | 2 | wrong usage, or the input does not pass the checks; nothing was changed |
/// | 3 | conflict: another version is in force than expected; nothing was changed |
/// | 4 | no instance, or not the platform, could be reached; nothing was changed |
/// | 5 | the token is missing or wrong; nothing was changed |
/// | 6 | outcome unknown: the change may have been accepted; check before retrying |
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exit {
    Done = 0,
    Failed = 1,
    WrongUsage = 2,
    Conflict = 3,
    Unreachable = 4,
    Denied = 5,
    OutcomeUnknown = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
