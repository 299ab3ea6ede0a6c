//! The cases, and the small fleet that each of them starts.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use crate::hosts::{self, Host};
use crate::lost_host;
use crate::moved_route;
use crate::rank;
use crate::record::Record;
use crate::runners::{Runner, Work};
use crate::store::Store;

const HOSTS: usize = 2;
const READY_LIMIT: Duration = Duration::from_secs(15);

/// The table of the runs, after the first site's sheet.
pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"possession-scan","host":"svc.example","path-prefix":"/scan/","kind":"streaming","timeout-ms":5000,"target-latency-ms":600,"gap-target-ms":400,"priority":1,"service":"llm","attempts":1,"public":false,"sticky-sessions":true,"resumable":false},
{"name":"notice-draft","host":"svc.example","path-prefix":"/draft/","kind":"streaming","timeout-ms":15000,"target-latency-ms":400,"gap-target-ms":400,"priority":0,"service":"llm","attempts":2,"public":false,"sticky-sessions":true,"resumable":true},
{"name":"coach-booking","host":"svc.example","path-prefix":"/booking/","kind":"unsafe","timeout-ms":800,"target-latency-ms":300,"priority":2,"service":"booking","attempts":1,"public":false}],
"services":[
{"name":"llm","health-path":"/health","connection-limit":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-cache-tokens":101787,"kv-token-bytes":163840,"link-mbps":550000.0,"models":[{"name":"m0"}]}},
{"name":"booking","health-path":"/health","connection-limit":100,"protocol":"h1","tls":false}],
"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"karoo","api-keys":["key-a"],"priority":1,"isolated":false}]}"#;

/// A store, runners and hosts, which end with it.
pub struct Fleet {
    folder: PathBuf,
    pub record: Arc<Record>,
    pub store: Store,
    pub hosts: Vec<Arc<Host>>,
}

/// Runners of one kind: the start of their ids, their number, work and slots.
pub type RunnerGroup = (&'static str, usize, Work, usize);

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.iter().for_each(|host| host.stop());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts a store with a table, runners and two hosts, and waits until the hosts are ready.
    pub fn start(case_folder: &Path, config: &str, groups: &[RunnerGroup]) -> Result<Self, String> {
        Self::start_hosts(HOSTS, case_folder, config, groups)
    }

    /// Does the same with another number of hosts.
    pub fn start_hosts(
        count: usize,
        case_folder: &Path,
        config: &str,
        groups: &[RunnerGroup],
    ) -> Result<Self, String> {
        let record = Record::create(case_folder).map_err(|error| error.to_string())?;
        let record = Arc::new(record);
        let name = format!("hickoryhall-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::start();
        store.put("op/config", config);
        store.put("op/version/m0", r#"{"model":"m0","version":1}"#);
        for &(prefix, runners, work, slots) in groups {
            for number in 1..=runners {
                let id = format!("{prefix}-{number}");
                Runner::start(&id, work, slots, &store, &record);
            }
        }
        let hosts = hosts::start(count, store.address, &folder, &record);
        let fleet = Self {
            folder,
            record,
            store,
            hosts,
        };
        if !hosts::wait_ready(&fleet.hosts, READY_LIMIT) {
            return Err("not all hosts became ready".to_owned());
        }
        Ok(fleet)
    }
}

/// Runs a case; returns whether the rule held.
pub fn run(case: &str, folder: &Path, has_trouble: bool) -> Result<bool, String> {
    match case {
        "lost-host" => lost_host::run(folder, has_trouble),
        "moved-route" => moved_route::run(folder, has_trouble),
        "rank" => rank::run(folder, has_trouble),
        other => Err(format!("no case {other}")),
    }
}
