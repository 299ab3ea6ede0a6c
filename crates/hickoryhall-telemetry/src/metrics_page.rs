//! Metrics in the Prometheus text form.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Bounds of histogram buckets for times, in seconds.
const TIME_BUCKETS_S: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// Metrics could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("setting up metrics: {0}")]
pub struct MetricsError(String);

/// The page of this process's metrics.
#[derive(Clone, Debug)]
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Makes this process's metrics go to a page; where they already do, the page is empty.
    ///
    /// # Errors
    ///
    /// Returns an error where the histogram bounds are refused.
    pub fn install() -> Result<Self, MetricsError> {
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &TIME_BUCKETS_S)
            .map_err(|error| MetricsError(error.to_string()))?
            .build_recorder();
        let handle = recorder.handle();
        // Several hosts in one process, as in the demo, share the recorder of the first.
        let _ = metrics::set_global_recorder(recorder);
        Ok(Self { handle })
    }

    /// Returns the page.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.render()
    }
}
