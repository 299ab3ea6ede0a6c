//! The thread that runs the actors, and the handle through which other threads send to it.

use std::cell::RefCell;
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded};
use hickoryhall_clients::{LoadResponse, NotRun};
use hickoryhall_control::RowDelta;
use hickoryhall_membership::{ByteBudget, HostInfo, Hosts};
use hickoryhall_routing::{Fingerprint, PlacementConfig, SuspectDecision};
use hickoryhall_table::{Table, TableHead};
use hickoryhall_types::{
    Refusal, RefusalCode, Revision, RunnerId, Step, TokenCount, WeightsVersion,
};
use hickoryhall_wire::{Body, Frame, Keyring, Rumor};
use slog::{Logger, o};
use stakker::{Actor, ActorOwn, Stakker, call, fwd_to, ret_nop};

use super::cluster::{Cluster, ClusterParts, ClusterStatus, Duties, FetchJob};
use super::outbox::Outbox;
use super::router::{PlaceReply, Router, RouterParts, RunnerCounts, ServiceReply};
use crate::context::Lifecycle;
use crate::dispatch::{
    AdmissionRequest, AttemptEnd, AttemptId, Dispatch, DispatchConfig, Permit, Placed,
    PlacementRequest, RunnerState, Server,
};
use crate::settings::Settings;
use crate::shared_table::SharedTable;

/// Longest time that the thread waits for a message while no timer is due.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Largest number of queued messages that are handled before due timers run again.
const MAX_BATCH_MESSAGES: usize = 256;

/// Message to the actors; variants with a `reply` channel are queries.
pub(crate) enum CoreMsg {
    /// Choose a runner for a request.
    Place {
        request: PlacementRequest,
        reply: PlaceReply,
    },
    /// An attempt produced its first token.
    FirstToken {
        attempt_id: AttemptId,
        cached_tokens: TokenCount,
    },
    /// An attempt ended, or its request no longer waits for a runner.
    AttemptEnded {
        attempt_id: AttemptId,
        end: AttemptEnd,
    },
    /// Check a request against the limits of its row.
    Admit {
        request: Box<AdmissionRequest>,
        reply: Sender<Result<Permit, Box<Refusal>>>,
    },
    /// An admitted request ended.
    Release(Permit),
    /// Choose the weights version for a request, which `fingerprint` identifies; `desired_version`
    /// is the version that the model's runners shall have.
    ChooseWeightsVersion {
        model: Arc<str>,
        desired_version: WeightsVersion,
        fingerprint: u64,
        reply: Sender<WeightsVersion>,
    },
    /// Take a retry from the host's budget; the reply says whether it is allowed.
    TakeRetry { reply: Sender<bool> },
    /// Query how a request may run, given the runners that died while they ran it.
    SuspectDecision {
        fingerprint: Fingerprint,
        reply: Sender<SuspectDecision>,
    },
    /// A runner died while it ran the request.
    RunnerDeath { fingerprint: Fingerprint },
    /// The request got a complete answer, so it is no longer suspected.
    ClearSuspect { fingerprint: Fingerprint },
    /// Choose a server for a call of a plain service.
    PickServiceServer {
        service: Arc<str>,
        excluded_servers: Vec<Arc<str>>,
        reply: ServiceReply,
    },
    /// A call of a plain service ended.
    ServiceCallEnded { id: Arc<str>, end: AttemptEnd },
    /// The platform's list of backend servers.
    Servers(Arc<Vec<Server>>),
    /// The platform's list of entry hosts.
    Hosts(Vec<HostInfo>),
    /// A backend server's load report; `None` if the server did not answer.
    Load {
        server: Server,
        load: Option<LoadResponse>,
    },
    /// A runner refused an attempt and said why.
    RunnerRefused { id: RunnerId, refusal: NotRun },
    /// An authenticated frame from a peer.
    Frame(Box<Frame>),
    /// A full table from the store.
    Table { head: TableHead, table: Box<Table> },
    /// Table changes from a peer.
    TableDelta { head: TableHead, delta: RowDelta },
    /// Query for the table changes since a revision.
    Delta {
        known_revision: Revision,
        reply: Sender<(TableHead, RowDelta)>,
    },
    /// Query for the host's view of the fleet.
    Status { reply: Sender<ClusterStatus> },
    /// Query for the number of runners that this host knows.
    RunnerCounts { reply: Sender<RunnerCounts> },
    /// Query for the runners of this host's failure domain.
    DomainRunners { reply: Sender<Vec<RunnerState>> },
    /// Announce to peers that this host is shutting down.
    Leave,
    /// End the thread.
    Stop,
}

/// Handle that sends messages to the actors.
#[derive(Clone)]
pub(crate) struct CoreHandle {
    sender: Sender<CoreMsg>,
}

impl CoreHandle {
    /// Sends a message; it is dropped if the thread has ended.
    pub fn send(&self, message: CoreMsg) {
        let _ = self.sender.send(message);
    }

    /// Sends a query and waits for the reply; returns `None` if the thread has ended.
    pub fn ask<T>(&self, message: impl FnOnce(Sender<T>) -> CoreMsg) -> Option<T> {
        let (reply, answer) = bounded(1);
        self.send(message(reply));
        answer.recv().ok()
    }

    /// Requests a runner; the returned channel yields the placement or the refusal.
    pub fn place(&self, request: PlacementRequest) -> Receiver<Result<Box<Placed>, Box<Refusal>>> {
        let (reply, answer) = bounded(1);
        self.send(CoreMsg::Place { request, reply });
        answer
    }

    /// Admits a request within the limits of its row, or refuses it.
    pub fn admit(&self, request: AdmissionRequest) -> Result<Permit, Box<Refusal>> {
        let request = Box::new(request);
        self.ask(|reply| CoreMsg::Admit { request, reply })
            .unwrap_or_else(|| Err(stopped_refusal()))
    }
}

/// Returns the refusal of a request that arrives after the thread of the actors has ended.
pub(crate) fn stopped_refusal() -> Box<Refusal> {
    let message = "the host is shutting down";
    Box::new(Refusal::new(
        RefusalCode::NotReady,
        Step::Admission,
        message,
    ))
}

/// The thread that runs the actors; dropping it stops and joins the thread.
pub(crate) struct Core {
    handle: CoreHandle,
    thread: Option<JoinHandle<()>>,
}

/// Dependencies of the actors.
pub(crate) struct CoreParts {
    pub incarnation: u64,
    pub socket: UdpSocket,
    pub keyring: Keyring,
    pub table: SharedTable,
    pub duties: Arc<Duties>,
    pub fetch_jobs: Sender<FetchJob>,
    pub lifecycle: Arc<Lifecycle>,
    pub logger: Logger,
}

impl Core {
    /// Starts the thread of the actors.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot start a thread.
    pub fn start(settings: &Settings, parts: CoreParts) -> std::io::Result<Self> {
        let (sender, receiver) = unbounded();
        let settings = settings.clone();
        let thread = thread::Builder::new()
            .name("core".to_owned())
            .spawn(move || run(&settings, parts, &receiver))?;
        Ok(Self {
            handle: CoreHandle { sender },
            thread: Some(thread),
        })
    }

    /// Returns a handle to the actors.
    pub fn handle(&self) -> CoreHandle {
        self.handle.clone()
    }
}

impl Drop for Core {
    fn drop(&mut self) {
        self.handle.send(CoreMsg::Stop);
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}

/// Marks the host as failed if the thread of the actors panics.
struct FailureGuard(Arc<Lifecycle>);

impl Drop for FailureGuard {
    fn drop(&mut self) {
        if thread::panicking() {
            self.0.fail();
        }
    }
}

struct Actors {
    router: Actor<Router>,
    cluster: Actor<Cluster>,
}

fn run(settings: &Settings, parts: CoreParts, receiver: &Receiver<CoreMsg>) {
    let _guard = FailureGuard(Arc::clone(&parts.lifecycle));
    let mut stakker = Stakker::new(Instant::now());
    let (owners, actors) = start_actors(&mut stakker, settings, parts);
    stakker.run(Instant::now(), false);
    loop {
        let sleep = stakker.next_wait_max(Instant::now(), MAX_SLEEP, false);
        let first = receiver.recv_timeout(sleep);
        stakker.set_systime(None);
        let now = Instant::now();
        // The actors' clock is advanced first, so that messages are handled at the current time.
        stakker.run(now, false);
        match first {
            Ok(CoreMsg::Stop) | Err(RecvTimeoutError::Disconnected) => break,
            Ok(message) => actors.forward(message),
            Err(RecvTimeoutError::Timeout) => {}
        }
        let mut is_stopped = false;
        for message in receiver.try_iter().take(MAX_BATCH_MESSAGES) {
            is_stopped |= matches!(message, CoreMsg::Stop);
            actors.forward(message);
        }
        stakker.run(now, false);
        if is_stopped {
            break;
        }
    }
    drop(owners);
    // Runs the queued terminations of the actors, which close the channels that other threads
    // wait on.
    stakker.run(Instant::now(), false);
}

type ActorOwners = (ActorOwn<Router>, ActorOwn<Cluster>);

fn start_actors(
    stakker: &mut Stakker,
    settings: &Settings,
    parts: CoreParts,
) -> (ActorOwners, Actors) {
    let now = stakker.now();
    let local_host = settings.host_info();
    let hosts = Hosts::new(local_host.clone(), parts.incarnation);
    let budget = ByteBudget::new(now, settings.limits.control_bytes_per_s);
    let outbox = Outbox::new(parts.socket, parts.keyring, hosts.local_peer(), budget);
    let outbox = Rc::new(RefCell::new(outbox));
    let mut placement = PlacementConfig::new(local_host.domain.clone());
    placement.cross_domain_round_trip = settings.limits.cross_domain_round_trip;
    let dispatch = Dispatch::new(DispatchConfig {
        local_host: local_host.hash,
        placement,
    });
    let router = stakker::actor_new!(stakker, Router, ret_nop!());
    let cluster = stakker::actor_new!(stakker, Cluster, ret_nop!());
    let rumors = fwd_to!([cluster], spread_rumor() as (Rumor));
    let job_sender = parts.fetch_jobs;
    let fetch_jobs = stakker::Fwd::new(move |job: FetchJob| {
        // If the queue is full, the next gossip round requests the table again.
        let _ = job_sender.try_send(job);
    });
    let router_parts = RouterParts {
        local_host: local_host.hash,
        domain: local_host.domain,
        dispatch,
        fleet_shape: settings.fleet,
        outbox: Rc::clone(&outbox),
        rumors,
    };
    let cluster_parts = ClusterParts {
        hosts,
        seed: parts.incarnation ^ local_host.hash,
        table: parts.table,
        duties: parts.duties,
        outbox,
        router: router.clone(),
        fetch_jobs,
        logger: parts.logger.new(o!("part" => "cluster")),
    };
    call!([router], Router::init(router_parts));
    call!([cluster], Cluster::init(cluster_parts));
    let actors = Actors {
        router: router.clone(),
        cluster: cluster.clone(),
    };
    call!([cluster], set_hosts(settings.peers.clone()));
    ((router, cluster), actors)
}

impl Actors {
    /// Forwards a message to the actors that handle it.
    fn forward(&self, message: CoreMsg) {
        match message {
            CoreMsg::Place { request, reply } => call!([self.router], place(request, reply)),
            CoreMsg::FirstToken {
                attempt_id,
                cached_tokens,
            } => {
                call!([self.router], record_first_token(attempt_id, cached_tokens));
            }
            CoreMsg::AttemptEnded { attempt_id, end } => {
                call!([self.router], record_end(attempt_id, end));
            }
            CoreMsg::Admit { request, reply } => call!([self.router], admit(request, reply)),
            CoreMsg::Release(permit) => call!([self.router], release(permit)),
            CoreMsg::ChooseWeightsVersion {
                model,
                desired_version,
                fingerprint,
                reply,
            } => {
                call!(
                    [self.router],
                    choose_weights_version(model, desired_version, fingerprint, reply)
                );
            }
            CoreMsg::TakeRetry { reply } => call!([self.router], take_retry(reply)),
            CoreMsg::SuspectDecision { fingerprint, reply } => {
                call!([self.cluster], decide_suspect(fingerprint, reply));
            }
            CoreMsg::RunnerDeath { fingerprint } => call!([self.router], record_death(fingerprint)),
            CoreMsg::ClearSuspect { fingerprint } => {
                call!([self.router], clear_suspect(fingerprint));
            }
            CoreMsg::PickServiceServer {
                service,
                excluded_servers,
                reply,
            } => {
                call!(
                    [self.router],
                    pick_service(service, excluded_servers, reply)
                );
            }
            CoreMsg::ServiceCallEnded { id, end } => {
                call!([self.router], record_service_end(id, end));
            }
            CoreMsg::Servers(servers) => {
                call!([self.router], set_servers(Arc::clone(&servers)));
                call!([self.cluster], set_servers(servers));
            }
            CoreMsg::Hosts(hosts) => call!([self.cluster], set_hosts(hosts)),
            CoreMsg::Load { server, load } => call!([self.router], record_load(server, load)),
            CoreMsg::RunnerRefused { id, refusal } => {
                call!([self.router], record_refusal(id, refusal));
            }
            CoreMsg::Frame(frame) => self.receive(*frame),
            CoreMsg::Table { head, table } => call!([self.cluster], adopt(head, *table)),
            CoreMsg::TableDelta { head, delta } => {
                call!([self.cluster], adopt_delta(head, delta));
            }
            CoreMsg::Delta {
                known_revision,
                reply,
            } => call!([self.cluster], delta_since(known_revision, reply)),
            CoreMsg::Status { reply } => call!([self.cluster], status(reply)),
            CoreMsg::RunnerCounts { reply } => call!([self.router], runner_counts(reply)),
            CoreMsg::DomainRunners { reply } => {
                call!([self.router], domain_runners(reply));
            }
            CoreMsg::Leave => call!([self.cluster], leave()),
            CoreMsg::Stop => {}
        }
    }

    /// Forwards a frame: gossip and revisions to the cluster actor, all others to the router.
    fn receive(&self, frame: Frame) {
        let Frame { sender, body, .. } = frame;
        match body {
            Body::Gossip(_) | Body::PushRevision { .. } => {
                call!([self.cluster], receive(sender, body));
            }
            body => call!([self.router], receive(sender.host, body)),
        }
    }
}
