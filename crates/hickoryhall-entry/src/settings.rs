//! Settings of an entry host, read from JSON; all problems are reported together.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hickoryhall_limits::FleetShape;
use hickoryhall_membership::HostInfo;
use hickoryhall_telemetry::LogFormat;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

/// Settings of an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this host, unique in the fleet.
    pub host: String,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// HTTP address for callers and operators.
    pub http_address: SocketAddr,
    /// Address for peers, over UDP and TCP.
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's list of hosts and backend servers.
    pub host_list_address: SocketAddr,
    /// Secrets shared by all hosts: the first authenticates sent messages, and received messages
    /// may use any of them.
    pub peer_secrets: Vec<String>,
    /// BLAKE3 hash of the operator key, 64 hex digits.
    pub operator_key_hash: String,
    /// Peers known at startup, before the host list has been read.
    pub peers: Vec<HostInfo>,
    /// Size of the fleet, from which limits per host are derived.
    pub fleet: FleetShape,
    /// Models whose engines do not check fencing numbers; for them, the timing of leases prevents
    /// late orders.
    pub unfenced_models: Vec<String>,
    /// Output format of the log.
    pub log_format: LogFormat,
    /// Limits of this host.
    pub limits: HostLimits,
}

/// Limits of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLimits {
    /// Size limit for the body of a request.
    pub body_bytes: usize,
    /// Largest estimated size of a prompt.
    pub prompt_tokens: u32,
    /// Largest `max_tokens` that a caller may ask for.
    pub output_tokens: u32,
    /// Number of HTTP worker threads, which bounds the concurrent requests.
    pub workers: usize,
    /// Deadline of a request whose caller sets none.
    pub default_deadline: Duration,
    /// Time without a token after which a stream counts as broken.
    pub stream_idle_timeout: Duration,
    /// Rate limit for control messages to all peers together.
    pub control_bytes_per_s: u32,
    /// Round-trip time to another failure domain, which placement adds to the cost.
    pub cross_domain_round_trip: Duration,
}

impl Default for HostLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            prompt_tokens: 200_000,
            output_tokens: 8_192,
            workers: 2_048,
            default_deadline: Duration::from_secs(60),
            stream_idle_timeout: Duration::from_secs(5),
            control_bytes_per_s: 6_000,
            cross_domain_round_trip: Duration::from_millis(1),
        }
    }
}

/// One problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the field, such as `limits.workers`.
    pub path: String,
    /// Description of the problem, without the path.
    pub message: String,
}

/// All problems of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = self
            .0
            .iter()
            .map(|error| format!("{}: {}", error.path, error.message));
        f.write_str(&lines.collect::<Vec<_>>().join("\n"))
    }
}

impl Settings {
    /// Parses and checks settings in JSON.
    ///
    /// # Errors
    ///
    /// Returns every problem found: unknown or missing fields, invalid values and fields that
    /// contradict each other.
    pub fn from_json(text: &str) -> Result<Self, SettingsErrors> {
        let value = serde_json::from_str::<Value>(text).map_err(|error| {
            SettingsErrors(vec![SettingsError {
                path: ".".to_owned(),
                message: error.to_string(),
            }])
        })?;
        let mut reader = FieldReader::new(value, "");
        let settings = Self::read(&mut reader);
        let mut errors = reader.finish();
        if let Some(settings) = &settings {
            errors.extend(settings.find_problems());
        }
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(SettingsErrors(errors)),
        }
    }

    /// Returns example settings with every field, for a host on the local machine.
    #[must_use]
    pub fn example_json() -> String {
        let limits = HostLimits::default();
        let example = json!({
            "host": "entry-a1",
            "failure_domain": "a",
            "http_address": "127.0.0.1:8080",
            "peer_address": "127.0.0.1:7070",
            "store_address": "127.0.0.1:9000",
            "host_list_address": "127.0.0.1:9001",
            "peer_secrets": ["replace this by a long random text"],
            "operator_key_hash": blake3::hash(b"operator").to_hex().as_str(),
            "peers": [
                {"host": "entry-b1", "failure_domain": "b", "peer_address": "127.0.0.1:7071"}
            ],
            "fleet": {"domains": 3, "hosts_per_domain": 2},
            "unfenced_models": [],
            "log_format": "json",
            "limits": {
                "body_bytes": limits.body_bytes,
                "prompt_tokens": limits.prompt_tokens,
                "output_tokens": limits.output_tokens,
                "workers": limits.workers,
                "default_deadline_ms": limits.default_deadline.as_millis() as u64,
                "stream_idle_ms": limits.stream_idle_timeout.as_millis() as u64,
                "control_bytes_per_s": limits.control_bytes_per_s,
                "cross_domain_us": limits.cross_domain_round_trip.as_micros() as u64,
            },
        });
        serde_json::to_string_pretty(&example).expect("an example of plain values")
    }

    /// Returns name, failure domain and address of this host, as peers know it.
    #[must_use]
    pub fn host_info(&self) -> HostInfo {
        HostInfo::new(&self.host, &self.failure_domain, self.peer_address)
    }

    fn read(reader: &mut FieldReader) -> Option<Self> {
        let host = reader.required::<String>("host");
        let failure_domain = reader.required::<String>("failure_domain");
        let http_address = reader.required("http_address");
        let peer_address = reader.required("peer_address");
        let store_address = reader.required("store_address");
        let host_list_address = reader.required("host_list_address");
        let peer_secrets = reader.required("peer_secrets");
        let operator_key_hash = reader.required("operator_key_hash");
        let peers = reader.list("peers", read_peer);
        let fleet = reader.section("fleet", |reader| {
            let domains = reader.required("domains");
            let hosts_per_domain = reader.required("hosts_per_domain");
            Some(FleetShape {
                domains: domains?,
                hosts_per_domain: hosts_per_domain?,
            })
        });
        let unfenced_models = reader.optional("unfenced_models").unwrap_or_default();
        let log_format = reader.optional("log_format").unwrap_or_default();
        let limits = reader.section("limits", |reader| Some(read_limits(reader)));
        Some(Self {
            host: host?,
            failure_domain: failure_domain?,
            http_address: http_address?,
            peer_address: peer_address?,
            store_address: store_address?,
            host_list_address: host_list_address?,
            peer_secrets: peer_secrets?,
            operator_key_hash: operator_key_hash?,
            peers,
            fleet: fleet.or_else(|| reader.missing("fleet"))?,
            unfenced_models,
            log_format,
            limits: limits.unwrap_or_default(),
        })
    }

    fn find_problems(&self) -> Vec<SettingsError> {
        let checks = [
            (self.host.trim().is_empty(), "host", "is empty"),
            (
                self.failure_domain.trim().is_empty(),
                "failure_domain",
                "is empty",
            ),
            (
                self.peer_secrets.is_empty(),
                "peer_secrets",
                "must hold at least one secret",
            ),
            (
                self.peer_secrets.iter().any(|secret| secret.len() < 8),
                "peer_secrets",
                "holds a secret shorter than 8 bytes",
            ),
            (
                self.operator_key_hash.len() != 64
                    || !self
                        .operator_key_hash
                        .bytes()
                        .all(|b| b.is_ascii_hexdigit()),
                "operator_key_hash",
                "is not 64 hex digits",
            ),
            (
                self.fleet.domains == 0,
                "fleet.domains",
                "must be greater than 0",
            ),
            (
                self.fleet.hosts_per_domain == 0,
                "fleet.hosts_per_domain",
                "must be greater than 0",
            ),
            (
                self.limits.workers == 0,
                "limits.workers",
                "must be greater than 0",
            ),
            (
                self.limits.body_bytes == 0,
                "limits.body_bytes",
                "must be greater than 0",
            ),
            (
                self.peers.iter().any(|peer| *peer.id == self.host),
                "peers",
                "must not name this host",
            ),
        ];
        checks
            .into_iter()
            .filter(|(is_invalid, ..)| *is_invalid)
            .map(|(_, path, message)| SettingsError {
                path: path.to_owned(),
                message: message.to_owned(),
            })
            .collect()
    }
}

fn read_peer(reader: &mut FieldReader) -> Option<HostInfo> {
    let host = reader.required::<String>("host");
    let failure_domain = reader.required::<String>("failure_domain");
    let peer_address = reader.required("peer_address");
    Some(HostInfo::new(&host?, &failure_domain?, peer_address?))
}

fn read_limits(reader: &mut FieldReader) -> HostLimits {
    let defaults = HostLimits::default();
    let millis = |value: Option<u64>, default| value.map_or(default, Duration::from_millis);
    HostLimits {
        body_bytes: reader.optional("body_bytes").unwrap_or(defaults.body_bytes),
        prompt_tokens: reader
            .optional("prompt_tokens")
            .unwrap_or(defaults.prompt_tokens),
        output_tokens: reader
            .optional("output_tokens")
            .unwrap_or(defaults.output_tokens),
        workers: reader.optional("workers").unwrap_or(defaults.workers),
        default_deadline: millis(
            reader.optional("default_deadline_ms"),
            defaults.default_deadline,
        ),
        stream_idle_timeout: millis(
            reader.optional("stream_idle_ms"),
            defaults.stream_idle_timeout,
        ),
        control_bytes_per_s: reader
            .optional("control_bytes_per_s")
            .unwrap_or(defaults.control_bytes_per_s),
        cross_domain_round_trip: reader
            .optional("cross_domain_us")
            .map_or(defaults.cross_domain_round_trip, Duration::from_micros),
    }
}

/// Reads fields of a JSON object and collects every error.
///
/// Fields are removed as they are read, so that the remaining ones are unknown.
struct FieldReader {
    path: String,
    fields: Map<String, Value>,
    errors: Vec<SettingsError>,
}

impl FieldReader {
    fn new(value: Value, path: &str) -> Self {
        let mut reader = Self {
            path: path.to_owned(),
            fields: Map::new(),
            errors: Vec::new(),
        };
        match value {
            Value::Object(fields) => reader.fields = fields,
            _ => reader.error("", "is not a JSON object"),
        }
        reader
    }

    fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        if self.fields.contains_key(name) {
            self.optional(name)
        } else {
            self.missing(name)
        }
    }

    fn missing<T>(&mut self, name: &str) -> Option<T> {
        self.error(name, "is missing");
        None
    }

    fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.fields.remove(name)?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(error) => {
                self.error(name, &error.to_string());
                None
            }
        }
    }

    fn section<T>(&mut self, name: &str, read: impl FnOnce(&mut Self) -> Option<T>) -> Option<T> {
        let value = self.fields.remove(name)?;
        let mut section = Self::new(value, &self.field_path(name));
        let result = read(&mut section);
        self.errors.extend(section.finish());
        result
    }

    fn list<T>(&mut self, name: &str, read: impl Fn(&mut Self) -> Option<T>) -> Vec<T> {
        let Some(items) = self.optional::<Vec<Value>>(name) else {
            return Vec::new();
        };
        let mut result = Vec::new();
        for (index, item) in items.into_iter().enumerate() {
            let mut section = Self::new(item, &self.field_path(&format!("{name}[{index}]")));
            result.extend(read(&mut section));
            self.errors.extend(section.finish());
        }
        result
    }

    /// Reports the fields that were not read as unknown and returns all errors.
    fn finish(mut self) -> Vec<SettingsError> {
        let unknown = std::mem::take(&mut self.fields);
        unknown
            .keys()
            .for_each(|name| self.error(name, "is not a known field"));
        self.errors
    }

    /// Returns the path of a field, `.` for the whole file.
    fn field_path(&self, name: &str) -> String {
        match (self.path.as_str(), name) {
            ("", "") => ".".to_owned(),
            ("", name) => name.to_owned(),
            (path, "") => path.to_owned(),
            (path, name) => format!("{path}.{name}"),
        }
    }

    fn error(&mut self, name: &str, message: &str) {
        let path = self.field_path(name);
        self.errors.push(SettingsError {
            path,
            message: message.to_owned(),
        });
    }
}
