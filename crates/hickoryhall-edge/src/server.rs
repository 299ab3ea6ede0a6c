//! HTTP server for callers.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now};

use crate::body::TrackedBody;
use crate::caller_stream::CallerStream;
use crate::connections::OpenConnection;
use crate::sockets::set_caller_socket_options;
use crate::{CallerConnection, Connections, RequestBody, ResponseBody, StreamAborted};

/// Pause after a failed accept, for example if the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Least time between two log lines about the same limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
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
        request: Request<RequestBody>,
        caller: Rc<CallerConnection>,
    ) -> impl Future<Output = Result<Response<ResponseBody>, StreamAborted>>;
}

/// Limits of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Maximum size of a request head in bytes; a value below 8192 permits 8192 bytes.
    pub max_head_bytes: usize,
    /// Time for which a connection may stay idle, or within which a request head must arrive.
    pub idle_timeout: Duration,
    /// Maximum number of open connections of a listener. At the limit, the one that has been idle or
    /// has sent a part of a request head for longest makes room for a new one.
    pub max_connections: usize,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            idle_timeout: Duration::from_secs(15),
            max_connections: usize::MAX,
        }
    }
}

/// Signal that the process shuts down, after which each connection is closed after its response.
pub type ShutdownSignal = watch::Receiver<bool>;

/// Accepts connections until the task is dropped; each new connection uses the current `config` and
/// is listed in `connections` while it is open.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    config: Rc<Cell<ServerConfig>>,
    shutdown: ShutdownSignal,
    connections: Rc<Connections>,
    logger: Logger,
) {
    let number = connections.add_listener();
    let mut at_limit = LimitLog::default();
    let mut failures = LimitLog::default();
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                let before = connections.at_limit().total();
                let has_room = connections.make_room(number, config.get().max_connections);
                let ended = connections.at_limit().total() - before;
                if ended > 0
                    && let Some(count) = at_limit.add(ended)
                {
                    warn!(
                        logger, "edge: Limit of open connections reached.";
                        "listener" => listener.local_addr().ok().map(|address| address.to_string()),
                        "ended" => count, "limit" => config.get().max_connections
                    );
                }
                if !has_room {
                    continue;
                }
                let (connection, guard) = connections.open(caller, number);
                let server = ConnectionServer {
                    handler: Rc::clone(&handler),
                    config: config.get(),
                    shutdown: shutdown.clone(),
                    connection,
                    _guard: guard,
                };
                spawn_local(server.run(stream, logger.clone()));
                if ended > 0 {
                    // The connection that makes room ends before the next one is accepted.
                    yield_now().await;
                }
            }
            Err(error) => {
                if let Some(count) = failures.add(1) {
                    warn!(
                        logger, "edge: Failed to accept a connection.";
                        "error" => %error, "count" => count
                    );
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Limits a log line to one a second, which states the number of events since the last one.
#[derive(Debug, Default)]
struct LimitLog {
    logged_at: Option<Instant>,
    count: u64,
}

impl LimitLog {
    /// Counts events; returns the number to log if a line is due.
    fn add(&mut self, count: u64) -> Option<u64> {
        self.count += count;
        let now = Instant::now();
        let is_due = self
            .logged_at
            .is_none_or(|logged_at| now - logged_at >= LOG_INTERVAL);
        is_due.then(|| {
            self.logged_at = Some(now);
            std::mem::take(&mut self.count)
        })
    }
}

/// Serves one connection.
struct ConnectionServer<H> {
    handler: Rc<H>,
    config: ServerConfig,
    shutdown: ShutdownSignal,
    connection: Rc<CallerConnection>,
    _guard: OpenConnection,
}

impl<H: Handler> ConnectionServer<H> {
    /// Serves the connection until it ends or makes room for another.
    async fn run(self, stream: TcpStream, logger: Logger) {
        let connection = Rc::clone(&self.connection);
        // Checked first: a request that has arrived meanwhile must not begin.
        tokio::select! {
            biased;
            () = connection.closed() => {}
            () = self.serve(stream, &logger) => {}
        }
    }

    async fn serve(&self, stream: TcpStream, logger: &Logger) {
        let caller = &self.connection;
        if let Err(error) = set_caller_socket_options(&stream) {
            debug!(logger, "edge: Failed to set socket options.";
                "caller" => %caller.address(), "error" => %error);
        }
        let stream = CallerStream::new(stream, Rc::clone(caller), self.shutdown.clone());
        let service = service_fn(|request| {
            respond(
                Rc::clone(&self.handler),
                request,
                Rc::clone(caller),
                self.shutdown.clone(),
            )
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.config.idle_timeout)
            .max_buf_size(self.config.max_head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let mut shutdown = self.shutdown.clone();
        let was_shutting_down = *shutdown.borrow();
        let result = tokio::select! {
            biased;
            result = connection.as_mut() => result,
            () = shutdown_of_read_connection(&mut shutdown), if !was_shutting_down => {
                // Reads what has arrived, so that it is answered.
                let result = tokio::select! {
                    biased;
                    result = connection.as_mut() => Some(result),
                    () = std::future::ready(()) => None,
                };
                match result {
                    Some(result) => result,
                    None => {
                        if closes_after_response(caller) {
                            connection.as_mut().graceful_shutdown();
                        }
                        connection.await
                    }
                }
            }
        };
        if let Err(error) = result {
            debug!(logger, "edge: Caller connection closed with an error.";
                "caller" => %caller.address(), "error" => %error,
                "request" => caller.request_id().as_deref(),
                "unsent_bytes" => caller.unsent_bytes());
        }
    }
}

/// Waits for the shutdown, and until the bytes that have arrived by then can be read.
async fn shutdown_of_read_connection(shutdown: &mut ShutdownSignal) {
    // An error means that the process ends without a shutdown.
    if shutdown.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
    yield_now().await;
}

/// Returns whether the HTTP library shall close a connection, at once or after its response.
///
/// It would also cut off a request head that has arrived in part. Such a connection, and one whose
/// first request is on its way, is closed by the header of the next response.
fn closes_after_response(caller: &CallerConnection) -> bool {
    if caller.is_idle() && caller.has_begun_request() {
        caller.on_kept();
        return true;
    }
    caller.is_responding()
}

/// Responds to a request.
///
/// The connection is closed after the response if the process is shutting down. It is also closed
/// after a chunked request: its head may also carry a length, which a proxy in front may have used
/// instead, so that the two may disagree about where the next request starts.
async fn respond<H: Handler>(
    handler: Rc<H>,
    request: Request<Incoming>,
    caller: Rc<CallerConnection>,
    shutdown: ShutdownSignal,
) -> Result<Response<TrackedBody>, StreamAborted> {
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let can_chunk = request.version() >= Version::HTTP_11;
    caller.on_request(!request.body().is_end_stream(), can_chunk);
    let request = request.map(|body| RequestBody::new(body, Rc::clone(&caller)));
    let mut response = handler.handle(request, Rc::clone(&caller)).await?;
    if is_chunked || *shutdown.borrow() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| TrackedBody::new(body, caller)))
}
