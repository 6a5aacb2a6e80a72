//! Which other instances are being asked for what this one lacks.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Questions under way at most: each answer may be as large as all that is known.
const MOST_QUESTIONS: usize = 3;

#[derive(Debug)]
struct Question {
    address: SocketAddr,
    /// Time from which another instance may be asked too.
    late_at: Instant,
}

/// The questions that are under way.
///
/// One instance that stands still or is cut off must not keep this one from what others know: with
/// one question at a time, it did so for 2.5 s, more than half of the time in which a change has to
/// be in force.
#[derive(Debug, Default)]
pub struct Questions {
    under_way: Vec<Question>,
}

impl Questions {
    /// Begins a question, if none is under way that may still be answered in time; `patience` is the
    /// time for which this one keeps others from being begun.
    pub fn begin(&mut self, address: SocketAddr, patience: Duration, now: Instant) -> bool {
        let in_the_way = |it: &Question| it.address == address || now < it.late_at;
        if self.under_way.len() >= MOST_QUESTIONS || self.under_way.iter().any(in_the_way) {
            return false;
        }
        self.under_way.push(Question { address, late_at: now + patience });
        true
    }

    /// Ends a question.
    pub fn end(&mut self, address: SocketAddr) {
        self.under_way.retain(|it| it.address != address);
    }
}
