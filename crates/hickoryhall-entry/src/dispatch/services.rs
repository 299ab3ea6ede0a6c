//! Choice of a server for a plain service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use hickoryhall_routing::Ejection;
use hickoryhall_types::FailureDomainId;

use super::Server;

#[derive(Clone, Debug)]
struct Member {
    server: Server,
    in_flight: u32,
    leaving: bool,
    ejection: Ejection,
}

/// Servers of plain services; the one with the least calls in flight goes first, those of the own
/// failure domain among equals.
#[derive(Clone, Debug, Default)]
pub struct ServicePool {
    members: BTreeMap<Arc<str>, Member>,
}

impl ServicePool {
    /// Takes the platform's list in.
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
    pub fn pick(
        &mut self,
        now: Instant,
        service: &str,
        domain: &FailureDomainId,
        exclude: &[Arc<str>],
    ) -> Option<(Arc<str>, SocketAddr)> {
        let takes = |member: &&mut Member| {
            !member.leaving
                && member.server.target.as_ref() == service
                && !member.ejection.is_ejected(now)
                && !exclude.contains(&member.server.id)
        };
        let member = self
            .members
            .values_mut()
            .filter(takes)
            .min_by_key(|member| (member.in_flight, member.server.domain != *domain))?;
        member.in_flight += 1;
        Some((member.server.id.clone(), member.server.address))
    }

    /// Records that a call ended.
    pub fn finished(&mut self, now: Instant, id: &str, is_ok: bool) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.in_flight = member.in_flight.saturating_sub(1);
        if is_ok {
            member.ejection.succeed();
        } else {
            member.ejection.fail(now);
        }
    }

    /// Takes the leaving flag of a server's own report in.
    pub fn set_leaving(&mut self, id: &str, leaving: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.leaving = leaving || member.server.leaving;
        }
    }
}
