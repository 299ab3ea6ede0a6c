//! Fixtures that several scheduler tests share.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_gateway::registry::BackendServer;
use hickoryhall_gateway::scheduler::{PlacementRequest, PromptInfo};
use hickoryhall_gateway::table::{
    CallerLimits, Omissions, RouteTable, RunnerCapacity, ServiceInfo, TableParts,
};
use hickoryhall_routing::{Level, PrefixChain};

/// Returns a model service with the given capacity per runner.
pub fn model_service(slots: u32, kv_cache_tokens: u32) -> ServiceInfo {
    ServiceInfo {
        runner_capacity: Some(RunnerCapacity {
            slots,
            kv_cache_tokens,
            kv_token_bytes: 163_840.0,
            link_mbps: 550_000.0,
        }),
        ..ServiceInfo::default()
    }
}

/// Returns a model request of 800 tokens that the service `models` gets.
pub fn placement_request(attempt_id: u64, levels: Vec<Level>, now: Instant) -> PlacementRequest {
    PlacementRequest {
        attempt_id,
        service: "models".into(),
        priority: (1, 0),
        prompt: Some(PromptInfo {
            model: "m".into(),
            input_tokens: 800,
            chain: PrefixChain::from_levels(levels),
            output_tokens: 50,
        }),
        is_resumable: true,
        arrived_at: now,
        target_latency: Duration::from_millis(400),
        deadline: now + Duration::from_secs(15),
        excluded_servers: Vec::new(),
        software: None,
        suspect: None,
    }
}

/// Returns a route table that has only services.
pub fn table_of(services: impl IntoIterator<Item = (&'static str, ServiceInfo)>) -> RouteTable {
    let services = services.into_iter();
    RouteTable::from(TableParts {
        revision: 1,
        routes: Vec::new(),
        services: services
            .map(|(name, info)| (name.into(), info))
            .collect::<HashMap<_, _>>(),
        workspaces: Vec::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            idle_timeout: Duration::ZERO,
        },
        omissions: Omissions::default(),
    })
}

/// Returns the registry entry of the runner with the given number, which serves the service
/// `models`.
pub fn runner(number: usize, slots: u32) -> BackendServer {
    BackendServer {
        id: format!("runner-{number}").as_str().into(),
        service: "models".into(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        domain: "a".into(),
        slots,
        is_leaving: false,
        models: vec![("m".into(), 1)],
        software: "v1".into(),
        incarnation: 1,
    }
}
