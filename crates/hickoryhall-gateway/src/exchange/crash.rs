//! Finds out whether a server that broke off a request has crashed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hickoryhall_routing::{BrokenRequest, PartHash};
use metrics::counter;
use slog::info;
use tokio::task::spawn_local;

use super::{Exchange, Gateway};
use crate::core::Core;
use crate::framing::BodyFraming;
use crate::interface::Platform;
use crate::registry::BackendServer;

/// Time after a break for the other connections to the same process to end, if it crashed.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Time for which a new connection has to stay open to show that a process lives: the system still
/// accepts some as it ends.
const OPEN_TIME: Duration = Duration::from_millis(30);
/// Maximum number of connections that are tried while each one ends at once.
const MAX_CHECKS: usize = 3;

impl<P: Platform> Exchange<P> {
    /// Records that a server broke off the request, before or after its first event.
    pub(super) fn record_break(&self, server: &BackendServer, sent_at: Instant, has_begun: bool) {
        let parts = describe_parts(&self.request.parts);
        counter!("servers_broke_off_total", "has_begun" => has_begun.to_string()).increment(1);
        info!(
            self.gateway.logger, "exchange: Server broke off a request.";
            "request" => &*self.request.meta.request_id, "server" => &*server.id,
            "incarnation" => server.incarnation, "peer" => %server.address,
            "has_begun" => has_begun, "fingerprint" => self.request.fingerprint,
            "parts" => parts
        );
        if !has_begun {
            self.with_broken_request(sent_at, |core, now, request| {
                core.record_unproven_break(now, server, request);
            });
        }
        if self.needs_check(server, sent_at) {
            let (gateway, server) = (Rc::clone(&self.gateway), server.clone());
            spawn_local(async move {
                check_process(&gateway, &server).await;
            });
        }
    }

    /// Records that a server has sent its whole answer, as far as its framing tells, which clears the
    /// request and the parts of its prompt from suspicion. An answer that ends with its connection ends the same way if
    /// the server crashes, so that the process is checked first.
    pub(super) fn record_whole_answer(
        &self,
        server: &BackendServer,
        sent_at: Instant,
        framing: BodyFraming,
    ) {
        let (fingerprint, parts) = (self.request.fingerprint, self.request.parts.clone());
        let core = &self.gateway.core;
        if framing != BodyFraming::Connection {
            core.with(|core, now| core.record_whole_answer(now, fingerprint, &parts));
            return;
        }
        let may_matter =
            !parts.is_empty() || core.with(|core, _| core.is_request_suspect(fingerprint));
        if may_matter && self.needs_check(server, sent_at) {
            let (gateway, server) = (Rc::clone(&self.gateway), server.clone());
            spawn_local(async move {
                if check_process(&gateway, &server).await == ProcessState::Alive {
                    let core = &gateway.core;
                    core.with(|core, now| core.record_whole_answer(now, fingerprint, &parts));
                }
            });
        }
    }

    fn needs_check(&self, server: &BackendServer, sent_at: Instant) -> bool {
        self.with_broken_request(sent_at, |core, now, request| {
            core.record_break(now, server, request)
        })
    }

    fn with_broken_request<R>(
        &self,
        sent_at: Instant,
        act: impl FnOnce(&mut Core, Instant, &BrokenRequest<'_>) -> R,
    ) -> R {
        self.gateway.core.with(|core, now| {
            let request = BrokenRequest {
                fingerprint: self.request.fingerprint,
                parts: &self.request.parts,
                run_time: now.saturating_duration_since(sent_at),
            };
            act(core, now, &request)
        })
    }
}

/// Result of a check of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    /// It accepts connections.
    Alive,
    /// Its address refuses connections, or cannot be reached.
    Unknown,
    Crashed,
}

/// Connects to a server that broke off a request. A process that has ended refuses connections.
async fn check_process<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: &BackendServer,
) -> ProcessState {
    let (mut is_alive, mut is_refusing) = (false, false);
    for _ in 0..MAX_CHECKS {
        tokio::time::sleep(CHECK_DELAY).await;
        match gateway.connect(server).await {
            Ok(connection) => {
                tokio::time::sleep(OPEN_TIME).await;
                if connection.is_closed() {
                    continue;
                }
                gateway.pool.release(connection, None);
                is_alive = true;
            }
            // Where no other server is reached either, this host may be cut off.
            Err(error) if error.is_refused() => {
                is_refusing = gateway.reaches_other_server(server).await;
            }
            Err(_) => {}
        }
        break;
    }
    let is_gone = gateway
        .core
        .with(|core, now| core.record_check(now, server, is_refusing));
    if !is_alive {
        info!(
            gateway.logger, "exchange: Server checked after a break.";
            "server" => &*server.id, "incarnation" => server.incarnation,
            "is_refusing" => is_refusing, "is_gone" => is_gone
        );
    }
    match (is_alive, is_gone) {
        (true, _) => ProcessState::Alive,
        (false, true) => ProcessState::Crashed,
        (false, false) => ProcessState::Unknown,
    }
}

/// Returns the text of prompt parts in logs.
fn describe_parts(parts: &[PartHash]) -> String {
    let parts = parts.iter().map(|part| format!("{part:016x}"));
    parts.collect::<Vec<_>>().join(" ")
}
