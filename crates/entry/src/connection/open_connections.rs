//! The connections that all listeners have open, and the end of those that wait for their callers when there is no
//! room.

use super::read_ahead::ReadAhead;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::machine::{ListenerLimits, Waiting, longest_waiting};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A listener of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ListenerKind {
    Callers,
    LookUps,
    Readiness,
    Instances,
    Operators,
}

impl ListenerKind {
    /// Name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::LookUps => "look-ups",
            Self::Readiness => "readiness",
            Self::Instances => "instances",
            Self::Operators => "operators",
        }
    }

    fn limit(self, limits: &ListenerLimits) -> usize {
        match self {
            Self::Callers => limits.callers,
            Self::LookUps => limits.look_ups,
            Self::Readiness => limits.readiness,
            Self::Instances => limits.instances,
            Self::Operators => limits.operators,
        }
    }
}

/// What a connection is used for at present.
#[derive(Debug)]
enum Use {
    /// It waits for a request.
    Idle,
    /// It waits for the rest of a body that is buffered.
    Body,
    /// A request of a service is under way whose body is sent on as it arrives.
    Upload(Arc<str>),
    /// A request is under way.
    Request,
}

/// Identifies an open connection; attached to its requests.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct ConnectionId(u64);

/// An open connection.
pub(crate) struct OpenConnection {
    pub(crate) id: ConnectionId,
    listener: ListenerKind,
    caller: IpAddr,
    stream: ReadAhead<TcpStream>,
    used_for: RefCell<Use>,
    /// Since when it waits for its caller; `None` while it does not.
    waiting_since: Cell<Option<Instant>>,
    ended: Notify,
}

impl OpenConnection {
    /// Waits until it is ended for lack of room.
    pub(super) async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Records the begin of a request; it ends when the result is dropped.
    pub(super) fn begin_request(self: &Rc<Self>) -> UnderWay {
        self.set(Use::Request, None);
        UnderWay(self.clone())
    }

    /// Records that the body of its request is awaited.
    pub(crate) fn await_body(&self) {
        self.set(Use::Body, Some(Instant::now()));
    }

    /// Records that the body of its request is complete.
    pub(crate) fn end_body(&self) {
        self.set(Use::Request, None);
    }

    /// Records that the body of its request is sent on to a service as it arrives.
    pub(crate) fn begin_upload(&self, service: &Arc<str>) {
        self.set(Use::Upload(service.clone()), None);
    }

    /// Records whether the rest of an upload is awaited.
    pub(crate) fn set_upload_awaited(&self, is_awaited: bool) {
        let since = self.waiting_since.get();
        self.waiting_since.set(is_awaited.then(|| since.unwrap_or_else(Instant::now)));
    }

    fn set(&self, used_for: Use, waiting_since: Option<Instant>) {
        self.used_for.replace(used_for);
        self.waiting_since.set(waiting_since);
    }

    /// What it waits for, and for how long; `None` while the instance has work to do for it.
    fn waiting(&self, now: Instant) -> Option<(Waiting, Duration)> {
        // The last bytes of a response may be unread when its request has ended.
        let (waiting, since) = match (&*self.used_for.borrow(), self.stream.write_blocked_since()) {
            (Use::Body, _) => (Waiting::Body, self.waiting_since.get()),
            (Use::Upload(_), _) if self.waiting_since.get().is_some() => {
                (Waiting::Upload, self.waiting_since.get())
            }
            (Use::Idle, None) => (Waiting::Request, self.waiting_since.get()),
            (Use::Idle | Use::Upload(_) | Use::Request, blocked_since) => {
                (Waiting::Reader, blocked_since)
            }
        };
        since.map(|since| (waiting, now.saturating_duration_since(since)))
    }

    fn is_upload_to(&self, service: &str) -> bool {
        matches!(&*self.used_for.borrow(), Use::Upload(used) if **used == *service)
    }
}

/// A request that is under way on a connection until this is dropped.
pub(super) struct UnderWay(Rc<OpenConnection>);

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.set(Use::Idle, Some(Instant::now()));
    }
}

/// A connection that was ended, for logs and metrics.
pub(crate) struct Ended {
    pub(crate) listener: ListenerKind,
    pub(crate) caller: IpAddr,
    pub(crate) waiting: Waiting,
    pub(crate) waited: Duration,
}

/// The open connections of all listeners.
pub(crate) struct OpenConnections {
    limits: ListenerLimits,
    next_id: Cell<u64>,
    by_id: RefCell<HashMap<ConnectionId, Rc<OpenConnection>>>,
}

impl OpenConnections {
    /// No connections.
    pub(crate) fn new(limits: ListenerLimits) -> Self {
        Self { limits, next_id: Cell::new(0), by_id: RefCell::default() }
    }

    /// Whether a listener has as many connections as it may hold.
    pub(crate) fn is_full(&self, listener: ListenerKind) -> bool {
        let by_id = self.by_id.borrow();
        let open = by_id.values().filter(|open| open.listener == listener).count();
        open >= listener.limit(&self.limits)
    }

    /// Adds a connection, until the result is dropped.
    pub(super) fn add(
        self: &Rc<Self>,
        listener: ListenerKind,
        caller: IpAddr,
        stream: ReadAhead<TcpStream>,
    ) -> OpenGuard {
        let id = ConnectionId(self.next_id.replace(self.next_id.get() + 1));
        let connection = Rc::new(OpenConnection {
            id,
            listener,
            caller,
            stream,
            used_for: RefCell::new(Use::Idle),
            waiting_since: Cell::new(Some(Instant::now())),
            ended: Notify::new(),
        });
        self.by_id.borrow_mut().insert(id, connection.clone());
        OpenGuard { connections: self.clone(), connection }
    }

    /// The connection with this identity, if it is open.
    pub(crate) fn get(&self, id: ConnectionId) -> Option<Rc<OpenConnection>> {
        self.by_id.borrow().get(&id).cloned()
    }

    /// Ends a connection of a listener, if one waits for its caller.
    pub(crate) fn end_one_of(&self, listener: ListenerKind) -> Option<Ended> {
        self.end_longest_waiting(|open, _| open.listener == listener)
    }

    /// Ends a connection that holds memory, if one waits for its caller.
    pub(crate) fn end_one_with_memory(&self) -> Option<Ended> {
        self.end_longest_waiting(|_, waiting| waiting != Waiting::Request)
    }

    /// Ends an upload to a service, if one waits for its caller.
    pub(crate) fn end_upload_to(&self, service: &str) -> Option<Ended> {
        self.end_longest_waiting(|open, waiting| {
            waiting == Waiting::Upload && open.is_upload_to(service)
        })
    }

    fn end_longest_waiting(
        &self,
        is_eligible: impl Fn(&OpenConnection, Waiting) -> bool,
    ) -> Option<Ended> {
        let now = Instant::now();
        let (id, waiting, waited) = {
            let by_id = self.by_id.borrow();
            let waiting = by_id.values().filter_map(|open| {
                let (waiting, waited) = open.waiting(now)?;
                is_eligible(open, waiting).then_some((open.id, waiting, waited))
            });
            longest_waiting(waiting)?
        };
        let connection = self.by_id.borrow_mut().remove(&id)?;
        connection.ended.notify_one();
        let OpenConnection { listener, caller, .. } = *connection;
        Some(Ended { listener, caller, waiting, waited })
    }
}

/// Counts a connection as open until this is dropped.
pub(super) struct OpenGuard {
    connections: Rc<OpenConnections>,
    pub(super) connection: Rc<OpenConnection>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.connections.by_id.borrow_mut().remove(&self.connection.id);
    }
}
