//! Server for callers.

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

use crate::{Aborted, AnswerBody, tune};

/// Pause after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library takes.
const SMALLEST_BUFFER_BYTES: usize = 8_192;

/// Answers requests.
pub trait Handler: 'static {
    /// Answers one request; the future is dropped where the caller hangs up.
    ///
    /// # Errors
    ///
    /// Returns an error where the connection is to be closed without an answer.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        caller: SocketAddr,
    ) -> impl Future<Output = Result<Response<AnswerBody>, Aborted>>;
}

/// Limits of callers' connections.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Bytes that a request's head may have.
    pub head_bytes: usize,
    /// Time for which a connection may stay idle, or a head may be on its way.
    pub idle: Duration,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            idle: Duration::from_secs(15),
        }
    }
}

/// Signal that the process stops: answers then end their connections.
pub type Stopping = watch::Receiver<bool>;

/// Accepts connections until the task is dropped; `config` is read for each new connection.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    config: Rc<Cell<ServerConfig>>,
    stopping: Stopping,
    logger: Logger,
) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                let connection = CallerConnection {
                    handler: Rc::clone(&handler),
                    config: config.get(),
                    stopping: stopping.clone(),
                    caller,
                };
                spawn_local(connection.run(stream, logger.clone()));
            }
            Err(error) => {
                warn!(logger, "edge: Accepting a connection failed."; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

struct CallerConnection<H> {
    handler: Rc<H>,
    config: ServerConfig,
    stopping: Stopping,
    caller: SocketAddr,
}

impl<H: Handler> CallerConnection<H> {
    async fn run(self, stream: TcpStream, logger: Logger) {
        if let Err(error) = tune(&stream) {
            debug!(logger, "edge: Socket options refused."; "error" => %error);
        }
        let caller = self.caller;
        let config = self.config;
        let mut stopping = self.stopping.clone();
        let service = service_fn(move |request| {
            answer(
                Rc::clone(&self.handler),
                request,
                caller,
                self.stopping.clone(),
            )
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(config.idle)
            .max_buf_size(config.head_bytes.max(SMALLEST_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let was_stopping = *stopping.borrow();
        let served = tokio::select! {
            served = connection.as_mut() => served,
            // Ends an idle connection at once, and another one after its answer.
            _ = stopping.changed(), if !was_stopping => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = served {
            debug!(logger, "edge: Connection ended early."; "caller" => %caller, "error" => %error);
        }
    }
}

/// Answers a request; the connection ends after it while the process stops, and after a chunked
/// request, whose head may carry a length as well that an earlier proxy went by.
async fn answer<H: Handler>(
    handler: Rc<H>,
    request: Request<Incoming>,
    caller: SocketAddr,
    stopping: Stopping,
) -> Result<Response<AnswerBody>, Aborted> {
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = handler.handle(request, caller).await?;
    if is_chunked || *stopping.borrow() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
