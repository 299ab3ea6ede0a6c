//! Builds the digests that a host sends to its peers, and merges the digests that it receives.

use std::cmp::Reverse;
use std::time::Instant;

use hickoryhall_types::{WeightsVersion, hash_name};

use super::Core;
use crate::peers::{Digest, PromptNews, Scope, ServerNews, WantedNews};
use crate::scheduler::{GroupHash, HostHash, HostLoad, LoadSource};

/// Servers listed in one digest, so that it fits into a datagram.
const SERVERS_TOLD: usize = 300;
/// Prompts listed in one group digest, so that it fits into a datagram.
const GROUP_PROMPTS: usize = 64;

impl Core {
    /// Returns the full digest for the members of this host's group.
    pub fn digest(&mut self, now: Instant, group: GroupHash) -> Digest {
        let prompts = self.scheduler.take_prompts();
        self.collect_prompts(&prompts);
        let loads = self.scheduler.own_loads();
        Digest {
            servers: self.server_news(loads),
            prompts,
            ..self.news(now, group, Scope::Host)
        }
    }

    /// Returns the heartbeat for hosts of other groups, which also lists urgent updates: suspects,
    /// target versions, and runners whose weights are changing.
    pub fn presence(&mut self, now: Instant, group: GroupHash) -> Digest {
        let mut servers = self.server_news(self.scheduler.own_loads());
        servers.retain(|news| news.change.is_some());
        Digest {
            servers,
            ..self.news(now, group, Scope::Presence)
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
        hosts.push(self.config.me);
        let prompts = self.group_prompts.replace(Vec::new());
        let loads = self.scheduler.group_loads(now);
        Digest {
            servers: self.server_news(loads),
            prompts: prompts.unwrap_or_default(),
            ..self.news(now, group, Scope::Group { hosts })
        }
    }

    /// Stops the collection of prompts for [`Core::group_digest`] and drops those collected.
    pub fn end_group_digests(&mut self) {
        self.group_prompts = None;
    }

    /// Returns a digest with the fields that all scopes share, without servers and prompts.
    fn news(&self, now: Instant, group: GroupHash, scope: Scope) -> Digest {
        let wanted = self.scheduler.wanted().flat_map(|(model, versions)| {
            versions.iter(now).map(|(version, age)| WantedNews {
                model: model.clone(),
                version,
                age,
            })
        });
        Digest {
            host: self.config.me,
            domain: hash_name(&self.config.scheduler.domain),
            group,
            scope,
            table_revision: self.table.as_ref().map_or(0, |table| table.revision()),
            wanted: wanted.collect(),
            suspects: self.deaths.clone(),
            ..Digest::default()
        }
    }

    /// Returns updates about servers that have load or are changing their weights.
    ///
    /// Where they exceed [`SERVERS_TOLD`], those that change come first, then the busiest.
    fn server_news(
        &self,
        loads: impl Iterator<Item = (u64, HostLoad, WeightsVersion)>,
    ) -> Vec<ServerNews> {
        let news = loads.filter_map(|(server, load, weights)| {
            let change = self.changing.get(&server).copied();
            let is_news = load.requests > 0 || change.is_some();
            is_news.then_some(ServerNews {
                server,
                load,
                weights,
                change,
            })
        });
        let mut news = news.collect::<Vec<_>>();
        if news.len() > SERVERS_TOLD {
            news.sort_by_key(|news| Reverse((news.change.is_some(), news.load.pending_ms)));
            news.truncate(SERVERS_TOLD);
        }
        news
    }

    fn collect_prompts(&mut self, prompts: &[PromptNews]) {
        if let Some(collected) = &mut self.group_prompts {
            let left = GROUP_PROMPTS.saturating_sub(collected.len());
            collected.extend(prompts.iter().take(left).cloned());
        }
    }

    /// Merges a digest of a peer.
    pub fn on_digest(&mut self, now: Instant, digest: &Digest) {
        self.fleet.seen(now, digest.host);
        match &digest.scope {
            Scope::Host => {
                self.set_loads(now, LoadSource::Host(digest.host), &digest.servers);
                self.collect_prompts(&digest.prompts);
            }
            Scope::Presence => self.set_loads(now, LoadSource::Host(digest.host), &[]),
            Scope::Group { hosts } => {
                for &host in hosts {
                    self.fleet.seen(now, host);
                }
                self.set_loads(now, LoadSource::Group(digest.group), &digest.servers);
            }
        }
        for news in &digest.servers {
            if let Some(is_changing) = news.change {
                self.scheduler
                    .set_runner(now, news.server, news.weights, is_changing);
            }
        }
        for prompt in &digest.prompts {
            self.scheduler.on_peer_prompt(now, prompt);
        }
        for wanted in &digest.wanted {
            self.set_wanted(now, wanted.model.clone(), wanted.version, wanted.age);
        }
        for &news in &digest.suspects {
            if self.suspects.merge(now, news.fingerprint, news.deaths) {
                self.tell_suspect(news);
            }
        }
        self.serve_waiting(now);
    }

    fn set_loads(&mut self, now: Instant, source: LoadSource, servers: &[ServerNews]) {
        let named = servers.iter().map(|news| news.server).collect::<Vec<_>>();
        self.scheduler.keep_peer_loads(source, &named);
        for news in servers {
            self.scheduler
                .set_peer_load(now, source, news.server, news.load);
        }
    }
}
