//! Settings of a gateway host, in JSON.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use hickoryhall_limits::FleetRetryLimit;
use hickoryhall_telemetry::LogFormat;
use serde::Deserialize;

/// Part of the time for new weights in which old ones take requests; the rest covers the wait at a
/// busy runner, which a large fleet's estimates miss by a second.
const OLD_WEIGHTS_PART: f64 = 0.85;

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings {path}: {source}")]
    Unreadable {
        /// Path.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not JSON, or lacks a field.
    #[error("settings {path}: {source}")]
    Malformed {
        /// Path.
        path: PathBuf,
        /// Cause, with line and column.
        source: serde_json::Error,
    },
    /// A value cannot be used.
    #[error("settings {path}: {field}: {reason}")]
    Unusable {
        /// Path.
        path: PathBuf,
        /// Field.
        field: &'static str,
        /// What is wrong.
        reason: String,
    },
}

/// Settings of one host; fields that are not known are ignored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the balancer asks whether the host takes connections.
    pub readiness: SocketAddr,
    /// First port for the protocol between hosts; it needs one, over TCP and UDP.
    pub peer_port: u16,
    /// Port for metrics, on the host's address; none are served without it.
    #[serde(default)]
    pub metrics_port: Option<u16>,
    /// Addresses of some hosts.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Form of the log.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Bounds that the host keeps.
    pub bounds: Bounds,
}

/// Bounds that a host keeps.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Bounds {
    /// Time from a stop signal to the end of the process by force, in seconds.
    pub grace_s: f64,
    /// Retries of the fleet for each request.
    pub retry_ratio: f64,
    /// Retries of the fleet beside.
    pub retry_extra: f64,
    /// Window in which retries count, in seconds.
    pub retry_window_s: f64,
    /// Time between orders of two holders, in milliseconds.
    pub lease_ms: u64,
    /// Shortest lease that the store gives, in milliseconds.
    pub lease_min_ms: u64,
    /// Time in which runners must have new weights, in milliseconds.
    pub weights_ms: u64,
}

impl Bounds {
    /// Returns the time from a stop signal to the end of the process by force.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the fleet's retry budget.
    #[must_use]
    pub fn retries(&self) -> FleetRetryLimit {
        FleetRetryLimit {
            ratio: self.retry_ratio,
            extra: self.retry_extra,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }

    /// Returns the time between orders of two holders.
    #[must_use]
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the shortest lease that the store gives.
    #[must_use]
    pub fn lease_min(&self) -> Duration {
        Duration::from_millis(self.lease_min_ms)
    }

    /// Returns the time after which replaced weights take no more requests.
    #[must_use]
    pub fn old_weights_limit(&self) -> Duration {
        self.weights().mul_f64(OLD_WEIGHTS_PART)
    }

    /// Returns the time in which runners must have new weights.
    #[must_use]
    pub fn weights(&self) -> Duration {
        Duration::from_millis(self.weights_ms)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the field where there is one.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        let settings = serde_json::from_slice::<Self>(&text);
        let settings = settings.map_err(|source| SettingsError::Malformed {
            path: path.to_owned(),
            source,
        })?;
        settings
            .check()
            .map_err(|(field, reason)| SettingsError::Unusable {
                path: path.to_owned(),
                field,
                reason,
            })?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), (&'static str, String)> {
        if self.host.is_empty() {
            return Err(("host", "is empty".to_owned()));
        }
        if self.failure_domain.is_empty() {
            return Err(("failure_domain", "is empty".to_owned()));
        }
        let bounds = &self.bounds;
        let positive = [
            ("bounds.grace_s", bounds.grace_s),
            ("bounds.retry_window_s", bounds.retry_window_s),
            ("bounds.lease_ms", bounds.lease_ms as f64),
            ("bounds.weights_ms", bounds.weights_ms as f64),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err((field, format!("{value} is not above 0")));
            }
        }
        let not_negative = [
            ("bounds.retry_ratio", bounds.retry_ratio),
            ("bounds.retry_extra", bounds.retry_extra),
        ];
        for (field, value) in not_negative {
            if !value.is_finite() || value < 0.0 {
                return Err((field, format!("{value} is below 0")));
            }
        }
        Ok(())
    }

    /// Returns the addresses of the hosts that this one starts with.
    #[must_use]
    pub fn seed_ips(&self) -> Vec<Ipv4Addr> {
        let seeds = self.seeds.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed.ip()),
            SocketAddr::V6(_) => None,
        });
        seeds.collect()
    }
}
