//! Datagrams to peers, limited by the byte budget for control messages.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::time::Instant;

use hickoryhall_membership::ByteBudget;
use hickoryhall_wire::{Body, Frame, HostHash, Keyring, MAX_DATAGRAM_BYTES, Peer};
use metrics::counter;

/// Seals messages and sends them to peers as datagrams.
pub(crate) struct Outbox {
    socket: UdpSocket,
    keyring: Keyring,
    local_peer: Peer,
    sequence: u64,
    addresses: HashMap<HostHash, SocketAddr>,
    budget: ByteBudget,
}

impl Outbox {
    pub fn new(socket: UdpSocket, keyring: Keyring, local_peer: Peer, budget: ByteBudget) -> Self {
        Self {
            socket,
            keyring,
            local_peer,
            sequence: 0,
            addresses: HashMap::new(),
            budget,
        }
    }

    /// Replaces the addresses of the peers.
    pub fn set_addresses(&mut self, addresses: HashMap<HostHash, SocketAddr>) {
        self.addresses = addresses;
    }

    /// Sends a message to a peer; returns whether it was handed to the socket.
    ///
    /// An optional message is dropped if the budget for control messages is used up. Other messages
    /// are always sent but count against the budget, which leaves less for optional ones.
    pub fn send(&mut self, now: Instant, to: HostHash, body: Body, is_optional: bool) -> bool {
        let Some(&address) = self.addresses.get(&to) else {
            return false;
        };
        self.sequence += 1;
        let frame = Frame {
            sender: self.local_peer,
            receiver: to,
            sequence: self.sequence,
            body,
        };
        let bytes = self.keyring.seal(&frame);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            counter!("peer_frames_oversize_total").increment(1);
            return false;
        }
        if !self.budget.try_spend(now, bytes.len()) && is_optional {
            counter!("peer_frames_over_budget_total").increment(1);
            return false;
        }
        counter!("peer_bytes_sent_total").increment(bytes.len() as u64);
        counter!("peer_frames_sent_total", "body" => body_name(&frame.body)).increment(1);
        self.socket.send_to(&bytes, address).is_ok()
    }
}

/// Returns the label of a message in the metrics.
fn body_name(body: &Body) -> &'static str {
    match body {
        Body::Gossip(_) => "gossip",
        Body::PushRevision { .. } => "push_revision",
        Body::QuoteRequest(_) => "quote_ask",
        Body::QuoteResponse(_) => "quote_answer",
        Body::Reserve { .. } => "reserve",
        Body::Release { .. } => "release",
        Body::GrantRequest(_) => "grant_ask",
        Body::GrantResponse(_) => "grant_answer",
        Body::TableFetch(_) => "table_fetch",
        Body::TableDelta(_) => "table_delta",
    }
}
