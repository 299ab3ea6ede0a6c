//! Renders the decisions that a host made for a request.

use hickoryhall_telemetry::DecisionRecord;

/// Renders the decisions for a request in the order of `records`, with the candidates of each.
#[must_use]
pub fn render(records: &[DecisionRecord]) -> String {
    let Some(first) = records.first() else {
        return "No decision on this request is on record here.\n".to_owned();
    };
    let mut output = format!("request {} at {}\n", first.request_id, first.host);
    for record in records {
        output.push_str(&format!(
            "{:>10.1} ms  {:<12} {:<12} {}\n",
            record.after_us as f64 / 1_000.0,
            record.decision,
            record.server,
            record.reason,
        ));
        for candidate in &record.candidates {
            output.push_str(&format!(
                "               {:<12} wait {:.0} ms, recompute {:.0} ms, eviction {:.0} ms, network {:.1} ms\n",
                candidate.server,
                candidate.wait_ms,
                candidate.recompute_ms,
                candidate.eviction_ms,
                candidate.network_ms,
            ));
        }
    }
    output
}
