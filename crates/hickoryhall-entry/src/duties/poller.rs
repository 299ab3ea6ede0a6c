//! Polls the platform's host list and the load of backend servers.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hickoryhall_clients::{HostListClient, HostListEntryKind};
use hickoryhall_http::WorkerPool;
use hickoryhall_membership::HostInfo;
use hickoryhall_types::hash_name;
use slog::{Logger, warn};

use crate::actors::{CoreMsg, Duties};
use crate::context::Context;
use crate::dispatch::Server;

/// Time between two reads of the host list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads after a failed one, and until the list contains this host, which happens
/// soon after it starts.
const UNLISTED_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two rounds of load queries.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Number of servers queried in a round while some have never been queried.
const STARTUP_BATCH_SERVERS: usize = 16;
/// Number of servers queried in a round otherwise; tracked runners that are due go first, then the
/// servers whose last query is the longest ago.
const BATCH_SERVERS: usize = 4;
/// Time after which a tracked runner is due for another query.
const TRACKED_INTERVAL: Duration = Duration::from_secs(1);

/// Backend servers, with the time of each one's last load query.
#[derive(Default)]
struct PollSchedule {
    servers: Vec<Server>,
    queried_at: HashMap<Arc<str>, Instant>,
}

impl PollSchedule {
    fn set_servers(&mut self, servers: Vec<Server>) {
        self.servers = servers;
        let servers = &self.servers;
        self.queried_at
            .retain(|id, _| servers.iter().any(|server| server.id == *id));
    }

    /// Chooses the servers to query now and records the time for them.
    fn next_batch(&mut self, now: Instant, is_tracked: impl Fn(&Server) -> bool) -> Vec<Server> {
        let queried_at = |server: &Server| self.queried_at.get(&server.id).copied();
        let has_unqueried = self
            .servers
            .iter()
            .any(|server| queried_at(server).is_none());
        let mut order = self.servers.iter().collect::<Vec<_>>();
        order.sort_by_key(|server| {
            let at = queried_at(server);
            let is_due = at.is_none_or(|at| now.duration_since(at) >= TRACKED_INTERVAL);
            (!(is_tracked(server) && is_due), at)
        });
        let count = if has_unqueried {
            STARTUP_BATCH_SERVERS
        } else {
            BATCH_SERVERS
        };
        let chosen = order.into_iter().take(count).cloned().collect::<Vec<_>>();
        for server in &chosen {
            self.queried_at.insert(server.id.clone(), now);
        }
        chosen
    }
}

/// Polls the host list and the load of backend servers until the host has stopped.
pub(crate) fn run_poller(context: &Arc<Context>, duties: &Duties, logger: &Logger) {
    let list = HostListClient::new(context.settings.host_list_address);
    let pool = WorkerPool::new("load-poll", STARTUP_BATCH_SERVERS);
    let mut schedule = PollSchedule::default();
    let mut next_list_at = Instant::now();
    let mut is_failing = false;
    while !context.lifecycle.has_ended() {
        let started = Instant::now();
        if started >= next_list_at {
            next_list_at = started + UNLISTED_INTERVAL;
            match read_list(context, &list) {
                Ok((servers, is_listed)) => {
                    is_failing = false;
                    schedule.set_servers(servers);
                    if is_listed {
                        next_list_at = started + LIST_INTERVAL;
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        warn!(logger, "platform: Host list cannot be read. The last one stays in use.";
                            "error" => error);
                    }
                }
            }
        }
        let tracked = duties.tracked();
        let is_tracked = |server: &Server| tracked.contains(&hash_name(&server.id));
        for server in schedule.next_batch(started, is_tracked) {
            query_load(context, &pool, server);
        }
        let next = LOAD_INTERVAL.min(next_list_at.saturating_duration_since(started));
        thread::sleep(next.saturating_sub(started.elapsed()));
    }
}

/// Reads the list and sends it to the actors; returns the backend servers and whether this host is
/// listed.
fn read_list(context: &Context, list: &HostListClient) -> Result<(Vec<Server>, bool), String> {
    let listed = list.list().map_err(|error| error.to_string())?;
    let servers = listed
        .iter()
        .filter_map(Server::from_listed)
        .collect::<Vec<_>>();
    let hosts = listed
        .iter()
        .filter(|entry| entry.kind == HostListEntryKind::Entry && !entry.leaving)
        .map(|entry| HostInfo::new(&entry.id, &entry.failure_domain, entry.address))
        .collect();
    context
        .core
        .send(CoreMsg::Servers(Arc::new(servers.clone())));
    context.core.send(CoreMsg::Hosts(hosts));
    let is_listed = listed.iter().any(|entry| entry.id == context.settings.host);
    Ok((servers, is_listed))
}

/// Queries a server's load on the pool and sends the result to the actors.
fn query_load(context: &Arc<Context>, pool: &WorkerPool, server: Server) {
    let context = Arc::clone(context);
    // If slow servers occupy the whole pool, this server is queried in a later round.
    let _ = pool.run(move || {
        let load = context.runners.load(server.address).ok();
        context.core.send(CoreMsg::Load { server, load });
    });
}
