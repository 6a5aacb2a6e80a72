//! What a connection has carried.

/// What a connection has carried so far.
#[derive(Debug)]
pub struct Carried {
    label: ConnectionLabel,
}

/// Identifies a connection and one of its exchanges in log lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionLabel {
    /// Port of this side of the connection.
    pub local_port: u16,
    /// Number of the exchange, from 1 on.
    pub exchange: u64,
}

impl Carried {
    /// A new connection from a local port.
    pub(super) fn nothing(local_port: u16) -> Self {
        Self { label: ConnectionLabel { local_port, exchange: 0 } }
    }

    /// Counts one more exchange.
    pub(super) fn begin_exchange(&mut self) {
        self.label.exchange += 1;
    }

    /// Identifies the latest exchange.
    pub(crate) fn label(&self) -> ConnectionLabel {
        self.label
    }
}
