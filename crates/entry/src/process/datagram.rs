//! Framing of the datagrams between instances.

/// Kind of a datagram, encoded in its first byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// Heartbeats, with the records of instances.
    Instances,
    /// Requests during which backend servers crashed.
    Suspects,
    /// Quotas of customers.
    Quotas,
    /// Conditions that backend servers report.
    Conditions,
    /// Progress of roll-outs.
    RolloutAnnouncements,
    /// Counts of responses during a roll-out.
    RolloutReports,
    /// A watch that gets no response from the store.
    WatchHandover,
    /// Instances that reach no backend servers.
    Reach,
}

impl Kind {
    const ALL: [Self; 8] = [
        Self::Instances,
        Self::Suspects,
        Self::Quotas,
        Self::Conditions,
        Self::RolloutAnnouncements,
        Self::RolloutReports,
        Self::WatchHandover,
        Self::Reach,
    ];

    fn tag(self) -> u8 {
        match self {
            Self::Instances => 1,
            Self::Suspects => 2,
            Self::Quotas => 3,
            Self::Conditions => 4,
            Self::RolloutAnnouncements => 5,
            Self::RolloutReports => 6,
            Self::WatchHandover => 7,
            Self::Reach => 8,
        }
    }
}

/// Encodes a datagram.
pub(super) fn encode(kind: Kind, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1 + content.len());
    bytes.push(kind.tag());
    bytes.extend_from_slice(content);
    bytes
}

/// Decodes a datagram; none if it is empty or its kind is unknown.
pub(super) fn decode(bytes: &[u8]) -> Option<(Kind, &[u8])> {
    let (tag, content) = bytes.split_first()?;
    let kind = Kind::ALL.into_iter().find(|kind| kind.tag() == *tag)?;
    Some((kind, content))
}
