//! HTTP server for callers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::{ResponseBody, StreamAborted, set_socket_options};

/// Pause after a failed accept, for example if the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library accepts; it panics on a smaller one.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Handler of callers' requests.
pub trait Handler: 'static {
    /// Responds to a request; the future is dropped if the caller disconnects.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection must be closed without a response.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        caller: SocketAddr,
    ) -> impl Future<Output = Result<Response<ResponseBody>, StreamAborted>>;
}

/// Limits of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Maximum size of a request head in bytes; a value below 8192 permits 8192 bytes.
    pub max_head_bytes: usize,
    /// Time for which a connection may stay idle, or within which a request head must arrive.
    pub idle_timeout: Duration,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Signal that the process shuts down, after which each connection is closed after its response.
pub type ShutdownSignal = watch::Receiver<bool>;

/// Accepts connections until the task is dropped; each new connection uses the current `config`.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    config: Rc<Cell<ServerConfig>>,
    shutdown: ShutdownSignal,
    logger: Logger,
) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                let connection = CallerConnection {
                    handler: Rc::clone(&handler),
                    config: config.get(),
                    shutdown: shutdown.clone(),
                    caller,
                };
                spawn_local(connection.run(stream, logger.clone()));
            }
            Err(error) => {
                warn!(logger, "edge: Failed to accept a connection."; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

struct CallerConnection<H> {
    handler: Rc<H>,
    config: ServerConfig,
    shutdown: ShutdownSignal,
    caller: SocketAddr,
}

impl<H: Handler> CallerConnection<H> {
    async fn run(self, stream: TcpStream, logger: Logger) {
        if let Err(error) = set_socket_options(&stream) {
            debug!(logger, "edge: Failed to set socket options.";
                "caller" => %self.caller, "error" => %error);
        }
        let caller = self.caller;
        let config = self.config;
        let mut shutdown = self.shutdown.clone();
        let service = service_fn(move |request| {
            respond(
                Rc::clone(&self.handler),
                request,
                caller,
                self.shutdown.clone(),
            )
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(config.idle_timeout)
            .max_buf_size(config.max_head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let was_shutting_down = *shutdown.borrow();
        let result = tokio::select! {
            result = connection.as_mut() => result,
            // Closes an idle connection at once, and a busy one after its response.
            _ = shutdown.changed(), if !was_shutting_down => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            debug!(logger, "edge: Caller connection closed with an error.";
                "caller" => %caller, "error" => %error);
        }
    }
}

/// Responds to a request.
///
/// The connection is closed after the response if the process is shutting down. It is also closed
/// after a chunked request: its head may also carry a length, which a proxy in front may have used
/// instead, so that the two may disagree about where the next request starts.
async fn respond<H: Handler>(
    handler: Rc<H>,
    request: Request<Incoming>,
    caller: SocketAddr,
    shutdown: ShutdownSignal,
) -> Result<Response<ResponseBody>, StreamAborted> {
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = handler.handle(request, caller).await?;
    if is_chunked || *shutdown.borrow() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
