//! Opens TCP connections that detect a silent network.

use rustix::io::Errno;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use steering::terms::timings::ConnectionTimings;
use tokio::net::{TcpSocket, TcpStream};

/// Timeout for connecting to a backend server or the store: covers two round trips between regions,
/// which take 110 ms at most, but not the retransmission of a lost packet.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(450);

/// Returns whether a connection failed as this process or machine has no descriptor, buffer or memory for it,
/// which says nothing about the other side.
pub fn is_exhaustion(error: &io::Error) -> bool {
    let lacks = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| lacks.contains(&errno))
}

/// Opens a connection that breaks when the network falls silent.
///
/// # Errors
///
/// Fails with the error of connecting, or with `TimedOut` after `timeout`.
pub async fn dial(
    address: SocketAddr,
    timeout: Duration,
    timings: ConnectionTimings,
) -> io::Result<TcpStream> {
    open(TcpStream::connect(address), timeout, timings).await
}

/// As [`dial`], from an address of this machine by which the other side knows it.
///
/// # Errors
///
/// As [`dial`]; also if the connection can't be opened from this address.
pub async fn dial_from(
    source: IpAddr,
    address: SocketAddr,
    timeout: Duration,
    timings: ConnectionTimings,
) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(source, 0))?;
    open(socket.connect(address), timeout, timings).await
}

async fn open(
    connecting: impl Future<Output = io::Result<TcpStream>>,
    timeout: Duration,
    timings: ConnectionTimings,
) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    set_tcp_timeouts(&stream, timings)?;
    Ok(stream)
}

/// Sets the TCP options that break a connection when the network falls silent.
///
/// # Errors
///
/// Fails if an option can't be set.
pub fn set_tcp_timeouts(stream: &TcpStream, timings: ConnectionTimings) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timings.user_timeout))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(timings.keepalive_interval)
            .with_interval(timings.keepalive_interval),
    )
}
