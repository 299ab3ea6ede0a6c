//! Options that are set on every TCP socket.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which a connection is probed; short, because a connection may stop delivering
/// without being closed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which sent bytes may remain unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Sets `TCP_NODELAY`, and the options that close an unresponsive connection to a server within
/// about three seconds.
///
/// # Errors
///
/// Returns an error if the operating system refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    set_caller_socket_options(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Sets `TCP_NODELAY`, and the options that close an idle connection of a caller that has vanished.
///
/// There is no limit for unacknowledged bytes, because it also applies while a caller that is alive
/// reads nothing.
pub(crate) fn set_caller_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
