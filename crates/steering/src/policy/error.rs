//! Errors of policy programs.

use thiserror::Error;

/// Why a policy program can't be used, or returned no weights for a view.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PolicyError {
    /// The program is longer than allowed.
    #[error("the program has {bytes} bytes, at most {limit} are allowed")]
    TooLarge {
        /// Bytes of the program.
        bytes: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// The program does not compile.
    #[error("line {line}: {message}")]
    Syntax {
        /// Line of the program, counted from 1; 0 for unknown.
        line: usize,
        /// Message of the interpreter.
        message: String,
    },
    /// The program failed while it ran.
    #[error("line {line}: {message}")]
    Run {
        /// Line of the program, counted from 1; 0 for unknown.
        line: usize,
        /// Message of the interpreter.
        message: String,
    },
    /// The program exceeded the number of operations.
    #[error("line {line}: more than {limit} operations")]
    TooManyOperations {
        /// Line of the program at which it did, counted from 1; 0 for unknown.
        line: usize,
        /// Operations allowed.
        limit: u64,
    },
    /// The program did not return a list.
    #[error("the program must end with a list of weights, not with a value of type {found}")]
    NotAList {
        /// Type of the returned value.
        found: String,
    },
    /// The list has the wrong length.
    #[error("the program gave {found} weights for {expected} sites")]
    Length {
        /// Number of weights in the list.
        found: usize,
        /// Number of sites in the view.
        expected: usize,
    },
    /// A weight is not a number, negative or infinite.
    #[error("weight {position} is `{value}`, not a number from 0 up")]
    Weight {
        /// Position of the weight, counted from 0.
        position: usize,
        /// The value, or its type if it is not a number.
        value: String,
    },
    /// No weight is above 0.
    #[error("all weights are 0")]
    AllZero,
}

impl PolicyError {
    /// Returns the line of the program, counted from 1, if the error has one.
    pub fn line(&self) -> Option<usize> {
        match self {
            PolicyError::Syntax { line, .. }
            | PolicyError::Run { line, .. }
            | PolicyError::TooManyOperations { line, .. } => Some(*line).filter(|line| *line > 0),
            _ => None,
        }
    }
}
