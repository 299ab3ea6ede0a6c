//! Crowds of callers, and a platform that ends processes over the memory of their machines.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Deployment, HEADER_BYTES, MEMORY_MB, NOTICE, SCAN};
use crate::http::{self, Answer};

/// Callers of a crowd, and the time between two.
const CALLERS: usize = 400;
const CALLER_INTERVAL: Duration = Duration::from_millis(3);
/// Crowds that come to each of the hosts, one after the other.
const CROWDS: usize = 3;
/// Hosts that crowds come to.
const HOSTS: usize = 2;
/// Ends of processes, on each of these hosts, from which the rule is broken.
const MAX_ENDS: usize = 3;
/// Runners in trouble, of nine.
const IN_TROUBLE: usize = 3;
/// Bytes of a head besides the parts.
const OTHER_BYTES: usize = 400;
/// Time between two looks of the platform at a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Sends requests whose prompts have very many short parts.
pub fn run_parts(folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let deployment = Deployment::start(folder, "parts", has_trouble, NOTICE)?;
    play(deployment, |name| {
        let own = format!("{name}:8");
        let mut parts = String::new();
        while has_trouble && parts.len() + own.len() + 4 <= HEADER_BYTES - OTHER_BYTES {
            parts.push_str("a:0,");
        }
        parts + &own
    })
}

/// Sends ordinary requests, while some runners send events without end.
pub fn run_endless(folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let in_trouble = |number| has_trouble && number <= IN_TROUBLE;
    let option = |number| {
        if in_trouble(number) {
            "v1-endless"
        } else {
            "v1"
        }
    };
    let deployment = Deployment::start_with(folder, "endless", has_trouble, SCAN, option)?;
    play(deployment, |name| format!("{name}:8"))
}

/// Lets crowds come to the hosts. `parts` returns the parts of the prompt of a caller, given its name in
/// hexadecimal digits.
fn play(mut deployment: Deployment, parts: impl Fn(&str) -> String) -> Result<Outcome, String> {
    let record = deployment.record.clone();
    let mut ends = [0; HOSTS];
    for number in 0..CROWDS * HOSTS {
        let index = number % HOSTS;
        let name = deployment.hosts[index].name.clone();
        let to = deployment.hosts[index].callers;
        let texts = (0..CALLERS).map(|caller| {
            let name = format!("{:x}", number * CALLERS + caller);
            text(&name, &parts(&name))
        });
        let texts = texts.collect::<Vec<_>>();
        let longest = texts.iter().map(|text| head_bytes(text)).max().unwrap_or(0);
        record.line(format!(
            "crowd {number}: {CALLERS} callers at {name}, heads of at most {longest} bytes (limit {HEADER_BYTES})"
        ));
        let crowd = thread::spawn(move || send(to, texts));
        let mut peak = 0;
        while !crowd.is_finished() {
            thread::sleep(LOOK_INTERVAL);
            let host = &mut deployment.hosts[index];
            let Some(bytes) = host.memory_bytes() else {
                return Err(format!("{name} has ended by itself"));
            };
            peak = peak.max(bytes);
            if bytes > MEMORY_MB << 20 {
                ends[index] += 1;
                record.line(format!(
                    "platform: {name} has {bytes} bytes, over its memory of {MEMORY_MB} MB; killed, and started again"
                ));
                host.kill();
                thread::sleep(RESTART_DELAY);
                host.start_again()?;
            }
        }
        let answers = crowd.join().map_err(|_| "a caller panicked".to_owned())?;
        for status in [0, 200, 429, 431, 502, 503, 504] {
            let with_status = answers.iter().filter(|answer| answer.status == status);
            let (count, whole) = (
                with_status.clone().count(),
                with_status.filter(|answer| answer.is_whole).count(),
            );
            if count > 0 {
                record.line(format!(
                    "crowd {number}: {count} answers with {status}, {whole} whole"
                ));
            }
        }
        record.line(format!(
            "crowd {number}: most memory of {name}: {peak} bytes"
        ));
        deployment.hosts[index].wait_ready()?;
    }
    record.line(format!(
        "processes that ended over their memory, by host: {ends:?}"
    ));
    let is_broken = ends.iter().all(|&count| count >= MAX_ENDS);
    Ok(if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Sends the requests of a crowd, and waits for the answers.
fn send(to: std::net::SocketAddr, texts: Vec<String>) -> Vec<Answer> {
    let started = Instant::now();
    let clients = texts.into_iter().enumerate().map(|(number, text)| {
        let at = started + CALLER_INTERVAL * u32::try_from(number).unwrap_or(0);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let client = thread::Builder::new().stack_size(128 << 10);
        client.spawn(move || http::request(to, &text, Duration::from_secs(10)))
    });
    let clients = clients.collect::<Vec<_>>();
    let answers = clients.into_iter().flatten().map(thread::JoinHandle::join);
    answers.map(|answer| answer.unwrap_or_default()).collect()
}

fn text(name: &str, parts: &str) -> String {
    format!(
        "POST /notice/{name} HTTP/1.1\r\nHost: notice.example\r\nRequest-Attempt-Id: c{name}\r\nModel: m0\r\nToken-Counts: 8,20\r\nPrompt-Prefix: {parts}\r\nDeadline-Ms: 5000\r\nKey: key-depot\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

fn head_bytes(text: &str) -> usize {
    text.find("\r\n\r\n").map_or(0, |end| end + 4)
}
