//! Opening a connection to a backend server or another instance.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time for a connection to a backend server or the store to come up: the longest round trip between
/// regions of 110 ms, twice, and one lost packet is not waited for.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(450);

/// Time after which sent bytes that nobody confirmed break a connection.
pub const UNCONFIRMED: Duration = Duration::from_secs(3);

/// Rest after which the other side is asked whether it is still there, and pause between questions.
pub const KEEPALIVE: Duration = Duration::from_secs(2);

/// Opens a connection that notices a silent network.
///
/// # Errors
///
/// Fails as connecting does, and with `TimedOut` if it does not come up within `limit`.
pub async fn dial(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(limit, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    watch_over(&stream)?;
    Ok(stream)
}

/// Makes a connection break when the network falls silent.
///
/// # Errors
///
/// Fails if an option can't be set.
pub fn watch_over(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNCONFIRMED))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE))
}
