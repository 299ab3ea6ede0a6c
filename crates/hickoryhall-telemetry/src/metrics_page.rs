//! Metrics in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the histogram buckets for durations, in seconds.
const DURATION_BUCKETS_S: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Error of setting up the metrics recorder.
#[derive(Debug, thiserror::Error)]
#[error("failed to set up metrics: {0}")]
pub struct MetricsError(String);

/// Page of this process, which all its hosts share.
static INSTALLED_PAGE: OnceLock<MetricsPage> = OnceLock::new();

/// The metrics of this process, rendered as a page for scraping.
#[derive(Clone, Debug)]
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Installs the metrics recorder of this process and returns its page.
    ///
    /// Several hosts in one process share the page.
    ///
    /// # Errors
    ///
    /// Returns an error if the recorder rejects the histogram bounds.
    pub fn install() -> Result<Self, MetricsError> {
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &DURATION_BUCKETS_S)
            .map_err(|error| MetricsError(error.to_string()))?
            .build_recorder();
        let page = INSTALLED_PAGE.get_or_init(|| {
            let handle = recorder.handle();
            // If the process already has another recorder, that one keeps receiving the metrics and
            // this page stays empty.
            let _ = metrics::set_global_recorder(recorder);
            Self { handle }
        });
        Ok(page.clone())
    }

    /// Renders the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
