//! Reads and checks the settings file of a gateway host, which is JSON.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use hickoryhall_limits::{FleetRetryLimit, HostBudgets};
use hickoryhall_routing::CrossingConfig;
use hickoryhall_telemetry::LogFormat;
use serde::Deserialize;

/// Fraction of [`Bounds::weights_limit`] during which runners with replaced weights still get
/// requests. The rest covers the wait at a busy runner, which a large fleet underestimates by a
/// second.
const OLD_WEIGHTS_FRACTION: f64 = 0.85;

/// Time before [`Bounds::weights_limit`] by which streams on replaced weights must have begun: it covers the
/// time in which a host learns of a version, and the way of a cancellation to the runner.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(400);

/// Round trip between two failure domains: twice the latency of 1.4 ms, rounded up.
const DOMAIN_ROUND_TRIP: Duration = Duration::from_millis(3);

/// Longest duration in the settings; longer ones would overflow the points in time derived from
/// them.
const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Least memory of a machine, in MiB: twice what an idle host uses.
const MIN_MEMORY_MB: usize = 16;
/// Least number of file descriptors: what the host needs for itself, and some callers.
const MIN_FILE_DESCRIPTORS: usize = 128;

/// The settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not JSON, lacks a field or has a value of the wrong type.
    #[error("settings {path}: {source}")]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser, with line and column.
        source: serde_json::Error,
    },
    /// A value is empty or out of range.
    #[error("settings {path}: {field}: {reason}")]
    Unusable {
        /// Path of the file.
        path: PathBuf,
        /// Path of the field, such as `bounds.grace_s`.
        field: &'static str,
        /// What is wrong with the value.
        reason: String,
    },
}

/// Settings of one host; unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Unique name of the host, not empty.
    pub host: String,
    /// Failure domain of the host, not empty.
    pub failure_domain: String,
    /// Address of the host, at which peers reach it.
    pub ip: Ipv4Addr,
    /// Address at which callers' requests are accepted.
    pub callers: SocketAddr,
    /// Address of the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// First port reserved for the protocol between hosts, below 65535: it is used for TCP and UDP, and the
    /// next one for forwarded requests.
    pub peer_port: u16,
    /// Port of the metrics page at the host's address; without it, no metrics are served.
    #[serde(default)]
    pub metrics_port: Option<u16>,
    /// Addresses of some peers, through which the host finds the others.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Whether the whole fleet starts for the first time, so that there are no earlier streams.
    #[serde(default)]
    pub is_first_start: bool,
    /// Output format of the log.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Time limits and retry limits that the host observes.
    pub bounds: Bounds,
    /// Limits of the machine.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Price of traffic between failure domains; without it, another domain has a fixed cost.
    #[serde(default)]
    pub crossing: Option<Crossing>,
}

/// Limits of the machine that a host runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "StatedLimits")]
pub struct MachineLimits {
    /// Memory of the machine for the process, in MiB; at least 16.
    pub memory_mb: usize,
    /// Number of file descriptors that the process may have open; at least 128.
    pub file_descriptors: usize,
}

/// Limits of the machine as the settings state them; missing or `null` where the platform does not.
#[derive(Clone, Copy, Deserialize)]
struct StatedLimits {
    #[serde(default)]
    memory_mb: Option<usize>,
    #[serde(default)]
    file_descriptors: Option<usize>,
}

impl From<StatedLimits> for MachineLimits {
    fn from(stated: StatedLimits) -> Self {
        let default = Self::default();
        Self {
            memory_mb: stated.memory_mb.unwrap_or(default.memory_mb),
            file_descriptors: stated.file_descriptors.unwrap_or(default.file_descriptors),
        }
    }
}

impl Default for MachineLimits {
    /// Returns the limits of the smallest machine of the first deployment.
    fn default() -> Self {
        Self {
            memory_mb: 88,
            file_descriptors: 4_100,
        }
    }
}

impl MachineLimits {
    /// Returns the parts of the memory and of the descriptors that each use may take.
    #[must_use]
    pub fn budgets(&self) -> HostBudgets {
        HostBudgets::new(
            self.memory_mb.saturating_mul(1 << 20),
            self.file_descriptors,
        )
    }
}

/// Price of traffic between failure domains.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Crossing {
    /// Price of a megabyte, as milliseconds that a caller waits; not negative.
    pub ms_per_mb: f64,
}

/// Time limits and retry limits that a host observes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Bounds {
    /// Time from a stop signal until the process is killed, in seconds; above 0.
    pub grace_s: f64,
    /// Retries that the fleet may make per request of a service within the window; not negative.
    pub retry_ratio: f64,
    /// Retries of a service that the fleet may make within the window in addition; not negative.
    pub retry_extra: f64,
    /// Window over which requests and retries are counted, in seconds; above 0.
    pub retry_window_s: f64,
    /// Least time between the orders of two successive lease holders, in milliseconds; above 0.
    pub lease_ms: u64,
    /// Shortest lease that the store grants, in milliseconds.
    pub lease_min_ms: u64,
    /// Time within which runners must have a new desired version of their weights, in milliseconds;
    /// above 0.
    pub weights_ms: u64,
}

impl Crossing {
    /// Returns the prices for the scheduler.
    #[must_use]
    pub fn prices(&self) -> CrossingConfig {
        CrossingConfig {
            ms_per_mb: self.ms_per_mb,
            round_trip: DOMAIN_ROUND_TRIP,
        }
    }
}

impl Bounds {
    /// Returns the time from a stop signal until the process is killed.
    #[must_use]
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the retry budget that the fleet has for each service.
    #[must_use]
    pub fn retry_limit(&self) -> FleetRetryLimit {
        FleetRetryLimit {
            ratio: self.retry_ratio,
            extra_retries: self.retry_extra,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }

    /// Returns the least time between the orders of two successive lease holders.
    #[must_use]
    pub fn handover(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the shortest lease that the store grants.
    #[must_use]
    pub fn min_lease(&self) -> Duration {
        Duration::from_millis(self.lease_min_ms)
    }

    /// Returns the time after which runners with replaced weights get no more requests.
    #[must_use]
    pub fn old_weights_limit(&self) -> Duration {
        self.weights_limit().mul_f64(OLD_WEIGHTS_FRACTION)
    }

    /// Returns the time by which streams on replaced weights must have begun.
    #[must_use]
    pub fn old_weights_end(&self) -> Duration {
        self.weights_limit().saturating_sub(OLD_WEIGHTS_MARGIN)
    }

    /// Returns the time within which runners must have a new desired version of their weights.
    #[must_use]
    pub fn weights_limit(&self) -> Duration {
        Duration::from_millis(self.weights_ms)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the field if a value is invalid.
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

    /// Returns the first field with an invalid value, and what is wrong with it.
    fn check(&self) -> Result<(), (&'static str, String)> {
        if self.host.is_empty() {
            return Err(("host", "must not be empty".to_owned()));
        }
        if self.failure_domain.is_empty() {
            return Err(("failure_domain", "must not be empty".to_owned()));
        }
        if self.peer_port == u16::MAX {
            return Err(("peer_port", "must be below 65535".to_owned()));
        }
        let bounds = &self.bounds;
        let MachineLimits {
            memory_mb,
            file_descriptors,
        } = self.limits;
        let at_least = [
            ("limits.memory_mb", memory_mb, MIN_MEMORY_MB),
            (
                "limits.file_descriptors",
                file_descriptors,
                MIN_FILE_DESCRIPTORS,
            ),
        ];
        for (field, value, least) in at_least {
            if value < least {
                return Err((field, format!("must be at least {least}, not {value}")));
            }
        }
        let positive = [
            ("bounds.grace_s", bounds.grace_s),
            ("bounds.retry_window_s", bounds.retry_window_s),
            ("bounds.lease_ms", bounds.lease_ms as f64),
            ("bounds.weights_ms", bounds.weights_ms as f64),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err((field, format!("must be greater than 0, not {value}")));
            }
        }
        let durations_s = [
            ("bounds.grace_s", bounds.grace_s),
            ("bounds.retry_window_s", bounds.retry_window_s),
            ("bounds.lease_ms", bounds.lease_ms as f64 / 1_000.0),
            ("bounds.lease_min_ms", bounds.lease_min_ms as f64 / 1_000.0),
            ("bounds.weights_ms", bounds.weights_ms as f64 / 1_000.0),
        ];
        for (field, value_s) in durations_s {
            let limit_s = MAX_DURATION.as_secs_f64();
            if value_s > limit_s {
                return Err((
                    field,
                    format!("must be at most {limit_s} s, not {value_s} s"),
                ));
            }
        }
        let ms_per_mb = self.crossing.map_or(0.0, |crossing| crossing.ms_per_mb);
        let not_negative = [
            ("crossing.ms_per_mb", ms_per_mb),
            ("bounds.retry_ratio", bounds.retry_ratio),
            ("bounds.retry_extra", bounds.retry_extra),
        ];
        for (field, value) in not_negative {
            if !value.is_finite() || value < 0.0 {
                return Err((field, format!("must be at least 0, not {value}")));
            }
        }
        Ok(())
    }

    /// Returns the port at which hosts take requests that peers forward.
    #[must_use]
    pub fn forwarding_port(&self) -> u16 {
        self.peer_port.saturating_add(1)
    }

    /// Returns the IPv4 addresses of the seeds without their ports; IPv6 seeds are left out.
    #[must_use]
    pub fn seed_ips(&self) -> Vec<Ipv4Addr> {
        let seeds = self.seeds.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed.ip()),
            SocketAddr::V6(_) => None,
        });
        seeds.collect()
    }
}
