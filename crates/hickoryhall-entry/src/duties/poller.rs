//! The platform's host list, and the load of backend servers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hickoryhall_clients::{HostListClient, ListedKind};
use hickoryhall_http::WorkerPool;
use hickoryhall_membership::HostInfo;
use slog::{Logger, warn};

use crate::actors::CoreMsg;
use crate::context::Context;
use crate::dispatch::Server;

/// Time between two reads of the host list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads until the list names this host, as it does soon after a start.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two rounds of load questions.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Servers asked in one round at most; where there are more, they take turns.
const ASKED_PER_ROUND: usize = 16;

/// Polls until the host has stopped.
pub(crate) fn run_poller(context: &Arc<Context>, logger: &Logger) {
    let list = HostListClient::new(context.settings.host_list_address);
    let pool = WorkerPool::new("load-poll", ASKED_PER_ROUND);
    let mut turns = VecDeque::<Server>::new();
    let mut list_at = Instant::now();
    let mut is_failing = false;
    while !context.lifecycle.is_over() {
        let started = Instant::now();
        if started >= list_at {
            list_at = started + FIRST_LIST_INTERVAL;
            match read_list(context, &list) {
                Ok((servers, is_listed)) => {
                    is_failing = false;
                    turns = servers.into();
                    if is_listed {
                        list_at = started + LIST_INTERVAL;
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        warn!(logger, "Host list cannot be read. The last one stays in use.";
                            "error" => error);
                    }
                }
            }
        }
        for _ in 0..turns.len().min(ASKED_PER_ROUND) {
            turns.rotate_left(1);
            if let Some(server) = turns.back() {
                ask(context, &pool, server.clone());
            }
        }
        let next = LOAD_INTERVAL.min(list_at.saturating_duration_since(started));
        thread::sleep(next.saturating_sub(started.elapsed()));
    }
}

/// Reads the list and tells the actors; returns the backend servers, and whether this host is listed.
fn read_list(context: &Context, list: &HostListClient) -> Result<(Vec<Server>, bool), String> {
    let listed = list.list().map_err(|error| error.to_string())?;
    let servers = listed
        .iter()
        .filter_map(Server::from_listed)
        .collect::<Vec<_>>();
    let hosts = listed
        .iter()
        .filter(|listed| listed.kind == ListedKind::Entry && !listed.leaving)
        .map(|listed| HostInfo::new(&listed.id, &listed.failure_domain, listed.address))
        .collect();
    context
        .core
        .send(CoreMsg::Servers(Arc::new(servers.clone())));
    context.core.send(CoreMsg::Hosts(hosts));
    let is_listed = listed
        .iter()
        .any(|listed| listed.id == context.settings.host);
    Ok((servers, is_listed))
}

fn ask(context: &Arc<Context>, pool: &WorkerPool, server: Server) {
    let context = Arc::clone(context);
    // One that answers too slowly for the pool is asked again in the next round.
    let _ = pool.run(move || {
        let load = context.runners.load(server.address).ok();
        context.core.send(CoreMsg::Load { server, load });
    });
}
