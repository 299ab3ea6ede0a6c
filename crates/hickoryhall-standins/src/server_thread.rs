//! HTTP server on its own thread, shared by all stand-ins.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use hickoryhall_http::{BindError, HttpServer, Request, ServerLimits, StopHandle};

/// Time for callers to read responses that have already been given when the server is stopped.
const STOP_TIME_LIMIT: Duration = Duration::from_millis(200);

/// A running HTTP server; dropping it stops the server and waits for its thread.
pub struct ServerThread {
    address: SocketAddr,
    stop: StopHandle,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop.stop(STOP_TIME_LIMIT);
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the server thread.
            let _ = thread.join();
        }
    }
}

/// Starts a server that passes each request to `handler`.
///
/// The server runs on a new thread until the returned [`ServerThread`] is dropped.
///
/// # Errors
///
/// Returns an error if the server cannot listen on the address.
///
/// # Panics
///
/// Panics if the operating system does not create a thread.
pub fn spawn_server(
    address: SocketAddr,
    handler: impl Fn(Request) + Send + Sync + 'static,
) -> Result<ServerThread, BindError> {
    let server = HttpServer::bind(address, ServerLimits::default())?;
    let address = server.address();
    let stop = server.stop_handle();
    let thread = thread::Builder::new()
        .name("standin".to_owned())
        .spawn(move || {
            server
                .run(move |request, _| handler(request))
                .expect("failed to run the server");
        })
        .expect("failed to spawn the server thread");
    Ok(ServerThread {
        address,
        stop,
        thread: Some(thread),
    })
}
