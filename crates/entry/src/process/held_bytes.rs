//! Bytes that hold a reservation of memory.

use bytes::Bytes;
use steering::machine::Reservation;

/// Bytes whose memory is reserved as long as they are kept.
struct HeldBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The same bytes, which hold the reservation until the last clone of them is dropped.
pub(crate) fn hold(bytes: Bytes, reservation: Reservation) -> Bytes {
    Bytes::from_owner(HeldBytes { bytes, _reservation: reservation })
}
