//! Scripted scenarios of the scheduler, one file each under `tests/scenarios/`.
//!
//! Commands (times are virtual, in milliseconds; a prompt is a list of levels, each a name and its
//! length in tokens):
//!
//! - `runner NAME [domain=D] [weights=V] [leaving=true]`: adds or changes a runner's registry entry
//! - `plain NAME [slots=N]`: adds or changes a plain server's registry entry
//! - `gone NAME`: removes a registry entry
//! - `place ID prompt=PART@TOKENS/PART@TOKENS [target=MS] [deadline=MS] [rank=N] [exclude=NAME]
//!   [suspect=NUMBER]`: places a model request; `rank` is the priority of its route
//! - `call ID`: places a request to the plain service
//! - `first ID`, `end ID HOW`: reports the first event or the end of an attempt
//! - `peer HOST NAME [requests=N] [pending=MS]`: sets the load of another host at a server
//! - `heard NAME prompt=PART@TOKENS/..`: reports a prompt of another host that a runner prefilled
//! - `wanted VERSION [age=MS]`: sets a desired version
//! - `changing NAME`, `changed NAME VERSION`: reports the start or the end of a weight change
//! - `pass MS`: advances the time in steps of 10 ms

mod support;

use std::collections::HashMap;
use std::error::Error;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use hickoryhall_gateway::peers::PromptUpdate;
use hickoryhall_gateway::registry::{BackendServer, RegistryEvent};
use hickoryhall_gateway::scheduler::{
    AnnouncedState, AttemptEnd, DesiredVersionAge, HostLoad, LoadSource, Placement,
    PlacementRequest, PromptInfo, Scheduler, SchedulerConfig,
};
use hickoryhall_gateway::table::{PromptCacheStoreInfo, RouteTable, ServiceInfo};
use hickoryhall_routing::{Level, PrefixChain};
use hickoryhall_types::hash_name;
use rstest::rstest;
use support::{model_service, table_of};

type Outcome<T> = Result<T, Box<dyn Error>>;

struct Scenario {
    start: Instant,
    now: Instant,
    scheduler: Scheduler,
    addresses: HashMap<SocketAddr, String>,
    arrived: HashMap<u64, Instant>,
}

impl Scenario {
    fn new() -> Self {
        let start = Instant::now() + Duration::from_secs(1_000);
        let mut scheduler = Scheduler::new(SchedulerConfig::new(hash_name("me"), "a".into()));
        scheduler.set_table(&table());
        Self {
            start,
            now: start,
            scheduler,
            addresses: HashMap::from([(cache_store_address(), "keep".to_owned())]),
            arrived: HashMap::new(),
        }
    }

    fn server(&mut self, command: &Command, service: &str) -> Outcome<()> {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("missing server name")?.to_owned();
        let domain = optional_arg(&mut args, "domain")?.unwrap_or_else(|| "a".to_owned());
        let weights = optional_arg(&mut args, "weights")?.unwrap_or(1);
        let slots = optional_arg(&mut args, "slots")?.unwrap_or(2);
        let is_leaving = optional_arg(&mut args, "leaving")?.unwrap_or(false);
        args.reject_next()?;
        let address = address(&name);
        self.addresses.insert(address, name.clone());
        let server = BackendServer {
            id: name.as_str().into(),
            service: service.into(),
            address,
            domain: domain.as_str().into(),
            slots,
            is_leaving,
            models: vec![("m".into(), weights)],
            software: "v1".into(),
            incarnation: 1,
        };
        self.scheduler.on_registry(RegistryEvent::Upsert(server));
        Ok(())
    }

    fn place(&mut self, command: &Command, service: &str) -> Outcome<String> {
        let mut args = command.consume_args();
        let attempt_id = args.next_pos().ok_or("missing attempt id")?.parse()?;
        let prompt: Option<String> = optional_arg(&mut args, "prompt")?;
        let target_latency = optional_arg(&mut args, "target")?.unwrap_or(600);
        let deadline = optional_arg(&mut args, "deadline")?.unwrap_or(5_000);
        let priority = optional_arg(&mut args, "rank")?.unwrap_or(0);
        let excluded: Option<String> = optional_arg(&mut args, "exclude")?;
        let suspect: Option<u64> = optional_arg(&mut args, "suspect")?;
        args.reject_next()?;
        self.arrived.insert(attempt_id, self.now);
        let request = PlacementRequest {
            attempt_id,
            service: service.into(),
            priority: (1, priority),
            prompt: prompt.map(|text| parse_prompt(&text)).transpose()?,
            is_resumable: false,
            arrived_at: self.now,
            target_latency: Duration::from_millis(target_latency),
            deadline: self.now + Duration::from_millis(deadline),
            excluded_servers: excluded.iter().map(|name| name.as_str().into()).collect(),
            software: None,
            suspect,
        };
        Ok(match self.scheduler.place(self.now, request) {
            Some(placement) => self.describe(attempt_id, placement),
            None => format!("{attempt_id} waits\n"),
        })
    }

    fn describe(&self, attempt_id: u64, placement: Placement) -> String {
        let waited = self.now - self.arrived[&attempt_id];
        let mut text = String::new();
        match placement {
            Ok(placed) => {
                let name = &placed.server.id;
                write!(
                    text,
                    "{attempt_id} to {name}, reads {}",
                    placed.missing_tokens
                )
                .expect("write to a string");
                if let Some((from, tokens)) = placed.fetch_from {
                    let from = &self.addresses[&from];
                    write!(text, ", fetches {tokens} from {from}").expect("write to a string");
                }
                if placed.save_to.is_some() {
                    text.push_str(", saves");
                }
            }
            Err(refusal) => {
                let (reason, after) = (refusal.reason.as_str(), refusal.retry_after.as_millis());
                write!(
                    text,
                    "{attempt_id} refused: {reason}, come back in {after} ms"
                )
                .expect("write to a string");
            }
        }
        writeln!(text, " (after {} ms)", waited.as_millis()).expect("write to a string");
        text
    }

    fn end(&mut self, command: &Command) -> Outcome<()> {
        let mut args = command.consume_args();
        let attempt_id = args.next_pos().ok_or("missing attempt id")?.parse()?;
        let how = args.next_pos().ok_or("missing end of the attempt")?;
        let end = match how {
            "answered" => AttemptEnd::Answered,
            "released" => AttemptEnd::Released,
            "failed" => AttemptEnd::Failed,
            "unreachable" => AttemptEnd::Unreachable,
            other => return Err(format!("unknown end of an attempt: {other}").into()),
        };
        args.reject_next()?;
        self.scheduler.record_end(self.now, attempt_id, end);
        Ok(())
    }

    fn peer(&mut self, command: &Command) -> Outcome<()> {
        let mut args = command.consume_args();
        let host = hash_name(args.next_pos().ok_or("missing host name")?);
        let server = hash_name(args.next_pos().ok_or("missing server name")?);
        let pending_ms = optional_arg(&mut args, "pending")?.unwrap_or(0);
        let load = HostLoad {
            requests: optional_arg(&mut args, "requests")?.unwrap_or(1),
            pending_ms,
            urgent_pending_ms: pending_ms,
            ..HostLoad::default()
        };
        args.reject_next()?;
        self.scheduler
            .set_peer_load(self.now, LoadSource::Host(host), server, None, load);
        Ok(())
    }

    fn heard(&mut self, command: &Command) -> Outcome<()> {
        let mut args = command.consume_args();
        let server = hash_name(args.next_pos().ok_or("missing server name")?);
        let prompt: String = optional_arg(&mut args, "prompt")?.ok_or("missing prompt argument")?;
        args.reject_next()?;
        let update = PromptUpdate {
            server,
            incarnation: None,
            weights: 1,
            levels: parse_prompt(&prompt)?.chain.levels().to_vec(),
        };
        self.scheduler.on_peer_prompt(self.now, &update);
        Ok(())
    }

    fn wanted(&mut self, command: &Command) -> Outcome<()> {
        let mut args = command.consume_args();
        let version = args.next_pos().ok_or("missing version")?.parse()?;
        let age = Duration::from_millis(optional_arg(&mut args, "age")?.unwrap_or(0));
        let age = DesiredVersionAge::Exact(age);
        args.reject_next()?;
        self.scheduler
            .record_desired_version(self.now, "m".into(), version, age);
        Ok(())
    }

    fn change(&mut self, command: &Command) -> Outcome<()> {
        let mut args = command.consume_args();
        let server = hash_name(args.next_pos().ok_or("missing server name")?);
        let version = args.next_pos().map(str::parse).transpose()?;
        args.reject_next()?;
        let is_changing = version.is_none();
        let announced = AnnouncedState {
            incarnation: None,
            weights: version.unwrap_or(0),
            is_changing,
        };
        self.scheduler
            .record_announcement(self.now, server, &announced);
        Ok(())
    }

    fn pass(&mut self, command: &Command) -> Outcome<String> {
        let mut args = command.consume_args();
        let time: u64 = args
            .next_pos()
            .ok_or("missing time in milliseconds")?
            .parse()?;
        args.reject_next()?;
        let end = self.now + Duration::from_millis(time);
        let mut text = String::new();
        while self.now < end {
            self.now = (self.now + Duration::from_millis(10)).min(end);
            for (attempt_id, placement) in self.scheduler.tick(self.now) {
                text.push_str(&self.describe(attempt_id, placement));
            }
        }
        Ok(text)
    }
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Outcome<String> {
        let mut text = String::new();
        match command.name.as_str() {
            "runner" => self.server(command, "models")?,
            "plain" => self.server(command, "booking")?,
            "gone" => {
                let name = command
                    .consume_args()
                    .next_pos()
                    .ok_or("missing server name")?;
                let event = RegistryEvent::Removed(name.into());
                self.scheduler.on_registry(event);
            }
            "place" => text = self.place(command, "models")?,
            "call" => text = self.place(command, "booking")?,
            "first" => {
                let attempt_id = command
                    .consume_args()
                    .next_pos()
                    .ok_or("missing attempt id")?
                    .parse()?;
                self.scheduler.record_first_event(self.now, attempt_id);
            }
            "end" => self.end(command)?,
            "peer" => self.peer(command)?,
            "heard" => self.heard(command)?,
            "wanted" => self.wanted(command)?,
            "changing" | "changed" => self.change(command)?,
            "pass" => text = self.pass(command)?,
            other => return Err(format!("unknown command: {other}").into()),
        }
        Ok(text)
    }
}

/// Takes and parses an optional `NAME=VALUE` argument.
fn optional_arg<T: std::str::FromStr>(
    args: &mut ArgumentConsumer<'_>,
    name: &str,
) -> Outcome<Option<T>>
where
    T::Err: Error + 'static,
{
    let value = args.take_key(name).map(str::parse);
    Ok(value.transpose()?)
}

fn parse_prompt(text: &str) -> Outcome<PromptInfo> {
    let mut levels = Vec::new();
    for part in text.split('/') {
        let (name, tokens) = part
            .split_once('@')
            .ok_or("prompt part is not PART@TOKENS")?;
        levels.push(Level {
            key: hash_name(name),
            tokens: tokens.parse()?,
        });
    }
    Ok(PromptInfo {
        model: "m".into(),
        input_tokens: levels.iter().map(|level| level.tokens).sum(),
        chain: PrefixChain::from_levels(levels),
        output_tokens: 100,
    })
}

fn address(name: &str) -> SocketAddr {
    let port = (hash_name(name) % 60_000) as u16 + 1_000;
    ([127, 0, 0, 1], port).into()
}

fn cache_store_address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn table() -> RouteTable {
    let cache_store = ServiceInfo {
        prompt_cache_store: Some(PromptCacheStoreInfo {
            address: cache_store_address(),
            domain: "a".into(),
            capacity_tokens: 400_000,
        }),
        ..ServiceInfo::default()
    };
    table_of([
        ("models", model_service(8, 40_000)),
        ("keep", cache_store),
        ("booking", ServiceInfo::default()),
    ])
}

#[rstest]
fn scenarios(#[files("tests/scenarios/*")] path: std::path::PathBuf) {
    let mut scenario = Scenario::new();
    assert_eq!(scenario.start, scenario.now);
    goldenscript::run(&mut scenario, path).expect("scenario output matches");
}
