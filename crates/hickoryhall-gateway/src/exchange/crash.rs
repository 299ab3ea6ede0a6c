//! Finds out whether a server that broke off a request has crashed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hickoryhall_routing::PartHash;
use metrics::counter;
use slog::info;
use tokio::task::spawn_local;

use super::{Exchange, Gateway};
use crate::interface::Platform;
use crate::registry::BackendServer;

/// Time after a break for the other connections to the same process to end, if it crashed.
const CHECK_DELAY: Duration = Duration::from_millis(20);

impl<P: Platform> Exchange<P> {
    /// Records that a server broke off the request, before or after its first event.
    pub(super) fn record_break(&self, server: &BackendServer, has_begun: bool) {
        let parts = describe_parts(&self.request.parts);
        counter!("servers_broke_off_total", "has_begun" => has_begun.to_string()).increment(1);
        info!(
            self.gateway.logger, "exchange: Server broke off a request.";
            "request" => &*self.request.meta.request_id, "server" => &*server.id,
            "incarnation" => server.incarnation, "peer" => %server.address,
            "has_begun" => has_begun, "fingerprint" => self.request.fingerprint,
            "parts" => parts
        );
        let (gateway, server) = (Rc::clone(&self.gateway), server.clone());
        spawn_local(async move { check_process(&gateway, &server, Instant::now()).await });
    }
}

/// Connects to a server that broke off a request. A process that has ended refuses connections.
async fn check_process<P: Platform>(
    gateway: &Gateway<P>,
    server: &BackendServer,
    broke_at: Instant,
) {
    tokio::time::sleep(CHECK_DELAY).await;
    let is_gone = match gateway.pool.connect(server.address).await {
        Ok(connection) => {
            gateway.pool.release(connection, None);
            false
        }
        Err(error) => error.is_refused(),
    };
    info!(
        gateway.logger, "exchange: Server checked after a break.";
        "server" => &*server.id, "incarnation" => server.incarnation, "is_gone" => is_gone,
        "after_ms" => broke_at.elapsed().as_millis()
    );
}

/// Returns the text of prompt parts in logs.
fn describe_parts(parts: &[PartHash]) -> String {
    let parts = parts.iter().map(|part| format!("{part:016x}"));
    parts.collect::<Vec<_>>().join(" ")
}
