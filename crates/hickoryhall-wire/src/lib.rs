//! The protocol between entry hosts: `prost` messages in authenticated frames.
//!
//! Small messages are sent as UDP datagrams, tables as length-delimited frames over TCP. Every
//! frame carries a keyed hash. The receiver drops and counts frames that are not authentic,
//! replayed or oversize.
//!
//! ```
//! use hickoryhall_wire::{Body, Frame, Keyring, Peer};
//!
//! let keyring = Keyring::new(&["secret"]);
//! let sender = Peer { host: 1, incarnation: 5 };
//! let frame = Frame { sender, receiver: 2, sequence: 1, body: Body::PushRevision { revision: 9 } };
//! let bytes = keyring.seal(&frame);
//! assert_eq!(keyring.open(&bytes), Ok(frame));
//! ```

mod codec;
mod frame;
mod proto;
mod replay;

pub use codec::{FrameCodec, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
pub use frame::{
    Body, Frame, Gossip, GrantRequest, GrantResponse, Heartbeat, HostHash, Peer, QuoteRequest,
    QuoteResponse, Rumor, RunnerQuote, TableDelta, TableFetch, WireLevel,
};
pub use proto::{Keyring, OpenError};
pub use replay::ReplayWindow;
