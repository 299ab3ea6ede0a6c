//! Metrics in the Prometheus text form.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Bounds of histogram buckets for times, in seconds.
const TIME_BUCKETS_S: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Metrics could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("setting up metrics: {0}")]
pub struct MetricsError(String);

/// Page of the recorder that this process's metrics go to.
static INSTALLED: OnceLock<MetricsPage> = OnceLock::new();

/// The page of this process's metrics.
#[derive(Clone, Debug)]
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Makes this process's metrics go to a page; several hosts in one process share it.
    ///
    /// # Errors
    ///
    /// Returns an error where the histogram bounds are refused.
    pub fn install() -> Result<Self, MetricsError> {
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &TIME_BUCKETS_S)
            .map_err(|error| MetricsError(error.to_string()))?
            .build_recorder();
        let page = INSTALLED.get_or_init(|| {
            let handle = recorder.handle();
            // Metrics of a process that has a recorder already go there, and this page stays empty.
            let _ = metrics::set_global_recorder(recorder);
            Self { handle }
        });
        Ok(page.clone())
    }

    /// Returns the page.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
