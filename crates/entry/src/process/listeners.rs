//! The sockets of an instance, bound before anything else is known.

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
    /// Binds all addresses of the settings, and puts those that were bound in their place: a port
    /// of 0 stands for any free one.
    ///
    /// # Errors
    ///
    /// Names the address that can't be listened on.
    pub async fn bind(settings: &mut Settings) -> Result<Self, EntryError> {
        let gossip = UdpSocket::bind(settings.gossip_address).await;
        let gossip = gossip
            .and_then(|socket| Ok((socket.local_addr()?, socket)))
            .map_err(|source| EntryError::Listen { address: settings.gossip_address, source })?;
        settings.gossip_address = gossip.0;
        Ok(Self {
            callers: tcp(&mut settings.caller_address).await?,
            look_ups: tcp(&mut settings.look_up_address).await?,
            readiness: tcp(&mut settings.readiness_address).await?,
            peers: tcp(&mut settings.peer_address).await?,
            operators: tcp(&mut settings.operators_address).await?,
            gossip: gossip.1,
        })
    }
}

async fn tcp(address: &mut SocketAddr) -> Result<TcpListener, EntryError> {
    let wanted = *address;
    let failed = |source| EntryError::Listen { address: wanted, source };
    let listener = TcpListener::bind(wanted).await.map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}
