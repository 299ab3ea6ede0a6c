//! Servers that say that they want no more requests from this host.

mod support;

use std::time::{Duration, Instant};

use hickoryhall_gateway::core::{Core, CoreConfig};
use hickoryhall_gateway::interface::{ResponseId, ResponseMeta};
use hickoryhall_gateway::outcome::ResponseKind;
use hickoryhall_gateway::peers::Digest;
use hickoryhall_gateway::registry::BackendServer;
use hickoryhall_gateway::scheduler::SchedulerConfig;
use hickoryhall_limits::FleetRetryLimit;
use support::{model_service, runner, table_of};

fn host(number: u64) -> Core {
    let config = CoreConfig {
        host: number,
        scheduler: SchedulerConfig::new(number, "a".into()),
        retry_limit: FleetRetryLimit {
            ratio: 0.2,
            extra_retries: 50.0,
            window: Duration::from_secs(10),
        },
    };
    let mut core = Core::new(config, slog::Logger::root(slog::Discard, slog::o!()));
    core.set_table(table_of([("models", model_service(8, 90_000))]));
    core
}

fn response_meta() -> ResponseMeta {
    ResponseMeta {
        id: ResponseId::Matching,
        is_sealed: true,
        says_not_run: false,
        is_encoded: false,
        load: None,
        weights: None,
        closes_connection: false,
        keep_alive: None,
        is_leaving: true,
    }
}

fn is_leaving(core: &Core, now: Instant) -> bool {
    let runners = core.runners(now);
    runners[0].server.is_leaving
}

#[test]
fn each_kind_of_answer_that_says_so_counts() {
    let now = Instant::now();
    for (kind, counts) in [
        (ResponseKind::Success, true),
        (ResponseKind::Failure, true),
        (ResponseKind::NotRun, true),
        (ResponseKind::WrongServer, false),
        (ResponseKind::Unproven, false),
        (ResponseKind::Invalid, false),
    ] {
        let mut core = host(1);
        core.on_registry_entry(runner(1, 8));
        core.on_response_head(now, &runner(1, 8), kind, &response_meta());
        assert_eq!(is_leaving(&core, now), counts, "{kind:?}");
    }
}

#[test]
fn peers_learn_that_a_server_leaves() {
    let now = Instant::now();
    let mut first = host(1);
    first.on_registry_entry(runner(1, 8));
    first.on_response_head(now, &runner(1, 8), ResponseKind::Success, &response_meta());
    let digests = [first.heartbeat(now, 1), first.digest(now, 1)];
    for digest in digests {
        let (digest, _) = Digest::decode(&digest.encode(&[])).expect("a digest");
        let mut registered = host(2);
        registered.on_registry_entry(runner(1, 8));
        registered.on_digest(now, &digest);
        assert!(is_leaving(&registered, now));
        let mut not_registered = host(3);
        not_registered.on_digest(now, &digest);
        not_registered.on_registry_entry(runner(1, 8));
        assert!(is_leaving(&not_registered, now));
        // A digest that was sent before the server started again.
        let restarted = BackendServer {
            incarnation: 2,
            ..runner(1, 8)
        };
        registered.on_registry_entry(restarted);
        registered.on_digest(now, &digest);
        assert!(!is_leaving(&registered, now));
    }
}
