//! Actor that decides on requests: admission, placement, retries and suspects.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use hickoryhall_clients::{LoadResponse, NotRun};
use hickoryhall_limits::{DomainBuckets, RetryBudget, UnitGrant, UnitRequest};
use hickoryhall_routing::{Fingerprint, SuspectDecision, Suspects};
use hickoryhall_types::{FailureDomainId, Refusal, TokenCount, WeightsVersion};
use hickoryhall_wire::{Body, GrantRequest, GrantResponse, HostHash, QuoteResponse, Rumor};
use metrics::{counter, gauge};
use stakker::{CX, Fwd, call};

use super::Outbox;
use crate::dispatch::{
    Admission, AdmissionRequest, AttemptEnd, AttemptId, Dispatch, Effect, Permit, Placed,
    PlacementRequest, RunnerState, Server, ServerKind, ServicePool,
};

/// Time between two ticks while requests wait for a runner.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two ticks while no request waits.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(250);
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
    local_host: HostHash,
    domain: FailureDomainId,
    dispatch: Dispatch,
    admission: Admission,
    buckets: DomainBuckets,
    bucket_hosts: Vec<HostHash>,
    services: ServicePool,
    suspects: Suspects,
    retries: RetryBudget,
    replies: HashMap<AttemptId, PlaceReply>,
    outbox: Rc<RefCell<Outbox>>,
    /// Passes rumors that start at this host to the cluster actor.
    rumors: Fwd<Rumor>,
    next_grants_at: Instant,
    fleet_shape: hickoryhall_limits::FleetShape,
}

/// Dependencies of a [`Router`].
pub(crate) struct RouterParts {
    pub local_host: HostHash,
    pub domain: FailureDomainId,
    pub dispatch: Dispatch,
    pub fleet_shape: hickoryhall_limits::FleetShape,
    pub outbox: Rc<RefCell<Outbox>>,
    pub rumors: Fwd<Rumor>,
}

impl Router {
    /// Creates the actor and starts its timer.
    pub fn init(cx: CX![], parts: RouterParts) -> Option<Self> {
        let now = cx.now();
        call!([cx], tick());
        Some(Self {
            local_host: parts.local_host,
            domain: parts.domain,
            dispatch: parts.dispatch,
            admission: Admission::new(parts.fleet_shape),
            buckets: DomainBuckets::default(),
            bucket_hosts: Vec::new(),
            services: ServicePool::default(),
            suspects: Suspects::default(),
            retries: RetryBudget::new(now),
            replies: HashMap::new(),
            outbox: parts.outbox,
            rumors: parts.rumors,
            next_grants_at: now,
            fleet_shape: parts.fleet_shape,
        })
    }

    /// Starts the placement of a request; the answer goes to `reply`, now or later.
    pub fn place(&mut self, cx: CX![], request: PlacementRequest, reply: PlaceReply) {
        self.replies.insert(request.attempt_id, reply);
        let effects = self.dispatch.place(cx.now(), request);
        self.apply_effects(cx.now(), effects);
    }

    /// Records the first token of an attempt.
    pub fn record_first_token(
        &mut self,
        cx: CX![],
        attempt_id: AttemptId,
        cached_tokens: TokenCount,
    ) {
        let effects = self
            .dispatch
            .record_first_token(cx.now(), attempt_id, cached_tokens);
        self.apply_effects(cx.now(), effects);
    }

    /// Records the end of an attempt, or that its request no longer waits for a runner.
    pub fn record_end(&mut self, cx: CX![], attempt_id: AttemptId, end: AttemptEnd) {
        self.replies.remove(&attempt_id);
        let effects = self.dispatch.record_end(cx.now(), attempt_id, end);
        self.apply_effects(cx.now(), effects);
    }

    /// Admits a request, or refuses it because a limit of its row is reached.
    pub fn admit(
        &mut self,
        cx: CX![],
        request: Box<AdmissionRequest>,
        reply: Sender<Result<Permit, Box<Refusal>>>,
    ) {
        self.retries.record_request();
        let result = self.admission.admit(cx.now(), &request).map_err(Box::new);
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
    pub fn choose_weights_version(
        &mut self,
        _cx: CX![],
        model: Arc<str>,
        desired_version: WeightsVersion,
        fingerprint: u64,
        reply: Sender<WeightsVersion>,
    ) {
        send_reply(
            &reply,
            self.dispatch
                .version_for(&model, desired_version, fingerprint),
        );
    }

    /// Takes a retry from the budget and replies whether it is allowed.
    pub fn take_retry(&mut self, cx: CX![], reply: Sender<bool>) {
        let allowed = self.retries.take(cx.now());
        counter!("retries_total", "allowed" => allowed.to_string()).increment(1);
        send_reply(&reply, allowed);
    }

    /// Replies how a request may run: anywhere, apart from other suspects, or not at all for now.
    pub fn decide_suspect(
        &mut self,
        cx: CX![],
        fingerprint: Fingerprint,
        reply: Sender<SuspectDecision>,
    ) {
        send_reply(&reply, self.suspects.decide(cx.now(), fingerprint));
    }

    /// Records that a runner died while it ran a request, and spreads it as a rumor.
    pub fn record_death(&mut self, cx: CX![], fingerprint: Fingerprint) {
        let deaths = self.suspects.record_death(cx.now(), fingerprint);
        counter!("suspect_deaths_total").increment(1);
        self.rumors.fwd(Rumor::Suspect {
            fingerprint,
            deaths,
        });
    }

    /// Records that a request got a complete answer, so that it is no longer suspected.
    pub fn clear_suspect(&mut self, _cx: CX![], fingerprint: Fingerprint) {
        self.suspects.clear(fingerprint);
    }

    /// Replies with a server for a call of a plain service and counts the call as in flight.
    pub fn pick_service(
        &mut self,
        cx: CX![],
        service: Arc<str>,
        excluded_servers: Vec<Arc<str>>,
        reply: ServiceReply,
    ) {
        let picked = self
            .services
            .pick(cx.now(), &service, &self.domain, &excluded_servers);
        // If the request is gone, the call is not made and so must not count as in flight.
        if let Err(error) = reply.send(picked)
            && let Some((id, _)) = error.0
        {
            self.services
                .record_end(cx.now(), &id, AttemptEnd::Released);
        }
    }

    /// Records the end of a call of a plain service.
    pub fn record_service_end(&mut self, cx: CX![], id: Arc<str>, end: AttemptEnd) {
        self.services.record_end(cx.now(), &id, end);
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
        gauge!("held_requests").set(self.dispatch.held_count() as f64);
    }

    /// Sets the hosts that share the rate-limit buckets of this failure domain.
    pub fn set_bucket_hosts(&mut self, _cx: CX![], hosts: Vec<HostHash>) {
        self.bucket_hosts = hosts;
    }

    /// Replies with the number of runners that this host knows.
    pub fn runner_counts(&mut self, _cx: CX![], reply: Sender<RunnerCounts>) {
        let runners = self.dispatch.placement().runners();
        let serving = runners.iter().filter(|(_, info)| !info.leaving).count();
        send_reply(
            &reply,
            RunnerCounts {
                known: runners.len(),
                serving,
            },
        );
    }

    /// Replies with the runners of this host's failure domain.
    pub fn domain_runners(&mut self, _cx: CX![], reply: Sender<Vec<RunnerState>>) {
        send_reply(&reply, self.dispatch.runners_in(&self.domain));
    }

    /// Records a backend server's load report, or that the server did not answer.
    pub fn record_load(&mut self, cx: CX![], server: Server, load: Option<LoadResponse>) {
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
    pub fn record_refusal(&mut self, _cx: CX![], id: Arc<str>, refusal: NotRun) {
        self.dispatch.observe_refusal(&id, refusal);
    }

    /// Applies a rumor that is new to this host.
    pub fn on_rumor(&mut self, cx: CX![], rumor: Rumor) {
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
            // The cluster actor has already marked the host as leaving.
            Rumor::HostLeaving { .. } => {}
        }
    }

    /// Handles a message from a peer about quotes, reservations or grants.
    pub fn receive(&mut self, cx: CX![], from: HostHash, body: Body) {
        let now = cx.now();
        match body {
            Body::QuoteRequest(request) => {
                let quotes = self.dispatch.quotes_for(now, &request);
                self.outbox
                    .borrow_mut()
                    .send(now, from, Body::QuoteResponse(quotes), false);
            }
            Body::QuoteResponse(quotes) => {
                let effects = self.dispatch.on_quotes(now, from, &quotes);
                self.apply_effects(now, effects);
            }
            Body::GrantRequest(request) => {
                let response = self.grant(now, from, request);
                self.outbox
                    .borrow_mut()
                    .send(now, from, Body::GrantResponse(response), false);
            }
            Body::GrantResponse(response) => self.apply_grant(now, response),
            body => self.dispatch.on_tracker_message(now, from, &body),
        }
    }

    /// Advances waiting requests, requests grants that are due, and schedules the next tick.
    pub fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let effects = self.dispatch.tick(now);
        self.apply_effects(now, effects);
        if now >= self.next_grants_at {
            self.next_grants_at = now + GRANT_INTERVAL;
            self.buckets.expire(now);
            self.request_grants(now);
        }
        let next = if self.dispatch.is_waiting() {
            BUSY_TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        };
        stakker::after!(next, [cx], tick());
    }

    /// Requests grants from the hosts that keep the buckets, which may be this host.
    fn request_grants(&mut self, now: Instant) {
        for request in self.admission.due_grant_requests(now) {
            let bucket_host = self
                .bucket_hosts
                .iter()
                .max_by_key(|&&host| hickoryhall_types::rendezvous_score(request.bucket, host));
            match bucket_host {
                Some(&host) if host != self.local_host => {
                    self.outbox
                        .borrow_mut()
                        .send(now, host, Body::GrantRequest(request), true);
                }
                _ => {
                    let response = self.grant(now, self.local_host, request);
                    self.apply_grant(now, response);
                }
            }
        }
    }

    /// Grants units of a bucket that this host keeps.
    fn grant(&mut self, now: Instant, from: HostHash, request: GrantRequest) -> GrantResponse {
        let units = UnitRequest {
            key: request.bucket,
            limit: request.limit,
            requester: from,
            wanted: request.units,
        };
        let grant = self.buckets.grant(now, &units, self.fleet_shape);
        let ttl_ms = u32::try_from(grant.ttl.as_millis()).unwrap_or(u32::MAX);
        GrantResponse {
            bucket: request.bucket,
            units: grant.units,
            ttl_ms,
        }
    }

    fn apply_grant(&mut self, now: Instant, response: GrantResponse) {
        let ttl = Duration::from_millis(response.ttl_ms.into());
        self.admission.add_grant(
            now,
            response.bucket,
            UnitGrant {
                units: response.units,
                ttl,
            },
        );
    }

    /// Carries out the effects, and those that follow from carrying them out.
    fn apply_effects(&mut self, now: Instant, effects: Vec<Effect>) {
        let mut effects = std::collections::VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Placed { attempt_id, placed } => {
                    let reply = self.replies.remove(&attempt_id);
                    let is_delivered = reply.is_some_and(|reply| reply.send(Ok(placed)).is_ok());
                    // If the request is gone, nobody would end the attempt.
                    if !is_delivered {
                        effects.extend(self.dispatch.record_end(
                            now,
                            attempt_id,
                            AttemptEnd::Released,
                        ));
                    }
                }
                Effect::Refused {
                    attempt_id,
                    refusal,
                } => {
                    if let Some(reply) = self.replies.remove(&attempt_id) {
                        send_reply(&reply, Err(refusal));
                    }
                }
                Effect::Send {
                    to,
                    body,
                    is_optional,
                } => {
                    let quote_id = match &body {
                        Body::QuoteRequest(request) => Some(request.id),
                        _ => None,
                    };
                    let is_sent = self.outbox.borrow_mut().send(now, to, body, is_optional);
                    // A quote request that was not sent gets no response, so placement must not
                    // wait for one.
                    if let Some(id) = quote_id.filter(|_| !is_sent) {
                        let no_quotes = QuoteResponse {
                            id,
                            quotes: Vec::new(),
                        };
                        effects.extend(self.dispatch.on_quotes(now, to, &no_quotes));
                    }
                }
            }
        }
    }
}

/// Sends a reply to a worker thread, which may have given up in the meantime.
fn send_reply<T>(reply: &Sender<T>, value: T) {
    let _ = reply.send(value);
}
