//! Delays and cuts between availability zones, applied to each connection at the `Dialer` border.

use crate::record::Origins;
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

/// Bytes that a delayed connection holds in each direction.
const BUFFER_BYTES: usize = 64 << 10;

/// Names of two availability zones, in the direction of travel.
type Pair = (Arc<str>, Arc<str>);

/// How two availability zones are cut off from each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Cut {
    /// Connections break and new ones are refused at once.
    Refused,
    /// Nothing arrives, and nobody is told.
    Silent,
}

/// Delays and cuts between pairs of availability zones, which can change while in use.
#[derive(Debug, Default)]
pub struct Network {
    delays: Mutex<HashMap<Pair, Duration>>,
    cuts: watch::Sender<HashMap<Pair, Cut>>,
    origins: Origins,
}

impl Network {
    /// Sets the one-way delay between two availability zones, both ways.
    pub fn set_delay(&self, a: &str, b: &str, delay: Duration) {
        let mut delays = self.delays.lock();
        delays.insert((a.into(), b.into()), delay);
        delays.insert((b.into(), a.into()), delay);
    }

    /// Cuts two availability zones off from each other, or joins them again with `None`.
    pub fn set_cut(&self, a: &str, b: &str, cut: Option<Cut>) {
        self.cuts.send_modify(|cuts| {
            for pair in [(a.into(), b.into()), (b.into(), a.into())] {
                match cut {
                    Some(cut) => cuts.insert(pair, cut),
                    None => cuts.remove(&pair),
                };
            }
        });
    }

    /// Returns from which availability zone each connection came.
    pub fn origins(&self) -> Origins {
        self.origins.clone()
    }

    fn delay(&self, from: &Arc<str>, to: &Arc<str>) -> Duration {
        self.delays.lock().get(&(from.clone(), to.clone())).copied().unwrap_or_default()
    }

    /// Waits until the pair is joined; fails when it is cut with refusal.
    pub(crate) async fn joined(&self, from: &Arc<str>, to: &Arc<str>) -> io::Result<()> {
        let mut cuts = self.cuts.subscribe();
        let pair = (from.clone(), to.clone());
        let open = cuts.wait_for(|cuts| cuts.get(&pair) != Some(&Cut::Silent)).await;
        match open.map(|cuts| cuts.contains_key(&pair)) {
            Ok(false) => Ok(()),
            _ => Err(io::ErrorKind::HostUnreachable.into()),
        }
    }

    /// Waits until the pair is cut.
    pub(crate) async fn cut(&self, from: &Arc<str>, to: &Arc<str>) {
        let pair = (from.clone(), to.clone());
        let mut cuts = self.cuts.subscribe();
        // The sender lives as long as `self`.
        let _ = cuts.wait_for(|cuts| cuts.contains_key(&pair)).await;
    }
}

/// Dials from one availability zone.
#[derive(Clone, Debug)]
pub struct ZoneDialer {
    network: Arc<Network>,
    from: Arc<str>,
}

impl ZoneDialer {
    /// Makes a dialer of the availability zone `from`.
    pub fn new(network: Arc<Network>, from: Arc<str>) -> Self {
        Self { network, from }
    }
}

#[async_trait]
impl Dialer for ZoneDialer {
    async fn dial(&self, endpoint: &Endpoint) -> io::Result<BoxStream> {
        let link = Link {
            network: self.network.clone(),
            from: self.from.clone(),
            to: endpoint.availability_zone.clone(),
        };
        let delay = self.network.delay(&link.from, &link.to);
        self.network.joined(&link.from, &link.to).await?;
        let stream = TcpStream::connect(endpoint.address).await?;
        stream.set_nodelay(true)?;
        self.network.origins.note(stream.local_addr()?, self.from.clone());
        // A TCP handshake takes one round trip before data can be sent.
        tokio::time::sleep(delay * 2).await;
        let (near, far) = tokio::io::duplex(BUFFER_BYTES);
        let (far_read, far_write) = tokio::io::split(far);
        let (read, write) = tokio::io::split(stream);
        tokio::spawn(link.clone().carry(far_read, write, delay));
        tokio::spawn(link.carry(read, far_write, delay));
        Ok(Box::new(near))
    }
}

#[derive(Clone, Debug)]
struct Link {
    network: Arc<Network>,
    from: Arc<str>,
    to: Arc<str>,
}

impl Link {
    /// Carries bytes one way; a cut holds them back or breaks the connection.
    async fn carry(
        self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        delay: Duration,
    ) {
        let mut queue = Queue::new(delay);
        while !queue.is_done() {
            tokio::select! {
                biased;
                () = self.network.cut(&self.from, &self.to) => {
                    if self.network.joined(&self.from, &self.to).await.is_err() {
                        return;
                    }
                }
                moved = queue.step(&mut from, &mut to) => {
                    if moved.is_err() {
                        return;
                    }
                }
            }
        }
        // The other side may already be gone.
        let _ = to.shutdown().await;
    }
}

/// Bytes on their way, each chunk due `delay` after it was read.
struct Queue {
    delay: Duration,
    waiting: VecDeque<(Instant, Bytes)>,
    held: usize,
    ended: bool,
    buffer: Vec<u8>,
}

impl Queue {
    fn new(delay: Duration) -> Self {
        let waiting = VecDeque::new();
        Self { delay, waiting, held: 0, ended: false, buffer: vec![0; BUFFER_BYTES] }
    }

    fn is_done(&self) -> bool {
        self.ended && self.waiting.is_empty()
    }

    /// Reads a chunk or writes a part of one; nothing is lost when the future is dropped.
    async fn step(
        &mut self,
        from: &mut (impl AsyncRead + Unpin),
        to: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<()> {
        let due = self.waiting.front().map_or_else(Instant::now, |(due, _)| *due);
        let can_read = !self.ended && self.held < BUFFER_BYTES;
        tokio::select! {
            biased;
            written = write_due(&mut self.waiting, to, due), if !self.waiting.is_empty() => {
                self.held -= written?;
            }
            read = from.read(&mut self.buffer), if can_read => match read {
                Ok(0) | Err(_) => self.ended = true,
                Ok(count) => {
                    self.held += count;
                    let chunk = Bytes::copy_from_slice(&self.buffer[..count]);
                    self.waiting.push_back((Instant::now() + self.delay, chunk));
                }
            },
        }
        Ok(())
    }
}

/// Writes a part of the first chunk once it is due.
async fn write_due(
    waiting: &mut VecDeque<(Instant, Bytes)>,
    to: &mut (impl AsyncWrite + Unpin),
    due: Instant,
) -> io::Result<usize> {
    tokio::time::sleep_until(due).await;
    let Some((_, chunk)) = waiting.front_mut() else { return Ok(0) };
    let count = to.write(chunk).await?;
    chunk.advance(count);
    if chunk.is_empty() {
        waiting.pop_front();
    }
    Ok(count)
}
