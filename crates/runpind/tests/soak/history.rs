//! What callers and backend servers saw, and what happened to the fleet.

use crate::common::server::ResponseMode;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time without a disruption after which an instance has to keep bounds of time.
pub(crate) const RECONNECTION: Duration = Duration::from_secs(4);

/// Time for which ended requests are remembered, longer than the windows of all rules.
const RETENTION: Duration = Duration::from_secs(45);

/// The service of all routes but one, and that of the route `second`.
pub(crate) const FIRST_SERVICE: &str = "dossier";
pub(crate) const SECOND_SERVICE: &str = "agenda";

/// Kind of a request, from its path and the customer that sends it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Class {
    /// First segment of the path, which picks the route.
    pub(crate) route: &'static str,
    pub(crate) customer: &'static str,
}

impl Class {
    /// Returns whether a request may run more than once.
    pub(crate) fn is_idempotent(self) -> bool {
        matches!(self.route, "idempotent" | "second")
    }

    /// The service that its requests are for.
    pub(crate) fn service(self) -> &'static str {
        if self.route == "second" { SECOND_SERVICE } else { FIRST_SERVICE }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// A complete response.
    Answered { status: u16 },
    /// The connection ended before a complete response.
    Closed,
    /// The caller closed the connection.
    Left,
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { status } => write!(formatter, "{status}"),
            Self::Closed => formatter.write_str("closed"),
            Self::Left => formatter.write_str("left"),
        }
    }
}

/// A request at a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Visit {
    pub(crate) server: Rc<str>,
    /// The service that the server belongs to.
    pub(crate) service: &'static str,
    pub(crate) at: Instant,
    pub(crate) mode: ResponseMode,
    /// Time that the server was given, in milliseconds.
    pub(crate) deadline_ms: Option<u64>,
    /// When the server no longer worked on it.
    pub(crate) ended_at: Option<Instant>,
}

impl Visit {
    /// Returns whether the backend server ran the request.
    pub(crate) fn has_run(&self) -> bool {
        let rejections = [
            ResponseMode::Overloaded,
            ResponseMode::Rejected,
            ResponseMode::RejectedTwice,
            ResponseMode::Replaced,
        ];
        !rejections.contains(&self.mode)
    }

    /// Returns whether the server broke off a response that may have been forwarded already.
    pub(crate) fn broke_off(&self) -> bool {
        matches!(self.mode, ResponseMode::CloseDelimitedReset | ResponseMode::EndlessBody)
    }

    /// Returns whether the server's response was complete and belonged to the request.
    pub(crate) fn was_answered(&self) -> bool {
        !matches!(
            self.mode,
            ResponseMode::Garbage
                | ResponseMode::Truncated
                | ResponseMode::SpoiltCoding
                | ResponseMode::LostCoding
                | ResponseMode::CloseDelimitedReset
                | ResponseMode::MismatchedId
                | ResponseMode::NoResponse
                | ResponseMode::Unsigned
                | ResponseMode::EndlessBody
                | ResponseMode::EndlessHead
        )
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) class: Class,
    /// Number of the instance it was sent to.
    pub(crate) instance: usize,
    /// Whether no proxy was between caller and instance.
    pub(crate) is_direct: bool,
    /// Whether it was sent before the previous response.
    pub(crate) is_ahead: bool,
    /// When its last byte was sent.
    pub(crate) sent_at: Instant,
    pub(crate) ended: Option<(Outcome, Instant)>,
    pub(crate) visits: Vec<Visit>,
}

/// What a disruption concerns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Scope {
    Fleet,
    Instance(usize),
    Server(Rc<str>),
    /// The paths of some instances to all backend servers.
    ServersOf,
}

#[derive(Clone, Debug)]
struct Disruption {
    scope: Scope,
    is_planned: bool,
    from: Instant,
    until: Option<Instant>,
}

/// A violated rule.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) rule: &'static str,
    pub(crate) detail: String,
    /// Requests that it concerns.
    pub(crate) ids: Vec<String>,
    pub(crate) at: Instant,
}

/// Record of a run.
#[derive(Default)]
pub(crate) struct History {
    pub(crate) requests: RefCell<BTreeMap<String, Request>>,
    /// Number of ended requests by outcome.
    pub(crate) outcomes: RefCell<BTreeMap<String, u64>>,
    /// Ended requests that are not yet checked.
    pub(crate) ended: RefCell<Vec<String>>,
    pub(crate) violations: RefCell<Vec<Violation>>,
    /// When the callers started, from which the steps of the plan count.
    pub(crate) started: Cell<Option<Instant>>,
    /// Arrivals at undisturbed servers while all instances were undisturbed.
    pub(crate) undisturbed_arrivals: Cell<u64>,
    /// Requests at instances that were cut off from all backend servers that were judged.
    pub(crate) judged_at_cut_off: Cell<u64>,
    /// Time for which the test itself was held up.
    pub(crate) own_delay: Cell<Duration>,
    disruptions: RefCell<Vec<Disruption>>,
    next_id: Cell<u64>,
}

impl History {
    /// Returns a new request ID.
    pub(crate) fn new_id(&self) -> String {
        self.next_id.set(self.next_id.get() + 1);
        format!("soak-{}", self.next_id.get())
    }

    /// Records a request before its first byte is sent.
    pub(crate) fn record_request(&self, id: &str, request: Request) {
        self.requests.borrow_mut().insert(id.to_owned(), request);
    }

    /// Records that the last byte of a request has been sent.
    pub(crate) fn record_sent(&self, id: &str) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.sent_at = Instant::now();
        }
    }

    /// Records how a request ended; the first record stays.
    pub(crate) fn record_end(&self, id: &str, outcome: Outcome) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id)
            && request.ended.is_none()
        {
            request.ended = Some((outcome, Instant::now()));
            *self.outcomes.borrow_mut().entry(outcome.to_string()).or_default() += 1;
            self.ended.borrow_mut().push(id.to_owned());
        }
    }

    /// Records that a server no longer works on a request.
    pub(crate) fn record_visit_end(&self, id: &str, server: &str, at: Instant) {
        let mut requests = self.requests.borrow_mut();
        let visits = requests.get_mut(id).into_iter().flat_map(|request| &mut request.visits);
        let mut running =
            visits.filter(|visit| *visit.server == *server && visit.ended_at.is_none());
        running.by_ref().take(1).for_each(|visit| visit.ended_at = Some(at));
    }

    /// Forgets requests that ended so long ago that no rule concerns them.
    pub(crate) fn forget_old_requests(&self) {
        let is_recent =
            |request: &Request| request.ended.is_none_or(|(_, at)| at.elapsed() < RETENTION);
        self.requests.borrow_mut().retain(|_, request| is_recent(request));
    }

    /// Records a violated rule.
    pub(crate) fn record_violation(&self, rule: &'static str, detail: String, ids: &[&str]) {
        let ids = ids.iter().map(|id| (*id).to_owned()).collect();
        let violation = Violation { rule, detail, ids, at: Instant::now() };
        self.violations.borrow_mut().push(violation);
    }

    /// Records the start of a disruption, and returns its number for [`History::end_disruption`].
    pub(crate) fn begin_disruption(&self, scope: Scope, is_planned: bool) -> usize {
        let mut disruptions = self.disruptions.borrow_mut();
        disruptions.push(Disruption { scope, is_planned, from: Instant::now(), until: None });
        disruptions.len() - 1
    }

    /// Records the end of a disruption.
    pub(crate) fn end_disruption(&self, number: usize) {
        self.disruptions.borrow_mut()[number].until = Some(Instant::now());
    }

    /// Records that the test itself was held up, so that its times are late.
    pub(crate) fn record_own_delay(&self, from: Instant) {
        self.own_delay.set(self.own_delay.get() + from.elapsed());
        let until = Some(Instant::now());
        let disruption = Disruption { scope: Scope::Fleet, is_planned: false, from, until };
        self.disruptions.borrow_mut().push(disruption);
    }

    /// Returns whether an instance was undisturbed during a span and long enough before it.
    pub(crate) fn in_touch(&self, instance: usize, from: Instant, until: Instant) -> bool {
        !self.any_disruption(from, until, |disruption| match &disruption.scope {
            Scope::Fleet => true,
            Scope::Instance(number) => *number == instance,
            Scope::Server(_) | Scope::ServersOf => false,
        })
    }

    /// Returns whether all instances were undisturbed during a span and long enough before it.
    pub(crate) fn all_in_touch(&self, from: Instant, until: Instant) -> bool {
        !self.any_disruption(from, until, |disruption| {
            !matches!(disruption.scope, Scope::Server(_) | Scope::ServersOf)
        })
    }

    /// Returns whether there was nothing but planned work, except at backend servers.
    pub(crate) fn only_planned_work(&self, from: Instant, until: Instant) -> bool {
        !self.any_disruption(from, until, |disruption| {
            let is_at_servers = matches!(disruption.scope, Scope::Server(_) | Scope::ServersOf);
            !disruption.is_planned && !is_at_servers
        })
    }

    /// Returns whether a backend server, its link and the paths of the instances to all backend servers
    /// were undisturbed; any instance may have passed a request on.
    pub(crate) fn server_undisturbed(&self, id: &str, from: Instant, until: Instant) -> bool {
        !self.any_disruption(from, until, |disruption| match &disruption.scope {
            Scope::Server(server) => **server == *id,
            Scope::ServersOf => true,
            Scope::Fleet | Scope::Instance(_) => false,
        })
    }

    fn any_disruption(
        &self,
        from: Instant,
        until: Instant,
        concerns: impl Fn(&Disruption) -> bool,
    ) -> bool {
        self.disruptions.borrow().iter().any(|disruption| {
            disruption.from <= until
                && disruption.until.is_none_or(|end| end + RECONNECTION >= from)
                && concerns(disruption)
        })
    }
}
