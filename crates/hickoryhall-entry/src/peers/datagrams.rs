//! Receives datagrams from peers.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use hickoryhall_wire::{HostHash, Keyring, MAX_DATAGRAM_BYTES, ReplayWindow};
use metrics::counter;

use crate::actors::{CoreHandle, CoreMsg};
use crate::context::Lifecycle;

/// Longest time between two checks of whether the host has stopped.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Receives datagrams until the host has stopped.
///
/// Datagrams that are oversize, not authentic, addressed to another host or replayed are dropped
/// and counted.
///
/// # Errors
///
/// Returns an error if the socket's timeout cannot be set.
pub(crate) fn receive_datagrams(
    socket: &UdpSocket,
    keyring: &Keyring,
    local_host: HostHash,
    core: &CoreHandle,
    lifecycle: &Arc<Lifecycle>,
) -> std::io::Result<()> {
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    // One byte more than the limit makes oversize datagrams detectable.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let mut replays = ReplayWindow::default();
    while !lifecycle.has_ended() {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if length > MAX_DATAGRAM_BYTES {
            count_dropped("oversize");
            continue;
        }
        match keyring.open(&buffer[..length]) {
            Ok(frame) if frame.receiver != local_host => count_dropped("not_for_us"),
            Ok(frame) if !replays.accept(frame.sender, frame.sequence) => count_dropped("replay"),
            Ok(frame) => {
                counter!("peer_bytes_received_total").increment(length as u64);
                core.send(CoreMsg::Frame(Box::new(frame)));
            }
            Err(_) => count_dropped("not_authentic"),
        }
    }
    Ok(())
}

/// Counts a dropped datagram.
fn count_dropped(reason: &'static str) {
    counter!("peer_frames_dropped_total", "reason" => reason).increment(1);
}
