//! Simulated network delays and partitions between availability zones, applied to each connection
//! by a `Dialer`.

use crate::record::SourceZones;
use async_trait::async_trait;
use bytes::{Buf, Bytes};
use parking_lot::Mutex;
use runpind::{BoxStream, Dialer, Endpoint};
use serde::Deserialize;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// Bytes that a delayed connection buffers in each direction.
const BUFFER_BYTES: usize = 64 << 10;

/// Source and destination availability zone.
type Pair = (Arc<str>, Arc<str>);

/// Kind of network partition between two availability zones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Partition {
    /// Open connections close and new ones are refused at once.
    Refused,
    /// Bytes and new connections are held back until the partition heals; no error is reported.
    Silent,
}

/// Delays and partitions between pairs of availability zones, which can change while connections
/// are open.
#[derive(Debug, Default)]
pub struct Network {
    delays: Mutex<HashMap<Pair, Duration>>,
    partitions: watch::Sender<HashMap<Pair, Partition>>,
    source_zones: SourceZones,
}

impl Network {
    /// Sets the one-way delay between two availability zones in both directions.
    pub fn set_delay(&self, a: &str, b: &str, delay: Duration) {
        let mut delays = self.delays.lock();
        delays.insert((a.into(), b.into()), delay);
        delays.insert((b.into(), a.into()), delay);
    }

    /// Sets the partition between two availability zones; `None` heals it.
    pub fn set_partition(&self, a: &str, b: &str, partition: Option<Partition>) {
        self.partitions.send_modify(|partitions| {
            for pair in [(a.into(), b.into()), (b.into(), a.into())] {
                match partition {
                    Some(partition) => partitions.insert(pair, partition),
                    None => partitions.remove(&pair),
                };
            }
        });
    }

    /// Returns the availability zone that each connection comes from.
    pub fn source_zones(&self) -> SourceZones {
        self.source_zones.clone()
    }

    fn delay(&self, from: &Arc<str>, to: &Arc<str>) -> Duration {
        self.delays.lock().get(&(from.clone(), to.clone())).copied().unwrap_or_default()
    }

    /// Waits while a silent partition lasts; fails if the pair has a refusing one.
    pub(crate) async fn wait_until_connected(
        &self,
        from: &Arc<str>,
        to: &Arc<str>,
    ) -> io::Result<()> {
        let mut partitions = self.partitions.subscribe();
        let pair = (from.clone(), to.clone());
        let connected = partitions
            .wait_for(|partitions| partitions.get(&pair) != Some(&Partition::Silent))
            .await;
        match connected.map(|partitions| partitions.contains_key(&pair)) {
            Ok(false) => Ok(()),
            _ => Err(io::ErrorKind::HostUnreachable.into()),
        }
    }

    /// Waits until the pair has a partition of either kind.
    pub(crate) async fn wait_until_partitioned(&self, from: &Arc<str>, to: &Arc<str>) {
        let pair = (from.clone(), to.clone());
        let mut partitions = self.partitions.subscribe();
        // An error is impossible: `self` owns the sender.
        let _ = partitions.wait_for(|partitions| partitions.contains_key(&pair)).await;
    }
}

/// Dials on behalf of the instances in one availability zone.
#[derive(Clone, Debug)]
pub struct ZoneDialer {
    network: Arc<Network>,
    from: Arc<str>,
}

impl ZoneDialer {
    /// Creates a dialer for the availability zone `from`.
    pub fn new(network: Arc<Network>, from: Arc<str>) -> Self {
        Self { network, from }
    }
}

#[async_trait]
impl Dialer for ZoneDialer {
    async fn dial(&self, endpoint: &Endpoint) -> io::Result<BoxStream> {
        let forwarder = Forwarder {
            network: self.network.clone(),
            from: self.from.clone(),
            to: endpoint.availability_zone.clone(),
        };
        let delay = self.network.delay(&forwarder.from, &forwarder.to);
        self.network.wait_until_connected(&forwarder.from, &forwarder.to).await?;
        let stream = TcpStream::connect(endpoint.address).await?;
        stream.set_nodelay(true)?;
        self.network.source_zones.insert(stream.local_addr()?, self.from.clone());
        // A TCP handshake takes one round trip before data can be sent.
        tokio::time::sleep(delay * 2).await;
        let (local, remote) = tokio::io::duplex(BUFFER_BYTES);
        let (remote_read, remote_write) = tokio::io::split(remote);
        let (read, write) = tokio::io::split(stream);
        tokio::spawn(forwarder.clone().forward(remote_read, write, delay));
        tokio::spawn(forwarder.forward(read, remote_write, delay));
        Ok(Box::new(local))
    }
}

#[derive(Clone, Debug)]
struct Forwarder {
    network: Arc<Network>,
    from: Arc<str>,
    to: Arc<str>,
}

impl Forwarder {
    /// Forwards bytes in one direction; a partition holds them back or closes the connection.
    async fn forward(
        self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        delay: Duration,
    ) {
        let mut queue = DelayQueue::new(delay);
        while !queue.is_done() {
            tokio::select! {
                biased;
                () = self.network.wait_until_partitioned(&self.from, &self.to) => {
                    if self.network.wait_until_connected(&self.from, &self.to).await.is_err() {
                        return;
                    }
                }
                transferred = queue.transfer(&mut from, &mut to) => {
                    if transferred.is_err() {
                        return;
                    }
                }
            }
        }
        // The other side may have closed the connection already.
        let _ = to.shutdown().await;
    }
}

/// Queued bytes; each chunk is due `delay` after it was read.
struct DelayQueue {
    delay: Duration,
    chunks: VecDeque<(Instant, Bytes)>,
    queued_bytes: usize,
    input_ended: bool,
    buffer: Vec<u8>,
}

impl DelayQueue {
    fn new(delay: Duration) -> Self {
        let chunks = VecDeque::new();
        Self { delay, chunks, queued_bytes: 0, input_ended: false, buffer: vec![0; BUFFER_BYTES] }
    }

    fn is_done(&self) -> bool {
        self.input_ended && self.chunks.is_empty()
    }

    /// Reads a chunk or writes a part of one. Cancel safe.
    async fn transfer(
        &mut self,
        from: &mut (impl AsyncRead + Unpin),
        to: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<()> {
        let due = self.chunks.front().map_or_else(Instant::now, |(due, _)| *due);
        let can_read = !self.input_ended && self.queued_bytes < BUFFER_BYTES;
        tokio::select! {
            biased;
            written = write_due(&mut self.chunks, to, due), if !self.chunks.is_empty() => {
                self.queued_bytes -= written?;
            }
            read = from.read(&mut self.buffer), if can_read => match read {
                Ok(0) | Err(_) => self.input_ended = true,
                Ok(count) => {
                    self.queued_bytes += count;
                    let chunk = Bytes::copy_from_slice(&self.buffer[..count]);
                    self.chunks.push_back((Instant::now() + self.delay, chunk));
                }
            },
        }
        Ok(())
    }
}

/// Writes a part of the first chunk once it is due and returns the bytes written.
async fn write_due(
    chunks: &mut VecDeque<(Instant, Bytes)>,
    to: &mut (impl AsyncWrite + Unpin),
    due: Instant,
) -> io::Result<usize> {
    tokio::time::sleep_until(due).await;
    let Some((_, chunk)) = chunks.front_mut() else { return Ok(0) };
    let count = to.write(chunk).await?;
    chunk.advance(count);
    if chunk.is_empty() {
        chunks.pop_front();
    }
    Ok(count)
}
