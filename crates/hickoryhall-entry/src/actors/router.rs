//! Actor that decides on requests: admission, placement, retries and suspects.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use hickoryhall_clients::{LoadAnswer, NotRun};
use hickoryhall_limits::{BucketServer, RetryBudget, UnitAsk, UnitGrant};
use hickoryhall_routing::{Fingerprint, Suspects, Verdict};
use hickoryhall_types::{FailureDomainId, Refusal, TokenCount, WeightsVersion};
use hickoryhall_wire::{Body, GrantAnswer, GrantAsk, HostHash, QuoteAnswer, Rumor};
use metrics::{counter, gauge};
use stakker::{CX, Fwd, call};

use super::Outbox;
use crate::dispatch::{
    Admission, AdmitAsk, Dispatch, Effect, Permit, PlaceAsk, Placed, RunnerState, Server,
    ServerKind, ServicePool, Ticket, TicketEnd,
};

/// Time between two ticks while requests wait for a runner.
const BUSY_TICK: Duration = Duration::from_millis(5);
/// Time between two ticks while no request waits.
const IDLE_TICK: Duration = Duration::from_millis(250);
/// Time between two rounds of grant requests.
const GRANT_INTERVAL: Duration = Duration::from_millis(100);

/// Channel for the answer to a placement request.
pub(crate) type PlaceReply = Sender<Result<Box<Placed>, Box<Refusal>>>;
/// Channel for the name and address of a plain service's server; `None` if there is none.
pub(crate) type ServiceReply = Sender<Option<(Arc<str>, std::net::SocketAddr)>>;

/// Number of runners that a host knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunnerCounts {
    /// Runners that have sent a load report.
    pub known: usize,
    /// Known runners that are not leaving.
    pub serving: usize,
}

/// Actor that owns placement, limits, the retry budget and suspects.
pub(crate) struct Router {
    me: HostHash,
    domain: FailureDomainId,
    dispatch: Dispatch,
    admission: Admission,
    buckets: BucketServer,
    bucket_holders: Vec<HostHash>,
    services: ServicePool,
    suspects: Suspects,
    retries: RetryBudget,
    replies: HashMap<Ticket, PlaceReply>,
    outbox: Rc<RefCell<Outbox>>,
    rumors: Fwd<Rumor>,
    grants_at: Instant,
    shape: hickoryhall_limits::FleetShape,
}

/// Dependencies of a [`Router`].
pub(crate) struct RouterParts {
    pub me: HostHash,
    pub domain: FailureDomainId,
    pub dispatch: Dispatch,
    pub shape: hickoryhall_limits::FleetShape,
    pub outbox: Rc<RefCell<Outbox>>,
    pub rumors: Fwd<Rumor>,
}

impl Router {
    /// Creates the actor and starts its timer.
    pub fn init(cx: CX![], parts: RouterParts) -> Option<Self> {
        let now = cx.now();
        call!([cx], tick());
        Some(Self {
            me: parts.me,
            domain: parts.domain,
            dispatch: parts.dispatch,
            admission: Admission::new(parts.shape),
            buckets: BucketServer::default(),
            bucket_holders: Vec::new(),
            services: ServicePool::default(),
            suspects: Suspects::default(),
            retries: RetryBudget::new(now),
            replies: HashMap::new(),
            outbox: parts.outbox,
            rumors: parts.rumors,
            grants_at: now,
            shape: parts.shape,
        })
    }

    /// Starts the placement of a request; the answer goes to `reply`, now or later.
    pub fn place(&mut self, cx: CX![], ask: PlaceAsk, reply: PlaceReply) {
        self.replies.insert(ask.ticket, reply);
        let effects = self.dispatch.place(cx.now(), ask);
        self.carry_out(cx.now(), effects);
    }

    /// Records the first token of an attempt.
    pub fn first_token(&mut self, cx: CX![], ticket: Ticket, cached_tokens: TokenCount) {
        let effects = self.dispatch.first_token(cx.now(), ticket, cached_tokens);
        self.carry_out(cx.now(), effects);
    }

    /// Records the end of an attempt, or that its request no longer waits for a runner.
    pub fn ended(&mut self, cx: CX![], ticket: Ticket, end: TicketEnd) {
        self.replies.remove(&ticket);
        let effects = self.dispatch.ended(cx.now(), ticket, end);
        self.carry_out(cx.now(), effects);
    }

    /// Admits a request, or refuses it because a limit of its row is reached.
    pub fn admit(
        &mut self,
        cx: CX![],
        ask: Box<AdmitAsk>,
        reply: Sender<Result<Permit, Box<Refusal>>>,
    ) {
        self.retries.record_request();
        let result = self.admission.admit(cx.now(), &ask).map_err(Box::new);
        if result.is_err() {
            counter!("requests_over_limit_total").increment(1);
        }
        // If the request is gone, nobody would release its permit.
        if let Err(error) = reply.send(result)
            && let Ok(permit) = error.0
        {
            self.admission.release(permit);
        }
    }

    /// Releases the permit of an admitted request.
    pub fn release(&mut self, _cx: CX![], permit: Permit) {
        self.admission.release(permit);
    }

    /// Replies with the weights version for a request.
    pub fn version(
        &mut self,
        _cx: CX![],
        model: Arc<str>,
        wanted: WeightsVersion,
        hash: u64,
        reply: Sender<WeightsVersion>,
    ) {
        answer(&reply, self.dispatch.version_for(&model, wanted, hash));
    }

    /// Takes a retry from the budget and replies whether it is allowed.
    pub fn retry(&mut self, cx: CX![], reply: Sender<bool>) {
        let allowed = self.retries.take(cx.now());
        counter!("retries_total", "allowed" => allowed.to_string()).increment(1);
        answer(&reply, allowed);
    }

    /// Replies how a request may run: anywhere, apart from other suspects, or not at all for now.
    pub fn verdict(&mut self, cx: CX![], fingerprint: Fingerprint, reply: Sender<Verdict>) {
        answer(&reply, self.suspects.verdict(cx.now(), fingerprint));
    }

    /// Records that a runner died while it ran a request, and spreads it as a rumor.
    pub fn death(&mut self, cx: CX![], fingerprint: Fingerprint) {
        let deaths = self.suspects.record_death(cx.now(), fingerprint);
        counter!("suspect_deaths_total").increment(1);
        self.rumors.fwd(Rumor::Suspect {
            fingerprint,
            deaths,
        });
    }

    /// Records that a request got a complete answer, so that it is no longer suspected.
    pub fn acquit(&mut self, _cx: CX![], fingerprint: Fingerprint) {
        self.suspects.acquit(fingerprint);
    }

    /// Replies with a server for a call of a plain service and counts the call as in flight.
    pub fn pick_service(
        &mut self,
        cx: CX![],
        service: Arc<str>,
        exclude: Vec<Arc<str>>,
        reply: ServiceReply,
    ) {
        let picked = self
            .services
            .pick(cx.now(), &service, &self.domain, &exclude);
        if let Err(error) = reply.send(picked)
            && let Some((id, _)) = error.0
        {
            self.services.finished(cx.now(), &id, true);
        }
    }

    /// Records the end of a call of a plain service.
    pub fn service_ended(&mut self, cx: CX![], id: Arc<str>, is_ok: bool) {
        self.services.finished(cx.now(), &id, is_ok);
    }

    /// Replaces the list of backend servers.
    pub fn set_servers(&mut self, _cx: CX![], servers: Arc<Vec<Server>>) {
        self.dispatch.set_servers(&servers);
        let services = servers
            .iter()
            .filter(|server| server.kind == ServerKind::Service);
        self.services
            .set_servers(&services.cloned().collect::<Vec<_>>());
    }

    /// Replaces the map from runners, by the hash of the name, to the hosts that track them.
    pub fn set_trackers(&mut self, _cx: CX![], tracker_of: HashMap<u64, HostHash>) {
        self.dispatch.set_trackers(tracker_of);
        gauge!("held_requests").set(self.dispatch.held() as f64);
    }

    /// Sets the hosts that share the rate-limit buckets of this failure domain.
    pub fn set_bucket_holders(&mut self, _cx: CX![], hosts: Vec<HostHash>) {
        self.bucket_holders = hosts;
    }

    /// Replies with the number of runners that this host knows.
    pub fn runner_counts(&mut self, _cx: CX![], reply: Sender<RunnerCounts>) {
        let runners = self.dispatch.placement().runners();
        let serving = runners.iter().filter(|(_, info)| !info.leaving).count();
        answer(
            &reply,
            RunnerCounts {
                known: runners.len(),
                serving,
            },
        );
    }

    /// Replies with the runners of this host's failure domain.
    pub fn domain_runners(&mut self, _cx: CX![], reply: Sender<Vec<RunnerState>>) {
        answer(&reply, self.dispatch.runners_of(&self.domain));
    }

    /// Records a backend server's load report, or that the server did not answer.
    pub fn load(&mut self, cx: CX![], server: Server, load: Option<LoadAnswer>) {
        let now = cx.now();
        match (server.kind, load) {
            (ServerKind::Service, Some(load)) => {
                self.services.set_leaving(&server.id, load.leaving);
            }
            (ServerKind::Service, None) => {}
            (ServerKind::Runner, Some(load)) => {
                self.dispatch.observe_reachable(&server.id);
                if self.dispatch.observe_load(now, &server.id, &load) {
                    let runner = hickoryhall_types::hash_name(&server.id);
                    let incarnation = load.incarnation;
                    self.rumors.fwd(Rumor::RunnerLeaving {
                        runner,
                        incarnation,
                    });
                }
            }
            (ServerKind::Runner, None) => self.dispatch.observe_unreachable(now, &server.id),
        }
    }

    /// Records what a runner said of itself when it refused an attempt.
    pub fn runner_refused(&mut self, _cx: CX![], id: Arc<str>, refusal: NotRun) {
        self.dispatch.observe_refusal(&id, refusal);
    }

    /// Applies a rumor that is new to this host.
    pub fn heard(&mut self, cx: CX![], rumor: Rumor) {
        match rumor {
            Rumor::RunnerLeaving {
                runner,
                incarnation,
            } => {
                self.dispatch.mark_leaving(runner, incarnation);
            }
            Rumor::Suspect {
                fingerprint,
                deaths,
            } => {
                self.suspects.merge(cx.now(), fingerprint, deaths);
            }
            Rumor::HostLeaving { .. } => {}
        }
    }

    /// Handles a message from a peer about quotes, reservations or grants.
    pub fn receive(&mut self, cx: CX![], from: HostHash, body: Body) {
        let now = cx.now();
        match body {
            Body::QuoteAsk(ask) => {
                let quotes = self.dispatch.quote(now, &ask);
                self.outbox
                    .borrow_mut()
                    .send(now, from, Body::QuoteAnswer(quotes), false);
            }
            Body::QuoteAnswer(quotes) => {
                let effects = self.dispatch.on_quotes(now, from, &quotes);
                self.carry_out(now, effects);
            }
            Body::GrantAsk(ask) => {
                let answer = self.grant(now, from, ask);
                self.outbox
                    .borrow_mut()
                    .send(now, from, Body::GrantAnswer(answer), false);
            }
            Body::GrantAnswer(answer) => self.granted(now, answer),
            body => self.dispatch.on_tracked(now, from, &body),
        }
    }

    /// Advances waiting requests and grants, and schedules the next tick.
    pub fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let effects = self.dispatch.tick(now);
        self.carry_out(now, effects);
        if now >= self.grants_at {
            self.grants_at = now + GRANT_INTERVAL;
            self.buckets.expire(now);
            self.ask_for_grants(now);
        }
        let next = if self.dispatch.is_waiting() {
            BUSY_TICK
        } else {
            IDLE_TICK
        };
        stakker::after!(next, [cx], tick());
    }

    fn ask_for_grants(&mut self, now: Instant) {
        for ask in self.admission.grants_wanted(now) {
            let holder = self
                .bucket_holders
                .iter()
                .max_by_key(|&&host| hickoryhall_types::rendezvous_score(ask.bucket, host));
            match holder {
                Some(&host) if host != self.me => {
                    self.outbox
                        .borrow_mut()
                        .send(now, host, Body::GrantAsk(ask), true);
                }
                _ => {
                    let answer = self.grant(now, self.me, ask);
                    self.granted(now, answer);
                }
            }
        }
    }

    fn grant(&mut self, now: Instant, from: HostHash, ask: GrantAsk) -> GrantAnswer {
        let units = UnitAsk {
            key: ask.bucket,
            limit: ask.limit,
            asker: from,
            wanted: ask.units,
        };
        let grant = self.buckets.grant(now, &units, self.shape);
        let ttl_ms = u32::try_from(grant.ttl.as_millis()).unwrap_or(u32::MAX);
        GrantAnswer {
            bucket: ask.bucket,
            units: grant.units,
            ttl_ms,
        }
    }

    fn granted(&mut self, now: Instant, answer: GrantAnswer) {
        let ttl = Duration::from_millis(answer.ttl_ms.into());
        self.admission.granted(
            now,
            answer.bucket,
            UnitGrant {
                units: answer.units,
                ttl,
            },
        );
    }

    fn carry_out(&mut self, now: Instant, effects: Vec<Effect>) {
        let mut effects = std::collections::VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Placed { ticket, placed } => {
                    let reply = self.replies.remove(&ticket);
                    let is_heard = reply.is_some_and(|reply| reply.send(Ok(placed)).is_ok());
                    if !is_heard {
                        effects.extend(self.dispatch.ended(now, ticket, TicketEnd::Released));
                    }
                }
                Effect::Refused { ticket, refusal } => {
                    if let Some(reply) = self.replies.remove(&ticket) {
                        answer(&reply, Err(refusal));
                    }
                }
                Effect::Send {
                    to,
                    body,
                    is_optional,
                } => {
                    let asked = match &body {
                        Body::QuoteAsk(ask) => Some(ask.id),
                        _ => None,
                    };
                    let is_sent = self.outbox.borrow_mut().send(now, to, body, is_optional);
                    if let Some(id) = asked.filter(|_| !is_sent) {
                        let none = QuoteAnswer {
                            id,
                            quotes: Vec::new(),
                        };
                        effects.extend(self.dispatch.on_quotes(now, to, &none));
                    }
                }
            }
        }
    }
}

/// Sends a reply to a worker thread, which may have given up in the meantime.
fn answer<T>(reply: &Sender<T>, value: T) {
    let _ = reply.send(value);
}
