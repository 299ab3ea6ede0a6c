//! A configuration that adds a route with a rank over 255, and the final fault of a day.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{CONFIG, Fleet};
use crate::clients::{Attempt, Bookers, End, get_with_key};
use crate::runners::Work;

const CALM: Duration = Duration::from_secs(3);
/// Time from the acknowledgement of the configuration to the requests on its route; the bound
/// `config-apply-ms` is 2,000.
const AFTER_CHANGE: Duration = Duration::from_millis(2_500);
const REQUESTS_PER_HOST: usize = 20;
const BOOKERS: usize = 5;
/// Time for which all processes are down, the bound `recovery-s`, and the time that is judged after it.
const DOWN: Duration = Duration::from_millis(700);
const RECOVERY: Duration = Duration::from_secs(12);
const JUDGED: Duration = Duration::from_secs(8);

/// Returns the table with one more route, of the given rank.
fn config_with_route(rank: u32) -> String {
    let route = format!(
        r#"{{"name":"group-lookup","host":"svc.example","path-prefix":"/group/","kind":"safe","timeout-ms":800,"target-latency-ms":300,"priority":{rank},"service":"booking","attempts":2,"public":false}},"#
    );
    let config = CONFIG.replace("\"version\":7", "\"version\":9");
    config.replace("\"routes\":[", &format!("\"routes\":[{route}"))
}

/// Returns the share of the bookings sent in a time that were served.
fn served_share(attempts: &[Attempt], from: Instant, until: Instant) -> f64 {
    let judged = attempts
        .iter()
        .filter(|attempt| (from..until).contains(&attempt.sent_at));
    let judged = judged.collect::<Vec<_>>();
    let served = judged
        .iter()
        .filter(|attempt| attempt.end == End::Answered(200));
    served.count() as f64 / judged.len().max(1) as f64
}

/// Runs the case; returns whether the rules held. Without trouble, the rank is the largest one that the
/// program reads.
pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(folder, CONFIG, &[("b", 3, Work::Bookings, 6)])?;
    let record = &fleet.record;
    let bookers =
        fleet.hosts.iter().enumerate().map(|(number, host)| {
            Bookers::start(host.front, &format!("h{number}"), BOOKERS, record)
        });
    let bookers = bookers.collect::<Vec<_>>();
    let started_at = Instant::now();
    thread::sleep(CALM);

    let rank = if has_trouble { 256 } else { 255 };
    record.line(&format!("the operator adds a route of rank {rank}"));
    fleet.store.put("op/config", &config_with_route(rank));
    thread::sleep(AFTER_CHANGE);
    let mut unknown = 0;
    for (number, host) in fleet.hosts.iter().enumerate() {
        for request in 0..REQUESTS_PER_HOST {
            let id = format!("g{number}-{request}");
            let status = get_with_key(host.front, "/group/list", &id);
            record.line(&format!("request {id} on the new route: {status}"));
            unknown += usize::from(status == 404);
        }
    }
    record.summary(&format!(
        "requests on the new route: {}, answered 404: {unknown}",
        fleet.hosts.len() * REQUESTS_PER_HOST
    ));

    record.line("final fault: all processes are killed");
    let fault_at = Instant::now();
    fleet.hosts.iter().for_each(|host| host.kill(record));
    thread::sleep(DOWN);
    fleet.hosts.iter().for_each(|host| host.start_again(record));
    let back_at = Instant::now();
    thread::sleep(RECOVERY + JUDGED);
    let judged_until = Instant::now();
    let ready = fleet.hosts.iter().filter(|host| host.is_ready()).count();
    let attempts = bookers.into_iter().flat_map(Bookers::stop);
    let attempts = attempts.collect::<Vec<_>>();

    let before = served_share(&attempts, started_at, fault_at);
    let after = served_share(&attempts, back_at + RECOVERY, judged_until);
    record.summary(&format!(
        "share of the bookings that is served: {before:.2} before the fault, {after:.2} from {} s after the return on; hosts ready: {ready} of {}",
        RECOVERY.as_secs(),
        fleet.hosts.len()
    ));
    if before < 0.25 {
        return Err("too little was served before the fault".to_owned());
    }
    let is_broken = after < 0.25;
    record.summary(if is_broken { "BROKEN" } else { "held" });
    Ok(!is_broken)
}
