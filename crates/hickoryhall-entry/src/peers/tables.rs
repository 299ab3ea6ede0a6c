//! Transfer of tables over TCP: one request and one response per connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use crossbeam_channel::Receiver;
use hickoryhall_control::RowDelta;
use hickoryhall_http::WorkerPool;
use hickoryhall_table::{Row, RowKey, TableHead};
use hickoryhall_types::Revision;
use hickoryhall_wire::{Body, Frame, FrameCodec, HostHash, Keyring, Peer, TableDelta, TableFetch};
use metrics::counter;
use slog::{Logger, debug};
use tokio_util::codec::{Decoder, Encoder};

use crate::actors::{CoreHandle, CoreMsg, FetchJob};
use crate::context::Lifecycle;
use crate::shared_table::SharedTable;

/// Timeout of the connect and of each read and write.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of peers served concurrently.
const MAX_CONCURRENT_PEERS: usize = 32;

/// Serves the table to peers.
pub(crate) struct TableServer {
    pub listener: TcpListener,
    pub keyring: Keyring,
    pub local_peer: Peer,
    pub core: CoreHandle,
    pub lifecycle: Arc<Lifecycle>,
}

impl TableServer {
    /// Accepts connections until the host has stopped.
    pub fn run(self) {
        let pool = WorkerPool::new("table-server", MAX_CONCURRENT_PEERS);
        let server = Arc::new(self);
        for stream in server.listener.incoming() {
            if server.lifecycle.has_ended() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let server = Arc::clone(&server);
            // A peer that is rejected for lack of a worker retries in its next gossip round.
            let job = pool.run(move || {
                if server.serve(stream).is_err() {
                    counter!("table_questions_failed_total").increment(1);
                }
            });
            if job.is_err() {
                counter!("table_questions_refused_total").increment(1);
            }
        }
    }

    /// Answers the table request of one connection.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        set_timeouts(&stream)?;
        let mut codec = FrameCodec::new(self.keyring.clone());
        let request = read_frame(&mut stream, &mut codec)?;
        let Body::TableFetch(TableFetch { known_revision }) = request.body else {
            return Err(invalid("the frame is not a table request"));
        };
        if request.receiver != self.local_peer.host {
            return Err(invalid("the table request is for another host"));
        }
        let response = self.core.ask(|reply| CoreMsg::Delta {
            known_revision,
            reply,
        });
        let (head, delta) = response.ok_or_else(|| invalid("the host is shutting down"))?;
        let response = Frame {
            sender: self.local_peer,
            receiver: request.sender.host,
            // The request's sequence number ties the response to it.
            sequence: request.sequence,
            body: Body::TableDelta(delta_to_wire(&head, &delta)),
        };
        write_frame(&mut stream, &mut codec, &response)
    }
}

/// Fetches the table changes since the revision `known_revision` from a peer.
///
/// # Errors
///
/// Returns an error if the peer is unreachable or its response does not belong to this request.
pub(crate) fn fetch_table(
    address: SocketAddr,
    host: HostHash,
    local_peer: Peer,
    keyring: &Keyring,
    sequence: u64,
    known_revision: Revision,
) -> io::Result<(TableHead, RowDelta)> {
    let mut stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
    set_timeouts(&stream)?;
    let mut codec = FrameCodec::new(keyring.clone());
    let body = Body::TableFetch(TableFetch { known_revision });
    let request = Frame {
        sender: local_peer,
        receiver: host,
        sequence,
        body,
    };
    write_frame(&mut stream, &mut codec, &request)?;
    let response = read_frame(&mut stream, &mut codec)?;
    let is_response = response.sender.host == host
        && response.receiver == local_peer.host
        && response.sequence == sequence;
    match response.body {
        Body::TableDelta(delta) if is_response => delta_from_wire(&delta),
        _ => Err(invalid("the response does not belong to the table request")),
    }
}

/// Fetches tables from peers until the channel of jobs closes.
pub(crate) fn run_fetches(
    jobs: &Receiver<FetchJob>,
    local_peer: Peer,
    keyring: &Keyring,
    table: &SharedTable,
    core: &CoreHandle,
    logger: &Logger,
) {
    let mut sequence = 0;
    while let Ok(job) = jobs.recv() {
        // Several peers may have announced the same revision.
        if table.revision() > job.known_revision {
            continue;
        }
        sequence += 1;
        match fetch_table(
            job.address,
            job.host,
            local_peer,
            keyring,
            sequence,
            job.known_revision,
        ) {
            Ok((head, delta)) => core.send(CoreMsg::TableDelta { head, delta }),
            Err(error) => {
                debug!(logger, "tables: Table fetch from a peer failed."; "peer" => %job.address, "error" => %error);
            }
        }
    }
}

fn delta_to_wire(head: &TableHead, delta: &RowDelta) -> TableDelta {
    let to_row = |key: &RowKey| Row::new(&key.workspace, &key.target);
    let removed = delta.removed.iter().map(to_row).collect::<Vec<_>>();
    TableDelta {
        from: delta.from,
        head_json: serde_json::to_vec(head).expect("a head has string keys"),
        rows_json: serde_json::to_vec(&delta.rows).expect("rows have string keys"),
        removed_json: serde_json::to_vec(&removed).expect("rows have string keys"),
    }
}

fn delta_from_wire(delta: &TableDelta) -> io::Result<(TableHead, RowDelta)> {
    let head = serde_json::from_slice(&delta.head_json)?;
    let rows = serde_json::from_slice(&delta.rows_json)?;
    let removed = serde_json::from_slice::<Vec<Row>>(&delta.removed_json)?;
    let removed = removed.iter().map(Row::key).collect();
    Ok((
        head,
        RowDelta {
            from: delta.from,
            rows,
            removed,
        },
    ))
}

fn set_timeouts(stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))
}

fn write_frame(stream: &mut TcpStream, codec: &mut FrameCodec, frame: &Frame) -> io::Result<()> {
    let mut bytes = BytesMut::new();
    codec.encode(frame, &mut bytes)?;
    stream.write_all(&bytes)
}

fn read_frame(stream: &mut TcpStream, codec: &mut FrameCodec) -> io::Result<Frame> {
    let mut bytes = BytesMut::new();
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(frame) = codec.decode(&mut bytes)? {
            return Ok(frame);
        }
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            length => bytes.extend_from_slice(&buffer[..length]),
        }
    }
}

fn invalid(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
