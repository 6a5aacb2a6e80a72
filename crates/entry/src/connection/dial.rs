//! Opens TCP connections that detect a silent network.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout for connecting to a backend server or the store: covers two round trips between regions,
/// which take 110 ms at most, but not the retransmission of a lost packet.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(450);

/// Time after which unacknowledged data closes a connection.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time before the first TCP keepalive probe, and time between probes.
pub const TCP_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Opens a connection that breaks when the network falls silent.
///
/// # Errors
///
/// Fails with the error of connecting, or with `TimedOut` after `timeout`.
pub async fn dial(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    set_tcp_timeouts(&stream)?;
    Ok(stream)
}

/// Sets the TCP options that break a connection when the network falls silent.
///
/// # Errors
///
/// Fails if an option can't be set.
pub fn set_tcp_timeouts(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(TCP_KEEPALIVE_INTERVAL)
            .with_interval(TCP_KEEPALIVE_INTERVAL),
    )
}
