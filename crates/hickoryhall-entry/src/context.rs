//! State that the worker threads of a host share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hickoryhall_clients::{LeaseId, RunnerClient, ServiceClient, StoreClient};
use hickoryhall_http::WorkerPool;
use hickoryhall_telemetry::{DecisionLog, DecisionRecord, MetricsPage, SpanLog};

use crate::actors::CoreHandle;
use crate::settings::Settings;
use crate::shared_table::SharedTable;
use crate::table_store::TableStore;

/// Shortest time for which a claim is kept, so that a repeated request finds it.
const CLAIM_TTL: Duration = Duration::from_secs(24 * 3_600);
/// Time for which new claims are attached to the same lease.
const CLAIM_LEASE_REUSE: Duration = Duration::from_secs(3_600);

/// Shutdown state of the host and number of its requests in flight.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    stopping: AtomicBool,
    ended: AtomicBool,
    failed: AtomicBool,
    in_flight: AtomicUsize,
}

impl Lifecycle {
    /// Makes the host refuse new requests; requests in flight continue.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether the host is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Stops the host and makes its background threads return.
    pub fn end(&self) {
        self.stop();
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Records that the thread of the actors has panicked, after which the host must be replaced.
    pub fn fail(&self) {
        self.failed.store(true, Ordering::SeqCst);
    }

    /// Returns whether the thread of the actors has panicked.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::SeqCst)
    }

    /// Returns whether background threads must return.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(self))
    }
}

/// Guard that counts a request as in flight until it is dropped.
pub(crate) struct InFlight(Arc<Lifecycle>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// State and clients that the worker threads share.
pub(crate) struct Context {
    pub settings: Settings,
    /// Start time of the host in milliseconds since the Unix epoch; tells its runs apart.
    pub incarnation: u64,
    pub core: CoreHandle,
    pub table: SharedTable,
    pub table_store: TableStore,
    pub store: StoreClient,
    pub runners: RunnerClient,
    pub services: ServiceClient,
    /// Threads for calls to backend servers and peers beside the worker that handles the request.
    pub upstream_pool: WorkerPool,
    pub spans: SpanLog,
    pub decisions: DecisionLog,
    pub metrics: MetricsPage,
    pub lifecycle: Arc<Lifecycle>,
    next_id: AtomicU64,
    /// Lease for new claims, with the time just before it was requested.
    claim_lease: Mutex<Option<(LeaseId, Instant)>>,
}

impl Context {
    pub fn new(
        settings: Settings,
        incarnation: u64,
        core: CoreHandle,
        table: SharedTable,
        metrics: MetricsPage,
        lifecycle: Arc<Lifecycle>,
        spans: SpanLog,
    ) -> Self {
        let store = StoreClient::new(settings.store_address);
        let upstream_pool = WorkerPool::new("upstream", settings.limits.workers * 2);
        Self {
            incarnation,
            core,
            table,
            table_store: TableStore::new(store.clone()),
            store,
            runners: RunnerClient::default(),
            services: ServiceClient::default(),
            upstream_pool,
            spans,
            decisions: DecisionLog::default(),
            metrics,
            lifecycle,
            next_id: AtomicU64::new(1),
            claim_lease: Mutex::new(None),
            settings,
        }
    }

    /// Returns an id that is unique within this incarnation of the host.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a span id that is unlikely to be used by another host.
    ///
    /// It is a hash of the host's name, its incarnation and a unique id.
    pub fn next_span_id(&self) -> u64 {
        let host = hickoryhall_types::hash_name(&self.settings.host);
        hickoryhall_types::rendezvous_score(host ^ self.incarnation, self.next_id())
    }

    /// Creates the record of a decision that is made now.
    pub fn decision_record(
        &self,
        request_id: &str,
        arrived_at: Instant,
        decision: &str,
        reason: &str,
        server: &str,
    ) -> DecisionRecord {
        DecisionRecord {
            request_id: request_id.to_owned(),
            host: self.settings.host.clone(),
            after_us: u64::try_from(arrived_at.elapsed().as_micros()).unwrap_or(u64::MAX),
            decision: decision.to_owned(),
            reason: reason.to_owned(),
            server: server.to_owned(),
            candidates: Vec::new(),
        }
    }

    /// Returns the lease for claims that are made now, or `None` if the store does not grant one.
    ///
    /// Claims of the same hour share a lease. It is never renewed, so the claims expire without
    /// being deleted.
    pub fn claim_lease(&self) -> Option<LeaseId> {
        let mut lease = self
            .claim_lease
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let current = lease.filter(|(_, at)| at.elapsed() < CLAIM_LEASE_REUSE);
        if let Some((id, _)) = current {
            return Some(id);
        }
        let requested_at = Instant::now();
        let id = self.store.grant_lease(CLAIM_TTL + CLAIM_LEASE_REUSE).ok()?;
        *lease = Some((id, requested_at));
        Some(id)
    }

    /// Returns whether the host accepts new requests: it is running and has a table.
    pub fn is_ready(&self) -> bool {
        let is_up = !self.lifecycle.is_stopping() && !self.lifecycle.has_failed();
        is_up && self.table.revision() > 0
    }
}
