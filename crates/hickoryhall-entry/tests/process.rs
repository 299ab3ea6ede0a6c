//! Tests entry hosts as processes: signals, kills, frozen processes and invalid settings.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use hickoryhall_clients::{Message, StoreClient};
use hickoryhall_entry::{Settings, TableChange, TableStore};
use hickoryhall_standins::engine::{EngineConfig, EngineServer, expected_answer};
use hickoryhall_standins::hosts::{HostListEntry, HostListEntryKind, HostListServer};
use hickoryhall_standins::store::StoreServer;
use hickoryhall_table::{Row, Table};
use hickoryhall_tools::caller::{CallResult, CallerClient, ModelCall};
use hickoryhall_tools::fleet::{MODEL, initial_table, workspace_key};
use hickoryhall_tools::operator::OperatorClient;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hickoryhall-entry");
const OPERATOR_KEY: &str = "operator";
const TIMEOUT: Duration = Duration::from_secs(30);

/// Process of an entry host, killed on drop.
struct Host {
    process: Child,
    http: SocketAddr,
    list_entry: HostListEntry,
    // Kept open so that the process can continue to write its log.
    _log: BufReader<ChildStdout>,
}

impl Host {
    fn start(platform: &Platform, name: &str, domain: &str) -> Self {
        let path = platform.settings_file(name, domain);
        let mut process = Command::new(PROGRAM)
            .args(["--settings", &path])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program");
        let mut log = BufReader::new(process.stdout.take().expect("a log"));
        let mut line = String::new();
        // The ports are chosen at startup, so the addresses are read from the log.
        let started = loop {
            line.clear();
            assert_ne!(
                log.read_line(&mut line).expect("a log line"),
                0,
                "the host ended"
            );
            let line = serde_json::from_str::<Value>(&line).expect("a JSON log");
            if line["http"].is_string() {
                break line;
            }
        };
        let address = |field: &str| {
            let text = started[field].as_str().expect("an address");
            text.parse::<SocketAddr>().expect("an address")
        };
        let list_entry = HostListEntry {
            id: name.to_owned(),
            kind: HostListEntryKind::Entry,
            failure_domain: domain.to_owned(),
            address: address("peer"),
            target: String::new(),
            leaving: false,
        };
        Self {
            http: address("http"),
            list_entry,
            process,
            _log: log,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.process.id()).expect("a process id");
        kill_process(Pid::from_raw(pid).expect("a process id"), signal).expect("a running process");
    }

    fn wait(&mut self) -> ExitStatus {
        self.process.wait().expect("an exit status")
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Stand-ins for the platform's store and host list and for two runners.
struct Platform {
    store: StoreServer,
    host_list: HostListServer,
    runners: Vec<EngineServer>,
}

impl Platform {
    fn start() -> Self {
        let any_port = || SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = EngineConfig {
            decode_interval: Duration::from_millis(10),
            ..EngineConfig::default()
        };
        let runner = |name| EngineServer::start(any_port(), name, MODEL, true, engine);
        let platform = Self {
            store: StoreServer::start(any_port()).expect("a free port"),
            host_list: HostListServer::start(any_port(), Duration::ZERO).expect("a free port"),
            runners: ["r1", "r2"]
                .map(|name| runner(name).expect("a free port"))
                .into(),
        };
        let change = TableChange {
            id: "first".to_owned(),
            author: "test".to_owned(),
            base: Table::default(),
            edited: initial_table(1),
            at_s: 0,
        };
        let store = TableStore::new(StoreClient::new(platform.store.address()));
        store.apply(&change).expect("a first table");
        platform
    }

    fn publish(&self, hosts: &[&Host]) {
        let runner = |(index, runner): (usize, &EngineServer)| HostListEntry {
            id: format!("r{}", index + 1),
            kind: HostListEntryKind::Runner,
            failure_domain: "a".to_owned(),
            address: runner.address(),
            target: MODEL.to_owned(),
            leaving: false,
        };
        let hosts = hosts.iter().map(|host| host.list_entry.clone());
        self.host_list.set(
            hosts
                .chain(self.runners.iter().enumerate().map(runner))
                .collect(),
        );
    }

    fn settings_file(&self, name: &str, domain: &str) -> String {
        let mut settings =
            serde_json::from_str::<Value>(&Settings::example_json()).expect("an example");
        settings["host"] = name.into();
        settings["failure_domain"] = domain.into();
        settings["http_address"] = "127.0.0.1:0".into();
        settings["peer_address"] = "127.0.0.1:0".into();
        settings["store_address"] = self.store.address().to_string().into();
        settings["host_list_address"] = self.host_list.address().to_string().into();
        settings["peers"] = Value::Array(Vec::new());
        let path = format!(
            "{}/{name}-{}.json",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id()
        );
        let path = format!("{path}-{}", self.store.address().port());
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        path
    }

    fn is_busy(&self) -> bool {
        self.runners.iter().any(|runner| runner.job_count() > 0)
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out: {what}");
        std::thread::yield_now();
    }
}

fn messages() -> Vec<Message> {
    vec![Message {
        role: "user".to_owned(),
        content: "which stations close?".to_owned(),
    }]
}

fn ask(host: SocketAddr, tokens: u32) -> CallResult {
    CallerClient::default().call_model(
        host,
        &ModelCall {
            key: &workspace_key(0),
            request_id: "asked",
            model: MODEL,
            messages: &messages(),
            max_tokens: tokens,
            stream: true,
            deadline: Duration::from_secs(20),
        },
    )
}

fn expected(tokens: u32) -> String {
    let messages = messages()
        .into_iter()
        .map(|message| hickoryhall_standins::engine::Message {
            role: message.role,
            content: message.content,
        });
    expected_answer(&messages.collect::<Vec<_>>(), 1, tokens)
}

fn is_served(host: SocketAddr) -> bool {
    ask(host, 2).text() == Some(expected(2).as_str())
}

#[test]
fn a_stop_signal_lets_requests_end_and_exits_with_success() {
    let platform = Platform::start();
    let mut host = Host::start(&platform, "entry-1", "a");
    platform.publish(&[&host]);
    wait_until("an answer", || is_served(host.http));
    let address = host.http;
    let caller = std::thread::spawn(move || ask(address, 150));
    wait_until("the request runs", || platform.is_busy());
    host.signal(Signal::TERM);
    assert_eq!(host.wait().code(), Some(0));
    let end = caller.join().expect("a caller");
    assert_eq!(end.text(), Some(expected(150).as_str()), "{end:?}");
}

#[test]
fn a_second_stop_signal_ends_at_once_and_says_what_it_cut() {
    let platform = Platform::start();
    let mut host = Host::start(&platform, "entry-1", "a");
    platform.publish(&[&host]);
    wait_until("an answer", || is_served(host.http));
    let address = host.http;
    let caller = std::thread::spawn(move || ask(address, 2_000));
    wait_until("the request runs", || platform.is_busy());
    host.signal(Signal::TERM);
    let refuses = || ask(address, 1).refusal_field("code") == Some("not_ready");
    wait_until("new requests are refused", refuses);
    host.signal(Signal::TERM);
    assert_eq!(host.wait().code(), Some(3));
    assert_eq!(caller.join().expect("a caller").text(), None);
}

#[test]
fn a_killed_host_takes_nothing_with_it() {
    let platform = Platform::start();
    let mut killed = Host::start(&platform, "entry-1", "a");
    let other = Host::start(&platform, "entry-2", "b");
    platform.publish(&[&killed, &other]);
    wait_until("an answer", || {
        is_served(killed.http) && is_served(other.http)
    });
    let address = killed.http;
    let caller = std::thread::spawn(move || ask(address, 500));
    wait_until("the request runs", || platform.is_busy());
    killed.signal(Signal::KILL);
    killed.wait();
    let end = caller.join().expect("a caller");
    assert!(
        matches!(end, CallResult::Failed { .. }),
        "the caller must detect the cut stream: {end:?}"
    );
    // The caller sends the request again, to another host.
    assert_eq!(ask(other.http, 100).text(), Some(expected(100).as_str()));
}

#[test]
fn a_frozen_host_does_not_hold_the_others_up_and_catches_up() {
    let platform = Platform::start();
    let frozen = Host::start(&platform, "entry-1", "a");
    let other = Host::start(&platform, "entry-2", "a");
    platform.publish(&[&frozen, &other]);
    wait_until("an answer", || {
        is_served(frozen.http) && is_served(other.http)
    });
    frozen.signal(Signal::STOP);
    assert!(is_served(other.http));
    let operator = OperatorClient::new(other.http, OPERATOR_KEY);
    let base = operator.table().expect("a table").table;
    let mut wanted = base.clone();
    wanted.insert(Row {
        weight: Some(5),
        ..Row::new("another", "*")
    });
    let revision = operator
        .apply("change", "test", &base, &wanted)
        .expect("a revision");
    frozen.signal(Signal::CONT);
    let resumed_host = OperatorClient::new(frozen.http, OPERATOR_KEY);
    wait_until("the change on the host that was frozen", || {
        resumed_host
            .table()
            .is_ok_and(|table| table.revision == revision)
    });
    assert!(is_served(frozen.http));
}

#[test]
fn settings_that_cannot_be_used_are_named_one_by_one() {
    let path = format!(
        "{}/bad-{}.json",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    let settings = r#"{"host": "", "failure_domain": 3, "http_address": "nowhere",
        "peer_secrets": ["short"], "fleet": {"domains": 0}, "limits": {"workers": 0}, "colour": 1}"#;
    std::fs::write(&path, settings).expect("a settings file");
    let output = Command::new(PROGRAM)
        .args(["--settings", &path, "--check"])
        .output();
    let output = output.expect("the program");
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8(output.stderr)
        .expect("text")
        .replace(&path, "FILE");
    insta::assert_snapshot!(errors);
}

#[test]
fn the_example_settings_are_valid() {
    let path = format!(
        "{}/example-{}.json",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    let printed = Command::new(PROGRAM)
        .arg("--print-defaults")
        .output()
        .expect("the program");
    std::fs::write(&path, &printed.stdout).expect("a settings file");
    let checked = Command::new(PROGRAM)
        .args(["--settings", &path, "--check"])
        .status();
    assert_eq!(checked.expect("the program").code(), Some(0));
}
