//! Estimates memory, messages and processor time of each role of a host at the planned size.

use super::{Measurements, PlannedSize};

/// Number of runners for which quotes are requested per request.
const QUOTES_PER_REQUEST: f64 = 4.0;
/// Gossip rounds per second of one host.
const GOSSIP_ROUNDS_PER_S: f64 = 1.0;
/// Messages that a host sends in one gossip round.
const GOSSIP_FANOUT: f64 = 3.0;
/// Load polls per second of one host: 4 every half second.
const POLLS_PER_S: f64 = 8.0;
/// Bytes of a load poll, request and response, over HTTP.
const POLL_BYTES: f64 = 420.0;
/// Processor time of one load poll over HTTP, in nanoseconds, including its threads.
const POLL_CPU_NS: f64 = 120_000.0;
/// Number of limits in use at one host.
const LIMITS_IN_USE: f64 = 200.0;
/// Maximum number of grant requests per second for each limit in use.
const GRANT_REQUESTS_PER_S: f64 = 1.0;
/// Bytes of one store call, request and response, over HTTP.
const STORE_CALL_BYTES: f64 = 700.0;
/// Maximum number of runners in the fleet that load weights at the same time.
const MAX_CONCURRENT_LOADS: f64 = 2.0;
/// Rounds per second of the host that holds the lease for giving orders.
const LEASE_HOLDER_ROUNDS_PER_S: f64 = 2.0;
/// Number of spans and decision records of one request.
const RECORDS_PER_REQUEST: f64 = 5.0;
/// Bytes of one record, including its texts and four candidates.
const RECORD_BYTES: f64 = 700.0;
/// Processor time of one record, in nanoseconds.
const RECORD_CPU_NS: f64 = 2_000.0;
/// Number of concurrent streams on one host.
const EDGE_STREAMS: f64 = 1_300.0;
/// Memory of one stream with a prompt of 64 KB, in MB.
const EDGE_MB_PER_STREAM: f64 = 0.44;
/// Bytes of the event that sends one token to the caller.
const EDGE_BYTES_PER_TOKEN: f64 = 190.0;
/// Bytes of one prompt.
const EDGE_PROMPT_BYTES: f64 = 65_000.0;
/// Processor time of one request per second with 294 tokens of output, in percent of a core.
const EDGE_CORE_PERCENT_PER_REQUEST: f64 = 154.0 / 71.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Resources that one role needs at one host.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleCost {
    /// Name of the role in the printed table.
    pub name: &'static str,
    /// Short description of the mechanism that implements the role.
    pub mechanism: &'static str,
    /// Names of the measurements that the estimate is based on.
    pub measurements: &'static str,
    /// Memory in MB (1,000,000 bytes).
    pub memory_mb: f64,
    /// Bytes sent per second.
    pub sent_bytes_per_s: f64,
    /// Bytes received per second.
    pub received_bytes_per_s: f64,
    /// Processor time in percent of one core.
    pub core_percent: f64,
    /// Whether the role counts against the control budget; messages on the path of a request do
    /// not.
    pub is_control: bool,
}

/// Returns the resources that each role of a host needs at the planned size.
#[must_use]
pub fn roles(size: &PlannedSize, measurements: &Measurements) -> Vec<RoleCost> {
    vec![
        placement(size, measurements),
        quotes(size, measurements),
        trackers(size, measurements),
        load_view(size, measurements),
        membership(size, measurements),
        revisions(size, measurements),
        limits(measurements),
        suspects(measurements),
        claims(size),
        orders(),
        telemetry(size),
        caller_edge(size),
    ]
}

fn placement(size: &PlannedSize, measurements: &Measurements) -> RoleCost {
    let runners = size.runners_per_region();
    let levels = 32_768.0;
    let requests = size.host_requests_per_s();
    RoleCost {
        name: "placement",
        mechanism: "nested rendezvous over the region's runners; own ledgers with 32,768 levels",
        measurements: "runner bytes, prefix level bytes, decision ns",
        memory_mb: (measurements.runner_bytes.at(runners)
            + measurements.level_bytes.per_item * levels)
            / BYTES_PER_MB,
        sent_bytes_per_s: 0.0,
        received_bytes_per_s: 0.0,
        core_percent: percent(requests * measurements.decision_ns.at(runners)),
        is_control: true,
    }
}

fn quotes(size: &PlannedSize, measurements: &Measurements) -> RoleCost {
    let requests = size.host_requests_per_s();
    let (request_bytes, response_bytes) = (
        measurements.message_bytes("quotes asked"),
        measurements.message_bytes("quotes answered"),
    );
    let (reserve, release) = (
        measurements.message_bytes("reservation"),
        measurements.message_bytes("release"),
    );
    // Hosts request as much from this host as it requests from them, so both directions have the
    // same traffic.
    let sent =
        requests * (QUOTES_PER_REQUEST * (request_bytes + response_bytes) + reserve + release);
    let frames = requests * (2.0 * QUOTES_PER_REQUEST + 2.0);
    let frame = measurements
        .frame_ns
        .at((request_bytes + response_bytes) / 2.0);
    RoleCost {
        name: "quotes and reservations",
        mechanism: "4 trackers asked for each request, within the sender's byte budget",
        measurements: "message bytes, quotes ns, frame ns",
        memory_mb: 0.0,
        sent_bytes_per_s: sent,
        received_bytes_per_s: sent,
        core_percent: percent(
            frames * frame + requests * QUOTES_PER_REQUEST * measurements.quote_ns.at(1.0),
        ),
        is_control: false,
    }
}

fn trackers(size: &PlannedSize, measurements: &Measurements) -> RoleCost {
    let levels = size.tracked_runners_per_host() * 4_096.0;
    RoleCost {
        name: "evidence of cached prefixes",
        mechanism: "ledgers of the runners that this host tracks, 4,096 levels each, fed by \
                    reservations and answers; cache events are not taken in",
        measurements: "prefix level bytes",
        memory_mb: measurements.level_bytes.per_item * levels / BYTES_PER_MB,
        sent_bytes_per_s: 0.0,
        received_bytes_per_s: 0.0,
        core_percent: 0.0,
        is_control: true,
    }
}

fn load_view(size: &PlannedSize, _measurements: &Measurements) -> RoleCost {
    let servers = size.runners / size.domains;
    let polls = POLLS_PER_S.min(servers * 2.0);
    RoleCost {
        name: "load view",
        mechanism: "8 questions a second: runners that this host tracks first, the others in turn",
        measurements: "bytes and ns of one question over HTTP",
        memory_mb: 1.0,
        ..polling(polls)
    }
}

fn membership(size: &PlannedSize, measurements: &Measurements) -> RoleCost {
    let messages = GOSSIP_ROUNDS_PER_S * GOSSIP_FANOUT;
    let bytes = measurements.message_bytes("gossip");
    let rumors = (size.restarts_per_day + size.failures_per_day) / SECONDS_PER_DAY;
    // Upper bound: 16 rounds for each rumor, although a host stops after 16 messages with it.
    let rumor_bytes =
        rumors * 16.0 * GOSSIP_FANOUT * measurements.message_bytes("gossip with 8 rumors");
    let frame = measurements.frame_ns.at(bytes);
    RoleCost {
        name: "membership and gossip",
        mechanism: "digests with heartbeats to 3 hosts a second; rumors in quick rounds",
        measurements: "host bytes, gossip round ns, gossip received ns, frame ns",
        memory_mb: measurements.host_bytes.at(size.hosts) / BYTES_PER_MB,
        sent_bytes_per_s: messages * bytes + rumor_bytes,
        received_bytes_per_s: messages * bytes + rumor_bytes,
        core_percent: percent(
            GOSSIP_ROUNDS_PER_S * measurements.round_ns.at(size.hosts)
                + messages * (measurements.receive_ns.at(12.0) + 2.0 * frame),
        ),
        is_control: true,
    }
}

fn revisions(size: &PlannedSize, measurements: &Measurements) -> RoleCost {
    let changes = size.changes_per_day / SECONDS_PER_DAY;
    let pushes = GOSSIP_FANOUT * measurements.message_bytes("push of a revision");
    let bytes = changes * (measurements.message_bytes("change of one row") + pushes);
    // Two copies of the table while it changes, plus the index of keys and the last 64 changes.
    let memory = measurements.row_bytes.at(size.rows()) * 3.0;
    RoleCost {
        name: "table revisions",
        mechanism: "two watchers a domain, pushes to 3, digests; changes of rows travel, checked \
                    by content hash",
        measurements: "table row bytes, change in force ns, message bytes",
        memory_mb: memory / BYTES_PER_MB,
        sent_bytes_per_s: bytes,
        received_bytes_per_s: bytes,
        core_percent: percent(changes * measurements.adopt_ns.at(size.rows())),
        is_control: true,
    }
}

fn limits(measurements: &Measurements) -> RoleCost {
    let requests = LIMITS_IN_USE * GRANT_REQUESTS_PER_S;
    let sent = requests
        * (measurements.message_bytes("grant asked")
            + measurements.message_bytes("grant answered"));
    // A bucket holds a share for each host of the failure domain that requests units.
    let memory = measurements.limit_bytes.per_item * LIMITS_IN_USE * (1.0 + 37.0);
    let frame = measurements
        .frame_ns
        .at(measurements.message_bytes("grant asked"));
    RoleCost {
        name: "limit buckets",
        mechanism: "one bucket host a domain and limit; hosts own a quarter for good",
        measurements: "limit bytes, grant ns, message bytes",
        memory_mb: memory / BYTES_PER_MB,
        sent_bytes_per_s: sent,
        received_bytes_per_s: sent,
        core_percent: percent(requests * (measurements.grant_ns.at(37.0) + 2.0 * frame)),
        is_control: true,
    }
}

fn suspects(measurements: &Measurements) -> RoleCost {
    RoleCost {
        name: "suspects",
        mechanism: "at most 4,096 fingerprints, told as rumors",
        measurements: "suspect bytes",
        memory_mb: measurements.suspect_bytes.at(4_096.0) / BYTES_PER_MB,
        sent_bytes_per_s: 0.0,
        received_bytes_per_s: 0.0,
        core_percent: 0.0,
        is_control: true,
    }
}

fn claims(size: &PlannedSize) -> RoleCost {
    let calls = size.host_requests_per_s() * size.claimed_fraction;
    RoleCost {
        name: "claims, 1 request in 100",
        mechanism: "no state at the host; two writes to the store for each call",
        measurements: "bytes and ns of one call over HTTP",
        memory_mb: 0.0,
        sent_bytes_per_s: calls * 2.0 * STORE_CALL_BYTES / 2.0,
        received_bytes_per_s: calls * 2.0 * STORE_CALL_BYTES / 2.0,
        core_percent: percent(calls * 2.0 * POLL_CPU_NS),
        is_control: false,
    }
}

/// Returns a role without name or texts, with the cost of polling backend servers over HTTP.
fn polling(polls_per_s: f64) -> RoleCost {
    RoleCost {
        name: "",
        mechanism: "",
        measurements: "",
        memory_mb: 0.0,
        sent_bytes_per_s: polls_per_s * POLL_BYTES / 2.0,
        received_bytes_per_s: polls_per_s * POLL_BYTES / 2.0,
        core_percent: percent(polls_per_s * POLL_CPU_NS),
        is_control: true,
    }
}

/// Estimates the cost at the lease holder, the one host of a failure domain that gives orders,
/// while a roll-out runs.
fn orders() -> RoleCost {
    let polls = MAX_CONCURRENT_LOADS * LEASE_HOLDER_ROUNDS_PER_S;
    RoleCost {
        name: "order-giving (one host a domain)",
        mechanism: "asks runners with an order on its way twice a second, at most two of the fleet",
        measurements: "bytes and ns of one question over HTTP",
        memory_mb: 0.1,
        ..polling(polls)
    }
}

fn telemetry(size: &PlannedSize) -> RoleCost {
    let records = size.host_requests_per_s() * RECORDS_PER_REQUEST;
    RoleCost {
        name: "telemetry",
        mechanism: "rings of 4,096 spans and 4,096 decisions; pages are read by others",
        measurements: "bytes of one record, times the rings",
        memory_mb: 2.0 * 4_096.0 * RECORD_BYTES / BYTES_PER_MB,
        sent_bytes_per_s: 0.0,
        received_bytes_per_s: 0.0,
        core_percent: percent(records * RECORD_CPU_NS),
        is_control: true,
    }
}

/// Estimates the cost of callers' connections, from measurements of one host at its planned share
/// of the load.
fn caller_edge(size: &PlannedSize) -> RoleCost {
    let requests = size.host_requests_per_s();
    RoleCost {
        name: "caller edge",
        mechanism: "a worker and a reader thread for each stream",
        measurements: "memory and processor time of one request, measured over processes",
        memory_mb: EDGE_STREAMS * EDGE_MB_PER_STREAM,
        sent_bytes_per_s: size.tokens_per_s / size.hosts * EDGE_BYTES_PER_TOKEN,
        received_bytes_per_s: requests * EDGE_PROMPT_BYTES,
        core_percent: requests * EDGE_CORE_PERCENT_PER_REQUEST,
        is_control: false,
    }
}

fn percent(ns_per_s: f64) -> f64 {
    ns_per_s / 1e9 * 100.0
}
