//! Choice of a server for a call of a plain service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use hickoryhall_routing::Ejection;
use hickoryhall_types::FailureDomainId;

use super::{AttemptEnd, Server};

/// Server of a plain service, with what this host knows of its state.
#[derive(Clone, Debug)]
struct Member {
    server: Server,
    /// Calls that this host has sent to the server and that have not ended.
    in_flight: u32,
    /// Whether the platform's list or the server itself says that it is leaving.
    leaving: bool,
    ejection: Ejection,
}

/// Servers of plain services.
///
/// A call goes to the server with the fewest calls in flight; among equals, servers in the host's
/// own failure domain are preferred.
#[derive(Clone, Debug, Default)]
pub struct ServicePool {
    members: BTreeMap<Arc<str>, Member>,
}

impl ServicePool {
    /// Replaces the list of servers; counts and ejection state of known servers are kept.
    pub fn set_servers(&mut self, servers: &[Server]) {
        self.members
            .retain(|id, _| servers.iter().any(|server| server.id == *id));
        for server in servers {
            let member = self
                .members
                .entry(server.id.clone())
                .or_insert_with(|| Member {
                    server: server.clone(),
                    in_flight: 0,
                    leaving: false,
                    ejection: Ejection::default(),
                });
            member.server = server.clone();
            member.leaving |= server.leaving;
        }
    }

    /// Chooses a server and counts the call as in flight there.
    ///
    /// Skips servers that are leaving, ejected or in `exclude`; returns `None` if none is left.
    pub fn pick(
        &mut self,
        now: Instant,
        service: &str,
        domain: &FailureDomainId,
        exclude: &[Arc<str>],
    ) -> Option<(Arc<str>, SocketAddr)> {
        let is_eligible = |member: &&mut Member| {
            !member.leaving
                && member.server.target.as_ref() == service
                && !member.ejection.is_ejected(now)
                && !exclude.contains(&member.server.id)
        };
        let member = self
            .members
            .values_mut()
            .filter(is_eligible)
            .min_by_key(|member| (member.in_flight, member.server.domain != *domain))?;
        member.in_flight += 1;
        Some((member.server.id.clone(), member.server.address))
    }

    /// Records the end of a call; one that was released says nothing about the server.
    pub fn record_end(&mut self, now: Instant, id: &str, end: AttemptEnd) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.in_flight = member.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Finished => member.ejection.record_success(),
            AttemptEnd::Released => {}
            AttemptEnd::Failed => member.ejection.record_failure(now),
        }
    }

    /// Records whether a server reports that it is leaving; the platform's flag stays in effect.
    pub fn set_leaving(&mut self, id: &str, leaving: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.leaving = leaving || member.server.leaving;
        }
    }
}
