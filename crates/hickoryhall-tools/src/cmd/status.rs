//! `status`: shows the revision that each host has in force.

use std::collections::BTreeMap;

use super::{CommandError, EXIT_BEHIND};
use crate::operator::{FleetStatus, HostStatus, OperatorClient};

pub(super) fn run(client: &OperatorClient) -> Result<String, CommandError> {
    let status = client.status()?;
    let newest = status
        .hosts
        .iter()
        .filter_map(|host| host.revision)
        .max()
        .unwrap_or(0);
    let output = render(&status, newest);
    let is_behind = |host: &HostStatus| host.revision != Some(newest);
    if status.hosts.iter().any(is_behind) {
        return Err(CommandError {
            exit_code: EXIT_BEHIND,
            message: output,
        });
    }
    Ok(output)
}

fn render(status: &FleetStatus, newest: u64) -> String {
    let mut hosts_by_domain = BTreeMap::<&str, Vec<&HostStatus>>::new();
    for host in &status.hosts {
        hosts_by_domain
            .entry(&host.failure_domain)
            .or_default()
            .push(host);
    }
    let mut output = format!("newest revision {newest}, {} hosts live\n", status.live);
    for (domain, hosts) in hosts_by_domain {
        let oldest = hosts.iter().min_by_key(|host| host.revision);
        let Some(oldest) = oldest else { continue };
        let answered = hosts.iter().filter(|host| host.revision.is_some()).count();
        let revision = oldest
            .revision
            .map_or_else(|| "none".to_owned(), |r| r.to_string());
        let name = &oldest.host;
        output.push_str(&format!(
            "{domain}: {answered} of {} hosts answer, oldest revision {revision} at {name}\n",
            hosts.len(),
        ));
        for host in hosts.iter().filter(|host| host.error.is_some()) {
            let error = host.error.as_deref().unwrap_or_default();
            output.push_str(&format!("  {}: {error}\n", host.host));
        }
    }
    if status.older_offers > 0 {
        let offers = status.older_offers;
        output.push_str(&format!(
            "the store offered an older table {offers} times; it was not taken\n"
        ));
    }
    output
}
