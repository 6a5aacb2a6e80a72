//! Delays and cuts between availability zones, applied to each connection at the `Dialer` border.

use async_trait::async_trait;
use parking_lot::Mutex;
use runpind::{BoxStream, Dialer, Endpoint, TcpDialer};
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::Instant;

/// Bytes that a delayed connection holds in each direction.
const BUFFER_BYTES: usize = 64 << 10;

/// Names of two availability zones, in the direction of travel.
type Pair = (Arc<str>, Arc<str>);

/// Delays and cuts between pairs of availability zones, which can change while in use.
#[derive(Debug, Default)]
pub struct Network {
    delays: Mutex<HashMap<Pair, Duration>>,
    cuts: Mutex<HashSet<Pair>>,
}

impl Network {
    /// Sets the one-way delay between two availability zones, both ways.
    pub fn set_delay(&self, a: &str, b: &str, delay: Duration) {
        let mut delays = self.delays.lock();
        delays.insert((a.into(), b.into()), delay);
        delays.insert((b.into(), a.into()), delay);
    }

    /// Cuts two availability zones off from each other, or joins them again.
    pub fn set_cut(&self, a: &str, b: &str, cut: bool) {
        let mut cuts = self.cuts.lock();
        for pair in [(a.into(), b.into()), (b.into(), a.into())] {
            if cut {
                cuts.insert(pair)
            } else {
                cuts.remove(&pair)
            };
        }
    }

    fn delay(&self, from: &Arc<str>, to: &Arc<str>) -> Duration {
        self.delays.lock().get(&(from.clone(), to.clone())).copied().unwrap_or_default()
    }

    fn is_cut(&self, from: &Arc<str>, to: &Arc<str>) -> bool {
        self.cuts.lock().contains(&(from.clone(), to.clone()))
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
        let delay = self.network.delay(&self.from, &endpoint.availability_zone);
        if self.network.is_cut(&self.from, &endpoint.availability_zone) {
            return Err(io::ErrorKind::HostUnreachable.into());
        }
        let stream = TcpDialer.dial(endpoint).await?;
        // A TCP handshake takes one round trip before data can be sent.
        tokio::time::sleep(delay * 2).await;
        let (near, far) = tokio::io::duplex(BUFFER_BYTES);
        let (far_read, far_write) = tokio::io::split(far);
        let (read, write) = tokio::io::split(stream);
        let link = Link {
            network: self.network.clone(),
            from: self.from.clone(),
            to: endpoint.availability_zone.clone(),
        };
        tokio::spawn(carry(far_read, write, delay, link.clone()));
        tokio::spawn(carry(read, far_write, delay, link));
        Ok(Box::new(near))
    }
}

#[derive(Clone, Debug)]
struct Link {
    network: Arc<Network>,
    from: Arc<str>,
    to: Arc<str>,
}

/// Carries bytes one way, each chunk `delay` after it was read; a cut breaks the connection.
async fn carry(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    delay: Duration,
    link: Link,
) {
    let mut waiting: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut held = 0;
    let mut ended = false;
    let mut buffer = vec![0; BUFFER_BYTES];
    while !(ended && waiting.is_empty()) {
        if link.network.is_cut(&link.from, &link.to) {
            return;
        }
        let due = waiting.front().map_or_else(Instant::now, |(due, _)| *due);
        let can_read = !ended && held < BUFFER_BYTES;
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(due), if !waiting.is_empty() => {
                let Some((_, chunk)) = waiting.pop_front() else { continue };
                held -= chunk.len();
                if to.write_all(&chunk).await.is_err() {
                    return;
                }
            }
            read = from.read(&mut buffer), if can_read => match read {
                Ok(0) | Err(_) => ended = true,
                Ok(count) => {
                    held += count;
                    waiting.push_back((Instant::now() + delay, buffer[..count].to_vec()));
                }
            },
        }
    }
    let mut to = pin!(to);
    // The other side may already be gone.
    let _ = to.shutdown().await;
}
