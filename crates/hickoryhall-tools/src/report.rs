//! Renders the results of load runs for a terminal.

use crate::load::LoadReport;

/// Renders one report, one figure per line.
#[must_use]
pub fn render(report: &LoadReport) -> String {
    let mut output = String::new();
    for (name, value) in figures(report) {
        output.push_str(&format!("{name:<28} {value:>12.3}\n"));
    }
    for (code, count) in &report.refused {
        output.push_str(&format!("refused {code:<20} {count:>12}\n"));
    }
    output
}

/// Renders two reports side by side, with the ratio of the second to the first.
#[must_use]
pub fn compare(before: &LoadReport, after: &LoadReport) -> String {
    let mut output = format!(
        "{:<28} {:>12} {:>12} {:>8}\n",
        "", "before", "after", "ratio"
    );
    for ((name, before), (_, after)) in figures(before).into_iter().zip(figures(after)) {
        let ratio = if before == 0.0 {
            f64::NAN
        } else {
            after / before
        };
        output.push_str(&format!(
            "{name:<28} {before:>12.3} {after:>12.3} {ratio:>8.3}\n"
        ));
    }
    output
}

fn figures(report: &LoadReport) -> [(&'static str, f64); 11] {
    [
        ("requests sent", report.sent as f64),
        ("not sent", report.not_sent as f64),
        ("model answers", report.answered as f64),
        ("service answers", report.service_answered as f64),
        ("broken", report.broken as f64),
        ("refused", report.refused.values().sum::<u64>() as f64),
        ("prefix hit rate", report.hit_rate),
        ("first token p50, ms", report.ttft_p50_ms),
        ("first token p95, ms", report.ttft_p95_ms),
        ("first token p99, ms", report.ttft_p99_ms),
        ("service p99, ms", report.service_p99_ms),
    ]
}
