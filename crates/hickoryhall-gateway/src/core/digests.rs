//! Builds the digests that a host sends to its peers, and merges the digests that it receives.

use std::cmp::Reverse;
use std::time::Instant;

use hickoryhall_limits::{FleetQuotas, ReportScope};
use hickoryhall_routing::{RunnerStatement, SpeedSource};
use hickoryhall_types::hash_name;
use metrics::counter;
use slog::info;

use super::{Core, DesiredVersionSource, StreamMessages};
use crate::peers::{DesiredVersionUpdate, Digest, PromptUpdate, Scope, ServerUpdate};
use crate::scheduler::{AnnouncedState, GroupHash, HostHash, LoadSource};

/// Maximum number of servers listed in one digest, so that it fits into a datagram.
const MAX_SERVERS_PER_DIGEST: usize = 300;
/// Maximum number of runners in one digest with statements about their speed. A host takes two samples
/// between two digests at the load of a small host; more are told in the next digests.
const MAX_SPEEDS_PER_DIGEST: usize = 8;
/// The same in one group digest, so that all of 140 runners are listed within 2 s.
const MAX_SPEEDS_PER_GROUP_DIGEST: usize = 12;
/// Maximum number of prompts listed in one group digest, so that it fits into a datagram.
const MAX_PROMPTS_PER_GROUP_DIGEST: usize = 64;

impl Core {
    /// Returns the full digest for the members of this host's group.
    pub fn digest(&mut self, now: Instant, group: GroupHash) -> Digest {
        let prompts = self.scheduler.take_prompt_updates();
        self.collect_prompts(&prompts);
        let (speeds, service_speeds) = self.scheduler.take_own_speeds(now, MAX_SPEEDS_PER_DIGEST);
        let loads = self.scheduler.own_loads();
        Digest {
            servers: self.server_updates(loads, &speeds),
            service_speeds,
            prompts,
            quotas: Some(self.quotas(now).report(now)),
            ..self.base_digest(now, group, Scope::Host)
        }
    }

    /// Returns the heartbeat for hosts of other groups, which also lists urgent updates: suspects,
    /// desired versions, servers that said that they leave, and runners whose weights this host
    /// changes as the lease holder.
    pub fn heartbeat(&mut self, now: Instant, group: GroupHash) -> Digest {
        let mut servers = self.server_updates(self.scheduler.own_loads(), &[]);
        servers.retain(ServerUpdate::is_urgent);
        Digest {
            servers,
            quotas: Some(self.quotas(now).report(now)),
            ..self.base_digest(now, group, Scope::Heartbeat)
        }
    }

    /// Returns a heartbeat that carries messages about streams and nothing else.
    #[must_use]
    pub fn stream_digest(&self, group: GroupHash, streams: StreamMessages) -> Digest {
        Digest {
            host: self.config.host,
            domain: hash_name(&self.config.scheduler.domain),
            group,
            scope: Scope::Heartbeat,
            table_revision: self.table.as_ref().map_or(0, |table| table.revision()),
            streams,
            reach: self.reach_statement(),
            ..Digest::default()
        }
    }

    /// Returns the digest for other groups with the summed load of this host's group.
    ///
    /// `hosts` are the other members. The first call starts the collection of prompts.
    pub fn group_digest(
        &mut self,
        now: Instant,
        group: GroupHash,
        mut hosts: Vec<HostHash>,
    ) -> Digest {
        hosts.push(self.config.host);
        let prompts = self.collected_prompts.replace(Vec::new());
        let (speeds, service_speeds) = self
            .scheduler
            .take_group_speeds(now, MAX_SPEEDS_PER_GROUP_DIGEST);
        let loads = self.scheduler.group_loads(now);
        Digest {
            servers: self.server_updates(loads, &speeds),
            service_speeds,
            prompts: prompts.unwrap_or_default(),
            quotas: Some(self.quotas(now).group_report(now)),
            ..self.base_digest(now, group, Scope::Group { hosts })
        }
    }

    /// Stops the collection of prompts for [`Core::group_digest`] and drops those collected.
    pub fn stop_collecting_prompts(&mut self) {
        self.collected_prompts = None;
    }

    /// Returns a digest with the fields that all scopes share, without servers and prompts.
    fn base_digest(&mut self, now: Instant, group: GroupHash, scope: Scope) -> Digest {
        let desired_versions = self
            .scheduler
            .desired_versions()
            .flat_map(|(model, versions)| {
                versions
                    .iter(now)
                    .map(|(version, age)| DesiredVersionUpdate {
                        model: model.clone(),
                        version,
                        age,
                    })
            });
        Digest {
            host: self.config.host,
            domain: hash_name(&self.config.scheduler.domain),
            group,
            scope,
            table_revision: self.table.as_ref().map_or(0, |table| table.revision()),
            desired_versions: desired_versions.collect(),
            suspects: self.suspect_updates.clone(),
            crashes: self.suspects.crash_news(now),
            request_crashes: Some(self.suspects.request_news(now)),
            limits: self.scheduler.limits_mut().news(now),
            refusal_limits: self.scheduler.refusal_limits_mut().news(now),
            reach: self.reach_statement(),
            ..Digest::default()
        }
    }

    /// Returns updates about servers that have load, that said that they leave, whose weights this host
    /// changes as the lease holder, or whose speed is stated.
    ///
    /// Where they exceed [`MAX_SERVERS_PER_DIGEST`], the second and third kind come first, then those with
    /// the most pending work; the rest are left out.
    fn server_updates(
        &self,
        loads: impl Iterator<Item = ServerUpdate>,
        speeds: &[RunnerStatement],
    ) -> Vec<ServerUpdate> {
        let updates = loads.filter_map(|update| {
            let is_changing = self.weight_changes.get(&update.server).copied();
            let speed = speeds.iter().find(|speed| {
                speed.runner == update.server && Some(speed.process) == update.incarnation
            });
            let update = ServerUpdate {
                is_changing,
                speed: speed.map(|speed| speed.statement),
                ..update
            };
            let is_listed =
                update.load.requests > 0 || update.is_urgent() || update.speed.is_some();
            is_listed.then_some(update)
        });
        let mut updates = updates.collect::<Vec<_>>();
        if updates.len() > MAX_SERVERS_PER_DIGEST {
            updates.sort_by_key(|update| Reverse((update.is_urgent(), update.load.pending_ms)));
            updates.truncate(MAX_SERVERS_PER_DIGEST);
        }
        updates
    }

    fn collect_prompts(&mut self, prompts: &[PromptUpdate]) {
        if let Some(collected) = &mut self.collected_prompts {
            let left = MAX_PROMPTS_PER_GROUP_DIGEST.saturating_sub(collected.len());
            collected.extend(prompts.iter().take(left).cloned());
        }
    }

    /// Merges a digest of a peer, and replaces the loads known from the same source.
    pub fn on_digest(&mut self, now: Instant, digest: &Digest) {
        self.fleet.mark_seen(now, digest.host);
        self.scheduler.record_domain_heard(now, digest.domain);
        match &digest.scope {
            Scope::Host => {
                self.replace_peer_loads(now, LoadSource::Host(digest.host), &digest.servers);
                self.collect_prompts(&digest.prompts);
            }
            // The load of a host in another group is part of that group's digest.
            Scope::Heartbeat => self.replace_peer_loads(now, LoadSource::Host(digest.host), &[]),
            Scope::Group { hosts } => {
                for &host in hosts {
                    self.fleet.mark_seen(now, host);
                }
                self.replace_peer_loads(now, LoadSource::Group(digest.group), &digest.servers);
            }
        }
        self.merge_speeds(now, digest);
        for update in &digest.servers {
            if let Some(is_changing) = update.is_changing {
                let announced = AnnouncedState {
                    incarnation: update.incarnation,
                    weights: update.weights,
                    is_changing,
                };
                let change = self
                    .scheduler
                    .record_announcement(now, update.server, &announced);
                self.log_weights(change);
            }
        }
        for update in digest.servers.iter().filter(|update| update.is_leaving) {
            self.scheduler.record_leaving(update);
        }
        for prompt in &digest.prompts {
            self.scheduler.on_peer_prompt(now, prompt);
        }
        for update in &digest.desired_versions {
            self.set_desired_version(
                now,
                update.model.clone(),
                update.version,
                update.age,
                DesiredVersionSource::Peer,
            );
        }
        self.merge_quotas(now, digest);
        self.merge_request_news(now, digest);
        for statement in &digest.limits {
            if self.scheduler.limits_mut().merge(now, statement) {
                let name = self.scheduler.server_name(statement.server);
                let name = name.unwrap_or_else(|| format!("{:016x}", statement.server).into());
                let (process, limit) = (statement.process, statement.limit_per_s);
                self.limit_changed(now, &name, process, limit, "peer");
            }
        }
        for statement in &digest.refusal_limits {
            if self.scheduler.refusal_limits_mut().merge(now, statement) {
                let name = self.scheduler.server_name(statement.server);
                let name = name.unwrap_or_else(|| format!("{:016x}", statement.server).into());
                let (process, limit) = (statement.process, statement.limit_per_s);
                self.refusal_limit_changed(now, &name, process, limit, "peer");
            }
        }
        for part in self.suspects.merge_crash_news(now, &digest.crashes) {
            counter!("prompt_parts_refused_total", "source" => "peer").increment(1);
            info!(
                self.logger, "core: Prompt part is refused, as a peer says that servers crash under it.";
                "part" => format!("{part:016x}")
            );
        }
        self.place_waiting(now);
    }

    /// Merges what a peer tells of the speed of runners.
    fn merge_speeds(&mut self, now: Instant, digest: &Digest) {
        let source = match &digest.scope {
            Scope::Host => SpeedSource::Host(digest.host),
            Scope::Group { .. } => SpeedSource::Group(digest.group),
            Scope::Heartbeat => return,
        };
        for (service, sums) in &digest.service_speeds {
            self.scheduler
                .merge_service_speed(now, source, *service, sums);
        }
        for update in &digest.servers {
            if let Some(speed) = &update.speed {
                let (server, process) = (update.server, update.incarnation);
                self.scheduler
                    .merge_runner_speed(now, source, server, process, speed);
            }
        }
    }

    fn quotas(&mut self, now: Instant) -> &mut FleetQuotas {
        self.quotas.fleet(now, self.table.as_deref())
    }

    /// Merges what a digest tells of quotas. One without a report is from a host of the previous build,
    /// unless it carries messages about streams only.
    fn merge_quotas(&mut self, now: Instant, digest: &Digest) {
        let (host, group) = (digest.host, digest.group);
        let scope = match &digest.scope {
            Scope::Host => ReportScope::Member,
            Scope::Heartbeat => ReportScope::Host,
            Scope::Group { hosts } => ReportScope::Group(hosts),
        };
        let quotas = self.quotas(now);
        match &digest.quotas {
            Some(report) => quotas.on_report(now, host, group, scope, report),
            None if matches!(scope, ReportScope::Group(_)) || !digest.streams.is_empty() => {}
            None => quotas.on_previous_build(now, host),
        }
    }

    /// Merges what a peer tells of requests that may crash servers.
    fn merge_request_news(&mut self, now: Instant, digest: &Digest) {
        let Some(news) = &digest.request_crashes else {
            for update in &digest.suspects {
                self.suspects
                    .merge_deaths(now, update.fingerprint, update.deaths);
            }
            return;
        };
        for fingerprint in self.suspects.merge_request_news(now, news) {
            counter!("suspect_requests_refused_total", "source" => "peer").increment(1);
            info!(
                self.logger, "core: Request is refused, as a peer says that servers crash under it.";
                "fingerprint" => fingerprint
            );
        }
    }

    fn replace_peer_loads(&mut self, now: Instant, source: LoadSource, servers: &[ServerUpdate]) {
        let listed = servers
            .iter()
            .map(|update| update.server)
            .collect::<Vec<_>>();
        self.scheduler.retain_peer_loads(source, &listed);
        for update in servers {
            self.scheduler.set_peer_load(
                now,
                source,
                update.server,
                update.incarnation,
                update.load,
            );
        }
    }
}
