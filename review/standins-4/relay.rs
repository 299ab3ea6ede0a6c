//! A relay in front of a host. From the loss of its host's power on it passes nothing on, and closes no connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// A running relay.
pub struct Relay {
    pub address: SocketAddr,
    is_dark: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay to a host.
    pub fn start(host: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let is_dark = Arc::<AtomicBool>::default();
        let is_host_dark = Arc::clone(&is_dark);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(host) else {
                    continue;
                };
                let (client, server) = (Arc::new(client), Arc::new(server));
                pass_on(&client, &server, &is_host_dark);
                pass_on(&server, &client, &is_host_dark);
            }
        });
        Self { address, is_dark }
    }

    /// Passes on nothing any more.
    pub fn go_dark(&self) {
        self.is_dark.store(true, Ordering::SeqCst);
    }
}

/// Passes bytes on until the connection ends or the host is dark.
fn pass_on(from: &Arc<TcpStream>, to: &Arc<TcpStream>, is_dark: &Arc<AtomicBool>) {
    let (from, to, is_dark) = (Arc::clone(from), Arc::clone(to), Arc::clone(is_dark));
    thread::spawn(move || {
        let mut buffer = [0; 4_096];
        loop {
            let count = (&*from).read(&mut buffer).unwrap_or(0);
            if is_dark.load(Ordering::SeqCst) {
                // Keeps both connections open until the run is over.
                loop {
                    thread::park();
                }
            }
            if count == 0 || (&*to).write_all(&buffer[..count]).is_err() {
                // Fails only if the connection has ended already.
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    });
}
