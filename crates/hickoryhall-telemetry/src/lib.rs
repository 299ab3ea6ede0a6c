//! Logs, metrics, traces and decision records.
//!
//! ```
//! use hickoryhall_telemetry::TraceContext;
//!
//! let parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
//! let context = TraceContext::parse(parent).expect("valid trace parent");
//! assert_eq!(context.trace_id(), "4bf92f3577b34da6a3ce929d0e0e4736");
//! ```

mod decisions;
mod logs;
mod metrics_page;
mod trace;

pub use decisions::{CandidateRecord, DecisionLog, DecisionRecord};
pub use logs::{LogFormat, LogGuard, root_logger, root_logger_with_guard};
pub use metrics_page::{MetricsError, MetricsPage};
pub use trace::{Span, SpanLog, SpanRecord, TraceContext};
