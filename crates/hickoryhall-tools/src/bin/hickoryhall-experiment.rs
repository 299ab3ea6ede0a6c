//! Compares placement policies under virtual time.

use std::time::Duration;

use hickoryhall_routing::{BaselineKind, CostModel};
use hickoryhall_standins::engine::EngineConfig;
use hickoryhall_tools::experiment::{Fault, Policy, Scenario, run};
use hickoryhall_tools::workload::Profile;

fn main() {
    let n: usize = 9;
    for profile in [Profile::karoo(), Profile::valenza()] {
        for (cache, part) in [("ample", 1.5), ("short", 0.4)] {
            let cache_tokens = (profile.distinct_tokens() as f64 * part / n as f64) as u64;
            let engine = EngineConfig {
                cache_tokens,
                ..EngineConfig::default()
            };
            let mut scenario = Scenario {
                profile: profile.clone(),
                requests_per_s: 2.0 * n as f64 / 9.0,
                engine,
                runners: n,
                hosts: n * 2 / 3,
                length: Duration::from_secs(240),
                warm_up: Duration::from_secs(120),
                cost: CostModel::default(),
                fault: Fault::None,
                seed: 1,
            };
            let exact = Policy::Baseline(BaselineKind::Exact);
            let (low, _) = run(&scenario, exact);
            let capacity = n as f64 * 16_000.0 / low.mean_missing_tokens() / 0.9;
            for load in [0.2, 0.7, 0.95] {
                scenario.requests_per_s = capacity * load;
                println!(
                    "{} {cache} load {load} rate {:.1}",
                    profile.name, scenario.requests_per_s
                );
                for policy in Policy::ALL {
                    let (outcome, _) = run(&scenario, policy);
                    let s = outcome.summary();
                    println!(
                        "  {:28} hit {:.3} p50 {:7.3} p95 {:7.3} p99 {:7.3} wasted {:.3} n {} lost {}",
                        policy.name(),
                        s.hit_rate,
                        s.ttft_p50.as_secs_f64(),
                        s.ttft_p95.as_secs_f64(),
                        s.ttft_p99.as_secs_f64(),
                        s.wasted,
                        s.requests,
                        s.lost
                    );
                }
            }
        }
    }
}
