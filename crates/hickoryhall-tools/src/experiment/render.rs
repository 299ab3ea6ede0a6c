//! Renders the results of the simulations as Markdown tables and an SVG plot.

use super::suite::{EXACT, FaultRow, LEAST_LOAD, RENDEZVOUS, Row, Setting, TRACKED};
use super::{Policy, Summary};

/// Renders the comparison of the policies as a Markdown table.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let mut output = String::from(
        "| deployment | cache | load | requests/s | policy | hit rate | p50 s | p95 s | p99 s | wasted |\n\
         |---|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let setting = &row.setting;
        output.push_str(&format!(
            "| {} | {} | {:.0} % | {:.1} | {} | {:.3} | {} | {} | {} | {:.3} |\n",
            setting.profile.name,
            setting.cache.name,
            setting.load * 100.0,
            setting.requests_per_s,
            row.policy.name(),
            row.mean(|s| s.hit_rate),
            format_seconds(row.mean(|s| s.ttft_p50.as_secs_f64())),
            format_seconds(row.mean(|s| s.ttft_p95.as_secs_f64())),
            format_seconds(row.p99_s()),
            row.mean(|s| s.wasted_fraction),
        ));
    }
    output
}

/// Renders a Markdown table that compares the product with its performance goals in each setting.
#[must_use]
pub fn goals(rows: &[Row]) -> String {
    let mut output = String::from(
        "| deployment | cache | load | hit rate - exact (aim >= 0) | p99 / exact (aim <= 1.3) | \
         p99 / least load (aim <= 0.6) | p99 / rendezvous (aim <= 0.6) | wasted / least load \
         (aim <= 0.333) |\n|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows.iter().filter(|row| row.policy == TRACKED) {
        let setting = &row.setting;
        let other = |policy| find_row(rows, setting, policy);
        let (Some(exact), Some(least), Some(rendezvous)) =
            (other(EXACT), other(LEAST_LOAD), other(RENDEZVOUS))
        else {
            continue;
        };
        let wasted = row.mean(|s| s.wasted_fraction) / least.mean(|s| s.wasted_fraction).max(1e-9);
        output.push_str(&format!(
            "| {} | {} | {:.0} % | {} | {} | {} | {} | {} |\n",
            setting.profile.name,
            setting.cache.name,
            setting.load * 100.0,
            with_verdict(row.mean(|s| s.hit_rate) - exact.mean(|s| s.hit_rate), |v| v
                >= -0.0005),
            with_verdict(row.p99_s() / exact.p99_s(), |v| v <= 1.3),
            with_verdict(row.p99_s() / least.p99_s(), |v| v <= 0.6),
            with_verdict(row.p99_s() / rendezvous.p99_s(), |v| v <= 0.6),
            with_verdict(wasted, |v| v <= 1.0 / 3.0),
        ));
    }
    output
}

/// Renders the effect of faults as a Markdown table.
#[must_use]
pub fn faults(rows: &[FaultRow]) -> String {
    let mut output = String::from(
        "| deployment | fault | hit rate 10 s before | 10 s after | later | p99 s before | after | \
         later |\n|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let hit_rate = |s: &Summary| format!("{:.3}", s.hit_rate);
        let p99 = |s: &Summary| format_seconds(s.ttft_p99.as_secs_f64());
        output.push_str(&format!(
            "| {} | {} | {} | {} | {} | {} | {} | {} |\n",
            row.profile,
            row.name,
            hit_rate(&row.before),
            hit_rate(&row.after),
            hit_rate(&row.later),
            p99(&row.before),
            p99(&row.after),
            p99(&row.later),
        ));
    }
    output
}

/// Renders the effect of one workspace's flood on the others as a Markdown table.
#[must_use]
pub fn flood(rows: &[(Setting, Summary, Summary)]) -> String {
    let mut output = String::from(
        "| deployment | p99 s without a flood | with a flood | ratio (aim <= 1.5) | not answered |\n\
         |---|---|---|---|---|\n",
    );
    for (setting, without_flood, with_flood) in rows {
        let (without_flood_s, with_flood_s) = (
            without_flood.ttft_p99.as_secs_f64(),
            with_flood.ttft_p99.as_secs_f64(),
        );
        output.push_str(&format!(
            "| {} | {} | {} | {} | {} of {} |\n",
            setting.profile.name,
            format_seconds(without_flood_s),
            format_seconds(with_flood_s),
            with_verdict(with_flood_s / without_flood_s, |v| v <= 1.5),
            with_flood.lost,
            with_flood.requests + with_flood.lost,
        ));
    }
    output
}

/// Renders an SVG plot of the hit rate against the 99th percentile of the time to the first token,
/// with one point for each policy and setting.
#[must_use]
pub fn plot(rows: &[Row]) -> String {
    const WIDTH: f64 = 900.0;
    const HEIGHT: f64 = 520.0;
    const MARGIN: f64 = 60.0;
    const COLOURS: [&str; 7] = [
        "#999999", "#d95f02", "#7570b3", "#000000", "#a6761d", "#66a61e", "#1b9e77",
    ];
    let x = |p99_s: f64| {
        let log = p99_s.clamp(0.01, 200.0).log10();
        MARGIN + (log + 2.0) / 4.31 * (WIDTH - 2.0 * MARGIN)
    };
    let y = |hit_rate: f64| HEIGHT - MARGIN - hit_rate * (HEIGHT - 2.0 * MARGIN);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>\n\
         <text x=\"{}\" y=\"{}\">99th percentile of the time to the first token, seconds \
         (right edge: overloaded)</text>\n\
         <text x=\"10\" y=\"20\">prefix hit rate</text>\n",
        WIDTH / 3.0,
        HEIGHT - 10.0,
    );
    for tick in [0.01, 0.1, 1.0, 10.0, 100.0] {
        svg.push_str(&line([x(tick), y(0.0), x(tick), y(1.0)]));
        svg.push_str(&text(
            x(tick) - 8.0,
            y(0.0) + 16.0,
            &tick.to_string(),
            "#555",
        ));
    }
    for tick in [0.0, 0.25, 0.5, 0.75, 1.0] {
        svg.push_str(&line([x(0.01), y(tick), x(200.0), y(tick)]));
        svg.push_str(&text(20.0, y(tick) + 4.0, &format!("{tick:.2}"), "#555"));
    }
    for row in rows {
        let index = Policy::ALL
            .iter()
            .position(|&policy| policy == row.policy)
            .unwrap_or(0);
        svg.push_str(&format!(
            "<circle cx=\"{:.1}\" cy=\"{:.1}\" r=\"5\" fill=\"{}\" fill-opacity=\"0.7\"/>\n",
            x(row.p99_s()),
            y(row.mean(|s| s.hit_rate)),
            COLOURS[index],
        ));
    }
    for (index, policy) in Policy::ALL.iter().enumerate() {
        let top = HEIGHT / 2.0 + 18.0 * index as f64;
        svg.push_str(&text(MARGIN + 20.0, top, &policy.name(), COLOURS[index]));
    }
    svg.push_str("</svg>\n");
    svg
}

fn line([x1, y1, x2, y2]: [f64; 4]) -> String {
    format!("<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"#ddd\"/>\n")
}

fn text(x: f64, y: f64, text: &str, colour: &str) -> String {
    format!("<text x=\"{x:.1}\" y=\"{y:.1}\" fill=\"{colour}\">{text}</text>\n")
}

fn find_row<'a>(rows: &'a [Row], setting: &Setting, policy: Policy) -> Option<&'a Row> {
    rows.iter().find(|row| {
        row.policy == policy
            && row.setting.profile.name == setting.profile.name
            && row.setting.cache.name == setting.cache.name
            && row.setting.load == setting.load
    })
}

fn with_verdict(value: f64, meets: impl Fn(f64) -> bool) -> String {
    let verdict = if meets(value) { "met" } else { "**missed**" };
    format!("{value:.3} {verdict}")
}

fn format_seconds(value: f64) -> String {
    if value.is_finite() {
        format!("{value:.3}")
    } else {
        "overloaded".to_owned()
    }
}
