//! The sockets of an instance, bound before its state is created.

use crate::error::EntryError;
use crate::settings::Settings;
use std::net::SocketAddr;
use tokio::net::{TcpListener, UdpSocket};

/// All sockets on which an instance listens.
#[derive(Debug)]
pub struct Listeners {
    pub(super) callers: TcpListener,
    pub(super) look_ups: TcpListener,
    pub(super) readiness: TcpListener,
    pub(super) peers: TcpListener,
    pub(super) operators: TcpListener,
    pub(super) gossip: UdpSocket,
}

impl Listeners {
    /// Binds all addresses of the settings and writes the bound addresses back, as port 0 stands for
    /// any free port.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound; the error names it.
    pub async fn bind(settings: &mut Settings) -> Result<Self, EntryError> {
        let gossip = UdpSocket::bind(settings.gossip_address).await;
        let gossip = gossip
            .and_then(|socket| Ok((socket.local_addr()?, socket)))
            .map_err(|source| EntryError::Listen { address: settings.gossip_address, source })?;
        settings.gossip_address = gossip.0;
        Ok(Self {
            callers: bind_tcp(&mut settings.caller_address).await?,
            look_ups: bind_tcp(&mut settings.look_up_address).await?,
            readiness: bind_tcp(&mut settings.readiness_address).await?,
            peers: bind_tcp(&mut settings.peer_address).await?,
            operators: bind_tcp(&mut settings.operators_address).await?,
            gossip: gossip.1,
        })
    }
}

async fn bind_tcp(address: &mut SocketAddr) -> Result<TcpListener, EntryError> {
    let requested = *address;
    let listen_error = |source| EntryError::Listen { address: requested, source };
    let listener = TcpListener::bind(requested).await.map_err(listen_error)?;
    *address = listener.local_addr().map_err(listen_error)?;
    Ok(listener)
}
