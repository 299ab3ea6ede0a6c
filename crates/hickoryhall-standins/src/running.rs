//! A stand-in that serves on a thread.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};

use hickoryhall_http::{BindError, HttpServer, Request, ServerLimits, StopHandle};

/// A server on its own thread; dropping it stops the server.
pub struct Running {
    address: SocketAddr,
    stop: StopHandle,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop.stop();
        if let Some(thread) = self.thread.take() {
            // A panic of the server thread has been printed already.
            let _ = thread.join();
        }
    }
}

/// Serves requests on a new thread.
///
/// # Errors
///
/// Returns an error where the address cannot be listened on.
///
/// # Panics
///
/// Panics where the system refuses a thread.
pub fn start(
    address: SocketAddr,
    handler: impl Fn(Request) + Send + Sync + 'static,
) -> Result<Running, BindError> {
    let server = HttpServer::bind(address, ServerLimits::default())?;
    let address = server.address();
    let stop = server.stop_handle();
    let thread = thread::Builder::new()
        .name("standin".to_owned())
        .spawn(move || {
            server
                .run(move |request, _| handler(request))
                .expect("an event loop");
        })
        .expect("a thread at the start of a server");
    Ok(Running {
        address,
        stop,
        thread: Some(thread),
    })
}
