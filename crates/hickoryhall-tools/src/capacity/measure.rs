//! Measures memory, time and message sizes of the production data structures at several counts.

use std::collections::HashMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use hickoryhall_clients::LoadResponse;
use hickoryhall_control::TableState;
use hickoryhall_entry::dispatch::{
    AttemptEnd, Dispatch, DispatchConfig, PlacementRequest, Server, ServerKind, levels_to_wire,
};
use hickoryhall_limits::{DomainBuckets, FleetShape, HostLimit, UnitRequest};
use hickoryhall_membership::{Gossiper, HostInfo, Hosts};
use hickoryhall_routing::{
    CacheEstimate, CostModel, Level, PlacementConfig, PrefixChain, Suspects,
};
use hickoryhall_table::{Change, Row, Table, TableHead};
use hickoryhall_types::{hash_name, rendezvous_score};
use hickoryhall_wire::{
    Body, Frame, Gossip, GrantRequest, GrantResponse, Heartbeat, Keyring, Peer, QuoteRequest,
    QuoteResponse, Rumor, RunnerQuote, WireLevel,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{LinearFit, fit};

/// Number of copies built for one memory measurement, so that it is well above the page size.
const COPIES_PER_MEASUREMENT: usize = 8;
/// Minimum duration of one time measurement.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(60);
const MODEL: &str = "model-0";

/// All measured costs, and the sizes of messages.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// Bytes of dispatch state, by number of runners.
    pub runner_bytes: LinearFit,
    /// Bytes of a cache estimate, by number of prefix levels in it.
    pub level_bytes: LinearFit,
    /// Bytes of the membership list, by number of hosts.
    pub host_bytes: LinearFit,
    /// Bytes of a table in force, by number of rows.
    pub row_bytes: LinearFit,
    /// Bytes of limit state at a host, by number of limits.
    pub limit_bytes: LinearFit,
    /// Bytes of the suspect list, by number of suspects.
    pub suspect_bytes: LinearFit,
    /// Nanoseconds of the placement of one request, by number of runners of all models.
    pub decision_ns: LinearFit,
    /// Nanoseconds to compute one response with quotes, by number of runners in the request.
    pub quote_ns: LinearFit,
    /// Nanoseconds of one gossip round, by number of hosts.
    pub round_ns: LinearFit,
    /// Nanoseconds to process one received gossip message, by number of heartbeats in it.
    pub receive_ns: LinearFit,
    /// Nanoseconds of one grant, by number of hosts that request grants.
    pub grant_ns: LinearFit,
    /// Nanoseconds to seal and open a frame, by the approximate size of its body in bytes.
    pub frame_ns: LinearFit,
    /// Nanoseconds to put a change of one row in force, by number of rows of the table.
    pub adopt_ns: LinearFit,
    /// Kinds of messages with their size in bytes.
    pub messages: Vec<(&'static str, f64)>,
}

impl Measurements {
    /// Returns all measured costs except the message sizes.
    #[must_use]
    pub fn fits(&self) -> [&LinearFit; 13] {
        [
            &self.runner_bytes,
            &self.level_bytes,
            &self.host_bytes,
            &self.row_bytes,
            &self.limit_bytes,
            &self.suspect_bytes,
            &self.decision_ns,
            &self.quote_ns,
            &self.round_ns,
            &self.receive_ns,
            &self.grant_ns,
            &self.frame_ns,
            &self.adopt_ns,
        ]
    }

    /// Returns the size of a kind of message in bytes.
    ///
    /// # Panics
    ///
    /// Panics if there is no such kind.
    #[must_use]
    pub fn message_bytes(&self, name: &str) -> f64 {
        let found = self.messages.iter().find(|(other, _)| *other == name);
        found.expect("a kind of message").1
    }
}

/// Measures all costs, which takes some seconds.
#[must_use]
pub fn measure() -> Measurements {
    let now = Instant::now();
    Measurements {
        runner_bytes: fit_memory("runner", &[210, 420, 840], |count| dispatch(now, count)),
        level_bytes: fit_memory("prefix level", &[2_048, 4_096, 8_192], |count| {
            cache_estimate(now, count)
        }),
        host_bytes: fit_memory("host", &[130, 260, 520], |count| hosts(now, count)),
        row_bytes: fit_memory("table row", &[1_460, 2_920, 5_840], |count| {
            table_state(&table(count))
        }),
        limit_bytes: fit_memory("limit", &[1_460, 2_920, 5_840], |count| limits(now, count)),
        suspect_bytes: fit_memory("suspect", &[1_024, 2_048, 4_096], |count| {
            suspects(now, count)
        }),
        decision_ns: fit_time("decision", "ns", &[210, 420, 840], |count| {
            place_request(now, count)
        }),
        quote_ns: fit_time("quotes", "ns", &[2, 4, 8], |count| {
            compute_quotes(now, count)
        }),
        round_ns: fit_time("gossip round", "ns", &[130, 260, 520], |count| {
            gossip_round(now, count)
        }),
        receive_ns: fit_time("gossip received", "ns", &[3, 6, 12], |count| {
            receive_gossip(now, count)
        }),
        grant_ns: fit_time("grant", "ns", &[9, 18, 37], |count| grant_units(now, count)),
        frame_ns: fit_time(
            "frame sealed and opened",
            "ns",
            &[100, 400, 1_000],
            seal_and_open_frame,
        ),
        adopt_ns: fit_time(
            "change in force",
            "ns",
            &[1_460, 2_920, 5_840],
            adopt_change,
        ),
        messages: message_sizes(),
    }
}

/// Fits resident memory by count. Leaks what it builds, so that no later measurement reuses freed
/// pages.
fn fit_memory<T>(name: &'static str, counts: &[usize], build: impl Fn(usize) -> T) -> LinearFit {
    let mut points = Vec::new();
    for &count in counts {
        let before = resident_bytes();
        let built = (0..COPIES_PER_MEASUREMENT)
            .map(|_| build(count))
            .collect::<Vec<_>>();
        let added_bytes = resident_bytes() - before;
        std::mem::forget(built);
        points.push((count as f64, added_bytes / COPIES_PER_MEASUREMENT as f64));
    }
    fit(name, "bytes", &points)
}

/// Fits time by count, with the shortest of three measurements at each count.
fn fit_time<F: FnMut()>(
    name: &'static str,
    unit: &'static str,
    counts: &[usize],
    build: impl Fn(usize) -> F,
) -> LinearFit {
    let points = counts.iter().map(|&count| {
        let mut work = build(count);
        let shortest_ns = (0..3)
            .map(|_| mean_nanoseconds(&mut work))
            .fold(f64::INFINITY, f64::min);
        (count as f64, shortest_ns)
    });
    fit(name, unit, &points.collect::<Vec<_>>())
}

fn mean_nanoseconds(work: &mut impl FnMut()) -> f64 {
    let started = Instant::now();
    let mut runs = 0_u32;
    while started.elapsed() < MIN_MEASURED_TIME {
        (0..16).for_each(|_| work());
        runs += 16;
    }
    started.elapsed().as_nanos() as f64 / f64::from(runs)
}

fn resident_bytes() -> f64 {
    let pages = procfs::process::Process::myself().and_then(|process| process.statm());
    pages.map_or(0.0, |statm| (statm.resident * procfs::page_size()) as f64)
}

fn chain(outer: u64, inner: u64, question: u64) -> PrefixChain {
    let keys = [
        outer,
        rendezvous_score(outer, inner),
        rendezvous_score(question, inner),
    ];
    let levels = keys.iter().zip([12_000, 4_000, 200]);
    PrefixChain::from_levels(levels.map(|(&key, tokens)| Level { key, tokens }).collect())
}

fn dispatch(now: Instant, runners: usize) -> Dispatch {
    let placement = PlacementConfig::new("a".into());
    let mut dispatch = Dispatch::new(DispatchConfig {
        local_host: 1,
        placement,
    });
    let servers = (0..runners).map(server).collect::<Vec<_>>();
    dispatch.set_servers(&servers);
    for server in &servers {
        let load = LoadResponse {
            incarnation: 1,
            weights_version: 1,
            waiting_tokens: 0,
            prefill_tokens_per_s: 16_000,
            cache_tokens: 10_000_000,
            leaving: false,
        };
        dispatch.observe_load(now, &server.id, &load);
    }
    dispatch
}

fn server(index: usize) -> Server {
    Server {
        id: format!("runner-{index}").as_str().into(),
        kind: ServerKind::Runner,
        domain: "a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        target: format!("model-{}", index % 8).as_str().into(),
        leaving: false,
    }
}

fn cache_estimate(now: Instant, levels: usize) -> CacheEstimate {
    let mut cache_estimate = CacheEstimate::new(u64::MAX / 2, levels);
    (0..levels as u64).for_each(|i| cache_estimate.insert(now, &chain(i, i, i)));
    cache_estimate
}

fn host_info(index: usize) -> HostInfo {
    let address = ([127, 0, 0, 1], 1_000 + index as u16).into();
    HostInfo::new(
        &format!("host-{index}"),
        &format!("domain-{}", index % 14),
        address,
    )
}

fn hosts(now: Instant, count: usize) -> Hosts {
    let list = (0..count).map(host_info).collect::<Vec<_>>();
    let mut hosts = Hosts::new(list[0].clone(), 1);
    hosts.merge_list(now, &list);
    for info in &list {
        let peer = Peer {
            host: info.hash,
            incarnation: 1,
        };
        hosts.observe(now, Heartbeat { peer, count: 1 });
    }
    hosts
}

fn table(rows: usize) -> Table {
    let row = |i: usize| Row {
        weight: Some(3),
        requests_per_s: Some(100),
        tokens_per_s: Some(50_000),
        ..Row::new(
            &format!("workspace-{}", i / 8),
            &format!("model:model-{}", i % 8),
        )
    };
    (0..rows).map(row).collect()
}

fn next_head(head: &TableHead, table: &Table) -> TableHead {
    let change = Change {
        id: "c".to_owned(),
        revision: 0,
        author: "a".to_owned(),
        at_s: 0,
    };
    head.next(table, change)
}

fn table_state(table: &Table) -> TableState {
    let mut state = TableState::default();
    state.adopt(next_head(&TableHead::default(), table), table.clone());
    state
}

fn limits(now: Instant, count: usize) -> HashMap<u64, (u32, HostLimit)> {
    let shape = FleetShape {
        domains: 14,
        hosts_per_domain: 37,
    };
    (0..count as u64)
        .map(|key| (key, (100, HostLimit::new(now, 100, shape))))
        .collect()
}

fn suspects(now: Instant, count: usize) -> Suspects {
    let mut suspects = Suspects::default();
    (0..count as u64).for_each(|i| {
        suspects.record_death(now, i);
    });
    suspects
}

/// Places one request, with first token and end, by the host's own cache estimates.
fn place_request(now: Instant, runners: usize) -> impl FnMut() {
    let mut dispatch = dispatch(now, runners);
    let mut attempt_id = 0;
    move || {
        attempt_id += 1;
        let request = PlacementRequest {
            attempt_id,
            workspace: "workspace".into(),
            weight: 1,
            chain: chain(attempt_id % 50, attempt_id % 1_000, attempt_id),
            model: MODEL.into(),
            weights_version: 1,
            cost: CostModel::default(),
            deadline: now + Duration::from_secs(60),
            excluded_runners: Vec::new(),
            is_suspect: false,
        };
        black_box(dispatch.place(now, request));
        black_box(dispatch.record_first_token(now, attempt_id, 12_000));
        black_box(dispatch.record_end(now, attempt_id, AttemptEnd::Finished));
    }
}

fn compute_quotes(now: Instant, runners: usize) -> impl FnMut() {
    let mut dispatch = dispatch(now, 8);
    let hashes = (0..8)
        .map(|i| hash_name(&format!("runner-{i}")))
        .collect::<Vec<_>>();
    dispatch.set_trackers(hashes.iter().map(|&hash| (hash, 1)).collect());
    for (index, &runner) in hashes.iter().enumerate() {
        let load = LoadResponse {
            incarnation: 1,
            weights_version: 1,
            waiting_tokens: 0,
            prefill_tokens_per_s: 16_000,
            cache_tokens: 1_000_000,
            leaving: false,
        };
        dispatch.observe_load(now, &format!("runner-{index}"), &load);
        // Fills the ledger of the runner with the prompts of 400 requests that got a first token.
        for id in 0..400 {
            let levels = wire_levels(id);
            dispatch.on_tracker_message(
                now,
                7,
                &Body::Reserve {
                    runner,
                    id,
                    levels,
                    class: 0,
                },
            );
            let body = Body::Release {
                runner,
                id,
                cached_tokens: Some(0),
            };
            dispatch.on_tracker_message(now, 7, &body);
        }
    }
    let request = QuoteRequest {
        id: 1,
        runners: hashes[..runners].to_vec(),
        levels: wire_levels(3),
        class: 0,
    };
    move || {
        black_box(dispatch.quotes_for(now, &request));
    }
}

fn wire_levels(id: u64) -> Vec<WireLevel> {
    levels_to_wire(&chain(id % 50, id, id))
}

fn gossip_round(now: Instant, count: usize) -> impl FnMut() {
    let hosts = hosts(now, count);
    let mut gossiper = Gossiper::new(ChaCha8Rng::seed_from_u64(1));
    move || {
        black_box(gossiper.round(now, &hosts));
    }
}

fn receive_gossip(now: Instant, heartbeats: usize) -> impl FnMut() {
    let mut hosts = hosts(now, 520);
    let mut gossiper = Gossiper::new(ChaCha8Rng::seed_from_u64(1));
    let mut count = 1;
    move || {
        count += 1;
        let heartbeats = (1..=heartbeats).map(|i| Heartbeat {
            peer: Peer {
                host: host_info(i).hash,
                incarnation: 1,
            },
            count,
        });
        let gossip = Gossip {
            heartbeats: heartbeats.collect(),
            ..Gossip::default()
        };
        black_box(gossiper.receive(now, &mut hosts, host_info(1).hash, &gossip));
    }
}

fn grant_units(now: Instant, requesters: usize) -> impl FnMut() {
    let shape = FleetShape {
        domains: 14,
        hosts_per_domain: 37,
    };
    let mut buckets = DomainBuckets::default();
    let mut requester = 0;
    move || {
        requester = (requester + 1) % requesters as u64;
        let request = UnitRequest {
            key: 1,
            limit: 1_000,
            requester,
            wanted: 3,
        };
        black_box(buckets.grant(now, &request, shape));
    }
}

fn seal_and_open_frame(bytes: usize) -> impl FnMut() {
    let keyring = Keyring::new(&["a secret to measure with"]);
    let levels = vec![
        WireLevel {
            key: u64::MAX,
            tokens: 12_000
        };
        bytes / 14
    ];
    let body = Body::Reserve {
        runner: 1,
        id: 1,
        levels,
        class: 0,
    };
    let frame = frame_with(body);
    move || {
        let sealed = keyring.seal(&frame);
        black_box(
            keyring
                .open(&sealed)
                .expect("a frame sealed with the same key"),
        );
    }
}

fn adopt_change(rows: usize) -> impl FnMut() {
    let tables = [1, 2].map(|weight| {
        let mut table = table(rows);
        table.insert(Row {
            weight: Some(weight),
            ..Row::new("workspace-0", "model:model-0")
        });
        table
    });
    let mut source = table_state(&tables[0]);
    let mut peer = source.clone();
    let mut turn = 0;
    move || {
        turn += 1;
        let table = &tables[turn % 2];
        source.adopt(next_head(source.head(), table), table.clone());
        let delta = source.delta_since(peer.revision());
        peer.adopt_delta(source.head().clone(), &delta)
            .expect("a delta of the peer's revision");
    }
}

fn frame_with(body: Body) -> Frame {
    let sender = Peer {
        host: u64::MAX,
        incarnation: 1_790_000_000_000,
    };
    Frame {
        sender,
        receiver: u64::MAX,
        sequence: 1_000_000,
        body,
    }
}

fn message_sizes() -> Vec<(&'static str, f64)> {
    let peer = Peer {
        host: u64::MAX,
        incarnation: 1_790_000_000_000,
    };
    let heartbeats = vec![
        Heartbeat {
            peer,
            count: 100_000
        };
        12
    ];
    let gossip = |rumors| {
        Body::Gossip(Gossip {
            revision: 1_000_000,
            leaving: false,
            heartbeats: heartbeats.clone(),
            rumors,
        })
    };
    let quote = RunnerQuote {
        runner: u64::MAX,
        incarnation: 1_000,
        wait_ms: 300,
        cached_tokens: 16_000,
        eviction_tokens: 4_000,
        is_warm: true,
    };
    let id = 10_000_000;
    let runner = u64::MAX;
    let rumor = Rumor::RunnerLeaving {
        runner,
        incarnation: 1_000,
    };
    let bodies = [
        ("gossip", gossip(Vec::new())),
        ("gossip with 8 rumors", gossip(vec![rumor; 8])),
        (
            "push of a revision",
            Body::PushRevision {
                revision: 1_000_000,
            },
        ),
        (
            "quotes asked",
            Body::QuoteRequest(QuoteRequest {
                id,
                runners: vec![runner],
                levels: wire_levels(1),
                class: 0,
            }),
        ),
        (
            "quotes answered",
            Body::QuoteResponse(QuoteResponse {
                id,
                quotes: vec![quote],
            }),
        ),
        (
            "reservation",
            Body::Reserve {
                runner,
                id,
                levels: wire_levels(1),
                class: 0,
            },
        ),
        (
            "release",
            Body::Release {
                runner,
                id,
                cached_tokens: Some(16_000),
            },
        ),
        (
            "grant asked",
            Body::GrantRequest(GrantRequest {
                bucket: runner,
                units: 20,
                limit: 1_000,
            }),
        ),
        (
            "grant answered",
            Body::GrantResponse(GrantResponse {
                bucket: runner,
                units: 20,
                ttl_ms: 2_000,
            }),
        ),
    ];
    let keyring = Keyring::new(&["a secret to measure with"]);
    let sizes = bodies.map(|(name, body)| (name, keyring.seal(&frame_with(body)).len() as f64));
    let mut sizes = sizes.to_vec();
    sizes.push(("change of one row", delta_bytes()));
    sizes
}

/// Returns the size of the message with a change of one row in a table of the planned size.
fn delta_bytes() -> f64 {
    let first = table(5_840);
    let mut second = first.clone();
    second.insert(Row {
        weight: Some(9),
        ..Row::new("workspace-0", "model:model-0")
    });
    let mut state = table_state(&first);
    let mut next = state.head().clone();
    // Gives the head as long a history as it can have.
    (0..64).for_each(|_| next = next_head(&next, &second));
    let from = state.revision();
    state.adopt(next, second);
    let delta = state.delta_since(from);
    let body = Body::TableDelta(hickoryhall_wire::TableDelta {
        from,
        head_json: serde_json::to_vec(state.head()).expect("a head has string keys"),
        rows_json: serde_json::to_vec(&delta.rows).expect("rows have string keys"),
        removed_json: b"[]".to_vec(),
    });
    Keyring::new(&["a secret to measure with"])
        .seal(&frame_with(body))
        .len() as f64
}
