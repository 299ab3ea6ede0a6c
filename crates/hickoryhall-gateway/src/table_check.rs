//! Checks the contents of a table for entries without effect and limits that contradict each other, and
//! compares two tables by the names of their entries.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use crate::table::{Route, ServiceInfo, TableParts, Workspace};

/// Entry of a table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Entry {
    /// The table itself.
    Table,
    /// The route with the given name.
    Route(String),
    /// The service with the given name.
    Service(String),
    /// The workspace with the given name.
    Workspace(String),
    /// The limits on callers' requests.
    Limits,
}

/// Field of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs, reason = "named like the fields of the table's types")]
pub enum Field {
    Revision,
    Name,
    Host,
    PathPrefix,
    Kind,
    Targets,
    Attempts,
    Timeout,
    TargetLatency,
    TargetGap,
    Priority,
    IsPublic,
    RunnerSlots,
    RunnerCacheTokens,
    RunnerTokenBytes,
    RunnerLink,
    CacheStoreAddress,
    CacheStoreDomain,
    CacheStoreTokens,
    ConnectionLimit,
    Keys,
    IsIsolated,
    HeadBytes,
    BodyBytes,
    IdleTimeout,
}

/// Something in a table that its author can hardly want.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Entry that it is about.
    pub entry: Entry,
    /// Field that it is about.
    pub field: Field,
    /// What is wrong, as a sentence without its final period.
    pub message: String,
}

/// Difference of an entry between two tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Only the new table has the entry.
    Added,
    /// Only the old table has the entry.
    Removed,
    /// A field has another value.
    Changed {
        /// The field.
        field: Field,
        /// Value in the old table.
        before: String,
        /// Value in the new table.
        after: String,
    },
}

/// Returns what is wrong with a table, in the order of its entries.
#[must_use]
pub fn findings(parts: &TableParts) -> Vec<Finding> {
    let mut check = Check {
        parts,
        findings: Vec::new(),
    };
    check.routes();
    check.services();
    check.workspaces();
    check.limits();
    check.findings
}

struct Check<'a> {
    parts: &'a TableParts,
    findings: Vec<Finding>,
}

impl Check<'_> {
    fn add(&mut self, entry: &Entry, field: Field, message: impl Into<String>) {
        self.findings.push(Finding {
            entry: entry.clone(),
            field,
            message: message.into(),
        });
    }

    fn routes(&mut self) {
        let mut first_by_place = HashMap::new();
        let mut names = HashSet::new();
        for route in &self.parts.routes {
            let entry = Entry::Route(route.name.to_string());
            if !names.insert(&*route.name) {
                self.add(&entry, Field::Name, "another route has the same name");
            }
            let place = (route.host.to_ascii_lowercase(), &*route.path_prefix);
            if let Some(first) = first_by_place.get(&place) {
                let message =
                    format!("never matches, as route {first} has the same host and path prefix");
                self.add(&entry, Field::PathPrefix, message);
            } else {
                first_by_place.insert(place, &*route.name);
            }
            if route.host.is_empty() || route.host.contains([':', '/']) {
                let message = "never matches, as it is no host name without a port";
                self.add(&entry, Field::Host, message);
            }
            if !route.path_prefix.is_empty() && !route.path_prefix.starts_with('/') {
                self.add(
                    &entry,
                    Field::PathPrefix,
                    "never matches, as paths begin with /",
                );
            }
            self.targets(&entry, route);
            self.times(&entry, route);
        }
    }

    fn targets(&mut self, entry: &Entry, route: &Route) {
        let total = route.targets.iter().map(|(_, weight)| u64::from(*weight));
        let is_all_zero = total.sum::<u64>() == 0;
        match route.targets.first() {
            None => self.add(entry, Field::Targets, "no service takes the requests"),
            Some((first, _)) if is_all_zero => {
                let message = format!("all weights are 0, so service {first} gets all requests");
                self.add(entry, Field::Targets, message);
            }
            Some(_) => {}
        }
        for (service, weight) in &route.targets {
            match self.parts.services.get(service) {
                None => {
                    let message = format!("service {service} does not exist");
                    self.add(entry, Field::Targets, message);
                }
                Some(info) if info.prompt_cache_store.is_some() => {
                    let message = format!("service {service} is a prompt cache store");
                    self.add(entry, Field::Targets, message);
                }
                Some(_) => {}
            }
            if *weight == 0 && !is_all_zero {
                let message = format!("service {service} has weight 0 and gets no requests");
                self.add(entry, Field::Targets, message);
            }
        }
    }

    fn times(&mut self, entry: &Entry, route: &Route) {
        if route.timeout.is_zero() {
            self.add(entry, Field::Timeout, "is 0, so every request fails");
        }
        let targets = [
            (Field::TargetLatency, route.target_latency),
            (Field::TargetGap, route.target_gap),
        ];
        for (field, target) in targets {
            let is_used = field == Field::TargetLatency || route.kind.is_stream();
            if is_used && target > route.timeout {
                let (target, timeout) = (millis(target), millis(route.timeout));
                let message = format!("{target} is longer than the timeout of {timeout}");
                self.add(entry, field, message);
            }
        }
        if route.attempts == 0 {
            self.add(
                entry,
                Field::Attempts,
                "is 0, so no server may run a request",
            );
        }
    }

    fn services(&mut self) {
        let targets = self.parts.routes.iter().flat_map(|route| &route.targets);
        let used = targets.map(|(service, _)| service).collect::<HashSet<_>>();
        let services = self.parts.services.iter().collect::<BTreeMap<_, _>>();
        for (name, service) in services {
            let entry = Entry::Service(name.to_string());
            if service.prompt_cache_store.is_none() && !used.contains(name) {
                self.add(&entry, Field::Name, "no route sends requests to it");
            }
            if service.connection_limit == 0 {
                let message = "is 0, so no server can be reached";
                self.add(&entry, Field::ConnectionLimit, message);
            }
            if let Some(capacity) = &service.runner_capacity {
                if capacity.slots == 0 {
                    let message = "is 0, so no runner takes a request";
                    self.add(&entry, Field::RunnerSlots, message);
                }
                if capacity.kv_cache_tokens == 0 {
                    let message = "is 0, so a runner takes one request at a time";
                    self.add(&entry, Field::RunnerCacheTokens, message);
                }
            }
            if let Some(store) = &service.prompt_cache_store
                && store.capacity_tokens == 0
            {
                let message = "is 0, so nothing is kept";
                self.add(&entry, Field::CacheStoreTokens, message);
            }
        }
    }

    fn workspaces(&mut self) {
        let mut names = HashSet::new();
        let mut holders = HashMap::<&str, &str>::new();
        for workspace in &self.parts.workspaces {
            let entry = Entry::Workspace(workspace.id.to_string());
            if !names.insert(&*workspace.id) {
                self.add(&entry, Field::Name, "another workspace has the same name");
            }
            if workspace.keys.is_empty() {
                self.add(
                    &entry,
                    Field::Keys,
                    "has no keys, so no request belongs to it",
                );
            }
            for (index, key) in workspace.keys.iter().enumerate() {
                // Keys are secret, so messages name their position.
                let number = index + 1;
                if key.is_empty() {
                    let message = format!("key {number} is empty");
                    self.add(&entry, Field::Keys, message);
                } else if let Some(before) = holders.insert(key, &workspace.id) {
                    let message = if before == &*workspace.id {
                        format!("key {number} is listed twice")
                    } else {
                        format!("key {number} is also held by workspace {before}, which loses it")
                    };
                    self.add(&entry, Field::Keys, message);
                }
            }
        }
    }

    fn limits(&mut self) {
        let limits = &self.parts.limits;
        let values = [
            (Field::HeadBytes, limits.head_bytes == 0),
            (Field::BodyBytes, limits.body_bytes == 0),
            (Field::IdleTimeout, limits.idle_timeout.is_zero()),
        ];
        for (field, is_zero) in values {
            if is_zero {
                self.add(&Entry::Limits, field, "is 0, so no request is accepted");
            }
        }
    }
}

/// Returns how a table differs from an older one, by the names of entries. The order of entries does not
/// count. Of several entries with one name, the last one counts.
#[must_use]
pub fn differences(before: &TableParts, after: &TableParts) -> Vec<(Entry, Change)> {
    let (mut before, after) = (described(before), described(after));
    let mut differences = Vec::new();
    for (entry, fields) in after {
        let Some(fields_before) = before.remove(&entry) else {
            differences.push((entry, Change::Added));
            continue;
        };
        for (field, after) in fields {
            let before = fields_before.get(&field).cloned().unwrap_or_default();
            if before.compared != after.compared {
                let is_hidden = before.shown == after.shown;
                let change = Change::Changed {
                    field,
                    before: before.shown,
                    after: if is_hidden {
                        format!("other {}", after.shown)
                    } else {
                        after.shown
                    },
                };
                differences.push((entry.clone(), change));
            }
        }
    }
    let removed = before.into_keys().map(|entry| (entry, Change::Removed));
    differences.extend(removed);
    differences.sort_by(|(one, _), (other, _)| one.cmp(other));
    differences
}

/// Value of a field.
#[derive(Clone, Default)]
struct Value {
    /// Text that is equal exactly for equal values.
    compared: String,
    /// Text that may be shown: without secrets.
    shown: String,
}

impl<T: ToString> From<T> for Value {
    fn from(value: T) -> Self {
        let compared = value.to_string();
        Self {
            shown: compared.clone(),
            compared,
        }
    }
}

type Fields = BTreeMap<Field, Value>;

fn described(parts: &TableParts) -> BTreeMap<Entry, Fields> {
    let table = Fields::from([(Field::Revision, parts.revision.into())]);
    let limits = Fields::from([
        (Field::HeadBytes, parts.limits.head_bytes.into()),
        (Field::BodyBytes, parts.limits.body_bytes.into()),
        (Field::IdleTimeout, millis(parts.limits.idle_timeout).into()),
    ]);
    let mut entries = BTreeMap::from([(Entry::Table, table), (Entry::Limits, limits)]);
    entries.extend(parts.routes.iter().map(|route| {
        let entry = Entry::Route(route.name.to_string());
        (entry, route_fields(route))
    }));
    entries.extend(parts.services.iter().map(|(name, service)| {
        let entry = Entry::Service(name.to_string());
        (entry, service_fields(service))
    }));
    entries.extend(parts.workspaces.iter().map(|workspace| {
        let entry = Entry::Workspace(workspace.id.to_string());
        (entry, workspace_fields(workspace))
    }));
    entries
}

fn route_fields(route: &Route) -> Fields {
    let targets = route.targets.iter();
    let targets = targets.map(|(service, weight)| format!("{service} {weight}"));
    Fields::from([
        (Field::Host, route.host.to_ascii_lowercase().into()),
        (Field::PathPrefix, route.path_prefix.to_string().into()),
        (Field::Kind, format!("{:?}", route.kind).into()),
        (
            Field::Targets,
            targets.collect::<Vec<_>>().join(", ").into(),
        ),
        (Field::Attempts, route.attempts.into()),
        (Field::Timeout, millis(route.timeout).into()),
        (Field::TargetLatency, millis(route.target_latency).into()),
        (Field::TargetGap, millis(route.target_gap).into()),
        (Field::Priority, route.priority.into()),
        (Field::IsPublic, route.is_public.into()),
    ])
}

fn service_fields(service: &ServiceInfo) -> Fields {
    let runner = service.runner_capacity.as_ref();
    let store = service.prompt_cache_store.as_ref();
    let or_none = |value: Option<String>| Value::from(value.unwrap_or_else(|| "none".to_owned()));
    let limit = Some(service.connection_limit).filter(|limit| *limit < u32::MAX);
    Fields::from([
        (
            Field::RunnerSlots,
            or_none(runner.map(|runner| runner.slots.to_string())),
        ),
        (
            Field::RunnerCacheTokens,
            or_none(runner.map(|runner| runner.kv_cache_tokens.to_string())),
        ),
        (
            Field::RunnerTokenBytes,
            or_none(runner.map(|runner| runner.kv_token_bytes.to_string())),
        ),
        (
            Field::RunnerLink,
            or_none(runner.map(|runner| runner.link_mbps.to_string())),
        ),
        (
            Field::CacheStoreAddress,
            or_none(store.map(|store| store.address.to_string())),
        ),
        (
            Field::CacheStoreDomain,
            or_none(store.map(|store| store.domain.to_string())),
        ),
        (
            Field::CacheStoreTokens,
            or_none(store.map(|store| store.capacity_tokens.to_string())),
        ),
        (
            Field::ConnectionLimit,
            or_none(limit.map(|limit| limit.to_string())),
        ),
    ])
}

fn workspace_fields(workspace: &Workspace) -> Fields {
    let mut keys = workspace.keys.iter().map(|key| &**key).collect::<Vec<_>>();
    keys.sort_unstable();
    let keys = Value {
        compared: format!("{keys:?}"),
        shown: format!("{} keys", keys.len()),
    };
    let priority = workspace.priority.map(|priority| priority.to_string());
    Fields::from([
        (Field::Keys, keys),
        (
            Field::Priority,
            priority.unwrap_or_else(|| "none".to_owned()).into(),
        ),
        (Field::IsIsolated, workspace.is_isolated.into()),
    ])
}

fn millis(duration: Duration) -> String {
    format!("{} ms", duration.as_secs_f64() * 1_000.0)
}
