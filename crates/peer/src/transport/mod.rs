//! Requests and replies over authenticated connections, with capnp-rpc.
//!
//! capnp-rpc's objects are not `Send`, so all connections of a process are handled on a dedicated
//! thread, with which the rest of the process exchanges encoded and typed messages.

mod client;
mod connection;
mod handshake;
mod keys;
mod observe;
mod request_handler;
mod rpc;
mod server;

pub use client::TransportClient;
pub use handshake::HandshakeError;
pub use keys::{Keys, KeysError};
pub use observe::{Observer, Refusal, TransportEvent};

use crate::codec::MAX_MESSAGE_BYTES;
use crate::{Connect, PeerService, Sender};
use capnp::message::ReaderOptions;
use client::Call;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Timeout for opening a connection, including its handshake.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of calls queued for the transport's thread.
const CALL_QUEUE: usize = 256;

/// Words allowed for what capnp-rpc adds to a message.
const RPC_OVERHEAD_WORDS: usize = 1_024;

/// Settings and dependencies of a transport.
pub struct TransportSettings {
    /// Identity of this instance.
    pub sender: Sender,
    /// The keys shared by all instances.
    pub keys: Keys,
    /// Opens connections.
    pub connect: Arc<dyn Connect>,
    /// Receives the transport's events, for metrics.
    pub observer: Arc<dyn Observer>,
    /// Maximum number of connections accepted at once.
    pub max_connections: usize,
}

/// State shared by all connections of a transport.
struct Shared {
    sender: Sender,
    keys: Keys,
    connect: Arc<dyn Connect>,
    observer: Arc<dyn Observer>,
    max_connections: usize,
}

/// A transport whose thread has not started yet; calls of its client wait until then.
pub struct Starter {
    shared: Arc<Shared>,
    calls: mpsc::Receiver<Call>,
}

/// A running transport; it stops when dropped.
pub struct Transport {
    _shutdown: DropGuard,
}

/// Creates a transport: its client, and the starter of its thread.
pub fn transport(settings: TransportSettings) -> (TransportClient, Starter) {
    let (sender, calls) = mpsc::channel(CALL_QUEUE);
    let shared = Arc::new(Shared {
        sender: settings.sender,
        keys: settings.keys,
        connect: settings.connect,
        observer: settings.observer,
        max_connections: settings.max_connections,
    });
    (TransportClient::new(sender, shared.observer.clone()), Starter { shared, calls })
}

impl Starter {
    /// Starts the thread, which accepts connections from `listener`; `service` runs on the caller's
    /// Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener, the runtime or the thread can't be set up.
    pub fn start(
        self,
        listener: std::net::TcpListener,
        service: Arc<dyn PeerService>,
    ) -> io::Result<Transport> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let shutdown = CancellationToken::new();
        listener.set_nonblocking(true)?;
        let handler = request_handler::RequestHandler {
            shared: self.shared.clone(),
            service,
            service_runtime: Handle::current(),
        };
        let thread = Thread { shared: self.shared, calls: self.calls, listener, handler };
        let thread_shutdown = shutdown.clone();
        std::thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || thread.run(runtime, thread_shutdown))?;
        Ok(Transport { _shutdown: shutdown.drop_guard() })
    }
}

/// What the transport's thread runs: outgoing calls and accepted connections.
struct Thread {
    shared: Arc<Shared>,
    calls: mpsc::Receiver<Call>,
    listener: std::net::TcpListener,
    handler: request_handler::RequestHandler,
}

impl Thread {
    fn run(self, runtime: Runtime, shutdown: CancellationToken) {
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            tokio::select! {
                () = client::run_calls(self.shared, self.calls) => {}
                () = server::accept(self.handler, self.listener) => {}
                () = shutdown.cancelled() => {}
            }
        });
    }
}

/// Returns the limits for messages that capnp-rpc reads.
fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MAX_MESSAGE_BYTES / 8 + RPC_OVERHEAD_WORDS),
        nesting_limit: 32,
    }
}
