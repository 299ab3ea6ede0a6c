//! The thread of the actors, and the handle by which other threads reach it.

use std::cell::RefCell;
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded};
use hickoryhall_clients::{LoadAnswer, NotRun};
use hickoryhall_control::RowDelta;
use hickoryhall_membership::{ByteBudget, HostInfo, Hosts};
use hickoryhall_routing::{Fingerprint, PlacementConfig, Verdict};
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
    AdmitAsk, Dispatch, DispatchConfig, Permit, PlaceAsk, Placed, RunnerState, Server, Ticket,
    TicketEnd,
};
use crate::settings::Settings;
use crate::table_view::TableView;

/// Longest sleep of the thread while no timer is due.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);
/// Messages taken in before timers are looked at again.
const BATCH: usize = 256;

/// Message to the actors.
pub(crate) enum CoreMsg {
    Place {
        ask: PlaceAsk,
        reply: PlaceReply,
    },
    FirstToken {
        ticket: Ticket,
        cached_tokens: TokenCount,
    },
    Ended {
        ticket: Ticket,
        end: TicketEnd,
    },
    Admit {
        ask: Box<AdmitAsk>,
        reply: Sender<Result<Permit, Box<Refusal>>>,
    },
    Release(Permit),
    Version {
        model: Arc<str>,
        wanted: WeightsVersion,
        hash: u64,
        reply: Sender<WeightsVersion>,
    },
    Retry {
        reply: Sender<bool>,
    },
    Verdict {
        fingerprint: Fingerprint,
        reply: Sender<Verdict>,
    },
    Death {
        fingerprint: Fingerprint,
    },
    Acquit {
        fingerprint: Fingerprint,
    },
    PickService {
        service: Arc<str>,
        exclude: Vec<Arc<str>>,
        reply: ServiceReply,
    },
    ServiceEnded {
        id: Arc<str>,
        is_ok: bool,
    },
    Servers(Arc<Vec<Server>>),
    Hosts(Vec<HostInfo>),
    Load {
        server: Server,
        load: Option<LoadAnswer>,
    },
    RunnerRefused {
        id: RunnerId,
        refusal: NotRun,
    },
    Frame(Box<Frame>),
    Table {
        head: TableHead,
        table: Box<Table>,
    },
    TableDelta {
        head: TableHead,
        delta: RowDelta,
    },
    Delta {
        have: Revision,
        reply: Sender<(TableHead, RowDelta)>,
    },
    Status {
        reply: Sender<ClusterStatus>,
    },
    RunnerCounts {
        reply: Sender<RunnerCounts>,
    },
    DomainRunners {
        reply: Sender<Vec<RunnerState>>,
    },
    Leave,
    Stop,
}

/// Handle to the actors.
#[derive(Clone)]
pub(crate) struct CoreHandle {
    sender: Sender<CoreMsg>,
}

impl CoreHandle {
    /// Sends a message; after the end of the thread it is dropped.
    pub fn send(&self, message: CoreMsg) {
        let _ = self.sender.send(message);
    }

    /// Sends a question and waits for the answer; `None` after the end of the thread.
    pub fn ask<T>(&self, message: impl FnOnce(Sender<T>) -> CoreMsg) -> Option<T> {
        let (reply, answer) = bounded(1);
        self.send(message(reply));
        answer.recv().ok()
    }

    /// Asks for a runner; the receiver brings the answer when there is one.
    pub fn place(&self, ask: PlaceAsk) -> Receiver<Result<Box<Placed>, Box<Refusal>>> {
        let (reply, answer) = bounded(1);
        self.send(CoreMsg::Place { ask, reply });
        answer
    }

    /// Admits a request.
    pub fn admit(&self, ask: AdmitAsk) -> Result<Permit, Box<Refusal>> {
        let ask = Box::new(ask);
        self.ask(|reply| CoreMsg::Admit { ask, reply })
            .unwrap_or_else(|| Err(stopped()))
    }
}

pub(crate) fn stopped() -> Box<Refusal> {
    let message = "the host is shutting down";
    Box::new(Refusal::new(
        RefusalCode::NotReady,
        Step::Admission,
        message,
    ))
}

/// The thread of the actors.
pub(crate) struct Core {
    handle: CoreHandle,
    thread: Option<JoinHandle<()>>,
}

/// What the actors need from the host.
pub(crate) struct CoreParts {
    pub incarnation: u64,
    pub socket: UdpSocket,
    pub keyring: Keyring,
    pub table: TableView,
    pub duties: Arc<Duties>,
    pub fetches: Sender<FetchJob>,
    pub lifecycle: Arc<Lifecycle>,
    pub logger: Logger,
}

impl Core {
    /// Starts the thread.
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

    pub fn handle(&self) -> CoreHandle {
        self.handle.clone()
    }
}

impl Drop for Core {
    fn drop(&mut self) {
        self.handle.send(CoreMsg::Stop);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
    }
}

/// Marks the host as failed where the thread of the actors panics.
struct FailureMark(Arc<Lifecycle>);

impl Drop for FailureMark {
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
    let _mark = FailureMark(Arc::clone(&parts.lifecycle));
    let mut stakker = Stakker::new(Instant::now());
    let (owners, actors) = start_actors(&mut stakker, settings, parts);
    stakker.run(Instant::now(), false);
    loop {
        let sleep = stakker.next_wait_max(Instant::now(), LONGEST_SLEEP, false);
        let first = receiver.recv_timeout(sleep);
        stakker.set_systime(None);
        let now = Instant::now();
        // Time is brought up to date before the messages, which are then handled at that time.
        stakker.run(now, false);
        match first {
            Ok(CoreMsg::Stop) | Err(RecvTimeoutError::Disconnected) => break,
            Ok(message) => actors.dispatch(message),
            Err(RecvTimeoutError::Timeout) => {}
        }
        let mut is_stopped = false;
        for message in receiver.try_iter().take(BATCH) {
            is_stopped |= matches!(message, CoreMsg::Stop);
            actors.dispatch(message);
        }
        stakker.run(now, false);
        if is_stopped {
            break;
        }
    }
    drop(owners);
    // The ends of the actors are queued; they close the channels that other threads wait on.
    stakker.run(Instant::now(), false);
}

type Owners = (ActorOwn<Router>, ActorOwn<Cluster>);

fn start_actors(stakker: &mut Stakker, settings: &Settings, parts: CoreParts) -> (Owners, Actors) {
    let now = stakker.now();
    let me = settings.host_info();
    let hosts = Hosts::new(me.clone(), parts.incarnation);
    let budget = ByteBudget::new(now, settings.limits.control_bytes_per_s);
    let outbox = Outbox::new(parts.socket, parts.keyring, hosts.my_peer(), budget);
    let outbox = Rc::new(RefCell::new(outbox));
    let mut placement = PlacementConfig::new(me.domain.clone());
    placement.cross_domain = settings.limits.cross_domain;
    let dispatch = Dispatch::new(DispatchConfig {
        me: me.hash,
        placement,
    });
    let router = stakker::actor_new!(stakker, Router, ret_nop!());
    let cluster = stakker::actor_new!(stakker, Cluster, ret_nop!());
    let rumors = fwd_to!([cluster], tell() as (Rumor));
    let jobs = parts.fetches;
    let fetches = stakker::Fwd::new(move |job: FetchJob| {
        // Where the queue is full, the next round of gossip asks again.
        let _ = jobs.try_send(job);
    });
    let router_parts = RouterParts {
        me: me.hash,
        domain: me.domain,
        dispatch,
        shape: settings.fleet,
        outbox: Rc::clone(&outbox),
        rumors,
    };
    let cluster_parts = ClusterParts {
        hosts,
        seed: parts.incarnation ^ me.hash,
        table: parts.table,
        duties: parts.duties,
        outbox,
        router: router.clone(),
        fetches,
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
    fn dispatch(&self, message: CoreMsg) {
        match message {
            CoreMsg::Place { ask, reply } => call!([self.router], place(ask, reply)),
            CoreMsg::FirstToken {
                ticket,
                cached_tokens,
            } => {
                call!([self.router], first_token(ticket, cached_tokens));
            }
            CoreMsg::Ended { ticket, end } => call!([self.router], ended(ticket, end)),
            CoreMsg::Admit { ask, reply } => call!([self.router], admit(ask, reply)),
            CoreMsg::Release(permit) => call!([self.router], release(permit)),
            CoreMsg::Version {
                model,
                wanted,
                hash,
                reply,
            } => {
                call!([self.router], version(model, wanted, hash, reply));
            }
            CoreMsg::Retry { reply } => call!([self.router], retry(reply)),
            CoreMsg::Verdict { fingerprint, reply } => {
                call!([self.cluster], verdict(fingerprint, reply));
            }
            CoreMsg::Death { fingerprint } => call!([self.router], death(fingerprint)),
            CoreMsg::Acquit { fingerprint } => call!([self.router], acquit(fingerprint)),
            CoreMsg::PickService {
                service,
                exclude,
                reply,
            } => {
                call!([self.router], pick_service(service, exclude, reply));
            }
            CoreMsg::ServiceEnded { id, is_ok } => {
                call!([self.router], service_ended(id, is_ok));
            }
            CoreMsg::Servers(servers) => {
                call!([self.router], set_servers(Arc::clone(&servers)));
                call!([self.cluster], set_servers(servers));
            }
            CoreMsg::Hosts(hosts) => call!([self.cluster], set_hosts(hosts)),
            CoreMsg::Load { server, load } => call!([self.router], load(server, load)),
            CoreMsg::RunnerRefused { id, refusal } => {
                call!([self.router], runner_refused(id, refusal));
            }
            CoreMsg::Frame(frame) => self.receive(*frame),
            CoreMsg::Table { head, table } => call!([self.cluster], adopt(head, *table)),
            CoreMsg::TableDelta { head, delta } => {
                call!([self.cluster], adopt_delta(head, delta));
            }
            CoreMsg::Delta { have, reply } => call!([self.cluster], delta(have, reply)),
            CoreMsg::Status { reply } => call!([self.cluster], status(reply)),
            CoreMsg::RunnerCounts { reply } => call!([self.router], runner_counts(reply)),
            CoreMsg::DomainRunners { reply } => {
                call!([self.router], domain_runners(reply));
            }
            CoreMsg::Leave => call!([self.cluster], leave()),
            CoreMsg::Stop => {}
        }
    }

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
