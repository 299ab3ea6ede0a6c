//! Reads what a server sends behind a response that does not belong to the request.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use hyper::client::conn::http1;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::SegmentedBody;
use crate::server_stream::ServerStream;

/// Maximum size of a head that is read here, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of headers of such a head.
const MAX_HEADERS: usize = 64;

/// The socket of a connection, and the bytes that were read from it behind the last response.
pub(crate) struct Leftover {
    stream: TcpStream,
    unread: Bytes,
}

/// Drives a connection until it ends, or until its leftover is requested. The HTTP library ends it when
/// bytes arrive that it expects no response for; these are kept, and `unread_bytes` is their number.
pub(crate) async fn drive(
    mut driver: http1::Connection<TokioIo<ServerStream>, SegmentedBody>,
    mut requested: oneshot::Receiver<oneshot::Sender<Leftover>>,
    unread_bytes: Rc<Cell<usize>>,
) {
    let reply = tokio::select! {
        biased;
        reply = &mut requested => Some(reply),
        // An error is also returned to the request on the connection.
        ended = poll_fn(|context| driver.poll_without_shutdown(context)) => {
            if ended.is_ok() {
                return;
            }
            None
        }
    };
    let parts = driver.into_parts();
    let reply = match reply {
        Some(reply) => reply,
        None => {
            unread_bytes.set(parts.read_buf.len());
            requested.await
        }
    };
    if let Ok(reply) = reply {
        // The connection may have been dropped meanwhile.
        let _ = reply.send(Leftover {
            stream: parts.io.into_inner().into_inner(),
            unread: parts.read_buf,
        });
    }
}

impl Leftover {
    /// Tells the server that nothing more is sent, by which it knows that nobody waits.
    pub async fn close_sending(&mut self) {
        // A connection that has ended needs no end.
        let _ = self.stream.shutdown().await;
    }

    /// Reads the next head; `None` if the connection ends or has something else.
    pub async fn next_head(mut self) -> Option<response::Parts> {
        let mut bytes = BytesMut::from(&*self.unread);
        loop {
            if let Some(head) = parse_head(&bytes).ok()? {
                return Some(head);
            }
            let is_over =
                bytes.len() >= MAX_HEAD_BYTES || self.stream.read_buf(&mut bytes).await.ok()? == 0;
            if is_over {
                return None;
            }
        }
    }
}

/// Parses a head; `None` if it is not complete yet.
fn parse_head(bytes: &[u8]) -> Result<Option<response::Parts>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    if parsed.parse(bytes)?.is_partial() {
        return Ok(None);
    }
    let mut response = Response::new(());
    let status = parsed.code.and_then(|code| StatusCode::from_u16(code).ok());
    *response.status_mut() = status.ok_or(httparse::Error::Status)?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let name = name.map_err(|_| httparse::Error::HeaderName)?;
        let value = value.map_err(|_| httparse::Error::HeaderValue)?;
        response.headers_mut().append(name, value);
    }
    Ok(Some(response.into_parts().0))
}
